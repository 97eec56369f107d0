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

/** cf_group_map_round_robin: each expert on one rank, given out in turn. */
CfGroupMap *cf_group_map_round_robin (const CfGroupShape *shape);

/**
 * cf_group_map_diff:
 * Returns: the rows, of a rank in a set, that hold other experts in @to than
 *   in @from, which is of the same shape: each the row's number, set after
 *   set, and the expert or -1 in each of its places; a new array of gint64.
 *   In what order a row holds its experts does not matter, since ranks list
 *   them in an order of their own.
 */
GArray *cf_group_map_diff (const CfGroupMap *from, const CfGroupMap *to);

/** cf_group_map_apply_diff: changes @m by such rows; %FALSE if one of them does
 * not fit its shape. */
gboolean cf_group_map_apply_diff (CfGroupMap *m, const GArray *rows);

/** cf_group_map_row: the places of @rank for @set. */
gint16 *cf_group_map_row (const CfGroupMap *m, int set, int rank);

/** cf_group_map_holds: whether @rank holds @expert of @set. */
gboolean cf_group_map_holds (const CfGroupMap *m, int set, int rank,
                             int expert);

/** cf_group_map_is_complete: whether each expert is on a rank or more. */
gboolean cf_group_map_is_complete (const CfGroupMap *m);

/** cf_group_map_count_added: experts that ranks of @to have to copy. */
int cf_group_map_count_added (const CfGroupMap *from, const CfGroupMap *to);

/** cf_group_map_count_rank_added: experts of @set that @rank of @to has to
 * copy. */
int cf_group_map_count_rank_added (const CfGroupMap *from, const CfGroupMap *to,
                                   int set, int rank);

/** cf_group_map_count_copies: by expert of @set, how many ranks hold it. */
void cf_group_map_count_copies (const CfGroupMap *m, int set, int *copies);
