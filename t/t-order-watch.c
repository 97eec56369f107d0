/* Agents that lose orders, and when orders go past them. */
#include "gateway/order-watch.h"
#include "harness.h"

/* The leader gives an order again before the first counts as lost; with only
 * the newest watched, none ever did, and a hold whose agent stood still was
 * asked for eleven times through that agent. */
START_TEST (an_order_given_again_is_lost)
{
  CfOrderWatch w = { 0 };

  cf_order_watch_sent (&w, 1, 1000);
  ck_assert (!cf_order_watch_is_passed_by (&w));
  cf_order_watch_sent (&w, 2, 1120);
  ck_assert (cf_order_watch_is_passed_by (&w));
  /* An answer to the first is no answer to the second. */
  ck_assert (!cf_order_watch_answered (&w, 1));
  ck_assert (cf_order_watch_is_passed_by (&w));
  ck_assert (cf_order_watch_answered (&w, 2));
  ck_assert (!cf_order_watch_is_passed_by (&w));
}
END_TEST

START_TEST (an_order_expires_once)
{
  CfOrderWatch w = { 0 };

  cf_order_watch_sent (&w, 1, 1000);
  ck_assert (!cf_order_watch_expired (&w, 1130));
  ck_assert (cf_order_watch_expired (&w, 1131));
  ck_assert (!cf_order_watch_expired (&w, 2000));
  ck_assert (cf_order_watch_is_passed_by (&w));
  cf_order_watch_heard (&w);
  ck_assert (!cf_order_watch_is_passed_by (&w));
}
END_TEST

START_TEST (a_hold_and_its_end_do_not_wait_for_an_agent)
{
  CfOrderWatch w = { 0 };

  ck_assert (cf_order_watch_goes_direct (&w, CF_ORDER_HOLD));
  ck_assert (cf_order_watch_goes_direct (&w, CF_ORDER_GO));
  ck_assert (!cf_order_watch_goes_direct (&w, CF_ORDER_PREPARE));
  ck_assert (!cf_order_watch_goes_direct (&w, CF_ORDER_ARM));
  ck_assert (!cf_order_watch_goes_direct (&w, CF_ORDER_DISARM));
  /* An agent that lost an order is passed by. */
  cf_order_watch_sent (&w, 1, 1000);
  ck_assert (cf_order_watch_expired (&w, 1200));
  ck_assert (cf_order_watch_goes_direct (&w, CF_ORDER_ARM));
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("order-watch");
  TCase *t = tcase_create ("order-watch");

  tcase_add_test (t, an_order_given_again_is_lost);
  tcase_add_test (t, an_order_expires_once);
  tcase_add_test (t, a_hold_and_its_end_do_not_wait_for_an_agent);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
