#pragma once

#include <glib.h>

/**
 * CfConcurrencyLimit:
 * Adaptive limit on the requests that this process has in flight at one
 * service.  A target queues requests beyond its slots in order of arrival, and
 * they can then be neither reordered nor refused; the limit keeps the backlog
 * in the gateways.  It is controlled by the time from sending to the first
 * event: each decision uses the mean over a few streams that were sent after
 * the previous decision.  The shortest time of streams that were sent while
 * few were in flight is taken for the service's own, not for a queue, as far as
 * the objective allows.
 */
typedef struct
{
  double limit;         /**< requests in flight; 0: unlimited */
  gint64 decided_ms;    /**< when the last decision was made */
  double sum_ms;        /**< sum of the samples since then */
  guint n;              /**< number of these samples */
  double mean_ms;       /**< mean of the samples of the last decision */
  double fastest_ms[2]; /**< shortest time to a first event, of streams sent
                             while few were in flight, in the last window with
                             such streams and the one before; 0: none */
  gint64 window_start_ms;
} CfConcurrencyLimit;

/** CfFirstEventSample: the arrival of a stream's first event. */
typedef struct
{
  gint64 now_ms;
  gint64 sent_ms;
  double unqueued_ms;  /**< expected time from sending to the first event, at a
                            target with a free slot; 0: not known */
  gint64 objective_ms; /**< latency objective for the first event */
  guint in_flight;     /**< this gateway's requests at the service */
  guint in_flight_at_send; /**< the same when it was sent, itself included */
  double fair_share;       /**< the service's slots per gateway */
} CfFirstEventSample;

/**
 * cf_concurrency_limit_add_sample:
 * Returns: %TRUE if the limit came into force or was lifted.
 */
gboolean cf_concurrency_limit_add_sample (CfConcurrencyLimit *l,
                                          const CfFirstEventSample *e);

/** cf_concurrency_limit_get: the limit in requests; 0: unlimited. */
guint cf_concurrency_limit_get (const CfConcurrencyLimit *l);
