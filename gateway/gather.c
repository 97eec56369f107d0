#include "gather.h"

/** Between two calls while news keep coming; a target that leaves is known so
 * much later at most. */
#define EVERY_MS 500
/** Calls at once, after a time without news: both of two targets that start
 * again together are known at once. */
#define AT_ONCE 4

gint64
cf_gather_pause_ms (CfGather *g, gint64 now)
{
  gint64 pause;

  g->spent_until_ms = MAX (g->spent_until_ms, now) + EVERY_MS;
  pause = g->spent_until_ms - now - (gint64)AT_ONCE * EVERY_MS;
  return MAX (pause, 0);
}
