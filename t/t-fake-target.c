/*
 * The plain targets of the stand-in of the platform: how many requests one runs
 * at once, queues and refuses, and the configuration that it starts with.
 *
 * Guards against measurements of contention against targets that serve more
 * than their slots, or that reject requests which they may have run.
 */
#include "harness.h"
#include "platform-harness.h"

#include <string.h>
#include <unistd.h>

#define BASE 17000
#define TARGET (BASE + 1)
#define WORK_MS 500
#define WORK_TEXT "500"
/** A timer may begin at the time at which the event loop last looked at the
 * clock, and so end this much earlier. */
#define TIMER_SLACK_MS 20
/** Answers are waited for longer than any request here takes. */
#define ANSWER_MS 3000
/** Requests sent one after another arrive in this order. */
#define SEND_INTERVAL_US 10000
#define N_REQUESTS_MAX 8

/** Sent: requests on connections of their own. */
typedef struct
{
  int fds[N_REQUESTS_MAX];
  int n;
  gint64 start_us;
} Sent;

static Sent
send_requests (int n)
{
  Sent s = { .n = n, .start_us = g_get_monotonic_time () };

  for (int i = 0; i < n; i++)
    {
      g_autofree char *id = g_strdup_printf ("q-%d", i);
      g_autofree char *req = p_build_request ("POST /x", id, NULL, "");

      s.fds[i] = p_connect (TARGET);
      ck_assert_int_ge (s.fds[i], 0);
      p_send (s.fds[i], req);
      g_usleep (SEND_INTERVAL_US);
    }
  return s;
}

static gint64
elapsed_ms (const Sent *s)
{
  return (g_get_monotonic_time () - s->start_us) / 1000;
}

/* Checks that the next of @s, request @i, is answered with 200 after @periods
 * periods of work. */
static void
check_served (const Sent *s, int i, int periods)
{
  g_autofree char *answer = p_read_answer (s->fds[i], ANSWER_MS);

  ck_assert_int_eq (p_parse_status (answer), 200);
  ck_assert_int_ge (elapsed_ms (s), periods * WORK_MS - TIMER_SLACK_MS);
}

/* Checks that request @i is refused as not run, at once. */
static void
check_refused (const Sent *s, int i)
{
  g_autofree char *answer = p_read_answer (s->fds[i], ANSWER_MS);

  ck_assert_int_eq (p_parse_status (answer), 503);
  ck_assert_ptr_nonnull (strstr (answer, "Comfreypost-Not-Run: 1"));
  ck_assert_int_lt (elapsed_ms (s), WORK_MS);
}

static void
close_all (const Sent *s)
{
  for (int i = 0; i < s->n; i++)
    close (s->fds[i]);
}

START_TEST (requests_beyond_the_slots_are_queued)
{
  Sent s;

  p_start_platform (BASE, "--ranks", "0", "--plain", "1", "--slots", "1",
                    "--queue", "2", "--work-ms", WORK_TEXT, NULL);
  s = send_requests (4);
  check_refused (&s, 3);
  check_served (&s, 0, 1);
  check_served (&s, 1, 2);
  check_served (&s, 2, 3);
  close_all (&s);
}
END_TEST

START_TEST (no_queue_refuses_at_once)
{
  Sent s;

  p_start_platform (BASE, "--ranks", "0", "--plain", "1", "--slots", "2",
                    "--queue", "0", "--work-ms", WORK_TEXT, NULL);
  s = send_requests (3);
  check_refused (&s, 2);
  check_served (&s, 0, 1);
  check_served (&s, 1, 1);
  close_all (&s);
}
END_TEST

/* The place of a caller that left, in a slot or in the queue, goes to the next
 * one. */
START_TEST (callers_that_leave_free_their_places)
{
  Sent s;

  p_start_platform (BASE, "--ranks", "0", "--plain", "1", "--slots", "1",
                    "--queue", "2", "--work-ms", WORK_TEXT, NULL);
  s = send_requests (3);
  close (s.fds[0]);
  close (s.fds[1]);
  check_served (&s, 2, 1);
  ck_assert_int_lt (elapsed_ms (&s), 2 * WORK_MS);
  ck_assert_int_eq ((int)p_sum_runs (TARGET, 1, "gone"), 2);
  close (s.fds[2]);
}
END_TEST

START_TEST (without_the_option_twice_the_slots_run)
{
  Sent s;

  p_start_platform (BASE, "--ranks", "0", "--plain", "1", "--slots", "2",
                    "--work-ms", WORK_TEXT, NULL);
  s = send_requests (5);
  check_refused (&s, 4);
  for (int i = 0; i < 4; i++)
    check_served (&s, i, 1);
  ck_assert_int_lt (elapsed_ms (&s), 2 * WORK_MS);
  close_all (&s);
}
END_TEST

START_TEST (tiers_only_add_to_the_configuration)
{
  g_autofree char *plain = NULL;
  g_autofree char *tiers = NULL;

  p_start_platform (BASE, "--ranks", "0", NULL);
  plain = p_call_standin (BASE, "GET /test/get?key=op/config", "");
  p_stop_all ();
  p_start_platform (BASE, "--ranks", "0", "--tiers", NULL);
  tiers = p_call_standin (BASE, "GET /test/get?key=op/config", "");
  ck_assert_ptr_null (strstr (plain, "urgent"));
  ck_assert_ptr_null (strstr (plain, "key-small"));
  ck_assert_ptr_nonnull (
      strstr (tiers, "\"name\":\"urgent\",\"host\":\"demo.example\",\"prefix\":"
                     "\"/urgent/\",\"kind\":\"safe\",\"timeout-ms\":8000,"
                     "\"aim-ms\":500,\"priority\":0,\"service\":\"desk\","));
  ck_assert_ptr_nonnull (
      strstr (tiers, "{\"name\":\"large\",\"api-keys\":[\"key-large\"],"
                     "\"priority\":1}"));
  ck_assert_ptr_nonnull (
      strstr (tiers, "{\"name\":\"plain-b\",\"api-keys\":[\"key-plain-b\"]}"));
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("fake-target");
  TCase *t = tcase_create ("fake-target");

  tcase_add_checked_fixture (t, NULL, p_stop_all);
  tcase_set_timeout (t, 20);
  tcase_add_test (t, requests_beyond_the_slots_are_queued);
  tcase_add_test (t, no_queue_refuses_at_once);
  tcase_add_test (t, callers_that_leave_free_their_places);
  tcase_add_test (t, without_the_option_twice_the_slots_run);
  tcase_add_test (t, tiers_only_add_to_the_configuration);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
