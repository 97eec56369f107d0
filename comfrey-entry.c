#include "daemon.h"
#include "entry.h"
#include "log.h"

#include <stdio.h>

int
main (int argc, char **argv)
{
  static CfEntry e;
  CfDaemonArgs args = { 0 };
  CfSettings s = { 0 };
  int rc;

  rc = cf_daemon_init (&argc, &argv, "comfrey-entry",
                       "The entry daemon: accepts callers' requests over HTTP "
                       "and routes them to agents by routing intent.",
                       cf_entry_defaults, &args, &s);
  if (rc >= 0)
    return rc;
  if (cf_entry_settings_read (&s, &e.settings) != CF_OK)
    return cf_daemon_log_settings_error ();
  if (cf_daemon_is_check_only (&args, &s))
    return 0;
  if (cf_entry_start (&e) != CF_OK)
    {
      cf_log (LOG_ERR, CF_EV_STOP, "error=\"%s\"", cf_last_error ());
      return 1;
    }
  cf_log (LOG_INFO, CF_EV_START, "name=%s", e.settings.name);
  rc = cf_daemon_wait_for_signal ();
  cf_entry_drain (&e);
  cf_log (LOG_INFO, CF_EV_STOP, "signal=%d", rc);
  return 0;
}
