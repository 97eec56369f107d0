#pragma once

#include "group-map.h"

/**
 * One set of experts while a better map for it is searched: the load of each
 * rank, and the single move that relieves the slowest rank most.
 *
 * Loads are in even shares: 1 is the load that each rank would have if the
 * set's demand were spread evenly over all ranks.
 */

/** CfMoveKind: how a move changes the two ranks' places. */
typedef enum
{
  CF_MOVE_COPY,     /**< adds a copy; the donor keeps its own */
  CF_MOVE_SWAP,     /**< exchanges the experts of the two places */
  CF_MOVE_TRANSFER, /**< moves the expert; the donor's place becomes empty */
  CF_MOVE_DROP,     /**< empties the donor's place; other ranks hold copies */
} CfMoveKind;

/** CfMove: puts @expert, which @from_rank holds, into @place of @rank. */
typedef struct
{
  CfMoveKind kind;
  int expert;
  int rank; /**< -1: there is no move */
  int place;
  int from_rank;
  int from_place;
  double score; /**< change of the ranks' total cost; lower is better */
} CfMove;

/** CfSetPlan: the state of the search for one set.  It owns the arrays that
 * cf_set_plan_init() allocates; @slowdown and @added belong to the caller. */
typedef struct
{
  const CfGroupMap *from; /**< the map in use */
  CfGroupMap *m;          /**< the map being planned */
  int set;
  double *tokens;      /**< by expert: its demand, in even shares */
  gboolean has_demand; /**< whether any expert of the set has demand */
  int *copies;         /**< by expert: the number of ranks that hold it */
  int *first_holder;   /**< by expert: the first place that holds it, or -1 */
  int *next_holder;    /**< by place: the next with the same expert, or -1 */
  double *load;        /**< by rank, before its slowdown factor */
  int *receivers;      /**< scratch: ranks that may receive an expert */
  const double *slowdown; /**< (nullable): by rank: its slowdown factor, 1 being
                           the usual speed; %NULL: 1 for all */
  int max_set_copies;     /**< experts of this set that a rank may copy */
  const int *added;       /**< by rank: experts of all sets that it copies */
  int max_rank_copies;    /**< experts of all sets that a rank may copy */
} CfSetPlan;

/**
 * cf_set_plan_init:
 * Prepares the search; @max_set_copies, @added and @max_rank_copies are left
 * for the caller to fill.
 * @demand: by expert of the set, in any unit
 */
void cf_set_plan_init (CfSetPlan *s, const CfGroupMap *from, CfGroupMap *m,
                       int set, const double *demand, const double *slowdown);
void cf_set_plan_clear (CfSetPlan *s);

/** cf_set_plan_skew: the time that the slowest rank takes for its load,
 * relative to an even share at the usual speed; 1 if there is no demand. */
double cf_set_plan_skew (const CfSetPlan *s);

/** cf_set_plan_find_best_move: finds the move that lowers the total cost
 * most, among those that take load off the slowest rank. */
CfMove cf_set_plan_find_best_move (CfSetPlan *s);

/** cf_set_plan_removed_load: estimates from the total cost, in even shares, how
 * much @mv takes off the slowest rank; 0 if there is no move. */
double cf_set_plan_removed_load (const CfSetPlan *s, const CfMove *mv);

/** cf_set_plan_may_apply: whether the copies that @mv needs are still within
 * the limits of the ranks. */
gboolean cf_set_plan_may_apply (CfSetPlan *s, const CfMove *mv);

/** cf_set_plan_apply: changes the planned map by @mv. */
void cf_set_plan_apply (CfSetPlan *s, const CfMove *mv);
