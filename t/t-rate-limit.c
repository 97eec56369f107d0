/* Targets that name the rate they take, and what a fleet sends them. */
#include "harness.h"
#include "platform-harness.h"

#include <signal.h>
#include <unistd.h>

#define BASE 27000
#define DESK_1 (BASE + 1)
#define N_DESKS 2
#define N_GATEWAYS 3
#define LIMIT_PER_S 1.1
/** From a target's first answer with a limit until all gateways keep it. */
#define SETTLE_MS 1000
#define WINDOW_MS 4000
/** What a target may get in a window beyond one and a half times its limit. */
#define SLACK 5
/** Between two requests of a test, at gateways in turn: 25 a second. */
#define PAUSE_MS 40

static pid_t gateways[N_GATEWAYS + 1];
static int n_asked;

static void
start_gateway (int n)
{
  gateways[n] = p_gateway (BASE, n);
  p_await_ready (BASE, n);
}

static void
setup (void)
{
  p_platform (BASE, "--ranks", "0", NULL);
  for (int n = 1; n <= N_GATEWAYS; n++)
    start_gateway (n);
  usleep (SETTLE_MS * 1000);
}

static void
name_limit (const char *per_s)
{
  g_autofree char *call = g_strdup_printf (
      "POST /test/limit%s%s", per_s ? "?per-s=" : "", per_s ? per_s : "");

  g_free (p_test (DESK_1, call, ""));
}

/* One request at the next gateway; its status. */
static int
ask (void)
{
  int n = 1 + n_asked % N_GATEWAYS;
  g_autofree char *id = g_strdup_printf ("r-%d", n_asked++);
  g_autofree char *req = p_request ("GET /quote/a", id, NULL, "");
  g_autofree char *a = p_ask (p_front (BASE, n), req);

  usleep (PAUSE_MS * 1000);
  return p_status (a);
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
  return p_runs (DESK_1, 1, "runs");
}

static void
check_window (void)
{
  double before = runs ();

  ck_assert_int_eq (load (WINDOW_MS), 0);
  ck_assert_double_le (runs () - before,
                       1.5 * LIMIT_PER_S * WINDOW_MS / 1000 + SLACK);
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
      start_gateway (n);
    }
  load (SETTLE_MS);
  check_window ();
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

int
main (void)
{
  Suite *s = suite_create ("rate-limit");
  TCase *red = tcase_create ("fleet-rate");
  TCase *t = tcase_create ("fleet");

  tcase_set_tags (red, "fleet-rate");
  tcase_set_timeout (red, 30);
  tcase_add_checked_fixture (red, setup, p_stop_all);
  tcase_add_test (red, a_fleet_keeps_the_rate_a_target_names);
  tcase_add_test (red, a_restarted_gateway_keeps_the_rate);
  suite_add_tcase (s, red);
  tcase_set_timeout (t, 30);
  tcase_add_checked_fixture (t, setup, p_stop_all);
  tcase_add_test (t, a_target_without_a_limit_is_used_fully_again);
  suite_add_tcase (s, t);
  return t_run (s);
}
