#include "exchange-parts.h"

#include "log.h"

/** A rank is back this long after a crash at the earliest; then its group
 * forms. */
#define RANK_BACK_MS 500
/** Expected rest of an outage if the time that a group takes to form is not
 * known. */
#define OUTAGE_BACKOFF_MS 1000
/** The same in a long outage: the longest wait that callers may be given. */
#define LONG_OUTAGE_BACKOFF_MS 4000

/* Whether another caller is likely to send the same request, as is common for
 * those without a body, and for those of callers that no organisation tells
 * apart. */
static gboolean
may_be_shared (const CfExchange *x)
{
  return x->caller->body->len == 0 || !x->org;
}

/* The key by which it is recognised when its caller returns. */
static guint64
get_key (CfExchange *x)
{
  GArray *suspects = cf_exchange_suspects (x);

  return cf_return_key (&g_array_index (suspects, CfSuspect, 0).digest);
}

/* Returns when the service is expected to have capacity again. */
static gint64
get_opens_ms (const CfExchange *x)
{
  const CfOutage *o = &x->service_state->outage;
  const CfEngineModel *model = cf_exchange_engine_model (x);
  gint64 now = cf_gateway_now (x->gateway);

  if (cf_outage_is_long (o, now))
    return now + LONG_OUTAGE_BACKOFF_MS;
  if (o->since_ms == 0)
    return now;
  if (!model || model->form_ms <= 0)
    return now + OUTAGE_BACKOFF_MS;
  return MAX (now, o->since_ms + RANK_BACK_MS) + (gint64)model->form_ms;
}

/* Returns the slots whose requests end at the usual rate.  In an outage none
 * are in use, and an even share will be. */
static double
get_drain_slots (const CfExchange *x)
{
  const CfServiceState *s = x->service_state;
  gint64 all;

  if (s->share.total > 0)
    return s->share.total;
  if (s->outage.since_ms == 0)
    return s->in_flight;
  all = cf_target_table_slots (&x->gateway->targets, x->service);
  return (double)all / MAX (x->gateway->fleet_size, 1);
}

static double
get_drain_per_s (const CfExchange *x)
{
  double hold_ms = x->service_state->demand.hold_ms;

  return hold_ms > 0 ? get_drain_slots (x) * 1000 / hold_ms : 0;
}

/* Counts the waiting requests that go before it. */
static guint
count_ahead (const CfExchange *x)
{
  CfWaiter *w;
  guint n = 0;

  TAILQ_FOREACH (w, &x->service_state->queue.waiters, link)
  n += w != &x->waiter && w->priority <= x->waiter.priority;
  return n;
}

static void
fill_request (CfExchange *x, CfReturnRequest *r)
{
  gint64 now = cf_gateway_now (x->gateway);

  r->key = get_key (x);
  r->urgency = x->waiter.priority;
  r->now_ms = now;
  r->opens_ms = get_opens_ms (x);
  r->drain_per_s = get_drain_per_s (x);
  r->n_ahead = count_ahead (x);
  r->remaining_ms = cf_exchange_remaining_ms (x);
}

/* Several callers may send the same request.  One of them is recognised when it
 * returns; the others get places of their own.  A caller's own place was
 * removed when it came for it, so a place that is there now is another
 * caller's. */
static void
make_anonymous_if_taken (const CfExchange *x, CfReturnRequest *r)
{
  gint64 wait_ms;

  if (cf_return_schedule_check (&x->service_state->returns, r->key, r->now_ms,
                                &wait_ms)
      == CF_RETURN_NEW)
    return;
  r->is_anonymous = TRUE;
  r->key = ((guint64)g_random_int () << 32) | g_random_int ();
}

/* Refuses it and gives its caller a place.
 * @max_per_s: the rate at which requests may be sent; 0: unknown */
static void
refuse_at_rate (CfExchange *x, const char *reason, double max_per_s)
{
  CfReturnSchedule *s = &x->service_state->returns;
  CfReturnRequest r = { 0 };
  gint64 wait_ms;

  fill_request (x, &r);
  if (max_per_s > 0 && (r.drain_per_s == 0 || max_per_s < r.drain_per_s))
    r.drain_per_s = max_per_s;
  make_anonymous_if_taken (x, &r);
  wait_ms = cf_return_schedule_assign (s, &r);
  x->gateway->has_new_returns |= !r.is_anonymous;
  x->gateway->stats.returns_refused += x->waiter.returned;
  cf_log (LOG_INFO, CF_EV_RETURN,
          "id=%s service=%s org=%s priority=%" G_GINT64_FORMAT
          " return_ms=%" G_GINT64_FORMAT " ahead=%u",
          x->id, x->service, x->org ? x->org : "-", x->waiter.priority, wait_ms,
          r.n_ahead);
  cf_exchange_refuse_for (x, reason, wait_ms);
}

void
cf_exchange_refuse_full (CfExchange *x, const char *reason)
{
  refuse_at_rate (x, reason, 0);
}

void
cf_exchange_refuse_rate_limited (CfExchange *x, const char *reason,
                                 double max_per_s)
{
  refuse_at_rate (x, reason, max_per_s);
}

static void
log_return (const CfExchange *x, const char *outcome, gint64 wait_ms)
{
  cf_log (LOG_INFO, CF_EV_RETURN, "id=%s outcome=%s wait_ms=%" G_GINT64_FORMAT,
          x->id, outcome, wait_ms);
}

gboolean
cf_exchange_refuse_early (CfExchange *x)
{
  CfServiceState *s = x->service_state;
  gint64 now = cf_gateway_now (x->gateway);
  gint64 wait_ms;

  if (x->is_return_checked)
    return FALSE;
  x->is_return_checked = TRUE;
  if (cf_return_schedule_is_empty (&s->returns, now))
    return FALSE;
  switch (cf_return_schedule_check (&s->returns, get_key (x), now, &wait_ms))
    {
    case CF_RETURN_NEW:
      return FALSE;
    case CF_RETURN_DUE:
      log_return (x, "due", 0);
      x->gateway->stats.returns_due++;
      x->waiter.returned = TRUE;
      cf_return_schedule_remove (&s->returns, get_key (x));
      return FALSE;
    case CF_RETURN_EARLY:
      break;
    }
  if (may_be_shared (x))
    return FALSE;
  /* If the place is another caller's, this one may accept less. */
  wait_ms = cf_retry_after_ms (cf_exchange_remaining_ms (x), wait_ms, 0);
  log_return (x, "early", wait_ms);
  x->gateway->stats.returns_early++;
  if (count_ahead (x) > 0)
    {
      cf_exchange_refuse_for (x, "returned-early", wait_ms);
      return TRUE;
    }
  cf_return_schedule_remove (&s->returns, get_key (x));
  return FALSE;
}
