/* Checked reading of JSON with comments: json-c builds the tree, and a scan
   of the same text adds what json-c lets pass: keys given twice, numbers out
   of range, and the position of every value.  */

#ifndef CV_JSON_H
#define CV_JSON_H

#include "base/base.h"

#include <json-c/json.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Where problems of one input go.  */
typedef struct
{
  FILE *out;        /* one line for each problem, or NULL */
  const char *file; /* name that starts each line, or NULL */
  unsigned count;
  cv_error_t first; /* the first problem */
} cv_problems_t;

void cv_problems_init (cv_problems_t *p, FILE *out, const char *file);
/* Record one problem: "FILE:LINE:COLUMN: text".  Returns false.  */
bool cv_problem (cv_problems_t *p, int line, int column, const char *format,
                 ...) __attribute__ ((format (printf, 4, 5)));

/* Parse one object; NULL when the text is not JSON with comments.  With
   problems of other kinds (a key given twice, null, a number out of range)
   the tree is returned and P->count tells of them.  The caller puts the
   tree.  */
struct json_object *cv_json_parse (cv_slice_t text, cv_problems_t *p);

/* Position of a value of a tree from cv_json_parse, 1-based.  */
int cv_json_line (struct json_object *value);
int cv_json_column (struct json_object *value);
/* The text gave a whole number that 64 bits cannot hold.  */
bool cv_json_clamped (struct json_object *value);

/* ---- reading an object into a struct by a table of fields ---- */

typedef enum
{
  CV_FIELD_TEXT = 1, /* char[SIZE]; any text */
  CV_FIELD_NAME,     /* char[SIZE]; letters, digits, '-', '_', '.' */
  CV_FIELD_ADDRESS,  /* char[SIZE]; IPv4 or IPv6 number */
  CV_FIELD_URL,      /* char[SIZE]; http://IP:PORT */
  CV_FIELD_HASH,     /* char[65]; 64 lower-case hexadecimal digits */
  CV_FIELD_U32,      /* uint32_t from MIN to MAX */
  CV_FIELD_U64,      /* uint64_t from MIN to MAX */
  CV_FIELD_REAL,     /* double from MIN to MAX; the preset is whole */
  CV_FIELD_BOOL,     /* bool */
  CV_FIELD_CHOICE,   /* int: 1-based index into CHOICES */
  CV_FIELD_OBJECT    /* a struct at OFFSET, read by FIELDS */
} cv_field_kind_t;

/* One field of an object.  */
typedef struct cv_field_t
{
  const char *key; /* NULL ends a table */
  cv_field_kind_t kind;
  bool required;
  size_t offset; /* in the struct */
  size_t size;   /* of a text */
  int64_t min;
  int64_t max;
  int64_t preset;             /* value of an absent number or choice */
  const char *const *choices; /* NULL-terminated */
  const struct cv_field_t *fields;
} cv_field_t;

/* Write the presets of FIELDS into OUT.  */
void cv_fields_preset (const cv_field_t *fields, void *out);
/* Read OBJECT into OUT; unknown and missing keys, wrong types and values out
   of range are each one problem.  PATH names the object in problems ("" for
   the document).  */
void cv_fields_read (const cv_field_t *fields, struct json_object *object,
                     const char *path, void *out, cv_problems_t *p);
/* Check TEXT as a value of F and store it; used for values that come from
   elsewhere than JSON.  EXPECTED receives what was expected.  */
bool cv_field_set_text (const cv_field_t *f, const char *text, void *out,
                        char *expected, size_t expected_size);

bool cv_name_valid (const char *text);

#ifdef __cplusplus
}
#endif

#endif
