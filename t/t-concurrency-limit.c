/* When a limit of requests in flight comes into force, and how far it goes. */
#include "gateway/concurrency-limit.h"
#include "harness.h"

#define SHARE 60.0
#define AIM_MS 500
#define UNQUEUED_MS 200.0

static CfConcurrencyLimit limit;
static gint64 now;

static void
setup (void)
{
  limit = (CfConcurrencyLimit){ 0 };
  now = 1000;
}

/* @n streams, one after the other, each with its first event after @ms. */
static void
sample (int n, gint64 ms, guint in_flight)
{
  for (int i = 0; i < n; i++)
    {
      CfFirstEvent e = { .aim_ms = AIM_MS, .fair_share = SHARE };

      e.sent_ms = now;
      now += ms;
      e.now_ms = now;
      e.unqueued_ms = UNQUEUED_MS;
      e.in_flight = in_flight;
      cf_concurrency_limit_sample (&limit, &e);
    }
}

START_TEST (fast_first_events_are_not_limited)
{
  sample (100, 250, 100);
  ck_assert_uint_eq (cf_concurrency_limit_get (&limit), 0);
}
END_TEST

START_TEST (a_queue_at_the_targets_is_limited)
{
  sample (20, 1200, 100);
  ck_assert_uint_gt (cf_concurrency_limit_get (&limit), 0);
  ck_assert_uint_lt (cf_concurrency_limit_get (&limit), 100);
}
END_TEST

START_TEST (a_deep_queue_is_limited_at_once)
{
  sample (8, 1200, (guint)(10 * SHARE));
  ck_assert_uint_gt (cf_concurrency_limit_get (&limit), 0);
  ck_assert_uint_le (cf_concurrency_limit_get (&limit), 2 * SHARE);
}
END_TEST

START_TEST (a_limit_keeps_most_of_the_fair_share)
{
  sample (8, 1200, 100);
  for (int i = 0; i < 100; i++)
    sample (8, 1200, cf_concurrency_limit_get (&limit));
  ck_assert_uint_ge (cf_concurrency_limit_get (&limit), SHARE * 0.8);
}
END_TEST

/* They were sent before the limit, and would lower it once more each. */
START_TEST (streams_sent_before_a_decision_do_not_count)
{
  CfFirstEvent e = { .aim_ms = AIM_MS, .fair_share = SHARE };
  guint before;

  sample (8, 1200, 100);
  before = cf_concurrency_limit_get (&limit);
  e.sent_ms = now - 1;
  e.now_ms = now + 1500;
  e.unqueued_ms = UNQUEUED_MS;
  e.in_flight = 80;
  for (int i = 0; i < 100; i++)
    cf_concurrency_limit_sample (&limit, &e);
  ck_assert_uint_eq (cf_concurrency_limit_get (&limit), before);
}
END_TEST

START_TEST (a_limit_that_is_not_felt_is_lifted)
{
  sample (8, 1200, 100);
  ck_assert_uint_gt (cf_concurrency_limit_get (&limit), 0);
  sample (8 * 40, 400, 20);
  ck_assert_uint_eq (cf_concurrency_limit_get (&limit), 0);
}
END_TEST

/* No lower limit would bring them into time. */
START_TEST (slow_passes_alone_are_not_limited)
{
  CfFirstEvent e = { .aim_ms = AIM_MS, .fair_share = SHARE };

  for (int i = 0; i < 100; i++)
    {
      e.sent_ms = now;
      e.now_ms = now += 900;
      e.unqueued_ms = 800;
      e.in_flight = 60;
      cf_concurrency_limit_sample (&limit, &e);
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
  tcase_add_test (t, fast_first_events_are_not_limited);
  tcase_add_test (t, a_queue_at_the_targets_is_limited);
  tcase_add_test (t, a_deep_queue_is_limited_at_once);
  tcase_add_test (t, a_limit_keeps_most_of_the_fair_share);
  tcase_add_test (t, streams_sent_before_a_decision_do_not_count);
  tcase_add_test (t, a_limit_that_is_not_felt_is_lifted);
  tcase_add_test (t, slow_passes_alone_are_not_limited);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
