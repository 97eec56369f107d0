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

static GArray *started;

/* A folder for each test program, so that programs run side by side. */
static char *
out_file (const char *name, const char *suffix)
{
  g_autofree char *dir
      = g_strdup_printf ("t/out/%s", program_invocation_short_name);

  g_mkdir_with_parents (dir, 0755);
  return g_strdup_printf ("%s/%s.%s", dir, name, suffix);
}

pid_t
t_start_program (const char *name, const char *prog, const char *settings)
{
  g_autofree char *conf = out_file (name, "toml");
  g_autofree char *log = out_file (name, "log");
  pid_t pid;

  g_file_set_contents (conf, settings, -1, NULL);
  if (started == NULL)
    started = g_array_new (FALSE, FALSE, sizeof (pid_t));
  pid = fork ();
  if (pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_TRUNC, 0644);

      dup2 (fd, 2);
      execl (prog, prog, "--settings", conf, (char *)NULL);
      _exit (127);
    }
  g_array_append_val (started, pid);
  return pid;
}

void
t_stop_all (void)
{
  for (guint i = 0; started && i < started->len; i++)
    kill (g_array_index (started, pid_t, i), SIGTERM);
  for (guint i = 0; started && i < started->len; i++)
    waitpid (g_array_index (started, pid_t, i), NULL, 0);
  if (started)
    g_array_set_size (started, 0);
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

/* Each test program has fixed ports: the same one run from another tree at
 * the same time would meet this one's processes, so it waits its turn. */
int
t_acquire_lock (const char *name)
{
  g_autofree char *file = g_strdup_printf ("comfrey-%s.lock", name);
  g_autofree char *path = g_build_filename (g_get_tmp_dir (), file, NULL);
  int fd = open (path, O_RDWR | O_CREAT | O_CLOEXEC, 0666);

  if (fd < 0 || flock (fd, LOCK_EX) != 0)
    fprintf (stderr, "%s: %s: no turns are taken\n", path, strerror (errno));
  return fd;
}

int
t_run_suite (Suite *s)
{
  int turn = t_acquire_lock (program_invocation_short_name);
  SRunner *sr = srunner_create (s);
  int failed;

  srunner_run_all (sr, CK_NORMAL);
  failed = srunner_ntests_failed (sr);
  srunner_free (sr);
  if (turn >= 0)
    close (turn);
  return failed ? 1 : 0;
}

char *
t_read_log (const char *name)
{
  g_autofree char *log = out_file (name, "log");
  char *text = NULL;

  g_file_get_contents (log, &text, NULL, NULL);
  return text ? text : g_strdup ("");
}
