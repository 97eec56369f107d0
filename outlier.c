#include "outlier.h"

#include <string.h>

void
cf_outlier_record_success (CfOutlier *o)
{
  memset (o, 0, sizeof *o);
}

gint64
cf_outlier_record_failure (CfOutlier *o, gint64 now_ms)
{
  /* Requests that were in flight at the ejection give no new evidence. */
  if (cf_outlier_is_ejected (o, now_ms))
    return 0;
  o->failures++;
  /* After an ejection, a single failure ejects the target again. */
  if (o->failures < CF_OUTLIER_FAILURE_THRESHOLD && o->ejections == 0)
    return 0;
  return cf_outlier_eject (o, now_ms);
}

gint64
cf_outlier_eject (CfOutlier *o, gint64 now_ms)
{
  gint64 duration_ms;

  if (cf_outlier_is_ejected (o, now_ms))
    return 0;
  duration_ms
      = MIN ((gint64)CF_OUTLIER_BASE_EJECTION_MS << MIN (o->ejections, 10),
             CF_OUTLIER_MAX_EJECTION_MS);
  o->ejections++;
  o->failures = 0;
  o->ejected_until_ms = now_ms + duration_ms;
  return duration_ms;
}

gboolean
cf_outlier_is_ejected (const CfOutlier *o, gint64 now_ms)
{
  return now_ms < o->ejected_until_ms;
}
