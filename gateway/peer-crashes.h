#pragma once

#include "peer-msg.h"
#include "quarantine.h"

/**
 * cf_peer_crashes_collect_changes:
 * The requests that changed since they were last flushed from @q.
 * @all: (out): for gateways
 * @held: (out): of these, the ones that are quarantined or were until now, for
 *   rank agents
 *
 * What the messages point to lasts until @q changes; their arrays are the
 * caller's.
 */
void cf_peer_crashes_collect_changes (CfQuarantine *q, gint64 now_ms,
                                      CfPeerMsg *all, CfPeerMsg *held);

/**
 * cf_peer_crashes_send_all:
 * Sends what @q remembers to a process that may have missed it, if anything.
 * @held_only: only the requests that are quarantined
 */
void cf_peer_crashes_send_all (CfQuarantine *q, CfPeerLink *l,
                               gboolean held_only, gint64 now_ms);

/**
 * cf_peer_crashes_merge:
 * Merges a peer's records into @q.
 * @peer: (nullable): its name, for the log
 */
void cf_peer_crashes_merge (CfQuarantine *q, const CfPeerMsg *m,
                            const char *peer, gint64 now_ms);
