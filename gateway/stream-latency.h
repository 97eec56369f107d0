#pragma once

#include "policy.h"

/**
 * CfStreamLatency:
 * Recent latency of a service's streams as observed by this process: the time
 * to the first event and the pause between events, from which the duration of a
 * whole stream follows.  The engine's published model stands in for what has
 * not been observed yet.  The streams of all callers are batched into the same
 * passes of an engine, so that what one stream experiences predicts the next.
 */
typedef struct
{
  double pause_ms; /**< mean pause between two events; 0: not observed */
  double unstalled_pause_ms;  /**< the same without stalls */
  double slowest_pause_ms[2]; /**< the highest @unstalled_pause_ms of the
                                 current window and of the previous one */
  gint64 window_start_ms;     /**< when the current window began */
  double first_ms;            /**< mean time from sending to the first event */
  double first_deviation_ms;  /**< mean deviation from @first_ms */
} CfStreamLatency;

/** CfStreamSize: the size that a request states; 0 where it does not. */
typedef struct
{
  gint64 prompt; /**< prompt tokens */
  gint64 answer; /**< maximum number of answer tokens */
} CfStreamSize;

/** cf_stream_latency_add_event: adds an event that arrived at @now_ms,
 * @pause_ms after the previous one of its stream. */
void cf_stream_latency_add_event (CfStreamLatency *l, gint64 now_ms,
                                  gint64 pause_ms);

/** cf_stream_latency_add_first_event: adds a first event that arrived @ms after
 * its request was sent. */
void cf_stream_latency_add_first_event (CfStreamLatency *l, gint64 ms);

/**
 * cf_stream_latency_stall_timeout_ms:
 * Returns: the time without output after which a target that has requests is
 *   considered stalled: its VM is frozen, or its group waits for another rank.
 */
gint64 cf_stream_latency_stall_timeout_ms (const CfStreamLatency *l);

/**
 * cf_stream_latency_first_event_ms:
 * @e: (nullable): the engine's model
 * Returns: the time from sending within which five of six first events arrive;
 *   0 if nothing is known.
 */
gint64 cf_stream_latency_first_event_ms (const CfStreamLatency *l,
                                         const CfEngineModel *e,
                                         const CfStreamSize *size);

/**
 * cf_stream_latency_unqueued_ms:
 * @e: (nullable): the engine's model
 * Returns: the time from sending to the first event at a target with a free
 *   slot; 0 if nothing is known.
 */
double cf_stream_latency_unqueued_ms (const CfStreamLatency *l,
                                      const CfEngineModel *e,
                                      const CfStreamSize *size);

/** cf_stream_latency_typical_total_ms: the time from sending to the end of a
 * stream of usual length, at the current pass time; 0 if nothing is known. */
gint64 cf_stream_latency_typical_total_ms (const CfStreamLatency *l,
                                           const CfEngineModel *e,
                                           const CfStreamSize *size);

/**
 * cf_stream_latency_max_total_ms:
 * An upper bound for decisions that cannot be reversed once a stream has begun:
 * it also holds if the service gets as busy as it was recently, or if all slots
 * of its engines are in use.
 * Returns: the maximum time from sending to the end of a stream; -1 if nothing
 *   is known.
 */
gint64 cf_stream_latency_max_total_ms (const CfStreamLatency *l,
                                       const CfEngineModel *e,
                                       const CfStreamSize *size, gint64 now_ms);
