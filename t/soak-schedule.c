/*
 * Generates a schedule from a seed: which faults are injected, when, and into
 * which process.
 */
#include "soak.h"

#include <stdio.h>

/** Faults start within this time. */
#define SCHEDULE_MS 6000
#define DURATION_MAX_MS 2500
/** Added to the duration of a drain: the target has to stay in that state for
 * longer than gateways may take to stop sending requests to it. */
#define DRAIN_EXTRA_MS 1500
#define FAULTS_MIN 8
/** Evacuations, cold targets, omitted fields, skews and bursts in one seed. */
#define ADDED_MAX 6
#define ADDED_SEED 0x5eed
/** Faults that break answers off in one seed, and what their seed is made
 * with. */
#define CUTS_MAX 6
#define CUTS_SEED 0xc07
#define FAULTS_MAX 20
/** Every third seed has planned operations only, so that no unplanned fault
 * excuses a connection that is closed without an answer. */
#define PLANNED_ONLY_EVERY 3
/** Every eighth seed runs as many processes as SOAK_GATEWAYS_MAX and
 * SOAK_RANKS_MAX allow. */
#define LARGE_EVERY 8

static const char *const kind_names[SOAK_N_KINDS]
    = { "roll",  "hup",    "config",     "drain",        "leave",    "pause",
        "kill",  "freeze", "store",      "forget",       "restore",  "target",
        "crash", "net",    "agent-kill", "agent-freeze", "evacuate", "cold",
        "omit",  "skew",   "burst" };

const char *
soak_kind_name (SoakFaultKind k)
{
  return kind_names[k];
}

/* Chooses a plain target or a rank with equal probability, but none of the last
 * @n_excluded plain targets. */
static int
choose_target (GRand *r, const SoakPlan *p, int n_excluded)
{
  return g_rand_boolean (r)
             ? g_rand_int_range (r, 0, SOAK_N_PLAIN_TARGETS - n_excluded)
             : SOAK_N_PLAIN_TARGETS + g_rand_int_range (r, 0, p->ranks);
}

static int
choose_index (GRand *r, const SoakPlan *p, SoakFaultKind k)
{
  switch (k)
    {
    case SOAK_DRAIN:
    case SOAK_LEAVE:
    case SOAK_CRASH:
      /* Not the last plain target: it is listed at its proxy's address. */
      return choose_target (r, p, 1);
    case SOAK_PAUSE:
    case SOAK_TARGET:
      return choose_target (r, p, 0);
    case SOAK_AGENT_KILL:
    case SOAK_AGENT_FREEZE:
      return g_rand_int_range (r, 0, p->ranks);
    case SOAK_NET:
      return g_rand_int_range (r, 0, SOAK_N_PROXIES);
    default:
      return g_rand_int_range (r, 0, p->gateways);
    }
}

static SoakFault
generate_fault (GRand *r, const SoakPlan *p, int n_kinds)
{
  SoakFault f = { 0 };

  f.kind = (SoakFaultKind)g_rand_int_range (r, 0, n_kinds);
  f.at_ms = g_rand_int_range (r, 0, SCHEDULE_MS);
  f.duration_ms = g_rand_int_range (r, 100, DURATION_MAX_MS);
  if (f.kind == SOAK_DRAIN || f.kind == SOAK_LEAVE)
    f.duration_ms += DRAIN_EXTRA_MS;
  f.index = choose_index (r, p, f.kind);
  f.variant = g_rand_int_range (r, 0, 60);
  return f;
}

/* Adds the same kind of fault for every gateway: one gateway after another, or
 * all at once if the interval is 0. */
static void
add_fault_for_each_gateway (GRand *r, SoakPlan *p, gboolean planned_only)
{
  const SoakFaultKind choices[] = { SOAK_ROLL, SOAK_KILL, SOAK_FREEZE };
  SoakFaultKind kind
      = planned_only ? SOAK_ROLL : choices[g_rand_int_range (r, 0, 3)];
  int interval_ms = g_rand_int_range (r, 0, SCHEDULE_MS / p->gateways);

  for (int i = 0; i < p->gateways; i++)
    {
      SoakFault f = { .kind = kind, .at_ms = i * interval_ms, .index = i };

      f.duration_ms = g_rand_int_range (r, 100, DURATION_MAX_MS);
      g_array_append_val (p->faults, f);
    }
}

/* Adds some of the faults that are chosen apart, so that the others are the
 * same as before for each seed. */
static void
add_placement_faults (SoakPlan *p)
{
  GRand *r = g_rand_new_with_seed (p->seed ^ ADDED_SEED);
  int n = g_rand_int_range (r, 0, ADDED_MAX + 1);

  for (int i = 0; i < n; i++)
    {
      SoakFault f = { 0 };

      f.kind
          = (SoakFaultKind)g_rand_int_range (r, SOAK_FIRST_ADDED, SOAK_N_KINDS);
      f.at_ms = g_rand_int_range (r, 0, SCHEDULE_MS);
      f.duration_ms = g_rand_int_range (r, 100, DURATION_MAX_MS);
      if (f.kind != SOAK_OMIT)
        f.duration_ms += DRAIN_EXTRA_MS;
      if (f.kind == SOAK_SKEW)
        f.duration_ms = g_rand_int_range (r, 2000, 4001);
      if (f.kind == SOAK_BURST)
        f.duration_ms = g_rand_int_range (r, 1000, 2001);
      f.index = f.kind == SOAK_COLD
                    ? g_rand_int_range (r, 0, SOAK_N_PLAIN_TARGETS - 1)
                    : SOAK_N_PLAIN_TARGETS + g_rand_int_range (r, 0, p->ranks);
      if (f.kind == SOAK_SKEW)
        f.index = g_rand_int_range (r, 0, p->gateways);
      f.variant = g_rand_int_range (r, 0, 60);
      g_array_append_val (p->faults, f);
    }
  g_rand_free (r);
}

/* Adds faults that break streams and documents off, chosen apart like the ones
 * above. */
static void
add_answer_cuts (SoakPlan *p)
{
  GRand *r = g_rand_new_with_seed (p->seed ^ CUTS_SEED);
  int n = g_rand_int_range (r, 1, CUTS_MAX + 1);

  for (int i = 0; i < n; i++)
    {
      SoakFault f = { .kind = SOAK_TARGET };

      f.at_ms = g_rand_int_range (r, 0, SCHEDULE_MS);
      f.duration_ms = g_rand_int_range (r, 100, DURATION_MAX_MS);
      f.index = i % 3 == 2
                    ? SOAK_DOCUMENT_TARGET
                    : SOAK_N_PLAIN_TARGETS + g_rand_int_range (r, 0, p->ranks);
      f.variant = SOAK_RANK_FAULTS * g_rand_int_range (r, 0, 12);
      g_array_append_val (p->faults, f);
    }
  g_rand_free (r);
}

static gint
compare_time (gconstpointer a, gconstpointer b)
{
  const SoakFault *x = a;
  const SoakFault *y = b;

  return x->at_ms - y->at_ms;
}

SoakPlan *
soak_plan_new (guint32 seed)
{
  SoakPlan *p = g_new0 (SoakPlan, 1);
  GRand *r = g_rand_new_with_seed (seed);
  gboolean planned_only = seed % PLANNED_ONLY_EVERY == 0;
  gboolean large = seed % LARGE_EVERY == 0;
  int n = g_rand_int_range (r, FAULTS_MIN, FAULTS_MAX + 1);

  p->seed = seed;
  p->gateways = large ? SOAK_GATEWAYS_MAX : 3;
  p->ranks = large ? SOAK_RANKS_MAX : 4;
  p->callers = large ? 64 : 24;
  p->faults = g_array_new (FALSE, FALSE, sizeof (SoakFault));
  if (g_rand_boolean (r))
    add_fault_for_each_gateway (r, p, planned_only);
  for (int i = 0; i < n; i++)
    {
      SoakFault f = generate_fault (
          r, p, planned_only ? SOAK_LAST_PLANNED + 1 : SOAK_FIRST_ADDED);

      g_array_append_val (p->faults, f);
    }
  add_placement_faults (p);
  if (!planned_only)
    add_answer_cuts (p);
  g_array_sort (p->faults, compare_time);
  g_rand_free (r);
  return p;
}

void
soak_plan_free (SoakPlan *p)
{
  g_array_free (p->faults, TRUE);
  g_free (p);
}

void
soak_plan_print (const SoakPlan *p)
{
  printf ("seed=%u gateways=%d ranks=%d callers=%d\n", p->seed, p->gateways,
          p->ranks, p->callers);
  for (guint i = 0; i < p->faults->len; i++)
    {
      const SoakFault *f = &g_array_index (p->faults, SoakFault, i);

      printf ("  at_ms=%d %s whom=%d variant=%d lasts_ms=%d\n", f->at_ms,
              kind_names[f->kind], f->index, f->variant, f->duration_ms);
    }
}

void
soak_plan_count_overlaps (const SoakPlan *p, SoakResult *r)
{
  for (guint i = 0; i < p->faults->len; i++)
    {
      const SoakFault *a = &g_array_index (p->faults, SoakFault, i);

      for (guint j = i + 1; j < p->faults->len; j++)
        {
          const SoakFault *b = &g_array_index (p->faults, SoakFault, j);

          if (b->at_ms <= a->at_ms + a->duration_ms)
            r->overlaps[MIN (a->kind, b->kind)][MAX (a->kind, b->kind)]++;
        }
    }
}
