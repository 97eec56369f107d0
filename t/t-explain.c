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

#define GW "<6>comfrey-gateway[7]: "

static const char contended_log[] = GW
    "E1221 share service=s outcome=contended share=9.0 demand=20.0 "
    "fleet_demand=70.0 capacity=64.0 known=6 gateways=8 admitted=257 "
    "t=100.000\n" GW
    "E1221 share service=other outcome=contended share=7.0 demand=1.0 "
    "fleet_demand=2.0 capacity=3.0 known=7 gateways=8 admitted=0 t=100.050\n" GW
    "E1210 queue id=w service=s org=large priority=258 waiting=12 in_flight=9 "
    "grant=4.0 limit_ms=300 t=100.100\n" GW
    "E1222 return id=w return_ms=400 ahead=5 t=100.200\n" GW
    "E1205 answer id=w outcome=refused status=503 reason=more-urgent-waits "
    "target=- sends=0 ran=no ms=100 t=100.200\n" GW
    "E1221 share service=s outcome=free share=8.0 demand=2.0 "
    "fleet_demand=3.0 capacity=64.0 known=7 gateways=8 admitted=- "
    "t=100.300\n" GW
    "E1222 return id=e outcome=early wait_ms=150 t=100.400\n" GW
    "E1205 answer id=e outcome=refused status=503 reason=returned-early "
    "target=- sends=0 ran=no ms=0 t=100.400\n" GW
    "E1222 return id=d outcome=due wait_ms=0 t=100.600\n" GW
    "E1210 queue id=d service=s org=- priority=2 waiting=1 in_flight=9 "
    "grant=- limit_ms=300 t=100.600\n" GW
    "E1205 answer id=d outcome=success status=200 reason=answered target=t-1 "
    "sends=1 ran=yes ms=100 t=100.700\n" GW
    "E1210 queue id=n service=s priority=2 waiting=1 in_flight=9 "
    "limit_ms=300 t=99.000\n" GW
    "E1205 answer id=n outcome=refused status=503 reason=no-room target=- "
    "sends=0 ran=no ms=300 t=99.300\n" GW
    "E1210 queue id=f service=s org=o priority=2 waiting=2 in_flight=9 "
    "limit_ms=300 t=100.800\n" GW
    "E1205 answer id=f outcome=refused status=503 reason=no-room target=- "
    "sends=0 ran=no ms=300 t=101.100\n" GW
    "E1205 answer id=q outcome=refused status=503 reason=queue-full target=- "
    "sends=0 ran=no ms=0 t=100.250\n" GW
    "E1222 return id=h service=s org=o priority=2 return_ms=300 ahead=7 "
    "t=100.800\n" GW
    "E1205 answer id=h outcome=refused status=503 reason=no-room-in-time "
    "target=- sends=0 ran=no ms=0 t=100.800\n" GW
    "E1210 queue id=r service=s org=o priority=2 waiting=8 in_flight=9 "
    "limit_ms=300 t=100.800\n" GW
    "E1205 answer id=r outcome=refused status=503 reason=returned-waits "
    "target=- sends=0 ran=no ms=10 t=100.810\n";

/* The cause of request @id by the log above and that of another gateway. */
static char *
explain_contended (const char *id)
{
  static const char other_log[]
      = GW "E1221 share service=s outcome=contended share=1.5 demand=1.0 "
           "fleet_demand=70.0 capacity=64.0 known=6 gateways=8 admitted=257 "
           "t=100.150\n";
  CfTimeline t = { 0 };
  char *cause;

  cf_timeline_read_log (&t, id, "other.log", other_log);
  cf_timeline_read_log (&t, id, "gw.log", contended_log);
  cf_timeline_finish (&t);
  cause = g_strdup (t.cause);
  cf_timeline_clear (&t);
  return cause;
}

/* Guards against an explanation by the share of another gateway or service, or
 * by one that came into force after the refusal. */
START_TEST (refusals_name_what_was_ahead_and_the_share)
{
  g_autofree char *cause = explain_contended ("w");

  ck_assert_str_eq (
      cause,
      "requests of a more urgent priority filled the service's queue; "
      "requests waiting when it was queued: 12 (with it), in flight: 9; "
      "its urgency was 258 (0 is the most urgent), its organisation large with "
      "a share of 4.0 slots; this gateway's share was 9.0 of 64.0 slots for a "
      "demand of 20.0 (70.0 in the fleet), known of 6 other gateways; the "
      "least urgent level admitted was 257; its caller was told to return "
      "after 400 ms, behind 5 others");
}
END_TEST

START_TEST (missing_lines_are_left_out)
{
  g_autofree char *no_share = explain_contended ("n");
  g_autofree char *not_queued = explain_contended ("q");
  g_autofree char *free_share = explain_contended ("f");

  ck_assert_str_eq (
      no_share,
      "all targets of the service were busy or did not answer for as long as "
      "the request could wait; see E1210 and E1502; requests waiting "
      "when it was queued: 1 (with it), in flight: 9; its urgency was 2 "
      "(0 is the most urgent)");
  ck_assert_str_eq (not_queued, "the service's queue was full");
  ck_assert (g_str_has_suffix (
      free_share, "this gateway's share was 8.0 of 64.0 slots for a demand of "
                  "2.0 (3.0 in the fleet), known of 7 other gateways"));
}
END_TEST

/* Guards against a refusal on arrival that is explained as a wait in vain, and
 * against refusals for lack of capacity that do not name the share. */
START_TEST (refusals_on_arrival_are_told_from_waits)
{
  g_autofree char *on_arrival = explain_contended ("h");
  g_autofree char *evicted = explain_contended ("r");

  ck_assert_str_eq (
      on_arrival,
      "the requests ahead of it in the service's queue were expected to take "
      "longer than it could wait, so it was refused on arrival; this gateway's "
      "share was 8.0 of 64.0 slots for a demand of 2.0 (3.0 in the fleet), "
      "known of 7 other gateways; its caller was told to return after 300 ms, "
      "behind 7 others");
  ck_assert_ptr_nonnull (strstr (evicted, "returned when told goes first"));
  ck_assert_ptr_nonnull (strstr (evicted, "share was 8.0 of 64.0 slots"));
}
END_TEST

START_TEST (returns_are_explained)
{
  g_autofree char *early = explain_contended ("e");
  g_autofree char *due = explain_contended ("d");

  ck_assert_ptr_nonnull (
      strstr (early, "while other requests waited; its caller had been refused "
                     "before and returned 150 ms before the time told"));
  ck_assert_str_eq (due, "the request was answered; its caller had been "
                         "refused before and returned when told");
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("explain");
  TCase *tc = tcase_create ("explain");

  tcase_add_test (tc, only_lines_of_the_request_are_shown_in_order);
  tcase_add_test (tc, unknown_ids_and_reasons_are_reported);
  tcase_add_test (tc, refusals_name_what_was_ahead_and_the_share);
  tcase_add_test (tc, missing_lines_are_left_out);
  tcase_add_test (tc, refusals_on_arrival_are_told_from_waits);
  tcase_add_test (tc, returns_are_explained);
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
