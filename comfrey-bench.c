/*
 * The placement bench: plays a seeded workload whose expert popularity
 * drifts over groups of lock-step ranks, once for each placement policy,
 * and prints what each cost and gained side by side.
 *
 * It drives the fake engine's own ranks (fake-ranks.c), and changes their
 * maps by the agents' protocol (map-change.c), but in the time of the
 * modelled steps, so a run says the same on every machine.  A group's step
 * takes base + per-token x the tokens of its most loaded rank, as in
 * comfrey-fake-engine; experts are copied through one weight store that
 * all groups share.
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
#define OFFERED 0.9 /* of what evenly loaded groups could answer */
#define STEP_BASE_US 3000.0
#define STEP_PER_TOKEN_US 32.0
#define COPY_SLOWDOWN 1.15  /* steps while experts are copied */
#define SWITCH_HOLD_US 2000 /* the hold at the agreed step */
#define EXPERT_MB 24.0
#define STORE_MB_PER_S 2000.0
#define REPORT_US 500000.0 /* between load reports, and their lag */
#define REPORT_LOST 0.1    /* share of reports that never come */
#define REPORT_WEIGHT 0.5
#define PLAN_US 2000000.0
#define ZIPF 0.8

/* How popularity drifts over the run. */
typedef enum
{
  DRIFT_SURGES, /* another set of experts is hot, twice, within seconds */
  DRIFT_SEASON, /* the hot set wanders steadily */
} Drift;

typedef struct
{
  const char *name;
  Drift drift;
  CfPlacement bounded; /* the deployment's own weights */
} Deployment;

static const Deployment deployments[] = {
  { "aspen",
    DRIFT_SURGES,
    { CF_PLACEMENT_BOUNDED,
      { .bounded
        = { .skew_weight = 1.0, .move_weight = 0.004, .max_moves = 16 } } } },
  { "beritba",
    DRIFT_SEASON,
    { CF_PLACEMENT_BOUNDED,
      { .bounded
        = { .skew_weight = 1.0, .move_weight = 0.01, .max_moves = 16 } } } },
};

/* What lives for one group of ranks through a run. */
typedef struct
{
  int ranks;
  FakeRanks fake;
  pthread_mutex_t lock; /* the fake ranks want one; there is one thread */
  gint64 turn;          /* of map changes */
  CfExpertMap *next;    /* being copied */
  CfExpertPopularity seen;
  double counts[EXPERTS];                    /* tokens drawn since the start */
  double reported[EXPERTS];                  /* the report on its way */
  double now, report_at, plan_at, copied_at; /* us */
  int *left; /* tokens each running request still wants */
  int running, waiting;
  gboolean report_sent;
} Group;

/* What one run adds up to. */
typedef struct
{
  GArray *skew; /* per step: slowest rank / mean */
  GArray *step; /* per step, ms */
  gint64 moved, changes, copy_steps, answered;
  gint64 mixed; /* steps in which two ranks used different maps */
} Totals;

static int
by_value (gconstpointer a, gconstpointer b)
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
popularity (int expert, double shift)
{
  double rank = fmod (expert - shift + 2 * EXPERTS, EXPERTS);

  return 1.0 / pow (rank + 1, ZIPF);
}

/* The popularity of every expert at @now of a run of @length us.  Hot
 * experts lie far apart in the numbering, so map 1 does not favour any. */
static void
drifted (Drift drift, double now, double length, double *share)
{
  static const double hot[] = { 0, 87, 13 }; /* the sets of the surges */
  double phase = now / length;
  int surge = (int)(phase * 3);
  double from = 0;
  double to = 0;
  double mix = 1;

  switch (drift)
    {
    case DRIFT_SURGES:
      from = hot[MAX (surge - 1, 0)];
      to = hot[surge];
      /* The new set takes over within the first tenth of its phase. */
      mix = MIN (fmod (phase, 1.0 / 3) * 30, 1.0);
      break;
    case DRIFT_SEASON:
      from = floor (phase * 32);
      to = from + 1;
      mix = phase * 32 - from;
      break;
    }
  for (int e = 0; e < EXPERTS; e++)
    {
      int spread = e * 37 % EXPERTS;

      share[e] = (1 - mix) * popularity (spread, from)
                 + mix * popularity (spread, to);
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
  cf_expert_popularity_init (&g->seen, EXPERTS);
  g->left = g_new0 (int, SLOTS_PER_RANK *ranks);
  /* Groups do not all report and plan at the same moment. */
  g->report_at = REPORT_US * index / GROUPS;
  g->plan_at = PLAN_US * (1 + (double)index / GROUPS);
}

static void
group_clear (Group *g)
{
  fake_ranks_clear (&g->fake);
  pthread_mutex_destroy (&g->lock);
  cf_expert_map_free (g->next);
  cf_expert_popularity_clear (&g->seen);
  g_free (g->left);
}

/* Load reports: taken, and one interval later received, or lost. */
static void
report (Group *g, gsl_rng *rng)
{
  if (g->now < g->report_at)
    return;
  g->report_at += REPORT_US;
  if (g->report_sent && gsl_rng_uniform (rng) >= REPORT_LOST)
    cf_expert_popularity_add_report (&g->seen, g->reported, REPORT_WEIGHT);
  memcpy (g->reported, g->counts, sizeof g->counts);
  g->report_sent = TRUE;
}

static CfRankOpResult
on_order (void *data, int rank, const CfRankOp *op)
{
  Group *g = data;
  json_t *o = cf_rank_op_to_json (op);
  const char *why = fake_ranks_obey (&g->fake, rank, o);

  json_decref (o);
  return why ? CF_RANK_OP_REFUSED : CF_RANK_OP_DONE;
}

static CfRankOpResult
on_report (void *data, int rank, CfRankReport *out)
{
  Group *g = data;

  fake_ranks_read (&g->fake, rank, out);
  return CF_RANK_OP_DONE;
}

static gboolean
on_pause (void *data, int ms)
{
  (void)data;
  (void)ms;
  return FALSE;
}

static gint64
on_now (void *data)
{
  const Group *g = data;

  return (gint64)(g->now / 1000);
}

/* The copies are whole: changes the map a few steps from now. */
static void
change_map (Group *g, Totals *t)
{
  const CfMapChangeLimits limits
      = { .prepare_ms = 0, .settle_ms = 0, .steps_ahead = 8 };
  CfRankOps ops = { .data = g,
                    .ranks = g->ranks,
                    .order = on_order,
                    .report = on_report,
                    .pause = on_pause,
                    .now = on_now };

  t->changes += cf_map_change_run (&ops, ++g->turn, fake_ranks_map (&g->fake),
                                   g->next, &limits)
                == CF_MAP_CHANGE_DONE;
  g_clear_pointer (&g->next, cf_expert_map_free);
  g->now += SWITCH_HOLD_US;
}

static void
plan (Group *g, const CfPlacement *policy, double *store_free, Totals *t)
{
  CfPlacementPlan p;

  if (g->next && g->now >= g->copied_at)
    change_map (g, t);
  if (g->next || g->now < g->plan_at)
    return;
  g->plan_at = g->now + PLAN_US;
  p = cf_placement_plan (policy, fake_ranks_map (&g->fake), g->seen.tokens);
  if (p.map == NULL)
    return;
  g->next = p.map;
  t->moved += p.moves;
  *store_free
      = MAX (*store_free, g->now) + p.moves * EXPERT_MB / STORE_MB_PER_S * 1e6;
  g->copied_at = *store_free;
}

static void
step (Group *g, const double *share, gsl_rng *rng, Totals *t)
{
  int slots = SLOTS_PER_RANK * g->ranks;
  unsigned int drawn[EXPERTS];
  double tokens[EXPERTS];
  g_autofree double *load = g_new (double, g->ranks);
  double rate
      = OFFERED * slots
        / (TOKENS_PER_REQUEST
           * (STEP_BASE_US
              + STEP_PER_TOKEN_US * SLOTS_PER_RANK * EXPERTS_PER_TOKEN));
  const CfExpertMap *map;
  gint64 stall_ms;
  double skew;
  double us;

  pthread_mutex_lock (&g->lock);
  map = fake_ranks_begin_step (&g->fake, &stall_ms);
  pthread_mutex_unlock (&g->lock);
  while (g->running < slots && g->waiting > 0)
    {
      g->left[g->running++] = TOKENS_PER_REQUEST;
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
  us = STEP_BASE_US
       + STEP_PER_TOKEN_US * cf_expert_map_compute_load (map, tokens, load);
  if (g->next)
    {
      us *= COPY_SLOWDOWN;
      t->copy_steps++;
    }
  if (g->running > 0)
    {
      skew = cf_placement_skew (map, tokens);
      g_array_append_val (t->skew, skew);
      us /= 1000;
      g_array_append_val (t->step, us);
      us *= 1000;
    }
  for (int i = 0; i < g->running;)
    {
      if (--g->left[i] > 0)
        {
          i++;
          continue;
        }
      g->left[i] = g->left[--g->running];
      t->answered++;
    }
  g->now += us;
  g->waiting += (int)gsl_ran_poisson (rng, rate * us);
}

static void
run (const Deployment *d, const CfPlacement *policy, double length,
     unsigned long seed, Totals *t)
{
  static const int sizes[] = { 8, 16, 32, 64, 128 };
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);
  g_autofree Group *groups = g_new0 (Group, GROUPS);
  double share[EXPERTS];
  double store_free = 0;

  gsl_rng_set (rng, seed);
  for (int i = 0; i < GROUPS; i++)
    group_init (&groups[i], sizes[i % G_N_ELEMENTS (sizes)], i);
  for (;;)
    {
      Group *g = &groups[0];

      for (int i = 1; i < GROUPS; i++)
        if (groups[i].now < g->now)
          g = &groups[i];
      if (g->now >= length)
        break;
      drifted (d->drift, g->now, length, share);
      report (g, rng);
      plan (g, policy, &store_free, t);
      step (g, share, rng, t);
    }
  for (int i = 0; i < GROUPS; i++)
    {
      t->mixed += groups[i].fake.mixed;
      group_clear (&groups[i]);
    }
  gsl_rng_free (rng);
}

static void
print_row (const Deployment *d, const CfPlacement *policy, Totals *t, FILE *csv)
{
  g_array_sort (t->skew, by_value);
  g_array_sort (t->step, by_value);
  printf ("%-8s %-8s %8.2f %8.2f %8.2f %8.2f %8" G_GINT64_FORMAT
          " %9.1f %8" G_GINT64_FORMAT " %10" G_GINT64_FORMAT
          " %9" G_GINT64_FORMAT "\n",
          d->name, cf_placement_kind_name (policy->kind),
          percentile (t->skew, 50), percentile (t->skew, 99),
          percentile (t->step, 50), percentile (t->step, 99), t->moved,
          (double)t->moved * EXPERT_MB / 1e3, t->changes, t->copy_steps,
          t->answered);
  if (csv)
    fprintf (csv,
             "%s,%s,%.4f,%.4f,%.4f,%.4f,%" G_GINT64_FORMAT
             ",%.1f,%" G_GINT64_FORMAT ",%" G_GINT64_FORMAT ",%" G_GINT64_FORMAT
             "\n",
             d->name, cf_placement_kind_name (policy->kind),
             percentile (t->skew, 50), percentile (t->skew, 99),
             percentile (t->step, 50), percentile (t->step, 99), t->moved,
             (double)t->moved * EXPERT_MB / 1e3, t->changes, t->copy_steps,
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
      "Modelled time of a run, in seconds", "N" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed of the workload", "N" },
    { "move-weight", 0, 0, G_OPTION_ARG_DOUBLE, &move_weight,
      "Try this cost of copying one expert for both sites", "X" },
    { "max-moves", 0, 0, G_OPTION_ARG_INT, &max_moves,
      "Try this many experts copied at most in one change", "N" },
    { "csv", 0, 0, G_OPTION_ARG_FILENAME, &csv_path,
      "Write the table as CSV too", "FILE" },
    { NULL },
  };
  int rc;
  gint64 mixed = 0;
  FILE *csv = NULL;

  rc = cf_daemon_parse_options (
      &argc, &argv, "comfrey-bench",
      "Plays drifting expert popularity over 16 groups of 8 to 128 "
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
          Totals t = { .skew = g_array_new (FALSE, FALSE, sizeof (double)),
                       .step = g_array_new (FALSE, FALSE, sizeof (double)) };

          run (d, &policies[p], seconds * 1e6, (unsigned long)seed, &t);
          print_row (d, &policies[p], &t, csv);
          mixed += t.mixed;
          g_array_unref (t.skew);
          g_array_unref (t.step);
        }
    }
  if (csv)
    fclose (csv);
  if (mixed > 0)
    fprintf (stderr,
             "comfrey-bench: %" G_GINT64_FORMAT " steps with two maps\n",
             mixed);
  return mixed > 0;
}
