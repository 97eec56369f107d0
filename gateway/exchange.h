#pragma once

#include "caller.h"

/** cf_exchange_start: begins to answer the request that @c has read. */
void cf_exchange_start (CfGateway *g, CfCaller *c);

/** cf_exchange_abandon: the caller disconnected; ends @x and cancels its work
 * at the target. */
void cf_exchange_abandon (CfExchange *x);

/** cf_exchange_unpause_upstream: the caller's output buffer is empty again;
 * reads on from the target. */
void cf_exchange_unpause_upstream (CfExchange *x);

/** cf_exchange_refuse_all_too_late: during shutdown, answers the queued
 * requests that cannot be complete before this process ends. */
void cf_exchange_refuse_all_too_late (CfGateway *g);

/** cf_exchange_refuse_all_quarantined: answers the queued requests that have
 * been put in quarantine. */
void cf_exchange_refuse_all_quarantined (CfGateway *g);

/** cf_exchange_refuse_unservable: answers the queued requests that have no
 * target left, or whose targets all pause for longer than the requests may
 * wait. */
void cf_exchange_refuse_unservable (CfGateway *g);

/** cf_exchange_end_at_shutdown: ends @x as the process exits: refuses it if it
 * has not run, fails it if it may have, and cuts off an answer that has
 * started. */
void cf_exchange_end_at_shutdown (CfExchange *x);

/** cf_exchange_route_unrouted: routes the requests that arrived before the
 * configuration and the targets were known, once both are. */
void cf_exchange_route_unrouted (CfGateway *g);

/** cf_exchange_dispatch_queued: sends queued requests to targets that have
 * free slots. */
void cf_exchange_dispatch_queued (CfGateway *g);
