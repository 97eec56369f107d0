/* Planning expert maps: whole, bounded, better; and the figures. */
#include "gateway/map-gain.h"
#include "gateway/map-plan.h"
#include "harness.h"

#include <math.h>
#include <time.h>

static const CfGroupShape shape
    = { .sets = 4, .experts = 64, .ranks = 16, .places = 5, .spare = 2 };

/* Zipf-like demand in an order of its own for each set. */
static double *
demand (const CfGroupShape *sh, guint32 seed)
{
  GRand *rand = g_rand_new_with_seed (seed);
  double *t = g_new (double, sh->sets * sh->experts);

  for (int i = 0; i < sh->sets * sh->experts; i++)
    t[i] = pow (g_rand_int_range (rand, 1, sh->experts + 1), -0.9);
  g_rand_free (rand);
  return t;
}

static void
check_bounds (const CfGroupMap *from, const CfGroupMap *to, int max_new)
{
  ck_assert (cf_group_map_whole (to));
  for (int s = 0; s < shape.sets; s++)
    for (int r = 0; r < shape.ranks; r++)
      {
        int added = 0;

        for (int p = 0; p < shape.places; p++)
          {
            int e = cf_group_map_at (to, s, r)[p];

            added += e >= 0 && !cf_group_map_holds (from, s, r, e);
          }
        ck_assert_int_le (added, max_new);
      }
}

/* One change takes most of the skew away: before it, 3.05 at seed 1. */
START_TEST (one_change_evens_the_load)
{
  const CfPlanLimits limits = {
    .max_new = 1, .max_rank_new = 0, .min_gain = 0.02, .move_gain = 0.01
  };

  for (guint32 seed = 1; seed <= 50; seed++)
    {
      CfGroupMap *from = cf_group_map_in_turn (&shape);
      double *t = demand (&shape, seed);
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

/* Copies that save little are left out; the skew stays nearly as low. */
START_TEST (fewer_copies_nearly_as_even)
{
  const CfPlanLimits all = {
    .max_new = 1, .max_rank_new = 0, .min_gain = 0.02, .move_gain = 0.01
  };
  const CfPlanLimits few
      = { .max_new = 1, .max_rank_new = 0, .min_gain = 0.2, .move_gain = 0.12 };
  int n_all = 0;
  int n_few = 0;
  double worst = 0;

  for (guint32 seed = 1; seed <= 50; seed++)
    {
      CfGroupMap *from = cf_group_map_in_turn (&shape);
      double *t = demand (&shape, seed);
      CfGroupMap *a = cf_group_map_plan (from, t, NULL, &all);
      CfGroupMap *f = cf_group_map_plan (from, t, NULL, &few);

      n_all += cf_group_map_added (from, a);
      n_few += cf_group_map_added (from, f);
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

/* A rank that works five times as slowly is relieved of most of its part:
 * without it, the group waits for about five even parts. */
START_TEST (slow_ranks_get_little)
{
  const CfPlanLimits limits
      = { .max_new = 1, .max_rank_new = 0, .min_gain = 0.2, .move_gain = 0.12 };
  double pace[16];

  for (int r = 0; r < shape.ranks; r++)
    pace[r] = r == 3 ? 5 : 1;
  for (guint32 seed = 1; seed <= 50; seed++)
    {
      CfGroupMap *m = cf_group_map_in_turn (&shape);
      double *t = demand (&shape, seed);

      for (int i = 0; i < 4; i++)
        {
          CfGroupMap *to = cf_group_map_plan (m, t, pace, &limits);

          if (!to)
            break;
          check_bounds (m, to, 1);
          cf_group_map_free (m);
          m = to;
        }
      ck_assert_double_lt (cf_group_map_skew (m, t, pace), 1.8);
      cf_group_map_free (m);
      g_free (t);
    }
}
END_TEST

static int
most_copies_of_a_rank (const CfGroupMap *from, const CfGroupMap *to)
{
  int most = 0;

  for (int r = 0; r < shape.ranks; r++)
    {
      int n = 0;

      for (int s = 0; s < shape.sets; s++)
        for (int p = 0; p < shape.places; p++)
          {
            int e = cf_group_map_at (to, s, r)[p];

            n += e >= 0 && !cf_group_map_holds (from, s, r, e);
          }
      most = MAX (most, n);
    }
  return most;
}

/* One copy a rank over all sets is made in a quarter of the time that one a
 * rank and set takes.  Best moves first, the mean skew of 50 demands falls
 * from 2.96 to 1.52 by the first such change and to 1.25 by the second. */
START_TEST (quick_changes_copy_what_counts_most)
{
  const CfPlanLimits limits = {
    .max_new = 1, .max_rank_new = 1, .min_gain = 0.02, .move_gain = 0.01
  };
  double skew[3] = { 0 };

  for (guint32 seed = 1; seed <= 50; seed++)
    {
      CfGroupMap *m = cf_group_map_in_turn (&shape);
      double *t = demand (&shape, seed);

      skew[0] += cf_group_map_skew (m, t, NULL) / 50;
      for (int i = 1; i < 3; i++)
        {
          CfGroupMap *to = cf_group_map_plan (m, t, NULL, &limits);

          ck_assert_ptr_nonnull (to);
          ck_assert_int_le (most_copies_of_a_rank (m, to), 1);
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

START_TEST (nothing_is_done_without_gain)
{
  const CfPlanLimits limits = {
    .max_new = 2, .max_rank_new = 0, .min_gain = 0.05, .move_gain = 0.01
  };
  CfGroupMap *from = cf_group_map_in_turn (&shape);
  double *t = g_new (double, shape.sets *shape.experts);

  for (int i = 0; i < shape.sets * shape.experts; i++)
    t[i] = 1;
  ck_assert_ptr_null (cf_group_map_plan (from, t, NULL, &limits));
  for (int i = 0; i < shape.sets * shape.experts; i++)
    t[i] = 0;
  ck_assert_ptr_null (cf_group_map_plan (from, t, NULL, &limits));
  cf_group_map_free (from);
  g_free (t);
}
END_TEST

/* Change after change under random demand, maps stay whole and bounded. */
START_TEST (many_changes_stay_whole)
{
  const CfPlanLimits limits = {
    .max_new = 2, .max_rank_new = 0, .min_gain = 0.05, .move_gain = 0.02
  };
  CfGroupMap *m = cf_group_map_in_turn (&shape);

  for (guint32 seed = 1; seed <= 200; seed++)
    {
      double *t = demand (&shape, seed);
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

static const CfGroupShape large
    = { .sets = 10, .experts = 384, .ranks = 192, .places = 3, .spare = 2 };

static double
processor_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &t);
  return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

/*
 * In a group of 192 ranks no map was ever changed.  A plan took 80 to 120 ms
 * of processor in one go, half a second of a VM with a fifth of a core, in
 * the thread that serves callers; then the leader found that it had stood
 * still, settled for seconds and planned anew.  A plan is made in parts, and
 * takes a tenth of that as a whole.  The quickest of three is what counts, so
 * that other load on the machine does not.
 */
START_TEST (a_plan_for_a_large_group_is_made_in_parts)
{
  const CfPlanLimits limits
      = { .max_new = 1, .max_rank_new = 1, .min_gain = 0.2, .move_gain = 0.12 };
  CfGroupMap *from = cf_group_map_in_turn (&large);
  double whole_ms = G_MAXDOUBLE;
  double part_ms = G_MAXDOUBLE;
  double *t = demand (&large, 1);

  for (int i = 0; i < 3; i++)
    {
      CfMapPlan *p = cf_map_plan_new (from, t, NULL, &limits);
      double begun = processor_ms ();
      double longest = 0;
      double part = begun;
      CfGroupMap *m;

      while (!cf_map_plan_step (p, 24))
        {
          longest = MAX (longest, processor_ms () - part);
          part = processor_ms ();
        }
      whole_ms = MIN (whole_ms, processor_ms () - begun);
      part_ms = MIN (part_ms, longest);
      ck_assert_double_lt (cf_map_plan_skew_after (p),
                           cf_map_plan_skew_before (p) / 2);
      m = cf_map_plan_end (p);
      ck_assert_ptr_nonnull (m);
      cf_group_map_free (m);
    }
  ck_assert_double_lt (part_ms, 5);
  ck_assert_double_lt (whole_ms, 40);
  cf_group_map_free (from);
  g_free (t);
}
END_TEST

static double
skew_after_one_change (const CfPlanLimits *limits, guint32 seed)
{
  CfGroupMap *from = cf_group_map_in_turn (&large);
  double *t = demand (&large, seed);
  CfGroupMap *to = cf_group_map_plan (from, t, NULL, limits);
  double skew;

  ck_assert_ptr_nonnull (to);
  skew = cf_group_map_skew (to, t, NULL);
  cf_group_map_free (from);
  cf_group_map_free (to);
  g_free (t);
  return skew;
}

/* Where a copy takes 8 ms, one change does what several of one copy a rank
 * would. */
START_TEST (quick_copies_even_the_load_at_once)
{
  const CfPlanLimits slow = cf_map_plan_limits (111, large.sets);
  const CfPlanLimits quick = cf_map_plan_limits (7.6, large.sets);

  for (guint32 seed = 1; seed <= 5; seed++)
    ck_assert_double_lt (skew_after_one_change (&quick, seed),
                         skew_after_one_change (&slow, seed) / 2);
}
END_TEST

/* Rows of other experts are told, rows in another order are not; with them
 * the next map comes of the one before, and of what a group begins with. */
START_TEST (a_map_is_told_by_what_changes)
{
  const CfPlanLimits limits
      = { .max_new = 1, .max_rank_new = 1, .min_gain = 0.2, .move_gain = 0.12 };
  CfGroupMap *from = cf_group_map_in_turn (&large);
  double *t = demand (&large, 2);
  CfGroupMap *to = cf_group_map_plan (from, t, NULL, &limits);
  GArray *rows = cf_group_map_rows (from, to);
  CfGroupMap *made = cf_group_map_in_turn (&large);
  gint16 *row = cf_group_map_at (made, 4, 77);
  gint16 first = row[0];
  guint width = (guint)large.places + 1;

  ck_assert_uint_le (rows->len, (guint)cf_group_map_added (from, to) * width);
  row[0] = row[1];
  row[1] = first;
  ck_assert (cf_group_map_apply (made, rows));
  g_array_unref (rows);
  rows = cf_group_map_rows (to, made);
  ck_assert_uint_eq (rows->len, 0);
  ck_assert_int_eq (cf_group_map_added (to, made), 0);
  g_array_unref (rows);
  cf_group_map_free (from);
  cf_group_map_free (to);
  cf_group_map_free (made);
  g_free (t);
}
END_TEST

START_TEST (rows_that_do_not_fit_are_refused)
{
  const gint64 wrong[][4] = {
    { -1, 0, 1, 2 }, { 1920, 0, 1, 2 }, { 0, 384, 1, 2 }, { 0, 0, -2, 2 }
  };

  for (gsize i = 0; i <= G_N_ELEMENTS (wrong); i++)
    {
      CfGroupMap *m = cf_group_map_in_turn (&large);
      GArray *rows = g_array_new (FALSE, FALSE, sizeof (gint64));

      /* The last of all is cut short. */
      if (i < G_N_ELEMENTS (wrong))
        g_array_append_vals (rows, wrong[i], 4);
      else
        g_array_append_vals (rows, wrong[0] + 1, 3);
      ck_assert (!cf_group_map_apply (m, rows));
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

  tcase_add_test (t, one_change_evens_the_load);
  tcase_add_test (t, fewer_copies_nearly_as_even);
  tcase_add_test (t, slow_ranks_get_little);
  tcase_add_test (t, quick_changes_copy_what_counts_most);
  tcase_add_test (t, nothing_is_done_without_gain);
  tcase_add_test (t, many_changes_stay_whole);
  tcase_add_test (t, a_plan_for_a_large_group_is_made_in_parts);
  tcase_add_test (t, quick_copies_even_the_load_at_once);
  tcase_add_test (t, a_map_is_told_by_what_changes);
  tcase_add_test (t, rows_that_do_not_fit_are_refused);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
