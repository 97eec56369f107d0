#pragma once

#include <glib.h>

/**
 * CfPassRecord:
 * What one pass of a service's engines consisted of, as far as this gateway
 * sees it.  Every stream emits one event per pass, so events that arrive close
 * together belong to the same pass.  The streams that began with the pass, and
 * how many streams it made late, help to tell why it took long.
 */
typedef struct
{
  gint64 began_ms;     /**< time of its first event; 0: none yet */
  gint64 longest_ms;   /**< longest pause that ended with an event of it */
  gint64 sum_ms;       /**< sum of the pauses that ended with an event of it */
  guint streams;       /**< events, one for each stream of this gateway */
  guint late;          /**< events after a pause longer than the objective */
  guint begun;         /**< events that were the first of their stream */
  gint64 begun_tokens; /**< prompt tokens of the streams that began */
} CfPassRecord;

/** cf_pass_record_mean_ms: the mean pause that ended with an event of the pass,
 * which is its duration; 0: all its streams began with it. */
double cf_pass_record_mean_ms (const CfPassRecord *p);

/** CfPassEvent: an event of a stream. */
typedef struct
{
  gint64 now_ms;
  gint64 pause_ms;         /**< since the stream's previous event; 0: it is the
                                first */
  gint64 gap_objective_ms; /**< objective for pauses; 0: none */
  gint64 prompt_tokens;
} CfPassEvent;

/**
 * cf_pass_record_add:
 * @done: (out): the previous pass, if @e begins a new one
 * Returns: whether @done was filled.
 */
gboolean cf_pass_record_add (CfPassRecord *p, const CfPassEvent *e,
                             CfPassRecord *done);
