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
} CfShareInput;

/** CfShare: this gateway's part of a service's capacity. */
typedef struct
{
  double total;            /**< slots that it may use */
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
 * organisation's.  What is left is divided evenly.  The totals of gateways
 * with the same view add up to the capacity.
 */
void cf_share_compute (const CfShareInput *in, CfShare *out);

/** CfShareBand: a share, and what decides whether it is used or an even one. */
typedef struct
{
  double total;            /**< slots, #CfShare.total */
  double capacity;         /**< slots that are divided; 0: unknown */
  guint n_gateways;        /**< in the fleet, this one included */
  guint n_urgencies;       /**< #CfShare.n_urgencies */
  gboolean contended;      /**< #CfShare.contended */
  gboolean was_uneven;     /**< the last decision for this service was uneven */
  gboolean has_pass_limit; /**< a pass limit reduces the capacity */
} CfShareBand;

/**
 * cf_share_fraction:
 * Shares that differ little from the even one are handled as even.  A smaller
 * one is used only while contended.
 * Returns: the part of the service's slots that this gateway may use, above 0
 *   and up to 1; 0: an even part.
 */
double cf_share_fraction (const CfShareBand *b);

/** cf_share_max_total: the most requests that this gateway may have in flight
 * at the service; 0: its share does not limit them, or was not computed. */
double cf_share_max_total (const CfShareBand *b);
