/*
 * The retry budget: retries stay within their share of the requests, with some
 * slack for processes that get few requests.
 */
#include "harness.h"
#include "retry-budget.h"

#include <check.h>

START_TEST (test_retries_stay_within_share_of_requests)
{
  CfRetryBudget b;
  int taken = 0;

  cf_retry_budget_init (&b, 20, 5);
  /* Every request fails and asks for two retries. */
  for (int i = 0; i < 1000; i++)
    {
      cf_retry_budget_add_request (&b);
      taken += cf_retry_budget_take (&b);
      taken += cf_retry_budget_take (&b);
    }
  ck_assert_int_ge (taken, 195);
  ck_assert_int_le (taken, 205);
  /* Requests without retries save up no more than the slack. */
  for (int i = 0; i < 1000; i++)
    cf_retry_budget_add_request (&b);
  for (taken = 0; cf_retry_budget_take (&b);)
    taken++;
  ck_assert_int_eq (taken, 5);
  cf_retry_budget_clear (&b);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("retry-budget");
  TCase *tc = tcase_create ("core");

  tcase_add_test (tc, test_retries_stay_within_share_of_requests);
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
