/*
 * Rank groups before real processes: who leads them, how their maps change,
 * and what callers get while a group forms.
 */
#include "harness.h"
#include "platform-harness.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

#define BASE 25000
#define RANK_1 (BASE + 3)
#define N_RANKS 4
/** A pass at even load: about half of the 120 ms that callers accept between
 * two events, so that an uneven map is worth mending. */
#define STEP_MS "60"

static pid_t gateway;

static void
setup (void)
{
  p_start_platform (BASE, "--ranks", "4", "--step-ms", STEP_MS, NULL);
  gateway = p_start_ready_gateway (BASE, 1);
}

static void
fault_ranks (const char *kind, int x)
{
  p_inject_fault (RANK_1, N_RANKS, kind, x);
}

static double
at_ranks (const char *what)
{
  return p_sum_runs (RANK_1, N_RANKS, what);
}

/* While a group forms, its ranks refuse all work: a request waits until the
 * group makes passes again, and its attempts are not used up. */
START_TEST (requests_wait_for_a_group_to_open)
{
  g_autofree char *req = p_build_request ("POST /chat/a", "o1",
                                          "Comfreypost-Token-Count: 100,40\r\n"
                                          "Comfreypost-Deadline-Ms: 8000\r\n",
                                          "x");
  g_autofree char *first = NULL;
  g_autofree char *a = NULL;
  int fd;

  fault_ranks ("broken", 1000);
  first = p_build_request ("POST /chat/a", "o0",
                           "Comfreypost-Token-Count: 100,40\r\n", "x");
  g_free (p_round_trip (p_front_port (BASE, 1), first));
  fd = p_connect (p_front_port (BASE, 1));
  p_send (fd, req);
  usleep (500000);
  fault_ranks ("none", 0);
  a = p_read_answer (fd, 4000);
  ck_assert_msg (p_parse_status (a) == 200, "%s", a);
  close (fd);
}
END_TEST

/* The leader of a group stops: while it still ends a stream, which takes
 * seconds, the next gateway leads. */
START_TEST (a_group_that_stays_broken_refuses_at_once)
{
  g_autofree char *probe = p_build_request ("POST /chat/a", "q0", NULL, "x");
  g_autofree char *req = p_build_request (
      "POST /chat/a", "q1", "Comfreypost-Deadline-Ms: 8000\r\n", "x");
  g_autofree char *answer = NULL;
  const char *after;
  gint64 start;

  fault_ranks ("broken", 100000);
  g_free (p_round_trip (p_front_port (BASE, 1), probe));
  usleep (5200000);
  /* One may be the request that is sent to see. */
  g_free (p_round_trip (p_front_port (BASE, 1), probe));
  start = g_get_monotonic_time ();
  answer = p_round_trip (p_front_port (BASE, 1), req);
  ck_assert_int_eq (p_parse_status (answer), 503);
  ck_assert_int_lt (g_get_monotonic_time () - start, 300000);
  after = strstr (answer, "Retry-After: ");
  ck_assert_ptr_nonnull (after);
  ck_assert_double_gt (g_ascii_strtod (after + 13, NULL), 1.5);
}
END_TEST

START_TEST (a_stopping_leader_hands_on_the_lead)
{
  g_autofree char *stream = p_build_request (
      "POST /chat/a", "l1", "Comfreypost-Token-Count: 10,4000\r\n", "");
  g_autofree char *log_1 = g_strdup_printf ("t/out/gateway-%d-1.log", BASE);
  g_autofree char *log_2 = g_strdup_printf ("t/out/gateway-%d-2.log", BASE);
  pid_t second = p_start_gateway (BASE, 2);
  gboolean first_leads;
  pid_t leader;
  int fd;

  p_wait_until_ready (BASE, 2);
  for (int i = 0; i < N_RANKS; i++)
    p_start_agent (BASE, RANK_1 + i);
  usleep (2500000);
  first_leads = p_wait_for_log (log_1, "took-the-lead", 20);
  ck_assert_int_ne (first_leads, p_wait_for_log (log_2, "took-the-lead", 20));
  leader = first_leads ? gateway : second;
  fd = p_connect (p_front_port (BASE, first_leads ? 1 : 2));
  p_send (fd, stream);
  usleep (100000);
  kill (leader, SIGTERM);
  ck_assert (
      p_wait_for_log (first_leads ? log_2 : log_1, "took-the-lead", 3500));
  ck_assert_int_eq (kill (leader, 0), 0);
  close (fd);
}
END_TEST

/* Ranks copy experts for seconds when their leader is killed: the next one
 * hears of them at once, though nothing changes there. */
START_TEST (a_leader_killed_in_mid_change_is_followed)
{
  g_autofree char *log_1 = g_strdup_printf ("t/out/gateway-%d-1.log", BASE);
  g_autofree char *log_2 = g_strdup_printf ("t/out/gateway-%d-2.log", BASE);
  gboolean first_leads;
  pid_t second;
  int fds[8];

  p_stop_all ();
  p_start_platform (BASE, "--ranks", "4", "--step-ms", STEP_MS, "--copy-ms",
                    "9000", NULL);
  gateway = p_start_gateway (BASE, 1);
  second = p_start_gateway (BASE, 2);
  p_wait_until_ready (BASE, 1);
  p_wait_until_ready (BASE, 2);
  for (int i = 0; i < N_RANKS; i++)
    p_start_agent (BASE, RANK_1 + i);
  p_start_streams (BASE, fds, G_N_ELEMENTS (fds));
  ck_assert (p_wait_for_log (log_1, "to=preparing", 2000)
             || p_wait_for_log (log_2, "to=preparing", 4000));
  first_leads = p_wait_for_log (log_1, "to=preparing", 20);
  p_signal (first_leads ? gateway : second, SIGKILL);
  ck_assert (
      p_wait_for_log (first_leads ? log_2 : log_1, "nothing-pending", 3200));
  for (gsize i = 0; i < G_N_ELEMENTS (fds); i++)
    close (fds[i]);
}
END_TEST

/* Eight in ten orders get no answer and come a second late: maps change
 * nevertheless, always at one pass.  In 5 s 3 changes came about with one
 * try each 80 ms from the leader, 8 with tries each 20 ms at the rank. */
START_TEST (maps_change_while_orders_come_late)
{
  g_autofree char *log = g_strdup_printf ("t/out/gateway-%d-1.log", BASE);
  int fds[8];

  p_stop_all ();
  p_start_platform (BASE, "--ranks", "4", "--step-ms", STEP_MS, "--shift-s",
                    "0.4", NULL);
  gateway = p_start_ready_gateway (BASE, 1);
  for (int i = 0; i < N_RANKS; i++)
    {
      p_start_agent (BASE, RANK_1 + i);
      g_free (
          p_call_standin (RANK_1 + i, "POST /test/late-orders?tenths=8", ""));
    }
  p_start_streams (BASE, fds, G_N_ELEMENTS (fds));
  usleep (5000000);
  ck_assert_uint_ge (p_count_in_log (log, "why=changed"), 5);
  ck_assert_double_eq (at_ranks ("mixed"), 0);
  for (gsize i = 0; i < G_N_ELEMENTS (fds); i++)
    close (fds[i]);
}
END_TEST

/** Ranks of a group of which some are read a tenth as often as others, and
 * streams that keep them busy. */
#define MANY_RANKS 34
#define MANY_STREAMS 34

/* Such a group, whose demand shifts, in place of the fixture's; with @mute its
 * ranks carry orders out without an answer. */
static void
begin_many (int *fds, gboolean mute)
{
  p_stop_all ();
  p_start_platform (BASE, "--ranks", G_STRINGIFY (MANY_RANKS), "--step-ms",
                    STEP_MS, "--shift-s", "0.8", NULL);
  gateway = p_start_ready_gateway (BASE, 1);
  for (int i = 0; i < MANY_RANKS; i++)
    {
      p_start_agent (BASE, RANK_1 + i);
      if (mute)
        g_free (p_call_standin (RANK_1 + i, "POST /test/mute-orders", ""));
    }
  p_start_streams (BASE, fds, MANY_STREAMS);
}
/** A change may take so long from the end of its hold until the leader may
 * plan the next: a pass, the agents' reading of it, and a margin. */
#define SWITCH_MS 400

static int
by_length (gconstpointer a, gconstpointer b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

/* The median of the times between lines of @from and the next of @to in @log,
 * while the gateway leads: what else runs on the machine makes one longer, and
 * the faults looked for make most of them longer. */
static double
median_ms (const char *log, const char *from, const char *to)
{
  g_autoptr (GArray) times = g_array_new (FALSE, FALSE, sizeof (double));
  g_autofree char *text = NULL;
  g_auto (GStrv) lines = NULL;
  double begun = 0;

  ck_assert (g_file_get_contents (log, &text, NULL, NULL));
  lines = g_strsplit (text, "\n", -1);
  for (char **l = lines; *l; l++)
    {
      const char *t = strstr (*l, " t=");
      double at = t ? g_ascii_strtod (t + 3, NULL) : 0;

      if (t && strstr (*l, from) && !strstr (*l, " fence=0 "))
        begun = at;
      if (t && begun > 0 && strstr (*l, to))
        {
          at -= begun;
          g_array_append_val (times, at);
          begun = 0;
        }
    }
  ck_assert_uint_gt (times->len, 0);
  g_array_sort (times, by_length);
  return g_array_index (times, double, times->len / 2) * 1000;
}

/*
 * In a group of 192 ranks a map was in use everywhere 0.1 s after the pass
 * that was held for it, and yet the leader planned nothing for up to a second
 * more.  An order to prepare had got no answer within the 20 ms that its agent
 * waits (28 kB of it, on a VM with 0.15 cores); the rank's state showed that
 * it was carried out, so it counted as done, but the agent went on reading its
 * rank once a second as if no copy were under way.  Seen in agents' logs: the
 * last ranks told of the new map 0.6 s after the others.
 */
START_TEST (a_change_ends_soon_where_orders_get_no_answer)
{
  g_autofree char *log = g_strdup_printf ("t/out/gateway-%d-1.log", BASE);
  int fds[MANY_STREAMS];

  begin_many (fds, TRUE);
  ck_assert (p_wait_for_log_count (log, "why=changed", 3, 8000));
  ck_assert_double_lt (median_ms (log, "why=released", "why=changed"),
                       SWITCH_MS);
  for (gsize i = 0; i < G_N_ELEMENTS (fds); i++)
    close (fds[i]);
}
END_TEST

/** A group that formed anew is settled so soon after its leader learns of it:
 * one reading of every rank, and a margin. */
#define SETTLE_MS 400

/*
 * After all VMs had lost power a group of 192 ranks opened with its first map,
 * skew 3.3 and passes of 210 to 260 ms, and its leader planned nothing for
 * 0.9 s: it has to hear of every rank once, and most are read once a second.
 * Seen in the seeds' logs: E1503 why=new-epoch, 0.9 s, E1502 nothing-pending.
 */
START_TEST (a_group_that_formed_anew_is_settled_soon)
{
  g_autofree char *log = g_strdup_printf ("t/out/gateway-%d-1.log", BASE);
  int fds[MANY_STREAMS];

  begin_many (fds, FALSE);
  ck_assert (p_wait_for_log (log, "why=changed", 8000));
  for (int i = 0; i < 2; i++)
    {
      guint n = p_count_in_log (log, "why=nothing-pending");

      g_free (p_call_standin (RANK_1 + i, "POST /test/restart?same=1", ""));
      ck_assert (
          p_wait_for_log_count (log, "why=nothing-pending", n + 1, 5000));
      usleep (300000);
    }
  ck_assert_double_lt (median_ms (log, "why=new-epoch", "why=nothing-pending"),
                       SETTLE_MS);
  for (gsize i = 0; i < G_N_ELEMENTS (fds); i++)
    close (fds[i]);
}
END_TEST

/* Agents beside the ranks: the load is evened, every pass has one map. */
START_TEST (experts_are_placed_at_one_pass)
{
  int fds[8];
  double before;
  double after;

  for (int i = 0; i < N_RANKS; i++)
    p_start_agent (BASE, RANK_1 + i);
  p_start_streams (BASE, fds, G_N_ELEMENTS (fds));
  usleep (400000);
  before = at_ranks ("skew") / N_RANKS;
  usleep (4000000);
  after = at_ranks ("skew") / N_RANKS;
  ck_assert_double_eq (at_ranks ("mixed"), 0);
  ck_assert_double_gt (before, 1.3);
  ck_assert_double_lt (after, before - 0.1);
  for (gsize i = 0; i < G_N_ELEMENTS (fds); i++)
    close (fds[i]);
}
END_TEST

/* A rank starts again under its id while maps change: the change in hand is
 * given up, the group gets its maps again, and no pass ever has two. */
START_TEST (a_rank_restarts_under_its_id_in_mid_change)
{
  g_autofree char *log = g_strdup_printf ("t/out/gateway-%d-1.log", BASE);
  guint before;
  int fds[8];

  p_stop_all ();
  p_start_platform (BASE, "--ranks", "4", "--step-ms", STEP_MS, "--shift-s",
                    "0.4", "--copy-ms", "60", NULL);
  gateway = p_start_ready_gateway (BASE, 1);
  for (int i = 0; i < N_RANKS; i++)
    p_start_agent (BASE, RANK_1 + i);
  p_start_streams (BASE, fds, G_N_ELEMENTS (fds));
  ck_assert (p_wait_for_log (log, "why=changed", 4000));
  for (int i = 0; i < 3; i++)
    {
      ck_assert (p_wait_for_log_count (
          log, "to=preparing", p_count_in_log (log, "to=preparing") + 1, 4000));
      g_free (p_call_standin (RANK_1 + i, "POST /test/restart?same=1", ""));
    }
  before = p_count_in_log (log, "why=changed");
  ck_assert (p_wait_for_log_count (log, "why=changed", before + 2, 5000));
  ck_assert_double_eq (at_ranks ("mixed"), 0);
  for (gsize i = 0; i < G_N_ELEMENTS (fds); i++)
    close (fds[i]);
}
END_TEST

/* Agents that start anew know no map that the next could be told by: they say
 * so, are told it by what a group begins with, and maps go on changing. */
START_TEST (agents_that_start_anew_are_told_maps_in_whole)
{
  g_autofree char *log = g_strdup_printf ("t/out/gateway-%d-1.log", BASE);
  pid_t agents[N_RANKS];
  guint changes;
  int fds[8];

  p_stop_all ();
  p_start_platform (BASE, "--ranks", "4", "--step-ms", STEP_MS, "--shift-s",
                    "0.4", NULL);
  gateway = p_start_ready_gateway (BASE, 1);
  for (int i = 0; i < N_RANKS; i++)
    agents[i] = p_start_agent (BASE, RANK_1 + i);
  p_start_streams (BASE, fds, G_N_ELEMENTS (fds));
  ck_assert (p_wait_for_log (log, "why=changed", 5000));
  for (int i = 0; i < 2; i++)
    {
      p_signal (agents[i], SIGKILL);
      p_start_agent (BASE, RANK_1 + i);
    }
  changes = p_count_in_log (log, "why=changed");
  ck_assert (p_wait_for_log_count (log, "why=changed", changes + 2, 6000));
  ck_assert_double_eq (at_ranks ("mixed"), 0);
  for (gsize i = 0; i < G_N_ELEMENTS (fds); i++)
    close (fds[i]);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("rank-groups");
  TCase *t = tcase_create ("rank-groups");

  tcase_set_timeout (t, 30);
  tcase_add_checked_fixture (t, setup, p_stop_all);
  tcase_add_test (t, requests_wait_for_a_group_to_open);
  tcase_add_test (t, a_group_that_stays_broken_refuses_at_once);
  tcase_add_test (t, a_stopping_leader_hands_on_the_lead);
  tcase_add_test (t, a_leader_killed_in_mid_change_is_followed);
  tcase_add_test (t, maps_change_while_orders_come_late);
  tcase_add_test (t, a_change_ends_soon_where_orders_get_no_answer);
  tcase_add_test (t, a_group_that_formed_anew_is_settled_soon);
  tcase_add_test (t, experts_are_placed_at_one_pass);
  tcase_add_test (t, agents_that_start_anew_are_told_maps_in_whole);
  tcase_add_test (t, a_rank_restarts_under_its_id_in_mid_change);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
