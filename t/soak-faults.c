/*
 * Starts and supervises the processes that a plan runs against, and injects its
 * faults.
 */
#include "platform-harness.h"
#include "soak.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

/** Duration of a pass at even load: half of the 120 ms that callers accept
 * between events, so that uneven expert maps get rebalanced.  The streams that
 * callers request end well within the grace period of a planned stop. */
#define PASS_MS "60"
/** Long enough for faults to hit a plain target while it runs requests. */
#define WORK_MS "40"
/** Slots of a plain target: few, so that bursts and skews need most of them. */
#define PLAIN_SLOTS "2"
#define POLL_INTERVAL_US 10000
/** Attempts to connect to a target that restarts; a second in all. */
#define CONNECT_ATTEMPTS 100
/** Time between the end of a planned stop and the restart. */
#define RESTART_DELAY_MS 200
#define FAULT_REQUESTS_MAX 20
/** Faults may begin and end this much later than planned. */
#define TWIN_MARGIN_MS 1500
/** Time in which the operator and the targets write again what the store lost.
 * What is written then is in force SOAK_CONFIG_APPLY_MS later, which is within
 * the time that the fault excuses. */
#define REWRITE_MAX_MS 900
/** Longest time that a freeze is delayed until a rank holds a pass. */
#define HOLD_WAIT_MS 250
/** Start time (Unix ms) later than that of any stand-in, so that gateways
 * prefer this record to those that the target publishes itself. */
#define FUTURE_START_MS "4000000000000"

/** Proxy: the fault proxies, by the connections that they forward. */
typedef enum
{
  PROXY_STORE, /**< from gateway 1 to the store */
  PROXY_FRONT, /**< from callers to gateway 2 */
  PROXY_SEED,  /**< from agents to gateway 1 */
  PROXY_DESK,  /**< from gateways to the last plain target */
} Proxy;

/** Process: a gateway or an agent. */
typedef struct
{
  gboolean is_agent;
  int n;               /**< gateways from 1, agents from 0 */
  pid_t pid;           /**< 0: not running */
  gint64 restart_ms;   /**< when to start it again, if it is not running */
  gint64 sigterm_ms;   /**< when it got SIGTERM; 0: it did not */
  int n_freezes;       /**< freezes that have not ended yet */
  gboolean was_frozen; /**< at any time since it was started */
} Process;

/** ActiveFault: a fault that has begun and not ended yet. */
typedef struct
{
  const SoakFault *fault;
  gint64 from_ms;
  gint64 to_ms;
} ActiveFault;

struct SoakFleet
{
  const SoakPlan *plan;
  int base;
  Process gateways[SOAK_GATEWAYS_MAX];
  Process agents[SOAK_RANKS_MAX];
  pid_t proxies[SOAK_N_PROXIES];
  GArray *active_faults; /**< of #ActiveFault */
  guint next_fault;      /**< index into the faults of the plan */
  int config_version;    /**< newest version that was written */
  char *first_config;    /**< the platform's configuration at the start */
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

/* Waits until @port accepts connections: a crashed target does not for a
 * moment. */
static void
wait_for_listener (int port)
{
  for (int i = 0; i < CONNECT_ATTEMPTS; i++)
    {
      int fd = p_connect (port);

      if (fd >= 0)
        {
          close (fd);
          return;
        }
      g_usleep (POLL_INTERVAL_US);
    }
}

static void
control_standin (int port, const char *call, const char *body)
{
  wait_for_listener (port);
  g_free (p_call_standin (port, call, body));
}

static void
record_disturbance (const Process *p)
{
  if (!p->is_agent)
    soak_record_disturbance (p->n);
}

static void
start_process (SoakFleet *f, Process *p)
{
  int base = f->base;

  p->restart_ms = 0;
  p->sigterm_ms = 0;
  p->n_freezes = 0;
  p->was_frozen = FALSE;
  p_overrides.seed = p->is_agent ? proxy_port (base, PROXY_SEED) : 0;
  p_overrides.store
      = !p->is_agent && p->n == 1 ? proxy_port (base, PROXY_STORE) : 0;
  p->pid
      = p->is_agent
            ? p_start_agent (base, target_port (f, SOAK_N_PLAIN_TARGETS + p->n))
            : p_start_gateway (base, p->n);
  record_disturbance (p);
}

static void
start_proxies (SoakFleet *f)
{
  const int to_ports[SOAK_N_PROXIES] = {
    [PROXY_STORE] = f->base,
    [PROXY_FRONT] = p_front_port (f->base, 2),
    [PROXY_SEED] = p_front_port (f->base, 1) + 2,
    [PROXY_DESK] = target_port (f, SOAK_N_PLAIN_TARGETS - 1),
  };

  for (int i = 0; i < SOAK_N_PROXIES; i++)
    f->proxies[i]
        = p_start_fault_proxy (proxy_port (f->base, (Proxy)i), to_ports[i]);
}

/* Lists the last plain target at the address of its proxy, so that gateways
 * reach it only through the proxy. */
static void
list_proxy_address (SoakFleet *f)
{
  g_autofree char *record = g_strdup_printf (
      "{\"service\":\"desk\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"dc1\","
      "\"version\":\"v1\",\"slots\":" PLAIN_SLOTS
      ",\"state\":\"ready\",\"cold-left-ms\":0,"
      "\"seq\":9,\"born\":" FUTURE_START_MS "}",
      proxy_port (f->base, PROXY_DESK));
  g_autofree char *call = g_strdup_printf ("POST /test/put?key=servers/desk-%d",
                                           SOAK_N_PLAIN_TARGETS - 1);

  control_standin (f->base, call, record);
}

/* Every third rank ends its streams by chunks, a length, or its connection. */
static void
set_stream_framing (const SoakFleet *f, int rank)
{
  static const char *const framings[] = { "chunked", "close", "length" };
  g_autofree char *call
      = g_strdup_printf ("POST /test/framing?as=%s", framings[rank % 3]);

  control_standin (target_port (f, SOAK_N_PLAIN_TARGETS + rank), call, "");
}

/* In half of the seeds the documents have a length, in the others chunks. */
static void
serve_documents (const SoakFleet *f)
{
  int port = target_port (f, SOAK_DOCUMENT_TARGET);
  g_autofree char *document
      = g_strdup_printf ("POST /test/document?size=%d", SOAK_DOCUMENT_BYTES);

  control_standin (port, document, "");
  control_standin (port,
                   f->plan->seed % 2 ? "POST /test/framing?as=length"
                                     : "POST /test/framing?as=chunked",
                   "");
}

SoakFleet *
soak_fleet_start (const SoakPlan *p, int base)
{
  SoakFleet *f = g_new0 (SoakFleet, 1);
  g_autofree char *ranks = g_strdup_printf ("%d", p->ranks);
  g_autofree char *plain = g_strdup_printf ("%d", SOAK_N_PLAIN_TARGETS);

  f->plan = p;
  f->base = base;
  f->config_version = 1;
  f->active_faults = g_array_new (FALSE, FALSE, sizeof (ActiveFault));
  p_overrides.retry_window_s = SOAK_RETRY_WINDOW_MS / 1000.0;
  p_start_platform (base, "--plain", plain, "--ranks", ranks, "--step-ms",
                    PASS_MS, "--work-ms", WORK_MS, "--shift-s", "0.5",
                    "--data-centres", "2", "--tiers", "--slots", PLAIN_SLOTS,
                    NULL);
  f->first_config = p_call_standin (base, "GET /test/get?key=op/config", "");
  start_proxies (f);
  list_proxy_address (f);
  for (int i = 0; i < p->gateways; i++)
    {
      f->gateways[i].n = i + 1;
      start_process (f, &f->gateways[i]);
    }
  serve_documents (f);
  for (int i = 0; i < p->ranks; i++)
    {
      set_stream_framing (f, i);
      f->agents[i].is_agent = TRUE;
      f->agents[i].n = i;
      start_process (f, &f->agents[i]);
    }
  for (int i = 1; i <= p->gateways; i++)
    p_wait_until_ready (base, i);
  return f;
}

/* Signals to processes, and their supervision */

static void
send_signal (Process *p, int sig)
{
  if (!p->pid)
    return;
  if (sig == SIGTERM && !p->sigterm_ms)
    {
      p->sigterm_ms = soak_now_ms ();
      soak_record_stop (p->n);
    }
  p_signal (p->pid, sig);
}

static void
kill_and_restart_after (Process *p, int ms)
{
  if (!p->pid)
    return;
  record_disturbance (p);
  p_signal (p->pid, SIGKILL);
  p->pid = 0;
  p->restart_ms = soak_now_ms () + ms;
}

static void
freeze (Process *p)
{
  p->n_freezes++;
  p->was_frozen = TRUE;
  record_disturbance (p);
  send_signal (p, SIGSTOP);
}

/* Whether any rank holds a pass, that is, a change of the expert map is in
 * progress. */
static gboolean
is_any_pass_held (const SoakFleet *f)
{
  for (int i = 0; i < f->plan->ranks; i++)
    {
      int port = target_port (f, SOAK_N_PLAIN_TARGETS + i);
      g_autofree char *answer
          = p_round_trip (port, "GET /v1/report HTTP/1.1\r\n\r\n");

      if (p_parse_status (answer) == 200 && p_json_number (answer, "held") > 0)
        return TRUE;
    }
  return FALSE;
}

/* Delays half of the freezes until an expert map is being changed, or until
 * HOLD_WAIT_MS have passed. */
static void
wait_for_held_pass (const SoakFleet *f, const SoakFault *fault)
{
  gint64 deadline_ms = soak_now_ms () + HOLD_WAIT_MS;

  if (fault->variant % 2 == 0)
    return;
  while (soak_now_ms () < deadline_ms && !is_any_pass_held (f))
    usleep (2000);
}

static void
unfreeze (Process *p)
{
  if (p->n_freezes == 0 || --p->n_freezes > 0)
    return;
  record_disturbance (p);
  send_signal (p, SIGCONT);
}

static void
check_exit (Process *p)
{
  int status;

  if (!p_has_ended (p->pid, &status))
    return;
  if (!p->sigterm_ms)
    soak_report_violation ("stays-up",
                           "%s %d ended unexpectedly with wait status %d",
                           p->is_agent ? "agent" : "gateway", p->n, status);
  else if (!WIFEXITED (status) || WEXITSTATUS (status) != 0)
    soak_report_violation ("planned-stop",
                           "gateway %d ended on SIGTERM with wait status %d",
                           p->n, status);
  p->pid = 0;
  p->restart_ms = soak_now_ms () + RESTART_DELAY_MS;
}

/* Kills a process that has not exited SOAK_STOP_TIMEOUT_MS after SIGTERM, as
 * the platform does. */
static void
check_stop_timeout (Process *p)
{
  if (!p->sigterm_ms || soak_now_ms () < p->sigterm_ms + SOAK_STOP_TIMEOUT_MS)
    return;
  if (!p->was_frozen)
    soak_report_violation ("planned-stop",
                           "gateway %d still runs %d ms after SIGTERM", p->n,
                           SOAK_STOP_TIMEOUT_MS);
  kill_and_restart_after (p, RESTART_DELAY_MS);
}

static void
supervise (SoakFleet *f, Process *p)
{
  if (p->pid)
    check_exit (p);
  if (p->pid)
    check_stop_timeout (p);
  if (!p->pid && soak_now_ms () >= p->restart_ms)
    start_process (f, p);
}

/* Faults of the stand-ins and of the network */

/* Writes the next configuration version: it has a route of its own, and the
 * routes that all versions have. */
static void
write_next_config (SoakFleet *f)
{
  g_autofree char *new_route = g_strdup_printf (
      "{\"version\":%d,\"routes\":[{\"name\":\"v\",\"host\":"
      "\"demo.example\",\"prefix\":\"/v/%d/\",\"kind\":\"safe\","
      "\"timeout-ms\":800,\"aim-ms\":150,\"priority\":2,"
      "\"service\":\"desk\",\"max-attempts\":2,\"public\":false},",
      f->config_version + 1, f->config_version + 1);
  const char *common_routes
      = f->first_config + strlen ("{\"version\":1,\"routes\":[");
  g_autofree char *config = g_strconcat (new_route, common_routes, NULL);

  soak_record_config (++f->config_version);
  control_standin (f->base, "POST /test/put?key=op/config", config);
}

static void
set_store_mode (SoakFleet *f, const char *mode)
{
  g_autofree char *call = g_strdup_printf ("POST /test/mode?mode=%s", mode);

  control_standin (f->base, call, "");
}

static const char *
rank_fault (int variant)
{
  static const char *const kinds[SOAK_RANK_FAULTS]
      = { NULL, "broken", "full", "moved" };
  static const char *const cuts[] = { "cut", "cut-close", "cut-end" };
  const char *kind = kinds[variant % SOAK_RANK_FAULTS];

  return kind ? kind
              : cuts[variant / SOAK_RANK_FAULTS % (int)G_N_ELEMENTS (cuts)];
}

static const char *
plain_fault (const SoakFault *fault)
{
  static const char *const kinds[]
      = { "lost",    "hang",     "truncate", "fail",  "full",
          "garbage", "unsigned", "extra",    "moved", "broken" };

  if (fault->index == SOAK_DOCUMENT_TARGET)
    return fault->variant % 2 ? "cut" : "cut-close";
  return kinds[fault->variant % (int)G_N_ELEMENTS (kinds)];
}

static void
inject_target_fault (SoakFleet *f, const SoakFault *fault)
{
  const char *kind = fault->index < SOAK_N_PLAIN_TARGETS
                         ? plain_fault (fault)
                         : rank_fault (fault->variant);

  wait_for_listener (target_port (f, fault->index));
  p_inject_fault (target_port (f, fault->index), 1, kind,
                  1 + fault->variant % FAULT_REQUESTS_MAX);
}

static void
restore_store (SoakFleet *f, const SoakFault *fault)
{
  const int rewrite_ms[] = { 100, 400, REWRITE_MAX_MS };
  g_autofree char *call = g_strdup_printf (
      "POST /test/restore?rewrite-ms=%d",
      rewrite_ms[fault->variant % (int)G_N_ELEMENTS (rewrite_ms)]);

  control_standin (f->base, call, "");
}

static void
request_pauses (SoakFleet *f, const SoakFault *fault)
{
  static const char *const values[]
      = { "0.3", "1", "2.5", "0.75", "0", "-1", "soon" };
  g_autofree char *call
      = g_strdup_printf ("POST /test/pause?s=%s",
                         values[fault->variant % (int)G_N_ELEMENTS (values)]);

  control_standin (target_port (f, fault->index), call, "");
}

static void
inject_network_fault (SoakFleet *f, const SoakFault *fault)
{
  const int signals[] = { SIGUSR1, SIGUSR2, SIGHUP };

  p_signal (f->proxies[fault->index], signals[fault->variant % 3]);
}

static void
end_network_fault (SoakFleet *f, const SoakFault *fault)
{
  if (fault->variant % 3 == 1)
    p_signal (f->proxies[fault->index], SIGUSR2);
}

/* Returns the data centre that @fault evacuates: one of the two, or one that
 * does not exist. */
static int
evacuated_dc (const SoakFault *fault)
{
  return 1 + fault->variant % 3;
}

static void
evacuate (SoakFleet *f, const SoakFault *fault)
{
  g_autofree char *call = g_strdup_printf (
      "POST /test/put?key=op/evacuate/dc%d", evacuated_dc (fault));

  control_standin (f->base, call, fault->variant % 2 ? "{}" : "");
}

/* Whether another fault of the plan sets and ends the same state as @fault
 * meanwhile, so that nothing can be said of it. */
static gboolean
has_twin (const SoakFleet *f, const SoakFault *fault)
{
  for (guint i = 0; i < f->plan->faults->len; i++)
    {
      const SoakFault *o = &g_array_index (f->plan->faults, SoakFault, i);
      gboolean same = fault->kind == SOAK_EVACUATE
                          ? evacuated_dc (o) == evacuated_dc (fault)
                          : o->index == fault->index;

      if (o != fault && o->kind == fault->kind && same
          && o->at_ms <= fault->at_ms + fault->duration_ms + TWIN_MARGIN_MS
          && fault->at_ms <= o->at_ms + o->duration_ms + TWIN_MARGIN_MS)
        return TRUE;
    }
  return FALSE;
}

static void
warm_up (SoakFleet *f, const ActiveFault *active)
{
  int port = target_port (f, active->fault->index);

  if (!has_twin (f, active->fault))
    soak_record_cold (port, active->from_ms + SOAK_COLD_MS, soak_now_ms ());
  control_standin (port, "POST /test/cold?ms=0", "");
}

static void
take_back (SoakFleet *f, const ActiveFault *active)
{
  int dc = evacuated_dc (active->fault);
  g_autofree char *call
      = g_strdup_printf ("POST /test/delete?key=op/evacuate/dc%d", dc);

  if (!has_twin (f, active->fault))
    soak_record_evacuation (dc, active->from_ms + SOAK_EVACUATE_MS,
                            soak_now_ms ());
  control_standin (f->base, call, "");
}

static void
omit_fields (SoakFleet *f, const SoakFault *fault)
{
  static const char *const lists[]
      = { "born-in-counts", "born-in-counts,epoch-in-counts,step-in-counts",
          "born-in-reports", "born-in-reports,born-in-counts" };
  g_autofree char *call
      = g_strdup_printf ("POST /test/omit?fields=%s",
                         lists[fault->variant % (int)G_N_ELEMENTS (lists)]);

  control_standin (target_port (f, fault->index), call, "");
}

static void
begin_fault (SoakFleet *f, const SoakFault *fault)
{
  static const char *const store_modes[]
      = { "silent", "busy", "reset", "slow", "some", "stale" };

  switch (fault->kind)
    {
    case SOAK_ROLL:
      send_signal (&f->gateways[fault->index], SIGTERM);
      break;
    case SOAK_HUP:
      send_signal (&f->gateways[fault->index], SIGHUP);
      break;
    case SOAK_CONFIG:
      write_next_config (f);
      break;
    case SOAK_DRAIN:
      control_standin (target_port (f, fault->index), "POST /test/drain", "");
      break;
    case SOAK_LEAVE:
      control_standin (target_port (f, fault->index), "POST /test/leave", "");
      break;
    case SOAK_PAUSE:
      request_pauses (f, fault);
      break;
    case SOAK_KILL:
      kill_and_restart_after (&f->gateways[fault->index], fault->duration_ms);
      break;
    case SOAK_FREEZE:
      wait_for_held_pass (f, fault);
      freeze (&f->gateways[fault->index]);
      break;
    case SOAK_STORE:
      set_store_mode (
          f, store_modes[fault->variant % (int)G_N_ELEMENTS (store_modes)]);
      break;
    case SOAK_FORGET:
      control_standin (f->base, "POST /test/forget", "");
      break;
    case SOAK_RESTORE:
      control_standin (f->base, "POST /test/copy", "");
      break;
    case SOAK_TARGET:
      inject_target_fault (f, fault);
      break;
    case SOAK_CRASH:
      control_standin (target_port (f, fault->index),
                       "POST /test/restart?same=1", "");
      break;
    case SOAK_NET:
      inject_network_fault (f, fault);
      break;
    case SOAK_AGENT_KILL:
      kill_and_restart_after (&f->agents[fault->index], fault->duration_ms);
      break;
    case SOAK_AGENT_FREEZE:
      wait_for_held_pass (f, fault);
      freeze (&f->agents[fault->index]);
      break;
    case SOAK_EVACUATE:
      evacuate (f, fault);
      break;
    case SOAK_COLD:
      control_standin (target_port (f, fault->index), "POST /test/cold?ms=9000",
                       "");
      break;
    case SOAK_OMIT:
      omit_fields (f, fault);
      break;
    case SOAK_SKEW: /* callers follow the plan themselves */
    case SOAK_BURST:
    case SOAK_N_KINDS:
      break;
    }
}

static void
end_fault (SoakFleet *f, const ActiveFault *active)
{
  const SoakFault *fault = active->fault;

  switch (fault->kind)
    {
    case SOAK_DRAIN: /* restart under another id at the same address */
    case SOAK_LEAVE:
      control_standin (target_port (f, fault->index), "POST /test/restart", "");
      break;
    case SOAK_PAUSE:
      control_standin (target_port (f, fault->index), "POST /test/pause", "");
      break;
    case SOAK_FREEZE:
      unfreeze (&f->gateways[fault->index]);
      break;
    case SOAK_STORE:
      set_store_mode (f, "up");
      break;
    case SOAK_RESTORE:
      restore_store (f, fault);
      break;
    case SOAK_TARGET:
      wait_for_listener (target_port (f, fault->index));
      p_inject_fault (target_port (f, fault->index), 1, "none", 0);
      break;
    case SOAK_NET:
      end_network_fault (f, fault);
      break;
    case SOAK_AGENT_FREEZE:
      unfreeze (&f->agents[fault->index]);
      break;
    case SOAK_EVACUATE:
      take_back (f, active);
      break;
    case SOAK_COLD:
      warm_up (f, active);
      break;
    case SOAK_OMIT:
      control_standin (target_port (f, fault->index), "POST /test/omit", "");
      break;
    default:
      break;
    }
  if (fault->kind > SOAK_LAST_PLANNED && fault->kind < SOAK_FIRST_ADDED)
    soak_record_unplanned_fault (active->from_ms, soak_now_ms ());
}

static void
begin_due_faults (SoakFleet *f, gint64 start_ms)
{
  for (; f->next_fault < f->plan->faults->len; f->next_fault++)
    {
      const SoakFault *fault
          = &g_array_index (f->plan->faults, SoakFault, f->next_fault);
      ActiveFault active
          = { fault, soak_now_ms (), soak_now_ms () + fault->duration_ms };

      if (soak_now_ms () < start_ms + fault->at_ms)
        return;
      printf ("  played at_ms=%" G_GINT64_FORMAT " %s whom=%d\n",
              active.from_ms, soak_kind_name (fault->kind), fault->index);
      begin_fault (f, fault);
      g_array_append_val (f->active_faults, active);
    }
}

static void
end_due_faults (SoakFleet *f)
{
  for (guint i = f->active_faults->len; i > 0; i--)
    {
      ActiveFault active = g_array_index (f->active_faults, ActiveFault, i - 1);

      if (soak_now_ms () < active.to_ms)
        continue;
      end_fault (f, &active);
      g_array_remove_index (f->active_faults, i - 1);
    }
}

/* Whether all faults have begun and ended, all processes run, and no gateway is
 * about to stop. */
static gboolean
is_plan_finished (const SoakFleet *f)
{
  if (f->next_fault < f->plan->faults->len || f->active_faults->len)
    return FALSE;
  for (int i = 0; i < f->plan->gateways; i++)
    if (!f->gateways[i].pid || f->gateways[i].sigterm_ms)
      return FALSE;
  for (int i = 0; i < f->plan->ranks; i++)
    if (!f->agents[i].pid)
      return FALSE;
  return TRUE;
}

void
soak_fleet_run_plan (SoakFleet *f)
{
  gint64 start_ms = soak_now_ms ();

  while (!is_plan_finished (f))
    {
      begin_due_faults (f, start_ms);
      end_due_faults (f);
      for (int i = 0; i < f->plan->gateways; i++)
        supervise (f, &f->gateways[i]);
      for (int i = 0; i < f->plan->ranks; i++)
        supervise (f, &f->agents[i]);
      soak_shared_tick ();
      g_usleep (POLL_INTERVAL_US);
    }
}

/* Records the runs of one target: {"id":times, ...} */
static void
record_runs (char *json)
{
  g_auto (GStrv) fields = g_strsplit (g_strdelimit (json, "{}\"", ' '), ",", 0);

  for (char **p = fields; *p; p++)
    {
      char *colon = strrchr (*p, ':');

      if (!colon)
        continue;
      *colon = '\0';
      soak_record_runs (g_strstrip (*p), atoi (colon + 1));
    }
}

void
soak_fleet_check_targets (SoakFleet *f)
{
  int n = SOAK_N_PLAIN_TARGETS + f->plan->ranks;

  for (int i = 0; i < n; i++)
    {
      g_autofree char *runs
          = p_call_standin (target_port (f, i), "GET /test/ran", "");

      record_runs (runs);
      soak_check_arrivals (target_port (f, i));
      if (soak_has_only_planned_faults ())
        soak_check_placement (i, target_port (f, i));
    }
  soak_check_retries ();
  if (soak_has_only_planned_faults ()
      && p_sum_runs (target_port (f, 0), n, "late") > 0)
    soak_report_violation ("drain",
                           "a target still got requests after it had drained");
  if (p_sum_runs (target_port (f, SOAK_N_PLAIN_TARGETS), 1, "mixed") > 0)
    soak_report_violation (
        "one-map", "a pass began while the ranks had different expert maps");
}

void
soak_fleet_stop (SoakFleet *f)
{
  p_stop_all ();
  g_array_free (f->active_faults, TRUE);
  g_free (f->first_config);
  g_free (f);
}
