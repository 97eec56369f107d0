#include "peer-msg.h"

#include "log.h"

#include <string.h>

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
  put_int (pk, (gint64)(s->slowdown * CF_PEER_THOUSANDTHS));
  put_int (pk, s->incarnation.is_set ? s->incarnation.value : 0);
}

static void
put_targets (msgpack_packer *pk, const GArray *items)
{
  msgpack_pack_array (pk, items->len);
  for (guint i = 0; i < items->len; i++)
    {
      const CfPeerTarget *t = &g_array_index (items, CfPeerTarget, i);

      msgpack_pack_array (pk, 6);
      put_bytes (pk, t->id);
      put_bytes (pk, t->json);
      put_int (pk, t->pos.rev);
      put_int (pk, t->created.rev);
      put_int (pk, t->pos.era);
      put_int (pk, t->created.era);
    }
}

static void
put_slowdowns (msgpack_packer *pk, const GArray *slowdowns)
{
  guint n = slowdowns ? slowdowns->len : 0;

  msgpack_pack_array (pk, n);
  for (guint i = 0; i < n; i++)
    {
      const CfPeerSlowdown *p = &g_array_index (slowdowns, CfPeerSlowdown, i);

      msgpack_pack_array (pk, 3);
      put_bytes (pk, p->addr);
      put_int (pk, p->thousandths);
      put_int (pk, p->incarnation);
    }
}

static void
put_rate_limits (msgpack_packer *pk, const GArray *rate_limits)
{
  guint n = rate_limits ? rate_limits->len : 0;

  msgpack_pack_array (pk, n);
  for (guint i = 0; i < n; i++)
    {
      const CfPeerRateLimit *l
          = &g_array_index (rate_limits, CfPeerRateLimit, i);

      msgpack_pack_array (pk, 4);
      put_bytes (pk, l->id);
      put_int (pk, l->incarnation);
      put_int (pk, l->millionths);
      put_int (pk, l->age_ms);
    }
}

static void
put_instances (msgpack_packer *pk, const GArray *instances)
{
  guint n = instances ? instances->len : 0;

  msgpack_pack_array (pk, n);
  for (guint i = 0; i < n; i++)
    {
      const CfPeerInstance *one = &g_array_index (instances, CfPeerInstance, i);

      msgpack_pack_array (pk, 2);
      put_bytes (pk, one->id);
      put_int (pk, one->incarnation);
    }
}

static void
put_names (msgpack_packer *pk, const GArray *names)
{
  guint n = names ? names->len : 0;

  msgpack_pack_array (pk, n);
  for (guint i = 0; i < n; i++)
    put_bytes (pk, g_array_index (names, CfPeerBytes, i));
}

static void
put_demand_table (msgpack_packer *pk, const CfDemandTable *t)
{
  msgpack_pack_array (pk, t->n);
  for (guint i = 0; i < t->n; i++)
    {
      const CfDemand *d = &t->entries[i];

      msgpack_pack_array (pk, 4);
      put_int (pk, d->urgency);
      put_int (pk, d->org);
      put_int (pk, d->n_orgs);
      put_int (pk, (gint64)(d->slots * CF_PEER_THOUSANDTHS));
    }
}

static void
put_demand (msgpack_packer *pk, const GArray *demand)
{
  guint n = demand ? MIN (demand->len, CF_PEER_DEMAND_MAX) : 0;

  msgpack_pack_array (pk, n);
  for (guint i = 0; i < n; i++)
    {
      const CfPeerDemand *d = &g_array_index (demand, CfPeerDemand, i);

      msgpack_pack_array (pk, 4);
      put_bytes (pk, d->service);
      put_demand_table (pk, &d->own);
      put_demand_table (pk, &d->others);
      put_int (pk, d->n_others);
    }
}

static void
put_returns (msgpack_packer *pk, const GArray *returns)
{
  guint n = returns ? MIN (returns->len, CF_PEER_RETURNS_MAX) : 0;

  msgpack_pack_array (pk, n);
  for (guint i = 0; i < n; i++)
    {
      const CfPeerReturn *r = &g_array_index (returns, CfPeerReturn, i);
      CfPeerBytes key = { (const char *)&r->key, sizeof r->key };

      msgpack_pack_array (pk, 4);
      put_bytes (pk, r->service);
      put_bytes (pk, key);
      put_int (pk, r->due_in_ms);
      put_int (pk, r->urgency);
    }
}

static void
put_retry_reserves (msgpack_packer *pk, const GArray *reserves)
{
  guint n = reserves ? MIN (reserves->len, CF_PEER_RETRIES_MAX) : 0;

  msgpack_pack_array (pk, n);
  for (guint i = 0; i < n; i++)
    {
      const CfPeerRetryReserve *r
          = &g_array_index (reserves, CfPeerRetryReserve, i);

      msgpack_pack_array (pk, 2);
      put_bytes (pk, r->service);
      put_int (pk, r->thousandths);
    }
}

static void
put_retries (msgpack_packer *pk, const CfPeerRetries *r)
{
  msgpack_pack_array (pk, 5);
  put_int (pk, r->run);
  put_int (pk, r->seq);
  put_int (pk, r->ack);
  put_retry_reserves (pk, r->reserves);
  put_retry_reserves (pk, r->inherited);
}

static void
put_crashes (msgpack_packer *pk, const GArray *crashes)
{
  msgpack_pack_array (pk, crashes->len);
  for (guint i = 0; i < crashes->len; i++)
    {
      const CfPeerCrash *c = &g_array_index (crashes, CfPeerCrash, i);
      CfPeerBytes digest
          = { (const char *)c->digest.bytes, sizeof c->digest.bytes };

      msgpack_pack_array (pk, 2 + 3UL * c->n);
      put_bytes (pk, digest);
      put_int (pk, c->age_ms);
      for (guint k = 0; k < c->n; k++)
        {
          put_bytes (pk, c->crashes[k].target);
          put_int (pk, c->crashes[k].sent_age_ms);
          put_int (pk, c->crashes[k].lost_age_ms);
        }
    }
}

static void
put_header (msgpack_packer *pk, const CfPeerMsg *m, size_t fields)
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
      put_header (&pk, m, 1);
      put_bytes (&pk, m->u.agent_hello.target_addr);
      break;
    case CF_PEER_RANK_STATUS:
      put_header (&pk, m, 7);
      put_status (&pk, &m->u.rank_status.status);
      put_int (&pk, m->u.rank_status.highest_fence);
      put_int (&pk, m->u.rank_status.seeds_up);
      put_int (&pk, m->u.rank_status.leader_fence);
      /* Empty: earlier versions send the counts since the rank's start here. */
      put_array (&pk, NULL);
      put_array (&pk, m->u.rank_status.expert_counts);
      put_int (&pk, (gint64)m->u.rank_status.readings_dropped);
      break;
    case CF_PEER_HEARTBEAT:
      put_header (&pk, m, 2);
      put_int (&pk, m->u.heartbeat.fence);
      put_int (&pk, m->u.heartbeat.report_interval_ms);
      break;
    case CF_PEER_ORDER:
      put_header (&pk, m, 5);
      put_int (&pk, m->u.order.seq);
      put_int (&pk, m->u.order.fence);
      put_int (&pk, m->u.order.order);
      put_int (&pk, m->u.order.version);
      put_bytes (&pk, m->u.order.body);
      break;
    case CF_PEER_PREPARE:
      put_header (&pk, m, 9);
      put_int (&pk, m->u.prepare.seq);
      put_int (&pk, m->u.prepare.fence);
      put_int (&pk, m->u.prepare.epoch);
      put_int (&pk, m->u.prepare.version);
      put_int (&pk, m->u.prepare.base_version);
      put_int (&pk, m->u.prepare.shape.sets);
      put_int (&pk, m->u.prepare.shape.experts);
      put_int (&pk, m->u.prepare.shape.places);
      put_array (&pk, m->u.prepare.rows);
      break;
    case CF_PEER_ORDER_ACK:
      put_header (&pk, m, 4);
      put_int (&pk, m->u.order_ack.seq);
      put_int (&pk, m->u.order_ack.http_status);
      put_int (&pk, m->u.order_ack.highest_fence);
      put_status (&pk, &m->u.order_ack.status);
      break;
    case CF_PEER_REQUEST_LISTS:
      put_header (&pk, m, 0);
      break;
    case CF_PEER_LISTS:
      put_header (&pk, m, 3);
      put_int (&pk, m->u.lists.epoch);
      put_int (&pk, m->u.lists.version);
      put_array (&pk, m->u.lists.experts);
      break;
    case CF_PEER_GATEWAY_HELLO:
      put_header (&pk, m, 26);
      put_bytes (&pk, m->u.gateway_hello.addr);
      put_int (&pk, m->u.gateway_hello.policy_pos.rev);
      put_int (&pk, m->u.gateway_hello.targets_pos.rev);
      put_int (&pk, m->u.gateway_hello.fleet_size);
      put_int (&pk, m->u.gateway_hello.want);
      put_slowdowns (&pk, m->u.gateway_hello.slowdowns);
      put_bytes (&pk, m->u.gateway_hello.data_centre);
      put_int (&pk, m->u.gateway_hello.ring_start);
      put_rate_limits (&pk, m->u.gateway_hello.rate_limits);
      put_int (&pk, m->u.gateway_hello.n_ring_members);
      put_instances (&pk, m->u.gateway_hello.leaving);
      put_int (&pk, m->u.gateway_hello.policy_pos.era);
      put_int (&pk, m->u.gateway_hello.targets_pos.era);
      put_int (&pk, m->u.gateway_hello.policy_version);
      put_names (&pk, m->u.gateway_hello.evacuated);
      put_int (&pk, m->u.gateway_hello.evacuated_pos.rev);
      put_int (&pk, m->u.gateway_hello.evacuated_pos.era);
      put_int (&pk, m->u.gateway_hello.targets_change_pos.rev);
      put_int (&pk, m->u.gateway_hello.targets_change_pos.era);
      put_int (&pk, m->u.gateway_hello.n_rank_groups);
      put_demand (&pk, m->u.gateway_hello.demand);
      put_returns (&pk, m->u.gateway_hello.returns);
      put_int (&pk, m->u.gateway_hello.n_local_rank_groups);
      put_retries (&pk, &m->u.gateway_hello.retries);
      put_int (&pk, m->u.gateway_hello.operator_change_pos.rev);
      put_int (&pk, m->u.gateway_hello.operator_change_pos.era);
      break;
    case CF_PEER_POLICY:
      put_header (&pk, m, 3);
      put_int (&pk, m->u.policy.pos.rev);
      put_bytes (&pk, m->u.policy.json);
      put_int (&pk, m->u.policy.pos.era);
      break;
    case CF_PEER_TARGETS:
      put_header (&pk, m, 3);
      put_int (&pk, m->u.targets.as_of.rev);
      put_targets (&pk, m->u.targets.items);
      put_int (&pk, m->u.targets.as_of.era);
      break;
    case CF_PEER_CRASHES:
      put_header (&pk, m, 1);
      put_crashes (&pk, m->u.crashes);
      break;
    case CF_PEER_HOLD_LEASE:
      put_header (&pk, m, 3);
      put_bytes (&pk, m->u.hold_lease.group);
      put_int (&pk, m->u.hold_lease.fence);
      put_int (&pk, m->u.hold_lease.held);
      break;
    case CF_PEER_STORE_CHANGE:
      put_header (&pk, m, 4);
      put_int (&pk, m->u.store_change.operator_pos.rev);
      put_int (&pk, m->u.store_change.operator_pos.era);
      put_int (&pk, m->u.store_change.targets_pos.rev);
      put_int (&pk, m->u.store_change.targets_pos.era);
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

void
cf_peer_msg_clear (CfPeerMsg *m)
{
  GArray **a = NULL;

  switch (m->kind)
    {
    case CF_PEER_RANK_STATUS:
      a = &m->u.rank_status.expert_counts;
      break;
    case CF_PEER_PREPARE:
      a = &m->u.prepare.rows;
      break;
    case CF_PEER_LISTS:
      a = &m->u.lists.experts;
      break;
    case CF_PEER_GATEWAY_HELLO:
      a = &m->u.gateway_hello.slowdowns;
      g_clear_pointer (&m->u.gateway_hello.rate_limits, g_array_unref);
      g_clear_pointer (&m->u.gateway_hello.leaving, g_array_unref);
      g_clear_pointer (&m->u.gateway_hello.evacuated, g_array_unref);
      g_clear_pointer (&m->u.gateway_hello.demand, g_array_unref);
      g_clear_pointer (&m->u.gateway_hello.returns, g_array_unref);
      g_clear_pointer (&m->u.gateway_hello.retries.reserves, g_array_unref);
      g_clear_pointer (&m->u.gateway_hello.retries.inherited, g_array_unref);
      break;
    case CF_PEER_TARGETS:
      a = &m->u.targets.items;
      break;
    case CF_PEER_CRASHES:
      a = &m->u.crashes;
      break;
    default:
      break;
    }
  if (a && *a)
    g_clear_pointer (a, g_array_unref);
}

void
cf_peer_msg_receive (const char *data, gsize n, const char *role,
                     const char *name, CfPeerMsgHandler handler, void *owner)
{
  msgpack_unpacked zone;
  CfPeerMsg m;

  if (cf_peer_msg_unpack (data, n, &zone, &m) != CF_OK)
    cf_log (LOG_WARNING, CF_EV_PEER, "%s=%s outcome=bad error=\"%s\"", role,
            name ? name : "-", cf_last_error ());
  else
    handler (owner, &m);
  cf_peer_msg_clear (&m);
  msgpack_unpacked_destroy (&zone);
}
