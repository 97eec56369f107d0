#include "map-coordinator-parts.h"

/* Whether this leader's token, or a higher one, guards every rank. */
static gboolean
guards_all_ranks (const CfMapCoordinator *c)
{
  for (int r = 0; r < c->shape.ranks; r++)
    if (c->ranks[r].token < c->fence)
      return FALSE;
  return TRUE;
}

/* Returns the only held pass and a rank that holds it; 0 if no pass is held,
 * or different ones are. */
static gint64
find_only_hold (const CfMapCoordinator *c, int *holder)
{
  gint64 pass = 0;

  for (int r = 0; r < c->shape.ranks; r++)
    {
      gint64 held = c->ranks[r].status.held;

      if (held && pass && held != pass)
        return 0;
      if (held)
        {
          pass = held;
          *holder = r;
        }
    }
  return pass;
}

/* Returns the version that every rank has armed, prepared or in use; 0 if the
 * ranks differ. */
static gint64
find_common_version (const CfMapCoordinator *c)
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
  gint64 pass;

  if (!cf_map_has_all_statuses_since (c, c->state_ms) || !guards_all_ranks (c))
    return;
  held = cf_map_has_held_pass (c);
  pass = find_only_hold (c, &holder);
  if (!held && !cf_map_has_armed_rank (c))
    {
      cf_map_enter_state (c, CF_MAP_IDLE, "nothing-pending", now);
      return;
    }
  g_clear_pointer (&c->next, cf_group_map_free);
  c->version = find_common_version (c);
  if (c->version && !held)
    cf_map_enter_state (c, CF_MAP_SWITCHING, "all-armed", now);
  /* With a barrier version, the previous leader may be about to end the hold;
   * ranks armed for that pass could then begin it with different maps. */
  else if (c->version && pass && !cf_map_version_is_barrier (c->version))
    {
      c->pass_to_hold = pass;
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
  gboolean all_prepared = TRUE;

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
      all_prepared = FALSE;
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
  for (int r = 0; all_prepared && r < c->shape.ranks; r++)
    {
      CfRankView *v = &c->ranks[r];
      CfRankOrder o = { .kind = CF_ORDER_RELEASE, .step = v->status.held };

      if (v->status.held && cf_map_may_send (v, now, CF_MAP_ORDER_RETRY_MS))
        cf_map_send_order (c, r, &o, now);
    }
  if (all_prepared && !cf_map_has_held_pass (c))
    cf_map_enter_state (c, CF_MAP_IDLE, "burnt", now);
}
