#include "map-plan.h"

#include "set-plan.h"

/** Moves looked for in a set at most: each copies an expert or two. */
#define MOVES_MAX 64

/* The plans of all sets stand side by side: the copies that a rank may make
 * are shared over the sets, so the best move of all is made first. */
struct CfMapPlan
{
  const CfGroupMap *from;
  CfGroupMap *m;
  CfPlanLimits limits;
  int n;
  CfSetPlan *sets;
  CfMove *best;   /* by set */
  double *relief; /* by set: of its best move; 0 if it has none */
  int *added;     /* by rank: what it copies of all sets */
  double *pace;   /* by rank; NULL: all as usual */
  double skew_before;
  int n_looked; /* sets whose first move has been looked for */
  int n_moves;  /* looked at after that */
  gboolean done;
};

static double
skew_of (const CfSetPlan *sets, int n)
{
  double sum = 0;

  for (int i = 0; i < n; i++)
    sum += cf_set_plan_skew (&sets[i]);
  return sum / n;
}

double
cf_group_map_skew (const CfGroupMap *m, const double *tokens,
                   const double *pace)
{
  double sum = 0;

  for (int set = 0; set < m->shape.sets; set++)
    {
      CfSetPlan s;

      cf_set_plan_init (&s, m, (CfGroupMap *)m, set,
                        tokens + (gsize)set * m->shape.experts, pace);
      sum += cf_set_plan_skew (&s);
      cf_set_plan_clear (&s);
    }
  return sum / m->shape.sets;
}

CfMapPlan *
cf_map_plan_new (const CfGroupMap *from, const double *tokens,
                 const double *pace, const CfPlanLimits *limits)
{
  const CfGroupShape *sh = &from->shape;
  CfMapPlan *p = g_new0 (CfMapPlan, 1);

  p->from = from;
  p->m = cf_group_map_copy (from);
  p->limits = *limits;
  p->n = sh->sets;
  p->sets = g_new0 (CfSetPlan, sh->sets);
  p->best = g_new0 (CfMove, sh->sets);
  p->relief = g_new0 (double, sh->sets);
  p->added = g_new0 (int, sh->ranks);
  if (pace)
    p->pace = g_memdup2 (pace, sizeof *pace * sh->ranks);
  for (int set = 0; set < sh->sets; set++)
    {
      CfSetPlan *s = &p->sets[set];

      cf_set_plan_init (s, from, p->m, set, tokens + (gsize)set * sh->experts,
                        p->pace);
      s->max_new = MIN (limits->max_new, sh->spare);
      s->added = p->added;
      s->max_rank_new = limits->max_rank_new ? limits->max_rank_new : G_MAXINT;
    }
  p->skew_before = skew_of (p->sets, p->n);
  return p;
}

void
cf_map_plan_free (CfMapPlan *p)
{
  if (!p)
    return;
  for (int set = 0; set < p->n; set++)
    cf_set_plan_clear (&p->sets[set]);
  cf_group_map_free (p->m);
  g_free (p->sets);
  g_free (p->best);
  g_free (p->relief);
  g_free (p->added);
  g_free (p->pace);
  g_free (p);
}

static void
look_for_move (CfMapPlan *p, int set)
{
  CfSetPlan *s = &p->sets[set];

  p->best[set] = cf_set_plan_find_best_move (s);
  p->relief[set] = cf_set_plan_relief (s, &p->best[set]);
}

/* The set whose best move saves most, at least @least; -1 if none does. */
static int
best_set (const CfMapPlan *p, double least)
{
  int best = -1;

  for (int set = 0; set < p->n; set++)
    if (p->relief[set] > 0 && p->relief[set] >= least
        && (best < 0 || p->relief[set] > p->relief[best]))
      best = set;
  return best;
}

static void
make_move (CfMapPlan *p, int set)
{
  CfSetPlan *s = &p->sets[set];
  const CfMove mv = p->best[set];
  const int ranks[] = { mv.rank, mv.from_rank };

  for (gsize i = 0; i < G_N_ELEMENTS (ranks); i++)
    p->added[ranks[i]]
        -= cf_group_map_count_rank_added (s->from, s->m, set, ranks[i]);
  cf_set_plan_apply (s, &mv);
  for (gsize i = 0; i < G_N_ELEMENTS (ranks); i++)
    p->added[ranks[i]]
        += cf_group_map_count_rank_added (s->from, s->m, set, ranks[i]);
}

/* One look for a move: the first of each set, then the best of all sets is
 * made, until none saves enough. */
static void
step (CfMapPlan *p)
{
  int set;

  if (p->n_looked < p->n)
    {
      if (p->sets[p->n_looked].has_demand)
        look_for_move (p, p->n_looked);
      p->n_looked++;
      return;
    }
  set = best_set (p, p->limits.move_gain);
  if (set < 0 || p->n_moves++ >= MOVES_MAX * p->n)
    {
      p->done = TRUE;
      return;
    }
  if (cf_set_plan_may_apply (&p->sets[set], &p->best[set]))
    make_move (p, set);
  look_for_move (p, set);
}

gboolean
cf_map_plan_step (CfMapPlan *p, int looks)
{
  for (int i = 0; i < looks && !p->done; i++)
    step (p);
  return p->done;
}

double
cf_map_plan_skew_before (const CfMapPlan *p)
{
  return p->skew_before;
}

double
cf_map_plan_skew_after (const CfMapPlan *p)
{
  return skew_of (p->sets, p->n);
}

CfGroupMap *
cf_map_plan_end (CfMapPlan *p)
{
  double gain = p->skew_before - cf_map_plan_skew_after (p);
  CfGroupMap *m = NULL;

  if (gain >= p->limits.min_gain && cf_group_map_is_complete (p->m))
    m = g_steal_pointer (&p->m);
  cf_map_plan_free (p);
  return m;
}

CfGroupMap *
cf_group_map_plan (const CfGroupMap *from, const double *tokens,
                   const double *pace, const CfPlanLimits *limits)
{
  CfMapPlan *p = cf_map_plan_new (from, tokens, pace, limits);

  while (!cf_map_plan_step (p, G_MAXINT))
    ;
  return cf_map_plan_end (p);
}
