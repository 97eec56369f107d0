/* The adaptive concurrency limit: when it is set and lifted, and its bounds. */
#include "gateway/concurrency-limit.h"
#include "harness.h"

#define FAIR_SHARE 60.0
#define OBJECTIVE_MS 500
#define UNQUEUED_MS 200.0

static CfConcurrencyLimit limit;
static gint64 now;

static void
setup (void)
{
  limit = (CfConcurrencyLimit){ 0 };
  now = 1000;
}

/* Adds @n streams, one after the other, with the first event after @ms each. */
static void
add_streams (int n, gint64 ms, guint in_flight)
{
  for (int i = 0; i < n; i++)
    {
      CfFirstEventSample e
          = { .objective_ms = OBJECTIVE_MS, .fair_share = FAIR_SHARE };

      e.sent_ms = now;
      now += ms;
      e.now_ms = now;
      e.unqueued_ms = UNQUEUED_MS;
      e.in_flight = in_flight;
      cf_concurrency_limit_add_sample (&limit, &e);
    }
}

START_TEST (no_limit_while_first_events_are_fast)
{
  add_streams (100, 250, 100);
  ck_assert_uint_eq (cf_concurrency_limit_get (&limit), 0);
}
END_TEST

START_TEST (queueing_at_targets_sets_limit)
{
  add_streams (20, 1200, 100);
  ck_assert_uint_gt (cf_concurrency_limit_get (&limit), 0);
  ck_assert_uint_lt (cf_concurrency_limit_get (&limit), 100);
}
END_TEST

START_TEST (deep_queue_sets_limit_at_once)
{
  add_streams (8, 1200, (guint)(10 * FAIR_SHARE));
  ck_assert_uint_gt (cf_concurrency_limit_get (&limit), 0);
  ck_assert_uint_le (cf_concurrency_limit_get (&limit), 2 * FAIR_SHARE);
}
END_TEST

START_TEST (limit_keeps_most_of_fair_share)
{
  add_streams (8, 1200, 100);
  for (int i = 0; i < 100; i++)
    add_streams (8, 1200, cf_concurrency_limit_get (&limit));
  ck_assert_uint_ge (cf_concurrency_limit_get (&limit), FAIR_SHARE * 0.8);
}
END_TEST

/* Streams sent before a decision do not show its effect; if they counted, the
 * same backlog would lower the limit again and again. */
START_TEST (streams_sent_before_decision_are_ignored)
{
  CfFirstEventSample e
      = { .objective_ms = OBJECTIVE_MS, .fair_share = FAIR_SHARE };
  guint before;

  add_streams (8, 1200, 100);
  before = cf_concurrency_limit_get (&limit);
  e.sent_ms = now - 1;
  e.now_ms = now + 1500;
  e.unqueued_ms = UNQUEUED_MS;
  e.in_flight = 80;
  for (int i = 0; i < 100; i++)
    cf_concurrency_limit_add_sample (&limit, &e);
  ck_assert_uint_eq (cf_concurrency_limit_get (&limit), before);
}
END_TEST

START_TEST (non_binding_limit_is_lifted)
{
  add_streams (8, 1200, 100);
  ck_assert_uint_gt (cf_concurrency_limit_get (&limit), 0);
  add_streams (8 * 40, 400, 20);
  ck_assert_uint_eq (cf_concurrency_limit_get (&limit), 0);
}
END_TEST

/* Passes that are slow without any queue cannot be sped up by a limit. */
START_TEST (slow_passes_alone_set_no_limit)
{
  CfFirstEventSample e
      = { .objective_ms = OBJECTIVE_MS, .fair_share = FAIR_SHARE };

  for (int i = 0; i < 100; i++)
    {
      e.sent_ms = now;
      e.now_ms = now += 900;
      e.unqueued_ms = 800;
      e.in_flight = 60;
      cf_concurrency_limit_add_sample (&limit, &e);
    }
  ck_assert_uint_eq (cf_concurrency_limit_get (&limit), 0);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("concurrency-limit");
  TCase *t = tcase_create ("concurrency-limit");

  tcase_add_checked_fixture (t, setup, NULL);
  tcase_add_test (t, no_limit_while_first_events_are_fast);
  tcase_add_test (t, queueing_at_targets_sets_limit);
  tcase_add_test (t, deep_queue_sets_limit_at_once);
  tcase_add_test (t, limit_keeps_most_of_fair_share);
  tcase_add_test (t, streams_sent_before_decision_are_ignored);
  tcase_add_test (t, non_binding_limit_is_lifted);
  tcase_add_test (t, slow_passes_alone_set_no_limit);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
