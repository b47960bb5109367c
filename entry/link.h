/* The I/O thread of an entry.  This thread alone runs the core and exchanges
   ZeroMQ messages with the sides; other threads queue commands for it.  In
   identifiers, "store" is the object API.  */

#ifndef CV_ENTRY_LINK_H
#define CV_ENTRY_LINK_H

#include "entry/caller.h"
#include "entry/core.h"
#include "entry/entry.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct cv_entry_link_t cv_entry_link_t;

/* A target on the instance list.  */
typedef struct
{
  char id[CV_NAME_MAX];
  char pool[CV_NAME_MAX];
  char failure_domain[CV_NAME_MAX];
  char address[46];
  uint16_t port;
  bool leaving;  /* listed with the state "leaving": draining */
  bool has_peer; /* used by the link only: a connection exists */
  bool chosen;   /* used by the link only: in this entry's subset */
} cv_instance_t;

cv_entry_link_t *cv_entry_link_new (const cv_entry_settings_t *s,
                                    cv_error_t *err);
/* Stops the thread and waits for its end.  */
void cv_entry_link_free (cv_entry_link_t *l);

/* These run the corresponding functions of the core and may be called from any
   thread.  The link holds a reference to REPLIES until the last
   reply.  */
void cv_entry_link_submit (cv_entry_link_t *l, cv_reply_queue_t *replies,
                           const cv_stream_spec_t *spec);
void cv_entry_link_attach (cv_entry_link_t *l, cv_reply_queue_t *replies,
                           const char *account, const cv_position_t *first);
void cv_entry_link_call (cv_entry_link_t *l, cv_reply_queue_t *replies,
                         const cv_call_spec_t *spec);
void cv_entry_link_ticket (cv_entry_link_t *l, cv_reply_queue_t *replies,
                           const char *pool);
void cv_entry_link_caller_gone (cv_entry_link_t *l, cv_reply_queue_t *replies);

/* Passes CONFIG, returned by a read of the object API that began at READ_START,
   to the core.  */
void cv_entry_link_adopt (cv_entry_link_t *l, cv_time_t read_start,
                          cv_config_t *config);
/* Reports that a read of the object API that began at READ_START failed.  */
void cv_entry_link_store_failed (cv_entry_link_t *l, cv_time_t read_start);
/* Replaces the list of targets; ENTRIES is the number of entries on the
   instance list.  */
void cv_entry_link_set_instances (cv_entry_link_t *l, const cv_instance_t *list,
                                  size_t count, uint32_t entries);
/* Number of entries on the instance list, at least 1; 0 when no list has been
   received.  */
uint32_t cv_entry_link_entry_count (cv_entry_link_t *l);
/* Refuses new requests from now on.  */
void cv_entry_link_refuse_new (cv_entry_link_t *l);
/* Refuses new requests and fails those in flight.  */
void cv_entry_link_end_requests (cv_entry_link_t *l);

/* Returns a copy of the suspects document, which the calling function frees,
   and its version (0: none yet).  */
char *cv_entry_link_suspects (cv_entry_link_t *l, uint64_t *version);
/* Merges JSON, a suspects document read from the object API.  */
void cv_entry_link_merge_suspects (cv_entry_link_t *l, const char *json);

/* Runs FN on the I/O thread and waits for its return.  */
void cv_entry_link_inspect (cv_entry_link_t *l,
                            void (*fn) (cv_entry_core_t *core, cv_time_t now,
                                        void *arg),
                            void *arg);
/* Returns the configuration that the I/O thread last published for other
   threads, with a reference, or NULL.  */
cv_config_t *cv_entry_link_config (cv_entry_link_t *l);

#ifdef __cplusplus
}
#endif

#endif
