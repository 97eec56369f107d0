#pragma once

#include "policy.h"

/**
 * CfPassLimit:
 * Limits the streams at engines that write in passes, so that a pass stays
 * within the objective for the pause between events, also the first passes
 * after a shift of demand.
 */
typedef struct
{
  double slowness[2]; /**< the highest ratio of an observed pass to the model's,
                           in the current window and the previous one; 0: none
                           was observed */
  gint64 window_start_ms;
} CfPassLimit;

/**
 * cf_pass_limit_add_pass:
 * @pass_ms: duration of an observed pass
 * @streams_per_rank: mean number of streams at a rank during it
 */
void cf_pass_limit_add_pass (CfPassLimit *l, const CfEngineModel *e,
                             double pass_ms, double streams_per_rank,
                             gint64 now_ms);

/**
 * cf_pass_limit_get:
 * @objective_ms: for the pause between events
 * Returns: the number of streams per rank; 0: no limit.
 */
double cf_pass_limit_get (const CfPassLimit *l, const CfEngineModel *e,
                          gint64 objective_ms, gint64 now_ms);
