/* Checks how the events of streams are grouped into passes. */
#include "gateway/pass-record.h"
#include "harness.h"

START_TEST (events_close_together_belong_to_one_pass)
{
  const CfPassEvent events[] = {
    { 1000, 90, 120, 500 },  { 1003, 130, 120, 500 }, { 1004, 0, 120, 700 },
    { 1012, 125, 120, 500 }, { 1100, 96, 120, 500 },
  };
  CfPassRecord p = { 0 };
  CfPassRecord done = { 0 };

  for (gsize i = 0; i + 1 < G_N_ELEMENTS (events); i++)
    ck_assert (!cf_pass_record_add (&p, &events[i], &done));
  ck_assert (cf_pass_record_add (&p, &events[4], &done));
  ck_assert_int_eq (done.longest_ms, 130);
  ck_assert_uint_eq (done.streams, 4);
  ck_assert_uint_eq (done.late, 2);
  ck_assert_uint_eq (done.begun, 1);
  ck_assert_int_eq (done.begun_tokens, 700);
  ck_assert_double_eq_tol (cf_pass_record_mean_ms (&done),
                           (90 + 130 + 125) / 3.0, 1e-9);
  ck_assert_uint_eq (p.streams, 1);
  ck_assert_uint_eq (p.late, 0);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("pass-record");
  TCase *t = tcase_create ("pass-record");

  tcase_add_test (t, events_close_together_belong_to_one_pass);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
