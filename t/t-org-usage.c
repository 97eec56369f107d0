/*
 * Counts of requests by organisation.
 */
#include "gateway/org-usage.h"
#include "harness.h"

/* Guards against requests of one organisation being charged to another. */
START_TEST (requests_are_counted_by_organisation)
{
  CfOrgUsage u = { 0 };

  ck_assert_uint_eq (cf_org_usage_in_flight (&u, 1), 0);
  cf_org_usage_add (&u, 1, 0, 2);
  cf_org_usage_add (&u, 1, 1, -1);
  cf_org_usage_add (&u, 2, 3, 0);
  ck_assert_uint_eq (cf_org_usage_in_flight (&u, 1), 1);
  ck_assert_uint_eq (cf_org_usage_waiting (&u, 1), 1);
  ck_assert_uint_eq (cf_org_usage_in_flight (&u, 2), 3);
  ck_assert_uint_eq (cf_org_usage_waiting (&u, 2), 0);
  ck_assert_uint_eq (cf_org_usage_size (&u), 2);
  cf_org_usage_clear (&u);
  ck_assert_uint_eq (cf_org_usage_size (&u), 0);
}
END_TEST

/* Guards against names that callers make up filling the memory, and against a
 * count that goes below 0 and seems to be huge. */
START_TEST (organisations_without_requests_are_dropped)
{
  CfOrgUsage u = { 0 };

  for (guint32 org = 1; org <= 10000; org++)
    {
      cf_org_usage_add (&u, org, 1, 1);
      cf_org_usage_add (&u, org, -1, -1);
    }
  ck_assert_uint_eq (cf_org_usage_size (&u), 0);
  cf_org_usage_add (&u, 1, -1, 1);
  ck_assert_uint_eq (cf_org_usage_in_flight (&u, 1), 0);
  ck_assert_uint_eq (cf_org_usage_size (&u), 1);
  cf_org_usage_clear (&u);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("org-usage");
  TCase *t = tcase_create ("org-usage");

  tcase_add_test (t, requests_are_counted_by_organisation);
  tcase_add_test (t, organisations_without_requests_are_dropped);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
