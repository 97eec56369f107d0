#pragma once

#include "concurrency-limit.h"
#include "loop-watch.h"
#include "outage.h"
#include "pace.h"
#include "pass-record.h"
#include "platform/platform-settings.h"
#include "policy.h"
#include "quarantine.h"
#include "retry-budget.h"
#include "stats.h"
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

/** CfServiceState: what this process keeps for each service it sends work to.
 */
typedef struct
{
  CfWaitQueue queue;
  CfRetryBudget budget;
  CfOutage outage;
  CfPace latency;
  CfPassRecord pass;
  CfConcurrencyLimit limit;
  guint in_flight;      /**< requests of ours that its targets have */
  gint64 busy_since_ms; /**< when @in_flight last rose from 0 */
  gint64 last_event_ms; /**< when any of its targets last sent something */
} CfServiceState;

/**
 * CfGateway:
 * What lives as long as the process: the settings, the newest policy, the
 * targets, the callers' connections.  All of it belongs to the one event
 * thread.
 */
struct CfGateway
{
  struct ev_loop *loop;
  gint64 now_ms; /**< steady clock, as of this loop_watch of the loop */
  gint64 started_ms;
  CfPlatformSettings set;
  CfPolicy *policy;          /**< in force; %NULL until one is known */
  gint64 policy_rev;         /**< the store's revision of it */
  GBytes *policy_json;       /**< it as the store holds it, for peers */
  gboolean policy_store_up;  /**< the store answers the watch of it */
  gboolean targets_store_up; /**< and the watch of the targets */
  CfTargetTable targets;
  GHashTable *rejected_records; /**< id -> revision of its unreadable record */
  gint64 targets_rev;           /**< the store's revision the table is as of */
  gint64 targets_at_ms;         /**< when the store last confirmed the table */
  gboolean rate_limits_changed; /**< of targets; peers are to be notified */
  guint fleet_size;             /**< gateways that share the retry budget */
  CfFleetPlace place;           /**< ours among the gateways */
  double ring_start; /**< where this one begins on the ring of targets, from
                          0 to below 1 */
  GHashTable *service_states; /**< service -> #CfServiceState */
  CfQuarantine *quarantine;   /**< requests that crash targets */
  CfCrashProbeList probes;    /**< of targets that may have crashed */
  CfCallerList callers;
  guint n_callers;
  guint callers_max; /**< the others are for targets, peers, the store */
  gint64
      callers_full_logged_ms; /**< when it was last logged that all are taken */
  CfExchangeList unrouted;    /**< requests that wait until the process knows
                                   the configuration and the targets */
  guint n_exchanges;
  gsize body_bytes; /**< of requests that are held in memory */
  gsize body_bytes_max;
  gboolean stopping;        /**< SIGTERM came */
  gboolean stop_propagated; /**< the platform had the time to learn of it */
  gboolean exiting;         /**< the loop is left; nothing more is sent */
  gint64 stop_started_ms;
  gint64 stop_deadline_ms; /**< when what still runs is cut off */
  CfStats stats;
  CfLoopWatch loop_watch;
};

/**
 * cf_gateway_init:
 * Makes what a gateway has before it knows anything: no policy, no targets,
 * no callers, alone in its fleet.
 * @set: taken over
 */
void cf_gateway_init (CfGateway *g, struct ev_loop *loop,
                      CfPlatformSettings *set);

/** cf_gateway_clear: frees all of it; no caller is left. */
void cf_gateway_clear (CfGateway *g);

/** cf_gateway_service_state: the lane of @service, made when first asked for.
 */
CfServiceState *cf_gateway_service_state (CfGateway *g, const char *service);

/** cf_gateway_now: a steady clock, as of this loop_watch of the loop, in ms. */
gint64 cf_gateway_now (const CfGateway *g);

/**
 * cf_gateway_enter_activity:
 * Attributes the current loop iteration's time to @part.
 * Returns: the previous part, to be restored by the caller.
 */
CfLoopActivity cf_gateway_enter_activity (CfGateway *g, CfLoopActivity part);

/** cf_gateway_can_route: whether a configuration and a list of targets are
 * known. */
gboolean cf_gateway_can_route (const CfGateway *g);

/** cf_gateway_is_ready: whether callers should be sent here. */
gboolean cf_gateway_is_ready (const CfGateway *g);

/**
 * cf_gateway_apply_policy:
 * Puts @json in force if it is good and newer than what is.
 * @rev: the store's revision of it
 * @source: "store" or "peer", for the log
 */
void cf_gateway_apply_policy (CfGateway *g, const char *json, gsize n,
                              gint64 rev, const char *source);

/** cf_gateway_update_target: the record of a target came. */
void cf_gateway_update_target (CfGateway *g, const CfTargetNews *news,
                               const char *source);

/**
 * cf_gateway_reject_target:
 * The record of @id at @rev cannot be read: it names no target to use, also
 * if an earlier one did.  Requests that the target has go on.
 */
void cf_gateway_reject_target (CfGateway *g, const char *id, gint64 rev,
                               const char *source, const char *reason);

/** cf_gateway_remove_target: target @id is gone. */
void cf_gateway_remove_target (CfGateway *g, const char *id, gint64 rev,
                               const char *source);

/**
 * cf_gateway_retain_targets:
 * @ids: all targets there are, as of revision @as_of; others are dropped
 */
void cf_gateway_retain_targets (CfGateway *g, GHashTable *ids, gint64 as_of,
                                const char *source);

/** cf_gateway_update_slowdown: how slow @t is, as an agent or a peer tells. */
void cf_gateway_update_slowdown (CfGateway *g, CfTarget *t, double latency,
                                 const char *source);

/** cf_gateway_expire_slowdowns: targets nobody has called slow lately are as
 * usual again. */
void cf_gateway_expire_slowdowns (CfGateway *g);

/**
 * cf_gateway_set_fleet_place:
 * @ring_start: where this gateway begins on the ring of targets
 * @members: gateways that this was worked out for
 */
void cf_gateway_set_fleet_place (CfGateway *g, double ring_start,
                                 guint members);

/** cf_gateway_set_fleet_size: @n gateways share the retry budget. */
void cf_gateway_set_fleet_size (CfGateway *g, guint n);
