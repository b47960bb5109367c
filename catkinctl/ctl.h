/* The operators' tool: verbs, their options and their exit codes.  */

#ifndef CV_CTL_H
#define CV_CTL_H

#include "base/base.h"

/* Exit codes; catkinctl(1) has them too.  */
typedef enum
{
  CV_EXIT_OK = 0,
  CV_EXIT_REFUSED = 1,  /* the entry refused it; nothing changed */
  CV_EXIT_INVALID = 2,  /* a file was refused, or could not be read */
  CV_EXIT_CONFLICT = 3, /* the base version is not the current one */
  CV_EXIT_UNKNOWN = 4,  /* the change may or may not be accepted */
  CV_EXIT_NOT_RUN = 5,  /* no entry answered; nothing changed */
  CV_EXIT_USAGE = 64
} cv_exit_t;

/* What the command line says.  */
typedef struct
{
  const char *entry;      /* URL of an entry */
  const char *key;        /* bearer key */
  const char *file;       /* text from a file, "-" for standard input */
  const char *base;       /* base version of a change, or NULL */
  const char *pool;       /* of load's bookings, or NULL */
  const char *model;      /* of load's streams */
  const char *long_class; /* class of load's summaries */
  const char *tag_class;  /* class of load's tags */
  const char *ticket;     /* idempotency key of a call, or NULL */
  bool json;
  bool dry_run;
  uint32_t count;           /* requests of load */
  uint32_t concurrency;     /* callers of load */
  uint32_t seconds;         /* load begins no request after them */
  uint32_t seed;            /* of load's mix */
  uint32_t tag_percent;     /* share of tags among load's requests */
  uint32_t booking_percent; /* share of bookings */
  uint32_t long_tokens;     /* longest summary */
  uint32_t tag_tokens;      /* longest tag */
  uint32_t timeout_s;       /* of one call */
  char **args;              /* words after the verb */
  size_t arg_count;
} cv_ctl_t;

#define CV_LOAD_CALLERS_MAX 256

/* One answer of an entry.  */
typedef struct
{
  bool connected;   /* an entry answered; else the rest is empty */
  int status;       /* HTTP status */
  char outcome[16]; /* of a call of a plain service, or "" */
  bool replayed;    /* it is the result of an earlier call */
  cv_buf_t body;
} cv_answer_t;

struct _u_request;
/* Prepare a request of an entry; the caller cleans REQ when this is true.  */
bool cv_ctl_request (const cv_ctl_t *ctl, const char *method, const char *path,
                     const char *body, size_t n, struct _u_request *req);
/* One call of an entry; BODY may be NULL.  The caller finishes A.  */
void cv_ctl_call (const cv_ctl_t *ctl, const char *method, const char *path,
                  const char *body, size_t n, cv_answer_t *a);
void cv_answer_finish (cv_answer_t *a);
/* Print why a call did not give 200 and return the exit code.  */
int cv_ctl_refused (const cv_ctl_t *ctl, cv_answer_t *a);

/* The text of a command: the words after the verb, or --file.  NULL after a
   message when it can't be read; the caller frees it.  */
char *cv_ctl_text (const cv_ctl_t *ctl, const char *verb, size_t *n);
/* A file's content ("-": standard input); NULL after a message.  */
char *cv_ctl_read (const char *path, size_t *n);

/* A table whose columns are as wide as their widest cell.  */
typedef struct cv_table_t cv_table_t;

cv_table_t *cv_table_new (void);
void cv_table_free (cv_table_t *t);
/* Add a cell to the last row, or begin a row.  */
void cv_table_cell (cv_table_t *t, const char *text);
void cv_table_end_row (cv_table_t *t);
void cv_table_print (const cv_table_t *t, FILE *out);

/* The verbs; each returns an exit code.  */
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
int cv_ctl_load (const cv_ctl_t *ctl);

#endif
