/* State of services and routes that outlives a configuration.  */

#include <stdlib.h>
#include <string.h>

#include "gateway/state.h"

cv_service_state_t *
cv_service_state (cv_gateway_t *g, const char *name)
{
  cv_service_state_t *s;

  TAILQ_FOREACH (s, &g->services, entry)
  if (strcmp (s->name, name) == 0)
    return s;
  s = cv_calloc (1, sizeof *s);
  (void)cv_copy (s->name, sizeof s->name, name);
  cv_retry_budget_init (&s->retries);
  cv_gateway_set_retry_budget (g, &s->retries);
  TAILQ_INSERT_TAIL (&g->services, s, entry);
  cv_versions_update (g, cv_now ());
  return s;
}

cv_route_state_t *
cv_route_state (cv_gateway_t *g, const char *name)
{
  cv_route_state_t *r;

  for (r = TAILQ_FIRST (&g->route_states); r != NULL; r = TAILQ_NEXT (r, entry))
    if (strcmp (r->name, name) == 0)
      break;
  if (r != NULL)
    TAILQ_REMOVE (&g->route_states, r, entry);
  else if (g->route_state_count < CV_ROUTE_STATES_MAX)
    {
      r = cv_calloc (1, sizeof *r);
      g->route_state_count++;
    }
  else
    {
      r = TAILQ_LAST (&g->route_states, cv_route_states_t);
      TAILQ_REMOVE (&g->route_states, r, entry);
      memset (r, 0, sizeof *r);
    }
  (void)cv_copy (r->name, sizeof r->name, name);
  TAILQ_INSERT_HEAD (&g->route_states, r, entry);
  return r;
}

void
cv_states_finish (cv_gateway_t *g)
{
  cv_service_state_t *s;
  cv_route_state_t *r;

  while ((s = TAILQ_FIRST (&g->services)) != NULL)
    {
      TAILQ_REMOVE (&g->services, s, entry);
      free (s);
    }
  while ((r = TAILQ_FIRST (&g->route_states)) != NULL)
    {
      TAILQ_REMOVE (&g->route_states, r, entry);
      free (r);
    }
}
