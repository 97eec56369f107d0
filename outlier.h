#pragma once

#include <glib.h>

/**
 * CfOutlier:
 * One target's record of failures in a row, as this process met them.  A
 * target that fails fast always looks the least loaded, so without this it
 * would draw the most work.  After %CF_OUTLIER_FAILURE_THRESHOLD in a row it is
 * ejected, for longer each time it fails again on its return; one success
 * clears the record.
 */
typedef struct
{
  guint failures;  /**< in a row */
  guint ejections; /**< in a row */
  gint64 until_ms; /**< ejected until then; 0 if never */
} CfOutlier;

/** Failures in a row that eject a target. */
#define CF_OUTLIER_FAILURE_THRESHOLD 3
/** How long the first ejection lasts; each in a row doubles it. */
#define CF_OUTLIER_BASE_EJECTION_MS 1000
#define CF_OUTLIER_MAX_EJECTION_MS 30000

/** cf_outlier_record_success: the target answered. */
void cf_outlier_record_success (CfOutlier *o);

/**
 * cf_outlier_record_failure:
 * @now_ms: a monotonic clock, in ms
 * Returns: how long the target is ejected for by this failure, in ms; 0 if
 *   it is not.
 */
gint64 cf_outlier_record_failure (CfOutlier *o, gint64 now_ms);

/**
 * cf_outlier_eject:
 * The target is known to be of no use now, as when its address answers that
 * another start is there: it is ejected at once.
 * Returns: for how long, in ms; 0 if it is ejected already.
 */
gint64 cf_outlier_eject (CfOutlier *o, gint64 now_ms);

/** cf_outlier_is_ejected: whether the target should get no work now. */
gboolean cf_outlier_is_ejected (const CfOutlier *o, gint64 now_ms);
