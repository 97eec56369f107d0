#include "expert-demand.h"

#include <math.h>

/** Demand is a sum that loses half its weight in this time: less follows
 * the draw of single requests, more lags behind a change of demand. */
#define DEMAND_HALF_MS 120.0
#define DECAY_STEP_MS 50

void
cf_expert_demand_init (CfExpertDemand *d, int ranks, gsize experts)
{
  d->ranks = ranks;
  d->experts = experts;
  d->counts = g_new0 (double, ranks *experts);
  d->has = g_new0 (gboolean, ranks);
  d->fresh = g_new0 (double, experts);
  d->tokens = g_new0 (double, experts);
  d->decayed_ms = 0;
}

void
cf_expert_demand_clear (CfExpertDemand *d)
{
  g_free (d->counts);
  g_free (d->has);
  g_free (d->fresh);
  g_free (d->tokens);
}

void
cf_expert_demand_report (CfExpertDemand *d, int rank, const gint64 *counts)
{
  double *last = d->counts + rank * d->experts;

  for (gsize i = 0; i < d->experts; i++)
    {
      double now = (double)counts[i];

      /* A lower count than before is of a rank that started anew. */
      if (d->has[rank] && now > last[i])
        d->fresh[i] += now - last[i];
      last[i] = now;
    }
  d->has[rank] = TRUE;
}

void
cf_expert_demand_forget (CfExpertDemand *d)
{
  for (int r = 0; r < d->ranks; r++)
    d->has[r] = FALSE;
}

void
cf_expert_demand_decay (CfExpertDemand *d, gint64 now)
{
  double keep;

  if (now - d->decayed_ms < DECAY_STEP_MS)
    return;
  keep = exp2 (-(double)(now - d->decayed_ms) / DEMAND_HALF_MS);
  d->decayed_ms = now;
  for (gsize i = 0; i < d->experts; i++)
    {
      d->tokens[i] = d->tokens[i] * keep + d->fresh[i];
      d->fresh[i] = 0;
    }
}

gboolean
cf_expert_demand_any (const CfExpertDemand *d)
{
  for (gsize i = 0; i < d->experts; i++)
    if (d->tokens[i] > 0)
      return TRUE;
  return FALSE;
}
