/* Prediction of output lengths.  There is one decayed histogram with
   logarithmic bins for each key, for each pair of request class and model, and
   for all streams.  A level with few samples is blended with its parent, the
   next more general level, and the most general with a log-uniform prior.  */

#include <math.h>
#include <stdlib.h>

#include "policy/length.h"
#include "policy/map.h"

/* Bins of ratio 2^(1/4): bin B starts at 2^(B/4) tokens.  */
#define BINS 68
#define BINS_PER_OCTAVE 4
/* Number of newer samples after which a sample weighs 1/e.  */
#define DECAY_SAMPLES 150.0
/* Weight of the parent level when blending, in samples.  */
#define PARENT_SAMPLES 6.0
#define INCREMENT_MAX 1e12

typedef struct
{
  float tail_weight[BINS + 1]; /* weight of the samples in bins >= the index */
  float increment;             /* weight of the next sample */
  uint32_t used_at;            /* tick of the last observation */
} length_dist_t;

/* Levels: all; class and model; account, class and model.  */
#define LEVELS 3

typedef struct
{
  const length_dist_t *dist[LEVELS];
  double parent_weight[LEVELS]; /* of the parent level */
  double own_weight[LEVELS];    /* factor of the histogram, 0: no samples */
} length_levels_t;

struct cv_length_t
{
  cv_map_t index;
  length_dist_t *dists; /* the first is for all streams */
  uint64_t *ids;
  uint32_t count;
  uint32_t max;
  uint32_t tick;
};

static uint32_t bin_of (uint32_t tokens);
static uint64_t pair_id (const cv_length_key_t *key);
static uint64_t key_id (const cv_length_key_t *key);
static length_dist_t *dist_get (cv_length_t *l, uint64_t id);
static void dist_add (length_dist_t *d, uint32_t bin);
static void levels_get (const cv_length_t *l, const cv_length_key_t *key,
                        length_levels_t *levels);
static double blended_survival (const length_levels_t *levels, double x);
static double probability_longer (const length_levels_t *levels, double tokens);

cv_length_t *
cv_length_new (uint32_t max_keys)
{
  cv_length_t *l = cv_calloc (1, sizeof *l);

  l->max = max_keys + 1;
  l->dists = cv_calloc (l->max, sizeof *l->dists);
  l->ids = cv_calloc (l->max, sizeof *l->ids);
  l->count = 1;
  cv_map_init (&l->index);
  return l;
}

void
cv_length_free (cv_length_t *l)
{
  if (l == NULL)
    return;
  cv_map_finish (&l->index);
  free (l->dists);
  free (l->ids);
  free (l);
}

static uint32_t
bin_of (uint32_t tokens)
{
  double b = BINS_PER_OCTAVE * log2 (tokens < 1 ? 1.0 : (double)tokens);

  return b >= BINS - 1 ? BINS - 1 : (uint32_t)b;
}

static uint64_t
pair_id (const cv_length_key_t *key)
{
  return cv_mix (key->class_id * 3 + cv_mix (key->model)) | 1;
}

static uint64_t
key_id (const cv_length_key_t *key)
{
  return cv_mix (pair_id (key) + cv_mix (key->account)) & ~1ULL;
}

/* Finds or makes the histogram ID.  When the table is full, the least recently
   used of 8 random ones is replaced.  */
static length_dist_t *
dist_get (cv_length_t *l, uint64_t id)
{
  uint32_t i = cv_map_get (&l->index, id);

  if (i != CV_MAP_NONE)
    return &l->dists[i];
  if (l->count < l->max)
    i = l->count++;
  else
    {
      i = 1 + (uint32_t)(cv_mix (id) % (l->max - 1));
      for (uint32_t k = 1; k < 8; k++)
        {
          uint32_t j = 1 + (uint32_t)(cv_mix (id + k) % (l->max - 1));

          if (l->dists[j].used_at < l->dists[i].used_at)
            i = j;
        }
      cv_map_remove (&l->index, l->ids[i]);
    }
  l->dists[i] = (length_dist_t){ 0 };
  l->ids[i] = id;
  cv_map_put (&l->index, id, i);
  return &l->dists[i];
}

static void
dist_add (length_dist_t *d, uint32_t bin)
{
  if (d->increment <= 0)
    d->increment = 1;
  d->increment *= (float)(1.0 + 1.0 / DECAY_SAMPLES);
  for (uint32_t b = 0; b <= bin; b++)
    d->tail_weight[b] += d->increment;
  if (d->increment < (float)INCREMENT_MAX)
    return;
  for (uint32_t b = 0; b <= BINS; b++)
    d->tail_weight[b] /= d->increment;
  d->increment = 1;
}

void
cv_length_observe (cv_length_t *l, const cv_length_key_t *key, uint32_t tokens)
{
  uint32_t bin = bin_of (tokens);
  length_dist_t *d;

  l->tick++;
  dist_add (&l->dists[0], bin);
  if (l->max < 3)
    return;
  d = dist_get (l, pair_id (key));
  d->used_at = l->tick;
  dist_add (d, bin);
  d = dist_get (l, key_id (key));
  d->used_at = l->tick;
  dist_add (d, bin);
}

/* Finds the histograms for KEY and their weights.  */
static void
levels_get (const cv_length_t *l, const cv_length_key_t *key,
            length_levels_t *levels)
{
  uint32_t index[LEVELS] = { 0, cv_map_get (&l->index, pair_id (key)),
                             cv_map_get (&l->index, key_id (key)) };

  for (int i = 0; i < LEVELS; i++)
    {
      const length_dist_t *d
          = &l->dists[index[i] == CV_MAP_NONE ? 0 : index[i]];
      bool has_samples = index[i] != CV_MAP_NONE && d->increment > 0;
      double total = has_samples ? d->tail_weight[0] / d->increment : 0;

      levels->dist[i] = d;
      levels->parent_weight[i] = PARENT_SAMPLES / (PARENT_SAMPLES + total);
      levels->own_weight[i]
          = has_samples ? 1 / ((PARENT_SAMPLES + total) * d->increment) : 0;
    }
}

/* Returns the probability that an output is longer than 2^(X/4) tokens.  */
static double
blended_survival (const length_levels_t *levels, double x)
{
  uint32_t b = x >= BINS ? BINS - 1 : (uint32_t)x;
  double fraction = x >= BINS ? 1 : x - b;
  double p = x >= BINS ? 0 : 1.0 - x / BINS;

  for (int i = 0; i < LEVELS; i++)
    {
      const float *tail = levels->dist[i]->tail_weight + b;

      p = levels->parent_weight[i] * p
          + levels->own_weight[i]
                * ((1 - fraction) * tail[0] + fraction * tail[1]);
    }
  return p;
}

/* Returns the probability that an output is longer than TOKENS.  */
static double
probability_longer (const length_levels_t *levels, double tokens)
{
  return blended_survival (levels,
                           BINS_PER_OCTAVE * log2 (tokens < 1 ? 1 : tokens));
}

void
cv_length_survivals (const cv_length_t *l, const cv_length_key_t *key,
                     uint32_t produced, const uint32_t *ahead, size_t n,
                     double *survival)
{
  length_levels_t levels;
  double from = produced < 1 ? 1 : produced;
  double base;

  levels_get (l, key, &levels);
  base = probability_longer (&levels, from);
  for (size_t i = 0; i < n; i++)
    survival[i]
        = base <= 0 ? 0 : probability_longer (&levels, from + ahead[i]) / base;
}

uint32_t
cv_length_remaining (const cv_length_t *l, const cv_length_key_t *key,
                     uint32_t produced, uint32_t limit, double q)
{
  length_levels_t levels;
  double from = produced < 1 ? 1 : produced;
  uint32_t low = 0;
  uint32_t high;
  double bound;

  if (produced >= limit)
    return 0;
  levels_get (l, key, &levels);
  bound = (1 - q) * probability_longer (&levels, from);
  high = limit - produced;
  /* Find the smallest number of further tokens that the output exceeds with
     probability at most 1 - Q.  */
  while (low < high)
    {
      uint32_t mid = low + (high - low) / 2;

      if (probability_longer (&levels, from + mid) <= bound)
        high = mid;
      else
        low = mid + 1;
    }
  return high > 0 ? high : 1;
}
