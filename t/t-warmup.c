/*
 * Cold targets: all gateways together keep the bound on the requests that one
 * gets in a second, without counting them together.
 */
#include "gateway/warmup.h"
#include "harness.h"
#include "platform-harness.h"

#include <jansson.h>
#include <string.h>
#include <unistd.h>

#define BASE 24000
#define DESK_1 (BASE + 1)
#define N_GATEWAYS 3
#define WINDOW_MS 1000
#define RUN_MS 6000
#define GATEWAYS_MAX 1000

/** Fleet: gateways that all want to send a cold target more than it takes. */
typedef struct
{
  int n;
  double
      wrong_size; /**< fraction of gateways that take the fleet for smaller */
  CfWarmup warmups[GATEWAYS_MAX];
  int sent[RUN_MS]; /**< requests, by the ms in which they were sent */
} Fleet;

static Fleet fleet;

static CfFleetPosition
position (int i)
{
  CfFleetPosition p = { (guint)i, (guint)fleet.n };

  /* These have not heard from a tenth of the gateways. */
  if (i < fleet.n * fleet.wrong_size)
    {
      p.n = (guint)MAX (fleet.n * 9 / 10, 1);
      p.index = (guint)(i * p.n / fleet.n);
    }
  return p;
}

static void
run_fleet (int n, const CfWarmupRule *rule, double wrong_size)
{
  memset (&fleet, 0, sizeof fleet);
  fleet.n = n;
  fleet.wrong_size = wrong_size;
  for (int i = 0; i < n; i++)
    cf_warmup_set (&fleet.warmups[i], RUN_MS + 1, 0);
  for (int ms = 0; ms < RUN_MS; ms++)
    for (int i = 0; i < n; i++)
      while (
          cf_warmup_may_send (&fleet.warmups[i], rule, "i-1", position (i), ms))
        {
          cf_warmup_consume (&fleet.warmups[i], ms);
          fleet.sent[ms]++;
        }
}

static int
max_in_window (void)
{
  int sum = 0;
  int max = 0;

  for (int ms = 0; ms < RUN_MS; ms++)
    {
      sum += fleet.sent[ms];
      if (ms >= WINDOW_MS)
        sum -= fleet.sent[ms - WINDOW_MS];
      max = MAX (max, sum);
    }
  return max;
}

static const CfWarmupRule rules[] = {
  { TRUE, 32, 1.5, 5 }, { TRUE, 4, 1.5, 5 }, { TRUE, 0.5, 1.5, 2 },
  { TRUE, 0, 1.5, 5 },  { TRUE, 100, 1, 1 },
};
static const int sizes[] = { 1, 3, 14, 24, 208, 1000 };

START_TEST (fleet_keeps_the_bound_of_a_cold_target)
{
  const CfWarmupRule *r = &rules[_i];

  for (gsize k = 0; k < G_N_ELEMENTS (sizes); k++)
    for (int wrong = 0; wrong <= 1; wrong++)
      {
        run_fleet (sizes[k], r, wrong * 0.5);
        ck_assert_msg (max_in_window () <= r->per_s * r->max_factor + r->slack,
                       "%d gateways, wrong=%d: %d in a second", sizes[k], wrong,
                       max_in_window ());
      }
}
END_TEST

/* A target that nothing else can stand in for is not left idle. */
START_TEST (cold_target_is_used_at_half_its_rate_at_least)
{
  for (gsize k = 0; k < G_N_ELEMENTS (sizes); k++)
    {
      int n = 0;

      run_fleet (sizes[k], &rules[0], 0);
      for (int ms = 0; ms < RUN_MS; ms++)
        n += fleet.sent[ms];
      ck_assert_double_ge (n,
                           0.5 * rules[0].per_s * (RUN_MS - WINDOW_MS) / 1000);
    }
}
END_TEST

START_TEST (first_second_begins_slowly)
{
  int n = 0;

  run_fleet (14, &rules[0], 0);
  for (int ms = 0; ms < 100; ms++)
    n += fleet.sent[ms];
  ck_assert_int_le (n, (int)rules[0].per_s / 2);
}
END_TEST

START_TEST (warm_targets_and_services_without_a_rate_are_not_limited)
{
  const CfWarmupRule none = { 0 };
  const CfFleetPosition unknown = { 0, 0 };
  CfWarmup w = { 0 };

  ck_assert (cf_warmup_may_send (&w, &rules[0], "i-1", unknown, 5));
  cf_warmup_set (&w, 1000, 0);
  ck_assert (!cf_warmup_may_send (&w, &rules[0], "i-1", unknown, 5));
  ck_assert (cf_warmup_may_send (&w, &none, "i-1", unknown, 5));
  ck_assert (cf_warmup_may_send (&w, NULL, "i-1", unknown, 5));
  ck_assert (cf_warmup_may_send (&w, &rules[0], "i-1", unknown, 1000));
  cf_warmup_set (&w, 1000, 2000);
  cf_warmup_set (&w, 0, 2100);
  ck_assert (cf_warmup_may_send (&w, &rules[0], "i-1", unknown, 2100));
}
END_TEST

/* Processes. */

static int n_requests;

static void
put_config (void)
{
  g_autofree char *first
      = p_call_standin (BASE, "GET /test/get?key=op/config", "");
  json_t *o = json_loads (first, 0, NULL);
  json_t *services = json_object_get (o, "services");
  json_t *service;
  size_t i;
  char *text;

  json_array_foreach (services, i, service)
  {
    json_object_set_new (service, "cold-start-s", json_real (3));
    json_object_set_new (service, "cold-per-s", json_real (4));
  }
  json_object_set_new (o, "version", json_integer (2));
  text = json_dumps (o, JSON_COMPACT);
  g_free (p_call_standin (BASE, "POST /test/put?key=op/config", text));
  free (text);
  json_decref (o);
}

static void
setup (void)
{
  p_start_platform (BASE, "--ranks", "0", "--plain", "1", NULL);
  for (int n = 1; n <= N_GATEWAYS; n++)
    p_start_ready_gateway (BASE, n);
  put_config ();
  usleep (2000000);
}

/* Sends requests to the gateways by turns for @ms; returns how many were
 * served. */
static int
send_requests (int ms)
{
  gint64 end = g_get_monotonic_time () + ms * 1000;
  int served = 0;

  while (g_get_monotonic_time () < end)
    {
      g_autofree char *id = g_strdup_printf ("w-%d", n_requests++);
      g_autofree char *req = p_build_request (
          "GET /quote/a", id, "Comfreypost-Deadline-Ms: 400\r\n", "");
      g_autofree char *a = p_round_trip (
          p_front_port (BASE, 1 + n_requests % N_GATEWAYS), req);

      served += p_parse_status (a) == 200;
    }
  return served;
}

static int
max_arrivals_in_window (gint64 from_ms)
{
  g_autofree char *text = p_call_standin (DESK_1, "GET /test/arrivals", "");
  json_t *list = json_loads (text, 0, NULL);
  int max = 0;

  ck_assert (json_is_array (list));
  for (size_t i = 0; i < json_array_size (list); i++)
    {
      gint64 at = json_integer_value (
          json_object_get (json_array_get (list, i), "at-ms"));
      int n = 0;

      for (size_t k = i; at >= from_ms && k < json_array_size (list); k++)
        n += json_integer_value (
                 json_object_get (json_array_get (list, k), "at-ms"))
             < at + WINDOW_MS;
      max = MAX (max, n);
    }
  json_decref (list);
  return max;
}

static gint64
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

/* It restarts, is the only one of its service, and is cold for 3 s. */
START_TEST (single_target_that_restarts_cold_is_not_overrun)
{
  gint64 begun;

  ck_assert_int_gt (send_requests (500), 20);
  g_free (p_call_standin (DESK_1, "POST /test/restart", ""));
  begun = now_ms ();
  usleep (100000);
  ck_assert_int_gt (send_requests (2400), 3);
  ck_assert_int_le (max_arrivals_in_window (begun + 100), 4 * 1.5 + 5);
  usleep (800000);
  ck_assert_int_gt (send_requests (500), 20);
}
END_TEST

START_TEST (target_that_turns_cold_at_any_moment_is_not_overrun)
{
  gint64 begun;

  ck_assert_int_gt (send_requests (500), 20);
  g_free (p_call_standin (DESK_1, "POST /test/cold?ms=2500", ""));
  usleep (300000);
  begun = now_ms ();
  ck_assert_int_gt (send_requests (1500), 1);
  ck_assert_int_le (max_arrivals_in_window (begun), 4 * 1.5 + 5);
  g_free (p_call_standin (DESK_1, "POST /test/cold?ms=0", ""));
  usleep (300000);
  ck_assert_int_gt (send_requests (500), 20);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("warmup");
  TCase *unit = tcase_create ("warmup-share");
  TCase *t = tcase_create ("warmup");

  tcase_set_timeout (unit, 60);
  tcase_add_loop_test (unit, fleet_keeps_the_bound_of_a_cold_target, 0,
                       G_N_ELEMENTS (rules));
  tcase_add_test (unit, cold_target_is_used_at_half_its_rate_at_least);
  tcase_add_test (unit, first_second_begins_slowly);
  tcase_add_test (unit,
                  warm_targets_and_services_without_a_rate_are_not_limited);
  suite_add_tcase (s, unit);
  tcase_set_timeout (t, 30);
  tcase_add_checked_fixture (t, setup, p_stop_all);
  tcase_add_test (t, single_target_that_restarts_cold_is_not_overrun);
  tcase_add_test (t, target_that_turns_cold_at_any_moment_is_not_overrun);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
