/* The retry budget of a fleet whose gateways are restarted while, or before,
 * its targets fail. */
#include "harness.h"
#include "platform-harness.h"

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

/** Attempt: the arrival of a request at a target. */
typedef struct
{
  char id[32];
  gint64 at_ms;
} Attempt;

static pid_t gateways[N_GATEWAYS + 1];
static GArray *request_ms; /* of gint64: when requests were sent */

static void
setup (void)
{
  request_ms = g_array_new (FALSE, FALSE, sizeof (gint64));
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
  g_clear_pointer (&request_ms, g_array_unref);
}

/* Sends a request to gateway @n; returns the status. */
static int
send_request (int n)
{
  gint64 now_ms = g_get_monotonic_time () / 1000;
  g_autofree char *id = g_strdup_printf ("q-%u", request_ms->len);
  g_autofree char *req = p_build_request ("GET /quote/a", id, NULL, "");
  g_autofree char *answer = p_round_trip (p_front_port (BASE, n), req);

  g_array_append_val (request_ms, now_ms);
  return p_parse_status (answer);
}

/* Sends requests to all gateways in turn for @ms. */
static void
send_requests (int ms)
{
  gint64 end_us = g_get_monotonic_time () + ms * 1000;

  while (g_get_monotonic_time () < end_us)
    {
      send_request (1 + (int)request_ms->len % N_GATEWAYS);
      usleep (REQUEST_INTERVAL_MS * 1000);
    }
}

static void
append_attempts (GArray *attempts, int port)
{
  g_autofree char *text = p_call_standin (port, "GET /test/arrivals", "");
  json_t *arrivals = json_loads (text, 0, NULL);
  const json_t *arrival;
  size_t i;

  json_array_foreach (arrivals, i, arrival)
  {
    Attempt a = { 0 };

    g_strlcpy (a.id, json_string_value (json_object_get (arrival, "id")),
               sizeof a.id);
    a.at_ms = json_integer_value (json_object_get (arrival, "at-ms"));
    g_array_append_val (attempts, a);
  }
  json_decref (arrivals);
}

static int
compare_attempts (gconstpointer a, gconstpointer b)
{
  const Attempt *x = a;
  const Attempt *y = b;

  return (x->at_ms > y->at_ms) - (x->at_ms < y->at_ms);
}

/* Returns when requests arrived at a target that had arrived at one before, in
 * order. */
static GArray *
list_repeats (void)
{
  GArray *attempts = g_array_new (FALSE, FALSE, sizeof (Attempt));
  GArray *repeats = g_array_new (FALSE, FALSE, sizeof (gint64));
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);

  for (int i = 0; i < N_TARGETS; i++)
    append_attempts (attempts, DESK_1 + i);
  g_array_sort (attempts, compare_attempts);
  for (guint i = 0; i < attempts->len; i++)
    {
      Attempt *a = &g_array_index (attempts, Attempt, i);

      if (!g_hash_table_add (seen, a->id))
        g_array_append_val (repeats, a->at_ms);
    }
  g_hash_table_unref (seen);
  g_array_unref (attempts);
  return repeats;
}

/* Returns how many of @times_ms are in the window that begins at @from_ms. */
static guint
count_in_window (const GArray *times_ms, gint64 from_ms)
{
  guint n = 0;

  for (guint i = 0; i < times_ms->len; i++)
    {
      gint64 ms = g_array_index (times_ms, gint64, i);

      n += ms >= from_ms && ms < from_ms + RETRY_WINDOW_MS;
    }
  return n;
}

/* The most requests in the window from @from_ms on, the one before, and the one
 * that begins half a window earlier. */
static guint
count_requests (gint64 from_ms)
{
  guint n = count_in_window (request_ms, from_ms);

  n = MAX (n, count_in_window (request_ms, from_ms - RETRY_WINDOW_MS / 2));
  return MAX (n, count_in_window (request_ms, from_ms - RETRY_WINDOW_MS));
}

static void
check_budget (void)
{
  GArray *repeats = list_repeats ();

  ck_assert_uint_gt (repeats->len, 0);
  for (guint i = 0; i < repeats->len; i++)
    {
      gint64 from_ms = g_array_index (repeats, gint64, i);
      guint n = count_in_window (repeats, from_ms);
      guint n_requests = count_requests (from_ms);

      ck_assert_msg (n <= RETRY_RATIO * n_requests + RETRY_SLACK,
                     "%u repeats in a window, for %u requests", n, n_requests);
    }
  g_array_unref (repeats);
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

/* Guards against gateways that have nothing to retry with after a planned stop,
 * since they do not know what their predecessors have left. */
START_TEST (first_failures_after_planned_roll_are_retried)
{
  GArray *repeats;

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
  repeats = list_repeats ();
  ck_assert_uint_eq (repeats->len, N_FIRST_FAILURES * N_GATEWAYS);
  g_array_unref (repeats);
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
