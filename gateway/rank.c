#include "rank.h"

/** A group that is incomplete for longer than this counts as unusable.  With
 * less, a group in which a rank is being replaced would be avoided even after
 * it runs passes again. */
#define BROKEN_GRACE_MS 5000
/** Slowdown factor of a rank whose group is unusable. */
#define BROKEN_SLOWDOWN 100

double
cf_rank_routing_slowdown (const CfRankStatus *s, gint64 broken_ms)
{
  return broken_ms > BROKEN_GRACE_MS ? MAX (s->slowdown, BROKEN_SLOWDOWN)
                                     : s->slowdown;
}

const char *
cf_rank_order_name (CfRankOrderKind k)
{
  switch (k)
    {
    case CF_ORDER_PREPARE:
      return "prepare";
    case CF_ORDER_ARM:
      return "arm";
    case CF_ORDER_DISARM:
      return "disarm";
    case CF_ORDER_HOLD:
      return "hold";
    case CF_ORDER_RELEASE:
      return "go";
    }
  return "unknown";
}

const char *
cf_rank_ack_name (CfRankAck a)
{
  switch (a)
    {
    case CF_RANK_ACK_DONE:
      return "done";
    case CF_RANK_ACK_REFUSED:
      return "refused";
    case CF_RANK_ACK_FENCED:
      return "fenced";
    case CF_RANK_ACK_UNKNOWN:
      return "unknown";
    }
  return "unknown";
}

gboolean
cf_rank_order_is_blocking (CfRankOrderKind k)
{
  return k == CF_ORDER_HOLD || k == CF_ORDER_RELEASE;
}
