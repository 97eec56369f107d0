/*
 * Checks that all gateways apply what one of them has learnt: that a caller's
 * request crashes every target which runs it, and that a target has announced a
 * rate limit.
 */
#include "soak.h"

#include "platform-harness.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

/** Every second seed, if it is not planned-only, has a caller whose request
 * crashes targets. */
#define CRASHING_EVERY 2
/** One of three seeds has a target with a rate limit.  Multiples of this are
 * the planned-only seeds (see soak-schedule.c). */
#define RATE_LIMITED_EVERY 3
/** Interval between two attempts of the caller whose request crashes
 * targets. */
#define ATTEMPT_INTERVAL_MS 400
/** Number of attempts whose connections stay open; the oldest one is closed
 * first. */
#define OPEN_ATTEMPTS_MAX 8
/** Crashes after which the request has to be quarantined. */
#define CRASH_THRESHOLD 3
/** Attempts that may still reach targets, and crash them, after all gateways
 * know of CRASH_THRESHOLD crashes. */
#define LATE_CRASHES_MAX 3
/** A crashed target accepts connections again within this time. */
#define TARGET_RESTART_MS 400
#define RATE_LIMIT_TEXT "0.5"
#define RATE_LIMIT_PER_S 0.5
#define RATE_LIMIT_WINDOW_MS 4000
#define RATE_LIMIT_SLACK_REQUESTS 5

static const SoakPlan *plan;
static int base_port;
static int n_attempts;
static int open_fds[OPEN_ATTEMPTS_MAX];
static gint64 last_attempt_ms;

static gboolean
has_crashing_caller (void)
{
  return plan->seed % CRASHING_EVERY == 0
         && plan->seed % RATE_LIMITED_EVERY != 0;
}

static gboolean
has_rate_limited_target (void)
{
  return plan->seed % RATE_LIMITED_EVERY == 1;
}

void
soak_shared_start (const SoakPlan *p, int base)
{
  plan = p;
  base_port = base;
  memset (open_fds, -1, sizeof open_fds);
  for (int i = 0; has_crashing_caller () && i < SOAK_N_PLAIN_TARGETS; i++)
    g_free (p_call_standin (base_port + 1 + i, "POST /test/crasher", "crash"));
  if (has_rate_limited_target ())
    g_free (p_call_standin (base_port + 1,
                            "POST /test/limit?per-s=" RATE_LIMIT_TEXT, ""));
}

/* Sends the request that crashes targets to the next gateway, without waiting
 * for an answer; returns the socket, or -1. */
static int
send_attempt (void)
{
  int n = 1 + n_attempts % plan->gateways;
  g_autofree char *id
      = g_strdup_printf ("crash-%u-%d", plan->seed, n_attempts++);
  g_autofree char *req
      = p_build_request ("POST /order/crash", id, NULL, "crash");
  int fd = p_connect (soak_caller_port (base_port, n));

  if (fd >= 0)
    {
      soak_record_sent (id, SOAK_ORDER, n, 0);
      p_send (fd, req);
    }
  return fd;
}

void
soak_shared_tick (void)
{
  int *fd = &open_fds[n_attempts % OPEN_ATTEMPTS_MAX];

  if (!has_crashing_caller ()
      || soak_now_ms () - last_attempt_ms < ATTEMPT_INTERVAL_MS)
    return;
  last_attempt_ms = soak_now_ms ();
  if (*fd >= 0)
    close (*fd);
  *fd = send_attempt ();
}

/* Waits until crashed targets have restarted, and returns the number of crashes
 * of all plain targets. */
static double
count_crashes (void)
{
  usleep (TARGET_RESTART_MS * 1000);
  return p_sum_runs (base_port + 1, SOAK_N_PLAIN_TARGETS, "crashes");
}

static void
send_attempt_and_wait (void)
{
  g_autofree char *id = g_strdup_printf ("crash-%u-%d", plan->seed, n_attempts);
  int fd = send_attempt ();
  g_autofree char *answer = NULL;

  if (fd < 0)
    return;
  answer = p_read_answer (fd, TARGET_RESTART_MS);
  if (p_parse_status (answer))
    soak_record_answer (id, p_parse_status (answer));
  close (fd);
}

/* Sends the request until it has crashed CRASH_THRESHOLD targets, gives all
 * gateways the time to learn of that, and checks that they no longer send it to
 * targets. */
static void
check_crashes (void)
{
  double before;
  double after;

  for (int i = 0; i < 2 * CRASH_THRESHOLD && count_crashes () < CRASH_THRESHOLD;
       i++)
    send_attempt_and_wait ();
  usleep (SOAK_RECONNECT_MS * 1000);
  before = count_crashes ();
  for (int i = 0; i < 2 * plan->gateways; i++)
    send_attempt_and_wait ();
  after = count_crashes ();
  printf ("  crashes before=%g after=%g attempts=%d\n", before, after,
          n_attempts);
  if (before >= CRASH_THRESHOLD && after > before + LATE_CRASHES_MAX)
    soak_report_violation (
        "crash-budget",
        "%g targets crashed after the same request had crashed %g",
        after - before, before);
}

static void
check_rate_limit (void)
{
  double before = p_sum_runs (base_port + 1, 1, "runs");
  double received;

  usleep (RATE_LIMIT_WINDOW_MS * 1000);
  received = p_sum_runs (base_port + 1, 1, "runs") - before;
  printf ("  limited target got=%g in %d ms\n", received, RATE_LIMIT_WINDOW_MS);
  if (received > 1.5 * RATE_LIMIT_PER_S * RATE_LIMIT_WINDOW_MS / 1000
                     + RATE_LIMIT_SLACK_REQUESTS)
    soak_report_violation ("rate-limit",
                           "a target with a limit of " RATE_LIMIT_TEXT
                           " requests a second got %g in %d ms",
                           received, RATE_LIMIT_WINDOW_MS);
}

void
soak_shared_check (void)
{
  if (has_crashing_caller () || has_rate_limited_target ())
    usleep (SOAK_RECONNECT_MS * 1000);
  if (has_rate_limited_target ())
    check_rate_limit ();
  if (has_crashing_caller ())
    check_crashes ();
}
