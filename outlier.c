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
  /* Those still on their way when it was ejected tell nothing new. */
  if (cf_outlier_is_ejected (o, now_ms))
    return 0;
  o->failures++;
  /* Back from an ejection, the first failure is enough. */
  if (o->failures < CF_OUTLIER_FAILURE_THRESHOLD && o->ejections == 0)
    return 0;
  return cf_outlier_eject (o, now_ms);
}

gint64
cf_outlier_eject (CfOutlier *o, gint64 now_ms)
{
  gint64 ms;

  if (cf_outlier_is_ejected (o, now_ms))
    return 0;
  ms = MIN ((gint64)CF_OUTLIER_BASE_EJECTION_MS << MIN (o->ejections, 10),
            CF_OUTLIER_MAX_EJECTION_MS);
  o->ejections++;
  o->failures = 0;
  o->until_ms = now_ms + ms;
  return ms;
}

gboolean
cf_outlier_is_ejected (const CfOutlier *o, gint64 now_ms)
{
  return now_ms < o->until_ms;
}
