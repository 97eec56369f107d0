/* Measuring event loop iterations and the activities they consist of. */
#include "gateway/loop-watch.h"
#include "harness.h"

#define US_PER_MS 1000

START_TEST (iterations_are_counted)
{
  CfLoopWatch w = { 0 };
  CfHistogram h = { 0 };

  /* No iteration was begun: the loop is about to wait for the first time. */
  cf_loop_watch_end (&w, 5 * US_PER_MS, &h);
  ck_assert_uint_eq (h.n, 0);
  cf_loop_watch_begin (&w, 10 * US_PER_MS);
  cf_loop_watch_end (&w, 13 * US_PER_MS, &h);
  cf_loop_watch_begin (&w, 500 * US_PER_MS);
  cf_loop_watch_end (&w, 501 * US_PER_MS, &h);
  ck_assert_uint_eq (h.n, 2);
  ck_assert_double_eq (h.sum_ms, 4);
  ck_assert_int_eq (w.longest_ms, 3);
  ck_assert_int_eq (w.logged_us, 0);
}
END_TEST

START_TEST (a_long_iteration_is_logged_with_its_longest_activity)
{
  CfLoopWatch w = { 0 };
  CfHistogram h = { 0 };
  CfLoopActivity previous;

  cf_loop_watch_begin (&w, 1000 * US_PER_MS);
  previous = cf_loop_watch_enter (&w, CF_LOOP_LEADING, 1002 * US_PER_MS);
  ck_assert_int_eq (previous, CF_LOOP_CALLERS);
  ck_assert_int_eq (cf_loop_watch_enter (&w, previous, 1030 * US_PER_MS),
                    CF_LOOP_LEADING);
  cf_loop_watch_end (&w, 1031 * US_PER_MS, &h);
  ck_assert_int_eq (w.spent_us[CF_LOOP_LEADING], 28 * US_PER_MS);
  ck_assert_int_eq (w.spent_us[CF_LOOP_CALLERS], 3 * US_PER_MS);
  ck_assert_int_eq (w.logged_us, 1031 * US_PER_MS);
  /* Long iterations within a second of it are counted in the next line. */
  for (int i = 0; i < 3; i++)
    {
      cf_loop_watch_begin (&w, (1100 + i * 100) * US_PER_MS);
      cf_loop_watch_end (&w, (1150 + i * 100) * US_PER_MS, &h);
    }
  ck_assert_uint_eq (w.n_unlogged, 3);
  cf_loop_watch_begin (&w, 2100 * US_PER_MS);
  cf_loop_watch_end (&w, 2150 * US_PER_MS, &h);
  ck_assert_uint_eq (w.n_unlogged, 0);
  ck_assert_int_eq (w.logged_us, 2150 * US_PER_MS);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("loop-watch");
  TCase *t = tcase_create ("loop-watch");

  tcase_add_test (t, iterations_are_counted);
  tcase_add_test (t, a_long_iteration_is_logged_with_its_longest_activity);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
