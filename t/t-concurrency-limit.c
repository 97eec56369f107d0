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
      e.in_flight_at_send = in_flight;
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
  e.in_flight_at_send = 80;
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
      e.in_flight_at_send = 60;
      cf_concurrency_limit_add_sample (&limit, &e);
    }
  ck_assert_uint_eq (cf_concurrency_limit_get (&limit), 0);
}
END_TEST

/* A request at the simulated service. */
typedef struct
{
  gint64 sent_ms;
  gint64 first_ms;
  gint64 end_ms;
  guint in_flight_at_send;
} Request;

/* Assigns the first free of the service's slots.  Answers begin after @base_ms
 * and last on average as long again, by different lengths, so that slots become
 * free at different times. */
static Request *
new_request (gint64 *free_ms, gint64 base_ms, guint in_flight, GRand *rand)
{
  Request *r = g_new0 (Request, 1);
  gint64 *slot = free_ms;

  for (int i = 1; i < (int)FAIR_SHARE; i++)
    slot = free_ms[i] < *slot ? &free_ms[i] : slot;
  r->sent_ms = now;
  r->first_ms = MAX (now, *slot) + base_ms;
  r->end_ms = r->first_ms + g_rand_int_range (rand, 1, 2 * (gint32)base_ms);
  r->in_flight_at_send = in_flight;
  *slot = r->end_ms;
  return r;
}

static void
add_request (const Request *r, guint in_flight)
{
  const CfFirstEventSample e = { .objective_ms = OBJECTIVE_MS,
                                 .fair_share = FAIR_SHARE,
                                 .unqueued_ms = 1,
                                 .now_ms = now,
                                 .sent_ms = r->sent_ms,
                                 .in_flight = in_flight,
                                 .in_flight_at_send = r->in_flight_at_send };

  cf_concurrency_limit_add_sample (&limit, &e);
}

/* Runs a service of this gateway alone, with as many slots as its fair share.
 * @wanted requests are always in flight, as far as the limit allows.  Returns
 * the mean time to the first event in the second half. */
static double
run_service (gint64 base_ms, guint wanted, gint64 duration_ms)
{
  gint64 free_ms[(int)FAIR_SHARE] = { 0 };
  GPtrArray *running = g_ptr_array_new_with_free_func (g_free);
  GRand *rand = g_rand_new_with_seed (1);
  gint64 end = now + duration_ms;
  double sum = 0;
  int n = 0;

  for (; now < end; now++)
    {
      guint max = cf_concurrency_limit_get (&limit);

      max = max ? MIN (max, wanted) : wanted;
      for (guint i = 0; i < running->len; i++)
        {
          const Request *r = running->pdata[i];

          if (r->first_ms != now)
            continue;
          add_request (r, running->len);
          sum += now > end - duration_ms / 2 ? (double)(now - r->sent_ms) : 0;
          n += now > end - duration_ms / 2;
        }
      for (guint i = running->len; i > 0; i--)
        if (((Request *)running->pdata[i - 1])->end_ms <= now)
          g_ptr_array_remove_index (running, i - 1);
      while (running->len < max)
        g_ptr_array_add (
            running, new_request (free_ms, base_ms, running->len + 1, rand));
    }
  g_ptr_array_free (running, TRUE);
  g_rand_free (rand);
  return n ? sum / n : 0;
}

/* Without an engine model the time without a queue is not known: a limit came
 * into force at a time to the first event of 301 ms although no target had a
 * queue. */
START_TEST (slow_starts_without_queue_set_no_limit)
{
  ck_assert_double_eq_tol (run_service (300, (guint)FAIR_SHARE, 60000), 300, 1);
  ck_assert_uint_eq (cf_concurrency_limit_get (&limit), 0);
}
END_TEST

/* After a restart in an overload, the first streams wait behind those of other
 * gateways, although few are in flight here. */
START_TEST (queue_of_other_gateways_sets_limit)
{
  add_streams (16, 1200, 1);
  add_streams (8, 1200, 100);
  ck_assert_uint_gt (cf_concurrency_limit_get (&limit), 0);
  ck_assert_uint_lt (cf_concurrency_limit_get (&limit), 100);
}
END_TEST

START_TEST (queue_from_the_beginning_sets_limit)
{
  double first_ms = run_service (300, (guint)(3 * FAIR_SHARE), 20000);

  ck_assert_uint_gt (cf_concurrency_limit_get (&limit), 0);
  ck_assert_uint_lt (cf_concurrency_limit_get (&limit), 1.3 * FAIR_SHARE);
  ck_assert_double_lt (first_ms, OBJECTIVE_MS);
}
END_TEST

/* A queue that lasts longer than the shortest time is kept must not come to be
 * taken for the time without one. */
START_TEST (long_overload_keeps_the_limit)
{
  ck_assert_double_lt (run_service (100, (guint)FAIR_SHARE, 20000), 101);
  ck_assert_uint_eq (cf_concurrency_limit_get (&limit), 0);
  ck_assert_double_lt (run_service (100, (guint)(6 * FAIR_SHARE), 60000),
                       OBJECTIVE_MS);
  ck_assert_uint_gt (cf_concurrency_limit_get (&limit), 0);
}
END_TEST

/* A limit that a slower service caused lowers the number in flight, so that
 * streams show the time without a queue. */
START_TEST (limit_is_lifted_once_service_is_known_to_be_slower)
{
  ck_assert_double_lt (run_service (100, (guint)FAIR_SHARE, 20000), 101);
  run_service (300, (guint)FAIR_SHARE, 60000);
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
  tcase_add_test (t, slow_starts_without_queue_set_no_limit);
  tcase_add_test (t, queue_of_other_gateways_sets_limit);
  tcase_add_test (t, queue_from_the_beginning_sets_limit);
  tcase_add_test (t, long_overload_keeps_the_limit);
  tcase_add_test (t, limit_is_lifted_once_service_is_known_to_be_slower);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
