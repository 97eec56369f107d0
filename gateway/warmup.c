#include "warmup.h"

#include "ablation.h"

#include <math.h>

/** Fractions of the platform's bound that the owners send on average, and that
 * their token buckets may hold.  Together they are half of it, so that the
 * bound is kept also while gateways disagree about the size of the fleet and
 * there are two sets of owners. */
#define AVERAGE_FRACTION 0.375
#define BURST_FRACTION 0.125

void
cf_warmup_set (CfWarmup *w, gint64 left_ms, gint64 now_ms)
{
  if (!cf_warmup_is_cold (w, now_ms))
    w->limit.per_s = 0;
  w->until_ms = left_ms > 0 ? now_ms + left_ms : 0;
}

gboolean
cf_warmup_is_cold (const CfWarmup *w, gint64 now_ms)
{
  return !CF_WITHOUT_WARMUP && w->until_ms > now_ms;
}

/* Returns the limit by which all gateways together keep the bound in any
 * second: each owner's bucket may be full at its beginning. */
static CfRateLimit
get_limit (const CfWarmupRule *rule)
{
  double bound = rule->per_s * rule->max_factor + rule->slack;
  CfRateLimit l = { 0 };

  l.per_s = bound * AVERAGE_FRACTION;
  if (rule->per_s > 0)
    l.per_s = fmin (l.per_s, rule->per_s);
  l.max_owners = (guint)fmax (bound * BURST_FRACTION, 1);
  return l;
}

double
cf_warmup_share_per_s (const CfWarmupRule *rule, const char *id,
                       CfFleetPosition fleet_position)
{
  CfRateLimit l = get_limit (rule);

  return fleet_position.n ? cf_rate_limit_share (&l, id, fleet_position) : 0;
}

gboolean
cf_warmup_may_send (CfWarmup *w, const CfWarmupRule *rule, const char *id,
                    CfFleetPosition fleet_position, gint64 now_ms)
{
  CfRateLimit l;

  if (!rule || !rule->is_set || !cf_warmup_is_cold (w, now_ms))
    return TRUE;
  if (fleet_position.n == 0)
    return FALSE;
  l = get_limit (rule);
  if (w->limit.per_s == 0)
    {
      w->limit.tokens = 0;
      w->limit.refilled_ms = now_ms;
    }
  w->limit.per_s = l.per_s;
  w->limit.max_owners = l.max_owners;
  return cf_rate_limit_may_send (&w->limit, id, fleet_position, now_ms);
}

void
cf_warmup_consume (CfWarmup *w, gint64 now_ms)
{
  if (cf_warmup_is_cold (w, now_ms))
    cf_rate_limit_consume (&w->limit);
}
