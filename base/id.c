/* The monotonic clock, random identifiers, hashes and seeded random numbers. */

#include <gsl/gsl_rng.h>
#include <inttypes.h>
#include <sodium.h>
#include <string.h>
#include <time.h>
#include <xxhash.h>

#include "base/base.h"

static int hex_value (char c);

cv_time_t
cv_now (void)
{
  struct timespec ts;

  CV_INVARIANT (clock_gettime (CLOCK_MONOTONIC, &ts) == 0);
  return (cv_time_t)ts.tv_sec * CV_SECOND + ts.tv_nsec / 1000;
}

int64_t
cv_wall_s (void)
{
  return time (NULL);
}

cv_id_t
cv_id_random (void)
{
  cv_id_t id;

  CV_INVARIANT (sodium_init () >= 0);
  randombytes_buf (&id, sizeof id);
  return id;
}

uint64_t
cv_random_u64 (void)
{
  return cv_id_random ().lo;
}

bool
cv_id_equal (cv_id_t a, cv_id_t b)
{
  return a.hi == b.hi && a.lo == b.lo;
}

bool
cv_id_is_zero (cv_id_t id)
{
  return id.hi == 0 && id.lo == 0;
}

const char *
cv_id_format (cv_id_t id, char text[CV_ID_TEXT])
{
  (void)snprintf (text, CV_ID_TEXT, "%016" PRIx64 "%016" PRIx64, id.hi, id.lo);
  return text;
}

static int
hex_value (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  return -1;
}

bool
cv_id_parse (cv_id_t *id, cv_slice_t text)
{
  uint64_t part[2] = { 0, 0 };

  if (text.n != CV_ID_TEXT - 1)
    return false;
  for (size_t i = 0; i < text.n; i++)
    {
      int v = hex_value (text.p[i]);

      if (v < 0)
        return false;
      part[i / 16] = part[i / 16] << 4 | (uint64_t)v;
    }
  id->hi = part[0];
  id->lo = part[1];
  return true;
}

uint64_t
cv_hash (const void *data, size_t n, uint64_t seed)
{
  return XXH3_64bits_withSeed (data, n, seed);
}

uint64_t
cv_digest (const cv_slice_t *parts, size_t n)
{
  crypto_generichash_state state;
  unsigned char hash[crypto_generichash_BYTES_MIN];
  uint64_t digest;

  CV_INVARIANT (sodium_init () >= 0);
  CV_INVARIANT (crypto_generichash_init (&state, NULL, 0, sizeof hash) == 0);
  for (size_t i = 0; i < n; i++)
    {
      uint64_t size = parts[i].n;

      /* The size keeps the texts apart.  */
      (void)crypto_generichash_update (&state, (const unsigned char *)&size,
                                       sizeof size);
      (void)crypto_generichash_update (&state,
                                       (const unsigned char *)parts[i].p, size);
    }
  CV_INVARIANT (crypto_generichash_final (&state, hash, sizeof hash) == 0);
  memcpy (&digest, hash, sizeof digest);
  return digest;
}

void
cv_rng_init (cv_rng_t *rng, uint64_t seed)
{
  rng->state = gsl_rng_alloc (gsl_rng_taus2);
  CV_INVARIANT (rng->state != NULL);
  gsl_rng_set (rng->state, (unsigned long)seed);
}

void
cv_rng_finish (cv_rng_t *rng)
{
  gsl_rng_free (rng->state);
  rng->state = NULL;
}

double
cv_rng_uniform (cv_rng_t *rng)
{
  return gsl_rng_uniform (rng->state);
}

uint32_t
cv_rng_below (cv_rng_t *rng, uint32_t bound)
{
  CV_INVARIANT (bound > 0);
  return (uint32_t)gsl_rng_uniform_int (rng->state, bound);
}
