/* Tests of errors, strings, identifiers, random numbers and histograms.  */

#include <gtest/gtest.h>

#include <string>

#include "base/base.h"

namespace
{

TEST (Error, KeepsPositionAndTruncatesLongText)
{
  cv_error_t err;
  std::string text (1000, 'x');

  EXPECT_FALSE (cv_fail_at (&err, 3, 9, "field %s", text.c_str ()));
  EXPECT_EQ (err.code, CV_ERR_INVALID);
  EXPECT_EQ (err.line, 3);
  EXPECT_EQ (err.column, 9);
  EXPECT_EQ (std::string (err.text).size (), sizeof err.text - 1);
  EXPECT_FALSE (cv_fail (nullptr, CV_ERR_LIMIT, "no place to put it"));
}

TEST (String, CopyRejectsTextThatDoesNotFit)
{
  char dst[4];

  EXPECT_TRUE (cv_copy (dst, sizeof dst, "abc"));
  EXPECT_STREQ (dst, "abc");
  EXPECT_FALSE (cv_copy (dst, sizeof dst, "abcd"));
  EXPECT_STREQ (dst, "");
}

TEST (Id, FormatAndParse)
{
  cv_id_t id = { 0x0123456789abcdef, 0xfedcba9876543210 };
  cv_id_t back;
  char text[CV_ID_TEXT];

  EXPECT_STREQ (cv_id_format (id, text), "0123456789abcdeffedcba9876543210");
  EXPECT_TRUE (cv_id_parse (&back, cv_slice (text)));
  EXPECT_TRUE (cv_id_equal (id, back));
  EXPECT_FALSE (cv_id_parse (&back, cv_slice ("0123")));
  EXPECT_FALSE (
      cv_id_parse (&back, cv_slice ("0123456789abcdeffedcba987654321G")));
  EXPECT_FALSE (cv_id_equal (cv_id_random (), cv_id_random ()));
}

TEST (Rng, SameSeedSameNumbers)
{
  cv_rng_t a;
  cv_rng_t b;

  cv_rng_init (&a, 42);
  cv_rng_init (&b, 42);
  for (int i = 0; i < 100; i++)
    EXPECT_EQ (cv_rng_below (&a, 1000), cv_rng_below (&b, 1000));
  cv_rng_finish (&a);
  cv_rng_finish (&b);
}

TEST (Histogram, QuantilesWithinTheBinWidth)
{
  cv_hist_t h;

  cv_hist_init (&h, 1, 1e6);
  EXPECT_EQ (cv_hist_quantile (&h, 0.5), 0);
  for (int i = 1; i <= 1000; i++)
    cv_hist_add (&h, i);
  EXPECT_NEAR (cv_hist_quantile (&h, 0.5), 500, 500 * 0.08);
  EXPECT_NEAR (cv_hist_quantile (&h, 0.99), 990, 990 * 0.08);
  EXPECT_EQ (cv_hist_quantile (&h, 1), 1000);
  cv_hist_add (&h, 0);
  cv_hist_add (&h, 1e9);
  EXPECT_EQ (h.count, 1002u);
  cv_hist_finish (&h);
}

}
