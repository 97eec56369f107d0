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
  guint lost;     /**< orders in a row that the agent did not answer */
} CfOrderWatch;

/** cf_order_watch_sent: an order was given; one given before that is still
 * unanswered counts as lost. */
void cf_order_watch_sent (CfOrderWatch *w, gint64 seq, gint64 now_ms);

/** cf_order_watch_answered: %FALSE if another order has been given since. */
gboolean cf_order_watch_answered (CfOrderWatch *w, gint64 seq);

/** cf_order_watch_expired: whether the order is lost by now; said once. */
gboolean cf_order_watch_expired (CfOrderWatch *w, gint64 now_ms);

/** cf_order_watch_heard: the agent told of its rank. */
void cf_order_watch_heard (CfOrderWatch *w);

/** cf_order_watch_is_passed_by: whether all orders go to the rank itself. */
gboolean cf_order_watch_is_passed_by (const CfOrderWatch *w);

/**
 * cf_order_watch_goes_direct:
 * Whether an order goes to the rank itself.  What holds the whole group, or
 * ends that, does not wait for one agent's turn; all else goes through the
 * agents, where it costs nothing.
 */
gboolean cf_order_watch_goes_direct (const CfOrderWatch *w,
                                     CfRankOrderKind kind);
