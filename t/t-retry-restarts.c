/* The retry budget of a fleet whose gateways are restarted while, or before,
 * its targets fail. */
#include "harness.h"
#include "platform-harness.h"
#include "retry-windows.h"

#include <jansson.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#define BASE 15000
#define DESK_1 (BASE + 1)
#define N_TARGETS 8
#define N_GATEWAYS 4
/** The platform's bounds: the default ratio and window, and the harness's
 * slack. */
#define RETRY_RATIO 0.1
#define RETRY_SLACK 60
#define RETRY_WINDOW_MS 10000
#define REQUEST_INTERVAL_MS 10
/** Time between two restarts of gateways. */
#define RESTART_INTERVAL_MS 1200
#define N_RESTARTS 6
/** Time from the start of a gateway until all seeds have answered it. */
#define ROLL_SETTLE_MS 300
/** Failures at each gateway after a roll; less than its share of the slack. */
#define N_FIRST_FAILURES 4
/** More faults than there are attempts in a test. */
#define ALWAYS 100000

static pid_t gateways[N_GATEWAYS + 1];
static RetryWindows *windows;
static int n_requests;

static void
setup (void)
{
  n_requests = 0;
  windows = retry_windows_new (RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_MS);
  p_overrides.retry_window_s = RETRY_WINDOW_MS / 1000.0;
  p_start_platform (BASE, "--ranks", "0", "--plain", G_STRINGIFY (N_TARGETS),
                    NULL);
  for (int n = 1; n <= N_GATEWAYS; n++)
    gateways[n] = p_start_gateway (BASE, n);
  for (int n = 1; n <= N_GATEWAYS; n++)
    p_wait_until_ready (BASE, n);
}

static void
teardown (void)
{
  p_stop_all ();
  g_clear_pointer (&windows, retry_windows_free);
}

/* Sends a request to gateway @n; returns the status. */
static int
send_request (int n)
{
  g_autofree char *id = g_strdup_printf ("q-%d", n_requests++);
  g_autofree char *req = p_build_request ("GET /quote/a", id, NULL, "");
  g_autofree char *answer = NULL;

  retry_windows_add_request (windows, g_get_monotonic_time () / 1000);
  answer = p_round_trip (p_front_port (BASE, n), req);
  return p_parse_status (answer);
}

/* Sends requests to all gateways in turn for @ms. */
static void
send_requests (int ms)
{
  gint64 end_us = g_get_monotonic_time () + ms * 1000;

  while (g_get_monotonic_time () < end_us)
    {
      send_request (1 + n_requests % N_GATEWAYS);
      usleep (REQUEST_INTERVAL_MS * 1000);
    }
}

static void
add_attempts (int port)
{
  g_autofree char *text = p_call_standin (port, "GET /test/arrivals", "");
  json_t *arrivals = json_loads (text, 0, NULL);
  const json_t *arrival;
  size_t i;

  json_array_foreach (arrivals, i, arrival) retry_windows_add_attempt (
      windows, json_string_value (json_object_get (arrival, "id")),
      json_integer_value (json_object_get (arrival, "at-ms")));
  json_decref (arrivals);
}

/* Returns the window with the most repeats. */
static RetryWindow
find_worst_window (void)
{
  RetryWindow worst;

  for (int i = 0; i < N_TARGETS; i++)
    add_attempts (DESK_1 + i);
  ck_assert (retry_windows_find_worst (windows, &worst));
  return worst;
}

static void
check_budget (void)
{
  RetryWindow worst = find_worst_window ();

  ck_assert_msg (worst.excess <= 0, "%u repeats in a window, for %u requests",
                 worst.n_repeats, worst.n_requests);
}

/* Kills gateways @first to @last at once and starts them again. */
static void
restart (int first, int last)
{
  for (int n = first; n <= last; n++)
    p_signal (gateways[n], SIGKILL);
  for (int n = first; n <= last; n++)
    gateways[n] = p_start_gateway (BASE, n);
  for (int n = first; n <= last; n++)
    p_wait_until_ready (BASE, n);
}

START_TEST (gateways_killed_in_series_keep_retry_budget)
{
  p_inject_fault (DESK_1, N_TARGETS, "fail", ALWAYS);
  send_requests (RESTART_INTERVAL_MS);
  for (int i = 0; i < N_RESTARTS; i++)
    {
      int first = 1 + i % (N_GATEWAYS - 1);

      restart (first, first + 1);
      send_requests (RESTART_INTERVAL_MS);
    }
  check_budget ();
}
END_TEST

START_TEST (fleet_killed_at_once_keeps_retry_budget)
{
  p_inject_fault (DESK_1, N_TARGETS, "fail", ALWAYS);
  send_requests (RESTART_INTERVAL_MS);
  for (int i = 0; i < N_RESTARTS; i++)
    {
      restart (1, N_GATEWAYS);
      send_requests (RESTART_INTERVAL_MS);
    }
  check_budget ();
}
END_TEST

/* Guards against a metric that the operator's page names and no gateway has. */
static void
check_metrics (int n)
{
  const char *const names[]
      = { "first_attempts_total",  "repeated_attempts_total",
          "retries_denied_total",  "retry_tokens",
          "retry_tokens_reserved", "retry_tokens_max" };
  g_autofree char *page
      = p_call_standin (p_front_port (BASE, n) + 3, "GET /metrics", "");

  for (gsize i = 0; i < G_N_ELEMENTS (names); i++)
    {
      g_autofree char *sample
          = g_strdup_printf ("comfrey_%s{service=\"desk\"", names[i]);

      ck_assert_msg (strstr (page, sample) != NULL, "no %s", sample);
    }
}

/* Guards against gateways that have nothing to retry with after a planned stop,
 * since they do not know what their predecessors have left. */
START_TEST (first_failures_after_planned_roll_are_retried)
{
  send_requests (RETRY_WINDOW_MS + RESTART_INTERVAL_MS);
  for (int n = 1; n <= N_GATEWAYS; n++)
    {
      p_stop (gateways[n]);
      gateways[n] = p_start_ready_gateway (BASE, n);
      send_request (n);
    }
  usleep (ROLL_SETTLE_MS * 1000);
  p_inject_fault (DESK_1, N_TARGETS, "fail", ALWAYS);
  for (int i = 0; i < N_FIRST_FAILURES; i++)
    for (int n = 1; n <= N_GATEWAYS; n++)
      send_request (n);
  ck_assert_uint_eq (find_worst_window ().n_repeats,
                     N_FIRST_FAILURES * N_GATEWAYS);
  check_metrics (1);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("retry-restarts");
  TCase *t = tcase_create ("kills");

  tcase_set_timeout (t, 40);
  tcase_set_tags (t, "kills");
  tcase_add_checked_fixture (t, setup, teardown);
  tcase_add_test (t, gateways_killed_in_series_keep_retry_budget);
  tcase_add_test (t, fleet_killed_at_once_keeps_retry_budget);
  tcase_add_test (t, first_failures_after_planned_roll_are_retried);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
