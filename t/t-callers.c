/*
 * comfrey-callers ends with a message and an exit status for any options and
 * for any behaviour of the gateways that it calls.
 *
 * Guards against failures in which the tool was ended by a signal without its
 * line of totals, so that a run of the demo showed nothing about the gateways,
 * or did not end at all.  They had these causes:
 * - the number of callers was passed unchecked to an allocation;
 * - after a connect that failed immediately, the next request started on the
 *   same stack, which grew with every request;
 * - there was no limit to the wait for a gateway that had stopped answering, or
 *   whose Retry-After was not a usable time.
 */
#include "harness.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define TOOL "target/comfrey-callers"

/** RunResult: the outcome of a run of the tool. */
typedef struct
{
  char *output;       /**< text on standard output */
  char *error_output; /**< text on standard error */
  int status;         /**< exit status; -1 if a signal ended it */
} RunResult;

static RunResult
run_command (const char *command)
{
  char *argv[] = { "sh", "-c", (char *)command, NULL };
  RunResult result = { 0 };
  int wait_status;

  ck_assert (g_spawn_sync (NULL, argv, NULL, G_SPAWN_SEARCH_PATH, NULL, NULL,
                           &result.output, &result.error_output, &wait_status,
                           NULL));
  result.status = WIFEXITED (wait_status) ? WEXITSTATUS (wait_status) : -1;
  return result;
}

/* Runs the tool with @args, which a shell splits into words. */
static RunResult
run_tool (const char *args)
{
  g_autofree char *command = g_strdup_printf ("exec " TOOL " %s", args);

  return run_command (command);
}

static void
clear_result (RunResult *result)
{
  g_free (result->output);
  g_free (result->error_output);
}

/* Checks that the tool exited with @status, and that its standard output
 * contains @expected_output and its standard error @expected_errors; frees
 * @result. */
static void
check_result (RunResult *result, int status, const char *expected_output,
              const char *expected_errors)
{
  ck_assert_msg (result->status == status, "status %d: %s%s", result->status,
                 result->output, result->error_output);
  ck_assert_msg (strstr (result->output, expected_output) != NULL,
                 "\"%s\" lacks \"%s\"", result->output, expected_output);
  ck_assert_msg (strstr (result->error_output, expected_errors) != NULL,
                 "\"%s\" lacks \"%s\"", result->error_output, expected_errors);
  ck_assert (g_str_has_prefix (result->error_output, "comfrey-callers: "));
  clear_result (result);
}

static const char *const invalid_args[][2] = {
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

START_TEST (invalid_arguments_are_reported)
{
  RunResult result = run_tool (invalid_args[_i][0]);

  ck_assert_str_eq (result.output, "");
  check_result (&result, 2, "", invalid_args[_i][1]);
}
END_TEST

/* A socket that listens on a free port of the loopback address. */
static int
listen_on_free_port (int *port)
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

START_TEST (gateway_refuses_connections)
{
  g_autofree char *args = NULL;
  g_autofree char *addr = NULL;
  RunResult result;
  int port;

  close (listen_on_free_port (&port));
  addr = g_strdup_printf ("127.0.0.1:%d: unsent", port);
  args = g_strdup_printf ("--gateway 127.0.0.1:%d --requests 50", port);
  result = run_tool (args);
  check_result (&result, 1, "answered=0 refused=0 lost=50 wrong=0 ", addr);
}
END_TEST

/* The kernel itself refuses a connect to the broadcast address, at once. */
START_TEST (connects_fail_immediately)
{
  RunResult result = run_tool ("--gateway 255.255.255.255:9 --requests 300000");

  check_result (&result, 1, "answered=0 refused=0 lost=300000 wrong=0 ",
                "255.255.255.255:9: ");
}
END_TEST

/* There are too few file descriptors first for the event loop, then for the
 * connections. */
START_TEST (out_of_file_descriptors)
{
  RunResult result
      = run_command ("ulimit -n 4; exec " TOOL " --gateway 127.0.0.1:9");

  ck_assert_str_eq (result.output, "");
  check_result (&result, 1, "", "Too many open files");
  result = run_command ("ulimit -n 6; exec " TOOL " --gateway 127.0.0.1:9");
  check_result (&result, 1, "answered=0 refused=0 lost=400 wrong=0 ",
                "127.0.0.1:9: ");
}
END_TEST

/* Starts a process that answers each connection with the next of @answers and
 * then resets it.  After the last one the process exits, which closes the
 * listening socket. */
static pid_t
serve_answers (int listener, const char *const *answers)
{
  const struct linger abort_on_close = { 1, 0 };
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
      setsockopt (fd, SOL_SOCKET, SO_LINGER, &abort_on_close,
                  sizeof abort_on_close);
      close (fd);
    }
  _exit (0);
}

#define STREAM_HEAD                                                            \
  "HTTP/1.1 200 OK\r\nSignature: a\r\nContent-Type: text/event-stream\r\n"     \
  "Transfer-Encoding: chunked\r\n\r\n"

/* The first request is a stream, and its gateway dies in the middle of it; the
 * requests after it cannot connect. */
START_TEST (gateway_dies_mid_stream)
{
  static const char *const answers[]
      = { STREAM_HEAD "c\r\nid: 1\ndata: x\n\n\r\n", NULL };
  g_autofree char *args = NULL;
  int port;
  pid_t pid = serve_answers (listen_on_free_port (&port), answers);
  RunResult result;

  args = g_strdup_printf ("--gateway 127.0.0.1:%d --requests 40 --callers 1",
                          port);
  result = run_tool (args);
  check_result (&result, 1, "answered=0 refused=0 lost=40 wrong=0 ", "40 lost");
  waitpid (pid, NULL, 0);
}
END_TEST

/* The kernel accepts the connections, and no process answers on them. */
START_TEST (gateway_never_answers)
{
  g_autofree char *args = NULL;
  int port;
  int fd = listen_on_free_port (&port);
  RunResult result;

  args = g_strdup_printf ("--gateway 127.0.0.1:%d --requests 6 --callers 6",
                          port);
  result = run_tool (args);
  check_result (&result, 1, "answered=0 refused=0 lost=6 wrong=0 ",
                "no answer");
  close (fd);
}
END_TEST

#define BUSY_ANSWER(after)                                                     \
  "HTTP/1.1 503 Busy\r\nRetry-After: " after "\r\nContent-Length: 0\r\n"       \
  "Connection: close\r\n\r\n"

START_TEST (retry_after_is_invalid)
{
  static const char *const answers[]
      = { BUSY_ANSWER ("nan"), BUSY_ANSWER ("1e300"), BUSY_ANSWER ("-1"),
          NULL };
  g_autofree char *args = NULL;
  int port;
  pid_t pid = serve_answers (listen_on_free_port (&port), answers);
  RunResult result;

  args = g_strdup_printf ("--gateway 127.0.0.1:%d --requests 1 --callers 1",
                          port);
  result = run_tool (args);
  ck_assert_msg (result.status == 0, "status %d: %s", result.status,
                 result.error_output);
  ck_assert_ptr_nonnull (
      strstr (result.output, "answered=0 refused=1 lost=0 wrong=0 "));
  clear_result (&result);
  waitpid (pid, NULL, 0);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("callers");
  TCase *t = tcase_create ("callers");

  tcase_set_timeout (t, 20);
  tcase_add_loop_test (t, invalid_arguments_are_reported, 0,
                       (int)G_N_ELEMENTS (invalid_args));
  tcase_add_test (t, gateway_refuses_connections);
  tcase_add_test (t, connects_fail_immediately);
  tcase_add_test (t, out_of_file_descriptors);
  tcase_add_test (t, gateway_dies_mid_stream);
  tcase_add_test (t, gateway_never_answers);
  tcase_add_test (t, retry_after_is_invalid);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
