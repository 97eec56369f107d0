#pragma once

#include "group-map.h"

/**
 * cf_group_map_skew:
 * @tokens: by set and expert: each expert's demand
 * @slowdown: (nullable): by rank: its slowdown factor, 1 being the usual speed;
 *   %NULL: 1 for all
 * Returns: the time that the slowest rank takes for its load, relative to that
 *   of an even load at the usual speed, as a mean over the sets; 1 is even.
 */
double cf_group_map_skew (const CfGroupMap *m, const double *tokens,
                          const double *slowdown);

/** CfPlanLimits: how far one change may go, and what it must gain. */
typedef struct
{
  int max_set_copies;   /**< experts of one set that a rank may copy; never more
                             than the spare of the shape */
  int max_rank_copies;  /**< the same, of all sets together; 0: no limit */
  double min_gain;      /**< skew that a change must remove */
  double min_move_gain; /**< load that a copy must remove from the slowest rank,
                             as a fraction of an even load */
} CfPlanLimits;

/**
 * CfMapPlan:
 * A search for a map that evens out the load with a limited number of copies.
 * Popular experts of the slowest rank are copied or moved to lightly loaded
 * ranks, where they replace experts that other ranks hold as well, or are
 * swapped for less popular ones.  A rank with a high slowdown factor also drops
 * experts that other ranks hold.
 *
 * The search runs in steps, so that the leader of a large group can serve its
 * callers in between.
 */
typedef struct CfMapPlan CfMapPlan;

/** cf_map_plan_new: begins a plan that changes @from, which must stay valid
 * until the plan is freed. */
CfMapPlan *cf_map_plan_new (const CfGroupMap *from, const double *tokens,
                            const double *slowdown, const CfPlanLimits *limits);

void cf_map_plan_free (CfMapPlan *p);

/**
 * cf_map_plan_step:
 * @searches: how many searches for a move to run at most; one takes 20 to 60 us
 *   at any group size
 * Returns: whether the plan is complete.
 */
gboolean cf_map_plan_step (CfMapPlan *p, int searches);

double cf_map_plan_skew_before (const CfMapPlan *p);
double cf_map_plan_skew_after (const CfMapPlan *p);

/**
 * cf_map_plan_finish:
 * Ends and frees the plan.
 * Returns: (nullable): the map, or %NULL if it does not gain enough.
 */
CfGroupMap *cf_map_plan_finish (CfMapPlan *p);

/** cf_group_map_plan: (nullable): runs a whole plan at once, with the result of
 * cf_map_plan_finish(). */
CfGroupMap *cf_group_map_plan (const CfGroupMap *from, const double *tokens,
                               const double *slowdown,
                               const CfPlanLimits *limits);
