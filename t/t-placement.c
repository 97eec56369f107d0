/*
 * Placement policies: what each does with a skewed popularity, and that a
 * bounded change stays within its moves and is worth its cost.
 */
#include "harness.h"
#include "placement.h"

#include <check.h>

#define EXPERTS 16
#define RANKS 4
#define PLACES 5

static const CfPlacement greedy = { .kind = CF_PLACE_GREEDY };

/* Experts 0, 4, 8 and 12 sit on rank 0 of map 1 and draw the most. */
static void
skewed (double *tokens)
{
  for (int e = 0; e < EXPERTS; e++)
    tokens[e] = e % RANKS == 0 ? 100 : 10;
}

static CfPlacement
bounded (int max_moves, double move_weight)
{
  CfPlacement p = { .kind = CF_PLACE_BOUNDED };

  p.u.bounded.skew_weight = 1.0;
  p.u.bounded.move_weight = move_weight;
  p.u.bounded.max_moves = max_moves;
  return p;
}

static void
check_whole (const CfExpertMap *m)
{
  for (int e = 0; e < EXPERTS; e++)
    {
      int copies = 0;

      for (int r = 0; r < RANKS; r++)
        copies += cf_expert_map_holds (m, r, e);
      ck_assert_int_ge (copies, 1);
      ck_assert_int_eq (copies, m->copies[e]);
    }
}

START_TEST (test_policies_even_out_skew)
{
  CfExpertMap *m = cf_expert_map_new (EXPERTS, RANKS, PLACES);
  CfPlacement none = { .kind = CF_PLACE_NONE };
  CfPlacement few = bounded (3, 0.001);
  CfPlacementPlan p;
  double tokens[EXPERTS];

  skewed (tokens);
  p = cf_placement_plan (&none, m, tokens);
  ck_assert_ptr_null (p.map);
  ck_assert_double_gt (p.before, 3.0);

  p = cf_placement_plan (&greedy, m, tokens);
  ck_assert_ptr_nonnull (p.map);
  ck_assert_double_lt (p.after, 1.2);
  check_whole (p.map);
  cf_expert_map_free (p.map);

  p = cf_placement_plan (&few, m, tokens);
  ck_assert_ptr_nonnull (p.map);
  ck_assert_int_le (p.moves, 3);
  ck_assert_double_lt (p.after, p.before);
  check_whole (p.map);
  cf_expert_map_free (p.map);
  cf_expert_map_free (m);
}
END_TEST

START_TEST (test_a_move_not_worth_its_cost_is_not_made)
{
  CfExpertMap *m = cf_expert_map_new (EXPERTS, RANKS, PLACES);
  CfPlacement dear = bounded (16, 10.0);
  CfPlacement cheap = bounded (16, 0.0);
  double tokens[EXPERTS];
  double even[EXPERTS];
  double nothing[EXPERTS] = { 0 };

  skewed (tokens);
  ck_assert_ptr_null (cf_placement_plan (&dear, m, tokens).map);
  /* Nothing to gain, or nothing known: no policy moves anything. */
  for (int e = 0; e < EXPERTS; e++)
    even[e] = 10;
  ck_assert_ptr_null (cf_placement_plan (&cheap, m, even).map);
  ck_assert_ptr_null (cf_placement_plan (&greedy, m, even).map);
  ck_assert_ptr_null (cf_placement_plan (&greedy, m, nothing).map);
  cf_expert_map_free (m);
}
END_TEST

START_TEST (test_popularity_follows_late_and_restarted_counters)
{
  CfPopularity p;
  double first[2] = { 100, 20 };
  double second[2] = { 140, 20 };
  double restarted[2] = { 8, 2 };

  cf_popularity_init (&p, 2);
  cf_popularity_report (&p, first, 0.5);
  ck_assert_double_eq (p.tokens[0], 100);
  cf_popularity_report (&p, second, 0.5);
  ck_assert_double_eq (p.tokens[0], 70); /* halfway from 100 to 40 */
  ck_assert_double_eq (p.tokens[1], 10);
  cf_popularity_report (&p, restarted, 0.5);
  ck_assert_double_eq (p.tokens[0], 39); /* halfway from 70 to 8 */
  cf_popularity_clear (&p);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("placement");
  TCase *tc = tcase_create ("core");

  tcase_add_test (tc, test_policies_even_out_skew);
  tcase_add_test (tc, test_a_move_not_worth_its_cost_is_not_made);
  tcase_add_test (tc, test_popularity_follows_late_and_restarted_counters);
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
