#pragma once

#include "group-map.h"

/**
 * cf_group_map_skew:
 * @tokens: sets x experts: what each expert draws
 * @pace: (nullable): by rank, how many times as long as usual its work takes
 * Returns: the mean over the sets of the slowest rank's part against an
 *   even part at the usual pace; 1 is even.
 */
double cf_group_map_skew (const CfGroupMap *m, const double *tokens,
                          const double *pace);

/** CfPlanLimits: how far one change may go, and when it is worth it. */
typedef struct
{
  int max_new;      /**< experts a rank copies of a set; at most its spare */
  int max_rank_new; /**< experts a rank copies of all sets; 0: any number */
  double min_gain;  /**< skew that a change must take away to be made */
  double min_move_gain; /**< load, of an even part, that a copy must save */
} CfPlanLimits;

/**
 * CfMapPlan:
 * A map that evens the load, a bounded number of copies away from the one in
 * use: popular experts of the slowest rank are copied or moved to light
 * ranks, in place of copies that other ranks have too, or change places with
 * less popular ones; copies that a slow rank need not hold are dropped.
 *
 * It is made in steps, so that whoever leads a large group goes on serving
 * its callers meanwhile.
 */
typedef struct CfMapPlan CfMapPlan;

/** cf_map_plan_new: begins a plan from @from, which has to last as long. */
CfMapPlan *cf_map_plan_new (const CfGroupMap *from, const double *tokens,
                            const double *pace, const CfPlanLimits *limits);

/** cf_map_plan_free: drops a plan. */
void cf_map_plan_free (CfMapPlan *p);

/**
 * cf_map_plan_step:
 * Looks for up to @looks moves; one takes 20 to 60 us at any group's size.
 * Returns: whether the plan is whole.
 */
gboolean cf_map_plan_step (CfMapPlan *p, int looks);

double cf_map_plan_skew_before (const CfMapPlan *p);
double cf_map_plan_skew_after (const CfMapPlan *p);

/**
 * cf_map_plan_finish:
 * Ends and frees the plan.
 * Returns: (nullable): the map, or %NULL if no change is worth it.
 */
CfGroupMap *cf_map_plan_finish (CfMapPlan *p);

/** cf_group_map_plan: a whole plan at once; (nullable), as above. */
CfGroupMap *cf_group_map_plan (const CfGroupMap *from, const double *tokens,
                               const double *pace, const CfPlanLimits *limits);
