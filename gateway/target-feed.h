#pragma once

#include "store-watch.h"

/**
 * cf_target_feed_start:
 * Keeps the gateway's table of targets as the store lists them.  Entries
 * that lapsed while the store was away get time to come back before their
 * target is taken as gone.
 */
void cf_target_feed_start (CfStoreWatch *w, CfGateway *g);
