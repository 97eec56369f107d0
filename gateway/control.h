#pragma once

#include "peer-service.h"
#include "rank-service.h"

/**
 * cf_control_listen:
 * Takes links from other processes of ours at the control address; a
 * link's first message says whose it is.
 */
CfStatus cf_control_listen (CfGateway *g, CfPeerService *peers,
                            CfRankService *ranks);
