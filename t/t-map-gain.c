/* Checks the skew that a change of expert maps must remove, and the limits on
 * its copies. */
#include "gateway/map-gain.h"
#include "harness.h"

#define DEFAULT_GAIN 0.2
#define AIM_MS 120
#define WINDOWS 100

START_TEST (default_gain_where_nothing_else_is_known)
{
  ck_assert_double_eq (cf_map_required_gain (DEFAULT_GAIN, 0, 0, WINDOWS),
                       DEFAULT_GAIN);
  ck_assert_double_eq (cf_map_required_gain (DEFAULT_GAIN, 40, 0, WINDOWS),
                       DEFAULT_GAIN);
  ck_assert_double_eq (cf_map_required_gain (DEFAULT_GAIN, 0, AIM_MS, WINDOWS),
                       DEFAULT_GAIN);
  ck_assert_double_eq (cf_map_required_gain (DEFAULT_GAIN, 75, AIM_MS, WINDOWS),
                       DEFAULT_GAIN);
}
END_TEST

START_TEST (higher_gain_while_passes_are_short)
{
  ck_assert_double_gt (cf_map_required_gain (DEFAULT_GAIN, 40, AIM_MS, WINDOWS),
                       DEFAULT_GAIN + 0.3);
  ck_assert_double_eq (cf_map_required_gain (0.9, 40, AIM_MS, WINDOWS), 0.9);
}
END_TEST

START_TEST (lower_gain_while_passes_are_almost_too_long)
{
  ck_assert_double_lt (
      cf_map_required_gain (DEFAULT_GAIN, 100, AIM_MS, WINDOWS), 0.15);
  ck_assert_double_eq (cf_map_required_gain (0.05, 100, AIM_MS, WINDOWS), 0.05);
}
END_TEST

START_TEST (high_gain_while_few_windows_were_counted)
{
  for (gint64 pass_ms = 0; pass_ms < 200; pass_ms += 20)
    ck_assert_double_gt (
        cf_map_required_gain (DEFAULT_GAIN, pass_ms, AIM_MS, 1),
        DEFAULT_GAIN + 0.5);
}
END_TEST

/* With slow copies (0.11 s each) a rank makes one per change, and only for a
 * large gain; with quick ones (8 ms) it makes several, also for smaller
 * gains. */
START_TEST (a_rank_may_make_several_quick_copies)
{
  CfPlanLimits unknown = cf_map_choose_limits (0, 10);
  CfPlanLimits slow = cf_map_choose_limits (111, 4);
  CfPlanLimits quick = cf_map_choose_limits (7.6, 10);
  CfPlanLimits few_sets = cf_map_choose_limits (1, 4);

  ck_assert_int_eq (unknown.max_rank_copies, 1);
  ck_assert_int_eq (slow.max_rank_copies, 1);
  ck_assert_double_eq (slow.min_move_gain, unknown.min_move_gain);
  ck_assert_int_eq (quick.max_rank_copies, 7);
  ck_assert_int_eq (few_sets.max_rank_copies, 4);
  ck_assert_double_lt (quick.min_move_gain, slow.min_move_gain);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("map-gain");
  TCase *t = tcase_create ("map-gain");

  tcase_add_test (t, default_gain_where_nothing_else_is_known);
  tcase_add_test (t, higher_gain_while_passes_are_short);
  tcase_add_test (t, lower_gain_while_passes_are_almost_too_long);
  tcase_add_test (t, high_gain_while_few_windows_were_counted);
  tcase_add_test (t, a_rank_may_make_several_quick_copies);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
