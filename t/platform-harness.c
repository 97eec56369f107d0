#include "platform-harness.h"

#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

/** Interval at which p_wait_for_log_count() reads the log. */
#define LOG_POLL_MS 20
#define DEFAULT_DRAIN_MS 2000
#define DEFAULT_GRACE_S 5.0
/** So short that a gateway has its share of the retry slack at its first
 * request. */
#define DEFAULT_RETRY_WINDOW_S 0.001
#define DEFAULT_MAX_FDS 1024

static GArray *child_pids;
POverrides p_overrides;

static pid_t
spawn (const char *log_name, const char *settings, char **argv)
{
  const char *log_dir = p_overrides.log_dir ? p_overrides.log_dir : "t/out";
  g_autofree char *settings_path
      = g_strdup_printf ("%s/%s.conf", log_dir, log_name);
  g_autofree char *log_path = g_strdup_printf ("%s/%s.log", log_dir, log_name);
  int open_mode = p_overrides.log_dir ? O_APPEND : O_TRUNC;
  pid_t pid;

  g_mkdir_with_parents (log_dir, 0755);
  if (settings)
    g_file_set_contents (settings_path, settings, -1, NULL);
  if (child_pids == NULL)
    child_pids = g_array_new (FALSE, FALSE, sizeof (pid_t));
  pid = fork ();
  if (pid == 0)
    {
      int fd = open (log_path, O_WRONLY | O_CREAT | open_mode, 0644);

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (fd, 1);
      dup2 (fd, 2);
      setenv ("COMFREYPOST_CONFIG", settings_path, 1);
      execv (argv[0], argv);
      _exit (127);
    }
  g_array_append_val (child_pids, pid);
  return pid;
}

static gboolean
is_listening (int port)
{
  int fd = p_connect (port);

  if (fd < 0)
    return FALSE;
  close (fd);
  return TRUE;
}

static void
wait_for_port (int port)
{
  for (int i = 0; i < 500; i++)
    {
      if (is_listening (port))
        return;
      usleep (10000);
    }
  ck_abort_msg ("port %d is not accepting connections after 5 s", port);
}

pid_t
p_start_platform (int base, const char *first_arg, ...)
{
  GPtrArray *argv = g_ptr_array_new ();
  g_autofree char *port = g_strdup_printf ("%d", base);
  g_autofree char *name = g_strdup_printf ("platform-%d", base);
  va_list ap;
  pid_t pid;

  g_ptr_array_add (argv, "target/comfrey-fake-platform");
  g_ptr_array_add (argv, "--port");
  g_ptr_array_add (argv, port);
  va_start (ap, first_arg);
  for (const char *a = first_arg; a; a = va_arg (ap, const char *))
    g_ptr_array_add (argv, (char *)a);
  va_end (ap);
  g_ptr_array_add (argv, NULL);
  pid = spawn (name, NULL, (char **)argv->pdata);
  g_ptr_array_free (argv, TRUE);
  wait_for_port (base);
  return pid;
}

static char *
common_settings (int base)
{
  return g_strdup_printf (
      "ip=127.0.0.1\nzone=%s\nplatform.addr=127.0.0.1:%d\n"
      "seed-addrs=127.0.0.1:%d,127.0.0.1:%d,127.0.0.1:%d\n"
      "limits.memory-mb=128\nbounds.grace-s=%g\nbounds.stall_ms=400\n"
      "bounds.require-fence=true\n%s"
      "bounds.retry-window-s=%g\n"
      "bounds.drain-ms=%d\nlimits.max-fds=%d\n",
      p_overrides.zone ? p_overrides.zone : "dc1",
      p_overrides.store ? p_overrides.store : base,
      p_overrides.seed ? p_overrides.seed : base + 102, base + 202, base + 302,
      p_overrides.grace_s > 0 ? p_overrides.grace_s : DEFAULT_GRACE_S,
      p_overrides.allow_one_retry
          ? "bounds.retry-slack=10\nbounds.retry-ratio=0\n"
          : "bounds.retry-slack=60\n",
      p_overrides.retry_window_s > 0 ? p_overrides.retry_window_s
                                     : DEFAULT_RETRY_WINDOW_S,
      p_overrides.drain_ms ? p_overrides.drain_ms : DEFAULT_DRAIN_MS,
      p_overrides.max_fds ? p_overrides.max_fds : DEFAULT_MAX_FDS);
}

int
p_front_port (int base, int n)
{
  return base + 100 * n;
}

pid_t
p_start_gateway (int base, int n)
{
  g_autofree char *common = common_settings (base);
  g_autofree char *name = g_strdup_printf ("gateway-%d-%d", base, n);
  g_autofree char *metrics = g_strdup_printf ("%d", p_front_port (base, n) + 3);
  g_autofree char *s = g_strdup_printf (
      "node-name=gw-%d\nlisten.front=127.0.0.1:%d\n"
      "listen.ready=127.0.0.1:%d\nlisten.control=127.0.0.1:%d\n%s",
      n, p_front_port (base, n), p_front_port (base, n) + 1,
      p_front_port (base, n) + 2, common);
  const char *program
      = p_overrides.gateway ? p_overrides.gateway : "target/comfrey-gateway";
  char *argv[] = { (char *)program, "--metrics-port", metrics, NULL };
  pid_t pid = spawn (name, s, argv);

  wait_for_port (p_front_port (base, n) + 1);
  return pid;
}

pid_t
p_start_fault_proxy (int port, int to)
{
  g_autofree char *name = g_strdup_printf ("proxy-%d", port);
  g_autofree char *from_addr = g_strdup_printf ("127.0.0.1:%d", port);
  g_autofree char *to_addr = g_strdup_printf ("127.0.0.1:%d", to);
  char *argv[] = { "target/comfrey-fault-proxy", from_addr, to_addr, NULL };
  pid_t pid = spawn (name, NULL, argv);

  wait_for_port (port);
  return pid;
}

pid_t
p_start_agent (int base, int rank_port)
{
  g_autofree char *common = common_settings (base);
  g_autofree char *name = g_strdup_printf ("agent-%d-%d", base, rank_port);
  g_autofree char *s = g_strdup_printf ("node-name=agent\napp=127.0.0.1:%d\n%s",
                                        rank_port, common);
  char *argv[] = { "target/comfrey-rank-agent", NULL };

  return spawn (name, s, argv);
}

void
p_wait_until_ready (int base, int n)
{
  for (int i = 0; i < 250; i++)
    {
      g_autofree char *a = p_round_trip (p_front_port (base, n) + 1,
                                         "GET /v1/readyz HTTP/1.1\r\n\r\n");

      if (p_parse_status (a) == 200)
        return;
      usleep (20000);
    }
  ck_abort_msg ("gateway %d is not ready after 5 s", n);
}

pid_t
p_start_ready_gateway (int base, int n)
{
  pid_t pid = p_start_gateway (base, n);

  p_wait_until_ready (base, n);
  return pid;
}

static void
remove_pid (pid_t pid)
{
  for (guint i = 0; i < child_pids->len; i++)
    if (g_array_index (child_pids, pid_t, i) == pid)
      {
        g_array_remove_index (child_pids, i);
        return;
      }
}

gboolean
p_has_ended (pid_t pid, int *status)
{
  if (waitpid (pid, status, WNOHANG) != pid)
    return FALSE;
  remove_pid (pid);
  return TRUE;
}

int
p_stop (pid_t pid)
{
  int status = 0;

  kill (pid, SIGTERM);
  waitpid (pid, &status, 0);
  remove_pid (pid);
  return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}

void
p_signal (pid_t pid, int sig)
{
  kill (pid, sig);
  if (sig == SIGKILL)
    {
      waitpid (pid, NULL, 0);
      remove_pid (pid);
    }
}

void
p_stop_all (void)
{
  memset (&p_overrides, 0, sizeof p_overrides);
  for (guint i = 0; child_pids && i < child_pids->len; i++)
    kill (g_array_index (child_pids, pid_t, i), SIGKILL);
  for (guint i = 0; child_pids && i < child_pids->len; i++)
    waitpid (g_array_index (child_pids, pid_t, i), NULL, 0);
  if (child_pids)
    g_array_set_size (child_pids, 0);
}

int
p_connect (int port)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  sa.sin_port = htons ((guint16)port);
  sa.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (connect (fd, (struct sockaddr *)&sa, sizeof sa) == 0)
    return fd;
  close (fd);
  return -1;
}

void
p_send (int fd, const char *text)
{
  gsize n = strlen (text);

  while (n > 0)
    {
      ssize_t w = send (fd, text, n, MSG_NOSIGNAL);

      if (w <= 0)
        return;
      text += w;
      n -= (gsize)w;
    }
}

static gboolean
is_answer_complete (const GString *s)
{
  const char *end = strstr (s->str, "\r\n\r\n");
  const char *len = strstr (s->str, "Content-Length: ");

  if (!end)
    return FALSE;
  if (strstr (s->str, "Transfer-Encoding: chunked"))
    return g_str_has_suffix (s->str, "\r\n0\r\n\r\n");
  if (!len || len > end)
    return FALSE;
  return s->len >= (gsize)(end + 4 - s->str)
                       + (gsize)atol (len + strlen ("Content-Length: "));
}

char *
p_read_answer (int fd, int ms)
{
  GString *s = g_string_new (NULL);
  gint64 deadline_ms = g_get_monotonic_time () / 1000 + ms;

  while (!is_answer_complete (s))
    {
      struct pollfd p = { fd, POLLIN, 0 };
      gint64 remaining_ms = deadline_ms - g_get_monotonic_time () / 1000;
      char buf[8192];
      ssize_t n;

      if (remaining_ms <= 0 || poll (&p, 1, (int)remaining_ms) <= 0)
        break;
      n = recv (fd, buf, sizeof buf, 0);
      if (n <= 0)
        break;
      g_string_append_len (s, buf, n);
    }
  return g_string_free (s, FALSE);
}

char *
p_round_trip (int port, const char *text)
{
  int fd = p_connect (port);
  char *answer;

  if (fd < 0)
    return g_strdup ("");
  p_send (fd, text);
  answer = p_read_answer (fd, 10000);
  close (fd);
  return answer;
}

char *
p_build_request (const char *method_and_path, const char *id,
                 const char *more_headers, const char *body)
{
  return g_strdup_printf ("%s HTTP/1.1\r\nHost: demo.example\r\n"
                          "Comfreypost-Request-Id: %s\r\n"
                          "Comfreypost-Deadline-Ms: 5000\r\n"
                          "Authorization: Token key-museum\r\n"
                          "Content-Length: %zu\r\n%s\r\n%s",
                          method_and_path, id, strlen (body),
                          more_headers ? more_headers : "", body);
}

int
p_parse_status (const char *answer)
{
  return g_str_has_prefix (answer, "HTTP/1.1 ") ? atoi (answer + 9) : 0;
}

char *
p_call_standin (int port, const char *call, const char *body)
{
  g_autofree char *req
      = g_strdup_printf ("%s HTTP/1.1\r\nContent-Length: %zu\r\n\r\n%s", call,
                         strlen (body), body);
  g_autofree char *answer = p_round_trip (port, req);
  const char *end = strstr (answer, "\r\n\r\n");

  ck_assert_int_eq (p_parse_status (answer), 200);
  return g_strdup (end + 4);
}

double
p_json_number (const char *json, const char *name)
{
  g_autofree char *key = g_strdup_printf ("\"%s\":", name);
  const char *at = strstr (json, key);

  ck_assert_ptr_nonnull (at);
  return g_ascii_strtod (at + strlen (key), NULL);
}

guint
p_count_in_log (const char *file, const char *needle)
{
  g_autofree char *text = NULL;
  guint n = 0;

  if (!g_file_get_contents (file, &text, NULL, NULL))
    return 0;
  for (const char *at = text; (at = strstr (at, needle)); at++)
    n++;
  return n;
}

gboolean
p_wait_for_log_count (const char *file, const char *needle, guint n, int ms)
{
  for (int i = 0; i <= ms; i += LOG_POLL_MS)
    {
      if (p_count_in_log (file, needle) >= n)
        return TRUE;
      usleep (LOG_POLL_MS * 1000);
    }
  return FALSE;
}

gboolean
p_wait_for_log (const char *file, const char *needle, int ms)
{
  return p_wait_for_log_count (file, needle, 1, ms);
}

void
p_start_streams (int base, int *fds, gsize n)
{
  g_autofree char *req = p_build_request (
      "POST /chat/a", "x", "Comfreypost-Token-Count: 10,4000\r\n", "");

  for (gsize i = 0; i < n; i++)
    {
      fds[i] = p_connect (p_front_port (base, 1));
      p_send (fds[i], req);
    }
}

void
p_inject_fault (int first_port, int n_targets, const char *kind, int n_requests)
{
  g_autofree char *call
      = g_strdup_printf ("POST /test/fault?kind=%s&x=%d", kind, n_requests);

  for (int i = 0; i < n_targets; i++)
    g_free (p_call_standin (first_port + i, call, ""));
}

double
p_sum_runs (int first_port, int n_targets, const char *counter)
{
  double sum = 0;

  for (int i = 0; i < n_targets; i++)
    {
      g_autofree char *json
          = p_call_standin (first_port + i, "GET /test/runs", "");

      sum += p_json_number (json, counter);
    }
  return sum;
}

void
p_restart_gateways (int base, pid_t *gateways, int n)
{
  for (int i = 1; i <= n; i++)
    p_signal (gateways[i], SIGKILL);
  for (int i = 1; i <= n; i++)
    gateways[i] = p_start_ready_gateway (base, i);
}
