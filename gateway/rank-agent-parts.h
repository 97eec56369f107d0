#pragma once

#include "rank-agent.h"

/**
 * Internal interface between the parts of the rank agent: reads of the rank
 * and links to gateways (rank-agent.c), and the orders it passes on
 * (rank-agent-order.c).
 */

/** cf_rank_agent_schedule_read: schedules the next read of the rank in @ms,
 * in place of one already scheduled. */
void cf_rank_agent_schedule_read (CfRankAgent *a, gint64 ms);

/** cf_rank_agent_take_report: takes in the answer to a request for the
 * rank's report; %FALSE if it is no valid report. */
gboolean cf_rank_agent_take_report (CfRankAgent *a, int status,
                                    const GString *body);

/** cf_rank_agent_track_copy: reads the rank often from now on, as it may be
 * copying the experts of @version. */
void cf_rank_agent_track_copy (CfRankAgent *a, gint64 version);

/** cf_rank_agent_handle_prepare: has the rank prepare the map that a leader's
 * message describes, and acknowledges the order. */
void cf_rank_agent_handle_prepare (CfSeed *s, const CfPeerMsg *m);

/** cf_rank_agent_handle_order: passes any other order of a leader on to the
 * rank, and acknowledges it. */
void cf_rank_agent_handle_order (CfSeed *s, const CfPeerMsg *m);
