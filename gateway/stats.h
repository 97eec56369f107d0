#pragma once

#include <glib.h>

/** CfOutcome: how a request ended, for the counters. */
typedef enum
{
  CF_OUTCOME_SUCCESS,       /**< the target's 2xx, whole */
  CF_OUTCOME_TARGET_FAILED, /**< the target's own failure, passed on */
  CF_OUTCOME_REFUSED,     /**< not run: no room, no target, no configuration */
  CF_OUTCOME_DENIED,      /**< not allowed, or not a proper request */
  CF_OUTCOME_FAILED,      /**< it may have run, and no good answer came */
  CF_OUTCOME_TIMEOUT,     /**< its time was over */
  CF_OUTCOME_BROKEN,      /**< a stream that broke off in the middle */
  CF_OUTCOME_CALLER_GONE, /**< its caller left */
  CF_N_OUTCOMES,
} CfOutcome;

const char *cf_outcome_name (CfOutcome o);

/** CfHistogram: latencies in ms, by powers of two. */
#define CF_HISTOGRAM_BUCKETS 16
typedef struct
{
  guint64 counts[CF_HISTOGRAM_BUCKETS]; /**< i: up to 2^i ms */
  guint64 n;
  double sum_ms;
} CfHistogram;

void cf_histogram_add (CfHistogram *h, gint64 ms);

/** CfStats: what this process has counted since its start. */
typedef struct
{
  guint64 requests;
  guint64 outcomes[CF_N_OUTCOMES];
  guint64 sends;   /**< requests sent to targets, again ones included */
  guint64 retries; /**< of these, sent again */
  guint64 resumes; /**< streams taken up at another target */
  guint64 store_calls;
  guint64 store_errors;
  guint64 records_rejected;    /**< records of targets that cannot be read */
  guint64 callers_turned_away; /**< connections closed unread: all taken */
  guint64 quarantine_refusals; /**< requests that crash targets */
  guint64 queued;              /**< requests that waited for room */
  guint64 unrouted;         /**< requests that waited for the configuration */
  guint64 begun_late;       /**< of these, sent too late for their objective */
  CfHistogram first_ms;     /**< to the first event of a stream */
  CfHistogram whole_ms;     /**< to the end of any other answer */
  CfHistogram pause_ms;     /**< between two events of a stream */
  CfHistogram queue_ms;     /**< waiting for room */
  CfHistogram iteration_ms; /**< a turn of the event loop */
} CfStats;

/** cf_stats_print: appends all in the Prometheus text format. */
void cf_stats_print (const CfStats *s, GString *out);

/** cf_stats_gauge: appends one gauge. */
void cf_stats_gauge (GString *out, const char *name, double value);
