/* Trials of what was quarantined: one request in the fleet is sent, and the
   others are refused until its outcome is known.  Gateways do not agree on a
   time, and a request comes to each of them: the one that writes its claim into
   the store's object of quarantined content, on the condition that nobody has
   changed the object, may send.  Without the store there is no trial.  */

#include "gateway/state.h"

/* A claim takes two calls to the store, some 10 ms.  A request that waits for
   one that takes longer is refused.  */
#define WAIT_MAX (300 * CV_MS)
/* After a claim that failed, as the store does not answer.  */
#define BACKOFF (500 * CV_MS)

void
cv_trial_init (cv_trial_t *t)
{
  *t = (cv_trial_t){ 0 };
  cv_buf_init (&t->document);
}

void
cv_trial_finish (cv_trial_t *t)
{
  cv_suspect_request_finish (&t->request);
  cv_buf_finish (&t->document);
}

static void
log_trial (const cv_trial_t *t, const char *outcome)
{
  cv_line_t l;

  cv_line_begin (&l, CV_EV_GATEWAY_TRIAL);
  cv_content_log ("content", t->request.content.hash, &l);
  cv_line_text (&l, "outcome", cv_slice (outcome));
  cv_line_number (&l, "after_us", cv_now () - t->asked_at);
  cv_line_end (&l);
}

/* Ends the claim in progress; those that wait for it are placed or refused.  */
static void
end (cv_quarantine_store_t *q, const char *outcome)
{
  log_trial (&q->trial, outcome);
  q->trial.is_active = false;
  q->trial.is_in_document = false;
  cv_suspect_request_finish (&q->trial.request);
  cv_exchange_place_waiting (q->gateway);
}

bool
cv_trial_is_needed (const cv_exchange_t *x)
{
  return cv_suspects_trial_is_due (x->gateway->evidence.suspects, &x->identity,
                                   cv_wall_s ());
}

bool
cv_trial_is_possible (const cv_exchange_t *x)
{
  const cv_trial_t *t = &x->gateway->quarantine_store.trial;
  cv_time_t now = cv_now ();

  return t->is_active ? now - t->asked_at < WAIT_MAX : now >= t->next_at;
}

void
cv_trial_request (cv_exchange_t *x)
{
  cv_quarantine_store_t *q = &x->gateway->quarantine_store;
  cv_trial_t *t = &q->trial;

  if (t->is_active || cv_now () < t->next_at)
    return;
  t->is_active = true;
  t->asked_at = cv_now ();
  cv_suspect_request_init_copy (&t->request, &x->identity);
  cv_quarantine_store_read_now (q);
}

void
cv_trial_add_claim (cv_quarantine_store_t *q, cv_suspects_t *stored)
{
  cv_trial_t *t = &q->trial;
  int64_t wall_s = cv_wall_s ();

  if (!t->is_active)
    return;
  if (!cv_suspects_trial_is_due (q->gateway->evidence.suspects, &t->request,
                                 wall_s))
    {
      end (q, "another gateway has claimed it, or it was cleared");
      return;
    }
  t->is_in_document = cv_suspects_claim_trial (stored, &t->request, wall_s);
  if (t->is_in_document)
    return;
  t->next_at = cv_now () + BACKOFF;
  end (q, "not quarantined in the store");
}

void
cv_trial_write_begins (cv_trial_t *t, const char *document)
{
  if (!t->is_in_document)
    return;
  cv_buf_reset (&t->document);
  cv_buf_printf (&t->document, "%s", document);
}

/* Makes X the trial that was claimed for CLAIMED, if that lets it be sent.  */
static bool
grant (cv_exchange_t *x, const cv_suspect_request_t *claimed)
{
  if (!cv_suspect_request_grant (&x->identity, claimed))
    return false;
  if (cv_exchange_content_state (x) == CV_CONTENT_SUSPECT
      && !cv_trial_is_needed (x))
    return true;
  cv_suspect_request_revoke (&x->identity);
  return false;
}

static void
grant_to_one (cv_quarantine_store_t *q)
{
  cv_exchange_t *x;

  TAILQ_FOREACH (x, &q->gateway->waiting, waiting)
  if (grant (x, &q->trial.request))
    return;
}

void
cv_trial_written (cv_quarantine_store_t *q)
{
  cv_trial_t *t = &q->trial;
  cv_evidence_t *e = &q->gateway->evidence;

  if (!t->is_in_document)
    return;
  (void)cv_evidence_merge (e, cv_slice (cv_buf_text (&t->document)), NULL);
  cv_evidence_claimed (e, &t->request);
  grant_to_one (q);
  end (q, "claimed");
}

void
cv_trial_write_conflicts (cv_quarantine_store_t *q)
{
  q->trial.is_in_document = false;
  if (q->trial.is_active)
    cv_quarantine_store_read_now (q);
}

void
cv_trial_store_failed (cv_quarantine_store_t *q)
{
  if (!q->trial.is_active)
    return;
  q->trial.next_at = cv_now () + BACKOFF;
  end (q, "store does not answer");
}
