/*
 * A benchmark of the placement policies: simulates groups of lock-step
 * ranks under a seeded workload with drifting expert popularity, once for
 * each policy, and prints a table of the policies' costs and gains.
 *
 * It uses the simulated ranks of comfrey-fake-engine (fake-ranks.c) and
 * changes their maps with the agents' protocol (map-change.c), but on the
 * simulated clock of the passes, so that a run gives the same result on
 * every machine.  A group's pass takes a base time plus a time per token of
 * its most loaded rank, as in comfrey-fake-engine.  Experts are copied from
 * one weight store that all groups share.
 */
#include "daemon.h"
#include "fake-ranks.h"
#include "placement.h"
#include "rank-group.h"

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define GROUPS 16
#define EXPERTS 128
#define SLOTS_PER_RANK 12
#define EXPERTS_PER_TOKEN 4
#define TOKENS_PER_REQUEST 96
#define OFFERED_LOAD 0.9 /* share of the capacity of evenly loaded groups */
#define PASS_BASE_US 3000.0
#define PASS_US_PER_TOKEN 32.0
#define COPY_SLOWDOWN 1.15  /* factor for passes during a copy */
#define SWITCH_HOLD_US 2000 /* a change holds the pass this long */
#define EXPERT_MB 24.0
#define STORE_MB_PER_S 2000.0
#define REPORT_INTERVAL_US 500000.0 /* also the lag of a report */
#define REPORT_LOSS_RATE 0.1
#define REPORT_EWMA_WEIGHT 0.5
#define PLAN_INTERVAL_US 2000000.0
#define ZIPF_EXPONENT 0.8

/* How expert popularity changes over a run. */
typedef enum
{
  DRIFT_SURGES, /* twice, another set of experts becomes hot in a short time */
  DRIFT_STEADY, /* the set of hot experts moves steadily */
} Drift;

typedef struct
{
  const char *name;
  Drift drift;
  CfPlacement bounded; /* the deployment's weights for this policy */
} Deployment;

static const Deployment deployments[] = {
  { "aspen",
    DRIFT_SURGES,
    { CF_PLACEMENT_BOUNDED,
      { .bounded
        = { .skew_weight = 1.0, .move_weight = 0.004, .max_moves = 16 } } } },
  { "beritba",
    DRIFT_STEADY,
    { CF_PLACEMENT_BOUNDED,
      { .bounded
        = { .skew_weight = 1.0, .move_weight = 0.01, .max_moves = 16 } } } },
};

/* One group of ranks during a run. */
typedef struct
{
  int ranks;
  FakeRanks fake;
  pthread_mutex_t lock;     /* required by @fake; there is only one thread */
  gint64 change_round;      /* number of the last map change */
  CfExpertMap *pending_map; /* its experts are being copied; or NULL */
  CfExpertPopularity popularity;
  double counts[EXPERTS];      /* tokens of each expert since the start */
  double last_report[EXPERTS]; /* counts of the report not yet delivered */
  double now_us;               /* the group's simulated clock */
  double report_due_us, plan_due_us, copy_ready_us;
  int *tokens_left; /* tokens that each running request still needs */
  int running, waiting;
  gboolean has_report; /* @last_report is set */
} Group;

/* The sums over one run. */
typedef struct
{
  GArray *skews;   /* per pass: slowest rank / mean */
  GArray *pass_ms; /* time of each pass */
  gint64 moves, changes, copy_passes, answered;
  gint64 mixed_passes; /* passes in which two ranks used different maps */
} Totals;

static int
compare_doubles (gconstpointer a, gconstpointer b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return x < y ? -1 : x > y;
}

static double
percentile (GArray *a, int p)
{
  return a->len ? g_array_index (a, double, (guint64)(a->len - 1) * p / 100)
                : 0;
}

static double
zipf_popularity (int expert, double shift)
{
  double rank = fmod (expert - shift + 2 * EXPERTS, EXPERTS);

  return 1.0 / pow (rank + 1, ZIPF_EXPONENT);
}

/* Stores the popularity of every expert at @now_us of a run of @length_us in
 * @share.  Experts of similar popularity have distant numbers, so that the
 * map version 1 does not favour any. */
static void
drifted_popularity (Drift drift, double now_us, double length_us, double *share)
{
  /* The hottest expert of each phase of DRIFT_SURGES, before spreading. */
  static const double hottest[] = { 0, 87, 13 };
  double phase = now_us / length_us;
  int surge = (int)(phase * 3);
  double from = 0;
  double to = 0;
  double mix = 1;

  switch (drift)
    {
    case DRIFT_SURGES:
      from = hottest[MAX (surge - 1, 0)];
      to = hottest[surge];
      /* The new set takes over within the first tenth of its phase. */
      mix = MIN (fmod (phase, 1.0 / 3) * 30, 1.0);
      break;
    case DRIFT_STEADY:
      from = floor (phase * 32);
      to = from + 1;
      mix = phase * 32 - from;
      break;
    }
  for (int e = 0; e < EXPERTS; e++)
    {
      int spread = e * 37 % EXPERTS;

      share[e] = (1 - mix) * zipf_popularity (spread, from)
                 + mix * zipf_popularity (spread, to);
    }
}

static void
group_init (Group *g, int ranks, int index)
{
  int places = (EXPERTS + ranks - 1) / ranks;

  g->ranks = ranks;
  pthread_mutex_init (&g->lock, NULL);
  fake_ranks_init (&g->fake, &g->lock, EXPERTS, ranks,
                   places + MAX (places / 4, 1), 0);
  cf_expert_popularity_init (&g->popularity, EXPERTS);
  g->tokens_left = g_new0 (int, SLOTS_PER_RANK *ranks);
  /* Spreads the reports and plans of the groups over the interval. */
  g->report_due_us = REPORT_INTERVAL_US * index / GROUPS;
  g->plan_due_us = PLAN_INTERVAL_US * (1 + (double)index / GROUPS);
}

static void
group_clear (Group *g)
{
  fake_ranks_clear (&g->fake);
  pthread_mutex_destroy (&g->lock);
  cf_expert_map_free (g->pending_map);
  cf_expert_popularity_clear (&g->popularity);
  g_free (g->tokens_left);
}

/* Takes a load report once per interval.  A report is delivered one interval
 * later, or lost. */
static void
deliver_report (Group *g, gsl_rng *rng)
{
  if (g->now_us < g->report_due_us)
    return;
  g->report_due_us += REPORT_INTERVAL_US;
  if (g->has_report && gsl_rng_uniform (rng) >= REPORT_LOSS_RATE)
    cf_expert_popularity_add_report (&g->popularity, g->last_report,
                                     REPORT_EWMA_WEIGHT);
  memcpy (g->last_report, g->counts, sizeof g->counts);
  g->has_report = TRUE;
}

static CfRankOpResult
send_order (void *data, int rank, const CfRankOp *op)
{
  Group *g = data;
  json_t *o = cf_rank_op_to_json (op);
  const char *refusal = fake_ranks_apply_order (&g->fake, rank, o);

  json_decref (o);
  return refusal ? CF_RANK_OP_REFUSED : CF_RANK_OP_DONE;
}

static CfRankOpResult
read_report (void *data, int rank, CfRankReport *out)
{
  Group *g = data;

  fake_ranks_read_report (&g->fake, rank, out);
  return CF_RANK_OP_DONE;
}

/* The simulated ranks answer every order, so no retry is needed. */
static gboolean
pause_coordinator (void *data, int ms)
{
  (void)data;
  (void)ms;
  return FALSE;
}

static gint64
now_ms (void *data)
{
  const Group *g = data;

  return (gint64)(g->now_us / 1000);
}

/* Switches to the pending map, whose copies are complete, a few passes
 * ahead. */
static void
switch_map (Group *g, Totals *t)
{
  const CfMapChangeLimits limits
      = { .prepare_ms = 0, .settle_ms = 0, .steps_ahead = 8 };
  CfRankOps ops = { .data = g,
                    .ranks = g->ranks,
                    .order = send_order,
                    .report = read_report,
                    .pause = pause_coordinator,
                    .now = now_ms };

  t->changes
      += cf_map_change_run (&ops, ++g->change_round, fake_ranks_map (&g->fake),
                            g->pending_map, &limits)
         == CF_MAP_CHANGE_DONE;
  g_clear_pointer (&g->pending_map, cf_expert_map_free);
  g->now_us += SWITCH_HOLD_US;
}

static void
plan_map (Group *g, const CfPlacement *policy, double *store_free_us, Totals *t)
{
  CfPlacementPlan p;

  if (g->pending_map && g->now_us >= g->copy_ready_us)
    switch_map (g, t);
  if (g->pending_map || g->now_us < g->plan_due_us)
    return;
  g->plan_due_us = g->now_us + PLAN_INTERVAL_US;
  p = cf_placement_plan (policy, fake_ranks_map (&g->fake),
                         g->popularity.tokens);
  if (p.map == NULL)
    return;
  g->pending_map = p.map;
  t->moves += p.moves;
  *store_free_us = MAX (*store_free_us, g->now_us)
                   + p.moves * EXPERT_MB / STORE_MB_PER_S * 1e6;
  g->copy_ready_us = *store_free_us;
}

static void
run_pass (Group *g, const double *share, gsl_rng *rng, Totals *t)
{
  int slots = SLOTS_PER_RANK * g->ranks;
  unsigned int drawn[EXPERTS];
  double tokens[EXPERTS];
  g_autofree double *load = g_new (double, g->ranks);
  double rate
      = OFFERED_LOAD * slots
        / (TOKENS_PER_REQUEST
           * (PASS_BASE_US
              + PASS_US_PER_TOKEN * SLOTS_PER_RANK * EXPERTS_PER_TOKEN));
  const CfExpertMap *map;
  gint64 stall_ms;
  double skew;
  double us;

  pthread_mutex_lock (&g->lock);
  map = fake_ranks_begin_pass (&g->fake, &stall_ms);
  pthread_mutex_unlock (&g->lock);
  while (g->running < slots && g->waiting > 0)
    {
      g->tokens_left[g->running++] = TOKENS_PER_REQUEST;
      g->waiting--;
    }
  gsl_ran_multinomial (rng, EXPERTS,
                       (unsigned int)(g->running * EXPERTS_PER_TOKEN), share,
                       drawn);
  for (int e = 0; e < EXPERTS; e++)
    {
      tokens[e] = drawn[e];
      g->counts[e] += drawn[e];
    }
  us = PASS_BASE_US
       + PASS_US_PER_TOKEN * cf_expert_map_compute_load (map, tokens, load);
  if (g->pending_map)
    {
      us *= COPY_SLOWDOWN;
      t->copy_passes++;
    }
  if (g->running > 0)
    {
      skew = cf_placement_skew (map, tokens);
      g_array_append_val (t->skews, skew);
      us /= 1000;
      g_array_append_val (t->pass_ms, us);
      us *= 1000;
    }
  for (int i = 0; i < g->running;)
    {
      if (--g->tokens_left[i] > 0)
        {
          i++;
          continue;
        }
      g->tokens_left[i] = g->tokens_left[--g->running];
      t->answered++;
    }
  g->now_us += us;
  g->waiting += (int)gsl_ran_poisson (rng, rate * us);
}

static void
run_policy (const Deployment *d, const CfPlacement *policy, double length_us,
            unsigned long seed, Totals *t)
{
  static const int group_sizes[] = { 8, 16, 32, 64, 128 };
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);
  g_autofree Group *groups = g_new0 (Group, GROUPS);
  double share[EXPERTS];
  double store_free_us = 0;

  gsl_rng_set (rng, seed);
  for (int i = 0; i < GROUPS; i++)
    group_init (&groups[i], group_sizes[i % G_N_ELEMENTS (group_sizes)], i);
  for (;;)
    {
      Group *g = &groups[0];

      for (int i = 1; i < GROUPS; i++)
        if (groups[i].now_us < g->now_us)
          g = &groups[i];
      if (g->now_us >= length_us)
        break;
      drifted_popularity (d->drift, g->now_us, length_us, share);
      deliver_report (g, rng);
      plan_map (g, policy, &store_free_us, t);
      run_pass (g, share, rng, t);
    }
  for (int i = 0; i < GROUPS; i++)
    {
      t->mixed_passes += groups[i].fake.mixed_passes;
      group_clear (&groups[i]);
    }
  gsl_rng_free (rng);
}

static void
print_row (const Deployment *d, const CfPlacement *policy, Totals *t, FILE *csv)
{
  g_array_sort (t->skews, compare_doubles);
  g_array_sort (t->pass_ms, compare_doubles);
  printf ("%-8s %-8s %8.2f %8.2f %8.2f %8.2f %8" G_GINT64_FORMAT
          " %9.1f %8" G_GINT64_FORMAT " %10" G_GINT64_FORMAT
          " %9" G_GINT64_FORMAT "\n",
          d->name, cf_placement_kind_name (policy->kind),
          percentile (t->skews, 50), percentile (t->skews, 99),
          percentile (t->pass_ms, 50), percentile (t->pass_ms, 99), t->moves,
          (double)t->moves * EXPERT_MB / 1e3, t->changes, t->copy_passes,
          t->answered);
  if (csv)
    fprintf (csv,
             "%s,%s,%.4f,%.4f,%.4f,%.4f,%" G_GINT64_FORMAT
             ",%.1f,%" G_GINT64_FORMAT ",%" G_GINT64_FORMAT ",%" G_GINT64_FORMAT
             "\n",
             d->name, cf_placement_kind_name (policy->kind),
             percentile (t->skews, 50), percentile (t->skews, 99),
             percentile (t->pass_ms, 50), percentile (t->pass_ms, 99), t->moves,
             (double)t->moves * EXPERT_MB / 1e3, t->changes, t->copy_passes,
             t->answered);
}

int
main (int argc, char **argv)
{
  gint seconds = 60;
  gint seed = 1;
  double move_weight = -1;
  gint max_moves = 0;
  g_autofree char *csv_path = NULL;
  GOptionEntry opts[] = {
    { "seconds", 0, 0, G_OPTION_ARG_INT, &seconds,
      "Simulated time of a run, in seconds", "N" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed of the workload", "N" },
    { "move-weight", 0, 0, G_OPTION_ARG_DOUBLE, &move_weight,
      "Override the cost of copying one expert for both sites", "X" },
    { "max-moves", 0, 0, G_OPTION_ARG_INT, &max_moves,
      "Override the maximum number of experts copied in one change", "N" },
    { "csv", 0, 0, G_OPTION_ARG_FILENAME, &csv_path,
      "Also write the table as CSV", "FILE" },
    { NULL },
  };
  int rc;
  gint64 mixed_passes = 0;
  FILE *csv = NULL;

  rc = cf_daemon_parse_options (
      &argc, &argv, "comfrey-bench",
      "Simulates drifting expert popularity in 16 groups of 8 to 128 "
      "ranks,\nonce for each placement policy, and prints a table.",
      opts);
  if (rc >= 0)
    return rc;
  if (seconds < 1 || seconds > 3600)
    {
      fprintf (stderr, "comfrey-bench: --seconds must be 1 to 3600\n");
      return 2;
    }
  if (csv_path && (csv = fopen (csv_path, "w")) == NULL)
    {
      fprintf (stderr, "comfrey-bench: cannot write %s\n", csv_path);
      return 2;
    }
  printf ("%-8s %-8s %8s %8s %8s %8s %8s %9s %8s %10s %9s\n", "site", "policy",
          "skew50", "skew99", "ms50", "ms99", "moved", "GB", "changes",
          "copysteps", "answered");
  if (csv)
    fprintf (csv, "site,policy,skew_p50,skew_p99,step_ms_p50,step_ms_p99,"
                  "experts_moved,gb_moved,changes,copy_steps,answered\n");
  for (guint i = 0; i < G_N_ELEMENTS (deployments); i++)
    {
      const Deployment *d = &deployments[i];
      CfPlacement policies[] = { { .kind = CF_PLACEMENT_NONE },
                                 { .kind = CF_PLACEMENT_GREEDY },
                                 d->bounded };

      if (move_weight >= 0)
        policies[2].u.bounded.move_weight = move_weight;
      if (max_moves > 0)
        policies[2].u.bounded.max_moves = max_moves;
      for (guint p = 0; p < G_N_ELEMENTS (policies); p++)
        {
          Totals t = { .skews = g_array_new (FALSE, FALSE, sizeof (double)),
                       .pass_ms = g_array_new (FALSE, FALSE, sizeof (double)) };

          run_policy (d, &policies[p], seconds * 1e6, (unsigned long)seed, &t);
          print_row (d, &policies[p], &t, csv);
          mixed_passes += t.mixed_passes;
          g_array_unref (t.skews);
          g_array_unref (t.pass_ms);
        }
    }
  if (csv)
    fclose (csv);
  if (mixed_passes > 0)
    fprintf (stderr,
             "comfrey-bench: %" G_GINT64_FORMAT
             " passes in which two ranks used different maps\n",
             mixed_passes);
  return mixed_passes > 0;
}
