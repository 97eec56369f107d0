/* What a rank's experts were chosen for since the last reading. */
#include "gateway/expert-counts.h"
#include "harness.h"

#define EXPERTS 3
#define STARTED 700

static GArray *
counts (gint64 a, gint64 b, gint64 c)
{
  const gint64 n[EXPERTS] = { a, b, c };
  GArray *out = g_array_new (FALSE, FALSE, sizeof (gint64));

  g_array_append_vals (out, n, EXPERTS);
  return out;
}

static void
check (GArray *since, gint64 a, gint64 b, gint64 c)
{
  ck_assert_ptr_nonnull (since);
  ck_assert_uint_eq (since->len, EXPERTS);
  ck_assert_int_eq (g_array_index (since, gint64, 0), a);
  ck_assert_int_eq (g_array_index (since, gint64, 1), b);
  ck_assert_int_eq (g_array_index (since, gint64, 2), c);
  g_array_unref (since);
}

START_TEST (what_came_since_the_last_reading)
{
  CfExpertCounts c = { 0 };

  ck_assert_ptr_null (
      cf_expert_counts_since (&c, counts (5, 6, 7), STARTED, 1000));
  check (cf_expert_counts_since (&c, counts (5, 9, 8), STARTED, 1100), 0, 3, 1);
  check (cf_expert_counts_since (&c, counts (6, 9, 8), STARTED, 2100), 1, 0, 0);
  cf_expert_counts_clear (&c);
}
END_TEST

/* Counts that are higher than before are no difference if the rank started
 * anew, or began to count anew, in between. */
START_TEST (a_rank_that_counts_from_anew)
{
  CfExpertCounts c = { 0 };

  cf_expert_counts_since (&c, counts (5, 6, 7), STARTED, 1000);
  ck_assert_ptr_null (
      cf_expert_counts_since (&c, counts (60, 60, 60), STARTED + 1, 1100));
  check (cf_expert_counts_since (&c, counts (67, 60, 60), STARTED + 1, 1200), 7,
         0, 0);
  ck_assert_ptr_null (
      cf_expert_counts_since (&c, counts (90, 2, 60), STARTED + 1, 1300));
  check (cf_expert_counts_since (&c, counts (90, 3, 60), STARTED + 1, 1400), 0,
         1, 0);
  cf_expert_counts_clear (&c);
}
END_TEST

/* Nobody led for a while: what was drawn then tells nothing of now. */
START_TEST (a_reading_of_long_ago_is_none)
{
  CfExpertCounts c = { 0 };

  cf_expert_counts_since (&c, counts (5, 6, 7), STARTED, 1000);
  ck_assert_ptr_null (
      cf_expert_counts_since (&c, counts (9, 9, 9), STARTED, 9000));
  check (cf_expert_counts_since (&c, counts (9, 9, 10), STARTED, 9100), 0, 0,
         1);
  cf_expert_counts_clear (&c);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("expert-counts");
  TCase *t = tcase_create ("expert-counts");

  tcase_add_test (t, what_came_since_the_last_reading);
  tcase_add_test (t, a_rank_that_counts_from_anew);
  tcase_add_test (t, a_reading_of_long_ago_is_none);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
