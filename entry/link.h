/* The I/O thread of an entry: it alone runs the core, and speaks ZeroMQ with
   the sides.  Other threads hand it work through a queue.  */

#ifndef CV_ENTRY_LINK_H
#define CV_ENTRY_LINK_H

#include "entry/caller.h"
#include "entry/core.h"
#include "entry/entry.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct cv_entry_link_t cv_entry_link_t;

/* A process of the instance list.  */
typedef struct
{
  char id[CV_NAME_MAX];
  char pool[CV_NAME_MAX];
  char failure_domain[CV_NAME_MAX];
  char address[46];
  uint16_t port;
  bool leaving;
  bool seen;   /* for the link's own use */
  bool chosen; /* likewise */
} cv_instance_t;

cv_entry_link_t *cv_entry_link_new (const cv_entry_settings_t *s,
                                    cv_error_t *err);
/* Waits for the thread's end.  */
void cv_entry_link_free (cv_entry_link_t *l);

/* As the functions of the core, from any thread.  The link keeps a reference
   of CALLER until the last reply.  */
void cv_entry_link_submit (cv_entry_link_t *l, cv_caller_t *caller,
                           const cv_stream_spec_t *spec);
void cv_entry_link_attach (cv_entry_link_t *l, cv_caller_t *caller,
                           const char *account, const cv_position_t *first);
void cv_entry_link_call (cv_entry_link_t *l, cv_caller_t *caller,
                         const cv_call_spec_t *spec);
void cv_entry_link_ticket (cv_entry_link_t *l, cv_caller_t *caller,
                           const char *pool);
void cv_entry_link_gone (cv_entry_link_t *l, cv_caller_t *caller);

/* CONFIG is the current one of the store, which was asked at ASKED.  */
void cv_entry_link_adopt (cv_entry_link_t *l, cv_time_t asked,
                          cv_config_t *config);
/* The store, asked at ASKED, did not answer.  */
void cv_entry_link_store_failed (cv_entry_link_t *l, cv_time_t asked);
/* The targets on the instance list; ENTRIES counts the entries there.  */
void cv_entry_link_instances (cv_entry_link_t *l, const cv_instance_t *list,
                              size_t count, uint32_t entries);
uint32_t cv_entry_link_entries (cv_entry_link_t *l);
/* Refuse new requests from now on.  */
void cv_entry_link_drain (cv_entry_link_t *l);

/* The document of suspects and its version (0: none yet); the caller frees
   the text.  */
char *cv_entry_link_suspects (cv_entry_link_t *l, uint64_t *version);
/* Merge the document JSON, as read from the object API.  */
void cv_entry_link_merge_suspects (cv_entry_link_t *l, const char *json);

/* Run FN on the I/O thread and wait for it.  */
void cv_entry_link_inspect (cv_entry_link_t *l,
                            void (*fn) (cv_entry_core_t *core, cv_time_t now,
                                        void *arg),
                            void *arg);
/* The configuration in force, with a reference, or NULL.  */
cv_config_t *cv_entry_link_config (cv_entry_link_t *l);

#ifdef __cplusplus
}
#endif

#endif
