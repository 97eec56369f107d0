/*
 * What gateways cost the metadata store, and what they know in spite of few
 * calls: a first list that is stale, and an answer that is lost.
 */
#include "gateway/store-poll.h"
#include "harness.h"
#include "platform-harness.h"

#include <signal.h>
#include <unistd.h>

#define BASE 22000
#define DESK_1 (BASE + 1)
#define DESK_2 (BASE + 2)
/** Gateway 2 reaches the store through this proxy. */
#define PROXY_PORT (BASE + 50)
/** Keys that fill several pages of the store. */
#define FILLER_KEYS 300
#define PAGES 7
/** A page that may be stale costs this fraction of another call. */
#define STALE_PRICE 0.1
/** The platform's limit for a target that leaves to get no more requests. */
#define DRAIN_MS 2000
#define PROPAGATION_MS 500
/** Time for entries to come back after the store was away. */
#define RETURN_GRACE_MS 2200
#define ROUNDS 12

static int n_requests;

static void
setup (void)
{
  p_start_platform (BASE, "--ranks", "0", NULL);
}

static char *
call (const char *request)
{
  return p_call_standin (BASE, request, "");
}

static double
count_calls (const char *kind)
{
  g_autofree char *text = call ("GET /test/calls");

  return p_json_number (text, kind);
}

/* Sends orders to gateway @n; returns how many of them the target at @port
 * runs. */
static double
count_served (int n, int port)
{
  double before = p_sum_runs (port, 1, "runs");

  for (int i = 0; i < ROUNDS; i++)
    {
      g_autofree char *id = g_strdup_printf ("c-%d", n_requests++);
      g_autofree char *req = p_build_request ("POST /order/a", id, NULL, "");
      g_autofree char *a = p_round_trip (p_front_port (BASE, n), req);

      ck_assert_int_eq (p_parse_status (a), 200);
    }
  return p_sum_runs (port, 1, "runs") - before;
}

/* The list that a gateway reads first may be seconds old.  Targets that left or
 * came since are known by the first request. */
START_TEST (stale_first_list_is_brought_up_to_date)
{
  g_autofree char *record = call ("GET /test/get?key=servers/desk-1");

  g_free (call ("POST /test/delete?key=servers/desk-1"));
  g_free (call ("POST /test/replica"));
  g_free (call ("POST /test/delete?key=servers/desk-0"));
  g_free (p_call_standin (BASE, "POST /test/put?key=servers/desk-1", record));
  p_start_ready_gateway (BASE, 1);
  ck_assert_double_eq (count_served (1, DESK_1), 0);
  ck_assert_double_eq (count_served (1, DESK_2), ROUNDS);
}
END_TEST

/* Every gateway reads the whole list when it starts; the pages are the larger
 * part of all calls of a large fleet. */
START_TEST (first_list_costs_little_more_than_two_calls)
{
  double cost;

  for (int i = 0; i < FILLER_KEYS; i++)
    {
      g_autofree char *put
          = g_strdup_printf ("POST /test/put?key=servers/filler-%03d", i);

      g_free (call (put));
    }
  cost = count_calls ("range") + STALE_PRICE * count_calls ("stale");
  ck_assert_double_eq (cost, 0);
  p_start_ready_gateway (BASE, 1);
  usleep (PROPAGATION_MS * 1000);
  ck_assert_double_eq (count_calls ("stale"), PAGES);
  ck_assert_double_eq (count_calls ("range"), 1);
}
END_TEST

/* All gateways read the whole list again when the store has lost its history.
 */
START_TEST (lost_history_costs_stale_pages_only)
{
  pid_t gateway = p_start_ready_gateway (BASE, 1);
  double range;

  usleep (PROPAGATION_MS * 1000);
  range = count_calls ("range");
  p_signal (gateway, SIGSTOP);
  /* The watch that waits still gets the first change. */
  g_free (call ("POST /test/put?key=servers/filler"));
  g_free (call ("POST /test/delete?key=servers/desk-0"));
  g_free (call ("POST /test/forget"));
  p_signal (gateway, SIGCONT);
  /* The store has cut the watch, after which entries may come back. */
  usleep ((RETURN_GRACE_MS + PROPAGATION_MS) * 1000);
  ck_assert_double_eq (count_served (1, DESK_1), 0);
  /* The operator's records are read exactly. */
  ck_assert_double_le (count_calls ("range") - range, 1);
  ck_assert_double_ge (count_calls ("stale"), 2);
}
END_TEST

/* A replica that is older than the history is of no use. */
START_TEST (list_is_exact_though_the_replica_is_older_than_the_history)
{
  g_autofree char *record = call ("GET /test/get?key=servers/desk-1");
  pid_t gateway;

  g_free (call ("POST /test/delete?key=servers/desk-1"));
  g_free (call ("POST /test/replica"));
  gateway = p_start_ready_gateway (BASE, 1);
  usleep (PROPAGATION_MS * 1000);
  p_signal (gateway, SIGSTOP);
  g_free (call ("POST /test/delete?key=servers/desk-0"));
  g_free (p_call_standin (BASE, "POST /test/put?key=servers/desk-1", record));
  g_free (call ("POST /test/forget"));
  p_signal (gateway, SIGCONT);
  usleep ((RETURN_GRACE_MS + PROPAGATION_MS) * 1000);
  ck_assert_double_eq (count_served (1, DESK_1), 0);
  ck_assert_double_eq (count_served (1, DESK_2), ROUNDS);
}
END_TEST

/* The connection of a watch goes silent for good, so that the answer with a
 * change never comes.  The next hello of a peer shows that there is one. */
START_TEST (lost_answer_with_a_change_is_noticed_through_a_peer)
{
  pid_t proxy = p_start_fault_proxy (PROXY_PORT, BASE);

  p_start_ready_gateway (BASE, 1);
  p_overrides.store = PROXY_PORT;
  p_start_ready_gateway (BASE, 2);
  p_overrides.store = 0;
  usleep (1500000);
  for (int i = 0; i < 3; i++)
    {
      g_autofree char *record = call ("GET /test/get?key=servers/desk-0");

      p_signal (proxy, SIGUSR1);
      g_free (call ("POST /test/delete?key=servers/desk-0"));
      usleep (DRAIN_MS * 1000);
      ck_assert_double_eq (count_served (2, DESK_1), 0);
      g_free (
          p_call_standin (BASE, "POST /test/put?key=servers/desk-0", record));
      usleep (DRAIN_MS * 1000);
      ck_assert_double_gt (count_served (2, DESK_1), 0);
    }
}
END_TEST

static char *
log_of (int n)
{
  return g_strdup_printf ("t/out/gateway-%d-%d.log", BASE, n);
}

/* After a power failure all gateways start at once.  Each asked a seed for its
 * list of targets while it read the same list from the store, and the seeds
 * held a copy for each. */
START_TEST (lists_are_not_asked_of_peers_while_the_store_answers)
{
  for (int i = 0; i < FILLER_KEYS; i++)
    {
      g_autofree char *put
          = g_strdup_printf ("POST /test/put?key=servers/filler-%03d", i);

      g_free (call (put));
    }
  p_start_ready_gateway (BASE, 1);
  /* A page takes 0.3 s, the list 2. */
  g_free (call ("POST /test/mode?mode=slow"));
  for (int n = 2; n <= 3; n++)
    {
      g_autofree char *log = log_of (n);

      p_start_ready_gateway (BASE, n);
      ck_assert (
          p_wait_for_log (log, "E1107 store-read prefix=servers/", 4000));
      ck_assert_uint_eq (p_count_in_log (log, "outcome=taught"), 0);
    }
}
END_TEST

START_TEST (lists_are_asked_of_peers_if_the_store_does_not_answer)
{
  g_autofree char *log = log_of (2);

  p_start_ready_gateway (BASE, 1);
  g_free (call ("POST /test/mode?mode=silent"));
  p_start_ready_gateway (BASE, 2);
  ck_assert (p_wait_for_log (log, "outcome=taught", 1500));
  ck_assert_double_gt (count_served (2, DESK_1), 0);
}
END_TEST

/* Calls on a watch without changes, of all gateways but the seeds, grow with
 * time alone until the store's limit of 30 s a poll is reached. */
START_TEST (idle_calls_do_not_grow_with_the_fleet)
{
  static const struct
  {
    guint gateways;
    double max_per_s;
  } cases[] = { { 3, 1 },    { 30, 7.01 }, { 208, 7.01 },
                { 300, 10 }, { 1000, 34 }, { 2000, 67 } };
  const CfStorePollTurn relying = { .relies_on_seed = TRUE };

  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      double wait_ms
          = (double)cf_store_poll_wait_ms (&relying, cases[i].gateways, FALSE);

      ck_assert_double_le (cases[i].gateways * 1000 / wait_ms,
                           cases[i].max_per_s);
      ck_assert_double_le (wait_ms, 30000);
    }
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("store-calls");
  TCase *unit = tcase_create ("long-poll");
  TCase *t = tcase_create ("store-calls");

  tcase_add_test (unit, idle_calls_do_not_grow_with_the_fleet);
  suite_add_tcase (s, unit);
  tcase_set_timeout (t, 30);
  tcase_add_checked_fixture (t, setup, p_stop_all);
  tcase_add_test (t, stale_first_list_is_brought_up_to_date);
  tcase_add_test (t, first_list_costs_little_more_than_two_calls);
  tcase_add_test (t, lost_history_costs_stale_pages_only);
  tcase_add_test (t,
                  list_is_exact_though_the_replica_is_older_than_the_history);
  tcase_add_test (t, lost_answer_with_a_change_is_noticed_through_a_peer);
  tcase_add_test (t, lists_are_not_asked_of_peers_while_the_store_answers);
  tcase_add_test (t, lists_are_asked_of_peers_if_the_store_does_not_answer);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
