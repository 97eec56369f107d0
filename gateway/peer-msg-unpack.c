#include "peer-frame.h"
#include "peer-msg.h"
#include "platform/platform-store.h"

#include <string.h>

#define REMEDY_SAME_RELEASE "run the same release on all VMs"

/** Largest shape of a group's maps that is accepted from a peer. */
#define SETS_MAX 256
#define EXPERTS_MAX 4096
#define PLACES_MAX 256

/** Fields: reads the elements of a msgpack array one by one.  Once an element
 * is missing or invalid, @invalid is set and stays so. */
typedef struct
{
  const msgpack_object *next;
  const msgpack_object *end;
  gboolean invalid;
} Fields;

static Fields
open_array (const msgpack_object *o)
{
  Fields f = { NULL, NULL, TRUE };

  if (o && o->type == MSGPACK_OBJECT_ARRAY)
    {
      f.next = o->via.array.ptr;
      f.end = f.next + o->via.array.size;
      f.invalid = FALSE;
    }
  return f;
}

static const msgpack_object *
next_field (Fields *f)
{
  if (f->invalid || f->next >= f->end)
    {
      f->invalid = TRUE;
      return NULL;
    }
  return f->next++;
}

static gint64
read_int (Fields *f)
{
  const msgpack_object *o = next_field (f);

  if (o && o->type == MSGPACK_OBJECT_POSITIVE_INTEGER
      && o->via.u64 <= G_MAXINT64)
    return (gint64)o->via.u64;
  if (o && o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return o->via.i64;
  f->invalid = TRUE;
  return 0;
}

/* Reads a field that earlier versions do not send; 0 if it is missing. */
static gint64
read_optional_int (Fields *f)
{
  return f->invalid || f->next >= f->end ? 0 : read_int (f);
}

/* Reads the era of a position.  Earlier versions do not send it. */
static gint64
read_era (Fields *f)
{
  gint64 era;

  if (f->invalid || f->next >= f->end)
    return CF_STORE_ERA_UNKNOWN;
  era = read_int (f);
  f->invalid |= era < CF_STORE_ERA_UNKNOWN;
  return era;
}

/* Reads a number from 0 to @max. */
static int
read_bounded_int (Fields *f, int max)
{
  gint64 v = read_int (f);

  f->invalid |= v < 0 || v > max;
  return f->invalid ? 0 : (int)v;
}

static CfPeerBytes
read_bytes (Fields *f)
{
  const msgpack_object *o = next_field (f);
  CfPeerBytes b = { "", 0 };

  if (!o || o->type != MSGPACK_OBJECT_BIN)
    {
      f->invalid = TRUE;
      return b;
    }
  b.data = o->via.bin.ptr;
  b.n = o->via.bin.size;
  return b;
}

static GArray *
read_array (Fields *f)
{
  Fields array = open_array (next_field (f));
  GArray *a = g_array_new (FALSE, FALSE, sizeof (gint64));

  while (!array.invalid && array.next < array.end)
    {
      gint64 v = read_int (&array);

      g_array_append_val (a, v);
    }
  f->invalid |= array.invalid;
  return a;
}

static void
read_status (Fields *f, CfRankStatus *s)
{
  Fields array = open_array (next_field (f));
  CfPeerBytes group = read_bytes (&array);

  memset (s, 0, sizeof *s);
  memcpy (s->group, group.data, MIN (group.n, sizeof s->group - 1));
  s->epoch = read_int (&array);
  s->rank = read_bounded_int (&array, CF_RANKS_MAX);
  s->size = read_bounded_int (&array, CF_RANKS_MAX);
  s->open = read_int (&array) != 0;
  s->step = read_int (&array);
  s->map = read_int (&array);
  s->prepared = read_int (&array);
  s->armed = read_int (&array);
  s->held = read_int (&array);
  s->running = read_int (&array);
  s->waiting = read_int (&array);
  s->slowdown = (double)read_int (&array) / CF_PEER_THOUSANDTHS;
  /* 0: the rank names none, or the sender's release does not send it. */
  s->incarnation.value = read_optional_int (&array);
  s->incarnation.is_set = s->incarnation.value != 0;
  f->invalid |= array.invalid;
}

static GArray *
read_targets (Fields *f)
{
  Fields array = open_array (next_field (f));
  GArray *a = g_array_new (FALSE, FALSE, sizeof (CfPeerTarget));

  while (!array.invalid && array.next < array.end)
    {
      Fields item = open_array (next_field (&array));
      CfPeerTarget t;

      t.id = read_bytes (&item);
      t.json = read_bytes (&item);
      t.pos.rev = read_int (&item);
      t.created.rev = read_optional_int (&item);
      t.pos.era = read_era (&item);
      t.created.era = read_era (&item);
      array.invalid |= item.invalid;
      g_array_append_val (a, t);
    }
  f->invalid |= array.invalid;
  return a;
}

static GArray *
read_slowdowns (Fields *f)
{
  Fields array = open_array (next_field (f));
  GArray *a = g_array_new (FALSE, FALSE, sizeof (CfPeerSlowdown));

  while (!array.invalid && array.next < array.end)
    {
      Fields item = open_array (next_field (&array));
      CfPeerSlowdown p;

      p.addr = read_bytes (&item);
      p.thousandths = read_int (&item);
      p.incarnation = read_optional_int (&item);
      array.invalid |= item.invalid;
      g_array_append_val (a, p);
    }
  f->invalid |= array.invalid;
  return a;
}

static GArray *
read_rate_limits (Fields *f)
{
  Fields array = open_array (next_field (f));
  GArray *a = g_array_new (FALSE, FALSE, sizeof (CfPeerRateLimit));

  while (!array.invalid && array.next < array.end)
    {
      Fields item = open_array (next_field (&array));
      CfPeerRateLimit l;

      l.id = read_bytes (&item);
      l.incarnation = read_int (&item);
      l.millionths = read_int (&item);
      l.age_ms = read_int (&item);
      array.invalid |= item.invalid || l.millionths < 0 || l.age_ms < 0;
      g_array_append_val (a, l);
    }
  f->invalid |= array.invalid;
  return a;
}

static GArray *
read_instances (Fields *f)
{
  Fields array = open_array (next_field (f));
  GArray *a = g_array_new (FALSE, FALSE, sizeof (CfPeerInstance));

  while (!array.invalid && array.next < array.end)
    {
      Fields item = open_array (next_field (&array));
      CfPeerInstance one;

      one.id = read_bytes (&item);
      one.incarnation = read_int (&item);
      array.invalid |= item.invalid;
      g_array_append_val (a, one);
    }
  f->invalid |= array.invalid;
  return a;
}

static GArray *
read_names (Fields *f)
{
  Fields array = open_array (next_field (f));
  GArray *a = g_array_new (FALSE, FALSE, sizeof (CfPeerBytes));

  while (!array.invalid && array.next < array.end)
    {
      CfPeerBytes name = read_bytes (&array);

      g_array_append_val (a, name);
    }
  f->invalid |= array.invalid;
  return a;
}

/* Values out of range are kept: whoever uses the table checks it.  Entries that
 * do not fit are dropped. */
static void
read_demand_table (Fields *f, CfDemandTable *t)
{
  Fields array = open_array (next_field (f));

  memset (t, 0, sizeof *t);
  while (!array.invalid && array.next < array.end)
    {
      Fields item = open_array (next_field (&array));
      CfDemand d;

      d.urgency = read_int (&item);
      d.org = (guint32)read_int (&item);
      d.n_orgs = (guint)read_int (&item);
      d.slots = (double)read_int (&item) / CF_PEER_THOUSANDTHS;
      array.invalid |= item.invalid;
      if (!array.invalid && t->n < CF_DEMAND_ENTRIES_MAX)
        t->entries[t->n++] = d;
    }
  f->invalid |= array.invalid;
}

static GArray *
read_demand (Fields *f)
{
  Fields array = open_array (next_field (f));
  GArray *a = g_array_new (FALSE, FALSE, sizeof (CfPeerDemand));

  while (!array.invalid && array.next < array.end)
    {
      Fields item = open_array (next_field (&array));
      CfPeerDemand d;

      d.service = read_bytes (&item);
      read_demand_table (&item, &d.own);
      read_demand_table (&item, &d.others);
      d.n_others = (guint)read_bounded_int (&item, G_MAXINT);
      array.invalid |= item.invalid;
      if (a->len < CF_PEER_DEMAND_MAX)
        g_array_append_val (a, d);
    }
  f->invalid |= array.invalid;
  return a;
}

static GArray *
read_returns (Fields *f)
{
  Fields array = open_array (next_field (f));
  GArray *a = g_array_new (FALSE, FALSE, sizeof (CfPeerReturn));

  while (!array.invalid && array.next < array.end)
    {
      Fields item = open_array (next_field (&array));
      CfPeerReturn r = { 0 };
      CfPeerBytes key;

      r.service = read_bytes (&item);
      key = read_bytes (&item);
      r.due_in_ms = read_int (&item);
      r.urgency = read_int (&item);
      item.invalid |= key.n != sizeof r.key;
      if (!item.invalid)
        memcpy (&r.key, key.data, sizeof r.key);
      array.invalid |= item.invalid;
      if (a->len < CF_PEER_RETURNS_MAX)
        g_array_append_val (a, r);
    }
  f->invalid |= array.invalid;
  return a;
}

static GArray *
read_retry_reserves (Fields *f)
{
  Fields array = open_array (next_field (f));
  GArray *a = g_array_new (FALSE, FALSE, sizeof (CfPeerRetryReserve));

  while (!array.invalid && array.next < array.end)
    {
      Fields item = open_array (next_field (&array));
      CfPeerRetryReserve r;

      r.service = read_bytes (&item);
      r.thousandths = read_int (&item);
      array.invalid |= item.invalid || r.thousandths < 0;
      if (a->len < CF_PEER_RETRIES_MAX)
        g_array_append_val (a, r);
    }
  f->invalid |= array.invalid;
  return a;
}

static void
read_retries (Fields *f, CfPeerRetries *r)
{
  Fields fields = open_array (next_field (f));

  r->run = read_int (&fields);
  r->seq = read_int (&fields);
  r->ack = read_int (&fields);
  r->reserves = read_retry_reserves (&fields);
  r->inherited = read_retry_reserves (&fields);
  f->invalid |= fields.invalid;
}

/* A later version may send more crashes than fit; the rest is ignored. */
static void
read_crash (Fields *f, CfPeerCrash *c)
{
  CfPeerBytes digest = read_bytes (f);

  memset (c, 0, sizeof *c);
  f->invalid |= digest.n != sizeof c->digest.bytes;
  if (!f->invalid)
    memcpy (c->digest.bytes, digest.data, digest.n);
  c->age_ms = read_int (f);
  while (!f->invalid && f->next < f->end
         && c->n < CF_QUARANTINE_CRASH_THRESHOLD)
    {
      c->crashes[c->n].target = read_bytes (f);
      c->crashes[c->n].sent_age_ms = read_int (f);
      c->crashes[c->n].lost_age_ms = read_int (f);
      c->n++;
    }
}

static GArray *
read_crashes (Fields *f)
{
  Fields array = open_array (next_field (f));
  GArray *a = g_array_new (FALSE, FALSE, sizeof (CfPeerCrash));

  while (!array.invalid && array.next < array.end)
    {
      Fields item = open_array (next_field (&array));
      CfPeerCrash c;

      read_crash (&item, &c);
      array.invalid |= item.invalid;
      g_array_append_val (a, c);
    }
  f->invalid |= array.invalid;
  return a;
}

static void
read_fields (Fields *f, CfPeerMsg *m)
{
  switch (m->kind)
    {
    case CF_PEER_AGENT_HELLO:
      m->u.agent_hello.target_addr = read_bytes (f);
      break;
    case CF_PEER_RANK_STATUS:
      read_status (f, &m->u.rank_status.status);
      m->u.rank_status.highest_fence = read_int (f);
      m->u.rank_status.seeds_up = (guint)read_int (f);
      m->u.rank_status.leader_fence = read_int (f);
      /* Earlier versions send the counts since the rank's start here. */
      g_array_unref (read_array (f));
      if (!f->invalid && f->next < f->end)
        m->u.rank_status.expert_counts = read_array (f);
      m->u.rank_status.readings_dropped = (guint64)read_optional_int (f);
      break;
    case CF_PEER_HEARTBEAT:
      m->u.heartbeat.fence = read_int (f);
      m->u.heartbeat.report_interval_ms = read_int (f);
      break;
    case CF_PEER_ORDER:
      m->u.order.seq = read_int (f);
      m->u.order.fence = read_int (f);
      m->u.order.order = (CfRankOrderKind)read_int (f);
      m->u.order.version = read_int (f);
      m->u.order.body = read_bytes (f);
      break;
    case CF_PEER_PREPARE:
      m->u.prepare.seq = read_int (f);
      m->u.prepare.fence = read_int (f);
      m->u.prepare.epoch = read_int (f);
      m->u.prepare.version = read_int (f);
      m->u.prepare.base_version = read_int (f);
      m->u.prepare.shape.sets = read_bounded_int (f, SETS_MAX);
      m->u.prepare.shape.experts = read_bounded_int (f, EXPERTS_MAX);
      m->u.prepare.shape.places = read_bounded_int (f, PLACES_MAX);
      m->u.prepare.rows = read_array (f);
      break;
    case CF_PEER_ORDER_ACK:
      m->u.order_ack.seq = read_int (f);
      m->u.order_ack.http_status = read_int (f);
      m->u.order_ack.highest_fence = read_int (f);
      read_status (f, &m->u.order_ack.status);
      break;
    case CF_PEER_REQUEST_LISTS:
      break;
    case CF_PEER_LISTS:
      m->u.lists.epoch = read_int (f);
      m->u.lists.version = read_int (f);
      m->u.lists.experts = read_array (f);
      break;
    case CF_PEER_GATEWAY_HELLO:
      m->u.gateway_hello.addr = read_bytes (f);
      m->u.gateway_hello.policy_pos.rev = read_int (f);
      m->u.gateway_hello.targets_pos.rev = read_int (f);
      m->u.gateway_hello.fleet_size = (guint)read_int (f);
      m->u.gateway_hello.want = (guint)read_int (f);
      /* Earlier versions do not send all of the following fields. */
      if (!f->invalid && f->next < f->end)
        m->u.gateway_hello.slowdowns = read_slowdowns (f);
      m->u.gateway_hello.ring_start = -1;
      if (!f->invalid && f->next < f->end)
        {
          m->u.gateway_hello.data_centre = read_bytes (f);
          m->u.gateway_hello.ring_start = read_int (f);
        }
      if (!f->invalid && f->next < f->end)
        m->u.gateway_hello.rate_limits = read_rate_limits (f);
      m->u.gateway_hello.n_ring_members = (guint)read_optional_int (f);
      if (!f->invalid && f->next < f->end)
        m->u.gateway_hello.leaving = read_instances (f);
      m->u.gateway_hello.policy_pos.era = read_era (f);
      m->u.gateway_hello.targets_pos.era = read_era (f);
      m->u.gateway_hello.policy_version = read_optional_int (f);
      if (!f->invalid && f->next < f->end)
        m->u.gateway_hello.evacuated = read_names (f);
      m->u.gateway_hello.evacuated_pos.rev = read_optional_int (f);
      m->u.gateway_hello.evacuated_pos.era = read_era (f);
      m->u.gateway_hello.targets_change_pos.rev = read_optional_int (f);
      m->u.gateway_hello.targets_change_pos.era = read_era (f);
      m->u.gateway_hello.n_rank_groups = (guint)read_optional_int (f);
      if (!f->invalid && f->next < f->end)
        m->u.gateway_hello.demand = read_demand (f);
      if (!f->invalid && f->next < f->end)
        m->u.gateway_hello.returns = read_returns (f);
      m->u.gateway_hello.n_local_rank_groups = (guint)read_optional_int (f);
      if (!f->invalid && f->next < f->end)
        read_retries (f, &m->u.gateway_hello.retries);
      m->u.gateway_hello.operator_change_pos.rev = read_optional_int (f);
      m->u.gateway_hello.operator_change_pos.era = read_era (f);
      break;
    case CF_PEER_POLICY:
      m->u.policy.pos.rev = read_int (f);
      m->u.policy.json = read_bytes (f);
      m->u.policy.pos.era = read_era (f);
      break;
    case CF_PEER_TARGETS:
      m->u.targets.as_of.rev = read_int (f);
      m->u.targets.items = read_targets (f);
      m->u.targets.as_of.era = read_era (f);
      break;
    case CF_PEER_CRASHES:
      m->u.crashes = read_crashes (f);
      break;
    case CF_PEER_HOLD_LEASE:
      m->u.hold_lease.group = read_bytes (f);
      m->u.hold_lease.fence = read_int (f);
      m->u.hold_lease.held = read_int (f) != 0;
      break;
    case CF_PEER_STORE_CHANGE:
      m->u.store_change.operator_pos.rev = read_int (f);
      m->u.store_change.operator_pos.era = read_era (f);
      m->u.store_change.targets_pos.rev = read_int (f);
      m->u.store_change.targets_pos.era = read_era (f);
      break;
    default:
      f->invalid = TRUE;
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
    f = open_array (&zone->data);
  m->kind = (CfPeerMsgKind)read_int (&f);
  if (!f.invalid)
    read_fields (&f, m);
  if (!f.invalid)
    return CF_OK;
  cf_peer_msg_clear (m);
  return cf_fail (CF_ERR_PROTO, REMEDY_SAME_RELEASE,
                  "malformed peer message of kind %d", (int)m->kind);
}
