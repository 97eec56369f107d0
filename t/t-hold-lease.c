/* Checks when a standby takes over from a silent leader that holds a pass. */
#include "gateway/hold-lease.h"
#include "harness.h"

START_TEST (a_lease_expires_once_its_leader_is_silent)
{
  CfHoldLease l = { 0 };

  ck_assert (!cf_hold_lease_has_expired (&l, 0, 100000));
  cf_hold_lease_renew (&l, 16, TRUE, 1000);
  ck_assert (!cf_hold_lease_has_expired (&l, 0, 1000 + CF_HOLD_LEASE_RENEW_MS));
  ck_assert (!cf_hold_lease_has_expired (&l, 0, 1200));
  ck_assert (cf_hold_lease_has_expired (&l, 0, 1300));
  /* The second standby waits for the first one to take over. */
  ck_assert (!cf_hold_lease_has_expired (&l, 1, 1300));
  ck_assert (cf_hold_lease_has_expired (&l, 1, 1600));
  cf_hold_lease_renew (&l, 16, TRUE, 1300);
  ck_assert (!cf_hold_lease_has_expired (&l, 0, 1500));
}
END_TEST

START_TEST (a_hold_that_ended_needs_no_successor)
{
  CfHoldLease l = { 0 };

  cf_hold_lease_renew (&l, 16, TRUE, 1000);
  cf_hold_lease_renew (&l, 16, FALSE, 1060);
  ck_assert (!cf_hold_lease_has_expired (&l, 0, 5000));
}
END_TEST

START_TEST (a_leader_that_was_succeeded_is_ignored)
{
  CfHoldLease l = { 0 };

  cf_hold_lease_renew (&l, 16, TRUE, 1000);
  cf_hold_lease_renew (&l, 25, TRUE, 1300);
  /* Sent before the leader froze, received after its successor's lease. */
  cf_hold_lease_renew (&l, 16, FALSE, 1310);
  ck_assert (cf_hold_lease_has_expired (&l, 0, 1600));
  cf_hold_lease_renew (&l, 25, FALSE, 1600);
  cf_hold_lease_renew (&l, 16, TRUE, 1610);
  ck_assert (!cf_hold_lease_has_expired (&l, 0, 2000));
}
END_TEST

/* After all gateways were killed, fencing tokens start from the lowest again.
 */
START_TEST (an_old_higher_token_does_not_hide_a_new_leader)
{
  CfHoldLease l = { 0 };

  cf_hold_lease_renew (&l, 800, FALSE, 1000);
  cf_hold_lease_renew (&l, 8, TRUE, 60000);
  ck_assert (cf_hold_lease_has_expired (&l, 0, 60400));
  ck_assert (cf_hold_lease_is_active (&l, 60400));
  /* A lease this old no longer tells whether a pass is held. */
  ck_assert (!cf_hold_lease_has_expired (&l, 0, 600000));
  ck_assert (!cf_hold_lease_is_active (&l, 600000));
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("hold-lease");
  TCase *t = tcase_create ("hold-lease");

  tcase_add_test (t, a_lease_expires_once_its_leader_is_silent);
  tcase_add_test (t, a_hold_that_ended_needs_no_successor);
  tcase_add_test (t, a_leader_that_was_succeeded_is_ignored);
  tcase_add_test (t, an_old_higher_token_does_not_hide_a_new_leader);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
