#include "concurrency-limit.h"

#include "ablation.h"

/** Samples a decision takes. */
#define SAMPLES 8
/** Of the objective, the mean time to the first event that is accepted; the
 * rest is for the deviation from it and the wait in the gateway. */
#define ACCEPTED_PART_OF_AIM 0.5
/** Where passes alone take longer than that, a lower limit gains nothing: only
 * what exceeds the time without a queue by this factor counts. */
#define ACCEPTED_TIMES_UNQUEUED 1.3
/** Of the limit, from how many requests in flight it binds. */
#define BINDING_PART 0.9
#define DECREASE 0.85
#define INCREASE 1.05
/** Bounds of the limit, in fair shares: the lowest one keeps engines at nine
 * tenths of their throughput, past the highest one it is lifted. */
#define LEAST_SHARES 0.85
#define MOST_SHARES 2.0

static double
accepted_ms (const CfFirstEventSample *e)
{
  return MAX ((double)e->aim_ms * ACCEPTED_PART_OF_AIM,
              e->unqueued_ms * ACCEPTED_TIMES_UNQUEUED);
}

static double
least (const CfFirstEventSample *e)
{
  return MAX (e->fair_share * LEAST_SHARES, 1);
}

/* True if a lower limit would change anything. */
static gboolean
is_binding (const CfConcurrencyLimit *l, const CfFirstEventSample *e)
{
  return e->in_flight >= (l->limit > 0 ? l->limit * BINDING_PART : least (e));
}

static void
decide (CfConcurrencyLimit *l, const CfFirstEventSample *e)
{
  double most = MAX (e->fair_share * MOST_SHARES, 1);
  double gradient = CLAMP (accepted_ms (e) / l->mean_ms, DECREASE, INCREASE);
  gboolean binding = is_binding (l, e);

  if (binding && gradient < 1)
    {
      double base = l->limit > 0 ? MIN (l->limit, e->in_flight) : e->in_flight;

      l->limit = CLAMP (base * gradient, least (e), most);
    }
  else if (l->limit > 0)
    l->limit *= binding ? gradient : INCREASE;
  if (l->limit > most)
    l->limit = 0;
}

gboolean
cf_concurrency_limit_add_sample (CfConcurrencyLimit *l,
                                 const CfFirstEventSample *e)
{
  gboolean was_limited = l->limit > 0;

  /* What was sent before the last decision does not show its effect. */
  if (CF_WITHOUT_CONCURRENCY_LIMIT || e->sent_ms < l->decided_ms
      || e->unqueued_ms <= 0)
    return FALSE;
  l->sum_ms += (double)(e->now_ms - e->sent_ms);
  if (++l->n < SAMPLES)
    return FALSE;
  l->mean_ms = l->sum_ms / l->n;
  decide (l, e);
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
