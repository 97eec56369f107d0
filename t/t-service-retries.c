/* The retry budget is a promise of the fleet over any window of time, whatever
 * happens to its gateways.  Gateways without a network exchange what their
 * hellos say of the budget; all requests fail. */
#include "gateway/peer-msg.h"
#include "gateway/service-retries.h"
#include "harness.h"

#include <string.h>

#define N_SEEDS 3
#define NODES_MAX 208
#define SERVICE "s"
#define RETRY_RATIO 0.2
#define WINDOW_MS 10000
#define STEP_MS 10
#define TICK_MS 50
#define HELLO_MS 1000
#define MEMBER_TIMEOUT_MS 10000
/** Time until faults begin; all budgets are full by then. */
#define CALM_MS 12000
#define RUN_MS 36000
#define FAULT_INTERVAL_MS 1000
/** Longest time from the end of a process to the start of the next one. */
#define DOWN_MS_MAX 500
#define SEEDS 6

/** Fault: what happens to the gateways once in FAULT_INTERVAL_MS. */
typedef enum
{
  FAULT_SERIES,  /* most are killed */
  FAULT_ALL,     /* all are killed */
  FAULT_RENAMED, /* most are killed; those that are no seeds get new addresses
                  */
  FAULT_CUTS,    /* some are killed, some are cut off in one direction */
  FAULT_ROLL,    /* the next one is stopped as planned */
  N_FAULTS,
} Fault;

typedef struct
{
  CfGateway g;
  gboolean is_running;
  gint64 starts_ms; /* when it starts, if it is not running */
  gint64 stops_ms;  /* when its planned stop ends; 0: it has none */
  gint64 hello_ms;
  gboolean hears;
  gboolean is_heard;
  int n_renamed;
  gint64 seqs[N_SEEDS];     /* of its latest message at each seed */
  gint64 heard_ms[N_SEEDS]; /* when each seed last heard it */
} Node;

static Node nodes[NODES_MAX];
static int n_nodes;
static gint64 now_ms;
static gint64 failures_from_ms; /* when requests begin to fail */
static GRand *rnd;
static int repeats[RUN_MS / STEP_MS];
static int requests[RUN_MS / STEP_MS];

static void
start_node (int i)
{
  Node *n = &nodes[i];
  int slack = n_nodes > 4 ? 1040 : 88;
  g_autofree char *text = g_strdup_printf (
      "ip=1.1.1.1\nlisten.front=1.1.1.1:8\nlisten.ready=1.1.1.1:9\n"
      "listen.control=%d.1.1.%d:1\nplatform.addr=1.1.1.9:1\n"
      "seed-addrs=1.1.1.0:1%s\n"
      "bounds.retry-ratio=%g\nbounds.retry-slack=%d\n",
      1 + n->n_renamed, i, n_nodes > 1 ? ",1.1.1.1:1,1.1.1.2:1" : "",
      RETRY_RATIO, slack);
  CfPlatformSettings set;

  ck_assert_int_eq (cf_platform_settings_parse (text, CF_ROLE_GATEWAY, &set),
                    CF_OK);
  cf_gateway_init (&n->g, NULL, &set);
  n->g.now_ms = now_ms;
  n->g.started_ms = now_ms;
  n->is_running = TRUE;
  n->stops_ms = 0;
  n->hello_ms = 0;
  cf_gateway_service_state (&n->g, SERVICE);
}

static void
end_node (int i, int down_ms)
{
  Node *n = &nodes[i];

  if (!n->is_running)
    return;
  cf_gateway_clear (&n->g);
  n->is_running = FALSE;
  n->starts_ms = now_ms + down_ms;
  memset (n->seqs, 0, sizeof n->seqs);
  for (int k = 0; i < N_SEEDS && k < n_nodes; k++)
    nodes[k].seqs[i] = nodes[k].heard_ms[i] = 0;
}

/* Seeds know the gateways that they have heard; others believe the seeds. */
static void
update_fleet (Node *to, int to_index, const Node *from)
{
  guint n = 1;

  to->g.has_peer_fleet = TRUE;
  for (int k = 0; to_index < N_SEEDS && k < n_nodes; k++)
    n += k != to_index && nodes[k].heard_ms[to_index]
         && now_ms - nodes[k].heard_ms[to_index] < MEMBER_TIMEOUT_MS;
  cf_gateway_set_fleet_size (&to->g, MAX (n, from->g.fleet_size));
}

static void
send_hello (int from, int to)
{
  Node *a = &nodes[from];
  Node *b = &nodes[to];
  CfPeerRetries r = { a->g.retries.run, a->g.retries.seq, 0, NULL, NULL };
  GArray *inherited;
  gboolean has_to_reply
      = to < N_SEEDS && cf_service_retries_is_ack_needed (&a->g);

  if (from == to || !a->is_running || !b->is_running || !a->is_heard
      || !b->hears)
    return;
  inherited
      = cf_service_retries_steal_inherited (&a->g, b->g.settings.control_addr);
  r.ack = from < N_SEEDS ? b->seqs[from] : 0;
  r.reserves = cf_service_retries_pack (a->g.retries.stated);
  r.inherited = cf_service_retries_pack (inherited);
  if (to < N_SEEDS)
    {
      a->seqs[to] = r.seq;
      a->heard_ms[to] = now_ms;
    }
  update_fleet (b, to, a);
  has_to_reply
      |= cf_service_retries_take (&b->g, a->g.settings.control_addr, &r);
  g_array_unref (r.reserves);
  g_array_unref (r.inherited);
  if (inherited)
    g_array_unref (inherited);
  if (has_to_reply)
    send_hello (to, from);
}

static void
tick (int i)
{
  Node *n = &nodes[i];
  gboolean is_regular = now_ms - n->hello_ms >= HELLO_MS;

  n->g.now_ms = now_ms;
  cf_service_retries_tick (&n->g);
  if (is_regular)
    {
      n->hello_ms = now_ms;
      cf_service_retries_state (&n->g);
    }
  if (!is_regular && !n->g.retries.is_due)
    return;
  n->g.retries.is_due = FALSE;
  for (int k = 0; k < (i < N_SEEDS && is_regular ? n_nodes : N_SEEDS); k++)
    if (k < n_nodes)
      send_hello (i, k);
}

/* Returns the rate of requests at each gateway.  It is so low that the slack is
 * a great part of what the fleet may send. */
static int
get_requests_per_s (void)
{
  if (n_nodes == 1)
    return 50;
  return n_nodes <= 4 ? 20 : 5;
}

static void
send_requests (Node *n)
{
  CfRetryBudget *b = &cf_gateway_service_state (&n->g, SERVICE)->budget;
  int step = (int)(now_ms / STEP_MS);

  if (g_rand_double (rnd) >= get_requests_per_s () * STEP_MS / 1000.0)
    return;
  requests[step]++;
  cf_retry_budget_add_request (b);
  if (now_ms < failures_from_ms || !cf_retry_budget_hold (b))
    return;
  cf_retry_budget_spend (b);
  repeats[step]++;
}

static void
kill_some (double fraction, gboolean renames)
{
  for (int i = 0; i < n_nodes; i++)
    if (g_rand_double (rnd) < fraction)
      {
        end_node (i, g_rand_int_range (rnd, 20, DOWN_MS_MAX));
        nodes[i].n_renamed += renames && i >= N_SEEDS;
      }
}

static void
inject (Fault f)
{
  int next = (int)(now_ms / FAULT_INTERVAL_MS) % n_nodes;

  switch (f)
    {
    case FAULT_SERIES:
      kill_some (0.6, FALSE);
      break;
    case FAULT_ALL:
      kill_some (1.0, FALSE);
      break;
    case FAULT_RENAMED:
      kill_some (0.6, TRUE);
      break;
    case FAULT_CUTS:
      kill_some (0.3, FALSE);
      for (int i = 0; i < n_nodes; i++)
        {
          nodes[i].hears = g_rand_double (rnd) < 0.8;
          nodes[i].is_heard = g_rand_double (rnd) < 0.8;
        }
      break;
    case FAULT_ROLL:
      if (!nodes[next].is_running)
        break;
      nodes[next].g.stopping = TRUE;
      nodes[next].stops_ms = now_ms + FAULT_INTERVAL_MS + 2 * TICK_MS;
      break;
    case N_FAULTS:
      break;
    }
}

static void
run_step (Fault f)
{
  if (now_ms >= CALM_MS && now_ms % FAULT_INTERVAL_MS == 0)
    inject (f);
  for (int i = 0; i < n_nodes; i++)
    {
      Node *n = &nodes[i];

      if (n->is_running && n->stops_ms && now_ms >= n->stops_ms)
        end_node (i, TICK_MS);
      if (!n->is_running && now_ms >= n->starts_ms)
        start_node (i);
      if (!n->is_running)
        continue;
      if (now_ms % TICK_MS == 0)
        tick (i);
      if (!n->g.stopping)
        send_requests (n);
    }
}

static void
begin_fleet (int n, guint32 seed)
{
  memset (repeats, 0, sizeof repeats);
  memset (requests, 0, sizeof requests);
  memset (nodes, 0, sizeof nodes);
  rnd = g_rand_new_with_seed (seed);
  n_nodes = n;
  now_ms = 0;
  failures_from_ms = CALM_MS;
  for (int i = 0; i < n; i++)
    nodes[i].hears = nodes[i].is_heard = TRUE;
}

static void
end_fleet (void)
{
  for (int i = 0; i < n_nodes; i++)
    end_node (i, 0);
  g_rand_free (rnd);
}

static void
check_windows (int slack, Fault f, guint32 seed)
{
  int n_repeats = 0;
  int n_requests = 0;

  for (int s = 0; s < RUN_MS / STEP_MS; s++)
    {
      int old = s - WINDOW_MS / STEP_MS;

      n_repeats += repeats[s] - (old >= 0 ? repeats[old] : 0);
      n_requests += requests[s] - (old >= 0 ? requests[old] : 0);
      ck_assert_msg (n_repeats <= RETRY_RATIO * n_requests + slack,
                     "%d gateways, fault %d, seed %u: %d repeats for %d "
                     "requests in the window that ends at %d ms",
                     n_nodes, f, seed, n_repeats, n_requests, s * STEP_MS);
    }
}

static void
check_fleet (int n, int slack, int n_seeds)
{
  for (Fault f = 0; f < N_FAULTS; f++)
    for (guint32 seed = 1; seed <= (guint32)n_seeds; seed++)
      {
        begin_fleet (n, seed);
        for (; now_ms < RUN_MS; now_ms += STEP_MS)
          run_step (f);
        check_windows (slack, f, seed);
        end_fleet ();
      }
}

START_TEST (lone_gateway_keeps_retry_budget) { check_fleet (1, 88, SEEDS); }
END_TEST

START_TEST (four_gateways_keep_retry_budget) { check_fleet (4, 88, SEEDS); }
END_TEST

START_TEST (large_fleet_keeps_retry_budget) { check_fleet (208, 1040, 1); }
END_TEST

/* Returns the tokens that gateway @i may spend. */
static double
get_tokens (int i)
{
  CfServiceState *s = cf_gateway_service_state (&nodes[i].g, SERVICE);

  return cf_retry_budget_tokens (&s->budget) - s->reserve.bound;
}

static void
run_until (gint64 end_ms)
{
  for (; now_ms < end_ms; now_ms += STEP_MS)
    run_step (N_FAULTS);
}

/* Guards against callers whose first failures after a planned roll are not
 * retried. */
START_TEST (planned_successor_has_most_of_its_share)
{
  begin_fleet (4, 1);
  failures_from_ms = G_MAXINT64;
  run_until (CALM_MS);
  for (int i = 0; i < n_nodes; i++)
    {
      nodes[i].g.stopping = TRUE;
      nodes[i].stops_ms = now_ms + HELLO_MS + TICK_MS;
      run_until (now_ms + HELLO_MS + 6 * TICK_MS);
      ck_assert (nodes[i].is_running && !nodes[i].g.stopping);
      ck_assert_double_ge (get_tokens (i), 0.5 * 0.8 * 88 / 4 - 1);
    }
  end_fleet ();
}
END_TEST

/* Guards against a share that grows as others are not heard. */
START_TEST (cut_off_gateway_keeps_its_share)
{
  begin_fleet (4, 1);
  run_until (2 * HELLO_MS);
  nodes[0].hears = FALSE;
  run_until (2 * HELLO_MS + 2 * MEMBER_TIMEOUT_MS);
  nodes[0].g.fleet_size = 3;
  run_until (now_ms + TICK_MS);
  ck_assert_double_eq_tol (nodes[0].g.retries.share, 0.8 * 88 / 4, 1e-9);
  end_fleet ();
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("service-retries");
  TCase *t = tcase_create ("fleets");

  tcase_set_timeout (t, 60);
  tcase_add_test (t, lone_gateway_keeps_retry_budget);
  tcase_add_test (t, four_gateways_keep_retry_budget);
  tcase_add_test (t, large_fleet_keeps_retry_budget);
  tcase_add_test (t, planned_successor_has_most_of_its_share);
  tcase_add_test (t, cut_off_gateway_keeps_its_share);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
