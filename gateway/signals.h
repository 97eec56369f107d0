#pragma once

#include <ev.h>

/** CfSignalCallback: handles a signal on the event thread. */
typedef void (*CfSignalCallback) (struct ev_loop *loop, ev_signal *w,
                                  int revents);

/**
 * cf_signals_catch:
 * @stop: called on SIGTERM and SIGINT
 * @reload: called on SIGHUP
 *
 * Also ignores SIGPIPE: a write to a closed connection fails with EPIPE.
 */
void cf_signals_catch (struct ev_loop *loop, CfSignalCallback stop,
                       CfSignalCallback reload);
