#pragma once

#include "agent-link.h"
#include "map-change.h"
#include "placement.h"
#include "settings.h"

/**
 * CfRankGroupSettings:
 * The [group] table of an agent beside one rank of an engine group;
 * docs/SETTINGS.md.
 */
typedef struct
{
  GPtrArray *members; /**< agents' "IP:PORT" by rank; empty: no group */
  gint64 rank;        /**< this agent's index in @members */
  gint64 interval_ms; /**< between placement decisions; 0: never */
  gint64 hold_max_ms; /**< a hold or standstill this long is settled */
  gint64 prepare_ms;  /**< how long the ranks may take to copy experts */
  char *policy;
  double skew_weight;
  double move_weight;
  gint64 max_moves;
  CfPlacement placement; /**< made of the four above when checked */
} CfRankGroupSettings;

/**
 * CfRankGroup:
 * An agent's part in coordinating its group's expert map.  Every agent can
 * coordinate; fencing tokens keep all but the latest from having any
 * effect.  The agent of rank 0 decides placement; that of rank r does once
 * it has seen no coordinator for 1 + 2r intervals.  Any agent settles the
 * group when its own rank is held, or stands still with work waiting, for
 * too long.  docs/MAP-CHANGE.md.
 */
typedef struct CfRankGroup CfRankGroup;

/** cf_rank_group_settings_check: checks what the keys' bounds do not. */
CfStatus cf_rank_group_settings_check (const CfSettings *s,
                                       CfRankGroupSettings *o);

/**
 * cf_rank_group_start:
 * @target_url: the rank's engine, whose /v1/ranks/RANK is ours
 * Starts the coordination thread.
 */
CfRankGroup *cf_rank_group_start (const CfRankGroupSettings *set,
                                  const char *target_url);

/**
 * cf_rank_group_run_order:
 * Carries out one coordinator's order at this agent's rank, after its
 * fencing token has passed.
 * @op: the order's name: "report" or one of #CfRankOpKind's
 * @args: (nullable): its JSON object
 * @fence: the token it carries
 * @code: (out): the engine's HTTP status
 * @out: (out): the engine's reply
 */
CfStatus cf_rank_group_run_order (CfRankGroup *g, const char *op,
                                  const char *args, gint64 fence, long *code,
                                  char **out);

/**
 * cf_rank_op_to_json: @op as the JSON object that a rank's engine takes, with
 * its name and without a fencing token.
 */
json_t *cf_rank_op_to_json (const CfRankOp *op);

/** cf_rank_group_is_rank_order: whether @op is an order to a rank. */
gboolean cf_rank_group_is_rank_order (const char *op);

/**
 * cf_rank_group_check_fence:
 * The fencing rule for orders to the rank; docs/MAP-CHANGE.md.
 * Returns: %CF_OK, %CF_ERR_STALE for a token lower than one seen, or
 * %CF_ERR_USAGE if no coordinator has reported in since this agent started.
 */
CfStatus cf_rank_group_check_fence (CfRankGroup *g, const char *op,
                                    gint64 fence);

/** cf_rank_group_request_rebalance: decide placement now, on the group's
 * thread. */
void cf_rank_group_request_rebalance (CfRankGroup *g);

/** cf_rank_group_highest_fence: the highest fencing token seen. */
gint64 cf_rank_group_highest_fence (CfRankGroup *g);
