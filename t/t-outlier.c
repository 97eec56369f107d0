/*
 * Outlier ejection: after consecutive failures, for longer each time, until a
 * success.
 */
#include "harness.h"
#include "outlier.h"

#include <check.h>

START_TEST (test_ejected_after_consecutive_failures)
{
  CfOutlier o = { 0 };

  ck_assert_int_eq (cf_outlier_record_failure (&o, 10), 0);
  ck_assert_int_eq (cf_outlier_record_failure (&o, 20), 0);
  cf_outlier_record_success (&o);
  ck_assert_int_eq (cf_outlier_record_failure (&o, 30), 0);
  ck_assert_int_eq (cf_outlier_record_failure (&o, 40), 0);
  ck_assert (!cf_outlier_is_ejected (&o, 40));
  ck_assert_int_eq (cf_outlier_record_failure (&o, 50),
                    CF_OUTLIER_BASE_EJECTION_MS);
  ck_assert (cf_outlier_is_ejected (&o, 50 + CF_OUTLIER_BASE_EJECTION_MS - 1));
  ck_assert (!cf_outlier_is_ejected (&o, 50 + CF_OUTLIER_BASE_EJECTION_MS));
}
END_TEST

START_TEST (test_consecutive_ejections_get_longer)
{
  CfOutlier o = { 0 };
  gint64 now = 0;
  gint64 last = 0;

  for (int i = 0; i < CF_OUTLIER_FAILURE_THRESHOLD; i++)
    last = cf_outlier_record_failure (&o, now);
  ck_assert_int_eq (last, CF_OUTLIER_BASE_EJECTION_MS);
  /* A failure of a request sent before the ejection changes nothing. */
  ck_assert_int_eq (cf_outlier_record_failure (&o, now + 1), 0);
  for (int i = 0; i < 10; i++)
    {
      gint64 duration_ms;

      now += last;
      duration_ms = cf_outlier_record_failure (&o, now);
      ck_assert_int_eq (duration_ms,
                        MIN (last * 2, CF_OUTLIER_MAX_EJECTION_MS));
      last = duration_ms;
    }
  now += last;
  cf_outlier_record_success (&o);
  ck_assert (!cf_outlier_is_ejected (&o, now));
  ck_assert_int_eq (cf_outlier_record_failure (&o, now), 0);
}
END_TEST

START_TEST (test_unusable_target_is_ejected_at_once)
{
  CfOutlier o = { 0 };

  ck_assert_int_eq (cf_outlier_eject (&o, 1000), CF_OUTLIER_BASE_EJECTION_MS);
  ck_assert (cf_outlier_is_ejected (&o, 1001));
  ck_assert_int_eq (cf_outlier_eject (&o, 1001), 0);
  /* Still unusable after the ejection: ejected for twice as long. */
  ck_assert_int_eq (cf_outlier_eject (&o, 1000 + CF_OUTLIER_BASE_EJECTION_MS),
                    2 * CF_OUTLIER_BASE_EJECTION_MS);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("outlier");
  TCase *tc = tcase_create ("core");

  tcase_add_test (tc, test_ejected_after_consecutive_failures);
  tcase_add_test (tc, test_unusable_target_is_ejected_at_once);
  tcase_add_test (tc, test_consecutive_ejections_get_longer);
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
