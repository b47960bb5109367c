/* HTTP client of the model engine that this side serves (docs/PLATFORM.md).
   It runs in the side's event loop and passes tokens, ends of streams and load
   reports to the core.  */

#ifndef CV_SIDE_ENGINE_H
#define CV_SIDE_ENGINE_H

#include <json-c/json.h>

#include "side/core.h"
#include "side/http.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CV_ENGINE_URL_MAX_BYTES 256

struct cv_engine_t;

/* Client's record of a generation at the engine.  */
typedef struct cv_run_t
{
  TAILQ_ENTRY (cv_run_t) link;
  struct cv_engine_t *engine;
  cv_stream_ref_t ref;
  uint32_t offset; /* index of the next expected token */
  cv_buf_t line;   /* start of an event that is not yet complete */
  /* Its response carries the tokens; NULL: none in flight.  */
  cv_http_request_t *stream_request;
  bool resuming; /* STREAM_REQUEST resumes a stream, it does not start one */
  /* An event was malformed, too long or out of sequence: request the rest of
     the stream again.  */
  bool invalid;
  uint32_t attempts;      /* to resume the stream since the last token */
  cv_time_t retry_at;     /* when to resume the stream; 0: not needed */
  cv_time_t not_found_at; /* when the engine answered 404; 0: never */
  bool finished;          /* ended or abandoned; freed by the next tick */
  bool want_paused;       /* last command of the core */
  bool is_paused;         /* last state that the engine confirmed */
  bool requested_paused;  /* state requested by PAUSE_REQUEST */
  cv_http_request_t *pause_request; /* POST /pause or POST /run, which resumes;
                                       NULL: none in flight */
  cv_time_t pause_retry_at; /* when to retry PAUSE_REQUEST; 0: not needed */
} cv_run_t;

TAILQ_HEAD (cv_run_list_t, cv_run_t);

/* A stream whose cancellation the engine has not yet answered.  */
typedef struct cv_cancel_t
{
  TAILQ_ENTRY (cv_cancel_t) link;
  struct cv_engine_t *engine;
  cv_id_t id;
  uint32_t attempts;
  cv_time_t retry_at; /* 0 while REQUEST is in flight */
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
  struct cv_run_list_t finished; /* to be freed */
  cv_run_t **slots;              /* runs, indexed by the core's slot number */
  uint32_t slot_count;
  struct cv_cancel_list_t cancels;
  uint64_t boot_id; /* of the last load report; 0: none yet */
  cv_http_request_t *poll;
  cv_time_t poll_at;
  cv_time_t polled_at; /* when the last poll was sent */
  cv_time_t poll_interval;
  cv_time_t last_report_at;
  cv_time_t last_tick_at;
  bool is_up;
  bool has_pending_work; /* a tick must visit the runs */
} cv_engine_t;

void cv_engine_init (cv_engine_t *e, cv_side_core_t *core, cv_http_t *http,
                     const char *url);
void cv_engine_finish (cv_engine_t *e);
/* Carry out an output of the core: CV_OUT_ENGINE_START, PAUSE, RESUME
   or CANCEL.  Other types are ignored.  */
void cv_engine_handle_output (cv_engine_t *e, const cv_side_out_t *out);
void cv_engine_tick (cv_engine_t *e, cv_time_t now);

/* ---- internal to the client ---- */

/* Parse N more bytes of the event stream of RUN.  */
void cv_engine_feed (cv_run_t *run, const char *p, size_t n);
/* Remove RUN from its slot; the next tick frees it.  */
void cv_engine_finish_run (cv_run_t *run);
/* End the stream with CV_END_ENGINE_LOST; the engine itself may be alive.  */
void cv_engine_fail_run (cv_run_t *run);
/* Report the engine as lost to the core and finish all runs.  The causes: no
   load report for 10 s, no connection, or a changed boot id.  MAY_RECOVER: the
   engine is only silent and may still generate, so cancel their streams there
   too.  */
void cv_engine_declare_lost (cv_engine_t *e, bool may_recover);
/* Poll the load report when it is due, and detect an engine that does not
   answer.  */
void cv_engine_poll_load (cv_engine_t *e, cv_time_t now);
/* Cancel the stream ID at the engine, with retries.  */
void cv_engine_cancel (cv_engine_t *e, cv_id_t id);
void cv_engine_cancel_tick (cv_engine_t *e, cv_time_t now);
/* Write "http://IP:PORT/v1/streams/ID" followed by SUFFIX to URL.  */
void cv_engine_stream_url (const cv_engine_t *e, cv_id_t id, const char *suffix,
                           char url[CV_ENGINE_URL_MAX_BYTES]);

#ifdef __cplusplus
}
#endif

#endif
