/* A connection to a target: reuse, reading that was paused, and which answers
 * belong to the request in progress. */
#include "gateway/socket.h"
#include "gateway/upstream.h"
#include "harness.h"
#include "target-harness.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ADDRESS "127.0.0.1:20590"
#define ANSWER "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
/** Turns of the loop, of 1 ms each at most, that an answer may take. */
#define TURNS_MAX 1000

/** Call: a request to the target, as its owner sees it. */
typedef struct
{
  CfUpstream *upstream;
  gboolean pauses; /**< reading is paused as the body comes */
  gboolean is_done;
  gboolean has_failed;
  int status; /**< of its answer; 0: none */
} Call;

static void
on_head (void *owner, const CfHttpReader *r)
{
  ((Call *)owner)->status = (int)r->parser.status_code;
}

static void
on_body (void *owner, const char *data, gsize n)
{
  Call *c = owner;

  if (c->pauses)
    cf_upstream_set_paused (c->upstream, TRUE);
}

static void
on_done (void *owner)
{
  ((Call *)owner)->is_done = TRUE;
}

static void
on_failure (void *owner, CfUpstreamFailure f)
{
  ((Call *)owner)->has_failed = TRUE;
}

static const CfUpstreamCallbacks callbacks
    = { on_head, on_body, on_done, on_failure };

static struct ev_loop *loop;
static CfTargetTable table;
static int listener;
static int peer; /* the target's end of the connection; -1: none yet */

static void
setup (void)
{
  loop = ev_loop_new (EVFLAG_AUTO);
  cf_target_table_init (&table);
  ck_assert_int_eq (cf_socket_listen (ADDRESS, &listener), CF_OK);
  peer = -1;
  t_put_target (&table, &(TTargetSpec){ .id = "a", .addr = ADDRESS, .rev = 1 });
}

static void
teardown (void)
{
  cf_target_table_clear (&table);
  close (listener);
  if (peer >= 0)
    close (peer);
  ev_loop_destroy (loop);
}

static void
turn (void)
{
  ev_run (loop, EVRUN_NOWAIT);
  usleep (1000);
}

/* Receives a request at the target; FALSE if none comes. */
static gboolean
receive_request (void)
{
  char buf[256];

  for (int i = 0; i < TURNS_MAX; i++)
    {
      turn ();
      if (peer < 0)
        peer = cf_socket_accept (listener);
      if (peer >= 0 && recv (peer, buf, sizeof buf, MSG_DONTWAIT) > 0)
        return TRUE;
    }
  return FALSE;
}

/* Sends a request and has the target answer it. */
static void
play_call (Call *c)
{
  GString *request = g_string_new ("GET / HTTP/1.1\r\n\r\n");

  c->upstream = cf_upstream_send (loop, t_get_target (&table, "a"), request,
                                  NULL, FALSE, &callbacks, c);
  ck_assert_ptr_nonnull (c->upstream);
  ck_assert (receive_request ());
  ck_assert_int_eq (send (peer, ANSWER, strlen (ANSWER), 0), strlen (ANSWER));
  for (int i = 0; i < TURNS_MAX && !c->is_done && !c->has_failed; i++)
    turn ();
}

START_TEST (answer_is_not_read_on_a_connection_paused_before)
{
  Call first = { .pauses = TRUE };
  Call second = { 0 };

  play_call (&first);
  ck_assert (first.is_done);
  play_call (&second);
  ck_assert (second.is_done);
}
END_TEST

START_TEST (idle_connection_paused_before_is_kept_after_its_end)
{
  Call first = { .pauses = TRUE };
  CfTarget *t = t_get_target (&table, "a");

  play_call (&first);
  ck_assert (!TAILQ_EMPTY (&t->idle));
  close (peer);
  peer = -1;
  for (int i = 0; i < TURNS_MAX && !TAILQ_EMPTY (&t->idle); i++)
    turn ();
  ck_assert (TAILQ_EMPTY (&t->idle));
}
END_TEST

static void
send_request (Call *c, const char *id, gboolean head_only)
{
  GString *request = g_string_new ("GET / HTTP/1.1\r\n\r\n");

  c->upstream = cf_upstream_send (loop, t_get_target (&table, "a"), request, id,
                                  head_only, &callbacks, c);
  ck_assert_ptr_nonnull (c->upstream);
}

/* Receives a request on the connection @peer; FALSE if it comes on another one,
 * which then replaces @peer. */
static gboolean
receive_on_same_connection (void)
{
  char buf[256];

  for (int i = 0; i < TURNS_MAX; i++)
    {
      int fd;

      turn ();
      if (peer >= 0 && recv (peer, buf, sizeof buf, MSG_DONTWAIT) > 0)
        return TRUE;
      fd = cf_socket_accept (listener);
      if (fd < 0)
        continue;
      peer = fd;
      ck_assert (receive_request ());
      return FALSE;
    }
  ck_abort_msg ("no request came");
}

/* @id: (nullable) */
static char *
make_answer (int status, const char *id)
{
  g_autofree char *line
      = id ? g_strdup_printf ("Comfreypost-Request-Id: %s\r\n", id)
           : g_strdup ("");

  return g_strdup_printf ("HTTP/1.1 %d Status\r\n%sContent-Length: 2\r\n\r\nok",
                          status, line);
}

static void
answer (int fd, int status, const char *id)
{
  g_autofree char *text = make_answer (status, id);

  ck_assert_int_eq (send (fd, text, strlen (text), MSG_NOSIGNAL),
                    strlen (text));
}

static void
wait_for_end (const Call *c)
{
  for (int i = 0; i < TURNS_MAX && !c->is_done && !c->has_failed; i++)
    turn ();
}

static void
play_answered (const char *id, int status)
{
  Call c = { 0 };

  send_request (&c, id, FALSE);
  receive_on_same_connection ();
  answer (peer, status, id);
  wait_for_end (&c);
  ck_assert (c.is_done);
  ck_assert_int_eq (c.status, status);
}

/* A caller was told that its request has not run, while the target ran it. */
START_TEST (late_copy_of_a_refusal_is_not_the_answer_to_a_repeat)
{
  static const int statuses[] = { 503, 500, 504, 200 };
  Call repeat = { 0 };
  int first;

  play_answered ("x", statuses[_i]);
  first = peer;
  send_request (&repeat, "x", FALSE);
  receive_on_same_connection ();
  answer (first, statuses[_i], "x");
  for (int i = 0; i < 50; i++)
    turn ();
  ck_assert (!repeat.is_done);
  answer (peer, 201, "x");
  wait_for_end (&repeat);
  ck_assert (repeat.is_done);
  ck_assert_int_eq (repeat.status, 201);
  if (first != peer)
    close (first);
}
END_TEST

START_TEST (repeat_after_other_requests_uses_another_connection)
{
  play_answered ("x", 503);
  for (int i = 0; i < 40; i++)
    {
      g_autofree char *id = g_strdup_printf ("y%d", i);
      Call c = { 0 };

      send_request (&c, id, FALSE);
      ck_assert (receive_on_same_connection ());
      answer (peer, 200, id);
      wait_for_end (&c);
      ck_assert (c.is_done);
    }
  {
    Call repeat = { 0 };

    send_request (&repeat, "x", FALSE);
    ck_assert (!receive_on_same_connection ());
  }
}
END_TEST

/* Whatever else comes before it, the answer with the request's id is taken. */
START_TEST (late_copies_of_other_answers_are_skipped)
{
  Call c = { 0 };

  play_answered ("x", 200);
  send_request (&c, "y", FALSE);
  ck_assert (receive_on_same_connection ());
  answer (peer, 200, "x");
  answer (peer, 503, "x");
  answer (peer, 200, "y");
  wait_for_end (&c);
  ck_assert (c.is_done);
  ck_assert_int_eq (c.status, 200);
}
END_TEST

START_TEST (late_copy_that_is_cut_is_not_taken)
{
  static const char cut[] = "HTTP/1.1 200 OK\r\nComfreypost-Request-Id: x\r\n"
                            "Content-Length: 9\r\n\r\nok";
  Call c = { 0 };

  play_answered ("x", 200);
  send_request (&c, "y", FALSE);
  ck_assert (receive_on_same_connection ());
  ck_assert_int_eq (send (peer, cut, strlen (cut), 0), strlen (cut));
  close (peer);
  peer = -1;
  wait_for_end (&c);
  ck_assert (c.has_failed);
  ck_assert_int_eq (c.status, 0);
}
END_TEST

/* It may be an answer to another request. */
START_TEST (answer_without_an_id_is_not_taken_where_one_is_due)
{
  Call c = { 0 };

  play_answered ("w", 200);
  send_request (&c, "x", FALSE);
  ck_assert (receive_on_same_connection ());
  answer (peer, 503, NULL);
  wait_for_end (&c);
  ck_assert (c.has_failed);
  ck_assert_int_eq (c.status, 0);
}
END_TEST

/* A process that has taken over a target's address may not know its headers. */
START_TEST (answer_without_an_id_is_taken_on_a_new_connection)
{
  Call c = { 0 };

  send_request (&c, "x", FALSE);
  receive_on_same_connection ();
  answer (peer, 421, NULL);
  wait_for_end (&c);
  ck_assert (c.is_done);
  ck_assert_int_eq (c.status, 421);
}
END_TEST

/* The next one of such answers would not have been taken. */
START_TEST (connection_is_not_kept_after_an_answer_without_an_id)
{
  for (int i = 0; i < 3; i++)
    {
      g_autofree char *id = g_strdup_printf ("r%d", i);
      Call c = { 0 };

      send_request (&c, id, FALSE);
      ck_assert (!receive_on_same_connection ());
      answer (peer, 421, NULL);
      wait_for_end (&c);
      ck_assert (c.is_done);
      ck_assert_int_eq (c.status, 421);
    }
}
END_TEST

/* A late copy of a stream was taken for a rank's answer to an order. */
START_TEST (answer_with_an_id_is_not_taken_where_none_is_due)
{
  Call c = { 0 };

  play_answered ("x", 200);
  send_request (&c, NULL, FALSE);
  ck_assert (receive_on_same_connection ());
  answer (peer, 200, "x");
  for (int i = 0; i < 50; i++)
    turn ();
  ck_assert (!c.is_done);
  answer (peer, 202, NULL);
  wait_for_end (&c);
  ck_assert (c.is_done);
  ck_assert_int_eq (c.status, 202);
}
END_TEST

/* The copy's length says nothing of the bytes that follow it. */
START_TEST (connection_that_answered_head_is_not_used_again)
{
  Call c = { 0 };
  Call next = { 0 };

  send_request (&c, "x", TRUE);
  receive_on_same_connection ();
  ck_assert_int_eq (send (peer,
                          "HTTP/1.1 200 OK\r\nComfreypost-Request-Id: x\r\n"
                          "Content-Length: 99\r\n\r\n",
                          66, 0),
                    66);
  wait_for_end (&c);
  ck_assert (c.is_done);
  send_request (&next, "y", FALSE);
  ck_assert (!receive_on_same_connection ());
}
END_TEST

/* They took all of a gateway's processor share until the time limit. */
START_TEST (bytes_without_end_before_an_answer_are_not_read_on)
{
  static const char *const parts[] = {
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 200 OK\r\nComfreypost-Request-Id: y\r\n"
    "Content-Length: 1\r\n\r\n.",
    "1000\r\n",
  };
  g_autofree char *chunk = g_strnfill (0x1000, 'x');
  Call c = { 0 };
  gsize sent = 0;

  send_request (&c, "x", FALSE);
  receive_on_same_connection ();
  if (_i == 2)
    ck_assert_int_gt (send (peer,
                            "HTTP/1.1 200 OK\r\nComfreypost-Request-Id: y\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n",
                            74, MSG_NOSIGNAL),
                      0);
  for (int i = 0; i < TURNS_MAX && !c.has_failed; i++)
    {
      ssize_t n = send (peer, parts[_i], strlen (parts[_i]), MSG_NOSIGNAL);

      if (_i == 2 && n > 0)
        n = send (peer, chunk, 0x1000, MSG_NOSIGNAL);
      if (_i == 2 && n > 0)
        n = send (peer, "\r\n", 2, MSG_NOSIGNAL);
      sent += _i == 2 ? 0x1000 : (gsize)MAX (n, 0);
      turn ();
    }
  ck_assert (c.has_failed);
  ck_assert (!c.is_done);
  ck_assert_uint_lt (sent, 300000);
}
END_TEST

START_TEST (connection_is_closed_once_its_ids_cannot_be_remembered)
{
  int n = 1;

  play_answered ("first", 200);
  for (;; n++)
    {
      g_autofree char *id = g_strdup_printf ("n%d", n);
      Call c = { 0 };

      send_request (&c, id, FALSE);
      if (!receive_on_same_connection ())
        break;
      answer (peer, 200, id);
      wait_for_end (&c);
    }
  ck_assert_int_ge (n, 200);
  ck_assert_int_le (n, 300);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("upstream");
  TCase *t = tcase_create ("upstream");

  tcase_add_checked_fixture (t, setup, teardown);
  tcase_add_test (t, answer_is_not_read_on_a_connection_paused_before);
  tcase_add_test (t, idle_connection_paused_before_is_kept_after_its_end);
  tcase_add_loop_test (t, late_copy_of_a_refusal_is_not_the_answer_to_a_repeat,
                       0, 4);
  tcase_add_test (t, repeat_after_other_requests_uses_another_connection);
  tcase_add_test (t, late_copies_of_other_answers_are_skipped);
  tcase_add_test (t, late_copy_that_is_cut_is_not_taken);
  tcase_add_test (t, answer_without_an_id_is_not_taken_where_one_is_due);
  tcase_add_test (t, answer_without_an_id_is_taken_on_a_new_connection);
  tcase_add_test (t, connection_is_not_kept_after_an_answer_without_an_id);
  tcase_add_test (t, answer_with_an_id_is_not_taken_where_none_is_due);
  tcase_add_test (t, connection_that_answered_head_is_not_used_again);
  tcase_add_loop_test (t, bytes_without_end_before_an_answer_are_not_read_on, 0,
                       3);
  tcase_add_test (t, connection_is_closed_once_its_ids_cannot_be_remembered);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
