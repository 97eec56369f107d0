/* Checks the increases between readings of a rank's expert counters. */
#include "gateway/expert-counts.h"
#include "harness.h"

#define EXPERTS 3
#define INCARNATION 700
#define EPOCH 4

static const CfOptionalInt unset = { FALSE, 0 };

static CfOptionalInt
is (gint64 value)
{
  return (CfOptionalInt){ TRUE, value };
}

static CfRankStatus
report (CfOptionalInt incarnation, gint64 epoch, gint64 step)
{
  return (
      CfRankStatus){ .incarnation = incarnation, .epoch = epoch, .step = step };
}

static CfExpertReading
reading (gint64 a, gint64 b, gint64 c)
{
  const gint64 n[EXPERTS] = { a, b, c };
  CfExpertReading r = { .counts = g_array_new (FALSE, FALSE, sizeof *n) };

  g_array_append_vals (r.counts, n, EXPERTS);
  return r;
}

/* Takes @r and checks its outcome, and the increases if it was used. */
static void
check_take (CfExpertCounts *c, CfExpertReading r, CfRankStatus s, gint64 now_ms,
            CfReadingOutcome expected, const gint64 *increases)
{
  GArray *got;
  CfReadingOutcome o = cf_expert_counts_take (c, &r, &s, now_ms, &got);

  ck_assert_str_eq (cf_reading_outcome_name (o),
                    cf_reading_outcome_name (expected));
  ck_assert_int_eq (got != NULL, expected == CF_READING_USED);
  for (guint i = 0; got && i < EXPERTS; i++)
    ck_assert_int_eq (g_array_index (got, gint64, i), increases[i]);
  if (got)
    g_array_unref (got);
  cf_expert_reading_clear (&r);
}

#define INCREASE(...) ((const gint64[EXPERTS]){ __VA_ARGS__ })

START_TEST (the_increase_since_the_last_reading)
{
  CfExpertCounts c = { 0 };
  CfRankStatus s = report (is (INCARNATION), EPOCH, 1);

  check_take (&c, reading (5, 6, 7), s, 1000, CF_READING_FIRST, NULL);
  check_take (&c, reading (5, 9, 8), s, 1100, CF_READING_USED,
              INCREASE (0, 3, 1));
  check_take (&c, reading (6, 9, 8), s, 2100, CF_READING_USED,
              INCREASE (1, 0, 0));
  cf_expert_counts_clear (&c);
}
END_TEST

/* Higher counters than before give no increase if the rank restarted in
 * between.  A counter that decreased was reset. */
START_TEST (no_increase_after_a_counter_reset)
{
  CfExpertCounts c = { 0 };
  CfRankStatus s = report (is (INCARNATION), EPOCH, 1);
  CfRankStatus next = report (is (INCARNATION + 1), EPOCH, 1);

  check_take (&c, reading (5, 6, 7), s, 1000, CF_READING_FIRST, NULL);
  check_take (&c, reading (60, 60, 60), next, 1100, CF_READING_OTHER_PROCESS,
              NULL);
  check_take (&c, reading (67, 60, 60), next, 1200, CF_READING_USED,
              INCREASE (7, 0, 0));
  check_take (&c, reading (90, 2, 60), next, 1300, CF_READING_COUNTERS_RESET,
              NULL);
  check_take (&c, reading (90, 3, 60), next, 1400, CF_READING_USED,
              INCREASE (0, 1, 0));
  cf_expert_counts_clear (&c);
}
END_TEST

/* While the group has no leader counters are not read; the increase over such
 * a long time says nothing about current demand. */
START_TEST (no_increase_over_a_long_time)
{
  CfExpertCounts c = { 0 };
  CfRankStatus s = report (is (INCARNATION), EPOCH, 1);

  check_take (&c, reading (5, 6, 7), s, 1000, CF_READING_FIRST, NULL);
  check_take (&c, reading (9, 9, 9), s, 9000, CF_READING_GAP, NULL);
  check_take (&c, reading (9, 9, 10), s, 9100, CF_READING_USED,
              INCREASE (0, 0, 1));
  cf_expert_counts_clear (&c);
}
END_TEST

/* Every reading was dropped where reports name an incarnation and answers with
 * counters do not. */
START_TEST (counters_without_an_incarnation_are_used)
{
  const CfOptionalInt in_report[] = { is (INCARNATION), unset };

  for (gsize i = 0; i < G_N_ELEMENTS (in_report); i++)
    {
      CfExpertCounts c = { 0 };
      CfRankStatus s = report (in_report[i], EPOCH, 1);

      check_take (&c, reading (5, 6, 7), s, 1000, CF_READING_FIRST, NULL);
      check_take (&c, reading (5, 9, 8), s, 1100, CF_READING_USED,
                  INCREASE (0, 3, 1));
      cf_expert_counts_clear (&c);
    }
}
END_TEST

/* An incarnation that is named in some answers only is the same process. */
START_TEST (an_incarnation_named_later_is_no_restart)
{
  CfExpertCounts c = { 0 };
  CfExpertReading named = reading (6, 9, 8);

  named.incarnation = is (INCARNATION);
  check_take (&c, reading (5, 6, 7), report (unset, EPOCH, 1), 1000,
              CF_READING_FIRST, NULL);
  check_take (&c, reading (5, 9, 8), report (is (INCARNATION), EPOCH, 1), 1100,
              CF_READING_USED, INCREASE (0, 3, 1));
  check_take (&c, named, report (unset, EPOCH, 1), 1200, CF_READING_USED,
              INCREASE (1, 0, 0));
  check_take (&c, reading (6, 9, 9), report (unset, EPOCH, 1), 1300,
              CF_READING_USED, INCREASE (0, 0, 1));
  cf_expert_counts_clear (&c);
}
END_TEST

/* A restart between the report and the counters is told by the incarnation,
 * the epoch or the step, whichever the answer holds. */
START_TEST (a_restart_between_report_and_counters_is_detected)
{
  CfRankStatus s = report (is (INCARNATION), EPOCH, 10);
  const struct
  {
    CfOptionalInt incarnation;
    CfOptionalInt epoch;
    CfOptionalInt step;
    CfReadingOutcome expected;
  } cases[] = {
    { is (INCARNATION + 1), unset, unset, CF_READING_OTHER_PROCESS },
    { unset, is (EPOCH + 1), unset, CF_READING_OTHER_EPOCH },
    { unset, is (EPOCH), is (0), CF_READING_OLDER_STEP },
    { unset, unset, is (9), CF_READING_OLDER_STEP },
  };

  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      CfExpertCounts c = { 0 };
      CfExpertReading r = reading (90, 90, 90);

      r.incarnation = cases[i].incarnation;
      r.epoch = cases[i].epoch;
      r.step = cases[i].step;
      check_take (&c, reading (5, 6, 7), s, 1000, CF_READING_FIRST, NULL);
      check_take (&c, r, s, 1100, cases[i].expected, NULL);
      check_take (&c, reading (5, 6, 8), s, 1200, CF_READING_USED,
                  INCREASE (0, 0, 1));
      cf_expert_counts_clear (&c);
    }
}
END_TEST

/* Without any incarnation a new epoch may mean that the rank restarted. */
START_TEST (without_incarnations_a_new_epoch_ends_the_comparison)
{
  CfExpertCounts c = { 0 };

  check_take (&c, reading (5, 6, 7), report (unset, EPOCH, 1), 1000,
              CF_READING_FIRST, NULL);
  check_take (&c, reading (9, 9, 9), report (unset, EPOCH + 1, 0), 1100,
              CF_READING_OTHER_PROCESS, NULL);
  check_take (&c, reading (9, 9, 10), report (unset, EPOCH + 1, 1), 1200,
              CF_READING_USED, INCREASE (0, 0, 1));
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
  tcase_add_test (t, counters_without_an_incarnation_are_used);
  tcase_add_test (t, an_incarnation_named_later_is_no_restart);
  tcase_add_test (t, a_restart_between_report_and_counters_is_detected);
  tcase_add_test (t, without_incarnations_a_new_epoch_ends_the_comparison);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
