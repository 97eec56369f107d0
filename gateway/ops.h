#pragma once

#include "gateway.h"

/**
 * cf_ops_listen:
 * Serves operators and the platform at "IP:PORT": readiness, and the
 * counters under /metrics.
 */
CfStatus cf_ops_listen (CfGateway *g, const char *addr);
