/* Checks the demand for experts: noise is averaged, while a shift takes effect
 * at once. */
#include "gateway/expert-demand.h"
#include "harness.h"

#include <string.h>

#define RANKS 4
#define EXPERTS 8
#define WINDOW_MS 100

static CfExpertDemand demand;
static gint64 now;
static gint64 chosen[RANKS][EXPERTS];

static void
setup (void)
{
  cf_expert_demand_init (&demand, RANKS, EXPERTS);
  now = 1000;
  memset (chosen, 0, sizeof chosen);
  cf_expert_demand_tick (&demand, now);
}

static void
teardown (void)
{
  cf_expert_demand_clear (&demand);
}

/* Runs one window, in which each rank chooses every expert @each times, and
 * @popular another @more times. */
static void
run_window (int popular, int each, int more)
{
  for (int r = 0; r < RANKS; r++)
    {
      for (int e = 0; e < EXPERTS; e++)
        chosen[r][e] += each + (e == popular ? more : 0);
      cf_expert_demand_add (&demand, chosen[r]);
      memset (chosen[r], 0, sizeof chosen[r]);
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

START_TEST (no_demand_at_first)
{
  ck_assert (!cf_expert_demand_is_stable (&demand));
  run_window (0, 100, 100);
  ck_assert (cf_expert_demand_is_stable (&demand));
}
END_TEST

START_TEST (small_changes_are_averaged)
{
  for (int i = 0; i < 20; i++)
    {
      run_window (i % EXPERTS, 100, 40);
      ck_assert (cf_expert_demand_is_stable (&demand));
    }
  for (int e = 0; e < EXPERTS; e++)
    ck_assert_double_eq_tol (share_of (e), 1.0 / EXPERTS, 0.02);
}
END_TEST

/* The window in which a shift falls shows a mixture of old and new demand.  No
 * map is planned from it, and the next window no longer counts old demand. */
START_TEST (a_shift_drops_earlier_demand)
{
  for (int i = 0; i < 20; i++)
    run_window (0, 100, 700);
  ck_assert_double_gt (share_of (0), 0.45);
  for (int r = 0; r < RANKS; r++)
    chosen[r][0] += 400;
  run_window (1, 50, 350);
  ck_assert (!cf_expert_demand_is_stable (&demand));
  run_window (1, 100, 700);
  ck_assert (cf_expert_demand_is_stable (&demand));
  ck_assert_double_gt (share_of (1), 0.45);
  ck_assert_double_lt (share_of (0), 0.1);
  run_window (1, 100, 700);
  ck_assert (cf_expert_demand_is_stable (&demand));
}
END_TEST

/* A window with too few reports stays open. */
START_TEST (a_window_waits_for_reports)
{
  run_window (0, 100, 0);
  chosen[0][3] += 5000;
  cf_expert_demand_add (&demand, chosen[0]);
  now += WINDOW_MS;
  cf_expert_demand_tick (&demand, now);
  ck_assert_double_lt (share_of (3), 0.2);
  ck_assert (cf_expert_demand_is_stable (&demand));
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("expert-demand");
  TCase *tc = tcase_create ("core");

  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, no_demand_at_first);
  tcase_add_test (tc, small_changes_are_averaged);
  tcase_add_test (tc, a_shift_drops_earlier_demand);
  tcase_add_test (tc, a_window_waits_for_reports);
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
