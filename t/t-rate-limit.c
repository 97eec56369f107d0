/* Targets that name the rate they take, and what a fleet sends them. */
#include "gateway/rate-limit.h"
#include "harness.h"
#include "platform-harness.h"

#include <signal.h>
#include <unistd.h>

#define BASE 27000
#define DESK_1 (BASE + 1)
#define N_DESKS 2
/** The first three are seeds, which alone the others have links to. */
#define N_GATEWAYS 5
#define LIMIT_PER_S 1.1
/** From a target's first answer with a limit until all gateways keep it. */
#define SETTLE_MS 1000
#define WINDOW_MS 4000
/** What a target may get in a window beyond one and a half times its limit. */
#define SLACK 5
/** A refusal that waits for nothing is there within this time. */
#define REFUSED_MS 100
/** Between two requests of a test, at gateways in turn: 25 a second. */
#define PAUSE_MS 40

static pid_t gateways[N_GATEWAYS + 1];
static int n_asked;

static void
setup (void)
{
  p_start_platform (BASE, "--ranks", "0", NULL);
  for (int n = 1; n <= N_GATEWAYS; n++)
    gateways[n] = p_start_ready_gateway (BASE, n);
  usleep (SETTLE_MS * 1000);
}

static void
name_limit (const char *per_s)
{
  g_autofree char *call = g_strdup_printf (
      "POST /test/limit%s%s", per_s ? "?per-s=" : "", per_s ? per_s : "");

  g_free (p_call_standin (DESK_1, call, ""));
}

/* One request at the next gateway; its status. */
static int
ask (void)
{
  int n = 1 + n_asked % N_GATEWAYS;
  g_autofree char *id = g_strdup_printf ("r-%d", n_asked++);
  g_autofree char *req = p_build_request ("GET /quote/a", id, NULL, "");
  g_autofree char *a = p_round_trip (p_front_port (BASE, n), req);

  usleep (PAUSE_MS * 1000);
  return p_parse_status (a);
}

/* Requests for @ms; how many are not answered with 200. */
static int
load (int ms)
{
  gint64 end = g_get_monotonic_time () + ms * 1000;
  int bad = 0;

  while (g_get_monotonic_time () < end)
    bad += ask () != 200;
  return bad;
}

static double
runs (void)
{
  return p_sum_runs (DESK_1, 1, "runs");
}

/* In a window the target gets no more than it takes, and some of it. */
static void
check_window (void)
{
  double before = runs ();
  double got;

  ck_assert_int_eq (load (WINDOW_MS), 0);
  got = runs () - before;
  ck_assert_double_le (got, 1.5 * LIMIT_PER_S * WINDOW_MS / 1000 + SLACK);
  ck_assert_double_ge (got, 1);
}

START_TEST (a_fleet_keeps_the_rate_a_target_names)
{
  name_limit ("1.1");
  load (SETTLE_MS);
  check_window ();
  check_window ();
}
END_TEST

START_TEST (a_restarted_gateway_keeps_the_rate)
{
  name_limit ("1.1");
  load (SETTLE_MS);
  for (int n = 1; n <= N_GATEWAYS; n++)
    {
      p_signal (gateways[n], SIGKILL);
      gateways[n] = p_start_ready_gateway (BASE, n);
    }
  load (SETTLE_MS);
  check_window ();
}
END_TEST

/* With both targets limited, 2.2 of 25 requests a second can be served. */
START_TEST (what_no_rate_allows_is_refused_at_once)
{
  int refused = 0;

  name_limit ("1.1");
  g_free (p_call_standin (DESK_1 + 1, "POST /test/limit?per-s=1.1", ""));
  load (SETTLE_MS);
  for (int i = 0; i < 50; i++)
    {
      gint64 begin = g_get_monotonic_time ();

      if (ask () != 503)
        continue;
      refused++;
      ck_assert_int_le (g_get_monotonic_time () - begin,
                        (PAUSE_MS + REFUSED_MS) * 1000);
    }
  ck_assert_int_ge (refused, 30);
}
END_TEST

START_TEST (a_target_without_a_limit_is_used_fully_again)
{
  double before;

  name_limit ("1.1");
  load (SETTLE_MS);
  name_limit (NULL);
  load (2 * SETTLE_MS);
  before = runs ();
  load (WINDOW_MS);
  ck_assert_double_ge (runs () - before, WINDOW_MS / PAUSE_MS / 4.0);
}
END_TEST

/* The parts of all gateways make up the rate, whatever its size. */
START_TEST (parts_add_up_to_the_rate)
{
  const double rates[] = { 0.1, 1.1, 2.5, 20, 500 };
  const guint fleets[] = { 1, 3, 12, 35, 340 };

  for (gsize r = 0; r < G_N_ELEMENTS (rates); r++)
    for (gsize f = 0; f < G_N_ELEMENTS (fleets); f++)
      {
        const CfRateLimit l = { .per_s = rates[r], .heard_ms = 1 };
        double sum = 0;

        for (guint i = 0; i < fleets[f]; i++)
          sum += cf_rate_limit_part (&l, "i-1", (CfFleetPlace){ i, fleets[f] });
        ck_assert_double_eq_tol (sum, rates[r], 1e-6);
      }
}
END_TEST

/* Most that gateways which send whatever they may send in any window. */
static int
most_in_a_window (guint n, double per_s, gint64 tick_ms)
{
  g_autofree CfRateLimit *l = g_new0 (CfRateLimit, n);
  GArray *sent = g_array_new (FALSE, FALSE, sizeof (gint64));
  guint most = 0;
  guint from = 0;

  for (guint i = 0; i < n; i++)
    cf_rate_limit_hear (&l[i], per_s, 1);
  for (gint64 now = 2; now < 60000; now += tick_ms)
    for (guint i = 0; i < n; i++)
      while (cf_rate_limit_may_send (&l[i], "i-1", (CfFleetPlace){ i, n }, now))
        {
          cf_rate_limit_sent (&l[i]);
          g_array_append_val (sent, now);
        }
  for (guint i = 0; i < sent->len; i++)
    {
      while (g_array_index (sent, gint64, i)
             > g_array_index (sent, gint64, from) + WINDOW_MS)
        from++;
      most = MAX (most, i - from + 1);
    }
  g_array_unref (sent);
  return (int)most;
}

START_TEST (no_window_exceeds_the_rate)
{
  const double rates[] = { 0.1, 1.1, 2.5, 20, 100 };
  const guint fleets[] = { 1, 3, 12, 35, 340 };
  const gint64 ticks[] = { 1, 50, 4000 };

  for (gsize r = 0; r < G_N_ELEMENTS (rates); r++)
    for (gsize f = 0; f < G_N_ELEMENTS (fleets); f++)
      for (gsize t = 0; t < G_N_ELEMENTS (ticks); t++)
        ck_assert_msg (most_in_a_window (fleets[f], rates[r], ticks[t])
                           <= 1.5 * rates[r] * WINDOW_MS / 1000 + SLACK,
                       "%g a second, %u gateways, looks each %d ms", rates[r],
                       fleets[f], (int)ticks[t]);
}
END_TEST

START_TEST (what_was_heard_last_holds)
{
  CfRateLimit l = { 0 };

  ck_assert (!cf_rate_limit_hear (&l, 0, 1000));
  ck_assert (cf_rate_limit_hear_from_peer (&l, 1.1, 2000));
  ck_assert (!cf_rate_limit_hear_from_peer (&l, 1.1, 3000));
  ck_assert (cf_rate_limit_hear (&l, 0, 4000));
  /* The echo of what a peer was told, late by the ways of two messages. */
  ck_assert (!cf_rate_limit_hear_from_peer (&l, 1.1, 4010));
  ck_assert_double_eq (l.per_s, 0);
  ck_assert (cf_rate_limit_is_announced (&l, 5000));
  ck_assert (cf_rate_limit_hear_from_peer (&l, 1.1, 5000));
  ck_assert (cf_rate_limit_may_send (&l, "i", (CfFleetPlace){ 0, 1 }, 6000));
  cf_rate_limit_sent (&l);
  ck_assert (!cf_rate_limit_may_send (&l, "i", (CfFleetPlace){ 0, 1 }, 6001));
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("rate-limit");
  TCase *table = tcase_create ("rate");
  TCase *t = tcase_create ("fleet");

  tcase_add_test (table, parts_add_up_to_the_rate);
  tcase_add_test (table, no_window_exceeds_the_rate);
  tcase_add_test (table, what_was_heard_last_holds);
  suite_add_tcase (s, table);
  tcase_set_timeout (t, 30);
  tcase_add_checked_fixture (t, setup, p_stop_all);
  tcase_add_test (t, a_fleet_keeps_the_rate_a_target_names);
  tcase_add_test (t, a_restarted_gateway_keeps_the_rate);
  tcase_add_test (t, what_no_rate_allows_is_refused_at_once);
  tcase_add_test (t, a_target_without_a_limit_is_used_fully_again);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
