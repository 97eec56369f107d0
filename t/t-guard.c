#include "guard.h"
#include "harness.h"

#include <check.h>

START_TEST (test_call_runs_at_most_once)
{
  CfGuard g;
  g_autofree char *body = NULL;
  gint64 code = 0;

  cf_guard_init (&g, 1000, 2, 0);
  ck_assert_int_eq (cf_guard_begin (&g, "k", CF_KEY_UNCLAIMED, 0, &code, &body),
                    CF_GUARD_NEW);
  ck_assert_int_eq (cf_guard_begin (&g, "k", CF_KEY_UNCLAIMED, 1, &code, &body),
                    CF_GUARD_RUNNING);
  cf_guard_finish (&g, "k", TRUE, 200, "done", 2);
  ck_assert_int_eq (cf_guard_begin (&g, "k", CF_KEY_UNCLAIMED, 3, &code, &body),
                    CF_GUARD_DONE);
  ck_assert_int_eq (code, 200);
  ck_assert_str_eq (body, "done");
  /* After its time to live the key is free again. */
  ck_assert_int_eq (
      cf_guard_begin (&g, "k", CF_KEY_UNCLAIMED, 1003, &code, &body),
      CF_GUARD_NEW);
  cf_guard_clear (&g);
}
END_TEST

START_TEST (test_unknown_call_never_runs_again_and_full_table_refuses)
{
  CfGuard g;
  char *body = NULL;
  gint64 code = 0;

  cf_guard_init (&g, 1000, 2, 0);
  ck_assert_int_eq (cf_guard_begin (&g, "a", CF_KEY_UNCLAIMED, 0, &code, &body),
                    CF_GUARD_NEW);
  cf_guard_finish (&g, "a", FALSE, 0, NULL, 0);
  ck_assert_int_eq (cf_guard_begin (&g, "a", CF_KEY_UNCLAIMED, 1, &code, &body),
                    CF_GUARD_UNKNOWN);
  ck_assert_int_eq (cf_guard_begin (&g, "b", CF_KEY_UNCLAIMED, 1, &code, &body),
                    CF_GUARD_NEW);
  ck_assert_int_eq (cf_guard_begin (&g, "c", CF_KEY_UNCLAIMED, 1, &code, &body),
                    CF_GUARD_FULL);
  cf_guard_remove (&g, "b");
  ck_assert_int_eq (cf_guard_begin (&g, "c", CF_KEY_UNCLAIMED, 1, &code, &body),
                    CF_GUARD_NEW);
  cf_guard_clear (&g);
}
END_TEST

START_TEST (test_claims_are_held_released_and_renewed)
{
  g_autofree char *holder = NULL;
  CfGuard g;

  cf_guard_init (&g, 1000, 2, 0);
  ck_assert_int_eq (cf_guard_claim (&g, "k", "t1", "a1", 0, &holder),
                    CF_VERDICT_GRANTED);
  ck_assert_int_eq (cf_guard_claim (&g, "k", "t2", "a2", 1, &holder),
                    CF_VERDICT_HELD);
  ck_assert_str_eq (holder, "a1");
  /* The same attempt may change its runner. */
  ck_assert_int_eq (cf_guard_claim (&g, "k", "t1", "a3", 2, &holder),
                    CF_VERDICT_GRANTED);
  /* Only the holder can release the claim. */
  cf_guard_release (&g, "k", "t2");
  g_clear_pointer (&holder, g_free);
  ck_assert_int_eq (cf_guard_claim (&g, "k", "t2", "a2", 3, &holder),
                    CF_VERDICT_HELD);
  ck_assert_str_eq (holder, "a3");
  cf_guard_release (&g, "k", "t1");
  ck_assert_int_eq (cf_guard_claim (&g, "k", "t2", "a2", 4, &holder),
                    CF_VERDICT_GRANTED);
  /* With a full table the guard abstains; an expired claim makes room. */
  ck_assert_int_eq (cf_guard_claim (&g, "l", "t3", "a1", 5, &holder),
                    CF_VERDICT_GRANTED);
  ck_assert_int_eq (cf_guard_claim (&g, "m", "t4", "a1", 6, &holder),
                    CF_VERDICT_ABSTAIN);
  ck_assert_int_eq (cf_guard_claim (&g, "m", "t4", "a1", 1004, &holder),
                    CF_VERDICT_GRANTED);
  cf_guard_clear (&g);
}
END_TEST

START_TEST (test_quiet_guard_grants_nothing)
{
  g_autofree char *holder = NULL;
  g_autofree char *body = NULL;
  gint64 code = 0;
  CfGuard g;

  cf_guard_init (&g, 1000, 4, 100);
  ck_assert_int_eq (cf_guard_remaining_quiet_ms (&g, 40), 60);
  ck_assert_int_eq (cf_guard_claim (&g, "k", "t1", "a1", 40, &holder),
                    CF_VERDICT_ABSTAIN);
  /* A claim made in the quiet period blocks others but is never granted. */
  ck_assert_int_eq (cf_guard_claim (&g, "k", "t2", "a1", 50, &holder),
                    CF_VERDICT_HELD);
  ck_assert_int_eq (cf_guard_claim (&g, "k", "t1", "a1", 150, &holder),
                    CF_VERDICT_ABSTAIN);
  ck_assert_int_eq (
      cf_guard_begin (&g, "x", CF_KEY_UNCLAIMED, 40, &code, &body),
      CF_GUARD_QUIET);
  ck_assert_int_eq (cf_guard_begin (&g, "x", CF_KEY_CLAIMED, 41, &code, &body),
                    CF_GUARD_NEW);
  ck_assert_int_eq (cf_guard_begin (&g, "y", CF_KEY_REPLAY, 150, &code, &body),
                    CF_GUARD_UNKNOWN);
  ck_assert_int_eq (
      cf_guard_begin (&g, "y", CF_KEY_UNCLAIMED, 151, &code, &body),
      CF_GUARD_NEW);
  cf_guard_clear (&g);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("guard");
  TCase *tc = tcase_create ("core");

  tcase_add_test (tc, test_call_runs_at_most_once);
  tcase_add_test (tc,
                  test_unknown_call_never_runs_again_and_full_table_refuses);
  tcase_add_test (tc, test_claims_are_held_released_and_renewed);
  tcase_add_test (tc, test_quiet_guard_grants_nothing);
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
