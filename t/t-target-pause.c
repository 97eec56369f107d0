/* Pauses that targets request by a 503 with Retry-After, and how a gateway
 * keeps them. */
#include "gateway/target-notice.h"
#include "harness.h"
#include "platform-harness.h"

#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define BASE 29000
#define DESK_1 (BASE + 1)
#define N_DESKS 2
#define RANK_1 (BASE + 3)
#define N_RANKS 4
/** The platform allows this many requests from a gateway during a pause, not
 * counting the first SLACK_MS. */
#define REQUESTS_MAX 2
#define SLACK_MS 500
#define REQUEST_INTERVAL_MS 20
/** A refusal without waiting arrives within this time. */
#define REFUSAL_MS 100

static int n_requests;

static void
setup (void)
{
  p_start_platform (BASE, "--ranks", "4", NULL);
  p_start_ready_gateway (BASE, 1);
}

/* @seconds: (nullable): ends the pause */
static void
set_pause (int port, const char *seconds)
{
  g_autofree char *call = g_strdup_printf (
      "POST /test/pause%s%s", seconds ? "?s=" : "", seconds ? seconds : "");

  g_free (p_call_standin (port, call, ""));
}

static char *
send_request (const char *method_and_path)
{
  g_autofree char *id = g_strdup_printf ("p-%d", n_requests++);
  g_autofree char *req = p_build_request (
      method_and_path, id, "Comfreypost-Token-Count: 10,8\r\n", "");

  return p_round_trip (p_front_port (BASE, 1), req);
}

/* Sends requests for @ms; returns how many were not answered with 200. */
static int
send_requests (const char *method_and_path, int ms)
{
  gint64 end = g_get_monotonic_time () + ms * 1000;
  int bad = 0;

  while (g_get_monotonic_time () < end)
    {
      g_autofree char *a = send_request (method_and_path);

      bad += p_parse_status (a) != 200;
      usleep (REQUEST_INTERVAL_MS * 1000);
    }
  return bad;
}

static gint64
arrival_ms (const json_t *arrival)
{
  return json_integer_value (json_object_get (arrival, "at-ms"));
}

/* How many requests reached a target between SLACK_MS after @arrival, whose
 * answer requested a pause, and the end of that pause. */
static int
count_in_pause (const json_t *arrivals, const json_t *arrival)
{
  double pause_s = json_real_value (json_object_get (arrival, "pause-s"));
  gint64 from = arrival_ms (arrival) + SLACK_MS;
  gint64 to = arrival_ms (arrival) + (gint64)(pause_s * 1000);
  const json_t *other;
  size_t i;
  int n = 0;

  json_array_foreach (arrivals, i, other) n
      += arrival_ms (other) > from && arrival_ms (other) < to;
  return n;
}

static void
check_pauses_kept (int port)
{
  g_autofree char *text = p_call_standin (port, "GET /test/arrivals", "");
  json_t *arrivals = json_loads (text, 0, NULL);
  const json_t *arrival;
  size_t i;

  json_array_foreach (arrivals, i, arrival)
      ck_assert_int_le (count_in_pause (arrivals, arrival), REQUESTS_MAX);
  json_decref (arrivals);
}

/* The Retry-After of an answer in seconds; negative if it has none. */
static double
parse_retry_after (const char *answer)
{
  const char *h = strstr (answer, "Retry-After: ");

  return h ? g_ascii_strtod (h + strlen ("Retry-After: "), NULL) : -1;
}

START_TEST (target_gets_no_more_requests_during_its_pause)
{
  const char *paths[] = { "GET /quote/a", "POST /order/a" };

  set_pause (DESK_1, "1.5");
  for (gsize i = 0; i < G_N_ELEMENTS (paths); i++)
    send_requests (paths[i], 1500);
  check_pauses_kept (DESK_1);
  ck_assert_int_eq (send_requests ("GET /quote/a", 200), 0);
}
END_TEST

START_TEST (ranks_get_no_more_streams_during_their_pauses)
{
  for (int i = 0; i < N_RANKS - 1; i++)
    set_pause (RANK_1 + i, "1.5");
  send_requests ("POST /chat/a", 500);
  ck_assert_int_eq (send_requests ("POST /chat/a", 700), 0);
  for (int i = 0; i < N_RANKS; i++)
    check_pauses_kept (RANK_1 + i);
}
END_TEST

START_TEST (callers_are_told_the_end_of_a_pause_of_all_targets)
{
  for (int i = 0; i < N_DESKS; i++)
    set_pause (DESK_1 + i, "2");
  for (int i = 0; i < 2 * N_DESKS; i++)
    g_free (send_request ("GET /quote/a"));
  for (int i = 0; i < N_DESKS; i++)
    set_pause (DESK_1 + i, NULL);
  for (int i = 0; i < 5; i++)
    {
      gint64 begin = g_get_monotonic_time ();
      g_autofree char *a = send_request ("GET /quote/a");

      ck_assert_int_eq (p_parse_status (a), 503);
      ck_assert_int_le (g_get_monotonic_time () - begin, REFUSAL_MS * 1000);
      ck_assert_double_ge (parse_retry_after (a), 1);
      ck_assert_double_le (parse_retry_after (a), 4);
    }
  for (int i = 0; i < N_DESKS; i++)
    check_pauses_kept (DESK_1 + i);
  usleep (2000 * 1000);
  ck_assert_int_eq (send_requests ("GET /quote/a", 500), 0);
  ck_assert_double_gt (p_sum_runs (DESK_1, 1, "runs"), 0);
  ck_assert_double_gt (p_sum_runs (DESK_1 + 1, 1, "runs"), 0);
}
END_TEST

START_TEST (odd_pauses_do_no_harm)
{
  const double odd[] = { 0, -1, -1e300, NAN, -INFINITY };
  const double huge[] = { 1e9, 1e300, INFINITY };
  CfTargetPause p = { 0 };

  for (gsize i = 0; i < G_N_ELEMENTS (odd); i++)
    cf_target_pause_begin (&p, odd[i], 1000);
  ck_assert_int_eq (cf_target_pause_remaining_ms (&p, 1000), 0);
  cf_target_pause_begin (&p, 0.0004, 1000);
  ck_assert_int_gt (cf_target_pause_remaining_ms (&p, 1000), 0);
  for (gsize i = 0; i < G_N_ELEMENTS (huge); i++)
    {
      cf_target_pause_begin (&p, huge[i], 2000);
      ck_assert_int_le (cf_target_pause_remaining_ms (&p, 2000),
                        CF_TARGET_PAUSE_MAX_MS + 100);
    }
}
END_TEST

/* Lets a target give an answer with @status and @headers; the pause that it
 * requests by that. */
static gint64
pause_by_answer (CfTarget *t, int status, const char *headers)
{
  const CfHttpReaderCallbacks callbacks = { NULL, NULL, NULL };
  g_autofree char *text = g_strdup_printf (
      "HTTP/1.1 %d x\r\nContent-Length: 0\r\n%s\r\n", status, headers);
  CfHttpReader r;
  gsize used;

  t->pause.until_ms = 0;
  cf_http_reader_init (&r, HTTP_RESPONSE, &callbacks, NULL, 4096);
  ck_assert (cf_http_reader_feed (&r, text, strlen (text), &used));
  cf_target_take_notice (t, &r, 1000);
  cf_http_reader_clear (&r);
  return cf_target_pause_ms (t, 1000);
}

START_TEST (only_a_503_requests_a_pause)
{
  const int others[] = { 200, 202, 408, 421, 429, 500, 502, 504 };
  CfTarget *t = cf_target_new_at ("1.1.1.1:1");

  ck_assert_int_gt (pause_by_answer (t, 503, "Retry-After: 3\r\n"), 2999);
  ck_assert_int_eq (pause_by_answer (t, 503, ""), 0);
  for (gsize i = 0; i < G_N_ELEMENTS (others); i++)
    ck_assert_int_eq (pause_by_answer (t, others[i], "Retry-After: 3\r\n"), 0);
  ck_assert (!cf_target_is_leaving (t));
  pause_by_answer (t, 404, "Server-Leaving: 1\r\n");
  ck_assert (cf_target_is_leaving (t));
  cf_target_unref (t);
}
END_TEST

START_TEST (later_answer_does_not_shorten_a_pause)
{
  CfTargetPause p = { 0 };

  cf_target_pause_begin (&p, 3, 1000);
  cf_target_pause_begin (&p, 0.5, 1500);
  ck_assert_int_ge (cf_target_pause_remaining_ms (&p, 3900), 100);
  cf_target_pause_begin (&p, 3, 2000);
  ck_assert_int_ge (cf_target_pause_remaining_ms (&p, 4900), 100);
  ck_assert_int_eq (cf_target_pause_remaining_ms (&p, 6000), 0);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("target-pause");
  TCase *table = tcase_create ("table");
  TCase *t = tcase_create ("pause");

  tcase_add_test (table, odd_pauses_do_no_harm);
  tcase_add_test (table, only_a_503_requests_a_pause);
  tcase_add_test (table, later_answer_does_not_shorten_a_pause);
  suite_add_tcase (s, table);
  tcase_set_tags (t, "pause");
  tcase_set_timeout (t, 30);
  tcase_add_checked_fixture (t, setup, p_stop_all);
  tcase_add_test (t, target_gets_no_more_requests_during_its_pause);
  tcase_add_test (t, ranks_get_no_more_streams_during_their_pauses);
  tcase_add_test (t, callers_are_told_the_end_of_a_pause_of_all_targets);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
