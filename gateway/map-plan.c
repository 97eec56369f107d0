#include "map-plan.h"

#include "set-plan.h"

/** Maximum number of moves per set; each copies one or two experts. */
#define MAX_MOVES_PER_SET 64

/* Plans all sets together: they share the copies that a rank may make, so the
 * best move of all sets is made first. */
struct CfMapPlan
{
  const CfGroupMap *from;
  CfGroupMap *m;
  CfPlanLimits limits;
  int n_sets;
  CfSetPlan *sets;
  CfMove *best;         /* by set */
  double *removed_load; /* by set: by its best move; 0: no move */
  int *added;           /* by rank: experts that it copies, of all sets */
  double *slowdown;     /* by rank; NULL: 1 for all */
  double skew_before;
  int n_searched; /* sets whose first move has been searched for */
  int n_moves;    /* moves tried after that */
  gboolean done;
};

static double
mean_skew (const CfSetPlan *sets, int n_sets)
{
  double sum = 0;

  for (int i = 0; i < n_sets; i++)
    sum += cf_set_plan_skew (&sets[i]);
  return sum / n_sets;
}

double
cf_group_map_skew (const CfGroupMap *m, const double *tokens,
                   const double *slowdown)
{
  double sum = 0;

  for (int set = 0; set < m->shape.sets; set++)
    {
      CfSetPlan s;

      cf_set_plan_init (&s, m, (CfGroupMap *)m, set,
                        tokens + (gsize)set * m->shape.experts, slowdown);
      sum += cf_set_plan_skew (&s);
      cf_set_plan_clear (&s);
    }
  return sum / m->shape.sets;
}

CfMapPlan *
cf_map_plan_new (const CfGroupMap *from, const double *tokens,
                 const double *slowdown, const CfPlanLimits *limits)
{
  const CfGroupShape *sh = &from->shape;
  CfMapPlan *p = g_new0 (CfMapPlan, 1);

  p->from = from;
  p->m = cf_group_map_copy (from);
  p->limits = *limits;
  p->n_sets = sh->sets;
  p->sets = g_new0 (CfSetPlan, sh->sets);
  p->best = g_new0 (CfMove, sh->sets);
  p->removed_load = g_new0 (double, sh->sets);
  p->added = g_new0 (int, sh->ranks);
  if (slowdown)
    p->slowdown = g_memdup2 (slowdown, sizeof *slowdown * sh->ranks);
  for (int set = 0; set < sh->sets; set++)
    {
      CfSetPlan *s = &p->sets[set];

      cf_set_plan_init (s, from, p->m, set, tokens + (gsize)set * sh->experts,
                        p->slowdown);
      s->max_set_copies = MIN (limits->max_set_copies, sh->spare);
      s->added = p->added;
      s->max_rank_copies
          = limits->max_rank_copies ? limits->max_rank_copies : G_MAXINT;
    }
  p->skew_before = mean_skew (p->sets, p->n_sets);
  return p;
}

void
cf_map_plan_free (CfMapPlan *p)
{
  if (!p)
    return;
  for (int set = 0; set < p->n_sets; set++)
    cf_set_plan_clear (&p->sets[set]);
  cf_group_map_free (p->m);
  g_free (p->sets);
  g_free (p->best);
  g_free (p->removed_load);
  g_free (p->added);
  g_free (p->slowdown);
  g_free (p);
}

static void
search_move (CfMapPlan *p, int set)
{
  CfSetPlan *s = &p->sets[set];

  p->best[set] = cf_set_plan_find_best_move (s);
  p->removed_load[set] = cf_set_plan_removed_load (s, &p->best[set]);
}

/* Returns the set whose best move removes the most load, @min_removed_load or
 * more; -1 if there is none. */
static int
find_best_set (const CfMapPlan *p, double min_removed_load)
{
  int best = -1;

  for (int set = 0; set < p->n_sets; set++)
    if (p->removed_load[set] > 0 && p->removed_load[set] >= min_removed_load
        && (best < 0 || p->removed_load[set] > p->removed_load[best]))
      best = set;
  return best;
}

static void
apply_move (CfMapPlan *p, int set)
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

/* Runs one search for a move.  The first searches find one move for each set;
 * each later one applies the best move of all sets and searches that set again,
 * until no move removes enough load. */
static void
run_search (CfMapPlan *p)
{
  int set;

  if (p->n_searched < p->n_sets)
    {
      if (p->sets[p->n_searched].has_demand)
        search_move (p, p->n_searched);
      p->n_searched++;
      return;
    }
  set = find_best_set (p, p->limits.min_move_gain);
  if (set < 0 || p->n_moves++ >= MAX_MOVES_PER_SET * p->n_sets)
    {
      p->done = TRUE;
      return;
    }
  if (cf_set_plan_may_apply (&p->sets[set], &p->best[set]))
    apply_move (p, set);
  search_move (p, set);
}

gboolean
cf_map_plan_step (CfMapPlan *p, int searches)
{
  for (int i = 0; i < searches && !p->done; i++)
    run_search (p);
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
  return mean_skew (p->sets, p->n_sets);
}

CfGroupMap *
cf_map_plan_finish (CfMapPlan *p)
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
                   const double *slowdown, const CfPlanLimits *limits)
{
  CfMapPlan *p = cf_map_plan_new (from, tokens, slowdown, limits);

  while (!cf_map_plan_step (p, G_MAXINT))
    ;
  return cf_map_plan_finish (p);
}
