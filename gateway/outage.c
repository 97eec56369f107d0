#include "outage.h"

/** Between two probes: a refusal comes back within some ms, and a group that
 * opens again is seen this late at most. */
#define PROBE_MS 100
/** A group that formed anew has a better map within this. */
#define RECENT_MS 500
/** A rank that lost power is back, and its group open, well within this. */
#define LONG_MS 5000

gboolean
cf_outage_record_refusal (CfOutage *o, gint64 now)
{
  if (o->since_ms)
    return FALSE;
  o->since_ms = now;
  o->probe_ms = now;
  return TRUE;
}

gint64
cf_outage_record_answer (CfOutage *o, gint64 now)
{
  gint64 ms = o->since_ms ? MAX (now - o->since_ms, 1) : 0;

  if (o->since_ms)
    o->over_ms = now;
  o->since_ms = 0;
  return ms;
}

gboolean
cf_outage_is_long (const CfOutage *o, gint64 now)
{
  return o->since_ms && now - o->since_ms > LONG_MS;
}

gboolean
cf_outage_has_ended_recently (const CfOutage *o, gint64 now)
{
  return o->over_ms && now - o->over_ms < RECENT_MS;
}

gboolean
cf_outage_is_blocking (const CfOutage *o, gint64 now)
{
  return o->since_ms != 0 && now - o->probe_ms < PROBE_MS;
}

void
cf_outage_record_send (CfOutage *o, gint64 now)
{
  o->probe_ms = now;
}
