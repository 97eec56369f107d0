#pragma once

#include <glib.h>

/**
 * CfConcurrencyLimit:
 * Adaptive limit of the requests that this process has in flight at one
 * service.  A target queues what exceeds its slots in order of arrival, where
 * requests can neither be reordered nor refused; the limit keeps the backlog
 * in the gateways.  It follows the time from sending to the first event: each
 * decision takes the mean of a few streams that were sent since the one before.
 */
typedef struct
{
  double limit;      /**< requests in flight; 0: unlimited */
  gint64 decided_ms; /**< when it was last decided on */
  double sum_ms;     /**< of the samples since then */
  guint n;           /**< number of them */
  double mean_ms;    /**< of the samples of the last decision */
} CfConcurrencyLimit;

/** CfFirstEventSample: the first event of a stream, as the limit samples it. */
typedef struct
{
  gint64 now_ms;
  gint64 sent_ms;
  double unqueued_ms; /**< expected from sending, at a target with a free slot;
                           0: not known */
  gint64 aim_ms;      /**< objective for the first event */
  guint in_flight;    /**< of ours at the service */
  double fair_share;  /**< the service's slots, divided by the gateways */
} CfFirstEventSample;

/**
 * cf_concurrency_limit_add_sample:
 * Returns: %TRUE if the limit came into force or was lifted.
 */
gboolean cf_concurrency_limit_add_sample (CfConcurrencyLimit *l,
                                          const CfFirstEventSample *e);

/** cf_concurrency_limit_get: requests in flight; 0: unlimited. */
guint cf_concurrency_limit_get (const CfConcurrencyLimit *l);
