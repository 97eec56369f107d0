#include "peer-service.h"

#include "ablation.h"
#include "exchange.h"
#include "log.h"
#include "membership.h"
#include "operator-feed.h"
#include "peer-crashes.h"
#include "peer-returns.h"
#include "platform/platform-target.h"
#include "service-retries.h"
#include "service-share.h"
#include "socket.h"
#include "target-feed.h"
#include "upstream.h"

#include <math.h>
#include <string.h>

/** Interval between hellos.  A gateway that cannot reach the store is behind
 * its peers by at most this and one round trip. */
#define HELLO_INTERVAL_MS 1000L
/** Interval while this gateway has no configuration or no list of targets, and
 * so refuses callers. */
#define HELLO_UNABLE_INTERVAL_MS 100
/** Minimum time between hellos that are sent early with times to return. */
#define RETURNS_INTERVAL_MS 100
#define RECONNECT_INTERVAL_MS 1000
/** Time for a new configuration to arrive from the store before a peer is asked
 * for it. */
#define STORE_GRACE_MS 400
/** Time in which the first list is read from a store that answers. */
#define FIRST_LIST_TIMEOUT_MS 3000
/** Time for a peer to send its list before another one is asked. */
#define LIST_REQUEST_INTERVAL_MS 500
/** For how long after its start a gateway waits for the first hellos of seeds.
 */
#define FIRST_HELLO_TIMEOUT_MS 300
/** A peer counts as part of the fleet for this time after its last hello. */
#define MEMBER_TIMEOUT_MS 10000
/** How long an agent's report of a slowdown is current.  Agents send one every
 * second or more often. */
#define SLOWDOWN_FRESH_MS 2500

/** Peer: a link to another gateway. */
typedef struct Peer
{
  TAILQ_ENTRY (Peer) entry;
  CfPeerService *s;
  CfPeerLink *link;
  int seed; /**< index of the seed it connects to; -1: accepted */
  gboolean up;
  char *addr; /**< where it accepts links; %NULL before its hello */
  CfStorePosition policy_pos;
  CfStorePosition targets_pos;
  gint64 policy_version; /**< 0: its release does not send it */
  gint64 retries_seq; /**< of its latest statement of reserved retry tokens */
  gint64 hello_received_ms;     /**< last hello, or when the link was set up */
  gboolean takes_store_changes; /**< its release knows %CF_PEER_STORE_CHANGE */
} Peer;

struct CfPeerService
{
  CfGateway *g;
  TAILQ_HEAD (, Peer) peers;
  CfMembership *membership;
  gint64 hello_sent_ms;
  gint64 connect_attempt_ms;
  gint64 newest_policy_version; /**< of any peer */
  gint64 targets_asked_ms;      /**< when a peer was last asked for its list */
  gint64 behind_since_ms;       /**< when a peer was first seen to have a newer
                                   configuration; 0: none has */
  CfPeerMsgHandler hold_lease_handler; /**< (nullable) */
  void *hold_lease_owner;
  struct sockaddr_in seeds[CF_SEEDS_MAX];
  gboolean seed_valid[CF_SEEDS_MAX];
};

/* Whether @p has a newer configuration.  Its version tells that also across
 * eras of the store.  Earlier releases send only the revision; what they have
 * is checked when it arrives. */
static gboolean
has_newer_policy (const Peer *p)
{
  const CfGateway *g = p->s->g;

  if (p->policy_version == 0)
    return p->policy_pos.rev > g->policy_pos.rev;
  return !g->policy || p->policy_version > g->policy->version;
}

/* Whether to ask a peer for its list of targets, which is long: if the store
 * does not answer, or is late with the first list.  One peer is asked at a
 * time.  After a power failure all gateways start at once, and the seeds would
 * send the list to each of them while each reads it from the store. */
static gboolean
needs_peer_list (const CfPeerService *s)
{
  const CfGateway *g = s->g;
  gint64 age_ms = g->now_ms - g->started_ms;

  if (s->targets_asked_ms
      && g->now_ms - s->targets_asked_ms < LIST_REQUEST_INTERVAL_MS)
    return FALSE;
  if (cf_gateway_has_target_list (g))
    return !g->targets_store_up;
  if (g->targets_store_up)
    return age_ms >= FIRST_LIST_TIMEOUT_MS;
  return g->targets_store_failed || age_ms >= STORE_GRACE_MS;
}

/* Returns the CF_PEER_WANT_ bits of what this gateway has to get from @p,
 * because the store cannot be reached or its update is overdue. */
static guint
compute_wanted (const Peer *p)
{
  const CfGateway *g = p->s->g;
  gboolean overdue = p->s->behind_since_ms
                     && g->now_ms - p->s->behind_since_ms >= STORE_GRACE_MS;
  guint wanted = 0;

  if (has_newer_policy (p) && (!g->policy || !g->policy_store_up || overdue))
    wanted |= CF_PEER_WANT_POLICY;
  if (cf_store_position_is_older (g->targets_pos, p->targets_pos)
      && needs_peer_list (p->s))
    wanted |= CF_PEER_WANT_TARGETS;
  return wanted;
}

/* Whether an agent recently reported the slowdown of @t to this gateway. */
static gboolean
has_fresh_agent_report (const CfGateway *g, const CfTarget *t)
{
  return t->slowdown_observed_ms != 0
         && g->now_ms - t->slowdown_observed_ms <= SLOWDOWN_FRESH_MS;
}

/* Collects the slow targets that agents recently reported to this gateway. */
static GArray *
collect_slowdowns (const CfGateway *g)
{
  GArray *a = g_array_new (FALSE, FALSE, sizeof (CfPeerSlowdown));
  GHashTableIter it;
  gpointer v;

  g_hash_table_iter_init (&it, (GHashTable *)g->targets.by_id);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      const CfTarget *t = v;
      CfPeerSlowdown p;

      if (CF_WITHOUT_SHARED_PACE || t->slowdown <= 1
          || !has_fresh_agent_report (g, t))
        continue;
      p.addr.data = t->record.addr;
      p.addr.n = strlen (t->record.addr);
      p.thousandths = (gint64)(t->slowdown * CF_PEER_THOUSANDTHS);
      p.incarnation = t->record.incarnation;
      g_array_append_val (a, p);
    }
  return a;
}

static void
take_slowdowns (CfGateway *g, const GArray *slowdowns)
{
  for (guint i = 0; slowdowns && i < slowdowns->len; i++)
    {
      const CfPeerSlowdown *p = &g_array_index (slowdowns, CfPeerSlowdown, i);
      char *addr = g_strndup (p->addr.data, p->addr.n);
      CfTarget *t = cf_target_table_lookup_addr (&g->targets, addr);

      /* A report from an agent to this gateway takes precedence. */
      if (!t || cf_target_is_older_incarnation (t, p->incarnation))
        cf_gateway_drop_reading (g, CF_READING_SLOWDOWN, addr,
                                 t ? "of an earlier incarnation"
                                   : "of no listed target");
      else if (!has_fresh_agent_report (g, t))
        cf_gateway_update_slowdown (
            g, t, (double)p->thousandths / CF_PEER_THOUSANDTHS, "peer");
      g_free (addr);
    }
}

static GArray *
collect_rate_limits (const CfGateway *g)
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
      l.age_ms = g->now_ms - t->limit.received_ms;
      g_array_append_val (a, l);
    }
  return a;
}

static GArray *
collect_leaving (const CfGateway *g)
{
  GArray *a = g_array_new (FALSE, FALSE, sizeof (CfPeerInstance));
  GHashTableIter it;
  gpointer v;

  g_hash_table_iter_init (&it, g->targets.by_id);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      const CfTarget *t = v;
      CfPeerInstance one;

      if (!t->announced_leaving)
        continue;
      one.id.data = t->record.id;
      one.id.n = strlen (t->record.id);
      one.incarnation = t->record.incarnation;
      g_array_append_val (a, one);
    }
  return a;
}

/* (nullable): the target that a peer's message of kind @kind names.  What it
 * says of another incarnation is dropped. */
static CfTarget *
find_named_target (CfGateway *g, const CfPeerBytes *id, gint64 incarnation,
                   CfReadingKind kind)
{
  g_autofree char *name = g_strndup (id->data, id->n);
  CfTarget *t = g_hash_table_lookup (g->targets.by_id, name);

  if (t && t->record.incarnation == incarnation)
    return t;
  cf_gateway_drop_reading (
      g, kind, name, t ? "of another incarnation" : "of no listed target");
  return NULL;
}

static void
take_leaving (CfGateway *g, const GArray *leaving, const char *peer)
{
  for (guint i = 0; leaving && i < leaving->len; i++)
    {
      const CfPeerInstance *one = &g_array_index (leaving, CfPeerInstance, i);
      CfTarget *t = find_named_target (g, &one->id, one->incarnation,
                                       CF_READING_LEAVING);

      if (!t || !cf_target_announce_leaving (t))
        continue;
      cf_log (
          LOG_NOTICE, CF_EV_TARGET_LIST,
          "target=%s service=%s addr=%s outcome=leaving source=peer peer=%s",
          t->record.id, t->record.service, t->record.addr, peer);
      cf_upstream_close_idle (t);
    }
}

static void
take_rate_limit (CfGateway *g, const CfPeerRateLimit *l, const char *peer)
{
  CfTarget *t
      = find_named_target (g, &l->id, l->incarnation, CF_READING_RATE_LIMIT);
  double per_s = (double)l->millionths / CF_PEER_MILLIONTHS;

  if (!t
      || !cf_rate_limit_update_from_peer (&t->limit, per_s,
                                          g->now_ms - l->age_ms, g->now_ms))
    return;
  cf_log (LOG_NOTICE, CF_EV_RATE_LIMIT,
          "target=%s per_s=%.3f source=peer peer=%s", t->record.id, per_s,
          peer);
  g->hello_is_due = TRUE;
}

static void
take_rate_limits (CfGateway *g, const GArray *rate_limits, const char *peer)
{
  for (guint i = 0; rate_limits && i < rate_limits->len; i++)
    take_rate_limit (g, &g_array_index (rate_limits, CfPeerRateLimit, i), peer);
}

/* Fills the part of a hello that is the same for all peers. */
static void
fill_hello (const CfPeerService *s, CfPeerMsg *m)
{
  const CfGateway *g = s->g;
  const char *addr = g->settings.control_addr ? g->settings.control_addr : "";
  const char *dc = g->settings.data_centre ? g->settings.data_centre : "";

  memset (m, 0, sizeof *m);
  m->kind = CF_PEER_GATEWAY_HELLO;
  m->u.gateway_hello.data_centre.data = dc;
  m->u.gateway_hello.data_centre.n = strlen (dc);
  m->u.gateway_hello.addr.data = addr;
  m->u.gateway_hello.addr.n = strlen (addr);
  m->u.gateway_hello.policy_pos = g->policy_pos;
  m->u.gateway_hello.targets_pos = g->targets_pos;
  m->u.gateway_hello.policy_version = g->policy ? g->policy->version : 0;
  m->u.gateway_hello.fleet_size = g->fleet_size;
  m->u.gateway_hello.slowdowns = collect_slowdowns (g);
  m->u.gateway_hello.rate_limits = collect_rate_limits (g);
  m->u.gateway_hello.leaving = collect_leaving (g);
  m->u.gateway_hello.evacuated = cf_operator_feed_collect (g);
  m->u.gateway_hello.evacuated_pos = g->evacuations.pos;
  m->u.gateway_hello.targets_change_pos = cf_target_feed_change_pos ();
  m->u.gateway_hello.operator_change_pos = cf_operator_feed_change_pos ();
  m->u.gateway_hello.n_rank_groups = g->n_rank_groups;
  m->u.gateway_hello.n_local_rank_groups = g->n_local_rank_groups;
  m->u.gateway_hello.n_ring_members = cf_membership_size (s->membership);
}

/* Returns the address of the gateway at the other end; that of the seed until
 * it has said hello.  (nullable) */
static const char *
get_addr (const Peer *p)
{
  if (p->addr || p->seed < 0)
    return p->addr;
  return p->s->g->settings.seed_addrs[p->seed];
}

static gboolean
is_seed (const Peer *p)
{
  return cf_gateway_is_seed (p->s->g, get_addr (p));
}

/* Returns (nullable) the list that @r->inherited refers to. */
static GArray *
fill_retries (const Peer *p, CfPeerRetries *r)
{
  CfGateway *g = p->s->g;
  GArray *inherited = cf_service_retries_steal_inherited (g, p->addr);

  r->run = g->retries.run;
  r->seq = g->retries.seq;
  r->ack = p->retries_seq;
  g_clear_pointer (&r->reserves, g_array_unref);
  g_clear_pointer (&r->inherited, g_array_unref);
  r->reserves = cf_service_retries_pack (g->retries.stated);
  r->inherited = cf_service_retries_pack (inherited);
  return inherited;
}

static void
send_filled_hello (const Peer *p, CfPeerMsg *m)
{
  double ring_start
      = p->addr ? cf_membership_ring_start (p->s->membership, p->addr) : -1;
  GArray *inherited;

  m->u.gateway_hello.ring_start
      = ring_start < 0 ? -1 : (gint64)(ring_start * CF_PEER_RING_UNITS);
  g_clear_pointer (&m->u.gateway_hello.demand, g_array_unref);
  m->u.gateway_hello.demand = cf_service_share_collect (p->s->g, get_addr (p));
  m->u.gateway_hello.want = compute_wanted (p);
  if (m->u.gateway_hello.want & CF_PEER_WANT_TARGETS)
    p->s->targets_asked_ms = p->s->g->now_ms;
  if (is_seed (p) && cf_service_retries_is_ack_needed (p->s->g))
    m->u.gateway_hello.want |= CF_PEER_WANT_ACK;
  inherited = fill_retries (p, &m->u.gateway_hello.retries);
  cf_peer_msg_send (p->link, m);
  if (inherited)
    g_array_unref (inherited);
}

static void
send_hello (const Peer *p)
{
  CfPeerMsg m;

  fill_hello (p->s, &m);
  send_filled_hello (p, &m);
  cf_peer_msg_clear (&m);
}

static void
send_policy (Peer *p)
{
  const CfGateway *g = p->s->g;
  CfPeerMsg m = { .kind = CF_PEER_POLICY };

  if (!g->policy_json)
    return;
  m.u.policy.pos = g->policy_pos;
  m.u.policy.json.data = g_bytes_get_data (g->policy_json, &m.u.policy.json.n);
  cf_peer_msg_send (p->link, &m);
}

static void
send_targets (Peer *p)
{
  const CfGateway *g = p->s->g;
  CfPeerMsg m = { .kind = CF_PEER_TARGETS };
  GHashTableIter it;
  gpointer v;

  m.u.targets.as_of = g->targets_pos;
  m.u.targets.items = g_array_new (FALSE, FALSE, sizeof (CfPeerTarget));
  g_hash_table_iter_init (&it, g->targets.by_id);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      const CfTarget *t = v;
      CfPeerTarget item;

      item.id.data = t->record.id;
      item.id.n = strlen (t->record.id);
      item.json.data = t->json;
      item.json.n = strlen (t->json);
      item.pos = t->pos;
      item.created = t->created;
      g_array_append_val (m.u.targets.items, item);
    }
  cf_peer_msg_send (p->link, &m);
  cf_peer_msg_clear (&m);
}

/* Sends all crash records: a peer that has just started, or could not be
 * reached, has missed them. */
static void
send_crashes (const Peer *p)
{
  CfGateway *g = p->s->g;

  cf_peer_crashes_send_all (g->quarantine, p->link, FALSE, g->now_ms);
}

void
cf_peer_service_notify (CfPeerService *s, const CfPeerMsg *m)
{
  Peer *p;

  TAILQ_FOREACH (p, &s->peers, entry)
  if (p->up)
    cf_peer_msg_send (p->link, m);
}

void
cf_peer_service_notify_seeds (CfPeerService *s, const CfPeerMsg *m)
{
  Peer *p;

  TAILQ_FOREACH (p, &s->peers, entry)
  if (p->up && p->seed >= 0)
    cf_peer_msg_send (p->link, m);
}

void
cf_peer_service_set_hold_lease_handler (CfPeerService *s,
                                        CfPeerMsgHandler handler, void *owner)
{
  s->hold_lease_handler = handler;
  s->hold_lease_owner = owner;
}

/* A peer may know of more gateways than this one does.  Both the peer's fleet
 * size and the ring start that it computed for this gateway are then used. */
static void
update_fleet (CfPeerService *s, const CfPeerMsg *m)
{
  CfGateway *g = s->g;
  guint peer_fleet_size = m->u.gateway_hello.fleet_size;
  guint n_ring_members = m->u.gateway_hello.n_ring_members;
  gint64 peer_ring_start = m->u.gateway_hello.ring_start;
  guint n;

  g->has_peer_fleet = TRUE;
  cf_membership_expire (s->membership, MEMBER_TIMEOUT_MS, g->now_ms);
  n = cf_membership_size (s->membership);
  cf_gateway_set_fleet_size (g, MAX (n, peer_fleet_size));
  if (n >= peer_fleet_size)
    cf_gateway_set_fleet_position (
        g, cf_membership_ring_start (s->membership, NULL), n);
  else if (peer_ring_start >= 0 && peer_ring_start < CF_PEER_RING_UNITS)
    cf_gateway_set_fleet_position (
        g, (double)peer_ring_start / CF_PEER_RING_UNITS,
        n_ring_members ? n_ring_members : peer_fleet_size);
}

/* Notes since when any peer has had a newer configuration.  A peer that is
 * behind as well does not end that. */
static void
update_behind (const Peer *p)
{
  CfPeerService *s = p->s;
  gint64 version = s->g->policy ? s->g->policy->version : 0;
  gboolean behind;

  s->newest_policy_version = MAX (s->newest_policy_version, p->policy_version);
  behind = has_newer_policy (p) || version < s->newest_policy_version;
  if (!behind)
    s->behind_since_ms = 0;
  else if (!s->behind_since_ms)
    s->behind_since_ms = s->g->now_ms;
}

/* A peer that knows fewer groups does not know how many are in one data centre
 * each. */
static void
take_rank_groups (CfGateway *g, const CfPeerMsg *m)
{
  guint n = m->u.gateway_hello.n_rank_groups;

  if (n > g->n_rank_groups)
    g->counts_rank_groups = FALSE;
  if (n > 0 && n >= g->n_rank_groups && !g->counts_rank_groups)
    g->n_local_rank_groups = m->u.gateway_hello.n_local_rank_groups;
  g->n_rank_groups = MAX (g->n_rank_groups, n);
}

/* Whether a seed may still tell this gateway, which has just started, which
 * targets leave, pause or name a rate.  The store's list does not say so. */
static gboolean
is_first_hello_missing (const CfPeerService *s)
{
  Peer *p;

  if (s->g->now_ms - s->g->started_ms >= FIRST_HELLO_TIMEOUT_MS)
    return FALSE;
  TAILQ_FOREACH (p, &s->peers, entry)
  if (p->seed >= 0 && !p->addr)
    return TRUE;
  return FALSE;
}

static void
update_awaits_peers (CfPeerService *s)
{
  if (!s->g->awaits_peers || is_first_hello_missing (s))
    return;
  s->g->awaits_peers = FALSE;
  cf_exchange_route_unrouted (s->g);
}

static void
take_hello (Peer *p, const CfPeerMsg *m)
{
  CfGateway *g = p->s->g;
  gboolean has_to_reply = m->u.gateway_hello.want & CF_PEER_WANT_ACK;
  char *dc;

  g_free (p->addr);
  p->addr = g_strndup (m->u.gateway_hello.addr.data, m->u.gateway_hello.addr.n);
  p->policy_pos = m->u.gateway_hello.policy_pos;
  p->targets_pos = m->u.gateway_hello.targets_pos;
  p->policy_version = m->u.gateway_hello.policy_version;
  p->retries_seq = m->u.gateway_hello.retries.seq;
  p->hello_received_ms = g->now_ms;
  dc = g_strndup (m->u.gateway_hello.data_centre.data,
                  m->u.gateway_hello.data_centre.n);
  cf_membership_record_heartbeat (p->s->membership, p->addr, dc, g->now_ms);
  cf_gateway_note_data_centre (g, p->addr, dc);
  g_free (dc);
  update_fleet (p->s, m);
  take_slowdowns (g, m->u.gateway_hello.slowdowns);
  take_rate_limits (g, m->u.gateway_hello.rate_limits, p->addr);
  take_leaving (g, m->u.gateway_hello.leaving, p->addr);
  cf_service_share_take (g, m->u.gateway_hello.demand, p->addr);
  cf_peer_returns_take (g, m->u.gateway_hello.returns, p->addr);
  cf_operator_feed_take_peer_set (g, m->u.gateway_hello.evacuated,
                                  m->u.gateway_hello.evacuated_pos, p->addr);
  if (m->u.gateway_hello.want & CF_PEER_WANT_POLICY)
    send_policy (p);
  if (m->u.gateway_hello.want & CF_PEER_WANT_TARGETS)
    send_targets (p);
  cf_target_feed_take_peer_change (g, m->u.gateway_hello.targets_change_pos);
  cf_operator_feed_take_peer_change (m->u.gateway_hello.operator_change_pos);
  p->takes_store_changes = m->u.gateway_hello.operator_change_pos.rev > 0;
  update_awaits_peers (p->s);
  take_rank_groups (g, m);
  update_behind (p);
  has_to_reply
      |= cf_service_retries_take (g, p->addr, &m->u.gateway_hello.retries);
  if (has_to_reply || compute_wanted (p))
    send_hello (p);
}

/* Adopts a peer's complete list of targets if it is newer: targets that are not
 * in it are removed. */
static void
take_targets (Peer *p, const CfPeerMsg *m)
{
  CfGateway *g = p->s->g;
  const GArray *items = m->u.targets.items;
  GHashTable *ids;

  if (!cf_store_position_is_older (g->targets_pos, m->u.targets.as_of))
    return;
  cf_target_feed_begin_peer_list (g, m->u.targets.as_of);
  ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < items->len; i++)
    {
      const CfPeerTarget *t = &g_array_index (items, CfPeerTarget, i);
      char *id = g_strndup (t->id.data, t->id.n);

      CfTargetUpdate update = { id,         t->json.data, t->json.n, t->pos,
                                t->created, g->now_ms,    FALSE };

      cf_gateway_update_target (g, &update, "peer");
      g_hash_table_add (ids, id);
    }
  cf_target_feed_end_peer_list (g, ids, m->u.targets.as_of);
  g_hash_table_destroy (ids);
  cf_log (LOG_NOTICE, CF_EV_PEER,
          "peer=%s outcome=taught targets=%u as_of=%" G_GINT64_FORMAT
          " era=%" G_GINT64_FORMAT,
          p->addr ? p->addr : "-", items->len, m->u.targets.as_of.rev,
          m->u.targets.as_of.era);
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
      cf_gateway_apply_policy (p->s->g, m->u.policy.json.data,
                               m->u.policy.json.n, m->u.policy.pos, "peer");
      break;
    case CF_PEER_TARGETS:
      take_targets (p, m);
      break;
    case CF_PEER_CRASHES:
      cf_peer_crashes_merge (p->s->g->quarantine, m, p->addr, p->s->g->now_ms);
      break;
    case CF_PEER_STORE_CHANGE:
      cf_operator_feed_take_peer_change (m->u.store_change.operator_pos);
      cf_target_feed_take_peer_change (p->s->g, m->u.store_change.targets_pos);
      break;
    case CF_PEER_HOLD_LEASE:
      if (p->s->hold_lease_handler)
        p->s->hold_lease_handler (p->s->hold_lease_owner, m);
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
  p->hello_received_ms = p->s->g->now_ms;
  cf_log (LOG_NOTICE, CF_EV_PEER, "seed=%d outcome=up", p->seed);
  send_hello (p);
  send_crashes (p);
}

static void
remove_peer (Peer *p)
{
  TAILQ_REMOVE (&p->s->peers, p, entry);
  g_free (p->addr);
  g_free (p);
}

static void
on_down (void *owner, CfPeerLink *l)
{
  Peer *p = owner;
  CfPeerService *s = p->s;

  if (p->up)
    cf_log (LOG_NOTICE, CF_EV_PEER, "peer=%s outcome=down",
            p->addr ? p->addr : "-");
  if (p->addr)
    cf_service_share_forget (s->g, p->addr);
  remove_peer (p);
  update_awaits_peers (s);
}

static const CfPeerLinkCallbacks link_callbacks = { on_up, on_frame, on_down };

static Peer *
new_peer (CfPeerService *s, int seed)
{
  Peer *p = g_new0 (Peer, 1);

  p->s = s;
  p->seed = seed;
  p->hello_received_ms = s->g->now_ms;
  TAILQ_INSERT_TAIL (&s->peers, p, entry);
  return p;
}

void
cf_peer_service_adopt (CfPeerService *s, CfPeerLink *l, const CfPeerMsg *first)
{
  Peer *p = new_peer (s, -1);

  p->link = l;
  p->up = TRUE;
  cf_peer_link_set_owner (l, &link_callbacks, p);
  take_msg (p, first);
  send_hello (p);
  send_crashes (p);
}

static gboolean
has_seed_link (const CfPeerService *s, int seed)
{
  Peer *p;

  TAILQ_FOREACH (p, &s->peers, entry)
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

      if (!s->seed_valid[i] || has_seed_link (s, i))
        continue;
      p = new_peer (s, i);
      p->link
          = cf_peer_link_connect (s->g->loop, &s->seeds[i], &link_callbacks, p);
      if (!p->link)
        remove_peer (p);
    }
}

/* Closes links that went silent without a reset; connect_seeds() reconnects
 * those to seeds. */
static void
drop_silent_peers (CfPeerService *s)
{
  Peer *p = TAILQ_FIRST (&s->peers);

  while (p)
    {
      Peer *next = TAILQ_NEXT (p, entry);

      if (p->up && s->g->now_ms - p->hello_received_ms > 3 * HELLO_INTERVAL_MS)
        {
          cf_log (LOG_NOTICE, CF_EV_PEER, "peer=%s outcome=silent",
                  p->addr ? p->addr : "-");
          cf_peer_link_close (p->link);
          remove_peer (p);
        }
      p = next;
    }
}

static gboolean
has_seed_up (const CfPeerService *s)
{
  Peer *p;

  TAILQ_FOREACH (p, &s->peers, entry)
  if (p->up && is_seed (p))
    return TRUE;
  return FALSE;
}

/* Only seeds keep the reserves of others, so other peers are not told early. */
static void
notify_seeds_of_reserves (CfPeerService *s)
{
  Peer *p;

  s->g->retries.is_due = FALSE;
  TAILQ_FOREACH (p, &s->peers, entry)
  if (p->up && is_seed (p))
    send_hello (p);
}

/* Tells the gateways that rely on this one of the newest changes. */
static void
send_store_change (CfPeerService *s)
{
  CfPeerMsg m = { .kind = CF_PEER_STORE_CHANGE };
  Peer *p;

  s->g->has_store_change = FALSE;
  if (!cf_gateway_is_seed (s->g, s->g->settings.control_addr))
    return;
  m.u.store_change.operator_pos = cf_operator_feed_change_pos ();
  m.u.store_change.targets_pos = cf_target_feed_change_pos ();
  TAILQ_FOREACH (p, &s->peers, entry)
  if (p->up && p->takes_store_changes)
    cf_peer_msg_send (p->link, &m);
}

static gboolean
is_linked_to (const CfPeerService *s, const char *addr)
{
  Peer *p;

  TAILQ_FOREACH (p, &s->peers, entry)
  if (p->up && g_strcmp0 (get_addr (p), addr) == 0)
    return TRUE;
  return FALSE;
}

/* Just after its start a gateway awaits the links to its seeds. */
static void
update_store_poll_turn (CfPeerService *s)
{
  CfGateway *g = s->g;
  const char *own = g->settings.control_addr;
  CfStorePollTurn turn = { .n_seeds = 1 };
  gboolean is_after_own = FALSE;

  if (!cf_gateway_is_seed (g, own))
    {
      turn.relies_on_seed = g->awaits_peers || has_seed_up (s);
      g->store_poll_turn = turn;
      return;
    }
  for (int i = 0; i < CF_SEEDS_MAX && g->settings.seed_addrs[i]; i++)
    if (strcmp (g->settings.seed_addrs[i], own) == 0)
      is_after_own = TRUE;
    else if (is_linked_to (s, g->settings.seed_addrs[i]))
      {
        turn.n_seeds++;
        turn.seed_rank += !is_after_own;
      }
  g->store_poll_turn = turn;
}

void
cf_peer_service_tick (CfPeerService *s)
{
  gint64 now = s->g->now_ms;
  gint64 interval_ms = cf_gateway_can_route (s->g) ? HELLO_INTERVAL_MS
                                                   : HELLO_UNABLE_INTERVAL_MS;
  CfPeerMsg m;
  Peer *p;

  if (now - s->connect_attempt_ms >= RECONNECT_INTERVAL_MS
      || s->connect_attempt_ms == 0)
    {
      s->connect_attempt_ms = now;
      drop_silent_peers (s);
      connect_seeds (s);
      cf_quarantine_expire (s->g->quarantine, now);
    }
  update_awaits_peers (s);
  update_store_poll_turn (s);
  if (s->g->has_store_change)
    send_store_change (s);
  if (s->g->retries.is_due)
    notify_seeds_of_reserves (s);
  if (s->g->has_new_returns)
    interval_ms = RETURNS_INTERVAL_MS;
  /* Changes of targets' rate limits and of evacuations are sent at once. */
  if (now - s->hello_sent_ms < interval_ms && !s->g->hello_is_due)
    return;
  s->hello_sent_ms = now;
  s->g->hello_is_due = FALSE;
  cf_gateway_expire_slowdowns (s->g);
  if (has_seed_up (s))
    cf_service_retries_state (s->g);
  fill_hello (s, &m);
  m.u.gateway_hello.returns = cf_peer_returns_collect (s->g);
  TAILQ_FOREACH (p, &s->peers, entry)
  if (p->up)
    send_filled_hello (p, &m);
  cf_peer_msg_clear (&m);
  cf_service_share_hello_sent (s->g);
}

CfPeerService *
cf_peer_service_new (CfGateway *g)
{
  CfPeerService *s = g_new0 (CfPeerService, 1);
  const char *own_addr = g->settings.control_addr;

  s->g = g;
  TAILQ_INIT (&s->peers);
  s->membership = cf_membership_new (own_addr, g->settings.data_centre);
  for (int i = 0; i < CF_SEEDS_MAX && g->settings.seed_addrs[i]; i++)
    s->seed_valid[i]
        = g_strcmp0 (g->settings.seed_addrs[i], own_addr) != 0
          && cf_socket_parse_address (g->settings.seed_addrs[i], &s->seeds[i])
                 == CF_OK;
  g->awaits_peers = TRUE;
  s->connect_attempt_ms = g->now_ms;
  connect_seeds (s);
  return s;
}
