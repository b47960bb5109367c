/* Decisions when the targets of a service are short of room.  Load pattern: a
   class of short, urgent requests and a class of long, less urgent ones use the
   same engines; a burst of either fills them.  Long runs keep their memory for
   seconds, so that an urgent request which comes a moment later finds none.

   Used only for a service whose routes differ in priority or objective.  Ranks
   and levels: 0 is the most urgent.  docs/design/shortage.md has the rules.  */

#ifndef CV_POLICY_SHORTAGE_H
#define CV_POLICY_SHORTAGE_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* ---- order ---- */

/* Greatest rank that is told from others.  */
#define CV_SHORTAGE_RANK_MAX 999

/* What one request loses by waiting.  */
typedef struct
{
  uint32_t rank;      /* of its class and client account */
  bool is_begun;      /* its stream has begun: a wait is a gap */
  bool is_late;       /* a retry: its objective has been missed */
  bool is_starved;    /* its class, account or size is (cv_use_is_starved) */
  bool is_of_largest; /* its account has used more than all others */
  cv_time_t objective_at; /* last start that meets the objective */
  cv_time_t deadline_at;  /* last start that ends before the deadline */
} cv_claim_t;

/* Whether the objective can still be met by a start at NOW.  */
bool cv_claim_is_in_time (const cv_claim_t *c, cv_time_t now);
/* Whether it cannot, and the deadline is so far that C loses nothing by waiting
   for a while.  */
bool cv_claim_is_far (const cv_claim_t *c, cv_time_t now);
/* The level of C at NOW: by rank, and within a rank in time before late.  A
   late request whose deadline is far loses nothing by waiting and comes after
   all others.  */
uint32_t cv_claim_level (const cv_claim_t *c, cv_time_t now);
/* The same from what a reservation request states; IN_TIME_MS and LEFT_MS are
   the times left to the two last starts, 0 when over.  */
uint32_t cv_shortage_level (uint32_t rank, uint32_t in_time_ms,
                            uint32_t left_ms);
/* Whether A is served before B, which has waited longer: by level, then those
   of accounts that have used less, then by the time left.  */
bool cv_claim_precedes (const cv_claim_t *a, const cv_claim_t *b,
                        cv_time_t now);

/* Expected time in which a run holds its memory.  */
cv_time_t cv_shortage_hold (uint32_t prompt_tokens, uint32_t output_tokens);
/* Whether a run that holds its memory for HOLD ends before the other runs of
   its engine have grown by much.  */
bool cv_shortage_is_short (cv_time_t hold);

/* ---- memory of one engine that is kept for more urgent requests ---- */

/* Levels with requests that wait; of more, the least recent is dropped.  */
#define CV_DEMAND_LEVELS 16

/* The last refused request of one level, which waits.  */
typedef struct
{
  uint32_t level;
  uint64_t run; /* 0: none */
  uint64_t tokens;
  cv_time_t refused_at;
} cv_level_demand_t;

/* Requests that wait for memory of one engine, by level.  */
typedef struct
{
  cv_level_demand_t levels[CV_DEMAND_LEVELS];
} cv_demand_t;

/* RUN of LEVEL asked for TOKENS, and was GRANTED them or not.  */
void cv_demand_answered (cv_demand_t *d, cv_time_t now, uint32_t level,
                         uint64_t run, uint64_t tokens, bool granted);
/* Tokens of the TOTAL that a run of LEVEL leaves free for more urgent ones that
   wait.  */
uint64_t cv_demand_reserve (const cv_demand_t *d, cv_time_t now, uint32_t level,
                            uint64_t total);

/* ---- refused reservations ---- */

#define CV_REFUSED_SIZES 4

/* Smallest requests that an engine's observer refused since its last load
   report, by level; count 0: none.  */
typedef struct
{
  struct
  {
    uint32_t level;
    uint64_t tokens;
  } sizes[CV_REFUSED_SIZES];
  uint32_t count;
} cv_refused_sizes_t;

void cv_refused_sizes_add (cv_refused_sizes_t *r, uint32_t level,
                           uint64_t tokens);
/* Whether one that is as urgent and no larger was refused.  */
bool cv_refused_sizes_covers (const cv_refused_sizes_t *r, uint32_t level,
                              uint64_t tokens);

/* ---- the queue of one service at one gateway ---- */

/* Rate at which requests leave the queue while there is one.  */
typedef struct
{
  double queued_s; /* decayed time with a queue */
  double count;    /* of requests sent in that time */
  double work;     /* tokens x seconds of what was sent in that time */
  cv_time_t updated_at;
} cv_drain_t;

/* Takes the time until NOW into account, in which IS_QUEUED: requests waited.
 */
void cv_drain_advance (cv_drain_t *d, cv_time_t now, bool is_queued);
/* A request of WORK was sent while others waited or after it had waited.  */
void cv_drain_sent (cv_drain_t *d, double work);
/* Expected time until WORK that waits is sent; -1: not known.  */
cv_time_t cv_drain_wait (const cv_drain_t *d, double work);

/* ---- shares of the service ---- */

typedef enum
{
  CV_SHARE_OF_ALL = 0,
  CV_SHARE_OF_CLASS,
  CV_SHARE_OF_ACCOUNT,
  CV_SHARE_OF_SIZE
} cv_share_kind_t;

#define CV_USE_ENTRIES 64

/* Decayed outcomes of requests of one class, account or size.  */
typedef struct
{
  cv_share_kind_t kind;
  uint64_t key;
  double served; /* count 0 and 0: a free entry */
  double refused;
  double work; /* of the served ones, tokens x seconds */
  cv_time_t updated_at;
} cv_use_share_t;

/* Of one service; the entry of all is the first.  */
typedef struct
{
  cv_use_share_t entries[CV_USE_ENTRIES];
} cv_use_t;

/* A request, which belongs to a class, an account and a size.  */
typedef struct
{
  uint64_t class_key;
  uint64_t account_key;
  uint64_t tokens;
  double work;
} cv_use_request_t;

void cv_use_record (cv_use_t *s, cv_time_t now, const cv_use_request_t *q,
                    bool served);
/* Whether the class, the account or the size of Q is served less than a quarter
   as often as all requests.  */
bool cv_use_is_starved (const cv_use_t *s, cv_time_t now,
                        const cv_use_request_t *q);
/* Whether the account of Q has used more than half of what all have.  */
bool cv_use_is_largest (const cv_use_t *s, cv_time_t now,
                        const cv_use_request_t *q);

#ifdef __cplusplus
}
#endif

#endif
