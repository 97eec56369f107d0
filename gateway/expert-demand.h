#pragma once

#include <glib.h>

/**
 * CfExpertDemand:
 * How much each expert of a rank group is drawn on lately, from the counts
 * that its ranks report, which only grow while a rank lives.
 */
typedef struct
{
  int ranks;
  gsize experts;  /**< of all sets */
  double *counts; /**< ranks x experts: as last reported */
  gboolean *has;  /**< by rank: it has reported since forget() */
  double *fresh;  /**< by expert: drawn since the last decay */
  double *tokens; /**< by expert: drawn lately */
  gint64 decayed_ms;
} CfExpertDemand;

void cf_expert_demand_init (CfExpertDemand *d, int ranks, gsize experts);
void cf_expert_demand_clear (CfExpertDemand *d);

/** cf_expert_demand_report: @rank's counts, one for each expert. */
void cf_expert_demand_report (CfExpertDemand *d, int rank,
                              const gint64 *counts);

/** cf_expert_demand_forget: the ranks began anew; their counts too. */
void cf_expert_demand_forget (CfExpertDemand *d);

/** cf_expert_demand_decay: what was drawn before weighs less now. */
void cf_expert_demand_decay (CfExpertDemand *d, gint64 now_ms);

/** cf_expert_demand_any: whether any is known. */
gboolean cf_expert_demand_any (const CfExpertDemand *d);
