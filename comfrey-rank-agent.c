#include "gateway/rank-agent.h"
#include "gateway/signals.h"
#include "log-writer.h"
#include "log.h"
#include "platform/names.h"
#include "version.h"

#include <glib.h>
#include <stdio.h>
#include <unistd.h>

/** Longest time to write the remaining log lines at exit. */
#define LOG_FLUSH_TIMEOUT_MS 200

static CfRankAgent agent;

static void
on_stop (struct ev_loop *loop, ev_signal *w, int revents)
{
  cf_log (LOG_NOTICE, CF_EV_STOP, "signal=%d", w->signum);
  ev_break (loop, EVBREAK_ALL);
}

static void
on_reload (struct ev_loop *loop, ev_signal *w, int revents)
{
  cf_log (LOG_NOTICE, CF_EV_RELOAD, "outcome=nothing-to-change");
}

int
main (int argc, char **argv)
{
  GOptionContext *ctx = g_option_context_new (NULL);
  GError *err = NULL;

  g_option_context_set_summary (
      ctx, "The rank agent: reports the state of the rank on its VM to the "
           "gateway that leads the rank group, and forwards that gateway's "
           "orders to the rank.\nThe path of the settings file is read "
           "from " PF_ENV_SETTINGS ".");
  if (!g_option_context_parse (ctx, &argc, &argv, &err))
    {
      fprintf (stderr, "comfrey-rank-agent: %s; see --help\n", err->message);
      return 2;
    }
  g_option_context_free (ctx);
  cf_log_init ("comfrey-rank-agent");
  if (cf_platform_settings_load (cf_platform_settings_path (),
                                 CF_ROLE_RANK_AGENT, &agent.settings)
      != CF_OK)
    {
      cf_log (LOG_ERR, CF_EV_SETTINGS, "error=\"%s\"", cf_last_error ());
      return 2;
    }
  if (!cf_log_writer_start (STDOUT_FILENO))
    cf_log (LOG_WARNING, CF_EV_START,
            "error=\"cannot start the log writer thread\"");
  agent.loop = ev_default_loop (EVBACKEND_EPOLL | EVFLAG_NOENV);
  cf_signals_catch (agent.loop, on_stop, on_reload);
  if (cf_rank_agent_start (&agent) != CF_OK)
    {
      cf_log (LOG_ERR, CF_EV_SETTINGS, "error=\"%s\"", cf_last_error ());
      return 2;
    }
  cf_log (LOG_NOTICE, CF_EV_START, "name=%s version=%s target=%s seeds=%d",
          agent.settings.node_name ? agent.settings.node_name : "-", CF_VERSION,
          agent.settings.target_addr, agent.n_seeds);
  ev_run (agent.loop, 0);
  cf_log_writer_stop (LOG_FLUSH_TIMEOUT_MS);
  return 0;
}
