#include "demand-watch.h"

/** Ranks send the choices of experts at least once a second. */
#define DEMAND_TIMEOUT_MS 3000
/** Without any status for this long, it is the ranks that are silent. */
#define STATUS_TIMEOUT_MS 2500

void
cf_demand_watch_note_status (CfDemandWatch *w, gboolean has_demand,
                             gint64 now_ms)
{
  w->status_ms = now_ms;
  if (has_demand)
    w->demand_ms = now_ms;
}

CfDemandWatchChange
cf_demand_watch_check (CfDemandWatch *w, gboolean is_due, gint64 now_ms)
{
  gboolean hears = w->status_ms && now_ms - w->status_ms < STATUS_TIMEOUT_MS;
  gboolean was_missing = w->is_missing;

  if (!is_due || !hears)
    w->demand_ms = now_ms;
  w->is_missing = now_ms - w->demand_ms >= DEMAND_TIMEOUT_MS;
  if (w->is_missing == was_missing)
    return CF_DEMAND_UNCHANGED;
  return w->is_missing ? CF_DEMAND_MISSING : CF_DEMAND_BACK;
}
