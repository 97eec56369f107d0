#pragma once

#include "map-coordinator.h"

/**
 * Internal interface between the coordinator's source files.  The state
 * machine (map-coordinator.c) calls one function per state: settling and
 * invalidating are in map-coordinator-settle.c, planning and preparing a
 * change in map-coordinator-plan.c, holding a pass, arming the ranks and
 * switching in map-coordinator-switch.c.  map-coordinator-reports.c takes in
 * the ranks' reports.  All of them use map-coordinator-view.c.
 */

/** An unanswered order is sent again after this time.  Through the agent on the
 * rank's VM, an answer takes about 5 ms; if the rank does not answer, the agent
 * itself retries the order for up to 0.1 s. */
#define CF_MAP_ORDER_RETRY_MS 120
/** The same for an order to prepare.  Copies take about a second; the order is
 * repeated only in case it was lost, and a rank that already has it says so. */
#define CF_MAP_PREPARE_RETRY_MS 250
/** Pause before the next plan after a change was given up. */
#define CF_MAP_ABORT_PAUSE_MS 500
/** Maximum number of passes from the newest known one to the one to hold. */
#define CF_MAP_MAX_PASSES_AHEAD 48

/* The group as a whole */

/** cf_map_count_experts: the number of experts of all sets together. */
gsize cf_map_count_experts (const CfMapCoordinator *c);

/** cf_map_enter_state: enters state @s, with no plan and no order pending. */
void cf_map_enter_state (CfMapCoordinator *c, CfMapState s, const char *why,
                         gint64 now);

/**
 * cf_map_allocate_version:
 * @is_barrier: the version is prepared only so that ranks refuse late orders
 *   of earlier versions; no rank is ever armed with it
 * Returns: a version that no leader has used.
 */
gint64 cf_map_allocate_version (CfMapCoordinator *c, gboolean is_barrier);

gboolean cf_map_version_is_barrier (gint64 version);

/** cf_map_has_all_statuses_since: whether every rank's status is as of a
 * time after @since, of this epoch, and says that the group runs passes. */
gboolean cf_map_has_all_statuses_since (const CfMapCoordinator *c,
                                        gint64 since);

gboolean cf_map_has_armed_rank (const CfMapCoordinator *c);
gboolean cf_map_has_held_pass (const CfMapCoordinator *c);

/** cf_map_is_in_use_known: whether @in_use is complete and matches the map that
 * every rank has in use. */
gboolean cf_map_is_in_use_known (const CfMapCoordinator *c);

/* Orders */

/** cf_map_may_send: whether the rank has no unanswered order, or one that was
 * sent at least @retry_ms ago. */
gboolean cf_map_may_send (const CfRankView *v, gint64 now, gint64 retry_ms);

/** cf_map_send_order: sends @o with the current epoch and fencing token. */
void cf_map_send_order (CfMapCoordinator *c, int rank, CfRankOrder *o,
                        gint64 now);

/** cf_map_request_lists: requests the expert lists that are not known. */
void cf_map_request_lists (CfMapCoordinator *c, gint64 now);

/* What a tick does in each state */

/** cf_map_run_settling: once the status of every rank is known, finds out
 * which change is pending. */
void cf_map_run_settling (CfMapCoordinator *c, gint64 now);

/** cf_map_run_invalidating: disarms every rank and has it prepare a barrier
 * version, so that it refuses late orders; then ends all holds. */
void cf_map_run_invalidating (CfMapCoordinator *c, gint64 now);

/** cf_map_run_idle: looks for a better map, and begins the change to it. */
void cf_map_run_idle (CfMapCoordinator *c, gint64 now);

/** cf_map_run_preparing: has every rank copy the experts that it lacks. */
void cf_map_run_preparing (CfMapCoordinator *c, gint64 now);

/** cf_map_run_holding: has one rank hold a future pass. */
void cf_map_run_holding (CfMapCoordinator *c, gint64 now);

/** cf_map_run_arming: orders every rank to switch at the held pass. */
void cf_map_run_arming (CfMapCoordinator *c, gint64 now);

/** cf_map_run_releasing: ends the hold. */
void cf_map_run_releasing (CfMapCoordinator *c, gint64 now);

/** cf_map_run_switching: waits until every rank has begun the pass. */
void cf_map_run_switching (CfMapCoordinator *c, gint64 now);
