/* Targets that say in their answers that they leave, while the store lists them
 * as ready. */
#include "harness.h"
#include "platform-harness.h"

#include <jansson.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#define BASE 30000
#define DESK_1 (BASE + 1)
#define RANK_1 (BASE + 3)
#define N_RANKS 4
/** Time until all gateways know what one of them was told. */
#define PROPAGATION_MS 1500
/** Time until the list shows the next instance at an address. */
#define RESTART_MS 500
#define ROUNDS 20

static int n_requests;
static pid_t gateways[3];

static void
setup (void)
{
  p_start_platform (BASE, "--ranks", "4", NULL);
  for (int n = 1; n <= 2; n++)
    gateways[n] = p_start_ready_gateway (BASE, n);
}

static int
send_request (int gateway, const char *method_and_path)
{
  g_autofree char *id = g_strdup_printf ("l-%d", n_requests++);
  g_autofree char *req = p_build_request (
      method_and_path, id, "Comfreypost-Token-Count: 10,8\r\n", "");
  g_autofree char *a = p_round_trip (p_front_port (BASE, gateway), req);

  return p_parse_status (a);
}

/* Sends @n requests of each kind; returns how many were not served. */
static int
send_requests (int gateway, int n)
{
  const char *paths[] = { "GET /quote/a", "POST /order/a", "POST /chat/a" };
  int bad = 0;

  for (int i = 0; i < n; i++)
    for (gsize k = 0; k < G_N_ELEMENTS (paths); k++)
      bad += send_request (gateway, paths[k]) != 200;
  return bad;
}

static void
call (int port, const char *request)
{
  g_free (p_call_standin (port, request, ""));
}

/* How many requests reached the target at @port. */
static size_t
count_arrivals (int port)
{
  g_autofree char *text = p_call_standin (port, "GET /test/arrivals", "");
  json_t *arrivals = json_loads (text, 0, NULL);
  size_t n = json_array_size (arrivals);

  json_decref (arrivals);
  return n;
}

/* Sends as many streams at once as there are ranks, so that each gets one. */
static void
send_concurrent_streams (void)
{
  int fds[N_RANKS];

  for (int i = 0; i < N_RANKS; i++)
    {
      g_autofree char *id = g_strdup_printf ("l-%d", n_requests++);
      g_autofree char *req = p_build_request (
          "POST /chat/a", id, "Comfreypost-Token-Count: 10,8\r\n", "");

      fds[i] = p_connect (p_front_port (BASE, 1));
      p_send (fds[i], req);
    }
  for (int i = 0; i < N_RANKS; i++)
    {
      g_autofree char *a = p_read_answer (fds[i], 1000);

      ck_assert_int_eq (p_parse_status (a), 200);
      close (fds[i]);
    }
}

/* Gateway 1 is told by each target that leaves: where it begins to look for a
 * target decides whether requests one after the other reach all of them. */
static void
announce_leaving (void)
{
  call (DESK_1, "POST /test/leave");
  for (int i = 0; i < N_RANKS - 1; i++)
    call (RANK_1 + i, "POST /test/leave");
  send_concurrent_streams ();
  ck_assert_int_eq (send_requests (1, ROUNDS), 0);
  for (int i = 0; i < N_RANKS - 1; i++)
    ck_assert_uint_gt (count_arrivals (RANK_1 + i), 0);
}

/* Checks that the targets that leave get nothing from @gateway. */
static void
check_no_arrivals (int gateway)
{
  size_t desk = count_arrivals (DESK_1);
  size_t ranks = 0;

  for (int i = 0; i < N_RANKS - 1; i++)
    ranks += count_arrivals (RANK_1 + i);
  ck_assert_int_eq (send_requests (gateway, ROUNDS), 0);
  ck_assert_uint_eq (count_arrivals (DESK_1), desk);
  for (int i = 0; i < N_RANKS - 1; i++)
    ranks -= count_arrivals (RANK_1 + i);
  ck_assert_uint_eq (ranks, 0);
}

START_TEST (target_that_leaves_gets_no_requests_though_listed_as_ready)
{
  announce_leaving ();
  check_no_arrivals (1);
}
END_TEST

START_TEST (target_that_leaves_gets_no_requests_while_store_is_down)
{
  call (BASE, "POST /test/mode?mode=silent");
  announce_leaving ();
  check_no_arrivals (1);
}
END_TEST

START_TEST (other_gateways_send_no_requests_to_target_that_leaves)
{
  announce_leaving ();
  usleep (PROPAGATION_MS * 1000);
  check_no_arrivals (2);
}
END_TEST

/** Time for which the only peer of a gateway that starts stands still. */
#define PEER_DELAY_MS 150
#define N_AT_START 4

/* The store's list, which shows the target as ready, arrives before the hello
 * of the peer that knows better. */
START_TEST (started_gateway_asks_peers_which_targets_leave)
{
  size_t desk;
  int fds[N_AT_START];

  announce_leaving ();
  usleep (PROPAGATION_MS * 1000);
  p_signal (gateways[2], SIGKILL);
  desk = count_arrivals (DESK_1);
  p_signal (gateways[1], SIGSTOP);
  gateways[2] = p_start_gateway (BASE, 2);
  for (int i = 0; i < N_AT_START; i++)
    {
      g_autofree char *id = g_strdup_printf ("start-%d", i);
      g_autofree char *req = p_build_request ("GET /quote/a", id, NULL, "");

      fds[i] = p_connect (p_front_port (BASE, 2));
      p_send (fds[i], req);
    }
  usleep (PEER_DELAY_MS * 1000);
  p_signal (gateways[1], SIGCONT);
  for (int i = 0; i < N_AT_START; i++)
    {
      g_autofree char *a = p_read_answer (fds[i], 1000);

      ck_assert_int_eq (p_parse_status (a), 200);
      close (fds[i]);
    }
  ck_assert_uint_eq (count_arrivals (DESK_1), desk);
}
END_TEST

START_TEST (next_instance_after_one_that_left_is_served)
{
  const char *restarts[]
      = { "POST /test/restart", "POST /test/restart?same=1" };

  for (gsize i = 0; i < G_N_ELEMENTS (restarts); i++)
    {
      size_t before;

      announce_leaving ();
      call (DESK_1, restarts[i]);
      usleep (RESTART_MS * 1000);
      before = count_arrivals (DESK_1);
      ck_assert_int_eq (send_requests (1, ROUNDS), 0);
      ck_assert_uint_gt (count_arrivals (DESK_1), before);
    }
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("target-leaving");
  TCase *t = tcase_create ("leaving");
  TCase *start = tcase_create ("start");

  tcase_set_timeout (t, 30);
  tcase_add_checked_fixture (t, setup, p_stop_all);
  tcase_add_test (t,
                  target_that_leaves_gets_no_requests_though_listed_as_ready);
  tcase_add_test (t, target_that_leaves_gets_no_requests_while_store_is_down);
  tcase_add_test (t, other_gateways_send_no_requests_to_target_that_leaves);
  tcase_add_test (t, next_instance_after_one_that_left_is_served);
  suite_add_tcase (s, t);
  tcase_set_tags (start, "start");
  tcase_set_timeout (start, 30);
  tcase_add_checked_fixture (start, setup, p_stop_all);
  tcase_add_test (start, started_gateway_asks_peers_which_targets_leave);
  suite_add_tcase (s, start);
  return t_run_suite (s);
}
