#pragma once

#include <glib.h>

/**
 * CfHoldLease:
 * What a standby knows of a leader that holds a group's pass.  The whole
 * group waits while a pass is held, so its leader renews a short lease with
 * the gateways that may succeed it, and the next in line takes over as soon
 * as the lease expires, before agents would report the leader gone.
 */
typedef struct
{
  gint64 fence;      /**< the highest token of a leader that was heard */
  gboolean held;     /**< that leader holds a pass */
  gint64 renewed_ms; /**< when it said so last */
} CfHoldLease;

/** How often a leader renews its lease while it holds a pass. */
#define CF_HOLD_LEASE_RENEW_MS 50

/** cf_hold_lease_renew: the leader with token @fence holds a pass, or does
 * so no longer; one that another has succeeded is ignored. */
void cf_hold_lease_renew (CfHoldLease *l, gint64 fence, gboolean held,
                          gint64 now_ms);

/** cf_hold_lease_is_open: whether a leader may hold a pass, as far as is
 * known. */
gboolean cf_hold_lease_is_open (const CfHoldLease *l, gint64 now_ms);

/**
 * cf_hold_lease_has_expired:
 * @place: how many standbys come before this one; each is given time to take
 *   over before the next one does
 */
gboolean cf_hold_lease_has_expired (const CfHoldLease *l, int place,
                                    gint64 now_ms);
