/* Checks when an order counts as lost, and when orders bypass the agent. */
#include "gateway/order-watch.h"
#include "harness.h"

/* The leader sends an order again before the first one times out.  While only
 * the newest one was checked, none ever counted as lost, and an order to hold
 * was sent eleven times through an agent that was frozen. */
START_TEST (an_order_that_is_sent_again_counts_as_lost)
{
  CfOrderWatch w = { 0 };

  cf_order_watch_note_sent (&w, 1, 1000);
  ck_assert (!cf_order_watch_is_agent_bypassed (&w));
  cf_order_watch_note_sent (&w, 2, 1120);
  ck_assert (cf_order_watch_is_agent_bypassed (&w));
  /* An answer to the first is no answer to the second. */
  ck_assert (!cf_order_watch_note_answer (&w, 1));
  ck_assert (cf_order_watch_is_agent_bypassed (&w));
  ck_assert (cf_order_watch_note_answer (&w, 2));
  ck_assert (!cf_order_watch_is_agent_bypassed (&w));
}
END_TEST

START_TEST (an_order_times_out_once)
{
  CfOrderWatch w = { 0 };

  cf_order_watch_note_sent (&w, 1, 1000);
  ck_assert (!cf_order_watch_check_expiry (&w, 1130));
  ck_assert (cf_order_watch_check_expiry (&w, 1131));
  ck_assert (!cf_order_watch_check_expiry (&w, 2000));
  ck_assert (cf_order_watch_is_agent_bypassed (&w));
  cf_order_watch_note_status (&w);
  ck_assert (!cf_order_watch_is_agent_bypassed (&w));
}
END_TEST

START_TEST (a_hold_and_its_release_bypass_the_agent)
{
  CfOrderWatch w = { 0 };

  ck_assert (cf_order_watch_is_sent_direct (&w, CF_ORDER_HOLD));
  ck_assert (cf_order_watch_is_sent_direct (&w, CF_ORDER_RELEASE));
  ck_assert (!cf_order_watch_is_sent_direct (&w, CF_ORDER_PREPARE));
  ck_assert (!cf_order_watch_is_sent_direct (&w, CF_ORDER_ARM));
  ck_assert (!cf_order_watch_is_sent_direct (&w, CF_ORDER_DISARM));
  /* An agent that lost an order is bypassed. */
  cf_order_watch_note_sent (&w, 1, 1000);
  ck_assert (cf_order_watch_check_expiry (&w, 1200));
  ck_assert (cf_order_watch_is_sent_direct (&w, CF_ORDER_ARM));
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("order-watch");
  TCase *t = tcase_create ("order-watch");

  tcase_add_test (t, an_order_that_is_sent_again_counts_as_lost);
  tcase_add_test (t, an_order_times_out_once);
  tcase_add_test (t, a_hold_and_its_release_bypass_the_agent);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
