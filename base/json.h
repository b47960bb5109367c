/* Strict parser of JSON with comments.  json-c builds the tree; a scan of the
   same text finds errors that json-c accepts (duplicate keys, null, numbers out
   of range) and records the position of every value.  */

#ifndef CV_JSON_H
#define CV_JSON_H

#include "base/base.h"

#include <json-c/json.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Collects the problems found in one input.  */
typedef struct
{
  FILE *out;        /* receives one line per problem, or NULL */
  const char *file; /* name of the input in these lines, or NULL */
  unsigned count;
  cv_error_t first; /* the first problem */
} cv_problems_t;

void cv_problems_init (cv_problems_t *p, FILE *out, const char *file);
/* Records one problem, "FILE:LINE:COLUMN: text", and returns false.  */
bool cv_problem (cv_problems_t *p, int line, int column, const char *format,
                 ...) __attribute__ ((format (printf, 4, 5)));

/* Parses one object; NULL if the text is not JSON with comments.  With problems
   of other kinds (duplicate key, null, number out of range) the tree is
   returned and P->count is greater than 0.  The caller releases the tree with
   json_object_put.  */
struct json_object *cv_json_parse (cv_slice_t text, cv_problems_t *p);

/* Position of a value of a tree from cv_json_parse, 1-based; 0 when unknown.
   The position of a member of an object is that of its key.  */
int cv_json_line (struct json_object *value);
int cv_json_column (struct json_object *value);
/* Whether the text has an integer here that does not fit into 64 bits.  */
bool cv_json_is_out_of_range (struct json_object *value);

/* ---- reading an object into a struct, described by a table of fields ---- */

typedef enum
{
  CV_FIELD_TEXT = 1, /* char[SIZE]; any text */
  CV_FIELD_NAME,     /* char[SIZE]; letters, digits, '-', '_', '.' */
  CV_FIELD_ADDRESS,  /* char[SIZE]; IPv4 or IPv6 address ("IP number") */
  CV_FIELD_URL,      /* char[SIZE]; http://IP:PORT */
  CV_FIELD_HASH,     /* char[65]; SHA-256 as 64 lower-case hexadecimal
                        digits */
  CV_FIELD_U32,      /* uint32_t from MIN to MAX */
  CV_FIELD_U64,      /* uint64_t from MIN to MAX */
  CV_FIELD_REAL,     /* double from MIN to MAX; the default is whole */
  CV_FIELD_BOOL,     /* bool */
  CV_FIELD_CHOICE,   /* int: 1-based index into CHOICES */
  CV_FIELD_OBJECT,   /* struct at OFFSET, described by FIELDS */
  CV_FIELD_NAMES     /* cv_names_t: an object whose values are names */
} cv_field_kind_t;

/* Names by name; more are invalid.  */
#define CV_NAMES_MAX 64

typedef struct
{
  uint32_t count;
  struct
  {
    char key[CV_NAME_MAX];
    char value[CV_NAME_MAX];
  } names[CV_NAMES_MAX];
} cv_names_t;

/* The value of KEY, or NULL.  */
const char *cv_names_find (const cv_names_t *n, const char *key);

/* One field of an object.  */
typedef struct cv_field_t
{
  const char *key; /* NULL: end of the table */
  cv_field_kind_t kind;
  bool required;
  size_t offset; /* in the struct */
  size_t size;   /* size of a char array */
  int64_t min;
  int64_t max;
  int64_t default_value;      /* default of a number, boolean or choice */
  const char *const *choices; /* NULL-terminated */
  const struct cv_field_t *fields;
} cv_field_t;

/* Sets all fields of OUT to their defaults.  */
void cv_fields_set_defaults (const cv_field_t *fields, void *out);
/* Reads OBJECT into OUT.  Each unknown key, missing key, wrong type and value
   out of range is reported as one problem.  PATH is the path of OBJECT in these
   reports, "" for the document.  */
void cv_fields_read (const cv_field_t *fields, struct json_object *object,
                     const char *path, void *out, cv_problems_t *p);
/* Parses TEXT as a value of F and stores it in OUT; for values that do not come
   from JSON.  On failure EXPECTED (may be NULL) receives a description of valid
   values.  */
bool cv_field_parse_text (const cv_field_t *f, const char *text, void *out,
                          char *expected, size_t expected_size);

/* Whether TEXT is a valid CV_FIELD_NAME of less than CV_NAME_MAX bytes.  */
bool cv_name_is_valid (const char *text);

#ifdef __cplusplus
}
#endif

#endif
