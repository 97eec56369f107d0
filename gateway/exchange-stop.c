#include "exchange-parts.h"

#include "log.h"

/** Back-off asked of callers that come to a process about to end: another
 * connection reaches another VM. */
#define STOPPING_BUSY_MS 20
/** The same for callers that came on a new connection: for some 2 s more the
 * platform sends them here again, or no other VM takes them and this one has
 * to be back first, 0.5 s after its end. */
#define RESTART_BUSY_MS 1000

/* From now until its answer is whole, at most: its time limit, or what its
 * size takes. */
static gint64
whole_ms (const CfExchange *x)
{
  gint64 left = cf_exchange_left_ms (x);
  gint64 whole = -1;

  if (x->route->stream)
    whole = cf_pace_whole_ms (&x->lane->pace, cf_exchange_engine (x), &x->size,
                              cf_gateway_now (x->g));
  return whole < 0 ? left : MIN (whole, left);
}

/* A call takes some ms where its time limit is seconds, so while the platform
 * still sends callers here it is taken; of the few that come later its time
 * limit decides. */
static gboolean
is_unforeseen (const CfExchange *x)
{
  return !x->route->stream || !cf_exchange_engine (x);
}

gint64
cf_exchange_stop_slack_ms (const CfExchange *x)
{
  const CfGateway *g = x->g;

  if (!g->stopping || x->begun || (!g->stop_heard && is_unforeseen (x)))
    return G_MAXINT64;
  return g->end_at_ms - cf_gateway_now (g) - whole_ms (x);
}

static void
note_look (const CfExchange *x, const char *outcome)
{
  cf_log (LOG_INFO, CF_EV_STOP_ESTIMATE,
          "id=%s outcome=%s whole_ms=%" G_GINT64_FORMAT
          " left_ms=%" G_GINT64_FORMAT
          " pause_ms=%.1f answer=%" G_GINT64_FORMAT,
          x->id, outcome, whole_ms (x), x->g->end_at_ms - cf_gateway_now (x->g),
          x->lane->pace.pause_ms, x->size.answer);
}

/* From SIGTERM on, though the platform sends callers here for 2.3 s more: a
 * stream that was taken on unlooked would be cut off at the end.
 *
 * An answer that has begun goes on at another target: breaking it off would
 * be the cut that is to be avoided. */
gboolean
cf_exchange_stops_here (CfExchange *x)
{
  gint64 slack = cf_exchange_stop_slack_ms (x);

  if (slack == G_MAXINT64)
    return FALSE;
  if (slack > 0)
    {
      note_look (x, "in-time");
      return FALSE;
    }
  note_look (x, "too-late");
  if (x->may_have_run)
    cf_exchange_give_up (x, "stopping");
  else
    cf_exchange_refuse (x, "stopping",
                        x->c->served ? STOPPING_BUSY_MS : RESTART_BUSY_MS);
  return TRUE;
}

static CfExchange *
first_too_late (const CfLane *l)
{
  CfWaiter *w;

  TAILQ_FOREACH (w, &l->queue.waiters, link)
  if (cf_exchange_stop_slack_ms (w->owner) <= 0)
    return w->owner;
  return NULL;
}

void
cf_exchange_stop_look (CfGateway *g)
{
  GHashTableIter it;
  gpointer lane;
  CfExchange *x;

  g_hash_table_iter_init (&it, g->lanes);
  while (g_hash_table_iter_next (&it, NULL, &lane))
    while ((x = first_too_late (lane)))
      cf_exchange_stops_here (x);
}

void
cf_exchange_end_with_process (CfExchange *x)
{
  if (x->begun)
    {
      x->c->x = NULL;
      cf_exchange_finish (x, CF_OUT_BROKEN, x->status, "cut-by-stop");
    }
  else if (x->up || x->may_have_run)
    cf_exchange_give_up (x, "cut-by-stop");
  else
    cf_exchange_refuse (x, "stopping", RESTART_BUSY_MS);
}
