#include "hold-lease.h"

/** The lease outlasts the pause of 100 ms or more between two renewals that
 * occurs at a leader with little processor time. */
#define LEASE_MS 250
/** Time in which a standby takes over and the standbys after it learn of it. */
#define TAKEOVER_MS 250
/** An older lease no longer tells whether a pass is held. */
#define MAX_AGE_MS 10000

void
cf_hold_lease_renew (CfHoldLease *l, gint64 fence, gboolean held, gint64 now)
{
  if (fence < l->fence && now - l->renewed_ms < MAX_AGE_MS)
    return;
  l->fence = fence;
  l->held = held;
  l->renewed_ms = now;
}

gboolean
cf_hold_lease_is_active (const CfHoldLease *l, gint64 now)
{
  return l->held && now - l->renewed_ms < MAX_AGE_MS;
}

gboolean
cf_hold_lease_has_expired (const CfHoldLease *l, int n_ahead, gint64 now)
{
  return cf_hold_lease_is_active (l, now)
         && now - l->renewed_ms > LEASE_MS + (gint64)n_ahead * TAKEOVER_MS;
}
