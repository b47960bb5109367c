/* One version of the routing configuration: memory management, indexes and
   look-ups.  */

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "routing/routing.h"

/* Bytes of a request's host that are compared; the rest is ignored.  */
#define HOST_BYTES_MAX 256

bool
cv_routing_supersedes (const cv_routing_t *r, const cv_routing_t *current)
{
  if (r->version != current->version)
    return r->version > current->version;
  if (r->history != current->history)
    return r->history > current->history;
  return r->revision > current->revision;
}

cv_routing_t *
cv_routing_new (void)
{
  cv_routing_t *r = cv_calloc (1, sizeof *r);

  r->refs = 1;
  cv_map_init (&r->route_by_host_prefix);
  cv_map_init (&r->key_by_hash);
  cv_map_init (&r->longest_prefix);
  return r;
}

cv_routing_t *
cv_routing_ref (cv_routing_t *r)
{
  r->refs++;
  return r;
}

void
cv_routing_unref (cv_routing_t *r)
{
  if (r == NULL || --r->refs > 0)
    return;
  for (uint32_t i = 0; i < r->route_count; i++)
    {
      free (r->routes[i].host);
      free (r->routes[i].prefix);
      free (r->routes[i].shares);
      cv_regions_finish (&r->routes[i].regions);
    }
  for (uint32_t i = 0; i < r->account_count; i++)
    cv_regions_finish (&r->accounts[i].regions);
  for (uint32_t i = 0; i < r->key_count; i++)
    free (r->keys[i].text);
  free (r->routes);
  free (r->services);
  free (r->accounts);
  free (r->keys);
  cv_map_finish (&r->route_by_host_prefix);
  cv_map_finish (&r->key_by_hash);
  cv_map_finish (&r->longest_prefix);
  free (r);
}

static uint64_t
prefix_hash (uint64_t host, cv_slice_t prefix)
{
  return cv_hash (prefix.p, prefix.n, host);
}

static uint64_t
host_hash (cv_slice_t host)
{
  return cv_hash (host.p, host.n, 0);
}

static bool
index_route (cv_routing_t *r, uint32_t i, cv_error_t *err)
{
  const cv_route_t *route = &r->routes[i];
  uint64_t host = host_hash (cv_slice (route->host));
  uint64_t route_hash = prefix_hash (host, cv_slice (route->prefix));
  uint32_t length = (uint32_t)strlen (route->prefix);
  uint32_t longest = cv_map_get (&r->longest_prefix, host);

  if (cv_map_get (&r->route_by_host_prefix, route_hash) != CV_MAP_NONE)
    return cv_fail (err, CV_ERR_INVALID,
                    "route %s: prefix %s is declared twice for its host",
                    route->name, route->prefix);
  cv_map_put (&r->route_by_host_prefix, route_hash, i);
  if (longest == CV_MAP_NONE || longest < length)
    cv_map_put (&r->longest_prefix, host, length);
  return true;
}

/* Whether requests on the routes A and B are of the same urgency.  */
static bool
is_equally_urgent (const cv_route_t *a, const cv_route_t *b)
{
  return a->priority == b->priority && a->objective_ms == b->objective_ms;
}

static void
mark_ranked (cv_routing_t *r)
{
  uint32_t *first = cv_calloc (r->service_count + 1, sizeof *first);

  for (uint32_t i = 0; i < r->service_count; i++)
    first[i] = r->route_count;
  for (uint32_t i = 0; i < r->route_count; i++)
    for (uint32_t k = 0; k < r->routes[i].share_count; k++)
      {
        uint32_t service = r->routes[i].shares[k].service;

        if (service >= r->service_count)
          continue;
        if (first[service] == r->route_count)
          first[service] = i;
        else if (!is_equally_urgent (&r->routes[first[service]], &r->routes[i]))
          r->services[service].is_ranked = true;
      }
  free (first);
}

bool
cv_routing_build_index (cv_routing_t *r, cv_error_t *err)
{
  mark_ranked (r);
  for (uint32_t i = 0; i < r->route_count; i++)
    if (!index_route (r, i, err))
      return false;
  for (uint32_t i = 0; i < r->key_count; i++)
    {
      cv_slice_t key = cv_slice (r->keys[i].text);
      uint64_t hash = cv_hash (key.p, key.n, 0);

      if (cv_map_get (&r->key_by_hash, hash) != CV_MAP_NONE)
        return cv_fail (
            err, CV_ERR_INVALID,
            "account %s: one of its keys is declared twice, here or by "
            "another account",
            r->accounts[r->keys[i].account].name);
      cv_map_put (&r->key_by_hash, hash, i);
    }
  return true;
}

/* HOST in lower case and without its port.  */
static cv_slice_t
normalize_host (cv_slice_t host, char out[HOST_BYTES_MAX])
{
  size_t n = 0;

  while (n < host.n && n < HOST_BYTES_MAX && host.p[n] != ':')
    {
      char c = host.p[n];

      out[n++] = c >= 'A' && c <= 'Z' ? (char)(c - 'A' + 'a') : c;
    }
  return (cv_slice_t){ out, n };
}

const cv_route_t *
cv_routing_find_route (const cv_routing_t *r, cv_slice_t host, cv_slice_t path)
{
  char lower[HOST_BYTES_MAX];
  cv_slice_t name = normalize_host (host, lower);
  uint64_t hash = host_hash (name);
  uint32_t longest = cv_map_get (&r->longest_prefix, hash);
  size_t n = 0;

  if (longest == CV_MAP_NONE)
    return NULL;
  while (n < path.n && path.p[n] != '?')
    n++;
  if (n > longest)
    n = longest;
  for (; n > 0; n--)
    {
      uint32_t i;

      if (path.p[n - 1] != '/')
        continue;
      i = cv_map_get (&r->route_by_host_prefix,
                      prefix_hash (hash, (cv_slice_t){ path.p, n }));
      if (i != CV_MAP_NONE
          && cv_slice_equal (cv_slice (r->routes[i].prefix),
                             (cv_slice_t){ path.p, n })
          && cv_slice_equal (cv_slice (r->routes[i].host), name))
        return &r->routes[i];
    }
  return NULL;
}

const cv_client_account_t *
cv_routing_find_account (const cv_routing_t *r, cv_slice_t key)
{
  uint32_t i;

  if (key.p == NULL)
    return NULL;
  i = cv_map_get (&r->key_by_hash, cv_hash (key.p, key.n, 0));
  if (i == CV_MAP_NONE || !cv_slice_equal (cv_slice (r->keys[i].text), key))
    return NULL;
  return &r->accounts[r->keys[i].account];
}

uint32_t
cv_routing_find_service (const cv_routing_t *r, const char *name)
{
  for (uint32_t i = 0; i < r->service_count; i++)
    if (strcmp (r->services[i].name, name) == 0)
      return i;
  return CV_NO_SERVICE;
}

bool
cv_route_is_repeatable (const cv_route_t *route)
{
  switch (route->kind)
    {
    case CV_ROUTE_IDEMPOTENT:
      return true;
    case CV_ROUTE_STREAMING:
      return route->resumable;
    case CV_ROUTE_NON_IDEMPOTENT:
      return false;
    }
  return false;
}

cv_caller_limits_t
cv_caller_limits_higher (const cv_caller_limits_t *a,
                         const cv_caller_limits_t *b)
{
  cv_caller_limits_t r = *a;

  if (b->head_bytes > r.head_bytes)
    r.head_bytes = b->head_bytes;
  if (b->body_bytes > r.body_bytes)
    r.body_bytes = b->body_bytes;
  if (b->head_timeout_ms > r.head_timeout_ms)
    r.head_timeout_ms = b->head_timeout_ms;
  if (b->idle_timeout_ms > r.idle_timeout_ms)
    r.idle_timeout_ms = b->idle_timeout_ms;
  return r;
}

uint32_t
cv_route_pick_service (const cv_route_t *route, double draw)
{
  uint64_t total = 0;
  double remaining;

  for (uint32_t i = 0; i < route->share_count; i++)
    total += route->shares[i].weight;
  if (total == 0)
    return route->share_count > 0 ? route->shares[0].service : CV_NO_SERVICE;
  remaining = draw * (double)total;
  for (uint32_t i = 0; i < route->share_count; i++)
    {
      if (remaining < route->shares[i].weight)
        return route->shares[i].service;
      remaining -= route->shares[i].weight;
    }
  return route->shares[route->share_count - 1].service;
}
