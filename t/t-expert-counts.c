/* Checks the increases between readings of a rank's expert counters. */
#include "gateway/expert-counts.h"
#include "harness.h"

#define EXPERTS 3
#define INCARNATION 700

static GArray *
counts (gint64 a, gint64 b, gint64 c)
{
  const gint64 n[EXPERTS] = { a, b, c };
  GArray *out = g_array_new (FALSE, FALSE, sizeof (gint64));

  g_array_append_vals (out, n, EXPERTS);
  return out;
}

static void
check_increase (GArray *increase, gint64 a, gint64 b, gint64 c)
{
  ck_assert_ptr_nonnull (increase);
  ck_assert_uint_eq (increase->len, EXPERTS);
  ck_assert_int_eq (g_array_index (increase, gint64, 0), a);
  ck_assert_int_eq (g_array_index (increase, gint64, 1), b);
  ck_assert_int_eq (g_array_index (increase, gint64, 2), c);
  g_array_unref (increase);
}

START_TEST (the_increase_since_the_last_reading)
{
  CfExpertCounts c = { 0 };

  ck_assert_ptr_null (cf_expert_counts_take_increases (&c, counts (5, 6, 7),
                                                       INCARNATION, 1000));
  check_increase (
      cf_expert_counts_take_increases (&c, counts (5, 9, 8), INCARNATION, 1100),
      0, 3, 1);
  check_increase (
      cf_expert_counts_take_increases (&c, counts (6, 9, 8), INCARNATION, 2100),
      1, 0, 0);
  cf_expert_counts_clear (&c);
}
END_TEST

/* Higher counters than before give no increase if the rank restarted in
 * between.  A counter that decreased was reset. */
START_TEST (no_increase_after_a_counter_reset)
{
  CfExpertCounts c = { 0 };

  cf_expert_counts_take_increases (&c, counts (5, 6, 7), INCARNATION, 1000);
  ck_assert_ptr_null (cf_expert_counts_take_increases (&c, counts (60, 60, 60),
                                                       INCARNATION + 1, 1100));
  check_increase (cf_expert_counts_take_increases (&c, counts (67, 60, 60),
                                                   INCARNATION + 1, 1200),
                  7, 0, 0);
  ck_assert_ptr_null (cf_expert_counts_take_increases (&c, counts (90, 2, 60),
                                                       INCARNATION + 1, 1300));
  check_increase (cf_expert_counts_take_increases (&c, counts (90, 3, 60),
                                                   INCARNATION + 1, 1400),
                  0, 1, 0);
  cf_expert_counts_clear (&c);
}
END_TEST

/* While the group has no leader counters are not read; the increase over such
 * a long time says nothing about current demand. */
START_TEST (no_increase_over_a_long_time)
{
  CfExpertCounts c = { 0 };

  cf_expert_counts_take_increases (&c, counts (5, 6, 7), INCARNATION, 1000);
  ck_assert_ptr_null (cf_expert_counts_take_increases (&c, counts (9, 9, 9),
                                                       INCARNATION, 9000));
  check_increase (cf_expert_counts_take_increases (&c, counts (9, 9, 10),
                                                   INCARNATION, 9100),
                  0, 0, 1);
  cf_expert_counts_clear (&c);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("expert-counts");
  TCase *t = tcase_create ("expert-counts");

  tcase_add_test (t, the_increase_since_the_last_reading);
  tcase_add_test (t, no_increase_after_a_counter_reset);
  tcase_add_test (t, no_increase_over_a_long_time);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
