#pragma once

#include <glib.h>

/**
 * CfGroupShape:
 * The size of a rank group's expert maps.  Each of the model's @sets layers
 * of experts has a map of its own; the maps of all layers change together.
 */
typedef struct
{
  int sets;    /**< layers of experts */
  int experts; /**< in each set */
  int ranks;
  int places; /**< experts of one set that a rank can hold */
  int spare;  /**< new experts of one set that a rank can load in one change */
} CfGroupShape;

/** CfGroupMap: which experts each rank holds, for all sets. */
typedef struct
{
  CfGroupShape shape;
  gint16 *held; /**< sets x ranks x places: an expert, or -1 if empty */
} CfGroupMap;

/** cf_group_map_new: creates a map in which all places are empty. */
CfGroupMap *cf_group_map_new (const CfGroupShape *shape);
CfGroupMap *cf_group_map_copy (const CfGroupMap *m);
void cf_group_map_free (CfGroupMap *m);

/** cf_group_map_round_robin: creates a map in which each expert is on one
 * rank, assigned round-robin; the map with which every group starts. */
CfGroupMap *cf_group_map_round_robin (const CfGroupShape *shape);

/**
 * cf_group_map_diff:
 * Lists the rows of @to that differ from @from, a map of the same shape.  A
 * row is the places of one rank for one set.
 * Returns: a new array of gint64, which holds for each row its number (set *
 *   ranks + rank) and then the expert, or -1, in each of its places.  The
 *   order of the experts within a row does not count as a difference, since
 *   each rank lists them in its own order.
 */
GArray *cf_group_map_diff (const CfGroupMap *from, const CfGroupMap *to);

/** cf_group_map_apply_diff: replaces the given rows of @m; %FALSE if one of
 * them does not fit its shape. */
gboolean cf_group_map_apply_diff (CfGroupMap *m, const GArray *rows);

/** cf_group_map_row: the places of @rank for @set. */
gint16 *cf_group_map_row (const CfGroupMap *m, int set, int rank);

/** cf_group_map_holds: whether @rank holds @expert of @set. */
gboolean cf_group_map_holds (const CfGroupMap *m, int set, int rank,
                             int expert);

/** cf_group_map_is_complete: whether each expert is on at least one rank. */
gboolean cf_group_map_is_complete (const CfGroupMap *m);

/** cf_group_map_count_added: the number of experts, over all ranks, that have
 * to be copied to change from @from to @to. */
int cf_group_map_count_added (const CfGroupMap *from, const CfGroupMap *to);

/** cf_group_map_count_rank_added: the number of experts of @set that @rank
 * has to copy to change from @from to @to. */
int cf_group_map_count_rank_added (const CfGroupMap *from, const CfGroupMap *to,
                                   int set, int rank);

/** cf_group_map_count_copies: stores in @copies, for each expert of @set, the
 * number of ranks that hold it. */
void cf_group_map_count_copies (const CfGroupMap *m, int set, int *copies);
