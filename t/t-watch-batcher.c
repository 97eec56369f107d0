/* Delays between the polls of a watch. */
#include "gateway/watch-batcher.h"
#include "harness.h"

START_TEST (rare_events_cause_no_delay)
{
  CfWatchBatcher b;

  cf_watch_batcher_init (&b, 2000);
  for (int i = 0; i < 4; i++)
    ck_assert_int_eq (cf_watch_batcher_next_delay_ms (&b, 10000 + i), 0);
  ck_assert_int_gt (cf_watch_batcher_next_delay_ms (&b, 10004), 0);
}
END_TEST

/* An event every 20 ms for ten seconds, as when a fleet starts: 4 calls, then
 * two a second, and no delay is longer than half a second. */
START_TEST (frequent_events_are_batched)
{
  CfWatchBatcher b;
  gint64 now = 1000;
  int calls = 0;

  cf_watch_batcher_init (&b, 2000);
  while (now < 11000)
    {
      gint64 delay = cf_watch_batcher_next_delay_ms (&b, now);

      ck_assert_int_le (delay, 500);
      now += delay + 20;
      calls++;
    }
  ck_assert_int_ge (calls, 20);
  ck_assert_int_le (calls, 25);
  /* After a time without events there is no delay. */
  ck_assert_int_eq (cf_watch_batcher_next_delay_ms (&b, now + 3000), 0);
}
END_TEST

/* The calls for a fleet's start, 5 s of new records, follow the time limit. */
START_TEST (longer_time_limits_take_fewer_calls)
{
  static const struct
  {
    gint64 time_limit_ms;
    int max_calls;
    gint64 max_delay_ms;
  } cases[] = {
    { 0, 14, 500 }, { 2000, 14, 500 }, { 5000, 8, 1250 }, { 60000, 8, 1500 }
  };

  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      CfWatchBatcher b;
      gint64 now = 1000;
      int calls = 0;

      cf_watch_batcher_init (&b, cases[i].time_limit_ms);
      for (; now < 6000; calls++)
        {
          gint64 delay = cf_watch_batcher_next_delay_ms (&b, now);

          ck_assert_int_le (delay, cases[i].max_delay_ms);
          now += delay + 5;
        }
      ck_assert_int_le (calls, cases[i].max_calls);
    }
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("watch-batcher");
  TCase *t = tcase_create ("watch-batcher");

  tcase_add_test (t, rare_events_cause_no_delay);
  tcase_add_test (t, frequent_events_are_batched);
  tcase_add_test (t, longer_time_limits_take_fewer_calls);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
