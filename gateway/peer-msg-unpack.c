#include "peer-frame.h"
#include "peer-msg.h"

#include <string.h>

#define PEER_REMEDY "run the same release on all VMs"

/** Largest shape of a group's maps that a peer may name. */
#define SETS_MAX 256
#define EXPERTS_MAX 4096
#define PLACES_MAX 256

/* Unpacking: a reader that notes the first thing that is not as expected. */

typedef struct
{
  const msgpack_object *at;
  const msgpack_object *end;
  gboolean bad;
} Fields;

static Fields
fields_of (const msgpack_object *o)
{
  Fields f = { NULL, NULL, TRUE };

  if (o && o->type == MSGPACK_OBJECT_ARRAY)
    {
      f.at = o->via.array.ptr;
      f.end = f.at + o->via.array.size;
      f.bad = FALSE;
    }
  return f;
}

static const msgpack_object *
next (Fields *f)
{
  if (f->bad || f->at >= f->end)
    {
      f->bad = TRUE;
      return NULL;
    }
  return f->at++;
}

static gint64
take_int (Fields *f)
{
  const msgpack_object *o = next (f);

  if (o && o->type == MSGPACK_OBJECT_POSITIVE_INTEGER
      && o->via.u64 <= G_MAXINT64)
    return (gint64)o->via.u64;
  if (o && o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return o->via.i64;
  f->bad = TRUE;
  return 0;
}

/* A field that peers of an earlier version do not send; 0 if it is not
 * there. */
static gint64
take_int_if_any (Fields *f)
{
  return f->bad || f->at >= f->end ? 0 : take_int (f);
}

/* A number from 0 to @max. */
static int
take_index (Fields *f, int max)
{
  gint64 v = take_int (f);

  f->bad |= v < 0 || v > max;
  return f->bad ? 0 : (int)v;
}

static CfPeerBytes
take_bytes (Fields *f)
{
  const msgpack_object *o = next (f);
  CfPeerBytes b = { "", 0 };

  if (!o || o->type != MSGPACK_OBJECT_BIN)
    {
      f->bad = TRUE;
      return b;
    }
  b.data = o->via.bin.ptr;
  b.n = o->via.bin.size;
  return b;
}

static GArray *
take_array (Fields *f)
{
  Fields in = fields_of (next (f));
  GArray *a = g_array_new (FALSE, FALSE, sizeof (gint64));

  while (!in.bad && in.at < in.end)
    {
      gint64 v = take_int (&in);

      g_array_append_val (a, v);
    }
  f->bad |= in.bad;
  return a;
}

static void
take_status (Fields *f, CfRankStatus *s)
{
  Fields in = fields_of (next (f));
  CfPeerBytes group = take_bytes (&in);

  memset (s, 0, sizeof *s);
  memcpy (s->group, group.data, MIN (group.n, sizeof s->group - 1));
  s->epoch = take_int (&in);
  s->rank = take_index (&in, CF_RANKS_MAX);
  s->size = take_index (&in, CF_RANKS_MAX);
  s->open = take_int (&in) != 0;
  s->step = take_int (&in);
  s->map = take_int (&in);
  s->prepared = take_int (&in);
  s->armed = take_int (&in);
  s->held = take_int (&in);
  s->running = take_int (&in);
  s->waiting = take_int (&in);
  s->pace = (double)take_int (&in) / CF_PEER_THOUSANDTHS;
  s->incarnation = take_int_if_any (&in);
  f->bad |= in.bad;
}

static GArray *
take_targets (Fields *f)
{
  Fields in = fields_of (next (f));
  GArray *a = g_array_new (FALSE, FALSE, sizeof (CfPeerTarget));

  while (!in.bad && in.at < in.end)
    {
      Fields one = fields_of (next (&in));
      CfPeerTarget t;

      t.id = take_bytes (&one);
      t.json = take_bytes (&one);
      t.rev = take_int (&one);
      t.created = take_int_if_any (&one);
      in.bad |= one.bad;
      g_array_append_val (a, t);
    }
  f->bad |= in.bad;
  return a;
}

static GArray *
take_paces (Fields *f)
{
  Fields in = fields_of (next (f));
  GArray *a = g_array_new (FALSE, FALSE, sizeof (CfPeerSlowdown));

  while (!in.bad && in.at < in.end)
    {
      Fields one = fields_of (next (&in));
      CfPeerSlowdown p;

      p.addr = take_bytes (&one);
      p.thousandths = take_int (&one);
      p.incarnation = take_int_if_any (&one);
      in.bad |= one.bad;
      g_array_append_val (a, p);
    }
  f->bad |= in.bad;
  return a;
}

static GArray *
take_limits (Fields *f)
{
  Fields in = fields_of (next (f));
  GArray *a = g_array_new (FALSE, FALSE, sizeof (CfPeerRateLimit));

  while (!in.bad && in.at < in.end)
    {
      Fields one = fields_of (next (&in));
      CfPeerRateLimit l;

      l.id = take_bytes (&one);
      l.incarnation = take_int (&one);
      l.millionths = take_int (&one);
      l.age_ms = take_int (&one);
      in.bad |= one.bad || l.millionths < 0 || l.age_ms < 0;
      g_array_append_val (a, l);
    }
  f->bad |= in.bad;
  return a;
}

/* A later version may name more crashes than count here. */
static void
take_crash (Fields *f, CfPeerCrash *c)
{
  CfPeerBytes digest = take_bytes (f);

  memset (c, 0, sizeof *c);
  f->bad |= digest.n != sizeof c->digest.bytes;
  if (!f->bad)
    memcpy (c->digest.bytes, digest.data, digest.n);
  c->age_ms = take_int (f);
  while (!f->bad && f->at < f->end && c->n < CF_QUARANTINE_CRASHES)
    {
      c->crashes[c->n].target = take_bytes (f);
      c->crashes[c->n].sent_age_ms = take_int (f);
      c->crashes[c->n].lost_age_ms = take_int (f);
      c->n++;
    }
}

static GArray *
take_crashes (Fields *f)
{
  Fields in = fields_of (next (f));
  GArray *a = g_array_new (FALSE, FALSE, sizeof (CfPeerCrash));

  while (!in.bad && in.at < in.end)
    {
      Fields one = fields_of (next (&in));
      CfPeerCrash c;

      take_crash (&one, &c);
      in.bad |= one.bad;
      g_array_append_val (a, c);
    }
  f->bad |= in.bad;
  return a;
}

static void
take_fields (Fields *f, CfPeerMsg *m)
{
  switch (m->kind)
    {
    case CF_PEER_AGENT_HELLO:
      m->u.agent_hello.target_addr = take_bytes (f);
      break;
    case CF_PEER_RANK_STATUS:
      take_status (f, &m->u.rank_status.status);
      m->u.rank_status.fence_seen = take_int (f);
      m->u.rank_status.seeds_up = (guint)take_int (f);
      m->u.rank_status.leader_fence = take_int (f);
      g_array_unref (take_array (f));
      if (!f->bad && f->at < f->end)
        m->u.rank_status.expert_counts = take_array (f);
      break;
    case CF_PEER_HEARTBEAT:
      m->u.heartbeat.fence = take_int (f);
      m->u.heartbeat.report_interval_ms = take_int (f);
      break;
    case CF_PEER_ORDER:
      m->u.order.seq = take_int (f);
      m->u.order.fence = take_int (f);
      m->u.order.order = (CfRankOrderKind)take_int (f);
      m->u.order.version = take_int (f);
      m->u.order.body = take_bytes (f);
      break;
    case CF_PEER_PREPARE:
      m->u.prepare.seq = take_int (f);
      m->u.prepare.fence = take_int (f);
      m->u.prepare.epoch = take_int (f);
      m->u.prepare.version = take_int (f);
      m->u.prepare.base_version = take_int (f);
      m->u.prepare.shape.sets = take_index (f, SETS_MAX);
      m->u.prepare.shape.experts = take_index (f, EXPERTS_MAX);
      m->u.prepare.shape.places = take_index (f, PLACES_MAX);
      m->u.prepare.rows = take_array (f);
      break;
    case CF_PEER_ORDER_ACK:
      m->u.order_ack.seq = take_int (f);
      m->u.order_ack.http_status = take_int (f);
      m->u.order_ack.fence_seen = take_int (f);
      take_status (f, &m->u.order_ack.status);
      break;
    case CF_PEER_REQUEST_LISTS:
      break;
    case CF_PEER_LISTS:
      m->u.lists.epoch = take_int (f);
      m->u.lists.version = take_int (f);
      m->u.lists.experts = take_array (f);
      break;
    case CF_PEER_GATEWAY_HELLO:
      m->u.gateway_hello.addr = take_bytes (f);
      m->u.gateway_hello.policy_rev = take_int (f);
      m->u.gateway_hello.targets_rev = take_int (f);
      m->u.gateway_hello.fleet = (guint)take_int (f);
      m->u.gateway_hello.want = (guint)take_int (f);
      /* Peers of an earlier version do not say. */
      if (!f->bad && f->at < f->end)
        m->u.gateway_hello.slow = take_paces (f);
      m->u.gateway_hello.ring_start = -1;
      if (!f->bad && f->at < f->end)
        {
          m->u.gateway_hello.data_centre = take_bytes (f);
          m->u.gateway_hello.ring_start = take_int (f);
        }
      if (!f->bad && f->at < f->end)
        m->u.gateway_hello.limits = take_limits (f);
      m->u.gateway_hello.members = (guint)take_int_if_any (f);
      break;
    case CF_PEER_POLICY:
      m->u.policy.rev = take_int (f);
      m->u.policy.json = take_bytes (f);
      break;
    case CF_PEER_TARGETS:
      m->u.targets.as_of = take_int (f);
      m->u.targets.items = take_targets (f);
      break;
    case CF_PEER_CRASHES:
      m->u.crashes = take_crashes (f);
      break;
    case CF_PEER_HOLD_LEASE:
      m->u.hold_lease.group = take_bytes (f);
      m->u.hold_lease.fence = take_int (f);
      m->u.hold_lease.held = take_int (f) != 0;
      break;
    default:
      f->bad = TRUE;
    }
}

CfStatus
cf_peer_msg_unpack (const char *data, gsize n, msgpack_unpacked *zone,
                    CfPeerMsg *m)
{
  Fields f = { NULL, NULL, TRUE };

  memset (m, 0, sizeof *m);
  msgpack_unpacked_init (zone);
  if (cf_peer_frame_is_complete (data, n)
      && msgpack_unpack_next (zone, data, n, NULL) == MSGPACK_UNPACK_SUCCESS)
    f = fields_of (&zone->data);
  m->kind = (CfPeerMsgKind)take_int (&f);
  if (!f.bad)
    take_fields (&f, m);
  if (!f.bad)
    return CF_OK;
  cf_peer_msg_clear (m);
  return cf_fail (CF_ERR_PROTO, PEER_REMEDY, "a peer's frame of kind %d is bad",
                  (int)m->kind);
}
