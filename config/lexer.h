/* Lexer of the operators' language: splits a text into words with line and
   column.  */

#ifndef CV_CONFIG_LEXER_H
#define CV_CONFIG_LEXER_H

#include "base/base.h"

typedef enum
{
  CV_WORD_END,       /* end of the text */
  CV_WORD_SEPARATOR, /* ';' or the end of a line */
  CV_WORD_PLAIN,     /* letters, digits and -_.:/ */
  CV_WORD_QUOTED,    /* text between double quotes, quotes removed */
  CV_WORD_OPERATOR,  /* = != < <= > >= */
  CV_WORD_BAD        /* invalid; described in the lexer's error */
} cv_word_kind_t;

/* Size of a word's text in bytes, with its null byte.  */
#define CV_WORD_MAX 128

typedef struct
{
  cv_word_kind_t kind;
  char text[CV_WORD_MAX];
  int line;   /* from 1 */
  int column; /* from 1, in bytes */
} cv_word_t;

typedef struct
{
  cv_slice_t text;
  size_t offset; /* of the next unread byte */
  int line;      /* position of that byte */
  int column;
  cv_error_t *err; /* describes the first invalid word; may be NULL */
  cv_word_t word;  /* the current word */
} cv_lexer_t;

/* Initialize L and read the first word of TEXT.  */
void cv_lexer_init (cv_lexer_t *l, cv_slice_t text, cv_error_t *err);
/* Advance to the next word and return its kind.  Does not advance past an
   invalid word.  */
cv_word_kind_t cv_lexer_next (cv_lexer_t *l);
/* Whether the current word is the unquoted word TEXT.  */
bool cv_lexer_is_word (const cv_lexer_t *l, const char *text);
/* Set the error to "expected WHAT, found ..." at the position of the current
   word, unless that word is invalid and already reported.  Returns false.  */
bool cv_lexer_expected (cv_lexer_t *l, const char *what);

#endif
