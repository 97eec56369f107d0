#include "rate-limit.h"

#include <math.h>

/** Minimum share of an owner: a limit is divided among as many owners as can
 * have this rate, but at least one and at most all gateways. */
#define MIN_SHARE_PER_S 1.0
/** Capacity of an owner's token bucket, as the time in which its share fills
 * it; it is at least one token. */
#define BURST_S 0.25
/** Peers' updates are delayed by the network, and the ages in them are rounded,
 * so an update has to be newer by more than this to replace the known limit. */
#define PEER_SKEW_MS 100
/** How long hello messages include a limit that was lifted. */
#define LIFTED_ANNOUNCE_MS 10000
/** A smaller relative change is announced only with the next hello message. */
#define NOTABLE_CHANGE_FRACTION 0.1

static gboolean
is_notable (double before, double after)
{
  return fabs (after - before) > NOTABLE_CHANGE_FRACTION * fmax (before, after);
}

static gboolean
set_rate (CfRateLimit *l, double per_s, gint64 received_ms, gint64 now_ms)
{
  double before = l->per_s;

  if (before == 0)
    {
      l->tokens = 0;
      l->refilled_ms = now_ms;
    }
  l->per_s = per_s;
  l->received_ms = received_ms;
  return is_notable (before, per_s);
}

gboolean
cf_rate_limit_update (CfRateLimit *l, double per_s, gint64 now_ms)
{
  if (per_s == 0 && l->received_ms == 0)
    return FALSE;
  return set_rate (l, per_s, now_ms, now_ms);
}

gboolean
cf_rate_limit_update_from_peer (CfRateLimit *l, double per_s,
                                gint64 received_ms, gint64 now_ms)
{
  if (l->received_ms != 0 && received_ms <= l->received_ms + PEER_SKEW_MS)
    return FALSE;
  return set_rate (l, per_s, received_ms, now_ms);
}

gboolean
cf_rate_limit_is_announced (const CfRateLimit *l, gint64 now_ms)
{
  return l->per_s > 0
         || (l->received_ms != 0
             && now_ms - l->received_ms <= LIFTED_ANNOUNCE_MS);
}

double
cf_rate_limit_share (const CfRateLimit *l, const char *id,
                     CfFleetPosition fleet_position)
{
  guint n = MAX (fleet_position.n, 1);
  guint max = l->max_owners ? MIN (l->max_owners, n) : n;
  guint n_owners = (guint)CLAMP (l->per_s / MIN_SHARE_PER_S, 1.0, (double)max);
  guint first = g_str_hash (id) % n;
  guint offset = (fleet_position.index % n + n - first) % n;

  return offset < n_owners ? l->per_s / n_owners : 0;
}

gboolean
cf_rate_limit_may_send (CfRateLimit *l, const char *id,
                        CfFleetPosition fleet_position, gint64 now_ms)
{
  double share;

  if (l->per_s == 0)
    return TRUE;
  share = cf_rate_limit_share (l, id, fleet_position);
  l->tokens += share * (double)(now_ms - l->refilled_ms) / 1000;
  l->tokens = fmin (l->tokens, fmax (share * BURST_S, 1));
  l->refilled_ms = now_ms;
  return share > 0 && l->tokens >= 1;
}

void
cf_rate_limit_consume (CfRateLimit *l)
{
  if (l->per_s > 0)
    l->tokens -= 1;
}
