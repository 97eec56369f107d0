/* Planned expert maps are complete, within the copy limits and less skewed.
 */
#include "gateway/map-gain.h"
#include "gateway/map-plan.h"
#include "harness.h"

#include <math.h>
#include <time.h>

static const CfGroupShape small_shape
    = { .sets = 4, .experts = 64, .ranks = 16, .places = 5, .spare = 2 };

/* Zipf-like demand, in a different random order for each set. */
static double *
random_demand (const CfGroupShape *sh, guint32 seed)
{
  GRand *rand = g_rand_new_with_seed (seed);
  double *t = g_new (double, sh->sets * sh->experts);

  for (int i = 0; i < sh->sets * sh->experts; i++)
    t[i] = pow (g_rand_int_range (rand, 1, sh->experts + 1), -0.9);
  g_rand_free (rand);
  return t;
}

static void
check_bounds (const CfGroupMap *from, const CfGroupMap *to, int max_set_copies)
{
  ck_assert (cf_group_map_is_complete (to));
  for (int s = 0; s < small_shape.sets; s++)
    for (int r = 0; r < small_shape.ranks; r++)
      {
        int added = 0;

        for (int p = 0; p < small_shape.places; p++)
          {
            int e = cf_group_map_row (to, s, r)[p];

            added += e >= 0 && !cf_group_map_holds (from, s, r, e);
          }
        ck_assert_int_le (added, max_set_copies);
      }
}

/* The skew before the change is 3.05 at seed 1. */
START_TEST (one_change_removes_most_skew)
{
  const CfPlanLimits limits = { .max_set_copies = 1,
                                .max_rank_copies = 0,
                                .min_gain = 0.02,
                                .min_move_gain = 0.01 };

  for (guint32 seed = 1; seed <= 50; seed++)
    {
      CfGroupMap *from = cf_group_map_round_robin (&small_shape);
      double *t = random_demand (&small_shape, seed);
      CfGroupMap *to = cf_group_map_plan (from, t, NULL, &limits);

      ck_assert_ptr_nonnull (to);
      check_bounds (from, to, 1);
      ck_assert_double_lt (cf_group_map_skew (to, t, NULL), 1.25);
      ck_assert_double_gt (cf_group_map_skew (from, t, NULL), 1.7);
      cf_group_map_free (from);
      cf_group_map_free (to);
      g_free (t);
    }
}
END_TEST

/* With higher limits, copies that save little are left out, while the skew
 * stays nearly as low. */
START_TEST (gain_limits_save_copies_at_little_skew)
{
  const CfPlanLimits all = { .max_set_copies = 1,
                             .max_rank_copies = 0,
                             .min_gain = 0.02,
                             .min_move_gain = 0.01 };
  const CfPlanLimits strict = { .max_set_copies = 1,
                                .max_rank_copies = 0,
                                .min_gain = 0.2,
                                .min_move_gain = 0.12 };
  int n_all = 0;
  int n_few = 0;
  double worst = 0;

  for (guint32 seed = 1; seed <= 50; seed++)
    {
      CfGroupMap *from = cf_group_map_round_robin (&small_shape);
      double *t = random_demand (&small_shape, seed);
      CfGroupMap *a = cf_group_map_plan (from, t, NULL, &all);
      CfGroupMap *f = cf_group_map_plan (from, t, NULL, &strict);

      n_all += cf_group_map_count_added (from, a);
      n_few += cf_group_map_count_added (from, f);
      worst = MAX (worst, cf_group_map_skew (f, t, NULL));
      cf_group_map_free (from);
      cf_group_map_free (a);
      cf_group_map_free (f);
      g_free (t);
    }
  ck_assert_int_lt (n_few * 10, n_all * 9);
  ck_assert_double_lt (worst, 1.5);
}
END_TEST

/* A rank that takes five times as long loses most of its load.  Otherwise the
 * group would wait for about five times the time of an even share. */
START_TEST (slow_ranks_are_relieved)
{
  const CfPlanLimits limits = { .max_set_copies = 1,
                                .max_rank_copies = 0,
                                .min_gain = 0.2,
                                .min_move_gain = 0.12 };
  double slowdown[16];

  for (int r = 0; r < small_shape.ranks; r++)
    slowdown[r] = r == 3 ? 5 : 1;
  for (guint32 seed = 1; seed <= 50; seed++)
    {
      CfGroupMap *m = cf_group_map_round_robin (&small_shape);
      double *t = random_demand (&small_shape, seed);

      for (int i = 0; i < 4; i++)
        {
          CfGroupMap *to = cf_group_map_plan (m, t, slowdown, &limits);

          if (!to)
            break;
          check_bounds (m, to, 1);
          cf_group_map_free (m);
          m = to;
        }
      ck_assert_double_lt (cf_group_map_skew (m, t, slowdown), 1.8);
      cf_group_map_free (m);
      g_free (t);
    }
}
END_TEST

static int
max_copies_of_a_rank (const CfGroupMap *from, const CfGroupMap *to)
{
  int most = 0;

  for (int r = 0; r < small_shape.ranks; r++)
    {
      int n = 0;

      for (int s = 0; s < small_shape.sets; s++)
        for (int p = 0; p < small_shape.places; p++)
          {
            int e = cf_group_map_row (to, s, r)[p];

            n += e >= 0 && !cf_group_map_holds (from, s, r, e);
          }
      most = MAX (most, n);
    }
  return most;
}

/* With four sets, a change of one copy per rank takes a quarter of the time of
 * one copy per rank and set.  As the best moves are made first, the mean skew
 * over 50 demands falls from 2.96 to 1.52 with the first such change and to
 * 1.25 with the second. */
START_TEST (small_changes_make_the_best_copies_first)
{
  const CfPlanLimits limits = { .max_set_copies = 1,
                                .max_rank_copies = 1,
                                .min_gain = 0.02,
                                .min_move_gain = 0.01 };
  double skew[3] = { 0 };

  for (guint32 seed = 1; seed <= 50; seed++)
    {
      CfGroupMap *m = cf_group_map_round_robin (&small_shape);
      double *t = random_demand (&small_shape, seed);

      skew[0] += cf_group_map_skew (m, t, NULL) / 50;
      for (int i = 1; i < 3; i++)
        {
          CfGroupMap *to = cf_group_map_plan (m, t, NULL, &limits);

          ck_assert_ptr_nonnull (to);
          ck_assert_int_le (max_copies_of_a_rank (m, to), 1);
          cf_group_map_free (m);
          m = to;
          skew[i] += cf_group_map_skew (m, t, NULL) / 50;
        }
      cf_group_map_free (m);
      g_free (t);
    }
  ck_assert_double_lt (skew[1], 1.6);
  ck_assert_double_lt (skew[2], 1.3);
}
END_TEST

START_TEST (no_change_without_gain)
{
  const CfPlanLimits limits = { .max_set_copies = 2,
                                .max_rank_copies = 0,
                                .min_gain = 0.05,
                                .min_move_gain = 0.01 };
  CfGroupMap *from = cf_group_map_round_robin (&small_shape);
  double *t = g_new (double, small_shape.sets *small_shape.experts);

  for (int i = 0; i < small_shape.sets * small_shape.experts; i++)
    t[i] = 1;
  ck_assert_ptr_null (cf_group_map_plan (from, t, NULL, &limits));
  for (int i = 0; i < small_shape.sets * small_shape.experts; i++)
    t[i] = 0;
  ck_assert_ptr_null (cf_group_map_plan (from, t, NULL, &limits));
  cf_group_map_free (from);
  g_free (t);
}
END_TEST

/* Each of many changes for random demand keeps the map complete and stays
 * within the copy limit. */
START_TEST (maps_stay_complete_over_many_changes)
{
  const CfPlanLimits limits = { .max_set_copies = 2,
                                .max_rank_copies = 0,
                                .min_gain = 0.05,
                                .min_move_gain = 0.02 };
  CfGroupMap *m = cf_group_map_round_robin (&small_shape);

  for (guint32 seed = 1; seed <= 200; seed++)
    {
      double *t = random_demand (&small_shape, seed);
      CfGroupMap *to = cf_group_map_plan (m, t, NULL, &limits);

      if (to)
        {
          check_bounds (m, to, 2);
          ck_assert_double_lt (cf_group_map_skew (to, t, NULL),
                               cf_group_map_skew (m, t, NULL));
          cf_group_map_free (m);
          m = to;
        }
      g_free (t);
    }
  cf_group_map_free (m);
}
END_TEST

static const CfGroupShape large_shape
    = { .sets = 10, .experts = 384, .ranks = 192, .places = 3, .spare = 2 };

static double
thread_cpu_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &t);
  return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

/*
 * A plan for 192 ranks made in one go blocked the event loop for 80 to 120 ms
 * of processor time, half a second on a VM with a fifth of a core.  The leader
 * took that for a standstill, settled for seconds and planned again, so that no
 * map was ever changed.  Plans are therefore made in steps, and take a tenth
 * of that time in total.  The fastest of three runs counts, so that other load
 * on the machine does not fail the test.
 */
START_TEST (large_plans_are_made_in_short_steps)
{
  const CfPlanLimits limits = { .max_set_copies = 1,
                                .max_rank_copies = 1,
                                .min_gain = 0.2,
                                .min_move_gain = 0.12 };
  CfGroupMap *from = cf_group_map_round_robin (&large_shape);
  double total_ms = G_MAXDOUBLE;
  double step_ms = G_MAXDOUBLE;
  double *t = random_demand (&large_shape, 1);

  for (int i = 0; i < 3; i++)
    {
      CfMapPlan *p = cf_map_plan_new (from, t, NULL, &limits);
      double begun = thread_cpu_ms ();
      double longest = 0;
      double part = begun;
      CfGroupMap *m;

      while (!cf_map_plan_step (p, 24))
        {
          longest = MAX (longest, thread_cpu_ms () - part);
          part = thread_cpu_ms ();
        }
      total_ms = MIN (total_ms, thread_cpu_ms () - begun);
      step_ms = MIN (step_ms, longest);
      ck_assert_double_lt (cf_map_plan_skew_after (p),
                           cf_map_plan_skew_before (p) / 2);
      m = cf_map_plan_finish (p);
      ck_assert_ptr_nonnull (m);
      cf_group_map_free (m);
    }
  ck_assert_double_lt (step_ms, 5);
  ck_assert_double_lt (total_ms, 40);
  cf_group_map_free (from);
  g_free (t);
}
END_TEST

static double
skew_after_change (const CfPlanLimits *limits, guint32 seed)
{
  CfGroupMap *from = cf_group_map_round_robin (&large_shape);
  double *t = random_demand (&large_shape, seed);
  CfGroupMap *to = cf_group_map_plan (from, t, NULL, limits);
  double skew;

  ck_assert_ptr_nonnull (to);
  skew = cf_group_map_skew (to, t, NULL);
  cf_group_map_free (from);
  cf_group_map_free (to);
  g_free (t);
  return skew;
}

/* Where a copy takes 8 ms, one change may make several copies per rank, and
 * removes the skew that otherwise takes several changes. */
START_TEST (fast_copies_remove_skew_in_one_change)
{
  const CfPlanLimits slow = cf_map_choose_limits (111, large_shape.sets);
  const CfPlanLimits quick = cf_map_choose_limits (7.6, large_shape.sets);

  for (guint32 seed = 1; seed <= 5; seed++)
    ck_assert_double_lt (skew_after_change (&quick, seed),
                         skew_after_change (&slow, seed) / 2);
}
END_TEST

/* A diff lists rows with other experts, but not rows in another order.
 * Applied to the map that a group starts with, it gives the new map. */
START_TEST (a_diff_rebuilds_the_map)
{
  const CfPlanLimits limits = { .max_set_copies = 1,
                                .max_rank_copies = 1,
                                .min_gain = 0.2,
                                .min_move_gain = 0.12 };
  CfGroupMap *from = cf_group_map_round_robin (&large_shape);
  double *t = random_demand (&large_shape, 2);
  CfGroupMap *to = cf_group_map_plan (from, t, NULL, &limits);
  GArray *rows = cf_group_map_diff (from, to);
  CfGroupMap *rebuilt = cf_group_map_round_robin (&large_shape);
  gint16 *row = cf_group_map_row (rebuilt, 4, 77);
  gint16 first = row[0];
  guint width = (guint)large_shape.places + 1;

  ck_assert_uint_le (rows->len,
                     (guint)cf_group_map_count_added (from, to) * width);
  row[0] = row[1];
  row[1] = first;
  ck_assert (cf_group_map_apply_diff (rebuilt, rows));
  g_array_unref (rows);
  rows = cf_group_map_diff (to, rebuilt);
  ck_assert_uint_eq (rows->len, 0);
  ck_assert_int_eq (cf_group_map_count_added (to, rebuilt), 0);
  g_array_unref (rows);
  cf_group_map_free (from);
  cf_group_map_free (to);
  cf_group_map_free (rebuilt);
  g_free (t);
}
END_TEST

START_TEST (rows_that_do_not_fit_are_rejected)
{
  const gint64 wrong[][4] = {
    { -1, 0, 1, 2 }, { 1920, 0, 1, 2 }, { 0, 384, 1, 2 }, { 0, 0, -2, 2 }
  };

  for (gsize i = 0; i <= G_N_ELEMENTS (wrong); i++)
    {
      CfGroupMap *m = cf_group_map_round_robin (&large_shape);
      GArray *rows = g_array_new (FALSE, FALSE, sizeof (gint64));

      /* The last case is a truncated row. */
      if (i < G_N_ELEMENTS (wrong))
        g_array_append_vals (rows, wrong[i], 4);
      else
        g_array_append_vals (rows, wrong[0] + 1, 3);
      ck_assert (!cf_group_map_apply_diff (m, rows));
      g_array_unref (rows);
      cf_group_map_free (m);
    }
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("group-map");
  TCase *t = tcase_create ("group-map");

  tcase_add_test (t, one_change_removes_most_skew);
  tcase_add_test (t, gain_limits_save_copies_at_little_skew);
  tcase_add_test (t, slow_ranks_are_relieved);
  tcase_add_test (t, small_changes_make_the_best_copies_first);
  tcase_add_test (t, no_change_without_gain);
  tcase_add_test (t, maps_stay_complete_over_many_changes);
  tcase_add_test (t, large_plans_are_made_in_short_steps);
  tcase_add_test (t, fast_copies_remove_skew_in_one_change);
  tcase_add_test (t, a_diff_rebuilds_the_map);
  tcase_add_test (t, rows_that_do_not_fit_are_rejected);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
