#pragma once

#include "stats.h"

/** CfLoopActivity: what an event loop iteration spends its time on. */
typedef enum
{
  CF_LOOP_CALLERS, /**< connections to callers, targets and peers */
  CF_LOOP_LEADING, /**< rank groups: agents' reports, plans, orders */
  CF_LOOP_STORE,   /**< updates from the store: configuration, targets */
  CF_N_LOOP_ACTIVITIES,
} CfLoopActivity;

const char *cf_loop_activity_name (CfLoopActivity a);

/**
 * CfLoopWatch:
 * Measures the duration of event loop iterations.  Callers' events wait for
 * the end of the current iteration, so a long one is counted, and logged with
 * the activity that took most of it.  The time is always an argument.
 */
typedef struct
{
  gint64 begun_us; /**< start of the iteration; 0: none is in progress */
  gint64 activity_since_us; /**< when @activity began */
  CfLoopActivity activity;
  gint64 spent_us[CF_N_LOOP_ACTIVITIES]; /**< in this iteration */
  gint64 longest_ms;                     /**< longest of all iterations */
  gint64 logged_us; /**< when a long iteration was last logged; 0: never */
  guint n_unlogged; /**< long iterations since then */
} CfLoopWatch;

/** cf_loop_watch_begin: begins an iteration, with %CF_LOOP_CALLERS. */
void cf_loop_watch_begin (CfLoopWatch *w, gint64 now_us);

/**
 * cf_loop_watch_enter:
 * Attributes the time from now on to @activity.
 * Returns: the previous activity, to be entered again afterwards.
 */
CfLoopActivity cf_loop_watch_enter (CfLoopWatch *w, CfLoopActivity activity,
                                    gint64 now_us);

/** cf_loop_watch_end: ends the iteration and adds its duration to
 * @iteration_ms. */
void cf_loop_watch_end (CfLoopWatch *w, gint64 now_us,
                        CfHistogram *iteration_ms);
