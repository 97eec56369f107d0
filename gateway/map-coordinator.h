#pragma once

#include "map-plan.h"
#include "expert-demand.h"
#include "rank.h"

/**
 * Changing a rank group's expert maps at one pass, on every rank or none.
 *
 * The coordinator moves forward from what the ranks report, never from what
 * it remembers having sent: an order may be lost, carried out seconds late
 * or twice.  It keeps these rules, which docs/MAP-CHANGE.md argues for:
 *
 *  - A leader acts on what ranks report once its token guards them all, so
 *    that no earlier leader changes them behind its back.
 *  - A rank is armed only while a pass is known to be held, and after every
 *    rank is known to have the version prepared.
 *  - The hold is ended only once every rank is known to be armed.
 *  - From the first order to arm there is no way back: whoever leads next
 *    arms the rest and ends the hold.
 *  - A version is never used twice: it holds its leader's fencing token.
 *
 * It has no clock and no network: statuses, acknowledgements and the time
 * come in, orders go out through a call, so that tests drive it alone.
 */

/** CfMapState: what the coordinator is doing. */
typedef enum
{
  CF_MAP_SETTLING,     /**< learns what an earlier leader left */
  CF_MAP_IDLE,         /**< nothing is pending; a plan may be made */
  CF_MAP_PREPARING,    /**< the ranks copy experts */
  CF_MAP_HOLDING,      /**< a pass is being held */
  CF_MAP_ARMING,       /**< the ranks are told to switch at that pass */
  CF_MAP_RELEASING,    /**< the hold is being ended */
  CF_MAP_SWITCHING,    /**< the pass has not been begun everywhere yet */
  CF_MAP_INVALIDATING, /**< orders that may still come are made void */
} CfMapState;

const char *cf_map_state_name (CfMapState s);

/** CfRankView: what the coordinator knows of one rank. */
typedef struct
{
  CfRankStatus status;
  gint64 token;            /**< that guards it, as of @status */
  gint64 seen_ms;          /**< when @status came in; 0 if never */
  gint64 pending_since_ms; /**< when the last order was sent; 0: none is open */
  gint64 lists_version; /**< version that its row of @in_use is of; -1: none */
} CfRankView;

/** CfMapCoordinatorCallbacks: how orders get out. */
typedef struct
{
  void (*send_order) (void *data, int rank, const CfRankOrder *o);
  /** Asks which experts a rank holds. */
  void (*request_lists) (void *data, int rank);
  /** A state was left; for the log. */
  void (*state_changed) (void *data, CfMapState from, CfMapState to,
                         const char *why);
} CfMapCoordinatorCallbacks;

/** CfMapCoordinator: the changes of one group's maps. */
typedef struct
{
  const CfMapCoordinatorCallbacks *callbacks;
  void *data;
  CfGroupShape shape;
  CfPlanLimits limits;
  CfMapState state;
  gint64 state_ms;  /**< when @state was entered */
  gint64 fence;     /**< token of this leader; 0: it does not lead */
  gint64 fenced_ms; /**< when another leader\'s token was last met; 0: never */
  gint64 epoch;
  gint64 last_tick_ms;
  gint64 idle_until_ms; /**< no plan before */
  CfRankView *ranks;
  CfExpertDemand demand;
  double *pace; /**< by rank, as the last plan took it */
  CfGroupMap *in_use;
  CfGroupMap *next;
  CfMapPlan *plan;            /**< (nullable): being made, of @in_use */
  gboolean has_unsent_orders; /**< orders that the last tick did not send */
  gint64 version;             /**< of @next */
  guint n_versions;           /**< used by this leader */
  guint salt;           /**< differs from one life of a leader to the next */
  gint64 step;          /**< the pass held */
  int holder;           /**< the rank that holds it */
  int passes_ahead;     /**< passes between the newest known and @step */
  gint64 hold_start_ms; /**< when that pass was first to be held */
  gint64 arming_ms;   /**< how long it takes to hold a pass and arm all ranks */
  gint64 pass_ms;     /**< how long a pass takes lately; 0: not known */
  gint64 pass_aim_ms; /**< callers are served late if it takes longer; 0: any
                           length will do */
  gint64 newest_pass; /**< the newest pass known... */
  gint64 newest_pass_ms; /**< ...and since when */
  guint64 n_changes;
  int n_copies;       /**< experts that the last change copied */
  double skew_before; /**< as planned */
  double skew_after;
} CfMapCoordinator;

void cf_map_coordinator_init (CfMapCoordinator *c, const CfGroupShape *shape,
                              const CfPlanLimits *limits,
                              const CfMapCoordinatorCallbacks *callbacks,
                              void *data);
void cf_map_coordinator_clear (CfMapCoordinator *c);

/** cf_map_version_fence: the token of the leader that made @version. */
gint64 cf_map_version_fence (gint64 version);

/**
 * cf_map_coordinator_start_leading:
 * Takes the lead with @fence, which has to be higher than any seen.
 * @salt: random, so that a leader that forgot its past uses other versions
 */
void cf_map_coordinator_start_leading (CfMapCoordinator *c, gint64 fence,
                                       guint salt, gint64 now_ms);

/**
 * cf_map_coordinator_take_status:
 * @token: the highest fencing token that guards the rank: no order with a
 *   lower one reaches it any more
 *
 * A rank's status came in.  One of an earlier epoch, or of an earlier
 * incarnation of its target, is dropped.
 */
void cf_map_coordinator_take_status (CfMapCoordinator *c, const CfRankStatus *s,
                                     gint64 token, gint64 now_ms);

/**
 * cf_map_coordinator_take_status_as_of:
 * The same for a status that is as of @as_of_ms, as a rank's report is that
 * another VM asks for; dropped if a newer one is known.
 */
void cf_map_coordinator_take_status_as_of (CfMapCoordinator *c,
                                           const CfRankStatus *s, gint64 token,
                                           gint64 as_of_ms, gint64 now_ms);

/** cf_map_coordinator_take_held: the rank itself has confirmed that it holds
 * pass
 * @step, or none if that is 0. */
void cf_map_coordinator_take_held (CfMapCoordinator *c, int rank, gint64 epoch,
                                   gint64 step);

/** cf_map_coordinator_add_demand: what a rank drew of each expert since it last
 * said so, sets x experts numbers. */
void cf_map_coordinator_add_demand (CfMapCoordinator *c, const gint64 *drawn,
                                    guint n);

/** cf_map_coordinator_take_lists: the experts it holds, sets ended by -1. */
void cf_map_coordinator_take_lists (CfMapCoordinator *c, int rank, gint64 epoch,
                                    gint64 version, const gint64 *experts,
                                    guint n);

/** cf_map_coordinator_take_ack: what is known of the order last sent to @rank.
 */
void cf_map_coordinator_take_ack (CfMapCoordinator *c, int rank, CfRankAck ack,
                                  gint64 now_ms);

/** cf_map_coordinator_choose_passes_ahead: how many passes after the newest
 * known one should be held, so that all ranks are armed when it comes. */
int cf_map_coordinator_choose_passes_ahead (const CfMapCoordinator *c);

/** cf_map_coordinator_has_pending_work: whether work was left at the last tick
 * so that others get their turn: a plan that is half made, or orders. */
gboolean cf_map_coordinator_has_pending_work (const CfMapCoordinator *c);

/** cf_map_coordinator_is_holding_pass: whether the group waits for this leader,
 * as far as it knows: a pass is held, or is about to be. */
gboolean cf_map_coordinator_is_holding_pass (const CfMapCoordinator *c);

/** cf_map_coordinator_tick: does what is to be done now. */
void cf_map_coordinator_tick (CfMapCoordinator *c, gint64 now_ms);
