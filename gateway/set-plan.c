#include "set-plan.h"

#include <string.h>

/** A rank whose slowdown factor is higher than this is slow. */
#define SLOW_RANK_MIN_SLOWDOWN 1.3
/** Limit on the ranks considered as receivers of an expert, those with the
 * least time first.  A busier rank is never the best receiver, and the time
 * of the search grows with their number. */
#define RECEIVERS_MAX 32
/** The cost of a rank is its time raised to this power.  The slowest rank
 * therefore dominates the sum, and relieving one of several equally slow ranks
 * still lowers it.  time_cost() computes the same power. */
#define COST_POWER 6

/* The index of a place among those of all ranks. */
static int
place_index (const CfSetPlan *s, int rank, int place)
{
  return rank * s->m->shape.places + place;
}

static int
rank_of_place (const CfSetPlan *s, int at)
{
  return at / s->m->shape.places;
}

static void
add_holder (CfSetPlan *s, int expert, int at)
{
  s->next_holder[at] = s->first_holder[expert];
  s->first_holder[expert] = at;
  s->copies[expert]++;
}

static void
compute_load (CfSetPlan *s)
{
  const CfGroupShape *shape = &s->m->shape;
  const gint16 *experts = cf_group_map_row (s->m, s->set, 0);

  memset (s->copies, 0, sizeof *s->copies * shape->experts);
  memset (s->load, 0, sizeof *s->load * shape->ranks);
  for (int e = 0; e < shape->experts; e++)
    s->first_holder[e] = -1;
  for (int at = 0; at < shape->ranks * shape->places; at++)
    if (experts[at] >= 0 && experts[at] < shape->experts)
      add_holder (s, experts[at], at);
  for (int at = 0; at < shape->ranks * shape->places; at++)
    if (experts[at] >= 0 && experts[at] < shape->experts)
      s->load[rank_of_place (s, at)]
          += s->tokens[experts[at]] / s->copies[experts[at]];
}

/* Scales the demand of the set to even shares; FALSE if there is none. */
static gboolean
scale_demand (const CfGroupShape *shape, const double *demand, double *out)
{
  double sum = 0;

  for (int e = 0; e < shape->experts; e++)
    sum += demand[e];
  for (int e = 0; e < shape->experts; e++)
    out[e] = sum > 0 ? demand[e] * shape->ranks / sum : 0;
  return sum > 0;
}

void
cf_set_plan_init (CfSetPlan *s, const CfGroupMap *from, CfGroupMap *m, int set,
                  const double *demand, const double *slowdown)
{
  const CfGroupShape *shape = &from->shape;

  memset (s, 0, sizeof *s);
  s->from = from;
  s->m = m;
  s->set = set;
  s->slowdown = slowdown;
  s->tokens = g_new (double, shape->experts);
  s->copies = g_new (int, shape->experts);
  s->first_holder = g_new (int, shape->experts);
  s->next_holder = g_new (int, (gsize)shape->ranks * shape->places);
  s->load = g_new (double, shape->ranks);
  s->receivers = g_new (int, shape->ranks);
  s->has_demand = scale_demand (shape, demand, s->tokens);
  compute_load (s);
}

void
cf_set_plan_clear (CfSetPlan *s)
{
  g_free (s->tokens);
  g_free (s->copies);
  g_free (s->first_holder);
  g_free (s->next_holder);
  g_free (s->load);
  g_free (s->receivers);
}

static double
rank_slowdown (const CfSetPlan *s, int rank)
{
  return s->slowdown ? s->slowdown[rank] : 1;
}

/* The time that a rank takes for its load. */
static double
rank_time (const CfSetPlan *s, int rank)
{
  return s->load[rank] * rank_slowdown (s, rank);
}

static int
slowest_rank (const CfSetPlan *s)
{
  int slowest = 0;

  for (int r = 1; r < s->m->shape.ranks; r++)
    if (rank_time (s, r) > rank_time (s, slowest))
      slowest = r;
  return slowest;
}

double
cf_set_plan_skew (const CfSetPlan *s)
{
  return s->has_demand ? rank_time (s, slowest_rank (s)) : 1;
}

static double
time_cost (double time)
{
  double square = time * time;

  return square * square * square;
}

/* The change of a rank's cost if its load changes by @load_change. */
static double
cost_change (const CfSetPlan *s, int rank, double load_change)
{
  return time_cost ((s->load[rank] + load_change) * rank_slowdown (s, rank))
         - time_cost (rank_time (s, rank));
}

/* The load that one copy of @expert gives the rank that holds it. */
static double
copy_load (const CfSetPlan *s, int expert)
{
  return s->tokens[expert] / s->copies[expert];
}

/* The load that each other holder of @expert gains if one drops its copy. */
static double
copy_load_gain (const CfSetPlan *s, int expert)
{
  return s->copies[expert] > 1 ? s->tokens[expert] / (s->copies[expert] - 1)
                                     - copy_load (s, expert)
                               : 0;
}

/* The change of cost at the other holders of @old if @rank drops its copy,
 * since they take over its load.  Ranks that hold @excluded (unless it is -1)
 * are left out. */
static double
removal_cost (const CfSetPlan *s, int old, int rank, int excluded)
{
  double gain = old >= 0 ? copy_load_gain (s, old) : 0;
  double cost = 0;

  if (gain <= 0)
    return 0;
  for (int at = s->first_holder[old]; at >= 0; at = s->next_holder[at])
    {
      int r = rank_of_place (s, at);

      if (r != rank
          && (excluded < 0 || !cf_group_map_holds (s->m, s->set, r, excluded)))
        cost += cost_change (s, r, gain);
    }
  return cost;
}

/* The change of cost if @rank replaces @old (none if -1) by a copy of @e. */
static double
score_copy (const CfSetPlan *s, int e, int rank, int old)
{
  double new_load = s->tokens[e] / (s->copies[e] + 1);
  double change = new_load - copy_load (s, e);
  double removed = old >= 0 ? copy_load (s, old) : 0;
  double gain = old >= 0 ? copy_load_gain (s, old) : 0;
  double score = cost_change (s, rank, new_load - removed)
                 + removal_cost (s, old, rank, e);

  for (int at = s->first_holder[e]; at >= 0; at = s->next_holder[at])
    {
      int r = rank_of_place (s, at);
      gboolean both = gain > 0 && cf_group_map_holds (s->m, s->set, r, old);

      if (r != rank)
        score += cost_change (s, r, both ? change + gain : change);
    }
  return score;
}

/* The change of cost if the copy of @e moves from rank @from to @rank, where
 * it replaces @old (none if -1), which other ranks hold as well. */
static double
score_transfer (const CfSetPlan *s, int e, int from, int rank, int old)
{
  double share = copy_load (s, e);
  double removed = old >= 0 ? copy_load (s, old) : 0;
  double gain = 0;

  if (old >= 0 && cf_group_map_holds (s->m, s->set, from, old))
    gain = copy_load_gain (s, old);
  return cost_change (s, rank, share - removed) + cost_change (s, from, -share)
         + removal_cost (s, old, rank, -1)
         - (gain > 0 ? cost_change (s, from, gain) : 0);
}

/* The change of cost if rank @from drops its copy of @e. */
static double
score_drop (const CfSetPlan *s, int e, int from)
{
  return cost_change (s, from, -copy_load (s, e))
         + removal_cost (s, e, from, -1);
}

/* The change of cost if ranks @from and @rank exchange @e and @old. */
static double
score_swap (const CfSetPlan *s, int e, int from, int rank, int old)
{
  double a = copy_load (s, e);
  double b = copy_load (s, old);

  return cost_change (s, from, b - a) + cost_change (s, rank, a - b);
}

/* Whether @rank may put @e into @place without exceeding the number of
 * experts that it may copy, of this set and of all sets. */
static gboolean
may_hold (CfSetPlan *s, int rank, int place, int e)
{
  gint16 *at = cf_group_map_row (s->m, s->set, rank) + place;
  gint16 old = *at;
  int before;
  int after;

  if (cf_group_map_holds (s->m, s->set, rank, e))
    return FALSE;
  before = cf_group_map_count_rank_added (s->from, s->m, s->set, rank);
  *at = (gint16)e;
  after = cf_group_map_count_rank_added (s->from, s->m, s->set, rank);
  *at = old;
  return after <= s->max_set_copies
         && s->added[rank] - before + after <= s->max_rank_copies;
}

/* Only slow ranks transfer or drop experts.  Between ranks of the same speed
 * a copy is better, and a search that always takes the best next move would
 * get stuck sooner. */
static gboolean
is_slow (const CfSetPlan *s, int rank)
{
  return rank_slowdown (s, rank) > SLOW_RANK_MIN_SLOWDOWN;
}

static void
keep_if_better (CfMove *best, CfMove mv, CfMoveKind kind, double score)
{
  if (score >= best->score)
    return;
  mv.kind = kind;
  mv.score = score;
  *best = mv;
}

static void
consider_receiver_place (CfSetPlan *s, CfMove *best, const CfMove *mv)
{
  int old = cf_group_map_row (s->m, s->set, mv->rank)[mv->place];

  if (!may_hold (s, mv->rank, mv->place, mv->expert))
    return;
  if (old < 0 || s->copies[old] > 1)
    {
      keep_if_better (best, *mv, CF_MOVE_COPY,
                      score_copy (s, mv->expert, mv->rank, old));
      if (is_slow (s, mv->from_rank))
        keep_if_better (
            best, *mv, CF_MOVE_TRANSFER,
            score_transfer (s, mv->expert, mv->from_rank, mv->rank, old));
    }
  if (old >= 0 && may_hold (s, mv->from_rank, mv->from_place, old))
    keep_if_better (best, *mv, CF_MOVE_SWAP,
                    score_swap (s, mv->expert, mv->from_rank, mv->rank, old));
}

static void
consider_drop (const CfSetPlan *s, CfMove *best, int rank, int place)
{
  CfMove mv = { .rank = rank, .place = place, .from_rank = rank };

  mv.from_place = place;
  mv.expert = cf_group_map_row (s->m, s->set, rank)[place];
  if (mv.expert >= 0 && s->copies[mv.expert] > 1 && is_slow (s, rank))
    keep_if_better (best, mv, CF_MOVE_DROP, score_drop (s, mv.expert, rank));
}

static void
consider_receiver (CfSetPlan *s, CfMove *best, int slowest, int rank)
{
  const CfGroupShape *shape = &s->m->shape;

  for (int from_place = 0; from_place < shape->places; from_place++)
    for (int p = 0; p < shape->places; p++)
      {
        CfMove mv = { .rank = rank, .place = p, .from_rank = slowest };

        mv.expert = cf_group_map_row (s->m, s->set, slowest)[from_place];
        mv.from_place = from_place;
        if (mv.expert >= 0)
          consider_receiver_place (s, best, &mv);
      }
}

/* Whether @rank may copy one more expert. */
static gboolean
may_copy_more (const CfSetPlan *s, int rank)
{
  return s->added[rank] < s->max_rank_copies
         && cf_group_map_count_rank_added (s->from, s->m, s->set, rank)
                < s->max_set_copies;
}

static int
compare_time (gconstpointer a, gconstpointer b, gpointer data)
{
  const CfSetPlan *s = data;
  double x = rank_time (s, *(const int *)a);
  double y = rank_time (s, *(const int *)b);

  return (x > y) - (x < y);
}

/* Fills @receivers with the ranks that take less time than @slowest and, with
 * @with_allowance, may copy one more expert.  Returns their number. */
static int
find_lighter_ranks (CfSetPlan *s, int slowest, gboolean with_allowance)
{
  int n = 0;

  for (int r = 0; r < s->m->shape.ranks; r++)
    if (rank_time (s, r) < rank_time (s, slowest)
        && (!with_allowance || may_copy_more (s, r)))
      s->receivers[n++] = r;
  return n;
}

/* Fills @receivers with the ranks to which experts of @slowest may go, and
 * returns their number.  If there are few, ranks without an allowance are
 * included: an expert that such a rank is to copy may be replaced. */
static int
find_receivers (CfSetPlan *s, int slowest)
{
  int n = find_lighter_ranks (s, slowest, FALSE);

  if (n <= RECEIVERS_MAX)
    return n;
  n = find_lighter_ranks (s, slowest, TRUE);
  if (n > RECEIVERS_MAX)
    g_qsort_with_data (s->receivers, n, sizeof *s->receivers, compare_time, s);
  return MIN (n, RECEIVERS_MAX);
}

CfMove
cf_set_plan_find_best_move (CfSetPlan *s)
{
  CfMove best = { .rank = -1, .score = 0 };
  int slowest = slowest_rank (s);
  int n = find_receivers (s, slowest);

  for (int p = 0; p < s->m->shape.places; p++)
    consider_drop (s, &best, slowest, p);
  for (int i = 0; i < n; i++)
    consider_receiver (s, &best, slowest, s->receivers[i]);
  return best;
}

double
cf_set_plan_removed_load (const CfSetPlan *s, const CfMove *mv)
{
  double top = rank_time (s, slowest_rank (s));

  return mv->rank < 0 ? 0 : -mv->score * top / (COST_POWER * time_cost (top));
}

gboolean
cf_set_plan_may_apply (CfSetPlan *s, const CfMove *mv)
{
  switch (mv->kind)
    {
    case CF_MOVE_DROP:
      return TRUE;
    case CF_MOVE_COPY:
    case CF_MOVE_TRANSFER:
      return may_hold (s, mv->rank, mv->place, mv->expert);
    case CF_MOVE_SWAP:
      return may_hold (s, mv->rank, mv->place, mv->expert)
             && may_hold (s, mv->from_rank, mv->from_place,
                          cf_group_map_row (s->m, s->set, mv->rank)[mv->place]);
    }
  return FALSE;
}

void
cf_set_plan_apply (CfSetPlan *s, const CfMove *mv)
{
  gint16 *experts = cf_group_map_row (s->m, s->set, 0);
  gint16 *to = experts + place_index (s, mv->rank, mv->place);
  gint16 *from = experts + place_index (s, mv->from_rank, mv->from_place);
  gint16 old = *to;

  if (mv->kind != CF_MOVE_DROP)
    *to = (gint16)mv->expert;
  switch (mv->kind)
    {
    case CF_MOVE_COPY:
      break;
    case CF_MOVE_SWAP:
      *from = old;
      break;
    case CF_MOVE_TRANSFER:
    case CF_MOVE_DROP:
      *from = -1;
      break;
    }
  compute_load (s);
}
