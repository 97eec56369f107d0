#pragma once

#include <glib.h>

/**
 * CfExpertCounts:
 * Last counters of a rank: how often each expert was chosen there since the
 * rank started.  Reports carry deltas since the previous report, regardless of
 * which leader received it: small numbers, of a byte each.
 */
typedef struct
{
  GArray *last;       /**< (nullable): of gint64, one for each expert */
  gint64 incarnation; /**< of the target that counted */
  gint64 at_ms;       /**< when that was */
} CfExpertCounts;

void cf_expert_counts_clear (CfExpertCounts *c);

/**
 * cf_expert_counts_take_delta:
 * @now: what the rank says; taken over
 * Returns: (nullable): how often each expert was chosen since the last
 *   reading, a new array of gint64; %NULL if that was long ago, or of another
 *   start of the rank.
 */
GArray *cf_expert_counts_take_delta (CfExpertCounts *c, GArray *now,
                                     gint64 incarnation, gint64 now_ms);
