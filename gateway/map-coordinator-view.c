#include "map-coordinator-parts.h"

/** Versions one leader may use under one token. */
#define VERSION_BITS 10
#define SALT_BITS 14
#define SALT_MASK ((1U << SALT_BITS) - 1)
/** Set if a version is only there to make orders of earlier ones void. */
#define VOID_BITS 1

gsize
cf_map_n_experts (const CfMapCoordinator *c)
{
  return (gsize)c->shape.sets * c->shape.experts;
}

void
cf_map_enter (CfMapCoordinator *c, CfMapState s, const char *why, gint64 now)
{
  CfMapState from = c->state;

  c->state = s;
  c->state_ms = now;
  g_clear_pointer (&c->plan, cf_map_plan_free);
  c->has_more = FALSE;
  for (int r = 0; r < c->shape.ranks; r++)
    c->ranks[r].asked_ms = 0;
  c->calls->moved (c->data, from, s, why);
}

gint64
cf_map_new_version (CfMapCoordinator *c, gboolean is_void)
{
  gint64 salt = c->salt & SALT_MASK;
  gint64 n = ((c->fence << SALT_BITS | salt) << VERSION_BITS) + ++c->n_versions;

  return n << VOID_BITS | (is_void ? 1 : 0);
}

gboolean
cf_map_version_is_void (gint64 version)
{
  return (version & 1) != 0;
}

gint64
cf_map_version_fence (gint64 version)
{
  return version >> (SALT_BITS + VERSION_BITS + VOID_BITS);
}

gboolean
cf_map_all_seen_since (const CfMapCoordinator *c, gint64 since)
{
  for (int r = 0; r < c->shape.ranks; r++)
    {
      const CfRankView *v = &c->ranks[r];

      if (v->seen_ms <= since || v->status.epoch != c->epoch || !v->status.open)
        return FALSE;
    }
  return TRUE;
}

gboolean
cf_map_any_armed (const CfMapCoordinator *c)
{
  for (int r = 0; r < c->shape.ranks; r++)
    if (c->ranks[r].status.armed)
      return TRUE;
  return FALSE;
}

gboolean
cf_map_any_held (const CfMapCoordinator *c)
{
  for (int r = 0; r < c->shape.ranks; r++)
    if (c->ranks[r].status.held)
      return TRUE;
  return FALSE;
}

gboolean
cf_map_is_known (const CfMapCoordinator *c)
{
  for (int r = 0; r < c->shape.ranks; r++)
    if (c->ranks[r].lists_map != c->ranks[r].status.map)
      return FALSE;
  return cf_group_map_is_complete (c->in_use);
}

gboolean
cf_map_may_ask (const CfRankView *v, gint64 now, gint64 again_ms)
{
  return v->asked_ms == 0 || now - v->asked_ms >= again_ms;
}

void
cf_map_send_order (CfMapCoordinator *c, int rank, CfRankOrder *o, gint64 now)
{
  o->epoch = c->epoch;
  o->fence = c->fence;
  c->ranks[rank].asked_ms = now;
  c->calls->order (c->data, rank, o);
}

void
cf_map_ask_lists (CfMapCoordinator *c, gint64 now)
{
  for (int r = 0; r < c->shape.ranks; r++)
    {
      CfRankView *v = &c->ranks[r];

      if (v->lists_map == v->status.map
          || !cf_map_may_ask (v, now, CF_MAP_PREPARE_AGAIN_MS))
        continue;
      v->asked_ms = now;
      c->calls->want_lists (c->data, r);
    }
}
