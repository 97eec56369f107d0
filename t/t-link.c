/*
 * An entry's link to a fake agent in this process: heartbeats, and answers
 * that come late, twice and out of order.
 */
#include "agent-link.h"
#include "harness.h"
#include "log.h"
#include "net.h"

#include <check.h>
#include <pthread.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#define ADDR "127.0.0.1:17950"
#define CALLERS 8

/* How the fake agent behaves. */
typedef enum
{
  NO_ANSWERS,       /* answers pings only */
  REVERSED_TWICE,   /* waits for all requests; answers last first, twice */
  STOPS_READING,    /* answers one ping, then reads no more, never closes */
  NO_ANSWER_TO_ONE, /* answers all requests but the first, at once */
  HALF_THEN_CLOSES, /* sends half of its first answer, then closes */
  HALF_THEN_SILENT, /* sends half of its first answer, then no more */
} Behaviour;

static struct
{
  int listen_fd;
  Behaviour behaviour;
  gint pings;
} fake;

static void
send_answer (int fd, guint64 id, const char *body)
{
  CfMsg a = { .kind = CF_MSG_ANSWER, .id = id };

  a.u.answer.code = 200;
  a.u.answer.body = (char *)body;
  cf_msg_write (fd, &a);
}

static void
answer_reversed_twice (int fd, CfMsg *held, int n)
{
  for (int i = n - 1; i >= 0; i--)
    {
      send_answer (fd, held[i].id, held[i].u.request.body);
      send_answer (fd, held[i].id, held[i].u.request.body);
    }
  /* An answer to a call that was not made on this connection. */
  send_answer (fd, 999999, "nobody's");
}

static void
send_half_answer (int fd, const CfMsg *request)
{
  CfMsg a = { .kind = CF_MSG_ANSWER, .id = request->id };
  g_autoptr (GByteArray) frame = NULL;

  a.u.answer.code = 200;
  a.u.answer.body = request->u.request.body;
  frame = cf_msg_encode (&a);
  cf_write_all (fd, frame->data, frame->len / 2);
}

static void *
fake_agent (void *unused)
{
  CfMsg status = { .kind = CF_MSG_STATUS };
  CfMsg held[CALLERS] = { 0 };
  int fd = accept (fake.listen_fd, NULL, NULL);
  int n = 0;
  CfMsg m;

  while (cf_msg_read (fd, &m) == CF_OK)
    {
      if (m.kind == CF_MSG_PING)
        {
          g_atomic_int_inc (&fake.pings);
          cf_msg_write (fd, &status);
          if (fake.behaviour == STOPS_READING)
            break;
        }
      else if (fake.behaviour == HALF_THEN_CLOSES
               || fake.behaviour == HALF_THEN_SILENT)
        {
          send_half_answer (fd, &m);
          cf_msg_clear (&m);
          break;
        }
      else if (fake.behaviour == NO_ANSWER_TO_ONE && n > 0)
        {
          if (m.kind == CF_MSG_REQUEST)
            send_answer (fd, m.id, m.u.request.body);
          cf_msg_clear (&m);
        }
      else if (n < CALLERS)
        held[n++] = m;
      if (n == CALLERS && fake.behaviour == REVERSED_TWICE)
        {
          answer_reversed_twice (fd, held, n);
          n = 0;
        }
    }
  if (fake.behaviour == HALF_THEN_CLOSES)
    close (fd);
  return NULL;
}

static CfLink *
start_link (Behaviour behaviour)
{
  pthread_t t;
  CfLink *l;

  cf_log_init ("t-link");
  fake.behaviour = behaviour;
  ck_assert_int_eq (cf_listen_tcp (ADDR, &fake.listen_fd), CF_OK);
  pthread_create (&t, NULL, fake_agent, NULL);
  pthread_detach (t);
  l = cf_link_new (ADDR);
  for (int i = 0; i < 100 && !cf_link_snapshot (l).up; i++)
    usleep (20000);
  ck_assert (cf_link_snapshot (l).up);
  return l;
}

typedef struct
{
  CfLink *link;
  char body[32];
  CfCallResult res;
  CfMsg reply;
  long long deadline_ms;
  gboolean (*is_wanted) (void *data);
} Caller;

static void *
call (void *data)
{
  Caller *c = data;
  CfMsg m = { .kind = CF_MSG_REQUEST };

  m.u.request.org = "o";
  m.u.request.service = "s";
  m.u.request.model = "m";
  m.u.request.path = "/v1/call";
  m.u.request.rid = "r";
  m.u.request.body = c->body;
  c->res = cf_link_call_while (c->link, &m, c->deadline_ms, c->is_wanted, c,
                               &c->reply);
  return NULL;
}

START_TEST (test_idle_link_is_pinged_at_its_interval)
{
  CfLink *l = start_link (NO_ANSWERS);
  Caller c = { .link = l, .body = "x" };
  pthread_t t;
  gint idle;
  gint busy;

  cf_link_set_idle_ping_interval (l, 3000);
  usleep (100000);
  idle = g_atomic_int_get (&fake.pings);
  usleep (4000000);
  idle = g_atomic_int_get (&fake.pings) - idle;
  ck_assert_msg (idle >= 1 && idle <= 2, "%d pings in 4 s at 3 s", idle);

  /* With a call outstanding the interval is 1 s again, so that a dead agent
   * is detected soon. */
  c.deadline_ms = cf_now_ms () + 4500;
  pthread_create (&t, NULL, call, &c);
  busy = g_atomic_int_get (&fake.pings);
  pthread_join (t, NULL);
  busy = g_atomic_int_get (&fake.pings) - busy;
  ck_assert_msg (busy >= 3, "%d pings in 4.5 s with a call outstanding", busy);
  ck_assert_int_eq (c.res, CF_CALL_TIMEOUT);
}
END_TEST

START_TEST (test_each_caller_gets_its_own_answer)
{
  CfLink *l = start_link (REVERSED_TWICE);
  Caller c[CALLERS] = { 0 };
  pthread_t t[CALLERS];

  /* In the second round the first round's duplicate answers arrive too. */
  for (int round = 0; round < 2; round++)
    {
      for (int i = 0; i < CALLERS; i++)
        {
          c[i].link = l;
          c[i].deadline_ms = cf_now_ms () + 5000;
          g_snprintf (c[i].body, sizeof c[i].body, "round%d-caller%d", round,
                      i);
          pthread_create (&t[i], NULL, call, &c[i]);
        }
      for (int i = 0; i < CALLERS; i++)
        {
          pthread_join (t[i], NULL);
          ck_assert_int_eq (c[i].res, CF_CALL_REPLY);
          ck_assert_str_eq (c[i].reply.u.answer.body, c[i].body);
          cf_msg_clear (&c[i].reply);
        }
    }
}
END_TEST

START_TEST (test_link_to_agent_that_stops_reading_is_lost)
{
  CfLink *l = start_link (STOPS_READING);
  Caller c = { .link = l, .body = "x", .deadline_ms = cf_now_ms () + 20000 };
  long long t0 = cf_now_ms ();

  cf_link_set_idle_ping_interval (l, 10000);
  call (&c);
  ck_assert_int_eq (c.res, CF_CALL_LOST);
  ck_assert_msg (cf_now_ms () - t0 < 6000, "lost after %lld ms",
                 cf_now_ms () - t0);
}
END_TEST

/* Makes a call to an agent that breaks off inside its answer; the link must be
 * lost within @limit_ms. */
static void
check_lost_inside_answer (Behaviour behaviour, long long limit_ms)
{
  CfLink *l = start_link (behaviour);
  Caller c = { .link = l, .body = "x", .deadline_ms = cf_now_ms () + 10000 };
  long long t0 = cf_now_ms ();

  call (&c);
  ck_assert_msg (c.res == CF_CALL_LOST, "result %d after %lld ms", c.res,
                 cf_now_ms () - t0);
  ck_assert_msg (cf_now_ms () - t0 < limit_ms, "lost after %lld ms",
                 cf_now_ms () - t0);
}

START_TEST (test_answer_is_lost_if_its_frame_breaks_off)
{
  check_lost_inside_answer (HALF_THEN_CLOSES, 1000);
}
END_TEST

START_TEST (test_link_that_goes_silent_inside_a_frame_is_lost)
{
  check_lost_inside_answer (HALF_THEN_SILENT, 2LL * CF_LINK_SILENCE_TIMEOUT_MS);
}
END_TEST

static gboolean
not_wanted (void *unused)
{
  return FALSE;
}

/*
 * A call whose reply is no longer needed, because the entry shuts down or the
 * caller has left, ends within 2 s on a busy link too.
 *
 * Each reply to another call wakes all pending calls.  If a pending call
 * checked whether it is wanted only after 250 ms without any reply on the
 * link, replies 20 ms apart would keep it from checking until its deadline.
 */
START_TEST (test_unwanted_call_ends_on_a_busy_link)
{
  CfLink *l = start_link (NO_ANSWER_TO_ONE);
  long long until = cf_now_ms () + 3000;
  Caller held = { .link = l, .body = "x", .deadline_ms = until };
  Caller busy = { .link = l, .body = "y", .deadline_ms = until + 2000 };
  long long t0 = cf_now_ms ();
  pthread_t t;

  held.is_wanted = not_wanted;
  pthread_create (&t, NULL, call, &held);
  usleep (50000);
  while (cf_now_ms () < t0 + 2000)
    {
      call (&busy);
      ck_assert_int_eq (busy.res, CF_CALL_REPLY);
      cf_msg_clear (&busy.reply);
      usleep (20000);
    }
  /* The link has been idle for less than 250 ms, so if the call has ended, it
   * ended while the link was busy. */
  ck_assert_int_eq (cf_link_snapshot (l).outstanding, 0);
  pthread_join (t, NULL);
  ck_assert_int_eq (held.res, CF_CALL_ABANDONED);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("link");
  TCase *tc = tcase_create ("core");
  TCase *busy = tcase_create ("busy");

  tcase_set_timeout (tc, 60);
  tcase_add_test (tc, test_idle_link_is_pinged_at_its_interval);
  tcase_add_test (tc, test_each_caller_gets_its_own_answer);
  tcase_add_test (tc, test_link_to_agent_that_stops_reading_is_lost);
  tcase_add_test (tc, test_answer_is_lost_if_its_frame_breaks_off);
  tcase_add_test (tc, test_link_that_goes_silent_inside_a_frame_is_lost);
  suite_add_tcase (s, tc);
  tcase_set_timeout (busy, 60);
  tcase_set_tags (busy, "busy");
  tcase_add_test (busy, test_unwanted_call_ends_on_a_busy_link);
  suite_add_tcase (s, busy);
  return t_run_suite (s);
}
