#include "map-coordinator-parts.h"

static gboolean
guards_all (const CfMapCoordinator *c)
{
  for (int r = 0; r < c->shape.ranks; r++)
    if (c->ranks[r].token < c->fence)
      return FALSE;
  return TRUE;
}

/* The only pass held, with the rank that holds it; 0 if none or several. */
static gint64
only_hold (const CfMapCoordinator *c, int *holder)
{
  gint64 step = 0;

  for (int r = 0; r < c->shape.ranks; r++)
    {
      gint64 held = c->ranks[r].status.held;

      if (held && step && held != step)
        return 0;
      if (held)
        {
          step = held;
          *holder = r;
        }
    }
  return step;
}

/* The version that every rank has armed, prepared or in use; 0 if they
 * differ. */
static gint64
common_version (const CfMapCoordinator *c)
{
  gint64 common = 0;

  for (int r = 0; r < c->shape.ranks; r++)
    {
      const CfRankStatus *s = &c->ranks[r].status;
      gint64 v = s->armed ? s->armed : MAX (s->prepared, s->map);

      if (r > 0 && v != common)
        return 0;
      common = v;
    }
  return common;
}

void
cf_map_run_settling (CfMapCoordinator *c, gint64 now)
{
  gboolean held;
  int holder = 0;
  gint64 step;

  if (!cf_map_has_all_reports_since (c, c->state_ms) || !guards_all (c))
    return;
  held = cf_map_has_held_pass (c);
  step = only_hold (c, &holder);
  if (!held && !cf_map_has_armed_rank (c))
    {
      cf_map_enter_state (c, CF_MAP_IDLE, "nothing-pending", now);
      return;
    }
  g_clear_pointer (&c->next, cf_group_map_free);
  c->version = common_version (c);
  if (c->version && !held)
    cf_map_enter_state (c, CF_MAP_SWITCHING, "all-armed", now);
  /* Under a void version the leader before may be about to end the hold. */
  else if (c->version && step && !cf_map_version_is_barrier (c->version))
    {
      c->step = step;
      c->holder = holder;
      c->hold_start_ms = now;
      cf_map_enter_state (c, CF_MAP_ARMING, "earlier-leader-held", now);
    }
  else if (held)
    cf_map_enter_state (c, CF_MAP_INVALIDATING, "versions-differ", now);
}

void
cf_map_run_invalidating (CfMapCoordinator *c, gint64 now)
{
  gboolean clear = TRUE;

  if (!cf_map_is_in_use_known (c))
    {
      cf_map_request_lists (c, now);
      return;
    }
  if (c->next == NULL)
    {
      c->next = cf_group_map_copy (c->in_use);
      c->version = cf_map_allocate_version (c, TRUE);
    }
  for (int r = 0; r < c->shape.ranks; r++)
    {
      CfRankView *v = &c->ranks[r];
      CfRankOrder o = { .kind = CF_ORDER_PREPARE, .version = c->version };

      if (!v->status.armed && v->status.prepared == c->version)
        continue;
      clear = FALSE;
      if (!cf_map_may_send (v, now, CF_MAP_ORDER_RETRY_MS))
        continue;
      o.map = c->next;
      if (v->status.armed)
        {
          o.kind = CF_ORDER_DISARM;
          o.version = v->status.armed;
        }
      cf_map_send_order (c, r, &o, now);
    }
  for (int r = 0; clear && r < c->shape.ranks; r++)
    {
      CfRankView *v = &c->ranks[r];
      CfRankOrder o = { .kind = CF_ORDER_GO, .step = v->status.held };

      if (v->status.held && cf_map_may_send (v, now, CF_MAP_ORDER_RETRY_MS))
        cf_map_send_order (c, r, &o, now);
    }
  if (clear && !cf_map_has_held_pass (c))
    cf_map_enter_state (c, CF_MAP_IDLE, "burnt", now);
}
