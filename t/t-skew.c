/* Nearly all connections are at one gateway of a fleet, with demand for half to
 * three quarters of the slots.  Guards against a division of slots that leaves
 * this gateway only its even part: it refuses requests while slots are free. */
#include "harness.h"
#include "platform-harness.h"

#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BASE 16000
#define N_TARGETS 8
/** As the stand-in's records of plain targets say. */
#define SLOTS_PER_TARGET 6
#define WORK_MS 300
/** Rate with demand for all of the slots. */
#define FULL_REQUESTS_PER_S (N_TARGETS * SLOTS_PER_TARGET * 1000 / WORK_MS)
/** Of so many requests, all but one go to the flooded gateway. */
#define SKEW 10
/** A gateway that has just started learns of its peers within half a second,
 * and its share follows a skew within another. */
#define SETTLE_MS 1000
#define LOAD_MS 2000
/** A share follows a skew, and its reversal, within this time. */
#define FOLLOW_MS 500
/** The timeout of the stand-in's route "quote". */
#define IN_TIME_MS 800
#define REQUIRED 0.95
#define CALLS_MAX 1024
#define GATEWAYS_MAX 8

/** Call: a request that a caller has sent. */
typedef struct
{
  int fd;              /* -1: ended */
  gboolean is_counted; /* sent when shares had followed the load */
  gboolean to_flooded;
  gint64 begin_us;
  char head[13]; /* of the answer, up to the status */
  gsize n;
  gboolean in_time; /* served in time */
} Call;

/** Load: how many requests are sent, and to which gateways. */
typedef struct
{
  int percent; /* of the slots that there is demand for */
  int flooded;
  int n_gateways;
  int dead;         /* gateway that is not running; 0: none */
  gint64 settle_ms; /* requests that are sent earlier are not counted */
} Load;

static pid_t gateways[GATEWAYS_MAX + 1];
static Call calls[CALLS_MAX];
static int n_calls;

static void
start_fleet (int n)
{
  n_calls = 0;
  p_start_platform (BASE, "--ranks", "0", "--plain", G_STRINGIFY (N_TARGETS),
                    "--work-ms", G_STRINGIFY (WORK_MS), NULL);
  for (int i = 1; i <= n; i++)
    gateways[i] = p_start_gateway (BASE, i);
  for (int i = 1; i <= n; i++)
    p_wait_until_ready (BASE, i);
}

/* Returns the gateway that request @i goes to. */
static int
choose_gateway (const Load *l, int i)
{
  int other = 1 + i / SKEW % l->n_gateways;

  if (i % SKEW != 0 || other == l->dead)
    return l->flooded;
  return other;
}

static void
begin_call (const Load *l, int i, gboolean is_counted)
{
  Call *c = &calls[n_calls++];
  int to = choose_gateway (l, i);
  g_autofree char *id = g_strdup_printf ("skew-%d", n_calls);
  g_autofree char *req = p_build_request ("GET /quote/a", id, NULL, "");

  *c = (Call){ .is_counted = is_counted, .to_flooded = to == l->flooded };
  c->begin_us = g_get_monotonic_time ();
  c->fd = p_connect (p_front_port (BASE, to));
  if (c->fd >= 0)
    p_send (c->fd, req);
}

static void
end_call (Call *c)
{
  gint64 ms = (g_get_monotonic_time () - c->begin_us) / 1000;

  c->in_time = p_parse_status (c->head) == 200 && ms <= IN_TIME_MS;
  close (c->fd);
  c->fd = -1;
}

/* Reads the status of an answer.  The stand-in sends an answer at once, so the
 * rest of it has arrived too. */
static void
read_status (Call *c)
{
  ssize_t n = recv (c->fd, c->head + c->n, sizeof c->head - 1 - c->n, 0);

  c->n += n > 0 ? (gsize)n : 0;
  if (n <= 0 || c->n == sizeof c->head - 1)
    end_call (c);
}

/* Reads answers that arrive within a millisecond. */
static void
read_answers (void)
{
  static struct pollfd polled[CALLS_MAX];

  for (int i = 0; i < n_calls; i++)
    polled[i] = (struct pollfd){ calls[i].fd, POLLIN, 0 };
  if (poll (polled, (nfds_t)n_calls, 1) <= 0)
    return;
  for (int i = 0; i < n_calls; i++)
    if (polled[i].revents)
      read_status (&calls[i]);
}

/* Sends requests at an even rate for @ms, whether or not earlier ones have been
 * answered. */
static void
send_load (const Load *l, int ms)
{
  gint64 begin_us = g_get_monotonic_time ();
  int per_s = FULL_REQUESTS_PER_S * l->percent / 100;
  int i = 0;

  while (i < per_s * ms / 1000)
    {
      gint64 elapsed_us = g_get_monotonic_time () - begin_us;

      if (elapsed_us * per_s / 1000000 >= i)
        begin_call (l, i++, elapsed_us >= l->settle_ms * 1000);
      read_answers ();
    }
}

static gboolean
is_any_call_open (void)
{
  for (int i = 0; i < n_calls; i++)
    if (calls[i].fd >= 0)
      return TRUE;
  return FALSE;
}

/* Waits for the remaining answers as long as they could be in time. */
static void
end_calls (void)
{
  gint64 end_us = g_get_monotonic_time () + IN_TIME_MS * 1000L;

  while (g_get_monotonic_time () < end_us && is_any_call_open ())
    read_answers ();
  for (int i = 0; i < n_calls; i++)
    if (calls[i].fd >= 0)
      end_call (&calls[i]);
}

/* Returns the part of the counted requests that was served in time, of those to
 * a flooded gateway or of the others. */
static double
served (gboolean to_flooded)
{
  int n = 0;
  int n_in_time = 0;

  for (int i = 0; i < n_calls; i++)
    if (calls[i].is_counted && calls[i].to_flooded == to_flooded)
      {
        n++;
        n_in_time += calls[i].in_time;
      }
  ck_assert_int_gt (n, 0);
  return (double)n_in_time / n;
}

static void
check_served (void)
{
  end_calls ();
  ck_assert_msg (served (TRUE) >= REQUIRED && served (FALSE) >= REQUIRED,
                 "flooded gateways served %.3f, the others %.3f", served (TRUE),
                 served (FALSE));
}

START_TEST (flooded_seed_of_four_is_served)
{
  start_fleet (4);
  send_load (&(Load){ 50, 1, 4, 0, SETTLE_MS }, SETTLE_MS + LOAD_MS);
  check_served ();
}
END_TEST

/* Gateway 8 has links to seeds only. */
START_TEST (flooded_gateway_of_eight_is_served)
{
  start_fleet (8);
  send_load (&(Load){ 50, 8, 8, 0, SETTLE_MS }, SETTLE_MS + LOAD_MS);
  check_served ();
}
END_TEST

/* The flooded gateway is lost, and its callers connect to the next one. */
START_TEST (load_of_lost_gateway_is_served_by_next)
{
  start_fleet (8);
  send_load (&(Load){ 50, 1, 8, 0, G_MAXINT }, SETTLE_MS);
  p_signal (gateways[1], SIGKILL);
  send_load (&(Load){ 50, 5, 8, 1, FOLLOW_MS }, FOLLOW_MS + LOAD_MS);
  check_served ();
}
END_TEST

/* The callers move to the next gateway every second, from 5 up to @last. */
static void
check_moving_load (int percent, int last)
{
  start_fleet (8);
  send_load (&(Load){ percent, 5, 8, 0, G_MAXINT }, SETTLE_MS);
  for (int g = 6; g <= last; g++)
    send_load (&(Load){ percent, g, 8, 0, FOLLOW_MS }, 1000);
  check_served ();
}

START_TEST (moving_load_is_served) { check_moving_load (50, 8); }
END_TEST

/* Guards against shares that follow too late at a load that leaves a quarter of
 * the slots free. */
START_TEST (moving_load_of_three_quarters_is_served)
{
  check_moving_load (75, 7);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("skew");
  TCase *t = tcase_create ("fleet");

  tcase_set_timeout (t, 30);
  tcase_add_checked_fixture (t, NULL, p_stop_all);
  tcase_add_test (t, flooded_seed_of_four_is_served);
  tcase_add_test (t, flooded_gateway_of_eight_is_served);
  tcase_add_test (t, load_of_lost_gateway_is_served_by_next);
  tcase_add_test (t, moving_load_is_served);
  tcase_add_test (t, moving_load_of_three_quarters_is_served);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
