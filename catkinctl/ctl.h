/* Interface of catkinctl's modules: command line, calls of an entry, tables,
   verbs and exit codes.  */

#ifndef CV_CTL_H
#define CV_CTL_H

#include "base/base.h"

/* Exit codes, documented in catkinctl(1).  */
typedef enum
{
  CV_EXIT_OK = 0,
  CV_EXIT_REFUSED = 1, /* request refused, query invalid, response without rows,
                          or faults in load */
  CV_EXIT_INVALID = 2, /* a file or the key is invalid or cannot be read, or
                          explain found no log line */
  CV_EXIT_CONFLICT = 3, /* the base version is not in force */
  CV_EXIT_UNKNOWN = 4,  /* the change may or may not be accepted */
  CV_EXIT_NOT_RUN = 5,  /* no response, HTTP status 503, or an unhealthy entry;
                           configuration unchanged */
  CV_EXIT_USAGE = 64
} cv_exit_t;

/* Parsed command line.  */
typedef struct
{
  const char *entry; /* URL of the entry, or NULL */
  const char *key;   /* bearer key, or NULL */
  const char *store; /* URL of the platform's store, or NULL */
  const char *file;  /* file with the text, "-" for standard input */
  const char *base;  /* base version of a change, or NULL */
  const char *pool;  /* service pool of load's bookings, or NULL */
  const char *model; /* model of load's streams */
  const char
      *summary_class;    /* class of load's summaries, or NULL; --long-class */
  const char *tag_class; /* class of load's tags, or NULL */
  const char *ticket;    /* of load, sent as the Idempotency-Key, or NULL */
  bool json;
  bool dry_run;
  uint32_t count;           /* most requests of load */
  uint32_t concurrency;     /* callers of load at once */
  uint32_t seconds;         /* load starts no request after this time */
  uint32_t seed;            /* seed of load's request mix */
  uint32_t tag_percent;     /* tags among load's requests */
  uint32_t booking_percent; /* bookings among load's requests */
  uint32_t summary_tokens;  /* max_tokens of a summary; --long-tokens */
  uint32_t tag_tokens;      /* max_tokens of a tag */
  uint32_t timeout_s;       /* limit of one call */
  char **args;              /* words after the verb */
  size_t arg_count;
} cv_ctl_t;

#define CV_LOAD_CALLERS_MAX 256

/* Response of an entry.  */
typedef struct
{
  bool connected;   /* the entry responded; else the rest is empty */
  int status;       /* HTTP status */
  char outcome[16]; /* X-Outcome of a call to a service, or "" */
  bool replayed;    /* result of an earlier call with this Idempotency-Key */
  cv_buf_t body;
} cv_response_t;

struct _u_request;
/* Prepares a request to the entry.  False on failure; otherwise the caller
   cleans REQ.  */
bool cv_ctl_request (const cv_ctl_t *ctl, const char *method, const char *path,
                     const char *body, size_t n, struct _u_request *req);
/* Sends a request to the entry and stores the response in A, which the caller
   finishes.  BODY may be NULL when N is 0.  */
void cv_ctl_call (const cv_ctl_t *ctl, const char *method, const char *path,
                  const char *body, size_t n, cv_response_t *a);
void cv_response_finish (cv_response_t *a);
/* Prints why a call did not return status 200, and returns the exit code.  */
int cv_ctl_print_failure (const cv_ctl_t *ctl, cv_response_t *a);

/* Returns the text of a command: the content of --file, or VERB, which may be
   NULL, and the words after it.  When the file cannot be read, prints a message
   and returns NULL.  The caller frees the text.  */
char *cv_ctl_command_text (const cv_ctl_t *ctl, const char *verb, size_t *n);
/* Returns the content of a file ("-": standard input) of at most 4 MiB; on
   failure, prints a message and returns NULL.  The caller frees the text.  */
char *cv_ctl_read_file (const char *path, size_t *n);

/* A text table with columns as wide as their widest cell.  */
typedef struct cv_table_t cv_table_t;

cv_table_t *cv_table_new (void);
void cv_table_free (cv_table_t *t);
/* Appends a cell to the current row.  */
void cv_table_add_cell (cv_table_t *t, const char *text);
void cv_table_end_row (cv_table_t *t);
void cv_table_print (const cv_table_t *t, FILE *out);

/* The verbs.  Each returns an exit code.  */
int cv_ctl_check (const cv_ctl_t *ctl);
int cv_ctl_explain (const cv_ctl_t *ctl);
int cv_ctl_show (const cv_ctl_t *ctl);
int cv_ctl_query (const cv_ctl_t *ctl);
int cv_ctl_change (const cv_ctl_t *ctl);
int cv_ctl_install (const cv_ctl_t *ctl);
int cv_ctl_document (const cv_ctl_t *ctl);
int cv_ctl_status (const cv_ctl_t *ctl);
int cv_ctl_histograms (const cv_ctl_t *ctl);
int cv_ctl_hash (const cv_ctl_t *ctl);
int cv_ctl_quarantine (const cv_ctl_t *ctl);
int cv_ctl_load (const cv_ctl_t *ctl);

#endif
