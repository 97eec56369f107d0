#include "loop-watch.h"

#include "log.h"

#include <string.h>

/** Longest time that callers' events should wait for other work; half of it
 * is headroom for CPU contention. */
#define LONG_ITERATION_US 10000
/** Shortest interval between log lines about long iterations: a loop that is
 * permanently late logs once a second. */
#define LOG_INTERVAL_US 1000000
#define US_PER_MS 1000

const char *
cf_loop_activity_name (CfLoopActivity a)
{
  switch (a)
    {
    case CF_LOOP_CALLERS:
      return "callers";
    case CF_LOOP_LEADING:
      return "leading";
    case CF_LOOP_STORE:
      return "store";
    case CF_N_LOOP_ACTIVITIES:
      break;
    }
  return "unknown";
}

void
cf_loop_watch_begin (CfLoopWatch *w, gint64 now_us)
{
  w->begun_us = now_us;
  w->activity_since_us = now_us;
  w->activity = CF_LOOP_CALLERS;
  memset (w->spent_us, 0, sizeof w->spent_us);
}

CfLoopActivity
cf_loop_watch_enter (CfLoopWatch *w, CfLoopActivity activity, gint64 now_us)
{
  CfLoopActivity previous = w->activity;

  w->spent_us[previous] += now_us - w->activity_since_us;
  w->activity_since_us = now_us;
  w->activity = activity;
  return previous;
}

static CfLoopActivity
longest_activity (const CfLoopWatch *w)
{
  CfLoopActivity longest = CF_LOOP_CALLERS;

  for (int a = 0; a < CF_N_LOOP_ACTIVITIES; a++)
    if (w->spent_us[a] > w->spent_us[longest])
      longest = a;
  return longest;
}

static void
report_long_iteration (CfLoopWatch *w, gint64 us, gint64 now_us)
{
  CfLoopActivity a = longest_activity (w);

  w->n_unlogged++;
  if (w->logged_us && now_us - w->logged_us < LOG_INTERVAL_US)
    return;
  cf_log (LOG_NOTICE, CF_EV_LONG_ITERATION,
          "ms=%" G_GINT64_FORMAT " in=%s part_ms=%" G_GINT64_FORMAT " turns=%u",
          us / US_PER_MS, cf_loop_activity_name (a), w->spent_us[a] / US_PER_MS,
          w->n_unlogged);
  w->logged_us = now_us;
  w->n_unlogged = 0;
}

void
cf_loop_watch_end (CfLoopWatch *w, gint64 now_us, CfHistogram *iteration_ms)
{
  gint64 us = now_us - w->begun_us;

  if (!w->begun_us)
    return;
  cf_loop_watch_enter (w, CF_LOOP_CALLERS, now_us);
  w->begun_us = 0;
  w->longest_ms = MAX (w->longest_ms, us / US_PER_MS);
  cf_histogram_add (iteration_ms, us / US_PER_MS);
  if (us > LONG_ITERATION_US)
    report_long_iteration (w, us, now_us);
}
