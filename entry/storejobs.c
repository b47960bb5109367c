/* The thread of an entry that speaks with the object API.  */

#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <json-c/json.h>

#include "entry/poll.h"
#include "entry/store_suspects.h"
#include "entry/storejobs.h"

/* Jobs that may wait; more are refused at once.  */
#define JOBS_MAX 256
/* A job that has not begun by then is refused.  */
#define JOB_WAIT (3 * CV_SECOND)
#define SETTLE_TIME (5 * CV_SECOND)

typedef enum
{
  JOB_CHANGE = 1,
  JOB_CLAIM
} job_type_t;

/* Lives on the stack of the thread that waits for it.  */
typedef struct cv_job_t
{
  STAILQ_ENTRY (cv_job_t) link;
  job_type_t type;
  const char *key;
  const char *json;
  uint64_t version;
  uint64_t new_version;
  cv_ticket_t *ticket;
  cv_time_t queued;
  bool done;
  bool ok;
  cv_error_t err;
} cv_job_t;

struct cv_storejobs_t
{
  pthread_t thread;
  pthread_mutex_t lock;
  pthread_cond_t queued;
  pthread_cond_t finished;
  STAILQ_HEAD (cv_job_list_t, cv_job_t) jobs;
  unsigned waiting;
  bool quit;
  bool failing;
  cv_entry_link_t *link;
  cv_store_t store;
  cv_store_counts_t counts;
  cv_store_suspects_t suspects;
  cv_time_t poll_interval; /* of an entry alone */
  cv_poll_t poll;
};

static void *run (void *arg);
static cv_job_t *next_job (cv_storejobs_t *s, cv_time_t until);
static void run_job (cv_storejobs_t *s, cv_job_t *job);
static bool submit (cv_storejobs_t *s, cv_job_t *job, cv_error_t *err);
static void poll_config (cv_storejobs_t *s);
static void sync_suspects (cv_storejobs_t *s);
static bool run_change (cv_storejobs_t *s, cv_job_t *job);
static bool run_claim (cv_storejobs_t *s, cv_job_t *job);
static bool read_claim (cv_storejobs_t *s, cv_job_t *job);
static bool adopt (cv_storejobs_t *s, cv_time_t asked, uint64_t version,
                   const char *json, cv_error_t *err);
static struct timespec clock_at (cv_time_t until);

cv_storejobs_t *
cv_storejobs_new (const cv_entry_settings_t *settings, cv_entry_link_t *link,
                  cv_error_t *err)
{
  cv_storejobs_t *s = cv_calloc (1, sizeof *s);
  pthread_condattr_t attr;

  s->link = link;
  s->poll_interval = settings->store_poll_ms * CV_MS;
  cv_poll_init (&s->poll, cv_u64_random ());
  STAILQ_INIT (&s->jobs);
  cv_store_init (&s->store, settings->store.url,
                 (int)settings->store.timeout_ms);
  CV_INVARIANT (pthread_mutex_init (&s->lock, NULL) == 0);
  CV_INVARIANT (pthread_condattr_init (&attr) == 0);
  CV_INVARIANT (pthread_condattr_setclock (&attr, CLOCK_MONOTONIC) == 0);
  CV_INVARIANT (pthread_cond_init (&s->queued, &attr) == 0);
  CV_INVARIANT (pthread_cond_init (&s->finished, NULL) == 0);
  (void)pthread_condattr_destroy (&attr);
  if (pthread_create (&s->thread, NULL, run, s) == 0)
    return s;
  (void)cv_fail (err, CV_ERR_SYSTEM, "object API thread cannot be started");
  cv_store_finish (&s->store);
  cv_poll_finish (&s->poll);
  free (s);
  return NULL;
}

void
cv_storejobs_free (cv_storejobs_t *s)
{
  (void)pthread_mutex_lock (&s->lock);
  s->quit = true;
  (void)pthread_cond_signal (&s->queued);
  (void)pthread_mutex_unlock (&s->lock);
  (void)pthread_join (s->thread, NULL);
  cv_store_finish (&s->store);
  cv_poll_finish (&s->poll);
  (void)pthread_cond_destroy (&s->queued);
  (void)pthread_cond_destroy (&s->finished);
  (void)pthread_mutex_destroy (&s->lock);
  free (s);
}

bool
cv_storejobs_change (cv_storejobs_t *s, uint64_t version, const char *json,
                     uint64_t *new_version, cv_error_t *err)
{
  cv_job_t job = { .type = JOB_CHANGE, .version = version, .json = json };

  if (!submit (s, &job, err))
    return false;
  *new_version = job.new_version;
  return true;
}

bool
cv_storejobs_claim (cv_storejobs_t *s, const char *key, cv_ticket_t *ticket,
                    cv_error_t *err)
{
  cv_job_t job = { .type = JOB_CLAIM, .key = key, .ticket = ticket };

  return submit (s, &job, err);
}

cv_store_counts_t
cv_storejobs_counts (cv_storejobs_t *s)
{
  cv_store_counts_t counts;

  (void)pthread_mutex_lock (&s->lock);
  counts = s->counts;
  (void)pthread_mutex_unlock (&s->lock);
  return counts;
}

static bool
submit (cv_storejobs_t *s, cv_job_t *job, cv_error_t *err)
{
  (void)pthread_mutex_lock (&s->lock);
  if (s->quit || s->waiting >= JOBS_MAX)
    {
      (void)pthread_mutex_unlock (&s->lock);
      return cv_fail (err, CV_ERR_UNAVAILABLE, "object API queue is full");
    }
  job->queued = cv_now ();
  s->waiting++;
  STAILQ_INSERT_TAIL (&s->jobs, job, link);
  (void)pthread_cond_signal (&s->queued);
  while (!job->done)
    (void)pthread_cond_wait (&s->finished, &s->lock);
  (void)pthread_mutex_unlock (&s->lock);
  if (!job->ok && err != NULL)
    *err = job->err;
  return job->ok;
}

/* ---- the thread ---- */

static void *
run (void *arg)
{
  cv_storejobs_t *s = arg;
  cv_time_t next_poll = cv_now () + cv_poll_first (&s->poll);
  bool quit = false;

  while (!quit)
    {
      cv_job_t *job;

      if (cv_now () >= next_poll)
        {
          poll_config (s);
          sync_suspects (s);
          next_poll = cv_now ()
                      + cv_poll_wait (&s->poll, s->poll_interval,
                                      cv_entry_link_entries (s->link));
        }
      job = next_job (s, next_poll);
      if (job != NULL)
        run_job (s, job);
      (void)pthread_mutex_lock (&s->lock);
      s->counts = s->store.counts;
      quit = s->quit && STAILQ_EMPTY (&s->jobs);
      (void)pthread_mutex_unlock (&s->lock);
    }
  return NULL;
}

static cv_job_t *
next_job (cv_storejobs_t *s, cv_time_t until)
{
  struct timespec at = clock_at (until);
  cv_job_t *job;
  int rc = 0;

  (void)pthread_mutex_lock (&s->lock);
  while (STAILQ_EMPTY (&s->jobs) && !s->quit && rc != ETIMEDOUT)
    rc = pthread_cond_timedwait (&s->queued, &s->lock, &at);
  job = STAILQ_FIRST (&s->jobs);
  if (job != NULL)
    {
      STAILQ_REMOVE_HEAD (&s->jobs, link);
      s->waiting--;
    }
  (void)pthread_mutex_unlock (&s->lock);
  return job;
}

static void
run_job (cv_storejobs_t *s, cv_job_t *job)
{
  bool ok;

  if (cv_now () - job->queued > JOB_WAIT)
    ok = cv_fail (&job->err, CV_ERR_UNAVAILABLE, "object API is too slow");
  else if (job->type == JOB_CHANGE)
    ok = run_change (s, job);
  else
    ok = run_claim (s, job);
  (void)pthread_mutex_lock (&s->lock);
  job->ok = ok;
  job->done = true;
  (void)pthread_cond_broadcast (&s->finished);
  (void)pthread_mutex_unlock (&s->lock);
}

static void
poll_config (cv_storejobs_t *s)
{
  cv_object_t object = { 0 };
  cv_time_t asked = cv_now ();
  cv_error_t err;

  if (!cv_store_get (&s->store, CV_CONFIG_KEY, &object, &err))
    {
      cv_entry_link_store_failed (s->link, asked);
      if (!s->failing)
        cv_log (CV_EV_ENTRY_STORE_FAILED, "%s", err.text);
      s->failing = true;
      return;
    }
  s->failing = false;
  if (object.version != 0
      && !adopt (s, asked, object.version, object.json, &err))
    cv_log (CV_EV_ENTRY_DOC_INVALID, "version %llu: %s",
            (unsigned long long)object.version, err.text);
  cv_object_finish (&object);
}

static void
sync_suspects (cv_storejobs_t *s)
{
  uint64_t version;
  char *stored = NULL;
  char *text = cv_entry_link_suspects (s->link, &version);

  if (!s->failing && cv_store_suspects_due (&s->suspects, version))
    (void)cv_store_suspects_sync (&s->suspects, &s->store, text, version,
                                  &stored);
  if (stored != NULL)
    cv_entry_link_merge_suspects (s->link, stored);
  free (stored);
  free (text);
}

static bool
adopt (cv_storejobs_t *s, cv_time_t asked, uint64_t version, const char *json,
       cv_error_t *err)
{
  cv_config_t *config = cv_config_parse (version, cv_slice (json), err);

  if (config == NULL)
    return false;
  cv_entry_link_adopt (s->link, asked, config);
  cv_config_unref (config);
  return true;
}

/* Add a nonce to the document, by which a lost answer is recognised.  */
static bool
run_change (cv_storejobs_t *s, cv_job_t *job)
{
  struct json_object *doc = json_tokener_parse (job->json);
  char nonce[CV_ID_TEXT];
  const char *json;
  bool ok;

  if (!json_object_is_type (doc, json_type_object))
    {
      json_object_put (doc);
      return cv_fail (&job->err, CV_ERR_INVALID, "document is no object");
    }
  (void)cv_id_format (cv_id_random (), nonce);
  (void)json_object_object_add (doc, "nonce", json_object_new_string (nonce));
  json = json_object_to_json_string_ext (doc, JSON_C_TO_STRING_PLAIN);
  ok = cv_store_put_settled (&s->store, CV_CONFIG_KEY, job->version, json,
                             nonce, cv_now () + SETTLE_TIME, &job->new_version,
                             &job->err);
  if (ok)
    (void)adopt (s, cv_now (), job->new_version, json, &job->err);
  json_object_put (doc);
  return ok;
}

static bool
run_claim (cv_storejobs_t *s, cv_job_t *job)
{
  char text[CV_TICKET_TEXT];
  char nonce[CV_ID_TEXT];
  cv_buf_t json;
  bool ok;

  cv_buf_init (&json);
  (void)cv_id_format (job->ticket->nonce, nonce);
  cv_buf_printf (&json, "{\"ticket\":\"%s\",\"nonce\":\"%s\"}",
                 cv_ticket_format (job->ticket, text), nonce);
  ok = cv_store_put_settled (&s->store, job->key, 0, cv_buf_text (&json), nonce,
                             cv_now () + SETTLE_TIME, &job->new_version,
                             &job->err);
  cv_buf_finish (&json);
  if (ok || job->err.code != CV_ERR_CONFLICT)
    return ok;
  return read_claim (s, job);
}

/* The key was claimed before: its first ticket holds.  */
static bool
read_claim (cv_storejobs_t *s, cv_job_t *job)
{
  cv_object_t object = { 0 };
  struct json_object *claim;
  struct json_object *ticket;
  bool ok;

  if (!cv_store_get (&s->store, job->key, &object, &job->err))
    return false;
  claim = object.json == NULL ? NULL : json_tokener_parse (object.json);
  ok = json_object_object_get_ex (claim, "ticket", &ticket)
       && cv_ticket_parse (job->ticket,
                           cv_slice (json_object_get_string (ticket)));
  json_object_put (claim);
  cv_object_finish (&object);
  if (!ok)
    return cv_fail (&job->err, CV_ERR_UNKNOWN, "claim %s is unreadable",
                    job->key);
  return true;
}

static struct timespec
clock_at (cv_time_t until)
{
  struct timespec t;
  cv_time_t wait = until - cv_now ();

  if (wait < 0)
    wait = 0;
  CV_INVARIANT (clock_gettime (CLOCK_MONOTONIC, &t) == 0);
  t.tv_sec += wait / CV_SECOND;
  t.tv_nsec += (wait % CV_SECOND) * 1000;
  t.tv_sec += t.tv_nsec / 1000000000;
  t.tv_nsec %= 1000000000;
  return t;
}
