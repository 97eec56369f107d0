#pragma once

#include "rate-limit.h"
#include "request-digest.h"

/**
 * cf_suspect_turn_wait_ms:
 * A request during which a target has crashed is tried by the gateways in turn,
 * one copy at a time, so that it cannot crash several targets before the first
 * crash is known.  Each gateway computes the turns by itself from what all of
 * them know: the time of the crash and the order of the gateways.
 * @since_crash_ms: time since the first crash during the request
 * Returns: how long a copy of request @d has to wait for this gateway's turn; 0
 *   if it may be sent now.
 */
gint64 cf_suspect_turn_wait_ms (gint64 since_crash_ms, const CfRequestDigest *d,
                                CfFleetPosition position);

/** cf_suspect_turn_cycle_ms: the time in which each gateway has a turn. */
gint64 cf_suspect_turn_cycle_ms (CfFleetPosition position);
