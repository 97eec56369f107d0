/*
 * Effects of the network, the clock and mass failures on the gateway's
 * processes: silent connections, partitions in one direction, jumps of the wall
 * clock, expired store entries, a kill of all gateways.
 */
#include "harness.h"
#include "platform-harness.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

#define BASE 23000
/** Time of a pass at balanced load: about half of the 120 ms that callers
 * accept between two events, so that an unbalanced map is worth changing. */
#define STEP_MS "60"
/** Start time of an incarnation, in Unix ms, later than that of any fake target
 * of a test. */
#define LATER_INCARNATION "4000000000000"
#define TOKENS_PER_EVENT 4
/** Requests that one of three gateways may have in flight: a third of the 12
 * slots of each rank, and a quarter more. */
#define GATEWAY_SLOTS (5 * N_RANKS)
/** A few ms less than the 2 s after which callers leave a silent stream. */
#define CALLER_WAIT_MS 1980
/** A little less than the time for which a stream may be queued, 1.2 s. */
#define QUEUE_WAIT_MS 1140
#define STORE BASE
#define DESK_1 (BASE + 1)
#define DESK_PROXY (BASE + 52)
#define RANK_1 (BASE + 3)
#define N_RANKS 4
#define STORE_PROXY (BASE + 50)
#define SEED_PROXY (BASE + 51)
#define SEED_1 (BASE + 102)
#define LOG_1 "t/out/gateway-23000-1.log"
#define LOG_2 "t/out/gateway-23000-2.log"

#define CONFIG(version, prefix)                                                \
  "{\"version\":" version ",\"routes\":[{\"name\":\"n\",\"host\":"             \
  "\"demo.example\",\"prefix\":\"" prefix "\",\"kind\":\"safe\","              \
  "\"timeout-ms\":800,\"aim-ms\":150,\"priority\":2,\"service\":\"desk\","     \
  "\"max-attempts\":2,\"public\":true}],\"services\":[{\"name\":\"desk\","     \
  "\"max-conns\":96}],\"limits\":{\"max-header-bytes\":4096,"                  \
  "\"max-body-bytes\":65536,\"header-timeout-ms\":600,"                        \
  "\"idle-timeout-ms\":3000},\"tenants\":[]}"

static pid_t platform;

static void
setup (void)
{
  platform = p_start_platform (BASE, "--ranks", "4", NULL);
}

/* Passes take 70 ms with the map that a group forms with, 110 ms under load. */
static void
setup_busy (void)
{
  platform = p_start_platform (BASE, "--ranks", "4", "--step-ms", "45",
                               "--per-seq-ms", "5", NULL);
}

static int
ask_status (int n, const char *method_and_path, const char *id)
{
  g_autofree char *req = p_build_request (method_and_path, id, NULL, "");
  g_autofree char *a = p_round_trip (p_front_port (BASE, n), req);

  return p_parse_status (a);
}

/* Whether gateway @n answers a request with 200 within @ms. */
static gboolean
answers_ok_within (int n, const char *method_and_path, int ms)
{
  for (int i = 0; i <= ms; i += 50)
    {
      if (ask_status (n, method_and_path, "f") == 200)
        return TRUE;
      usleep (50000);
    }
  return FALSE;
}

static void
put_entry (const char *key, const char *value)
{
  g_autofree char *call = g_strdup_printf ("POST /test/put?key=%s", key);

  g_free (p_call_standin (STORE, call, value));
}

/* A watch whose connection has fallen silent is reconnected when its answer is
 * overdue, and receives what it missed. */
START_TEST (silent_watch_is_reconnected)
{
  pid_t proxy = p_start_fault_proxy (STORE_PROXY, STORE);

  p_overrides.store = STORE_PROXY;
  p_start_ready_gateway (BASE, 1);
  p_signal (proxy, SIGUSR1);
  put_entry ("op/config", CONFIG ("5", "/five/"));
  ck_assert (answers_ok_within (1, "GET /five/", 8000));
}
END_TEST

/* A gateway's calls reach the store but the answers are lost: it gets the
 * configuration from a peer. */
START_TEST (config_spreads_when_store_answers_are_lost)
{
  pid_t proxy = p_start_fault_proxy (STORE_PROXY, STORE);

  p_overrides.store = STORE_PROXY;
  p_start_ready_gateway (BASE, 1);
  p_overrides.store = 0;
  p_start_ready_gateway (BASE, 2);
  p_signal (proxy, SIGUSR2);
  usleep (200000);
  put_entry ("op/config", CONFIG ("5", "/five/"));
  ck_assert (answers_ok_within (2, "GET /five/", 1500));
  ck_assert (answers_ok_within (1, "GET /five/", 3000));
}
END_TEST

static double
passes_with_mixed_maps (void)
{
  g_autofree char *a = p_call_standin (RANK_1, "GET /test/runs", "");

  return p_json_number (a, "mixed");
}

/* Links between rank agents and the leader fall silent.  They are reconnected,
 * and expert maps continue to be changed. */
START_TEST (silent_agent_links_are_reconnected)
{
  pid_t proxy = p_start_fault_proxy (SEED_PROXY, SEED_1);
  int fds[8];
  guint before;

  p_stop_all ();
  p_start_platform (BASE, "--ranks", "4", "--step-ms", STEP_MS, "--shift-s",
                    "0.5", NULL);
  proxy = p_start_fault_proxy (SEED_PROXY, SEED_1);
  p_start_ready_gateway (BASE, 1);
  p_overrides.seed = SEED_PROXY;
  for (int i = 0; i < N_RANKS; i++)
    p_start_agent (BASE, RANK_1 + i);
  p_start_streams (BASE, fds, G_N_ELEMENTS (fds));
  ck_assert (p_wait_for_log_count (LOG_1, "why=changed", 1, 6000));
  p_signal (proxy, SIGUSR1);
  usleep (300000);
  before = p_count_in_log (LOG_1, "why=changed");
  ck_assert (p_wait_for_log_count (LOG_1, "why=changed", before + 1, 9000));
  ck_assert_double_eq (passes_with_mixed_maps (), 0);
  for (gsize i = 0; i < G_N_ELEMENTS (fds); i++)
    close (fds[i]);
}
END_TEST

/* The leader is killed in the middle of a map change and restarts at once.  One
 * of the two gateways leads then, and no pass runs with two maps. */
START_TEST (leader_restart_during_map_change)
{
  int fds[8];
  pid_t first;

  p_stop_all ();
  p_start_platform (BASE, "--ranks", "4", "--step-ms", STEP_MS, "--copy-ms",
                    "9000", NULL);
  first = p_start_ready_gateway (BASE, 1);
  for (int i = 0; i < N_RANKS; i++)
    p_start_agent (BASE, RANK_1 + i);
  p_start_streams (BASE, fds, G_N_ELEMENTS (fds));
  ck_assert (p_wait_for_log_count (LOG_1, "to=preparing", 1, 6000));
  p_start_ready_gateway (BASE, 2);
  usleep (600000);
  p_signal (first, SIGKILL);
  usleep (300000);
  p_start_ready_gateway (BASE, 1);
  usleep (4000000);
  ck_assert_uint_eq (p_count_in_log (LOG_1, "nothing-pending")
                         + p_count_in_log (LOG_2, "nothing-pending"),
                     1);
  ck_assert_double_eq (passes_with_mixed_maps (), 0);
  for (gsize i = 0; i < G_N_ELEMENTS (fds); i++)
    close (fds[i]);
}
END_TEST

/* Durations and deadlines do not depend on the wall clock. */
START_TEST (wall_clock_jumps_have_no_effect)
{
  gint64 until;
  int n = 0;

  p_overrides.gateway = "t/gateway-clock-step";
  p_start_ready_gateway (BASE, 1);
  for (int i = 0; i < N_RANKS; i++)
    p_start_agent (BASE, RANK_1 + i);
  until = g_get_monotonic_time () + 4 * G_USEC_PER_SEC;
  while (g_get_monotonic_time () < until)
    {
      g_autofree char *id = g_strdup_printf ("t%d", n++);
      g_autofree char *req = p_build_request (
          "POST /chat/a", id, "Comfreypost-Token-Count: 10,80\r\n", "");
      g_autofree char *a = p_round_trip (p_front_port (BASE, 1), req);

      ck_assert_msg (p_parse_status (a) == 200, "%s", a);
      ck_assert (g_str_has_suffix (a, "0\r\n\r\n"));
      ck_assert_int_eq (ask_status (1, "POST /order/a", id), 200);
    }
  ck_assert (p_wait_for_log_count (LOG_1, "took-the-lead", 1, 3000));
  ck_assert_uint_eq (p_count_in_log (LOG_1, "stood-still"), 0);
}
END_TEST

/* Entries expire during an outage of the store and come back a second after it.
 * Their targets get requests all the time.  A target whose entry does not come
 * back is removed. */
START_TEST (expired_target_entries_come_back)
{
  const char back[] = "{\"service\":\"desk\",\"addr\":\"127.0.0.1:23001\","
                      "\"zone\":\"dc1\",\"version\":\"v1\",\"slots\":6,"
                      "\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":9,"
                      "\"born\":" LATER_INCARNATION "}";

  p_start_ready_gateway (BASE, 1);
  g_free (p_call_standin (STORE, "POST /test/mode?mode=busy", ""));
  g_free (p_call_standin (STORE, "POST /test/forget", "")); /* cuts watches */
  ck_assert (
      p_wait_for_log_count (LOG_1, "store-lost prefix=servers/", 1, 3000));
  g_free (p_call_standin (STORE, "POST /test/delete?key=servers/desk-0", ""));
  g_free (p_call_standin (STORE, "POST /test/delete?key=servers/desk-1", ""));
  g_free (p_call_standin (STORE, "POST /test/mode?mode=up", ""));
  for (int i = 0; i < 40; i++)
    {
      if (i == 10)
        put_entry ("servers/desk-0", back);
      ck_assert_int_eq (ask_status (1, "POST /order/a", "l"), 200);
      usleep (50000);
    }
  ck_assert (
      p_wait_for_log_count (LOG_1, "target=desk-1 service=desk", 2, 3000));
  ck_assert_int_eq (ask_status (1, "POST /order/a", "l"), 200);
}
END_TEST

/* A removal that the store reports after an outage is not an entry that expired
 * during it.  The target gets requests for no longer than a drain may take,
 * here much shorter than the time that expired entries have to come back. */
START_TEST (removal_after_store_outage_is_not_delayed)
{
  p_overrides.drain_ms = 700;
  p_start_ready_gateway (BASE, 1);
  g_free (p_call_standin (STORE, "POST /test/mode?mode=busy", ""));
  g_free (p_call_standin (STORE, "POST /test/forget", "")); /* cuts watches */
  ck_assert (
      p_wait_for_log_count (LOG_1, "store-lost prefix=servers/", 1, 3000));
  g_free (p_call_standin (STORE, "POST /test/mode?mode=up", ""));
  ck_assert (
      p_wait_for_log_count (LOG_1, "store-back prefix=servers/", 2, 3000));
  g_free (p_call_standin (STORE, "POST /test/delete?key=servers/desk-0", ""));
  ck_assert (p_wait_for_log (LOG_1, "target=desk-0 outcome=missing", 300));
  usleep (700000);
  for (int i = 0; i < 20; i++)
    {
      g_autofree char *req = p_build_request ("POST /order/a", "d", NULL, "");
      g_autofree char *a = p_round_trip (p_front_port (BASE, 1), req);

      ck_assert_ptr_nonnull (strstr (a, "Signature: desk-1\r\n"));
    }
  ck_assert_uint_eq (p_count_in_log (LOG_1, "source=drained"), 1);
}
END_TEST

/* No state of a gateway survives a kill, and a restarted one needs none. */
START_TEST (config_survives_kill_of_all_gateways)
{
  pid_t pids[3];

  for (int n = 1; n <= 3; n++)
    pids[n - 1] = p_start_gateway (BASE, n);
  for (int n = 1; n <= 3; n++)
    p_wait_until_ready (BASE, n);
  put_entry ("op/config", CONFIG ("5", "/five/"));
  for (int n = 1; n <= 3; n++)
    ck_assert (answers_ok_within (n, "GET /five/", 2000));
  for (int i = 0; i < 3; i++)
    p_signal (pids[i], SIGKILL);
  for (int n = 1; n <= 3; n++)
    p_start_gateway (BASE, n);
  for (int n = 1; n <= 3; n++)
    {
      p_wait_until_ready (BASE, n);
      ck_assert_int_eq (ask_status (n, "GET /five/", "k"), 200);
      ck_assert_int_eq (ask_status (n, "GET /quote/", "k"), 404);
    }
}
END_TEST

/* Reused connections to a target fall silent.  A request that may be repeated
 * is answered by another target in time, one that may not runs at most once,
 * and new connections to the target are used again. */
START_TEST (silent_target_connections)
{
  const char behind_proxy[]
      = "{\"service\":\"desk\",\"addr\":\"127.0.0.1:23052\","
        "\"zone\":\"dc1\",\"version\":\"v1\",\"slots\":6,"
        "\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":9,"
        "\"born\":" LATER_INCARNATION "}";
  pid_t proxy = p_start_fault_proxy (DESK_PROXY, DESK_1);
  int lost = 0;

  p_start_ready_gateway (BASE, 1);
  put_entry ("servers/desk-0", behind_proxy);
  ck_assert (p_wait_for_log (LOG_1, "addr=127.0.0.1:23052", 2000));
  for (int i = 0; i < 6; i++)
    {
      g_autofree char *id = g_strdup_printf ("w%d", i);

      ck_assert_int_eq (ask_status (1, "GET /quote/a", id), 200);
    }
  p_signal (proxy, SIGUSR1);
  for (int i = 0; i < 12; i++)
    {
      g_autofree char *id = g_strdup_printf ("q%d", i);
      g_autofree char *once = g_strdup_printf ("o%d", i);

      ck_assert_int_eq (ask_status (1, "GET /quote/a", id), 200);
      lost += ask_status (1, "POST /order/a", once) != 200;
    }
  /* Each reused connection loses at most one request that may not be repeated.
   */
  ck_assert_int_le (lost, 6);
  ck_assert_double_eq (p_sum_runs (DESK_1, 2, "doubled"), 0);
  ck_assert_int_eq (ask_status (1, "POST /order/a", "last"), 200);
}
END_TEST

/* Begins a stream of @events events at gateway 1.  Returns its socket. */
static int
begin_stream (const char *id, int events)
{
  g_autofree char *size = g_strdup_printf ("Comfreypost-Token-Count: 10,%d\r\n",
                                           events * TOKENS_PER_EVENT);
  g_autofree char *req = p_build_request ("POST /chat/a", id, size, "");
  int fd = p_connect (p_front_port (BASE, 1));

  p_send (fd, req);
  return fd;
}

static double
rank_run_count (void)
{
  return p_sum_runs (RANK_1, N_RANKS, "runs");
}

/* Waits up to @ms until the ranks have run @n requests.  Returns whether they
 * have run exactly @n. */
static gboolean
wait_for_rank_runs (double n, int ms)
{
  for (int i = 0; i <= ms && rank_run_count () < n; i += 20)
    usleep (20000);
  return rank_run_count () == n;
}

/* VMs are paused and resume after the caller has left.  The targets do not run
 * the request that they read then. */
START_TEST (paused_target_skips_cancelled_requests)
{
  g_autofree char *req = p_build_request ("GET /quote/a", "w1", NULL, "");
  int fd;

  p_start_ready_gateway (BASE, 1);
  p_signal (platform, SIGSTOP);
  fd = p_connect (p_front_port (BASE, 1));
  p_send (fd, req);
  usleep (100000);
  close (fd);
  usleep (100000);
  p_signal (platform, SIGCONT);
  usleep (300000);
  ck_assert_double_eq (p_sum_runs (DESK_1, 2, "runs"), 0);
}
END_TEST

/* Guards against giving up a target that is slow to begin when the retry budget
 * allows no other attempt: the caller got a 502 while its work continued. */
START_TEST (stream_without_retry_budget_is_not_moved)
{
  g_autofree char *answer = NULL;
  int fds[3];

  p_overrides.allow_one_retry = TRUE;
  p_start_ready_gateway (BASE, 1);
  fds[0] = begin_stream ("s1", 4000);
  ck_assert (wait_for_rank_runs (1, 2000));
  p_inject_fault (RANK_1, N_RANKS, "tardy", 2);
  fds[1] = begin_stream ("s2", 10);
  ck_assert (wait_for_rank_runs (3, 2000));
  fds[2] = begin_stream ("s3", 10);
  answer = p_read_answer (fds[2], 2 * CALLER_WAIT_MS);
  ck_assert_int_eq (p_parse_status (answer), 200);
  ck_assert_double_eq (rank_run_count (), 4);
  for (gsize i = 0; i < G_N_ELEMENTS (fds); i++)
    close (fds[i]);
}
END_TEST

/* Both attempts of a stream reach ranks that have stalled while others work.
 * Its caller gets an error before it leaves, 2 s after its request. */
START_TEST (caller_at_stalled_ranks_gets_error_in_time)
{
  g_autofree char *answer = NULL;
  int working;
  int stream;

  p_start_ready_gateway (BASE, 1);
  working = begin_stream ("s1", 4000);
  ck_assert (wait_for_rank_runs (1, 2000));
  p_inject_fault (RANK_1, N_RANKS, "hang", 1);
  stream = begin_stream ("s2", 10);
  answer = p_read_answer (stream, CALLER_WAIT_MS);
  ck_assert_int_eq (p_parse_status (answer), 502);
  ck_assert_double_eq (rank_run_count (), 3);
  close (working);
  close (stream);
}
END_TEST

/* The second attempt is at a rank that works on other streams only. */
START_TEST (caller_of_stream_left_at_stalled_rank_gets_error)
{
  g_autofree char *answer = NULL;
  int working[N_RANKS - 1];
  int stream;

  p_start_ready_gateway (BASE, 1);
  for (guint i = 0; i < G_N_ELEMENTS (working); i++)
    {
      g_autofree char *id = g_strdup_printf ("w%u", i);

      working[i] = begin_stream (id, 4000);
      ck_assert (wait_for_rank_runs (i + 1, 2000));
    }
  p_inject_fault (RANK_1, N_RANKS, "hang", 1);
  stream = begin_stream ("s", 10);
  answer = p_read_answer (stream, CALLER_WAIT_MS);
  ck_assert_int_eq (p_parse_status (answer), 502);
  ck_assert_double_eq (rank_run_count (), N_RANKS + 1);
  for (guint i = 0; i < G_N_ELEMENTS (working); i++)
    close (working[i]);
  close (stream);
}
END_TEST

/* Delays the first event of a stream, from which the gateway learns that first
 * events take long. */
static void
delay_first_event (void)
{
  p_signal (platform, SIGSTOP);
  usleep (450000);
  p_signal (platform, SIGCONT);
  usleep (200000);
}

/* The rank that runs stream "b@n"; -1 if none does. */
static int
find_rank (int n)
{
  g_autofree char *key = g_strdup_printf ("\"b%d\":", n);

  for (int i = 0; i < N_RANKS; i++)
    {
      g_autofree char *ids = p_call_standin (RANK_1 + i, "GET /test/ran", "");

      if (strstr (ids, key))
        return i;
    }
  return -1;
}

/* Waits until @rank runs no stream. */
static gboolean
wait_for_idle_rank (int rank)
{
  for (int i = 0; i < 100; i++)
    {
      g_autofree char *report
          = p_call_standin (RANK_1 + rank, "GET /v1/report", "");

      if (p_json_number (report, "running") == 0)
        return TRUE;
      usleep (1000);
    }
  return FALSE;
}

/* A stream that was queued reaches a rank that has stalled.  Another rank could
 * not send a first event before the caller leaves, so the stream is not
 * retried, and only one rank is left with work that no caller waits for. */
START_TEST (no_retry_if_caller_leaves_first)
{
  g_autofree char *answer = NULL;
  int busy[GATEWAY_SLOTS];
  int ranks[GATEWAY_SLOTS];
  int stream;

  /* The other seeds do not run, so that their demand is unknown and gateway 1
   * keeps to its even part of the slots. */
  p_start_ready_gateway (BASE, 1);
  usleep (1500000);
  for (int i = 0; i < GATEWAY_SLOTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("b%d", i);

      busy[i] = begin_stream (id, 4000);
      if (i == 0)
        delay_first_event ();
      /* Makes the second stream go to another rank than the first. */
      if (i == 1)
        ck_assert (wait_for_rank_runs (2, 3000));
    }
  ck_assert (wait_for_rank_runs (GATEWAY_SLOTS, 3000));
  for (int i = 0; i < GATEWAY_SLOTS; i++)
    ranks[i] = find_rank (i);
  ck_assert_int_ne (ranks[0], ranks[1]);
  usleep (300000);
  stream = begin_stream ("s3", 10);
  usleep (QUEUE_WAIT_MS * 1000);
  ck_assert_double_eq (rank_run_count (), GATEWAY_SLOTS);
  p_inject_fault (RANK_1, N_RANKS, "hang", 1);
  /* The queued stream gets the rank of the first, which sends nothing then; the
   * rank of the second does. */
  for (int i = 0; i < GATEWAY_SLOTS; i++)
    if (ranks[i] == ranks[0])
      close (busy[i]);
  ck_assert (wait_for_idle_rank (ranks[0]));
  for (int i = 2; i < GATEWAY_SLOTS; i++)
    if (ranks[i] != ranks[0])
      close (busy[i]);
  answer = p_read_answer (stream, CALLER_WAIT_MS - QUEUE_WAIT_MS - 20);
  ck_assert_int_eq (p_parse_status (answer), 502);
  ck_assert_double_eq (rank_run_count (), GATEWAY_SLOTS + 1);
  close (busy[1]);
  close (stream);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("network");
  TCase *t = tcase_create ("network");
  TCase *busy_case = tcase_create ("crowded");

  tcase_set_timeout (t, 40);
  tcase_add_checked_fixture (t, setup, p_stop_all);
  tcase_add_test (t, silent_watch_is_reconnected);
  tcase_add_test (t, config_spreads_when_store_answers_are_lost);
  tcase_add_test (t, silent_agent_links_are_reconnected);
  tcase_add_test (t, leader_restart_during_map_change);
  tcase_add_test (t, wall_clock_jumps_have_no_effect);
  tcase_add_test (t, expired_target_entries_come_back);
  tcase_add_test (t, removal_after_store_outage_is_not_delayed);
  tcase_add_test (t, config_survives_kill_of_all_gateways);
  tcase_add_test (t, silent_target_connections);
  tcase_add_test (t, paused_target_skips_cancelled_requests);
  tcase_add_test (t, stream_without_retry_budget_is_not_moved);
  tcase_add_test (t, caller_at_stalled_ranks_gets_error_in_time);
  tcase_add_test (t, caller_of_stream_left_at_stalled_rank_gets_error);
  suite_add_tcase (s, t);
  tcase_set_timeout (busy_case, 40);
  tcase_add_checked_fixture (busy_case, setup_busy, p_stop_all);
  tcase_add_test (busy_case, no_retry_if_caller_leaves_first);
  suite_add_tcase (s, busy_case);
  return t_run_suite (s);
}
