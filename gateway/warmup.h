#pragma once

#include "rate-limit.h"

#include <glib.h>

/** CfWarmupRule: how fast a service's targets may be sent requests while they
 * are cold. */
typedef struct
{
  gboolean is_set;   /**< the service states a rate */
  double per_s;      /**< that a cold target tolerates from all gateways */
  double max_factor; /**< the platform's bound: in any second no more than
                          @per_s times this... */
  double slack;      /**< ...and this many requests */
} CfWarmupRule;

/**
 * CfWarmup:
 * The time in which a target is cold: just after its start, or when its caches
 * were lost.  It crashes if requests come much faster than it tolerates.
 */
typedef struct
{
  gint64 until_ms;   /**< cold until then; 0: warm */
  CfRateLimit limit; /**< for this gateway, while it is cold */
  guint n_rejected;  /**< answers whose warm-up time is invalid */
} CfWarmup;

/** cf_warmup_set: the target said that it stays cold for @left_ms; 0: it is
 * warm. */
void cf_warmup_set (CfWarmup *w, gint64 left_ms, gint64 now_ms);

/** cf_warmup_is_cold: whether the target is cold now. */
gboolean cf_warmup_is_cold (const CfWarmup *w, gint64 now_ms);

/** cf_warmup_share_per_s: requests per second that this gateway may send to the
 * cold target @id; 0: it leaves it to others, or does not know the fleet. */
double cf_warmup_share_per_s (const CfWarmupRule *rule, const char *id,
                              CfFleetPosition fleet_position);

/**
 * cf_warmup_may_send:
 * @rule: (nullable): of its service
 * @fleet_position: with 0 gateways if the fleet is not known; a cold target
 *   then gets nothing
 * Returns: whether a request may be sent to the target @id now.
 */
gboolean cf_warmup_may_send (CfWarmup *w, const CfWarmupRule *rule,
                             const char *id, CfFleetPosition fleet_position,
                             gint64 now_ms);

/** cf_warmup_consume: counts a request that is sent. */
void cf_warmup_consume (CfWarmup *w, gint64 now_ms);
