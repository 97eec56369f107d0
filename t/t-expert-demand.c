/* What experts draw lately: noise is averaged, a shift is seen at once. */
#include "gateway/expert-demand.h"
#include "harness.h"

#include <string.h>

#define RANKS 4
#define EXPERTS 8
#define WINDOW_MS 100

static CfExpertDemand demand;
static gint64 now;
static gint64 drawn[RANKS][EXPERTS];

static void
setup (void)
{
  cf_expert_demand_init (&demand, RANKS, EXPERTS);
  now = 1000;
  memset (drawn, 0, sizeof drawn);
  cf_expert_demand_tick (&demand, now);
}

static void
teardown (void)
{
  cf_expert_demand_clear (&demand);
}

/* A window in which each rank draws @each of every expert, and @more of
 * expert @hot. */
static void
window (int hot, int each, int more)
{
  for (int r = 0; r < RANKS; r++)
    {
      for (int e = 0; e < EXPERTS; e++)
        drawn[r][e] += each + (e == hot ? more : 0);
      cf_expert_demand_add (&demand, drawn[r]);
      memset (drawn[r], 0, sizeof drawn[r]);
    }
  now += WINDOW_MS;
  cf_expert_demand_tick (&demand, now);
}

static double
share_of (int expert)
{
  double sum = 0;

  for (int e = 0; e < EXPERTS; e++)
    sum += demand.tokens[e];
  return demand.tokens[expert] / sum;
}

START_TEST (nothing_is_known_at_first)
{
  ck_assert (!cf_expert_demand_known (&demand));
  window (0, 100, 100);
  ck_assert (cf_expert_demand_known (&demand));
}
END_TEST

START_TEST (small_changes_are_averaged)
{
  for (int i = 0; i < 20; i++)
    {
      window (i % EXPERTS, 100, 40);
      ck_assert (cf_expert_demand_known (&demand));
    }
  for (int e = 0; e < EXPERTS; e++)
    ck_assert_double_eq_tol (share_of (e), 1.0 / EXPERTS, 0.02);
}
END_TEST

/* The window in which a shift falls is a mixture: no plan is made of it,
 * and after the next one nothing of the old demand is left. */
START_TEST (a_shift_is_counted_by_itself)
{
  for (int i = 0; i < 20; i++)
    window (0, 100, 700);
  ck_assert_double_gt (share_of (0), 0.45);
  for (int r = 0; r < RANKS; r++)
    drawn[r][0] += 400;
  window (1, 50, 350);
  ck_assert (!cf_expert_demand_known (&demand));
  window (1, 100, 700);
  ck_assert (cf_expert_demand_known (&demand));
  ck_assert_double_gt (share_of (1), 0.45);
  ck_assert_double_lt (share_of (0), 0.1);
  window (1, 100, 700);
  ck_assert (cf_expert_demand_known (&demand));
}
END_TEST

/* With few reports in it a window goes on. */
START_TEST (a_window_waits_for_reports)
{
  window (0, 100, 0);
  drawn[0][3] += 5000;
  cf_expert_demand_add (&demand, drawn[0]);
  now += WINDOW_MS;
  cf_expert_demand_tick (&demand, now);
  ck_assert_double_lt (share_of (3), 0.2);
  ck_assert (cf_expert_demand_known (&demand));
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("expert-demand");
  TCase *tc = tcase_create ("core");

  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, nothing_is_known_at_first);
  tcase_add_test (tc, small_changes_are_averaged);
  tcase_add_test (tc, a_shift_is_counted_by_itself);
  tcase_add_test (tc, a_window_waits_for_reports);
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
