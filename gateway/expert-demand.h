#pragma once

#include <glib.h>

/**
 * CfExpertDemand:
 * How much each expert of a rank group is drawn on lately, from the counts
 * that its ranks report, which only grow while a rank lives.  Counts are
 * taken together over windows; a window unlike those before shows a shift
 * of demand, and what was counted before it is dropped.
 */
typedef struct
{
  int ranks;
  gsize experts;     /**< of all sets */
  double *counts;    /**< ranks x experts: as last reported */
  gboolean *has;     /**< by rank: it has reported since forget() */
  double *fresh;     /**< by expert: drawn in the window that is open */
  int n_reports;     /**< in the window that is open */
  double *tokens;    /**< by expert: drawn lately */
  gint64 window_ms;  /**< when the open window began */
  guint n_windows;   /**< closed since init() or forget() */
  gboolean shifting; /**< the last window was the first after a shift */
} CfExpertDemand;

void cf_expert_demand_init (CfExpertDemand *d, int ranks, gsize experts);
void cf_expert_demand_clear (CfExpertDemand *d);

/** cf_expert_demand_report: @rank's counts, one for each expert. */
void cf_expert_demand_report (CfExpertDemand *d, int rank,
                              const gint64 *counts);

/** cf_expert_demand_forget: the ranks began anew; their counts too. */
void cf_expert_demand_forget (CfExpertDemand *d);

/** cf_expert_demand_forget_rank: @rank began anew; its counts too. */
void cf_expert_demand_forget_rank (CfExpertDemand *d, int rank);

/** cf_expert_demand_tick: ends the open window, if it is time to. */
void cf_expert_demand_tick (CfExpertDemand *d, gint64 now_ms);

/**
 * cf_expert_demand_known:
 * Whether a plan may be made: some demand is known, and no shift is only
 * half counted.  A shift falls within a window, so that one shows old and
 * new demand mixed; a map planned for the mixture was out of date when it
 * came, and a second change followed each time.
 */
gboolean cf_expert_demand_known (const CfExpertDemand *d);
