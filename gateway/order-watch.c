#include "order-watch.h"

/** An order that the agent has not answered within this time is lost; the
 * agent tries to deliver it for up to 0.1 s. */
#define ANSWER_TIMEOUT_MS 130
/** Orders lost in a row after which the agent is bypassed. */
#define BYPASS_AFTER_LOST 1

void
cf_order_watch_note_sent (CfOrderWatch *w, gint64 seq, gint64 now)
{
  if (w->seq)
    w->n_lost++;
  w->seq = seq;
  w->sent_ms = now;
}

gboolean
cf_order_watch_note_answer (CfOrderWatch *w, gint64 seq)
{
  if (w->seq != seq)
    return FALSE;
  w->seq = 0;
  w->n_lost = 0;
  return TRUE;
}

gboolean
cf_order_watch_check_expiry (CfOrderWatch *w, gint64 now)
{
  if (!w->seq || now - w->sent_ms <= ANSWER_TIMEOUT_MS)
    return FALSE;
  w->seq = 0;
  w->n_lost++;
  return TRUE;
}

void
cf_order_watch_note_status (CfOrderWatch *w)
{
  w->n_lost = 0;
}

gboolean
cf_order_watch_is_agent_bypassed (const CfOrderWatch *w)
{
  return w->n_lost >= BYPASS_AFTER_LOST;
}

gboolean
cf_order_watch_is_sent_direct (const CfOrderWatch *w, CfRankOrderKind kind)
{
  return cf_rank_order_is_blocking (kind)
         || cf_order_watch_is_agent_bypassed (w);
}
