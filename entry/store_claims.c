/* Expiry of claims, timed by a clock object in the store.  */

#include <string.h>

#include <json-c/json.h>

#include "entry/store_claims.h"

typedef struct
{
  uint64_t mark[CV_CLAIMS_MARKS_MAX]; /* newest first */
  size_t count;
} cv_claim_marks_t;

static void check_clock (cv_store_claims_t *c, cv_store_t *store,
                         cv_time_t now);
static void advance_clock (cv_store_claims_t *c, cv_store_t *store,
                           cv_time_t now);
static bool read_marks (cv_store_t *store, uint64_t version,
                        cv_claim_marks_t *out);
static void delete_batch (cv_store_claims_t *c, cv_store_t *store);
static cv_time_t random_check_interval (cv_store_claims_t *c);

void
cv_store_claims_init (cv_store_claims_t *c, cv_time_t now, uint64_t seed)
{
  memset (c, 0, sizeof *c);
  cv_rng_init (&c->rng, seed);
  c->next_check = now + random_check_interval (c);
}

void
cv_store_claims_finish (cv_store_claims_t *c)
{
  cv_rng_finish (&c->rng);
}

cv_time_t
cv_store_claims_due (const cv_store_claims_t *c)
{
  return c->expired_version != 0 && c->next_batch < c->next_check
             ? c->next_batch
             : c->next_check;
}

void
cv_store_claims_run (cv_store_claims_t *c, cv_store_t *store, cv_time_t now)
{
  if (now >= c->next_check)
    {
      c->next_check = now + random_check_interval (c);
      check_clock (c, store, now);
    }
  if (c->expired_version != 0 && now >= c->next_batch)
    {
      c->next_batch = now + CV_CLAIMS_BATCH_INTERVAL;
      delete_batch (c, store);
    }
}

static void
check_clock (cv_store_claims_t *c, cv_store_t *store, cv_time_t now)
{
  uint64_t version;

  if (!cv_store_get_version (store, CV_CLAIMS_CLOCK_KEY, &version, NULL))
    return;
  if (version == 0)
    {
      (void)cv_store_put (store, CV_CLAIMS_CLOCK_KEY, 0, "{\"marks\":[]}",
                          &version, NULL);
      return;
    }
  if (version != c->clock_version)
    {
      /* First read, or a new version: usually written by another entry, which
         then runs the sweep, or by a write of this entry whose response was
         lost.  */
      c->clock_version = version;
      c->version_seen_at = now;
      c->expired_version = 0;
    }
  else if (now - c->version_seen_at >= CV_CLAIMS_CLOCK_INTERVAL)
    advance_clock (c, store, now);
}

/* Writes the next version of the clock object and starts a sweep.  The
   outcome of a write whose response is lost is not queried: a later check
   reads the new version, and no entry sweeps until the next write.  */
static void
advance_clock (cv_store_claims_t *c, cv_store_t *store, cv_time_t now)
{
  uint64_t version;
  cv_claim_marks_t marks;
  cv_buf_t json;

  if (!read_marks (store, c->clock_version, &marks))
    return;
  memmove (marks.mark + 1, marks.mark,
           (CV_CLAIMS_MARKS_MAX - 1) * sizeof marks.mark[0]);
  marks.mark[0] = c->clock_version;
  if (marks.count < CV_CLAIMS_MARKS_MAX)
    marks.count++;
  cv_buf_init (&json);
  cv_buf_printf (&json, "{\"marks\":[");
  for (size_t i = 0; i < marks.count; i++)
    cv_buf_printf (&json, "%s%llu", i == 0 ? "" : ",",
                   (unsigned long long)marks.mark[i]);
  cv_buf_printf (&json, "]}");
  if (cv_store_put (store, CV_CLAIMS_CLOCK_KEY, c->clock_version,
                    cv_buf_text (&json), &version, NULL))
    {
      c->clock_version = version;
      c->version_seen_at = now;
      c->last_key[0] = '\0';
      c->next_batch = now;
      c->expired_version = marks.count == CV_CLAIMS_MARKS_MAX
                               ? marks.mark[CV_CLAIMS_MARKS_MAX - 1]
                               : 0;
    }
  cv_buf_finish (&json);
}

/* Reads the marks of the clock object; false when it cannot be read or is no
   longer at VERSION.  Valid marks decrease from the newest, which is below
   VERSION.  Otherwise all marks are discarded, which restarts the clock
   without expiring any claim.  */
static bool
read_marks (cv_store_t *store, uint64_t version, cv_claim_marks_t *out)
{
  cv_object_t object = { 0 };
  struct json_object *tree;
  struct json_object *marks = NULL;
  uint64_t previous = version;
  bool is_current;

  memset (out, 0, sizeof *out);
  if (!cv_store_get (store, CV_CLAIMS_CLOCK_KEY, &object, NULL))
    return false;
  is_current = object.version == version;
  tree = object.json == NULL ? NULL : json_tokener_parse (object.json);
  if (json_object_object_get_ex (tree, "marks", &marks)
      && json_object_is_type (marks, json_type_array))
    while (out->count < CV_CLAIMS_MARKS_MAX
           && out->count < json_object_array_length (marks))
      {
        int64_t mark = json_object_get_int64 (
            json_object_array_get_idx (marks, out->count));

        if (mark <= 0 || (uint64_t)mark >= previous)
          {
            memset (out, 0, sizeof *out);
            break;
          }
        previous = out->mark[out->count++] = (uint64_t)mark;
      }
  json_object_put (tree);
  cv_object_finish (&object);
  return is_current;
}

/* Deletes one batch of expired claims.  A claim is written once, so its
   version is that of its creation.  The delete is conditional on that version
   and leaves a claim that has been created again since.  */
static void
delete_batch (cv_store_claims_t *c, cv_store_t *store)
{
  cv_store_entry_t listed[CV_CLAIMS_LIST_MAX];
  cv_error_t err;
  size_t count;
  size_t tried = 0;
  size_t i = 0;
  cv_time_t started_at = cv_now ();
  bool ok = cv_store_list (store, CV_CLAIMS_PREFIX, c->last_key, listed,
                           CV_CLAIMS_LIST_MAX, &count, &err);

  while (ok && i < count && tried < CV_CLAIMS_DELETES_MAX
         && (i == 0 || cv_now () - started_at < CV_CLAIMS_BATCH_TIME))
    {
      if (listed[i].version <= c->expired_version)
        {
          ok = cv_store_delete (store, listed[i].key, listed[i].version, &err);
          if (ok)
            c->deleted++;
          else
            ok = err.code == CV_ERR_CONFLICT;
          tried++;
        }
      if (ok)
        i++;
    }
  if (i > 0)
    (void)cv_copy (c->last_key, sizeof c->last_key, listed[i - 1].key);
  if (!ok)
    c->next_batch = c->next_check; /* back off until the next check */
  else if (i == count && count < CV_CLAIMS_LIST_MAX)
    c->expired_version = 0;
}

/* Uniform in 0.5 to 1.5 times the mean, which keeps the entries' checks spread
   out.  */
static cv_time_t
random_check_interval (cv_store_claims_t *c)
{
  return (cv_time_t)((0.5 + cv_rng_uniform (&c->rng))
                     * (double)CV_CLAIMS_CHECK_INTERVAL);
}
