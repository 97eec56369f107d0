#include "store-poll.h"

/** The store answers one of the seeds at this interval.  After answers were
 * lost, the next one comes within this time, a response timeout and a backoff.
 */
#define SEED_INTERVAL_MS 1000
/** Limits of the wait of a gateway that relies on seeds.  TCP keep-alive
 * detects a silent connection in about 3 s. */
#define WAIT_MIN_MS 5000
#define WAIT_MAX_MS 30000
/** Calls per second that those gateways make on a watch without changes. */
#define IDLE_CALLS_PER_S 7
/** Time for a change to arrive from the store after a peer has read it. */
#define CHANGE_GRACE_MS 400

gint64
cf_store_poll_wait_ms (const CfStorePollTurn *turn, guint fleet_size,
                       gboolean is_in_step)
{
  if (!turn->relies_on_seed)
    return SEED_INTERVAL_MS
           * (gint64)(is_in_step ? turn->seed_rank + 1
                                 : MAX (turn->n_seeds, 1));
  return CLAMP ((gint64)fleet_size * 1000 / IDLE_CALLS_PER_S, WAIT_MIN_MS,
                WAIT_MAX_MS);
}

void
cf_store_lag_note (CfStoreLag *l, CfStorePosition own, CfStorePosition peer,
                   gint64 now_ms)
{
  if (!cf_store_position_is_older (own, peer))
    return;
  if (!l->behind_since_ms || cf_store_position_is_older (l->pos, peer))
    l->pos = peer;
  if (!l->behind_since_ms)
    l->behind_since_ms = now_ms;
}

gboolean
cf_store_lag_is_overdue (CfStoreLag *l, CfStorePosition own, gint64 now_ms)
{
  if (!l->behind_since_ms)
    return FALSE;
  if (!cf_store_position_is_older (own, l->pos))
    {
      l->behind_since_ms = 0;
      return FALSE;
    }
  if (now_ms - l->behind_since_ms < CHANGE_GRACE_MS)
    return FALSE;
  l->behind_since_ms = now_ms;
  return TRUE;
}
