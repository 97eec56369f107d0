#include "map-plan.h"

#include <string.h>

/** Moves looked for in a set at most: each copies an expert or two. */
#define MOVES_MAX 64
/** A rank whose work takes so many times as long is slow. */
#define SLOW_PACE 1.3

/* CfSetPlan: one set while its moves are looked for. */
typedef struct
{
  const CfGroupMap *from;
  CfGroupMap *m;
  int set;
  const double *tokens; /* of the set's experts, in even parts of a rank */
  int *copies;
  double *load;       /* of each rank, at the usual pace */
  const double *pace; /* of each rank; NULL: all as usual */
  int max_new;
  const int *added; /* by rank: what it copies of all sets */
  int max_rank_new;
} CfSetPlan;

/* CfMoveKind: what a move does beside putting an expert in a place. */
typedef enum
{
  MOVE_COPY, /* nothing */
  MOVE_SWAP, /* what was there goes to where the expert was */
  MOVE_AWAY, /* the place where the expert was is left empty */
  MOVE_DROP, /* only that: other ranks hold the expert */
} CfMoveKind;

/* CfMove: @expert of @from_rank goes to @place of @rank. */
typedef struct
{
  CfMoveKind kind;
  int expert;
  int rank;
  int place;
  int from_rank;
  int from_place;
  double score;
} CfMove;

static void
compute_load (CfSetPlan *s)
{
  const CfGroupShape *sh = &s->m->shape;

  cf_group_map_count_copies (s->m, s->set, s->copies);
  memset (s->load, 0, sizeof *s->load * sh->ranks);
  for (int r = 0; r < sh->ranks; r++)
    for (int p = 0; p < sh->places; p++)
      {
        int e = cf_group_map_at (s->m, s->set, r)[p];

        if (e >= 0)
          s->load[r] += s->tokens[e] / s->copies[e];
      }
}

/* Rises steeply with a rank's load, so that the most loaded rank counts
 * most, and relieving one of several such still counts. */
static double
cost_of (double load)
{
  double sq = load * load;

  return sq * sq * sq;
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

static double
cost_change (const CfSetPlan *s, int rank, double by)
{
  return cost_of ((s->load[rank] + by) * pace_of (s, rank))
         - cost_of (time_of (s, rank));
}

/* The cost of one copy more of @e at @rank, and one less of @old there;
 * ranks that hold both are few, and their error is put right when the
 * loads are computed anew after the move. */
static double
score_copy (const CfSetPlan *s, int e, int rank, int old)
{
  const CfGroupShape *sh = &s->m->shape;
  double share = s->tokens[e] / s->copies[e];
  double less = s->tokens[e] / (s->copies[e] + 1);
  double gone = old >= 0 ? s->tokens[old] / s->copies[old] : 0;
  double more = old >= 0 && s->copies[old] > 1
                    ? s->tokens[old] / (s->copies[old] - 1) - gone
                    : 0;
  double score = cost_change (s, rank, less - gone);

  for (int r = 0; r < sh->ranks; r++)
    {
      double by = 0;

      if (r == rank)
        continue;
      if (cf_group_map_holds (s->m, s->set, r, e))
        by += less - share;
      if (more > 0 && cf_group_map_holds (s->m, s->set, r, old))
        by += more;
      if (by != 0)
        score += cost_change (s, r, by);
    }
  return score;
}

/* The whole share of @e goes from one rank to another; @old, which others
 * hold too, leaves the latter. */
static double
score_away (const CfSetPlan *s, int e, int from, int rank, int old)
{
  double share = s->tokens[e] / s->copies[e];
  double gone = old >= 0 ? s->tokens[old] / s->copies[old] : 0;
  double more = old >= 0 ? s->tokens[old] / (s->copies[old] - 1) - gone : 0;
  double score
      = cost_change (s, rank, share - gone) + cost_change (s, from, -share);

  for (int r = 0; more > 0 && r < s->m->shape.ranks; r++)
    if (r != rank && r != from && cf_group_map_holds (s->m, s->set, r, old))
      score += cost_change (s, r, more);
  return score;
}

static double
score_drop (const CfSetPlan *s, int e, int from)
{
  double share = s->tokens[e] / s->copies[e];
  double more = s->tokens[e] / (s->copies[e] - 1) - share;
  double score = cost_change (s, from, -share);

  for (int r = 0; r < s->m->shape.ranks; r++)
    if (r != from && cf_group_map_holds (s->m, s->set, r, e))
      score += cost_change (s, r, more);
  return score;
}

static double
score_swap (const CfSetPlan *s, int e, int from, int rank, int old)
{
  double a = s->tokens[e] / s->copies[e];
  double b = s->tokens[old] / s->copies[old];

  return cost_change (s, from, b - a) + cost_change (s, rank, a - b);
}

/* Whether @rank may hold @e in @place: within what it may copy, of the set
 * and of all. */
static gboolean
may_take (CfSetPlan *s, int rank, int place, int e)
{
  gint16 *at = cf_group_map_at (s->m, s->set, rank) + place;
  gint16 old = *at;
  int before;
  int after;

  if (cf_group_map_holds (s->m, s->set, rank, e))
    return FALSE;
  before = cf_group_map_rank_added (s->from, s->m, s->set, rank);
  *at = (gint16)e;
  after = cf_group_map_rank_added (s->from, s->m, s->set, rank);
  *at = old;
  return after <= s->max_new
         && s->added[rank] - before + after <= s->max_rank_new;
}

static int
most_loaded (const CfSetPlan *s)
{
  int hot = 0;

  for (int r = 1; r < s->m->shape.ranks; r++)
    if (time_of (s, r) > time_of (s, hot))
      hot = r;
  return hot;
}

/* Only a slow rank gives experts away: among equals a copy serves better,
 * and moves that look best at first end at 1.7 where copies reach 1.1. */
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
  int old = cf_group_map_at (s->m, s->set, mv->rank)[mv->place];

  if (!may_take (s, mv->rank, mv->place, mv->expert))
    return;
  if (old < 0 || s->copies[old] > 1)
    {
      keep_better (best, *mv, MOVE_COPY,
                   score_copy (s, mv->expert, mv->rank, old));
      if (is_slow (s, mv->from_rank))
        keep_better (best, *mv, MOVE_AWAY,
                     score_away (s, mv->expert, mv->from_rank, mv->rank, old));
    }
  if (old >= 0 && may_take (s, mv->from_rank, mv->from_place, old))
    keep_better (best, *mv, MOVE_SWAP,
                 score_swap (s, mv->expert, mv->from_rank, mv->rank, old));
}

static void
consider_drop (const CfSetPlan *s, CfMove *best, int rank, int place)
{
  CfMove mv = { .rank = rank, .place = place, .from_rank = rank };

  mv.from_place = place;
  mv.expert = cf_group_map_at (s->m, s->set, rank)[place];
  if (mv.expert >= 0 && s->copies[mv.expert] > 1 && is_slow (s, rank))
    keep_better (best, mv, MOVE_DROP, score_drop (s, mv.expert, rank));
}

static CfMove
best_move (CfSetPlan *s)
{
  const CfGroupShape *sh = &s->m->shape;
  int hot = most_loaded (s);
  CfMove best = { .rank = -1, .score = 0 };

  for (int hp = 0; hp < sh->places; hp++)
    consider_drop (s, &best, hot, hp);
  for (int hp = 0; hp < sh->places; hp++)
    for (int r = 0; r < sh->ranks; r++)
      for (int p = 0; p < sh->places; p++)
        {
          CfMove mv = { .rank = r, .place = p };

          mv.expert = cf_group_map_at (s->m, s->set, hot)[hp];
          mv.from_rank = hot;
          mv.from_place = hp;
          if (mv.expert >= 0 && time_of (s, r) < time_of (s, hot))
            consider (s, &best, &mv);
        }
  return best;
}

static void
apply (CfSetPlan *s, const CfMove *mv)
{
  gint16 *to = cf_group_map_at (s->m, s->set, mv->rank) + mv->place;
  gint16 *from = cf_group_map_at (s->m, s->set, mv->from_rank) + mv->from_place;
  gint16 old = *to;

  if (mv->kind != MOVE_DROP)
    *to = (gint16)mv->expert;
  switch (mv->kind)
    {
    case MOVE_COPY:
      break;
    case MOVE_SWAP:
      *from = old;
      break;
    case MOVE_AWAY:
    case MOVE_DROP:
      *from = -1;
      break;
    }
  compute_load (s);
}

/* Near the top a rank's cost falls by six times its relief. */
static double
relief_of (const CfSetPlan *s, const CfMove *mv)
{
  double top = time_of (s, most_loaded (s));

  return mv->rank < 0 ? 0 : -mv->score * top / (6 * cost_of (top));
}

/* The set's tokens in even parts of a rank; FALSE if there are none. */
static gboolean
even_parts (const CfGroupMap *m, int set, const double *tokens, double *out)
{
  const double *t = tokens + (gsize)set * m->shape.experts;
  double sum = 0;

  for (int e = 0; e < m->shape.experts; e++)
    sum += t[e];
  if (sum <= 0)
    return FALSE;
  for (int e = 0; e < m->shape.experts; e++)
    out[e] = t[e] * m->shape.ranks / sum;
  return TRUE;
}

double
cf_group_map_skew (const CfGroupMap *m, const double *tokens,
                   const double *pace)
{
  const CfGroupShape *sh = &m->shape;
  g_autofree double *parts = g_new (double, sh->experts);
  g_autofree double *load = g_new (double, sh->ranks);
  g_autofree int *copies = g_new (int, sh->experts);
  double sum = 0;

  for (int set = 0; set < sh->sets; set++)
    {
      CfSetPlan s = { .m = (CfGroupMap *)m, .set = set, .tokens = parts };

      s.copies = copies;
      s.load = load;
      if (!even_parts (m, set, tokens, parts))
        {
          sum += 1;
          continue;
        }
      s.pace = pace;
      compute_load (&s);
      sum += time_of (&s, most_loaded (&s));
    }
  return sum / sh->sets;
}

/* The plans of all sets, side by side: the copies that a rank may make are
 * shared over the sets, so the best move of all is made first. */
typedef struct
{
  int n;
  CfSetPlan *sets;
  CfMove *best;   /* by set */
  double *relief; /* by set: of its best move; 0 if it has none */
  int *added;     /* by rank: what it copies of all sets */
  double *parts;
  double *load;
  int *copies;
} CfPlan;

static void
plan_init (CfPlan *p, const CfGroupMap *from, CfGroupMap *m,
           const double *tokens, const double *pace, const CfPlanLimits *l)
{
  const CfGroupShape *sh = &from->shape;

  p->n = sh->sets;
  p->sets = g_new0 (CfSetPlan, sh->sets);
  p->best = g_new0 (CfMove, sh->sets);
  p->relief = g_new0 (double, sh->sets);
  p->added = g_new0 (int, sh->ranks);
  p->parts = g_new0 (double, (gsize)sh->sets * sh->experts);
  p->load = g_new0 (double, (gsize)sh->sets * sh->ranks);
  p->copies = g_new0 (int, (gsize)sh->sets * sh->experts);
  for (int set = 0; set < sh->sets; set++)
    {
      CfSetPlan *s = &p->sets[set];
      double *parts = p->parts + (gsize)set * sh->experts;

      s->from = from;
      s->m = m;
      s->set = set;
      s->tokens = even_parts (from, set, tokens, parts) ? parts : NULL;
      s->copies = p->copies + (gsize)set * sh->experts;
      s->load = p->load + (gsize)set * sh->ranks;
      s->pace = pace;
      s->max_new = MIN (l->max_new, sh->spare);
      s->added = p->added;
      s->max_rank_new = l->max_rank_new ? l->max_rank_new : G_MAXINT;
    }
}

static void
plan_clear (CfPlan *p)
{
  g_free (p->sets);
  g_free (p->best);
  g_free (p->relief);
  g_free (p->added);
  g_free (p->parts);
  g_free (p->load);
  g_free (p->copies);
}

static void
look_for_move (CfPlan *p, int set)
{
  CfSetPlan *s = &p->sets[set];

  p->best[set] = best_move (s);
  p->relief[set] = relief_of (s, &p->best[set]);
}

/* Whether the ranks still may take what the best move of @set gives them. */
static gboolean
is_still_allowed (CfPlan *p, int set)
{
  CfSetPlan *s = &p->sets[set];
  const CfMove *mv = &p->best[set];

  switch (mv->kind)
    {
    case MOVE_DROP:
      return TRUE;
    case MOVE_COPY:
    case MOVE_AWAY:
      return may_take (s, mv->rank, mv->place, mv->expert);
    case MOVE_SWAP:
      return may_take (s, mv->rank, mv->place, mv->expert)
             && may_take (s, mv->from_rank, mv->from_place,
                          cf_group_map_at (s->m, set, mv->rank)[mv->place]);
    }
  return FALSE;
}

/* The set whose best move saves most, at least @least; -1 if none does. */
static int
best_set (const CfPlan *p, double least)
{
  int best = -1;

  for (int set = 0; set < p->n; set++)
    if (p->sets[set].tokens && p->relief[set] > 0 && p->relief[set] >= least
        && (best < 0 || p->relief[set] > p->relief[best]))
      best = set;
  return best;
}

static void
make_move (CfPlan *p, int set)
{
  CfSetPlan *s = &p->sets[set];
  const CfMove *mv = &p->best[set];
  int ranks[] = { mv->rank, mv->from_rank };

  for (gsize i = 0; i < G_N_ELEMENTS (ranks); i++)
    p->added[ranks[i]]
        -= cf_group_map_rank_added (s->from, s->m, set, ranks[i]);
  apply (s, mv);
  for (gsize i = 0; i < G_N_ELEMENTS (ranks); i++)
    p->added[ranks[i]]
        += cf_group_map_rank_added (s->from, s->m, set, ranks[i]);
}

/* Moves until none saves @move_gain of an even part. */
static void
plan_moves (CfPlan *p, double move_gain)
{
  for (int set = 0; set < p->n; set++)
    if (p->sets[set].tokens)
      {
        compute_load (&p->sets[set]);
        look_for_move (p, set);
      }
  for (int i = 0; i < MOVES_MAX * p->n; i++)
    {
      int set = best_set (p, move_gain);

      if (set < 0)
        return;
      if (is_still_allowed (p, set))
        make_move (p, set);
      look_for_move (p, set);
    }
}

CfGroupMap *
cf_group_map_plan (const CfGroupMap *from, const double *tokens,
                   const double *pace, const CfPlanLimits *limits)
{
  CfGroupMap *m = cf_group_map_copy (from);
  CfPlan p;
  double gain;

  plan_init (&p, from, m, tokens, pace, limits);
  plan_moves (&p, limits->move_gain);
  plan_clear (&p);
  gain = cf_group_map_skew (from, tokens, pace)
         - cf_group_map_skew (m, tokens, pace);
  if (gain < limits->min_gain || !cf_group_map_whole (m))
    g_clear_pointer (&m, cf_group_map_free);
  return m;
}
