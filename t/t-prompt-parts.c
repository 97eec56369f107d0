/*
 * A fleet of gateways stops sending requests whose prompts share a part that
 * crashes targets, and goes on serving requests that share their other parts.
 */
#include "harness.h"
#include "platform-harness.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define BASE 18000
#define RANK_1 (BASE + 3)
#define N_RANKS 8
#define N_GATEWAYS 3
#define BAD_PART "dead0"
/** The part that all prompts begin with. */
#define FIRST_PART "f1257"
/** Target crashes by which the platform expects the part to be known. */
#define KNOWN_CRASHES 5
/** Requests with the part that may reach targets after that. */
#define LATE_ARRIVALS_MAX 3
/** Time after the last of those crashes within which requests do not count. */
#define CONTACT_MS 3000
/** Time for an update to propagate from one gateway to all others. */
#define PROPAGATION_MS 500
/** Time until a crashed target has restarted and is listed again. */
#define RESTART_MS 400

/** Bad requests that are sent, far more than may crash targets. */
#define N_BAD 16

static pid_t gateways[N_GATEWAYS + 1];
static int n_requests;

/* @part: crashes targets from now on */
static void
make_part_fatal (const char *part)
{
  g_autofree char *call = g_strconcat ("POST /test/crasher?part=", part, NULL);

  for (int i = 0; i < N_RANKS; i++)
    g_free (p_call_standin (RANK_1 + i, call, ""));
}

static void
start_fleet (const char *form_ms)
{
  p_start_platform (BASE, "--ranks", "8", "--form-ms", form_ms, NULL);
  for (int n = 1; n <= N_GATEWAYS; n++)
    gateways[n] = p_start_ready_gateway (BASE, n);
  make_part_fatal (BAD_PART);
  n_requests = 0;
}

/* A group that opens again at once. */
static void
setup (void)
{
  start_fleet ("0");
}

/* A group that takes its time, so that requests gather. */
static void
setup_forming (void)
{
  start_fleet ("1200");
}

/* A request that no other is equal to; free with g_free().
 * @part: a shared part of its prompt, after the one that all share */
static char *
build_request (const char *kind, const char *part)
{
  int k = n_requests++;
  g_autofree char *id = g_strdup_printf ("%s-%d", kind, k);
  g_autofree char *headers = g_strdup_printf (
      "Comfreypost-Token-Count: 10,80\r\n"
      "Comfreypost-Prefix-Hash: " FIRST_PART ":40,%s:300,%x:20\r\n",
      part, 0x1000 + k);

  return p_build_request ("POST /chat/a", id, headers, id);
}

/* Sends a request to the gateways in turn; returns the status. */
static int
send_one (const char *kind, const char *part)
{
  g_autofree char *req = build_request (kind, part);
  g_autofree char *a
      = p_round_trip (p_front_port (BASE, 1 + n_requests % N_GATEWAYS), req);

  return p_parse_status (a);
}

static double
count_crashes (void)
{
  return p_sum_runs (RANK_1, N_RANKS, "crashes");
}

/* Sends requests with the bad part one after the other, each once the target
 * that the previous one may have crashed is up again. */
static void
send_bad_requests (int n)
{
  for (int i = 0; i < n; i++)
    {
      send_one ("bad", BAD_PART);
      usleep (RESTART_MS * 1000);
    }
}

/* Unequal requests with a common part crash one target after another. */
START_TEST (part_that_crashes_targets_is_quarantined)
{
  send_bad_requests (N_BAD);
  ck_assert_double_ge (count_crashes (), 1);
  ck_assert_double_le (count_crashes (), KNOWN_CRASHES);
  for (int i = 0; i < 2 * N_GATEWAYS; i++)
    ck_assert_int_eq (send_one ("bad", BAD_PART), 503);
}
END_TEST

START_TEST (requests_that_share_other_parts_are_served)
{
  int n_ok = 0;

  for (int i = 0; i < N_BAD; i++)
    {
      send_one ("bad", BAD_PART);
      usleep (RESTART_MS * 1000);
      send_one ("sound", "50d");
    }
  for (int i = 0; i < 30; i++)
    n_ok += send_one ("sound", "50d") == 200;
  ck_assert_int_eq (n_ok, 30);
  ck_assert_double_le (count_crashes (), KNOWN_CRASHES);
}
END_TEST

/* Targets have worked on the part before, as on all others of the prompt. */
START_TEST (part_that_was_sound_before_is_quarantined)
{
  int n_ok = 0;

  make_part_fatal ("0");
  for (int i = 0; i < 2 * N_GATEWAYS; i++)
    n_ok += send_one ("bad", BAD_PART) == 200
            && send_one ("sound", "50d") == 200;
  ck_assert_int_eq (n_ok, 2 * N_GATEWAYS);
  make_part_fatal (BAD_PART);
  for (int i = 0; i < N_BAD; i++)
    {
      send_one ("bad", BAD_PART);
      usleep (RESTART_MS * 1000);
      send_one ("sound", "50d");
    }
  for (int i = 0; i < N_GATEWAYS; i++)
    {
      ck_assert_int_eq (send_one ("bad", BAD_PART), 503);
      ck_assert_int_eq (send_one ("sound", "50d"), 200);
    }
  ck_assert_double_le (count_crashes (), KNOWN_CRASHES);
}
END_TEST

START_TEST (part_is_known_after_a_gateway_was_killed)
{
  send_bad_requests (N_BAD);
  usleep (PROPAGATION_MS * 1000);
  p_signal (gateways[1], SIGKILL);
  gateways[1] = p_start_ready_gateway (BASE, 1);
  usleep (2 * PROPAGATION_MS * 1000);
  for (int i = 0; i < 2 * N_GATEWAYS; i++)
    ck_assert_int_eq (send_one ("bad", BAD_PART), 503);
  ck_assert_double_le (count_crashes (), KNOWN_CRASHES);
}
END_TEST

START_TEST (part_is_known_after_all_gateways_were_killed)
{
  for (int i = 0; i < N_RANKS; i++)
    p_start_agent (BASE, RANK_1 + i);
  usleep (2 * PROPAGATION_MS * 1000);
  send_bad_requests (N_BAD);
  usleep (PROPAGATION_MS * 1000);
  p_restart_gateways (BASE, gateways, N_GATEWAYS);
  usleep (2 * PROPAGATION_MS * 1000);
  for (int i = 0; i < 2 * N_GATEWAYS; i++)
    ck_assert_int_eq (send_one ("bad", BAD_PART), 503);
  ck_assert_double_le (count_crashes (), KNOWN_CRASHES);
}
END_TEST

/** Load of the test below. */
#define ROUNDS 120
#define ROUND_MS 100
#define SOUND_PER_ROUND 3

/* Like count_crashes(), while targets may be down. */
static double
count_crashes_meanwhile (void)
{
  static double counts[N_RANKS];
  double sum = 0;

  for (int i = 0; i < N_RANKS; i++)
    {
      g_autofree char *a
          = p_round_trip (RANK_1 + i, "GET /test/runs HTTP/1.1\r\n"
                                      "Host: stand-in\r\n\r\n");

      if (p_parse_status (a) == 200)
        counts[i] = p_json_number (a, "crashes");
      sum += counts[i];
    }
  return sum;
}

/* Arrivals at the targets of requests whose ids begin with @prefix, later than
 * @since_ms. */
static int
count_arrivals (const char *prefix, gint64 since_ms)
{
  int n = 0;

  for (int i = 0; i < N_RANKS; i++)
    {
      g_autofree char *list
          = p_call_standin (RANK_1 + i, "GET /test/arrivals", "");
      const char *at = list;

      while ((at = strstr (at, "\"id\"")))
        {
          const char *id = strchr (at + 4, '"') + 1;

          at = id;
          n += g_str_has_prefix (id, prefix)
               && p_json_number (strstr (id, "\"at-ms\""), "at-ms")
                      > (double)since_ms;
        }
    }
  return n;
}

/* Requests come whether earlier ones are answered or not, and gather while the
 * group forms again: the first to be sent then are bad and sound ones. */
START_TEST (part_is_quarantined_though_requests_gather)
{
  const char *const sound_parts[] = { "50d1", "50d2", "50d3" };
  int n_fds = 0;
  int fds[ROUNDS * (SOUND_PER_ROUND + 1)];
  gint64 known_ms = 0;
  int n_late = 0;
  int n_ok = 0;

  for (int r = 0; r < ROUNDS; r++)
    {
      for (int i = 0; i <= SOUND_PER_ROUND; i++)
        {
          g_autofree char *req = i == SOUND_PER_ROUND
                                     ? build_request ("bad", BAD_PART)
                                     : build_request ("sound", sound_parts[i]);

          fds[n_fds] = p_connect (p_front_port (BASE, 1 + n_fds % N_GATEWAYS));
          p_send (fds[n_fds++], req);
        }
      usleep (ROUND_MS * 1000);
      if (known_ms == 0 && count_crashes_meanwhile () >= KNOWN_CRASHES)
        known_ms = g_get_monotonic_time () / 1000;
    }
  usleep (RESTART_MS * 1000);
  if (known_ms > 0)
    n_late = count_arrivals ("bad", known_ms + CONTACT_MS);
  printf ("crashes=%g late=%d\n", count_crashes (), n_late);
  ck_assert_int_le (n_late, LATE_ARRIVALS_MAX);
  for (int i = 0; i < 20; i++)
    n_ok += send_one ("sound", sound_parts[i % 3]) == 200;
  ck_assert_int_eq (n_ok, 20);
  for (int i = 0; i < n_fds; i++)
    close (fds[i]);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("prompt-parts");
  TCase *single = tcase_create ("single");
  TCase *forming = tcase_create ("forming");

  tcase_set_tags (single, "parts");
  tcase_set_timeout (single, 60);
  tcase_add_checked_fixture (single, setup, p_stop_all);
  tcase_add_test (single, part_that_crashes_targets_is_quarantined);
  tcase_add_test (single, requests_that_share_other_parts_are_served);
  tcase_add_test (single, part_that_was_sound_before_is_quarantined);
  tcase_add_test (single, part_is_known_after_a_gateway_was_killed);
  tcase_add_test (single, part_is_known_after_all_gateways_were_killed);
  suite_add_tcase (s, single);
  tcase_set_tags (forming, "parts");
  tcase_set_timeout (forming, 60);
  tcase_add_checked_fixture (forming, setup_forming, p_stop_all);
  tcase_add_test (forming, part_is_quarantined_though_requests_gather);
  suite_add_tcase (s, forming);
  return t_run_suite (s);
}
