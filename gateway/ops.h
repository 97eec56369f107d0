#pragma once

#include "gateway.h"

/**
 * cf_ops_listen:
 * Serves operators and the platform at "IP:PORT": the readiness check, and
 * Prometheus metrics under /metrics.
 */
CfStatus cf_ops_listen (CfGateway *g, const char *addr);
