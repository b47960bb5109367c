/* Common part of all stand-ins.  */

#include "standin.h"

#include <sys/socket.h>

#include <argp.h>
#include <arpa/inet.h>
#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define MAX_OPTIONS 24
#define FIRST_KEY 256
#define MAX_BODY_BYTES (2 * 1024 * 1024)
#define MAX_FDS 8192
#define EXIT_FAULT 70 /* exit code of the "exit" fault */

static const standin_t *self;
static struct _u_instance instance;
static char bind_address[64] = "127.0.0.1";
static long long port = 0;
static long long seed = 1;
static long long lifetime_s = 600;

static pthread_mutex_t stall_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t stall_ended = PTHREAD_COND_INITIALIZER;
static bool stalled;

static error_t parse_option (int key, char *arg, struct argp_state *state);
static bool parse_number (const char *text, long long *value);
static void start_server (void);
static int wait_while_stalled (const struct _u_request *request,
                               struct _u_response *response, void *data);
static int handle_health (const struct _u_request *request,
                          struct _u_response *response, void *data);
static int handle_fault (const struct _u_request *request,
                         struct _u_response *response, void *data);
static int handle_audit (const struct _u_request *request,
                         struct _u_response *response, void *data);
static void block_signals (sigset_t *set);

static const standin_option_t common[]
    = { { "port", &port, "TCP port to listen on" },
        { "seed", &seed, "seed of all random choices" },
        { "lifetime-s", &lifetime_s, "seconds until the process exits" } };
#define N_COMMON (sizeof common / sizeof common[0])

void
standin_init (const standin_t *standin, int argc, char **argv)
{
  struct argp_option options[MAX_OPTIONS + 1]
      = { { "bind", 'b', "ADDRESS", 0, "address to listen on", 0 } };
  struct argp argp = { options, parse_option, NULL, NULL, NULL, NULL, NULL };
  sigset_t set;
  size_t i;

  self = standin;
  if (N_COMMON + self->n_options + 1 > MAX_OPTIONS)
    abort ();
  for (i = 0; i < N_COMMON + self->n_options; i++)
    {
      const standin_option_t *o
          = i < N_COMMON ? &common[i] : &self->options[i - N_COMMON];
      options[i + 1].name = o->name;
      options[i + 1].key = FIRST_KEY + (int)i;
      options[i + 1].arg = "N";
      options[i + 1].doc = o->doc;
    }
  argp_parse (&argp, argc, argv, 0, NULL, NULL);
  block_signals (&set);
  start_server ();
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  const standin_option_t *o;
  size_t i = (size_t)(key - FIRST_KEY);

  if (key == 'b')
    {
      snprintf (bind_address, sizeof bind_address, "%s", arg);
      return 0;
    }
  /* Keys from 0x1000000 on are argp's own, such as ARGP_KEY_END.  */
  if (key < FIRST_KEY || key >= ARGP_KEY_ARG + 0x1000000)
    return ARGP_ERR_UNKNOWN;
  if (i >= N_COMMON + self->n_options)
    return ARGP_ERR_UNKNOWN;
  o = i < N_COMMON ? &common[i] : &self->options[i - N_COMMON];
  if (!parse_number (arg, o->value))
    argp_error (state, "--%s: not a number of 0 or more: %s", o->name, arg);
  return 0;
}

static bool
parse_number (const char *text, long long *value)
{
  char *end;

  errno = 0;
  *value = strtoll (text, &end, 10);
  return errno == 0 && end != text && *end == '\0' && *value >= 0;
}

static void
block_signals (sigset_t *set)
{
  sigemptyset (set);
  sigaddset (set, SIGTERM);
  sigaddset (set, SIGINT);
  pthread_sigmask (SIG_BLOCK, set, NULL);
  signal (SIGPIPE, SIG_IGN);
}

static void
start_server (void)
{
  /* Static, because the library keeps a pointer to it.  */
  static struct sockaddr_in address;

  address.sin_family = AF_INET;
  address.sin_port = htons ((uint16_t)port);
  if (port < 1 || port > 65535
      || inet_pton (AF_INET, bind_address, &address.sin_addr) != 1)
    {
      fprintf (stderr, "%s: cannot use %s:%lld\n", self->name, bind_address,
               port);
      exit (EXIT_FAILURE);
    }
  if (ulfius_init_instance (&instance, (unsigned int)port, &address, NULL)
      != U_OK)
    exit (EXIT_FAILURE);
  instance.max_post_body_size = MAX_BODY_BYTES;
  instance.check_utf8 = 0;
  ulfius_add_endpoint_by_val (&instance, "*", NULL, "*", 0, wait_while_stalled,
                              NULL);
  standin_on ("GET", "/healthz", handle_health);
  standin_on ("POST", "/fault", handle_fault);
  standin_on ("GET", "/audit", handle_audit);
}

void
standin_on (const char *method, const char *path,
            int (*callback) (const struct _u_request *, struct _u_response *,
                             void *))
{
  if (ulfius_add_endpoint_by_val (&instance, method, NULL, path, 1, callback,
                                  NULL)
      != U_OK)
    exit (EXIT_FAILURE);
}

void
standin_on_any (int (*callback) (const struct _u_request *,
                                 struct _u_response *, void *))
{
  ulfius_add_endpoint_by_val (&instance, "*", NULL, "*", 2, callback, NULL);
}

void
standin_run (void)
{
  struct timespec limit = { .tv_sec = (time_t)lifetime_s };
  sigset_t set;

  block_signals (&set);
  if (ulfius_start_framework (&instance) != U_OK)
    {
      fprintf (stderr, "%s: cannot listen on %s:%lld\n", self->name,
               bind_address, port);
      exit (EXIT_FAILURE);
    }
  while (sigtimedwait (&set, NULL, &limit) < 0 && errno == EINTR)
    continue;
  _exit (EXIT_SUCCESS);
}

int64_t
standin_now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
standin_sleep_ms (int64_t ms)
{
  struct timespec t = { ms / 1000, (ms % 1000) * 1000000 };

  while (nanosleep (&t, &t) < 0 && errno == EINTR)
    continue;
}

uint64_t
standin_seed (void)
{
  return (uint64_t)seed;
}

bool
standin_is_stalled (void)
{
  bool value;

  pthread_mutex_lock (&stall_lock);
  value = stalled;
  pthread_mutex_unlock (&stall_lock);
  return value;
}

/* Blocks requests other than /fault and /audit while the stall fault is
   set.  */
static int
wait_while_stalled (const struct _u_request *request,
                    struct _u_response *response, void *data)
{
  (void)response;
  (void)data;
  if (strcmp (request->url_path, "/fault") == 0
      || strcmp (request->url_path, "/audit") == 0)
    return U_CALLBACK_CONTINUE;
  pthread_mutex_lock (&stall_lock);
  while (stalled)
    pthread_cond_wait (&stall_ended, &stall_lock);
  pthread_mutex_unlock (&stall_lock);
  return U_CALLBACK_CONTINUE;
}

static int
handle_health (const struct _u_request *request, struct _u_response *response,
               void *data)
{
  json_object *o = json_object_new_object ();

  (void)request;
  (void)data;
  standin_set_text (o, "name", self->name);
  return standin_reply (response, 200, o);
}

static int
handle_fault (const struct _u_request *request, struct _u_response *response,
              void *data)
{
  json_object *o = standin_body (request);

  (void)data;
  if (o == NULL)
    return standin_error (response, 400, "invalid");
  if (standin_bool (o, "exit", false))
    _exit (EXIT_FAULT);
  pthread_mutex_lock (&stall_lock);
  stalled = standin_bool (o, "stall", stalled);
  pthread_cond_broadcast (&stall_ended);
  pthread_mutex_unlock (&stall_lock);
  if (self->fault != NULL)
    self->fault (o);
  json_object_put (o);
  return standin_reply (response, 200, json_object_new_object ());
}

static int
handle_audit (const struct _u_request *request, struct _u_response *response,
              void *data)
{
  (void)request;
  (void)data;
  return standin_reply (response, 200, self->audit ());
}

json_object *
standin_body (const struct _u_request *request)
{
  json_tokener *t;
  json_object *o;

  if (request->binary_body == NULL
      || request->binary_body_length > MAX_BODY_BYTES)
    return NULL;
  t = json_tokener_new ();
  json_tokener_set_flags (t, JSON_TOKENER_STRICT);
  o = json_tokener_parse_ex (t, request->binary_body,
                             (int)request->binary_body_length);
  if (json_tokener_get_error (t) != json_tokener_success)
    {
      json_object_put (o);
      o = NULL;
    }
  json_tokener_free (t);
  if (o != NULL && !json_object_is_type (o, json_type_object))
    {
      json_object_put (o);
      return NULL;
    }
  return o;
}

int
standin_reply (struct _u_response *response, int status, json_object *object)
{
  const char *text = json_object_to_json_string_ext (
      object, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);

  u_map_put (response->map_header, "Content-Type", "application/json");
  ulfius_set_string_body_response (response, (unsigned int)status, text);
  json_object_put (object);
  return U_CALLBACK_COMPLETE;
}

int
standin_error (struct _u_response *response, int status, const char *code)
{
  json_object *o = json_object_new_object ();
  json_object *error = json_object_new_object ();

  standin_set_text (error, "code", code);
  json_object_object_add (o, "error", error);
  return standin_reply (response, status, o);
}

/* The HTTP library cannot close a connection without a response, so the socket
   is found by its peer address and shut down before the response is
   written.  */
int
standin_drop (const struct _u_request *request, struct _u_response *response)
{
  const struct sockaddr_in *peer
      = (const struct sockaddr_in *)request->client_address;
  int fd;

  for (fd = 3; fd < MAX_FDS; fd++)
    {
      struct sockaddr_in a = { 0 };
      socklen_t n = sizeof a;

      if (getpeername (fd, (struct sockaddr *)&a, &n) == 0
          && a.sin_family == AF_INET && a.sin_port == peer->sin_port
          && a.sin_addr.s_addr == peer->sin_addr.s_addr)
        {
          shutdown (fd, SHUT_RDWR);
          break;
        }
    }
  ulfius_set_string_body_response (response, 500, "");
  return U_CALLBACK_COMPLETE;
}

int64_t
standin_int (json_object *object, const char *key, int64_t fallback)
{
  json_object *o;

  if (!json_object_object_get_ex (object, key, &o)
      || !json_object_is_type (o, json_type_int))
    return fallback;
  return json_object_get_int64 (o);
}

bool
standin_bool (json_object *object, const char *key, bool fallback)
{
  json_object *o;

  if (!json_object_object_get_ex (object, key, &o)
      || !json_object_is_type (o, json_type_boolean))
    return fallback;
  return json_object_get_boolean (o);
}

const char *
standin_text (json_object *object, const char *key, const char *fallback)
{
  json_object *o;

  if (!json_object_object_get_ex (object, key, &o)
      || !json_object_is_type (o, json_type_string))
    return fallback;
  return json_object_get_string (o);
}

int64_t
standin_query (const struct _u_request *request, const char *key,
               int64_t fallback)
{
  const char *text = u_map_get (request->map_url, key);
  long long value;

  return text != NULL && parse_number (text, &value) ? value : fallback;
}

void
standin_set_int (json_object *object, const char *key, int64_t value)
{
  json_object_object_add (object, key, json_object_new_int64 (value));
}

void
standin_set_text (json_object *object, const char *key, const char *value)
{
  json_object_object_add (object, key, json_object_new_string (value));
}

bool
standin_bucket_take (standin_bucket_t *bucket, double rate, double period_ms,
                     double burst)
{
  int64_t now = standin_now_ms ();

  if (bucket->last_ms == 0)
    bucket->tokens = burst;
  else
    bucket->tokens += (double)(now - bucket->last_ms) * rate / period_ms;
  bucket->last_ms = now;
  if (bucket->tokens > burst)
    bucket->tokens = burst;
  if (bucket->tokens < 1)
    return false;
  bucket->tokens -= 1;
  return true;
}
