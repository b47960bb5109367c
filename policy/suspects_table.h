/* The table of suspects, shared by the files suspects*.c.  */

#ifndef CV_POLICY_SUSPECTS_TABLE_H
#define CV_POLICY_SUSPECTS_TABLE_H

#include "policy/map.h"
#include "policy/policy.h"

#define SUSPECTS_MAX 1024
/* Strikes kept of one content, by the number known when its attempt was sent:
   the newest with none, with one, and so on, and the newest for which the
   number is not known (CV_SEEN_ALL).  Content with all of the former is not
   tried again: two crashes quarantine it, and four trials have failed since.
   Of each number several are kept, as a crash tells of others that were at the
   target, also where it does not count itself.  */
#define STRIKE_LEVELS 6
#define LEVEL_KEPT 4
#define KNOWN_KEPT (STRIKE_LEVELS * LEVEL_KEPT)
#define UNKNOWN_KEPT 2
#define STRIKES_KEPT (KNOWN_KEPT + UNKNOWN_KEPT)

/* Companions kept of one strike: the other parts of a request, and the contents
   of several requests.  Of more in one request, those with the lowest hashes
   are kept, the same at each crash.  */
#define COMPANIONS_MAX 12

/* One engine crash.  */
typedef struct
{
  int64_t wall_s;  /* 0: none */
  uint64_t crash;  /* its identity; stored under `deaths` */
  uint64_t source; /* of a part: the content; 0 of a content */
  /* What else got a strike in the requests with this content or part, sorted:
     parts, and contents.  */
  uint64_t companions[COMPANIONS_MAX];
  uint32_t companion_count;
  uint32_t seen;    /* strikes of the content known when the attempt was sent */
  bool was_suspect; /* already before this crash */
  bool is_common;   /* there were more, in several requests */
} cv_strike_t;

/* The newest claim of a trial.  */
typedef struct
{
  uint32_t number; /* of the claims so far, 0: none */
  int64_t wall_s;
} cv_trial_claim_t;

typedef struct
{
  uint64_t hash;
  /* By level, of each the newest first; those with CV_SEEN_ALL last.  */
  cv_strike_t strike[STRIKES_KEPT];
  cv_trial_claim_t claim;
  int64_t cleared; /* time of the newest cleared strike or claim, seconds;
                      those up to then do not count */
  /* Derived: NAMED_COUNT by cv_suspects_count_named, the others by
     cv_suspect_count.  */
  uint32_t counted;     /* strikes that count, a bit each */
  uint32_t named_count; /* strikes that count and name this entry */
  bool was_again;       /* it was suspect before a crash */
} cv_suspect_t;

struct cv_suspects_t
{
  double trial_delay; /* share by which trials of parts are later */
  cv_map_t index;
  cv_suspect_t entries[SUSPECTS_MAX];
  uint32_t count;
};

/* suspects.c */
/* The entry of HASH, or NULL.  */
const cv_suspect_t *cv_suspect_find (const cv_suspects_t *s, uint64_t hash);
/* Finds or makes the entry of HASH, replacing the least important one in a full
   table.  */
cv_suspect_t *cv_suspect_get (cv_suspects_t *s, uint64_t hash);
/* Whether a quarantine of HASH, the content or a part of R, holds in R.  */
bool cv_suspect_accuses (const cv_suspects_t *s, uint64_t hash,
                         const cv_suspect_request_t *r, int64_t wall_s);
/* Order in which entries are replaced when the table is full.  */
bool cv_suspect_is_less_important (const cv_suspect_t *a,
                                   const cv_suspect_t *b);
uint32_t cv_suspect_least_important (const cv_suspects_t *s);
bool cv_suspect_has_hash (const uint64_t *hashes, uint32_t n, uint64_t hash);

/* suspects_trial.c */
/* Time of the newest strike or claim of E, seconds; 0: none.  */
int64_t cv_suspect_newest_time (const cv_suspect_t *e);
/* Seconds for which E, which has STRIKES, is suspect or quarantined since
   then.  */
int64_t cv_suspect_lifetime (const cv_suspects_t *s, const cv_suspect_t *e,
                             uint32_t strikes);
/* Keeps the newer claim of E and OTHER.  */
void cv_suspect_join_claim (cv_suspect_t *e, cv_trial_claim_t other);
/* Whether H is in a request that was granted the newest claim of E, and no
   crash has been added since.  */
bool cv_suspect_is_granted (const cv_suspect_t *e, const cv_suspect_hash_t *h);

/* suspects_count.c */
/* Whether strike I has not been cleared.  */
bool cv_strike_is_current (const cv_suspect_t *e, int i);
bool cv_strike_counts (const cv_suspect_t *e, int i);
uint32_t cv_suspect_count_strikes (const cv_suspect_t *e);
/* Whether COMPANION was struck beside E at the crash of its strike I.  */
bool cv_suspect_was_beside (const cv_suspect_t *e, int i, uint64_t companion);
/* Counts the strikes of E, after it has changed.  */
void cv_suspect_count (cv_suspect_t *e);
/* Counts the strikes that name an entry, after any entry has changed.  */
void cv_suspects_count_named (cv_suspects_t *s);

/* suspects_strike.c */
bool cv_strike_is_newer (const cv_strike_t *a, const cv_strike_t *b);
/* Adds a strike to E, or joins it with another report of the same crash.  */
void cv_suspect_add (cv_suspect_t *e, cv_strike_t strike);
/* Adds the strikes of the entry FROM of another table.  */
void cv_suspect_join (cv_suspects_t *s, const cv_suspect_t *from);

#endif
