/* Declarations shared by all packages: errors, time, strings, identifiers,
   random numbers, log lines, histograms and byte buffers.  */

#ifndef CV_BASE_H
#define CV_BASE_H

#include <sys/queue.h>

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Size of the name of an account, model, pool, target or instance, including
   the terminating null byte.  */
#define CV_NAME_MAX 64

/* ---- errors ---- */

/* Kind of failure.  */
typedef enum
{
  CV_ERR_NONE = 0,
  CV_ERR_INVALID,     /* input does not have the required form */
  CV_ERR_NOT_FOUND,   /* the named object does not exist */
  CV_ERR_CONFLICT,    /* a conditional update found another version */
  CV_ERR_UNAVAILABLE, /* no usable response of the peer; no effect */
  CV_ERR_UNKNOWN,     /* the operation may or may not have taken effect */
  CV_ERR_LIMIT,       /* a limit or rate was exceeded */
  CV_ERR_SYSTEM       /* a call to the system or a library failed */
} cv_error_code_t;

/* Description of a failure, filled by the function that fails.  */
typedef struct
{
  cv_error_code_t code;
  int line;       /* 1-based line in the input, 0: none */
  int column;     /* 1-based, 0: none */
  char text[256]; /* one line that names the object */
} cv_error_t;

/* Fills ERR (may be NULL) and returns false, so that a function can fail with
   `return cv_fail (...)`.  */
bool cv_fail (cv_error_t *err, cv_error_code_t code, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
bool cv_fail_at (cv_error_t *err, int line, int column, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

/* Logs COND and aborts the process if COND is false, which is a defect of the
   program.  */
#define CV_INVARIANT(cond)                                                     \
  ((cond) ? (void)0 : cv_invariant_failed (#cond, __FILE__, __LINE__))
void cv_invariant_failed (const char *cond, const char *file, int line)
    __attribute__ ((noreturn));

/* ---- time ---- */

/* Microseconds of the monotonic clock.  Decision logic receives the time as an
   argument and never reads the clock, so that tests can control it.  */
typedef int64_t cv_time_t;

#define CV_MS ((cv_time_t)1000)
#define CV_SECOND ((cv_time_t)1000000)

/* The monotonic clock, in microseconds.  */
cv_time_t cv_now (void);

/* Unix time in seconds, by the clock of this machine.  */
int64_t cv_wall_s (void);

/* ---- slices and bounded strings ---- */

/* Bytes that the slice does not own.  */
typedef struct
{
  const char *p;
  size_t n;
} cv_slice_t;

cv_slice_t cv_slice (const char *text);
bool cv_slice_equal (cv_slice_t a, cv_slice_t b);
/* Whether TEXT is a token (RFC 9110, 5.6.2), as the name of a field must be. */
bool cv_is_token (cv_slice_t text);

/* Statuses of HTTP responses (RFC 9110, 15): those from the first on are final,
   those above the second are none.  */
#define CV_STATUS_FINAL_MIN 200
#define CV_STATUS_MAX 599
/* Copies TEXT into the array DST of SIZE bytes; if it does not fit, sets DST to
   "" and returns false.  */
bool cv_copy (char *dst, size_t size, const char *text);
bool cv_copy_slice (char *dst, size_t size, cv_slice_t text);

/* ---- identifiers ---- */

/* 128 random bits.  */
typedef struct
{
  uint64_t hi;
  uint64_t lo;
} cv_id_t;

#define CV_ID_TEXT 33 /* 32 hexadecimal digits and a null byte */

cv_id_t cv_id_random (void);
uint64_t cv_random_u64 (void);

/* Blocks SIGTERM, SIGINT and SIGHUP, for a process that ends: freeing the
   signal handlers of an event loop restores the default actions.  */
bool cv_block_stop_signals (cv_error_t *err);
bool cv_id_equal (cv_id_t a, cv_id_t b);
bool cv_id_is_zero (cv_id_t id);
const char *cv_id_format (cv_id_t id, char text[CV_ID_TEXT]);
bool cv_id_parse (cv_id_t *id, cv_slice_t text);

/* 64-bit hash (XXH3) of N bytes; not a cryptographic hash.  */
uint64_t cv_hash (const void *data, size_t n, uint64_t seed);
/* 64 bits of a cryptographic hash (BLAKE2b) of the N texts in PARTS, in this
   order.  Callers cannot choose a request with the digest of another one.  */
uint64_t cv_digest (const cv_slice_t *parts, size_t n);

/* ---- seeded random numbers (GSL) ---- */

typedef struct
{
  void *state; /* gsl_rng */
} cv_rng_t;

void cv_rng_init (cv_rng_t *rng, uint64_t seed);
void cv_rng_finish (cv_rng_t *rng);
/* Uniform in [0, 1).  */
double cv_rng_uniform (cv_rng_t *rng);
/* Uniform in [0, BOUND), BOUND > 0.  */
uint32_t cv_rng_below (cv_rng_t *rng, uint32_t bound);

/* ---- log ---- */

/* Event numbers, documented in base/events.def and docs/EVENTS.md.  */
typedef enum
{
#define CV_EVENT(number, priority, name, text) CV_EV_##name = (number),
#include "base/events.def"
#undef CV_EVENT
  CV_EV_LAST
} cv_event_t;

/* Sets the name of this process in log lines; IDENT is copied.  */
void cv_log_init (const char *ident);
/* Writes one line to standard error; base/line.h has the structured lines for
   decisions about requests.  Form: "<PRI>IDENT[PID]: EVENT NAME: text".  */
void cv_log (cv_event_t event, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* ---- histograms (GSL, logarithmic bins) ---- */

typedef struct
{
  void *bins; /* gsl_histogram of log10 (value) */
  double sum;
  double max;
  uint64_t count;
} cv_hist_t;

/* Bins of equal ratio from LOW to HIGH (both > 0); values outside the range are
   counted in the first or last bin.  */
void cv_hist_init (cv_hist_t *h, double low, double high);
void cv_hist_finish (cv_hist_t *h);
void cv_hist_add (cv_hist_t *h, double value);
/* The upper edge of the bin that holds quantile Q in [0, 1], or the maximum
   value if that is smaller; 0 when empty.  */
double cv_hist_quantile (const cv_hist_t *h, double q);

/* Number of bins; upper edge of bin I; number of values in bin I.  */
size_t cv_hist_bins (const cv_hist_t *h);
double cv_hist_upper_edge (const cv_hist_t *h, size_t i);
uint64_t cv_hist_bin_count (const cv_hist_t *h, size_t i);

/* ---- growing byte buffer ---- */

typedef struct
{
  char *p;
  size_t n;
  size_t cap;
} cv_buf_t;

void cv_buf_init (cv_buf_t *b);
void cv_buf_finish (cv_buf_t *b);
void cv_buf_reset (cv_buf_t *b);
void cv_buf_add (cv_buf_t *b, const void *data, size_t n);
void cv_buf_printf (cv_buf_t *b, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/* The content as a null-terminated string.  */
const char *cv_buf_text (cv_buf_t *b);

/* Memory allocation that aborts the process on failure.  */
void *cv_calloc (size_t count, size_t size);
void *cv_realloc (void *p, size_t size);
char *cv_strdup_n (const char *p, size_t n);

#ifdef __cplusplus
}
#endif

#endif
