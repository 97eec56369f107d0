#pragma once

#include "gateway.h"

/**
 * cf_crash_probe_start:
 * Finds out whether @t, which ended a connection in the middle of a request,
 * has crashed: it does if it refuses a new connection.  One that reset some of
 * its connections, or waited in vain for another target, accepts it.  If @t
 * has crashed, it is added to the request's record.
 *
 * Requests that @t is lost with while a probe of it is under way share its
 * result.
 * @d: the request that was lost
 */
void cf_crash_probe_start (CfGateway *g, CfTarget *t, const CfRequestDigest *d);

/** cf_crash_probe_stop_all: drops those under way. */
void cf_crash_probe_stop_all (CfGateway *g);
