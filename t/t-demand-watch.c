/* Whether a leader notices that its ranks send no demand. */
#include "gateway/demand-watch.h"
#include "harness.h"

/* Advances @w by @ms, with a status every 100 ms, and returns the last change
 * that it found. */
static CfDemandWatchChange
run (CfDemandWatch *w, gint64 *now, gint64 ms, gboolean has_demand,
     gboolean is_due)
{
  CfDemandWatchChange last = CF_DEMAND_UNCHANGED;

  for (gint64 end = *now + ms; *now < end; *now += 100)
    {
      CfDemandWatchChange c;

      cf_demand_watch_note_status (w, has_demand, *now);
      c = cf_demand_watch_check (w, is_due, *now);
      if (c != CF_DEMAND_UNCHANGED)
        last = c;
    }
  return last;
}

START_TEST (statuses_without_demand_are_noticed_once)
{
  CfDemandWatch w = { 0 };
  gint64 now = 1000;

  ck_assert_int_eq (run (&w, &now, 1000, TRUE, TRUE), CF_DEMAND_UNCHANGED);
  ck_assert_int_eq (run (&w, &now, 2000, FALSE, TRUE), CF_DEMAND_UNCHANGED);
  ck_assert_int_eq (run (&w, &now, 2000, FALSE, TRUE), CF_DEMAND_MISSING);
  ck_assert_int_eq (run (&w, &now, 9000, FALSE, TRUE), CF_DEMAND_UNCHANGED);
  ck_assert_int_eq (run (&w, &now, 200, TRUE, TRUE), CF_DEMAND_BACK);
}
END_TEST

/* Ranks that copy experts, and those of a group that another gateway leads,
 * send none. */
START_TEST (demand_that_is_not_due_is_not_missed)
{
  CfDemandWatch w = { 0 };
  gint64 now = 1000;

  ck_assert_int_eq (run (&w, &now, 9000, FALSE, FALSE), CF_DEMAND_UNCHANGED);
  ck_assert_int_eq (run (&w, &now, 2900, FALSE, TRUE), CF_DEMAND_UNCHANGED);
}
END_TEST

START_TEST (silent_ranks_are_not_taken_for_missing_demand)
{
  CfDemandWatch w = { 0 };
  gint64 now = 1000;

  run (&w, &now, 1000, TRUE, TRUE);
  for (gint64 end = now + 9000; now < end; now += 100)
    ck_assert_int_eq (cf_demand_watch_check (&w, TRUE, now),
                      CF_DEMAND_UNCHANGED);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("demand-watch");
  TCase *t = tcase_create ("demand-watch");

  tcase_add_test (t, statuses_without_demand_are_noticed_once);
  tcase_add_test (t, demand_that_is_not_due_is_not_missed);
  tcase_add_test (t, silent_ranks_are_not_taken_for_missing_demand);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
