#pragma once

#include "group-map.h"

/**
 * One set of experts while its better map is looked for: what each rank's
 * part is, and which single move takes most from the slowest rank.
 */

/** CfMoveKind: what a move does beside putting an expert in a place. */
typedef enum
{
  CF_MOVE_COPY,     /**< nothing */
  CF_MOVE_SWAP,     /**< what was there goes to where the expert was */
  CF_MOVE_TRANSFER, /**< the place where the expert was is left empty */
  CF_MOVE_DROP,     /**< only that: other ranks hold the expert */
} CfMoveKind;

/** CfMove: @expert of @from_rank goes to @place of @rank. */
typedef struct
{
  CfMoveKind kind;
  int expert;
  int rank; /**< -1: there is no move */
  int place;
  int from_rank;
  int from_place;
  double score; /**< what it adds to the cost of all ranks' parts */
} CfMove;

/** CfSetPlan: the set, and what is known of it.  The arrays are its own. */
typedef struct
{
  const CfGroupMap *from; /**< as it is in use */
  CfGroupMap *m;          /**< as it will be */
  int set;
  double *tokens;      /**< by expert: its draw, in even parts of a rank */
  gboolean has_demand; /**< whether there is any draw at all */
  int *copies;         /**< by expert */
  int *first_holder;   /**< by expert: the first place that holds it, or -1 */
  int *next_holder;    /**< by place: the next that holds the same, or -1 */
  double *load;        /**< by rank, at the usual pace */
  int *lightest;       /**< ranks, while they are put in order */
  const double *pace;  /**< (nullable): by rank; %NULL: all as usual */
  int max_new;         /**< experts that a rank may copy of this set */
  const int *added;    /**< by rank: what it copies of all sets */
  int max_rank_new;    /**< experts that a rank may copy of all sets */
} CfSetPlan;

/**
 * cf_set_plan_init:
 * @draw: by expert of the set
 */
void cf_set_plan_init (CfSetPlan *s, const CfGroupMap *from, CfGroupMap *m,
                       int set, const double *draw, const double *pace);
void cf_set_plan_clear (CfSetPlan *s);

/** cf_set_plan_skew: the slowest rank's part against an even one. */
double cf_set_plan_skew (const CfSetPlan *s);

/** cf_set_plan_find_best_move: the one that helps the slowest rank most. */
CfMove cf_set_plan_find_best_move (CfSetPlan *s);

/** cf_set_plan_relief: what @mv takes off the slowest rank, in even parts,
 * as far as all ranks' parts together tell; 0 if it is no move. */
double cf_set_plan_relief (const CfSetPlan *s, const CfMove *mv);

/** cf_set_plan_may_apply: whether the ranks may still copy what @mv needs. */
gboolean cf_set_plan_may_apply (CfSetPlan *s, const CfMove *mv);

/** cf_set_plan_apply: changes the map by @mv. */
void cf_set_plan_apply (CfSetPlan *s, const CfMove *mv);
