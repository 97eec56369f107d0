#include "watch-batcher.h"

/** Interval of polls while events keep coming; a target that leaves is known so
 * much later at most. */
#define INTERVAL_MS 500
/** Polls made at once after a time without events: both of two targets that
 * start again together are known at once. */
#define BURST 4

gint64
cf_watch_batcher_next_delay_ms (CfWatchBatcher *g, gint64 now)
{
  gint64 pause;

  g->spent_until_ms = MAX (g->spent_until_ms, now) + INTERVAL_MS;
  pause = g->spent_until_ms - now - (gint64)BURST * INTERVAL_MS;
  return MAX (pause, 0);
}
