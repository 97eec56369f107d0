/* How soon news are asked for again. */
#include "gateway/gather.h"
#include "harness.h"

START_TEST (the_first_news_are_asked_for_at_once)
{
  CfGather g = { 0 };

  for (int i = 0; i < 4; i++)
    ck_assert_int_eq (cf_gather_pause_ms (&g, 10000 + i), 0);
  ck_assert_int_gt (cf_gather_pause_ms (&g, 10004), 0);
}
END_TEST

/* An entry each 20 ms for ten seconds, as at a start: 4 calls, then two a
 * second, and none waits longer than half a second. */
START_TEST (many_news_come_together)
{
  CfGather g = { 0 };
  gint64 now = 1000;
  int calls = 0;

  while (now < 11000)
    {
      gint64 pause = cf_gather_pause_ms (&g, now);

      ck_assert_int_le (pause, 500);
      now += pause + 20;
      calls++;
    }
  ck_assert_int_ge (calls, 20);
  ck_assert_int_le (calls, 25);
  /* After a quiet while it is at once again. */
  ck_assert_int_eq (cf_gather_pause_ms (&g, now + 3000), 0);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("gather");
  TCase *t = tcase_create ("gather");

  tcase_add_test (t, the_first_news_are_asked_for_at_once);
  tcase_add_test (t, many_news_come_together);
  suite_add_tcase (s, t);
  return t_run (s);
}
