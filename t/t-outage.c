/* Outages: when requests are held back from targets that refuse all work. */
#include "gateway/outage.h"
#include "harness.h"

START_TEST (no_request_is_blocked_without_outage)
{
  CfOutage o = { 0 };

  cf_outage_record_send (&o, 5);
  ck_assert (!cf_outage_is_blocking (&o, 5));
  ck_assert_int_eq (cf_outage_record_answer (&o, 6), 0);
}
END_TEST

START_TEST (one_probe_is_sent_per_interval)
{
  CfOutage o = { 0 };
  int sent = 0;

  ck_assert (cf_outage_record_refusal (&o, 1000));
  ck_assert (!cf_outage_record_refusal (&o, 1001));
  for (gint64 now = 1001; now <= 2000; now++)
    if (!cf_outage_is_blocking (&o, now))
      {
        cf_outage_record_send (&o, now);
        cf_outage_record_refusal (&o, now);
        sent++;
      }
  ck_assert_int_eq (sent, 10);
}
END_TEST

START_TEST (answer_ends_outage)
{
  CfOutage o = { 0 };

  cf_outage_record_refusal (&o, 1000);
  ck_assert_int_eq (cf_outage_record_answer (&o, 1700), 700);
  ck_assert (!cf_outage_is_blocking (&o, 1700));
  ck_assert_int_eq (cf_outage_record_answer (&o, 1701), 0);
  ck_assert (cf_outage_record_refusal (&o, 1800));
}
END_TEST

START_TEST (recent_end_needs_an_outage)
{
  CfOutage o = { 0 };

  cf_outage_record_answer (&o, 1000);
  ck_assert (!cf_outage_has_ended_recently (&o, 1000));
  cf_outage_record_refusal (&o, 1000);
  ck_assert (!cf_outage_has_ended_recently (&o, 1100));
  cf_outage_record_answer (&o, 1700);
  ck_assert (cf_outage_has_ended_recently (&o, 1800));
  /* A later answer does not make the end recent again. */
  cf_outage_record_answer (&o, 2100);
  ck_assert (!cf_outage_has_ended_recently (&o, 2300));
}
END_TEST

START_TEST (outage_is_long_after_group_should_have_formed)
{
  CfOutage o = { 0 };

  ck_assert (!cf_outage_is_long (&o, 100000));
  cf_outage_record_refusal (&o, 1000);
  ck_assert (!cf_outage_is_long (&o, 4000));
  ck_assert (cf_outage_is_long (&o, 6500));
  cf_outage_record_answer (&o, 6600);
  ck_assert (!cf_outage_is_long (&o, 6600));
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("outage");
  TCase *tc = tcase_create ("core");

  tcase_add_test (tc, no_request_is_blocked_without_outage);
  tcase_add_test (tc, one_probe_is_sent_per_interval);
  tcase_add_test (tc, answer_ends_outage);
  tcase_add_test (tc, outage_is_long_after_group_should_have_formed);
  tcase_add_test (tc, recent_end_needs_an_outage);
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
