#include "exchange-parts.h"

/** For how long after its start a process makes requests wait for its
 * configuration and targets.  It usually gets both from the store or a peer
 * within about 100 ms.  If it has not got them by this time, the store and all
 * peers may be unreachable, and requests are refused at once. */
#define STARTUP_TIMEOUT_MS 2000
/** A request waits for at most this time, and this fraction of its caller's
 * timeout. */
#define UNROUTED_MAX_MS 1000
#define UNROUTED_FRACTION 0.33

/* Whether requests cannot be routed yet but may be soon. */
static gboolean
may_become_routable (const CfGateway *g)
{
  return !cf_gateway_can_route (g) && !g->stopping
         && cf_gateway_now (g) - g->started_ms < STARTUP_TIMEOUT_MS;
}

static gint64
unrouted_timeout_ms (const CfExchange *x)
{
  gint64 timeout_ms = cf_exchange_caller_timeout_ms (x);

  if (timeout_ms <= 0)
    return UNROUTED_MAX_MS;
  return MIN (UNROUTED_MAX_MS,
              (gint64)((double)timeout_ms * UNROUTED_FRACTION));
}

static void
on_unrouted_timeout (struct ev_loop *loop, ev_timer *t, int revents)
{
  CfExchange *x = t->data;

  cf_exchange_remove_unrouted (x);
  cf_exchange_route (x);
}

gboolean
cf_exchange_defer_routing (CfExchange *x)
{
  CfGateway *g = x->gateway;

  if (!may_become_routable (g))
    return FALSE;
  TAILQ_INSERT_TAIL (&g->unrouted, x, unrouted_link);
  x->is_unrouted = TRUE;
  ev_timer_init (&x->unrouted_timer, on_unrouted_timeout,
                 (double)unrouted_timeout_ms (x) / 1000, 0);
  x->unrouted_timer.data = x;
  ev_timer_start (g->loop, &x->unrouted_timer);
  g->stats.unrouted++;
  return TRUE;
}

void
cf_exchange_remove_unrouted (CfExchange *x)
{
  if (!x->is_unrouted)
    return;
  TAILQ_REMOVE (&x->gateway->unrouted, x, unrouted_link);
  x->is_unrouted = FALSE;
  ev_timer_stop (x->gateway->loop, &x->unrouted_timer);
}

void
cf_exchange_route_unrouted (CfGateway *g)
{
  CfExchange *x;

  while (cf_gateway_can_route (g) && (x = TAILQ_FIRST (&g->unrouted)))
    {
      cf_exchange_remove_unrouted (x);
      cf_exchange_route (x);
    }
}
