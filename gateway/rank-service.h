#pragma once

#include "gateway.h"
#include "peer-link.h"
#include "peer-msg.h"

/**
 * CfRankService:
 * The gateway's side of the rank agents.  It accepts their links, decides
 * whether this gateway leads a rank group, and sends the coordinator's orders.
 *
 * Among the gateways that the settings name as seeds, the first one that most
 * ranks of a group can reach takes the lead when these ranks follow no leader,
 * and keeps it as long as most ranks can reach it.  Two gateways may lead at
 * the same time for a moment; fencing tokens and the coordinator's rules make
 * that safe.
 */
typedef struct CfRankService CfRankService;

CfRankService *cf_rank_service_new (CfGateway *g);

/** CfRankServiceNotify: sends @m to the other seeds. */
typedef void (*CfRankServiceNotify) (void *data, const CfPeerMsg *m);

/** cf_rank_service_set_notify: sets the function that sends a message to the
 * other seeds. */
void cf_rank_service_set_notify (CfRankService *s, CfRankServiceNotify notify,
                                 void *data);

/** cf_rank_service_take_hold_lease: a #CfPeerMsgHandler that handles the hold
 * lease of another seed.
 * @owner: the #CfRankService */
void cf_rank_service_take_hold_lease (void *owner, const CfPeerMsg *m);

/** cf_rank_service_adopt: takes over the link of a rank agent.
 * @first: the agent's greeting, its first message */
void cf_rank_service_adopt (CfRankService *s, CfPeerLink *l,
                            const CfPeerMsg *first);

/** cf_rank_service_notify: sends @m to all rank agents. */
void cf_rank_service_notify (CfRankService *s, const CfPeerMsg *m);
