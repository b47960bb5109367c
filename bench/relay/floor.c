/* Baseline server of the relay bench: sends the entry's events through the
   entry's HTTP library, without a side or an engine.

   relay-floor IP PORT TOKENS TOKEN_MS
     answers each request with TOKENS tokens, one every TOKEN_MS ms.  All
     streams send at the same times, as the streams of one engine batch do.
     Exits on SIGTERM.  */

#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <ulfius.h>

#include "base/base.h"

#define BLOCK_SIZE (16 * 1024)
#define EVENT_MAX 512

typedef struct
{
  unsigned next_token;
  bool ended;
} body_t;

static unsigned tokens; /* of each stream */
static cv_time_t token_interval;
static char id_prefix[EVENT_MAX];

static int start_stream (const struct _u_request *request,
                         struct _u_response *response, void *data);
static ssize_t next_block (void *arg, uint64_t offset, char *out, size_t max);
static void wait_for_iteration (void);

int
main (int argc, char **argv)
{
  struct _u_instance instance;
  struct sockaddr_in address = { .sin_family = AF_INET };
  sigset_t set;
  int sig;

  if (argc != 5 || inet_pton (AF_INET, argv[1], &address.sin_addr) != 1)
    {
      fprintf (stderr, "usage: relay-floor IP PORT TOKENS TOKEN_MS\n");
      return 2;
    }
  tokens = (unsigned)atoi (argv[3]);
  token_interval = atoi (argv[4]) * CV_MS;
  address.sin_port = htons ((uint16_t)atoi (argv[2]));
  (void)snprintf (id_prefix, sizeof id_prefix, "id: bench-1~%016x~%032x~",
                  0x1234u, 0x5678u);
  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  if (pthread_sigmask (SIG_BLOCK, &set, NULL) != 0
      || ulfius_init_instance (&instance, (uint16_t)atoi (argv[2]), &address,
                               NULL)
             != U_OK
      || ulfius_add_endpoint_by_val (&instance, "POST", "/v1/completions", NULL,
                                     0, start_stream, NULL)
             != U_OK
      || ulfius_start_framework (&instance) != U_OK)
    return 1;
  (void)sigwait (&set, &sig);
  ulfius_stop_framework (&instance);
  ulfius_clean_instance (&instance);
  return 0;
}

static int
start_stream (const struct _u_request *request, struct _u_response *response,
              void *data)
{
  (void)request;
  (void)data;
  (void)u_map_put (response->map_header, "Content-Type", "text/event-stream");
  (void)u_map_put (response->map_header, "Cache-Control", "no-store");
  if (ulfius_set_stream_response (response, 200, next_block, free,
                                  U_STREAM_SIZE_UNKNOWN, BLOCK_SIZE,
                                  cv_calloc (1, sizeof (body_t)))
      != U_OK)
    return U_CALLBACK_ERROR;
  return U_CALLBACK_COMPLETE;
}

static ssize_t
next_block (void *arg, uint64_t offset, char *out, size_t max)
{
  body_t *b = arg;
  int n;

  (void)offset;
  if (b->ended)
    return U_STREAM_END;
  if (b->next_token == tokens)
    {
      b->ended = true;
      n = snprintf (out, max,
                    "data: {\"object\":\"text_completion\",\"choices\":"
                    "[{\"index\":0,\"text\":\"\",\"finish_reason\":\"length\"}]"
                    ",\"usage\":{\"completion_tokens\":%u},"
                    "\"outcome\":\"done\"}\n\ndata: [DONE]\n\n",
                    tokens);
      return n;
    }
  wait_for_iteration ();
  n = snprintf (out, max,
                "%s%u\ndata: {\"id\":\"cmpl-00000000000000000000000000005678\","
                "\"object\":\"text_completion\",\"choices\":[{\"index\":0,"
                "\"text\":\"1-00000000-%u \"}]}\n\n",
                id_prefix, b->next_token, b->next_token);
  b->next_token++;
  return n;
}

/* Sleeps until the next multiple of the token interval.  */
static void
wait_for_iteration (void)
{
  cv_time_t due = (cv_now () / token_interval + 1) * token_interval;
  struct timespec ts
      = { .tv_sec = due / CV_SECOND, .tv_nsec = due % CV_SECOND * 1000 };

  (void)clock_nanosleep (CLOCK_MONOTONIC, TIMER_ABSTIME, &ts, NULL);
}
