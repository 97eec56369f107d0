#pragma once

#include <glib.h>

/**
 * CfRateLimit:
 * The rate of requests that a target accepts from all gateways together, as its
 * answers state it.
 *
 * Gateways do not see one another's requests, so each keeps to a share that it
 * computes by itself: a few owners, determined by the target's id and the order
 * of the gateways, have equal shares, and the other gateways send the target
 * nothing.  If every gateway had a share, the shares would be so small that one
 * request from each at the same time would exceed the rate.
 */
typedef struct
{
  double per_s;       /**< 0: the target states no limit */
  gint64 received_ms; /**< when the answer with this limit arrived, at this
                        gateway or a peer; 0: the target never stated one */
  double tokens;      /**< requests that may be sent now */
  gint64 refilled_ms; /**< when @tokens was last filled */
  guint max_owners;   /**< gateways that may have a share; 0: any number */
} CfRateLimit;

/** CfFleetPosition: this gateway's position in the order of all @n gateways. */
typedef struct
{
  guint index;
  guint n;
} CfFleetPosition;

/**
 * cf_rate_limit_update:
 * Records the limit that an answer states.
 * @per_s: 0: the answer states none
 * Returns: whether peers should be notified at once.
 */
gboolean cf_rate_limit_update (CfRateLimit *l, double per_s, gint64 now_ms);

/**
 * cf_rate_limit_update_from_peer:
 * Records the limit that a peer has from an answer.  If none was known, tokens
 * are earned from now on: an earlier process may have used those of before.
 * @received_ms: when the answer arrived there, by this gateway's clock
 * Returns: as cf_rate_limit_update()
 */
gboolean cf_rate_limit_update_from_peer (CfRateLimit *l, double per_s,
                                         gint64 received_ms, gint64 now_ms);

/** cf_rate_limit_is_announced: whether hello messages include the limit, for
 * peers that missed the change. */
gboolean cf_rate_limit_is_announced (const CfRateLimit *l, gint64 now_ms);

/** cf_rate_limit_share: requests per second that this gateway may send to the
 * target @id, which has a limit; 0: the gateway is not an owner. */
double cf_rate_limit_share (const CfRateLimit *l, const char *id,
                            CfFleetPosition fleet_position);

/** cf_rate_limit_may_send: refills the token bucket, and returns whether a
 * request may be sent to the target @id now. */
gboolean cf_rate_limit_may_send (CfRateLimit *l, const char *id,
                                 CfFleetPosition fleet_position, gint64 now_ms);

/** cf_rate_limit_consume: takes a token for a request that is sent. */
void cf_rate_limit_consume (CfRateLimit *l);
