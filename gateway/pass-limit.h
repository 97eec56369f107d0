#pragma once

#include "policy.h"

/**
 * CfPassLimit:
 * Limits the streams at engines that write in passes, so that a pass stays
 * within the objective for the pause between events, also the first passes
 * after a shift of demand.  The engine's model says how long a pass takes with
 * a number of streams; passes are expected to be as slow, relative to it, as
 * the slowest of the last 5 to 10 s.  A shift of demand doubles the duration of
 * passes until the experts are placed again, and the next shift is to meet
 * engines that have room for it.
 */
typedef struct
{
  double slowness[2]; /**< the highest ratio of an observed pass to the model's,
                           in the current window and the previous one; 0: none
                           was observed */
  gint64 window_start_ms;
  double reported; /**< limit of the last report; 0: none was in force */
} CfPassLimit;

/**
 * cf_pass_limit_add_pass:
 * @pass_ms: duration of an observed pass; one of more than a second is a stall,
 *   not a pass, and is ignored
 * @streams_per_rank: mean number of streams at a rank during it
 */
void cf_pass_limit_add_pass (CfPassLimit *l, const CfEngineModel *e,
                             double pass_ms, double streams_per_rank,
                             gint64 now_ms);

/** cf_pass_limit_slowness: how many times longer than by the model passes are
 * expected to take; at least 1. */
double cf_pass_limit_slowness (const CfPassLimit *l, gint64 now_ms);

/**
 * cf_pass_limit_get:
 * @objective_ms: for the pause between events
 * Returns: the number of streams per rank at which a pass still takes no longer
 *   than the objective, but not fewer than three quarters of the engine's
 *   throughput need; 0: no limit, as all slots can be used, or the objective
 *   would be missed even with 0.6 of the throughput.
 */
double cf_pass_limit_get (const CfPassLimit *l, const CfEngineModel *e,
                          gint64 objective_ms, gint64 now_ms);

/** CfStreamsInput: what the number of streams at a service is estimated
 * from. */
typedef struct
{
  double in_flight;     /**< streams of this gateway */
  double others_demand; /**< slots that other gateways want */
  guint n_others;       /**< gateways that @others_demand covers */
  guint n_gateways;     /**< in the fleet, this one included */
  double capacity;      /**< slots that are divided; 0: unknown */
  double share;         /**< slots of @capacity that are this gateway's */
} CfStreamsInput;

/**
 * cf_pass_limit_estimate_streams:
 * Gateways of unknown demand are taken to have as much as the rest.  No more
 * than the capacity is at the ranks, or in proportion as much more as this
 * gateway has more in flight than its share: streams that were sent before a
 * pass limit reduced the capacity continue.
 * Returns: the number of streams at all ranks of the service.
 */
double cf_pass_limit_estimate_streams (const CfStreamsInput *in);

/** cf_pass_limit_report: whether @limit, in streams per rank, came into force,
 * was lifted, or has changed by a tenth since this last returned %TRUE. */
gboolean cf_pass_limit_report (CfPassLimit *l, double limit);
