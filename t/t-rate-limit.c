/* Rate limits that targets state in their answers, and how a fleet of gateways
 * keeps them. */
#include "gateway/rate-limit.h"
#include "harness.h"
#include "platform-harness.h"

#include <signal.h>
#include <unistd.h>

#define BASE 27000
#define DESK_1 (BASE + 1)
#define N_DESKS 2
/** The first three are seeds; the other gateways have links only to these. */
#define N_GATEWAYS 5
#define RATE_LIMIT_PER_S 1.1
/** Time from a target's first answer with a limit until all gateways keep it.
 */
#define SETTLE_MS 1000
#define WINDOW_MS 4000
/** Requests that a target may get in a window beyond one and a half times its
 * limit. */
#define WINDOW_SLACK 5
/** A refusal without waiting arrives within this time. */
#define REFUSAL_MS 100
/** Time between two requests, sent to the gateways in turn: 25 per second. */
#define REQUEST_INTERVAL_MS 40

static pid_t gateways[N_GATEWAYS + 1];
static int n_requests;

static void
setup (void)
{
  p_start_platform (BASE, "--ranks", "0", NULL);
  for (int n = 1; n <= N_GATEWAYS; n++)
    gateways[n] = p_start_ready_gateway (BASE, n);
  usleep (SETTLE_MS * 1000);
}

static void
set_limit (const char *per_s)
{
  g_autofree char *call = g_strdup_printf (
      "POST /test/limit%s%s", per_s ? "?per-s=" : "", per_s ? per_s : "");

  g_free (p_call_standin (DESK_1, call, ""));
}

/* Sends one request to the next gateway; returns the status. */
static int
send_request (void)
{
  int n = 1 + n_requests % N_GATEWAYS;
  g_autofree char *id = g_strdup_printf ("r-%d", n_requests++);
  g_autofree char *req = p_build_request ("GET /quote/a", id, NULL, "");
  g_autofree char *a = p_round_trip (p_front_port (BASE, n), req);

  usleep (REQUEST_INTERVAL_MS * 1000);
  return p_parse_status (a);
}

/* Sends requests for @ms; returns how many were not answered with 200. */
static int
send_requests (int ms)
{
  gint64 end = g_get_monotonic_time () + ms * 1000;
  int bad = 0;

  while (g_get_monotonic_time () < end)
    bad += send_request () != 200;
  return bad;
}

static double
count_runs (void)
{
  return p_sum_runs (DESK_1, 1, "runs");
}

/* Checks that in one window the target gets requests, but no more than its
 * limit allows. */
static void
check_window (void)
{
  double before = count_runs ();
  double got;

  ck_assert_int_eq (send_requests (WINDOW_MS), 0);
  got = count_runs () - before;
  ck_assert_double_le (got, 1.5 * RATE_LIMIT_PER_S * WINDOW_MS / 1000
                                + WINDOW_SLACK);
  ck_assert_double_ge (got, 1);
}

START_TEST (fleet_keeps_rate_limit)
{
  set_limit ("1.1");
  send_requests (SETTLE_MS);
  check_window ();
  check_window ();
}
END_TEST

START_TEST (restarted_gateways_keep_rate_limit)
{
  set_limit ("1.1");
  send_requests (SETTLE_MS);
  for (int n = 1; n <= N_GATEWAYS; n++)
    {
      p_signal (gateways[n], SIGKILL);
      gateways[n] = p_start_ready_gateway (BASE, n);
    }
  send_requests (SETTLE_MS);
  check_window ();
}
END_TEST

/* With both targets limited, 2.2 of 25 requests per second can be served. */
START_TEST (requests_beyond_all_limits_are_refused_at_once)
{
  int refused = 0;

  set_limit ("1.1");
  g_free (p_call_standin (DESK_1 + 1, "POST /test/limit?per-s=1.1", ""));
  send_requests (SETTLE_MS);
  for (int i = 0; i < 50; i++)
    {
      gint64 begin = g_get_monotonic_time ();

      if (send_request () != 503)
        continue;
      refused++;
      ck_assert_int_le (g_get_monotonic_time () - begin,
                        (REQUEST_INTERVAL_MS + REFUSAL_MS) * 1000);
    }
  ck_assert_int_ge (refused, 30);
}
END_TEST

START_TEST (target_is_fully_used_after_limit_is_lifted)
{
  double before;

  set_limit ("1.1");
  send_requests (SETTLE_MS);
  set_limit (NULL);
  send_requests (2 * SETTLE_MS);
  before = count_runs ();
  send_requests (WINDOW_MS);
  ck_assert_double_ge (count_runs () - before,
                       WINDOW_MS / REQUEST_INTERVAL_MS / 4.0);
}
END_TEST

/* The shares of all gateways add up to the limit, whatever its size. */
START_TEST (shares_add_up_to_rate)
{
  const double rates[] = { 0.1, 1.1, 2.5, 20, 500 };
  const guint fleets[] = { 1, 3, 12, 35, 340 };

  for (gsize r = 0; r < G_N_ELEMENTS (rates); r++)
    for (gsize f = 0; f < G_N_ELEMENTS (fleets); f++)
      {
        const CfRateLimit l = { .per_s = rates[r], .received_ms = 1 };
        double sum = 0;

        for (guint i = 0; i < fleets[f]; i++)
          sum += cf_rate_limit_share (&l, "i-1",
                                      (CfFleetPosition){ i, fleets[f] });
        ck_assert_double_eq_tol (sum, rates[r], 1e-6);
      }
}
END_TEST

/* Returns the maximum number of requests in any window when @n gateways send as
 * much as they may, checking every @tick_ms. */
static int
max_in_window (guint n, double per_s, gint64 tick_ms)
{
  g_autofree CfRateLimit *l = g_new0 (CfRateLimit, n);
  GArray *sent = g_array_new (FALSE, FALSE, sizeof (gint64));
  guint max_sent = 0;
  guint from = 0;

  for (guint i = 0; i < n; i++)
    cf_rate_limit_update (&l[i], per_s, 1);
  for (gint64 now = 2; now < 60000; now += tick_ms)
    for (guint i = 0; i < n; i++)
      while (
          cf_rate_limit_may_send (&l[i], "i-1", (CfFleetPosition){ i, n }, now))
        {
          cf_rate_limit_consume (&l[i]);
          g_array_append_val (sent, now);
        }
  for (guint i = 0; i < sent->len; i++)
    {
      while (g_array_index (sent, gint64, i)
             > g_array_index (sent, gint64, from) + WINDOW_MS)
        from++;
      max_sent = MAX (max_sent, i - from + 1);
    }
  g_array_unref (sent);
  return (int)max_sent;
}

START_TEST (no_window_exceeds_rate)
{
  const double rates[] = { 0.1, 1.1, 2.5, 20, 100 };
  const guint fleets[] = { 1, 3, 12, 35, 340 };
  const gint64 ticks[] = { 1, 50, 4000 };

  for (gsize r = 0; r < G_N_ELEMENTS (rates); r++)
    for (gsize f = 0; f < G_N_ELEMENTS (fleets); f++)
      for (gsize t = 0; t < G_N_ELEMENTS (ticks); t++)
        ck_assert_msg (max_in_window (fleets[f], rates[r], ticks[t])
                           <= 1.5 * rates[r] * WINDOW_MS / 1000 + WINDOW_SLACK,
                       "%g per second, %u gateways, checked every %d ms",
                       rates[r], fleets[f], (int)ticks[t]);
}
END_TEST

/* Guards against restarts that add to the rate: an owner hears again and again
 * from a peer of a limit that is older than its process. */
START_TEST (restarts_in_series_do_not_add_to_rate)
{
  const CfFleetPosition alone = { 0, 1 };
  int sent = 0;

  for (gint64 start_ms = 10000; start_ms < 20000; start_ms += 1200)
    {
      CfRateLimit l = { 0 };

      for (gint64 now = start_ms; now < start_ms + 1200; now += 10)
        {
          cf_rate_limit_update_from_peer (&l, 1, start_ms - 5000, now);
          if (!cf_rate_limit_may_send (&l, "i", alone, now))
            continue;
          cf_rate_limit_consume (&l);
          sent++;
        }
    }
  ck_assert_int_le (sent, 10);
}
END_TEST

START_TEST (newest_limit_wins)
{
  CfRateLimit l = { 0 };

  ck_assert (!cf_rate_limit_update (&l, 0, 1000));
  ck_assert (cf_rate_limit_update_from_peer (&l, 1.1, 2000, 2000));
  ck_assert (!cf_rate_limit_update_from_peer (&l, 1.1, 3000, 3000));
  ck_assert (cf_rate_limit_update (&l, 0, 4000));
  /* A peer repeats the previous limit, delayed by the transit of two messages.
   */
  ck_assert (!cf_rate_limit_update_from_peer (&l, 1.1, 4010, 4010));
  ck_assert_double_eq (l.per_s, 0);
  ck_assert (cf_rate_limit_is_announced (&l, 5000));
  ck_assert (cf_rate_limit_update_from_peer (&l, 1.1, 5000, 5000));
  ck_assert (cf_rate_limit_may_send (&l, "i", (CfFleetPosition){ 0, 1 }, 6000));
  cf_rate_limit_consume (&l);
  ck_assert (
      !cf_rate_limit_may_send (&l, "i", (CfFleetPosition){ 0, 1 }, 6001));
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("rate-limit");
  TCase *table = tcase_create ("rate");
  TCase *t = tcase_create ("fleet");

  tcase_add_test (table, shares_add_up_to_rate);
  tcase_add_test (table, no_window_exceeds_rate);
  tcase_add_test (table, restarts_in_series_do_not_add_to_rate);
  tcase_add_test (table, newest_limit_wins);
  suite_add_tcase (s, table);
  tcase_set_timeout (t, 30);
  tcase_add_checked_fixture (t, setup, p_stop_all);
  tcase_add_test (t, fleet_keeps_rate_limit);
  tcase_add_test (t, restarted_gateways_keep_rate_limit);
  tcase_add_test (t, requests_beyond_all_limits_are_refused_at_once);
  tcase_add_test (t, target_is_fully_used_after_limit_is_lifted);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
