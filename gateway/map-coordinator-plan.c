#include "map-coordinator-parts.h"

#include "ablation.h"
#include "map-gain.h"

/** A copy of all that one change may bring takes under a second; past this
 * the change is given up, which costs nothing since no rank is armed. */
#define PREPARE_MAX_MS 4000
/** Moves looked for in a tick: about 1 ms of processor, in which no caller's
 * event is passed on. */
#define LOOKS_A_TICK 24
/** Orders to prepare that are sent in a tick: they hold what changes of the
 * whole map, and no caller's event is passed on meanwhile. */
#define ORDERS_A_TICK 64
/** Between two plans. */
#define PLAN_PAUSE_MS 100

/* Whether all that a plan stands on is known. */
static gboolean
may_plan (CfMapCoordinator *c, gint64 now)
{
  if (CF_WITHOUT_MAP_CHANGES || now < c->idle_until_ms)
    return FALSE;
  if (!cf_map_all_seen_since (c, 0)
      || !cf_expert_demand_is_settled (&c->demand))
    return FALSE;
  if (cf_map_is_known (c))
    return TRUE;
  cf_map_ask_lists (c, now);
  return FALSE;
}

static void
begin_plan (CfMapCoordinator *c)
{
  CfPlanLimits limits = c->limits;

  g_clear_pointer (&c->next, cf_group_map_free);
  for (int r = 0; r < c->shape.ranks; r++)
    c->pace[r] = MAX (c->ranks[r].status.pace, 1);
  limits.min_gain = cf_map_gain_asked (limits.min_gain, c->pass_ms,
                                       c->pass_aim_ms, c->demand.n_windows);
  c->plan = cf_map_plan_new (c->in_use, c->demand.tokens, c->pace, &limits);
}

static void
end_plan (CfMapCoordinator *c, gint64 now)
{
  double before = cf_map_plan_skew_before (c->plan);
  double after = cf_map_plan_skew_after (c->plan);

  c->next = cf_map_plan_end (g_steal_pointer (&c->plan));
  c->idle_until_ms = now + PLAN_PAUSE_MS;
  if (!c->next)
    return;
  c->last_copies = cf_group_map_count_added (c->in_use, c->next);
  c->skew_before = before;
  c->skew_after = after;
  c->version = cf_map_new_version (c, FALSE);
  cf_map_enter (c, CF_MAP_PREPARING, "worth-it", now);
}

void
cf_map_plan_next (CfMapCoordinator *c, gint64 now)
{
  if (cf_map_any_held (c) || cf_map_any_armed (c))
    {
      cf_map_enter (c, CF_MAP_SETTLING, "someone-else-acts", now);
      return;
    }
  if (!may_plan (c, now))
    {
      /* Its demand has shifted, or a rank is away. */
      g_clear_pointer (&c->plan, cf_map_plan_free);
      return;
    }
  if (!c->plan)
    begin_plan (c);
  if (cf_map_plan_step (c->plan, LOOKS_A_TICK))
    end_plan (c, now);
}

void
cf_map_prepare (CfMapCoordinator *c, gint64 now)
{
  gboolean ready = TRUE;
  int orders = 0;

  for (int r = 0; r < c->shape.ranks && orders < ORDERS_A_TICK; r++)
    {
      CfRankView *v = &c->ranks[r];
      CfRankOrder o = { .kind = CF_ORDER_PREPARE, .version = c->version };

      if (v->status.prepared == c->version)
        continue;
      ready = FALSE;
      o.map = c->next;
      if (!cf_map_may_ask (v, now, CF_MAP_PREPARE_AGAIN_MS))
        continue;
      cf_map_send_order (c, r, &o, now);
      orders++;
    }
  c->has_more = orders == ORDERS_A_TICK;
  if (ready)
    {
      c->lead = cf_map_coordinator_passes_ahead (c);
      c->step = 0;
      c->holder = (int)(c->version % c->shape.ranks);
      c->hold_ms = now;
      cf_map_enter (c, CF_MAP_HOLDING, "all-prepared", now);
    }
  else if (now - c->state_ms > PREPARE_MAX_MS)
    {
      c->idle_until_ms = now + CF_MAP_ABORT_PAUSE_MS;
      cf_map_enter (c, CF_MAP_IDLE, "copies-too-slow", now);
    }
}
