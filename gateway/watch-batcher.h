#pragma once

#include <glib.h>

/**
 * CfWatchBatcher:
 * Batches watch polls: polls at once while events are rare, at most every 500
 * ms while they keep coming, as at a start, where each entry would cost a call
 * of every gateway.
 */
typedef struct
{
  gint64 spent_until_ms; /**< polls made at once are paid for until then */
} CfWatchBatcher;

/**
 * cf_watch_batcher_next_delay_ms:
 * Events came, and the next poll is about to be made.
 * Returns: delay before it, at most the interval between two polls.
 */
gint64 cf_watch_batcher_next_delay_ms (CfWatchBatcher *g, gint64 now_ms);
