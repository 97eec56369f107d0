/* When a watch polls again. */
#include "gateway/watch-batcher.h"
#include "harness.h"

START_TEST (rare_events_are_polled_for_at_once)
{
  CfWatchBatcher g = { 0 };

  for (int i = 0; i < 4; i++)
    ck_assert_int_eq (cf_watch_batcher_pause_ms (&g, 10000 + i), 0);
  ck_assert_int_gt (cf_watch_batcher_pause_ms (&g, 10004), 0);
}
END_TEST

/* An entry each 20 ms for ten seconds, as at a start: 4 calls, then two a
 * second, and none waits longer than half a second. */
START_TEST (frequent_events_are_batched)
{
  CfWatchBatcher g = { 0 };
  gint64 now = 1000;
  int calls = 0;

  while (now < 11000)
    {
      gint64 pause = cf_watch_batcher_pause_ms (&g, now);

      ck_assert_int_le (pause, 500);
      now += pause + 20;
      calls++;
    }
  ck_assert_int_ge (calls, 20);
  ck_assert_int_le (calls, 25);
  /* After a quiet while it is at once again. */
  ck_assert_int_eq (cf_watch_batcher_pause_ms (&g, now + 3000), 0);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("watch-batcher");
  TCase *t = tcase_create ("watch-batcher");

  tcase_add_test (t, rare_events_are_polled_for_at_once);
  tcase_add_test (t, frequent_events_are_batched);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
