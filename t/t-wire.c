#include "wire.h"
#include "harness.h"

#include <check.h>

START_TEST (test_request_round_trip)
{
  CfMsg m = { .kind = CF_MSG_REQUEST, .id = 42 };
  CfMsg d;
  g_autoptr (GByteArray) f = NULL;

  m.load.in_flight = 3;
  m.load.draining = TRUE;
  m.u.request.org = "aspen-coulee";
  m.u.request.service = "order-desk";
  m.u.request.model = "notes-v1";
  m.u.request.key = "k1";
  m.u.request.body = "{\"note\":\"x\"}";
  m.u.request.path = "/v1/call";
  m.u.request.priority = 8;
  m.u.request.deadline_ms = 5000;
  f = cf_msg_encode (&m);
  ck_assert_int_eq (cf_msg_decode ((char *)f->data + 4, f->len - 4, &d), CF_OK);
  ck_assert_int_eq (d.kind, CF_MSG_REQUEST);
  ck_assert_int_eq (d.id, 42);
  ck_assert_int_eq (d.load.in_flight, 3);
  ck_assert (d.load.draining);
  ck_assert_str_eq (d.u.request.key, "k1");
  ck_assert_str_eq (d.u.request.body, "{\"note\":\"x\"}");
  ck_assert_int_eq (d.u.request.deadline_ms, 5000);
  cf_msg_clear (&d);
}
END_TEST

START_TEST (test_refusal_round_trip)
{
  CfMsg m = { .kind = CF_MSG_REFUSAL, .id = 7 };
  CfMsg d;
  g_autoptr (GByteArray) f = NULL;

  m.u.refusal.ran = CF_RAN_UNKNOWN;
  m.u.refusal.reason = "running";
  m.u.refusal.retry_after_ms = 1000;
  f = cf_msg_encode (&m);
  ck_assert_int_eq (cf_msg_decode ((char *)f->data + 4, f->len - 4, &d), CF_OK);
  ck_assert_int_eq (d.u.refusal.ran, CF_RAN_UNKNOWN);
  ck_assert_str_eq (d.u.refusal.reason, "running");
  cf_msg_clear (&d);
}
END_TEST

START_TEST (test_malformed_frames_are_rejected)
{
  CfMsg d;
  g_autoptr (GByteArray) f = NULL;
  CfMsg m = { .kind = CF_MSG_PING };

  ck_assert_int_eq (cf_msg_decode ("\x01", 1, &d), CF_ERR_PROTO);
  ck_assert (strstr (cf_last_error (), "not a msgpack map"));
  f = cf_msg_encode (&m);
  /* Overwrites the value of the version field, the byte after "v". */
  f->data[4 + 3] = 9;
  ck_assert_int_eq (cf_msg_decode ((char *)f->data + 4, f->len - 4, &d),
                    CF_ERR_PROTO);
  ck_assert (strstr (cf_last_error (), "wire version 9"));
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("wire");
  TCase *tc = tcase_create ("core");

  tcase_add_test (tc, test_request_round_trip);
  tcase_add_test (tc, test_refusal_round_trip);
  tcase_add_test (tc, test_malformed_frames_are_rejected);
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
