#include "map-coordinator-parts.h"

/** If the hold is not confirmed, or not all ranks are armed, within this time,
 * the coordinator settles again. */
#define STAGE_TIMEOUT_MS 1500
/** After a quicker change, the estimated arming time falls to no less than this
 * fraction of itself. */
#define ARMING_DECAY 0.7

static gint64
find_newest_pass (const CfMapCoordinator *c)
{
  gint64 pass = 0;

  for (int r = 0; r < c->shape.ranks; r++)
    pass = MAX (pass, c->ranks[r].status.step);
  return pass;
}

int
cf_map_coordinator_choose_passes_ahead (const CfMapCoordinator *c)
{
  gint64 passes = c->pass_ms ? c->arming_ms / c->pass_ms : 0;

  return (int)MIN (passes + 1, CF_MAP_MAX_PASSES_AHEAD);
}

gboolean
cf_map_coordinator_is_holding_pass (const CfMapCoordinator *c)
{
  if (c->fence == 0)
    return FALSE;
  switch (c->state)
    {
    case CF_MAP_HOLDING:
    case CF_MAP_ARMING:
    case CF_MAP_RELEASING:
    case CF_MAP_INVALIDATING:
      return TRUE;
    case CF_MAP_SETTLING:
      return cf_map_has_held_pass (c);
    case CF_MAP_IDLE:
    case CF_MAP_PREPARING:
    case CF_MAP_SWITCHING:
      return FALSE;
    }
  return FALSE;
}

void
cf_map_run_holding (CfMapCoordinator *c, gint64 now)
{
  CfRankView *v = &c->ranks[c->holder];
  CfRankOrder o = { .kind = CF_ORDER_HOLD };

  if (c->pass_to_hold && v->status.held == c->pass_to_hold)
    {
      cf_map_enter_state (c, CF_MAP_ARMING, "held", now);
      return;
    }
  if (v->status.held || now - c->state_ms > STAGE_TIMEOUT_MS)
    {
      cf_map_enter_state (c, CF_MAP_SETTLING, "hold-not-confirmed", now);
      return;
    }
  if (c->pass_to_hold == 0)
    {
      c->pass_to_hold = find_newest_pass (c) + c->passes_ahead;
      v->pending_since_ms = 0;
    }
  o.step = c->pass_to_hold;
  if (cf_map_may_send (v, now, CF_MAP_ORDER_RETRY_MS))
    cf_map_send_order (c, c->holder, &o, now);
}

/* Updates the estimated time to arm all ranks, which is longer while orders get
 * lost. */
static void
update_arming_time (CfMapCoordinator *c, gint64 ms)
{
  c->arming_ms = MAX (ms, (gint64)((double)c->arming_ms * ARMING_DECAY));
}

void
cf_map_run_arming (CfMapCoordinator *c, gint64 now)
{
  gboolean all_armed = TRUE;

  for (int r = 0; r < c->shape.ranks; r++)
    {
      CfRankView *v = &c->ranks[r];
      CfRankOrder o = { .kind = CF_ORDER_ARM, .version = c->version };

      if (v->status.armed == c->version || v->status.map == c->version)
        continue;
      all_armed = FALSE;
      o.step = c->pass_to_hold;
      if (cf_map_may_send (v, now, CF_MAP_ORDER_RETRY_MS))
        cf_map_send_order (c, r, &o, now);
    }
  if (all_armed)
    {
      update_arming_time (c, now - c->hold_start_ms);
      cf_map_enter_state (c, CF_MAP_RELEASING, "all-armed", now);
    }
  else if (now - c->state_ms > STAGE_TIMEOUT_MS)
    cf_map_enter_state (c, CF_MAP_SETTLING, "arming-too-slow", now);
}

void
cf_map_run_releasing (CfMapCoordinator *c, gint64 now)
{
  CfRankView *v = &c->ranks[c->holder];
  CfRankOrder o = { .kind = CF_ORDER_RELEASE, .step = c->pass_to_hold };

  /* A status that the agent read before the hold may arrive after the hold was
   * confirmed, so an order to release has to be sent first. */
  if (v->status.held != c->pass_to_hold && v->pending_since_ms != 0)
    cf_map_enter_state (c, CF_MAP_SWITCHING, "released", now);
  else if (cf_map_may_send (v, now, CF_MAP_ORDER_RETRY_MS))
    cf_map_send_order (c, c->holder, &o, now);
}

static gboolean
have_all_switched (const CfMapCoordinator *c)
{
  for (int r = 0; r < c->shape.ranks; r++)
    if (c->ranks[r].status.map != c->version)
      return FALSE;
  return TRUE;
}

static void
adopt_next (CfMapCoordinator *c)
{
  for (int r = 0; c->next && r < c->shape.ranks; r++)
    c->ranks[r].lists_version = c->version;
  if (!c->next)
    return;
  cf_group_map_free (c->in_use);
  c->in_use = g_steal_pointer (&c->next);
}

void
cf_map_run_switching (CfMapCoordinator *c, gint64 now)
{
  if (have_all_switched (c))
    {
      adopt_next (c);
      c->n_changes++;
      c->idle_until_ms = now;
      cf_map_enter_state (c, CF_MAP_IDLE, "changed", now);
      return;
    }
  if (c->pass_to_hold && c->ranks[c->holder].status.held == c->pass_to_hold)
    {
      cf_map_enter_state (c, CF_MAP_RELEASING, "still-held", now);
      return;
    }
  if (cf_map_has_held_pass (c) || !cf_map_has_armed_rank (c))
    if (cf_map_has_all_statuses_since (c, c->state_ms))
      cf_map_enter_state (c, CF_MAP_SETTLING, "not-as-armed", now);
}
