/*
 * Placement policies: each reduces the skew of a skewed popularity, and the
 * bounded one respects its limit of moves and makes none that costs more
 * than it gains.
 */
#include "harness.h"
#include "placement.h"

#include <check.h>

#define EXPERTS 16
#define RANKS 4
#define PLACES 5

static const CfPlacement greedy = { .kind = CF_PLACEMENT_GREEDY };

/* Experts 0, 4, 8 and 12, all on rank 0 of map 1, get the most tokens. */
static void
set_skewed_tokens (double *tokens)
{
  for (int e = 0; e < EXPERTS; e++)
    tokens[e] = e % RANKS == 0 ? 100 : 10;
}

static CfPlacement
make_bounded_policy (int max_moves, double move_weight)
{
  CfPlacement p = { .kind = CF_PLACEMENT_BOUNDED };

  p.u.bounded.skew_weight = 1.0;
  p.u.bounded.move_weight = move_weight;
  p.u.bounded.max_moves = max_moves;
  return p;
}

static void
check_map_is_complete (const CfExpertMap *m)
{
  for (int e = 0; e < EXPERTS; e++)
    {
      int copies = 0;

      for (int r = 0; r < RANKS; r++)
        copies += cf_expert_map_rank_has (m, r, e);
      ck_assert_int_ge (copies, 1);
      ck_assert_int_eq (copies, m->copies[e]);
    }
}

START_TEST (test_policies_reduce_skew)
{
  CfExpertMap *m = cf_expert_map_new (EXPERTS, RANKS, PLACES);
  CfPlacement none = { .kind = CF_PLACEMENT_NONE };
  CfPlacement few = make_bounded_policy (3, 0.001);
  CfPlacementPlan p;
  double tokens[EXPERTS];

  set_skewed_tokens (tokens);
  p = cf_placement_plan (&none, m, tokens);
  ck_assert_ptr_null (p.map);
  ck_assert_double_gt (p.skew_before, 3.0);

  p = cf_placement_plan (&greedy, m, tokens);
  ck_assert_ptr_nonnull (p.map);
  ck_assert_double_lt (p.skew_after, 1.2);
  check_map_is_complete (p.map);
  cf_expert_map_free (p.map);

  p = cf_placement_plan (&few, m, tokens);
  ck_assert_ptr_nonnull (p.map);
  ck_assert_int_le (p.moves, 3);
  ck_assert_double_lt (p.skew_after, p.skew_before);
  check_map_is_complete (p.map);
  cf_expert_map_free (p.map);
  cf_expert_map_free (m);
}
END_TEST

START_TEST (test_move_below_its_cost_is_rejected)
{
  CfExpertMap *m = cf_expert_map_new (EXPERTS, RANKS, PLACES);
  CfPlacement expensive = make_bounded_policy (16, 10.0);
  CfPlacement cheap = make_bounded_policy (16, 0.0);
  double tokens[EXPERTS];
  double even[EXPERTS];
  double no_tokens[EXPERTS] = { 0 };

  set_skewed_tokens (tokens);
  ck_assert_ptr_null (cf_placement_plan (&expensive, m, tokens).map);
  /* With an even load, or before any report, no policy moves anything. */
  for (int e = 0; e < EXPERTS; e++)
    even[e] = 10;
  ck_assert_ptr_null (cf_placement_plan (&cheap, m, even).map);
  ck_assert_ptr_null (cf_placement_plan (&greedy, m, even).map);
  ck_assert_ptr_null (cf_placement_plan (&greedy, m, no_tokens).map);
  cf_expert_map_free (m);
}
END_TEST

START_TEST (test_popularity_average_handles_restarted_counters)
{
  CfExpertPopularity p;
  double first[2] = { 100, 20 };
  double second[2] = { 140, 20 };
  double restarted[2] = { 8, 2 };

  cf_expert_popularity_init (&p, 2);
  cf_expert_popularity_add_report (&p, first, 0.5);
  ck_assert_double_eq (p.tokens[0], 100);
  cf_expert_popularity_add_report (&p, second, 0.5);
  ck_assert_double_eq (p.tokens[0], 70); /* halfway from 100 to 40 */
  ck_assert_double_eq (p.tokens[1], 10);
  cf_expert_popularity_add_report (&p, restarted, 0.5);
  ck_assert_double_eq (p.tokens[0], 39); /* halfway from 70 to 8 */
  cf_expert_popularity_clear (&p);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("placement");
  TCase *tc = tcase_create ("core");

  tcase_add_test (tc, test_policies_reduce_skew);
  tcase_add_test (tc, test_move_below_its_cost_is_rejected);
  tcase_add_test (tc, test_popularity_average_handles_restarted_counters);
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
