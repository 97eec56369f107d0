#include "watch-batcher.h"

/** Interval between polls while events keep coming.  A target that leaves
 * is noticed at most this much later. */
#define POLL_INTERVAL_MS 500
/** Number of polls without delay after a time without events.  Two targets that
 * restart together are thus both noticed without delay. */
#define MAX_BURST 4

gint64
cf_watch_batcher_next_delay_ms (CfWatchBatcher *b, gint64 now_ms)
{
  gint64 delay_ms;

  b->theoretical_arrival_ms
      = MAX (b->theoretical_arrival_ms, now_ms) + POLL_INTERVAL_MS;
  delay_ms = b->theoretical_arrival_ms - now_ms
             - (gint64)MAX_BURST * POLL_INTERVAL_MS;
  return MAX (delay_ms, 0);
}
