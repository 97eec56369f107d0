/*
 * What one gateway learns has to bind all: a caller's request that crashes each
 * target which runs it, and a target that names the rate it takes.
 */
#include "soak.h"

#include "platform-harness.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

/** Of so many seeds one has a caller whose request crashes targets... */
#define CRASHING_EACH 2
/** ...and one a target that names its rate.  Seeds that this divides play
 * planned work alone. */
#define LIMITED_EACH 3
/** Between two attempts of that caller. */
#define ATTEMPT_MS 400
/** An attempt's connection is kept so long. */
#define ATTEMPTS_OPEN 8
#define CRASHES 3
/** Attempts that may reach targets once all know of three crashes. */
#define RETRIES_MAX 3
/** A crashed target is away for some of this. */
#define AWAY_MS 400
#define LIMIT "0.5"
#define LIMIT_PER_S 0.5
#define LIMIT_WINDOW_MS 4000
#define LIMIT_SLACK 5

static const SoakPlan *plan;
static int base;
static int n_attempts;
static int open_fds[ATTEMPTS_OPEN];
static gint64 attempt_ms;

static gboolean
is_crashing (void)
{
  return plan->seed % CRASHING_EACH == 0 && plan->seed % LIMITED_EACH != 0;
}

static gboolean
is_limited (void)
{
  return plan->seed % LIMITED_EACH == 1;
}

void
soak_shared_start (const SoakPlan *p, int first_port)
{
  plan = p;
  base = first_port;
  memset (open_fds, -1, sizeof open_fds);
  for (int i = 0; is_crashing () && i < SOAK_PLAIN; i++)
    g_free (p_call_standin (base + 1 + i, "POST /test/crasher", "crash"));
  if (is_limited ())
    g_free (p_call_standin (base + 1, "POST /test/limit?per-s=" LIMIT, ""));
}

/* Sends the request that crashes targets to the next gateway. */
static int
send_attempt (void)
{
  int n = 1 + n_attempts % plan->gateways;
  g_autofree char *id
      = g_strdup_printf ("crash-%u-%d", plan->seed, n_attempts++);
  g_autofree char *req
      = p_build_request ("POST /order/crash", id, NULL, "crash");
  int fd = p_connect (soak_caller_port (base, n));

  if (fd >= 0)
    {
      soak_sent (id, SOAK_ORDER, n, 0);
      p_send (fd, req);
    }
  return fd;
}

void
soak_shared_tick (void)
{
  int *fd = &open_fds[n_attempts % ATTEMPTS_OPEN];

  if (!is_crashing () || soak_now_ms () - attempt_ms < ATTEMPT_MS)
    return;
  attempt_ms = soak_now_ms ();
  if (*fd >= 0)
    close (*fd);
  *fd = send_attempt ();
}

static double
crashes (void)
{
  usleep (AWAY_MS * 1000);
  return p_sum_runs (base + 1, SOAK_PLAIN, "crashes");
}

static void
attempt (void)
{
  g_autofree char *id = g_strdup_printf ("crash-%u-%d", plan->seed, n_attempts);
  int fd = send_attempt ();
  g_autofree char *a = NULL;

  if (fd < 0)
    return;
  a = p_read_answer (fd, AWAY_MS);
  if (p_parse_status (a))
    soak_answered (id, p_parse_status (a));
  close (fd);
}

/* Once three targets have crashed and all gateways had the time to hear of it.
 */
static void
check_crashes (void)
{
  double before;
  double after;

  for (int i = 0; i < 2 * CRASHES && crashes () < CRASHES; i++)
    attempt ();
  usleep (SOAK_CONTACT_MS * 1000);
  before = crashes ();
  for (int i = 0; i < 2 * plan->gateways; i++)
    attempt ();
  after = crashes ();
  printf ("  crashes before=%g after=%g attempts=%d\n", before, after,
          n_attempts);
  if (before >= CRASHES && after > before + RETRIES_MAX)
    soak_broken ("crash-budget",
                 "%g targets crashed after %g had under the same request",
                 after - before, before);
}

static void
check_rate (void)
{
  double before = p_sum_runs (base + 1, 1, "runs");
  double got;

  usleep (LIMIT_WINDOW_MS * 1000);
  got = p_sum_runs (base + 1, 1, "runs") - before;
  printf ("  limited target got=%g in %d ms\n", got, LIMIT_WINDOW_MS);
  if (got > 1.5 * LIMIT_PER_S * LIMIT_WINDOW_MS / 1000 + LIMIT_SLACK)
    soak_broken ("rate-limit",
                 "a target that takes " LIMIT
                 " requests a second got %g in %d ms",
                 got, LIMIT_WINDOW_MS);
}

void
soak_shared_check (void)
{
  if (is_crashing () || is_limited ())
    usleep (SOAK_CONTACT_MS * 1000);
  if (is_limited ())
    check_rate ();
  if (is_crashing ())
    check_crashes ();
}
