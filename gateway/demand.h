#pragma once

#include <glib.h>

/** Most entries of a #CfDemandTable. */
#define CF_DEMAND_ENTRIES_MAX 24
/** Organisation of an entry that stands for all that have none of their own. */
#define CF_DEMAND_OTHER_ORGS 0U

/** CfDemand: the demand of one organisation at one urgency. */
typedef struct
{
  gint64 urgency; /**< 0 is the most urgent */
  guint32 org;    /**< see cf_demand_org_id(); or %CF_DEMAND_OTHER_ORGS */
  guint n_orgs;   /**< organisations that the entry stands for, at least 1 */
  double slots;   /**< slots wanted: arrival rate times hold time */
} CfDemand;

/**
 * CfDemandTable:
 * Demand at one service, sorted by urgency, then organisation.  If there are
 * more organisations than entries, those with the least demand are merged into
 * the entry %CF_DEMAND_OTHER_ORGS of their urgency; if there are more urgencies
 * than entries, the two least urgent ones are merged into the last.
 */
typedef struct
{
  guint n;
  CfDemand entries[CF_DEMAND_ENTRIES_MAX];
} CfDemandTable;

/** cf_demand_org_id: the id of organisation @org (nullable), never
 * %CF_DEMAND_OTHER_ORGS. */
guint32 cf_demand_org_id (const char *org);

/** cf_demand_table_add: adds @d to the entry of the same urgency and
 * organisation, or as a new entry. */
void cf_demand_table_add (CfDemandTable *t, const CfDemand *d);

/**
 * cf_demand_table_merge:
 * Adds all entries of @from, the demand of another gateway, to @t.  Merged
 * organisations of the two are assumed to be the same ones as far as their
 * numbers allow, since callers usually use all gateways.
 */
void cf_demand_table_merge (CfDemandTable *t, const CfDemandTable *from);

/** cf_demand_table_subtract: takes the demand of @part out of @t, a sum that
 * @part was merged into. */
void cf_demand_table_subtract (CfDemandTable *t, const CfDemandTable *part);

/** cf_demand_table_merge_orgs: reduces @t to one entry for each urgency. */
void cf_demand_table_merge_orgs (CfDemandTable *t);

/** cf_demand_table_total: the sum of all slots. */
double cf_demand_table_total (const CfDemandTable *t);

/** cf_demand_table_lookup: the slots of an entry; those of the merged entry of
 * its urgency if the organisation has none of its own; 0 if there is neither.
 */
double cf_demand_table_lookup (const CfDemandTable *t, gint64 urgency,
                               guint32 org);

/** cf_demand_table_is_valid: whether a table received from a peer is sorted and
 * all of its values are in range: numbers, not negative, at most @max_slots in
 * total. */
gboolean cf_demand_table_is_valid (const CfDemandTable *t, double max_slots);

/**
 * CfDemandMeter:
 * This process's demand at one service by urgency and organisation: smoothed
 * arrival rates times the mean hold time.  Organisations are forgotten once
 * their rate has decayed, and bounded in number.
 */
typedef struct
{
  GHashTable *rates; /**< (nullable): of smoothed rates by urgency and org */
  guint n_orgs;      /**< entries of @rates that are of one organisation */
  double hold_ms;    /**< mean time from sending to the end; 0: unknown */
  guint n_holds;     /**< samples of @hold_ms, up to the number it averages */
  gint64 urgency;    /**< of the latest request */
  guint32 org;       /**< of the latest request */
} CfDemandMeter;

void cf_demand_meter_clear (CfDemandMeter *m);

/** cf_demand_meter_add_arrival: a request arrived. */
void cf_demand_meter_add_arrival (CfDemandMeter *m, gint64 urgency, guint32 org,
                                  gint64 now_ms);

/** cf_demand_meter_add_hold: a request left its target @ms after it was sent.
 */
void cf_demand_meter_add_hold (CfDemandMeter *m, gint64 ms);

/**
 * cf_demand_meter_read:
 * Writes the current demand to @out, and forgets organisations whose rate has
 * decayed.
 * @in_flight: requests at targets
 * @waiting: requests waiting for a slot
 * The demand is not less than both together: a share then follows a sudden
 * skew before the rates do, within the time that requests may wait.  What the
 * rates lack for those that wait is demand of the least urgent level.
 */
void cf_demand_meter_read (CfDemandMeter *m, guint in_flight, guint waiting,
                           gint64 now_ms, CfDemandTable *out);
