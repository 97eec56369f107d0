#include "exchange-parts.h"

#include "ablation.h"

/** Silence of a target after which an idempotent call is retried elsewhere, as
 * a multiple of the latency objective.  It exceeds the longest of a hundred
 * calls whose mean is a fifth of the objective. */
#define SILENCE_OBJECTIVES 2.5
/** Added to the time for which a rank group stalls over a lost rank.  A stream
 * that is silent for longer is silent because of its own target. */
#define SILENCE_MARGIN_MS 150
/** Silence of all targets of a service after which the service counts as
 * stalled, as a fraction of the time that callers wait.  Callers of requests
 * that are sent later would leave before the first event. */
#define SERVICE_SILENCE_FRACTION 0.5
/** Callers give up on a stream that sends no event for 2 s, four times the
 * latency objective or eight times the objective for pauses, whichever is
 * longest. */
#define CALLER_WAIT_MIN_MS 2000
#define CALLER_WAIT_OBJECTIVES 4
#define CALLER_WAIT_PAUSES 8
/** A target has stalled if it sends nothing for this many times as long as
 * first events and pauses usually take. */
#define TARGET_STALL_FACTOR 2
/** How long before its caller gives up a stream without an event is checked for
 * the last time.  An error answer has to reach the caller before it gives up:
 * the caller then retries, and does not leave work at a target that cannot be
 * notified of the cancellation. */
#define CALLER_WAIT_MARGIN_MS 150
/** Interval of further checks of a target until the caller gives up. */
#define RECHECK_INTERVAL_MS 50
/** A time limit counts as reached this much earlier, since timers fire some ms
 * early or late. */
#define TIMER_TOLERANCE_MS 10

void
cf_exchange_start_silence_timer (CfExchange *x, gint64 ms)
{
  gint64 remaining = cf_exchange_caller_remaining_ms (x);

  if (remaining > 0)
    ms = MIN (ms, MAX (remaining, 1));
  ev_timer_stop (x->gateway->loop, &x->silence_timer);
  ev_timer_set (&x->silence_timer, (double)ms / 1000, 0);
  ev_timer_start (x->gateway->loop, &x->silence_timer);
}

gint64
cf_exchange_silence_timeout_ms (const CfExchange *x)
{
  if (x->route->stream)
    return x->gateway->settings.stall_ms + SILENCE_MARGIN_MS;
  return (gint64)((double)x->route->objective_ms * SILENCE_OBJECTIVES);
}

gint64
cf_exchange_caller_wait_ms (const CfExchange *x)
{
  gint64 ms = x->route->objective_ms;

  if (!x->route->stream)
    return ms;
  ms = MAX (ms * CALLER_WAIT_OBJECTIVES,
            x->route->gap_objective_ms * CALLER_WAIT_PAUSES);
  return MAX (ms, CALLER_WAIT_MIN_MS);
}

gint64
cf_exchange_caller_remaining_ms (const CfExchange *x)
{
  if (!x->route->stream || x->last_event_ms != 0)
    return G_MAXINT64;
  return x->start_ms + cf_exchange_caller_wait_ms (x) - CALLER_WAIT_MARGIN_MS
         - cf_gateway_now (x->gateway);
}

/* Silence of a service after which it counts as stalled. */
static gint64
service_silence_timeout_ms (const CfExchange *x)
{
  return (gint64)((double)cf_exchange_caller_wait_ms (x)
                  * SERVICE_SILENCE_FRACTION);
}

gboolean
cf_exchange_is_service_silent (const CfExchange *x, gint64 ms)
{
  const CfServiceState *s = x->service_state;
  gint64 since = MAX (s->last_event_ms, s->busy_since_ms);

  return x->route->stream && s->in_flight > 0
         && cf_gateway_now (x->gateway) - since > ms;
}

static gboolean
is_service_stalled (const CfExchange *x)
{
  return cf_exchange_is_service_silent (x, service_silence_timeout_ms (x));
}

/* For how long a target may send nothing at all before a stream without an
 * event is retried elsewhere. */
static gint64
target_stall_timeout_ms (const CfExchange *x)
{
  return TARGET_STALL_FACTOR
         * MAX (cf_stream_latency_stall_timeout_ms (&x->service_state->latency),
                x->expected_first_ms);
}

gint64
cf_exchange_first_check_ms (const CfExchange *x)
{
  gint64 limit = cf_exchange_silence_timeout_ms (x);

  return x->route->stream ? MIN (target_stall_timeout_ms (x), limit) : limit;
}

/* Whether a stream without an event waits for a target that has stalled while
 * its service has not: the caller would leave while the request stays at that
 * target and cannot be cancelled there. */
static gboolean
is_only_target_stalled (const CfExchange *x)
{
  gint64 now = cf_gateway_now (x->gateway);

  return !CF_WITHOUT_STALL_CHECK && x->route->stream && x->last_event_ms == 0
         && cf_target_silence_ms (x->target, now) >= target_stall_timeout_ms (x)
         && now - x->service_state->last_event_ms
                < cf_stream_latency_stall_timeout_ms (
                    &x->service_state->latency);
}

/* Whether a target that got it, now or in an earlier attempt, has not sent
 * anything for @ms.  It may still hold the request, and not be able to read
 * that it was cancelled. */
static gboolean
is_any_attempt_stalled (const CfExchange *x, gint64 ms)
{
  gint64 now = cf_gateway_now (x->gateway);

  for (guint i = 0; i < x->tried_targets->len; i++)
    if (cf_target_unanswered_ms (x->tried_targets->pdata[i], now) > ms)
      return TRUE;
  return FALSE;
}

/* Whether its target, or its whole service, sends nothing. */
static gboolean
is_target_or_service_silent (const CfExchange *x)
{
  gint64 stall
      = cf_stream_latency_stall_timeout_ms (&x->service_state->latency);

  return cf_exchange_is_service_silent (x, stall)
         || cf_target_silence_ms (x->target, cf_gateway_now (x->gateway))
                > stall;
}

/* Whether a stream's caller gives up now, while a target that cannot be
 * notified may hold the request. */
static gboolean
is_caller_about_to_leave (const CfExchange *x)
{
  gint64 stall
      = cf_stream_latency_stall_timeout_ms (&x->service_state->latency);

  return !CF_WITHOUT_STALL_CHECK
         && cf_exchange_caller_remaining_ms (x) <= TIMER_TOLERANCE_MS
         && (cf_exchange_is_service_silent (x, stall)
             || is_any_attempt_stalled (x, stall));
}

/* Whether another target can send a first event before the caller gives up.  If
 * not, a retry would leave two targets with work that no caller waits for, only
 * one of which can be notified of the cancellation. */
static gboolean
has_time_for_retry (const CfExchange *x)
{
  return cf_exchange_caller_remaining_ms (x)
         > cf_stream_latency_first_event_ms (&x->service_state->latency,
                                             cf_exchange_engine_model (x),
                                             &x->size);
}

/* Marks it as possibly run, since its silent target may have run it, and
 * returns whether another target may be tried now.  Without a retry in the
 * budget, its own target is the only one that can still answer, even if it is
 * silent. */
static gboolean
check_retry_elsewhere (CfExchange *x)
{
  x->may_have_run = TRUE;
  return cf_exchange_may_retry (x)
         && cf_retry_budget_has_token (&x->service_state->budget);
}

/* Retries at another target; FALSE if that is not allowed or too late. */
static gboolean
retry_stalled (CfExchange *x)
{
  if (!check_retry_elsewhere (x) || !has_time_for_retry (x))
    return FALSE;
  cf_exchange_record_failure (x, x->target, "stands-still");
  cf_exchange_discard_answer (x);
  cf_exchange_retry_or_end (x, CF_RETRY_CAUSE_SILENT, "stands-still");
  return TRUE;
}

void
cf_exchange_on_silence_timer (struct ev_loop *loop, ev_timer *w, int revents)
{
  CfExchange *x = w->data;
  gint64 remaining = x->sent_ms + cf_exchange_silence_timeout_ms (x)
                     - cf_gateway_now (x->gateway);

  if (x->waiter.queued)
    {
      cf_exchange_on_queue_timeout (x);
      return;
    }
  if (is_caller_about_to_leave (x))
    {
      x->may_have_run = TRUE;
      cf_exchange_fail (x, "stands-still");
      return;
    }
  if (x->last_event_ms == 0 && remaining > TIMER_TOLERANCE_MS)
    {
      if (is_only_target_stalled (x) && retry_stalled (x))
        return;
      cf_exchange_start_silence_timer (
          x, cf_exchange_caller_remaining_ms (x) <= TIMER_TOLERANCE_MS
                 ? RECHECK_INTERVAL_MS
                 : MIN (remaining, target_stall_timeout_ms (x) / 2));
      return;
    }
  /* When all targets are silent, as the ranks of a group are while one of them
   * is missing, another target would not answer either. */
  if (is_service_stalled (x))
    {
      cf_exchange_start_silence_timer (x, service_silence_timeout_ms (x));
      return;
    }
  /* Without another target to try, only the silent one can still answer. */
  if (!check_retry_elsewhere (x)
      || (is_target_or_service_silent (x) && !has_time_for_retry (x)))
    {
      if (x->route->stream && x->last_event_ms == 0)
        cf_exchange_start_silence_timer (
            x, MAX (cf_exchange_caller_remaining_ms (x), RECHECK_INTERVAL_MS));
      return;
    }
  cf_exchange_record_failure (x, x->target, "silent");
  cf_exchange_discard_answer (x);
  cf_exchange_retry_or_end (x, CF_RETRY_CAUSE_SILENT, "silent");
}
