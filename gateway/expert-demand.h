#pragma once

#include <glib.h>

/**
 * CfExpertDemand:
 * How much each expert of a rank group is drawn on lately, from what its
 * ranks say they drew since they last did.  That is taken together over
 * windows; a window unlike those before shows a shift
 * of demand, and what was counted before it is dropped.
 */
typedef struct
{
  int ranks;
  gsize experts;     /**< of all sets */
  double *fresh;     /**< by expert: drawn in the window that is open */
  int n_reports;     /**< in the window that is open */
  double *tokens;    /**< by expert: drawn lately */
  gint64 window_ms;  /**< when the open window began */
  guint n_windows;   /**< closed since init() or forget() */
  gboolean shifting; /**< the last window was the first after a shift */
} CfExpertDemand;

void cf_expert_demand_init (CfExpertDemand *d, int ranks, gsize experts);
void cf_expert_demand_clear (CfExpertDemand *d);

/** cf_expert_demand_add: a rank drew so much of each expert. */
void cf_expert_demand_add (CfExpertDemand *d, const gint64 *drawn);

/** cf_expert_demand_reset: drops all samples, as the group formed anew. */
void cf_expert_demand_reset (CfExpertDemand *d);

/** cf_expert_demand_tick: ends the open window, if it is time to. */
void cf_expert_demand_tick (CfExpertDemand *d, gint64 now_ms);

/**
 * cf_expert_demand_is_settled:
 * Whether a plan may be made: some demand is known, and no shift is only
 * half counted.  A shift falls within a window, so that one shows old and
 * new demand mixed; a map planned for the mixture was out of date when it
 * came, and a second change followed each time.
 */
gboolean cf_expert_demand_is_settled (const CfExpertDemand *d);
