#include "pass-limit.h"

#include <math.h>

#define WINDOW_MS 5000L
/** Longer pauses are stalls: a group that forms again, or a rank that waits. */
#define MAX_PASS_MS 1000
/** Part of the throughput with all slots that a limit leaves.  With less, the
 * requests that are refused outweigh the streams that are on time. */
#define MIN_THROUGHPUT 0.75
/** If passes are too long even at this part of the throughput, a limit would
 * refuse requests without making streams punctual. */
#define HOPELESS_THROUGHPUT 0.6
/** Change of a limit that is reported. */
#define REPORTED_CHANGE 0.1

static double
get_pass_ms (const CfEngineModel *e, double streams)
{
  return e->stride * (e->step_ms + e->per_seq_ms * streams);
}

/* Returns the number of streams at which the engine has @fraction of the
 * throughput that it has with all slots. */
static double
get_streams_at (const CfEngineModel *e, double fraction)
{
  double step_rate
      = fraction * e->slots / (e->step_ms + e->per_seq_ms * e->slots);

  return step_rate * e->step_ms / (1 - step_rate * e->per_seq_ms);
}

static gboolean
is_model_complete (const CfEngineModel *e)
{
  return e->stride > 0 && e->slots >= 1 && e->step_ms > 0 && e->per_seq_ms > 0;
}

static void
advance_windows (CfPassLimit *l, gint64 now_ms)
{
  gint64 age_ms = now_ms - l->window_start_ms;

  if (age_ms < WINDOW_MS)
    return;
  l->slowness[1] = age_ms < 2 * WINDOW_MS ? l->slowness[0] : 0;
  l->slowness[0] = 0;
  l->window_start_ms
      = age_ms < 2 * WINDOW_MS ? l->window_start_ms + WINDOW_MS : now_ms;
}

void
cf_pass_limit_add_pass (CfPassLimit *l, const CfEngineModel *e, double pass_ms,
                        double streams_per_rank, gint64 now_ms)
{
  double streams;

  if (!is_model_complete (e) || !(pass_ms > 0 && pass_ms <= MAX_PASS_MS)
      || !isfinite (streams_per_rank))
    return;
  streams = CLAMP (streams_per_rank, 0, e->slots);
  advance_windows (l, now_ms);
  l->slowness[0] = MAX (l->slowness[0], pass_ms / get_pass_ms (e, streams));
}

double
cf_pass_limit_slowness (const CfPassLimit *l, gint64 now_ms)
{
  gint64 age_ms = now_ms - l->window_start_ms;
  double slowness = 1;

  if (age_ms < 2 * WINDOW_MS)
    slowness = MAX (slowness, l->slowness[0]);
  if (age_ms < WINDOW_MS)
    slowness = MAX (slowness, l->slowness[1]);
  return slowness;
}

double
cf_pass_limit_get (const CfPassLimit *l, const CfEngineModel *e,
                   gint64 objective_ms, gint64 now_ms)
{
  double max_pass_ms;
  double limit;

  if (!is_model_complete (e) || objective_ms <= 0)
    return 0;
  max_pass_ms = (double)objective_ms / cf_pass_limit_slowness (l, now_ms);
  if (get_pass_ms (e, get_streams_at (e, HOPELESS_THROUGHPUT)) > max_pass_ms)
    return 0;
  limit = (max_pass_ms / e->stride - e->step_ms) / e->per_seq_ms;
  limit = MAX (limit, get_streams_at (e, MIN_THROUGHPUT));
  return limit < e->slots ? MAX (limit, 1) : 0;
}

double
cf_pass_limit_estimate_streams (const CfStreamsInput *in)
{
  guint n_known = in->n_others + 1;
  double known = in->in_flight + in->others_demand;
  double all = known * MAX (in->n_gateways, n_known) / n_known;
  double excess = MAX (1, in->in_flight / MAX (in->share, 1));

  return in->capacity > 0 ? MIN (all, in->capacity * excess) : all;
}

gboolean
cf_pass_limit_report (CfPassLimit *l, double limit)
{
  gboolean was_limited = l->reported > 0;

  if (was_limited == (limit > 0)
      && fabs (limit - l->reported) <= l->reported * REPORTED_CHANGE)
    return FALSE;
  l->reported = limit;
  return TRUE;
}
