#pragma once

#include "map-coordinator.h"

/**
 * What the parts of the coordinator share.  Its state machine
 * (map-coordinator.c) has each state's work done: learning what an earlier
 * leader left (map-coordinator-settle.c), planning and preparing a change
 * (map-coordinator-plan.c), holding a pass, arming the ranks and switching
 * (map-coordinator-switch.c).  What ranks say comes in by
 * map-coordinator-reports.c.  All of them stand on map-coordinator-view.c.
 */

/** An order without an answer is sent again after so long: an answer takes
 * about 5 ms on the way through the rank's own VM, where it is tried for up
 * to 0.1 s. */
#define CF_MAP_ORDER_RETRY_MS 120
/** Copies take a second or so; the order is only repeated in case it was
 * lost, and a rank that has it already answers so. */
#define CF_MAP_PREPARE_RETRY_MS 250
/** No plan for so long after a change that was given up. */
#define CF_MAP_ABORT_PAUSE_MS 500
/** Passes ahead that one is held, at most. */
#define CF_MAP_MAX_PASSES_AHEAD 48

/* The group as a whole. */

/** cf_map_count_experts: of all sets; a rank counts each. */
gsize cf_map_count_experts (const CfMapCoordinator *c);

/** cf_map_enter_state: from now on it is in state @s, with no order open. */
void cf_map_enter_state (CfMapCoordinator *c, CfMapState s, const char *why,
                         gint64 now);

/** cf_map_allocate_version: one that no leader has used.
 * @is_barrier: no rank is ever armed with it */
gint64 cf_map_allocate_version (CfMapCoordinator *c, gboolean is_barrier);

gboolean cf_map_version_is_barrier (gint64 version);

/** cf_map_has_all_reports_since: whether every rank has reported since then, of
 * this epoch and with its group whole. */
gboolean cf_map_has_all_reports_since (const CfMapCoordinator *c, gint64 since);

gboolean cf_map_has_armed_rank (const CfMapCoordinator *c);
gboolean cf_map_has_held_pass (const CfMapCoordinator *c);

/** cf_map_is_in_use_known: whether @in_use is what every rank has in use. */
gboolean cf_map_is_in_use_known (const CfMapCoordinator *c);

/* Orders */

/** cf_map_may_send: whether no order is open, or the last was too long ago. */
gboolean cf_map_may_send (const CfRankView *v, gint64 now, gint64 again_ms);

/** cf_map_send_order: sends @o, with the epoch and the fencing token. */
void cf_map_send_order (CfMapCoordinator *c, int rank, CfRankOrder *o,
                        gint64 now);

/** cf_map_request_lists: asks the ranks whose experts are not known. */
void cf_map_request_lists (CfMapCoordinator *c, gint64 now);

/* Each state's work at a tick. */

/** cf_map_run_settling: settling; learns what is pending, once all have
 * reported. */
void cf_map_run_settling (CfMapCoordinator *c, gint64 now);

/** cf_map_run_invalidating: burning; makes void what may still come. */
void cf_map_run_invalidating (CfMapCoordinator *c, gint64 now);

/** cf_map_run_idle: idle; looks for a better map, and begins the change. */
void cf_map_run_idle (CfMapCoordinator *c, gint64 now);

/** cf_map_run_preparing: preparing; has every rank copy what it lacks. */
void cf_map_run_preparing (CfMapCoordinator *c, gint64 now);

/** cf_map_run_holding: holding; has one rank hold a pass to come. */
void cf_map_run_holding (CfMapCoordinator *c, gint64 now);

/** cf_map_run_arming: arming; has every rank switch at the pass held. */
void cf_map_run_arming (CfMapCoordinator *c, gint64 now);

/** cf_map_run_releasing: releasing; ends the hold. */
void cf_map_run_releasing (CfMapCoordinator *c, gint64 now);

/** cf_map_run_switching: switching; waits until all have begun the pass. */
void cf_map_run_switching (CfMapCoordinator *c, gint64 now);
