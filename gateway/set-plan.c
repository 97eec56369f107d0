#include "set-plan.h"

#include <string.h>

/** A rank whose work takes so many times as long is slow. */
#define SLOW_PACE 1.3
/** Ranks that are looked at as receivers of an expert, the lightest first:
 * a heavier one is never the best, and the time that a move is looked for in
 * grows with their number. */
#define RECEIVERS_MAX 32
/** The power to which a rank's part is raised for its cost, so that the
 * slowest counts most, and relieving one of several such still counts. */
#define COST_POWER 6

static int
place_at (const CfSetPlan *s, int rank, int place)
{
  return rank * s->m->shape.places + place;
}

static int
rank_of (const CfSetPlan *s, int at)
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
  const CfGroupShape *sh = &s->m->shape;
  const gint16 *held = cf_group_map_row (s->m, s->set, 0);

  memset (s->copies, 0, sizeof *s->copies * sh->experts);
  memset (s->load, 0, sizeof *s->load * sh->ranks);
  for (int e = 0; e < sh->experts; e++)
    s->first_holder[e] = -1;
  for (int at = 0; at < sh->ranks * sh->places; at++)
    if (held[at] >= 0 && held[at] < sh->experts)
      add_holder (s, held[at], at);
  for (int at = 0; at < sh->ranks * sh->places; at++)
    if (held[at] >= 0 && held[at] < sh->experts)
      s->load[rank_of (s, at)] += s->tokens[held[at]] / s->copies[held[at]];
}

/* The set's draw in even parts of a rank; FALSE if there is none. */
static gboolean
even_parts (const CfGroupShape *sh, const double *draw, double *out)
{
  double sum = 0;

  for (int e = 0; e < sh->experts; e++)
    sum += draw[e];
  for (int e = 0; e < sh->experts; e++)
    out[e] = sum > 0 ? draw[e] * sh->ranks / sum : 0;
  return sum > 0;
}

void
cf_set_plan_init (CfSetPlan *s, const CfGroupMap *from, CfGroupMap *m, int set,
                  const double *draw, const double *pace)
{
  const CfGroupShape *sh = &from->shape;

  memset (s, 0, sizeof *s);
  s->from = from;
  s->m = m;
  s->set = set;
  s->pace = pace;
  s->tokens = g_new (double, sh->experts);
  s->copies = g_new (int, sh->experts);
  s->first_holder = g_new (int, sh->experts);
  s->next_holder = g_new (int, (gsize)sh->ranks * sh->places);
  s->load = g_new (double, sh->ranks);
  s->lightest = g_new (int, sh->ranks);
  s->has_demand = even_parts (sh, draw, s->tokens);
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
  g_free (s->lightest);
}

static double
pace_of (const CfSetPlan *s, int rank)
{
  return s->pace ? s->pace[rank] : 1;
}

/* How long a rank takes for its part. */
static double
time_of (const CfSetPlan *s, int rank)
{
  return s->load[rank] * pace_of (s, rank);
}

static int
slowest_rank (const CfSetPlan *s)
{
  int hot = 0;

  for (int r = 1; r < s->m->shape.ranks; r++)
    if (time_of (s, r) > time_of (s, hot))
      hot = r;
  return hot;
}

double
cf_set_plan_skew (const CfSetPlan *s)
{
  return s->has_demand ? time_of (s, slowest_rank (s)) : 1;
}

static double
cost_of (double load)
{
  double sq = load * load;

  return sq * sq * sq;
}

static double
cost_change (const CfSetPlan *s, int rank, double by)
{
  return cost_of ((s->load[rank] + by) * pace_of (s, rank))
         - cost_of (time_of (s, rank));
}

static double
share_of (const CfSetPlan *s, int expert)
{
  return s->tokens[expert] / s->copies[expert];
}

/* What each other holder of @expert gets more if one gives it up. */
static double
share_gained (const CfSetPlan *s, int expert)
{
  return s->copies[expert] > 1 ? s->tokens[expert] / (s->copies[expert] - 1)
                                     - share_of (s, expert)
                               : 0;
}

/* The cost of the holders of @old, but for @rank and those that hold @but
 * too, as each takes over a part of what @rank gives up. */
static double
cost_of_leaving (const CfSetPlan *s, int old, int rank, int but)
{
  double more = old >= 0 ? share_gained (s, old) : 0;
  double cost = 0;

  if (more <= 0)
    return 0;
  for (int at = s->first_holder[old]; at >= 0; at = s->next_holder[at])
    {
      int r = rank_of (s, at);

      if (r != rank && (but < 0 || !cf_group_map_holds (s->m, s->set, r, but)))
        cost += cost_change (s, r, more);
    }
  return cost;
}

/* The cost of one copy more of @e at @rank, and one less of @old there. */
static double
score_copy (const CfSetPlan *s, int e, int rank, int old)
{
  double less = s->tokens[e] / (s->copies[e] + 1);
  double by = less - share_of (s, e);
  double gone = old >= 0 ? share_of (s, old) : 0;
  double more = old >= 0 ? share_gained (s, old) : 0;
  double score
      = cost_change (s, rank, less - gone) + cost_of_leaving (s, old, rank, e);

  for (int at = s->first_holder[e]; at >= 0; at = s->next_holder[at])
    {
      int r = rank_of (s, at);
      gboolean both = more > 0 && cf_group_map_holds (s->m, s->set, r, old);

      if (r != rank)
        score += cost_change (s, r, both ? by + more : by);
    }
  return score;
}

/* The whole share of @e goes from one rank to another; @old, which others
 * hold too, leaves the latter. */
static double
score_away (const CfSetPlan *s, int e, int from, int rank, int old)
{
  double share = share_of (s, e);
  double gone = old >= 0 ? share_of (s, old) : 0;
  double more = 0;

  if (old >= 0 && cf_group_map_holds (s->m, s->set, from, old))
    more = share_gained (s, old);
  return cost_change (s, rank, share - gone) + cost_change (s, from, -share)
         + cost_of_leaving (s, old, rank, -1)
         - (more > 0 ? cost_change (s, from, more) : 0);
}

static double
score_drop (const CfSetPlan *s, int e, int from)
{
  return cost_change (s, from, -share_of (s, e))
         + cost_of_leaving (s, e, from, -1);
}

static double
score_swap (const CfSetPlan *s, int e, int from, int rank, int old)
{
  double a = share_of (s, e);
  double b = share_of (s, old);

  return cost_change (s, from, b - a) + cost_change (s, rank, a - b);
}

/* Whether @rank may hold @e in @place: within what it may copy, of the set
 * and of all. */
static gboolean
may_take (CfSetPlan *s, int rank, int place, int e)
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
  return after <= s->max_new
         && s->added[rank] - before + after <= s->max_rank_new;
}

/* Only a slow rank gives experts away: among equals a copy serves better, and
 * moves that look best at first come to an end sooner. */
static gboolean
is_slow (const CfSetPlan *s, int rank)
{
  return pace_of (s, rank) > SLOW_PACE;
}

static void
keep_better (CfMove *best, CfMove mv, CfMoveKind kind, double score)
{
  if (score >= best->score)
    return;
  mv.kind = kind;
  mv.score = score;
  *best = mv;
}

static void
consider (CfSetPlan *s, CfMove *best, const CfMove *mv)
{
  int old = cf_group_map_row (s->m, s->set, mv->rank)[mv->place];

  if (!may_take (s, mv->rank, mv->place, mv->expert))
    return;
  if (old < 0 || s->copies[old] > 1)
    {
      keep_better (best, *mv, CF_MOVE_COPY,
                   score_copy (s, mv->expert, mv->rank, old));
      if (is_slow (s, mv->from_rank))
        keep_better (best, *mv, CF_MOVE_TRANSFER,
                     score_away (s, mv->expert, mv->from_rank, mv->rank, old));
    }
  if (old >= 0 && may_take (s, mv->from_rank, mv->from_place, old))
    keep_better (best, *mv, CF_MOVE_SWAP,
                 score_swap (s, mv->expert, mv->from_rank, mv->rank, old));
}

static void
consider_drop (const CfSetPlan *s, CfMove *best, int rank, int place)
{
  CfMove mv = { .rank = rank, .place = place, .from_rank = rank };

  mv.from_place = place;
  mv.expert = cf_group_map_row (s->m, s->set, rank)[place];
  if (mv.expert >= 0 && s->copies[mv.expert] > 1 && is_slow (s, rank))
    keep_better (best, mv, CF_MOVE_DROP, score_drop (s, mv.expert, rank));
}

static void
consider_receiver (CfSetPlan *s, CfMove *best, int hot, int rank)
{
  const CfGroupShape *sh = &s->m->shape;

  for (int hp = 0; hp < sh->places; hp++)
    for (int p = 0; p < sh->places; p++)
      {
        CfMove mv = { .rank = rank, .place = p, .from_rank = hot };

        mv.expert = cf_group_map_row (s->m, s->set, hot)[hp];
        mv.from_place = hp;
        if (mv.expert >= 0)
          consider (s, best, &mv);
      }
}

/* Whether @rank may copy one expert more. */
static gboolean
has_allowance (const CfSetPlan *s, int rank)
{
  return s->added[rank] < s->max_rank_new
         && cf_group_map_count_rank_added (s->from, s->m, s->set, rank)
                < s->max_new;
}

static int
by_time (gconstpointer a, gconstpointer b, gpointer data)
{
  const CfSetPlan *s = data;
  double x = time_of (s, *(const int *)a);
  double y = time_of (s, *(const int *)b);

  return (x > y) - (x < y);
}

/* The ranks that are lighter than @hot; with @room, those that may copy one
 * expert more. */
static int
find_lighter (CfSetPlan *s, int hot, gboolean room)
{
  int n = 0;

  for (int r = 0; r < s->m->shape.ranks; r++)
    if (time_of (s, r) < time_of (s, hot) && (!room || has_allowance (s, r)))
      s->lightest[n++] = r;
  return n;
}

/* Fills @lightest with the ranks that experts of @hot may go to; how many.
 * Of few, one without room is looked at as well: what it copies already may
 * give way. */
static int
find_receivers (CfSetPlan *s, int hot)
{
  int n = find_lighter (s, hot, FALSE);

  if (n <= RECEIVERS_MAX)
    return n;
  n = find_lighter (s, hot, TRUE);
  if (n > RECEIVERS_MAX)
    g_qsort_with_data (s->lightest, n, sizeof *s->lightest, by_time, s);
  return MIN (n, RECEIVERS_MAX);
}

CfMove
cf_set_plan_find_best_move (CfSetPlan *s)
{
  CfMove best = { .rank = -1, .score = 0 };
  int hot = slowest_rank (s);
  int n = find_receivers (s, hot);

  for (int p = 0; p < s->m->shape.places; p++)
    consider_drop (s, &best, hot, p);
  for (int i = 0; i < n; i++)
    consider_receiver (s, &best, hot, s->lightest[i]);
  return best;
}

double
cf_set_plan_relief (const CfSetPlan *s, const CfMove *mv)
{
  double top = time_of (s, slowest_rank (s));

  return mv->rank < 0 ? 0 : -mv->score * top / (COST_POWER * cost_of (top));
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
      return may_take (s, mv->rank, mv->place, mv->expert);
    case CF_MOVE_SWAP:
      return may_take (s, mv->rank, mv->place, mv->expert)
             && may_take (s, mv->from_rank, mv->from_place,
                          cf_group_map_row (s->m, s->set, mv->rank)[mv->place]);
    }
  return FALSE;
}

void
cf_set_plan_apply (CfSetPlan *s, const CfMove *mv)
{
  gint16 *held = cf_group_map_row (s->m, s->set, 0);
  gint16 *to = held + place_at (s, mv->rank, mv->place);
  gint16 *from = held + place_at (s, mv->from_rank, mv->from_place);
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
