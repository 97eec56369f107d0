/*
 * The callers' tool ends with a message and a status, whatever it is given
 * and whatever becomes of the gateways it calls.
 *
 * The story.  The tool ended with a signal and no line, so that whoever ran
 * the demo learned nothing of the gateways.
 *
 * Causes, found by reading it after that: the number of callers went
 * unchecked into an allocation; a connection that failed at once began the
 * next request on the same stack, which grew with every request; a gateway
 * that fell silent, or told a caller to come back at no time, was waited for
 * without end.
 */
#include "harness.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define TOOL "target/comfrey-callers"

/** Said: how a run of the tool ended. */
typedef struct
{
  char *line;    /**< of standard output */
  char *message; /**< of standard error */
  int status;    /**< of exit; -1 if a signal ended it */
} Said;

static Said
run_line (const char *command)
{
  char *argv[] = { "sh", "-c", (char *)command, NULL };
  Said s = { 0 };
  int wait_status;

  ck_assert (g_spawn_sync (NULL, argv, NULL, G_SPAWN_SEARCH_PATH, NULL, NULL,
                           &s.line, &s.message, &wait_status, NULL));
  s.status = WIFEXITED (wait_status) ? WEXITSTATUS (wait_status) : -1;
  return s;
}

/* The tool with @args as a shell reads them. */
static Said
run (const char *args)
{
  g_autofree char *command = g_strdup_printf ("exec " TOOL " %s", args);

  return run_line (command);
}

static void
clear (Said *s)
{
  g_free (s->line);
  g_free (s->message);
}

/* It ended with @status, its line has @line and its message @message. */
static void
check (Said *s, int status, const char *line, const char *message)
{
  ck_assert_msg (s->status == status, "status %d: %s%s", s->status, s->line,
                 s->message);
  ck_assert_msg (strstr (s->line, line) != NULL, "\"%s\" lacks \"%s\"", s->line,
                 line);
  ck_assert_msg (strstr (s->message, message) != NULL, "\"%s\" lacks \"%s\"",
                 s->message, message);
  ck_assert (g_str_has_prefix (s->message, "comfrey-callers: "));
  clear (s);
}

static const char *const bad_args[][2] = {
  { "", "give --gateway IP:PORT" },
  { "--gateway nowhere", "bad address nowhere" },
  { "--gateway ''", "bad address" },
  { "--gateway 127.0.0.1:0", "bad address 127.0.0.1:0" },
  { "--gateway 127.0.0.1:70000", "bad address 127.0.0.1:70000" },
  { "--gateway 127.0.0.1:9 --gateway 1.2.3:4", "bad address 1.2.3:4" },
  { "--gateway 127.0.0.1:9 --requests 0", "--requests" },
  { "--gateway 127.0.0.1:9 --requests -7", "--requests" },
  { "--gateway 127.0.0.1:9 --requests 2147483647", "--requests" },
  { "--gateway 127.0.0.1:9 --requests 99999999999999999999", "requests" },
  { "--gateway 127.0.0.1:9 --requests many", "many" },
  { "--gateway 127.0.0.1:9 --requests ''", "requests" },
  { "--gateway 127.0.0.1:9 --callers 0", "--callers" },
  { "--gateway 127.0.0.1:9 --callers -7", "--callers" },
  { "--gateway 127.0.0.1:9 --callers 2147483647", "--callers" },
  { "--gateway 127.0.0.1:9 127.0.0.1:10", "127.0.0.1:10" },
  { "--gateway 127.0.0.1:9 --nonsense", "nonsense" },
  { "--gateway", "gateway" },
};

START_TEST (bad_arguments_are_named)
{
  Said s = run (bad_args[_i][0]);

  ck_assert_str_eq (s.line, "");
  check (&s, 2, "", bad_args[_i][1]);
}
END_TEST

/* A socket that listens on a free port of the loopback address. */
static int
listen_somewhere (int *port)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  socklen_t n = sizeof sa;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  sa.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ck_assert_int_eq (bind (fd, (struct sockaddr *)&sa, sizeof sa), 0);
  ck_assert_int_eq (listen (fd, 64), 0);
  ck_assert_int_eq (getsockname (fd, (struct sockaddr *)&sa, &n), 0);
  *port = ntohs (sa.sin_port);
  return fd;
}

START_TEST (no_gateway_is_there)
{
  g_autofree char *args = NULL;
  g_autofree char *addr = NULL;
  Said s;
  int port;

  close (listen_somewhere (&port));
  addr = g_strdup_printf ("127.0.0.1:%d: unsent", port);
  args = g_strdup_printf ("--gateway 127.0.0.1:%d --requests 50", port);
  s = run (args);
  check (&s, 1, "answered=0 refused=0 lost=50 wrong=0 ", addr);
}
END_TEST

/* The kernel refuses a connection to this address by itself, at once. */
START_TEST (connections_that_fail_at_once)
{
  Said s = run ("--gateway 255.255.255.255:9 --requests 300000");

  check (&s, 1, "answered=0 refused=0 lost=300000 wrong=0 ",
         "255.255.255.255:9: ");
}
END_TEST

/* Too few for an event loop, and too few for connections. */
START_TEST (no_descriptors_are_left)
{
  Said s = run_line ("ulimit -n 4; exec " TOOL " --gateway 127.0.0.1:9");

  ck_assert_str_eq (s.line, "");
  check (&s, 1, "", "Too many open files");
  s = run_line ("ulimit -n 6; exec " TOOL " --gateway 127.0.0.1:9");
  check (&s, 1, "answered=0 refused=0 lost=400 wrong=0 ", "127.0.0.1:9: ");
}
END_TEST

/* Answers each connection with the next of @answers and then is gone: the
 * process, what it listens at and the connections. */
static pid_t
serve (int listener, const char *const *answers)
{
  const struct linger reset = { 1, 0 };
  pid_t pid = fork ();

  if (pid != 0)
    {
      close (listener);
      return pid;
    }
  for (; *answers; answers++)
    {
      int fd = accept (listener, NULL, NULL);
      char buf[4096];

      (void)!read (fd, buf, sizeof buf);
      (void)!write (fd, *answers, strlen (*answers));
      usleep (20000);
      setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      close (fd);
    }
  _exit (0);
}

#define STREAM_HEAD                                                            \
  "HTTP/1.1 200 OK\r\nSignature: a\r\nContent-Type: text/event-stream\r\n"     \
  "Transfer-Encoding: chunked\r\n\r\n"

/* The first request is a stream, and its gateway dies in its midst; it is
 * not there any more for those that follow. */
START_TEST (a_gateway_goes_away_in_mid_stream)
{
  static const char *const answers[]
      = { STREAM_HEAD "c\r\nid: 1\ndata: x\n\n\r\n", NULL };
  g_autofree char *args = NULL;
  int port;
  pid_t pid = serve (listen_somewhere (&port), answers);
  Said s;

  args = g_strdup_printf ("--gateway 127.0.0.1:%d --requests 40 --callers 1",
                          port);
  s = run (args);
  check (&s, 1, "answered=0 refused=0 lost=40 wrong=0 ", "40 lost");
  waitpid (pid, NULL, 0);
}
END_TEST

/* The kernel takes the connections and nobody ever answers on them. */
START_TEST (a_gateway_falls_silent)
{
  g_autofree char *args = NULL;
  int port;
  int fd = listen_somewhere (&port);
  Said s;

  args = g_strdup_printf ("--gateway 127.0.0.1:%d --requests 6 --callers 6",
                          port);
  s = run (args);
  check (&s, 1, "answered=0 refused=0 lost=6 wrong=0 ", "no answer");
  close (fd);
}
END_TEST

#define BUSY(after)                                                            \
  "HTTP/1.1 503 Busy\r\nRetry-After: " after "\r\nContent-Length: 0\r\n"       \
  "Connection: close\r\n\r\n"

START_TEST (callers_told_to_come_back_at_no_time)
{
  static const char *const answers[]
      = { BUSY ("nan"), BUSY ("1e300"), BUSY ("-1"), NULL };
  g_autofree char *args = NULL;
  int port;
  pid_t pid = serve (listen_somewhere (&port), answers);
  Said s;

  args = g_strdup_printf ("--gateway 127.0.0.1:%d --requests 1 --callers 1",
                          port);
  s = run (args);
  ck_assert_msg (s.status == 0, "status %d: %s", s.status, s.message);
  ck_assert_ptr_nonnull (
      strstr (s.line, "answered=0 refused=1 lost=0 wrong=0 "));
  clear (&s);
  waitpid (pid, NULL, 0);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("callers");
  TCase *t = tcase_create ("callers");

  tcase_set_timeout (t, 20);
  tcase_add_loop_test (t, bad_arguments_are_named, 0,
                       (int)G_N_ELEMENTS (bad_args));
  tcase_add_test (t, no_gateway_is_there);
  tcase_add_test (t, connections_that_fail_at_once);
  tcase_add_test (t, no_descriptors_are_left);
  tcase_add_test (t, a_gateway_goes_away_in_mid_stream);
  tcase_add_test (t, a_gateway_falls_silent);
  tcase_add_test (t, callers_told_to_come_back_at_no_time);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
