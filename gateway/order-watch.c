#include "order-watch.h"

/** An order whose agent has not answered by then counts as unanswered: it
 * tries for up to 0.1 s. */
#define LOST_MS 130
/** An agent that lost so many orders in a row is passed by. */
#define LOST_MAX 1

void
cf_order_watch_sent (CfOrderWatch *w, gint64 seq, gint64 now)
{
  if (w->seq)
    w->lost++;
  w->seq = seq;
  w->sent_ms = now;
}

gboolean
cf_order_watch_answered (CfOrderWatch *w, gint64 seq)
{
  if (w->seq != seq)
    return FALSE;
  w->seq = 0;
  w->lost = 0;
  return TRUE;
}

gboolean
cf_order_watch_expired (CfOrderWatch *w, gint64 now)
{
  if (!w->seq || now - w->sent_ms <= LOST_MS)
    return FALSE;
  w->seq = 0;
  w->lost++;
  return TRUE;
}

void
cf_order_watch_heard (CfOrderWatch *w)
{
  w->lost = 0;
}

gboolean
cf_order_watch_is_passed_by (const CfOrderWatch *w)
{
  return w->lost >= LOST_MAX;
}

gboolean
cf_order_watch_goes_direct (const CfOrderWatch *w, CfRankOrderKind kind)
{
  return cf_rank_order_is_blocking (kind) || cf_order_watch_is_passed_by (w);
}
