#pragma once

#include "gateway.h"
#include "peer-msg.h"

/**
 * The retry budgets of all services.  The budget is a promise of the whole
 * fleet, for any window of time: each gateway has an equal share of the slack,
 * and shares the ratio by using it for its own requests only.  A process begins
 * without tokens.  What its predecessor has left is passed on by the seeds
 * (retry-handover.h); the rest of its share is withheld until nothing that a
 * predecessor may have spent is in the window any more.
 */

/** cf_service_retries_start: to be called once, before any service is used. */
void cf_service_retries_start (CfGateway *g);

void cf_service_retries_clear (CfGateway *g);

/** cf_service_retries_init: creates the budget of @service. */
void cf_service_retries_init (CfGateway *g, const char *service,
                              CfServiceState *s);

/** cf_service_retries_tick: periodic work; to be called several times a
 * second. */
void cf_service_retries_tick (CfGateway *g);

/** cf_service_retries_state: decides what the next hellos state as reserved. */
void cf_service_retries_state (CfGateway *g);

/** cf_service_retries_is_ack_needed: whether a seed has to acknowledge what was
 * stated, before all of it may be spent. */
gboolean cf_service_retries_is_ack_needed (const CfGateway *g);

/** cf_service_retries_steal_inherited: (nullable) (transfer full): a list of
 * #CfRetryReserveItem for the process at @recipient, which follows one that had
 * reserved them. */
GArray *cf_service_retries_steal_inherited (CfGateway *g,
                                            const char *recipient);

/**
 * cf_service_retries_pack:
 * @items: of #CfRetryReserveItem
 * Returns: (transfer full): of #CfPeerRetryReserve; it refers to @items.
 */
GArray *cf_service_retries_pack (const GArray *items);

/** cf_service_retries_take: takes over what the hello of gateway @peer says.
 * Returns: whether @peer is to be sent a hello at once. */
gboolean cf_service_retries_take (CfGateway *g, const char *peer,
                                  const CfPeerRetries *r);

/** cf_service_retries_print_metrics: appends the attempts at each service, and
 * what its budget holds, in the Prometheus text format. */
void cf_service_retries_print_metrics (const CfGateway *g, GString *out);
