/*
 * A store that is restored from a copy: revisions go back and are given out
 * again, and what was written since the copy is lost until it is written again.
 */
#include "gateway/store-position.h"
#include "harness.h"
#include "platform-harness.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define BASE 31000
#define DESK_1 (BASE + 1)
#define DESK_2 (BASE + 2)
#define N_DESKS 2
/** Gateway 2 reaches the store through this proxy. */
#define PROXY_PORT (BASE + 50)
/** The platform's limit for a change to be in force. */
#define APPLY_MS 2000
/** The platform's limit for a target that leaves to get no more requests. */
#define DRAIN_MS 2000
/** Usual time for a change to reach gateways that can reach the store. */
#define PROPAGATION_MS 600
/** The platform's limit for targets to write their records again. */
#define REWRITE_LIMIT_MS 2000
/** Longer than the leases of targets that a restored list shows. */
#define LEASES_END_MS 9000
/** Keys that fill more than one page of the store. */
#define FILLER_KEYS 60
#define ROUNDS 20

static pid_t platform;
static pid_t gateways[3];
static pid_t proxy;
static char *first_config;
static int n_requests;

static void
setup (void)
{
  platform = p_start_platform (BASE, "--ranks", "0", NULL);
  proxy = p_start_fault_proxy (PROXY_PORT, BASE);
  gateways[1] = p_start_ready_gateway (BASE, 1);
  p_overrides.store = PROXY_PORT;
  gateways[2] = p_start_ready_gateway (BASE, 2);
  p_overrides.store = 0;
  first_config = p_call_standin (BASE, "GET /test/get?key=op/config", "");
}

static void
teardown (void)
{
  g_clear_pointer (&first_config, g_free);
  p_stop_all ();
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
restart_gateway (int n)
{
  p_signal (gateways[n], SIGKILL);
  p_overrides.store = n == 2 ? PROXY_PORT : 0;
  gateways[n] = p_start_ready_gateway (BASE, n);
  p_overrides.store = 0;
}

static void
put_config (int version)
{
  g_autofree char *config = g_strdup_printf (
      "{\"version\":%d,%s", version, first_config + strlen ("{\"version\":1,"));

  call ("POST /test/put?key=op/config", config);
}

static int
config_in_force (int n)
{
  g_autofree char *page = p_round_trip (
      p_front_port (BASE, n) + 3, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
  const char *line = strstr (page, "\ncomfrey_config_version ");

  return line ? atoi (line + strlen ("\ncomfrey_config_version ")) : 0;
}

static void
check_config (int n, int version, int within_ms)
{
  for (int i = 0; i < within_ms / 20 && config_in_force (n) != version; i++)
    sleep_ms (20);
  ck_assert_int_eq (config_in_force (n), version);
}

/* Sends orders to gateway @n; returns how many were not served. */
static int
send_orders (int n)
{
  int bad = 0;

  for (int i = 0; i < ROUNDS; i++)
    {
      g_autofree char *id = g_strdup_printf ("e-%d", n_requests++);
      g_autofree char *req = p_build_request ("POST /order/a", id, NULL, "");
      g_autofree char *a = p_round_trip (p_front_port (BASE, n), req);

      bad += p_parse_status (a) != 200;
    }
  return bad;
}

/* How many of some orders sent to gateway @n the target at @port runs. */
static double
count_served (int n, int port)
{
  double before = p_sum_runs (port, 1, "runs");

  ck_assert_int_eq (send_orders (n), 0);
  return p_sum_runs (port, 1, "runs") - before;
}

static void
remove_record (int desk)
{
  g_autofree char *request
      = g_strdup_printf ("POST /test/delete?key=servers/desk-%d", desk);

  call (request, "");
}

static char *
get_record (int desk)
{
  g_autofree char *request
      = g_strdup_printf ("GET /test/get?key=servers/desk-%d", desk);

  return p_call_standin (BASE, request, "");
}

static void
put_record (int desk, const char *record)
{
  g_autofree char *request
      = g_strdup_printf ("POST /test/put?key=servers/desk-%d", desk);

  call (request, record);
}

START_TEST (change_at_a_revision_given_out_again_is_applied)
{
  call ("POST /test/copy", "");
  for (int version = 2; version <= 4; version++)
    put_config (version);
  check_config (1, 4, APPLY_MS);
  call ("POST /test/restore", "");
  sleep_ms (PROPAGATION_MS);
  for (int n = 1; n <= 2; n++)
    ck_assert_int_eq (config_in_force (n), 4);
  put_config (5);
  for (int n = 1; n <= 2; n++)
    check_config (n, 5, APPLY_MS);
}
END_TEST

START_TEST (config_written_again_by_the_operator_stays_in_force)
{
  call ("POST /test/copy", "");
  put_config (3);
  check_config (1, 3, APPLY_MS);
  call ("POST /test/restore?rewrite-ms=500", "");
  for (int i = 0; i < 20; i++)
    {
      ck_assert_int_eq (config_in_force (1), 3);
      sleep_ms (50);
    }
  put_config (4);
  check_config (1, 4, APPLY_MS);
}
END_TEST

START_TEST (change_is_applied_though_revisions_passed_the_watched_one)
{
  call ("POST /test/copy", "");
  put_config (2);
  check_config (1, 2, APPLY_MS);
  for (int n = 1; n <= 2; n++)
    p_signal (gateways[n], SIGSTOP);
  call ("POST /test/restore", "");
  put_config (3);
  for (int i = 0; i < 5; i++)
    call ("POST /test/put?key=op/other", "x");
  for (int n = 1; n <= 2; n++)
    p_signal (gateways[n], SIGCONT);
  for (int n = 1; n <= 2; n++)
    check_config (n, 3, APPLY_MS);
}
END_TEST

START_TEST (target_drained_at_a_revision_given_out_again_gets_no_requests)
{
  g_autofree char *record = get_record (0);

  put_record (0, record);
  call ("POST /test/copy", "");
  for (int i = 0; i < 5; i++)
    put_record (0, record);
  sleep_ms (PROPAGATION_MS);
  call ("POST /test/restore", "");
  sleep_ms (PROPAGATION_MS);
  g_free (p_call_standin (DESK_1, "POST /test/drain", ""));
  sleep_ms (DRAIN_MS);
  for (int n = 1; n <= 2; n++)
    ck_assert_double_eq (count_served (n, DESK_1), 0);
}
END_TEST

START_TEST (target_that_had_left_is_kept_out_though_the_copy_lists_it)
{
  call ("POST /test/copy", "");
  remove_record (0);
  sleep_ms (DRAIN_MS);
  call ("POST /test/restore?rewrite-ms=3000", "");
  for (int i = 0; i < 3; i++)
    {
      sleep_ms (PROPAGATION_MS);
      for (int n = 1; n <= 2; n++)
        ck_assert_double_eq (count_served (n, DESK_1), 0);
    }
}
END_TEST

START_TEST (draining_target_is_kept_out_though_the_copy_lists_it_as_ready)
{
  call ("POST /test/copy", "");
  g_free (p_call_standin (DESK_1, "POST /test/drain", ""));
  sleep_ms (DRAIN_MS);
  call ("POST /test/restore", "");
  sleep_ms (PROPAGATION_MS);
  for (int n = 1; n <= 2; n++)
    ck_assert_double_eq (count_served (n, DESK_1), 0);
}
END_TEST

START_TEST (target_that_writes_its_record_again_is_served_again)
{
  g_autofree char *record = get_record (0);

  call ("POST /test/copy", "");
  remove_record (0);
  sleep_ms (DRAIN_MS);
  call ("POST /test/restore", "");
  sleep_ms (PROPAGATION_MS);
  put_record (0, record);
  sleep_ms (PROPAGATION_MS);
  for (int n = 1; n <= 2; n++)
    ck_assert_double_gt (count_served (n, DESK_1), 0);
}
END_TEST

START_TEST (target_missing_from_the_copy_is_kept_until_it_may_be_back)
{
  g_autofree char *record = get_record (1);

  remove_record (1);
  call ("POST /test/copy", "");
  put_record (1, record);
  sleep_ms (PROPAGATION_MS);
  call ("POST /test/restore?rewrite-ms=1800", "");
  for (int i = 0; i < 15; i++)
    {
      ck_assert_double_gt (count_served (1 + i % 2, DESK_2), 0);
      sleep_ms (150);
    }
  ck_assert_double_gt (count_served (1, DESK_2), 0);
}
END_TEST

START_TEST (target_that_does_not_write_its_record_again_is_dropped)
{
  g_autofree char *record = get_record (1);

  remove_record (1);
  call ("POST /test/copy", "");
  put_record (1, record);
  sleep_ms (PROPAGATION_MS);
  call ("POST /test/restore", "");
  sleep_ms (REWRITE_LIMIT_MS + 2 * PROPAGATION_MS);
  for (int n = 1; n <= 2; n++)
    ck_assert_double_eq (count_served (n, DESK_2), 0);
}
END_TEST

/* The store's data does not reach gateway 2 from now on, or does again. */
static void
toggle_cut (void)
{
  p_signal (proxy, SIGUSR2);
  p_signal (proxy, SIGHUP);
}

START_TEST (gateway_cut_off_from_the_store_learns_from_a_peer_of_a_later_era)
{
  call ("POST /test/copy", "");
  for (int version = 2; version <= 4; version++)
    put_config (version);
  check_config (2, 4, APPLY_MS);
  toggle_cut ();
  sleep_ms (PROPAGATION_MS);
  call ("POST /test/restore", "");
  put_config (5);
  g_free (p_call_standin (DESK_1, "POST /test/drain", ""));
  check_config (2, 5, APPLY_MS);
  sleep_ms (APPLY_MS);
  ck_assert_double_eq (count_served (2, DESK_1), 0);
  toggle_cut ();
  sleep_ms (2 * APPLY_MS);
  put_config (6);
  check_config (2, 6, APPLY_MS);
}
END_TEST

START_TEST (restarted_gateway_learns_the_newest_config_from_a_peer)
{
  call ("POST /test/copy", "");
  put_config (4);
  check_config (1, 4, APPLY_MS);
  call ("POST /test/restore", "");
  sleep_ms (PROPAGATION_MS);
  restart_gateway (2);
  check_config (2, 4, APPLY_MS);
  ck_assert_int_eq (config_in_force (1), 4);
}
END_TEST

START_TEST (list_read_across_a_restoration_is_read_again)
{
  g_autofree char *record = get_record (1);

  for (int i = 0; i < FILLER_KEYS; i++)
    {
      g_autofree char *key
          = g_strdup_printf ("POST /test/put?key=servers/zz-%02d", i);

      call (key, "no record");
    }
  remove_record (1);
  call ("POST /test/copy", "");
  put_record (1, record);
  put_config (2);
  check_config (1, 2, APPLY_MS);
  call ("POST /test/restore-at-page?rewrite-ms=300", "");
  call ("POST /test/forget", "");
  sleep_ms (2 * PROPAGATION_MS);
  g_free (p_call_standin (DESK_1, "POST /test/drain", ""));
  put_config (3);
  for (int n = 1; n <= 2; n++)
    {
      check_config (n, 3, APPLY_MS);
      sleep_ms (DRAIN_MS);
      ck_assert_double_eq (count_served (n, DESK_1), 0);
    }
}
END_TEST

START_TEST (store_is_believed_though_a_peer_saw_a_later_era)
{
  call ("POST /test/era?value=2", "");
  put_config (2);
  check_config (2, 2, APPLY_MS);
  toggle_cut ();
  sleep_ms (PROPAGATION_MS);
  call ("POST /test/era?value=9223372036854775807", "");
  for (int version = 3; version <= 4; version++)
    put_config (version);
  put_record (0, "no record");
  check_config (2, 4, APPLY_MS);
  sleep_ms (APPLY_MS);
  call ("POST /test/era?value=2", "");
  toggle_cut ();
  sleep_ms (2 * APPLY_MS);
  g_free (p_call_standin (DESK_2, "POST /test/drain", ""));
  g_free (p_call_standin (DESK_1, "POST /test/restart", ""));
  sleep_ms (DRAIN_MS);
  for (int n = 1; n <= 2; n++)
    {
      ck_assert_double_eq (count_served (n, DESK_2), 0);
      ck_assert_double_gt (count_served (n, DESK_1), 0);
    }
}
END_TEST

START_TEST (odd_eras_do_no_harm)
{
  const char *eras[] = { "?value=7",
                         "?value=3",
                         "?value=-1",
                         "?value=x",
                         "?value=1.5",
                         "",
                         "?value=99999999999999999999",
                         "?value=9223372036854775807",
                         "?value=2" };

  for (gsize i = 0; i < G_N_ELEMENTS (eras); i++)
    {
      g_autofree char *request = g_strconcat ("POST /test/era", eras[i], NULL);

      call (request, "");
      put_config (10 + (int)i);
      for (int n = 1; n <= 2; n++)
        check_config (n, 10 + (int)i, APPLY_MS);
      ck_assert_int_eq (send_orders (1), 0);
    }
}
END_TEST

/* A store that does not state its era gives itself away by its revision. */
START_TEST (restoration_is_noticed_without_an_era)
{
  call ("POST /test/era", "");
  call ("POST /test/copy", "");
  for (int version = 2; version <= 9; version++)
    put_config (version);
  check_config (1, 9, APPLY_MS);
  call ("POST /test/restore", "");
  sleep_ms (PROPAGATION_MS);
  put_config (10);
  g_free (p_call_standin (DESK_1, "POST /test/drain", ""));
  for (int n = 1; n <= 2; n++)
    {
      check_config (n, 10, APPLY_MS);
      sleep_ms (DRAIN_MS);
      ck_assert_double_eq (count_served (n, DESK_1), 0);
    }
}
END_TEST

/* An instance whose lease the restored store does not let expire is alive. */
START_TEST (target_that_stays_listed_is_served_again)
{
  call ("POST /test/copy", "");
  remove_record (0);
  sleep_ms (DRAIN_MS);
  call ("POST /test/restore", "");
  sleep_ms (PROPAGATION_MS);
  ck_assert_double_eq (count_served (1, DESK_1), 0);
  sleep_ms (LEASES_END_MS);
  for (int n = 1; n <= 2; n++)
    ck_assert_double_gt (count_served (n, DESK_1), 0);
}
END_TEST

static gboolean
is_older (gint64 era_a, gint64 rev_a, gint64 era_b, gint64 rev_b)
{
  return cf_store_position_is_older ((CfStorePosition){ era_a, rev_a },
                                     (CfStorePosition){ era_b, rev_b });
}

START_TEST (positions_are_ordered_by_era_first)
{
  const gint64 none = CF_STORE_ERA_UNKNOWN;

  ck_assert (is_older (1, 4, 1, 5));
  ck_assert (!is_older (1, 5, 1, 5));
  ck_assert (is_older (1, 99, 2, 5));
  ck_assert (!is_older (2, 5, 1, 99));
  ck_assert (is_older (0, 9, G_MAXINT64, 1));
  /* What states its era replaces what does not. */
  ck_assert (!is_older (2, 5, none, 99));
  ck_assert (is_older (none, 4, 2, 5));
  ck_assert (!is_older (none, 5, 2, 5));
  ck_assert (is_older (none, 4, none, 5));
  ck_assert (!cf_store_position_is_later_era ((CfStorePosition){ none, 9 },
                                              (CfStorePosition){ 1, 1 }));
  ck_assert (cf_store_position_is_later_era ((CfStorePosition){ 2, 1 },
                                             (CfStorePosition){ 1, 9 }));
}
END_TEST

START_TEST (eras_are_whole_numbers)
{
  const char *invalid[] = { NULL, "",    "-1",  "1.5",
                            "x",  "1e3", "0x2", "9223372036854775808",
                            "1 2" };

  ck_assert_int_eq (cf_platform_store_parse_era ("0"), 0);
  ck_assert_int_eq (cf_platform_store_parse_era ("9223372036854775807"),
                    G_MAXINT64);
  for (gsize i = 0; i < G_N_ELEMENTS (invalid); i++)
    ck_assert_int_eq (cf_platform_store_parse_era (invalid[i]),
                      CF_STORE_ERA_UNKNOWN);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("store-era");
  TCase *table = tcase_create ("table");
  TCase *t = tcase_create ("restored");

  tcase_add_test (table, positions_are_ordered_by_era_first);
  tcase_add_test (table, eras_are_whole_numbers);
  suite_add_tcase (s, table);
  tcase_set_tags (t, "restored");
  tcase_set_timeout (t, 60);
  tcase_add_checked_fixture (t, setup, teardown);
  tcase_add_test (t, change_at_a_revision_given_out_again_is_applied);
  tcase_add_test (t, config_written_again_by_the_operator_stays_in_force);
  tcase_add_test (t, change_is_applied_though_revisions_passed_the_watched_one);
  tcase_add_test (
      t, target_drained_at_a_revision_given_out_again_gets_no_requests);
  tcase_add_test (t, target_that_had_left_is_kept_out_though_the_copy_lists_it);
  tcase_add_test (
      t, draining_target_is_kept_out_though_the_copy_lists_it_as_ready);
  tcase_add_test (t, target_that_writes_its_record_again_is_served_again);
  tcase_add_test (t, target_missing_from_the_copy_is_kept_until_it_may_be_back);
  tcase_add_test (t, target_that_does_not_write_its_record_again_is_dropped);
  tcase_add_test (
      t, gateway_cut_off_from_the_store_learns_from_a_peer_of_a_later_era);
  tcase_add_test (t, restarted_gateway_learns_the_newest_config_from_a_peer);
  tcase_add_test (t, list_read_across_a_restoration_is_read_again);
  tcase_add_test (t, target_that_stays_listed_is_served_again);
  tcase_add_test (t, store_is_believed_though_a_peer_saw_a_later_era);
  tcase_add_test (t, odd_eras_do_no_harm);
  tcase_add_test (t, restoration_is_noticed_without_an_era);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
