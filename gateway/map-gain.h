#pragma once

#include "map-plan.h"

/**
 * cf_map_choose_limits:
 * @copy_ms: for which a rank copies an expert; 0: not known
 * Returns: how far one change of the maps of @sets sets may go, and what it
 *   must bring at usual times.  Where copies are quick, one change evens a
 *   shift of demand.
 */
CfPlanLimits cf_map_choose_limits (double copy_ms, int sets);

/**
 * cf_map_required_gain:
 * What a change of expert maps must bring to be made.  It answers two loads:
 * calm days, on which maps were changed for passes that were short already,
 * and heavy ones, on which a group stayed with passes just too long.
 * @usual: the skew that it must take away where nothing else is known
 * @pass_ms: how long a pass takes lately; 0: not known
 * @pass_aim_ms: the pause between events that callers accept; 0: any
 * @windows: of demand that were counted since the leader began to
 * Returns: the skew that it must take away now: more while passes are short,
 *   since callers gain nothing by even shorter ones and copies are paid for;
 *   less while they are about as long as callers accept; and much while
 *   little of the demand was seen yet.
 */
double cf_map_required_gain (double usual, gint64 pass_ms, gint64 pass_aim_ms,
                             guint windows);
