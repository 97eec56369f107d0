#pragma once

#include "gateway.h"
#include "peer-msg.h"

/**
 * This gateway's share of each service: its own demand and that of its peers
 * determine how many requests it may have in flight.  State is exchanged in
 * hello messages; without it the share is an even one.
 */

/** cf_service_share_update: recomputes the shares of all services, and requests
 * an early hello if this gateway's demand has changed notably since the last
 * one. */
void cf_service_share_update (CfGateway *g);

/** cf_service_share_refresh: recomputes the share of @service before a request
 * is queued, so that a burst at one gateway does not wait for the next periodic
 * update.  Returns: %FALSE if it is recent. */
gboolean cf_service_share_refresh (CfGateway *g, const char *service,
                                   CfServiceState *s);

/** cf_service_share_hello_sent: hellos with the present demand were sent. */
void cf_service_share_hello_sent (CfGateway *g);

/**
 * cf_service_share_collect:
 * @recipient: (nullable): address of the gateway that the hello is sent to
 * Returns: (transfer full): #CfPeerDemand of the busiest services.  It
 *   refers to @g.
 */
GArray *cf_service_share_collect (const CfGateway *g, const char *recipient);

/** cf_service_share_take: takes over the demand that gateway @peer states. */
void cf_service_share_take (CfGateway *g, const GArray *demand,
                            const char *peer);

/** cf_service_share_forget: the link to gateway @peer is lost; what it stated
 * is no longer used. */
void cf_service_share_forget (CfGateway *g, const char *peer);

/** cf_service_share_fraction: this gateway's part of the service's slots, from
 * 0 to 1; 0: an even part. */
double cf_service_share_fraction (const CfGateway *g, const CfServiceState *s);

/** cf_service_share_max_total: the most requests that this gateway may have in
 * flight at the service; 0: its share does not limit them. */
double cf_service_share_max_total (const CfGateway *g, const CfServiceState *s);

/** cf_service_share_slots: the slots of the service that count as this
 * gateway's; an even part of @slots unless demand is uneven. */
double cf_service_share_slots (const CfGateway *g, const CfServiceState *s,
                               gint64 slots);

/** cf_service_share_print_metrics: appends the gauges of each service in the
 * Prometheus text format. */
void cf_service_share_print_metrics (const CfGateway *g, GString *out);
