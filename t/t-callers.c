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
#include <stdlib.h>
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
  { "--gateway 127.0.0.1:9 --rate 5", "--duration" },
  { "--gateway 127.0.0.1:9 --duration 5", "--rate" },
  { "--gateway 127.0.0.1:9 --rate -5 --duration 1", "--rate" },
  { "--gateway 127.0.0.1:9 --rate nan --duration 1", "--rate" },
  { "--gateway 127.0.0.1:9 --rate 5 --duration 1e9", "--duration" },
  { "--gateway 127.0.0.1:9 --rate 5 --duration 1 --weight 1 --weight 1",
    "--weight" },
  { "--gateway 127.0.0.1:9 --rate 5 --duration 1 --weight 0", "--weight" },
  { "--gateway 127.0.0.1:9 --rate 5 --duration 1 --weight -1", "--weight" },
  { "--gateway 127.0.0.1:9 --rate 5 --duration 1 --weight inf", "--weight" },
  { "--gateway 127.0.0.1:9 --rate 5 --duration 1 --mix /a", "--mix" },
  { "--gateway 127.0.0.1:9 --rate 5 --duration 1 --mix a=1", "--mix" },
  { "--gateway 127.0.0.1:9 --rate 5 --duration 1 --mix /a=0", "--mix" },
  { "--gateway 127.0.0.1:9 --rate 5 --duration 1 --mix '/a b=1'", "--mix" },
  { "--gateway 127.0.0.1:9 --rate 5 --duration 1 --early 1.5", "--early" },
  { "--gateway 127.0.0.1:9 --rate 5 --duration 1 --move-s -1", "--move-s" },
  { "--gateway 127.0.0.1:9 --rate 5 --duration 1 --burst-rate -1",
    "--burst-rate" },
  { "--gateway 127.0.0.1:9 --rate 5 --duration 1 --deadline-ms 0",
    "--deadline-ms" },
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
 * listening socket.  It writes the requests to @record_fd unless that is -1. */
static pid_t
serve_and_record_answers (int listener, const char *const *answers,
                          int record_fd)
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

      ssize_t n = read (fd, buf, sizeof buf);

      if (n > 0 && record_fd >= 0)
        (void)!write (record_fd, buf, (size_t)n);
      (void)!write (fd, *answers, strlen (*answers));
      usleep (20000);
      setsockopt (fd, SOL_SOCKET, SO_LINGER, &abort_on_close,
                  sizeof abort_on_close);
      close (fd);
    }
  _exit (0);
}

static pid_t
serve_answers (int listener, const char *const *answers)
{
  return serve_and_record_answers (listener, answers, -1);
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

/* The value of "@name=N" after @after in @output. */
static int
get_count (const char *output, const char *after, const char *name)
{
  g_autofree char *key = g_strdup_printf (" %s=", name);
  const char *line = strstr (output, after);
  const char *at = line ? strstr (line, key) : NULL;

  ck_assert_msg (at != NULL, "\"%s\" lacks %s%s", output, after, key);
  return (int)g_ascii_strtoll (at + strlen (key), NULL, 10);
}

/* Two gateways that refuse connections, so that each request ends at once. */
#define LOAD "--gateway 127.0.0.1:9 --gateway 127.0.0.1:10 --duration 1 "

/* Guards against loads other than asked for: a weight that is not that of its
 * gateway or kind, one that does not move, and a burst outside its time.  The
 * bounds are four standard deviations from the means. */
START_TEST (requests_arrive_as_asked)
{
  RunResult even = run_tool (LOAD "--rate 400 --mix /a@k=3 --mix /b=1");
  RunResult uneven = run_tool (LOAD "--rate 400 --weight 0 --weight 3");
  RunResult moving
      = run_tool (LOAD "--rate 400 --weight 0 --weight 3 --move-s 0.5");
  RunResult burst = run_tool (LOAD "--rate 100 --burst-at 0.2 --burst-for 0.5 "
                                   "--burst-rate 400");
  RunResult late_burst = run_tool (LOAD "--rate 100 --burst-at 2 --burst-for 1 "
                                        "--burst-rate 400");

  ck_assert_int_eq (even.status, 1);
  ck_assert_int_lt (abs (get_count (even.output, "kind=/a@k", "sent") - 300),
                    70);
  ck_assert_int_lt (abs (get_count (even.output, "kind=/b", "sent") - 100), 40);
  ck_assert_int_lt (
      abs (get_count (even.output, "gateway=127.0.0.1:10", "lost") - 200), 57);
  ck_assert_int_eq (get_count (uneven.output, "gateway=127.0.0.1:9", "sent"),
                    0);
  ck_assert_int_lt (
      abs (get_count (moving.output, "gateway=127.0.0.1:9", "sent") - 200), 57);
  ck_assert_int_lt (
      abs (get_count (moving.output, "gateway=127.0.0.1:10", "sent") - 200),
      57);
  ck_assert_int_lt (abs (get_count (burst.output, "kind=", "sent") - 300), 70);
  ck_assert_int_lt (abs (get_count (late_burst.output, "kind=", "sent") - 100),
                    40);
  clear_result (&even);
  clear_result (&uneven);
  clear_result (&moving);
  clear_result (&burst);
  clear_result (&late_burst);
}
END_TEST

#define SIGNED_ANSWER                                                          \
  "HTTP/1.1 200 OK\r\nComfreypost-Server-Signature: a\r\nContent-Length: "     \
  "0\r\n"                                                                      \
  "Connection: close\r\n\r\n"
/** Exactly one request arrives. */
#define ONE_REQUEST "--rate 10 --duration 0.1 --seed 10 --deadline-ms 900 "

/* Runs the tool for one request to a gateway with these answers.  Returns its
 * output, and the requests that the gateway got. */
static char *
run_one_request (const char *args, const char *const *answers, char **requests)
{
  g_autofree char *all_args = NULL;
  char buf[16384];
  RunResult result;
  int fds[2];
  int port;
  pid_t pid;
  ssize_t n;

  ck_assert_int_eq (pipe (fds), 0);
  pid = serve_and_record_answers (listen_on_free_port (&port), answers, fds[1]);
  close (fds[1]);
  all_args = g_strdup_printf ("--gateway 127.0.0.1:%d " ONE_REQUEST "%s", port,
                              args);
  result = run_tool (all_args);
  ck_assert_msg (result.status == 0, "status %d: %s%s", result.status,
                 result.output, result.error_output);
  waitpid (pid, NULL, 0);
  n = read (fds[0], buf, sizeof buf);
  close (fds[0]);
  *requests = g_strndup (buf, (gsize)MAX (n, 0));
  g_free (result.error_output);
  return result.output;
}

/* The header @name of the request that begins at @request. */
static char *
get_header (const char *request, const char *name)
{
  g_autofree char *key = g_strdup_printf ("\r\n%s: ", name);
  const char *at = strstr (request, key);

  ck_assert_msg (at != NULL, "\"%s\" lacks %s", request, name);
  at += strlen (key);
  return g_strndup (at, strcspn (at, "\r"));
}

/* Guards against a returning caller that gateways cannot recognise, or whose
 * deadline begins anew. */
START_TEST (refused_caller_returns_when_told)
{
  static const char *const answers[]
      = { BUSY_ANSWER ("0.2"), SIGNED_ANSWER, NULL };
  g_autofree char *requests = NULL;
  g_autofree char *output
      = run_one_request ("--return --mix /a@k=1", answers, &requests);
  const char *second = strstr (requests + 1, "POST /a ");
  g_autofree char *first_id = get_header (requests, "Comfreypost-Request-Id");
  g_autofree char *first_body = NULL;
  g_autofree char *second_id = NULL;
  g_autofree char *second_left = NULL;

  ck_assert_ptr_nonnull (strstr (
      output, "kind=/a@k sent=1 served=1 in_time=1 refused=0 returned=1 "
              "refused_after_return=0 early=0 lost=0 "));
  ck_assert_ptr_nonnull (
      strstr (output, " sent=2 served=1 in_time=1 refused=1 returned=1 "));
  ck_assert_int_ge (get_count (output, "kind=", "p50_ms"), 200);
  ck_assert_ptr_nonnull (second);
  second_id = get_header (second, "Comfreypost-Request-Id");
  second_left = get_header (second, "Comfreypost-Deadline-Ms");
  ck_assert_str_ne (first_id, second_id);
  ck_assert_int_le (atoi (second_left), 700);
  first_body = g_strndup (strstr (requests, "\r\n\r\n"),
                          (gsize)(second - strstr (requests, "\r\n\r\n")));
  ck_assert_str_eq (first_body, strstr (second, "\r\n\r\n"));
}
END_TEST

/* A caller waits for a third of its remaining time at most, and does not return
 * more than twice. */
START_TEST (refused_caller_gives_up)
{
  static const char *const answers[]
      = { BUSY_ANSWER ("30"), BUSY_ANSWER ("0"), BUSY_ANSWER ("0"), NULL };
  g_autofree char *requests = NULL;
  g_autofree char *output = run_one_request ("--return", answers, &requests);

  ck_assert_ptr_nonnull (
      strstr (output, "kind=/quote/a sent=1 served=0 in_time=0 refused=1 "
                      "returned=2 refused_after_return=2 early=0 lost=0 "));
}
END_TEST

START_TEST (refused_caller_returns_early)
{
  static const char *const answers[]
      = { BUSY_ANSWER ("30"), BUSY_ANSWER ("0.1"), SIGNED_ANSWER, NULL };
  g_autofree char *requests = NULL;
  g_autofree char *output = run_one_request ("--early 1", answers, &requests);

  ck_assert_ptr_nonnull (
      strstr (output, "returns=early sent=1 served=1 in_time=1 refused=0 "
                      "returned=2 refused_after_return=1 early=2 lost=0 "));
  ck_assert_int_lt (get_count (output, "kind=", "p50_ms"), 290);
}
END_TEST

START_TEST (refused_caller_does_not_return_by_default)
{
  static const char *const answers[] = { BUSY_ANSWER ("0"), NULL };
  g_autofree char *requests = NULL;
  g_autofree char *output = run_one_request ("", answers, &requests);

  ck_assert_ptr_nonnull (strstr (output, " sent=1 served=0 in_time=0 refused=1 "
                                         "returned=0 "));
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
  tcase_add_test (t, requests_arrive_as_asked);
  tcase_add_test (t, refused_caller_returns_when_told);
  tcase_add_test (t, refused_caller_gives_up);
  tcase_add_test (t, refused_caller_returns_early);
  tcase_add_test (t, refused_caller_does_not_return_by_default);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
