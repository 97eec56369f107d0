#pragma once

#include "store-watch.h"

/**
 * cf_target_feed_start:
 * Keeps the gateway's table of targets up to date with the store's list.
 * Entries that expired during an outage of the store, or that are missing after
 * it was restored from a copy, get a grace period to come back before their
 * target is dropped.
 */
void cf_target_feed_start (CfStoreWatch *w, CfGateway *g);

/** cf_target_feed_change_pos: where the newest record of a target is that this
 * gateway has read from the store. */
CfStorePosition cf_target_feed_change_pos (void);

/** cf_target_feed_take_peer_change: a peer has read a record at @pos. */
void cf_target_feed_take_peer_change (const CfGateway *g, CfStorePosition pos);

/** cf_target_feed_tick: calls the store again if an answer seems to be lost. */
void cf_target_feed_tick (const CfGateway *g);

/** cf_target_feed_print_metrics: appends the state of the watch. */
void cf_target_feed_print_metrics (GString *out);

/** cf_target_feed_begin_peer_list: called before the targets of a peer's list
 * are put in the table.  @as_of: the position that the list is current for */
void cf_target_feed_begin_peer_list (CfGateway *g, CfStorePosition as_of);

/** cf_target_feed_end_peer_list: called after that; handles the targets that
 * are not in @ids as if the store had reported their entries missing. */
void cf_target_feed_end_peer_list (CfGateway *g, GHashTable *ids,
                                   CfStorePosition as_of);
