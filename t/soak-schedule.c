/*
 * Draws from a seed which faults are played, when, and on whom.
 */
#include "soak.h"

#include <stdio.h>

/** Faults begin within this time. */
#define PLAY_MS 6000
#define LASTS_MAX_MS 2500
/** Targets leave for longer than it may take until nothing comes any more. */
#define DRAIN_MORE_MS 1500
#define FAULTS_MIN 8
#define FAULTS_MAX 20
/** Each so many seeds play planned work alone: only there a connection that
 * is closed without an answer is never excused. */
#define CALM_EACH 3
/** Each so many seeds play with as many processes as the limits allow. */
#define LARGE_EACH 8

static const char *const names[SOAK_KINDS]
    = { "roll",   "hup",        "config",      "drain",  "kill",
        "freeze", "store",      "forget",      "target", "crash",
        "net",    "agent-kill", "agent-freeze" };

const char *
soak_kind_name (SoakKind k)
{
  return names[k];
}

/* A plain target as often as a rank; not the last @but plain ones. */
static int
draw_target (GRand *r, const SoakPlan *p, int but)
{
  return g_rand_boolean (r) ? g_rand_int_range (r, 0, SOAK_PLAIN - but)
                            : SOAK_PLAIN + g_rand_int_range (r, 0, p->ranks);
}

static int
draw_whom (GRand *r, const SoakPlan *p, SoakKind k)
{
  switch (k)
    {
    case SOAK_DRAIN:
    case SOAK_CRASH:
      return draw_target (r, p, 1); /* listed behind its proxy alone */
    case SOAK_TARGET:
      return draw_target (r, p, 0);
    case SOAK_AGENT_KILL:
    case SOAK_AGENT_FREEZE:
      return g_rand_int_range (r, 0, p->ranks);
    case SOAK_NET:
      return g_rand_int_range (r, 0, SOAK_PROXIES);
    default:
      return g_rand_int_range (r, 0, p->gateways);
    }
}

static SoakFault
draw_fault (GRand *r, const SoakPlan *p, int kinds)
{
  SoakFault f = { 0 };

  f.kind = (SoakKind)g_rand_int_range (r, 0, kinds);
  f.at_ms = g_rand_int_range (r, 0, PLAY_MS);
  f.lasts_ms = g_rand_int_range (r, 100, LASTS_MAX_MS);
  if (f.kind == SOAK_DRAIN)
    f.lasts_ms += DRAIN_MORE_MS;
  f.whom = draw_whom (r, p, f.kind);
  f.variant = g_rand_int_range (r, 0, 60);
  return f;
}

/* The same is done to each gateway in turn, or to all at once. */
static void
add_series (GRand *r, SoakPlan *p, gboolean calm)
{
  const SoakKind kinds[] = { SOAK_ROLL, SOAK_KILL, SOAK_FREEZE };
  SoakKind kind = calm ? SOAK_ROLL : kinds[g_rand_int_range (r, 0, 3)];
  int step_ms = g_rand_int_range (r, 0, PLAY_MS / p->gateways);

  for (int i = 0; i < p->gateways; i++)
    {
      SoakFault f = { .kind = kind, .at_ms = i * step_ms, .whom = i };

      f.lasts_ms = g_rand_int_range (r, 100, LASTS_MAX_MS);
      g_array_append_val (p->faults, f);
    }
}

static gint
by_time (gconstpointer a, gconstpointer b)
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
  gboolean calm = seed % CALM_EACH == 0;
  gboolean large = seed % LARGE_EACH == 0;
  int n = g_rand_int_range (r, FAULTS_MIN, FAULTS_MAX + 1);

  p->seed = seed;
  p->gateways = large ? SOAK_GATEWAYS_MAX : 3;
  p->ranks = large ? SOAK_RANKS_MAX : 4;
  p->callers = large ? 64 : 24;
  p->faults = g_array_new (FALSE, FALSE, sizeof (SoakFault));
  if (g_rand_boolean (r))
    add_series (r, p, calm);
  for (int i = 0; i < n; i++)
    {
      SoakFault f
          = draw_fault (r, p, calm ? SOAK_LAST_PLANNED + 1 : SOAK_KINDS);

      g_array_append_val (p->faults, f);
    }
  g_array_sort (p->faults, by_time);
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
              names[f->kind], f->whom, f->variant, f->lasts_ms);
    }
}

void
soak_plan_count_pairs (const SoakPlan *p, SoakResult *r)
{
  for (guint i = 0; i < p->faults->len; i++)
    {
      const SoakFault *a = &g_array_index (p->faults, SoakFault, i);

      for (guint j = i + 1; j < p->faults->len; j++)
        {
          const SoakFault *b = &g_array_index (p->faults, SoakFault, j);

          if (b->at_ms <= a->at_ms + a->lasts_ms)
            r->pairs[MIN (a->kind, b->kind)][MAX (a->kind, b->kind)]++;
        }
    }
}
