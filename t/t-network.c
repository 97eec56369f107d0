/*
 * What a network, a clock and many ends at once do to the gateway's
 * processes: connections that fall silent, cuts of one way, jumps of the
 * time of day, entries that lapse, all gateways killed.
 */
#include "harness.h"
#include "platform-harness.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

#define BASE 23000
/** A pass at even load: about half of the 120 ms that callers accept between
 * two events, so that an uneven map is worth mending. */
#define STEP_MS "60"
/** When a start began, in Unix ms: later than all of a test's stand-ins. */
#define LATER_START "4000000000000"
/** Tokens of an event. */
#define STRIDE 4
/** What one of three gateways may have at once: 12 slots a rank, shared out
 * with a quarter more. */
#define SHARE (5 * N_RANKS)
/** Callers of streams leave 2 s after they came; some ms less. */
#define CALLER_STAYS_MS 1980
/** Less than a stream may wait for room, 1.2 s. */
#define WAITS_MS 1140
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

/* Passes of 70 ms at the map that a group forms with, 110 ms in a crowd. */
static void
setup_crowded (void)
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

/* Whether gateway @n answers a path with 200 within @ms. */
static gboolean
comes_into_force (int n, const char *method_and_path, int ms)
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
put (const char *key, const char *value)
{
  g_autofree char *call = g_strdup_printf ("POST /test/put?key=%s", key);

  g_free (p_call_standin (STORE, call, value));
}

/* A watch whose connection fell silent is made anew when its answer is
 * overdue; it learns what it missed. */
START_TEST (a_silent_watch_is_made_anew)
{
  pid_t proxy = p_start_fault_proxy (STORE_PROXY, STORE);

  p_overrides.store = STORE_PROXY;
  p_start_ready_gateway (BASE, 1);
  p_signal (proxy, SIGUSR1);
  put ("op/config", CONFIG ("5", "/five/"));
  ck_assert (comes_into_force (1, "GET /five/", 8000));
}
END_TEST

/* Calls reach the store, answers do not come back: peers teach the rest. */
START_TEST (answers_that_do_not_come_back)
{
  pid_t proxy = p_start_fault_proxy (STORE_PROXY, STORE);

  p_overrides.store = STORE_PROXY;
  p_start_ready_gateway (BASE, 1);
  p_overrides.store = 0;
  p_start_ready_gateway (BASE, 2);
  p_signal (proxy, SIGUSR2);
  usleep (200000);
  put ("op/config", CONFIG ("5", "/five/"));
  ck_assert (comes_into_force (2, "GET /five/", 1500));
  ck_assert (comes_into_force (1, "GET /five/", 3000));
}
END_TEST

static double
mixed_passes (void)
{
  g_autofree char *a = p_call_standin (RANK_1, "GET /test/runs", "");

  return p_json_number (a, "mixed");
}

/* Links between agents and the leader fall silent: they are made anew, and
 * maps go on being changed. */
START_TEST (silent_links_of_agents_are_made_anew)
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
  ck_assert_double_eq (mixed_passes (), 0);
  for (gsize i = 0; i < G_N_ELEMENTS (fds); i++)
    close (fds[i]);
}
END_TEST

/* The first to lead is killed in the middle of a change and is back at
 * once: one of the two leads, and no pass has two maps. */
START_TEST (a_leader_that_returns_in_mid_change)
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
  ck_assert_double_eq (mixed_passes (), 0);
  for (gsize i = 0; i < G_N_ELEMENTS (fds); i++)
    close (fds[i]);
}
END_TEST

/* Durations and deadlines do not follow the time of day. */
START_TEST (the_time_of_day_does_not_matter)
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

/* Entries lapse while the store is away and are back a second after it: the
 * targets serve all the while.  One that does not come back is gone. */
START_TEST (entries_that_lapse_come_back)
{
  const char back[] = "{\"service\":\"desk\",\"addr\":\"127.0.0.1:23001\","
                      "\"zone\":\"dc1\",\"version\":\"v1\",\"slots\":6,"
                      "\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":9,"
                      "\"born\":" LATER_START "}";

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
        put ("servers/desk-0", back);
      ck_assert_int_eq (ask_status (1, "POST /order/a", "l"), 200);
      usleep (50000);
    }
  ck_assert (
      p_wait_for_log_count (LOG_1, "target=desk-1 service=desk", 2, 3000));
  ck_assert_int_eq (ask_status (1, "POST /order/a", "l"), 200);
}
END_TEST

/* A removal that the store tells after its return is none that it missed: the
 * target gets work no longer than a drain may take, here much shorter than
 * lapsed entries get to come back. */
START_TEST (a_removal_after_the_return_keeps_to_the_drain)
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

/* Nothing of the processes lasts, and nothing is missing for it. */
START_TEST (all_gateways_are_killed_at_once)
{
  pid_t pids[3];

  for (int n = 1; n <= 3; n++)
    pids[n - 1] = p_start_gateway (BASE, n);
  for (int n = 1; n <= 3; n++)
    p_wait_until_ready (BASE, n);
  put ("op/config", CONFIG ("5", "/five/"));
  for (int n = 1; n <= 3; n++)
    ck_assert (comes_into_force (n, "GET /five/", 2000));
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

/* Kept connections to a target fall silent: what may be repeated is answered
 * by another target in time, what may not runs once at most, and new
 * connections to the target are used again. */
START_TEST (silent_connections_to_a_target)
{
  const char behind[] = "{\"service\":\"desk\",\"addr\":\"127.0.0.1:23052\","
                        "\"zone\":\"dc1\",\"version\":\"v1\",\"slots\":6,"
                        "\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":9,"
                        "\"born\":" LATER_START "}";
  pid_t proxy = p_start_fault_proxy (DESK_PROXY, DESK_1);
  int lost = 0;

  p_start_ready_gateway (BASE, 1);
  put ("servers/desk-0", behind);
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
  /* Each kept connection costs one order at most. */
  ck_assert_int_le (lost, 6);
  ck_assert_double_eq (p_sum_runs (DESK_1, 2, "doubled"), 0);
  ck_assert_int_eq (ask_status (1, "POST /order/a", "last"), 200);
}
END_TEST

/* A stream of @events events at gateway 1; its socket. */
static int
begin_stream (const char *id, int events)
{
  g_autofree char *size
      = g_strdup_printf ("Comfreypost-Token-Count: 10,%d\r\n", events * STRIDE);
  g_autofree char *req = p_build_request ("POST /chat/a", id, size, "");
  int fd = p_connect (p_front_port (BASE, 1));

  p_send (fd, req);
  return fd;
}

static double
runs_of_ranks (void)
{
  return p_sum_runs (RANK_1, N_RANKS, "runs");
}

/* Waits up to @ms until ranks have @n runs. */
static gboolean
ranks_run (double n, int ms)
{
  for (int i = 0; i <= ms && runs_of_ranks () < n; i += 20)
    usleep (20000);
  return runs_of_ranks () == n;
}

/* VMs stand still, and wake after the caller has left: what they find of it
 * is not begun. */
START_TEST (a_woken_target_begins_nothing_for_who_left)
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

/* A target that is slow to begin was left for another one, though the budget
 * allowed no second attempt: the caller got 502 while its work went on. */
START_TEST (a_stream_without_a_retry_stays_at_its_target)
{
  g_autofree char *answer = NULL;
  int fds[3];

  p_overrides.allow_one_retry = TRUE;
  p_start_ready_gateway (BASE, 1);
  fds[0] = begin_stream ("s1", 4000);
  ck_assert (ranks_run (1, 2000));
  p_inject_fault (RANK_1, N_RANKS, "tardy", 2);
  fds[1] = begin_stream ("s2", 10);
  ck_assert (ranks_run (3, 2000));
  fds[2] = begin_stream ("s3", 10);
  answer = p_read_answer (fds[2], 2 * CALLER_STAYS_MS);
  ck_assert_int_eq (p_parse_status (answer), 200);
  ck_assert_double_eq (runs_of_ranks (), 4);
  for (gsize i = 0; i < G_N_ELEMENTS (fds); i++)
    close (fds[i]);
}
END_TEST

/* Both tries of a stream met ranks that stand still, while others go on: its
 * caller is told before it leaves, 2 s after it came. */
START_TEST (callers_at_ranks_that_stand_still_are_told)
{
  g_autofree char *answer = NULL;
  int lively;
  int stream;

  p_start_ready_gateway (BASE, 1);
  lively = begin_stream ("s1", 4000);
  ck_assert (ranks_run (1, 2000));
  p_inject_fault (RANK_1, N_RANKS, "hang", 1);
  stream = begin_stream ("s2", 10);
  answer = p_read_answer (stream, CALLER_STAYS_MS);
  ck_assert_int_eq (p_parse_status (answer), 502);
  ck_assert_double_eq (runs_of_ranks (), 3);
  close (lively);
  close (stream);
}
END_TEST

/* The gateway learns from it that first events take long. */
static void
show_first_event_late (void)
{
  p_signal (platform, SIGSTOP);
  usleep (450000);
  p_signal (platform, SIGCONT);
  usleep (200000);
}

/* A stream that had to wait for room meets a rank that stands still: another
 * one could not show a first event before the caller leaves, so only one is
 * left with work for nobody. */
START_TEST (none_is_sent_once_more_when_its_caller_leaves_first)
{
  g_autofree char *answer = NULL;
  int busy[SHARE];
  int stream;

  p_start_ready_gateway (BASE, 1);
  p_start_ready_gateway (BASE, 2);
  usleep (1500000);
  for (int i = 0; i < SHARE; i++)
    {
      g_autofree char *id = g_strdup_printf ("b%d", i);

      busy[i] = begin_stream (id, 4000);
      if (i == 0)
        show_first_event_late ();
      /* The second is at another rank than the first. */
      if (i == 1)
        ck_assert (ranks_run (2, 3000));
    }
  ck_assert (ranks_run (SHARE, 3000));
  usleep (300000);
  stream = begin_stream ("s3", 10);
  usleep (WAITS_MS * 1000);
  ck_assert_double_eq (runs_of_ranks (), SHARE);
  p_inject_fault (RANK_1, N_RANKS, "hang", 1);
  /* It gets the rank of the first, which shows no work then; the rank of the
   * second does. */
  close (busy[0]);
  usleep (20000);
  for (int i = 2; i < SHARE; i++)
    close (busy[i]);
  answer = p_read_answer (stream, CALLER_STAYS_MS - WAITS_MS - 20);
  ck_assert_int_eq (p_parse_status (answer), 502);
  ck_assert_double_eq (runs_of_ranks (), SHARE + 1);
  close (busy[1]);
  close (stream);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("network");
  TCase *t = tcase_create ("network");
  TCase *crowded = tcase_create ("crowded");

  tcase_set_timeout (t, 40);
  tcase_add_checked_fixture (t, setup, p_stop_all);
  tcase_add_test (t, a_silent_watch_is_made_anew);
  tcase_add_test (t, answers_that_do_not_come_back);
  tcase_add_test (t, silent_links_of_agents_are_made_anew);
  tcase_add_test (t, a_leader_that_returns_in_mid_change);
  tcase_add_test (t, the_time_of_day_does_not_matter);
  tcase_add_test (t, entries_that_lapse_come_back);
  tcase_add_test (t, a_removal_after_the_return_keeps_to_the_drain);
  tcase_add_test (t, all_gateways_are_killed_at_once);
  tcase_add_test (t, silent_connections_to_a_target);
  tcase_add_test (t, a_woken_target_begins_nothing_for_who_left);
  tcase_add_test (t, a_stream_without_a_retry_stays_at_its_target);
  tcase_add_test (t, callers_at_ranks_that_stand_still_are_told);
  suite_add_tcase (s, t);
  tcase_set_timeout (crowded, 40);
  tcase_add_checked_fixture (crowded, setup_crowded, p_stop_all);
  tcase_add_test (crowded, none_is_sent_once_more_when_its_caller_leaves_first);
  suite_add_tcase (s, crowded);
  return t_run_suite (s);
}
