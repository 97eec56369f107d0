/*
 * The processes that a plan is played on, and what is done to them.
 */
#include "platform-harness.h"
#include "soak.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

/** A pass at even load: half of the 120 ms that callers accept between events,
 * so that uneven maps are mended; the streams that callers ask for end well
 * within a planned stop's grace. */
#define STEP_MS "60"
/** Long enough for faults to find a plain target at work. */
#define WORK_MS "40"
#define TICK_US 10000
/** Looks for a target that is away, a second in all. */
#define STEER_TRIES 100
/** A gateway is started again so long after a planned stop. */
#define ROLL_DOWN_MS 200
#define FAULT_REQUESTS_MAX 20
/** Longest that a freeze waits for a change of map to strike. */
#define AWAIT_HOLD_MS 250
/** Later than the start of any stand-in, in Unix ms. */
#define LATER_START "4000000000000"

/** Which connections a proxy passes on. */
typedef enum
{
  PROXY_STORE, /**< of gateway 1 to the store */
  PROXY_FRONT, /**< of callers to gateway 2 */
  PROXY_SEED,  /**< of agents to gateway 1 */
  PROXY_DESK,  /**< of gateways to the last plain target */
} Proxy;

/** Proc: a gateway or an agent. */
typedef struct
{
  gboolean is_agent;
  int n;
  pid_t pid;           /**< 0: it does not run */
  gint64 start_ms;     /**< when to start it again */
  gint64 told_ms;      /**< when it was told to stop; 0: it was not */
  int frozen;          /**< freezes that hold it */
  gboolean was_frozen; /**< since it was told to stop */
} Proc;

/** Running: a fault in course. */
typedef struct
{
  const SoakFault *f;
  gint64 from_ms;
  gint64 to_ms;
} Running;

struct SoakFleet
{
  const SoakPlan *plan;
  int base;
  Proc gateways[SOAK_GATEWAYS_MAX];
  Proc agents[SOAK_RANKS_MAX];
  pid_t proxies[SOAK_PROXIES];
  GArray *running; /**< of #Running */
  guint next;      /**< fault of the plan */
  int version;     /**< of the configuration */
  char *config;    /**< the first one */
};

static int
proxy_port (int base, Proxy p)
{
  return base + 50 + (int)p;
}

static int
target_port (const SoakFleet *f, int n)
{
  return f->base + 1 + n;
}

int
soak_caller_port (int base, int n)
{
  return n == 2 ? proxy_port (base, PROXY_FRONT) : p_front_port (base, n);
}

/* A target that crashed is away for a moment. */
static void
await_listener (int port)
{
  for (int i = 0; i < STEER_TRIES; i++)
    {
      int fd = p_connect (port);

      if (fd >= 0)
        {
          close (fd);
          return;
        }
      g_usleep (TICK_US);
    }
}

static void
steer (int port, const char *call, const char *body)
{
  await_listener (port);
  g_free (p_call_standin (port, call, body));
}

static void
start_proc (SoakFleet *f, Proc *p)
{
  int base = f->base;

  p->start_ms = 0;
  p->told_ms = 0;
  p->frozen = 0;
  p->was_frozen = FALSE;
  p_overrides.seed = p->is_agent ? proxy_port (base, PROXY_SEED) : 0;
  p_overrides.store
      = !p->is_agent && p->n == 1 ? proxy_port (base, PROXY_STORE) : 0;
  p->pid = p->is_agent
               ? p_start_agent (base, target_port (f, SOAK_PLAIN + p->n))
               : p_start_gateway (base, p->n);
}

static void
start_proxies (SoakFleet *f)
{
  const int to[SOAK_PROXIES] = {
    [PROXY_STORE] = f->base,
    [PROXY_FRONT] = p_front_port (f->base, 2),
    [PROXY_SEED] = p_front_port (f->base, 1) + 2,
    [PROXY_DESK] = target_port (f, SOAK_PLAIN - 1),
  };

  for (int i = 0; i < SOAK_PROXIES; i++)
    f->proxies[i] = p_start_fault_proxy (proxy_port (f->base, (Proxy)i), to[i]);
}

/* The last plain target is reached through its proxy alone. */
static void
list_behind_proxy (SoakFleet *f)
{
  g_autofree char *record = g_strdup_printf (
      "{\"service\":\"desk\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"dc1\","
      "\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold-left-ms\":0,"
      "\"seq\":9,\"born\":" LATER_START "}",
      proxy_port (f->base, PROXY_DESK));
  g_autofree char *call
      = g_strdup_printf ("POST /test/put?key=servers/desk-%d", SOAK_PLAIN - 1);

  steer (f->base, call, record);
}

SoakFleet *
soak_fleet_start (const SoakPlan *p, int base)
{
  SoakFleet *f = g_new0 (SoakFleet, 1);
  g_autofree char *ranks = g_strdup_printf ("%d", p->ranks);
  g_autofree char *plain = g_strdup_printf ("%d", SOAK_PLAIN);

  f->plan = p;
  f->base = base;
  f->version = 1;
  f->running = g_array_new (FALSE, FALSE, sizeof (Running));
  p_start_platform (base, "--plain", plain, "--ranks", ranks, "--step-ms",
                    STEP_MS, "--work-ms", WORK_MS, "--shift-s", "0.5", NULL);
  f->config = p_call_standin (base, "GET /test/get?key=op/config", "");
  start_proxies (f);
  list_behind_proxy (f);
  for (int i = 0; i < p->gateways; i++)
    {
      f->gateways[i].n = i + 1;
      start_proc (f, &f->gateways[i]);
    }
  for (int i = 0; i < p->ranks; i++)
    {
      f->agents[i].is_agent = TRUE;
      f->agents[i].n = i;
      start_proc (f, &f->agents[i]);
    }
  for (int i = 1; i <= p->gateways; i++)
    p_wait_until_ready (base, i);
  return f;
}

/* What is done to a process */

static void
tell (Proc *p, int sig)
{
  if (!p->pid)
    return;
  if (sig == SIGTERM && !p->told_ms)
    {
      p->told_ms = soak_now_ms ();
      soak_stopping (p->n);
    }
  p_signal (p->pid, sig);
}

static void
kill_for (Proc *p, int ms)
{
  if (!p->pid)
    return;
  p_signal (p->pid, SIGKILL);
  p->pid = 0;
  p->start_ms = soak_now_ms () + ms;
}

static void
freeze (Proc *p)
{
  p->frozen++;
  p->was_frozen = TRUE;
  tell (p, SIGSTOP);
}

/* Whether a rank holds a pass, i.e. a change of map is in its middle. */
static gboolean
is_any_held (const SoakFleet *f)
{
  for (int i = 0; i < f->plan->ranks; i++)
    {
      int port = target_port (f, SOAK_PLAIN + i);
      g_autofree char *a
          = p_round_trip (port, "GET /v1/report HTTP/1.1\r\n\r\n");

      if (p_parse_status (a) == 200 && p_json_number (a, "held") > 0)
        return TRUE;
    }
  return FALSE;
}

/* Half of the freezes come in the middle of a change of map, if there is one
 * soon. */
static void
await_hold (const SoakFleet *f, const SoakFault *x)
{
  gint64 until = soak_now_ms () + AWAIT_HOLD_MS;

  if (x->variant % 2 == 0)
    return;
  while (soak_now_ms () < until && !is_any_held (f))
    usleep (2000);
}

static void
thaw (Proc *p)
{
  if (p->frozen > 0 && --p->frozen == 0)
    tell (p, SIGCONT);
}

static void
see_end (Proc *p)
{
  int status;

  if (!p_has_ended (p->pid, &status))
    return;
  if (!p->told_ms)
    soak_broken ("stays-up", "%s %d ended by itself, status=%d",
                 p->is_agent ? "agent" : "gateway", p->n, status);
  else if (!WIFEXITED (status) || WEXITSTATUS (status) != 0)
    soak_broken ("planned-stop", "gateway %d ended with status=%d", p->n,
                 status);
  p->pid = 0;
  p->start_ms = soak_now_ms () + ROLL_DOWN_MS;
}

/* One that outlasts its grace is killed, as the platform would. */
static void
see_overtime (Proc *p)
{
  if (!p->told_ms || soak_now_ms () < p->told_ms + SOAK_STOP_MS)
    return;
  if (!p->was_frozen)
    soak_broken ("planned-stop", "gateway %d still runs after %d ms", p->n,
                 SOAK_STOP_MS);
  kill_for (p, ROLL_DOWN_MS);
}

static void
look_after (SoakFleet *f, Proc *p)
{
  if (p->pid)
    see_end (p);
  if (p->pid)
    see_overtime (p);
  if (!p->pid && soak_now_ms () >= p->start_ms)
    start_proc (f, p);
}

/* What is done to the stand-ins */

/* A version has a route of its own, besides those that all have. */
static void
put_config (SoakFleet *f)
{
  g_autofree char *first = g_strdup_printf (
      "{\"version\":%d,\"routes\":[{\"name\":\"v\",\"host\":"
      "\"demo.example\",\"prefix\":\"/v/%d/\",\"kind\":\"safe\","
      "\"timeout-ms\":800,\"aim-ms\":150,\"priority\":2,"
      "\"service\":\"desk\",\"max-attempts\":2,\"public\":false},",
      f->version + 1, f->version + 1);
  const char *rest = f->config + strlen ("{\"version\":1,\"routes\":[");
  g_autofree char *text = g_strconcat (first, rest, NULL);

  soak_config (++f->version);
  steer (f->base, "POST /test/put?key=op/config", text);
}

static void
set_store (SoakFleet *f, const char *mode)
{
  g_autofree char *call = g_strdup_printf ("POST /test/mode?mode=%s", mode);

  steer (f->base, call, "");
}

static void
fail_target (SoakFleet *f, const SoakFault *x)
{
  static const char *const of_plain[]
      = { "lost",    "hang",     "truncate", "fail",  "full",
          "garbage", "unsigned", "extra",    "moved", "broken" };
  static const char *const of_rank[] = { "cut", "broken", "full", "moved" };
  const char *kind = x->whom < SOAK_PLAIN
                         ? of_plain[x->variant % (int)G_N_ELEMENTS (of_plain)]
                         : of_rank[x->variant % (int)G_N_ELEMENTS (of_rank)];

  await_listener (target_port (f, x->whom));
  p_inject_fault (target_port (f, x->whom), 1, kind,
                  1 + x->variant % FAULT_REQUESTS_MAX);
}

static void
harm_connections (SoakFleet *f, const SoakFault *x)
{
  const int signals[] = { SIGUSR1, SIGUSR2, SIGHUP };

  p_signal (f->proxies[x->whom], signals[x->variant % 3]);
}

static void
mend_connections (SoakFleet *f, const SoakFault *x)
{
  if (x->variant % 3 == 1)
    p_signal (f->proxies[x->whom], SIGUSR2);
}

static void
begin_fault (SoakFleet *f, const SoakFault *x)
{
  static const char *const modes[]
      = { "silent", "busy", "reset", "slow", "some", "stale" };

  switch (x->kind)
    {
    case SOAK_ROLL:
      tell (&f->gateways[x->whom], SIGTERM);
      break;
    case SOAK_HUP:
      tell (&f->gateways[x->whom], SIGHUP);
      break;
    case SOAK_CONFIG:
      put_config (f);
      break;
    case SOAK_DRAIN:
      steer (target_port (f, x->whom), "POST /test/drain", "");
      break;
    case SOAK_KILL:
      kill_for (&f->gateways[x->whom], x->lasts_ms);
      break;
    case SOAK_FREEZE:
      await_hold (f, x);
      freeze (&f->gateways[x->whom]);
      break;
    case SOAK_STORE:
      set_store (f, modes[x->variant % (int)G_N_ELEMENTS (modes)]);
      break;
    case SOAK_FORGET:
      steer (f->base, "POST /test/forget", "");
      break;
    case SOAK_TARGET:
      fail_target (f, x);
      break;
    case SOAK_CRASH:
      steer (target_port (f, x->whom), "POST /test/restart?same=1", "");
      break;
    case SOAK_NET:
      harm_connections (f, x);
      break;
    case SOAK_AGENT_KILL:
      kill_for (&f->agents[x->whom], x->lasts_ms);
      break;
    case SOAK_AGENT_FREEZE:
      await_hold (f, x);
      freeze (&f->agents[x->whom]);
      break;
    case SOAK_KINDS:
      break;
    }
}

static void
end_fault (SoakFleet *f, const Running *r)
{
  const SoakFault *x = r->f;

  switch (x->kind)
    {
    case SOAK_DRAIN: /* another start at its address */
      steer (target_port (f, x->whom), "POST /test/restart", "");
      break;
    case SOAK_FREEZE:
      thaw (&f->gateways[x->whom]);
      break;
    case SOAK_STORE:
      set_store (f, "up");
      break;
    case SOAK_TARGET:
      await_listener (target_port (f, x->whom));
      p_inject_fault (target_port (f, x->whom), 1, "none", 0);
      break;
    case SOAK_NET:
      mend_connections (f, x);
      break;
    case SOAK_AGENT_FREEZE:
      thaw (&f->agents[x->whom]);
      break;
    default:
      break;
    }
  if (x->kind > SOAK_LAST_PLANNED)
    soak_unplanned (r->from_ms, soak_now_ms ());
}

static void
begin_due (SoakFleet *f, gint64 start_ms)
{
  for (; f->next < f->plan->faults->len; f->next++)
    {
      const SoakFault *x = &g_array_index (f->plan->faults, SoakFault, f->next);
      Running r = { x, soak_now_ms (), soak_now_ms () + x->lasts_ms };

      if (soak_now_ms () < start_ms + x->at_ms)
        return;
      printf ("  played at_ms=%" G_GINT64_FORMAT " %s whom=%d\n", r.from_ms,
              soak_kind_name (x->kind), x->whom);
      begin_fault (f, x);
      g_array_append_val (f->running, r);
    }
}

static void
end_due (SoakFleet *f)
{
  for (guint i = f->running->len; i > 0; i--)
    {
      Running r = g_array_index (f->running, Running, i - 1);

      if (soak_now_ms () < r.to_ms)
        continue;
      end_fault (f, &r);
      g_array_remove_index (f->running, i - 1);
    }
}

/* Whether anything is still in course: a fault, a stop, a start. */
static gboolean
is_settled (const SoakFleet *f)
{
  if (f->next < f->plan->faults->len || f->running->len)
    return FALSE;
  for (int i = 0; i < f->plan->gateways; i++)
    if (!f->gateways[i].pid || f->gateways[i].told_ms)
      return FALSE;
  for (int i = 0; i < f->plan->ranks; i++)
    if (!f->agents[i].pid)
      return FALSE;
  return TRUE;
}

void
soak_fleet_play (SoakFleet *f)
{
  gint64 start_ms = soak_now_ms ();

  while (!is_settled (f))
    {
      begin_due (f, start_ms);
      end_due (f);
      for (int i = 0; i < f->plan->gateways; i++)
        look_after (f, &f->gateways[i]);
      for (int i = 0; i < f->plan->ranks; i++)
        look_after (f, &f->agents[i]);
      soak_shared_tick ();
      g_usleep (TICK_US);
    }
}

/* The runs of one target: "id":times, ... */
static void
read_runs (char *json)
{
  g_auto (GStrv) fields = g_strsplit (g_strdelimit (json, "{}\"", ' '), ",", 0);

  for (char **p = fields; *p; p++)
    {
      char *colon = strrchr (*p, ':');

      if (!colon)
        continue;
      *colon = '\0';
      soak_ran (g_strstrip (*p), atoi (colon + 1));
    }
}

void
soak_fleet_check_targets (SoakFleet *f)
{
  int n = SOAK_PLAIN + f->plan->ranks;

  for (int i = 0; i < n; i++)
    {
      g_autofree char *ran
          = p_call_standin (target_port (f, i), "GET /test/ran", "");

      read_runs (ran);
    }
  if (soak_is_calm () && p_sum_runs (target_port (f, 0), n, "late") > 0)
    soak_broken ("drain", "work came to a target that had left");
  if (p_sum_runs (target_port (f, SOAK_PLAIN), 1, "mixed") > 0)
    soak_broken ("one-map", "a pass began while ranks had different maps");
}

void
soak_fleet_stop (SoakFleet *f)
{
  p_stop_all ();
  g_array_free (f->running, TRUE);
  g_free (f->config);
  g_free (f);
}
