/* Tests of document patches and of the patch history.  */

#include <gtest/gtest.h>

#include <string>

#include "config/patch.h"

namespace
{

cv_slice_t
slice (const std::string &s)
{
  return cv_slice_t{ s.data (), s.size () };
}

std::string
make_patch (const std::string &from, const std::string &to)
{
  cv_buf_t buf;
  std::string out = "refused";

  cv_buf_init (&buf);
  if (cv_patch_make (slice (from), slice (to), &buf, nullptr))
    out.assign (buf.p, buf.n);
  cv_buf_finish (&buf);
  return out;
}

std::string
apply_patch (const std::string &base, const std::string &patch)
{
  cv_buf_t buf;
  std::string out = "refused";

  cv_buf_init (&buf);
  if (cv_patch_apply (slice (base), slice (patch), &buf, nullptr))
    out.assign (buf.p, buf.n);
  cv_buf_finish (&buf);
  return out;
}

TEST (Patch, PatchesBetweenDocuments)
{
  static const struct
  {
    const char *from;
    const char *to;
    const char *patch;
  } cases[] = {
    { R"({"a":1})", R"({"a":1})", R"({})" },
    { R"({"a":1})", R"({"a":2})", R"({"a":2})" },
    { R"({"a":1,"b":2})", R"({"a":1})", R"({"b":null})" },
    { R"({"a":{"x":1,"y":2}})", R"({"a":{"x":1,"y":3,"z":4}})",
      R"({"a":{"y":3,"z":4}})" },
    { R"({"a":{"x":1}})", R"({"a":7})", R"({"a":7})" },
    { R"({"a":7})", R"({"a":{"x":{"y":1}}})", R"({"a":{"x":{"y":1}}})" },
    { R"({"a":[1,2]})", R"({"a":[1,3]})", R"({"a":[1,3]})" },
    { R"({"a":{"x":1}})", R"({"a":{}})", R"({"a":{"x":null}})" },
  };

  for (const auto &c : cases)
    {
      EXPECT_EQ (make_patch (c.from, c.to), c.patch) << c.from;
      EXPECT_EQ (make_patch (apply_patch (c.from, c.patch), c.to), "{}")
          << c.from;
    }
}

TEST (Patch, MalformedInputIsRefused)
{
  EXPECT_EQ (make_patch ("[]", "{}"), "refused");
  EXPECT_EQ (make_patch ("{}", R"({"a":null})"), "refused");
  EXPECT_EQ (make_patch ("{}", R"({"a":{"b":null}})"), "refused");
  EXPECT_EQ (apply_patch ("{}", "{"), "refused");
  EXPECT_EQ (apply_patch ("7", "{}"), "refused");
  EXPECT_EQ (apply_patch ("{}", ""), "refused");
}

/* Applying the patch between two random documents gives the second.  */
TEST (Patch, PatchedRandomDocumentsAreEqual)
{
  cv_rng_t rng;
  std::string from = "{}";

  cv_rng_init (&rng, 11);
  for (int round = 0; round < 500; round++)
    {
      std::string to = "{";

      for (int key = 0; key < 6; key++)
        {
          uint32_t kind = cv_rng_below (&rng, 4);

          if (kind == 0)
            continue;
          to += to.size () > 1 ? "," : "";
          to += "\"k" + std::to_string (key) + "\":";
          if (kind == 1)
            to += std::to_string (cv_rng_below (&rng, 3));
          else
            to += "{\"m" + std::to_string (cv_rng_below (&rng, 3))
                  + "\":" + std::to_string (cv_rng_below (&rng, 2)) + "}";
        }
      to += "}";
      ASSERT_EQ (make_patch (apply_patch (from, make_patch (from, to)), to),
                 "{}")
          << from << " to " << to;
      from = to;
    }
  cv_rng_finish (&rng);
}

TEST (History, FindsTheFurthestPatchAndEvictsTheOldest)
{
  cv_history_t h;

  cv_history_init (&h);
  EXPECT_EQ (cv_history_find (&h, 1), nullptr);
  cv_history_add (&h, 1, 2, cv_slice ("{\"a\":1}"));
  cv_history_add (&h, 1, 4, cv_slice ("{\"a\":2}"));
  cv_history_add (&h, 2, 3, cv_slice ("{}"));
  ASSERT_NE (cv_history_find (&h, 1), nullptr);
  EXPECT_EQ (cv_history_find (&h, 1)->to, 4u);
  EXPECT_STREQ (cv_history_find (&h, 1)->text, "{\"a\":2}");
  cv_history_add (&h, 4, 6, cv_slice ("{}"));
  EXPECT_TRUE (cv_history_connects (&h, 1, 6));
  EXPECT_FALSE (cv_history_connects (&h, 1, 5));
  EXPECT_FALSE (cv_history_connects (&h, 3, 6));
  for (uint64_t v = 10; v < 10 + CV_HISTORY_PATCHES; v++)
    cv_history_add (&h, v, v + 1, cv_slice ("{}"));
  EXPECT_EQ (cv_history_find (&h, 1), nullptr);
  cv_history_finish (&h);
}

}
