#include "expert-demand.h"

#include <math.h>

/** The weight of a window halves in this time.  With a shorter one, maps would
 * follow the choices of single requests.  A shift of demand takes effect at
 * once, whatever this time is. */
#define DEMAND_HALF_LIFE_MS 250.0
/** Minimum length of a window, the interval between two readings of a
 * sampled rank. */
#define WINDOW_MS 100
/** A window stays open until this many ranks, or half of the group if that is
 * fewer, have reported. */
#define WINDOW_MIN_REPORTS 8
/** A window counts as a shift if more than this share of the demand moved to
 * other experts since the windows before it. */
#define SHIFT_MIN_SHARE 0.16

void
cf_expert_demand_init (CfExpertDemand *d, int ranks, gsize experts)
{
  d->ranks = ranks;
  d->experts = experts;
  d->window_tokens = g_new0 (double, experts);
  d->tokens = g_new0 (double, experts);
  d->n_reports = 0;
  d->n_windows = 0;
  d->window_begin_ms = 0;
  d->shifting = FALSE;
}

void
cf_expert_demand_clear (CfExpertDemand *d)
{
  g_free (d->window_tokens);
  g_free (d->tokens);
}

void
cf_expert_demand_add (CfExpertDemand *d, const gint64 *increases)
{
  d->n_reports++;
  for (gsize i = 0; i < d->experts; i++)
    d->window_tokens[i] += (double)increases[i];
}

void
cf_expert_demand_reset (CfExpertDemand *d)
{
  d->n_windows = 0;
}

/* The share of the demand that moved to other experts than before: half of
 * the sum of the changes of each expert's share. */
static double
moved_share (const CfExpertDemand *d)
{
  double before = 0;
  double now = 0;
  double moved = 0;

  for (gsize i = 0; i < d->experts; i++)
    {
      before += d->tokens[i];
      now += d->window_tokens[i];
    }
  if (before <= 0 || now <= 0)
    return 0;
  for (gsize i = 0; i < d->experts; i++)
    moved += fabs (d->tokens[i] / before - d->window_tokens[i] / now);
  return moved / 2;
}

static void
close_window (CfExpertDemand *d, gint64 now)
{
  double decay
      = exp2 (-(double)(now - d->window_begin_ms) / DEMAND_HALF_LIFE_MS);
  gboolean is_shift = moved_share (d) > SHIFT_MIN_SHARE;

  if (is_shift)
    decay = 0;
  d->shifting = is_shift && !d->shifting;
  d->window_begin_ms = now;
  d->n_windows++;
  d->n_reports = 0;
  for (gsize i = 0; i < d->experts; i++)
    {
      d->tokens[i] = d->tokens[i] * decay + d->window_tokens[i];
      d->window_tokens[i] = 0;
    }
}

void
cf_expert_demand_tick (CfExpertDemand *d, gint64 now)
{
  if (now - d->window_begin_ms >= WINDOW_MS
      && d->n_reports >= MIN (WINDOW_MIN_REPORTS, (d->ranks + 1) / 2))
    close_window (d, now);
}

gboolean
cf_expert_demand_is_stable (const CfExpertDemand *d)
{
  if (d->shifting)
    return FALSE;
  for (gsize i = 0; i < d->experts; i++)
    if (d->tokens[i] > 0)
      return TRUE;
  return FALSE;
}
