#pragma once

#include "expert-map.h"

/**
 * Expert placement: from the popularity of experts as last seen, which
 * experts to copy or move between the ranks of a group, and whether it is
 * worth it.  docs/PLACEMENT.md weighs the policies and has the figures.
 */

/** CfPlacementKind: the tag of a #CfPlacement. */
typedef enum
{
  CF_PLACEMENT_NONE,    /**< never rebalance */
  CF_PLACEMENT_GREEDY,  /**< pack every expert anew, hottest first */
  CF_PLACEMENT_BOUNDED, /**< a few moves at a time, each worth its cost */
} CfPlacementKind;

/** CfPlacement: a policy and its weights, from the settings. */
typedef struct
{
  CfPlacementKind kind;
  union
  {
    struct
    {
      double skew_weight; /**< worth of one whole unit of skew taken away */
      double move_weight; /**< cost of copying one expert */
      int max_moves;      /**< experts copied at most in one change */
    } bounded;
  } u;
} CfPlacement;

/**
 * CfExpertPopularity:
 * How many tokens each expert draws, as a moving average over reports
 * that come late and with gaps.
 */
typedef struct
{
  int experts;
  double *tokens; /**< experts entries: average tokens a report */
  double *last;   /**< the counters of the report before */
  gboolean any;   /**< at least one report came */
} CfExpertPopularity;

/** CfPlacementPlan: what a policy decided, for its log line. */
typedef struct
{
  CfExpertMap *map; /**< the new map, or %NULL to stay */
  int moves;        /**< experts to copy */
  double before;    /**< skew (slowest rank / mean) now, as predicted */
  double after;     /**< skew on the new map, as predicted */
} CfPlacementPlan;

void cf_expert_popularity_init (CfExpertPopularity *p, int experts);
void cf_expert_popularity_clear (CfExpertPopularity *p);

/**
 * cf_expert_popularity_add_report:
 * @counts: experts entries: counters that only grow while a rank lives
 * @weight: the weight of this report in the average, 0 to 1
 *
 * A counter lower than before (the rank restarted) starts anew.
 */
void cf_expert_popularity_add_report (CfExpertPopularity *p,
                                      const double *counts, double weight);

/** cf_placement_skew: the slowest rank's load over the mean; 1 is even. */
double cf_placement_skew (const CfExpertMap *m, const double *tokens);

/** cf_placement_plan: @p's decision for a group now on @current. */
CfPlacementPlan cf_placement_plan (const CfPlacement *p,
                                   const CfExpertMap *current,
                                   const double *tokens);

/** cf_placement_kind_from_name: reads "none", "greedy" or "bounded". */
CfStatus cf_placement_kind_from_name (const char *name, CfPlacementKind *out);
const char *cf_placement_kind_name (CfPlacementKind kind);
