#include "map-coordinator-parts.h"

#include "ablation.h"
#include "map-gain.h"

/** The copies of one change take under a second.  A change that takes longer
 * than this is given up, which costs nothing since no rank is armed yet. */
#define PREPARE_TIMEOUT_MS 4000
/** Searches for a move per tick.  They take about 1 ms of processor time,
 * during which the gateway forwards no caller's events. */
#define MAX_SEARCHES_PER_TICK 24
/** Orders to prepare sent per tick.  They contain the changes to the whole map,
 * and the gateway forwards no caller's events while it sends them. */
#define MAX_ORDERS_PER_TICK 64
/** Pause between two plans. */
#define PLAN_PAUSE_MS 100

/* Whether everything that a plan is based on is known; requests the expert
 * lists if they are not. */
static gboolean
may_plan (CfMapCoordinator *c, gint64 now)
{
  if (CF_WITHOUT_MAP_CHANGES || now < c->idle_until_ms)
    return FALSE;
  if (!cf_map_has_all_statuses_since (c, 0)
      || !cf_expert_demand_is_stable (&c->demand))
    return FALSE;
  if (cf_map_is_in_use_known (c))
    return TRUE;
  cf_map_request_lists (c, now);
  return FALSE;
}

static void
start_plan (CfMapCoordinator *c)
{
  CfPlanLimits limits = c->limits;

  g_clear_pointer (&c->next, cf_group_map_free);
  for (int r = 0; r < c->shape.ranks; r++)
    c->slowdown[r] = MAX (c->ranks[r].status.slowdown, 1);
  limits.min_gain = cf_map_required_gain (
      limits.min_gain, c->pass_ms, c->pass_objective_ms, c->demand.n_windows);
  c->plan = cf_map_plan_new (c->in_use, c->demand.tokens, c->slowdown, &limits);
}

static void
finish_plan (CfMapCoordinator *c, gint64 now)
{
  double before = cf_map_plan_skew_before (c->plan);
  double after = cf_map_plan_skew_after (c->plan);

  c->next = cf_map_plan_finish (g_steal_pointer (&c->plan));
  c->idle_until_ms = now + PLAN_PAUSE_MS;
  if (!c->next)
    return;
  c->n_copies = cf_group_map_count_added (c->in_use, c->next);
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
      /* The demand has shifted, or a rank sends no status. */
      g_clear_pointer (&c->plan, cf_map_plan_free);
      return;
    }
  if (!c->plan)
    start_plan (c);
  if (cf_map_plan_step (c->plan, MAX_SEARCHES_PER_TICK))
    finish_plan (c, now);
}

void
cf_map_run_preparing (CfMapCoordinator *c, gint64 now)
{
  gboolean all_prepared = TRUE;
  int n_orders = 0;

  for (int r = 0; r < c->shape.ranks && n_orders < MAX_ORDERS_PER_TICK; r++)
    {
      CfRankView *v = &c->ranks[r];
      CfRankOrder o = { .kind = CF_ORDER_PREPARE, .version = c->version };

      if (v->status.prepared == c->version)
        continue;
      all_prepared = FALSE;
      o.map = c->next;
      if (!cf_map_may_send (v, now, CF_MAP_PREPARE_RETRY_MS))
        continue;
      cf_map_send_order (c, r, &o, now);
      n_orders++;
    }
  c->has_unsent_orders = n_orders == MAX_ORDERS_PER_TICK;
  if (all_prepared)
    {
      c->passes_ahead = cf_map_coordinator_choose_passes_ahead (c);
      c->pass_to_hold = 0;
      c->holder = (int)(c->version % c->shape.ranks);
      c->hold_start_ms = now;
      cf_map_enter_state (c, CF_MAP_HOLDING, "all-prepared", now);
    }
  else if (now - c->state_ms > PREPARE_TIMEOUT_MS)
    {
      c->idle_until_ms = now + CF_MAP_ABORT_PAUSE_MS;
      cf_map_enter_state (c, CF_MAP_IDLE, "copies-too-slow", now);
    }
}
