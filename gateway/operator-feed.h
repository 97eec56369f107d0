#pragma once

#include "peer-msg.h"
#include "store-watch.h"

/**
 * What the operator writes to the metadata store: the configuration, and the
 * data centres that are to be evacuated.  One watch covers both.
 */

/** cf_operator_feed_start: starts @w to feed the operator's records to @g. */
void cf_operator_feed_start (CfStoreWatch *w, CfGateway *g);

/** cf_operator_feed_collect: the evacuated data centres, for a hello message:
 * an array of #CfPeerBytes that belong to @g. */
GArray *cf_operator_feed_collect (const CfGateway *g);

/**
 * cf_operator_feed_take_peer_set:
 * Uses a peer's set of evacuated data centres in place of the store's, if it is
 * newer and the store is silent or late.
 * @names: (nullable): of #CfPeerBytes
 * @pos: of the operator's records that the set reflects
 */
void cf_operator_feed_take_peer_set (CfGateway *g, const GArray *names,
                                     CfStorePosition pos, const char *peer);

/** cf_operator_feed_tick: ends evacuations that a restored store has not
 * listed again; calls the store again if an answer seems to be lost. */
void cf_operator_feed_tick (CfGateway *g);

/** cf_operator_feed_change_pos: where the operator's newest record is that this
 * gateway has read from the store. */
CfStorePosition cf_operator_feed_change_pos (void);

/** cf_operator_feed_take_peer_change: a peer has read a record at @pos. */
void cf_operator_feed_take_peer_change (CfStorePosition pos);

/** cf_operator_feed_print_metrics: appends the state of the watch. */
void cf_operator_feed_print_metrics (GString *out);
