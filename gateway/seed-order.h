#pragma once

#include <glib.h>

/**
 * CfSeedOrder:
 * The order in which seeds take the lead of a rank group.  It starts with the
 * seeds in the data centre of the group, so that the expert counts of its ranks
 * stay there, and continues with the others.  Within both parts the order
 * starts at a seed that differs by group, so that no seed leads all groups.
 */
typedef struct
{
  guint n;                         /**< number of seeds, at most 32 */
  guint first;                     /**< seed at which the order starts */
  const char *const *data_centres; /**< by seed; %NULL: unknown, counts as
                                        another one than the group's */
  const char *group_data_centre;   /**< (nullable): of most of the ranks; %NULL:
                                        all seeds are treated alike */
} CfSeedOrder;

/** cf_seed_order_ahead: a bit mask of the seeds that precede @seed. */
guint cf_seed_order_ahead (const CfSeedOrder *o, guint seed);

/** cf_seed_order_local: a bit mask of the seeds that are in the group's data
 * centre. */
guint cf_seed_order_local (const CfSeedOrder *o);

/** cf_seed_order_may_change: whether @seed is outside the group's data centre
 * and a seed whose data centre is unknown may turn out to be inside. */
gboolean cf_seed_order_may_change (const CfSeedOrder *o, guint seed);
