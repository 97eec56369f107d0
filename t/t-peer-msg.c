/* Peer messages: packing and unpacking of each kind, and malformed frames. */
#include "gateway/peer-frame.h"
#include "gateway/peer-msg.h"
#include "harness.h"

#include <string.h>

static CfPeerBytes
bytes (const char *s)
{
  CfPeerBytes b = { s, strlen (s) };

  return b;
}

static void
pack_and_unpack (const CfPeerMsg *m, CfPeerMsg *out, msgpack_unpacked *zone,
                 msgpack_sbuffer *buf)
{
  msgpack_sbuffer_init (buf);
  cf_peer_msg_pack (m, buf);
  ck_assert_int_eq (cf_peer_msg_unpack (buf->data, buf->size, zone, out),
                    CF_OK);
  ck_assert_int_eq (out->kind, m->kind);
}

static void
free_all (CfPeerMsg *m, msgpack_unpacked *zone, msgpack_sbuffer *buf)
{
  cf_peer_msg_clear (m);
  msgpack_unpacked_destroy (zone);
  msgpack_sbuffer_destroy (buf);
}

START_TEST (rank_status_round_trip)
{
  CfPeerMsg m = { .kind = CF_PEER_RANK_STATUS };
  CfPeerMsg o;
  msgpack_unpacked zone;
  msgpack_sbuffer buf;
  gint64 n = 77;

  g_strlcpy (m.u.rank_status.status.group, "g0",
             sizeof m.u.rank_status.status.group);
  m.u.rank_status.status.rank = 3;
  m.u.rank_status.status.held = 1LL << 40;
  m.u.rank_status.seeds_up = 5;
  m.u.rank_status.leader_fence = 24;
  m.u.rank_status.readings_dropped = 7;
  m.u.rank_status.expert_counts = g_array_new (FALSE, FALSE, sizeof (gint64));
  g_array_append_val (m.u.rank_status.expert_counts, n);
  pack_and_unpack (&m, &o, &zone, &buf);
  ck_assert_str_eq (o.u.rank_status.status.group, "g0");
  ck_assert_int_eq (o.u.rank_status.status.held, 1LL << 40);
  ck_assert_uint_eq (o.u.rank_status.seeds_up, 5);
  ck_assert_int_eq (o.u.rank_status.leader_fence, 24);
  ck_assert_uint_eq (o.u.rank_status.readings_dropped, 7);
  ck_assert_int_eq (g_array_index (o.u.rank_status.expert_counts, gint64, 0),
                    77);
  free_all (&o, &zone, &buf);
  cf_peer_msg_clear (&m);
}
END_TEST

START_TEST (gateway_hello_and_targets_round_trip)
{
  CfPeerMsg m = { .kind = CF_PEER_GATEWAY_HELLO };
  CfPeerTarget t = { bytes ("i-1"), bytes ("{}"), { 3, 12 }, { 2, 7 } };
  CfPeerSlowdown slowdown = { bytes ("1.2.3.9:1"), 12000, 1783022913149 };
  CfPeerRateLimit rate_limit = { bytes ("i-2"), 1783022913149, 1100000, 40 };
  CfPeerInstance leaving = { bytes ("i-3"), 1783022913149 };
  CfPeerBytes evacuated = bytes ("dc3");
  CfPeerMsg o;
  msgpack_unpacked zone;
  msgpack_sbuffer buf;

  m.u.gateway_hello.addr = bytes ("1.2.3.4:5");
  m.u.gateway_hello.policy_pos = (CfStorePosition){ 3, 9 };
  m.u.gateway_hello.policy_version = 41;
  m.u.gateway_hello.want = CF_PEER_WANT_TARGETS;
  m.u.gateway_hello.data_centre = bytes ("dc2");
  m.u.gateway_hello.ring_start = CF_PEER_RING_UNITS / 2;
  m.u.gateway_hello.n_ring_members = 4;
  m.u.gateway_hello.slowdowns
      = g_array_new (FALSE, FALSE, sizeof (CfPeerSlowdown));
  g_array_append_val (m.u.gateway_hello.slowdowns, slowdown);
  m.u.gateway_hello.rate_limits
      = g_array_new (FALSE, FALSE, sizeof (CfPeerRateLimit));
  g_array_append_val (m.u.gateway_hello.rate_limits, rate_limit);
  m.u.gateway_hello.leaving
      = g_array_new (FALSE, FALSE, sizeof (CfPeerInstance));
  g_array_append_val (m.u.gateway_hello.leaving, leaving);
  m.u.gateway_hello.evacuated
      = g_array_new (FALSE, FALSE, sizeof (CfPeerBytes));
  g_array_append_val (m.u.gateway_hello.evacuated, evacuated);
  m.u.gateway_hello.evacuated_pos = (CfStorePosition){ 3, 15 };
  pack_and_unpack (&m, &o, &zone, &buf);
  ck_assert_uint_eq (o.u.gateway_hello.evacuated->len, 1);
  ck_assert_mem_eq (
      g_array_index (o.u.gateway_hello.evacuated, CfPeerBytes, 0).data, "dc3",
      3);
  ck_assert_int_eq (o.u.gateway_hello.evacuated_pos.rev, 15);
  ck_assert_int_eq (o.u.gateway_hello.evacuated_pos.era, 3);
  ck_assert_uint_eq (o.u.gateway_hello.leaving->len, 1);
  ck_assert_int_eq (
      g_array_index (o.u.gateway_hello.leaving, CfPeerInstance, 0).incarnation,
      1783022913149);
  ck_assert_uint_eq (o.u.gateway_hello.want, CF_PEER_WANT_TARGETS);
  ck_assert_int_eq (o.u.gateway_hello.policy_pos.rev, 9);
  ck_assert_int_eq (o.u.gateway_hello.policy_pos.era, 3);
  ck_assert_int_eq (o.u.gateway_hello.policy_version, 41);
  ck_assert_mem_eq (o.u.gateway_hello.data_centre.data, "dc2", 3);
  ck_assert_int_eq (o.u.gateway_hello.ring_start, CF_PEER_RING_UNITS / 2);
  ck_assert_uint_eq (o.u.gateway_hello.slowdowns->len, 1);
  ck_assert_int_eq (
      g_array_index (o.u.gateway_hello.slowdowns, CfPeerSlowdown, 0)
          .thousandths,
      12000);
  ck_assert_int_eq (
      g_array_index (o.u.gateway_hello.slowdowns, CfPeerSlowdown, 0)
          .incarnation,
      1783022913149);
  ck_assert_uint_eq (o.u.gateway_hello.n_ring_members, 4);
  ck_assert_uint_eq (o.u.gateway_hello.rate_limits->len, 1);
  ck_assert_int_eq (
      g_array_index (o.u.gateway_hello.rate_limits, CfPeerRateLimit, 0)
          .millionths,
      1100000);
  ck_assert_int_eq (
      g_array_index (o.u.gateway_hello.rate_limits, CfPeerRateLimit, 0).age_ms,
      40);
  cf_peer_msg_clear (&m);
  free_all (&o, &zone, &buf);
  m.kind = CF_PEER_TARGETS;
  m.u.targets.as_of = (CfStorePosition){ 3, 12 };
  m.u.targets.items = g_array_new (FALSE, FALSE, sizeof (CfPeerTarget));
  g_array_append_val (m.u.targets.items, t);
  pack_and_unpack (&m, &o, &zone, &buf);
  ck_assert_uint_eq (o.u.targets.items->len, 1);
  ck_assert_int_eq (
      memcmp (g_array_index (o.u.targets.items, CfPeerTarget, 0).id.data, "i-1",
              3),
      0);
  ck_assert_int_eq (o.u.targets.as_of.era, 3);
  ck_assert_int_eq (
      g_array_index (o.u.targets.items, CfPeerTarget, 0).created.rev, 7);
  ck_assert_int_eq (
      g_array_index (o.u.targets.items, CfPeerTarget, 0).created.era, 2);
  ck_assert_int_eq (g_array_index (o.u.targets.items, CfPeerTarget, 0).pos.era,
                    3);
  free_all (&o, &zone, &buf);
  cf_peer_msg_clear (&m);
}
END_TEST

static const CfDemandTable two_entries
    = { .n = 2, .entries = { { 0, 7, 1, 1.5 }, { 17, 0, 300, 40 } } };

/* A field read in the wrong order would give a gateway another's demand. */
START_TEST (demand_and_returns_round_trip)
{
  CfPeerMsg m = { .kind = CF_PEER_GATEWAY_HELLO };
  CfPeerDemand d = { bytes ("llm"), two_entries, { 0 }, 12 };
  CfPeerReturn r = { bytes ("llm"), G_MAXUINT64, 750, 17 };
  const CfPeerDemand *got;
  CfPeerMsg o;
  msgpack_unpacked zone;
  msgpack_sbuffer buf;

  m.u.gateway_hello.demand = g_array_new (FALSE, FALSE, sizeof d);
  g_array_append_val (m.u.gateway_hello.demand, d);
  m.u.gateway_hello.returns = g_array_new (FALSE, FALSE, sizeof r);
  g_array_append_val (m.u.gateway_hello.returns, r);
  m.u.gateway_hello.n_local_rank_groups = 3;
  pack_and_unpack (&m, &o, &zone, &buf);
  ck_assert_uint_eq (o.u.gateway_hello.demand->len, 1);
  got = &g_array_index (o.u.gateway_hello.demand, CfPeerDemand, 0);
  ck_assert_mem_eq (got->service.data, "llm", 3);
  ck_assert_uint_eq (got->n_others, 12);
  ck_assert_uint_eq (got->others.n, 0);
  ck_assert_uint_eq (got->own.n, 2);
  ck_assert_int_eq (got->own.entries[1].urgency, 17);
  ck_assert_uint_eq (got->own.entries[1].n_orgs, 300);
  ck_assert_double_eq_tol (got->own.entries[0].slots, 1.5, 0.001);
  ck_assert (g_array_index (o.u.gateway_hello.returns, CfPeerReturn, 0).key
             == G_MAXUINT64);
  ck_assert_int_eq (
      g_array_index (o.u.gateway_hello.returns, CfPeerReturn, 0).due_in_ms,
      750);
  ck_assert_uint_eq (o.u.gateway_hello.n_local_rank_groups, 3);
  cf_peer_msg_clear (&m);
  free_all (&o, &zone, &buf);
}
END_TEST

/* Guards against a successor that is given tokens of another service, and
 * against hellos of any size. */
START_TEST (retry_reserves_round_trip)
{
  CfPeerMsg m = { .kind = CF_PEER_GATEWAY_HELLO };
  CfPeerRetries *r = &m.u.gateway_hello.retries;
  CfPeerRetryReserve reserve = { bytes ("llm"), 8000 };
  CfPeerRetryReserve inherited = { bytes ("desk"), 3000 };
  const CfPeerRetryReserve *got;
  CfPeerMsg o;
  msgpack_unpacked zone;
  msgpack_sbuffer buf;

  *r = (CfPeerRetries){ .run = G_MAXINT64, .seq = 7, .ack = 5 };
  r->reserves = g_array_new (FALSE, FALSE, sizeof reserve);
  r->inherited = g_array_new (FALSE, FALSE, sizeof reserve);
  g_array_append_val (r->reserves, reserve);
  for (int i = 0; i < 20; i++)
    g_array_append_val (r->inherited, inherited);
  pack_and_unpack (&m, &o, &zone, &buf);
  ck_assert_int_eq (o.u.gateway_hello.retries.run, G_MAXINT64);
  ck_assert_int_eq (o.u.gateway_hello.retries.seq, 7);
  ck_assert_int_eq (o.u.gateway_hello.retries.ack, 5);
  ck_assert_uint_eq (o.u.gateway_hello.retries.reserves->len, 1);
  got = &g_array_index (o.u.gateway_hello.retries.reserves, CfPeerRetryReserve,
                        0);
  ck_assert_mem_eq (got->service.data, "llm", 3);
  ck_assert_int_eq (got->thousandths, 8000);
  ck_assert_uint_eq (o.u.gateway_hello.retries.inherited->len,
                     CF_PEER_RETRIES_MAX);
  got = &g_array_index (o.u.gateway_hello.retries.inherited, CfPeerRetryReserve,
                        0);
  ck_assert_mem_eq (got->service.data, "desk", 4);
  ck_assert_int_eq (got->thousandths, 3000);
  cf_peer_msg_clear (&m);
  free_all (&o, &zone, &buf);
}
END_TEST

/* A hello is bounded in bytes, whatever the demand. */
START_TEST (demand_and_returns_are_bounded)
{
  CfPeerMsg m = { .kind = CF_PEER_GATEWAY_HELLO };
  CfPeerDemand d = { bytes ("llm"), two_entries, { 0 }, 12 };
  CfPeerReturn r = { bytes ("llm"), 1, 750, 17 };
  CfPeerMsg o;
  msgpack_unpacked zone;
  msgpack_sbuffer buf;

  m.u.gateway_hello.demand = g_array_new (FALSE, FALSE, sizeof d);
  m.u.gateway_hello.returns = g_array_new (FALSE, FALSE, sizeof r);
  d.own.n = CF_DEMAND_ENTRIES_MAX;
  d.others.n = CF_DEMAND_ENTRIES_MAX;
  for (int i = 0; i < 10; i++)
    g_array_append_val (m.u.gateway_hello.demand, d);
  for (int i = 0; i < 100; i++)
    g_array_append_val (m.u.gateway_hello.returns, r);
  pack_and_unpack (&m, &o, &zone, &buf);
  ck_assert_uint_eq (o.u.gateway_hello.demand->len, CF_PEER_DEMAND_MAX);
  ck_assert_uint_eq (o.u.gateway_hello.returns->len, CF_PEER_RETURNS_MAX);
  ck_assert_uint_le (buf.size, 6000);
  cf_peer_msg_clear (&m);
  free_all (&o, &zone, &buf);
}
END_TEST

/* Earlier releases send positions without an era. */
START_TEST (positions_of_earlier_releases_have_no_era)
{
  msgpack_sbuffer buf;
  msgpack_packer pk;
  msgpack_unpacked zone;
  CfPeerMsg o;

  msgpack_sbuffer_init (&buf);
  msgpack_packer_init (&pk, &buf, msgpack_sbuffer_write);
  msgpack_pack_array (&pk, 3);
  msgpack_pack_int (&pk, CF_PEER_TARGETS);
  msgpack_pack_int (&pk, 12);
  msgpack_pack_array (&pk, 1);
  msgpack_pack_array (&pk, 4);
  msgpack_pack_bin_with_body (&pk, "i-1", 3);
  msgpack_pack_bin_with_body (&pk, "{}", 2);
  msgpack_pack_int (&pk, 11);
  msgpack_pack_int (&pk, 7);
  ck_assert_int_eq (cf_peer_msg_unpack (buf.data, buf.size, &zone, &o), CF_OK);
  ck_assert_int_eq (o.u.targets.as_of.rev, 12);
  ck_assert_int_eq (o.u.targets.as_of.era, CF_STORE_ERA_UNKNOWN);
  ck_assert_int_eq (g_array_index (o.u.targets.items, CfPeerTarget, 0).pos.era,
                    CF_STORE_ERA_UNKNOWN);
  free_all (&o, &zone, &buf);
}
END_TEST

START_TEST (order_round_trip)
{
  CfPeerMsg m = { .kind = CF_PEER_ORDER };
  CfPeerMsg o;
  msgpack_unpacked zone;
  msgpack_sbuffer buf;

  m.u.order.seq = 4;
  m.u.order.order = CF_ORDER_HOLD;
  m.u.order.body = bytes ("{\"op\":1}");
  pack_and_unpack (&m, &o, &zone, &buf);
  ck_assert_int_eq (o.u.order.order, CF_ORDER_HOLD);
  ck_assert_uint_eq (o.u.order.body.n, 8);
  free_all (&o, &zone, &buf);
}
END_TEST

/** Number of experts in all sets of a large group, and the number of bytes that
 * a status report may take in addition to one byte per expert. */
#define LARGE_GROUP_EXPERTS 3840
#define STATUS_OVERHEAD_BYTES 256

/* Guards against reporting counts since the rank's start: in a group of 192
 * ranks such reports were most of the traffic between data centres, since each
 * number grew to three to five bytes over the day. */
START_TEST (expert_counts_take_one_byte_per_expert)
{
  CfPeerMsg m = { .kind = CF_PEER_RANK_STATUS };
  msgpack_sbuffer buf;

  g_strlcpy (m.u.rank_status.status.group, "group-1",
             sizeof m.u.rank_status.status.group);
  m.u.rank_status.expert_counts = g_array_new (FALSE, FALSE, sizeof (gint64));
  for (gint64 i = 0; i < LARGE_GROUP_EXPERTS; i++)
    {
      gint64 count = i % 60;

      g_array_append_val (m.u.rank_status.expert_counts, count);
    }
  msgpack_sbuffer_init (&buf);
  cf_peer_msg_pack (&m, &buf);
  ck_assert_uint_le (buf.size, LARGE_GROUP_EXPERTS + STATUS_OVERHEAD_BYTES);
  msgpack_sbuffer_destroy (&buf);
  cf_peer_msg_clear (&m);
}
END_TEST

START_TEST (prepare_order_round_trip)
{
  const gint64 rows[] = { 1919, 383, -1, 7 };
  CfPeerMsg m = { .kind = CF_PEER_PREPARE };
  CfPeerMsg o;
  msgpack_unpacked zone;
  msgpack_sbuffer buf;

  m.u.prepare.epoch = 3;
  m.u.prepare.version = G_GINT64_CONSTANT (178179074);
  m.u.prepare.base_version = 5;
  m.u.prepare.shape = (CfGroupShape){ .sets = 10, .experts = 384, .places = 3 };
  m.u.prepare.rows = g_array_new (FALSE, FALSE, sizeof (gint64));
  g_array_append_vals (m.u.prepare.rows, rows, G_N_ELEMENTS (rows));
  pack_and_unpack (&m, &o, &zone, &buf);
  ck_assert_int_eq (o.u.prepare.epoch, 3);
  ck_assert_int_eq (o.u.prepare.version, 178179074);
  ck_assert_int_eq (o.u.prepare.base_version, 5);
  ck_assert_int_eq (o.u.prepare.shape.experts, 384);
  ck_assert_uint_eq (o.u.prepare.rows->len, G_N_ELEMENTS (rows));
  ck_assert_int_eq (g_array_index (o.u.prepare.rows, gint64, 2), -1);
  free_all (&o, &zone, &buf);
  cf_peer_msg_clear (&m);
}
END_TEST

START_TEST (crashes_round_trip)
{
  CfPeerMsg m = { .kind = CF_PEER_CRASHES };
  CfPeerMsg o;
  msgpack_unpacked zone;
  msgpack_sbuffer buf;
  CfPeerCrash in[2] = { { .age_ms = 70, .n = 1 }, { .n = 0 } };
  const CfPeerCrash *out;

  in[0].digest = cf_request_digest ("o", "/a", "body", 4);
  in[0].crashes[0].target = bytes ("i-1/7");
  in[0].crashes[0].sent_age_ms = 90;
  in[0].crashes[0].lost_age_ms = 80;
  in[1].digest = cf_request_digest ("o", "/b", "body", 4);
  m.u.crashes = g_array_new (FALSE, FALSE, sizeof (CfPeerCrash));
  g_array_append_vals (m.u.crashes, in, 2);
  pack_and_unpack (&m, &o, &zone, &buf);
  ck_assert_uint_eq (o.u.crashes->len, 2);
  out = (const CfPeerCrash *)(void *)o.u.crashes->data;
  ck_assert (cf_request_digest_equal (&out[0].digest, &in[0].digest));
  ck_assert_int_eq (out[0].age_ms, 70);
  ck_assert_uint_eq (out[0].n, 1);
  ck_assert_mem_eq (out[0].crashes[0].target.data, "i-1/7",
                    out[0].crashes[0].target.n);
  ck_assert_int_eq (out[0].crashes[0].sent_age_ms, 90);
  ck_assert_int_eq (out[0].crashes[0].lost_age_ms, 80);
  ck_assert (cf_request_digest_equal (&out[1].digest, &in[1].digest));
  ck_assert_uint_eq (out[1].n, 0);
  free_all (&o, &zone, &buf);
  cf_peer_msg_clear (&m);
}
END_TEST

START_TEST (hold_lease_round_trip)
{
  CfPeerMsg m = { .kind = CF_PEER_HOLD_LEASE };
  CfPeerMsg o;
  msgpack_unpacked zone;
  msgpack_sbuffer buf;

  m.u.hold_lease.group = bytes ("g0");
  m.u.hold_lease.fence = 26;
  m.u.hold_lease.held = TRUE;
  pack_and_unpack (&m, &o, &zone, &buf);
  ck_assert_uint_eq (o.u.hold_lease.group.n, 2);
  ck_assert_int_eq (o.u.hold_lease.fence, 26);
  ck_assert (o.u.hold_lease.held);
  free_all (&o, &zone, &buf);
}
END_TEST

START_TEST (store_change_round_trip)
{
  CfPeerMsg m = { .kind = CF_PEER_STORE_CHANGE };
  CfPeerMsg o;
  msgpack_unpacked zone;
  msgpack_sbuffer buf;

  m.u.store_change.operator_pos = (CfStorePosition){ .era = 2, .rev = 71 };
  m.u.store_change.targets_pos = (CfStorePosition){ .era = 2, .rev = 88 };
  pack_and_unpack (&m, &o, &zone, &buf);
  ck_assert_int_eq (o.u.store_change.operator_pos.era, 2);
  ck_assert_int_eq (o.u.store_change.operator_pos.rev, 71);
  ck_assert_int_eq (o.u.store_change.targets_pos.era, 2);
  ck_assert_int_eq (o.u.store_change.targets_pos.rev, 88);
  free_all (&o, &zone, &buf);
}
END_TEST

/* Half of the frames begin with an array header and a kind. */
START_TEST (random_frames_are_decoded_safely)
{
  GRand *rng = g_rand_new_with_seed (3);

  for (int i = 0; i < 50000; i++)
    {
      char frame[64];
      gsize n = (gsize)g_rand_int_range (rng, 0, sizeof frame);
      msgpack_unpacked zone;
      CfPeerMsg m;

      for (gsize j = 0; j < n; j++)
        frame[j] = (char)g_rand_int (rng);
      if (n > 2 && i % 2)
        {
          frame[0] = (char)(0x90 + g_rand_int_range (rng, 1, 8));
          frame[1] = (char)g_rand_int_range (rng, 1, 12);
        }
      cf_peer_msg_unpack (frame, n, &zone, &m);
      cf_peer_msg_clear (&m);
      msgpack_unpacked_destroy (&zone);
    }
  g_rand_free (rng);
}
END_TEST

/* Headers that claim more elements or bytes than the frame has left. */
START_TEST (frames_with_excessive_lengths_are_rejected)
{
  const struct
  {
    const char *bytes;
    gsize n;
    gboolean is_complete;
  } cases[] = {
    { "\xdd\xff\xff\xff\xff", 5, FALSE },
    { "\xdf\xff\xff\xff\xff", 5, FALSE },
    { "\x92\xdd\x10\x00\x00\x00\x01", 7, FALSE },
    { "\xc6\xff\xff\xff\xff", 5, FALSE },
    { "\x92\x01", 2, FALSE },
    { "\xcf\x01", 2, FALSE },
    { "", 0, FALSE },
    { "\x93\x01\xa1x\xc4\x01y", 7, TRUE },
    { "\x82\x01\x02\x03\xd4\x01\x02", 7, TRUE },
    { "\x91\xcf\x01\x02\x03\x04\x05\x06\x07\x08", 10, TRUE },
    { "\xdc\x00\x02\xc0\xff", 5, TRUE },
  };

  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    ck_assert_msg (cf_peer_frame_is_complete (cases[i].bytes, cases[i].n)
                       == cases[i].is_complete,
                   "case %" G_GSIZE_FORMAT, i);
}
END_TEST

/* Earlier versions do not send the incarnation of the target. */
START_TEST (status_without_incarnation_is_accepted)
{
  msgpack_sbuffer buf;
  msgpack_packer pk;
  msgpack_unpacked zone;
  CfPeerMsg o;

  msgpack_sbuffer_init (&buf);
  msgpack_packer_init (&pk, &buf, msgpack_sbuffer_write);
  msgpack_pack_array (&pk, 6);
  msgpack_pack_int64 (&pk, CF_PEER_RANK_STATUS);
  msgpack_pack_array (&pk, 13);
  msgpack_pack_bin (&pk, 2);
  msgpack_pack_bin_body (&pk, "g0", 2);
  for (int i = 0; i < 12; i++)
    msgpack_pack_int64 (&pk, 1);
  for (int i = 0; i < 3; i++)
    msgpack_pack_int64 (&pk, 2);
  msgpack_pack_array (&pk, 0);
  ck_assert_int_eq (cf_peer_msg_unpack (buf.data, buf.size, &zone, &o), CF_OK);
  ck_assert (!o.u.rank_status.status.incarnation.is_set);
  ck_assert_int_eq (o.u.rank_status.status.waiting, 1);
  free_all (&o, &zone, &buf);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("peer-msg");
  TCase *t = tcase_create ("peer-msg");

  tcase_add_test (t, rank_status_round_trip);
  tcase_add_test (t, gateway_hello_and_targets_round_trip);
  tcase_add_test (t, demand_and_returns_round_trip);
  tcase_add_test (t, retry_reserves_round_trip);
  tcase_add_test (t, demand_and_returns_are_bounded);
  tcase_add_test (t, positions_of_earlier_releases_have_no_era);
  tcase_add_test (t, order_round_trip);
  tcase_add_test (t, prepare_order_round_trip);
  tcase_add_test (t, expert_counts_take_one_byte_per_expert);
  tcase_add_test (t, crashes_round_trip);
  tcase_add_test (t, hold_lease_round_trip);
  tcase_add_test (t, store_change_round_trip);
  tcase_add_test (t, random_frames_are_decoded_safely);
  tcase_add_test (t, frames_with_excessive_lengths_are_rejected);
  tcase_add_test (t, status_without_incarnation_is_accepted);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
