#pragma once

#include "peer-service.h"
#include "rank-service.h"

/**
 * cf_control_listen:
 * Accepts links from rank agents and other gateways at the control address.
 * The first message of a link is a hello, whose kind tells which of the two
 * sent it; the link is then handed to @ranks or @peers.
 */
CfStatus cf_control_listen (CfGateway *g, CfPeerService *peers,
                            CfRankService *ranks);
