/* Estimates of the latency of streams. */
#include "gateway/stream-latency.h"
#include "harness.h"

static const CfEngineModel model = { .step_ms = 4.55,
                                     .per_seq_ms = 0.905,
                                     .prompt_tokens_per_ms = 61.4,
                                     .stride = 4,
                                     .mean_answer_tokens = 97 };
static const CfStreamSize usual_size = { 800, 96 };
/** When the tests ask for estimates; their events are at most a second old. */
#define NOW_MS 1000

START_TEST (no_estimate_without_model_or_observations)
{
  CfStreamLatency latency = { 0 };

  ck_assert_int_eq (
      cf_stream_latency_first_event_ms (&latency, NULL, &usual_size), 0);
  ck_assert_int_eq (
      cf_stream_latency_max_total_ms (&latency, NULL, &usual_size, NOW_MS), -1);
}
END_TEST

/* Before anything is observed, the published model is used: 47 ms passes. */
START_TEST (model_is_used_before_observations)
{
  CfStreamLatency latency = { 0 };
  gint64 first
      = cf_stream_latency_first_event_ms (&latency, &model, &usual_size);

  ck_assert_int_ge (first, 100);
  ck_assert_int_le (first, 120);
  ck_assert_int_ge (
      cf_stream_latency_max_total_ms (&latency, &model, &usual_size, NOW_MS),
      24 * 47);
  ck_assert_int_le (
      cf_stream_latency_max_total_ms (&latency, &model, &usual_size, NOW_MS),
      24 * 47 * 2);
}
END_TEST

START_TEST (observations_replace_model)
{
  CfStreamLatency latency = { 0 };
  const CfStreamSize long_size = { 800, 240 };

  for (int i = 0; i < 400; i++)
    cf_stream_latency_add_event (&latency, i, 100);
  for (int i = 0; i < 60; i++)
    cf_stream_latency_add_first_event (&latency, i % 2 ? 150 : 250);
  ck_assert_int_ge (
      cf_stream_latency_first_event_ms (&latency, &model, &usual_size), 250);
  ck_assert_int_le (
      cf_stream_latency_first_event_ms (&latency, &model, &usual_size), 300);
  ck_assert_int_ge (
      cf_stream_latency_max_total_ms (&latency, &model, &usual_size, NOW_MS),
      2400);
  ck_assert_int_ge (
      cf_stream_latency_max_total_ms (&latency, &model, &long_size, NOW_MS),
      6000);
}
END_TEST

/* The mean follows a change within a pass or two of a busy engine. */
START_TEST (mean_follows_a_change_quickly)
{
  CfStreamLatency latency = { 0 };

  for (int i = 0; i < 400; i++)
    cf_stream_latency_add_event (&latency, i, 50);
  for (int i = 0; i < 300; i++)
    cf_stream_latency_add_event (&latency, i, 150);
  ck_assert_double_ge (latency.pause_ms, 140);
}
END_TEST

static void
add_events (CfStreamLatency *latency, gint64 from_ms, int n, int pause_ms)
{
  for (int i = 0; i < n; i++)
    cf_stream_latency_add_event (latency, from_ms + i, pause_ms);
}

/* 40 ms passes, then 25 ms in a lull: they may be 50 ms before a stream of 60
 * events is complete, as when restarted gateways come back. */
START_TEST (lull_does_not_lower_maximum)
{
  CfStreamLatency latency = { 0 };
  const CfStreamSize long_size = { 800, 240 };

  add_events (&latency, 0, 400, 40);
  add_events (&latency, 400, 600, 25);
  ck_assert_double_le (latency.pause_ms, 26);
  ck_assert_int_ge (
      cf_stream_latency_max_total_ms (&latency, &model, &long_size, NOW_MS),
      60 * 50);
}
END_TEST

/* Only light load was observed so far, but all of the engine's slots may get
 * used, which makes 62 ms passes. */
START_TEST (maximum_covers_full_engine)
{
  CfStreamLatency latency = { 0 };
  const CfStreamSize long_size = { 800, 240 };
  CfEngineModel full = model;

  full.slots = 12;
  add_events (&latency, 0, 400, 25);
  ck_assert_int_ge (
      cf_stream_latency_max_total_ms (&latency, &full, &long_size, NOW_MS),
      60 * 62);
}
END_TEST

START_TEST (slow_passes_expire)
{
  CfStreamLatency latency = { 0 };

  add_events (&latency, 0, 400, 120);
  add_events (&latency, 400, 800, 40);
  ck_assert_int_ge (
      cf_stream_latency_max_total_ms (&latency, &model, &usual_size, 20000),
      24 * 120);
  add_events (&latency, 20000, 400, 40);
  add_events (&latency, 40000, 400, 40);
  ck_assert_int_le (
      cf_stream_latency_max_total_ms (&latency, &model, &usual_size, 41000),
      24 * 120);
}
END_TEST

/* A rank that is five times slower makes 320 ms passes, which may recur. */
START_TEST (very_slow_passes_count)
{
  CfStreamLatency latency = { 0 };

  add_events (&latency, 0, 100, 40);
  add_events (&latency, 100, 400, 320);
  add_events (&latency, 500, 500, 40);
  ck_assert_int_ge (
      cf_stream_latency_max_total_ms (&latency, &model, &usual_size, NOW_MS),
      24 * 300);
}
END_TEST

/* A prompt of 100,000 tokens takes 1.6 s to process, whatever the first events
 * of other requests took. */
START_TEST (long_prompt_adds_to_maximum)
{
  CfStreamLatency latency = { 0 };
  const CfStreamSize short_size = { 10, 40 };
  const CfStreamSize long_prompt_size = { 100000, 40 };

  add_events (&latency, 0, 400, 40);
  for (int i = 0; i < 60; i++)
    cf_stream_latency_add_first_event (&latency, 150);
  ck_assert_int_ge (
      cf_stream_latency_max_total_ms (&latency, &model, &long_prompt_size,
                                      NOW_MS),
      cf_stream_latency_max_total_ms (&latency, &model, &short_size, NOW_MS)
          + 1500);
}
END_TEST

START_TEST (huge_answer_does_not_overflow)
{
  CfStreamLatency latency = { 0 };
  const CfStreamSize huge_size = { 10, G_MAXINT64 };

  ck_assert_int_ge (
      cf_stream_latency_max_total_ms (&latency, &model, &huge_size, NOW_MS),
      1000000);
}
END_TEST

/* A rank group that waits for a rank is stalled, not slow. */
START_TEST (stalls_do_not_count)
{
  CfStreamLatency latency = { 0 };

  add_events (&latency, 0, 400, 40);
  add_events (&latency, 400, 48, 1500);
  add_events (&latency, 500, 500, 40);
  ck_assert_int_le (
      cf_stream_latency_max_total_ms (&latency, &model, &usual_size, NOW_MS),
      24 * 40 * 2);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("stream-latency");
  TCase *tc = tcase_create ("core");

  tcase_add_test (tc, no_estimate_without_model_or_observations);
  tcase_add_test (tc, model_is_used_before_observations);
  tcase_add_test (tc, observations_replace_model);
  tcase_add_test (tc, mean_follows_a_change_quickly);
  tcase_add_test (tc, lull_does_not_lower_maximum);
  tcase_add_test (tc, maximum_covers_full_engine);
  tcase_add_test (tc, slow_passes_expire);
  tcase_add_test (tc, very_slow_passes_count);
  tcase_add_test (tc, long_prompt_adds_to_maximum);
  tcase_add_test (tc, huge_answer_does_not_overflow);
  tcase_add_test (tc, stalls_do_not_count);
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
