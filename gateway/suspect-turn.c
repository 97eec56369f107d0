#include "suspect-turn.h"

/** Length of a turn: a request is sent, crashes its target, and the other
 * gateways are notified. */
#define TURN_MS 400
/** The end of a turn in which nothing is sent, since gateways know the time of
 * a crash only to about this precision. */
#define GUARD_MS 100
/** Number of turns in a cycle at most.  Larger fleets share turns, so that
 * callers of a request that is suspected by mistake do not wait for too long.
 */
#define TURNS_MAX 8

static guint
count_turns (CfFleetPosition position)
{
  return CLAMP (position.n, 1, TURNS_MAX);
}

gint64
cf_suspect_turn_cycle_ms (CfFleetPosition position)
{
  return (gint64)count_turns (position) * TURN_MS;
}

gint64
cf_suspect_turn_wait_ms (gint64 since_crash_ms, const CfRequestDigest *d,
                         CfFleetPosition position)
{
  guint n = count_turns (position);
  gint64 cycle_ms = cf_suspect_turn_cycle_ms (position);
  gint64 turn = (position.index + d->bytes[0]) % n;
  gint64 in_cycle_ms = MAX (since_crash_ms, 0) % cycle_ms;
  gint64 begin_ms = turn * TURN_MS;

  if (in_cycle_ms >= begin_ms && in_cycle_ms < begin_ms + TURN_MS - GUARD_MS)
    return 0;
  return (begin_ms - in_cycle_ms + cycle_ms) % cycle_ms;
}
