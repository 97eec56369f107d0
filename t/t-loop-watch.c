/* How long turns of the event loop take, and in what. */
#include "gateway/loop-watch.h"
#include "harness.h"

#define MS 1000

START_TEST (turns_are_counted)
{
  CfLoopWatch w = { 0 };
  CfHistogram h = { 0 };

  /* No turn was begun: the loop's first wait. */
  cf_loop_watch_end (&w, 5 * MS, &h);
  ck_assert_uint_eq (h.n, 0);
  cf_loop_watch_begin (&w, 10 * MS);
  cf_loop_watch_end (&w, 13 * MS, &h);
  cf_loop_watch_begin (&w, 500 * MS);
  cf_loop_watch_end (&w, 501 * MS, &h);
  ck_assert_uint_eq (h.n, 2);
  ck_assert_double_eq (h.sum_ms, 4);
  ck_assert_int_eq (w.longest_ms, 3);
  ck_assert_int_eq (w.logged_us, 0);
}
END_TEST

START_TEST (a_long_turn_is_logged_with_its_longest_part)
{
  CfLoopWatch w = { 0 };
  CfHistogram h = { 0 };
  CfTurnPart before;

  cf_loop_watch_begin (&w, 1000 * MS);
  before = cf_loop_watch_enter (&w, CF_TURN_LEADING, 1002 * MS);
  ck_assert_int_eq (before, CF_TURN_CALLERS);
  ck_assert_int_eq (cf_loop_watch_enter (&w, before, 1030 * MS),
                    CF_TURN_LEADING);
  cf_loop_watch_end (&w, 1031 * MS, &h);
  ck_assert_int_eq (w.spent_us[CF_TURN_LEADING], 28 * MS);
  ck_assert_int_eq (w.spent_us[CF_TURN_CALLERS], 3 * MS);
  ck_assert_int_eq (w.logged_us, 1031 * MS);
  /* Others within a second are told of by the next line. */
  for (int i = 0; i < 3; i++)
    {
      cf_loop_watch_begin (&w, (1100 + i * 100) * MS);
      cf_loop_watch_end (&w, (1150 + i * 100) * MS, &h);
    }
  ck_assert_uint_eq (w.n_unlogged, 3);
  cf_loop_watch_begin (&w, 2100 * MS);
  cf_loop_watch_end (&w, 2150 * MS, &h);
  ck_assert_uint_eq (w.n_unlogged, 0);
  ck_assert_int_eq (w.logged_us, 2150 * MS);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("loop-watch");
  TCase *t = tcase_create ("loop-watch");

  tcase_add_test (t, turns_are_counted);
  tcase_add_test (t, a_long_turn_is_logged_with_its_longest_part);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
