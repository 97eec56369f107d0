#include "rate-limit.h"

#include <math.h>

/** Requests a second that make an owner of a part. */
#define OWNER_PER_S 1.0
/** What an owner may save up of its part, so that a short burst finds it. */
#define BURST_S 0.25
/** Peers' updates are delayed by the network, and ages are rounded; only what
 * is later by more than that replaces what this gateway knows. */
#define PEER_SKEW_MS 100
/** How long greetings name a limit that was lifted. */
#define LIFTED_MS 10000
/** A smaller change is announced with the next greeting. */
#define CHANGE_PART 0.1

static gboolean
is_notable (double before, double after)
{
  return fabs (after - before) > CHANGE_PART * fmax (before, after);
}

static gboolean
set (CfRateLimit *l, double per_s, gint64 heard_ms)
{
  double before = l->per_s;

  if (before == 0)
    {
      l->tokens = 0;
      l->filled_ms = heard_ms;
    }
  l->per_s = per_s;
  l->heard_ms = heard_ms;
  return is_notable (before, per_s);
}

gboolean
cf_rate_limit_update (CfRateLimit *l, double per_s, gint64 now_ms)
{
  if (per_s == 0 && l->heard_ms == 0)
    return FALSE;
  return set (l, per_s, now_ms);
}

gboolean
cf_rate_limit_update_from_peer (CfRateLimit *l, double per_s, gint64 heard_ms)
{
  if (l->heard_ms != 0 && heard_ms <= l->heard_ms + PEER_SKEW_MS)
    return FALSE;
  return set (l, per_s, heard_ms);
}

gboolean
cf_rate_limit_is_announced (const CfRateLimit *l, gint64 now_ms)
{
  return l->per_s > 0
         || (l->heard_ms != 0 && now_ms - l->heard_ms <= LIFTED_MS);
}

double
cf_rate_limit_share (const CfRateLimit *l, const char *id, CfFleetPlace place)
{
  guint n = MAX (place.n, 1);
  guint owners = (guint)CLAMP (l->per_s / OWNER_PER_S, 1.0, (double)n);
  guint first = g_str_hash (id) % n;
  guint behind = (place.index % n + n - first) % n;

  return behind < owners ? l->per_s / owners : 0;
}

gboolean
cf_rate_limit_may_send (CfRateLimit *l, const char *id, CfFleetPlace place,
                        gint64 now_ms)
{
  double part;

  if (l->per_s == 0)
    return TRUE;
  part = cf_rate_limit_share (l, id, place);
  l->tokens += part * (double)(now_ms - l->filled_ms) / 1000;
  l->tokens = fmin (l->tokens, fmax (part * BURST_S, 1));
  l->filled_ms = now_ms;
  return part > 0 && l->tokens >= 1;
}

void
cf_rate_limit_consume (CfRateLimit *l)
{
  if (l->per_s > 0)
    l->tokens -= 1;
}
