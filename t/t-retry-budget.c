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

/* Guards against tests of full targets that use up the retries which other
 * failures need. */
START_TEST (test_surplus_leaves_half_of_slack)
{
  CfRetryBudget b;
  int taken = 0;

  cf_retry_budget_init (&b, 20, 8);
  while (cf_retry_budget_has_surplus (&b))
    taken += cf_retry_budget_take (&b);
  ck_assert_int_eq (taken, 5);
  cf_retry_budget_set_slack (&b, 1);
  while (cf_retry_budget_take (&b))
    ;
  ck_assert (!cf_retry_budget_has_surplus (&b));
  cf_retry_budget_clear (&b);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("retry-budget");
  TCase *tc = tcase_create ("core");

  tcase_add_test (tc, test_retries_stay_within_share_of_requests);
  tcase_add_test (tc, test_surplus_leaves_half_of_slack);
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
