#include "harness.h"

#include "http-client.h"

#include <errno.h>
#include <string.h>

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <sys/file.h>
#include <sys/wait.h>
#include <unistd.h>

static GArray *child_pids;

/* Each test program writes to a directory of its own, so that several can run
 * at the same time. */
static char *
output_path (const char *name, const char *suffix)
{
  g_autofree char *dir
      = g_strdup_printf ("t/out/%s", program_invocation_short_name);

  g_mkdir_with_parents (dir, 0755);
  return g_strdup_printf ("%s/%s.%s", dir, name, suffix);
}

pid_t
t_start_program (const char *name, const char *prog, const char *settings)
{
  g_autofree char *settings_path = output_path (name, "toml");
  g_autofree char *log_path = output_path (name, "log");
  pid_t pid;

  g_file_set_contents (settings_path, settings, -1, NULL);
  if (child_pids == NULL)
    child_pids = g_array_new (FALSE, FALSE, sizeof (pid_t));
  pid = fork ();
  if (pid == 0)
    {
      int fd = open (log_path, O_WRONLY | O_CREAT | O_TRUNC, 0644);

      dup2 (fd, 2);
      execl (prog, prog, "--settings", settings_path, (char *)NULL);
      _exit (127);
    }
  g_array_append_val (child_pids, pid);
  return pid;
}

void
t_stop_all (void)
{
  /* The last one started may use those before it until it has ended. */
  for (guint i = child_pids ? child_pids->len : 0; i > 0; i--)
    {
      pid_t pid = g_array_index (child_pids, pid_t, i - 1);

      kill (pid, SIGTERM);
      waitpid (pid, NULL, 0);
    }
  if (child_pids)
    g_array_set_size (child_pids, 0);
}

gboolean
t_wait_for_body (const char *url, const char *needle, int timeout_ms)
{
  for (int waited = 0; waited < timeout_ms; waited += 50)
    {
      g_autofree char *body = NULL;
      long code = 0;

      if (cf_http_call ("GET", url, NULL, NULL, 1000, &code, &body) == CF_OK
          && strstr (body, needle))
        return TRUE;
      usleep (50000);
    }
  return FALSE;
}

/* Each test program uses fixed ports.  If the same test program runs from
 * another source tree at the same time, it would connect to the processes of
 * this one; the lock makes it wait. */
int
t_acquire_lock (const char *name)
{
  g_autofree char *file = g_strdup_printf ("comfrey-%s.lock", name);
  g_autofree char *path = g_build_filename (g_get_tmp_dir (), file, NULL);
  int fd = open (path, O_RDWR | O_CREAT | O_CLOEXEC, 0666);

  if (fd < 0 || flock (fd, LOCK_EX) != 0)
    fprintf (stderr, "cannot lock %s: %s; running without the lock\n", path,
             strerror (errno));
  return fd;
}

int
t_run_suite (Suite *s)
{
  int lock_fd = t_acquire_lock (program_invocation_short_name);
  SRunner *runner = srunner_create (s);
  int failed;

  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  if (lock_fd >= 0)
    close (lock_fd);
  return failed ? 1 : 0;
}

char *
t_read_log (const char *name)
{
  g_autofree char *log_path = output_path (name, "log");
  char *text = NULL;

  g_file_get_contents (log_path, &text, NULL, NULL);
  return text ? text : g_strdup ("");
}
