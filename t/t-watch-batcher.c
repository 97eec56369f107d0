/* Delays between the polls of a watch. */
#include "gateway/watch-batcher.h"
#include "harness.h"

START_TEST (rare_events_cause_no_delay)
{
  CfWatchBatcher b = { 0 };

  for (int i = 0; i < 4; i++)
    ck_assert_int_eq (cf_watch_batcher_next_delay_ms (&b, 10000 + i), 0);
  ck_assert_int_gt (cf_watch_batcher_next_delay_ms (&b, 10004), 0);
}
END_TEST

/* An event every 20 ms for ten seconds, as when a fleet starts: 4 calls, then
 * two a second, and no delay is longer than half a second. */
START_TEST (frequent_events_are_batched)
{
  CfWatchBatcher b = { 0 };
  gint64 now = 1000;
  int calls = 0;

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

int
main (void)
{
  Suite *s = suite_create ("watch-batcher");
  TCase *t = tcase_create ("watch-batcher");

  tcase_add_test (t, rare_events_cause_no_delay);
  tcase_add_test (t, frequent_events_are_batched);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
