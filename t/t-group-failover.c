/*
 * A service with several rank groups: while one is broken or stalls, requests
 * go to the others at once.
 */
#include "gateway/dc-health.h"
#include "harness.h"
#include "platform-harness.h"
#include "target-harness.h"

#include <string.h>
#include <unistd.h>

#define BASE 20000
#define RANK_1 (BASE + 3)
#define N_RANKS 4
/** The gateways are in dc1, as is the first group. */
#define N_GATEWAYS 2
/** Time until all gateways know that there are two groups. */
#define SETTLE_MS 3000
/** The latency objective of the route. */
#define OBJECTIVE_MS 500
#define N_STREAMS 30

static int n_requests;

static void
setup (void)
{
  p_start_platform (BASE, "--ranks", "4", "--groups", "2", "--data-centres",
                    "2", NULL);
  for (int n = 1; n <= N_GATEWAYS; n++)
    p_start_ready_gateway (BASE, n);
  for (int i = 0; i < 2 * N_RANKS; i++)
    p_start_agent (BASE, RANK_1 + i);
  usleep (SETTLE_MS * 1000);
}

static char *
build_stream (void)
{
  g_autofree char *id = g_strdup_printf ("g-%d", n_requests++);

  return p_build_request ("POST /chat/a", id,
                          "Comfreypost-Token-Count: 10,8\r\n"
                          "Comfreypost-Deadline-Ms: 8000\r\n",
                          "x");
}

/* Sends streams one after the other, to the gateways by turns; returns how many
 * were served in time. */
static int
count_in_time (int n)
{
  int in_time = 0;

  for (int i = 0; i < n; i++)
    {
      gint64 start = g_get_monotonic_time ();
      g_autofree char *req = build_stream ();
      g_autofree char *a
          = p_round_trip (p_front_port (BASE, 1 + i % N_GATEWAYS), req);

      in_time += p_parse_status (a) == 200
                 && g_get_monotonic_time () - start < OBJECTIVE_MS * 1000;
      usleep (20000);
    }
  return in_time;
}

START_TEST (requests_go_to_another_group_while_one_is_broken)
{
  ck_assert_int_ge (count_in_time (N_STREAMS), N_STREAMS - 1);
  p_inject_fault (RANK_1, N_RANKS, "broken", 100000);
  ck_assert_int_ge (count_in_time (N_STREAMS), N_STREAMS - 2);
  p_inject_fault (RANK_1, N_RANKS, "none", 0);
  usleep (2100000);
  ck_assert_double_gt (p_sum_runs (RANK_1, N_RANKS, "runs"), 0);
  ck_assert_int_ge (count_in_time (N_STREAMS), N_STREAMS - 1);
}
END_TEST

static gboolean
sends_stay_local (int gateway)
{
  g_autofree char *metrics = p_round_trip (p_front_port (BASE, gateway) + 3,
                                           "GET /metrics HTTP/1.1\r\n\r\n");

  return strstr (metrics, "\ncomfrey_sends_other_dc_total 0\n") != NULL;
}

/* Traffic between data centres is expensive, and about half of the streams
 * would go to the other group if both were used alike.  Gateway 4 is no seed,
 * and knows from the others that each group is in one data centre. */
START_TEST (requests_stay_in_the_data_centre)
{
  static const int gateways[] = { 1, 4 };
  int fds[2][4];

  p_start_ready_gateway (BASE, 4);
  usleep (1500000);
  for (int k = 0; k < 2; k++)
    for (int i = 0; i < 4; i++)
      {
        g_autofree char *req = build_stream ();

        fds[k][i] = p_connect (p_front_port (BASE, gateways[k]));
        p_send (fds[k][i], req);
      }
  ck_assert_int_ge (count_in_time (N_STREAMS), N_STREAMS - 1);
  ck_assert_double_ge (p_sum_runs (RANK_1, N_RANKS, "runs"), N_STREAMS + 8);
  ck_assert_double_eq (p_sum_runs (RANK_1 + N_RANKS, N_RANKS, "runs"), 0);
  ck_assert (sends_stay_local (1));
  ck_assert (sends_stay_local (4));
  for (int k = 0; k < 2; k++)
    for (int i = 0; i < 4; i++)
      close (fds[k][i]);
}
END_TEST

/* All streams of a gateway are at the group that stalls. */
START_TEST (requests_go_to_another_group_while_one_stalls)
{
  int fds[4];

  ck_assert_int_ge (count_in_time (4), 3);
  p_inject_fault (RANK_1, N_RANKS, "hang", 100000);
  for (gsize i = 0; i < G_N_ELEMENTS (fds); i++)
    {
      g_autofree char *req = build_stream ();

      fds[i] = p_connect (p_front_port (BASE, 1 + (int)i % N_GATEWAYS));
      p_send (fds[i], req);
    }
  usleep (700000);
  ck_assert_int_ge (count_in_time (10), 8);
  for (gsize i = 0; i < G_N_ELEMENTS (fds); i++)
    close (fds[i]);
}
END_TEST

/* Decisions. */

static gboolean
is_avoided (const CfDcHealth *h, const GPtrArray *targets, const char *dc,
            gint64 now)
{
  CfDcSet s;

  cf_dc_health_get_avoided (h, targets, 300, now, &s);
  return cf_dc_set_contains (&s, dc);
}

START_TEST (data_centre_is_tried_less_often_the_longer_it_refuses)
{
  CfDcHealth h = { 0 };

  ck_assert (!is_avoided (&h, NULL, "dc1", 1000));
  cf_dc_health_record_refusal (&h, "dc1", 1000);
  cf_dc_health_record_refusal (&h, "dc1", 1010);
  ck_assert (is_avoided (&h, NULL, "dc1", 1499));
  ck_assert (!is_avoided (&h, NULL, "dc2", 1001));
  ck_assert (!is_avoided (&h, NULL, "dc1", 1500));
  cf_dc_health_record_refusal (&h, "dc1", 1500);
  ck_assert (is_avoided (&h, NULL, "dc1", 2499));
  ck_assert (!is_avoided (&h, NULL, "dc1", 2500));
  cf_dc_health_record_answer (&h, "dc1");
  cf_dc_health_record_refusal (&h, "dc1", 3000);
  ck_assert (!is_avoided (&h, NULL, "dc1", 3500));
  cf_dc_health_record_refusal (&h, NULL, 4000);
  cf_dc_health_clear (&h);
}
END_TEST

/* A data centre in which one request still makes progress has not stalled. */
START_TEST (data_centre_stalls_if_all_requests_there_do)
{
  const CfDcHealth h = { 0 };
  CfTargetTable table;
  const GPtrArray *a;

  cf_target_table_init (&table);
  t_put_targets (&table, 2, 4);
  a = cf_target_table_service (&table, "s");
  t_set_in_flight (t_get_target (&table, "r0"), 1, 1000);
  ck_assert (!is_avoided (&h, a, "dc1", 1300));
  ck_assert (is_avoided (&h, a, "dc1", 1301));
  t_set_in_flight (t_get_target (&table, "r1"), 1, 1200);
  ck_assert (!is_avoided (&h, a, "dc1", 1301));
  cf_target_record_progress (t_get_target (&table, "r1"), 1400);
  ck_assert (!is_avoided (&h, a, "dc1", 1600));
  ck_assert (is_avoided (&h, a, "dc1", 1800));
  cf_target_table_clear (&table);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("group-failover");
  TCase *unit = tcase_create ("dc-health");
  TCase *t = tcase_create ("group-failover");

  tcase_add_test (unit, data_centre_is_tried_less_often_the_longer_it_refuses);
  tcase_add_test (unit, data_centre_stalls_if_all_requests_there_do);
  suite_add_tcase (s, unit);
  tcase_set_timeout (t, 40);
  tcase_add_checked_fixture (t, setup, p_stop_all);
  tcase_add_test (t, requests_go_to_another_group_while_one_is_broken);
  tcase_add_test (t, requests_go_to_another_group_while_one_stalls);
  tcase_add_test (t, requests_stay_in_the_data_centre);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
