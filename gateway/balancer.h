#pragma once

#include "dc-health.h"
#include "homes.h"
#include "target.h"

/** CfPickResult: the result of choosing a target for a request. */
typedef enum
{
  CF_PICK_OK,
  CF_PICK_NO_TARGET,    /**< no target of the service takes new requests */
  CF_PICK_FULL,         /**< this gateway may send the service no more now */
  CF_PICK_RATE_LIMITED, /**< only the targets' rate limits prevent it */
  CF_PICK_PAUSED,       /**< all targets want no requests for a while */
} CfPickResult;

/** CfPickInput: the request and the gateway's state that a target is chosen
 * by. */
typedef struct
{
  const char *service;
  const char *data_centre; /**< (nullable): this gateway's; preferred among
                                equally loaded targets */
  const CfDcSet *avoided;  /**< (nullable): data centres to leave out */
  CfHomes homes;           /**< regions that may run the request */
  const GPtrArray *tried;  /**< (nullable): #CfTarget that already had it */
  gint64 now_ms;           /**< by the monotonic clock */
  guint n_gateways;        /**< gateways that send to these targets */
  CfFleetPosition fleet_position; /**< this gateway's position among them */
  guint in_flight;                /**< this gateway's requests at the service */
  guint limit;            /**< concurrency limit for @in_flight; 0: none */
  double share_fraction;  /**< this gateway's part of the service's slots, from
                               0 to 1; 0: an even part */
  double max_total;       /**< most requests for @in_flight by its share; 0:
                               none */
  gboolean tests_full;    /**< may send a target that was full one request
                               more than it took; see
                               cf_target_full_limit() */
  gboolean prefers_local; /**< uses targets in @data_centre first, up to a
                               margin; %FALSE: only among equally loaded ones */
  gint64 max_conns;       /**< connections a target accepts from all
                               callers; 0: unlimited */
  const double *ring_start; /**< (nullable): where among the targets the search
                                 for the least loaded one begins, from 0 to
                                 below 1; %NULL: round robin */
  gboolean yields;          /**< leaves capacity to requests that can still meet
                                 their objective */
  const CfWarmupRule *warmup_rule; /**< (nullable): of the service */
  CfFleetPosition warmup_position; /**< among the gateways that share the rates
                                        of cold targets; 0 gateways: unknown */
  gint64 stall_timeout_ms; /**< a target that has requests of this gateway and
                                has sent nothing for longer is stalled, until
                                it sends something; once they have all ended,
                                it gets one first attempt at a time.  0: stalls
                                are not detected */
} CfPickInput;

/**
 * cf_balancer_max_in_flight:
 * @max_conns: connections a target accepts from all callers; 0: unlimited
 * Returns: how many requests one of @n_gateways gateways may have in flight at
 *   a target with @slots slots: an even share and a quarter more, since callers
 *   are not spread evenly over the gateways, but no more than an even share of
 *   the connections.  Requests beyond the slots would queue at the target,
 *   where they can no longer be reordered; connections beyond the maximum would
 *   be reset.
 */
guint cf_balancer_max_in_flight (gint64 slots, gint64 max_conns,
                                 guint n_gateways);

/** cf_balancer_rate_limit_per_s: requests per second that this gateway may send
 * to those targets of the service that have a rate limit or are cold, and do
 * not pause. */
double cf_balancer_rate_limit_per_s (const CfTargetTable *t,
                                     const CfPickInput *in);

/** cf_balancer_has_target: whether a target takes new requests, now or once it
 * has capacity. */
gboolean cf_balancer_has_target (const CfTargetTable *t, const CfPickInput *in);

/** cf_balancer_pause_ms: the time until the first target ends its pause; 0 if
 * one of them does not pause, or if there is none that takes new requests. */
gint64 cf_balancer_pause_ms (const CfTargetTable *t, const CfPickInput *in);

/**
 * cf_balancer_pick:
 * Chooses the target with the fewest requests of this gateway per slot,
 * weighted by the target's slowdown; among equals one in the gateway's own data
 * centre, then the first one from @ring_start on.  With @prefers_local, targets
 * elsewhere count as having more requests by this gateway's share of their
 * slots, at least one request and at most half of the slots: local ones are
 * used first, and beyond that both take their part of what is added.  Targets
 * that are leaving, replaced, evacuated, outside of the request's homes,
 * already tried, ejected, slow, stalled, full, in a pause that they requested,
 * or whose rate limit allows this gateway no request now are passed over.  When
 * less than half of the targets are healthy and none of them is free, an
 * ejected, slow or stalled one is used: an ejection may be wrong, and must not
 * take a whole service down.
 *
 * @out: (out) (nullable): the target, not referenced
 */
CfPickResult cf_balancer_pick (CfTargetTable *t, const CfPickInput *in,
                               CfTarget **out);
