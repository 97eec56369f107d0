#pragma once

#include <glib.h>

/**
 * CfExpertDemand:
 * The recent demand for each expert of a rank group: how often it was chosen,
 * from the increases of the counters that the ranks report.  Reports are
 * summed over windows.  A window that differs much from those before it shows
 * a shift of demand, and what was counted before it is dropped.
 */
typedef struct
{
  int ranks;
  gsize experts;          /**< of all sets */
  double *window_tokens;  /**< by expert: demand in the open window */
  int n_reports;          /**< in the open window */
  double *tokens;         /**< by expert: demand in the closed windows, in
                               which older ones weigh less */
  gint64 window_begin_ms; /**< when the open window began */
  guint n_windows;        /**< closed since init() or reset() */
  gboolean shifting;      /**< the last window was the first after a shift */
} CfExpertDemand;

void cf_expert_demand_init (CfExpertDemand *d, int ranks, gsize experts);
void cf_expert_demand_clear (CfExpertDemand *d);

/** cf_expert_demand_add: adds one report of one rank: by expert, how often it
 * was chosen there since the rank's previous report. */
void cf_expert_demand_add (CfExpertDemand *d, const gint64 *increases);

/** cf_expert_demand_reset: counts windows from zero again, after the group
 * re-formed. */
void cf_expert_demand_reset (CfExpertDemand *d);

/** cf_expert_demand_tick: closes the open window if it is long enough and has
 * enough reports. */
void cf_expert_demand_tick (CfExpertDemand *d, gint64 now_ms);

/**
 * cf_expert_demand_is_stable:
 * Whether a map may be planned: there is some demand, and the last window was
 * not the one within which a shift fell.  Such a window shows a mixture of old
 * and new demand; a map planned for the mixture would be out of date once in
 * use, and a second change would follow each time.
 */
gboolean cf_expert_demand_is_stable (const CfExpertDemand *d);
