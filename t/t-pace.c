/* How long streams are expected to take. */
#include "gateway/pace.h"
#include "harness.h"

static const CfEngineModel engine = { .step_ms = 4.55,
                                      .per_seq_ms = 0.905,
                                      .read_per_ms = 61.4,
                                      .stride = 4,
                                      .usual_answer = 97 };
static const CfStreamSize usual = { 800, 96 };

START_TEST (nothing_is_known_of_an_unknown_engine)
{
  CfPace p = { 0 };

  ck_assert_int_eq (cf_pace_first_ms (&p, NULL, &usual), 0);
  ck_assert_int_eq (cf_pace_whole_ms (&p, NULL, &usual), -1);
}
END_TEST

/* Before anything is seen, the published model counts: passes of 47 ms. */
START_TEST (the_published_model_stands_in)
{
  CfPace p = { 0 };
  gint64 first = cf_pace_first_ms (&p, &engine, &usual);

  ck_assert_int_ge (first, 100);
  ck_assert_int_le (first, 120);
  ck_assert_int_ge (cf_pace_whole_ms (&p, &engine, &usual), 24 * 47);
  ck_assert_int_le (cf_pace_whole_ms (&p, &engine, &usual), 24 * 47 * 2);
}
END_TEST

START_TEST (what_is_seen_goes_before)
{
  CfPace p = { 0 };
  const CfStreamSize long_one = { 800, 240 };

  for (int i = 0; i < 400; i++)
    cf_pace_event (&p, 100);
  for (int i = 0; i < 60; i++)
    cf_pace_first (&p, i % 2 ? 150 : 250);
  ck_assert_int_ge (cf_pace_first_ms (&p, &engine, &usual), 250);
  ck_assert_int_le (cf_pace_first_ms (&p, &engine, &usual), 300);
  ck_assert_int_ge (cf_pace_whole_ms (&p, &engine, &usual), 2400);
  ck_assert_int_ge (cf_pace_whole_ms (&p, &engine, &long_one), 6000);
}
END_TEST

/* A change of pace is followed within a pass or two of a busy engine. */
START_TEST (a_change_of_pace_is_followed)
{
  CfPace p = { 0 };

  for (int i = 0; i < 400; i++)
    cf_pace_event (&p, 50);
  for (int i = 0; i < 300; i++)
    cf_pace_event (&p, 150);
  ck_assert_double_ge (p.pause_ms, 140);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("pace");
  TCase *tc = tcase_create ("core");

  tcase_add_test (tc, nothing_is_known_of_an_unknown_engine);
  tcase_add_test (tc, the_published_model_stands_in);
  tcase_add_test (tc, what_is_seen_goes_before);
  tcase_add_test (tc, a_change_of_pace_is_followed);
  suite_add_tcase (s, tc);
  return t_run (s);
}
