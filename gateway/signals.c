#include "signals.h"

#include <signal.h>

void
cf_signals_catch (struct ev_loop *loop, CfSignalCallback stop,
                  CfSignalCallback reload)
{
  static ev_signal term;
  static ev_signal intr;
  static ev_signal hup;

  ev_signal_init (&term, stop, SIGTERM);
  ev_signal_start (loop, &term);
  ev_signal_init (&intr, stop, SIGINT);
  ev_signal_start (loop, &intr);
  ev_signal_init (&hup, reload, SIGHUP);
  ev_signal_start (loop, &hup);
  signal (SIGPIPE, SIG_IGN);
}
