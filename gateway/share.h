#pragma once

#include "demand.h"

/** CfShareInput: what this gateway's share of a service is computed from. */
typedef struct
{
  double capacity;  /**< slots of all usable targets, or less by a pass limit */
  guint n_gateways; /**< in the fleet, this one included */
  guint n_known;    /**< other gateways that @others covers */
  const CfDemandTable *own;
  const CfDemandTable *others;
  gboolean others_uneven; /**< another gateway has stated that its
                               #CfShare.exact is outside the dead band */
} CfShareInput;

/** CfShare: this gateway's part of a service's capacity. */
typedef struct
{
  double total;            /**< slots that it may use */
  double exact;            /**< @total before the dead band is applied */
  gboolean is_uneven;      /**< @exact is outside the dead band */
  CfDemandTable grants;    /**< slots for each entry of its own demand */
  gboolean contended;      /**< demand exceeds the capacity */
  gint64 admitted_urgency; /**< least urgent level admitted, if contended */
  guint n_urgencies;       /**< levels with demand in the fleet */
} CfShare;

/**
 * cf_share_compute:
 * Divides the capacity among gateways by their demand.  Gateways of unknown
 * demand keep an even share.  Of the rest each urgency gets a floor, then
 * urgencies are served in order; within one, organisations have max-min fair
 * parts, of which each gateway gets the part that its demand is of the
 * organisation's.  What is left is divided evenly.  A total within 20 % of the
 * even share is set to the even share, unless another gateway's is outside:
 * then all use their exact shares, so that the totals add up to the capacity.
 */
void cf_share_compute (const CfShareInput *in, CfShare *out);
