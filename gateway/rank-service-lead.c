#include "rank-service-parts.h"

#include "log.h"
#include "seed-order.h"

#include <string.h>

/** Time for which this gateway does not take the lead after it lost it to
 * another leader's token. */
#define LEAD_RETRY_MS 3000
/** An older status does not tell which gateways a rank can reach, so it does
 * not count when the ranks decide who leads. */
#define STATUS_MAX_AGE_MS 2500
/** The token of a takeover is the next multiple of this plus the index of the
 * seed, so that no two seeds use the same one. */
#define FENCE_STEP 8
/** Time for which a seed of another data centre leaves the lead to a seed whose
 * data centre it does not know.  The hellos that state it follow a connection
 * attempt, which is made every second. */
#define UNKNOWN_SEED_WAIT_MS 1500
/** Age of this gateway from which a seed of unknown data centre counts as gone,
 * so that nothing waits for it. */
#define UNKNOWN_SEED_MAX_AGE_MS 5000
/** A group that has had no leader for longer is led by the seeds in their plain
 * order.  Seeds that disagree on data centres could otherwise wait for one
 * another without end. */
#define LOCAL_ORDER_MAX_MS 3000
/** Time for which a seed of the group's data centre has to be within reach
 * before the lead is handed over to it, so that a seed that restarts again and
 * again does not move the lead each time. */
#define HAND_OVER_MS 10000
/** Interval at which the data centre of a group is determined again, since the
 * list of targets may change. */
#define DATA_CENTRE_INTERVAL_MS 1000

/* Whether this leader has a recent status from most ranks. */
static gboolean
has_majority (const CfLedGroup *g)
{
  gint64 now = cf_gateway_now (g->service->gateway);
  int votes = 0;

  for (int r = 0; r < g->coordinator.shape.ranks; r++)
    {
      const CfAgentLink *a = g->agents[r];

      votes += a && now - a->status_seen_ms < STATUS_MAX_AGE_MS;
    }
  return votes * 2 > g->coordinator.shape.ranks;
}

/* (nullable): the data centre of the target of @rank. */
static const char *
rank_data_centre (const CfLedGroup *g, int rank)
{
  const CfTarget *t
      = cf_rank_service_target (g->service, g->target_addrs[rank]);

  return t ? t->record.data_centre : NULL;
}

static int
count_ranks_in (const CfLedGroup *g, const char *data_centre)
{
  int n = 0;

  for (int r = 0; r < g->coordinator.shape.ranks; r++)
    n += g_strcmp0 (rank_data_centre (g, r), data_centre) == 0;
  return n;
}

/* (nullable): the only data centre that more than half of the ranks can be in,
 * found by cancelling out pairs of ranks in different ones. */
static const char *
majority_candidate (const CfLedGroup *g)
{
  const char *candidate = NULL;
  int n = 0;

  for (int r = 0; r < g->coordinator.shape.ranks; r++)
    {
      const char *dc = rank_data_centre (g, r);

      if (n == 0)
        candidate = dc;
      n += g_strcmp0 (dc, candidate) == 0 ? 1 : -1;
    }
  return candidate;
}

void
cf_led_group_update_data_centre (CfLedGroup *g)
{
  gint64 now = cf_gateway_now (g->service->gateway);
  int n_ranks = g->coordinator.shape.ranks;
  const char *dc;
  int n;

  if (g->data_centre_ms && now - g->data_centre_ms < DATA_CENTRE_INTERVAL_MS)
    return;
  g->data_centre_ms = now;
  dc = majority_candidate (g);
  n = dc ? count_ranks_in (g, dc) : 0;
  g_free (g->data_centre);
  g->data_centre = n * 2 > n_ranks ? g_strdup (dc) : NULL;
  g->is_in_one_data_centre
      = g->data_centre && n + count_ranks_in (g, NULL) == n_ranks;
}

static CfSeedOrder
get_seed_order (const CfLedGroup *g)
{
  const CfGateway *gw = g->service->gateway;
  gint64 leaderless_ms = g->leaderless_since_ms
                             ? cf_gateway_now (gw) - g->leaderless_since_ms
                             : 0;
  CfSeedOrder o = { 0 };

  o.n = MIN (g_strv_length (gw->settings.seed_addrs), CF_SEEDS_MAX);
  o.first = g_str_hash (g->name) % MAX (o.n, 1);
  o.data_centres = (const char *const *)gw->seed_data_centres;
  if (leaderless_ms < LOCAL_ORDER_MAX_MS)
    o.group_data_centre = g->data_centre;
  return o;
}

/* Returns a bit mask of the seeds that come before this gateway in the order of
 * the group. */
static guint
seeds_ahead (const CfLedGroup *g)
{
  CfSeedOrder o = get_seed_order (g);

  return cf_seed_order_ahead (&o, (guint)g->service->seed);
}

/* Counts the ranks with a recent status that follow no leader and can reach
 * none of @seeds, a bit mask. */
static int
count_leaderless (const CfLedGroup *g, guint seeds)
{
  gint64 now = cf_gateway_now (g->service->gateway);
  int n = 0;

  for (int r = 0; r < g->coordinator.shape.ranks; r++)
    {
      const CfAgentLink *a = g->agents[r];

      n += a && now - a->status_seen_ms < STATUS_MAX_AGE_MS
           && a->leader_fence == 0 && (a->seeds_up & seeds) == 0;
    }
  return n;
}

static void
update_leaderless (CfLedGroup *g)
{
  if (count_leaderless (g, 0) * 2 <= g->coordinator.shape.ranks)
    g->leaderless_since_ms = 0;
  else if (!g->leaderless_since_ms)
    g->leaderless_since_ms = cf_gateway_now (g->service->gateway);
}

/* Whether a seed in the group's data centre may just not have said yet where it
 * is.  A lead that is taken too early stays elsewhere for HAND_OVER_MS. */
static gboolean
is_local_seed_expected (const CfLedGroup *g)
{
  const CfGateway *gw = g->service->gateway;
  gint64 now = cf_gateway_now (gw);
  CfSeedOrder o = get_seed_order (g);

  return now - gw->started_ms < UNKNOWN_SEED_MAX_AGE_MS
         && now - g->leaderless_since_ms < UNKNOWN_SEED_WAIT_MS
         && cf_seed_order_may_change (&o, (guint)g->service->seed);
}

static gboolean
do_most_ranks_reach (const CfLedGroup *g, guint seed)
{
  gint64 now = cf_gateway_now (g->service->gateway);
  int n = 0;

  for (int r = 0; r < g->coordinator.shape.ranks; r++)
    {
      const CfAgentLink *a = g->agents[r];

      n += a && now - a->status_seen_ms < STATUS_MAX_AGE_MS
           && (a->seeds_up >> seed & 1);
    }
  return n * 2 > g->coordinator.shape.ranks;
}

/* Whether this gateway leads from another data centre than the group's, and a
 * seed that is there can lead. */
static gboolean
is_local_seed_able (const CfLedGroup *g)
{
  CfSeedOrder o = get_seed_order (g);
  guint local = cf_seed_order_local (&o);

  if (g->coordinator.fence == 0 || local >> g->service->seed & 1)
    return FALSE;
  for (guint i = 0; i < o.n; i++)
    if ((local >> i & 1) && do_most_ranks_reach (g, i))
      return TRUE;
  return FALSE;
}

/* Whether to leave the lead to a seed of the group's data centre.  The group
 * has no leader for a moment then, so that this is done only between changes.
 */
static gboolean
should_hand_over (CfLedGroup *g)
{
  gint64 now = cf_gateway_now (g->service->gateway);

  if (!is_local_seed_able (g))
    g->local_seed_since_ms = 0;
  else if (!g->local_seed_since_ms)
    g->local_seed_since_ms = now;
  return g->local_seed_since_ms && g->coordinator.state == CF_MAP_IDLE
         && now - g->local_seed_since_ms >= HAND_OVER_MS;
}

/* Whether most ranks follow no leader and can reach no seed that precedes this
 * gateway.  A seed that returns does not replace the current leader, as this
 * would cost the group a second or more in the middle of a change; a leader
 * elsewhere hands over by itself (should_hand_over()). */
static gboolean
may_take_lead (const CfLedGroup *g)
{
  return !is_local_seed_expected (g)
         && count_leaderless (g, seeds_ahead (g)) * 2
                > g->coordinator.shape.ranks;
}

/* Returns how many seeds are to take over before this gateway from the leader
 * that holds a pass. */
static int
count_seeds_ahead (const CfLedGroup *g)
{
  guint leader = (guint)(g->lease.fence % FENCE_STEP);
  guint before = seeds_ahead (g) & ~(1U << leader);

  return __builtin_popcount (before);
}

/* Whether the hold lease of another leader has expired so that this gateway may
 * take over.  It does not wait until the agents no longer follow that leader,
 * since the group is stopped until a leader ends the hold. */
static gboolean
may_take_over (const CfLedGroup *g)
{
  return cf_hold_lease_has_expired (&g->lease, count_seeds_ahead (g),
                                    cf_gateway_now (g->service->gateway));
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
  g->highest_fence = MAX (g->highest_fence, m->u.hold_lease.fence);
  cf_hold_lease_renew (&g->lease, m->u.hold_lease.fence, m->u.hold_lease.held,
                       cf_gateway_now (s->gateway));
}

void
cf_led_group_renew_lease (CfLedGroup *g)
{
  gboolean held
      = g->leads && cf_map_coordinator_is_holding_pass (&g->coordinator);
  gint64 now = cf_gateway_now (g->service->gateway);
  CfPeerMsg m = { .kind = CF_PEER_HOLD_LEASE };

  /* The leader that fenced this gateway off notifies the seeds itself. */
  if (g->coordinator.fence == 0)
    g->lease_announced = FALSE;
  if (!held && !g->lease_announced)
    return;
  if (held && g->lease_announced
      && now - g->lease_sent_ms < CF_HOLD_LEASE_RENEW_MS)
    return;
  g->lease_announced = held;
  g->lease_sent_ms = now;
  m.u.hold_lease.group.data = g->name;
  m.u.hold_lease.group.n = strlen (g->name);
  m.u.hold_lease.fence = g->coordinator.fence;
  m.u.hold_lease.held = held;
  if (g->service->notify_seeds)
    g->service->notify_seeds (g->service->notify_data, &m);
}

void
cf_led_group_decide_lead (CfLedGroup *g)
{
  gint64 now = cf_gateway_now (g->service->gateway);
  gboolean takes_over = g->coordinator.fence == 0 && may_take_over (g);
  gboolean lead;

  update_leaderless (g);
  lead = g->coordinator.fence ? has_majority (g)
                              : takes_over || may_take_lead (g);
  /* A gateway that is stopping leads only to end a hold if no other does. */
  lead = lead
         && (!g->service->gateway->stopping || takes_over
             || cf_map_coordinator_is_holding_pass (&g->coordinator));
  /* The leader that fenced this gateway off may be the right one; by the end of
   * this time, all ranks have reported which leader they follow. */
  if (g->coordinator.fenced_ms
      && now - g->coordinator.fenced_ms < LEAD_RETRY_MS)
    lead = FALSE;
  if (should_hand_over (g))
    {
      cf_log (LOG_NOTICE, CF_EV_MAP_SETTLE,
              "group=%s outcome=handed-over fence=%" G_GINT64_FORMAT, g->name,
              g->coordinator.fence);
      g->local_seed_since_ms = 0;
      lead = FALSE;
    }
  if (lead && g->coordinator.fence == 0)
    {
      gint64 fence
          = (g->highest_fence / FENCE_STEP + 1) * FENCE_STEP + g->service->seed;

      g->highest_fence = fence;
      g->lease.held = FALSE;
      if (takes_over)
        cf_log (LOG_NOTICE, CF_EV_MAP_SETTLE,
                "group=%s outcome=lease-expired holder_fence=%" G_GINT64_FORMAT
                " silent_ms=%" G_GINT64_FORMAT,
                g->name, g->lease.fence, now - g->lease.renewed_ms);
      g->lead_since_ms = now;
      cf_map_coordinator_start_leading (&g->coordinator, fence, g_random_int (),
                                        now);
    }
  /* This gateway does not give up the lead in the middle of a change; the next
   * leader's token ends it then. */
  else if (!lead && g->coordinator.fence && g->coordinator.state == CF_MAP_IDLE)
    g->coordinator.fence = 0;
  g->leads = g->coordinator.fence != 0;
}
