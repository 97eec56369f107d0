#pragma once

#include "map-plan.h"

/**
 * cf_map_choose_limits:
 * @copy_ms: time in which a rank copies one expert; 0: unknown
 * @sets: number of expert sets of the group
 * Returns: how many copies one map change may make, and what it must gain by
 *   default.  Where copies are quick, a single change evens out a shift of
 *   demand.
 */
CfPlanLimits cf_map_choose_limits (double copy_ms, int sets);

/**
 * cf_map_required_gain:
 * @default_gain: the skew that a change must remove where nothing else is
 *   known
 * @pass_ms: recent duration of a pass; 0: unknown
 * @pass_objective_ms: longest pass that serves callers in time; 0: no limit
 * @windows: demand windows that the leader has counted
 * Returns: the skew that a change of expert maps must remove now.
 *
 * While passes are short, as under light load, it is higher than the default:
 * callers gain nothing from even shorter passes, and copies have a cost.
 * While passes are about as long as callers accept, as under heavy load, it is
 * lower, so that a group does not stay with passes that are just too long.
 * While little of the demand has been seen, it is much higher.
 */
double cf_map_required_gain (double default_gain, gint64 pass_ms,
                             gint64 pass_objective_ms, guint windows);
