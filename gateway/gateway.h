#pragma once

#include "concurrency-limit.h"
#include "dc-health.h"
#include "demand.h"
#include "evacuation.h"
#include "fleet-demand.h"
#include "loop-watch.h"
#include "org-usage.h"
#include "outage.h"
#include "stream-latency.h"
#include "pass-limit.h"
#include "pass-record.h"
#include "platform/platform-settings.h"
#include "policy.h"
#include "quarantine.h"
#include "reading-log.h"
#include "retry-budget.h"
#include "retry-handover.h"
#include "retry-record.h"
#include "return-schedule.h"
#include "share.h"
#include "stats.h"
#include "store-poll.h"
#include "store-position.h"
#include "target.h"
#include "wait-queue.h"

#include <ev.h>

typedef struct CfCaller CfCaller;
typedef struct CfCrashProbe CfCrashProbe;
typedef struct CfCrashWaiter CfCrashWaiter;
typedef struct CfGateway CfGateway;
typedef TAILQ_HEAD (CfCallerList, CfCaller) CfCallerList;
typedef TAILQ_HEAD (CfExchangeList, CfExchange) CfExchangeList;
typedef TAILQ_HEAD (CfCrashProbeList, CfCrashProbe) CfCrashProbeList;

/** CfShareLog: the share of a service as last logged. */
typedef struct
{
  double total;
  gboolean contended;
  gint64 logged_ms;
} CfShareLog;

/** CfServiceState: what this process keeps for each service that it sends
 * requests to. */
typedef struct
{
  CfWaitQueue queue; /**< requests that wait for a target */
  CfRetryBudget budget;
  CfRetryReserve reserve; /**< the part of @budget left to a successor */
  CfRetryRecord retries;  /**< attempts at its targets */
  CfOutage outage;
  CfDcHealth dc_health;
  CfStreamLatency latency; /**< recent latency of its streams */
  CfPassRecord pass;       /**< its latest pass, as observed here */
  CfConcurrencyLimit limit;
  CfDemandMeter demand;       /**< of this gateway */
  CfFleetDemand fleet_demand; /**< of the other gateways */
  CfShare share;              /**< of its capacity; total 0: not computed */
  gboolean is_share_uneven;   /**< @share is used instead of an even one */
  double capacity;            /**< slots that @share divides; 0: unknown */
  CfDemandTable own_demand;   /**< as last read from @demand */
  CfDemandTable others;       /**< the sum that @share was computed with */
  guint n_others;             /**< gateways that @others covers */
  gint64 share_ms;            /**< when @share was computed */
  double demand_sent;         /**< total of @own_demand in the last hello */
  gboolean is_demand_notable; /**< it, or what is relayed, differs from what
                                   was last sent, in a service with little
                                   capacity left */
  CfShareLog share_log;
  CfOrgUsage org_usage;
  CfReturnSchedule returns;
  CfPassLimit pass_limit;
  double max_streams_per_rank; /**< by @pass_limit; 0: unlimited */
  gint64 pass_ms;              /**< when the last pass was observed */
  guint in_flight;             /**< requests of this gateway at its targets */
  gint64 busy_since_ms;        /**< when @in_flight last rose from 0 */
  gint64 last_event_ms;        /**< when a target last sent part of an answer */
} CfServiceState;

/** CfFleetRetries: how this process shares the fleet's retry budget with other
 * gateways, and with the processes before and after it. */
typedef struct
{
  gint64 run;             /**< identifies this process; see retry-handover.h */
  gint64 seq;             /**< of its latest statement of reserves */
  GArray *stated;         /**< of #CfRetryReserveItem: that statement */
  gboolean is_due;        /**< seeds are to be sent it at once */
  CfRetryLedger *ledger;  /**< (nullable): of other gateways; seeds only */
  GHashTable *to_pass_on; /**< address -> GArray of #CfRetryReserveItem: for
                               the process that has started there */
  CfRetryInheritance inheritance;
  gboolean is_complete; /**< nothing is withheld for what a predecessor may
                             have spent */
  double share;         /**< slack of this gateway at each service */
  guint fleet_size_max; /**< the largest fleet that this process has known */
  gint64 fleet_size_max_ms; /**< when it was last that large */
} CfFleetRetries;

/**
 * CfGateway:
 * The state of the gateway process: settings, newest configuration, targets,
 * callers' connections.  Only the event thread accesses it.
 */
struct CfGateway
{
  struct ev_loop *loop;
  gint64 now_ms; /**< monotonic time at the start of the iteration */
  gint64 started_ms;
  CfPlatformSettings settings;
  CfPolicy *policy;           /**< configuration in force; %NULL: none yet */
  CfStorePosition policy_pos; /**< of @policy in the store */
  GBytes *policy_json;        /**< @policy as stored, for peers */
  gboolean policy_store_up;   /**< the store answers the watch of the policy */
  gboolean targets_store_up;  /**< the store answers the watch of the targets */
  gboolean targets_store_failed; /**< it has not answered it, at least once */
  CfTargetTable targets;
  GHashTable *rejected_records; /**< id -> #CfStorePosition of its unreadable
                                     record */
  CfStorePosition targets_pos;  /**< of the store's list that @targets
                                     reflects; revision 0: none was read */
  gint64 targets_confirmed_ms;  /**< when the store last confirmed @targets */
  CfEvacuations evacuations;
  gboolean hello_is_due;     /**< peers are to be notified at once */
  gboolean has_store_change; /**< a change was read from the store that peers
                                  have not been told of */
  CfStorePollTurn store_poll_turn;
  gboolean has_new_returns; /**< peers are to be told of times to return */
  guint returns_start;      /**< which of the services goes first in that */
  gint64
      demand_hello_ms; /**< when peers were last sent this gateway's demand */
  guint fleet_size;    /**< number of gateways that are known to run */
  CfFleetRetries retries;
  CfFleetPosition fleet_position; /**< of this gateway among all gateways */
  CfFleetPosition recent_fleet; /**< the largest fleet of the last seconds, and
                                     this gateway's position in it */
  gint64 recent_fleet_ms;       /**< when @recent_fleet was last confirmed */
  gboolean has_peer_fleet;      /**< a peer has said how large the fleet is */
  gboolean awaits_peers;      /**< this process has just started, and peers are
                                   still to tell it what they know of targets */
  double ring_start;          /**< start on the ring of targets, in [0, 1) */
  GHashTable *service_states; /**< service -> #CfServiceState */
  CfQuarantine *quarantine;   /**< requests that crash targets */
  GHashTable *suspects_running; /**< set of #CfRequestDigest: requests with a
                                     crash on record that a target has now */
  CfCrashProbeList probes;      /**< probes of targets that may have crashed */
  CfCallerList callers;
  guint n_callers;
  guint callers_max; /**< leaves descriptors for targets, peers, the store */
  gint64 callers_full_logged_ms; /**< when the caller limit was last logged */
  CfExchangeList unrouted;       /**< requests that cannot be routed yet */
  guint n_exchanges;
  gsize body_bytes; /**< bytes of request bodies in memory */
  gsize body_bytes_max;
  gboolean stopping;        /**< SIGTERM was received */
  gboolean stop_propagated; /**< the platform had time to see @stopping */
  gboolean exiting;       /**< the event loop has ended; nothing more is sent */
  gint64 stop_started_ms; /**< when @stopping was set */
  gint64 stop_deadline_ms; /**< when remaining requests are aborted */
  CfStats stats;
  CfReadingLog dropped; /**< what ranks, agents and peers sent in vain */
  guint n_rank_groups;  /**< rank groups known to this gateway or a peer; 0:
                             unknown */
  guint n_local_rank_groups;   /**< of these, in one data centre each; 0:
                                    unknown */
  gboolean counts_rank_groups; /**< agents of all known groups report to this
                                    gateway, so that it does not take
                                    @n_local_rank_groups from peers */
  char *seed_data_centres[CF_SEEDS_MAX]; /**< (nullable): by seed: as its last
                                            hello said */
  guint groups_without_demand; /**< led groups whose ranks send none */
  CfLoopWatch loop_watch;
};

/**
 * cf_gateway_init:
 * Initializes a gateway without configuration, targets or callers.  Until it
 * hears from its peers, it assumes that all seeds are running.
 * @settings: its contents are moved into @g
 */
void cf_gateway_init (CfGateway *g, struct ev_loop *loop,
                      CfPlatformSettings *settings);

/** cf_gateway_clear: frees the contents of @g; all callers have to be closed
 * before. */
void cf_gateway_clear (CfGateway *g);

/** cf_gateway_service_state: the state of @service, created on first use. */
CfServiceState *cf_gateway_service_state (CfGateway *g, const char *service);

/** cf_gateway_drop_reading: counts and logs something received from @from
 * (nullable) that is not used. */
void cf_gateway_drop_reading (CfGateway *g, CfReadingKind kind,
                              const char *from, const char *reason);

/** cf_gateway_now: the monotonic time in ms at the start of this event loop
 * iteration. */
gint64 cf_gateway_now (const CfGateway *g);

/**
 * cf_gateway_enter_activity:
 * Attributes the time of the current event loop iteration to @activity.
 * Returns: the previous activity, to be entered again afterwards.
 */
CfLoopActivity cf_gateway_enter_activity (CfGateway *g,
                                          CfLoopActivity activity);

/** cf_gateway_has_target_list: whether a list of targets was read. */
gboolean cf_gateway_has_target_list (const CfGateway *g);

/** cf_gateway_can_route: whether a configuration and a list of targets are
 * known. */
gboolean cf_gateway_can_route (const CfGateway *g);

/** cf_gateway_is_ready: whether the platform should send callers to this
 * gateway. */
gboolean cf_gateway_is_ready (const CfGateway *g);

/**
 * cf_gateway_apply_policy:
 * Puts configuration @json in force if it is valid and its version is higher
 * than that of the current one, wherever in the store it is.
 * @pos: of @json in the store
 * @source: "store" or "peer", for the log
 */
void cf_gateway_apply_policy (CfGateway *g, const char *json, gsize n,
                              CfStorePosition pos, const char *source);

/** cf_gateway_update_target: updates the targets from a target's record. */
void cf_gateway_update_target (CfGateway *g, const CfTargetUpdate *update,
                               const char *source);

/**
 * cf_gateway_reject_target:
 * Handles an unreadable record of @id at @pos: logs it once and removes the
 * target if an earlier record listed it.  Requests in flight at the target
 * continue.
 */
void cf_gateway_reject_target (CfGateway *g, const char *id,
                               CfStorePosition pos, const char *source,
                               const char *reason);

/** cf_gateway_remove_target: removes target @id, unless its record is newer
 * than @pos. */
void cf_gateway_remove_target (CfGateway *g, const char *id,
                               CfStorePosition pos, const char *source);

/**
 * cf_gateway_note_targets_restored:
 * The list of targets was restored from a copy: it may show targets that have
 * left, and lack some that came since.
 * @keeps_order: whether positions from before are older than those that follow
 */
void cf_gateway_note_targets_restored (CfGateway *g, gboolean keeps_order);

/** cf_gateway_update_slowdown: records the factor by which @t is slower than
 * usual, as reported by an agent or a peer. */
void cf_gateway_update_slowdown (CfGateway *g, CfTarget *t, double slowdown,
                                 const char *source);

/** cf_gateway_expire_slowdowns: resets the slowdown of targets that have not
 * been reported slow recently. */
void cf_gateway_expire_slowdowns (CfGateway *g);

/**
 * cf_gateway_set_fleet_position:
 * @ring_start: where this gateway starts on the ring of targets, in [0, 1)
 * @members: number of gateways for which @ring_start was computed
 */
void cf_gateway_set_fleet_position (CfGateway *g, double ring_start,
                                    guint members);

/** cf_gateway_is_seed: whether the gateway whose links arrive at @addr
 * (nullable) is a seed. */
gboolean cf_gateway_is_seed (const CfGateway *g, const char *addr);

/** cf_gateway_note_data_centre: records that the gateway whose links arrive at
 * @addr is in @data_centre, if it is a seed.  Empty texts mean unknown. */
void cf_gateway_note_data_centre (CfGateway *g, const char *addr,
                                  const char *data_centre);

/** cf_gateway_warmup_position: this gateway's position in the fleet that shares
 * the rates of cold targets; 0 gateways while the fleet is not known. */
CfFleetPosition cf_gateway_warmup_position (const CfGateway *g);

/** cf_gateway_set_fleet_size: sets the number of gateways that share the retry
 * budget; at least the number of seeds. */
void cf_gateway_set_fleet_size (CfGateway *g, guint n);
