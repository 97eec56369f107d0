/* How long streams are expected to take. */
#include "gateway/pace.h"
#include "harness.h"

static const CfEngineModel engine = { .step_ms = 4.55,
                                      .per_seq_ms = 0.905,
                                      .read_per_ms = 61.4,
                                      .stride = 4,
                                      .usual_answer = 97 };
static const CfStreamSize usual = { 800, 96 };
/** When the tests ask; what they show comes within a second before. */
#define NOW 1000

START_TEST (nothing_is_known_of_an_unknown_engine)
{
  CfPace p = { 0 };

  ck_assert_int_eq (cf_pace_first_ms (&p, NULL, &usual), 0);
  ck_assert_int_eq (cf_pace_whole_ms (&p, NULL, &usual, NOW), -1);
}
END_TEST

/* Before anything is seen, the published model counts: passes of 47 ms. */
START_TEST (the_published_model_stands_in)
{
  CfPace p = { 0 };
  gint64 first = cf_pace_first_ms (&p, &engine, &usual);

  ck_assert_int_ge (first, 100);
  ck_assert_int_le (first, 120);
  ck_assert_int_ge (cf_pace_whole_ms (&p, &engine, &usual, NOW), 24 * 47);
  ck_assert_int_le (cf_pace_whole_ms (&p, &engine, &usual, NOW), 24 * 47 * 2);
}
END_TEST

START_TEST (what_is_seen_goes_before)
{
  CfPace p = { 0 };
  const CfStreamSize long_one = { 800, 240 };

  for (int i = 0; i < 400; i++)
    cf_pace_event (&p, i, 100);
  for (int i = 0; i < 60; i++)
    cf_pace_first (&p, i % 2 ? 150 : 250);
  ck_assert_int_ge (cf_pace_first_ms (&p, &engine, &usual), 250);
  ck_assert_int_le (cf_pace_first_ms (&p, &engine, &usual), 300);
  ck_assert_int_ge (cf_pace_whole_ms (&p, &engine, &usual, NOW), 2400);
  ck_assert_int_ge (cf_pace_whole_ms (&p, &engine, &long_one, NOW), 6000);
}
END_TEST

/* A change of pace is followed within a pass or two of a busy engine. */
START_TEST (a_change_of_pace_is_followed)
{
  CfPace p = { 0 };

  for (int i = 0; i < 400; i++)
    cf_pace_event (&p, i, 50);
  for (int i = 0; i < 300; i++)
    cf_pace_event (&p, i, 150);
  ck_assert_double_ge (p.pause_ms, 140);
}
END_TEST

static void
see_passes (CfPace *p, gint64 from_ms, int n, int pause_ms)
{
  for (int i = 0; i < n; i++)
    cf_pace_event (p, from_ms + i, pause_ms);
}

/* Passes of 40 ms, then a lull of 25: they may well be 50 again before a
 * stream of 60 events is whole, as when gateways that were stopped return. */
START_TEST (a_lull_is_not_reckoned_with)
{
  CfPace p = { 0 };
  const CfStreamSize long_one = { 800, 240 };

  see_passes (&p, 0, 400, 40);
  see_passes (&p, 400, 600, 25);
  ck_assert_double_le (p.pause_ms, 26);
  ck_assert_int_ge (cf_pace_whole_ms (&p, &engine, &long_one, NOW), 60 * 50);
}
END_TEST

/* Nothing but light load was ever seen: the engine's slots may fill, and
 * passes of 62 ms follow. */
START_TEST (an_engine_may_get_full)
{
  CfPace p = { 0 };
  const CfStreamSize long_one = { 800, 240 };
  CfEngineModel full = engine;

  full.slots = 12;
  see_passes (&p, 0, 400, 25);
  ck_assert_int_ge (cf_pace_whole_ms (&p, &full, &long_one, NOW), 60 * 62);
}
END_TEST

START_TEST (slow_passes_are_forgotten_in_the_end)
{
  CfPace p = { 0 };

  see_passes (&p, 0, 400, 120);
  see_passes (&p, 400, 800, 40);
  ck_assert_int_ge (cf_pace_whole_ms (&p, &engine, &usual, 20000), 24 * 120);
  see_passes (&p, 20000, 400, 40);
  see_passes (&p, 40000, 400, 40);
  ck_assert_int_le (cf_pace_whole_ms (&p, &engine, &usual, 41000), 24 * 120);
}
END_TEST

/* A rank that is five times slower makes passes of 320 ms; they may come
 * again as they came. */
START_TEST (very_slow_passes_are_a_pace)
{
  CfPace p = { 0 };

  see_passes (&p, 0, 100, 40);
  see_passes (&p, 100, 400, 320);
  see_passes (&p, 500, 500, 40);
  ck_assert_int_ge (cf_pace_whole_ms (&p, &engine, &usual, NOW), 24 * 300);
}
END_TEST

/* 100,000 tokens take 1.6 s to be read, whatever others' prompts took. */
START_TEST (a_long_prompt_takes_its_time)
{
  CfPace p = { 0 };
  const CfStreamSize brief = { 10, 40 };
  const CfStreamSize long_prompt = { 100000, 40 };

  see_passes (&p, 0, 400, 40);
  for (int i = 0; i < 60; i++)
    cf_pace_first (&p, 150);
  ck_assert_int_ge (cf_pace_whole_ms (&p, &engine, &long_prompt, NOW),
                    cf_pace_whole_ms (&p, &engine, &brief, NOW) + 1500);
}
END_TEST

START_TEST (a_size_beyond_all_measure_is_no_time_at_all)
{
  CfPace p = { 0 };
  const CfStreamSize absurd = { 10, G_MAXINT64 };

  ck_assert_int_ge (cf_pace_whole_ms (&p, &engine, &absurd, NOW), 1000000);
}
END_TEST

/* A rank group that waits for a rank is no slow engine. */
START_TEST (standing_still_is_no_pace)
{
  CfPace p = { 0 };

  see_passes (&p, 0, 400, 40);
  see_passes (&p, 400, 48, 1500);
  see_passes (&p, 500, 500, 40);
  ck_assert_int_le (cf_pace_whole_ms (&p, &engine, &usual, NOW), 24 * 40 * 2);
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
  tcase_add_test (tc, a_lull_is_not_reckoned_with);
  tcase_add_test (tc, an_engine_may_get_full);
  tcase_add_test (tc, slow_passes_are_forgotten_in_the_end);
  tcase_add_test (tc, very_slow_passes_are_a_pace);
  tcase_add_test (tc, a_long_prompt_takes_its_time);
  tcase_add_test (tc, a_size_beyond_all_measure_is_no_time_at_all);
  tcase_add_test (tc, standing_still_is_no_pace);
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
