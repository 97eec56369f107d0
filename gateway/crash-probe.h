#pragma once

#include "gateway.h"

/** CfCrashWaiter: a request that waits for the result of a probe; embedded in
 * its owner. */
struct CfCrashWaiter
{
  TAILQ_ENTRY (CfCrashWaiter) link;
  CfCrashProbe *probe; /**< %NULL: not waiting */
  /** Called with the result.  @crashed is %FALSE also if the probe is still
   * undecided after the time that requests wait for it. */
  void (*done) (CfCrashWaiter *w, gboolean crashed);
};

/** CfLostRequest: a request whose connection to the target ended before the
 * answer was complete. */
typedef struct
{
  GArray *suspects; /**< of #CfSuspect: what may have crashed the target, the
                         most likely first */
  gint64 sent_ms;   /**< when it was sent to the target */
  gint64 lost_ms;   /**< when the connection ended */
} CfLostRequest;

/** cf_lost_request_clear: frees what @l owns. */
void cf_lost_request_clear (CfLostRequest *l);

/**
 * cf_crash_probe_start:
 * Finds out whether @t, which ended a connection in the middle of a request,
 * has crashed: it has if it refuses a new connection.  A target that only reset
 * some of its connections, or timed out waiting for another target, accepts it.
 * A crash of @t is added to the crash records of the suspects, unless one of
 * them is quarantined already, which explains it.
 *
 * All requests that @t loses while a probe of it is running share its result.
 * @l: its contents are moved into the probe; they are freed if there is none
 * @w: (nullable): called back later, unless cf_crash_waiter_cancel() is called
 * Returns: %FALSE if the probe could not be started; @w is not called back.
 */
gboolean cf_crash_probe_start (CfGateway *g, CfTarget *t, CfLostRequest *l,
                               CfCrashWaiter *w);

/** cf_crash_waiter_cancel: @w will not be called back; safe if not waiting. */
void cf_crash_waiter_cancel (CfCrashWaiter *w);

/** cf_crash_probe_stop_all: cancels the running probes; their waiters are not
 * called back. */
void cf_crash_probe_stop_all (CfGateway *g);
