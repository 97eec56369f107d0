#include "hold-lease.h"

/** A leader whose processor is capped may pause for 100 ms and more between
 * two renewals. */
#define LEASE_MS 250
/** A standby takes over, and is heard by those after it, within this. */
#define TURN_MS 250
/** Past this age a lease says nothing of what is held now. */
#define FORGET_MS 10000

void
cf_hold_lease_renew (CfHoldLease *l, gint64 fence, gboolean held, gint64 now)
{
  if (fence < l->fence && now - l->renewed_ms < FORGET_MS)
    return;
  l->fence = fence;
  l->held = held;
  l->renewed_ms = now;
}

gboolean
cf_hold_lease_is_open (const CfHoldLease *l, gint64 now)
{
  return l->held && now - l->renewed_ms < FORGET_MS;
}

gboolean
cf_hold_lease_has_expired (const CfHoldLease *l, int place, gint64 now)
{
  return cf_hold_lease_is_open (l, now)
         && now - l->renewed_ms > LEASE_MS + (gint64)place * TURN_MS;
}
