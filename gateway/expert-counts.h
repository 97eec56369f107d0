#pragma once

#include <glib.h>

/**
 * CfExpertCounts:
 * The last counters read from a rank: how often the model chose each expert
 * there since the rank started.  Status messages carry the increases since the
 * previous message, whichever leader received that one: these are small numbers
 * that take one byte each.
 */
typedef struct
{
  GArray *last;       /**< (nullable): of gint64, one for each expert */
  gint64 incarnation; /**< of the target that @last was read from */
  gint64 read_at_ms;  /**< when @last was read */
} CfExpertCounts;

void cf_expert_counts_clear (CfExpertCounts *c);

/**
 * cf_expert_counts_take_increases:
 * @counts: (transfer full): the rank's counters, now
 * Returns: (nullable): how often each expert was chosen since the last
 *   reading, a new array of gint64; %NULL if there is no last reading, if it
 *   is too old, or if the rank restarted since.
 */
GArray *cf_expert_counts_take_increases (CfExpertCounts *c, GArray *counts,
                                         gint64 incarnation, gint64 now_ms);
