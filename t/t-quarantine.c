/*
 * Quarantine: a fleet of gateways stops sending a request that crashes its
 * targets, but not requests that were running when targets crashed for other
 * reasons.
 */
#include "gateway/peer-crashes.h"
#include "gateway/suspect-turn.h"
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
/** The first three are seeds; the other gateways have links only to these. */
#define N_GATEWAYS 5
/** Target crashes after which a request is quarantined. */
#define CRASHES 3
/** Attempts to crash targets with.  Gateways send a suspected request in turn,
 * so most attempts at one of them come too early or too late. */
#define ATTEMPTS_MAX 40
/** Time for an update to propagate from one gateway to all others. */
#define PROPAGATION_MS 500
/** Time until a crashed target has restarted and is listed again. */
#define RESTART_MS 400

static pid_t gateways[N_GATEWAYS + 1];

static void
setup (void)
{
  p_start_platform (BASE, "--ranks", "4", NULL);
  for (int n = 1; n <= N_GATEWAYS; n++)
    gateways[n] = p_start_ready_gateway (BASE, n);
  for (int i = 0; i < N_TARGETS; i++)
    g_free (p_call_standin (DESK_1 + i, "POST /test/crasher", "boom"));
  usleep (PROPAGATION_MS * 1000);
}

/* Sends attempt number @k to gateway @n; returns the status. */
static int
send_attempt (int n, int k, const char *method_and_path, const char *body)
{
  g_autofree char *id = g_strdup_printf ("%s-%d-%d", body, n, k);
  g_autofree char *req = p_build_request (
      method_and_path, id, "Comfreypost-Token-Count: 10,80\r\n", body);
  g_autofree char *a = p_round_trip (p_front_port (BASE, n), req);

  return p_parse_status (a);
}

/* Waits until the last crashed target is up again; returns the number of
 * crashes so far. */
static double
count_crashes (void)
{
  usleep (RESTART_MS * 1000);
  return p_sum_runs (DESK_1, N_TARGETS, "crashes");
}

/* Sends attempts to gateway @n until there were @want crashes. */
static void
crash_targets (int n, int want)
{
  for (int k = 0; k < ATTEMPTS_MAX && count_crashes () < want; k++)
    {
      send_attempt (n, k, "POST /order/a", "boom");
    }
  ck_assert_double_eq (count_crashes (), want);
}

START_TEST (crashing_request_is_quarantined_after_three_crashes)
{
  crash_targets (1, CRASHES);
  for (int k = 0; k < 4; k++)
    {
      ck_assert_int_eq (send_attempt (1, 100 + k, "POST /order/a", "boom"),
                        503);
      ck_assert_int_eq (send_attempt (1, 200 + k, "POST /order/a", "fine"),
                        200);
    }
  ck_assert_double_eq (count_crashes (), CRASHES);
}
END_TEST

START_TEST (quarantine_applies_to_all_gateways)
{
  crash_targets (1, 1);
  crash_targets (2, 2);
  crash_targets (4, CRASHES);
  usleep (PROPAGATION_MS * 1000);
  for (int n = 1; n <= N_GATEWAYS; n++)
    ck_assert_int_eq (send_attempt (n, 100, "POST /order/a", "boom"), 503);
  ck_assert_double_eq (count_crashes (), CRASHES);
}
END_TEST

START_TEST (a_restarted_gateway_learns_of_crashes)
{
  crash_targets (1, CRASHES);
  usleep (PROPAGATION_MS * 1000);
  p_signal (gateways[1], SIGKILL);
  gateways[1] = p_start_ready_gateway (BASE, 1);
  usleep (2 * PROPAGATION_MS * 1000);
  ck_assert_int_eq (send_attempt (1, 100, "POST /order/a", "boom"), 503);
  ck_assert_double_eq (count_crashes (), CRASHES);
}
END_TEST

START_TEST (crashes_are_known_after_all_gateways_were_killed)
{
  for (int i = 0; i < N_RANKS; i++)
    p_start_agent (BASE, RANK_1 + i);
  usleep (2 * PROPAGATION_MS * 1000);
  crash_targets (1, CRASHES);
  usleep (PROPAGATION_MS * 1000);
  p_restart_gateways (BASE, gateways, N_GATEWAYS);
  usleep (2 * PROPAGATION_MS * 1000);
  for (int n = 1; n <= N_GATEWAYS; n++)
    ck_assert_int_eq (send_attempt (n, 100, "POST /order/a", "boom"), 503);
  ck_assert_double_eq (count_crashes (), CRASHES);
}
END_TEST

START_TEST (suspected_stream_is_not_retried)
{
  send_attempt (1, 1, "POST /chat/a", "boom");
  ck_assert_double_ge (count_crashes (), 1);
  send_attempt (2, 1, "POST /chat/a", "boom");
  ck_assert_double_le (count_crashes (), CRASHES);
  send_attempt (3, 1, "POST /chat/a", "boom");
  ck_assert_double_eq (count_crashes (), CRASHES);
}
END_TEST

START_TEST (request_that_also_succeeds_is_not_quarantined)
{
  for (int k = 0; k < 3 * CRASHES; k++)
    {
      p_inject_fault (DESK_1, 1, "lost", 1);
      p_inject_fault (DESK_1 + 1, 1, "lost", 1);
      send_attempt (1, k, "POST /quote/a", "q");
      p_inject_fault (DESK_1, N_DESKS, "none", 0);
      ck_assert_int_eq (send_attempt (1, 100 + k, "POST /quote/a", "q"), 200);
    }
}
END_TEST

static CfRequestDigest
digest_of (int i)
{
  g_autofree char *body = g_strdup_printf ("%d", i);

  return cf_request_digest ("org", "/a", body, strlen (body));
}

START_TEST (different_requests_have_different_digests)
{
  CfRequestDigest a = cf_request_digest ("o", "/p", "body", 4);
  CfRequestDigest others[] = { cf_request_digest ("x", "/p", "body", 4),
                               cf_request_digest (NULL, "/p", "body", 4),
                               cf_request_digest ("o", "/pb", "ody", 3),
                               cf_request_digest ("o/", "p", "body", 4),
                               cf_request_digest ("o", "/p", "bodz", 4) };
  CfRequestDigest same = cf_request_digest ("o", "/p", "body", 4);

  ck_assert (cf_request_digest_equal (&a, &same));
  for (gsize i = 0; i < G_N_ELEMENTS (others); i++)
    ck_assert_msg (!cf_request_digest_equal (&a, &others[i]), "%zu", i);
}
END_TEST

/* A rank that waited 1.5 s for a crashed one closes its connections too. */
START_TEST (rank_that_times_out_waiting_has_not_crashed)
{
  ck_assert (cf_quarantine_may_be_crash (0, 1500));
  ck_assert (cf_quarantine_may_be_crash (495, 1500));
  ck_assert (!cf_quarantine_may_be_crash (1499, 1500));
  ck_assert (!cf_quarantine_may_be_crash (1526, 1500));
  ck_assert (cf_quarantine_may_be_crash (5000, 0));
}
END_TEST

/* Adds a crash of the target @name at @lost_ms, during an attempt that was sent
 * 5 ms earlier. */
static gboolean
add_crash (CfQuarantine *q, const CfRequestDigest *d, const char *name,
           gint64 lost_ms)
{
  CfCrash c = { (char *)name, lost_ms - 5, lost_ms };

  return cf_quarantine_merge (q, d, &c, 1, lost_ms);
}

START_TEST (crashes_of_one_target_count_once)
{
  CfQuarantine *q = cf_quarantine_new ();
  CfRequestDigest d = digest_of (1);

  for (int i = 0; i < CRASHES; i++)
    ck_assert (!add_crash (q, &d, "i-1/1", 10 + 200 * i));
  ck_assert (!add_crash (q, &d, "i-1/2", 800));
  ck_assert (!cf_quarantine_check (q, &d, 800));
  ck_assert (add_crash (q, &d, "i-2/1", 1000));
  ck_assert (cf_quarantine_check (q, &d, 1000));
  ck_assert (!add_crash (q, &d, "i-3/1", 1200));
  ck_assert (cf_quarantine_clear (q, &d));
  ck_assert (!cf_quarantine_check (q, &d, 1300));
  cf_quarantine_free (q);
}
END_TEST

START_TEST (simultaneous_crashes_count_once)
{
  CfQuarantine *q = cf_quarantine_new ();
  CfRequestDigest d = digest_of (1);

  ck_assert (!add_crash (q, &d, "i-1/1", 100));
  ck_assert (!add_crash (q, &d, "i-2/1", 100));
  ck_assert (!add_crash (q, &d, "i-3/1", 102));
  ck_assert (!add_crash (q, &d, "i-4/1", 150));
  ck_assert_uint_eq (cf_quarantine_crashes (q, &d), 1);
  ck_assert (!add_crash (q, &d, "i-5/1", 300));
  ck_assert (add_crash (q, &d, "i-6/1", 500));
  cf_quarantine_free (q);
}
END_TEST

/* Consecutive crashes that arrive in any order from other gateways. */
START_TEST (crashes_count_in_any_order)
{
  const char *const names[] = { "i-1/1", "i-2/1", "i-3/1" };
  const int orders[][CRASHES] = { { 0, 1, 2 }, { 0, 2, 1 }, { 1, 0, 2 },
                                  { 1, 2, 0 }, { 2, 0, 1 }, { 2, 1, 0 } };

  for (gsize o = 0; o < G_N_ELEMENTS (orders); o++)
    {
      CfQuarantine *q = cf_quarantine_new ();
      CfRequestDigest d = digest_of (1);

      for (int i = 0; i < CRASHES; i++)
        add_crash (q, &d, names[orders[o][i]], 100 + 200 * orders[o][i]);
      ck_assert (cf_quarantine_check (q, &d, 700));
      cf_quarantine_free (q);
    }
}
END_TEST

/* Prompts that differ share a part that crashes targets, and in each crash also
 * one that does not. */
START_TEST (crashes_with_a_known_cause_are_no_evidence)
{
  CfQuarantine *q = cf_quarantine_new ();
  CfRequestDigest cause = cf_prompt_part_digest ("dead");
  CfRequestDigest other = cf_prompt_part_digest ("5000");
  const char *const targets[] = { "i-1/1", "i-2/1", "i-3/1", "i-4/1", "i-5/1" };

  for (int i = 0; i < CRASHES; i++)
    {
      add_crash (q, &cause, targets[i], 200 * (i + 1));
      ck_assert (!add_crash (q, &other, targets[i], 200 * (i + 1)));
    }
  ck_assert (cf_quarantine_contains (q, &cause));
  ck_assert_uint_eq (cf_quarantine_crashes (q, &other), 0);
  ck_assert_uint_eq (cf_quarantine_size (q), 1);
  add_crash (q, &other, targets[CRASHES], 2000);
  add_crash (q, &other, targets[0], 2200);
  ck_assert (!add_crash (q, &other, targets[CRASHES + 1], 2400));
  ck_assert_uint_eq (cf_quarantine_crashes (q, &other), 2);
  cf_quarantine_free (q);
}
END_TEST

START_TEST (sound_part_has_no_record)
{
  CfQuarantine *q = cf_quarantine_new ();
  CfRequestDigest d = cf_prompt_part_digest ("5000");

  add_crash (q, &d, "i-1/1", 100);
  ck_assert (!cf_quarantine_is_sound (q, &d, 200));
  ck_assert (cf_quarantine_mark_sound (q, &d, 200));
  ck_assert (cf_quarantine_is_sound (q, &d, 200));
  ck_assert_uint_eq (cf_quarantine_size (q), 0);
  ck_assert (!cf_quarantine_mark_sound (q, &d, 300));
  cf_quarantine_free (q);
}
END_TEST

START_TEST (suspects_are_the_request_and_its_shared_parts)
{
  g_autoptr (GArray) s = cf_suspects_new ("o", "/p", "b", 1, "A1:5,b2:6,c3:7");
  g_autoptr (GArray) none = cf_suspects_new ("o", "/p", "b", 1, NULL);
  CfRequestDigest a = cf_prompt_part_digest ("a1");
  CfRequestDigest request = cf_request_digest ("o", "/p", "b", 1);
  char text[CF_SUSPECT_TEXT_SIZE];

  ck_assert_uint_eq (s->len, 3);
  ck_assert_uint_eq (none->len, 1);
  ck_assert (cf_request_digest_equal (&g_array_index (s, CfSuspect, 0).digest,
                                      &request));
  ck_assert (
      cf_request_digest_equal (&g_array_index (s, CfSuspect, 1).digest, &a));
  cf_suspect_print (&g_array_index (s, CfSuspect, 2), text);
  ck_assert_str_eq (text, "part=b2");
}
END_TEST

/* Many suspected requests, as an attacker may send, do not evict one that is
 * quarantined. */
START_TEST (number_of_records_is_bounded)
{
  CfQuarantine *q = cf_quarantine_new ();
  CfRequestDigest bad = digest_of (-1);

  for (int i = 0; i < CRASHES; i++)
    {
      g_autofree char *target = g_strdup_printf ("i-%d/1", i);

      add_crash (q, &bad, target, -1000 + 200 * i);
    }
  for (int i = 0; i < 2 * CF_QUARANTINE_MAX_RECORDS; i++)
    {
      CfRequestDigest d = digest_of (i);

      add_crash (q, &d, "i-9/1", 1 + i);
    }
  ck_assert_uint_eq (cf_quarantine_size (q), CF_QUARANTINE_MAX_RECORDS);
  ck_assert (cf_quarantine_check (q, &bad, 1));
  cf_quarantine_expire (q, CF_QUARANTINE_RETENTION_MS);
  ck_assert (cf_quarantine_check (q, &bad, CF_QUARANTINE_RETENTION_MS));
  cf_quarantine_expire (q, 3 * CF_QUARANTINE_RETENTION_MS);
  ck_assert_uint_eq (cf_quarantine_size (q), 0);
  cf_quarantine_free (q);
}
END_TEST

/* Peers would treat a request that is announced as cleared as answered. */
START_TEST (evicted_request_is_not_announced_as_cleared)
{
  CfQuarantine *q = cf_quarantine_new ();
  CfPeerMsg all;
  CfPeerMsg held;

  for (int i = 0; i < CF_QUARANTINE_MAX_RECORDS + 10; i++)
    {
      CfRequestDigest d = digest_of (i);

      add_crash (q, &d, "i-9/1", 1 + i);
    }
  cf_peer_crashes_collect_changes (q, 2000, &all, &held);
  ck_assert_uint_eq (all.u.crashes->len, CF_QUARANTINE_MAX_RECORDS);
  for (guint i = 0; i < all.u.crashes->len; i++)
    ck_assert_uint_eq (g_array_index (all.u.crashes, CfPeerCrash, i).n, 1);
  cf_peer_msg_clear (&all);
  cf_peer_msg_clear (&held);
  cf_quarantine_free (q);
}
END_TEST

START_TEST (quarantine_expires)
{
  CfQuarantine *q = cf_quarantine_new ();
  CfRequestDigest d = digest_of (1);
  gint64 now = 410;

  add_crash (q, &d, "i-1/1", 10);
  add_crash (q, &d, "i-2/1", 210);
  add_crash (q, &d, "i-3/1", 410);
  for (; now < 410 + CF_QUARANTINE_MAX_AGE_MS; now += 1000)
    {
      ck_assert (cf_quarantine_check (q, &d, now));
      cf_quarantine_expire (q, now);
    }
  cf_quarantine_expire (q, now + 1000);
  ck_assert (!cf_quarantine_check (q, &d, now + 1000));
  cf_quarantine_free (q);
}
END_TEST

/* Sends the changed records of @from to @to; returns the number of records. */
static guint
send_update (CfQuarantine *from, CfQuarantine *to, gint64 now_ms)
{
  CfPeerMsg all;
  CfPeerMsg held;
  guint n;

  cf_peer_crashes_collect_changes (from, now_ms, &all, &held);
  n = all.u.crashes->len;
  cf_peer_crashes_merge (to, &all, NULL, now_ms);
  cf_peer_msg_clear (&all);
  cf_peer_msg_clear (&held);
  return n;
}

/* Updates that cross on the way lead to the same records, and then stop. */
START_TEST (peers_converge_and_stop_sending)
{
  CfQuarantine *a = cf_quarantine_new ();
  CfQuarantine *b = cf_quarantine_new ();
  CfRequestDigest d = digest_of (1);

  add_crash (a, &d, "i-1/1", 10);
  add_crash (a, &d, "i-2/1", 210);
  add_crash (b, &d, "i-2/1", 210);
  add_crash (b, &d, "i-3/1", 410);
  send_update (a, b, 500);
  send_update (b, a, 500);
  ck_assert (cf_quarantine_check (a, &d, 500));
  ck_assert (cf_quarantine_check (b, &d, 500));
  send_update (a, b, 510);
  ck_assert_uint_eq (send_update (b, a, 510), 0);
  ck_assert_uint_eq (send_update (a, b, 510), 0);
  cf_quarantine_clear (a, &d);
  send_update (a, b, 520);
  ck_assert_uint_eq (cf_quarantine_size (b), 0);
  cf_quarantine_free (a);
  cf_quarantine_free (b);
}
END_TEST

/* A gateway that receives no attempts of the request is notified that others
 * still do. */
START_TEST (repeated_request_is_kept_by_all_gateways)
{
  CfQuarantine *a = cf_quarantine_new ();
  CfQuarantine *b = cf_quarantine_new ();
  CfRequestDigest d = digest_of (1);
  gint64 now = 400;

  for (int i = 0; i < CRASHES; i++)
    {
      g_autofree char *target = g_strdup_printf ("i-%d/1", i);

      add_crash (a, &d, target, 200 * i);
    }
  send_update (a, b, 400);
  for (; now < 3 * CF_QUARANTINE_RETENTION_MS; now += 10000)
    {
      ck_assert (cf_quarantine_check (a, &d, now));
      send_update (a, b, now);
      cf_quarantine_expire (b, now);
    }
  ck_assert (cf_quarantine_check (b, &d, now));
  cf_quarantine_free (a);
  cf_quarantine_free (b);
}
END_TEST

/* Targets that reset connections but keep running have not crashed. */
START_TEST (resets_do_not_quarantine_a_request)
{
  p_inject_fault (RANK_1, N_RANKS, "cut", 100);
  for (int k = 0; k < 2 * CRASHES; k++)
    send_attempt (1, k, "POST /chat/a", "c");
  p_inject_fault (RANK_1, N_RANKS, "none", 0);
  for (int n = 1; n <= N_GATEWAYS; n++)
    ck_assert_int_eq (send_attempt (n, 100, "POST /chat/a", "c"), 200);
}
END_TEST

/* All targets have the same popular request when they crash. */
START_TEST (targets_that_crash_together_do_not_quarantine_request)
{
  g_autofree char *req = p_build_request (
      "POST /chat/a", "hot", "Comfreypost-Token-Count: 10,4000\r\n", "hot");
  int fds[4 * N_RANKS];

  for (gsize i = 0; i < G_N_ELEMENTS (fds); i++)
    {
      fds[i] = p_connect (p_front_port (BASE, 1 + (int)i % N_GATEWAYS));
      p_send (fds[i], req);
    }
  usleep (PROPAGATION_MS * 1000);
  for (int i = 0; i < N_RANKS; i++)
    g_free (p_call_standin (RANK_1 + i, "POST /test/crash", ""));
  usleep (PROPAGATION_MS * 1000);
  ck_assert_double_ge (count_crashes (), CRASHES);
  for (gsize i = 0; i < G_N_ELEMENTS (fds); i++)
    close (fds[i]);
  for (int n = 1; n <= N_GATEWAYS; n++)
    ck_assert_int_eq (send_attempt (n, 100, "POST /chat/a", "hot"), 200);
}
END_TEST

/** A fleet before a group that is large enough for many copies of a request to
 * run at the same time. */
#define MANY_RANKS 16
#define COPIES 15
/** Targets that copies of a request may reach after three have crashed. */
#define LATE_CRASHES_MAX 3

static void
setup_large_group (void)
{
  p_start_platform (BASE, "--ranks", "16", NULL);
  for (int n = 1; n <= N_GATEWAYS; n++)
    gateways[n] = p_start_ready_gateway (BASE, n);
  for (int i = 0; i < MANY_RANKS; i++)
    g_free (p_call_standin (RANK_1 + i, "POST /test/crasher", "boom"));
  usleep (PROPAGATION_MS * 1000);
}

static double
count_rank_crashes (void)
{
  usleep (RESTART_MS * 1000);
  return p_sum_runs (RANK_1, MANY_RANKS, "crashes");
}

/* Many callers send the request again at once, as when a group opens again. */
START_TEST (copies_of_a_suspected_request_do_not_crash_targets_together)
{
  int fds[COPIES];

  ck_assert_int_ne (send_attempt (1, 1, "POST /chat/a", "boom"), 200);
  ck_assert_double_ge (count_rank_crashes (), 1);
  usleep (PROPAGATION_MS * 1000);
  for (int i = 0; i < COPIES; i++)
    {
      g_autofree char *id = g_strdup_printf ("copy-%d", i);
      g_autofree char *req = p_build_request (
          "POST /chat/a", id, "Comfreypost-Token-Count: 10,80\r\n", "boom");

      fds[i] = p_connect (p_front_port (BASE, 1 + i % N_GATEWAYS));
      p_send (fds[i], req);
    }
  usleep (3000 * 1000);
  for (int i = 0; i < COPIES; i++)
    close (fds[i]);
  ck_assert_double_le (count_rank_crashes (), CRASHES + LATE_CRASHES_MAX);
}
END_TEST

/* The shares of time of all gateways, at turns that do not overlap. */
START_TEST (gateways_have_turns_of_their_own)
{
  const guint fleets[] = { 1, 3, 5, 8 };
  const CfRequestDigest d = digest_of (77);

  for (gsize f = 0; f < G_N_ELEMENTS (fleets); f++)
    for (gint64 t = 0; t < 10000; t += 10)
      {
        guint n_may_send = 0;

        for (guint i = 0; i < fleets[f]; i++)
          {
            CfFleetPosition p = { i, fleets[f] };
            gint64 wait_ms = cf_suspect_turn_wait_ms (t, &d, p);

            n_may_send += wait_ms == 0;
            ck_assert_int_ge (wait_ms, 0);
            ck_assert_int_le (wait_ms, cf_suspect_turn_cycle_ms (p));
            ck_assert_int_eq (cf_suspect_turn_wait_ms (t + wait_ms, &d, p), 0);
          }
        ck_assert_uint_le (n_may_send, 1);
      }
}
END_TEST

START_TEST (turns_of_odd_times_and_fleets_come)
{
  const gint64 times[] = { -5, G_MININT64 / 2, G_MAXINT64 / 2 };
  const CfFleetPosition positions[]
      = { { 0, 0 }, { 7, 3 }, { 339, 340 }, { G_MAXUINT, G_MAXUINT } };
  const CfRequestDigest d = digest_of (255);

  for (gsize t = 0; t < G_N_ELEMENTS (times); t++)
    for (gsize p = 0; p < G_N_ELEMENTS (positions); p++)
      {
        gint64 wait_ms = cf_suspect_turn_wait_ms (times[t], &d, positions[p]);

        ck_assert_int_ge (wait_ms, 0);
        ck_assert_int_le (wait_ms, cf_suspect_turn_cycle_ms (positions[p]));
      }
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("quarantine");
  TCase *table = tcase_create ("table");
  TCase *t = tcase_create ("fleet");
  TCase *counting = tcase_create ("crashes");
  TCase *copies = tcase_create ("copies");

  tcase_add_test (table, different_requests_have_different_digests);
  tcase_add_test (table, rank_that_times_out_waiting_has_not_crashed);
  tcase_add_test (table, crashes_of_one_target_count_once);
  tcase_add_test (table, simultaneous_crashes_count_once);
  tcase_add_test (table, crashes_count_in_any_order);
  tcase_add_test (table, crashes_with_a_known_cause_are_no_evidence);
  tcase_add_test (table, sound_part_has_no_record);
  tcase_add_test (table, suspects_are_the_request_and_its_shared_parts);
  tcase_add_test (table, number_of_records_is_bounded);
  tcase_add_test (table, evicted_request_is_not_announced_as_cleared);
  tcase_add_test (table, quarantine_expires);
  tcase_add_test (table, gateways_have_turns_of_their_own);
  tcase_add_test (table, turns_of_odd_times_and_fleets_come);
  tcase_add_test (table, peers_converge_and_stop_sending);
  tcase_add_test (table, repeated_request_is_kept_by_all_gateways);
  suite_add_tcase (s, table);
  tcase_set_timeout (t, 30);
  tcase_add_checked_fixture (t, setup, p_stop_all);
  tcase_add_test (t, request_that_also_succeeds_is_not_quarantined);
  tcase_add_test (t, resets_do_not_quarantine_a_request);
  tcase_add_test (t, targets_that_crash_together_do_not_quarantine_request);
  suite_add_tcase (s, t);
  tcase_set_tags (counting, "crashes");
  tcase_set_timeout (counting, 30);
  tcase_add_checked_fixture (counting, setup, p_stop_all);
  tcase_add_test (counting,
                  crashing_request_is_quarantined_after_three_crashes);
  tcase_add_test (counting, quarantine_applies_to_all_gateways);
  tcase_add_test (counting, suspected_stream_is_not_retried);
  tcase_add_test (counting, a_restarted_gateway_learns_of_crashes);
  tcase_add_test (counting, crashes_are_known_after_all_gateways_were_killed);
  suite_add_tcase (s, counting);
  tcase_set_tags (copies, "copies");
  tcase_set_timeout (copies, 30);
  tcase_add_checked_fixture (copies, setup_large_group, p_stop_all);
  tcase_add_test (copies,
                  copies_of_a_suspected_request_do_not_crash_targets_together);
  suite_add_tcase (s, copies);
  return t_run_suite (s);
}
