#pragma once

#include "gateway.h"
#include "peer-link.h"
#include "peer-msg.h"

/**
 * CfPeerService:
 * Exchanges state between gateways.  The store is the primary source of the
 * configuration and the list of targets; a gateway that cannot reach it, or
 * has just started, gets both from a peer.  Store revisions tell whose state
 * is newer.
 *
 * Each gateway keeps a link to every seed and sends a hello to its peers once
 * a second with its revisions.  A gateway that is behind, and cannot get the
 * newer state from the store, asks for it in its own hello.
 */
typedef struct CfPeerService CfPeerService;

CfPeerService *cf_peer_service_new (CfGateway *g);

/** cf_peer_service_adopt: takes over the accepted link @l, on which a peer sent
 * the message @first. */
void cf_peer_service_adopt (CfPeerService *s, CfPeerLink *l,
                            const CfPeerMsg *first);

/** cf_peer_service_notify: sends @m to all peers. */
void cf_peer_service_notify (CfPeerService *s, const CfPeerMsg *m);

/** cf_peer_service_notify_seeds: sends @m to the seeds. */
void cf_peer_service_notify_seeds (CfPeerService *s, const CfPeerMsg *m);

/** cf_peer_service_set_hold_lease_handler: sets the handler of
 * %CF_PEER_HOLD_LEASE messages. */
void cf_peer_service_set_hold_lease_handler (CfPeerService *s,
                                             CfPeerMsgHandler handler,
                                             void *owner);

/** cf_peer_service_tick: runs periodic work; to be called several times a
 * second. */
void cf_peer_service_tick (CfPeerService *s);
