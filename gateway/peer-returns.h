#pragma once

#include "gateway.h"
#include "peer-msg.h"

/**
 * cf_peer_returns_collect:
 * Collects times to return that peers do not know yet, at most
 * %CF_PEER_RETURNS_MAX; the rest is left for the next hello.
 * Returns: (nullable): an array of #CfPeerReturn, whose strings belong to @g;
 *   to be sent to all peers.
 */
GArray *cf_peer_returns_collect (CfGateway *g);

/**
 * cf_peer_returns_take:
 * Adds a peer's times to return to the schedules of their services.  A seed
 * passes on those of gateways that are no seeds, which have links only to the
 * seeds.  Those of seeds reach all gateways directly, so none go in a circle.
 * @returns: (nullable): of #CfPeerReturn
 * @peer: address of the peer
 */
void cf_peer_returns_take (CfGateway *g, const GArray *returns,
                           const char *peer);
