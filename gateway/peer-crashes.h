#pragma once

#include "peer-msg.h"
#include "quarantine.h"

/**
 * cf_peer_crashes_changed:
 * @m: (out): those that changed since they were last flushed from @q; what it
 *   points to lasts until @q changes, and its array is the caller's
 */
void cf_peer_crashes_changed (CfQuarantine *q, gint64 now_ms, CfPeerMsg *m);

/** cf_peer_crashes_all: (out): the same for all that @q remembers. */
void cf_peer_crashes_all (CfQuarantine *q, gint64 now_ms, CfPeerMsg *m);

/**
 * cf_peer_crashes_merge:
 * Takes what a peer tells into @q.
 * @peer: (nullable): its name, for the log
 */
void cf_peer_crashes_merge (CfQuarantine *q, const CfPeerMsg *m,
                            const char *peer, gint64 now_ms);
