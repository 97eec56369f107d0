#include "map-gain.h"

#include "ablation.h"

/** Passes shorter than this fraction of what callers accept are short, and a
 * change must then remove at least this much skew: this saves copies, and no
 * more streams are late. */
#define SHORT_PASS_FRACTION 0.5
#define SHORT_PASS_MIN_GAIN 0.6
/** Passes longer than this fraction of what callers accept are almost too long,
 * and a change then needs to remove only this much skew: a small gain
 * may bring them back to what callers accept. */
#define LONG_PASS_FRACTION 0.7
#define LONG_PASS_MIN_GAIN 0.12
/** A leader that has counted demand for fewer windows of 100 ms has seen only a
 * few prompts, and makes only changes that remove at least this much skew: a
 * plan for those few would slow the passes that serve a backlog. */
#define FEW_WINDOWS 4
#define FEW_WINDOWS_MIN_GAIN 0.8

/** Skew that a change must remove by default: below this, the copies slow the
 * passes for longer than the gain lasts. */
#define DEFAULT_MIN_GAIN 0.2
/** Load that a copy must remove, as a fraction of an even load: per millisecond
 * that the copy takes, and the bounds of the result. */
#define MOVE_GAIN_PER_MS 0.0024
#define LOWEST_MOVE_GAIN 0.06
#define HIGHEST_MOVE_GAIN 0.12
/** Experts that a rank may copy of one set in one change. */
#define MAX_SET_COPIES 1
/** Time that a rank may spend on copying experts of all sets in one change; one
 * copy is always allowed.  The rank that copies longest decides when all can
 * switch, and passes take longer meanwhile. */
#define MAX_RANK_COPY_MS 60.0

CfPlanLimits
cf_map_choose_limits (double copy_ms, int sets)
{
  CfPlanLimits l = { .max_set_copies = MAX_SET_COPIES,
                     .max_rank_copies = 1,
                     .min_gain = DEFAULT_MIN_GAIN,
                     .min_move_gain = HIGHEST_MOVE_GAIN };

  if (copy_ms <= 0)
    return l;
  l.max_rank_copies
      = (int)CLAMP (MAX_RANK_COPY_MS / copy_ms, 1, sets * MAX_SET_COPIES);
  l.min_move_gain
      = CLAMP (MOVE_GAIN_PER_MS * copy_ms, LOWEST_MOVE_GAIN, HIGHEST_MOVE_GAIN);
  return l;
}

double
cf_map_required_gain (double default_gain, gint64 pass_ms,
                      gint64 pass_objective_ms, guint windows)
{
  double gain = default_gain;
  double fraction = 0;

  if (CF_WITHOUT_PRICED_COPIES)
    return default_gain;
  if (pass_ms > 0 && pass_objective_ms > 0)
    fraction = (double)pass_ms / (double)pass_objective_ms;
  if (fraction > LONG_PASS_FRACTION)
    gain = MIN (gain, LONG_PASS_MIN_GAIN);
  else if (fraction > 0 && fraction < SHORT_PASS_FRACTION)
    gain = MAX (gain, SHORT_PASS_MIN_GAIN);
  if (windows < FEW_WINDOWS)
    gain = MAX (gain, FEW_WINDOWS_MIN_GAIN);
  return gain;
}
