#include "loop-watch.h"

#include "log.h"

#include <string.h>

/** Callers' events are to wait no longer for other work; half of it for what
 * the processor's share stretches. */
#define LONG_TURN_US 10000
/** Between two log lines of long turns: a loop that is late throughout says
 * so once a second. */
#define LOG_PAUSE_US 1000000
#define US_IN_MS 1000

const char *
cf_turn_part_name (CfTurnPart p)
{
  switch (p)
    {
    case CF_TURN_CALLERS:
      return "callers";
    case CF_TURN_LEADING:
      return "leading";
    case CF_TURN_STORE:
      return "store";
    case CF_N_TURN_PARTS:
      break;
    }
  return "unknown";
}

void
cf_loop_watch_begin (CfLoopWatch *w, gint64 now)
{
  w->begun_us = now;
  w->part_us = now;
  w->part = CF_TURN_CALLERS;
  memset (w->spent_us, 0, sizeof w->spent_us);
}

CfTurnPart
cf_loop_watch_enter (CfLoopWatch *w, CfTurnPart part, gint64 now)
{
  CfTurnPart before = w->part;

  w->spent_us[before] += now - w->part_us;
  w->part_us = now;
  w->part = part;
  return before;
}

static CfTurnPart
longest_part (const CfLoopWatch *w)
{
  CfTurnPart longest = CF_TURN_CALLERS;

  for (int p = 0; p < CF_N_TURN_PARTS; p++)
    if (w->spent_us[p] > w->spent_us[longest])
      longest = p;
  return longest;
}

static void
note_long (CfLoopWatch *w, gint64 us, gint64 now)
{
  CfTurnPart p = longest_part (w);

  w->n_unlogged++;
  if (w->logged_us && now - w->logged_us < LOG_PAUSE_US)
    return;
  cf_log (LOG_NOTICE, CF_EV_LONG_ITERATION,
          "ms=%" G_GINT64_FORMAT " in=%s part_ms=%" G_GINT64_FORMAT " turns=%u",
          us / US_IN_MS, cf_turn_part_name (p), w->spent_us[p] / US_IN_MS,
          w->n_unlogged);
  w->logged_us = now;
  w->n_unlogged = 0;
}

void
cf_loop_watch_end (CfLoopWatch *w, gint64 now, CfHistogram *turn_ms)
{
  gint64 us = now - w->begun_us;

  if (!w->begun_us)
    return;
  cf_loop_watch_enter (w, CF_TURN_CALLERS, now);
  w->begun_us = 0;
  w->longest_ms = MAX (w->longest_ms, us / US_IN_MS);
  cf_histogram_add (turn_ms, us / US_IN_MS);
  if (us > LONG_TURN_US)
    note_long (w, us, now);
}
