#include "exchange-parts.h"

#include "ablation.h"

/** Silence of a target, in objectives, after which an idempotent call is
 * tried elsewhere: past the longest call of a hundred, whose mean is a fifth
 * of the objective. */
#define SILENCE_AIMS 2.5
/** Beyond the time that a rank group stalls over a lost rank, a stream's
 * silence is its own target's. */
#define SILENCE_MARGIN_MS 150
/** Of callers' patience, how long all targets of a service may be silent
 * before they count as standing still: callers of what is sent later would
 * leave before the first event. */
#define ALL_SILENT_PART 0.5
/** Callers give a stream up without an event for two seconds, four times the
 * objective or eight times that for pauses, whichever is longest. */
#define PATIENCE_LEAST_MS 2000
#define PATIENCE_AIMS 4
#define PATIENCE_GAPS 8
/** A target that shows no sign of work for so many times as long as first
 * events and pauses take stands still. */
#define STRANDED_TIMES 2
/** Before its caller leaves, when a stream that has not begun is looked at for
 * the last time: an answer of ours has to be there first.  The caller comes
 * back for it, and does not leave work at a target that cannot hear of it. */
#define LEAVES_MARGIN_MS 150
/** How often a target is looked at once more before the caller leaves. */
#define LOOK_AGAIN_MS 50
/** A limit this near is reached: timers fire some ms early or late. */
#define LOOK_LEAST_MS 10

void
cf_exchange_wait_for_target (CfExchange *x, gint64 ms)
{
  gint64 stay = cf_exchange_stay_ms (x);

  if (stay > 0)
    ms = MIN (ms, MAX (stay, 1));
  ev_timer_stop (x->g->loop, &x->silence);
  ev_timer_set (&x->silence, (double)ms / 1000, 0);
  ev_timer_start (x->g->loop, &x->silence);
}

gint64
cf_exchange_silence_limit (const CfExchange *x)
{
  if (x->route->stream)
    return x->g->set.stall_ms + SILENCE_MARGIN_MS;
  return (gint64)((double)x->route->aim_ms * SILENCE_AIMS);
}

gint64
cf_exchange_patience_ms (const CfExchange *x)
{
  gint64 ms = x->route->aim_ms;

  if (!x->route->stream)
    return ms;
  ms = MAX (ms * PATIENCE_AIMS, x->route->gap_aim_ms * PATIENCE_GAPS);
  return MAX (ms, PATIENCE_LEAST_MS);
}

gint64
cf_exchange_stay_ms (const CfExchange *x)
{
  if (!x->route->stream || x->last_event_ms != 0)
    return G_MAXINT64;
  return x->start_ms + cf_exchange_patience_ms (x) - LEAVES_MARGIN_MS
         - cf_gateway_now (x->g);
}

static gint64
all_silent_ms (const CfExchange *x)
{
  return (gint64)((double)cf_exchange_patience_ms (x) * ALL_SILENT_PART);
}

gboolean
cf_exchange_all_quiet (const CfExchange *x, gint64 ms)
{
  const CfServiceState *l = x->lane;
  gint64 since = MAX (l->last_event_ms, l->busy_since_ms);

  return x->route->stream && l->in_flight > 0
         && cf_gateway_now (x->g) - since > ms;
}

static gboolean
all_silent (const CfExchange *x)
{
  return cf_exchange_all_quiet (x, all_silent_ms (x));
}

/* For how long a target may show no sign of any work before a stream that it
 * has not begun is taken elsewhere. */
static gint64
stranded_ms (const CfExchange *x)
{
  return STRANDED_TIMES
         * MAX (cf_pace_stall_ms (&x->lane->latency), x->expected_first_ms);
}

gint64
cf_exchange_first_look_ms (const CfExchange *x)
{
  gint64 limit = cf_exchange_silence_limit (x);

  return x->route->stream ? MIN (stranded_ms (x), limit) : limit;
}

/* Whether a stream's target alone stands still, before its first event: its
 * caller would leave while the request lies there out of reach. */
static gboolean
is_stranded (const CfExchange *x)
{
  gint64 now = cf_gateway_now (x->g);

  return !CF_WITHOUT_STALL_CHECK && x->route->stream && x->last_event_ms == 0
         && cf_target_quiet_ms (x->target, now) >= stranded_ms (x)
         && now - x->lane->last_event_ms < cf_pace_stall_ms (&x->lane->latency);
}

/* Whether its target, or its whole service, shows no sign of any work. */
static gboolean
is_quiet (const CfExchange *x)
{
  gint64 stall = cf_pace_stall_ms (&x->lane->latency);

  return cf_exchange_all_quiet (x, stall)
         || cf_target_quiet_ms (x->target, cf_gateway_now (x->g)) > stall;
}

/* Whether a stream's caller leaves before anything can come of it. */
static gboolean
is_hopeless (const CfExchange *x)
{
  return !CF_WITHOUT_STALL_CHECK && cf_exchange_stay_ms (x) <= LOOK_LEAST_MS
         && is_quiet (x);
}

/* Whether another target can show a first event before the caller leaves: if
 * not, two have its work once it left, and only one can hear of that. */
static gboolean
has_time_elsewhere (const CfExchange *x)
{
  return cf_exchange_stay_ms (x) > cf_pace_first_ms (
             &x->lane->latency, cf_exchange_engine (x), &x->size);
}

/* Whether another target may have it now.  Without a retry in the budget its
 * own target, silent or not, is the only one that may still answer. */
static gboolean
may_leave (CfExchange *x)
{
  x->may_have_run = TRUE;
  return cf_exchange_may_send_again (x)
         && cf_retry_budget_has (&x->lane->budget);
}

/* Tries another target; FALSE if it may not have one. */
static gboolean
leave_stranded (CfExchange *x)
{
  if (!may_leave (x) || !has_time_elsewhere (x))
    return FALSE;
  cf_exchange_blame (x, x->target, "stands-still");
  cf_exchange_forget_answer (x);
  cf_exchange_try_again (x, "stands-still");
  return TRUE;
}

/* The target, or the queue, took too long. */
void
cf_exchange_on_silence (struct ev_loop *loop, ev_timer *w, int revents)
{
  CfExchange *x = w->data;
  gint64 left
      = x->sent_ms + cf_exchange_silence_limit (x) - cf_gateway_now (x->g);

  if (x->waiter.queued)
    {
      cf_exchange_waited_too_long (x);
      return;
    }
  if (is_hopeless (x))
    {
      x->may_have_run = TRUE;
      cf_exchange_give_up (x, "stands-still");
      return;
    }
  if (x->last_event_ms == 0 && left > LOOK_LEAST_MS)
    {
      if (is_stranded (x) && leave_stranded (x))
        return;
      cf_exchange_wait_for_target (x, cf_exchange_stay_ms (x) <= LOOK_LEAST_MS
                                          ? LOOK_AGAIN_MS
                                          : MIN (left, stranded_ms (x) / 2));
      return;
    }
  /* When all targets are silent, as the ranks of a group are while one of
   * them is missed, another has nothing to say either. */
  if (all_silent (x))
    {
      cf_exchange_wait_for_target (x, all_silent_ms (x));
      return;
    }
  /* Without another target to try, the one that is silent may still answer. */
  if (!may_leave (x) || (is_quiet (x) && !has_time_elsewhere (x)))
    {
      if (x->route->stream && x->last_event_ms == 0)
        cf_exchange_wait_for_target (
            x, MAX (cf_exchange_stay_ms (x), LOOK_AGAIN_MS));
      return;
    }
  cf_exchange_blame (x, x->target, "silent");
  cf_exchange_forget_answer (x);
  cf_exchange_try_again (x, "silent");
}
