#include "watch-batcher.h"

/** Interval between polls while events keep coming, by the time in which a
 * change has to be in force: a quarter of it, within these bounds. */
#define POLL_INTERVAL_MIN_MS 500
#define POLL_INTERVAL_MAX_MS 1500
#define INTERVALS_PER_TIME_LIMIT 4
/** Number of polls without delay after a time without events.  Two targets that
 * restart together are thus both noticed without delay. */
#define MAX_BURST 4

void
cf_watch_batcher_init (CfWatchBatcher *b, gint64 time_limit_ms)
{
  b->theoretical_arrival_ms = 0;
  b->interval_ms = CLAMP (time_limit_ms / INTERVALS_PER_TIME_LIMIT,
                          POLL_INTERVAL_MIN_MS, POLL_INTERVAL_MAX_MS);
}

gint64
cf_watch_batcher_next_delay_ms (CfWatchBatcher *b, gint64 now_ms)
{
  gint64 delay_ms;

  b->theoretical_arrival_ms
      = MAX (b->theoretical_arrival_ms, now_ms) + b->interval_ms;
  delay_ms = b->theoretical_arrival_ms - now_ms - MAX_BURST * b->interval_ms;
  return MAX (delay_ms, 0);
}
