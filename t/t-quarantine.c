/*
 * Requests that crash the targets that run them, and targets that do so for
 * other reasons: what the gateways of a fleet still send.
 */
#include "harness.h"
#include "platform-harness.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

#define BASE 26000
#define DESK_1 (BASE + 1)
#define N_DESKS 2
#define RANK_1 (BASE + 3)
#define N_RANKS 4
#define N_TARGETS (N_DESKS + N_RANKS)
#define N_GATEWAYS 3
/** Crashes of targets after which a request is not sent any more. */
#define CRASHES 3
/** Within this time all gateways know what one has learned. */
#define SPREAD_MS 500
/** Until a crashed target's next start is known. */
#define RELIST_MS 300

static pid_t gateways[N_GATEWAYS + 1];

static void
start_gateway (int n)
{
  gateways[n] = p_gateway (BASE, n);
  p_await_ready (BASE, n);
}

static void
setup (void)
{
  p_platform (BASE, "--ranks", "4", NULL);
  for (int n = 1; n <= N_GATEWAYS; n++)
    start_gateway (n);
  for (int i = 0; i < N_TARGETS; i++)
    g_free (p_test (DESK_1 + i, "POST /test/crasher", "boom"));
  usleep (SPREAD_MS * 1000);
}

/* Attempt number @k at gateway @n; its status. */
static int
ask (int n, int k, const char *method_and_path, const char *body)
{
  g_autofree char *id = g_strdup_printf ("%s-%d-%d", body, n, k);
  g_autofree char *req = p_request (method_and_path, id,
                                    "Comfreypost-Token-Count: 10,80\r\n", body);
  g_autofree char *a = p_ask (p_front (BASE, n), req);

  return p_status (a);
}

static double
crashes (void)
{
  return p_runs (DESK_1, N_TARGETS, "crashes");
}

/* Attempts at gateway @n until @want targets have crashed. */
static void
crash_targets (int n, int want)
{
  for (int k = 0; k < 2 * CRASHES && crashes () < want; k++)
    {
      ask (n, k, "POST /order/a", "boom");
      usleep (RELIST_MS * 1000);
    }
  ck_assert_double_eq (crashes (), want);
}

START_TEST (a_crashing_request_is_not_sent_after_three_crashes)
{
  crash_targets (1, CRASHES);
  for (int k = 0; k < 4; k++)
    {
      ck_assert_int_eq (ask (1, 100 + k, "POST /order/a", "boom"), 503);
      ck_assert_int_eq (ask (1, 200 + k, "POST /order/a", "fine"), 200);
    }
  ck_assert_double_eq (crashes (), CRASHES);
}
END_TEST

START_TEST (crashes_seen_by_one_gateway_bind_all)
{
  crash_targets (1, 1);
  crash_targets (2, 2);
  crash_targets (3, CRASHES);
  usleep (SPREAD_MS * 1000);
  for (int n = 1; n <= N_GATEWAYS; n++)
    ck_assert_int_eq (ask (n, 100, "POST /order/a", "boom"), 503);
  ck_assert_double_eq (crashes (), CRASHES);
}
END_TEST

START_TEST (a_restarted_gateway_learns_of_crashes)
{
  crash_targets (1, CRASHES);
  usleep (SPREAD_MS * 1000);
  p_signal (gateways[1], SIGKILL);
  start_gateway (1);
  usleep (2 * SPREAD_MS * 1000);
  ck_assert_int_eq (ask (1, 100, "POST /order/a", "boom"), 503);
  ck_assert_double_eq (crashes (), CRASHES);
}
END_TEST

START_TEST (a_suspected_stream_is_not_retried)
{
  ask (1, 1, "POST /chat/a", "boom");
  usleep (RELIST_MS * 1000);
  ask (2, 1, "POST /chat/a", "boom");
  ck_assert_double_le (crashes (), CRASHES);
  usleep (RELIST_MS * 1000);
  ask (3, 1, "POST /chat/a", "boom");
  ck_assert_double_eq (crashes (), CRASHES);
}
END_TEST

START_TEST (a_request_that_also_succeeds_is_sent_on)
{
  for (int k = 0; k < 3 * CRASHES; k++)
    {
      p_fault (DESK_1, 1, "lost", 1);
      p_fault (DESK_1 + 1, 1, "lost", 1);
      ask (1, k, "POST /quote/a", "q");
      p_fault (DESK_1, N_DESKS, "none", 0);
      ck_assert_int_eq (ask (1, 100 + k, "POST /quote/a", "q"), 200);
    }
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("quarantine");
  TCase *red = tcase_create ("crashing-requests");
  TCase *t = tcase_create ("quarantine");

  tcase_set_tags (red, "crashing-requests");
  tcase_set_timeout (red, 30);
  tcase_add_checked_fixture (red, setup, p_stop_all);
  tcase_add_test (red, a_crashing_request_is_not_sent_after_three_crashes);
  tcase_add_test (red, crashes_seen_by_one_gateway_bind_all);
  tcase_add_test (red, a_restarted_gateway_learns_of_crashes);
  tcase_add_test (red, a_suspected_stream_is_not_retried);
  suite_add_tcase (s, red);
  tcase_set_timeout (t, 30);
  tcase_add_checked_fixture (t, setup, p_stop_all);
  tcase_add_test (t, a_request_that_also_succeeds_is_sent_on);
  suite_add_tcase (s, t);
  return t_run (s);
}
