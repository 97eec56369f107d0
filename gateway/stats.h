#pragma once

#include <glib.h>

/** CfOutcome: how a request ended; selects its counter. */
typedef enum
{
  CF_OUTCOME_SUCCESS,       /**< a complete 2xx answer of the target */
  CF_OUTCOME_TARGET_FAILED, /**< the target's own error answer, forwarded */
  CF_OUTCOME_REFUSED, /**< not run: no capacity, target or configuration, or
                         quarantined, or the process stops */
  CF_OUTCOME_DENIED,  /**< not routed: invalid or incomplete, over a limit, no
                         route, or unknown API key */
  CF_OUTCOME_FAILED,  /**< may have run, but no valid answer came */
  CF_OUTCOME_TIMEOUT, /**< its deadline passed */
  CF_OUTCOME_BROKEN,  /**< the answer was truncated after its start */
  CF_OUTCOME_CALLER_GONE, /**< the caller disconnected */
  CF_N_OUTCOMES,
} CfOutcome;

const char *cf_outcome_name (CfOutcome o);

/** Buckets of a #CfHistogram; the last one has no upper bound. */
#define CF_HISTOGRAM_BUCKETS 16
/** CfHistogram: durations in ms, in buckets bounded by powers of two. */
typedef struct
{
  guint64 counts[CF_HISTOGRAM_BUCKETS]; /**< [i]: up to 2^i ms */
  guint64 n;
  double sum_ms;
} CfHistogram;

void cf_histogram_add (CfHistogram *h, gint64 ms);

/** CfStats: counters of this process since its start. */
typedef struct
{
  guint64 requests;
  guint64 outcomes[CF_N_OUTCOMES];
  guint64 sends;          /**< requests sent, including retries and resumes */
  guint64 sends_other_dc; /**< of @sends, to another data centre */
  guint64 retries;        /**< requests sent again after a failure */
  guint64 resumes;        /**< streams resumed at another target */
  guint64 store_calls;
  guint64 store_errors;
  guint64 store_polls_repeated;
  guint64 answers_over_limit;
  guint64 records_rejected;       /**< unreadable target records */
  guint64 agent_readings_dropped; /**< of ranks, by their agents */
  guint64 callers_turned_away;    /**< connections closed at the caller limit */
  guint64 quarantine_refusals;    /**< requests that crash targets, refused */
  guint64 queued;                 /**< requests that had to queue */
  guint64 evicted;     /**< queued requests refused to make room for another */
  guint64 requeued;    /**< requests queued again after a full target refused */
  guint64 unrouted;    /**< requests that waited for the configuration */
  guint64 begun_late;  /**< queued requests sent too late for their objective */
  guint64 returns_due; /**< refused callers that returned at their time */
  guint64 returns_early;    /**< likewise before their time */
  guint64 returns_refused;  /**< refused again after they returned in time */
  CfHistogram first_ms;     /**< time to the first event of a stream */
  CfHistogram whole_ms;     /**< time to the end of any other answer */
  CfHistogram pause_ms;     /**< pause between two events of a stream */
  CfHistogram queue_ms;     /**< time in the queue */
  CfHistogram iteration_ms; /**< duration of an event loop iteration */
} CfStats;

/** cf_stats_print: appends all counters in the Prometheus text format. */
void cf_stats_print (const CfStats *s, GString *out);

/** cf_stats_gauge: appends one gauge in the same format. */
void cf_stats_gauge (GString *out, const char *name, double value);
