#pragma once

#include "demand.h"

/**
 * CfFleetDemand:
 * The demand of other gateways at one service.  Gateways have links only to
 * seeds, so a gateway that is no seed knows the others through the sums that
 * seeds send.  What was received is used for 2.5 s.  Tables have to be valid
 * (cf_demand_table_is_valid()).
 */
typedef struct
{
  GHashTable *direct;  /**< (nullable): gateway -> its own table */
  GHashTable *relayed; /**< (nullable): seed -> its sum over other gateways */
  CfDemandTable sum;   /**< of the direct tables */
  guint n_summed;      /**< gateways in @sum */
  gint64 summed_ms;    /**< when @sum was last made anew */
  double slots_sent;   /**< total of @sum when it was last sent */
} CfFleetDemand;

void cf_fleet_demand_clear (CfFleetDemand *f);

/** CfFleetDemandResult: whether what a gateway has stated is used. */
typedef enum
{
  CF_FLEET_DEMAND_USED,
  CF_FLEET_DEMAND_ERRATIC, /**< it goes up and down with each message */
  CF_FLEET_DEMAND_TOO_MANY /**< too many gateways have stated demand */
} CfFleetDemandResult;

/** cf_fleet_demand_put_direct: gateway @addr states its own demand. */
CfFleetDemandResult cf_fleet_demand_put_direct (CfFleetDemand *f,
                                                const char *addr,
                                                const CfDemandTable *own,
                                                gint64 now_ms);

/**
 * cf_fleet_demand_put_relayed:
 * Gateway @addr states the sum over @n_gateways gateways, without itself and
 * this one.
 */
CfFleetDemandResult cf_fleet_demand_put_relayed (CfFleetDemand *f,
                                                 const char *addr,
                                                 guint n_gateways,
                                                 const CfDemandTable *others,
                                                 gint64 now_ms);

/** cf_fleet_demand_remove: forgets what @addr has stated. */
void cf_fleet_demand_remove (CfFleetDemand *f, const char *addr);

/**
 * cf_fleet_demand_get_others:
 * Drops expired tables from the sum of the direct ones.
 * @out: (out): the demand of all other gateways, as far as it is known: direct
 *   tables, or a relayed sum and its sender's own table, whichever covers more
 * Returns: the number of gateways that it covers.
 */
guint cf_fleet_demand_get_others (CfFleetDemand *f, gint64 now_ms,
                                  CfDemandTable *out);

/**
 * cf_fleet_demand_sum_direct:
 * The sum of the direct tables, with those that have expired since the latest
 * cf_fleet_demand_get_others().  A seed sends one to each gateway; the sum is
 * kept, since adding up all tables for each would take it 80 ms in a fleet of
 * 208.
 * @except: (nullable): gateway to leave out
 * @out: (out): the sum
 * Returns: the number of gateways that it covers.
 */
guint cf_fleet_demand_sum_direct (const CfFleetDemand *f, const char *except,
                                  CfDemandTable *out);

/** cf_fleet_demand_note_sent: the sums of the direct tables were sent. */
void cf_fleet_demand_note_sent (CfFleetDemand *f);

/**
 * cf_fleet_demand_has_changed:
 * Whether the sum for one of the gateways, without its own table, differs by
 * more than @min_slots slots and by more than the fraction @min_fraction from
 * what was last sent.  The sum of all tables does not show demand that moves
 * from one gateway to another.
 */
gboolean cf_fleet_demand_has_changed (const CfFleetDemand *f, double min_slots,
                                      double min_fraction);
