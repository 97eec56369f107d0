/*
 * The retry budget: retries stay within their share of the requests, with some
 * slack for processes that get few requests.  The record of what it allowed.
 */
#include "gateway/retry-record.h"
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

/* Guards against retries that wait in a queue while their tokens are earned
 * again, so that more are sent at once than the capacity allows. */
START_TEST (test_held_tokens_take_up_capacity)
{
  CfRetryBudget b;
  int held = 0;

  cf_retry_budget_init (&b, 100, 5);
  for (int i = 0; i < 100; i++)
    {
      cf_retry_budget_add_request (&b);
      held += cf_retry_budget_hold (&b);
    }
  ck_assert_int_eq (held, 5);
  cf_retry_budget_release (&b);
  ck_assert (cf_retry_budget_hold (&b));
  cf_retry_budget_spend (&b);
  cf_retry_budget_add_request (&b);
  ck_assert (cf_retry_budget_hold (&b));
  ck_assert (!cf_retry_budget_has_token (&b));
  cf_retry_budget_clear (&b);
}
END_TEST

/* Guards against a grant that, with tokens spent just before, exceeds what a
 * full bucket would have allowed. */
START_TEST (test_grants_count_what_was_held_before)
{
  CfRetryBudget b;

  cf_retry_budget_init_empty (&b, 100, 10);
  ck_assert (!cf_retry_budget_take (&b));
  ck_assert_double_eq (cf_retry_budget_grant (&b, 4, 10), 4);
  while (cf_retry_budget_take (&b))
    ;
  cf_retry_budget_add_request (&b);
  ck_assert (cf_retry_budget_take (&b));
  ck_assert_double_eq (cf_retry_budget_grant (&b, 10, 10), 6);
  ck_assert_double_eq (cf_retry_budget_grant (&b, 10, 10), 0);
  cf_retry_budget_clear (&b);
}
END_TEST

START_TEST (test_reserved_tokens_are_not_spent)
{
  CfRetryBudget b;
  int taken = 0;

  cf_retry_budget_init (&b, 0, 8);
  cf_retry_budget_set_reserve (&b, 5);
  while (cf_retry_budget_take (&b) || cf_retry_budget_hold (&b))
    taken++;
  ck_assert_int_eq (taken, 3);
  ck_assert (!cf_retry_budget_has_surplus (&b));
  cf_retry_budget_set_reserve (&b, 4);
  ck_assert (cf_retry_budget_has_surplus (&b));
  cf_retry_budget_clear (&b);
}
END_TEST

/* Guards against a log without the retries of a window, or with a line for
 * each quiet one. */
START_TEST (test_only_windows_with_retries_are_reported)
{
  CfRetryRecord r = { 0 };
  CfRetryCounts c;

  ck_assert (!cf_retry_record_end_window (&r, 10000, 1000, &c));
  cf_retry_record_add_first (&r);
  cf_retry_record_add_first (&r);
  cf_retry_record_add_repeat (&r, CF_RETRY_CAUSE_SILENT);
  cf_retry_record_add_denied (&r);
  cf_retry_record_remove_first (&r);
  ck_assert (!cf_retry_record_end_window (&r, 10000, 10999, &c));
  ck_assert (cf_retry_record_end_window (&r, 10000, 11000, &c));
  ck_assert_uint_eq (c.first, 1);
  ck_assert_uint_eq (cf_retry_counts_repeats (&c), 1);
  ck_assert_uint_eq (c.repeats[CF_RETRY_CAUSE_SILENT], 1);
  ck_assert_uint_eq (c.denied, 1);
  cf_retry_record_add_first (&r);
  ck_assert (!cf_retry_record_end_window (&r, 10000, 21000, &c));
  /* An attempt of an earlier window turns out not to have been sent. */
  cf_retry_record_remove_repeat (&r, CF_RETRY_CAUSE_SILENT);
  ck_assert_uint_eq (r.window.repeats[CF_RETRY_CAUSE_SILENT], 0);
  ck_assert_uint_eq (r.total.repeats[CF_RETRY_CAUSE_SILENT], 0);
  ck_assert_uint_eq (r.total.first, 2);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("retry-budget");
  TCase *tc = tcase_create ("core");

  tcase_add_test (tc, test_retries_stay_within_share_of_requests);
  tcase_add_test (tc, test_surplus_leaves_half_of_slack);
  tcase_add_test (tc, test_held_tokens_take_up_capacity);
  tcase_add_test (tc, test_grants_count_what_was_held_before);
  tcase_add_test (tc, test_reserved_tokens_are_not_spent);
  tcase_add_test (tc, test_only_windows_with_retries_are_reported);
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
