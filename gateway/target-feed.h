#pragma once

#include "store-watch.h"

/**
 * cf_target_feed_start:
 * Keeps the gateway's table of targets up to date with the store's list.
 * Entries that expired during an outage of the store get a grace period to come
 * back before their target is dropped.
 */
void cf_target_feed_start (CfStoreWatch *w, CfGateway *g);
