#include "map-gain.h"

#include "ablation.h"

/** Of what callers accept, the part under which passes count as short, and
 * the skew that a change must then take away: fewer copies, and
 * as many streams in time. */
#define CALM_PART 0.5
#define CALM_GAIN 0.6
/** Of what callers accept, the part above which passes are about too long,
 * and the skew that a change must then take away: a little may bring
 * them back under what callers accept. */
#define TIGHT_PART 0.7
#define TIGHT_GAIN 0.12
/** A leader that has counted demand for fewer windows of 100 ms knows a few
 * prompts alone, and makes only changes that take away so much skew: a plan for
 * these few would slow the passes that a backlog is served in. */
#define YOUNG_WINDOWS 4
#define YOUNG_GAIN 0.8

/** Skew that a change must take away: below this the copies slow the passes
 * for longer than the gain lasts. */
#define MIN_GAIN 0.2
/** Load, of an even part, that a copy must save: for each ms that it takes,
 * and at least and at most. */
#define MOVE_GAIN_A_MS 0.0024
#define MOVE_GAIN_LEAST 0.06
#define MOVE_GAIN_MOST 0.12
/** Experts that a rank copies of a set in one change. */
#define MAX_NEW 1
/** For which a rank may copy experts of all sets in one change, but one at
 * least: what one rank copies sets the time until all can switch, and passes
 * take longer meanwhile. */
#define COPY_MS_MAX 60.0

CfPlanLimits
cf_map_choose_limits (double copy_ms, int sets)
{
  CfPlanLimits l = { .max_new = MAX_NEW,
                     .max_rank_new = 1,
                     .min_gain = MIN_GAIN,
                     .min_move_gain = MOVE_GAIN_MOST };

  if (copy_ms <= 0)
    return l;
  l.max_rank_new = (int)CLAMP (COPY_MS_MAX / copy_ms, 1, sets * MAX_NEW);
  l.min_move_gain
      = CLAMP (MOVE_GAIN_A_MS * copy_ms, MOVE_GAIN_LEAST, MOVE_GAIN_MOST);
  return l;
}

double
cf_map_required_gain (double usual, gint64 pass_ms, gint64 pass_aim_ms,
                      guint windows)
{
  double gain = usual;
  double part = 0;

  if (CF_WITHOUT_PRICED_COPIES)
    return usual;
  if (pass_ms > 0 && pass_aim_ms > 0)
    part = (double)pass_ms / (double)pass_aim_ms;
  if (part > TIGHT_PART)
    gain = MIN (gain, TIGHT_GAIN);
  else if (part > 0 && part < CALM_PART)
    gain = MAX (gain, CALM_GAIN);
  if (windows < YOUNG_WINDOWS)
    gain = MAX (gain, YOUNG_GAIN);
  return gain;
}
