#include "peer-service.h"

#include "ablation.h"
#include "log.h"
#include "membership.h"
#include "peer-crashes.h"
#include "platform/platform-target.h"
#include "socket.h"

#include <math.h>
#include <string.h>

/** How often peers greet: a gateway without the store is at most this and
 * one exchange behind them. */
#define GREET_MS 1000L
/** A gateway that knows no configuration at all is refusing callers. */
#define GREET_EMPTY_MS 100
#define RECONNECT_MS 1000
/** The store's own news are given so long to arrive before a peer is asked. */
#define STORE_FIRST_MS 400
/** Peers not heard of for so long no longer count as part of the fleet. */
#define FORGET_MS 10000
/** An agent tells its rank's pace once a second, or more often. */
#define PACE_SEEN_MS 2500
/** Peer: a link to another gateway. */
typedef struct Peer
{
  TAILQ_ENTRY (Peer) link;
  CfPeerService *s;
  CfPeerLink *peer;
  int seed; /**< which seed it was made to; -1: it came to us */
  gboolean up;
  char *addr; /**< where it takes links; %NULL until it greeted */
  gint64 policy_rev;
  gint64 targets_rev;
  gint64 heard_ms;
} Peer;

struct CfPeerService
{
  CfGateway *g;
  TAILQ_HEAD (, Peer) peers;
  CfMembership *fleet;
  gint64 greeted_ms;
  gint64 connected_ms;
  gint64 behind_ms; /**< since when a peer is known to be ahead; 0: none */
  CfPeerMsgHandler take_hold_lease; /**< (nullable) */
  void *hold_lease_owner;
  struct sockaddr_in seeds[CF_SEEDS_MAX];
  gboolean seed_valid[CF_SEEDS_MAX];
};

/* What this gateway has to ask a peer for, since the store is of no help:
 * it cannot be reached, or its news are overdue. */
static guint
wants (const Peer *p)
{
  const CfGateway *g = p->s->g;
  gboolean overdue
      = p->s->behind_ms && g->now_ms - p->s->behind_ms >= STORE_FIRST_MS;
  guint want = 0;

  if (p->policy_rev > g->policy_rev
      && (!g->policy || !g->policy_store_up || overdue))
    want |= CF_PEER_WANT_POLICY;
  if (p->targets_rev > g->targets_rev
      && (!g->targets_store_up || g->targets_rev == 0))
    want |= CF_PEER_WANT_TARGETS;
  return want;
}

/* Whether an agent told this gateway itself of the pace of @t lately. */
static gboolean
is_told_by_agent (const CfGateway *g, const CfTarget *t)
{
  return t->pace_seen_ms != 0 && g->now_ms - t->pace_seen_ms <= PACE_SEEN_MS;
}

/* The slow targets that agents told this gateway of lately. */
static GArray *
slow_targets (const CfGateway *g)
{
  GArray *a = g_array_new (FALSE, FALSE, sizeof (CfPeerSlowdown));
  GHashTableIter it;
  gpointer v;

  g_hash_table_iter_init (&it, (GHashTable *)g->targets.by_id);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      const CfTarget *t = v;
      CfPeerSlowdown p;

      if (CF_WITHOUT_SHARED_PACE || t->pace <= 1 || !is_told_by_agent (g, t))
        continue;
      p.addr.data = t->record.addr;
      p.addr.n = strlen (t->record.addr);
      p.thousandths = (gint64)(t->pace * CF_PEER_THOUSANDTHS);
      p.incarnation = t->record.incarnation;
      g_array_append_val (a, p);
    }
  return a;
}

static void
take_paces (CfGateway *g, const GArray *slow)
{
  for (guint i = 0; slow && i < slow->len; i++)
    {
      const CfPeerSlowdown *p = &g_array_index (slow, CfPeerSlowdown, i);
      char *addr = g_strndup (p->addr.data, p->addr.n);
      CfTarget *t = cf_target_table_at (&g->targets, addr);

      /* What an agent tells this gateway itself goes before. */
      if (t && !is_told_by_agent (g, t)
          && !cf_target_is_former (t, p->incarnation))
        cf_gateway_take_pace (
            g, t, (double)p->thousandths / CF_PEER_THOUSANDTHS, "peer");
      g_free (addr);
    }
}

static GArray *
limits_of_targets (const CfGateway *g)
{
  GArray *a = g_array_new (FALSE, FALSE, sizeof (CfPeerRateLimit));
  GHashTableIter it;
  gpointer v;

  g_hash_table_iter_init (&it, g->targets.by_id);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      const CfTarget *t = v;
      CfPeerRateLimit l;

      if (!cf_rate_limit_is_announced (&t->limit, g->now_ms))
        continue;
      l.id.data = t->record.id;
      l.id.n = strlen (t->record.id);
      l.incarnation = t->record.incarnation;
      l.millionths = (gint64)ceil (t->limit.per_s * CF_PEER_MILLIONTHS);
      l.age_ms = g->now_ms - t->limit.heard_ms;
      g_array_append_val (a, l);
    }
  return a;
}

static void
take_limit (CfGateway *g, const CfPeerRateLimit *l, const char *peer)
{
  char *id = g_strndup (l->id.data, l->id.n);
  CfTarget *t = g_hash_table_lookup (g->targets.by_id, id);
  double per_s = (double)l->millionths / CF_PEER_MILLIONTHS;

  g_free (id);
  if (!t || t->record.incarnation != l->incarnation
      || !cf_rate_limit_hear_from_peer (&t->limit, per_s,
                                        g->now_ms - l->age_ms))
    return;
  cf_log (LOG_NOTICE, CF_EV_RATE_LIMIT,
          "target=%s per_s=%.3f source=peer peer=%s", t->record.id, per_s,
          peer);
  g->limits_changed = TRUE;
}

static void
take_limits (CfGateway *g, const GArray *limits, const char *peer)
{
  for (guint i = 0; limits && i < limits->len; i++)
    take_limit (g, &g_array_index (limits, CfPeerRateLimit, i), peer);
}

/* The part of a greeting that is the same for all peers. */
static void
fill_greeting (const CfPeerService *s, CfPeerMsg *m)
{
  const CfGateway *g = s->g;
  const char *addr = g->set.control_addr ? g->set.control_addr : "";
  const char *dc = g->set.data_centre ? g->set.data_centre : "";

  memset (m, 0, sizeof *m);
  m->kind = CF_PEER_GATEWAY_HELLO;
  m->u.gateway_hello.data_centre.data = dc;
  m->u.gateway_hello.data_centre.n = strlen (dc);
  m->u.gateway_hello.addr.data = addr;
  m->u.gateway_hello.addr.n = strlen (addr);
  m->u.gateway_hello.policy_rev = g->policy_rev;
  m->u.gateway_hello.targets_rev = g->targets_rev;
  m->u.gateway_hello.fleet = g->fleet_size;
  m->u.gateway_hello.slow = slow_targets (g);
  m->u.gateway_hello.limits = limits_of_targets (g);
  m->u.gateway_hello.members = cf_membership_size (s->fleet);
}

static void
send_greeting (const Peer *p, CfPeerMsg *m)
{
  double start = p->addr ? cf_membership_ring_start (p->s->fleet, p->addr) : -1;

  m->u.gateway_hello.ring_start
      = start < 0 ? -1 : (gint64)(start * CF_PEER_RING_UNITS);
  m->u.gateway_hello.want = wants (p);
  cf_peer_msg_send (p->peer, m);
}

static void
greet (const Peer *p)
{
  CfPeerMsg m;

  fill_greeting (p->s, &m);
  send_greeting (p, &m);
  cf_peer_msg_clear (&m);
}

static void
send_policy (Peer *p)
{
  const CfGateway *g = p->s->g;
  CfPeerMsg m = { .kind = CF_PEER_POLICY };

  if (!g->policy_json)
    return;
  m.u.policy.rev = g->policy_rev;
  m.u.policy.json.data = g_bytes_get_data (g->policy_json, &m.u.policy.json.n);
  cf_peer_msg_send (p->peer, &m);
}

static void
send_targets (Peer *p)
{
  const CfGateway *g = p->s->g;
  CfPeerMsg m = { .kind = CF_PEER_TARGETS };
  GHashTableIter it;
  gpointer v;

  m.u.targets.as_of = g->targets_rev;
  m.u.targets.items = g_array_new (FALSE, FALSE, sizeof (CfPeerTarget));
  g_hash_table_iter_init (&it, g->targets.by_id);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      const CfTarget *t = v;
      CfPeerTarget one;

      one.id.data = t->record.id;
      one.id.n = strlen (t->record.id);
      one.json.data = t->json;
      one.json.n = strlen (t->json);
      one.rev = t->rev;
      one.created = t->created;
      g_array_append_val (m.u.targets.items, one);
    }
  cf_peer_msg_send (p->peer, &m);
  cf_peer_msg_clear (&m);
}

/* A gateway that started, or was cut off, has missed it. */
static void
send_crashes (const Peer *p)
{
  CfGateway *g = p->s->g;

  cf_peer_crashes_send_all (g->quarantine, p->peer, FALSE, g->now_ms);
}

void
cf_peer_service_notify (CfPeerService *s, const CfPeerMsg *m)
{
  Peer *p;

  TAILQ_FOREACH (p, &s->peers, link)
  if (p->up)
    cf_peer_msg_send (p->peer, m);
}

void
cf_peer_service_notify_seeds (CfPeerService *s, const CfPeerMsg *m)
{
  Peer *p;

  TAILQ_FOREACH (p, &s->peers, link)
  if (p->up && p->seed >= 0)
    cf_peer_msg_send (p->peer, m);
}

void
cf_peer_service_set_hold_lease_handler (CfPeerService *s, CfPeerMsgHandler take,
                                        void *owner)
{
  s->take_hold_lease = take;
  s->hold_lease_owner = owner;
}

/* A peer may know more of the fleet than this gateway hears itself; then its
 * word on the place on the ring holds, too. */
static void
learn_fleet (CfPeerService *s, const CfPeerMsg *m)
{
  CfGateway *g = s->g;
  guint told = m->u.gateway_hello.fleet;
  guint members = m->u.gateway_hello.members;
  gint64 told_start = m->u.gateway_hello.ring_start;
  guint n;

  cf_membership_expire (s->fleet, FORGET_MS, g->now_ms);
  n = cf_membership_size (s->fleet);
  cf_gateway_set_fleet (g, MAX (n, told));
  if (n >= told)
    cf_gateway_set_place (g, cf_membership_ring_start (s->fleet, NULL), n);
  else if (told_start >= 0 && told_start < CF_PEER_RING_UNITS)
    cf_gateway_set_place (g, (double)told_start / CF_PEER_RING_UNITS,
                          members ? members : told);
}

static void
take_hello (Peer *p, const CfPeerMsg *m)
{
  CfGateway *g = p->s->g;
  gboolean ahead;
  char *dc;

  g_free (p->addr);
  p->addr = g_strndup (m->u.gateway_hello.addr.data, m->u.gateway_hello.addr.n);
  p->policy_rev = m->u.gateway_hello.policy_rev;
  p->targets_rev = m->u.gateway_hello.targets_rev;
  p->heard_ms = g->now_ms;
  dc = g_strndup (m->u.gateway_hello.data_centre.data,
                  m->u.gateway_hello.data_centre.n);
  cf_membership_record_heartbeat (p->s->fleet, p->addr, dc, g->now_ms);
  g_free (dc);
  learn_fleet (p->s, m);
  take_paces (g, m->u.gateway_hello.slow);
  take_limits (g, m->u.gateway_hello.limits, p->addr);
  if (m->u.gateway_hello.want & CF_PEER_WANT_POLICY)
    send_policy (p);
  if (m->u.gateway_hello.want & CF_PEER_WANT_TARGETS)
    send_targets (p);
  ahead = p->policy_rev > g->policy_rev;
  if (ahead && !p->s->behind_ms)
    p->s->behind_ms = g->now_ms;
  else if (!ahead)
    p->s->behind_ms = 0;
  if (wants (p))
    greet (p);
}

/* A peer's whole list: what it does not name is gone, if it is newer. */
static void
take_targets (Peer *p, const CfPeerMsg *m)
{
  CfGateway *g = p->s->g;
  const GArray *items = m->u.targets.items;
  GHashTable *seen;

  if (m->u.targets.as_of <= g->targets_rev)
    return;
  seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < items->len; i++)
    {
      const CfPeerTarget *t = &g_array_index (items, CfPeerTarget, i);
      char *id = g_strndup (t->id.data, t->id.n);

      CfTargetNews news
          = { id, t->json.data, t->json.n, t->rev, t->created, g->now_ms };

      cf_gateway_take_target (g, &news, "peer");
      g_hash_table_add (seen, id);
    }
  cf_gateway_keep_targets (g, seen, m->u.targets.as_of, "peer");
  g_hash_table_destroy (seen);
  cf_log (LOG_NOTICE, CF_EV_PEER,
          "peer=%s outcome=taught targets=%u as_of=%" G_GINT64_FORMAT,
          p->addr ? p->addr : "-", items->len, m->u.targets.as_of);
}

static void
take_msg (void *owner, const CfPeerMsg *m)
{
  Peer *p = owner;

  switch (m->kind)
    {
    case CF_PEER_GATEWAY_HELLO:
      take_hello (p, m);
      break;
    case CF_PEER_POLICY:
      cf_gateway_take_policy (p->s->g, m->u.policy.json.data,
                              m->u.policy.json.n, m->u.policy.rev, "peer");
      break;
    case CF_PEER_TARGETS:
      take_targets (p, m);
      break;
    case CF_PEER_CRASHES:
      cf_peer_crashes_merge (p->s->g->quarantine, m, p->addr, p->s->g->now_ms);
      break;
    case CF_PEER_HOLD_LEASE:
      if (p->s->take_hold_lease)
        p->s->take_hold_lease (p->s->hold_lease_owner, m);
      break;
    default:
      break;
    }
}

static void
on_frame (void *owner, CfPeerLink *l, const char *data, gsize n)
{
  const Peer *p = owner;

  cf_peer_msg_receive (data, n, "peer", p->addr, take_msg, owner);
}

static void
on_up (void *owner, CfPeerLink *l)
{
  Peer *p = owner;

  p->up = TRUE;
  p->heard_ms = p->s->g->now_ms;
  cf_log (LOG_NOTICE, CF_EV_PEER, "seed=%d outcome=up", p->seed);
  greet (p);
  send_crashes (p);
}

static void
forget (Peer *p)
{
  TAILQ_REMOVE (&p->s->peers, p, link);
  g_free (p->addr);
  g_free (p);
}

static void
on_down (void *owner, CfPeerLink *l)
{
  Peer *p = owner;

  if (p->up)
    cf_log (LOG_NOTICE, CF_EV_PEER, "peer=%s outcome=down",
            p->addr ? p->addr : "-");
  forget (p);
}

static const CfPeerLinkCallbacks link_calls = { on_up, on_frame, on_down };

static Peer *
new_peer (CfPeerService *s, int seed)
{
  Peer *p = g_new0 (Peer, 1);

  p->s = s;
  p->seed = seed;
  p->heard_ms = s->g->now_ms;
  TAILQ_INSERT_TAIL (&s->peers, p, link);
  return p;
}

void
cf_peer_service_adopt (CfPeerService *s, CfPeerLink *l, const CfPeerMsg *first)
{
  Peer *p = new_peer (s, -1);

  p->peer = l;
  p->up = TRUE;
  cf_peer_link_set_owner (l, &link_calls, p);
  take_msg (p, first);
  greet (p);
  send_crashes (p);
}

static gboolean
has_seed (const CfPeerService *s, int seed)
{
  Peer *p;

  TAILQ_FOREACH (p, &s->peers, link)
  if (p->seed == seed)
    return TRUE;
  return FALSE;
}

static void
connect_seeds (CfPeerService *s)
{
  for (int i = 0; i < CF_SEEDS_MAX; i++)
    {
      Peer *p;

      if (!s->seed_valid[i] || has_seed (s, i))
        continue;
      p = new_peer (s, i);
      p->peer = cf_peer_link_connect (s->g->loop, &s->seeds[i], &link_calls, p);
      if (!p->peer)
        forget (p);
    }
}

/* Links that went silent without a reset are made anew. */
static void
drop_silent (CfPeerService *s)
{
  Peer *p = TAILQ_FIRST (&s->peers);

  while (p)
    {
      Peer *next = TAILQ_NEXT (p, link);

      if (p->up && s->g->now_ms - p->heard_ms > 3 * GREET_MS)
        {
          cf_log (LOG_NOTICE, CF_EV_PEER, "peer=%s outcome=silent",
                  p->addr ? p->addr : "-");
          cf_peer_link_close (p->peer);
          forget (p);
        }
      p = next;
    }
}

void
cf_peer_service_tick (CfPeerService *s)
{
  gint64 now = s->g->now_ms;
  gint64 every = s->g->policy ? GREET_MS : GREET_EMPTY_MS;
  CfPeerMsg m;
  Peer *p;

  if (now - s->connected_ms >= RECONNECT_MS || s->connected_ms == 0)
    {
      s->connected_ms = now;
      drop_silent (s);
      connect_seeds (s);
      cf_quarantine_expire (s->g->quarantine, now);
    }
  /* A change of a target's rate is announced at once. */
  if (now - s->greeted_ms < every && !s->g->limits_changed)
    return;
  s->greeted_ms = now;
  s->g->limits_changed = FALSE;
  cf_gateway_forget_paces (s->g);
  fill_greeting (s, &m);
  TAILQ_FOREACH (p, &s->peers, link)
  if (p->up)
    send_greeting (p, &m);
  cf_peer_msg_clear (&m);
}

CfPeerService *
cf_peer_service_new (CfGateway *g)
{
  CfPeerService *s = g_new0 (CfPeerService, 1);
  const char *own = g->set.control_addr;

  s->g = g;
  TAILQ_INIT (&s->peers);
  s->fleet = cf_membership_new (own, g->set.data_centre);
  for (int i = 0; i < CF_SEEDS_MAX && g->set.seed_addrs[i]; i++)
    s->seed_valid[i]
        = g_strcmp0 (g->set.seed_addrs[i], own) != 0
          && cf_socket_parse (g->set.seed_addrs[i], &s->seeds[i]) == CF_OK;
  return s;
}
