/*
 * Expert maps, and the change of a group's map on every rank or on none.
 * Seeded sequences of changes run against fake ranks, with lost, delayed and
 * unanswered orders, ranks that stop answering, and coordinators that die or
 * are paused and resume late.  The oracle: in no step may two ranks use
 * different maps.
 *
 * FUZZ_SEED=N runs one sequence.
 */
#include "harness.h"
#include "map-change.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

#define RANKS 4
#define EXPERTS 8
#define PLACES 3
#define MAX_DELAYED 64
#define SEQUENCES 4000

static const CfMapChangeLimits limits
    = { .prepare_ms = 400, .settle_ms = 1000, .steps_ahead = 4 };

/* A delayed order whose sender no longer waits for the answer. */
typedef struct
{
  CfRankOp op;
  int rank;
  int ticks_left;
  gint64 fence;
  gboolean is_fence_unchecked; /* the agent has yet to check its fencing token,
                                * as if a paused process had sent it */
} DelayedOrder;

typedef struct
{
  GRand *rand;
  CfRankReport ranks[RANKS];
  gint64 fence[RANKS]; /* highest token that each rank's agent has seen */
  gboolean knows_fence[RANKS]; /* FALSE after the agent restarted */
  DelayedOrder delayed[MAX_DELAYED];
  int n_delayed;
  gint64 coordinator_fence; /* of the active coordinator */
  int calls_until_death;    /* calls until it dies; -1: never, -2: dead */
  gboolean without_faults;
  gboolean is_idle; /* no work, so no steps */
  gint64 now_ms;
  int report_ms; /* how long a rank takes to report */
  /* Steps begun, changes of the map, ranks that used another map than rank 0
   * in a step, and injected faults. */
  gint64 steps, switches, mixed, faults;
} Simulation;

static CfRankOpResult
apply_order (Simulation *s, int rank, const CfRankOp *op)
{
  CfRankReport *r = &s->ranks[rank];

  switch (op->kind)
    {
    case CF_RANK_PREPARE:
      if (op->u.prepare.version <= r->newest || r->armed)
        return CF_RANK_OP_REFUSED;
      r->newest = r->prepared = op->u.prepare.version;
      return CF_RANK_OP_DONE;
    case CF_RANK_ARM:
      if (r->prepared != op->u.arm.version || op->u.arm.step <= r->step)
        return CF_RANK_OP_REFUSED;
      r->armed = op->u.arm.version;
      r->armed_step = op->u.arm.step;
      return CF_RANK_OP_DONE;
    case CF_RANK_DISARM:
      if (r->map == op->u.arm.version)
        return CF_RANK_OP_REFUSED;
      if (r->armed == op->u.arm.version)
        r->armed = 0;
      return CF_RANK_OP_DONE;
    case CF_RANK_HOLD:
      if (op->u.hold.step <= r->step || (r->held && r->held != op->u.hold.step))
        return CF_RANK_OP_REFUSED;
      r->held = op->u.hold.step;
      return CF_RANK_OP_DONE;
    case CF_RANK_RELEASE:
      if (r->held != op->u.hold.step)
        return CF_RANK_OP_REFUSED;
      r->held = 0;
      return CF_RANK_OP_DONE;
    }
  return CF_RANK_OP_REFUSED;
}

static CfRankOpResult
check_fence (Simulation *s, int rank, gint64 fence)
{
  if (s->knows_fence[rank] && fence < s->fence[rank])
    return CF_RANK_OP_FENCED;
  if (!s->knows_fence[rank])
    return CF_RANK_OP_REFUSED;
  s->fence[rank] = fence;
  return CF_RANK_OP_DONE;
}

static void
run_step (Simulation *s)
{
  gint64 next = s->ranks[0].step + 1;

  for (int r = 0; r < RANKS; r++)
    if (s->ranks[r].held == next)
      return;
  s->steps++;
  for (int r = 0; r < RANKS; r++)
    {
      CfRankReport *rank = &s->ranks[r];

      rank->step = next;
      if (rank->armed && rank->armed_step == next)
        {
          rank->map = rank->armed;
          rank->armed = rank->prepared = 0;
          s->switches += r == 0;
        }
    }
  for (int r = 1; r < RANKS; r++)
    s->mixed += s->ranks[r].map != s->ranks[0].map;
}

static void
tick (Simulation *s)
{
  for (int i = 0; i < s->n_delayed;)
    {
      DelayedOrder *order = &s->delayed[i];

      if (order->ticks_left-- > 0)
        {
          i++;
          continue;
        }
      if (!order->is_fence_unchecked
          || check_fence (s, order->rank, order->fence) == CF_RANK_OP_DONE)
        apply_order (s, order->rank, &order->op);
      *order = s->delayed[--s->n_delayed];
    }
  if (!s->is_idle && g_rand_int_range (s->rand, 0, 3) == 0)
    run_step (s);
}

static void
delay_order (Simulation *s, int rank, const CfRankOp *op,
             gboolean is_fence_unchecked)
{
  s->faults++;
  if (s->n_delayed == MAX_DELAYED)
    return;
  s->delayed[s->n_delayed++]
      = (DelayedOrder){ .op = *op,
                        .rank = rank,
                        .ticks_left = g_rand_int_range (s->rand, 1, 120),
                        .fence = s->coordinator_fence,
                        .is_fence_unchecked = is_fence_unchecked };
}

static CfRankOpResult
fake_order (void *data, int rank, const CfRankOp *op)
{
  Simulation *s = data;
  int percent = g_rand_int_range (s->rand, 0, 100);
  CfRankOpResult fenced;

  for (int i = g_rand_int_range (s->rand, 0, 4); i > 0; i--)
    tick (s);
  if (s->calls_until_death == 0)
    {
      /* Paused just before sending this order, which goes out on resume. */
      delay_order (s, rank, op, TRUE);
      s->calls_until_death = -2;
    }
  if (s->calls_until_death == -2)
    return CF_RANK_OP_FENCED;
  if (s->calls_until_death > 0)
    s->calls_until_death--;
  if (!s->without_faults && g_rand_int_range (s->rand, 0, 60) == 0)
    {
      /* This rank's agent is killed and restarted. */
      s->faults++;
      s->knows_fence[rank] = FALSE;
      s->fence[rank] = 0;
    }
  fenced = check_fence (s, rank, s->coordinator_fence);
  if (fenced != CF_RANK_OP_DONE)
    return fenced;
  if (s->without_faults || percent < 88)
    return apply_order (s, rank, op);
  if (percent < 91) /* carried out, but the answer is lost */
    {
      s->faults++;
      apply_order (s, rank, op);
    }
  else if (percent < 97) /* unanswered, but carried out later */
    delay_order (s, rank, op, FALSE);
  else
    s->faults++; /* lost */
  return CF_RANK_OP_UNKNOWN;
}

static CfRankOpResult
fake_report (void *data, int rank, CfRankReport *out)
{
  Simulation *s = data;

  tick (s);
  s->now_ms += s->report_ms;
  if (s->calls_until_death == -2
      || (s->knows_fence[rank] && s->coordinator_fence < s->fence[rank]))
    return CF_RANK_OP_FENCED;
  s->knows_fence[rank] = TRUE;
  s->fence[rank] = s->coordinator_fence;
  if (!s->without_faults && g_rand_int_range (s->rand, 0, 100) < 4)
    return CF_RANK_OP_UNKNOWN;
  *out = s->ranks[rank];
  return CF_RANK_OP_DONE;
}

static gboolean
fake_pause (void *data, int ms)
{
  Simulation *s = data;

  s->now_ms += ms;
  for (int i = 0; i < 8; i++)
    tick (s);
  return TRUE;
}

static gint64
fake_now (void *data)
{
  const Simulation *s = data;

  return s->now_ms;
}

/* Runs a sequence of coordinators; each settles the group and changes the map
 * unless it dies first. */
static void
run_sequence (guint32 seed, Simulation *sum)
{
  Simulation s = { .rand = g_rand_new_with_seed (seed) };
  CfExpertMap *map = cf_expert_map_new (EXPERTS, RANKS, PLACES);
  CfRankOps ops = { .data = &s,
                    .ranks = RANKS,
                    .order = fake_order,
                    .report = fake_report,
                    .pause = fake_pause,
                    .now = fake_now };
  gint64 term = 0;
  gint64 before;

  for (int r = 0; r < RANKS; r++)
    {
      s.ranks[r] = (CfRankReport){ .step = 1, .map = 1, .newest = 1 };
      s.knows_fence[r] = TRUE;
    }
  for (int i = 0; i < 12; i++)
    {
      term++;
      s.coordinator_fence = term;
      s.is_idle = g_rand_int_range (s.rand, 0, 6) == 0;
      s.calls_until_death = g_rand_int_range (s.rand, 0, 2)
                                ? -1
                                : g_rand_int_range (s.rand, 0, 5 * RANKS);
      if (cf_map_change_settle (&ops, term, map, &limits)
          == CF_MAP_CHANGE_ABORTED)
        cf_map_change_run (&ops, term, map, map, &limits);
      ck_assert_msg (s.mixed == 0,
                     "seed %u: ranks used different maps in step %d (term %d)",
                     seed, (int)s.ranks[0].step, (int)term);
    }
  /* Once the faults are over, the group must settle, begin further steps and
   * change its map. */
  s.without_faults = TRUE;
  s.is_idle = FALSE;
  s.calls_until_death = -1;
  for (int i = 0; i < 200; i++)
    tick (&s);
  s.coordinator_fence = ++term;
  ck_assert_msg (cf_map_change_settle (&ops, term, map, &limits)
                     == CF_MAP_CHANGE_ABORTED,
                 "seed %u: not settled once the faults were over", seed);
  before = s.ranks[0].map;
  ck_assert_int_eq (cf_map_change_run (&ops, term, map, map, &limits),
                    CF_MAP_CHANGE_DONE);
  for (int i = 0; i < 400; i++)
    tick (&s);
  ck_assert_msg (s.ranks[0].map > before, "seed %u: no rank changed", seed);
  ck_assert_msg (s.mixed == 0, "seed %u: ranks used different maps", seed);
  sum->steps += s.steps;
  sum->switches += s.switches;
  sum->faults += s.faults;
  cf_expert_map_free (map);
  g_rand_free (s.rand);
}

START_TEST (test_no_step_mixes_maps)
{
  const char *env = g_getenv ("FUZZ_SEED");
  Simulation sum = { 0 };

  if (env)
    run_sequence ((guint32)g_ascii_strtoull (env, NULL, 10), &sum);
  else
    for (guint32 seed = 1; seed <= SEQUENCES; seed++)
      run_sequence (seed, &sum);
  fprintf (
      stderr, "t-map: %d sequences: %d steps, %d changes of map, %d faults\n",
      env ? 1 : SEQUENCES, (int)sum.steps, (int)sum.switches, (int)sum.faults);
}
END_TEST

/* Accepts every order, but never finishes copying experts. */
static CfRankOpResult
order_without_effect (void *data, int rank, const CfRankOp *op)
{
  (void)data;
  (void)rank;
  (void)op;
  return CF_RANK_OP_DONE;
}

/* Slow reports count towards the time limit: a change that cannot be prepared
 * is aborted at its limit, apart from a last round of reports. */
START_TEST (test_slow_reports_do_not_extend_time_limit)
{
  Simulation s = { .without_faults = TRUE,
                   .is_idle = TRUE,
                   .calls_until_death = -1,
                   .report_ms = 15 };
  CfExpertMap *map = cf_expert_map_new (EXPERTS, RANKS, PLACES);
  CfRankOps ops = { .data = &s,
                    .ranks = RANKS,
                    .order = order_without_effect,
                    .report = fake_report,
                    .pause = fake_pause,
                    .now = fake_now };
  gint64 report_round_ms = RANKS * s.report_ms;

  s.rand = g_rand_new_with_seed (1);
  ck_assert_int_eq (cf_map_change_run (&ops, 1, map, map, &limits),
                    CF_MAP_CHANGE_ABORTED);
  ck_assert_int_ge (s.now_ms, limits.prepare_ms);
  ck_assert_int_le (s.now_ms, limits.prepare_ms + 3 * report_round_ms);
  cf_expert_map_free (map);
  g_rand_free (s.rand);
}
END_TEST

START_TEST (test_copies_share_tokens_of_expert)
{
  CfExpertMap *m = cf_expert_map_new (4, 2, 3);
  double tokens[4] = { 90, 10, 0, 0 };
  double load[2];

  ck_assert_double_eq (cf_expert_map_compute_load (m, tokens, load), 90);
  /* Rank 1 gets a copy of expert 0 in its empty place. */
  cf_expert_map_set (m, 1, 2, 0);
  ck_assert_double_eq (cf_expert_map_compute_load (m, tokens, load), 55);
  ck_assert_double_eq (load[0], 45);
  cf_expert_map_free (m);
}
END_TEST

START_TEST (test_invalid_maps_are_reported)
{
  const char *const bad[][2] = {
    { "[[0,1],[2]]", "expert 3 is on no rank" },
    { "[[0,1,2,3],[]]", "4 experts for 3 places" },
    { "[[0,0],[1,2,3]]", "rank 0 place 1: not an expert" },
    { "[[0,4],[1,2,3]]", "rank 0 place 1: not an expert" },
  };
  json_t *good = json_loads ("[[0,1,3],[2,3]]", 0, NULL);
  json_t *back;
  CfExpertMap *m = NULL;

  ck_assert_int_eq (cf_expert_map_from_json (good, 4, 3, 7, &m), CF_OK);
  ck_assert_int_eq (m->version, 7);
  ck_assert_int_eq (m->copies[3], 2);
  back = cf_expert_map_to_json (m);
  ck_assert (json_equal (good, back));
  json_decref (good);
  json_decref (back);
  cf_expert_map_free (m);
  for (guint i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      json_t *j = json_loads (bad[i][0], 0, NULL);

      ck_assert_int_eq (cf_expert_map_from_json (j, 4, 3, 1, &m),
                        CF_ERR_RECORD);
      ck_assert_msg (strstr (cf_last_error (), bad[i][1]), "%s",
                     cf_last_error ());
      json_decref (j);
    }
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("map");
  TCase *tc = tcase_create ("core");

  tcase_set_timeout (tc, 120);
  tcase_add_test (tc, test_copies_share_tokens_of_expert);
  tcase_add_test (tc, test_invalid_maps_are_reported);
  tcase_add_test (tc, test_no_step_mixes_maps);
  tcase_add_test (tc, test_slow_reports_do_not_extend_time_limit);
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
