#include "map-coordinator-parts.h"

#include <string.h>

/** Without a tick for so long others may have acted, and what this leader
 * believes is learned anew.  No other leads before agents have heard nothing of
 * this one for 1,300 ms, of which 400 may have passed before the gap: less is
 * a process that was busy, or had little of its processor. */
#define GAP_MS 800
/** How long holding a pass and arming 16 ranks takes, until it is known.
 * So many passes ahead one is held: a group that stands still makes its
 * callers wait, one that is warned too early runs on with a worse map. */
#define ARMING_FIRST_MS 60

const char *
cf_map_state_name (CfMapState s)
{
  switch (s)
    {
    case CF_MAP_SETTLING:
      return "settling";
    case CF_MAP_IDLE:
      return "idle";
    case CF_MAP_PREPARING:
      return "preparing";
    case CF_MAP_HOLDING:
      return "holding";
    case CF_MAP_ARMING:
      return "arming";
    case CF_MAP_RELEASING:
      return "releasing";
    case CF_MAP_SWITCHING:
      return "switching";
    case CF_MAP_INVALIDATING:
      return "burning";
    }
  return "unknown";
}

void
cf_map_coordinator_init (CfMapCoordinator *c, const CfGroupShape *shape,
                         const CfPlanLimits *limits,
                         const CfMapCoordinatorCallbacks *callbacks, void *data)
{
  memset (c, 0, sizeof *c);
  c->shape = *shape;
  c->limits = *limits;
  c->callbacks = callbacks;
  c->data = data;
  c->ranks = g_new0 (CfRankView, shape->ranks);
  for (int r = 0; r < shape->ranks; r++)
    c->ranks[r].lists_version = -1;
  cf_expert_demand_init (&c->demand, shape->ranks, cf_map_count_experts (c));
  c->pace = g_new0 (double, shape->ranks);
  c->in_use = cf_group_map_new (shape);
  c->arming_ms = ARMING_FIRST_MS;
}

void
cf_map_coordinator_clear (CfMapCoordinator *c)
{
  g_free (c->ranks);
  cf_expert_demand_clear (&c->demand);
  g_free (c->pace);
  cf_group_map_free (c->in_use);
  cf_group_map_free (c->next);
  cf_map_plan_free (c->plan);
}

gboolean
cf_map_coordinator_has_pending_work (const CfMapCoordinator *c)
{
  return c->plan != NULL || c->has_unsent_orders;
}

void
cf_map_coordinator_start_leading (CfMapCoordinator *c, gint64 fence, guint salt,
                                  gint64 now)
{
  c->fence = fence;
  c->salt = salt;
  c->n_versions = 0;
  c->last_tick_ms = now;
  cf_map_enter_state (c, CF_MAP_SETTLING, "took-the-lead", now);
}

void
cf_map_coordinator_tick (CfMapCoordinator *c, gint64 now)
{
  gboolean stood_still = now - c->last_tick_ms > GAP_MS;

  c->last_tick_ms = now;
  cf_expert_demand_tick (&c->demand, now);
  if (c->fence == 0)
    return;
  if (stood_still && c->state != CF_MAP_SETTLING)
    cf_map_enter_state (c, CF_MAP_SETTLING, "stood-still", now);
  switch (c->state)
    {
    case CF_MAP_SETTLING:
      cf_map_run_settling (c, now);
      break;
    case CF_MAP_IDLE:
      cf_map_run_idle (c, now);
      break;
    case CF_MAP_PREPARING:
      cf_map_run_preparing (c, now);
      break;
    case CF_MAP_HOLDING:
      cf_map_run_holding (c, now);
      break;
    case CF_MAP_ARMING:
      cf_map_run_arming (c, now);
      break;
    case CF_MAP_RELEASING:
      cf_map_run_releasing (c, now);
      break;
    case CF_MAP_SWITCHING:
      cf_map_run_switching (c, now);
      break;
    case CF_MAP_INVALIDATING:
      cf_map_run_invalidating (c, now);
      break;
    }
}
