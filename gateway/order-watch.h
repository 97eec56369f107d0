#pragma once

#include "rank.h"

#include <glib.h>

/**
 * CfOrderWatch:
 * Whether a rank's agent still passes on the orders it is given.  A VM may
 * stand still while its link looks alive, and a rank may have been told to
 * hold a pass just before: the whole group waits.  An agent that lost an
 * order is passed by, until it is heard of again.
 */
typedef struct
{
  gint64 seq;     /**< of the order that is unanswered; 0: none */
  gint64 sent_ms; /**< when it was given */
  guint n_lost;   /**< orders in a row that the agent did not answer */
} CfOrderWatch;

/** cf_order_watch_note_sent: an order was given; one given before that is still
 * unanswered counts as lost. */
void cf_order_watch_note_sent (CfOrderWatch *w, gint64 seq, gint64 now_ms);

/** cf_order_watch_note_answer: %FALSE if another order has been given since. */
gboolean cf_order_watch_note_answer (CfOrderWatch *w, gint64 seq);

/** cf_order_watch_check_expiry: whether the order is lost by now; said once. */
gboolean cf_order_watch_check_expiry (CfOrderWatch *w, gint64 now_ms);

/** cf_order_watch_note_report: the agent told of its rank. */
void cf_order_watch_note_report (CfOrderWatch *w);

/** cf_order_watch_is_agent_bypassed: whether all orders go to the rank itself.
 */
gboolean cf_order_watch_is_agent_bypassed (const CfOrderWatch *w);

/**
 * cf_order_watch_is_sent_direct:
 * Whether an order goes to the rank itself.  What holds the whole group, or
 * ends that, does not wait for one agent's turn; all else goes through the
 * agents, where it costs nothing.
 */
gboolean cf_order_watch_is_sent_direct (const CfOrderWatch *w,
                                        CfRankOrderKind kind);
