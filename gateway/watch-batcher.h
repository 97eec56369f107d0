#pragma once

#include <glib.h>

/**
 * CfWatchBatcher:
 * Limits the rate of watch polls.  While events are rare the next poll is made
 * at once.  While events keep coming, polls are 500 ms apart, so that each
 * returns several events: when many targets start, each new record would
 * otherwise cost a call from every gateway.
 */
typedef struct
{
  /** When the next poll is due, as in the generic cell rate algorithm. */
  gint64 theoretical_arrival_ms;
} CfWatchBatcher;

/**
 * cf_watch_batcher_next_delay_ms:
 * Schedules the next poll after a poll that returned events.
 * Returns: delay before the next poll in ms, at most the interval of
 *   500 ms.
 */
gint64 cf_watch_batcher_next_delay_ms (CfWatchBatcher *b, gint64 now_ms);
