#include "entry-route.h"

#include "claim.h"
#include "log.h"
#include "net.h"
#include "route.h"

/** Pending requests are refused this long before the drain deadline: a call
 * checks only every 250 ms whether its reply is still needed, and sending the
 * refusal takes some time too. */
#define DRAIN_REFUSAL_MARGIN_MS 500

/* Whether the drain deadline is so close that requests must be refused now. */
static gboolean
is_drain_deadline_near (const CfEntry *e)
{
  gint64 deadline = __atomic_load_n (&e->drain_deadline_ms, __ATOMIC_ACQUIRE);

  return deadline > 0 && cf_now_ms () >= deadline - DRAIN_REFUSAL_MARGIN_MS;
}

/* Returns why a target must not be tried; NULL if it may be. */
static const char *
exclusion_reason (CfEntry *e, const char *addr, const CfLinkSnapshot *v,
                  GHashTable *tried)
{
  if (g_hash_table_contains (tried, addr))
    return "tried";
  if (cf_vm_list_is_leaving (&e->vms, addr))
    return "leaving";
  if (!v->up)
    return "down";
  return v->load.draining ? "draining" : NULL;
}

/*
 * Fills @c with the present state of the group's targets.  Ejected targets
 * are excluded too, unless they are more than half of the usable ones: then
 * the targets are probably not at fault, and the rest would be overloaded.
 */
static void
fill_candidates (CfEntry *e, CfRequest *r, CfCandidate *c, GHashTable *tried)
{
  size_t n = r->group->agents->len;
  g_autofree gboolean *ejected = g_new (gboolean, n);
  size_t usable = 0;
  size_t n_ejected = 0;

  for (size_t i = 0; i < n; i++)
    {
      const char *addr = g_ptr_array_index (r->group->agents, i);
      CfLinkSnapshot v = cf_link_snapshot (cf_link_table_get (&e->links, addr));

      c[i].addr = addr;
      c[i].load = MAX (v.load.in_flight + v.load.queued, v.outstanding);
      c[i].excluded = exclusion_reason (e, addr, &v, tried) != NULL;
      ejected[i] = v.ejected;
      usable += !c[i].excluded;
      n_ejected += !c[i].excluded && v.ejected;
    }
  for (size_t i = 0; i < n && n_ejected * 2 <= usable; i++)
    c[i].excluded |= ejected[i];
}

/* The data of is_wanted(). */
typedef struct
{
  const CfEntry *entry;
  const CfRequest *request;
} WaitContext;

/* Whether the reply of a pending call is still needed.  A non-repeatable call
 * goes on without its caller, whose retry will need the answer. */
static gboolean
is_wanted (void *data)
{
  const WaitContext *w = data;

  if (is_drain_deadline_near (w->entry))
    return FALSE;
  return w->request->key != NULL || !cf_http_is_caller_gone (w->request->http);
}

/* Sends @r to the agent at @addr once, with @remaining_ms of its deadline
 * left. */
static CfCallResult
send_to (CfEntry *e, CfRequest *r, const char *addr, CfKeyState key_state,
         long long remaining_ms, CfMsg *reply)
{
  CfMsg req = { .kind = CF_MSG_REQUEST, .config = r->config->version };
  WaitContext w = { .entry = e, .request = r };

  req.u.request.org = r->org;
  req.u.request.service = r->service;
  req.u.request.model = r->model;
  req.u.request.key = r->key;
  req.u.request.body = r->body;
  req.u.request.path
      = r->group->kind == CF_TARGET_ENGINE ? "/v1/generate" : "/v1/call";
  req.u.request.rid = r->id;
  req.u.request.key_state = key_state;
  req.u.request.priority = r->priority;
  req.u.request.deadline_ms = remaining_ms;
  return cf_link_call_while (cf_link_table_get (&e->links, addr), &req,
                             r->deadline_at_ms, is_wanted, &w, reply);
}

/* Refuses @r because no target could accept it; logs the reason for each. */
static void
refuse_unavailable (CfEntry *e, CfRequest *r, CfHttpReply *rep,
                    GHashTable *tried)
{
  g_autofree char *m = NULL;

  for (guint g = 0; g < r->intent->groups->len; g++)
    {
      const CfGroup *group = cf_config_find_group (
          r->config, g_ptr_array_index (r->intent->groups, g));

      for (guint i = 0; i < group->agents->len; i++)
        {
          const char *addr = g_ptr_array_index (group->agents, i);
          CfLinkSnapshot v
              = cf_link_snapshot (cf_link_table_get (&e->links, addr));
          const char *reason = exclusion_reason (e, addr, &v, tried);

          cf_log (LOG_INFO, CF_EV_NO_ROUTE,
                  "req=%s group=%s target=%s state=%s", r->id, group->name,
                  addr,
                  reason      ? reason
                  : v.ejected ? "ejected"
                              : "usable");
        }
    }
  m = g_strdup_printf ("no target of intent '%s' could take the request (%s); "
                       "come back after retry_after_ms",
                       r->intent->name, r->last_reason);
  cf_request_refuse (e, r, rep, 503, "unavailable",
                     r->may_have_run ? CF_RAN_UNKNOWN : CF_RAN_NO,
                     MAX (r->retry_hint_ms, e->settings.retry_after_ms), m);
}

/* Answers @r, whose key another request holds, with the answer to that
 * request, which @runner has stored. */
static void
replay (CfEntry *e, CfRequest *r, CfHttpReply *rep, const char *runner)
{
  CfMsg reply = { 0 };
  long long remaining_ms = r->deadline_at_ms - cf_now_ms ();

  if (runner
      && send_to (e, r, runner, CF_KEY_REPLAY, remaining_ms, &reply)
             == CF_CALL_REPLY
      && reply.kind == CF_MSG_ANSWER)
    cf_request_answer (e, r, rep, &reply, runner);
  else
    cf_request_refuse (
        e, r, rep, 409, "fate-unknown", CF_RAN_UNKNOWN,
        e->settings.retry_after_ms,
        "the call was sent before and may have run; retry with the same "
        "idempotency key");
  cf_msg_clear (&reply);
}

/*
 * Claims the key of @r from its guards before @r is sent to @addr.
 * Returns: %TRUE if @r may be sent; otherwise it has its final answer.
 */
static gboolean
claim_key (CfEntry *e, CfRequest *r, CfHttpReply *rep, const char *addr)
{
  CfClaim c = { .key = r->key, .token = r->token, .runner = addr };
  CfClaimResult res = cf_claim_acquire (&e->links, r->config, r->prev_config,
                                        &c, r->deadline_at_ms);

  cf_log (LOG_INFO, CF_EV_CLAIM, "req=%s target=%s result=%s granted=%u/%u",
          r->id, addr,
          res == CF_CLAIM_ACQUIRED         ? "taken"
          : res == CF_CLAIM_HELD_ELSEWHERE ? "elsewhere"
                                           : "no-majority",
          c.granted, c.guards);
  r->claimed = res == CF_CLAIM_ACQUIRED;
  switch (res)
    {
    case CF_CLAIM_ACQUIRED:
      break;
    case CF_CLAIM_HELD_ELSEWHERE:
      replay (e, r, rep, c.holder);
      break;
    case CF_CLAIM_NO_MAJORITY:
      cf_request_refuse (e, r, rep, 503, "guards-unavailable", CF_RAN_NO,
                         MAX (c.retry_ms, e->settings.retry_after_ms),
                         "too few guards of the idempotency key could vouch "
                         "for it; come back after retry_after_ms");
      break;
    }
  g_free (c.holder);
  return r->claimed;
}

/* Releases the key of @r, if @r certainly did not run, so that a retry may
 * claim it.  Called before the final answer. */
static void
release_key (CfEntry *e, CfRequest *r)
{
  CfClaim c = { .key = r->key, .token = r->token, .runner = "" };

  if (r->claimed && !r->may_have_run)
    cf_claim_release (&e->links, r->config, r->prev_config, &c);
  r->claimed = FALSE;
}

/* Handles a target's refusal of @r; returns TRUE if @r has its final answer. */
static gboolean
take_refusal (CfEntry *e, CfRequest *r, CfHttpReply *rep, const char *addr,
              const CfMsg *m)
{
  const char *reason = m->u.refusal.reason;

  r->retry_hint_ms = MAX (r->retry_hint_ms, m->u.refusal.retry_after_ms);
  if (m->u.refusal.ran == CF_RAN_YES)
    {
      cf_request_refuse (e, r, rep, 502, reason, CF_RAN_YES, 0,
                         "the request ran, but its answer cannot be passed on; "
                         "ask for a smaller one");
      return TRUE;
    }
  if (m->u.refusal.ran != CF_RAN_NO)
    {
      g_autofree char *text
          = g_strdup_printf ("the target refused after it may have run: %s; "
                             "retry with the same idempotency key",
                             reason);

      cf_request_refuse (e, r, rep, 409, "fate-unknown", m->u.refusal.ran,
                         MAX (r->retry_hint_ms, e->settings.retry_after_ms),
                         text);
      return TRUE;
    }
  r->last_reason = "refused";
  if (g_str_equal (reason, CF_REASON_CONFIG_BEHIND))
    cf_config_watch_poll_peers (&e->watch);
  cf_log (LOG_INFO, CF_EV_RETRY, "req=%s target=%s reason=%s ran=no", r->id,
          addr, reason);
  return FALSE;
}

/* Handles a lost link, or no reply by the deadline, after @r was sent to
 * @addr; returns TRUE if @r has its final answer. */
static gboolean
take_loss (CfEntry *e, CfRequest *r, CfHttpReply *rep, const char *addr,
           gboolean timeout)
{
  r->may_have_run = TRUE;
  if (r->key || timeout)
    {
      cf_request_refuse (e, r, rep, 504, timeout ? "deadline" : "link-lost",
                         CF_RAN_UNKNOWN, e->settings.retry_after_ms,
                         "the target may have run the request; a call with an "
                         "idempotency key may be sent again with the same key");
      return TRUE;
    }
  r->last_reason = "link-lost";
  cf_log (LOG_INFO, CF_EV_RETRY,
          "req=%s target=%s reason=link-lost ran=unknown", r->id, addr);
  return FALSE;
}

/* A timeout counts as a failure of the target only after a wait of at least
 * this long; after a shorter one the request's deadline was too short. */
#define TARGET_SILENCE_MS 1000

/* Records for outlier ejection how an attempt at @addr ended after
 * @waited_ms. */
static void
record_outcome (CfEntry *e, const char *addr, CfCallResult res, const CfMsg *m,
                long long waited_ms)
{
  CfLink *l = cf_link_table_get (&e->links, addr);

  switch (res)
    {
    case CF_CALL_REPLY:
      if (m->kind == CF_MSG_ANSWER)
        cf_link_record_outcome (l, m->u.answer.code < 500);
      else if (g_str_equal (m->u.refusal.reason, CF_REASON_TARGET_UNREACHABLE)
               || g_str_equal (m->u.refusal.reason, CF_REASON_TARGET_FAILED))
        cf_link_record_outcome (l, FALSE);
      break;
    case CF_CALL_LOST:
      cf_link_record_outcome (l, FALSE);
      break;
    case CF_CALL_TIMEOUT:
      if (waited_ms >= TARGET_SILENCE_MS)
        cf_link_record_outcome (l, FALSE);
      break;
    case CF_CALL_NOT_SENT:
    case CF_CALL_TOO_LARGE:
    case CF_CALL_ABANDONED:
      break;
    }
}

/* Refuses @r because the drain deadline is near, at which the entry closes
 * all connections. */
static void
refuse_at_shutdown (CfEntry *e, CfRequest *r, CfHttpReply *rep)
{
  release_key (e, r);
  cf_request_refuse (
      e, r, rep, 503, "draining", r->may_have_run ? CF_RAN_UNKNOWN : CF_RAN_NO,
      e->settings.retry_after_ms,
      "this entry ends before a target answered; send the request to another, "
      "with the same idempotency key if it has one");
}

/* Handles a call that ended because its reply is no longer wanted: the caller
 * has left or the entry shuts down. */
static void
take_abandoned (CfEntry *e, CfRequest *r, CfHttpReply *rep)
{
  r->may_have_run = TRUE;
  if (cf_http_is_caller_gone (r->http))
    cf_request_refuse (e, r, rep, 499, "caller-left", CF_RAN_UNKNOWN, 0,
                       "the caller closed its connection");
  else
    refuse_at_shutdown (e, r, rep);
}

/* Sends @r to one target; returns TRUE if @r has its final answer. */
static gboolean
try_target (CfEntry *e, CfRequest *r, CfHttpReply *rep, const char *addr)
{
  CfMsg reply = { 0 };
  gboolean final = FALSE;
  CfCallResult res;
  long long t0;

  r->attempts++;
  cf_log (LOG_INFO, CF_EV_ROUTE,
          "req=%s org=%s service=%s model=%s intent=%s group=%s target=%s "
          "attempt=%" G_GINT64_FORMAT " reason=%s",
          r->id, r->org, r->service, r->model, r->intent->name, r->group->name,
          addr, r->attempts, r->key ? "key-owner" : "least-loaded");
  if (r->key && !claim_key (e, r, rep, addr))
    return TRUE;
  r->reached_target = TRUE;
  t0 = cf_now_ms ();
  res = send_to (e, r, addr, r->claimed ? CF_KEY_CLAIMED : CF_KEY_UNCLAIMED,
                 r->deadline_at_ms - t0, &reply);
  record_outcome (e, addr, res, &reply, cf_now_ms () - t0);
  switch (res)
    {
    case CF_CALL_REPLY:
      if (reply.kind == CF_MSG_ANSWER)
        {
          cf_request_answer (e, r, rep, &reply, addr);
          final = TRUE;
        }
      else
        final = take_refusal (e, r, rep, addr, &reply);
      break;
    case CF_CALL_ABANDONED:
      take_abandoned (e, r, rep);
      final = TRUE;
      break;
    case CF_CALL_TOO_LARGE:
      release_key (e, r);
      cf_request_refuse (
          e, r, rep, 413, "too-large", CF_RAN_NO, 0,
          "the request does not fit a frame of 1 MiB; send a smaller body");
      final = TRUE;
      break;
    case CF_CALL_NOT_SENT:
      r->reached_target = FALSE;
      r->last_reason = "link-down";
      cf_log (LOG_INFO, CF_EV_RETRY, "req=%s target=%s reason=link-down ran=no",
              r->id, addr);
      break;
    case CF_CALL_LOST:
      final = take_loss (e, r, rep, addr, FALSE);
      break;
    case CF_CALL_TIMEOUT:
      final = take_loss (e, r, rep, addr, TRUE);
      break;
    }
  cf_msg_clear (&reply);
  return final;
}

/* Whether another attempt is allowed.  A retry after an attempt that reached
 * a target is taken from the retry budget. */
static gboolean
may_attempt (CfEntry *e, CfRequest *r)
{
  if (r->attempts == 0)
    return TRUE;
  if (r->attempts >= e->settings.max_attempts)
    return FALSE;
  if (r->reached_target && !cf_retry_budget_take (&e->retry_budget))
    {
      r->last_reason = "retry-budget";
      return FALSE;
    }
  ck_pr_inc_64 (&e->retries);
  return TRUE;
}

/* Tries the targets of one group; returns TRUE if @r has its final answer. */
static gboolean
try_group (CfEntry *e, CfRequest *r, CfHttpReply *rep, GHashTable *tried)
{
  g_autofree CfCandidate *c = g_new0 (CfCandidate, r->group->agents->len);

  for (;;)
    {
      const CfCandidate *best;

      fill_candidates (e, r, c, tried);
      best = cf_route_pick (c, r->group->agents->len, r->key, r->id);
      if (best == NULL || !may_attempt (e, r))
        return FALSE;
      if (r->deadline_at_ms <= cf_now_ms ())
        {
          release_key (e, r);
          cf_request_refuse (e, r, rep, 504, "deadline",
                             r->may_have_run ? CF_RAN_UNKNOWN : CF_RAN_NO, 0,
                             "the deadline passed before a target answered");
          return TRUE;
        }
      if (is_drain_deadline_near (e))
        {
          refuse_at_shutdown (e, r, rep);
          return TRUE;
        }
      g_hash_table_add (tried, (gpointer)best->addr);
      if (try_target (e, r, rep, best->addr))
        return TRUE;
    }
}

void
cf_entry_route (CfEntry *e, CfRequest *r, CfHttpReply *rep)
{
  g_autoptr (GHashTable) tried = g_hash_table_new (g_str_hash, g_str_equal);

  cf_retry_budget_add_request (&e->retry_budget);
  for (guint i = 0; i < r->intent->groups->len; i++)
    {
      r->group = cf_config_find_group (
          r->config, g_ptr_array_index (r->intent->groups, i));
      if (try_group (e, r, rep, tried))
        return;
    }
  release_key (e, r);
  refuse_unavailable (e, r, rep, tried);
}
