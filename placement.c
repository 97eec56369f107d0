#include "placement.h"

#include <math.h>
#include <string.h>

/* The exponent of the power mean that smooth_skew() uses.  It is high enough
 * to follow the most loaded rank closely, yet the mean still improves when
 * only one of several equally loaded ranks is relieved. */
#define SKEW_EXPONENT 12.0

void
cf_expert_popularity_init (CfExpertPopularity *p, int experts)
{
  p->experts = experts;
  p->tokens = g_new0 (double, experts);
  p->last_counts = g_new0 (double, experts);
  p->has_reports = FALSE;
}

void
cf_expert_popularity_clear (CfExpertPopularity *p)
{
  g_free (p->tokens);
  g_free (p->last_counts);
}

void
cf_expert_popularity_add_report (CfExpertPopularity *p, const double *counts,
                                 double weight)
{
  double w = p->has_reports ? weight : 1.0;

  for (int e = 0; e < p->experts; e++)
    {
      double new_tokens
          = counts[e] - (counts[e] < p->last_counts[e] ? 0 : p->last_counts[e]);

      p->tokens[e] += w * (new_tokens - p->tokens[e]);
      p->last_counts[e] = counts[e];
    }
  p->has_reports = TRUE;
}

static double
mean_load (const CfExpertMap *m, const double *tokens)
{
  double sum = 0;

  for (int e = 0; e < m->experts; e++)
    sum += tokens[e];
  return sum / m->ranks;
}

double
cf_placement_skew (const CfExpertMap *m, const double *tokens)
{
  g_autofree double *load = g_new (double, m->ranks);
  double mean = mean_load (m, tokens);

  return mean > 0 ? cf_expert_map_compute_load (m, tokens, load) / mean : 1.0;
}

/* A smooth approximation of the skew: a power mean instead of the maximum. */
static double
smooth_skew (const double *load, int ranks, double mean)
{
  double sum = 0;

  for (int r = 0; r < ranks; r++)
    sum += pow (load[r] / mean, SKEW_EXPONENT);
  return pow (sum / ranks, 1.0 / SKEW_EXPONENT);
}

/* A candidate copy: put @expert in @place of @rank. */
typedef struct
{
  int rank;
  int place;
  int expert;
  double score; /* the smooth skew after the copy; lower is better */
} Move;

/* Returns the smooth skew after @mv; uses @load as scratch space. */
static double
skew_after_move (CfExpertMap *m, const double *tokens, double mean,
                 const Move *mv, double *load)
{
  int old = m->held[mv->rank * m->places + mv->place];
  double s;

  cf_expert_map_set (m, mv->rank, mv->place, mv->expert);
  cf_expert_map_compute_load (m, tokens, load);
  s = smooth_skew (load, m->ranks, mean);
  cf_expert_map_set (m, mv->rank, mv->place, old);
  return s;
}

/*
 * Finds the best copy of one expert of the most loaded rank to a rank with
 * less than the mean load, into an empty place or one whose expert another
 * rank holds too.  Returns rank -1 if no copy reduces the smooth skew.
 */
static Move
find_best_move (CfExpertMap *m, const double *tokens, double mean)
{
  g_autofree double *load = g_new (double, m->ranks);
  g_autofree double *scratch = g_new (double, m->ranks);
  Move best = { .rank = -1 };
  int busiest = 0;

  cf_expert_map_compute_load (m, tokens, load);
  best.score = smooth_skew (load, m->ranks, mean);
  for (int r = 1; r < m->ranks; r++)
    if (load[r] > load[busiest])
      busiest = r;
  for (int source_place = 0; source_place < m->places; source_place++)
    for (int r = 0; r < m->ranks; r++)
      for (int p = 0; p < m->places; p++)
        {
          int old = m->held[r * m->places + p];
          Move mv = { .rank = r,
                      .place = p,
                      .expert = m->held[busiest * m->places + source_place] };

          if (mv.expert < 0 || load[r] >= mean
              || cf_expert_map_rank_has (m, r, mv.expert)
              || (old >= 0 && m->copies[old] < 2))
            continue;
          mv.score = skew_after_move (m, tokens, mean, &mv, scratch);
          if (mv.score < best.score)
            best = mv;
        }
  return best;
}

static CfExpertMap *
plan_bounded (const CfPlacement *p, const CfExpertMap *current,
              const double *tokens)
{
  CfExpertMap *m = cf_expert_map_copy (current);
  g_autofree double *load = g_new (double, m->ranks);
  double mean = mean_load (m, tokens);

  for (int i = 0; i < p->u.bounded.max_moves; i++)
    {
      Move mv = find_best_move (m, tokens, mean);
      double current_skew;

      if (mv.rank < 0)
        break;
      cf_expert_map_compute_load (m, tokens, load);
      current_skew = smooth_skew (load, m->ranks, mean);
      if ((current_skew - mv.score) * p->u.bounded.skew_weight
          < p->u.bounded.move_weight)
        break;
      cf_expert_map_set (m, mv.rank, mv.place, mv.expert);
    }
  return m;
}

/* One copy of an expert and its share of the expert's tokens. */
typedef struct
{
  int expert;
  double load;
} Copy;

static int
compare_load_descending (gconstpointer a, gconstpointer b)
{
  const Copy *x = a;
  const Copy *y = b;

  if (x->load != y->load)
    return x->load > y->load ? -1 : 1;
  return x->expert - y->expert;
}

/* Chooses the number of copies of each expert: one, and each spare place
 * goes to the expert with the most tokens per copy. */
static void
choose_copy_counts (const CfExpertMap *m, const double *tokens, int *copies)
{
  for (int e = 0; e < m->experts; e++)
    copies[e] = 1;
  for (int spare = m->ranks * m->places - m->experts; spare > 0; spare--)
    {
      int busiest = -1;

      for (int e = 0; e < m->experts; e++)
        if (copies[e] < m->ranks
            && (busiest < 0
                || tokens[e] / copies[e] > tokens[busiest] / copies[busiest]))
          busiest = e;
      if (busiest < 0)
        return;
      copies[busiest]++;
    }
}

/* Returns the least loaded rank that has an empty place and does not hold
 * @expert, or -1. */
static int
find_least_loaded_rank (const CfExpertMap *m, const double *load, int expert)
{
  int best = -1;

  for (int r = 0; r < m->ranks; r++)
    if (cf_expert_map_rank_has (m, r, -1)
        && !cf_expert_map_rank_has (m, r, expert)
        && (best < 0 || load[r] < load[best]))
      best = r;
  return best;
}

static CfExpertMap *
plan_greedy (const CfExpertMap *current, const double *tokens)
{
  CfExpertMap *m = cf_expert_map_copy (current);
  g_autofree double *load = g_new0 (double, m->ranks);
  g_autofree int *copies = g_new (int, m->experts);
  g_autoptr (GArray) all_copies = g_array_new (FALSE, FALSE, sizeof (Copy));

  for (int r = 0; r < m->ranks; r++)
    for (int p = 0; p < m->places; p++)
      cf_expert_map_set (m, r, p, -1);
  choose_copy_counts (m, tokens, copies);
  for (int e = 0; e < m->experts; e++)
    for (int i = 0; i < copies[e]; i++)
      {
        Copy c = { .expert = e, .load = tokens[e] / copies[e] };

        g_array_append_val (all_copies, c);
      }
  g_array_sort (all_copies, compare_load_descending);
  for (guint i = 0; i < all_copies->len; i++)
    {
      const Copy *c = &g_array_index (all_copies, Copy, i);
      int r = find_least_loaded_rank (m, load, c->expert);
      int p = 0;

      if (r < 0)
        continue;
      while (m->held[r * m->places + p] >= 0)
        p++;
      cf_expert_map_set (m, r, p, c->expert);
      load[r] += c->load;
    }
  /* Keep the current map if an expert got no copy, because no rank had an
   * empty place left for its first one. */
  for (int e = 0; e < m->experts; e++)
    if (m->copies[e] == 0)
      {
        cf_expert_map_free (m);
        return cf_expert_map_copy (current);
      }
  return m;
}

CfPlacementPlan
cf_placement_plan (const CfPlacement *p, const CfExpertMap *current,
                   const double *tokens)
{
  CfPlacementPlan plan = { 0 };

  plan.skew_before = plan.skew_after = cf_placement_skew (current, tokens);
  if (mean_load (current, tokens) <= 0)
    return plan;
  switch (p->kind)
    {
    case CF_PLACEMENT_NONE:
      return plan;
    case CF_PLACEMENT_GREEDY:
      plan.map = plan_greedy (current, tokens);
      break;
    case CF_PLACEMENT_BOUNDED:
      plan.map = plan_bounded (p, current, tokens);
      break;
    }
  plan.moves = cf_expert_map_count_added (current, plan.map);
  plan.skew_after = cf_placement_skew (plan.map, tokens);
  if (plan.moves == 0 || plan.skew_after >= plan.skew_before)
    {
      g_clear_pointer (&plan.map, cf_expert_map_free);
      plan.moves = 0;
      plan.skew_after = plan.skew_before;
    }
  return plan;
}

static const char *const kind_names[] = { "none", "greedy", "bounded" };

CfStatus
cf_placement_kind_from_name (const char *name, CfPlacementKind *out)
{
  for (guint i = 0; i < G_N_ELEMENTS (kind_names); i++)
    if (g_str_equal (name, kind_names[i]))
      {
        *out = (CfPlacementKind)i;
        return CF_OK;
      }
  return cf_fail (CF_ERR_SETTINGS, "write none, greedy or bounded",
                  "'%s' is not a placement policy", name);
}

const char *
cf_placement_kind_name (CfPlacementKind kind)
{
  return kind_names[kind];
}
