#pragma once

#include "expert-map.h"

/**
 * Changes a group's expert map on every rank at the same step, or on none.
 * A step is one forward pass, which all ranks run in lock step; steps are
 * numbered.  docs/MAP-CHANGE.md explains the protocol and the need for each of
 * its parts.  This module makes the protocol's decisions; it reaches the ranks
 * only through a #CfRankOps, which tests replace by fakes.
 */

/** CfRankOpKind: the tag of a #CfRankOp. */
typedef enum
{
  CF_RANK_PREPARE, /**< copy the experts that map @version needs */
  CF_RANK_ARM,     /**< switch to map @version when @step begins */
  CF_RANK_DISARM,  /**< cancel the switch to map @version */
  CF_RANK_HOLD,    /**< hold @step: it begins on no rank until released */
  CF_RANK_RELEASE, /**< release the hold of @step */
} CfRankOpKind;

/** CfRankOp: an order to one rank. */
typedef struct
{
  CfRankOpKind kind;
  union
  {
    struct
    {
      gint64 version;
      const CfExpertMap *map;
    } prepare;
    struct
    {
      gint64 version;
      gint64 step;
    } arm; /**< also for disarm, which ignores @step */
    struct
    {
      gint64 step;
    } hold; /**< also for release */
  } u;
} CfRankOp;

/** CfRankOpResult: the outcome of an order, as far as it is known. */
typedef enum
{
  CF_RANK_OP_DONE,    /**< carried out */
  CF_RANK_OP_REFUSED, /**< not carried out, and never will be */
  CF_RANK_OP_UNKNOWN, /**< no answer: it may have run, or still run later */
  CF_RANK_OP_FENCED,  /**< refused: another coordinator has a higher token */
} CfRankOpResult;

/** CfRankReport: one rank's state; 0 means none. */
typedef struct
{
  gint64 step;       /**< the last step begun */
  gint64 map;        /**< the map version in use */
  gint64 prepared;   /**< the map version whose experts are all copied */
  gint64 newest;     /**< the highest version it ever began to prepare */
  gint64 armed;      /**< the map version it is armed to switch to */
  gint64 armed_step; /**< the step at which it switches */
  gint64 held;       /**< the step it holds */
} CfRankReport;

/**
 * CfRankOps: callbacks through which a coordinator reaches the ranks of its
 * group.  Every order and report request carries the coordinator's fencing
 * token.  Once a rank has answered a report request, it refuses lower tokens.
 * A process that checks tokens for a rank loses the highest one at a restart
 * and must then refuse orders until the next report request.
 */
typedef struct
{
  void *data;
  int ranks;
  CfRankOpResult (*order) (void *data, int rank, const CfRankOp *op);
  CfRankOpResult (*report) (void *data, int rank, CfRankReport *out);
  /** Waits for @ms; returns %FALSE if the coordinator is to give up. */
  gboolean (*pause) (void *data, int ms);
  /** The time in ms on a monotonic clock. */
  gint64 (*now) (void *data);
} CfRankOps;

/** CfMapChangeResult: how a change, or the settling of one, ended. */
typedef enum
{
  CF_MAP_CHANGE_DONE,    /**< every rank switches at the same step */
  CF_MAP_CHANGE_ABORTED, /**< no rank switches */
  CF_MAP_CHANGE_FENCED,  /**< another coordinator took over and settles it */
  CF_MAP_CHANGE_STUCK,   /**< not finished in time, or a rank cannot be reached:
                          * settle again soon */
} CfMapChangeResult;

/** CfMapChangeLimits: time limits of a change, in ms and steps. */
typedef struct
{
  int prepare_ms;  /**< for every rank to copy its experts */
  int settle_ms;   /**< to undo a change, or to release its hold */
  int steps_ahead; /**< how far ahead of the group's step to hold one */
} CfMapChangeLimits;

/**
 * cf_map_change_settle:
 * @term: a number that differs between successive coordinators, such as a
 *   count of takeovers; it selects the rank that has to hold a step
 * @in_use: the map that the group uses
 *
 * Takes over the group.  Requests a report from every rank, which also fences
 * it, and undoes any change that an earlier coordinator left unfinished.  On
 * success no rank is armed or holds a step, and no delayed order can arm one.
 *
 * Returns: %CF_MAP_CHANGE_ABORTED on success, else %CF_MAP_CHANGE_FENCED or
 * %CF_MAP_CHANGE_STUCK.
 */
CfMapChangeResult cf_map_change_settle (const CfRankOps *ops, gint64 term,
                                        const CfExpertMap *in_use,
                                        const CfMapChangeLimits *limits);

/**
 * cf_map_change_run:
 * @term: as for cf_map_change_settle()
 * @in_use: the map that the group uses
 * @map: the map to change to; gets a version above all others
 *
 * Changes a settled group to @map; call cf_map_change_settle() first.
 */
CfMapChangeResult cf_map_change_run (const CfRankOps *ops, gint64 term,
                                     const CfExpertMap *in_use,
                                     CfExpertMap *map,
                                     const CfMapChangeLimits *limits);

/** cf_map_change_result_name: returns @c as it is written to the log. */
const char *cf_map_change_result_name (CfMapChangeResult c);
