/*
 * Seeded sequences against simple oracles: versions of the configuration
 * never go back whatever order they come in; the table of targets is what
 * the newest revisions say; all gateways' retries together stay within the
 * fleet's limit in every window.
 */
#include "gateway/gateway.h"
#include "gateway/peer-msg.h"
#include "harness.h"

#include <string.h>

#define SEEDS 40

static CfGateway g;

static const char settings[]
    = "ip=1.1.1.1\nlisten.front=1.1.1.1:8\nlisten.ready=1.1.1.1:9\n"
      "listen.control=1.1.1.1:1\nplatform.addr=1.1.1.9:1\n"
      "seed-addrs=1.1.1.1:1,1.1.1.2:1,1.1.1.3:1\n"
      "bounds.retry-ratio=0.2\nbounds.retry-slack=88\n";

static void
gateway_init (void)
{
  CfPlatformSettings set;

  ck_assert_int_eq (
      cf_platform_settings_parse (settings, CF_ROLE_GATEWAY, &set), CF_OK);
  cf_gateway_init (&g, NULL, &set);
  g.now_ms = 1000;
}

/* Versions come from the store and from peers, late, twice, broken. */
START_TEST (versions_never_go_back)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      gint64 newest = 0;

      gateway_init ();
      for (int i = 0; i < 300; i++)
        {
          gint64 version = g_rand_int_range (rand, 1, 100);
          gboolean broken = g_rand_boolean (rand) && g_rand_boolean (rand);
          g_autofree char *json = g_strdup_printf (
              "{\"version\":%" G_GINT64_FORMAT ",\"routes\":[%s]}", version,
              broken ? "{}" : "");

          cf_gateway_take_policy (&g, json, strlen (json), version * 10,
                                  i % 2 ? "store" : "peer");
          if (!broken)
            newest = MAX (newest, version);
          ck_assert_int_eq (g.policy ? g.policy->version : 0, newest);
        }
      cf_gateway_clear (&g);
      g_rand_free (rand);
    }
}
END_TEST

#define TARGETS 12

/* Records of any order; the oracle keeps the newest revision of each. */
START_TEST (the_table_is_what_the_newest_records_say)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      gint64 rev_of[TARGETS] = { 0 };
      gboolean here[TARGETS] = { 0 };
      gboolean leaving[TARGETS] = { 0 };

      gateway_init ();
      for (gint64 rev = 1; rev < 600; rev++)
        {
          int t = g_rand_int_range (rand, 0, TARGETS);
          gboolean late = g_rand_int_range (rand, 0, 4) == 0;
          gint64 at = late ? MAX (rev - 20, 1) : rev;
          gboolean drain = g_rand_boolean (rand);
          g_autofree char *id = g_strdup_printf ("i-%d", t);
          g_autofree char *json = g_strdup_printf (
              "{\"service\":\"s\",\"addr\":\"1.2.3.4:%d\",\"slots\":2,"
              "\"zone\":\"dc1\",\"version\":\"v1\",\"cold-left-ms\":0,"
              "\"seq\":1,\"state\":\"%s\"}",
              t + 1, drain ? "draining" : "ready");

          if (g_rand_int_range (rand, 0, 5) == 0)
            {
              cf_gateway_drop_target (&g, id, at, "store");
              if (here[t] && at >= rev_of[t])
                here[t] = FALSE;
            }
          else
            {
              const CfTargetNews news = { id, json, strlen (json), at, at, 0 };

              cf_gateway_take_target (&g, &news, "store");
              if (!here[t] || at >= rev_of[t])
                {
                  here[t] = TRUE;
                  rev_of[t] = at;
                  leaving[t] = drain;
                }
            }
          for (int k = 0; k < TARGETS; k++)
            {
              g_autofree char *kid = g_strdup_printf ("i-%d", k);
              CfTarget *found = g_hash_table_lookup (g.targets.by_id, kid);

              ck_assert_int_eq (found != NULL, here[k]);
              if (found)
                ck_assert_int_eq (found->record.leaving, leaving[k]);
            }
        }
      cf_gateway_clear (&g);
      g_rand_free (rand);
    }
}
END_TEST

#define GATEWAYS 4
#define WINDOW_MS 10000
#define PLAY_MS 60000
#define STEP_MS 10

/* Gateways that share the allowance, while every request fails: in no window
 * do they retry more than the limit. */
START_TEST (retries_stay_within_the_fleets_limit)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      CfRetryBudget b[GATEWAYS];
      int n_steps = PLAY_MS / STEP_MS;
      g_autofree int *requests = g_new0 (int, n_steps);
      g_autofree int *retries = g_new0 (int, n_steps);
      int window = WINDOW_MS / STEP_MS;

      gateway_init ();
      cf_gateway_set_fleet (&g, GATEWAYS);
      for (int i = 0; i < GATEWAYS; i++)
        b[i] = cf_gateway_lane (&g, "s")->budget;
      for (int s = 0; s < n_steps; s++)
        for (int i = 0; i < GATEWAYS; i++)
          {
            /* A storm in which every request fails, and calm. */
            int n = s % 2000 < 1000 ? g_rand_int_range (rand, 0, 4) : 0;

            for (; n > 0; n--)
              {
                cf_retry_budget_request (&b[i]);
                requests[s]++;
                retries[s] += cf_retry_budget_take (&b[i]);
              }
          }
      for (int s = window; s < n_steps; s++)
        {
          int asked = 0;
          int again = 0;

          for (int k = s - window; k < s; k++)
            {
              asked += requests[k];
              again += retries[k];
            }
          ck_assert_double_le (again, 0.2 * asked + 88);
        }
      cf_gateway_clear (&g);
      g_rand_free (rand);
    }
}
END_TEST

/* Also after its start on the ring went over the wire, in 1 / CF_PEER_RING. */
START_TEST (each_gateway_has_a_place_of_its_own)
{
  const guint fleets[] = { 1, 2, 3, 12, 35, 340 };

  gateway_init ();
  for (gsize f = 0; f < G_N_ELEMENTS (fleets); f++)
    for (guint i = 0; i < fleets[f]; i++)
      {
        double start = (double)i / fleets[f];
        gint64 wire = (gint64)(start * CF_PEER_RING);

        cf_gateway_set_place (&g, start, fleets[f]);
        ck_assert_uint_eq (g.place.index, i);
        cf_gateway_set_place (&g, (double)wire / CF_PEER_RING, fleets[f]);
        ck_assert_uint_eq (g.place.index, i);
        ck_assert_uint_eq (g.place.n, fleets[f]);
      }
  cf_gateway_clear (&g);
}
END_TEST

START_TEST (a_larger_fleet_gets_smaller_parts)
{
  CfRetryBudget *b;
  int taken = 0;

  gateway_init ();
  b = &cf_gateway_lane (&g, "s")->budget;
  cf_gateway_set_fleet (&g, 44);
  while (cf_retry_budget_take (b))
    taken++;
  ck_assert_int_eq (taken, 1);
  cf_gateway_clear (&g);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("fleet");
  TCase *t = tcase_create ("fleet");

  tcase_set_timeout (t, 30);
  tcase_add_test (t, versions_never_go_back);
  tcase_add_test (t, the_table_is_what_the_newest_records_say);
  tcase_add_test (t, retries_stay_within_the_fleets_limit);
  tcase_add_test (t, each_gateway_has_a_place_of_its_own);
  tcase_add_test (t, a_larger_fleet_gets_smaller_parts);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
