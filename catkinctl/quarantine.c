/* The verb quarantine: lists the content that gateways refuse because it
   crashed its targets, and lifts it.  It reads and writes the object of the
   platform's store that gateways read every 2 s.  */

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <json-c/json.h>

#include "catkinctl/ctl.h"
#include "platform/platform.h"
#include "policy/policy.h"

#define TIME_TEXT 32
#define NUMBER_TEXT 24

/* The object as read.  */
typedef struct
{
  cv_suspects_t *table;
  uint64_t revision; /* 0: there is no object */
} object_t;

static bool
decode_object (cv_slice_t body, object_t *object)
{
  cv_error_t err = { 0 };
  cv_store_page_t page;
  cv_store_object_t o;

  if (!cv_platform_decode_page (body, false, &page, &err))
    {
      fprintf (stderr, "catkinctl: %s\n", err.text);
      return false;
    }
  while (cv_platform_page_next (&page, &o))
    {
      cv_slice_t text;

      if (strcmp (o.name, CV_QUARANTINE_OBJECT) != 0)
        continue;
      object->revision = o.revision;
      text = cv_slice (json_object_to_json_string (o.spec));
      if (!cv_suspects_merge (object->table, text, &err))
        fprintf (stderr, "catkinctl: %s\n", err.text);
    }
  cv_platform_page_finish (&page);
  return true;
}

static int
read_object (const cv_ctl_t *store, object_t *object)
{
  cv_response_t a;
  cv_buf_t path;
  int code = CV_EXIT_OK;

  cv_buf_init (&path);
  cv_platform_list_path (&path, CV_STORE_SUSPECTS, "");
  cv_ctl_call (store, "GET", cv_buf_text (&path), NULL, 0, &a);
  if (a.status != 200)
    code = cv_ctl_print_failure (store, &a);
  else if (!decode_object ((cv_slice_t){ a.body.p, a.body.n }, object))
    code = CV_EXIT_INVALID;
  cv_response_finish (&a);
  cv_buf_finish (&path);
  return code;
}

/* Writes the object unless another writer has changed it.  */
static int
write_object (const cv_ctl_t *store, const object_t *object)
{
  cv_response_t a;
  cv_buf_t path;
  cv_buf_t spec;
  cv_buf_t body;
  int code = CV_EXIT_OK;

  cv_buf_init (&path);
  cv_buf_init (&spec);
  cv_buf_init (&body);
  cv_platform_object_path (&path, CV_STORE_SUSPECTS, CV_QUARANTINE_OBJECT);
  cv_suspects_dump (object->table, NULL, NULL, &spec);
  cv_platform_encode_object (&body, CV_QUARANTINE_OBJECT, object->revision,
                             cv_buf_text (&spec));
  cv_ctl_call (store, "PUT", cv_buf_text (&path), body.p, body.n, &a);
  if (a.status != 200)
    code = cv_ctl_print_failure (store, &a);
  cv_response_finish (&a);
  cv_buf_finish (&path);
  cv_buf_finish (&spec);
  cv_buf_finish (&body);
  return code;
}

static const char *
state_text (cv_content_state_t state)
{
  switch (state)
    {
    case CV_CONTENT_CLEAR:
      return "lifted";
    case CV_CONTENT_SUSPECT:
      return "on trial";
    case CV_CONTENT_QUARANTINED:
      return "quarantined";
    }
  return "";
}

static void
add_time_cell (cv_table_t *t, int64_t wall_s)
{
  time_t at = wall_s;
  char text[TIME_TEXT] = "";
  struct tm utc;

  if (wall_s > 0 && gmtime_r (&at, &utc) != NULL)
    (void)strftime (text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &utc);
  cv_table_add_cell (t, text);
}

static int
list (const object_t *object)
{
  int64_t now = cv_wall_s ();
  cv_table_t *t = cv_table_new ();

  cv_table_add_cell (t, "content");
  cv_table_add_cell (t, "state");
  cv_table_add_cell (t, "crashes");
  cv_table_add_cell (t, "newest");
  cv_table_end_row (t);
  for (size_t i = 0; i < cv_suspects_count (object->table); i++)
    {
      uint64_t hash = cv_suspects_hash (object->table, i);
      char text[NUMBER_TEXT];

      (void)snprintf (text, sizeof text, "%016" PRIx64, hash);
      cv_table_add_cell (t, text);
      cv_table_add_cell (
          t, state_text (cv_suspects_state (object->table, hash, now)));
      (void)snprintf (text, sizeof text, "%" PRIu32,
                      cv_suspects_strikes (object->table, hash, now));
      cv_table_add_cell (t, text);
      add_time_cell (t, cv_suspects_newest (object->table, hash));
      cv_table_end_row (t);
    }
  cv_table_print (t, stdout);
  cv_table_free (t);
  return CV_EXIT_OK;
}

static int
lift (const cv_ctl_t *store, const object_t *object, const char *content)
{
  char *end;
  uint64_t hash = strtoull (content, &end, 16);

  if (end == content || *end != '\0'
      || cv_suspects_strikes (object->table, hash, cv_wall_s ()) == 0)
    {
      fprintf (stderr, "catkinctl: content %s is not quarantined\n", content);
      return CV_EXIT_REFUSED;
    }
  cv_suspects_clear (object->table, hash);
  return write_object (store, object);
}

int
cv_ctl_quarantine (const cv_ctl_t *ctl)
{
  cv_ctl_t store = *ctl;
  object_t object = { 0 };
  bool is_lift = ctl->arg_count == 2 && strcmp (ctl->args[0], "lift") == 0;
  int code;

  store.entry = ctl->store;
  if (ctl->store == NULL || (ctl->arg_count != 0 && !is_lift))
    {
      fprintf (stderr, "catkinctl: usage: catkinctl --store=URL quarantine "
                       "[lift CONTENT]\n");
      return CV_EXIT_USAGE;
    }
  object.table = cv_suspects_new ();
  code = read_object (&store, &object);
  if (code == CV_EXIT_OK)
    code = is_lift ? lift (&store, &object, ctl->args[1]) : list (&object);
  cv_suspects_free (object.table);
  return code;
}
