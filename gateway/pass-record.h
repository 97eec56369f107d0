#pragma once

#include <glib.h>

/**
 * CfPassRecord:
 * What a pass of a service's engines was made of, as far as this gateway can
 * know it.  All streams write one event in a pass, so that events which come
 * close together are of one pass; what began with it and how many streams it
 * made late tell what made it long.
 */
typedef struct
{
  gint64 began_ms;     /**< its first event; 0: none yet */
  gint64 longest_ms;   /**< longest pause that ended with it */
  guint streams;       /**< events, one of each stream of ours */
  guint late;          /**< of these, after a pause over the objective */
  guint begun;         /**< of these, the first of their stream */
  gint64 begun_tokens; /**< prompt tokens of what began */
} CfPassRecord;

/** CfPassEvent: an event of a stream. */
typedef struct
{
  gint64 now_ms;
  gint64 pause_ms;   /**< since the one before; 0: it is the first */
  gint64 gap_aim_ms; /**< objective for pauses; 0: none */
  gint64 prompt_tokens;
} CfPassEvent;

/**
 * cf_pass_record_add:
 * @done: (out): the pass before, if @e begins another
 * Returns: whether @done was filled.
 */
gboolean cf_pass_record_add (CfPassRecord *p, const CfPassEvent *e,
                             CfPassRecord *done);
