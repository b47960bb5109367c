/* What a request asks for, and whether it may be sent.  Its content has a hash
   that stays when a caller sends it again under another attempt id.  Content
   that was in flight when targets crashed is suspect; the table of suspects is
   the same at all gateways (evidence.c).  */

#include "gateway/state.h"

/* Retry-After of what may be tried while the store does not answer.  */
#define TRIAL_RETRY_MS 1000
/* Longest Retry-After of content that no trial will ever admit.  */
#define RETRY_AFTER_MAX_S (24 * 3600)

/* The parts of a prompt have hashes apart from those of contents.  */
static uint64_t
part_hash (const cv_prompt_part_t *part)
{
  cv_slice_t texts[] = { cv_slice ("part"), part->id };

  return cv_digest (texts, sizeof texts / sizeof texts[0]);
}

/* A stream has the id of the attempt that brought its first event, which two
   accounts may both use.  */
static void
identify_stream (cv_exchange_t *x)
{
  const cv_caller_request_t *q = &x->request;
  cv_slice_t first = q->has_last_event ? q->resumes : q->attempt;
  cv_slice_t texts[]
      = { cv_slice ("stream"),
          cv_slice (x->account != NULL ? x->account->name : ""), first };

  if (first.p != NULL)
    x->stream_key = cv_digest (texts, sizeof texts / sizeof texts[0]);
}

void
cv_exchange_identify (cv_exchange_t *x)
{
  const cv_http_head_t *head = &x->client->reader.head;
  const cv_caller_request_t *q = &x->request;
  cv_slice_t texts[] = {
    cv_slice (http_method_str ((enum http_method)head->method)),
    cv_http_field (head, "Host"),
    cv_http_request_target (head),
    cv_slice (x->account != NULL ? x->account->name : ""),
    cv_client_body (x->client),
  };
  cv_suspect_hash_t content
      = { .hash = cv_digest (texts, sizeof texts / sizeof texts[0]) };
  uint32_t shared = q->part_count > 0 ? q->part_count - 1 : 0;
  cv_slice_t rest = q->parts;
  cv_prompt_part_t part;

  cv_suspect_request_init (&x->identity, content, shared);
  identify_stream (x);
  while (x->identity.part_count < shared
         && cv_platform_next_part (&rest, &part))
    x->identity.parts[x->identity.part_count++].hash = part_hash (&part);
}

void
cv_exchange_note_strikes (cv_exchange_t *x)
{
  const cv_suspects_t *s = x->gateway->evidence.suspects;
  cv_suspect_request_t *r = &x->identity;
  int64_t now = cv_wall_s ();

  r->content.seen = cv_suspects_strikes (s, r->content.hash, now);
  for (uint32_t i = 0; i < r->part_count; i++)
    r->parts[i].seen = cv_suspects_strikes (s, r->parts[i].hash, now);
}

void
cv_content_log (const char *key, uint64_t hash, cv_line_t *l)
{
  char text[CV_CONTENT_TEXT];

  (void)snprintf (text, sizeof text, "%016llx", (unsigned long long)hash);
  cv_line_text (l, key, cv_slice (text));
}

void
cv_exchange_log_content (const cv_exchange_t *x, cv_line_t *l)
{
  cv_content_log ("content", x->identity.content.hash, l);
  if (x->request.part_count > 0)
    cv_line_text (l, "parts", x->request.parts);
}

void
cv_exchange_log_evidence (const cv_exchange_t *x, cv_line_t *l)
{
  const cv_suspects_t *s = x->gateway->evidence.suspects;
  int64_t now = cv_wall_s ();
  uint64_t worst = cv_suspects_worst (s, &x->identity, now);
  uint32_t strikes = cv_suspects_strikes (s, worst, now);

  if (x->identity.content.hash != 0)
    cv_content_log ("content", x->identity.content.hash, l);
  if (strikes == 0)
    return;
  cv_content_log ("suspect", worst, l);
  cv_line_number (l, "strikes", strikes);
  cv_line_number (l, "evidence_age_s", now - cv_suspects_newest (s, worst));
}

cv_content_state_t
cv_exchange_content_state (const cv_exchange_t *x)
{
  return cv_suspects_request_state (x->gateway->evidence.suspects, &x->identity,
                                    cv_wall_s ());
}

bool
cv_exchange_refuse_quarantined (cv_exchange_t *x)
{
  const cv_suspects_t *s = x->gateway->evidence.suspects;
  int64_t now = cv_wall_s ();
  int64_t left;

  if (cv_exchange_content_state (x) != CV_CONTENT_QUARANTINED)
    {
      if (!cv_trial_is_needed (x) || cv_trial_is_possible (x))
        return false;
      x->gateway->counts.quarantined++;
      cv_exchange_give_up (x,
                           "content crashed its targets, and no trial can be "
                           "claimed",
                           TRIAL_RETRY_MS);
      return true;
    }
  left = cv_suspects_time_left (s, cv_suspects_worst (s, &x->identity, now),
                                now);
  if (left > RETRY_AFTER_MAX_S)
    left = RETRY_AFTER_MAX_S;
  x->gateway->counts.quarantined++;
  cv_exchange_give_up (x, "content crashed its targets", (uint32_t)left * 1000);
  return true;
}

/* Whether HASH is suspect to a degree that one trial at a time is sent:
   content, and parts that were quarantined.  */
static bool
is_on_trial (const cv_exchange_t *x, uint64_t hash, uint32_t min_strikes)
{
  const cv_suspects_t *s = x->gateway->evidence.suspects;
  int64_t now = cv_wall_s ();

  return cv_suspects_state (s, hash, now) == CV_CONTENT_SUSPECT
         && cv_suspects_strikes (s, hash, now) >= min_strikes;
}

/* Whether X and OTHER have the same suspect content, or a part on trial.  */
static bool
is_same_trial (const cv_exchange_t *x, const cv_exchange_t *other)
{
  uint64_t content = x->identity.content.hash;

  if (content == other->identity.content.hash && is_on_trial (x, content, 1))
    return true;
  for (uint32_t i = 0; i < x->identity.part_count; i++)
    if (cv_suspect_request_has_part (&other->identity,
                                     x->identity.parts[i].hash)
        && is_on_trial (x, x->identity.parts[i].hash, CV_SUSPECT_STRIKES))
      return true;
  return false;
}

/* The trials of a suspect run one after the other, so that at most one target
   is lost before the outcome is known.  */
bool
cv_exchange_must_wait_for_trial (cv_exchange_t *x)
{
  const cv_exchange_t *other;

  if (cv_trial_is_needed (x))
    {
      cv_trial_request (x);
      return true;
    }
  if (cv_exchange_content_state (x) != CV_CONTENT_SUSPECT)
    return false;
  TAILQ_FOREACH (other, &x->gateway->exchanges, entry)
  if (other != x
      && (other->target != NULL || other->awaited_target != NULL
          || other->reservation_target != NULL || other->permit.target != NULL)
      && is_same_trial (x, other))
    return true;
  return false;
}

/* Suspects run beside no other one, so that a crash names what caused it.  What
   has one strike, or parts that were at crashes beside others, most likely was
   in flight by chance, and waits for that only as long as its objective
   allows.  */
bool
cv_exchange_is_solitary (const cv_exchange_t *x, cv_time_t now)
{
  if (cv_exchange_content_state (x) != CV_CONTENT_SUSPECT)
    return false;
  return now < x->solitary_until
         || cv_suspects_strikes (x->gateway->evidence.suspects,
                                 x->identity.content.hash, cv_wall_s ())
                >= CV_SUSPECT_STRIKES;
}

bool
cv_exchange_is_beside_suspect (const cv_exchange_t *x, const cv_target_t *t)
{
  const cv_exchange_t *other;

  TAILQ_FOREACH (other, &x->gateway->exchanges, entry)
  if (other != x && other->identity.content.hash != x->identity.content.hash
      && (other->target == t || other->reservation_target == t
          || other->permit.target == t)
      && cv_exchange_content_state (other) == CV_CONTENT_SUSPECT)
    return true;
  return false;
}
