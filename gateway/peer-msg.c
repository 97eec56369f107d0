#include "peer-msg.h"

#include "log.h"
#include "peer-frame.h"

#include <string.h>

#define PEER_REMEDY "run the same release on all VMs"

/* Packing */

static void
put_int (msgpack_packer *pk, gint64 v)
{
  msgpack_pack_int64 (pk, v);
}

static void
put_bytes (msgpack_packer *pk, CfPeerBytes b)
{
  msgpack_pack_bin (pk, b.n);
  msgpack_pack_bin_body (pk, b.data, b.n);
}

static void
put_array (msgpack_packer *pk, const GArray *a)
{
  guint n = a ? a->len : 0;

  msgpack_pack_array (pk, n);
  for (guint i = 0; i < n; i++)
    put_int (pk, g_array_index (a, gint64, i));
}

/** Largest shape of a group's maps that a peer may name. */
#define SETS_MAX 256
#define EXPERTS_MAX 4096
#define PLACES_MAX 256

#define STATUS_FIELDS 14

static void
put_status (msgpack_packer *pk, const CfRankStatus *s)
{
  CfPeerBytes group = { s->group, strlen (s->group) };

  msgpack_pack_array (pk, STATUS_FIELDS);
  put_bytes (pk, group);
  put_int (pk, s->epoch);
  put_int (pk, s->rank);
  put_int (pk, s->size);
  put_int (pk, s->open);
  put_int (pk, s->step);
  put_int (pk, s->map);
  put_int (pk, s->prepared);
  put_int (pk, s->armed);
  put_int (pk, s->held);
  put_int (pk, s->running);
  put_int (pk, s->waiting);
  put_int (pk, (gint64)(s->pace * CF_PEER_THOUSANDTHS));
  put_int (pk, s->incarnation);
}

static void
put_targets (msgpack_packer *pk, const GArray *items)
{
  msgpack_pack_array (pk, items->len);
  for (guint i = 0; i < items->len; i++)
    {
      const CfPeerTarget *t = &g_array_index (items, CfPeerTarget, i);

      msgpack_pack_array (pk, 4);
      put_bytes (pk, t->id);
      put_bytes (pk, t->json);
      put_int (pk, t->rev);
      put_int (pk, t->created);
    }
}

static void
put_paces (msgpack_packer *pk, const GArray *paces)
{
  guint n = paces ? paces->len : 0;

  msgpack_pack_array (pk, n);
  for (guint i = 0; i < n; i++)
    {
      const CfPeerPace *p = &g_array_index (paces, CfPeerPace, i);

      msgpack_pack_array (pk, 3);
      put_bytes (pk, p->addr);
      put_int (pk, p->thousandths);
      put_int (pk, p->incarnation);
    }
}

static void
begin (msgpack_packer *pk, const CfPeerMsg *m, size_t fields)
{
  msgpack_pack_array (pk, fields + 1);
  put_int (pk, m->kind);
}

void
cf_peer_msg_pack (const CfPeerMsg *m, msgpack_sbuffer *out)
{
  msgpack_packer pk;

  msgpack_packer_init (&pk, out, msgpack_sbuffer_write);
  switch (m->kind)
    {
    case CF_PEER_AGENT_HELLO:
      begin (&pk, m, 1);
      put_bytes (&pk, m->u.agent_hello.target_addr);
      break;
    case CF_PEER_RANK_STATUS:
      begin (&pk, m, 6);
      put_status (&pk, &m->u.rank_status.status);
      put_int (&pk, m->u.rank_status.fence_seen);
      put_int (&pk, m->u.rank_status.seeds_up);
      put_int (&pk, m->u.rank_status.led);
      /* Where an earlier version has what was chosen since the rank began. */
      put_array (&pk, NULL);
      put_array (&pk, m->u.rank_status.drawn);
      break;
    case CF_PEER_TICK:
      begin (&pk, m, 2);
      put_int (&pk, m->u.tick.fence);
      put_int (&pk, m->u.tick.read_ms);
      break;
    case CF_PEER_ORDER:
      begin (&pk, m, 5);
      put_int (&pk, m->u.order.seq);
      put_int (&pk, m->u.order.fence);
      put_int (&pk, m->u.order.order);
      put_int (&pk, m->u.order.version);
      put_bytes (&pk, m->u.order.body);
      break;
    case CF_PEER_PREPARE:
      begin (&pk, m, 9);
      put_int (&pk, m->u.prepare.seq);
      put_int (&pk, m->u.prepare.fence);
      put_int (&pk, m->u.prepare.epoch);
      put_int (&pk, m->u.prepare.version);
      put_int (&pk, m->u.prepare.base);
      put_int (&pk, m->u.prepare.shape.sets);
      put_int (&pk, m->u.prepare.shape.experts);
      put_int (&pk, m->u.prepare.shape.places);
      put_array (&pk, m->u.prepare.rows);
      break;
    case CF_PEER_ORDER_ACK:
      begin (&pk, m, 4);
      put_int (&pk, m->u.order_ack.seq);
      put_int (&pk, m->u.order_ack.http_status);
      put_int (&pk, m->u.order_ack.fence_seen);
      put_status (&pk, &m->u.order_ack.status);
      break;
    case CF_PEER_WANT_LISTS:
      begin (&pk, m, 0);
      break;
    case CF_PEER_LISTS:
      begin (&pk, m, 3);
      put_int (&pk, m->u.lists.epoch);
      put_int (&pk, m->u.lists.version);
      put_array (&pk, m->u.lists.experts);
      break;
    case CF_PEER_GATEWAY_HELLO:
      begin (&pk, m, 6);
      put_bytes (&pk, m->u.gateway_hello.addr);
      put_int (&pk, m->u.gateway_hello.policy_rev);
      put_int (&pk, m->u.gateway_hello.targets_rev);
      put_int (&pk, m->u.gateway_hello.fleet);
      put_int (&pk, m->u.gateway_hello.want);
      put_paces (&pk, m->u.gateway_hello.slow);
      break;
    case CF_PEER_POLICY:
      begin (&pk, m, 2);
      put_int (&pk, m->u.policy.rev);
      put_bytes (&pk, m->u.policy.json);
      break;
    case CF_PEER_TARGETS:
      begin (&pk, m, 2);
      put_int (&pk, m->u.targets.as_of);
      put_targets (&pk, m->u.targets.items);
      break;
    }
}

void
cf_peer_msg_send (CfPeerLink *l, const CfPeerMsg *m)
{
  msgpack_sbuffer buf;

  msgpack_sbuffer_init (&buf);
  cf_peer_msg_pack (m, &buf);
  cf_peer_link_send (l, buf.data, buf.size);
  msgpack_sbuffer_destroy (&buf);
}

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
  GArray *a = g_array_new (FALSE, FALSE, sizeof (CfPeerPace));

  while (!in.bad && in.at < in.end)
    {
      Fields one = fields_of (next (&in));
      CfPeerPace p;

      p.addr = take_bytes (&one);
      p.thousandths = take_int (&one);
      p.incarnation = take_int_if_any (&one);
      in.bad |= one.bad;
      g_array_append_val (a, p);
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
      m->u.rank_status.led = take_int (f);
      g_array_unref (take_array (f));
      if (!f->bad && f->at < f->end)
        m->u.rank_status.drawn = take_array (f);
      break;
    case CF_PEER_TICK:
      m->u.tick.fence = take_int (f);
      m->u.tick.read_ms = take_int (f);
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
      m->u.prepare.base = take_int (f);
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
    case CF_PEER_WANT_LISTS:
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
      break;
    case CF_PEER_POLICY:
      m->u.policy.rev = take_int (f);
      m->u.policy.json = take_bytes (f);
      break;
    case CF_PEER_TARGETS:
      m->u.targets.as_of = take_int (f);
      m->u.targets.items = take_targets (f);
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
  if (cf_peer_frame_is_whole (data, n)
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

void
cf_peer_msg_clear (CfPeerMsg *m)
{
  GArray **a = NULL;

  switch (m->kind)
    {
    case CF_PEER_RANK_STATUS:
      a = &m->u.rank_status.drawn;
      break;
    case CF_PEER_PREPARE:
      a = &m->u.prepare.rows;
      break;
    case CF_PEER_LISTS:
      a = &m->u.lists.experts;
      break;
    case CF_PEER_GATEWAY_HELLO:
      a = &m->u.gateway_hello.slow;
      break;
    case CF_PEER_TARGETS:
      a = &m->u.targets.items;
      break;
    default:
      break;
    }
  if (a && *a)
    g_clear_pointer (a, g_array_unref);
}

void
cf_peer_msg_receive (const char *data, gsize n, const char *role,
                     const char *name, CfPeerMsgTake take, void *owner)
{
  msgpack_unpacked zone;
  CfPeerMsg m;

  if (cf_peer_msg_unpack (data, n, &zone, &m) != CF_OK)
    cf_log (LOG_WARNING, CF_EV_PEER, "%s=%s outcome=bad error=\"%s\"", role,
            name ? name : "-", cf_last_error ());
  else
    take (owner, &m);
  cf_peer_msg_clear (&m);
  msgpack_unpacked_destroy (&zone);
}
