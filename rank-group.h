#pragma once

#include "agent-link.h"
#include "map-change.h"
#include "placement.h"
#include "settings.h"

/**
 * CfRankGroupSettings:
 * The [group] table of an agent whose target is one rank of an engine group;
 * docs/SETTINGS.md.
 */
typedef struct
{
  GPtrArray *members; /**< agents' "IP:PORT" by rank; empty: no group */
  gint64 rank;        /**< this agent's index in @members */
  gint64 interval_ms; /**< between placement decisions; 0: never */
  gint64 hold_max_ms; /**< a hold or stall longer than this is settled */
  gint64 prepare_ms;  /**< limit for the ranks to copy experts */
  char *policy;
  double skew_weight;
  double move_weight;
  gint64 max_moves;
  CfPlacement placement; /**< set from the four above by the check */
} CfRankGroupSettings;

/**
 * CfRankGroup:
 * Coordinates the expert map of a rank group from one of its agents.  Every
 * agent can become the coordinator; fencing tokens ensure that only the latest
 * one has any effect.  Placement is decided by the agent of rank 0 or, if rank
 * r's agent has seen no other coordinator for 1 + 2r intervals, by that agent.
 * Any agent settles the group when its own rank has held a step, or has had
 * work waiting without beginning a step, for longer than hold_max_ms plus a
 * delay that grows with the rank.  See docs/MAP-CHANGE.md.
 */
typedef struct CfRankGroup CfRankGroup;

/**
 * cf_rank_group_settings_check: checks what the bounds of single keys do not
 * cover, and sets @o's placement.
 */
CfStatus cf_rank_group_settings_check (const CfSettings *s,
                                       CfRankGroupSettings *o);

/**
 * cf_rank_group_start:
 * @target_url: the rank's engine, which serves this rank at /v1/ranks/RANK
 *
 * Starts the coordination thread.
 */
CfRankGroup *cf_rank_group_start (const CfRankGroupSettings *settings,
                                  const char *target_url);

/**
 * cf_rank_group_run_order:
 * @op: the order's name: "report", or that of a #CfRankOpKind
 * @args: (nullable): the order's arguments, a JSON object
 * @fence: the order's fencing token, already checked
 * @code: (out): the engine's HTTP status
 * @out: (out): the engine's reply
 *
 * Passes a coordinator's order to this agent's rank.
 */
CfStatus cf_rank_group_run_order (CfRankGroup *g, const char *op,
                                  const char *args, gint64 fence, long *code,
                                  char **out);

/**
 * cf_rank_op_to_json: returns @op as the JSON object that a rank's engine
 * accepts, with the order's name but without a fencing token.
 */
json_t *cf_rank_op_to_json (const CfRankOp *op);

/** cf_rank_group_is_rank_order: whether @op is the name of a rank's order. */
gboolean cf_rank_group_is_rank_order (const char *op);

/**
 * cf_rank_group_check_fence:
 * Checks and records the fencing token of an order to the rank; see
 * docs/MAP-CHANGE.md.
 *
 * Returns: %CF_OK, %CF_ERR_STALE for a token lower than the highest seen, or
 * %CF_ERR_USAGE if no coordinator has requested a report since this agent
 * started.
 */
CfStatus cf_rank_group_check_fence (CfRankGroup *g, const char *op,
                                    gint64 fence);

/** cf_rank_group_request_rebalance: lets the thread decide placement now. */
void cf_rank_group_request_rebalance (CfRankGroup *g);

/** cf_rank_group_highest_fence: returns the highest fencing token seen. */
gint64 cf_rank_group_highest_fence (CfRankGroup *g);
