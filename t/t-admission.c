/*
 * Admission: the limit by priority, and the reserve that keeps large
 * organisations from locking out small ones.
 */
#include "admission.h"
#include "harness.h"

#include <check.h>

/* Submits @n requests of @org; returns how many were admitted. */
static int
admit (CfAdmission *a, const char *org, gint64 priority, int n)
{
  int admitted = 0;

  for (int i = 0; i < n; i++)
    admitted += cf_admission_acquire (a, org, priority) == CF_ADMIT_OK;
  return admitted;
}

START_TEST (test_low_priority_stops_at_its_limit)
{
  CfAdmission a;

  cf_admission_init (&a, 100, 80, 0);
  ck_assert_int_eq (admit (&a, "o", 4, 200), 80);
  ck_assert_int_eq (cf_admission_acquire (&a, "o", 4), CF_ADMIT_FULL);
  ck_assert_int_eq (admit (&a, "o", 5, 200), 20);
  ck_assert_int_eq (cf_admission_acquire (&a, "o", 9), CF_ADMIT_FULL);
  cf_admission_release (&a, "o");
  ck_assert_int_eq (cf_admission_in_progress (&a), 99);
  ck_assert_int_eq (cf_admission_acquire (&a, "o", 9), CF_ADMIT_OK);
  cf_admission_clear (&a);
}
END_TEST

START_TEST (test_large_org_cannot_lock_out_small_org)
{
  CfAdmission a;

  cf_admission_init (&a, 100, 100, 10);
  /* An organisation alone may use the whole limit: no capacity is idle. */
  ck_assert_int_eq (admit (&a, "large", 5, 200), 100);
  for (int i = 0; i < 100; i++)
    cf_admission_release (&a, "large");
  ck_assert_int_eq (cf_admission_in_progress (&a), 0);

  /* Next to another one it stops at the reserve, which the small one may
   * use. */
  ck_assert_int_eq (admit (&a, "small", 5, 1), 1);
  ck_assert_int_eq (admit (&a, "large", 5, 200), 89);
  ck_assert_int_eq (cf_admission_acquire (&a, "large", 5), CF_ADMIT_FAIR_SHARE);
  ck_assert_int_eq (admit (&a, "small", 5, 20), 10);
  ck_assert_int_eq (cf_admission_acquire (&a, "small", 5), CF_ADMIT_FULL);
  cf_admission_clear (&a);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("admission");
  TCase *tc = tcase_create ("core");

  tcase_add_test (tc, test_low_priority_stops_at_its_limit);
  tcase_add_test (tc, test_large_org_cannot_lock_out_small_org);
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
