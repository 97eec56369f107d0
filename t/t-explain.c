/* The timeline of a request and its cause, from log lines. */
#include "explain.h"
#include "harness.h"

#include <string.h>

static const char first[]
    = "<6>comfrey-gateway[7]: E1203 route id=a1 route=chat target=t-1 send=1 "
      "config=4 list_age_ms=120 left_ms=7990 t=100.100\n"
      "<6>comfrey-gateway[7]: E1203 route id=a10 target=t-2 t=100.150\n"
      "front-1 <5>comfrey-gateway[7]: E1204 retry id=a1 reason=lost target=t-1 "
      "again=no budget=none ran=maybe sends=1 left_ms=7000 t=101.000\n"
      "a line of another program\n";
static const char second[]
    = "<6>comfrey-gateway[7]: E1205 answer id=a1 outcome=failed status=502 "
      "reason=lost target=t-1 sends=1 ran=maybe ms=901 t=101.001\n"
      "<6>comfrey-gateway[7]: E1205 answer id=b outcome=refused status=503 "
      "reason=new-reason t=101.5\n";

START_TEST (only_lines_of_the_request_are_shown_in_order)
{
  CfTimeline t = { 0 };
  GString *out = g_string_new (NULL);

  cf_timeline_read_log (&t, "a1", "two.log", second);
  cf_timeline_read_log (&t, "a1", "one.log", first);
  cf_timeline_finish (&t);
  ck_assert_uint_eq (t.lines->len, 3);
  ck_assert_str_eq (((CfTimelineEntry *)t.lines->pdata[0])->event, "E1203");
  ck_assert_str_eq (((CfTimelineEntry *)t.lines->pdata[2])->event, "E1205");
  ck_assert_ptr_nonnull (strstr (t.cause, "could not be sent again"));
  ck_assert_ptr_nonnull (strstr (t.decision, "reason=lost"));
  cf_timeline_print (&t, "a1", out);
  ck_assert_ptr_nonnull (strstr (out->str, "+901 ms  two.log  E1205"));
  ck_assert_ptr_nonnull (strstr (out->str, "cause: the connection"));
  g_string_free (out, TRUE);
  cf_timeline_clear (&t);
}
END_TEST

START_TEST (unknown_ids_and_reasons_are_reported)
{
  CfTimeline t = { 0 };
  GString *out = g_string_new (NULL);

  cf_timeline_read_log (&t, "zz", "one.log", first);
  cf_timeline_finish (&t);
  cf_timeline_print (&t, "zz", out);
  ck_assert_str_eq (out->str, "zz: not in these logs\n");
  cf_timeline_clear (&t);
  cf_timeline_read_log (&t, "b", "two.log", second);
  cf_timeline_finish (&t);
  ck_assert_ptr_nonnull (strstr (t.cause, "new-reason"));
  cf_timeline_clear (&t);
  cf_timeline_read_log (&t, "a10", "one.log", first);
  cf_timeline_finish (&t);
  ck_assert_ptr_nonnull (strstr (t.cause, "no final answer"));
  cf_timeline_clear (&t);
  g_string_free (out, TRUE);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("explain");
  TCase *tc = tcase_create ("explain");

  tcase_add_test (tc, only_lines_of_the_request_are_shown_in_order);
  tcase_add_test (tc, unknown_ids_and_reasons_are_reported);
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
