/* What a change of expert maps must bring to be made. */
#include "gateway/map-gain.h"
#include "harness.h"

#define USUAL 0.2
#define AIM_MS 120
#define SEEN 100

START_TEST (the_usual_where_nothing_else_is_known)
{
  ck_assert_double_eq (cf_map_gain_asked (USUAL, 0, 0, SEEN), USUAL);
  ck_assert_double_eq (cf_map_gain_asked (USUAL, 40, 0, SEEN), USUAL);
  ck_assert_double_eq (cf_map_gain_asked (USUAL, 0, AIM_MS, SEEN), USUAL);
  ck_assert_double_eq (cf_map_gain_asked (USUAL, 75, AIM_MS, SEEN), USUAL);
}
END_TEST

START_TEST (more_while_passes_are_short)
{
  ck_assert_double_gt (cf_map_gain_asked (USUAL, 40, AIM_MS, SEEN),
                       USUAL + 0.3);
  ck_assert_double_eq (cf_map_gain_asked (0.9, 40, AIM_MS, SEEN), 0.9);
}
END_TEST

START_TEST (less_while_passes_are_about_too_long)
{
  ck_assert_double_lt (cf_map_gain_asked (USUAL, 100, AIM_MS, SEEN), 0.15);
  ck_assert_double_eq (cf_map_gain_asked (0.05, 100, AIM_MS, SEEN), 0.05);
}
END_TEST

START_TEST (much_while_little_was_seen)
{
  for (gint64 pass_ms = 0; pass_ms < 200; pass_ms += 20)
    ck_assert_double_gt (cf_map_gain_asked (USUAL, pass_ms, AIM_MS, 1),
                         USUAL + 0.5);
}
END_TEST

/* As slow as 0.11 s a copy: one a rank and change, and only where it saves
 * much.  As quick as 8 ms: several, and smaller gains count. */
START_TEST (quick_copies_may_be_several)
{
  CfPlanLimits unknown = cf_map_plan_limits (0, 10);
  CfPlanLimits slow = cf_map_plan_limits (111, 4);
  CfPlanLimits quick = cf_map_plan_limits (7.6, 10);
  CfPlanLimits few_sets = cf_map_plan_limits (1, 4);

  ck_assert_int_eq (unknown.max_rank_new, 1);
  ck_assert_int_eq (slow.max_rank_new, 1);
  ck_assert_double_eq (slow.move_gain, unknown.move_gain);
  ck_assert_int_eq (quick.max_rank_new, 7);
  ck_assert_int_eq (few_sets.max_rank_new, 4);
  ck_assert_double_lt (quick.move_gain, slow.move_gain);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("map-gain");
  TCase *t = tcase_create ("map-gain");

  tcase_add_test (t, the_usual_where_nothing_else_is_known);
  tcase_add_test (t, more_while_passes_are_short);
  tcase_add_test (t, less_while_passes_are_about_too_long);
  tcase_add_test (t, much_while_little_was_seen);
  tcase_add_test (t, quick_copies_may_be_several);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
