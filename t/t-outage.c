/* When requests are kept back from targets that refuse all work. */
#include "gateway/outage.h"
#include "harness.h"

START_TEST (nothing_is_held_in_calm)
{
  CfOutage o = { 0 };

  cf_outage_sent (&o, 5);
  ck_assert (!cf_outage_holds (&o, 5));
  ck_assert_int_eq (cf_outage_answered (&o, 6), 0);
}
END_TEST

START_TEST (one_request_at_a_time_is_sent_to_see)
{
  CfOutage o = { 0 };
  int sent = 0;

  ck_assert (cf_outage_refused (&o, 1000));
  ck_assert (!cf_outage_refused (&o, 1001));
  for (gint64 now = 1001; now <= 2000; now++)
    if (!cf_outage_holds (&o, now))
      {
        cf_outage_sent (&o, now);
        cf_outage_refused (&o, now);
        sent++;
      }
  ck_assert_int_eq (sent, 10);
}
END_TEST

START_TEST (work_done_ends_it)
{
  CfOutage o = { 0 };

  cf_outage_refused (&o, 1000);
  ck_assert_int_eq (cf_outage_answered (&o, 1700), 700);
  ck_assert (!cf_outage_holds (&o, 1700));
  ck_assert_int_eq (cf_outage_answered (&o, 1701), 0);
  ck_assert (cf_outage_refused (&o, 1800));
}
END_TEST

START_TEST (what_is_recent_is_so_only_after_an_outage)
{
  CfOutage o = { 0 };

  cf_outage_answered (&o, 1000);
  ck_assert (!cf_outage_is_recent (&o, 1000));
  cf_outage_refused (&o, 1000);
  ck_assert (!cf_outage_is_recent (&o, 1100));
  cf_outage_answered (&o, 1700);
  ck_assert (cf_outage_is_recent (&o, 1800));
  /* What is answered later begins no new span. */
  cf_outage_answered (&o, 2100);
  ck_assert (!cf_outage_is_recent (&o, 2300));
}
END_TEST

START_TEST (an_outage_is_long_past_the_time_a_group_takes_to_form)
{
  CfOutage o = { 0 };

  ck_assert (!cf_outage_is_long (&o, 100000));
  cf_outage_refused (&o, 1000);
  ck_assert (!cf_outage_is_long (&o, 4000));
  ck_assert (cf_outage_is_long (&o, 6500));
  cf_outage_answered (&o, 6600);
  ck_assert (!cf_outage_is_long (&o, 6600));
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("outage");
  TCase *tc = tcase_create ("core");

  tcase_add_test (tc, nothing_is_held_in_calm);
  tcase_add_test (tc, one_request_at_a_time_is_sent_to_see);
  tcase_add_test (tc, work_done_ends_it);
  tcase_add_test (tc, an_outage_is_long_past_the_time_a_group_takes_to_form);
  tcase_add_test (tc, what_is_recent_is_so_only_after_an_outage);
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
