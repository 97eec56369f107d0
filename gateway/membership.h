#pragma once

#include <glib.h>

/**
 * CfMembership:
 * The gateways that this one has heard of lately, itself included, and where
 * each begins on the ring of a service's targets.  Gateways do not see one
 * another's load; if each fills the targets from its own, evenly spaced place
 * on, all targets get about as much from all of them together.
 */
typedef struct CfMembership CfMembership;

/**
 * cf_membership_new:
 * @addr, @data_centre: this gateway's
 */
CfMembership *cf_membership_new (const char *addr, const char *data_centre);

void cf_membership_free (CfMembership *m);

/** cf_membership_record_heartbeat: the gateway at @addr is there. */
void cf_membership_record_heartbeat (CfMembership *m, const char *addr,
                                     const char *data_centre, gint64 now_ms);

/** cf_membership_expire: drops those not heard of for @ms. */
void cf_membership_expire (CfMembership *m, gint64 ms, gint64 now_ms);

/** cf_membership_size: how many there are. */
guint cf_membership_size (const CfMembership *m);

/**
 * cf_membership_ring_start:
 * @addr: (nullable): %NULL: this gateway's
 * Evenly spaced over all gateways, and nearly so over those of each data
 * centre, since a gateway prefers the targets of its own.
 * Returns: where @addr begins, from 0 to below 1; negative if it is not known.
 */
double cf_membership_ring_start (CfMembership *m, const char *addr);
