#pragma once

#include "gateway.h"

/** CfCrashWaiter: waits for the result of a probe; embedded in its owner. */
struct CfCrashWaiter
{
  TAILQ_ENTRY (CfCrashWaiter) link;
  CfCrashProbe *probe; /**< %NULL: it does not wait */
  /** The target has crashed, or not as far as is known in time. */
  void (*done) (CfCrashWaiter *w, gboolean crashed);
};

/** CfLostRequest: a request that was lost with its target's connection. */
typedef struct
{
  CfRequestDigest digest;
  gint64 sent_ms; /**< to the target */
  gint64 lost_ms;
} CfLostRequest;

/**
 * cf_crash_probe_start:
 * Finds out whether @t, which ended a connection in the middle of a request,
 * has crashed: it has if it refuses a new connection.  One that reset some of
 * its connections, or waited in vain for another target, accepts it.  If @t
 * has crashed, it is added to the request's record.
 *
 * Requests that @t is lost with while a probe of it is under way share its
 * result.
 * @w: (nullable): called back later, unless cf_crash_waiter_cancel() is called
 * Returns: %FALSE if it cannot be found out; @w is not called back.
 */
gboolean cf_crash_probe_start (CfGateway *g, CfTarget *t,
                               const CfLostRequest *l, CfCrashWaiter *w);

/** cf_crash_waiter_cancel: @w does not wait any more. */
void cf_crash_waiter_cancel (CfCrashWaiter *w);

/** cf_crash_probe_stop_all: drops those under way. */
void cf_crash_probe_stop_all (CfGateway *g);
