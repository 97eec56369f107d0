#pragma once

#include "gateway.h"
#include "peer-link.h"
#include "peer-msg.h"

/**
 * The gateway's side of the rank agents: takes their links, decides whether
 * this gateway leads a rank group, and carries the coordinator's orders.
 *
 * Of the gateways that the settings name as seeds, the first that most
 * ranks of a group can hear takes the lead when they hear no leader, and
 * keeps it while they hear it.  Two may lead for a moment: fencing tokens
 * and the coordinator's rules keep that safe.
 */
typedef struct CfRankService CfRankService;

CfRankService *cf_rank_service_new (CfGateway *g);

/** CfRankServiceNotify: sends @m to the other seeds. */
typedef void (*CfRankServiceNotify) (void *data, const CfPeerMsg *m);

/** cf_rank_service_set_notify: how the other seeds are reached. */
void cf_rank_service_set_notify (CfRankService *s, CfRankServiceNotify notify,
                                 void *data);

/** cf_rank_service_take_hold_lease: a #CfPeerMsgHandler for what another seed
 * says of a pass that it holds; @owner is the #CfRankService. */
void cf_rank_service_take_hold_lease (void *owner, const CfPeerMsg *m);

/** cf_rank_service_adopt: @l is a rank agent's, and @first its greeting. */
void cf_rank_service_adopt (CfRankService *s, CfPeerLink *l,
                            const CfPeerMsg *first);

/** cf_rank_service_notify: sends @m to all rank agents. */
void cf_rank_service_notify (CfRankService *s, const CfPeerMsg *m);
