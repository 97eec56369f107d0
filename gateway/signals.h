#pragma once

#include <ev.h>

/** CfSignalCallback: what is done on a signal, on the event thread. */
typedef void (*CfSignalCallback) (struct ev_loop *loop, ev_signal *w,
                                  int revents);

/**
 * cf_signals_catch:
 * @stop: on SIGTERM and SIGINT
 * @reload: on SIGHUP
 *
 * SIGPIPE is ignored: writes say so themselves.
 */
void cf_signals_catch (struct ev_loop *loop, CfSignalCallback stop,
                       CfSignalCallback reload);
