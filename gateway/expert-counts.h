#pragma once

#include "optional-int.h"
#include "rank.h"

/** CfExpertReading: a rank's answer to one call for its counters.  Ranks may
 * leave out everything but the counters. */
typedef struct
{
  CfOptionalInt incarnation; /**< of the rank's target */
  CfOptionalInt epoch;       /**< of its group */
  CfOptionalInt step;        /**< the last pass that began */
  GArray *counts; /**< of gint64: how often the model chose each expert at this
                       rank since the rank started, ordered by set; owned */
} CfExpertReading;

void cf_expert_reading_clear (CfExpertReading *r);

/** CfReadingOutcome: what became of a reading. */
typedef enum
{
  CF_READING_USED,
  CF_READING_FIRST,          /**< there is none to compare it with */
  CF_READING_OTHER_PROCESS,  /**< the rank restarted since its report */
  CF_READING_OTHER_EPOCH,    /**< the group re-formed since the report */
  CF_READING_OLDER_STEP,     /**< from before the report */
  CF_READING_COUNTERS_RESET, /**< a counter is lower than before */
  CF_READING_GAP,            /**< the previous reading is too old */
  CF_READING_OTHER_SHAPE,    /**< another number of counters than before */
} CfReadingOutcome;

const char *cf_reading_outcome_name (CfReadingOutcome o);

/** cf_reading_outcome_is_drop: whether a reading with this outcome was lost. */
gboolean cf_reading_outcome_is_drop (CfReadingOutcome o);

/**
 * CfExpertCounts:
 * The last counters read from a rank.  Status messages carry the increases
 * since the previous message, whichever leader received that one: these are
 * small numbers that take one byte each.
 */
typedef struct
{
  GArray *last;              /**< (nullable): of gint64, one for each expert */
  CfOptionalInt incarnation; /**< of the target that @last was read from */
  gint64 epoch;              /**< of its group at that time */
  gint64 read_at_ms;         /**< when @last was read */
} CfExpertCounts;

void cf_expert_counts_clear (CfExpertCounts *c);

/**
 * cf_expert_counts_take:
 * Compares a reading with the previous one.  A rank that restarts resets its
 * counters; a reading that does not name its incarnation is attributed to that
 * of @report, which was read just before, unless its epoch, its step or a lower
 * counter shows that the rank restarted in between.
 * @r: its counters are taken over
 * @report: the rank's report, read just before
 * @increases: (out) (nullable): how often each expert was chosen since the
 *   previous reading, a new array of gint64; %NULL unless the outcome is
 *   %CF_READING_USED
 */
CfReadingOutcome cf_expert_counts_take (CfExpertCounts *c, CfExpertReading *r,
                                        const CfRankStatus *report,
                                        gint64 now_ms, GArray **increases);
