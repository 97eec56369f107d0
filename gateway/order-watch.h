#pragma once

#include "rank.h"

#include <glib.h>

/**
 * CfOrderWatch:
 * Whether a rank's agent still delivers its orders.  A VM may freeze while its
 * link looks alive; if its rank was ordered to hold a pass just before, the
 * whole group waits.  An agent that lost an order is therefore bypassed, and
 * orders go to the rank directly, until the agent reports again.
 */
typedef struct
{
  gint64 seq;     /**< sequence number of the unanswered order; 0: none */
  gint64 sent_ms; /**< when that order was sent */
  guint n_lost;   /**< orders in a row that the agent did not answer */
} CfOrderWatch;

/** cf_order_watch_note_sent: an order was sent; an earlier one that is still
 * unanswered counts as lost. */
void cf_order_watch_note_sent (CfOrderWatch *w, gint64 seq, gint64 now_ms);

/** cf_order_watch_note_answer: the agent answered order @seq; %FALSE if that
 * is not the order that is waited for. */
gboolean cf_order_watch_note_answer (CfOrderWatch *w, gint64 seq);

/** cf_order_watch_check_expiry: whether the unanswered order has timed out;
 * %TRUE once for each order, which then counts as lost. */
gboolean cf_order_watch_check_expiry (CfOrderWatch *w, gint64 now_ms);

/** cf_order_watch_note_status: the agent reported its rank's status. */
void cf_order_watch_note_status (CfOrderWatch *w);

/** cf_order_watch_is_agent_bypassed: whether all orders go to the rank
 * directly. */
gboolean cf_order_watch_is_agent_bypassed (const CfOrderWatch *w);

/**
 * cf_order_watch_is_sent_direct:
 * Whether an order goes to the rank directly.  Orders that halt the whole
 * group, or end the halt, must not wait for one agent; all others go through
 * the agents, where a delay costs the group nothing.
 */
gboolean cf_order_watch_is_sent_direct (const CfOrderWatch *w,
                                        CfRankOrderKind kind);
