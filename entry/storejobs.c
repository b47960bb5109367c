/* The thread of an entry that makes all calls to the object API.  */

#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <json-c/json.h>

#include "entry/poll.h"
#include "entry/store_claims.h"
#include "entry/store_suspects.h"
#include "entry/storejobs.h"

/* Jobs in the queue; further jobs fail at once.  */
#define QUEUED_JOBS_MAX 256
/* A job that has not started within this time fails.  */
#define JOB_START_TIMEOUT (3 * CV_SECOND)
/* Time to find out the outcome of a write whose response was lost.  */
#define RESOLVE_TIMEOUT (5 * CV_SECOND)
/* Largest configuration document: 1 MiB, the largest value of the object API,
   less 256 bytes for the fields that cv_store_put adds.  */
#define DOCUMENT_MAX_BYTES (1024 * 1024 - 256)

typedef enum
{
  JOB_CHANGE = 1,
  JOB_CLAIM
} cv_job_type_t;

/* Allocated on the stack of the thread that waits for it, and valid until that
   thread withdraws it.  */
typedef struct cv_job_t
{
  STAILQ_ENTRY (cv_job_t) link;
  cv_job_type_t type;
  const char *key;
  const char *json;
  cv_config_t *base;
  cv_change_t *change;
  cv_ticket_t *ticket;
  cv_time_t queued_at;
  bool done;
  bool ok;
  cv_error_t err;
} cv_job_t;

/* A job that the thread runs, with its own copies of what it points to.  */
typedef struct
{
  cv_job_t job;
  cv_change_t change;
  cv_ticket_t ticket;
  char *key;
  char *json;
} cv_job_copy_t;

struct cv_storejobs_t
{
  pthread_t thread;
  pthread_mutex_t lock;
  pthread_cond_t job_queued;
  pthread_cond_t job_done;
  STAILQ_HEAD (cv_job_list_t, cv_job_t) jobs;
  unsigned queue_length;
  cv_job_t *running; /* NULL: none, or withdrawn */
  bool ending;       /* jobs are no longer accepted or waited for */
  bool quit;
  bool store_failing;
  cv_entry_link_t *link;
  cv_store_t store;
  cv_store_counts_t counts;
  cv_store_suspects_t suspects;
  cv_store_claims_t claims;
  cv_time_t poll_interval; /* for a single entry */
  cv_poll_schedule_t poll;
};

static void *run_store_thread (void *arg);
static cv_time_t next_wakeup (const cv_storejobs_t *s, cv_time_t next_poll,
                              bool entry_count_unknown);
static bool take_job (cv_storejobs_t *s, cv_time_t deadline,
                      cv_job_copy_t *copy);
static void copy_job (cv_job_copy_t *copy, const cv_job_t *job);
static void run_job (cv_storejobs_t *s, cv_job_copy_t *copy);
static void end_job (cv_job_t *job, const cv_job_copy_t *copy, bool ok);
static void withdraw_job (cv_storejobs_t *s, cv_job_t *job);
static bool submit_job (cv_storejobs_t *s, cv_job_t *job, cv_error_t *err);
static void poll_config (cv_storejobs_t *s);
static bool read_config (cv_storejobs_t *s, cv_error_t *err);
static void sync_suspects (cv_storejobs_t *s);
static bool run_change (cv_storejobs_t *s, cv_job_t *job);
static bool run_claim (cv_storejobs_t *s, cv_job_t *job);
static bool read_claim (cv_storejobs_t *s, cv_job_t *job);
static bool adopt_config (cv_storejobs_t *s, cv_time_t read_start,
                          uint64_t version, const char *json, cv_error_t *err);
static struct timespec deadline_timespec (cv_time_t deadline);

cv_storejobs_t *
cv_storejobs_new (const cv_entry_settings_t *settings, cv_entry_link_t *link,
                  cv_error_t *err)
{
  cv_storejobs_t *s = cv_calloc (1, sizeof *s);
  pthread_condattr_t attr;

  s->link = link;
  s->poll_interval = settings->store_poll_ms * CV_MS;
  cv_poll_init (&s->poll, cv_random_u64 ());
  cv_store_claims_init (&s->claims, cv_now (), cv_random_u64 ());
  STAILQ_INIT (&s->jobs);
  cv_store_init (&s->store, settings->store.url,
                 (int)settings->store.timeout_ms);
  CV_INVARIANT (pthread_mutex_init (&s->lock, NULL) == 0);
  CV_INVARIANT (pthread_condattr_init (&attr) == 0);
  CV_INVARIANT (pthread_condattr_setclock (&attr, CLOCK_MONOTONIC) == 0);
  CV_INVARIANT (pthread_cond_init (&s->job_queued, &attr) == 0);
  CV_INVARIANT (pthread_cond_init (&s->job_done, NULL) == 0);
  (void)pthread_condattr_destroy (&attr);
  if (pthread_create (&s->thread, NULL, run_store_thread, s) == 0)
    return s;
  (void)cv_fail (err, CV_ERR_SYSTEM, "cannot start the object API thread");
  cv_store_finish (&s->store);
  cv_poll_finish (&s->poll);
  cv_store_claims_finish (&s->claims);
  free (s);
  return NULL;
}

void
cv_storejobs_free (cv_storejobs_t *s)
{
  (void)pthread_mutex_lock (&s->lock);
  s->quit = true;
  (void)pthread_cond_signal (&s->job_queued);
  (void)pthread_mutex_unlock (&s->lock);
  (void)pthread_join (s->thread, NULL);
  cv_store_finish (&s->store);
  cv_poll_finish (&s->poll);
  cv_store_claims_finish (&s->claims);
  (void)pthread_cond_destroy (&s->job_queued);
  (void)pthread_cond_destroy (&s->job_done);
  (void)pthread_mutex_destroy (&s->lock);
  free (s);
}

void
cv_storejobs_end (cv_storejobs_t *s)
{
  (void)pthread_mutex_lock (&s->lock);
  s->ending = true;
  (void)pthread_cond_broadcast (&s->job_done);
  (void)pthread_mutex_unlock (&s->lock);
  cv_store_stop (&s->store);
}

bool
cv_storejobs_change (cv_storejobs_t *s, cv_config_t *base, const char *json,
                     cv_change_t *change, cv_error_t *err)
{
  cv_job_t job
      = { .type = JOB_CHANGE, .base = base, .json = json, .change = change };

  (void)cv_id_format (cv_id_random (), change->nonce);
  return submit_job (s, &job, err);
}

bool
cv_storejobs_claim (cv_storejobs_t *s, const char *key, cv_ticket_t *ticket,
                    cv_error_t *err)
{
  cv_job_t job = { .type = JOB_CLAIM, .key = key, .ticket = ticket };

  return submit_job (s, &job, err);
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
submit_job (cv_storejobs_t *s, cv_job_t *job, cv_error_t *err)
{
  (void)pthread_mutex_lock (&s->lock);
  if (s->quit || s->ending || s->queue_length >= QUEUED_JOBS_MAX)
    {
      (void)pthread_mutex_unlock (&s->lock);
      return cv_fail (err, CV_ERR_UNAVAILABLE,
                      "object API thread is stopping or its queue is full");
    }
  job->queued_at = cv_now ();
  s->queue_length++;
  STAILQ_INSERT_TAIL (&s->jobs, job, link);
  (void)pthread_cond_signal (&s->job_queued);
  while (!job->done && !s->ending)
    (void)pthread_cond_wait (&s->job_done, &s->lock);
  if (!job->done)
    withdraw_job (s, job);
  (void)pthread_mutex_unlock (&s->lock);
  if (!job->ok && err != NULL)
    *err = job->err;
  return job->ok;
}

/* Ends the wait for JOB: one that has not started never will, and the outcome
   of one that runs is unknown.  */
static void
withdraw_job (cv_storejobs_t *s, cv_job_t *job)
{
  if (s->running == job)
    {
      s->running = NULL;
      (void)cv_fail (&job->err, CV_ERR_UNKNOWN,
                     "the entry stops while the object API is called");
      return;
    }
  STAILQ_REMOVE (&s->jobs, job, cv_job_t, link);
  s->queue_length--;
  (void)cv_fail (&job->err, CV_ERR_UNAVAILABLE, "the entry stops");
}

/* ---- the thread ---- */

static void *
run_store_thread (void *arg)
{
  cv_storejobs_t *s = arg;
  cv_time_t next_poll = cv_now () + cv_poll_first_wait (&s->poll);
  bool entry_count_unknown = false;
  bool quit = false;

  while (!quit)
    {
      uint32_t entries = cv_entry_link_entry_count (s->link);
      bool poll_due = cv_now () >= next_poll;
      cv_job_copy_t copy;

      if (poll_due)
        {
          poll_config (s);
          sync_suspects (s);
        }
      /* A wait that is long because the number of entries is unknown is
         shortened once the number is known.  */
      if (poll_due || (entry_count_unknown && entries > 0))
        next_poll = cv_now ()
                    + cv_poll_next_wait (&s->poll, s->poll_interval, entries);
      entry_count_unknown = entries == 0;
      if (cv_now () >= cv_store_claims_due (&s->claims))
        cv_store_claims_run (&s->claims, &s->store, cv_now ());
      if (take_job (s, next_wakeup (s, next_poll, entry_count_unknown), &copy))
        run_job (s, &copy);
      (void)pthread_mutex_lock (&s->lock);
      s->counts = s->store.counts;
      quit = s->quit && STAILQ_EMPTY (&s->jobs);
      (void)pthread_mutex_unlock (&s->lock);
    }
  return NULL;
}

/* Time of the next poll or claims run.  While the number of entries is
   unknown, the thread also wakes each poll interval to read it, which makes no
   call to the object API.  */
static cv_time_t
next_wakeup (const cv_storejobs_t *s, cv_time_t next_poll,
             bool entry_count_unknown)
{
  cv_time_t next_check = cv_now () + s->poll_interval;
  cv_time_t next_claims = cv_store_claims_due (&s->claims);
  cv_time_t at = next_claims < next_poll ? next_claims : next_poll;

  return entry_count_unknown && next_check < at ? next_check : at;
}

/* Waits for a job until DEADLINE; false if there is none.  */
static bool
take_job (cv_storejobs_t *s, cv_time_t deadline, cv_job_copy_t *copy)
{
  struct timespec at = deadline_timespec (deadline);
  cv_job_t *job;
  int rc = 0;

  (void)pthread_mutex_lock (&s->lock);
  while (STAILQ_EMPTY (&s->jobs) && !s->quit && rc != ETIMEDOUT)
    rc = pthread_cond_timedwait (&s->job_queued, &s->lock, &at);
  job = STAILQ_FIRST (&s->jobs);
  if (job != NULL)
    {
      STAILQ_REMOVE_HEAD (&s->jobs, link);
      s->queue_length--;
      copy_job (copy, job);
    }
  s->running = job;
  (void)pthread_mutex_unlock (&s->lock);
  return job != NULL;
}

static void
copy_job (cv_job_copy_t *copy, const cv_job_t *job)
{
  memset (copy, 0, sizeof *copy);
  copy->job = *job;
  if (job->key != NULL)
    copy->job.key = copy->key = cv_strdup_n (job->key, strlen (job->key));
  if (job->json != NULL)
    copy->job.json = copy->json = cv_strdup_n (job->json, strlen (job->json));
  if (job->base != NULL)
    copy->job.base = cv_config_ref (job->base);
  if (job->change != NULL)
    copy->change = *job->change;
  copy->job.change = &copy->change;
  if (job->ticket != NULL)
    copy->ticket = *job->ticket;
  copy->job.ticket = &copy->ticket;
}

/* Runs the job of COPY and frees the copies.  */
static void
run_job (cv_storejobs_t *s, cv_job_copy_t *copy)
{
  cv_job_t *job = &copy->job;
  bool ok;

  if (cv_now () - job->queued_at > JOB_START_TIMEOUT)
    ok = cv_fail (&job->err, CV_ERR_UNAVAILABLE, "object API is too slow");
  else if (job->type == JOB_CHANGE)
    ok = run_change (s, job);
  else
    ok = run_claim (s, job);
  (void)pthread_mutex_lock (&s->lock);
  if (s->running != NULL)
    end_job (s->running, copy, ok);
  s->running = NULL;
  (void)pthread_cond_broadcast (&s->job_done);
  (void)pthread_mutex_unlock (&s->lock);
  cv_config_unref (job->base);
  free (copy->key);
  free (copy->json);
}

/* Passes the results in COPY to the thread that waits for JOB.  */
static void
end_job (cv_job_t *job, const cv_job_copy_t *copy, bool ok)
{
  if (job->change != NULL)
    *job->change = copy->change;
  if (job->ticket != NULL)
    *job->ticket = copy->ticket;
  job->err = copy->job.err;
  job->ok = ok;
  job->done = true;
}

static void
poll_config (cv_storejobs_t *s)
{
  cv_time_t read_start = cv_now ();
  cv_error_t err;

  if (read_config (s, &err))
    s->store_failing = false;
  else
    {
      cv_entry_link_store_failed (s->link, read_start);
      if (!s->store_failing)
        cv_log (CV_EV_ENTRY_STORE_FAILED, "%s", err.text);
      s->store_failing = true;
    }
}

/* Reads the configuration document when its version, which is cheap to query,
   differs from the link's.  An older version, from a lagging replica of the
   object API, is ignored here; the core refuses it as well.  */
static bool
read_config (cv_storejobs_t *s, cv_error_t *err)
{
  cv_config_t *current = cv_entry_link_config (s->link);
  cv_time_t read_start = cv_now ();
  cv_object_t object = { 0 };
  uint64_t version;
  bool ok = true;

  /* Without a configuration the document is read in any case; 1 stands for any
     version above 0.  */
  if (current == NULL)
    version = 1;
  else
    ok = cv_store_get_version (&s->store, CV_CONFIG_KEY, &version, err);
  if (ok && current != NULL && version == current->version)
    cv_entry_link_adopt (s->link, read_start, current); /* still current */
  else if (ok && version > (current == NULL ? 0 : current->version))
    {
      ok = cv_store_get (&s->store, CV_CONFIG_KEY, &object, err);
      if (ok && object.version != 0
          && !adopt_config (s, read_start, object.version, object.json, err))
        cv_log (CV_EV_ENTRY_DOC_INVALID,
                "configuration from the object API, version %llu: %s",
                (unsigned long long)object.version, err->text);
      cv_object_finish (&object);
    }
  cv_config_unref (current);
  return ok;
}

static void
sync_suspects (cv_storejobs_t *s)
{
  uint64_t version;
  char *stored = NULL;
  char *text = cv_entry_link_suspects (s->link, &version);

  if (!s->store_failing && cv_store_suspects_due (&s->suspects, version))
    (void)cv_store_suspects_sync (&s->suspects, &s->store, text, version,
                                  &stored);
  if (stored != NULL)
    cv_entry_link_merge_suspects (s->link, stored);
  free (stored);
  free (text);
}

static bool
adopt_config (cv_storejobs_t *s, cv_time_t read_start, uint64_t version,
              const char *json, cv_error_t *err)
{
  cv_config_t *config = cv_config_parse (version, cv_slice (json), err);

  if (config == NULL)
    return false;
  cv_entry_link_adopt (s->link, read_start, config);
  cv_config_unref (config);
  return true;
}

/* Writes a configuration change.  The nonce, which later documents retain,
   distinguishes a write whose response was lost from one that lost a race with
   another writer, also after other writes have replaced the document.  */
static bool
run_change (cv_storejobs_t *s, cv_job_t *job)
{
  cv_change_t *change = job->change;
  uint64_t base = job->base == NULL ? 0 : job->base->version;
  uint64_t resolved_before = s->store.counts.resolved;
  cv_time_t write_start = cv_now ();
  cv_error_t ignored;
  cv_buf_t doc;
  bool ok;

  cv_buf_init (&doc);
  ok = cv_config_add_nonces (job->base, cv_slice (job->json), change->nonce,
                             &doc, &job->err);
  if (ok && doc.n > DOCUMENT_MAX_BYTES)
    ok = cv_fail (&job->err, CV_ERR_LIMIT,
                  "the document would have %zu bytes, more than %d", doc.n,
                  DOCUMENT_MAX_BYTES);
  if (ok)
    {
      ok = cv_store_put_resolved (
          &s->store, CV_CONFIG_KEY, base, cv_buf_text (&doc), change->nonce,
          cv_now () + RESOLVE_TIMEOUT, &change->version, &job->err);
      /* A write whose outcome had to be resolved may already be overwritten;
         the document in the object API is authoritative then, not DOC.  */
      if (ok && resolved_before == s->store.counts.resolved)
        (void)adopt_config (s, write_start, change->version, cv_buf_text (&doc),
                            &ignored);
      else if (ok || job->err.code == CV_ERR_CONFLICT)
        (void)read_config (s, &ignored);
    }
  cv_buf_finish (&doc);
  return ok;
}

static bool
run_claim (cv_storejobs_t *s, cv_job_t *job)
{
  char text[CV_TICKET_TEXT];
  char nonce[CV_ID_TEXT];
  uint64_t version;
  cv_buf_t json;
  bool ok;

  cv_buf_init (&json);
  (void)cv_id_format (job->ticket->nonce, nonce);
  cv_buf_printf (&json, "{\"ticket\":\"%s\",\"nonce\":\"%s\"}",
                 cv_ticket_format (job->ticket, text), nonce);
  ok = cv_store_put_resolved (&s->store, job->key, 0, cv_buf_text (&json),
                              nonce, cv_now () + RESOLVE_TIMEOUT, &version,
                              &job->err);
  cv_buf_finish (&json);
  if (ok || job->err.code != CV_ERR_CONFLICT)
    return ok;
  return read_claim (s, job);
}

/* Reads the ticket of a key that is already claimed; the first ticket is
   binding.  */
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
deadline_timespec (cv_time_t deadline)
{
  struct timespec t;
  cv_time_t wait = deadline - cv_now ();

  if (wait < 0)
    wait = 0;
  CV_INVARIANT (clock_gettime (CLOCK_MONOTONIC, &t) == 0);
  t.tv_sec += wait / CV_SECOND;
  t.tv_nsec += (wait % CV_SECOND) * 1000;
  t.tv_sec += t.tv_nsec / 1000000000;
  t.tv_nsec %= 1000000000;
  return t;
}
