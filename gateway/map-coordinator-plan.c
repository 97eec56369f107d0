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
  if (!cf_map_has_all_reports_since (c, 0)
      || !cf_expert_demand_known (&c->demand))
    return FALSE;
  if (cf_map_is_in_use_known (c))
    return TRUE;
  cf_map_request_lists (c, now);
  return FALSE;
}

static void
begin_plan (CfMapCoordinator *c)
{
  CfPlanLimits limits = c->limits;

  g_clear_pointer (&c->next, cf_group_map_free);
  for (int r = 0; r < c->shape.ranks; r++)
    c->pace[r] = MAX (c->ranks[r].status.pace, 1);
  limits.min_gain = cf_map_required_gain (limits.min_gain, c->pass_ms,
                                          c->pass_aim_ms, c->demand.n_windows);
  c->plan = cf_map_plan_new (c->in_use, c->demand.tokens, c->pace, &limits);
}

static void
end_plan (CfMapCoordinator *c, gint64 now)
{
  double before = cf_map_plan_skew_before (c->plan);
  double after = cf_map_plan_skew_after (c->plan);

  c->next = cf_map_plan_finish (g_steal_pointer (&c->plan));
  c->idle_until_ms = now + PLAN_PAUSE_MS;
  if (!c->next)
    return;
  c->n_copies = cf_group_map_added (c->in_use, c->next);
  c->skew_before = before;
  c->skew_after = after;
  c->version = cf_map_allocate_version (c, FALSE);
  cf_map_enter_state (c, CF_MAP_PREPARING, "worth-it", now);
}

void
cf_map_run_idle (CfMapCoordinator *c, gint64 now)
{
  if (cf_map_has_held_pass (c) || cf_map_has_armed_rank (c))
    {
      cf_map_enter_state (c, CF_MAP_SETTLING, "someone-else-acts", now);
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
cf_map_run_preparing (CfMapCoordinator *c, gint64 now)
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
      if (!cf_map_may_send (v, now, CF_MAP_PREPARE_RETRY_MS))
        continue;
      cf_map_send_order (c, r, &o, now);
      orders++;
    }
  c->has_unsent_orders = orders == ORDERS_A_TICK;
  if (ready)
    {
      c->passes_ahead = cf_map_coordinator_choose_passes_ahead (c);
      c->step = 0;
      c->holder = (int)(c->version % c->shape.ranks);
      c->hold_start_ms = now;
      cf_map_enter_state (c, CF_MAP_HOLDING, "all-prepared", now);
    }
  else if (now - c->state_ms > PREPARE_MAX_MS)
    {
      c->idle_until_ms = now + CF_MAP_ABORT_PAUSE_MS;
      cf_map_enter_state (c, CF_MAP_IDLE, "copies-too-slow", now);
    }
}
