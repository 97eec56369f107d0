#include "rank-service-parts.h"

#include "log.h"

#include <string.h>

/** After another leader's token was met, the lead is not taken for so long. */
#define LEAD_AGAIN_MS 3000
/** A rank's status that is older says nothing of who it can hear. */
#define STATUS_FRESH_MS 2500
/** Tokens rise by this much a takeover, so that the gateways named as
 * seeds never use the same one. */
#define FENCE_STEP 8

/* Whether most ranks hear this leader. */
static gboolean
is_followed (const CfLedGroup *g)
{
  gint64 now = cf_gateway_now (g->s->g);
  int votes = 0;

  for (int r = 0; r < g->c.shape.ranks; r++)
    {
      const CfRankLink *a = g->agents[r];

      votes += a && now - a->seen_ms < STATUS_FRESH_MS;
    }
  return votes * 2 > g->c.shape.ranks;
}

/* The seeds that come before this gateway in the group's own order: groups
 * begin at different seeds, so that no gateway leads them all. */
static guint
seeds_before (const CfLedGroup *g)
{
  guint n = MIN (g_strv_length (g->s->g->set.seed_addrs), CF_SEEDS_MAX);
  guint first = g_str_hash (g->name) % MAX (n, 1);
  guint before = 0;

  for (guint i = 0; i < n; i++)
    {
      guint seed = (first + i) % n;

      if ((int)seed == g->s->seed)
        break;
      before |= 1U << seed;
    }
  return before;
}

/* Whether most ranks hear no leader, and no seed before this gateway.  A
 * seed that comes back does not unseat who leads: in the middle of a change
 * that costs the group a second or more. */
static gboolean
is_wanted (const CfLedGroup *g)
{
  gint64 now = cf_gateway_now (g->s->g);
  guint before = seeds_before (g);
  int votes = 0;

  for (int r = 0; r < g->c.shape.ranks; r++)
    {
      const CfRankLink *a = g->agents[r];

      votes += a && now - a->seen_ms < STATUS_FRESH_MS && a->leader_fence == 0
               && (a->seeds_up & before) == 0;
    }
  return votes * 2 > g->c.shape.ranks;
}

/* How many seeds succeed a leader that holds a pass before this gateway. */
static int
place_in_line (const CfLedGroup *g)
{
  guint leader = (guint)(g->lease.fence % FENCE_STEP);
  guint before = seeds_before (g) & ~(1U << leader);

  return __builtin_popcount (before);
}

/* Whether the leader that holds a pass is silent: agents still follow it, and
 * the group waits for whoever ends the hold. */
static gboolean
is_successor (const CfLedGroup *g)
{
  return cf_hold_lease_has_expired (&g->lease, place_in_line (g),
                                    cf_gateway_now (g->s->g));
}

void
cf_rank_service_take_hold_lease (void *owner, const CfPeerMsg *m)
{
  CfRankService *s = owner;
  char *name = g_strndup (m->u.hold_lease.group.data, m->u.hold_lease.group.n);
  CfLedGroup *g = g_hash_table_lookup (s->groups, name);

  g_free (name);
  if (!g || m->u.hold_lease.fence <= 0)
    return;
  g->fence_seen = MAX (g->fence_seen, m->u.hold_lease.fence);
  cf_hold_lease_renew (&g->lease, m->u.hold_lease.fence, m->u.hold_lease.held,
                       cf_gateway_now (s->g));
}

void
cf_led_group_renew_lease (CfLedGroup *g)
{
  gboolean held = g->leads && cf_map_coordinator_holds_pass (&g->c);
  gint64 now = cf_gateway_now (g->s->g);
  CfPeerMsg m = { .kind = CF_PEER_HOLD_LEASE };

  /* Whoever fenced this gateway off has told the others. */
  if (g->c.fence == 0)
    g->lease_told = FALSE;
  if (!held && !g->lease_told)
    return;
  if (held && g->lease_told && now - g->lease_told_ms < CF_HOLD_LEASE_RENEW_MS)
    return;
  g->lease_told = held;
  g->lease_told_ms = now;
  m.u.hold_lease.group.data = g->name;
  m.u.hold_lease.group.n = strlen (g->name);
  m.u.hold_lease.fence = g->c.fence;
  m.u.hold_lease.held = held;
  if (g->s->notify_seeds)
    g->s->notify_seeds (g->s->notify_data, &m);
}

void
cf_led_group_decide_lead (CfLedGroup *g)
{
  gint64 now = cf_gateway_now (g->s->g);
  gboolean succeeds = g->c.fence == 0 && is_successor (g);
  gboolean lead = g->c.fence ? is_followed (g) : succeeds || is_wanted (g);

  /* A gateway that stops ends a hold all the same if nobody else does. */
  lead = lead
         && (!g->s->g->stopping || succeeds
             || cf_map_coordinator_holds_pass (&g->c));
  /* Whoever fenced this gateway off may well be the one to lead; by then
   * all ranks have said whom they hear. */
  if (g->c.fenced_ms && now - g->c.fenced_ms < LEAD_AGAIN_MS)
    lead = FALSE;
  if (lead && g->c.fence == 0)
    {
      gint64 fence = (g->fence_seen / FENCE_STEP + 1) * FENCE_STEP + g->s->seed;

      g->fence_seen = fence;
      g->lease.held = FALSE;
      if (succeeds)
        cf_log (LOG_NOTICE, CF_EV_MAP_SETTLE,
                "group=%s outcome=lease-expired holder_fence=%" G_GINT64_FORMAT
                " silent_ms=%" G_GINT64_FORMAT,
                g->name, g->lease.fence, now - g->lease.heard_ms);
      g->lead_ms = now;
      cf_map_coordinator_lead (&g->c, fence, g_random_int (), now);
    }
  /* In the middle of a change the next leader's token ends it better. */
  else if (!lead && g->c.fence && g->c.state == CF_MAP_IDLE)
    g->c.fence = 0;
  g->leads = g->c.fence != 0;
}
