#include "log.h"

#include "log-writer.h"

#include <stdarg.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#define LINE_MAX_BYTES 2048
/** Bytes reserved for the time and the end of the line. */
#define TIME_MAX_BYTES 32
#define NS_PER_MS 1000000L

static const char *program = "comfrey";

void
cf_log_init (const char *prog)
{
  program = prog;
}

const char *
cf_event_name (CfEvent ev)
{
  switch (ev)
    {
    case CF_EV_START:
      return "start";
    case CF_EV_STOP:
      return "stop";
    case CF_EV_SETTINGS:
      return "settings";
    case CF_EV_LISTEN:
      return "listen";
    case CF_EV_RELOAD:
      return "reload";
    case CF_EV_READY:
      return "ready";
    case CF_EV_LONG_ITERATION:
      return "long-turn";
    case CF_EV_CONFIG_ACCEPT:
      return "config-accept";
    case CF_EV_CONFIG_OLDER:
      return "config-older";
    case CF_EV_CONFIG_DOWN:
      return "config-down";
    case CF_EV_CONFIG_BAD:
      return "config-bad";
    case CF_EV_ADMIT_REFUSE:
      return "admit-refuse";
    case CF_EV_ROUTE:
      return "route";
    case CF_EV_RETRY:
      return "retry";
    case CF_EV_ANSWER:
      return "answer";
    case CF_EV_NO_ROUTE:
      return "no-route";
    case CF_EV_CLAIM:
      return "claim";
    case CF_EV_OUTLIER_EJECT:
      return "outlier-eject";
    case CF_EV_QUEUE:
      return "queue";
    case CF_EV_CALLER_GONE:
      return "caller-gone";
    case CF_EV_RESUME:
      return "resume";
    case CF_EV_OUTAGE:
      return "outage";
    case CF_EV_STOP_ESTIMATE:
      return "stop-look";
    case CF_EV_CALLERS_FULL:
      return "callers-full";
    case CF_EV_OVERLOAD:
      return "overload";
    case CF_EV_SLOW_PASS:
      return "slow-pass";
    case CF_EV_TARGET_PAUSE:
      return "target-pause";
    case CF_EV_SHARE:
      return "share";
    case CF_EV_RETURN:
      return "return";
    case CF_EV_PASS_LIMIT:
      return "pass-limit";
    case CF_EV_RETRY_BUDGET:
      return "retry-budget";
    case CF_EV_RATE_LIMIT:
      return "rate-limit";
    case CF_EV_QUARANTINE:
      return "quarantine";
    case CF_EV_STORE_LOST:
      return "store-lost";
    case CF_EV_STORE_RESTORED:
      return "store-restored";
    case CF_EV_STORE_READ:
      return "store-read";
    case CF_EV_STORE_BACK:
      return "store-back";
    case CF_EV_TARGET_LIST:
      return "target-list";
    case CF_EV_PEER:
      return "peer";
    case CF_EV_EVACUATION:
      return "evacuation";
    case CF_EV_VM_LEAVING:
      return "vm-leaving";
    case CF_EV_LINK_DOWN:
      return "link-down";
    case CF_EV_LINK_UP:
      return "link-up";
    case CF_EV_VMLIST_DOWN:
      return "vmlist-down";
    case CF_EV_AGENT_REFUSE:
      return "agent-refuse";
    case CF_EV_FENCE_STALE:
      return "fence-stale";
    case CF_EV_GUARD_CLAIM:
      return "guard-claim";
    case CF_EV_PLACEMENT:
      return "placement";
    case CF_EV_MAP_CHANGE:
      return "map-change";
    case CF_EV_MAP_SETTLE:
      return "map-settle";
    case CF_EV_RANK_ORDER:
      return "rank-order";
    case CF_EV_READING_DROPPED:
      return "reading-dropped";
    case CF_EV_NO_DEMAND:
      return "no-demand";
    case CF_EV_GUARD_DUP:
      return "guard-duplicate";
    case CF_EV_DRAIN_BEGIN:
      return "drain-begin";
    case CF_EV_DRAIN_DONE:
      return "drain-done";
    case CF_EV_TARGET_FAIL:
      return "target-fail";
    case CF_EV_ORDER:
      return "order";
    }
  return "event";
}

/* Appends the current time to a queued line, which is written later. */
static int
append_time (char *at)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return snprintf (at, TIME_MAX_BYTES - 1, " t=%lld.%03ld",
                   (long long)now.tv_sec, now.tv_nsec / NS_PER_MS);
}

void
cf_log (int prio, CfEvent ev, const char *fmt, ...)
{
  char line[LINE_MAX_BYTES];
  va_list ap;
  int n;
  int m;

  n = snprintf (line, sizeof line, "<%d>%s[%d]: E%d %s ", prio, program,
                (int)getpid (), (int)ev, cf_event_name (ev));
  va_start (ap, fmt);
  m = vsnprintf (line + n, sizeof line - n - 1, fmt, ap);
  va_end (ap);
  if (m < 0)
    m = 0;
  n += m;
  if ((size_t)n > sizeof line - TIME_MAX_BYTES)
    n = sizeof line - TIME_MAX_BYTES;
  if (cf_log_writer_is_running ())
    n += append_time (line + n);
  /* Callers choose some of the values: a line break in one could forge a log
   * line. */
  for (int i = 0; i < n; i++)
    if ((unsigned char)line[i] < ' ' || line[i] == 0x7f)
      line[i] = '?';
  line[n++] = '\n';
  if (cf_log_writer_is_running ())
    cf_log_writer_put (line, n);
  else if (write (STDERR_FILENO, line, n) < 0)
    return;
}
