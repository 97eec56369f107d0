#include "expert-demand.h"

#include <math.h>

/** Demand is a sum that loses half its weight in this time: with less, maps
 * follow the draw of single requests.  Shifts do not wait for it. */
#define DEMAND_HALF_MS 250.0
/** A window is as long as the pause between two readings of a rank... */
#define WINDOW_MS 100
/** ...and longer while fewer ranks than this, or half of all, reported. */
#define WINDOW_REPORTS 8
/** Part of the draw that goes to other experts than before, in a window, from
 * which on it counts as a shift. */
#define SHIFT_PART 0.16

void
cf_expert_demand_init (CfExpertDemand *d, int ranks, gsize experts)
{
  d->ranks = ranks;
  d->experts = experts;
  d->fresh = g_new0 (double, experts);
  d->tokens = g_new0 (double, experts);
  d->n_reports = 0;
  d->n_windows = 0;
  d->window_ms = 0;
  d->shifting = FALSE;
}

void
cf_expert_demand_clear (CfExpertDemand *d)
{
  g_free (d->fresh);
  g_free (d->tokens);
}

void
cf_expert_demand_add (CfExpertDemand *d, const gint64 *drawn)
{
  d->n_reports++;
  for (gsize i = 0; i < d->experts; i++)
    d->fresh[i] += (double)drawn[i];
}

void
cf_expert_demand_reset (CfExpertDemand *d)
{
  d->n_windows = 0;
}

/* The part of the draw that moved to other experts than before: half of the
 * sum of what each expert's share gained or lost. */
static double
part_moved (const CfExpertDemand *d)
{
  double before = 0;
  double now = 0;
  double moved = 0;

  for (gsize i = 0; i < d->experts; i++)
    {
      before += d->tokens[i];
      now += d->fresh[i];
    }
  if (before <= 0 || now <= 0)
    return 0;
  for (gsize i = 0; i < d->experts; i++)
    moved += fabs (d->tokens[i] / before - d->fresh[i] / now);
  return moved / 2;
}

static void
close_window (CfExpertDemand *d, gint64 now)
{
  double keep = exp2 (-(double)(now - d->window_ms) / DEMAND_HALF_MS);
  gboolean shift = part_moved (d) > SHIFT_PART;

  if (shift)
    keep = 0;
  d->shifting = shift && !d->shifting;
  d->window_ms = now;
  d->n_windows++;
  d->n_reports = 0;
  for (gsize i = 0; i < d->experts; i++)
    {
      d->tokens[i] = d->tokens[i] * keep + d->fresh[i];
      d->fresh[i] = 0;
    }
}

void
cf_expert_demand_tick (CfExpertDemand *d, gint64 now)
{
  if (now - d->window_ms >= WINDOW_MS
      && d->n_reports >= MIN (WINDOW_REPORTS, (d->ranks + 1) / 2))
    close_window (d, now);
}

gboolean
cf_expert_demand_is_settled (const CfExpertDemand *d)
{
  if (d->shifting)
    return FALSE;
  for (gsize i = 0; i < d->experts; i++)
    if (d->tokens[i] > 0)
      return TRUE;
  return FALSE;
}
