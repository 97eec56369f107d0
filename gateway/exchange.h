#pragma once

#include "caller.h"

/** cf_exchange_start: answers the request that @c has read. */
void cf_exchange_start (CfGateway *g, CfCaller *c);

/** cf_exchange_abandon: the caller left; all work for it is stopped. */
void cf_exchange_abandon (CfExchange *x);

/** cf_exchange_cut: this process ends; the caller's connection goes with it,
 * so nothing is answered. */
void cf_exchange_cut (CfExchange *x);

/** cf_exchange_drained: all of the answer so far has been sent. */
void cf_exchange_drained (CfExchange *x);

/** cf_exchange_pump: room may have come free; those that wait may get it. */
void cf_exchange_pump (CfGateway *g);
