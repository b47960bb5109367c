/* Client of the model engine beside this side (docs/PLATFORM.md).  It runs
   in the side's loop; what the engine tells goes to the core.  */

#ifndef CV_SIDE_ENGINE_H
#define CV_SIDE_ENGINE_H

#include <json-c/json.h>

#include "side/core.h"
#include "side/http.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CV_ENGINE_URL_MAX 256

struct cv_engine_t;

/* A stream at the engine.  */
typedef struct cv_run_t
{
  TAILQ_ENTRY (cv_run_t) link;
  struct cv_engine_t *engine;
  cv_stream_ref_t ref;
  uint32_t offset;          /* index of the next token */
  cv_buf_t line;            /* begin of an event that is not whole */
  cv_http_request_t *body;  /* NULL while no body is open */
  bool resuming;            /* the open body is a resume, not the start */
  bool broken;              /* an event made no sense: open the body anew */
  uint32_t tries;           /* of opening the body since the last token */
  cv_time_t retry_at;       /* when to open the body, 0: no need */
  cv_time_t missing_at;     /* when the engine did not know it, 0: never */
  bool over;                /* ended or given up; freed by the next tick */
  bool want_paused;         /* as last ordered by the gate */
  bool is_paused;           /* as last confirmed by the engine */
  bool sent_paused;         /* what the order in flight asks for */
  cv_http_request_t *order; /* NULL: none in flight */
  cv_time_t order_at;       /* when to repeat a failed order, 0: no need */
} cv_run_t;

TAILQ_HEAD (cv_run_list_t, cv_run_t);

/* A stream that the engine is still to be told to stop.  */
typedef struct cv_cancel_t
{
  TAILQ_ENTRY (cv_cancel_t) link;
  struct cv_engine_t *engine;
  cv_id_t id;
  uint32_t tries;
  cv_time_t retry_at; /* 0 while in flight */
  cv_http_request_t *request;
} cv_cancel_t;

TAILQ_HEAD (cv_cancel_list_t, cv_cancel_t);

typedef struct cv_engine_t
{
  cv_side_core_t *core;
  cv_http_t *http;
  char url[128];
  json_tokener *tokener;
  struct cv_run_list_t runs;
  struct cv_run_list_t over;
  cv_run_t **slots; /* runs by the core's slot */
  uint32_t slot_count;
  struct cv_cancel_list_t cancels;
  uint64_t boot; /* 0: not known yet */
  cv_http_request_t *poll;
  cv_time_t poll_at;
  cv_time_t asked; /* when the last poll began */
  cv_time_t poll_interval;
  cv_time_t answered; /* last load report */
  cv_time_t ticked;
  bool up;
  bool pending; /* a run has something to do at a tick */
} cv_engine_t;

void cv_engine_init (cv_engine_t *e, cv_side_core_t *core, cv_http_t *http,
                     const char *url);
void cv_engine_finish (cv_engine_t *e);
/* An order of the core: CV_OUT_ENGINE_START, PAUSE, RUN or CANCEL.  */
void cv_engine_take (cv_engine_t *e, const cv_side_out_t *out);
void cv_engine_tick (cv_engine_t *e, cv_time_t now);

/* ---- between the files of the client ---- */

/* Feed N bytes of a stream's body to its run.  */
void cv_engine_feed (cv_run_t *run, const char *p, size_t n);
/* Take the run off its slot; the next tick frees it.  */
void cv_engine_over (cv_run_t *run);
/* The stream cannot go on, though the engine may live.  */
void cv_engine_lose (cv_run_t *run);
/* Tell the core that the engine has died, and drop all runs.  */
void cv_engine_dead (cv_engine_t *e, bool may_return);
/* The load report, polled.  */
void cv_engine_poll (cv_engine_t *e, cv_time_t now);
/* Stop the stream ID at the engine, with repeats.  */
void cv_engine_cancel (cv_engine_t *e, cv_id_t id);
void cv_engine_cancel_tick (cv_engine_t *e, cv_time_t now);
/* "http://IP:PORT/v1/streams/ID" and SUFFIX.  */
void cv_engine_stream_url (const cv_engine_t *e, cv_id_t id, const char *suffix,
                           char url[CV_ENGINE_URL_MAX]);

#ifdef __cplusplus
}
#endif

#endif
