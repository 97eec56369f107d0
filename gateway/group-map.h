#pragma once

#include <glib.h>

/**
 * CfGroupShape: the size of a rank group's expert maps.  Each of @sets
 * layers of experts has a map of its own; all change together.
 */
typedef struct
{
  int sets;
  int experts; /**< in a set */
  int ranks;
  int places; /**< experts that a rank can hold of a set */
  int spare;  /**< new experts a rank can take of a set in one change */
} CfGroupShape;

/** CfGroupMap: which experts each rank holds, for all sets. */
typedef struct
{
  CfGroupShape shape;
  gint16 *held; /**< sets x ranks x places; an expert, or -1 */
} CfGroupMap;

CfGroupMap *cf_group_map_new (const CfGroupShape *shape);
CfGroupMap *cf_group_map_copy (const CfGroupMap *m);
void cf_group_map_free (CfGroupMap *m);

/** cf_group_map_at: the places of @rank for @set. */
gint16 *cf_group_map_at (const CfGroupMap *m, int set, int rank);

/** cf_group_map_holds: whether @rank holds @expert of @set. */
gboolean cf_group_map_holds (const CfGroupMap *m, int set, int rank,
                             int expert);

/** cf_group_map_whole: whether each expert is on a rank or more. */
gboolean cf_group_map_whole (const CfGroupMap *m);

/** cf_group_map_added: experts that ranks of @to have to copy. */
int cf_group_map_added (const CfGroupMap *from, const CfGroupMap *to);

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
  double move_gain; /**< load, of an even part, that a copy must save */
} CfPlanLimits;

/**
 * cf_group_map_plan:
 * A map that evens the load, a bounded number of copies away from @from:
 * popular experts of the slowest rank are copied or moved to light ranks,
 * in place of copies that other ranks have too, or change places with less
 * popular ones; copies that a slow rank need not hold are dropped.
 *
 * Returns: (nullable): the map, or %NULL if no change is worth it.
 */
CfGroupMap *cf_group_map_plan (const CfGroupMap *from, const double *tokens,
                               const double *pace, const CfPlanLimits *limits);
