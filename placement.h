#pragma once

#include "expert-map.h"

/**
 * Expert placement: decides from the observed popularity of experts which of
 * them to copy or move between the ranks of a group, and whether the gain
 * justifies the copying.  docs/PLACEMENT.md compares the policies, with
 * figures.
 */

/** CfPlacementKind: the tag of a #CfPlacement. */
typedef enum
{
  CF_PLACEMENT_NONE,    /**< never rebalance */
  CF_PLACEMENT_GREEDY,  /**< reassign every expert, most loaded first */
  CF_PLACEMENT_BOUNDED, /**< a few copies at a time, each worth its cost */
} CfPlacementKind;

/** CfPlacement: a policy and its weights, from the settings. */
typedef struct
{
  CfPlacementKind kind;
  union
  {
    struct
    {
      double skew_weight; /**< value of reducing the skew by 1.0 */
      double move_weight; /**< cost of copying one expert */
      int max_moves;      /**< most copies to make in one change */
    } bounded;
  } u;
} CfPlacement;

/**
 * CfExpertPopularity:
 * The tokens routed to each expert, as an exponentially weighted moving
 * average over reports, which may come late and with gaps.
 */
typedef struct
{
  int experts;
  double *tokens;      /**< [experts]: average tokens per report */
  double *last_counts; /**< [experts]: the counters of the last report */
  gboolean has_reports;
} CfExpertPopularity;

/** CfPlacementPlan: the decision of a policy. */
typedef struct
{
  CfExpertMap *map;   /**< the new map, or %NULL to keep the current one */
  int moves;          /**< experts to copy */
  double skew_before; /**< predicted skew of the current map */
  double skew_after;  /**< predicted skew of the new map */
} CfPlacementPlan;

void cf_expert_popularity_init (CfExpertPopularity *p, int experts);
void cf_expert_popularity_clear (CfExpertPopularity *p);

/**
 * cf_expert_popularity_add_report:
 * @counts: [experts]: counters that only grow until a rank restarts
 * @weight: the weight of this report in the average, 0 to 1
 *
 * Adds a report to the average.  A counter that is lower than in the last
 * report was reset by a restart of the rank and counts from 0.
 */
void cf_expert_popularity_add_report (CfExpertPopularity *p,
                                      const double *counts, double weight);

/**
 * cf_placement_skew: returns the load of the most loaded rank divided by the
 * mean load; 1 is even.
 */
double cf_placement_skew (const CfExpertMap *m, const double *tokens);

/** cf_placement_plan: applies policy @p to a group that uses @current. */
CfPlacementPlan cf_placement_plan (const CfPlacement *p,
                                   const CfExpertMap *current,
                                   const double *tokens);

/** cf_placement_kind_from_name: parses "none", "greedy" or "bounded". */
CfStatus cf_placement_kind_from_name (const char *name, CfPlacementKind *out);
const char *cf_placement_kind_name (CfPlacementKind kind);
