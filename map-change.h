#pragma once

#include "expert-map.h"

/**
 * Changing a group's expert map at one agreed step boundary, on every rank
 * or on none.  docs/MAP-CHANGE.md gives the protocol and why each step is
 * needed; this module holds its decisions and speaks to the ranks only
 * through a #CfRankOps, so that tests can put fakes there.
 */

/** CfRankOpKind: the tag of a #CfRankOp. */
typedef enum
{
  CF_RANK_PREPARE, /**< copy the experts of @version's map */
  CF_RANK_ARM,     /**< switch to @version as pass @step begins */
  CF_RANK_DISARM,  /**< do not switch to @version after all */
  CF_RANK_HOLD,    /**< let no rank begin pass @step before a go */
  CF_RANK_GO,      /**< end the hold of pass @step */
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
    } arm; /**< and disarm, which takes no step */
    struct
    {
      gint64 step;
    } hold; /**< and go */
  } u;
} CfRankOp;

/** CfRankOpResult: what is known of an order once the call returns. */
typedef enum
{
  CF_RANK_OP_DONE,    /**< carried out */
  CF_RANK_OP_REFUSED, /**< not carried out, and never will be */
  CF_RANK_OP_UNKNOWN, /**< no answer: carried out, or not, or yet to be */
  CF_RANK_OP_FENCED,  /**< refused: a coordinator with a higher token took over
                       */
} CfRankOpResult;

/** CfRankReport: one rank's state; 0 stands for none. */
typedef struct
{
  gint64 step;     /**< the last pass begun */
  gint64 map;      /**< the version in use */
  gint64 prepared; /**< the version whose copy is complete */
  gint64 newest;   /**< the highest version it was ever told to prepare */
  gint64 armed;
  gint64 armed_step;
  gint64 held; /**< the pass held */
} CfRankReport;

/**
 * CfRankOps: how a coordinator reaches the ranks of its group.  Every call
 * carries the coordinator's fencing token; from the first report on, a
 * rank obeys no lower one.  A process that checks the token on a rank's
 * behalf and has restarted, and so forgotten the highest, must refuse
 * orders until the next report.
 */
typedef struct
{
  void *data;
  int ranks;
  CfRankOpResult (*order) (void *data, int rank, const CfRankOp *op);
  CfRankOpResult (*report) (void *data, int rank, CfRankReport *out);
  /** Waits @ms; %FALSE when the coordinator should stop trying. */
  gboolean (*pause) (void *data, int ms);
  /** The time in ms, on a clock that is never set back. */
  gint64 (*now) (void *data);
} CfRankOps;

/** CfMapChangeResult: how a change ended. */
typedef enum
{
  CF_MAP_CHANGE_DONE,    /**< every rank switches at one step */
  CF_MAP_CHANGE_ABORTED, /**< no rank switches */
  CF_MAP_CHANGE_FENCED,  /**< another coordinator took over; it settles the
                            change */
  CF_MAP_CHANGE_STUCK,   /**< a rank cannot be reached: settle again, soon */
} CfMapChangeResult;

/** CfMapChangeLimits: how long a change may take, in ms and steps. */
typedef struct
{
  int prepare_ms;  /**< until every rank has copied its experts */
  int settle_ms;   /**< until every rank is known to have let go */
  int steps_ahead; /**< how far ahead the hold is placed */
} CfMapChangeLimits;

/**
 * cf_map_change_settle:
 * @turn: differs between coordinators that follow each other, such as the
 *   round of takeovers; it chooses the rank that holds
 * @in_use: the map the group steps on
 *
 * Takes over the group: reads, and so fences, every rank and undoes
 * whatever an earlier coordinator left half done, so that no rank is armed
 * or held and no order still on its way can arm one.
 *
 * Returns: %CF_MAP_CHANGE_ABORTED once that is so, else %CF_MAP_CHANGE_FENCED
 * or %CF_MAP_CHANGE_STUCK.
 */
CfMapChangeResult cf_map_change_settle (const CfRankOps *ops, gint64 turn,
                                        const CfExpertMap *in_use,
                                        const CfMapChangeLimits *limits);

/**
 * cf_map_change_run:
 * @map: the map to change to; its version is set here, above all others
 *
 * Changes a settled group to @map; call cf_map_change_settle() first.
 */
CfMapChangeResult cf_map_change_run (const CfRankOps *ops, gint64 turn,
                                     const CfExpertMap *in_use,
                                     CfExpertMap *map,
                                     const CfMapChangeLimits *limits);

/** cf_map_change_result_name: "changed", "aborted", "fenced" or "stuck". */
const char *cf_map_change_result_name (CfMapChangeResult c);
