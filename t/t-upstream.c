/* A connection to a target: reuse, and reading that was paused. */
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
} Call;

static void
on_head (void *owner, const CfHttpReader *r)
{
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

int
main (void)
{
  Suite *s = suite_create ("upstream");
  TCase *t = tcase_create ("upstream");

  tcase_add_checked_fixture (t, setup, teardown);
  tcase_add_test (t, answer_is_not_read_on_a_connection_paused_before);
  tcase_add_test (t, idle_connection_paused_before_is_kept_after_its_end);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
