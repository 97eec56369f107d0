#include "concurrency-limit.h"

#include "ablation.h"

#define SAMPLES_PER_DECISION 8
/** The mean time to the first event may be this fraction of the objective; the
 * rest is for the deviation from the mean and the wait in the gateway. */
#define ACCEPTED_OBJECTIVE_FRACTION 0.5
/** The mean may always exceed the time without a queue by this factor.  Where
 * passes alone take longer than the objective allows, a lower limit would gain
 * nothing. */
#define ACCEPTED_UNQUEUED_FACTOR 1.3
/** Without a model of the engine, the expected time without a queue is that of
 * two pauses between events, which leaves out the prompt.  The shortest time
 * seen is therefore accepted too.  If requests of other gateways are queued all
 * along, that time contains the queue; it is accepted only up to this fraction
 * of the objective, which leaves a fifth for the wait in the gateway. */
#define ACCEPTED_FASTEST_FRACTION 0.8
/** The shortest time is taken from one to two windows. */
#define WINDOW_MS 5000L
/** The limit is binding from this fraction of it in flight. */
#define BINDING_FRACTION 0.9
/** Bounds of the factor by which one decision changes the limit. */
#define MAX_DECREASE_FACTOR 0.85
#define MAX_INCREASE_FACTOR 1.05
/** Bounds of the limit, in fair shares.  The lower one keeps engines at nine
 * tenths of their throughput; above the upper one the limit is lifted. */
#define MIN_FAIR_SHARES 0.85
#define MAX_FAIR_SHARES 2.0

static double
get_min_limit (const CfFirstEventSample *e)
{
  return MAX (e->fair_share * MIN_FAIR_SHARES, 1);
}

/* Notes the time of a stream that was sent while this gateway had so few others
 * in flight that a limit would not have been lower: what it waited for was not
 * a queue of this gateway.  Others keep the shortest time from before, as a
 * service in steady use would otherwise seem to have a queue again and again.
 */
static void
note_fastest (CfConcurrencyLimit *l, const CfFirstEventSample *e)
{
  gint64 age_ms = e->now_ms - l->window_start_ms;
  double ms = (double)MAX (e->now_ms - e->sent_ms, 1);

  if (e->in_flight_at_send > get_min_limit (e))
    return;
  if (age_ms >= WINDOW_MS)
    {
      l->fastest_ms[1] = age_ms < 2 * WINDOW_MS ? l->fastest_ms[0] : 0;
      l->fastest_ms[0] = 0;
      l->window_start_ms = e->now_ms;
    }
  if (l->fastest_ms[0] == 0 || ms < l->fastest_ms[0])
    l->fastest_ms[0] = ms;
}

/* Returns the shortest time of both windows; 0: none was seen. */
static double
get_fastest_ms (const CfConcurrencyLimit *l)
{
  return l->fastest_ms[1] > 0 ? MIN (l->fastest_ms[0], l->fastest_ms[1])
                              : l->fastest_ms[0];
}

static double
get_accepted_ms (const CfConcurrencyLimit *l, const CfFirstEventSample *e)
{
  double objective = (double)e->objective_ms;
  double fastest = get_fastest_ms (l) * ACCEPTED_UNQUEUED_FACTOR;
  double accepted = MAX (objective * ACCEPTED_OBJECTIVE_FRACTION,
                         e->unqueued_ms * ACCEPTED_UNQUEUED_FACTOR);

  return MAX (accepted, MIN (fastest, objective * ACCEPTED_FASTEST_FRACTION));
}

/* True if a lower limit would reduce the requests in flight. */
static gboolean
is_binding (const CfConcurrencyLimit *l, const CfFirstEventSample *e)
{
  return e->in_flight
         >= (l->limit > 0 ? l->limit * BINDING_FRACTION : get_min_limit (e));
}

static void
update_limit (CfConcurrencyLimit *l, const CfFirstEventSample *e)
{
  double max_limit = MAX (e->fair_share * MAX_FAIR_SHARES, 1);
  double gradient = CLAMP (get_accepted_ms (l, e) / l->mean_ms,
                           MAX_DECREASE_FACTOR, MAX_INCREASE_FACTOR);
  gboolean binding = is_binding (l, e);

  if (binding && gradient < 1)
    {
      double base = l->limit > 0 ? MIN (l->limit, e->in_flight) : e->in_flight;

      l->limit = CLAMP (base * gradient, get_min_limit (e), max_limit);
    }
  else if (l->limit > 0)
    l->limit *= binding ? gradient : MAX_INCREASE_FACTOR;
  if (l->limit > max_limit)
    l->limit = 0;
}

gboolean
cf_concurrency_limit_add_sample (CfConcurrencyLimit *l,
                                 const CfFirstEventSample *e)
{
  gboolean was_limited = l->limit > 0;

  note_fastest (l, e);
  /* Requests sent before the last decision do not show its effect.  Without a
   * model and before the first pause between events, nothing is known of the
   * time without a queue, and nothing is decided. */
  if (CF_WITHOUT_CONCURRENCY_LIMIT || e->sent_ms < l->decided_ms
      || e->unqueued_ms <= 0)
    return FALSE;
  l->sum_ms += (double)(e->now_ms - e->sent_ms);
  if (++l->n < SAMPLES_PER_DECISION)
    return FALSE;
  l->mean_ms = l->sum_ms / l->n;
  update_limit (l, e);
  l->sum_ms = 0;
  l->n = 0;
  l->decided_ms = e->now_ms;
  return was_limited != (l->limit > 0);
}

guint
cf_concurrency_limit_get (const CfConcurrencyLimit *l)
{
  return (guint)l->limit;
}
