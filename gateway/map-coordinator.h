#pragma once

#include "map-plan.h"
#include "expert-demand.h"
#include "rank.h"

/**
 * Changes a rank group's expert maps at one pass, on every rank or on none.
 *
 * The coordinator advances only on the statuses of the ranks, never on what
 * it has sent: an order may be lost, carried out seconds late, or carried out
 * twice.  A fencing token guards a rank if orders with a lower token no longer
 * reach it.  The coordinator keeps these rules, which docs/MAP-CHANGE.md
 * explains:
 *
 *  - A leader acts on the ranks' statuses only once its token guards all
 *    ranks, so that no earlier leader can change them meanwhile.
 *  - A rank is armed only while a pass is known to be held, and after every
 *    rank is known to have prepared the version.
 *  - The hold is ended only once every rank is known to be armed.
 *  - Once the first order to arm is sent, the change can't be undone: the
 *    next leader arms the remaining ranks and ends the hold.
 *  - A version is never used twice: it contains its leader's fencing token.
 *
 * The coordinator has no clock and no network.  Its caller passes in
 * statuses, acknowledgements and the time, and sends the orders that a
 * callback hands out; tests can therefore drive it on its own.
 */

/** CfMapState: what the coordinator is doing. */
typedef enum
{
  CF_MAP_SETTLING,     /**< learns which changes earlier leaders left pending */
  CF_MAP_IDLE,         /**< nothing is pending; looks for a better map */
  CF_MAP_PREPARING,    /**< the ranks copy experts for the next map */
  CF_MAP_HOLDING,      /**< one rank is ordered to hold a pass */
  CF_MAP_ARMING,       /**< the ranks are ordered to switch at the held pass */
  CF_MAP_RELEASING,    /**< the hold is being ended */
  CF_MAP_SWITCHING,    /**< waits until every rank has begun the pass */
  CF_MAP_INVALIDATING, /**< has the ranks refuse late orders */
} CfMapState;

/** cf_map_state_name: the state's name in the log. */
const char *cf_map_state_name (CfMapState s);

/** CfRankView: what the coordinator knows of one rank. */
typedef struct
{
  CfRankStatus status;
  gint64 token;            /**< fencing token that guards it, as of @status */
  gint64 as_of_ms;         /**< time that @status is as of; 0: none yet */
  gint64 pending_since_ms; /**< when the unanswered order or list request was
                                sent; 0: none is unanswered */
  gint64 lists_version;    /**< version of its row in @in_use; -1: unknown */
} CfRankView;

/** CfMapCoordinatorCallbacks: how orders and requests reach the ranks. */
typedef struct
{
  void (*send_order) (void *data, int rank, const CfRankOrder *o);
  /** Requests the list of experts that a rank holds. */
  void (*request_lists) (void *data, int rank);
  /** The coordinator entered state @to; for the log. */
  void (*state_changed) (void *data, CfMapState from, CfMapState to,
                         const char *why);
} CfMapCoordinatorCallbacks;

/** CfMapCoordinator: coordinates the map changes of one rank group. */
typedef struct
{
  const CfMapCoordinatorCallbacks *callbacks;
  void *data;
  CfGroupShape shape;
  CfPlanLimits limits;
  CfMapState state;
  gint64 state_ms;  /**< when @state was entered */
  gint64 fence;     /**< fencing token of this leader; 0: it does not lead */
  gint64 fenced_ms; /**< when it last lost the lead to a higher token; 0:
                           never */
  gint64 epoch;
  gint64 last_tick_ms;
  gint64 idle_until_ms; /**< no plan is made before this time */
  CfRankView *ranks;
  CfExpertDemand demand;
  double *slowdown; /**< by rank: the slowdown factor used for the last plan */
  CfGroupMap *in_use;
  CfGroupMap *next;
  CfMapPlan *plan; /**< (nullable): unfinished plan, based on @in_use */
  gboolean has_unsent_orders; /**< the last tick left orders unsent */
  gint64 version;             /**< version of @next */
  guint n_versions;           /**< versions used under the present token */
  guint salt;           /**< random; differs each time the lead is taken */
  gint64 pass_to_hold;  /**< number of the pass that @holder is to hold, or
                             holds; 0: none is chosen */
  int holder;           /**< rank that holds it */
  int passes_ahead;     /**< from the newest known pass to the one to hold */
  gint64 hold_start_ms; /**< when the coordinator began to hold the pass */
  gint64 arming_ms;     /**< estimated time to hold a pass and arm all ranks */
  gint64 pass_ms;       /**< recent duration of a pass; 0: unknown */
  gint64 pass_objective_ms; /**< longest pass that serves callers in time; 0: no
                           limit */
  gint64 newest_pass;       /**< newest pass that a rank has reported */
  gint64 newest_pass_ms;    /**< when it was first reported */
  guint64 n_changes;
  int n_copies;       /**< experts copied by the last planned change */
  double skew_before; /**< skew of the map in use at the last planned change */
  double skew_after;  /**< planned skew after that change */
} CfMapCoordinator;

void cf_map_coordinator_init (CfMapCoordinator *c, const CfGroupShape *shape,
                              const CfPlanLimits *limits,
                              const CfMapCoordinatorCallbacks *callbacks,
                              void *data);
void cf_map_coordinator_clear (CfMapCoordinator *c);

/** cf_map_version_fence: the fencing token of the leader that made @version. */
gint64 cf_map_version_fence (gint64 version);

/**
 * cf_map_coordinator_start_leading:
 * @fence: fencing token; has to be higher than any seen before
 * @salt: random, so that a leader that restarts and uses the same token
 *   again still makes other versions
 */
void cf_map_coordinator_start_leading (CfMapCoordinator *c, gint64 fence,
                                       guint salt, gint64 now_ms);

/**
 * cf_map_coordinator_take_status:
 * @token: the highest fencing token that guards the rank; orders with a lower
 *   one no longer reach it
 *
 * Takes in a rank's present status.  A status of an earlier epoch, or of an
 * earlier incarnation of the rank's target, is dropped.
 * Returns: %FALSE if it was dropped.
 */
gboolean cf_map_coordinator_take_status (CfMapCoordinator *c,
                                         const CfRankStatus *s, gint64 token,
                                         gint64 now_ms);

/**
 * cf_map_coordinator_take_status_as_of:
 * The same for a status that is as of @as_of_ms, such as that of the delayed
 * report that a rank gives to another VM than its own.  It is dropped if a
 * newer status is known.
 */
void cf_map_coordinator_take_status_as_of (CfMapCoordinator *c,
                                           const CfRankStatus *s, gint64 token,
                                           gint64 as_of_ms, gint64 now_ms);

/**
 * cf_map_coordinator_take_held:
 * Takes in the rank's own confirmation that it holds a pass, or none.
 * @step: the held pass; 0: it holds none
 */
void cf_map_coordinator_take_held (CfMapCoordinator *c, int rank, gint64 epoch,
                                   gint64 step);

/**
 * cf_map_coordinator_add_demand:
 * @increases: by set and expert: how often it was chosen at a rank since the
 *   counts that were added before for this rank
 * @n: must be sets x experts
 * Returns: %FALSE if it is not; @increases is dropped then
 */
gboolean cf_map_coordinator_add_demand (CfMapCoordinator *c,
                                        const gint64 *increases, guint n);

/**
 * cf_map_coordinator_take_lists:
 * @version: the map that the rank has in use
 * @experts: the experts that the rank holds, set by set; each set ends with -1
 * Returns: %FALSE if they are of another epoch or do not fit the group's shape;
 *   they are dropped then
 */
gboolean cf_map_coordinator_take_lists (CfMapCoordinator *c, int rank,
                                        gint64 epoch, gint64 version,
                                        const gint64 *experts, guint n);

/** cf_map_coordinator_take_ack: takes in the result of the order last sent to
 * @rank. */
void cf_map_coordinator_take_ack (CfMapCoordinator *c, int rank, CfRankAck ack,
                                  gint64 now_ms);

/** cf_map_coordinator_choose_passes_ahead: the number of passes from the
 * newest known one to the one to hold, so that all ranks are armed when the
 * group gets there. */
int cf_map_coordinator_choose_passes_ahead (const CfMapCoordinator *c);

/** cf_map_coordinator_has_pending_work: whether the last tick left work
 * undone, so that the event loop could serve others: an unfinished plan, or
 * unsent orders. */
gboolean cf_map_coordinator_has_pending_work (const CfMapCoordinator *c);

/** cf_map_coordinator_is_holding_pass: whether the group waits for this
 * leader, as far as it knows: a pass is held, or is about to be. */
gboolean cf_map_coordinator_is_holding_pass (const CfMapCoordinator *c);

/** cf_map_coordinator_tick: does the work that is due in the present state. */
void cf_map_coordinator_tick (CfMapCoordinator *c, gint64 now_ms);
