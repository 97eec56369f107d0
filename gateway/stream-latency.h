#pragma once

#include "policy.h"

/**
 * CfStreamLatency:
 * How long streams take at a service lately, as this process sees it, with
 * the engine's published model in place of what it has not seen: the time
 * to the first event, the pause between events, and so the whole.  Batches
 * of all callers share each pass of an engine, so what one stream meets the
 * next meets too.
 */
typedef struct
{
  double pause_ms;  /**< mean pause between two events; 0: not seen yet */
  double steady_ms; /**< the same without pauses of targets that stood still */
  double slowest_ms[2]; /**< the slowest @steady_ms of this span and the last */
  gint64 span_at_ms;    /**< when this span began */
  double first_ms;      /**< mean time from sending to the first event */
  double first_dev_ms;  /**< mean deviation from @first_ms */
} CfStreamLatency;

/** CfStreamSize: what a request says of its size; 0 where it does not. */
typedef struct
{
  gint64 prompt; /**< tokens to be read */
  gint64 answer; /**< tokens written at most */
} CfStreamSize;

/** cf_stream_latency_add_event: an event came at @now_ms, @pause_ms after the
 * one before. */
void cf_stream_latency_add_event (CfStreamLatency *p, gint64 now_ms,
                                  gint64 pause_ms);

/** cf_stream_latency_add_first_event: a first event came @ms after its request
 * was sent. */
void cf_stream_latency_add_first_event (CfStreamLatency *p, gint64 ms);

/**
 * cf_stream_latency_stall_timeout_ms:
 * Returns: a target of the service that has work and shows none of it for
 *   longer than this stands still: its VM does, or its group waits for
 *   another.
 */
gint64 cf_stream_latency_stall_timeout_ms (const CfStreamLatency *p);

/**
 * cf_stream_latency_first_event_ms:
 * @e: (nullable): the engine's model
 * Returns: within how many ms of sending a first event is to be expected,
 *   in five of six cases; 0 if nothing is known.
 */
gint64 cf_stream_latency_first_event_ms (const CfStreamLatency *p,
                                         const CfEngineModel *e,
                                         const CfStreamSize *size);

/**
 * cf_stream_latency_unqueued_ms:
 * Returns: how long a first event takes at a target with a free slot; 0 if
 *   nothing is known.
 */
double cf_stream_latency_unqueued_ms (const CfStreamLatency *p,
                                      const CfEngineModel *e,
                                      const CfStreamSize *size);

/** cf_stream_latency_typical_total_ms: how long a stream of usual length takes
 * from its sending, at the pace of now; 0 if nothing is known. */
gint64 cf_stream_latency_typical_total_ms (const CfStreamLatency *p,
                                           const CfEngineModel *e,
                                           const CfStreamSize *size);

/**
 * cf_stream_latency_max_total_ms:
 * For what cannot be taken back once it is begun: it holds also if the
 * service gets as busy as it was lately, or as its engines can be.
 * Returns: how long a whole stream takes at most from its sending; -1 if
 *   nothing is known.
 */
gint64 cf_stream_latency_max_total_ms (const CfStreamLatency *p,
                                       const CfEngineModel *e,
                                       const CfStreamSize *size, gint64 now_ms);
