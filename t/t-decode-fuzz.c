/*
 * Fuzzes every decoder of input from other processes.  The input is a valid
 * document in which bytes are changed, cut, duplicated or replaced by edge
 * values, or it is random bytes.  Built with the address and undefined
 * behaviour sanitizers.  The decoders must not crash or leak, and must accept a
 * document as a whole or not at all: either the output meets all constraints of
 * its type, or it stays empty.
 */
#include "gateway/map-history.h"
#include "gateway/peer-msg.h"
#include "harness.h"
#include "platform/platform-policy.h"
#include "platform/platform-rank.h"
#include "platform/platform-store.h"
#include "platform/platform-target.h"

#include <string.h>

#define ROUNDS 4000
#define SEED 20
#define BYTES_MAX 4096

static GRand *rng;

static const char *const edge_values[] = { "null",
                                           "-1",
                                           "0",
                                           "1e400",
                                           "1e30",
                                           "18446744073709551616",
                                           "9223372036854775807",
                                           "\"\"",
                                           "[]",
                                           "{}",
                                           "true",
                                           "\"\\u0000\"",
                                           "\"\\ud800\"",
                                           "[[[[[[1]]]]]]",
                                           ",",
                                           "}",
                                           "\xff",
                                           "\"x\":1," };

static const char valid_target[]
    = "{\"service\":\"s\",\"addr\":\"1.2.3.4:5\",\"zone\":\"dc\",\"version\":"
      "\"v1\",\"slots\":12,\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":4,"
      "\"stage\":\"both\",\"models\":[{\"name\":\"m\"}],"
      "\"born\":1783022913149}";

static const char valid_report[]
    = "{\"running\":3,\"waiting\":1,\"group\":{\"name\":\"g\",\"epoch\":2,"
      "\"rank\":1,\"state\":\"open\"},\"size\":16,\"step\":9,\"map\":4,"
      "\"prepared\":{\"version\":5},\"armed\":null,\"held\":11,\"pace\":1.5,"
      "\"born\":1783022913149}";

static const char valid_counts[]
    = "{\"step\":1,\"epoch\":2,\"counts\":[1,2,3,4],\"born\":1783022913149}";

static const char valid_lists[]
    = "{\"map\":{\"version\":4,\"experts\":[[0,2],[1]]},\"prepared\":{}}";

static const char valid_config[]
    = "{\"version\":7,\"routes\":[{\"name\":\"a\",\"host\":\"h.example\","
      "\"prefix\":\"/x/\",\"kind\":\"streaming\",\"resumable\":true,"
      "\"timeout-ms\":8000,\"aim-ms\":500,\"priority\":1,\"split\":["
      "{\"service\":\"s1\",\"weight\":90},{\"service\":\"s2\",\"weight\":10}],"
      "\"max-attempts\":2}],\"services\":[{\"name\":\"s1\",\"max-conns\":5,"
      "\"engine\":{\"sets\":4,\"experts\":64,\"places\":5,\"spare\":2}}],"
      "\"limits\":{\"max-header-bytes\":100},\"tenants\":[{\"name\":\"t\","
      "\"api-keys\":[\"k1\"],\"priority\":0}]}";

static const char valid_store_reply[]
    = "{\"events\":[{\"key\":\"servers/i-1\",\"value\":\"e30=\",\"rev\":5,"
      "\"create-revision\":5},{\"key\":\"servers/i-2\",\"rev\":6,"
      "\"removed\":true}],\"as-of\":6,\"has-more\":true}";

static gsize
random_below (gsize n)
{
  return n ? (gsize)g_rand_int_range (rng, 0, (gint32)n) : 0;
}

/* Replaces a random value of a JSON document by an edge value. */
static void
replace_value (GString *s)
{
  gsize at = random_below (s->len);
  gsize end;

  while (at < s->len && s->str[at] != ':')
    at++;
  if (at >= s->len)
    return;
  for (end = ++at; end < s->len && !strchr (",}]", s->str[end]);)
    end++;
  g_string_erase (s, (gssize)at, (gssize)(end - at));
  g_string_insert (s, (gssize)at,
                   edge_values[random_below (G_N_ELEMENTS (edge_values))]);
}

static void
mutate (GString *s)
{
  gsize at = random_below (s->len);

  switch (random_below (5))
    {
    case 0:
      if (s->len)
        s->str[at] = (char)g_rand_int (rng);
      break;
    case 1:
      g_string_truncate (s, at);
      break;
    case 2:
      g_string_erase (s, (gssize)at, (gssize)random_below (s->len - at + 1));
      break;
    case 3:
      {
        g_autofree char *part = g_strndup (s->str + at, random_below (40));

        g_string_insert (s, (gssize)random_below (s->len + 1), part);
      }
      break;
    default:
      replace_value (s);
      break;
    }
}

/* Returns the @i-th corrupted form of @valid; the first is unchanged. */
static GString *
corrupt (const char *valid, gsize n, int i)
{
  GString *s = g_string_new_len (valid, (gssize)n);
  gsize changes = i == 0 ? 0 : 1 + random_below (4);

  if (i % 16 == 15)
    {
      g_string_set_size (s, random_below (BYTES_MAX));
      for (gsize b = 0; b < s->len; b++)
        s->str[b] = (char)g_rand_int (rng);
    }
  for (gsize c = 0; c < changes; c++)
    mutate (s);
  return s;
}

START_TEST (target_records)
{
  guint n_accepted = 0;

  for (int i = 0; i < ROUNDS; i++)
    {
      GString *s = corrupt (valid_target, strlen (valid_target), i);
      CfTargetRecord r;

      if (cf_platform_target_parse ("i-1", s->str, s->len, &r) == CF_OK)
        {
          ck_assert (r.id && *r.service && *r.addr && *r.data_centre);
          ck_assert (r.slots > 0 && r.slots <= 100000);
          ck_assert (r.warmup_ms >= 0 && r.incarnation >= 0);
          n_accepted++;
        }
      else
        ck_assert (!r.id && !r.service && !r.addr && !r.data_centre);
      cf_target_record_clear (&r);
      g_string_free (s, TRUE);
    }
  ck_assert_uint_gt (n_accepted, 0);
}
END_TEST

START_TEST (rank_reports)
{
  for (int i = 0; i < ROUNDS; i++)
    {
      GString *s = corrupt (valid_report, strlen (valid_report), i);
      CfRankStatus r;

      if (cf_platform_rank_parse_report (s->str, s->len, &r) == CF_OK)
        {
          ck_assert (r.slowdown >= 1 && r.slowdown <= 1000);
          ck_assert (r.rank >= 0 && (!r.group[0] || r.rank < r.size));
          ck_assert (r.size <= CF_RANKS_MAX && r.epoch >= 0 && r.held >= 0);
          ck_assert (r.map >= 0 && r.prepared >= 0 && r.armed >= 0);
        }
      else
        ck_assert (!r.group[0] && r.size == 0 && r.map == 0);
      g_string_free (s, TRUE);
    }
}
END_TEST

START_TEST (counts_and_expert_lists)
{
  for (int i = 0; i < ROUNDS; i++)
    {
      GString *c = corrupt (valid_counts, strlen (valid_counts), i);
      GString *l = corrupt (valid_lists, strlen (valid_lists), i);
      CfExpertReading r;
      GArray *a = NULL;
      gint64 n;

      if (cf_platform_rank_parse_counts (c->str, c->len, &r) == CF_OK)
        for (guint j = 0; j < r.counts->len; j++)
          ck_assert_int_ge (g_array_index (r.counts, gint64, j), 0);
      else
        ck_assert_ptr_null (r.counts);
      cf_expert_reading_clear (&r);
      if (cf_platform_rank_parse_lists (l->str, l->len, &n, &a) == CF_OK)
        ck_assert (
            n >= 0
            && (a->len == 0 || g_array_index (a, gint64, a->len - 1) == -1));
      else
        ck_assert_ptr_null (a);
      g_clear_pointer (&a, g_array_unref);
      g_string_free (c, TRUE);
      g_string_free (l, TRUE);
    }
}
END_TEST

START_TEST (configurations)
{
  for (int i = 0; i < ROUNDS; i++)
    {
      GString *s = corrupt (valid_config, strlen (valid_config), i);
      CfPolicy *p;

      if (cf_platform_policy_parse (s->str, s->len, &p) == CF_OK)
        for (guint r = 0; r < p->routes->len; r++)
          {
            const CfRoute *route = p->routes->pdata[r];

            ck_assert (route->n_splits > 0 && route->prefix[0] == '/');
            ck_assert_ptr_nonnull (cf_route_pick (route, 7));
          }
      else
        ck_assert_ptr_null (p);
      cf_policy_unref (p);
      g_string_free (s, TRUE);
    }
}
END_TEST

START_TEST (store_replies)
{
  for (int i = 0; i < ROUNDS; i++)
    {
      GString *s = corrupt (valid_store_reply, strlen (valid_store_reply), i);
      CfStoreReply r;

      if (cf_platform_store_parse_reply (s->str, s->len, &r) == CF_OK)
        for (guint j = 0; j < r.items->len; j++)
          {
            const CfStoreItem *it = r.items->pdata[j];

            ck_assert_ptr_nonnull (it->key);
            ck_assert (!it->unreadable || !it->value);
            cf_platform_target_id_from_key (it->key);
          }
      else
        ck_assert_ptr_null (r.items);
      cf_store_reply_clear (&r);
      g_string_free (s, TRUE);
    }
}
END_TEST

/* Fills a message of @kind, with one or more elements in each array. */
static void
fill_msg (CfPeerMsg *m, int kind)
{
  static const CfPeerBytes bytes = { "i-1", 3 };
  gint64 number = 7;

  memset (m, 0, sizeof *m);
  m->kind = (CfPeerMsgKind)kind;
  switch (m->kind)
    {
    case CF_PEER_RANK_STATUS:
      g_strlcpy (m->u.rank_status.status.group, "g", 2);
      m->u.rank_status.expert_counts
          = g_array_new (FALSE, FALSE, sizeof (gint64));
      g_array_append_val (m->u.rank_status.expert_counts, number);
      break;
    case CF_PEER_PREPARE:
      m->u.prepare.shape
          = (CfGroupShape){ .sets = 2, .experts = 8, .places = 3 };
      m->u.prepare.rows = g_array_new (FALSE, FALSE, sizeof (gint64));
      for (number = 0; number < 8; number++)
        g_array_append_val (m->u.prepare.rows, number);
      break;
    case CF_PEER_LISTS:
      m->u.lists.experts = g_array_new (FALSE, FALSE, sizeof (gint64));
      g_array_append_val (m->u.lists.experts, number);
      break;
    case CF_PEER_GATEWAY_HELLO:
      {
        CfPeerSlowdown p = { bytes, 3000, 9 };
        CfPeerRateLimit l = { bytes, 9, 1100000, 40 };
        CfPeerInstance leaving = { bytes, 9 };

        m->u.gateway_hello.data_centre = bytes;
        m->u.gateway_hello.ring_start = 7;
        m->u.gateway_hello.slowdowns
            = g_array_new (FALSE, FALSE, sizeof (CfPeerSlowdown));
        g_array_append_val (m->u.gateway_hello.slowdowns, p);
        m->u.gateway_hello.rate_limits
            = g_array_new (FALSE, FALSE, sizeof (CfPeerRateLimit));
        g_array_append_val (m->u.gateway_hello.rate_limits, l);
        m->u.gateway_hello.leaving
            = g_array_new (FALSE, FALSE, sizeof (CfPeerInstance));
        g_array_append_val (m->u.gateway_hello.leaving, leaving);
      }
      break;
    case CF_PEER_TARGETS:
      {
        CfPeerTarget t = { bytes, bytes, { 1, 4 }, { 1, 3 } };

        m->u.targets.items = g_array_new (FALSE, FALSE, sizeof (CfPeerTarget));
        g_array_append_val (m->u.targets.items, t);
      }
      break;
    case CF_PEER_CRASHES:
      {
        CfPeerCrash c = { .age_ms = 5, .n = 2 };

        c.crashes[0].target = bytes;
        c.crashes[1].target = bytes;

        m->u.crashes = g_array_new (FALSE, FALSE, sizeof (CfPeerCrash));
        g_array_append_val (m->u.crashes, c);
      }
      break;
    default:
      break;
    }
}

/* Builds the map of an order to prepare, as an agent does.  The result must fit
 * the shape of the map. */
static void
build_map (const CfPeerMsg *m)
{
  CfMapHistory h = { 0 };
  CfGroupShape shape = m->u.prepare.shape;
  CfGroupMap *map;

  shape.ranks = 4;
  map = cf_map_history_build_map (&h, &shape, m->u.prepare.base_version,
                                  m->u.prepare.rows);
  for (gint64 i = 0; map && i < (gint64)shape.sets * shape.ranks * shape.places;
       i++)
    ck_assert (map->held[i] >= -1 && map->held[i] < MAX (shape.experts, 1));
  cf_group_map_free (map);
}

START_TEST (peer_messages)
{
  for (int i = 0; i < ROUNDS; i++)
    {
      msgpack_sbuffer buf;
      msgpack_unpacked zone;
      CfPeerMsg m;
      GString *s;

      fill_msg (&m, CF_PEER_AGENT_HELLO + i % CF_PEER_CRASHES);
      msgpack_sbuffer_init (&buf);
      cf_peer_msg_pack (&m, &buf);
      cf_peer_msg_clear (&m);
      s = corrupt (buf.data, buf.size, i / CF_PEER_CRASHES);
      msgpack_sbuffer_destroy (&buf);
      if (cf_peer_msg_unpack (s->str, s->len, &zone, &m) != CF_OK)
        m.kind = 0;
      if (m.kind == CF_PEER_RANK_STATUS)
        ck_assert (m.u.rank_status.status.rank >= 0
                   && m.u.rank_status.status.size <= CF_RANKS_MAX);
      if (m.kind == CF_PEER_PREPARE)
        build_map (&m);
      cf_peer_msg_clear (&m);
      msgpack_unpacked_destroy (&zone);
      g_string_free (s, TRUE);
    }
}
END_TEST

static void
setup (void)
{
  rng = g_rand_new_with_seed (SEED);
}

static void
teardown (void)
{
  g_rand_free (rng);
}

int
main (void)
{
  Suite *s = suite_create ("decode-fuzz");
  TCase *t = tcase_create ("decode-fuzz");

  tcase_set_timeout (t, 60);
  tcase_add_checked_fixture (t, setup, teardown);
  tcase_add_test (t, target_records);
  tcase_add_test (t, rank_reports);
  tcase_add_test (t, counts_and_expert_lists);
  tcase_add_test (t, configurations);
  tcase_add_test (t, store_replies);
  tcase_add_test (t, peer_messages);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
