/*
 * Outlier ejection: after failures in a row, for longer each time, until a
 * success.
 */
#include "harness.h"
#include "outlier.h"

#include <check.h>

START_TEST (test_ejected_after_failures_in_a_row)
{
  CfOutlier o = { 0 };

  ck_assert_int_eq (cf_outlier_failure (&o, 10), 0);
  ck_assert_int_eq (cf_outlier_failure (&o, 20), 0);
  cf_outlier_success (&o);
  ck_assert_int_eq (cf_outlier_failure (&o, 30), 0);
  ck_assert_int_eq (cf_outlier_failure (&o, 40), 0);
  ck_assert (!cf_outlier_ejected (&o, 40));
  ck_assert_int_eq (cf_outlier_failure (&o, 50), CF_OUTLIER_BASE_MS);
  ck_assert (cf_outlier_ejected (&o, 50 + CF_OUTLIER_BASE_MS - 1));
  ck_assert (!cf_outlier_ejected (&o, 50 + CF_OUTLIER_BASE_MS));
}
END_TEST

START_TEST (test_each_ejection_in_a_row_is_longer)
{
  CfOutlier o = { 0 };
  gint64 now = 0;
  gint64 last = 0;

  for (int i = 0; i < CF_OUTLIER_FAILURES; i++)
    last = cf_outlier_failure (&o, now);
  ck_assert_int_eq (last, CF_OUTLIER_BASE_MS);
  /* A failure of a request sent before the ejection changes nothing. */
  ck_assert_int_eq (cf_outlier_failure (&o, now + 1), 0);
  for (int i = 0; i < 10; i++)
    {
      gint64 ms;

      now += last;
      ms = cf_outlier_failure (&o, now);
      ck_assert_int_eq (ms, MIN (last * 2, CF_OUTLIER_MAX_MS));
      last = ms;
    }
  now += last;
  cf_outlier_success (&o);
  ck_assert (!cf_outlier_ejected (&o, now));
  ck_assert_int_eq (cf_outlier_failure (&o, now), 0);
}
END_TEST

START_TEST (test_ejected_at_once_when_known_to_be_of_no_use)
{
  CfOutlier o = { 0 };

  ck_assert_int_eq (cf_outlier_eject (&o, 1000), CF_OUTLIER_BASE_MS);
  ck_assert (cf_outlier_ejected (&o, 1001));
  ck_assert_int_eq (cf_outlier_eject (&o, 1001), 0);
  /* Still of no use when it is tried again: for twice as long. */
  ck_assert_int_eq (cf_outlier_eject (&o, 1000 + CF_OUTLIER_BASE_MS),
                    2 * CF_OUTLIER_BASE_MS);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("outlier");
  TCase *tc = tcase_create ("core");

  tcase_add_test (tc, test_ejected_after_failures_in_a_row);
  tcase_add_test (tc, test_ejected_at_once_when_known_to_be_of_no_use);
  tcase_add_test (tc, test_each_ejection_in_a_row_is_longer);
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
