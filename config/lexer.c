/* Splits a text of the operators' language into words.  */

#include <ctype.h>
#include <string.h>

#include "config/lexer.h"

static int
peek (const cv_lexer_t *l)
{
  return l->offset < l->text.n ? (unsigned char)l->text.p[l->offset] : -1;
}

static int
advance (cv_lexer_t *l)
{
  int c = peek (l);

  l->offset++;
  l->column++;
  if (c == '\n')
    {
      l->line++;
      l->column = 1;
    }
  return c;
}

static cv_word_kind_t
fail_word (cv_lexer_t *l, const char *text)
{
  if (l->word.kind != CV_WORD_BAD)
    cv_fail_at (l->err, l->word.line, l->word.column, "%s", text);
  return l->word.kind = CV_WORD_BAD;
}

static bool
is_plain_char (int c)
{
  return c >= 0 && (isalnum (c) || (c != 0 && strchr ("-_.:/", c) != NULL));
}

static void
skip_blanks_and_comment (cv_lexer_t *l)
{
  while (peek (l) == ' ' || peek (l) == '\t' || peek (l) == '\r')
    advance (l);
  if (peek (l) == '#')
    while (peek (l) >= 0 && peek (l) != '\n')
      advance (l);
}

static cv_word_kind_t
read_plain (cv_lexer_t *l)
{
  size_t n = 0;

  while (is_plain_char (peek (l)))
    {
      if (n + 1 >= sizeof l->word.text)
        return fail_word (l, "expected a shorter word");
      l->word.text[n++] = (char)advance (l);
    }
  l->word.text[n] = '\0';
  return l->word.kind = CV_WORD_PLAIN;
}

static cv_word_kind_t
read_quoted (cv_lexer_t *l)
{
  size_t n = 0;

  advance (l);
  while (peek (l) != '"')
    {
      if (peek (l) < ' ')
        return fail_word (l, "expected a closing quote on the same line");
      if (n + 1 >= sizeof l->word.text)
        return fail_word (l, "expected a shorter text");
      l->word.text[n++] = (char)advance (l);
    }
  advance (l);
  l->word.text[n] = '\0';
  return l->word.kind = CV_WORD_QUOTED;
}

static cv_word_kind_t
read_operator (cv_lexer_t *l)
{
  int c = advance (l);

  l->word.text[0] = (char)c;
  l->word.text[1] = '\0';
  if (c != '=' && peek (l) == '=')
    {
      advance (l);
      memcpy (l->word.text + 1, "=", 2);
    }
  else if (c == '!')
    return fail_word (l, "expected '=' after '!'");
  return l->word.kind = CV_WORD_OPERATOR;
}

cv_word_kind_t
cv_lexer_next (cv_lexer_t *l)
{
  int c;

  if (l->word.kind == CV_WORD_BAD)
    return CV_WORD_BAD;
  skip_blanks_and_comment (l);
  l->word.line = l->line;
  l->word.column = l->column;
  l->word.text[0] = '\0';
  c = peek (l);
  if (c < 0)
    return l->word.kind = CV_WORD_END;
  if (c == ';' || c == '\n')
    {
      advance (l);
      return l->word.kind = CV_WORD_SEPARATOR;
    }
  if (c == '"')
    return read_quoted (l);
  if (c != 0 && strchr ("=!<>", c) != NULL)
    return read_operator (l);
  if (is_plain_char (c))
    return read_plain (l);
  return fail_word (
      l, "expected a word, a quoted text or one of = != < <= > >= ;");
}

void
cv_lexer_init (cv_lexer_t *l, cv_slice_t text, cv_error_t *err)
{
  memset (l, 0, sizeof *l);
  l->text = text;
  l->line = 1;
  l->column = 1;
  l->err = err;
  (void)cv_lexer_next (l);
}

bool
cv_lexer_is_word (const cv_lexer_t *l, const char *text)
{
  return l->word.kind == CV_WORD_PLAIN && strcmp (l->word.text, text) == 0;
}

bool
cv_lexer_expected (cv_lexer_t *l, const char *what)
{
  switch (l->word.kind)
    {
    case CV_WORD_BAD:
      return false; /* cv_lexer_next has set the error */
    case CV_WORD_END:
    case CV_WORD_SEPARATOR:
      return cv_fail_at (l->err, l->word.line, l->word.column,
                         "expected %s, found the end of the %s", what,
                         l->word.kind == CV_WORD_END ? "text" : "edit");
    default:
      return cv_fail_at (l->err, l->word.line, l->word.column,
                         "expected %s, found \"%.60s\"", what, l->word.text);
    }
}
