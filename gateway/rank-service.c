#include "rank-service-parts.h"

#include "log.h"
#include "peer-crashes.h"
#include "map-gain.h"
#include "net.h"
#include "platform/platform-rank.h"

#include <string.h>

/** The coordinator's tick while a change is under way, and otherwise. */
#define BUSY_TICK_S 0.02
#define IDLE_TICK_S 0.1
/** Between two parts of a longer work, in which callers are served. */
#define MORE_TICK_S 0.002
/** How often agents are told that this gateway lives. */
#define TICK_MS 400
/** Ranks of a group whose counts are read often: a sample this large shows
 * demand as well as all do, and a leader of large groups is spared. */
#define SAMPLE_RANKS 32
/** How often the sample is read, and the other ranks: a change of demand is
 * seen after two readings. */
#define SAMPLE_READ_MS 100
#define OTHER_READ_MS 1000
/** The same while the leader settles: all ranks then have to be heard. */
#define SETTLE_READ_MS 100
/** While a pass is held, a rank not heard of for so long is asked directly:
 * the whole group waits for it. */
#define DIRECT_AFTER_MS 500

CfTarget *
cf_rank_service_target (const CfRankService *s, const char *addr)
{
  return addr ? cf_target_table_at (&s->g->targets, addr) : NULL;
}

static void
on_want_lists (void *data, int rank)
{
  CfLedGroup *g = data;
  CfPeerMsg m = { .kind = CF_PEER_WANT_LISTS };

  if (g->agents[rank])
    cf_peer_msg_send (g->agents[rank]->peer, &m);
}

static void
on_moved (void *data, CfMapState from, CfMapState to, const char *why)
{
  CfLedGroup *g = data;
  const CfMapCoordinator *c = &g->c;

  cf_log (LOG_NOTICE,
          to == CF_MAP_PREPARING ? CF_EV_PLACEMENT
          : to == CF_MAP_IDLE    ? CF_EV_MAP_CHANGE
                                 : CF_EV_MAP_SETTLE,
          "group=%s from=%s to=%s why=%s version=%" G_GINT64_FORMAT
          " step=%" G_GINT64_FORMAT " epoch=%" G_GINT64_FORMAT
          " fence=%" G_GINT64_FORMAT " copies=%d skew=%.2f planned=%.2f"
          " pass_ms=%" G_GINT64_FORMAT,
          g->name, cf_map_state_name (from), cf_map_state_name (to), why,
          c->version, c->step, c->epoch, c->fence, c->last_copies,
          c->skew_before, c->skew_after, c->pass_ms);
  cf_led_group_renew_lease (g);
}

static const CfMapCoordinatorCalls coordinator_calls
    = { cf_led_group_on_order, on_want_lists, on_moved };

/* Groups */

static const CfEngineModel *
engine_of (const CfRankLink *a)
{
  CfTarget *t = cf_rank_service_target (a->s, a->target_addr);
  const CfService *sv = NULL;

  if (t && a->s->g->policy)
    sv = cf_policy_service (a->s->g->policy, t->record.service);
  return sv && sv->engine.sets > 0 ? &sv->engine : NULL;
}

/* Looks at the routes once a version. */
static void
learn_pass_aim (CfRankLink *a)
{
  const CfPolicy *p = a->s->g->policy;
  const CfTarget *t;

  if (!p || a->group->policy_version == p->version)
    return;
  t = cf_rank_service_target (a->s, a->target_addr);
  if (!t)
    return;
  a->group->policy_version = p->version;
  a->group->c.pass_aim_ms = cf_policy_gap_aim_ms (p, t->record.service);
}

static CfLedGroup *
new_group (CfRankLink *a, const CfRankStatus *st)
{
  const CfEngineModel *e = engine_of (a);
  CfPlanLimits limits;
  CfGroupShape shape;
  CfLedGroup *g;

  if (!e || st->size <= 0)
    return NULL;
  limits = cf_map_plan_limits (e->copy_ms, e->sets);
  shape.sets = e->sets;
  shape.experts = e->experts;
  shape.places = e->places;
  shape.spare = e->spare;
  shape.ranks = st->size;
  g = g_new0 (CfLedGroup, 1);
  g->s = a->s;
  g_strlcpy (g->name, st->group, sizeof g->name);
  cf_map_coordinator_init (&g->c, &shape, &limits, &coordinator_calls, g);
  g->agents = g_new0 (CfRankLink *, shape.ranks);
  g->addrs = g_new0 (char *, shape.ranks);
  g->orders = g_new0 (CfOrderWatch, shape.ranks);
  g->direct_ms = g_new0 (gint64, shape.ranks);
  g->guards = g_new0 (CfRankGuard, shape.ranks);
  g->report_lag_ms = (gint64)e->report_lag_ms;
  g_hash_table_insert (a->s->groups, g->name, g);
  return g;
}

static void
leave_group (CfRankLink *a)
{
  if (a->group && a->group->agents[a->rank] == a)
    a->group->agents[a->rank] = NULL;
  a->group = NULL;
}

static void
join_group (CfRankLink *a, const CfRankStatus *st)
{
  CfLedGroup *g = g_hash_table_lookup (a->s->groups, st->group);

  if (!g)
    g = new_group (a, st);
  if (a->group && (a->group != g || a->rank != st->rank))
    leave_group (a);
  if (!g || st->rank < 0 || st->rank >= g->c.shape.ranks)
    return;
  a->group = g;
  a->rank = st->rank;
  g->agents[a->rank] = a;
  if (g_strcmp0 (g->addrs[a->rank], a->target_addr) != 0)
    {
      g_free (g->addrs[a->rank]);
      g->addrs[a->rank] = g_strdup (a->target_addr);
    }
}

/* While a pass is held everyone waits: ranks without an agent are asked
 * directly.  A hold may be unknown: one that an agent passed on just before
 * its VM stood still, so a change that has to be settled counts as well. */
static void
ask_silent_ranks (CfLedGroup *g)
{
  gint64 now = cf_gateway_now (g->s->g);
  gboolean held = g->c.state == CF_MAP_SETTLING && g->c.step != 0;

  for (int r = 0; r < g->c.shape.ranks; r++)
    held |= g->c.ranks[r].status.held != 0;
  for (int r = 0; held && r < g->c.shape.ranks; r++)
    {
      /* The end of a hold long past: it changes nothing, and shows whether
       * the rank takes this leader's token. */
      CfRankOrder probe = { .kind = CF_ORDER_GO, .step = 1 };

      /* Agents tell a standby of their ranks once a second only. */
      if (now - MAX (g->c.ranks[r].seen_ms, g->lead_ms) < DIRECT_AFTER_MS
          || now - g->direct_ms[r] < DIRECT_AFTER_MS)
        continue;
      g->direct_ms[r] = now;
      probe.epoch = g->c.epoch;
      probe.fence = g->c.fence;
      cf_led_group_send_direct (g, r, &probe, FALSE);
    }
}

static void
expire_orders (CfLedGroup *g)
{
  gint64 now = cf_gateway_now (g->s->g);

  for (int r = 0; r < g->c.shape.ranks; r++)
    if (cf_order_watch_expired (&g->orders[r], now))
      cf_map_coordinator_ack (&g->c, r, CF_RANK_ACK_UNKNOWN, now);
}

static gint64
read_ms (const CfRankLink *a)
{
  int stride;

  if (!a->group)
    return OTHER_READ_MS;
  /* A change waits for what every rank says. */
  if (a->group->leads && a->group->c.state == CF_MAP_SETTLING)
    return SETTLE_READ_MS;
  stride = (a->group->c.shape.ranks + SAMPLE_RANKS - 1) / SAMPLE_RANKS;
  return a->rank % stride == 0 ? SAMPLE_READ_MS : OTHER_READ_MS;
}

/* Whether agents have to hear this gateway although it stops: it may be the
 * only one left to end a hold. */
static gboolean
may_hold_pass (const CfLedGroup *g)
{
  return g && g->leads
         && (g->c.state == CF_MAP_SETTLING
             || cf_map_coordinator_holds_pass (&g->c));
}

/* A gateway that stops is silent, so that the next seed takes the lead
 * while this one still ends its requests. */
static void
tell_agent (CfRankLink *a)
{
  CfPeerMsg m = { .kind = CF_PEER_TICK };

  if (a->s->g->stopping && !may_hold_pass (a->group))
    return;
  m.u.tick.fence = a->group ? a->group->c.fence : 0;
  m.u.tick.read_ms = read_ms (a);
  cf_peer_msg_send (a->peer, &m);
}

static void
tell_agents (CfRankService *s)
{
  CfRankLink *a;

  TAILQ_FOREACH (a, &s->agents, link)
  tell_agent (a);
}

static gboolean
is_changing (const CfLedGroup *g)
{
  return cf_hold_lease_is_open (&g->lease, cf_gateway_now (g->s->g))
         || (g->leads && g->c.state != CF_MAP_IDLE
             && g->c.state != CF_MAP_SETTLING);
}

/* Whether its agents wait to hear that this gateway leads, or that it settles
 * and has to hear of all of them. */
static gboolean
has_news_for_agents (CfLedGroup *g)
{
  gboolean settles = g->leads && g->c.state == CF_MAP_SETTLING;
  gboolean news = (g->leads && !g->led_told) || (settles && !g->settle_told);

  g->led_told = g->leads;
  g->settle_told = settles;
  return news;
}

static void
on_timer (struct ev_loop *loop, ev_timer *t, int revents)
{
  CfRankService *s = t->data;
  CfTurnPart before = cf_gateway_enter (s->g, CF_TURN_LEADING);
  gboolean busy = FALSE;
  gboolean more = FALSE;
  gint64 now = cf_gateway_now (s->g);
  gboolean tick = now - s->ticked_ms >= TICK_MS;
  GHashTableIter it;
  gpointer v;

  g_hash_table_iter_init (&it, s->groups);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      CfLedGroup *g = v;

      if (s->seed >= 0)
        cf_led_group_decide_lead (g);
      tick |= has_news_for_agents (g);
      expire_orders (g);
      if (g->leads)
        ask_silent_ranks (g);
      cf_map_coordinator_tick (&g->c, now);
      cf_led_group_renew_lease (g);
      busy |= is_changing (g);
      more |= cf_map_coordinator_has_more (&g->c);
    }
  ev_timer_set (t, 0, more ? MORE_TICK_S : busy ? BUSY_TICK_S : IDLE_TICK_S);
  ev_timer_again (loop, t);
  if (tick)
    {
      s->ticked_ms = now;
      tell_agents (s);
    }
  cf_gateway_enter (s->g, before);
}

/* Frames from agents */

/* For how long the rank's group has made no passes; 0: it does. */
static gint64
note_broken (CfRankLink *a, const CfRankStatus *st)
{
  gint64 now = cf_gateway_now (a->s->g);

  if (st->open || !st->group[0])
    a->broken_ms = 0;
  else if (!a->broken_ms)
    a->broken_ms = now;
  return a->broken_ms ? now - a->broken_ms : 0;
}

/* A slow rank holds up its whole group: it gets fewer requests. */
static void
note_pace (CfRankLink *a, const CfRankStatus *st)
{
  CfTarget *t = cf_rank_service_target (a->s, a->target_addr);
  double pace = cf_rank_routing_pace (st, note_broken (a, st));

  if (!t || cf_target_is_former (t, st->incarnation))
    return;
  t->pace_seen_ms = cf_gateway_now (a->s->g);
  cf_gateway_take_pace (a->s->g, t, pace, "agent");
}

static void
take_status (CfRankLink *a, const CfPeerMsg *m)
{
  const CfRankStatus *st = &m->u.rank_status.status;
  const GArray *drawn = m->u.rank_status.drawn;
  gint64 now = cf_gateway_now (a->s->g);

  join_group (a, st);
  if (!a->group)
    return;
  note_pace (a, st);
  learn_pass_aim (a);
  a->seen_ms = now;
  cf_order_watch_heard (&a->group->orders[a->rank]);
  a->seeds_up = m->u.rank_status.seeds_up;
  a->led = m->u.rank_status.led;
  /* A version holds its leader's token, so it tells of leaders whose
   * orders the agent has forgotten. */
  a->group->fence_seen
      = MAX (a->group->fence_seen, m->u.rank_status.fence_seen);
  a->group->fence_seen
      = MAX (a->group->fence_seen, cf_map_version_fence (st->map));
  a->group->fence_seen
      = MAX (a->group->fence_seen, cf_map_version_fence (st->prepared));
  cf_map_coordinator_status (&a->group->c, st, m->u.rank_status.fence_seen,
                             now);
  if (drawn && drawn->len)
    cf_map_coordinator_drawn (
        &a->group->c, (const gint64 *)(gpointer)drawn->data, drawn->len);
  cf_map_coordinator_tick (&a->group->c, now);
}

static void
take_ack (CfRankLink *a, const CfPeerMsg *m)
{
  CfLedGroup *g = a->group;
  gint64 now = cf_gateway_now (a->s->g);

  if (!g || !cf_order_watch_answered (&g->orders[a->rank], m->u.order_ack.seq))
    return;
  a->lacks_base = m->u.order_ack.http_status == CF_PEER_NO_BASE;
  if (m->u.order_ack.status.group[0])
    cf_map_coordinator_status (&g->c, &m->u.order_ack.status,
                               m->u.order_ack.fence_seen, now);
  cf_map_coordinator_ack (
      &g->c, a->rank,
      cf_platform_rank_ack_from_status ((int)m->u.order_ack.http_status), now);
  cf_map_coordinator_tick (&g->c, now);
}

static void
take_msg (void *owner, const CfPeerMsg *m)
{
  CfRankLink *a = owner;

  switch (m->kind)
    {
    case CF_PEER_CRASHES:
      cf_peer_crashes_merge (a->s->g->quarantine, m, a->target_addr,
                             a->s->g->now_ms);
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
      if (a->group)
        cf_map_coordinator_lists (
            &a->group->c, a->rank, m->u.lists.epoch, m->u.lists.version,
            (const gint64 *)(gpointer)m->u.lists.experts->data,
            m->u.lists.experts->len);
      break;
    default:
      break;
    }
}

static void
on_frame (void *owner, CfPeerLink *l, const char *data, gsize n)
{
  const CfRankLink *a = owner;
  CfGateway *g = a->s->g;
  CfTurnPart before = cf_gateway_enter (g, CF_TURN_LEADING);

  cf_peer_msg_receive (data, n, "agent", a->target_addr, take_msg, owner);
  cf_gateway_enter (g, before);
}

static void
on_up (void *owner, CfPeerLink *l)
{
}

static void
on_down (void *owner, CfPeerLink *l)
{
  CfRankLink *a = owner;

  cf_log (LOG_NOTICE, CF_EV_PEER, "agent=%s outcome=down",
          a->target_addr ? a->target_addr : "-");
  leave_group (a);
  TAILQ_REMOVE (&a->s->agents, a, link);
  g_free (a->target_addr);
  g_free (a);
}

static const CfPeerLinkCalls link_calls = { on_up, on_frame, on_down };

void
cf_rank_service_notify (CfRankService *s, const CfPeerMsg *m)
{
  CfRankLink *a;

  TAILQ_FOREACH (a, &s->agents, link)
  cf_peer_msg_send (a->peer, m);
}

void
cf_rank_service_adopt (CfRankService *s, CfPeerLink *l, const CfPeerMsg *first)
{
  CfRankLink *a = g_new0 (CfRankLink, 1);

  a->s = s;
  a->peer = l;
  cf_peer_link_hand_over (l, &link_calls, a);
  TAILQ_INSERT_TAIL (&s->agents, a, link);
  take_msg (a, first);
  tell_agent (a);
  /* Agents are replicas for the case that all gateways are killed at once. */
  cf_peer_crashes_send_all (s->g->quarantine, l, TRUE, s->g->now_ms);
}

void
cf_rank_service_set_notify (CfRankService *s, CfRankServiceNotify notify,
                            void *data)
{
  s->notify_seeds = notify;
  s->notify_data = data;
}

static int
seed_index (const CfPlatformSettings *set)
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

  s->g = g;
  s->seed = seed_index (&g->set);
  s->groups = g_hash_table_new (g_str_hash, g_str_equal);
  TAILQ_INIT (&s->agents);
  ev_timer_init (&s->timer, on_timer, IDLE_TICK_S, IDLE_TICK_S);
  s->timer.data = s;
  ev_timer_start (g->loop, &s->timer);
  return s;
}
