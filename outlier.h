#pragma once

#include <glib.h>

/**
 * CfOutlier:
 * Outlier ejection for one target: its consecutive failures as seen by this
 * process.  A target that fails fast always looks the least loaded, so without
 * ejection it would attract the most work.  After %CF_OUTLIER_FAILURE_THRESHOLD
 * consecutive failures it is ejected, for longer each time it fails again on
 * its return; one success clears the record.
 */
typedef struct
{
  guint failures;          /**< consecutive ones */
  guint ejections;         /**< consecutive ones */
  gint64 ejected_until_ms; /**< 0: never ejected */
} CfOutlier;

/** Consecutive failures that eject a target. */
#define CF_OUTLIER_FAILURE_THRESHOLD 3
/** Duration of the first ejection; each consecutive one is twice as long, up to
 * the maximum. */
#define CF_OUTLIER_BASE_EJECTION_MS 1000
#define CF_OUTLIER_MAX_EJECTION_MS 30000

/** cf_outlier_record_success: records that the target answered. */
void cf_outlier_record_success (CfOutlier *o);

/**
 * cf_outlier_record_failure:
 * Records a failure of the target.
 * @now_ms: by a monotonic clock
 * Returns: for how long this failure ejects the target, in ms; 0 if it does
 *   not.
 */
gint64 cf_outlier_record_failure (CfOutlier *o, gint64 now_ms);

/**
 * cf_outlier_eject:
 * Ejects a target at once that is known to be unusable, as when another
 * instance answers at its address.
 * Returns: for how long, in ms; 0 if it is already ejected.
 */
gint64 cf_outlier_eject (CfOutlier *o, gint64 now_ms);

/** cf_outlier_is_ejected: whether the target should get no requests now. */
gboolean cf_outlier_is_ejected (const CfOutlier *o, gint64 now_ms);
