#pragma once

#include <glib.h>

/**
 * CfMembership:
 * The gateways that have recently sent this one a heartbeat, this one included,
 * and the position on the ring of a service's targets at which each gateway
 * starts to search for a target.  Gateways do not see the load that others
 * cause.  If their start positions are evenly spaced, all targets receive about
 * the same load from all gateways together.
 */
typedef struct CfMembership CfMembership;

/**
 * cf_membership_new:
 * @addr: (nullable): this gateway's control address
 * @data_centre: (nullable): this gateway's data centre
 */
CfMembership *cf_membership_new (const char *addr, const char *data_centre);

void cf_membership_free (CfMembership *m);

/** cf_membership_record_heartbeat: records that the gateway at @addr
 * is alive. */
void cf_membership_record_heartbeat (CfMembership *m, const char *addr,
                                     const char *data_centre, gint64 now_ms);

/** cf_membership_expire: removes the gateways whose last heartbeat is more than
 * @timeout_ms old. */
void cf_membership_expire (CfMembership *m, gint64 timeout_ms, gint64 now_ms);

/** cf_membership_size: number of gateways, including this one. */
guint cf_membership_size (const CfMembership *m);

/**
 * cf_membership_ring_start:
 * @addr: (nullable): address of a gateway, or %NULL for this one
 *
 * Start positions are evenly spaced over all gateways, and nearly evenly over
 * those of each data centre, since a gateway prefers targets of its own data
 * centre.
 * Returns: the start position of @addr on the ring of targets, from 0 to below
 *   1; negative if the gateway is unknown.
 */
double cf_membership_ring_start (CfMembership *m, const char *addr);
