/* Which software version began a stream.  Load pattern: streams begin at any
   gateway and are cut at times; their callers take them up at any other one,
   within the longest life of a stream.  What two versions write does not fit
   together.  docs/design/versions.md has the rules.  */

#ifndef CV_POLICY_ORIGINS_H
#define CV_POLICY_ORIGINS_H

#include "base/base.h"
#include "policy/map.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Streams kept; the ones recorded longest ago are dropped first.  At the size
   that decides the design a gateway gets 82 records a second while versions are
   mixed, 20 of its own streams and 62 of others.  */
#define CV_ORIGINS_MAX 8192
/* Longest time from the first event of a stream to its last try: above the
   longest timeout of the platform's routes.  */
#define CV_STREAM_LIFE (60 * CV_SECOND)
/* Identifies no version.  */
#define CV_VERSION_NONE 0
/* Stands for a version that cannot be told: the stream does not go on.  */
#define CV_VERSION_UNCERTAIN UINT64_MAX
/* An instance that started again under its id is known to have done so within
   this time.  */
#define CV_RESTART_LAG (3 * CV_SECOND)

typedef struct
{
  uint64_t key; /* of the stream */
  uint64_t version;
  uint64_t source; /* instance that began the stream, 0: not known here */
  cv_time_t at;
  bool is_ambiguous; /* two streams of this key, of two versions, or a version
                        that cannot be told */
} cv_origin_t;

typedef struct
{
  cv_map_t index; /* key to position in RECORDS */
  cv_origin_t records[CV_ORIGINS_MAX];
  uint32_t next; /* position of the next new record */
  uint32_t count;
  uint64_t dropped; /* records dropped within CV_STREAM_LIFE */
} cv_origins_t;

void cv_origins_init (cv_origins_t *s);
void cv_origins_finish (cv_origins_t *s);
/* VERSION began the stream KEY, or goes on with it, at the instance SOURCE; 0:
   not known here.  */
void cv_origins_add (cv_origins_t *s, uint64_t key, uint64_t version,
                     uint64_t source, cv_time_t now);
/* The instance SOURCE is known by now to have started again: a stream that
   began there within CV_RESTART_LAG may be of either process.  Calls HANDLER
   with the key of each.  */
void cv_origins_doubt (cv_origins_t *s, uint64_t source, cv_time_t now,
                       void (*handler) (void *owner, uint64_t key),
                       void *owner);
/* The record of KEY, NULL when there is none of the last CV_STREAM_LIFE.  */
const cv_origin_t *cv_origins_find (const cv_origins_t *s, uint64_t key,
                                    cv_time_t now);
/* The record added I records ago, NULL when there is none.  */
const cv_origin_t *cv_origins_newest (const cv_origins_t *s, uint32_t i,
                                      cv_time_t now);

/* Most versions of one service that are told apart at a time.  */
#define CV_VERSIONS_MAX 8

/* The versions of one service that served lately.  */
typedef struct
{
  uint64_t id[CV_VERSIONS_MAX];
  cv_time_t seen_at[CV_VERSIONS_MAX];
  /* Instances that take new requests, and that are about to stop.  */
  uint32_t serving[CV_VERSIONS_MAX];
  uint32_t leaving[CV_VERSIONS_MAX];
  uint32_t count;
} cv_versions_t;

/* Begins to count the instances of a list anew.  */
void cv_versions_begin_count (cv_versions_t *v);
/* An instance of VERSION is listed.  Returns whether the service has become
   mixed by this.  */
bool cv_versions_see (cv_versions_t *v, uint64_t version, bool is_leaving,
                      cv_time_t now);
/* Whether VERSION served within CV_STREAM_LIFE.  */
bool cv_versions_has (const cv_versions_t *v, uint64_t version, cv_time_t now);
/* Whether one instance of VERSION is left while others of it are about to stop,
   and other versions serve: a stream that begins there could not be moved.  */
bool cv_versions_is_ending (const cv_versions_t *v, uint64_t version);
/* The one version whose streams can be alive, as far as a process knows that
   has followed the versions since KNOWN_SINCE; CV_VERSION_NONE if there are
   several or it has not followed them for CV_STREAM_LIFE.  */
uint64_t cv_versions_sole (const cv_versions_t *v, cv_time_t known_since,
                           cv_time_t now);
/* Whether one version must have begun each stream that is alive and of which
   nothing is known.  SOLE is that version by another process
   (cv_versions_sole), or CV_VERSION_NONE; a process that has followed the
   versions for less than CV_STREAM_LIFE does not know by itself.  */
bool cv_versions_are_certain (const cv_versions_t *v, cv_time_t known_since,
                              uint64_t sole, cv_time_t now);
/* Whether streams of several versions may be alive.  */
bool cv_versions_are_mixed (const cv_versions_t *v, cv_time_t now);

#ifdef __cplusplus
}
#endif

#endif
