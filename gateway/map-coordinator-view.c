#include "map-coordinator-parts.h"

/* A version consists of the leader's fencing token, its salt, a counter and the
 * barrier flag, from the highest bits to the lowest. */

/** Bits of the counter of versions that a leader uses under one token. */
#define COUNTER_BITS 10
#define SALT_BITS 14
#define SALT_MASK ((1U << SALT_BITS) - 1)
/** Bits of the barrier flag. */
#define BARRIER_BITS 1

gsize
cf_map_count_experts (const CfMapCoordinator *c)
{
  return (gsize)c->shape.sets * c->shape.experts;
}

void
cf_map_enter_state (CfMapCoordinator *c, CfMapState s, const char *why,
                    gint64 now)
{
  CfMapState from = c->state;

  c->state = s;
  c->state_ms = now;
  g_clear_pointer (&c->plan, cf_map_plan_free);
  c->has_unsent_orders = FALSE;
  for (int r = 0; r < c->shape.ranks; r++)
    c->ranks[r].pending_since_ms = 0;
  c->callbacks->state_changed (c->data, from, s, why);
}

gint64
cf_map_allocate_version (CfMapCoordinator *c, gboolean is_barrier)
{
  gint64 salt = c->salt & SALT_MASK;
  gint64 n = ((c->fence << SALT_BITS | salt) << COUNTER_BITS) + ++c->n_versions;

  return n << BARRIER_BITS | (is_barrier ? 1 : 0);
}

gboolean
cf_map_version_is_barrier (gint64 version)
{
  return (version & 1) != 0;
}

gint64
cf_map_version_fence (gint64 version)
{
  return version >> (SALT_BITS + COUNTER_BITS + BARRIER_BITS);
}

gboolean
cf_map_has_all_statuses_since (const CfMapCoordinator *c, gint64 since)
{
  for (int r = 0; r < c->shape.ranks; r++)
    {
      const CfRankView *v = &c->ranks[r];

      if (v->as_of_ms <= since || v->status.epoch != c->epoch
          || !v->status.open)
        return FALSE;
    }
  return TRUE;
}

gboolean
cf_map_has_armed_rank (const CfMapCoordinator *c)
{
  for (int r = 0; r < c->shape.ranks; r++)
    if (c->ranks[r].status.armed)
      return TRUE;
  return FALSE;
}

gboolean
cf_map_has_held_pass (const CfMapCoordinator *c)
{
  for (int r = 0; r < c->shape.ranks; r++)
    if (c->ranks[r].status.held)
      return TRUE;
  return FALSE;
}

gboolean
cf_map_is_in_use_known (const CfMapCoordinator *c)
{
  for (int r = 0; r < c->shape.ranks; r++)
    if (c->ranks[r].lists_version != c->ranks[r].status.map)
      return FALSE;
  return cf_group_map_is_complete (c->in_use);
}

gboolean
cf_map_may_send (const CfRankView *v, gint64 now, gint64 retry_ms)
{
  return v->pending_since_ms == 0 || now - v->pending_since_ms >= retry_ms;
}

void
cf_map_send_order (CfMapCoordinator *c, int rank, CfRankOrder *o, gint64 now)
{
  o->epoch = c->epoch;
  o->fence = c->fence;
  c->ranks[rank].pending_since_ms = now;
  c->callbacks->send_order (c->data, rank, o);
}

void
cf_map_request_lists (CfMapCoordinator *c, gint64 now)
{
  for (int r = 0; r < c->shape.ranks; r++)
    {
      CfRankView *v = &c->ranks[r];

      if (v->lists_version == v->status.map
          || !cf_map_may_send (v, now, CF_MAP_PREPARE_RETRY_MS))
        continue;
      v->pending_since_ms = now;
      c->callbacks->request_lists (c->data, r);
    }
}
