#include "map-coordinator-parts.h"

#include <string.h>

/** After a longer gap between ticks another gateway may have led meanwhile, so
 * the coordinator settles again.  No other gateway takes the lead before agents
 * have received no heartbeat of this one for 1,300 ms, of which 400 ms may have
 * passed before the gap; a shorter gap is that of a process that was busy or
 * got little processor time. */
#define MAX_TICK_GAP_MS 800
/** Assumed time to hold a pass and arm all ranks, as for 16 ranks, until it is
 * known for the group.  It sets how many passes ahead a pass is held: with too
 * few, the group stops and its callers wait; with too many, it runs longer with
 * the worse map. */
#define INITIAL_ARMING_MS 60

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
      return "burning"; /* its name in the log */
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
  c->slowdown = g_new0 (double, shape->ranks);
  c->in_use = cf_group_map_new (shape);
  c->arming_ms = INITIAL_ARMING_MS;
}

void
cf_map_coordinator_clear (CfMapCoordinator *c)
{
  g_free (c->ranks);
  cf_expert_demand_clear (&c->demand);
  g_free (c->slowdown);
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
  gboolean was_stalled = now - c->last_tick_ms > MAX_TICK_GAP_MS;

  c->last_tick_ms = now;
  cf_expert_demand_tick (&c->demand, now);
  if (c->fence == 0)
    return;
  if (was_stalled && c->state != CF_MAP_SETTLING)
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
