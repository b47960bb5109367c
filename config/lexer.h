/* Words of the operators' language, with their positions.  */

#ifndef CV_CONFIG_LEXER_H
#define CV_CONFIG_LEXER_H

#include "base/base.h"

typedef enum
{
  CV_WORD_END,       /* end of the text */
  CV_WORD_SEPARATOR, /* ';' or a line's end */
  CV_WORD_PLAIN,     /* letters, digits and -_.:/ */
  CV_WORD_QUOTED,    /* text in double quotes, without them */
  CV_WORD_OPERATOR,  /* = != < <= > >= */
  CV_WORD_BAD        /* reported in the error */
} cv_word_kind_t;

#define CV_WORD_MAX 128

typedef struct
{
  cv_word_kind_t kind;
  char text[CV_WORD_MAX];
  int line;
  int column;
} cv_word_t;

typedef struct
{
  cv_slice_t text;
  size_t at;
  int line;
  int column;
  cv_error_t *err; /* filled with the first bad word; may be NULL */
  cv_word_t word;  /* the current word */
} cv_lexer_t;

/* Start at TEXT's first word.  */
void cv_lexer_init (cv_lexer_t *l, cv_slice_t text, cv_error_t *err);
/* Go to the next word; returns its kind.  */
cv_word_kind_t cv_lexer_next (cv_lexer_t *l);
/* The current word is the plain word TEXT.  */
bool cv_lexer_is (const cv_lexer_t *l, const char *text);
/* Fill the error: "expected WHAT, found ..." at the current word; returns
   false.  */
bool cv_lexer_expected (cv_lexer_t *l, const char *what);

#endif
