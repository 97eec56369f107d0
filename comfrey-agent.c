#include "agent.h"
#include "daemon.h"
#include "log.h"

#include <stdio.h>

int
main (int argc, char **argv)
{
  static CfAgent a;
  CfDaemonArgs args = { 0 };
  CfSettings s = { 0 };
  int rc;

  rc = cf_daemon_init (&argc, &argv, "comfrey-agent",
                       "Runs next to one target: forwards requests, runs "
                       "non-repeatable calls at most once, checks fencing "
                       "tokens of orders, drains.",
                       cf_agent_defaults, &args, &s);
  if (rc >= 0)
    return rc;
  if (cf_agent_settings_read (&s, &a.settings) != CF_OK)
    return cf_daemon_log_settings_error ();
  if (cf_daemon_is_check_only (&args, &s))
    return 0;
  if (cf_agent_start (&a) != CF_OK)
    {
      cf_log (LOG_ERR, CF_EV_STOP, "error=\"%s\"", cf_last_error ());
      return 1;
    }
  cf_log (LOG_INFO, CF_EV_START, "listen=%s", a.settings.listen);
  rc = cf_daemon_wait_for_signal ();
  cf_agent_drain (&a, "signal");
  cf_log (LOG_INFO, CF_EV_STOP, "signal=%d", rc);
  return 0;
}
