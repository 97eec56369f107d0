#pragma once

#include "caller.h"

/** cf_exchange_start: answers the request that @c has read. */
void cf_exchange_start (CfGateway *g, CfCaller *c);

/** cf_exchange_abandon: the caller left; all work for it is stopped. */
void cf_exchange_abandon (CfExchange *x);

/** cf_exchange_unpause_upstream: all of the answer so far has been sent. */
void cf_exchange_unpause_upstream (CfExchange *x);

/** cf_exchange_refuse_all_too_late: this process stops; what waits and cannot
 * be whole before it ends is answered now. */
void cf_exchange_refuse_all_too_late (CfGateway *g);

/** cf_exchange_refuse_all_quarantined: requests were quarantined; what waits to
 * be sent for one of them is answered now. */
void cf_exchange_refuse_all_quarantined (CfGateway *g);

/** cf_exchange_end_at_shutdown: this process ends: @x is refused if it has
 * not run, failed if it may have, and cut off if its answer has begun. */
void cf_exchange_end_at_shutdown (CfExchange *x);

/** cf_exchange_route_unrouted: the configuration or the targets may be known;
 * requests that wait for them go on. */
void cf_exchange_route_unrouted (CfGateway *g);

/** cf_exchange_dispatch_queued: room may have come free; those that wait may
 * get it. */
void cf_exchange_dispatch_queued (CfGateway *g);
