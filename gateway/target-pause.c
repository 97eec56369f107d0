#include "target-pause.h"

#include <math.h>

/** Added to each pause: @now_ms is the start of an event loop iteration, and
 * the answer may have been sent after that. */
#define MARGIN_MS 20

void
cf_target_pause_begin (CfTargetPause *p, double seconds, gint64 now_ms)
{
  gint64 ms;

  if (!(seconds > 0))
    return;
  ms = (gint64)fmin (ceil (seconds * 1000), CF_TARGET_PAUSE_MAX_MS);
  p->until_ms = MAX (p->until_ms, now_ms + ms + MARGIN_MS);
}

gint64
cf_target_pause_remaining_ms (const CfTargetPause *p, gint64 now_ms)
{
  return MAX (p->until_ms - now_ms, 0);
}
