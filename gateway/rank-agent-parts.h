#pragma once

#include "rank-agent.h"

/**
 * What the parts of the rank agent share: its readings of the rank and its
 * links to gateways (rank-agent.c), and the orders it passes on
 * (rank-agent-order.c).
 */

/** cf_rank_agent_plan_read: the rank is read in @ms. */
void cf_rank_agent_plan_read (CfRankAgent *a, gint64 ms);

/** cf_rank_agent_take_report: what came of a call for the rank's report;
 * %FALSE if it tells nothing. */
gboolean cf_rank_agent_take_report (CfRankAgent *a, int status,
                                    const GString *body);

/** cf_rank_agent_await_copy: the rank copies what @version needs. */
void cf_rank_agent_await_copy (CfRankAgent *a, gint64 version);

/** cf_rank_agent_prepare: has the rank prepare a map. */
void cf_rank_agent_prepare (CfSeed *s, const CfPeerMsg *m);

/** cf_rank_agent_order: passes an order on to the rank, and answers it. */
void cf_rank_agent_order (CfSeed *s, const CfPeerMsg *m);
