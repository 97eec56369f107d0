#include "rank-service-parts.h"

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

      votes += a && now - a->seen_ms < STATUS_FRESH_MS && a->led == 0
               && (a->seeds_up & before) == 0;
    }
  return votes * 2 > g->c.shape.ranks;
}

void
cf_led_group_decide_lead (CfLedGroup *g)
{
  gint64 now = cf_gateway_now (g->s->g);
  gboolean lead = g->c.fence ? is_followed (g) : is_wanted (g);

  lead = lead && !g->s->g->stopping;
  /* Whoever fenced this gateway off may well be the one to lead; by then
   * all ranks have said whom they hear. */
  if (g->c.fenced_ms && now - g->c.fenced_ms < LEAD_AGAIN_MS)
    lead = FALSE;
  if (lead && g->c.fence == 0)
    {
      gint64 fence = (g->fence_seen / FENCE_STEP + 1) * FENCE_STEP + g->s->seed;

      g->fence_seen = fence;
      cf_map_coordinator_lead (&g->c, fence, g_random_int (), now);
    }
  /* In the middle of a change the next leader's token ends it better. */
  else if (!lead && g->c.fence && g->c.state == CF_MAP_IDLE)
    g->c.fence = 0;
  g->leads = g->c.fence != 0;
}
