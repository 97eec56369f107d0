#pragma once

#include <glib.h>

/**
 * CfHoldLease:
 * A standby's view of a leader that holds a pass of a group.  The whole group
 * waits while a pass is held, so the leader keeps renewing a short lease with
 * the gateways that may succeed it.  Once the lease expires, the first of them
 * takes over, sooner than the agents would report that the leader is gone.
 */
typedef struct
{
  gint64 fence;      /**< highest fencing token of a recent lease */
  gboolean held;     /**< whether that leader holds a pass */
  gint64 renewed_ms; /**< when it last sent its lease */
} CfHoldLease;

/** Interval at which a leader renews its lease while it holds a pass. */
#define CF_HOLD_LEASE_RENEW_MS 50

/**
 * cf_hold_lease_renew:
 * @fence: fencing token of the leader; ignored if a leader with a higher one
 *   has succeeded it
 * @held: whether the leader holds a pass
 */
void cf_hold_lease_renew (CfHoldLease *l, gint64 fence, gboolean held,
                          gint64 now_ms);

/** cf_hold_lease_is_active: whether a leader may be holding a pass, as far as
 * this standby knows. */
gboolean cf_hold_lease_is_active (const CfHoldLease *l, gint64 now_ms);

/**
 * cf_hold_lease_has_expired:
 * @n_ahead: number of standbys that are to take over before this one; each is
 *   given time to do so
 */
gboolean cf_hold_lease_has_expired (const CfHoldLease *l, int n_ahead,
                                    gint64 now_ms);
