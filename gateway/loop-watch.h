#pragma once

#include "stats.h"

/** CfLoopActivity: what a turn of the loop spends its time on. */
typedef enum
{
  CF_LOOP_CALLERS, /**< connections of callers, targets, peers */
  CF_LOOP_LEADING, /**< rank groups: what agents say, plans, orders */
  CF_LOOP_STORE,   /**< news of the store: configuration, targets */
  CF_N_LOOP_ACTIVITIES,
} CfLoopActivity;

const char *cf_loop_activity_name (CfLoopActivity p);

/**
 * CfLoopWatch:
 * How long the turns of the event loop take.  All callers' events wait for a
 * turn's end, so one that takes long is counted, and logged with the part
 * that took most of it.  It has no clock of its own.
 */
typedef struct
{
  gint64 begun_us; /**< of the turn; 0: none is under way */
  gint64 part_us;  /**< when @part began */
  CfLoopActivity part;
  gint64 spent_us[CF_N_LOOP_ACTIVITIES];
  gint64 longest_ms; /**< of all turns */
  gint64 logged_us;  /**< when a long turn was last logged; 0: never */
  guint n_unlogged;  /**< long turns since then */
} CfLoopWatch;

/** cf_loop_watch_begin: a turn begins, with callers' part. */
void cf_loop_watch_begin (CfLoopWatch *w, gint64 now_us);

/**
 * cf_loop_watch_enter:
 * The turn goes on with @part.
 * Returns: the part before, to be entered again afterwards.
 */
CfLoopActivity cf_loop_watch_enter (CfLoopWatch *w, CfLoopActivity part,
                                    gint64 now_us);

/** cf_loop_watch_end: the turn is over; @iteration_ms counts it. */
void cf_loop_watch_end (CfLoopWatch *w, gint64 now_us,
                        CfHistogram *iteration_ms);
