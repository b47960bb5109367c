/* Streams and the software versions of targets: a stream goes on only at the
   version that began it.  docs/design/versions.md has the rules.  */

#ifndef CV_GATEWAY_VERSION_H
#define CV_GATEWAY_VERSION_H

#include <netinet/in.h>

#include "policy/origins.h"
#include "wire/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct cv_gateway_t cv_gateway_t;
typedef struct cv_exchange_t cv_exchange_t;
typedef struct cv_target_t cv_target_t;

/* A question to the other gateways about the stream of an exchange.  */
typedef struct
{
  uint64_t number; /* 0: none is pending */
  cv_time_t asked_at;
  uint32_t asked; /* gateways and observers */
  uint32_t replies;
  bool is_mixed; /* by a reply, several versions serve */
  uint64_t sole; /* by a reply, the one version that served; or 0 */
  /* The version that began the stream is known, but none of its targets: time
     from which a newer list of instances is waited for; 0: not waiting.  */
  cv_time_t list_awaited_since;
} cv_stream_question_t;

/* version.c */
/* Identifies the software version of T among those of its service.  A process
   that replaced the one of T's record has a version of its own until its record
   is read.  */
uint64_t cv_target_version (const cv_target_t *t);
/* Whether X may be sent to T: its stream has no event yet, or T has the version
   that began it.  */
bool cv_version_admits (const cv_exchange_t *x, const cv_target_t *t);
/* Events of X are about to be passed on: records the version of their target
   with the first.  */
void cv_version_note_event (cv_exchange_t *x);
/* T has become known to have started again under its id: streams that were sent
   there lately may have begun at either process, and do not go on elsewhere. */
void cv_version_note_restart (cv_target_t *t);
/* Whether no target is left that X could go on at.  */
bool cv_version_is_gone (const cv_exchange_t *x);
/* Whether a target of SERVICE that takes new requests has VERSION.  */
bool cv_version_is_served (const cv_gateway_t *g, const char *service,
                           uint64_t version);
/* Records the versions that serve now.  */
void cv_versions_update (cv_gateway_t *g, cv_time_t now);
void cv_versions_tick (cv_gateway_t *g, cv_time_t now);

/* Whether a target of VERSION was known lately.  */
bool cv_version_was_seen (const cv_gateway_t *g, uint64_t version,
                          cv_time_t now);

/* resume.c */
/* X may be a stream that its caller takes up: finds out which version began it.
   Returns true if X waits for that, or was refused.  */
bool cv_resume_begin (cv_exchange_t *x);
/* Whether X waits for other gateways or for the list of instances.  */
bool cv_resume_is_pending (const cv_exchange_t *x);
void cv_resume_tick (cv_exchange_t *x, cv_time_t now);
void cv_resume_handle_message (cv_gateway_t *g, const cv_msg_origin_t *m,
                               const struct sockaddr_in *from);
/* Tells some observers of the record of a stream of SERVICE.  */
void cv_resume_keep (const cv_gateway_t *g, uint64_t key, uint64_t version,
                     const char *service);
/* Tells some other gateways of the record of a stream.  */
void cv_resume_publish (const cv_gateway_t *g, uint64_t key, uint64_t version);

#ifdef __cplusplus
}
#endif

#endif
