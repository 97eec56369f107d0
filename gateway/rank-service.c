#include "rank-service-parts.h"

#include "log.h"
#include "peer-crashes.h"
#include "map-gain.h"
#include "net.h"
#include "platform/platform-rank.h"

#include <string.h>

/** Intervals of the coordinator's tick while a change is in progress, and
 * otherwise. */
#define BUSY_INTERVAL_S 0.02
#define IDLE_INTERVAL_S 0.1
/** Interval while a longer piece of work is left, such as a plan; callers are
 * served in between. */
#define MORE_WORK_INTERVAL_S 0.002
/** Interval of the heartbeats to agents. */
#define HEARTBEAT_MS 400
/** Number of ranks of a group whose counters are read often.  A sample of this
 * size shows the demand as well as all ranks would, and saves leaders of large
 * groups work. */
#define SAMPLE_RANKS 32
/** Read intervals of the sample, and of the other ranks.  A change of demand
 * is detected after two reads. */
#define SAMPLE_READ_MS 100
#define OTHER_READ_MS 1000
/** Read interval while the leader settles, since it needs the status of every
 * rank. */
#define SETTLE_READ_MS 100
/** While a pass is held, a rank whose last status is older is probed directly,
 * since the whole group waits for it. */
#define SILENT_RANK_MS 500

CfTarget *
cf_rank_service_target (const CfRankService *s, const char *addr)
{
  return addr ? cf_target_table_lookup_addr (&s->gateway->targets, addr) : NULL;
}

static void
on_request_lists (void *data, int rank)
{
  CfLedGroup *g = data;
  CfPeerMsg m = { .kind = CF_PEER_REQUEST_LISTS };

  if (g->agents[rank])
    cf_peer_msg_send (g->agents[rank]->link, &m);
}

static void
on_state_changed (void *data, CfMapState from, CfMapState to, const char *why)
{
  CfLedGroup *g = data;
  const CfMapCoordinator *c = &g->coordinator;

  cf_log (LOG_NOTICE,
          to == CF_MAP_PREPARING ? CF_EV_PLACEMENT
          : to == CF_MAP_IDLE    ? CF_EV_MAP_CHANGE
                                 : CF_EV_MAP_SETTLE,
          "group=%s from=%s to=%s why=%s version=%" G_GINT64_FORMAT
          " step=%" G_GINT64_FORMAT " epoch=%" G_GINT64_FORMAT
          " fence=%" G_GINT64_FORMAT " copies=%d skew=%.2f planned=%.2f"
          " pass_ms=%" G_GINT64_FORMAT,
          g->name, cf_map_state_name (from), cf_map_state_name (to), why,
          c->version, c->pass_to_hold, c->epoch, c->fence, c->n_copies,
          c->skew_before, c->skew_after, c->pass_ms);
  cf_led_group_renew_lease (g);
}

static const CfMapCoordinatorCallbacks coordinator_callbacks
    = { cf_led_group_on_order, on_request_lists, on_state_changed };

/* Groups */

static const CfEngineModel *
find_engine (const CfAgentLink *a)
{
  CfTarget *t = cf_rank_service_target (a->service, a->target_addr);
  const CfService *sv = NULL;

  if (t && a->service->gateway->policy)
    sv = cf_policy_service (a->service->gateway->policy, t->record.service);
  return sv && sv->engine.sets > 0 ? &sv->engine : NULL;
}

/* Reads from the routes the longest pass that serves callers in time, once per
 * configuration version. */
static void
update_pass_objective (CfAgentLink *a)
{
  const CfPolicy *p = a->service->gateway->policy;
  const CfTarget *t;

  if (!p || a->group->policy_version == p->version)
    return;
  t = cf_rank_service_target (a->service, a->target_addr);
  if (!t)
    return;
  a->group->policy_version = p->version;
  a->group->coordinator.pass_objective_ms
      = cf_policy_gap_objective_ms (p, t->record.service);
}

static CfLedGroup *
new_group (CfAgentLink *a, const CfRankStatus *st)
{
  const CfEngineModel *e = find_engine (a);
  CfPlanLimits limits;
  CfGroupShape shape;
  CfLedGroup *g;

  if (!e || st->size <= 0)
    return NULL;
  limits = cf_map_choose_limits (e->copy_ms, e->sets);
  shape.sets = e->sets;
  shape.experts = e->experts;
  shape.places = e->places;
  shape.spare = e->spare;
  shape.ranks = st->size;
  g = g_new0 (CfLedGroup, 1);
  g->service = a->service;
  g_strlcpy (g->name, st->group, sizeof g->name);
  cf_map_coordinator_init (&g->coordinator, &shape, &limits,
                           &coordinator_callbacks, g);
  g->agents = g_new0 (CfAgentLink *, shape.ranks);
  g->target_addrs = g_new0 (char *, shape.ranks);
  g->order_watches = g_new0 (CfOrderWatch, shape.ranks);
  g->probed_ms = g_new0 (gint64, shape.ranks);
  g->rank_tokens = g_new0 (CfRankToken, shape.ranks);
  g->report_lag_ms = (gint64)e->report_lag_ms;
  g_hash_table_insert (a->service->groups, g->name, g);
  return g;
}

static void
leave_group (CfAgentLink *a)
{
  if (a->group && a->group->agents[a->rank] == a)
    a->group->agents[a->rank] = NULL;
  a->group = NULL;
}

static void
join_group (CfAgentLink *a, const CfRankStatus *st)
{
  CfLedGroup *g = g_hash_table_lookup (a->service->groups, st->group);

  if (!g)
    g = new_group (a, st);
  if (a->group && (a->group != g || a->rank != st->rank))
    leave_group (a);
  if (!g || st->rank < 0 || st->rank >= g->coordinator.shape.ranks)
    return;
  a->group = g;
  a->rank = st->rank;
  g->agents[a->rank] = a;
  if (g_strcmp0 (g->target_addrs[a->rank], a->target_addr) != 0)
    {
      g_free (g->target_addrs[a->rank]);
      g->target_addrs[a->rank] = g_strdup (a->target_addr);
      g->data_centre_ms = 0;
    }
}

/* While a pass is held, probes the ranks directly whose agents send no status,
 * since the whole group waits for them.  An agent may have passed a hold on
 * just before its VM stalled, so that no status shows it; a change that has to
 * be settled therefore counts as well. */
static void
probe_silent_ranks (CfLedGroup *g)
{
  gint64 now = cf_gateway_now (g->service->gateway);
  gboolean held = g->coordinator.state == CF_MAP_SETTLING
                  && g->coordinator.pass_to_hold != 0;

  for (int r = 0; r < g->coordinator.shape.ranks; r++)
    held |= g->coordinator.ranks[r].status.held != 0;
  for (int r = 0; held && r < g->coordinator.shape.ranks; r++)
    {
      /* The release of a pass that began long ago changes nothing, but shows
       * whether the rank accepts this leader's token. */
      CfRankOrder probe = { .kind = CF_ORDER_RELEASE, .step = 1 };

      /* Agents send the status to gateways that do not lead only once a
       * second. */
      if (now - MAX (g->coordinator.ranks[r].as_of_ms, g->lead_since_ms)
              < SILENT_RANK_MS
          || now - g->probed_ms[r] < SILENT_RANK_MS)
        continue;
      g->probed_ms[r] = now;
      probe.epoch = g->coordinator.epoch;
      probe.fence = g->coordinator.fence;
      cf_led_group_send_direct (g, r, &probe, FALSE);
    }
}

static void
expire_orders (CfLedGroup *g)
{
  gint64 now = cf_gateway_now (g->service->gateway);

  for (int r = 0; r < g->coordinator.shape.ranks; r++)
    if (cf_order_watch_check_expiry (&g->order_watches[r], now))
      cf_map_coordinator_take_ack (&g->coordinator, r, CF_RANK_ACK_UNKNOWN,
                                   now);
}

static gint64
read_interval_ms (const CfAgentLink *a)
{
  int stride;

  if (!a->group)
    return OTHER_READ_MS;
  /* A leader that settles needs the status of every rank. */
  if (a->group->leads && a->group->coordinator.state == CF_MAP_SETTLING)
    return SETTLE_READ_MS;
  stride
      = (a->group->coordinator.shape.ranks + SAMPLE_RANKS - 1) / SAMPLE_RANKS;
  return a->rank % stride == 0 ? SAMPLE_READ_MS : OTHER_READ_MS;
}

/* Whether this gateway has to send heartbeats even while it stops, as it may be
 * the only one left that can end a hold. */
static gboolean
may_hold_pass (const CfLedGroup *g)
{
  return g && g->leads
         && (g->coordinator.state == CF_MAP_SETTLING
             || cf_map_coordinator_is_holding_pass (&g->coordinator));
}

/* A gateway that is stopping sends no heartbeats, so that the next seed takes
 * the lead while this one completes its requests. */
static void
send_heartbeat (CfAgentLink *a)
{
  CfPeerMsg m = { .kind = CF_PEER_HEARTBEAT };

  if (a->service->gateway->stopping && !may_hold_pass (a->group))
    return;
  m.u.heartbeat.fence = a->group ? a->group->coordinator.fence : 0;
  m.u.heartbeat.report_interval_ms = read_interval_ms (a);
  cf_peer_msg_send (a->link, &m);
}

static void
send_heartbeats (CfRankService *s)
{
  CfAgentLink *a;

  TAILQ_FOREACH (a, &s->agents, entry)
  send_heartbeat (a);
}

static gboolean
is_changing (const CfLedGroup *g)
{
  return cf_hold_lease_is_active (&g->lease,
                                  cf_gateway_now (g->service->gateway))
         || (g->leads && g->coordinator.state != CF_MAP_IDLE
             && g->coordinator.state != CF_MAP_SETTLING);
}

/* Returns whether a heartbeat has to announce to the agents that this gateway
 * now leads, or has ceased to, or that it now settles and needs the status of
 * every rank; marks that as announced. */
static gboolean
update_announcements (CfLedGroup *g)
{
  gboolean settles = g->leads && g->coordinator.state == CF_MAP_SETTLING;
  gboolean changed
      = g->leads != g->lead_announced || (settles && !g->settling_announced);

  g->lead_announced = g->leads;
  g->settling_announced = settles;
  return changed;
}

/* Logs when the ranks of a led group begin or cease to send a status without
 * demand: its maps cannot follow the demand then. */
static void
watch_demand (CfLedGroup *g)
{
  gint64 now = cf_gateway_now (g->service->gateway);
  gboolean is_due = g->leads && g->coordinator.state == CF_MAP_IDLE;
  CfDemandWatchChange c = cf_demand_watch_check (&g->demand_watch, is_due, now);

  if (c == CF_DEMAND_UNCHANGED)
    return;
  cf_log (c == CF_DEMAND_MISSING ? LOG_WARNING : LOG_NOTICE, CF_EV_NO_DEMAND,
          "group=%s outcome=%s dropped_by_agents=%" G_GUINT64_FORMAT
          " dropped=%" G_GUINT64_FORMAT,
          g->name, c == CF_DEMAND_MISSING ? "begins" : "over",
          g->service->gateway->stats.agent_readings_dropped,
          g->service->gateway->dropped.n_dropped[CF_READING_DEMAND]);
}

/* The ranks of a group report to all seeds, so that a seed that has reports
 * from all groups knows where they are. */
static void
update_group_counts (const CfRankService *s, guint n_local)
{
  CfGateway *g = s->gateway;
  guint n = g_hash_table_size (s->groups);

  g->n_rank_groups = MAX (g->n_rank_groups, n);
  g->counts_rank_groups = n > 0 && n == g->n_rank_groups;
  if (g->counts_rank_groups)
    g->n_local_rank_groups = n_local;
}

static void
on_timer (struct ev_loop *loop, ev_timer *t, int revents)
{
  CfRankService *s = t->data;
  CfLoopActivity before
      = cf_gateway_enter_activity (s->gateway, CF_LOOP_LEADING);
  gboolean is_busy = FALSE;
  gboolean has_more = FALSE;
  gint64 now = cf_gateway_now (s->gateway);
  gboolean heartbeat_due = now - s->heartbeat_sent_ms >= HEARTBEAT_MS;
  guint n_without_demand = 0;
  guint n_local = 0;
  GHashTableIter it;
  gpointer v;

  g_hash_table_iter_init (&it, s->groups);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      CfLedGroup *g = v;

      cf_led_group_update_data_centre (g);
      if (s->seed >= 0)
        cf_led_group_decide_lead (g);
      heartbeat_due |= update_announcements (g);
      expire_orders (g);
      if (g->leads)
        probe_silent_ranks (g);
      cf_map_coordinator_tick (&g->coordinator, now);
      cf_led_group_renew_lease (g);
      watch_demand (g);
      n_without_demand += g->demand_watch.is_missing;
      n_local += g->is_in_one_data_centre;
      is_busy |= is_changing (g);
      has_more |= cf_map_coordinator_has_pending_work (&g->coordinator);
    }
  s->gateway->groups_without_demand = n_without_demand;
  update_group_counts (s, n_local);
  ev_timer_set (t, 0,
                has_more  ? MORE_WORK_INTERVAL_S
                : is_busy ? BUSY_INTERVAL_S
                          : IDLE_INTERVAL_S);
  ev_timer_again (loop, t);
  if (heartbeat_due)
    {
      s->heartbeat_sent_ms = now;
      send_heartbeats (s);
    }
  cf_gateway_enter_activity (s->gateway, before);
}

/* Messages from agents */

/* Returns for how long the rank's group has run no passes; 0 if it runs them.
 */
static gint64
update_broken_time (CfAgentLink *a, const CfRankStatus *st)
{
  gint64 now = cf_gateway_now (a->service->gateway);

  if (st->open || !st->group[0])
    a->broken_since_ms = 0;
  else if (!a->broken_since_ms)
    a->broken_since_ms = now;
  return a->broken_since_ms ? now - a->broken_since_ms : 0;
}

/* Updates the slowdown factor of a rank's target.  A slow rank delays its whole
 * group, so it is sent fewer requests. */
static void
update_slowdown (CfAgentLink *a, const CfRankStatus *st)
{
  CfTarget *t = cf_rank_service_target (a->service, a->target_addr);
  double slowdown = cf_rank_routing_slowdown (st, update_broken_time (a, st));

  if (!t
      || (st->incarnation.is_set
          && cf_target_is_older_incarnation (t, st->incarnation.value)))
    return;
  t->slowdown_observed_ms = cf_gateway_now (a->service->gateway);
  cf_gateway_update_slowdown (a->service->gateway, t, slowdown, "agent");
}

/* The agent counts from its own start. */
static void
count_agent_drops (CfAgentLink *a, guint64 readings_dropped)
{
  if (readings_dropped > a->readings_dropped)
    a->service->gateway->stats.agent_readings_dropped
        += readings_dropped - a->readings_dropped;
  a->readings_dropped = readings_dropped;
}

static void
take_demand (CfAgentLink *a, const GArray *expert_counts)
{
  gboolean has_counts = expert_counts && expert_counts->len;

  cf_demand_watch_note_status (&a->group->demand_watch, has_counts,
                               cf_gateway_now (a->service->gateway));
  if (has_counts
      && !cf_map_coordinator_add_demand (
          &a->group->coordinator, (const gint64 *)(gpointer)expert_counts->data,
          expert_counts->len))
    cf_gateway_drop_reading (a->service->gateway, CF_READING_DEMAND,
                             a->target_addr, "not of the group's shape");
}

static void
take_status (CfAgentLink *a, const CfPeerMsg *m)
{
  const CfRankStatus *st = &m->u.rank_status.status;
  gint64 now = cf_gateway_now (a->service->gateway);

  count_agent_drops (a, m->u.rank_status.readings_dropped);
  join_group (a, st);
  if (!a->group)
    {
      cf_gateway_drop_reading (a->service->gateway, CF_READING_RANK_STATUS,
                               a->target_addr,
                               "no group, or no engine configured for it");
      return;
    }
  update_slowdown (a, st);
  update_pass_objective (a);
  a->status_seen_ms = now;
  cf_order_watch_note_status (&a->group->order_watches[a->rank]);
  a->seeds_up = m->u.rank_status.seeds_up;
  a->leader_fence = m->u.rank_status.leader_fence;
  /* A map version contains the token of the leader that made it, so it reveals
   * leaders whose orders the agent has forgotten. */
  a->group->highest_fence
      = MAX (a->group->highest_fence, m->u.rank_status.highest_fence);
  a->group->highest_fence
      = MAX (a->group->highest_fence, cf_map_version_fence (st->map));
  a->group->highest_fence
      = MAX (a->group->highest_fence, cf_map_version_fence (st->prepared));
  if (!cf_map_coordinator_take_status (&a->group->coordinator, st,
                                       m->u.rank_status.highest_fence, now))
    cf_gateway_drop_reading (a->service->gateway, CF_READING_RANK_STATUS,
                             a->target_addr,
                             "of an earlier epoch or incarnation");
  take_demand (a, m->u.rank_status.expert_counts);
  cf_map_coordinator_tick (&a->group->coordinator, now);
}

static void
take_ack (CfAgentLink *a, const CfPeerMsg *m)
{
  CfLedGroup *g = a->group;
  gint64 now = cf_gateway_now (a->service->gateway);

  if (!g
      || !cf_order_watch_note_answer (&g->order_watches[a->rank],
                                      m->u.order_ack.seq))
    return;
  a->lacks_base = m->u.order_ack.http_status == CF_PEER_STATUS_UNKNOWN_BASE;
  if (m->u.order_ack.status.group[0])
    cf_map_coordinator_take_status (&g->coordinator, &m->u.order_ack.status,
                                    m->u.order_ack.highest_fence, now);
  cf_map_coordinator_take_ack (
      &g->coordinator, a->rank,
      cf_platform_rank_ack_from_status ((int)m->u.order_ack.http_status), now);
  cf_map_coordinator_tick (&g->coordinator, now);
}

static void
take_lists (CfAgentLink *a, const CfPeerMsg *m)
{
  if (!a->group
      || !cf_map_coordinator_take_lists (
          &a->group->coordinator, a->rank, m->u.lists.epoch, m->u.lists.version,
          (const gint64 *)(gpointer)m->u.lists.experts->data,
          m->u.lists.experts->len))
    cf_gateway_drop_reading (a->service->gateway, CF_READING_EXPERT_LISTS,
                             a->target_addr,
                             "of another epoch or not of the group's shape");
}

static void
handle_msg (void *owner, const CfPeerMsg *m)
{
  CfAgentLink *a = owner;

  switch (m->kind)
    {
    case CF_PEER_CRASHES:
      cf_peer_crashes_merge (a->service->gateway->quarantine, m, a->target_addr,
                             a->service->gateway->now_ms);
      break;
    case CF_PEER_AGENT_HELLO:
      g_free (a->target_addr);
      a->target_addr = g_strndup (m->u.agent_hello.target_addr.data,
                                  m->u.agent_hello.target_addr.n);
      break;
    case CF_PEER_RANK_STATUS:
      take_status (a, m);
      break;
    case CF_PEER_ORDER_ACK:
      take_ack (a, m);
      break;
    case CF_PEER_LISTS:
      take_lists (a, m);
      break;
    default:
      break;
    }
}

static void
on_frame (void *owner, CfPeerLink *l, const char *data, gsize n)
{
  const CfAgentLink *a = owner;
  CfGateway *g = a->service->gateway;
  CfLoopActivity before = cf_gateway_enter_activity (g, CF_LOOP_LEADING);

  cf_peer_msg_receive (data, n, "agent", a->target_addr, handle_msg, owner);
  cf_gateway_enter_activity (g, before);
}

static void
on_up (void *owner, CfPeerLink *l)
{
}

static void
on_down (void *owner, CfPeerLink *l)
{
  CfAgentLink *a = owner;

  cf_log (LOG_NOTICE, CF_EV_PEER, "agent=%s outcome=down",
          a->target_addr ? a->target_addr : "-");
  leave_group (a);
  TAILQ_REMOVE (&a->service->agents, a, entry);
  g_free (a->target_addr);
  g_free (a);
}

static const CfPeerLinkCallbacks link_callbacks = { on_up, on_frame, on_down };

void
cf_rank_service_notify (CfRankService *s, const CfPeerMsg *m)
{
  CfAgentLink *a;

  TAILQ_FOREACH (a, &s->agents, entry)
  cf_peer_msg_send (a->link, m);
}

void
cf_rank_service_adopt (CfRankService *s, CfPeerLink *l, const CfPeerMsg *first)
{
  CfAgentLink *a = g_new0 (CfAgentLink, 1);

  a->service = s;
  a->link = l;
  cf_peer_link_set_owner (l, &link_callbacks, a);
  TAILQ_INSERT_TAIL (&s->agents, a, entry);
  handle_msg (a, first);
  send_heartbeat (a);
  /* Agents keep replicas in case all gateways are killed at once. */
  cf_peer_crashes_send_all (s->gateway->quarantine, l, TRUE,
                            s->gateway->now_ms);
}

void
cf_rank_service_set_notify (CfRankService *s, CfRankServiceNotify notify,
                            void *data)
{
  s->notify_seeds = notify;
  s->notify_data = data;
}

static int
find_own_seed (const CfPlatformSettings *set)
{
  for (int i = 0; set->control_addr && set->seed_addrs[i]; i++)
    if (strcmp (set->seed_addrs[i], set->control_addr) == 0)
      return i;
  return -1;
}

CfRankService *
cf_rank_service_new (CfGateway *g)
{
  CfRankService *s = g_new0 (CfRankService, 1);

  s->gateway = g;
  s->seed = find_own_seed (&g->settings);
  s->groups = g_hash_table_new (g_str_hash, g_str_equal);
  TAILQ_INIT (&s->agents);
  ev_timer_init (&s->timer, on_timer, IDLE_INTERVAL_S, IDLE_INTERVAL_S);
  s->timer.data = s;
  ev_timer_start (g->loop, &s->timer);
  return s;
}
