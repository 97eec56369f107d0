#pragma once

#include "target.h"

/** CfPickResult: why a request got a target, or none. */
typedef enum
{
  CF_PICK_OK,
  CF_PICK_NO_TARGET,    /**< the service has none that takes new work */
  CF_PICK_FULL,         /**< each has as much as it may have from us */
  CF_PICK_RATE_LIMITED, /**< only the rates that targets named are in the way */
} CfPickResult;

/** CfPickInput: what the choice of a target is made from. */
typedef struct
{
  const char *service;
  const char *data_centre;  /**< (nullable): ours; wins among equals */
  const GPtrArray *tried;   /**< (nullable): targets that had it already */
  gint64 now_ms;            /**< of the monotonic clock */
  guint n_gateways;         /**< gateways that send to these targets */
  CfFleetPlace place;       /**< ours among them */
  guint in_flight;          /**< requests of ours that all of them have */
  guint limit;              /**< of @in_flight; 0: none */
  gint64 max_conns;         /**< connections a target takes from all; 0: any */
  const double *ring_start; /**< (nullable): where a search for the least
                                 loaded begins, from 0 to below 1; by turns */
  gboolean yields;          /**< leaves room for requests that can be in time */
  gint64 stall_timeout_ms;  /**< a target that has work of ours and is quiet for
                         longer  stands still; 0: quiet targets are not known */
} CfPickInput;

/**
 * cf_balancer_max_in_flight:
 * @max_conns: connections a target takes from all callers; 0: any number
 * Returns: how many requests one of @n_gateways gateways gives a target of
 *   @slots at once: an even part and a quarter more, since callers are not
 *   spread evenly, but no more than its even part of the connections.  What
 *   is more than the slots would wait at the target, where the order cannot
 *   be chosen any more; what is more than the connections would be reset.
 */
guint cf_balancer_max_in_flight (gint64 slots, gint64 max_conns,
                                 guint n_gateways);

/**
 * cf_balancer_rate_limit_per_s:
 * Returns: requests a second that this gateway may send to the targets of
 *   @service which have named a limit.
 */
double cf_balancer_rate_limit_per_s (const CfTargetTable *t,
                                     const char *service, CfFleetPlace place);

/**
 * cf_balancer_pick:
 * The target with the least of our requests for its slots; among equals one
 * in our own data centre, then the next from @ring_start on.  A target that is
 * leaving, ejected, stands still, has said that it is full or has got our part
 * of the rate that it named is passed over; when only ejected ones are left
 * these are used, since an ejection is a guess and no service should end by
 * guesses.
 *
 * @out: (out): the target, not referenced
 */
CfPickResult cf_balancer_pick (CfTargetTable *t, const CfPickInput *in,
                               CfTarget **out);
