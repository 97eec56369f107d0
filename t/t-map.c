/*
 * Expert maps, and the change of one on every rank of a group or on none:
 * seeded sequences of changes against fake ranks, with orders lost, late
 * and unanswered, ranks that stop answering, and coordinators that die or
 * wake late.  The oracle is one line: in no step may two ranks use
 * different maps.
 *
 * FUZZ_SEED=N plays one sequence.
 */
#include "harness.h"
#include "map-change.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

#define RANKS 4
#define EXPERTS 8
#define PLACES 3
#define LATE_MAX 64
#define SEQUENCES 4000

static const CfMapLimits limits
    = { .prepare_ms = 400, .settle_ms = 1000, .lead_steps = 4 };

/* An order on its way that nobody waits for any more. */
typedef struct
{
  CfRankOp op;
  int rank;
  int due; /* ticks from now */
  gint64 fence;
  gboolean at_agent; /* still to pass the fence, as from a paused process */
} Late;

typedef struct
{
  GRand *rand;
  CfRankReport ranks[RANKS];
  gint64 fence[RANKS];  /* highest token each rank's agent has seen */
  gboolean open[RANKS]; /* FALSE: that agent restarted and forgot it */
  Late late[LATE_MAX];
  int n_late;
  gint64 my_fence; /* of the coordinator whose calls are being served */
  int dies_in;     /* calls until that coordinator dies; -1: never */
  gboolean calm;   /* no faults */
  gboolean idle;   /* no work, so no steps */
  gint64 now_ms;
  int report_ms; /* how long a rank takes to report */
  gint64 steps, switches, mixed, faults;
} World;

static CfRankAck
carry_out (World *w, int rank, const CfRankOp *op)
{
  CfRankReport *r = &w->ranks[rank];

  switch (op->kind)
    {
    case CF_RANK_PREPARE:
      if (op->u.prepare.version <= r->newest || r->armed)
        return CF_ACK_REFUSED;
      r->newest = r->prepared = op->u.prepare.version;
      return CF_ACK_DONE;
    case CF_RANK_ARM:
      if (r->prepared != op->u.arm.version || op->u.arm.step <= r->step)
        return CF_ACK_REFUSED;
      r->armed = op->u.arm.version;
      r->armed_step = op->u.arm.step;
      return CF_ACK_DONE;
    case CF_RANK_DISARM:
      if (r->map == op->u.arm.version)
        return CF_ACK_REFUSED;
      if (r->armed == op->u.arm.version)
        r->armed = 0;
      return CF_ACK_DONE;
    case CF_RANK_HOLD:
      if (op->u.hold.step <= r->step || (r->held && r->held != op->u.hold.step))
        return CF_ACK_REFUSED;
      r->held = op->u.hold.step;
      return CF_ACK_DONE;
    case CF_RANK_GO:
      if (r->held != op->u.hold.step)
        return CF_ACK_REFUSED;
      r->held = 0;
      return CF_ACK_DONE;
    }
  return CF_ACK_REFUSED;
}

static CfRankAck
pass_fence (World *w, int rank, gint64 fence)
{
  if (w->open[rank] && fence < w->fence[rank])
    return CF_ACK_FENCED;
  if (!w->open[rank])
    return CF_ACK_REFUSED;
  w->fence[rank] = fence;
  return CF_ACK_DONE;
}

static void
begin_step (World *w)
{
  gint64 next = w->ranks[0].step + 1;

  for (int r = 0; r < RANKS; r++)
    if (w->ranks[r].held == next)
      return;
  w->steps++;
  for (int r = 0; r < RANKS; r++)
    {
      CfRankReport *k = &w->ranks[r];

      k->step = next;
      if (k->armed && k->armed_step == next)
        {
          k->map = k->armed;
          k->armed = k->prepared = 0;
          w->switches += r == 0;
        }
    }
  for (int r = 1; r < RANKS; r++)
    w->mixed += w->ranks[r].map != w->ranks[0].map;
}

static void
tick (World *w)
{
  for (int i = 0; i < w->n_late;)
    {
      Late *l = &w->late[i];

      if (l->due-- > 0)
        {
          i++;
          continue;
        }
      if (!l->at_agent || pass_fence (w, l->rank, l->fence) == CF_ACK_DONE)
        carry_out (w, l->rank, &l->op);
      *l = w->late[--w->n_late];
    }
  if (!w->idle && g_rand_int_range (w->rand, 0, 3) == 0)
    begin_step (w);
}

static void
run_late (World *w, int rank, const CfRankOp *op, gboolean at_agent)
{
  w->faults++;
  if (w->n_late == LATE_MAX)
    return;
  w->late[w->n_late++] = (Late){ .op = *op,
                                 .rank = rank,
                                 .due = g_rand_int_range (w->rand, 1, 120),
                                 .fence = w->my_fence,
                                 .at_agent = at_agent };
}

static CfRankAck
fake_order (void *data, int rank, const CfRankOp *op)
{
  World *w = data;
  int luck = g_rand_int_range (w->rand, 0, 100);
  CfRankAck fenced;

  for (int i = g_rand_int_range (w->rand, 0, 4); i > 0; i--)
    tick (w);
  if (w->dies_in == 0)
    {
      /* Paused with this order in hand: it goes out when it wakes. */
      run_late (w, rank, op, TRUE);
      w->dies_in = -2;
    }
  if (w->dies_in == -2)
    return CF_ACK_FENCED;
  if (w->dies_in > 0)
    w->dies_in--;
  if (!w->calm && g_rand_int_range (w->rand, 0, 60) == 0)
    {
      /* The agent beside this rank is killed and starts again. */
      w->faults++;
      w->open[rank] = FALSE;
      w->fence[rank] = 0;
    }
  fenced = pass_fence (w, rank, w->my_fence);
  if (fenced != CF_ACK_DONE)
    return fenced;
  if (w->calm || luck < 88)
    return carry_out (w, rank, op);
  if (luck < 91) /* carried out, the answer lost */
    {
      w->faults++;
      carry_out (w, rank, op);
    }
  else if (luck < 97) /* unanswered, carried out late */
    run_late (w, rank, op, FALSE);
  else
    w->faults++; /* lost */
  return CF_ACK_UNKNOWN;
}

static CfRankAck
fake_report (void *data, int rank, CfRankReport *out)
{
  World *w = data;

  tick (w);
  w->now_ms += w->report_ms;
  if (w->dies_in == -2 || (w->open[rank] && w->my_fence < w->fence[rank]))
    return CF_ACK_FENCED;
  w->open[rank] = TRUE;
  w->fence[rank] = w->my_fence;
  if (!w->calm && g_rand_int_range (w->rand, 0, 100) < 4)
    return CF_ACK_UNKNOWN;
  *out = w->ranks[rank];
  return CF_ACK_DONE;
}

static gboolean
fake_pause (void *data, int ms)
{
  World *w = data;

  w->now_ms += ms;
  for (int i = 0; i < 8; i++)
    tick (w);
  return TRUE;
}

static gint64
fake_now (void *data)
{
  const World *w = data;

  return w->now_ms;
}

/* A sequence of coordinators, each settling and changing until it dies. */
static void
play (guint32 seed, World *sum)
{
  World w = { .rand = g_rand_new_with_seed (seed) };
  CfExpertMap *map = cf_expert_map_new (EXPERTS, RANKS, PLACES);
  CfRankOps ops = { .data = &w,
                    .ranks = RANKS,
                    .order = fake_order,
                    .report = fake_report,
                    .pause = fake_pause,
                    .now = fake_now };
  gint64 turn = 0;
  gint64 before;

  for (int r = 0; r < RANKS; r++)
    {
      w.ranks[r] = (CfRankReport){ .step = 1, .map = 1, .newest = 1 };
      w.open[r] = TRUE;
    }
  for (int i = 0; i < 12; i++)
    {
      turn++;
      w.my_fence = turn;
      w.idle = g_rand_int_range (w.rand, 0, 6) == 0;
      w.dies_in = g_rand_int_range (w.rand, 0, 2)
                      ? -1
                      : g_rand_int_range (w.rand, 0, 5 * RANKS);
      if (cf_map_settle (&ops, turn, map, &limits) == CF_MAP_ABORTED)
        cf_map_change (&ops, turn, map, map, &limits);
      ck_assert_msg (w.mixed == 0,
                     "seed %u: ranks used different maps in step %d (turn %d)",
                     seed, (int)w.ranks[0].step, (int)turn);
    }
  /* Faults over: the group must settle, step on, and change once more. */
  w.calm = TRUE;
  w.idle = FALSE;
  w.dies_in = -1;
  for (int i = 0; i < 200; i++)
    tick (&w);
  w.my_fence = ++turn;
  ck_assert_msg (cf_map_settle (&ops, turn, map, &limits) == CF_MAP_ABORTED,
                 "seed %u: not settled once the faults were over", seed);
  before = w.ranks[0].map;
  ck_assert_int_eq (cf_map_change (&ops, turn, map, map, &limits),
                    CF_MAP_CHANGED);
  for (int i = 0; i < 400; i++)
    tick (&w);
  ck_assert_msg (w.ranks[0].map > before, "seed %u: no rank changed", seed);
  ck_assert_msg (w.mixed == 0, "seed %u: ranks used different maps", seed);
  sum->steps += w.steps;
  sum->switches += w.switches;
  sum->faults += w.faults;
  cf_expert_map_free (map);
  g_rand_free (w.rand);
}

START_TEST (test_no_step_mixes_maps)
{
  const char *env = g_getenv ("FUZZ_SEED");
  World sum = { 0 };

  if (env)
    play ((guint32)g_ascii_strtoull (env, NULL, 10), &sum);
  else
    for (guint32 seed = 1; seed <= SEQUENCES; seed++)
      play (seed, &sum);
  fprintf (
      stderr, "t-map: %d sequences: %d steps, %d changes of map, %d faults\n",
      env ? 1 : SEQUENCES, (int)sum.steps, (int)sum.switches, (int)sum.faults);
}
END_TEST

/* Obeys, but its copies never become whole. */
static CfRankAck
never_ready (void *data, int rank, const CfRankOp *op)
{
  (void)data;
  (void)rank;
  (void)op;
  return CF_ACK_DONE;
}

/* The time that slow ranks take to report counts too: a change that cannot
 * be prepared is given up when its time is over, but for a last look. */
START_TEST (test_slow_reports_do_not_stretch_the_limit)
{
  World w = { .calm = TRUE, .idle = TRUE, .dies_in = -1, .report_ms = 15 };
  CfExpertMap *map = cf_expert_map_new (EXPERTS, RANKS, PLACES);
  CfRankOps ops = { .data = &w,
                    .ranks = RANKS,
                    .order = never_ready,
                    .report = fake_report,
                    .pause = fake_pause,
                    .now = fake_now };
  gint64 look_ms = RANKS * w.report_ms;

  w.rand = g_rand_new_with_seed (1);
  ck_assert_int_eq (cf_map_change (&ops, 1, map, map, &limits), CF_MAP_ABORTED);
  ck_assert_int_ge (w.now_ms, limits.prepare_ms);
  ck_assert_int_le (w.now_ms, limits.prepare_ms + 3 * look_ms);
  cf_expert_map_free (map);
  g_rand_free (w.rand);
}
END_TEST

START_TEST (test_replicas_share_an_experts_tokens)
{
  CfExpertMap *m = cf_expert_map_new (4, 2, 3);
  double tokens[4] = { 90, 10, 0, 0 };
  double load[2];

  ck_assert_double_eq (cf_expert_map_load (m, tokens, load), 90);
  /* Rank 1 takes a copy of expert 0 in its spare place. */
  cf_expert_map_set (m, 1, 2, 0);
  ck_assert_double_eq (cf_expert_map_load (m, tokens, load), 55);
  ck_assert_double_eq (load[0], 45);
  cf_expert_map_free (m);
}
END_TEST

START_TEST (test_bad_maps_name_the_fault)
{
  const char *const bad[][2] = {
    { "[[0,1],[2]]", "expert 3 is on no rank" },
    { "[[0,1,2,3],[]]", "4 experts for 3 places" },
    { "[[0,0],[1,2,3]]", "rank 0 place 1 is no expert" },
    { "[[0,4],[1,2,3]]", "rank 0 place 1 is no expert" },
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
  tcase_add_test (tc, test_replicas_share_an_experts_tokens);
  tcase_add_test (tc, test_bad_maps_name_the_fault);
  tcase_add_test (tc, test_no_step_mixes_maps);
  tcase_add_test (tc, test_slow_reports_do_not_stretch_the_limit);
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
