/* Records of the software versions that began streams.  Gateways keep them here
   too, since all gateways may end at once.  */

#include <string.h>

#include "observer/state.h"
#include "wire/datagram.h"

/* The versions of SERVICE, whose place may be taken from another one.  */
static cv_served_t *
served (cv_observer_t *o, const char *service)
{
  cv_served_t *oldest = &o->served[0];

  for (uint32_t i = 0; i < CV_SERVED_MAX; i++)
    {
      if (strcmp (o->served[i].service, service) == 0)
        return &o->served[i];
      if (o->served[i].recorded_at < oldest->recorded_at)
        oldest = &o->served[i];
    }
  memset (oldest, 0, sizeof *oldest);
  (void)cv_copy (oldest->service, sizeof oldest->service, service);
  return oldest;
}

static void
record (cv_observer_t *o, const cv_msg_origin_t *m, cv_time_t now)
{
  cv_served_t *s = served (o, m->service);

  cv_origins_add (&o->origins, m->key, m->version, 0, now);
  if (m->version == CV_VERSION_UNCERTAIN)
    return;
  s->recorded_at = now;
  (void)cv_versions_see (&s->versions, m->version, false, now);
}

static void
answer (cv_observer_t *o, const cv_msg_origin_t *m,
        const struct sockaddr_in *gateway, cv_time_t now)
{
  const cv_origin_t *r = cv_origins_find (&o->origins, m->key, now);
  const cv_versions_t *versions = &served (o, m->service)->versions;
  bool is_known = r != NULL && !r->is_ambiguous;
  cv_msg_t msg = { .type = CV_MSG_ORIGIN };

  msg.u.origin = (cv_msg_origin_t){
    .step = is_known ? CV_ORIGIN_KNOWN : CV_ORIGIN_UNKNOWN,
    .key = m->key,
    .number = m->number,
    .version
    = is_known ? r->version : cv_versions_sole (versions, o->started_at, now),
    .is_mixed
    = cv_versions_are_mixed (versions, now) || (r != NULL && r->is_ambiguous)
  };
  cv_datagram_send (o->socket, gateway, &msg);
}

void
cv_observer_handle_origin (cv_observer_t *o, const cv_msg_origin_t *m,
                           const struct sockaddr_in *from)
{
  switch (m->step)
    {
    case CV_ORIGIN_RECORDED:
      record (o, m, cv_now ());
      return;
    case CV_ORIGIN_ASKED:
      answer (o, m, from, cv_now ());
      return;
    case CV_ORIGIN_KNOWN:
    case CV_ORIGIN_UNKNOWN:
      return; /* observers send these and never receive them */
    }
}
