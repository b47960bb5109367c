/* The gateway's copy of the configuration and of the list of instances.  One
   watcher for each kind of object reads the store, or hears from other gateways
   what they have read there.  */

#ifndef CV_GATEWAY_FOLLOW_H
#define CV_GATEWAY_FOLLOW_H

#include <netinet/in.h>

#include "platform/platform.h"
#include "policy/reader.h"
#include "replica/call.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A process that ticked longer ago than this has stood still: what it reads may
   have waited in its socket.  */
#define CV_STALL_MAX (250 * CV_MS)

typedef struct cv_gateway_t cv_gateway_t;

typedef enum
{
  CV_WATCHER_LIST = 1, /* reads the whole list, page by page */
  CV_WATCHER_WATCH     /* waits for changes */
} cv_watcher_phase_t;

/* Keeps the gateway's copy of one kind of store object up to date.  */
typedef struct
{
  cv_gateway_t *gateway;
  cv_store_kind_t kind;
  cv_watcher_phase_t phase;
  cv_replica_call_t call;
  cv_reader_t reader;
  uint64_t history;              /* of the positions that follow */
  uint64_t revision;             /* changes up to it are applied */
  uint64_t call_revision;        /* from which the call in progress watches */
  uint64_t page_revision;        /* up to which the last changes were read */
  uint64_t list_revision;        /* of the list being read */
  char list_cursor[CV_NAME_MAX]; /* last name of the previous page */
  cv_time_t next_call;           /* none before this time */
  cv_time_t asked_now_at;        /* last use of cv_watcher_ask_now */
  bool has_changes;              /* the last page had some */
  bool is_applying_heard;        /* changes that another gateway has read */
  bool has_heard_expired;        /* its calls to the store had failed */
  bool is_synced;                /* a whole list was read since the start */
  bool is_unreachable;           /* the last calls to the store failed */
  cv_time_t unreachable_since;
  cv_time_t reachable_since; /* end of the last outage; 0: none yet */
  cv_time_t confirmed_at;    /* last answer, its own or another gateway's */
  cv_time_t called_at;       /* start of the last call */
  cv_time_t call_wait;       /* for which it waits for changes */
  cv_time_t usual_delay;     /* of answers, beyond that */
  cv_time_t late;            /* by which the last answer took longer */
  cv_time_t known_as_of;     /* start of the last call that left nothing to be
                                read; 0: none */
  uint32_t failures;         /* in a row */
} cv_watcher_t;

/* ---- follow.c ---- */

void cv_watcher_init (cv_watcher_t *w, cv_gateway_t *g, cv_store_kind_t kind);
void cv_watcher_finish (cv_watcher_t *w);
void cv_watcher_tick (cv_watcher_t *w, cv_time_t now);
/* Reads changes at once instead of at the end of the batching period, if this
   gateway is a reader.  */
void cv_watcher_poll_now (cv_watcher_t *w, cv_time_t now);
/* What W knows lacks something: asks the store soon.  */
void cv_watcher_ask_now (cv_watcher_t *w, cv_time_t now);
/* Whether this process stood still just now and has heard nothing of W's
   objects since.  */
bool cv_watcher_is_behind (const cv_watcher_t *w, cv_time_t now);
/* Whether a removal may be an entry that expired while the store was
   unreachable.  */
bool cv_watcher_may_have_expired (const cv_watcher_t *w);
/* Whether W may take over what another gateway has read.  */
bool cv_watcher_can_hear (const cv_watcher_t *w);
/* Applies the changes of M, which another gateway has read.  Returns false with
   ERR when its body is no page up to its revision.  */
bool cv_watcher_apply_heard (cv_watcher_t *w, const cv_msg_page_t *m,
                             cv_error_t *err);

/* ---- pages.c ---- */

/* Sends the answer BODY to the call in progress to the other gateways.  */
void cv_pages_send (const cv_watcher_t *w, cv_slice_t body);
/* W has no list, and the store does not give it: asks the other gateways, if it
   is one that they hand on.  */
void cv_pages_ask (const cv_watcher_t *w);
/* Tells the other gateways that the store was restored.  */
void cv_pages_send_era (const cv_watcher_t *w);
/* Handles the page M of the gateway at FROM; false with ERR when it is
   malformed.  */
bool cv_pages_handle (cv_gateway_t *g, const cv_msg_page_t *m,
                      const struct sockaddr_in *from, cv_error_t *err);
/* Place of the gateway at ADDRESS among the readers of W's kind, 0 the first,
   below 1.  */
double cv_pages_rank (const cv_watcher_t *w, const struct sockaddr_in *address);

#ifdef __cplusplus
}
#endif

#endif
