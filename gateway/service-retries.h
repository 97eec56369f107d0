#pragma once

#include "gateway.h"

/** The retry budgets of all services: what operators see of them. */

/** cf_service_retries_log_start: logs what the budget of @service holds as it
 * is created. */
void cf_service_retries_log_start (const CfGateway *g, const char *service,
                                   CfServiceState *s);

/** cf_service_retries_tick: periodic work; logs the attempts of each window in
 * which there were retries. */
void cf_service_retries_tick (CfGateway *g);

/** cf_service_retries_print_metrics: appends the attempts at each service, and
 * what its budget holds, in the Prometheus text format. */
void cf_service_retries_print_metrics (const CfGateway *g, GString *out);
