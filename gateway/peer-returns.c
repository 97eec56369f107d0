#include "peer-returns.h"

#include <string.h>

/* Returns whether the places of @s all fitted into @a. */
static gboolean
append_places (GArray *a, const char *service, CfReturnSchedule *s,
               gint64 now_ms)
{
  CfPeerReturn r = { .service = { service, strlen (service) } };
  CfReturnPlace p;

  while (a->len < CF_PEER_RETURNS_MAX)
    {
      if (!cf_return_schedule_take_unsent (s, now_ms, &p))
        return TRUE;
      r.key = p.key;
      r.due_in_ms = p.due_ms - now_ms;
      r.urgency = p.urgency;
      g_array_append_val (a, r);
    }
  return FALSE;
}

GArray *
cf_peer_returns_collect (CfGateway *g)
{
  g_autofree gpointer *services = NULL;
  GArray *a;
  guint n;

  if (!g->has_new_returns)
    return NULL;
  a = g_array_new (FALSE, FALSE, sizeof (CfPeerReturn));
  g->has_new_returns = FALSE;
  services = g_hash_table_get_keys_as_array (g->service_states, &n);
  for (guint i = 0; i < n; i++)
    {
      const char *service = services[(g->returns_start + i) % n];
      CfServiceState *s = g_hash_table_lookup (g->service_states, service);

      if (!append_places (a, service, &s->returns, cf_gateway_now (g)))
        g->has_new_returns = TRUE;
    }
  /* Otherwise the places of one service could keep out those of the others. */
  g->returns_start += g->has_new_returns;
  return a;
}

static gboolean
is_valid (const CfPeerReturn *r)
{
  return r->due_in_ms >= 0 && r->due_in_ms <= CF_RETURN_AHEAD_MAX_MS
         && r->urgency >= 0;
}

/* (nullable): the state of the configured service that @r names. */
static CfServiceState *
find_service_state (CfGateway *g, const CfPeerReturn *r)
{
  g_autofree char *name = g_strndup (r->service.data, r->service.n);

  if (!g->policy || !cf_policy_service (g->policy, name))
    return NULL;
  return cf_gateway_service_state (g, name);
}

static void
take_return (CfGateway *g, const CfPeerReturn *r, gboolean is_forwarded)
{
  CfServiceState *s = find_service_state (g, r);
  gint64 now = cf_gateway_now (g);
  CfReturnPlace p = { .key = r->key, .urgency = r->urgency };

  if (!s)
    return;
  p.due_ms = now + r->due_in_ms;
  p.is_unsent = is_forwarded;
  cf_return_schedule_put_peer (&s->returns, &p, now);
  g->has_new_returns |= is_forwarded;
}

void
cf_peer_returns_take (CfGateway *g, const GArray *returns, const char *peer)
{
  gboolean is_forwarded = cf_gateway_is_seed (g, g->settings.control_addr)
                          && !cf_gateway_is_seed (g, peer);

  for (guint i = 0; returns && i < returns->len; i++)
    {
      const CfPeerReturn *r = &g_array_index (returns, CfPeerReturn, i);

      if (is_valid (r))
        take_return (g, r, is_forwarded);
      else
        cf_gateway_drop_reading (g, CF_READING_RETURN, peer,
                                 "time or urgency out of range");
    }
}
