#include "daemon.h"

#include "log.h"
#include "version.h"

#include <signal.h>
#include <stdio.h>

int
cf_daemon_parse_options (int *argc, char ***argv, const char *prog,
                         const char *summary, GOptionEntry *entries)
{
  gboolean version = FALSE;
  GOptionEntry common[] = {
    { "version", 0, 0, G_OPTION_ARG_NONE, &version,
      "Print the version and exit", NULL },
    { NULL },
  };
  g_autoptr (GOptionContext) ctx = g_option_context_new (NULL);
  g_autoptr (GError) err = NULL;

  g_option_context_set_summary (ctx, summary);
  g_option_context_add_main_entries (ctx, entries, NULL);
  g_option_context_add_main_entries (ctx, common, NULL);
  if (!g_option_context_parse (ctx, argc, argv, &err))
    {
      fprintf (stderr, "%s: %s (try --help)\n", prog, err->message);
      return 2;
    }
  if (version)
    {
      printf ("%s %s\n", prog, CF_VERSION);
      return 0;
    }
  return -1;
}

int
cf_daemon_init (int *argc, char ***argv, const char *prog, const char *summary,
                const char *defaults, CfDaemonArgs *a, CfSettings *s)
{
  GOptionEntry entries[] = {
    { "settings", 's', 0, G_OPTION_ARG_FILENAME, &a->settings,
      "Read settings from FILE (TOML)", "FILE" },
    { "check-settings", 0, 0, G_OPTION_ARG_NONE, &a->check_settings,
      "Check the settings and exit", NULL },
    { NULL },
  };
  sigset_t set;
  int rc;

  cf_log_init (prog);
  rc = cf_daemon_parse_options (argc, argv, prog, summary, entries);
  if (rc >= 0)
    return rc;
  if (cf_settings_load (s, a->settings, defaults) != CF_OK)
    return cf_daemon_log_settings_error ();

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
  return -1;
}

int
cf_daemon_log_settings_error (void)
{
  cf_log (LOG_ERR, CF_EV_SETTINGS, "error=\"%s\"", cf_last_error ());
  return 2;
}

gboolean
cf_daemon_is_check_only (const CfDaemonArgs *a, const CfSettings *s)
{
  if (a->check_settings)
    printf ("settings ok: %s\n", s->origin);
  return a->check_settings;
}

int
cf_daemon_init_fields (int *argc, char ***argv, const char *prog,
                       const char *summary, const char *defaults,
                       const CfSetting *fields, gsize n_fields, void *out)
{
  CfDaemonArgs args = { 0 };
  CfSettings s = { 0 };
  int rc = cf_daemon_init (argc, argv, prog, summary, defaults, &args, &s);

  if (rc < 0 && cf_settings_read (&s, fields, n_fields, out) != CF_OK)
    rc = cf_daemon_log_settings_error ();
  else if (rc < 0 && cf_daemon_is_check_only (&args, &s))
    rc = 0;
  cf_settings_clear (&s);
  return rc;
}

int
cf_daemon_serve_http (const char *listen, CfHttpHandler fn, void *data)
{
  CfHttpServer *http = NULL;
  int sig;

  if (cf_http_server_start (listen, fn, data, &http) != CF_OK)
    {
      cf_log (LOG_ERR, CF_EV_STOP, "error=\"%s\"", cf_last_error ());
      return 1;
    }
  cf_log (LOG_INFO, CF_EV_LISTEN, "addr=%s", listen);
  sig = cf_daemon_wait_for_signal ();
  cf_http_server_stop (http);
  cf_log (LOG_INFO, CF_EV_STOP, "signal=%d", sig);
  return 0;
}

int
cf_daemon_wait_for_signal (void)
{
  sigset_t set;
  int sig = 0;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  sigwait (&set, &sig);
  return sig;
}
