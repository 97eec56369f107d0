#include "watch-batcher.h"

/** Interval between polls while events keep coming.  A target that leaves
 * is noticed at most this much later. */
#define POLL_INTERVAL_MS 500
/** Polls without delay after a time without events.  Two targets that restart
 * together are thus both noticed without delay. */
#define MAX_BURST 4

gint64
cf_watch_batcher_next_delay_ms (CfWatchBatcher *b, gint64 now)
{
  gint64 delay;

  b->theoretical_arrival_ms
      = MAX (b->theoretical_arrival_ms, now) + POLL_INTERVAL_MS;
  delay
      = b->theoretical_arrival_ms - now - (gint64)MAX_BURST * POLL_INTERVAL_MS;
  return MAX (delay, 0);
}
