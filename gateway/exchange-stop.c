#include "exchange-parts.h"

#include "log.h"

/** Back-off for callers of a process that is about to end: a new connection
 * reaches another VM. */
#define STOPPING_BACKOFF_MS 20
/** The same for callers that came on a new connection.  Either the platform
 * still routes new connections here, for about another 2 s, or no other VM
 * accepts them and this one has to restart first, 0.5 s after it ended. */
#define RESTART_BACKOFF_MS 1000

/* The longest time from now until its answer is complete: its remaining time,
 * or the estimate for its size if that is shorter. */
static gint64
completion_ms (const CfExchange *x)
{
  gint64 remaining = cf_exchange_remaining_ms (x);
  gint64 total = -1;

  if (x->route->stream)
    total = cf_stream_latency_max_total_ms (
        &x->service_state->latency, cf_exchange_engine_model (x), &x->size,
        cf_gateway_now (x->gateway));
  return total < 0 ? remaining : MIN (total, remaining);
}

/* Whether its duration cannot be estimated, so that completion_ms() is just its
 * remaining time.  Such a call usually takes some ms although its time limit is
 * seconds, so it is not checked while the platform still routes callers here.
 * The few that come later are accepted only if their whole remaining time ends
 * before this process does. */
static gboolean
has_unknown_duration (const CfExchange *x)
{
  return !x->route->stream || !cf_exchange_engine_model (x);
}

gint64
cf_exchange_stop_slack_ms (const CfExchange *x)
{
  const CfGateway *g = x->gateway;

  if (!g->stopping || x->answer_started
      || (!g->stop_propagated && has_unknown_duration (x)))
    return G_MAXINT64;
  return g->stop_deadline_ms - cf_gateway_now (g) - completion_ms (x);
}

static void
log_stop_check (const CfExchange *x, const char *outcome)
{
  cf_log (LOG_INFO, CF_EV_STOP_ESTIMATE,
          "id=%s outcome=%s whole_ms=%" G_GINT64_FORMAT
          " left_ms=%" G_GINT64_FORMAT
          " pause_ms=%.1f answer=%" G_GINT64_FORMAT,
          x->id, outcome, completion_ms (x),
          x->gateway->stop_deadline_ms - cf_gateway_now (x->gateway),
          x->service_state->latency.pause_ms, x->size.answer);
}

/* The check applies from SIGTERM on, although the platform routes callers here
 * for another 2.3 s: a stream accepted unchecked would be cut off at the end.
 *
 * An answer that has started may still be resumed at another target; refusing
 * that would cut it off, which is what the check is to avoid. */
gboolean
cf_exchange_refuse_too_late (CfExchange *x)
{
  gint64 slack = cf_exchange_stop_slack_ms (x);

  if (slack == G_MAXINT64)
    return FALSE;
  if (slack > 0)
    {
      log_stop_check (x, "in-time");
      return FALSE;
    }
  log_stop_check (x, "too-late");
  if (x->may_have_run)
    cf_exchange_fail (x, "stopping");
  else
    cf_exchange_refuse (x, "stopping",
                        x->caller->served ? STOPPING_BACKOFF_MS
                                          : RESTART_BACKOFF_MS);
  return TRUE;
}

static CfExchange *
first_too_late (const CfServiceState *s)
{
  CfWaiter *w;

  TAILQ_FOREACH (w, &s->queue.waiters, link)
  if (cf_exchange_stop_slack_ms (w->owner) <= 0)
    return w->owner;
  return NULL;
}

void
cf_exchange_refuse_all_too_late (CfGateway *g)
{
  GHashTableIter it;
  gpointer service_state;
  CfExchange *x;

  g_hash_table_iter_init (&it, g->service_states);
  while (g_hash_table_iter_next (&it, NULL, &service_state))
    while ((x = first_too_late (service_state)))
      cf_exchange_refuse_too_late (x);
}

void
cf_exchange_end_at_shutdown (CfExchange *x)
{
  if (x->answer_started)
    {
      x->caller->exchange = NULL;
      cf_exchange_finish (x, CF_OUTCOME_BROKEN, x->status, "cut-by-stop");
    }
  else if (x->upstream || x->may_have_run)
    cf_exchange_fail (x, "cut-by-stop");
  else
    cf_exchange_refuse (x, "stopping", RESTART_BACKOFF_MS);
}
