/*
 * Every decoder of what others write, fed with spoiled documents: valid
 * ones with bytes changed, cut, doubled or replaced by awkward values, and
 * random bytes.  Built with the sanitizers of addresses and of undefined
 * behaviour.  The oracle: no crash, no leak, and what is taken is whole: a
 * document either passes every check of its type or leaves nothing behind.
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

static GRand *rnd;

static const char *const awkward[] = { "null",
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

static const char target[]
    = "{\"service\":\"s\",\"addr\":\"1.2.3.4:5\",\"zone\":\"dc\",\"version\":"
      "\"v1\",\"slots\":12,\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":4,"
      "\"stage\":\"both\",\"models\":[{\"name\":\"m\"}],"
      "\"born\":1783022913149}";

static const char report[]
    = "{\"running\":3,\"waiting\":1,\"group\":{\"name\":\"g\",\"epoch\":2,"
      "\"rank\":1,\"state\":\"open\"},\"size\":16,\"step\":9,\"map\":4,"
      "\"prepared\":{\"version\":5},\"armed\":null,\"held\":11,\"pace\":1.5,"
      "\"born\":1783022913149}";

static const char counts[]
    = "{\"step\":1,\"epoch\":2,\"counts\":[1,2,3,4],\"born\":1783022913149}";

static const char lists[]
    = "{\"map\":{\"version\":4,\"experts\":[[0,2],[1]]},\"prepared\":{}}";

static const char config[]
    = "{\"version\":7,\"routes\":[{\"name\":\"a\",\"host\":\"h.example\","
      "\"prefix\":\"/x/\",\"kind\":\"streaming\",\"resumable\":true,"
      "\"timeout-ms\":8000,\"aim-ms\":500,\"priority\":1,\"split\":["
      "{\"service\":\"s1\",\"weight\":90},{\"service\":\"s2\",\"weight\":10}],"
      "\"max-attempts\":2}],\"services\":[{\"name\":\"s1\",\"max-conns\":5,"
      "\"engine\":{\"sets\":4,\"experts\":64,\"places\":5,\"spare\":2}}],"
      "\"limits\":{\"max-header-bytes\":100},\"tenants\":[{\"name\":\"t\","
      "\"api-keys\":[\"k1\"],\"priority\":0}]}";

static const char store[]
    = "{\"events\":[{\"key\":\"servers/i-1\",\"value\":\"e30=\",\"rev\":5,"
      "\"create-revision\":5},{\"key\":\"servers/i-2\",\"rev\":6,"
      "\"removed\":true}],\"as-of\":6,\"has-more\":true}";

static gsize
below (gsize n)
{
  return n ? (gsize)g_rand_int_range (rnd, 0, (gint32)n) : 0;
}

/* Puts an awkward value where a value of the document stands. */
static void
replace_value (GString *s)
{
  gsize at = below (s->len);
  gsize end;

  while (at < s->len && s->str[at] != ':')
    at++;
  if (at >= s->len)
    return;
  for (end = ++at; end < s->len && !strchr (",}]", s->str[end]);)
    end++;
  g_string_erase (s, (gssize)at, (gssize)(end - at));
  g_string_insert (s, (gssize)at, awkward[below (G_N_ELEMENTS (awkward))]);
}

static void
change_once (GString *s)
{
  gsize at = below (s->len);

  switch (below (5))
    {
    case 0:
      if (s->len)
        s->str[at] = (char)g_rand_int (rnd);
      break;
    case 1:
      g_string_truncate (s, at);
      break;
    case 2:
      g_string_erase (s, (gssize)at, (gssize)below (s->len - at + 1));
      break;
    case 3:
      {
        g_autofree char *part = g_strndup (s->str + at, below (40));

        g_string_insert (s, (gssize)below (s->len + 1), part);
      }
      break;
    default:
      replace_value (s);
      break;
    }
}

/* The @i th spoiled form of @good; the first is as it is. */
static GString *
spoil (const char *good, gsize n, int i)
{
  GString *s = g_string_new_len (good, (gssize)n);
  gsize changes = i == 0 ? 0 : 1 + below (4);

  if (i % 16 == 15)
    {
      g_string_set_size (s, below (BYTES_MAX));
      for (gsize b = 0; b < s->len; b++)
        s->str[b] = (char)g_rand_int (rnd);
    }
  for (gsize c = 0; c < changes; c++)
    change_once (s);
  return s;
}

START_TEST (targets)
{
  guint n_taken = 0;

  for (int i = 0; i < ROUNDS; i++)
    {
      GString *s = spoil (target, strlen (target), i);
      CfTargetRecord r;

      if (cf_platform_target_parse ("i-1", s->str, s->len, &r) == CF_OK)
        {
          ck_assert (r.id && *r.service && *r.addr && *r.data_centre);
          ck_assert (r.slots > 0 && r.slots <= 100000);
          ck_assert (r.warmup_ms >= 0 && r.incarnation >= 0);
          n_taken++;
        }
      else
        ck_assert (!r.id && !r.service && !r.addr && !r.data_centre);
      cf_target_record_clear (&r);
      g_string_free (s, TRUE);
    }
  ck_assert_uint_gt (n_taken, 0);
}
END_TEST

START_TEST (reports)
{
  for (int i = 0; i < ROUNDS; i++)
    {
      GString *s = spoil (report, strlen (report), i);
      CfRankStatus r;

      if (cf_platform_rank_status (s->str, s->len, &r) == CF_OK)
        {
          ck_assert (r.pace >= 1 && r.pace <= 1000);
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

START_TEST (counts_and_lists)
{
  for (int i = 0; i < ROUNDS; i++)
    {
      GString *c = spoil (counts, strlen (counts), i);
      GString *l = spoil (lists, strlen (lists), i);
      GArray *a = NULL;
      gint64 n;

      if (cf_platform_rank_counts (c->str, c->len, &n, &a) == CF_OK)
        for (guint j = 0; j < a->len; j++)
          ck_assert_int_ge (g_array_index (a, gint64, j), 0);
      else
        ck_assert_ptr_null (a);
      g_clear_pointer (&a, g_array_unref);
      if (cf_platform_rank_lists (l->str, l->len, &n, &a) == CF_OK)
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
      GString *s = spoil (config, strlen (config), i);
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

START_TEST (stores)
{
  for (int i = 0; i < ROUNDS; i++)
    {
      GString *s = spoil (store, strlen (store), i);
      CfStoreReply r;

      if (cf_platform_store_parse (s->str, s->len, &r) == CF_OK)
        for (guint j = 0; j < r.items->len; j++)
          {
            const CfStoreItem *it = r.items->pdata[j];

            ck_assert_ptr_nonnull (it->key);
            ck_assert (!it->unreadable || !it->value);
            cf_platform_target_id (it->key);
          }
      else
        ck_assert_ptr_null (r.items);
      cf_store_reply_clear (&r);
      g_string_free (s, TRUE);
    }
}
END_TEST

/* One message of each kind that holds an array. */
static void
fill (CfPeerMsg *m, int kind)
{
  static const CfPeerBytes some = { "i-1", 3 };
  gint64 number = 7;

  memset (m, 0, sizeof *m);
  m->kind = (CfPeerMsgKind)kind;
  switch (m->kind)
    {
    case CF_PEER_RANK_STATUS:
      g_strlcpy (m->u.rank_status.status.group, "g", 2);
      m->u.rank_status.drawn = g_array_new (FALSE, FALSE, sizeof (gint64));
      g_array_append_val (m->u.rank_status.drawn, number);
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
        CfPeerPace p = { some, 3000, 9 };
        CfPeerLimit l = { some, 9, 1100000, 40 };

        m->u.gateway_hello.data_centre = some;
        m->u.gateway_hello.ring_start = 7;
        m->u.gateway_hello.slow
            = g_array_new (FALSE, FALSE, sizeof (CfPeerPace));
        g_array_append_val (m->u.gateway_hello.slow, p);
        m->u.gateway_hello.limits
            = g_array_new (FALSE, FALSE, sizeof (CfPeerLimit));
        g_array_append_val (m->u.gateway_hello.limits, l);
      }
      break;
    case CF_PEER_TARGETS:
      {
        CfPeerTarget t = { some, some, 4, 3 };

        m->u.targets.items = g_array_new (FALSE, FALSE, sizeof (CfPeerTarget));
        g_array_append_val (m->u.targets.items, t);
      }
      break;
    case CF_PEER_CRASHES:
      {
        CfPeerCrash c = { .age_ms = 5, .n = 2 };

        c.crashes[0].target = some;
        c.crashes[1].target = some;

        m->u.crashes = g_array_new (FALSE, FALSE, sizeof (CfPeerCrash));
        g_array_append_val (m->u.crashes, c);
      }
      break;
    default:
      break;
    }
}

/* What an agent makes of an order to prepare: a map of its shape, or none. */
static void
make_map (const CfPeerMsg *m)
{
  CfMapHistory h = { 0 };
  CfGroupShape shape = m->u.prepare.shape;
  CfGroupMap *map;

  shape.ranks = 4;
  map = cf_map_history_make (&h, &shape, m->u.prepare.base, m->u.prepare.rows);
  for (gint64 i = 0; map && i < (gint64)shape.sets * shape.ranks * shape.places;
       i++)
    ck_assert (map->held[i] >= -1 && map->held[i] < MAX (shape.experts, 1));
  cf_group_map_free (map);
}

START_TEST (peers)
{
  for (int i = 0; i < ROUNDS; i++)
    {
      msgpack_sbuffer buf;
      msgpack_unpacked zone;
      CfPeerMsg m;
      GString *s;

      fill (&m, CF_PEER_AGENT_HELLO + i % CF_PEER_CRASHES);
      msgpack_sbuffer_init (&buf);
      cf_peer_msg_pack (&m, &buf);
      cf_peer_msg_clear (&m);
      s = spoil (buf.data, buf.size, i / CF_PEER_CRASHES);
      msgpack_sbuffer_destroy (&buf);
      if (cf_peer_msg_unpack (s->str, s->len, &zone, &m) != CF_OK)
        m.kind = 0;
      if (m.kind == CF_PEER_RANK_STATUS)
        ck_assert (m.u.rank_status.status.rank >= 0
                   && m.u.rank_status.status.size <= CF_RANKS_MAX);
      if (m.kind == CF_PEER_PREPARE)
        make_map (&m);
      cf_peer_msg_clear (&m);
      msgpack_unpacked_destroy (&zone);
      g_string_free (s, TRUE);
    }
}
END_TEST

static void
setup (void)
{
  rnd = g_rand_new_with_seed (SEED);
}

static void
teardown (void)
{
  g_rand_free (rnd);
}

int
main (void)
{
  Suite *s = suite_create ("decode-fuzz");
  TCase *t = tcase_create ("decode-fuzz");

  tcase_set_timeout (t, 60);
  tcase_add_checked_fixture (t, setup, teardown);
  tcase_add_test (t, targets);
  tcase_add_test (t, reports);
  tcase_add_test (t, counts_and_lists);
  tcase_add_test (t, configurations);
  tcase_add_test (t, stores);
  tcase_add_test (t, peers);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
