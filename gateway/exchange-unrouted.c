#include "exchange-parts.h"

/** A process that starts learns its configuration and targets within some
 * 100 ms, from the store or a peer; if it has not by then, neither may be in
 * reach, and callers are told so at once. */
#define STARTUP_MS 2000
/** A request waits for so long at most: a third of what its caller allows. */
#define UNROUTED_MOST_MS 1000
#define UNROUTED_PART 0.33

/* Whether it may be routed soon, though not yet. */
static gboolean
is_worth_waiting (const CfGateway *g)
{
  return !cf_gateway_can_route (g) && !g->stopping
         && cf_gateway_now (g) - g->started_ms < STARTUP_MS;
}

static gint64
limit_ms (const CfExchange *x)
{
  gint64 allowed = cf_exchange_caller_limit_ms (x);

  if (allowed <= 0)
    return UNROUTED_MOST_MS;
  return MIN (UNROUTED_MOST_MS, (gint64)((double)allowed * UNROUTED_PART));
}

static void
on_limit (struct ev_loop *loop, ev_timer *t, int revents)
{
  CfExchange *x = t->data;

  cf_exchange_leave_unrouted (x);
  cf_exchange_route (x);
}

gboolean
cf_exchange_waits_unrouted (CfExchange *x)
{
  CfGateway *g = x->g;

  if (!is_worth_waiting (g))
    return FALSE;
  TAILQ_INSERT_TAIL (&g->unrouted, x, unrouted);
  x->is_unrouted = TRUE;
  ev_timer_init (&x->unrouted_limit, on_limit, (double)limit_ms (x) / 1000, 0);
  x->unrouted_limit.data = x;
  ev_timer_start (g->loop, &x->unrouted_limit);
  g->stats.unrouted++;
  return TRUE;
}

void
cf_exchange_leave_unrouted (CfExchange *x)
{
  if (!x->is_unrouted)
    return;
  TAILQ_REMOVE (&x->g->unrouted, x, unrouted);
  x->is_unrouted = FALSE;
  ev_timer_stop (x->g->loop, &x->unrouted_limit);
}

void
cf_exchange_route_waiting (CfGateway *g)
{
  CfExchange *x;

  while (cf_gateway_can_route (g) && (x = TAILQ_FIRST (&g->unrouted)))
    {
      cf_exchange_leave_unrouted (x);
      cf_exchange_route (x);
    }
}
