#pragma once

#include <glib.h>

/**
 * CfRateLimit:
 * The rate of requests that a target takes from all gateways together, as it
 * names it in its answers.
 *
 * Gateways do not see one another's requests, so that each keeps to a part that
 * it works out by itself: a few gateways, found by the target's id and the
 * order of the gateways, own equal parts, and the others send the target
 * nothing. Parts of all gateways would be so small that even a single request
 * of each at the same time exceeded the rate.
 */
typedef struct
{
  double per_s;    /**< 0: the target names no limit */
  gint64 heard_ms; /**< when the answer that says so came, at whichever gateway;
                        0: it never named one */
  double tokens;   /**< requests that may be sent now */
  gint64 filled_ms; /**< when @tokens was last filled */
} CfRateLimit;

/** CfFleetPlace: this gateway's place in the order of all gateways. */
typedef struct
{
  guint index;
  guint n;
} CfFleetPlace;

/**
 * cf_rate_limit_update:
 * An answer came that names @per_s, or none.
 * Returns: whether peers should be notified at once.
 */
gboolean cf_rate_limit_update (CfRateLimit *l, double per_s, gint64 now_ms);

/**
 * cf_rate_limit_update_from_peer:
 * A peer says that an answer came at @heard_ms by this gateway's clock.
 * Returns: as cf_rate_limit_update()
 */
gboolean cf_rate_limit_update_from_peer (CfRateLimit *l, double per_s,
                                         gint64 heard_ms);

/** cf_rate_limit_is_announced: whether greetings name it, for peers that
 * missed the change. */
gboolean cf_rate_limit_is_announced (const CfRateLimit *l, gint64 now_ms);

/** cf_rate_limit_share: requests a second that this gateway may send to target
 * @id, which has a limit. */
double cf_rate_limit_share (const CfRateLimit *l, const char *id,
                            CfFleetPlace place);

/** cf_rate_limit_may_send: whether a request may be sent to target @id now. */
gboolean cf_rate_limit_may_send (CfRateLimit *l, const char *id,
                                 CfFleetPlace place, gint64 now_ms);

/** cf_rate_limit_consume: one is sent. */
void cf_rate_limit_consume (CfRateLimit *l);
