/* Refused callers that return to another gateway, at their time or before. */
#include "harness.h"
#include "platform-harness.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

#define BASE 18400
/** A target that runs 6 requests has room for 8 of a gateway with all the
 * demand, and a gateway queues 6. */
#define FILL 15
/** In this time a gateway's share follows its demand. */
#define SHARE_MS 60
/** No order ends between the refusal of a caller and its return. */
#define WORK_MS "1500"
/** Body of the order whose caller returns.  Its digest gives the longest wait
 * while the rate at which requests end is unknown. */
#define BODY "same"
/** Time until the hellos with a place have reached all gateways: two hops of
 * at most 100 ms and a turn of the housekeeping timer each. */
#define HELLO_MS 300
/** What a time to return may be late: transit, and the load of the machine. */
#define SLACK_MS 150

/* Callers accept a wait in the queue of a third of their time. */
static const char config[]
    = "{\"version\":2,\"routes\":["
      "{\"name\":\"order\",\"host\":\"demo.example\",\"prefix\":\"/order/\","
      "\"kind\":\"unsafe\",\"timeout-ms\":8000,\"aim-ms\":6000,\"priority\":2,"
      "\"service\":\"desk\",\"max-attempts\":1,\"public\":false},"
      "{\"name\":\"open\",\"host\":\"demo.example\",\"prefix\":\"/open/\","
      "\"kind\":\"unsafe\",\"timeout-ms\":8000,\"aim-ms\":6000,\"priority\":2,"
      "\"service\":\"desk\",\"max-attempts\":1,\"public\":true}],"
      "\"services\":[{\"name\":\"desk\",\"max-conns\":96,\"cold-start-s\":0,"
      "\"cold-per-s\":20}],"
      "\"limits\":{\"max-header-bytes\":4096,\"max-body-bytes\":65536,"
      "\"header-timeout-ms\":600,\"idle-timeout-ms\":3000},"
      "\"tenants\":[{\"name\":\"museum\",\"api-keys\":[\"key-museum\"]}]}";

/** Pair: the gateway that refuses a caller, and the one that it returns to. */
typedef struct
{
  int from;
  int to;
} Pair;

/* The second pair has links only to the seed, gateway 1. */
static const Pair pairs[] = { { 1, 2 }, { 4, 5 } };

static pid_t gateways[6];
static int n_sent;
static int fds[128];
static int n_fds;

static void
start_gateway (int n)
{
  if (!gateways[n])
    gateways[n] = p_start_ready_gateway (BASE, n);
}

static void
start_pair (const Pair *p)
{
  p_start_platform (BASE, "--ranks", "0", "--plain", "1", "--work-ms", WORK_MS,
                    NULL);
  g_free (p_call_standin (BASE, "POST /test/put?key=op/config", config));
  memset (gateways, 0, sizeof gateways);
  n_fds = 0;
  start_gateway (1);
  start_gateway (p->from);
  start_gateway (p->to);
  /* Until all know each other. */
  usleep (1200000);
}

/* Begins an order at gateway @n with a body of its own. */
static void
begin_order (int n)
{
  g_autofree char *body = g_strdup_printf ("new-%d", n_sent++);
  g_autofree char *req = p_build_request ("POST /order/a", body, NULL, body);

  fds[n_fds] = p_connect (p_front_port (BASE, n));
  p_send (fds[n_fds++], req);
}

/* Fills gateway @n.  Its share grows with the first orders, so that there is
 * room again for as many as it had queued. */
static void
fill (int n)
{
  for (int i = 0; i < FILL; i++)
    begin_order (n);
  usleep (SHARE_MS * 1000);
  for (int i = 0; i < FILL; i++)
    begin_order (n);
  usleep (50000);
}

/** Order: a request that is not the only one of its kind. */
typedef struct
{
  const char *path;
  const char *key; /* (nullable): API key of its organisation */
  const char *body;
  int deadline_ms;
} Order;

/* Sends @o with a new request id to gateway @n; returns the status, and in
 * @retry_ms the time to return, or -1. */
static int
send_like (int n, const Order *o, int *retry_ms)
{
  g_autofree char *auth
      = o->key ? g_strdup_printf ("Authorization: Token %s\r\n", o->key)
               : g_strdup ("");
  g_autofree char *req = g_strdup_printf (
      "POST %s HTTP/1.1\r\nHost: demo.example\r\n"
      "Comfreypost-Request-Id: again-%d\r\nComfreypost-Deadline-Ms: %d\r\n"
      "%sContent-Length: %zu\r\n\r\n%s",
      o->path, n_sent++, o->deadline_ms, auth, strlen (o->body), o->body);
  g_autofree char *answer = p_round_trip (p_front_port (BASE, n), req);
  const char *header = strstr (answer, "Retry-After: ");

  *retry_ms
      = header ? (int)(g_ascii_strtod (header + 13, NULL) * 1000 + 0.5) : -1;
  return p_parse_status (answer);
}

static int
send_order (int n, const char *body, int *retry_ms)
{
  Order o = { "/order/a", "key-museum", body, 5000 };

  return send_like (n, &o, retry_ms);
}

/* Waits until the log of gateway @n contains @needle. */
static void
check_log (int n, const char *needle)
{
  g_autofree char *log = g_strdup_printf ("t/out/gateway-%d-%d.log", BASE, n);

  ck_assert_msg (p_wait_for_log (log, needle, 1000), "gateway %d: no %s", n,
                 needle);
}

static int
ms_since (gint64 begin_us)
{
  return (int)((g_get_monotonic_time () - begin_us) / 1000);
}

/* Guards against callers that lose their place because another gateway, or the
 * one that gave it out, does not know it. */
START_TEST (place_is_honoured_at_another_gateway)
{
  const Pair *p = &pairs[_i];
  gint64 refused_us;
  int told_ms;
  int left_ms;
  int early_ms;

  start_pair (p);
  fill (p->from);
  ck_assert_int_eq (send_order (p->from, BODY, &told_ms), 503);
  refused_us = g_get_monotonic_time ();
  ck_assert_int_ge (told_ms, 400);
  usleep (HELLO_MS * 1000);
  p_signal (gateways[p->from], SIGKILL);

  fill (p->to);
  early_ms = ms_since (refused_us);
  ck_assert_int_eq (send_order (p->to, BODY, &left_ms), 503);
  check_log (p->to, "reason=returned-early");
  ck_assert_int_ge (left_ms, told_ms - early_ms - SLACK_MS);
  ck_assert_int_le (left_ms, told_ms - early_ms + SLACK_MS);

  usleep (MAX (told_ms - ms_since (refused_us) + 20, 0) * 1000);
  /* Newcomers fill the queue again, and one of them makes room. */
  fill (p->to);
  ck_assert_int_eq (send_order (p->to, BODY, &left_ms), 200);
  check_log (p->to, "reason=queue-full");
  check_log (p->to, "outcome=due");
  check_log (p->to, "reason=returned-waits");
}
END_TEST

START_TEST (early_caller_is_served_while_nobody_waits)
{
  int told_ms;

  start_pair (&pairs[0]);
  fill (1);
  ck_assert_int_eq (send_order (1, BODY, &told_ms), 503);
  usleep (HELLO_MS * 1000);
  ck_assert_int_eq (send_order (2, BODY, &told_ms), 200);
  check_log (2, "outcome=early");
}
END_TEST

/* Without a body, and with one but without an organisation. */
static const Order shared_orders[] = { { "/order/a", "key-museum", "", 5000 },
                                       { "/open/a", NULL, BODY, 5000 } };

/* Guards against callers that are refused as early because others sent the same
 * request. */
START_TEST (callers_that_nothing_tells_apart_are_not_taken_for_one)
{
  g_autofree char *log = g_strdup_printf ("t/out/gateway-%d-1.log", BASE);
  int told_ms;

  start_pair (&pairs[0]);
  fill (1);
  for (int i = 0; i < 3; i++)
    {
      g_autofree char *answer = g_strdup_printf (
          "id=again-%d outcome=refused status=503 reason=queue-full", n_sent);

      ck_assert_int_eq (send_like (1, &shared_orders[_i], &told_ms), 503);
      check_log (1, answer);
    }
  ck_assert_uint_eq (p_count_in_log (log, "outcome=early"), 0);
}
END_TEST

/* Guards against a caller that is told the wait of another one, which has more
 * time left, and gives up. */
START_TEST (early_caller_is_told_what_it_accepts)
{
  Order hurried = { "/order/a", "key-museum", BODY, 900 };
  int told_ms;

  start_pair (&pairs[0]);
  fill (1);
  ck_assert_int_eq (send_order (1, BODY, &told_ms), 503);
  ck_assert_int_ge (told_ms, 400);
  ck_assert_int_eq (send_like (1, &hurried, &told_ms), 503);
  check_log (1, "reason=returned-early");
  ck_assert_int_le (told_ms, hurried.deadline_ms / 3);
}
END_TEST

static void
teardown (void)
{
  for (int i = 0; i < n_fds; i++)
    close (fds[i]);
  p_stop_all ();
}

int
main (void)
{
  Suite *s = suite_create ("returns");
  TCase *t = tcase_create ("fleet");

  tcase_set_timeout (t, 30);
  tcase_add_checked_fixture (t, NULL, teardown);
  tcase_add_loop_test (t, place_is_honoured_at_another_gateway, 0,
                       G_N_ELEMENTS (pairs));
  tcase_add_loop_test (t,
                       callers_that_nothing_tells_apart_are_not_taken_for_one,
                       0, G_N_ELEMENTS (shared_orders));
  tcase_add_test (t, early_caller_is_told_what_it_accepts);
  tcase_add_test (t, early_caller_is_served_while_nobody_waits);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
