#pragma once

#include <glib.h>

/**
 * CfDemandWatch:
 * Detects that the ranks of a led group send their status but not how often
 * experts were chosen, so that no map can be planned.
 */
typedef struct
{
  gint64 status_ms; /**< when a rank last sent its status; 0: none has */
  gint64 demand_ms; /**< when one last sent the choices of experts, or when they
                         were first due */
  gboolean is_missing;
} CfDemandWatch;

/** CfDemandWatchChange: what cf_demand_watch_check() found. */
typedef enum
{
  CF_DEMAND_UNCHANGED,
  CF_DEMAND_MISSING, /**< from now on */
  CF_DEMAND_BACK,
} CfDemandWatchChange;

/** cf_demand_watch_note_status: @has_demand: the status came with the choices
 * of experts */
void cf_demand_watch_note_status (CfDemandWatch *w, gboolean has_demand,
                                  gint64 now_ms);

/**
 * cf_demand_watch_check:
 * @is_due: whether ranks should send the choices of experts now; they do so
 *   for the leader, and not while they copy experts
 */
CfDemandWatchChange cf_demand_watch_check (CfDemandWatch *w, gboolean is_due,
                                           gint64 now_ms);
