/* Expiry of claims by a clock that the store itself keeps.  */

#include <string.h>

#include <json-c/json.h>

#include "entry/store_claims.h"

typedef struct
{
  uint64_t mark[CV_CLAIMS_STEPS]; /* newest first */
  size_t count;
} marks_t;

static void look (cv_store_claims_t *c, cv_store_t *store, cv_time_t now);
static void step (cv_store_claims_t *c, cv_store_t *store, cv_time_t now);
static bool read_marks (cv_store_t *store, uint64_t version, marks_t *out);
static void piece (cv_store_claims_t *c, cv_store_t *store);
static cv_time_t spread (cv_store_claims_t *c);

void
cv_store_claims_init (cv_store_claims_t *c, cv_time_t now, uint64_t seed)
{
  memset (c, 0, sizeof *c);
  cv_rng_init (&c->rng, seed);
  c->look_at = now + spread (c);
}

void
cv_store_claims_finish (cv_store_claims_t *c)
{
  cv_rng_finish (&c->rng);
}

cv_time_t
cv_store_claims_due (const cv_store_claims_t *c)
{
  return c->horizon != 0 && c->piece_at < c->look_at ? c->piece_at : c->look_at;
}

void
cv_store_claims_run (cv_store_claims_t *c, cv_store_t *store, cv_time_t now)
{
  if (now >= c->look_at)
    {
      c->look_at = now + spread (c);
      look (c, store, now);
    }
  if (c->horizon != 0 && now >= c->piece_at)
    {
      c->piece_at = now + CV_CLAIMS_PIECE;
      piece (c, store);
    }
}

static void
look (cv_store_claims_t *c, cv_store_t *store, cv_time_t now)
{
  uint64_t version;

  if (!cv_store_version (store, CV_CLAIMS_CLOCK, &version, NULL))
    return;
  if (version == 0)
    {
      (void)cv_store_put (store, CV_CLAIMS_CLOCK, 0, "{\"marks\":[]}", &version,
                          NULL);
      return;
    }
  if (version != c->version)
    {
      /* Another entry has written it, and sweeps.  */
      c->version = version;
      c->since = now;
      c->horizon = 0;
    }
  else if (now - c->since >= CV_CLAIMS_STEP)
    step (c, store, now);
}

/* A lost answer needs no settling: a later look finds the new version, and
   nobody sweeps until the next step.  */
static void
step (cv_store_claims_t *c, cv_store_t *store, cv_time_t now)
{
  uint64_t version;
  marks_t marks;
  cv_buf_t json;

  if (!read_marks (store, c->version, &marks))
    return;
  memmove (marks.mark + 1, marks.mark,
           (CV_CLAIMS_STEPS - 1) * sizeof marks.mark[0]);
  marks.mark[0] = c->version;
  if (marks.count < CV_CLAIMS_STEPS)
    marks.count++;
  cv_buf_init (&json);
  cv_buf_printf (&json, "{\"marks\":[");
  for (size_t i = 0; i < marks.count; i++)
    cv_buf_printf (&json, "%s%llu", i == 0 ? "" : ",",
                   (unsigned long long)marks.mark[i]);
  cv_buf_printf (&json, "]}");
  if (cv_store_put (store, CV_CLAIMS_CLOCK, c->version, cv_buf_text (&json),
                    &version, NULL))
    {
      c->version = version;
      c->since = now;
      c->after[0] = '\0';
      c->piece_at = now;
      c->horizon = marks.count == CV_CLAIMS_STEPS
                       ? marks.mark[CV_CLAIMS_STEPS - 1]
                       : 0;
    }
  cv_buf_finish (&json);
}

/* Marks fall from the newest, which is older than VERSION.  Of others nothing
   is believed: the clock then begins anew.  */
static bool
read_marks (cv_store_t *store, uint64_t version, marks_t *out)
{
  cv_object_t object = { 0 };
  struct json_object *tree;
  struct json_object *marks = NULL;
  uint64_t last = version;
  bool same;

  memset (out, 0, sizeof *out);
  if (!cv_store_get (store, CV_CLAIMS_CLOCK, &object, NULL))
    return false;
  same = object.version == version;
  tree = object.json == NULL ? NULL : json_tokener_parse (object.json);
  if (json_object_object_get_ex (tree, "marks", &marks)
      && json_object_is_type (marks, json_type_array))
    while (out->count < CV_CLAIMS_STEPS
           && out->count < json_object_array_length (marks))
      {
        int64_t mark = json_object_get_int64 (
            json_object_array_get_idx (marks, out->count));

        if (mark <= 0 || (uint64_t)mark >= last)
          {
            memset (out, 0, sizeof *out);
            break;
          }
        last = out->mark[out->count++] = (uint64_t)mark;
      }
  json_object_put (tree);
  cv_object_finish (&object);
  return same;
}

/* A claim is written once, so that its version is that of its creation.  The
   delete asks for that version: one that was made again since stays.  */
static void
piece (cv_store_claims_t *c, cv_store_t *store)
{
  cv_listed_t listed[CV_CLAIMS_LIST];
  cv_error_t err;
  size_t count;
  size_t done = 0;
  size_t i = 0;
  cv_time_t begun = cv_now ();
  bool ok = cv_store_list (store, CV_CLAIMS_PREFIX, c->after, listed,
                           CV_CLAIMS_LIST, &count, &err);

  while (ok && i < count && done < CV_CLAIMS_DELETES
         && (i == 0 || cv_now () - begun < CV_CLAIMS_BUSY))
    {
      if (listed[i].version <= c->horizon)
        {
          ok = cv_store_delete (store, listed[i].key, listed[i].version, &err);
          if (ok)
            c->deleted++;
          else
            ok = err.code == CV_ERR_CONFLICT;
          done++;
        }
      if (ok)
        i++;
    }
  if (i > 0)
    (void)cv_copy (c->after, sizeof c->after, listed[i - 1].key);
  if (!ok)
    c->piece_at = c->look_at; /* leave the store alone for a while */
  else if (i == count && count < CV_CLAIMS_LIST)
    c->horizon = 0;
}

/* Half to one and a half times the mean, so that entries stay spread.  */
static cv_time_t
spread (cv_store_claims_t *c)
{
  return (cv_time_t)((0.5 + cv_rng_uniform (&c->rng)) * (double)CV_CLAIMS_LOOK);
}
