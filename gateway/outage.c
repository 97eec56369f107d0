#include "outage.h"

/** Time between two probes.  A refusal comes back within a few ms, so that a
 * group that opens again is noticed at most this late. */
#define PROBE_INTERVAL_MS 100
/** A re-formed group gets a better expert map within this time. */
#define RECENT_END_MS 500
/** A rank that lost power is back, and its group open again, well within this
 * time. */
#define LONG_OUTAGE_MS 5000

gboolean
cf_outage_record_refusal (CfOutage *o, gint64 now)
{
  if (o->since_ms)
    return FALSE;
  o->since_ms = now;
  o->last_probe_ms = now;
  return TRUE;
}

gint64
cf_outage_record_answer (CfOutage *o, gint64 now)
{
  gint64 duration_ms = o->since_ms ? MAX (now - o->since_ms, 1) : 0;

  if (o->since_ms)
    o->ended_ms = now;
  o->since_ms = 0;
  return duration_ms;
}

gboolean
cf_outage_is_long (const CfOutage *o, gint64 now)
{
  return o->since_ms && now - o->since_ms > LONG_OUTAGE_MS;
}

gboolean
cf_outage_has_ended_recently (const CfOutage *o, gint64 now)
{
  return o->ended_ms && now - o->ended_ms < RECENT_END_MS;
}

gboolean
cf_outage_is_blocking (const CfOutage *o, gint64 now)
{
  return o->since_ms != 0 && now - o->last_probe_ms < PROBE_INTERVAL_MS;
}

void
cf_outage_record_send (CfOutage *o, gint64 now)
{
  o->last_probe_ms = now;
}
