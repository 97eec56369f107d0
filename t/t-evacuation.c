/*
 * The operator evacuates data centres: their targets get no requests until the
 * data centre is taken back.
 */
#include "gateway/evacuation.h"
#include "harness.h"
#include "platform-harness.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

#define BASE 32000
#define DESK_1 (BASE + 1) /* in dc1 */
#define DESK_2 (BASE + 2) /* in dc2 */
#define RANK_1 (BASE + 3) /* in dc1, as the third; the others by turns */
#define N_RANKS 4
/** Gateway 2 reaches the store through this proxy. */
#define PROXY_PORT (BASE + 50)
/** Limit on the time until all gateways know of an evacuation. */
#define KNOWN_EVERYWHERE_MS 500
/** The same through a peer, for a gateway that cannot reach the store. */
#define PEER_MS 1700
#define ROUNDS 12

static pid_t proxy;
static int n_requests;

static void
setup (void)
{
  p_start_platform (BASE, "--ranks", "4", "--data-centres", "2", NULL);
  proxy = p_start_fault_proxy (PROXY_PORT, BASE);
  p_start_ready_gateway (BASE, 1);
  p_overrides.store = PROXY_PORT;
  p_start_ready_gateway (BASE, 2);
  p_overrides.store = 0;
}

static void
call (const char *request, const char *body)
{
  g_free (p_call_standin (BASE, request, body));
}

static void
sleep_ms (int ms)
{
  usleep ((useconds_t)ms * 1000);
}

static void
evacuate (const char *data_centre)
{
  g_autofree char *request
      = g_strdup_printf ("POST /test/put?key=op/evacuate/%s", data_centre);

  call (request, "{}");
}

static void
take_back (const char *data_centre)
{
  g_autofree char *request
      = g_strdup_printf ("POST /test/delete?key=op/evacuate/%s", data_centre);

  call (request, "");
}

static char *
send_one (int gateway, const char *method_and_path)
{
  g_autofree char *id = g_strdup_printf ("v-%d", n_requests++);
  g_autofree char *req = p_build_request (
      method_and_path, id, "Comfreypost-Token-Count: 10,8\r\n", "");

  return p_round_trip (p_front_port (BASE, gateway), req);
}

/* Sends requests of each kind; returns how many were not served. */
static int
send_requests (int gateway)
{
  const char *paths[] = { "GET /quote/a", "POST /order/a", "POST /chat/a" };
  int bad = 0;

  for (int i = 0; i < ROUNDS; i++)
    for (gsize k = 0; k < G_N_ELEMENTS (paths); k++)
      {
        g_autofree char *a = send_one (gateway, paths[k]);

        bad += p_parse_status (a) != 200;
      }
  return bad;
}

/* How many requests the targets of dc1 have run. */
static double
count_runs_in_dc1 (void)
{
  return p_sum_runs (DESK_1, 1, "runs") + p_sum_runs (RANK_1, 1, "runs")
         + p_sum_runs (RANK_1 + 2, 1, "runs");
}

/* Checks that requests through @gateway are served, and none of them by dc1. */
static void
check_evacuated (int gateway)
{
  double before = count_runs_in_dc1 ();

  ck_assert_int_eq (send_requests (gateway), 0);
  ck_assert_double_eq (count_runs_in_dc1 (), before);
}

static void
check_in_use (int gateway)
{
  double before = count_runs_in_dc1 ();

  ck_assert_int_eq (send_requests (gateway), 0);
  ck_assert_double_gt (count_runs_in_dc1 (), before);
}

START_TEST (targets_of_an_evacuated_data_centre_get_no_requests)
{
  check_in_use (1);
  evacuate ("dc1");
  sleep_ms (KNOWN_EVERYWHERE_MS);
  for (int n = 1; n <= 2; n++)
    check_evacuated (n);
  take_back ("dc1");
  sleep_ms (KNOWN_EVERYWHERE_MS);
  for (int n = 1; n <= 2; n++)
    check_in_use (n);
}
END_TEST

START_TEST (gateway_that_starts_during_an_evacuation_keeps_it)
{
  evacuate ("dc1");
  p_start_ready_gateway (BASE, 3);
  check_evacuated (3);
}
END_TEST

START_TEST (gateway_without_the_store_learns_of_it_from_a_peer)
{
  sleep_ms (PEER_MS);
  p_signal (proxy, SIGSTOP);
  sleep_ms (6500);
  evacuate ("dc1");
  sleep_ms (PEER_MS);
  check_evacuated (2);
  take_back ("dc1");
  sleep_ms (PEER_MS);
  check_in_use (2);
  evacuate ("dc1");
  p_signal (proxy, SIGCONT);
  sleep_ms (PEER_MS);
  check_evacuated (2);
}
END_TEST

/* Nothing may be sent, so nothing is gained by a wait. */
START_TEST (requests_are_refused_at_once_if_all_targets_are_evacuated)
{
  static const char *const paths[] = { "POST /order/a", "POST /chat/a" };

  evacuate ("dc1");
  evacuate ("dc2");
  sleep_ms (KNOWN_EVERYWHERE_MS);
  for (gsize i = 0; i < G_N_ELEMENTS (paths); i++)
    {
      gint64 start = g_get_monotonic_time ();
      g_autofree char *a = send_one (1, paths[i]);

      ck_assert_int_eq (p_parse_status (a), 503);
      ck_assert_ptr_nonnull (strstr (a, "Retry-After: "));
      ck_assert_int_lt (g_get_monotonic_time () - start, 200000);
    }
  take_back ("dc2");
  sleep_ms (KNOWN_EVERYWHERE_MS);
  check_evacuated (1);
}
END_TEST

/* A request that waits for a group to open when the last data centre is
 * evacuated is refused then, not at its queue timeout. */
START_TEST (queued_requests_are_refused_when_the_last_targets_are_evacuated)
{
  g_autofree char *req = p_build_request (
      "POST /chat/a", "q1",
      "Comfreypost-Token-Count: 10,8\r\nComfreypost-Deadline-Ms: 8000\r\n", "");
  g_autofree char *answer = NULL;
  gint64 start;
  int fd;

  p_inject_fault (RANK_1, N_RANKS, "broken", 1000);
  fd = p_connect (p_front_port (BASE, 1));
  p_send (fd, req);
  sleep_ms (200);
  evacuate ("dc1");
  evacuate ("dc2");
  start = g_get_monotonic_time ();
  answer = p_read_answer (fd, 4000);
  ck_assert_int_eq (p_parse_status (answer), 503);
  ck_assert_int_lt (g_get_monotonic_time () - start,
                    KNOWN_EVERYWHERE_MS * 1000);
  close (fd);
}
END_TEST

START_TEST (evacuation_that_is_taken_back_at_once_is_over)
{
  for (int i = 0; i < 3; i++)
    {
      evacuate ("dc1");
      sleep_ms (30);
      take_back ("dc1");
    }
  sleep_ms (KNOWN_EVERYWHERE_MS);
  for (int n = 1; n <= 2; n++)
    check_in_use (n);
}
END_TEST

/* The name stands in the key, so that an evacuation whose value cannot be read
 * holds; a key without a possible name is dropped with a log line. */
START_TEST (strange_records_evacuate_no_other_data_centre)
{
  g_autofree char *log = g_strdup_printf ("t/out/gateway-%d-1.log", BASE);

  evacuate ("dc9");
  evacuate ("");
  evacuate ("a%2Fdc1");
  evacuate ("dc1%20");
  evacuate ("%22dc1%22");
  sleep_ms (KNOWN_EVERYWHERE_MS);
  check_in_use (1);
  ck_assert (p_wait_for_log (log, "what=evacuation", 500));
  call ("POST /test/put-raw?key=op/evacuate/dc1", "!not base64!");
  sleep_ms (KNOWN_EVERYWHERE_MS);
  check_evacuated (1);
}
END_TEST

START_TEST (evacuation_that_a_restored_store_lacks_holds_until_written_again)
{
  call ("POST /test/copy", "");
  evacuate ("dc1");
  sleep_ms (KNOWN_EVERYWHERE_MS);
  call ("POST /test/restore?rewrite-ms=1500", "");
  for (int i = 0; i < 4; i++)
    {
      sleep_ms (600);
      for (int n = 1; n <= 2; n++)
        check_evacuated (n);
    }
  take_back ("dc1");
  sleep_ms (KNOWN_EVERYWHERE_MS);
  check_in_use (1);
}
END_TEST

START_TEST (evacuation_that_is_lost_with_the_store_ends_in_time)
{
  call ("POST /test/copy", "");
  evacuate ("dc1");
  sleep_ms (KNOWN_EVERYWHERE_MS);
  call ("POST /test/restore", "");
  sleep_ms (9000);
  for (int n = 1; n <= 2; n++)
    check_in_use (n);
}
END_TEST

static CfStorePosition
at (gint64 rev)
{
  return (CfStorePosition){ .era = CF_STORE_ERA_UNKNOWN, .rev = rev };
}

START_TEST (peers_set_is_used_only_if_it_is_newer_and_the_store_late)
{
  CfEvacuations e;

  cf_evacuations_init (&e);
  e.pos = at (10);
  ck_assert (!cf_evacuations_may_adopt (&e, FALSE, at (9), FALSE, 1000));
  ck_assert (!cf_evacuations_may_adopt (&e, TRUE, at (11), FALSE, 1000));
  ck_assert (cf_evacuations_may_adopt (&e, FALSE, at (11), FALSE, 1000));
  /* It was used. */
  e.pos = at (11);
  ck_assert (!cf_evacuations_may_adopt (&e, FALSE, at (9), TRUE, 1500));
  ck_assert (!cf_evacuations_may_adopt (&e, FALSE, at (12), TRUE, 2000));
  ck_assert (!cf_evacuations_may_adopt (&e, FALSE, at (13), TRUE, 2300));
  /* Another peer is behind as well. */
  ck_assert (!cf_evacuations_may_adopt (&e, TRUE, at (11), TRUE, 2350));
  ck_assert (cf_evacuations_may_adopt (&e, FALSE, at (13), TRUE, 2400));
  /* A release that does not send the set. */
  ck_assert (!cf_evacuations_may_adopt (&e, FALSE, CF_STORE_POSITION_NONE,
                                        FALSE, 9000));
  cf_evacuations_clear (&e);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("evacuation");
  TCase *unit = tcase_create ("evacuation-set");
  TCase *t = tcase_create ("evacuation");

  tcase_add_test (unit,
                  peers_set_is_used_only_if_it_is_newer_and_the_store_late);
  suite_add_tcase (s, unit);
  tcase_set_timeout (t, 40);
  tcase_add_checked_fixture (t, setup, p_stop_all);
  tcase_add_test (t, targets_of_an_evacuated_data_centre_get_no_requests);
  tcase_add_test (t, gateway_that_starts_during_an_evacuation_keeps_it);
  tcase_add_test (t, gateway_without_the_store_learns_of_it_from_a_peer);
  tcase_add_test (t, requests_are_refused_at_once_if_all_targets_are_evacuated);
  tcase_add_test (
      t, queued_requests_are_refused_when_the_last_targets_are_evacuated);
  tcase_add_test (t, evacuation_that_is_taken_back_at_once_is_over);
  tcase_add_test (t, strange_records_evacuate_no_other_data_centre);
  tcase_add_test (
      t, evacuation_that_a_restored_store_lacks_holds_until_written_again);
  tcase_add_test (t, evacuation_that_is_lost_with_the_store_ends_in_time);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
