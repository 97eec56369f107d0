#pragma once

#include "gateway.h"
#include "peer-link.h"
#include "peer-msg.h"

/**
 * What gateways tell one another.  The store is the first source of the
 * configuration and the list of targets; a gateway that cannot reach it, or
 * has just started, learns both from a peer.  Store revisions say whose
 * knowledge is newer.
 *
 * Each gateway keeps a link to every seed and greets its peers once a
 * second with the revisions it knows; one that is behind and cannot help
 * itself asks for what it lacks in its own greeting.
 */
typedef struct CfPeerService CfPeerService;

CfPeerService *cf_peer_service_new (CfGateway *g);

/** cf_peer_service_adopt: @l is a peer's, and @first its first message. */
void cf_peer_service_adopt (CfPeerService *s, CfPeerLink *l,
                            const CfPeerMsg *first);

/** cf_peer_service_notify: sends @m to all peers. */
void cf_peer_service_notify (CfPeerService *s, const CfPeerMsg *m);

/** cf_peer_service_notify_seeds: sends @m to the peers that are seeds. */
void cf_peer_service_notify_seeds (CfPeerService *s, const CfPeerMsg *m);

/** cf_peer_service_set_hold_lease_handler: has @take take each
 * %CF_PEER_HOLD_LEASE. */
void cf_peer_service_set_hold_lease_handler (CfPeerService *s,
                                             CfPeerMsgHandler take,
                                             void *owner);

/** cf_peer_service_tick: call it some times a second. */
void cf_peer_service_tick (CfPeerService *s);
