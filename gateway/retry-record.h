#pragma once

#include <glib.h>

/** CfRetryCause: why a request was sent to a target once more. */
typedef enum
{
  CF_RETRY_CAUSE_LOST,    /**< the connection ended before the answer did */
  CF_RETRY_CAUSE_FAILED,  /**< the target answered with a failure */
  CF_RETRY_CAUSE_REFUSED, /**< the target did not run it */
  CF_RETRY_CAUSE_INVALID, /**< the answer was invalid or incomplete */
  CF_RETRY_CAUSE_SILENT,  /**< the target sent nothing for too long */
  CF_N_RETRY_CAUSES,
} CfRetryCause;

const char *cf_retry_cause_name (CfRetryCause c);

/** CfRetryCounts: attempts at one service. */
typedef struct
{
  guint64 first;                      /**< first attempts of requests */
  guint64 repeats[CF_N_RETRY_CAUSES]; /**< attempts after the first */
  guint64 denied; /**< retries not sent, as the budget had no token */
} CfRetryCounts;

/** cf_retry_counts_repeats: the sum of @repeats. */
guint64 cf_retry_counts_repeats (const CfRetryCounts *c);

/**
 * CfRetryRecord:
 * Attempts at one service since the start of the process, and in the present
 * window of time, for metrics and the log.
 */
typedef struct
{
  CfRetryCounts total;
  CfRetryCounts window;
  gint64 window_start_ms; /**< 0: no window has begun */
} CfRetryRecord;

void cf_retry_record_add_first (CfRetryRecord *r);

void cf_retry_record_add_repeat (CfRetryRecord *r, CfRetryCause cause);

/** cf_retry_record_remove_first: a first attempt could not be sent. */
void cf_retry_record_remove_first (CfRetryRecord *r);

/** cf_retry_record_remove_repeat: a later attempt could not be sent. */
void cf_retry_record_remove_repeat (CfRetryRecord *r, CfRetryCause cause);

void cf_retry_record_add_denied (CfRetryRecord *r);

/**
 * cf_retry_record_end_window:
 * Ends the present window if it is @window_ms old, and begins the next.
 * @out: (out): the counts of the window that ended
 * Returns: %TRUE if a window ended that had repeats, or retries not sent.
 */
gboolean cf_retry_record_end_window (CfRetryRecord *r, gint64 window_ms,
                                     gint64 now_ms, CfRetryCounts *out);
