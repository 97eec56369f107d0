/*
 * Compares seeded random sequences with simple reference models.  Versions of
 * the configuration never decrease, in whatever order they arrive; the table
 * of targets matches the newest revisions; and the retries of all gateways
 * together stay within the limit of the fleet in every window.
 */
#include "gateway/gateway.h"
#include "gateway/peer-msg.h"
#include "gateway/service-retries.h"
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

/* Versions arrive from the store and from peers, some of them late, twice or
 * malformed. */
START_TEST (versions_never_decrease)
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

          cf_gateway_apply_policy (&g, json, strlen (json),
                                   (CfStorePosition){ 1, version * 10 },
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

/* The store gives out revisions again after each restoration. */
START_TEST (versions_never_decrease_across_eras)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      gint64 newest = 0;

      gateway_init ();
      for (int i = 0; i < 300; i++)
        {
          gint64 version = g_rand_int_range (rand, 1, 100);
          CfStorePosition pos = { g_rand_int_range (rand, -1, 4),
                                  g_rand_int_range (rand, 1, 50) };
          g_autofree char *json = g_strdup_printf (
              "{\"version\":%" G_GINT64_FORMAT ",\"routes\":[]}", version);

          cf_gateway_apply_policy (&g, json, strlen (json), pos, "store");
          newest = MAX (newest, version);
          ck_assert_int_eq (g.policy->version, newest);
        }
      cf_gateway_clear (&g);
      g_rand_free (rand);
    }
}
END_TEST

#define TARGETS 12

/* Records arrive in any order; the reference model keeps the newest revision
 * of each target. */
START_TEST (the_table_follows_the_newest_revisions)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      gint64 rev_of[TARGETS] = { 0 };
      gboolean present[TARGETS] = { 0 };
      gboolean draining[TARGETS] = { 0 };

      gateway_init ();
      for (gint64 rev = 1; rev < 600; rev++)
        {
          int t = g_rand_int_range (rand, 0, TARGETS);
          gboolean outdated = g_rand_int_range (rand, 0, 4) == 0;
          gint64 record_rev = outdated ? MAX (rev - 20, 1) : rev;
          gboolean drain = g_rand_boolean (rand);
          g_autofree char *id = g_strdup_printf ("i-%d", t);
          g_autofree char *json = g_strdup_printf (
              "{\"service\":\"s\",\"addr\":\"1.2.3.4:%d\",\"slots\":2,"
              "\"zone\":\"dc1\",\"version\":\"v1\",\"cold-left-ms\":0,"
              "\"seq\":1,\"state\":\"%s\"}",
              t + 1, drain ? "draining" : "ready");

          if (g_rand_int_range (rand, 0, 5) == 0)
            {
              cf_gateway_remove_target (
                  &g, id, (CfStorePosition){ 1, record_rev }, "store");
              if (present[t] && record_rev >= rev_of[t])
                present[t] = FALSE;
            }
          else
            {
              const CfTargetUpdate update = { .id = id,
                                              .json = json,
                                              .n = strlen (json),
                                              .pos = { 1, record_rev },
                                              .created = { 1, record_rev } };

              cf_gateway_update_target (&g, &update, "store");
              if (!present[t] || record_rev >= rev_of[t])
                {
                  present[t] = TRUE;
                  rev_of[t] = record_rev;
                  draining[t] = drain;
                }
            }
          for (int k = 0; k < TARGETS; k++)
            {
              g_autofree char *expected_id = g_strdup_printf ("i-%d", k);
              CfTarget *found
                  = g_hash_table_lookup (g.targets.by_id, expected_id);

              ck_assert_int_eq (found != NULL, present[k]);
              if (found)
                ck_assert_int_eq (found->record.leaving, draining[k]);
            }
        }
      cf_gateway_clear (&g);
      g_rand_free (rand);
    }
}
END_TEST

#define GATEWAYS 4
#define WINDOW_MS 10000
#define RUN_MS 60000
#define STEP_MS 10

/* The gateways share the retry budget of the fleet.  Even while every request
 * fails, their retries exceed the limit in no window. */
START_TEST (retries_stay_within_the_fleet_limit)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      CfRetryBudget b[GATEWAYS];
      int n_steps = RUN_MS / STEP_MS;
      g_autofree int *requests = g_new0 (int, n_steps);
      g_autofree int *retries = g_new0 (int, n_steps);
      int window = WINDOW_MS / STEP_MS;

      gateway_init ();
      g.now_ms = g.started_ms + g.settings.retry_window_ms;
      g.has_peer_fleet = TRUE;
      cf_gateway_set_fleet_size (&g, GATEWAYS);
      cf_service_retries_tick (&g);
      for (int i = 0; i < GATEWAYS; i++)
        b[i] = cf_gateway_service_state (&g, "s")->budget;
      for (int s = 0; s < n_steps; s++)
        for (int i = 0; i < GATEWAYS; i++)
          {
            /* Requests, all of which fail, come in bursts with pauses. */
            int n = s % 2000 < 1000 ? g_rand_int_range (rand, 0, 4) : 0;

            for (; n > 0; n--)
              {
                cf_retry_budget_add_request (&b[i]);
                requests[s]++;
                retries[s] += cf_retry_budget_take (&b[i]);
              }
          }
      for (int s = window; s < n_steps; s++)
        {
          int sent = 0;
          int retried = 0;

          for (int k = s - window; k < s; k++)
            {
              sent += requests[k];
              retried += retries[k];
            }
          ck_assert_double_le (retried, 0.2 * sent + 88);
        }
      cf_gateway_clear (&g);
      g_rand_free (rand);
    }
}
END_TEST

/* The position is the same when computed from the start on the ring as
 * peers receive it, rounded to 1 / CF_PEER_RING_UNITS. */
START_TEST (each_gateway_has_a_distinct_place)
{
  const guint fleets[] = { 1, 2, 3, 12, 35, 340 };

  gateway_init ();
  for (gsize f = 0; f < G_N_ELEMENTS (fleets); f++)
    for (guint i = 0; i < fleets[f]; i++)
      {
        double start = (double)i / fleets[f];
        gint64 wire = (gint64)(start * CF_PEER_RING_UNITS);

        cf_gateway_set_fleet_position (&g, start, fleets[f]);
        ck_assert_uint_eq (g.fleet_position.index, i);
        cf_gateway_set_fleet_position (&g, (double)wire / CF_PEER_RING_UNITS,
                                       fleets[f]);
        ck_assert_uint_eq (g.fleet_position.index, i);
        ck_assert_uint_eq (g.fleet_position.n, fleets[f]);
      }
  cf_gateway_clear (&g);
}
END_TEST

START_TEST (larger_fleets_get_smaller_shares)
{
  CfRetryBudget *b;
  int taken = 0;

  gateway_init ();
  g.now_ms = g.started_ms + g.settings.retry_window_ms;
  g.has_peer_fleet = TRUE;
  b = &cf_gateway_service_state (&g, "s")->budget;
  cf_service_retries_tick (&g);
  ck_assert_double_ge (cf_retry_budget_tokens (b), 2);
  cf_gateway_set_fleet_size (&g, 44);
  cf_service_retries_tick (&g);
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
  tcase_add_test (t, versions_never_decrease);
  tcase_add_test (t, versions_never_decrease_across_eras);
  tcase_add_test (t, the_table_follows_the_newest_revisions);
  tcase_add_test (t, retries_stay_within_the_fleet_limit);
  tcase_add_test (t, each_gateway_has_a_distinct_place);
  tcase_add_test (t, larger_fleets_get_smaller_shares);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
