#pragma once

#include "peer-msg.h"
#include "quarantine.h"

/**
 * cf_peer_crashes_collect_changes:
 * Flushes from @q the records that changed since the last flush into messages.
 * @all: (out): all of them, for gateways
 * @quarantined: (out): those of requests that are quarantined, or were until
 * they were cleared, for rank agents
 *
 * The messages point into @q and are valid until it changes.  Free their arrays
 * with cf_peer_msg_clear().
 */
void cf_peer_crashes_collect_changes (CfQuarantine *q, gint64 now_ms,
                                      CfPeerMsg *all, CfPeerMsg *quarantined);

/**
 * cf_peer_crashes_send_all:
 * Sends the records of @q, if there are any, to a process that may have missed
 * them.
 * @quarantined_only: send only the records of requests that are quarantined, or
 * were until they were cleared
 */
void cf_peer_crashes_send_all (CfQuarantine *q, CfPeerLink *l,
                               gboolean quarantined_only, gint64 now_ms);

/**
 * cf_peer_crashes_merge:
 * Merges a peer's records into @q.
 * @peer: (nullable): name of the peer, for the log
 */
void cf_peer_crashes_merge (CfQuarantine *q, const CfPeerMsg *m,
                            const char *peer, gint64 now_ms);
