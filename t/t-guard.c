#include "guard.h"
#include "harness.h"

#include <check.h>

START_TEST (test_at_most_once)
{
  CfGuard g;
  g_autofree char *body = NULL;
  gint64 code = 0;

  cf_guard_init (&g, 1000, 2);
  ck_assert_int_eq (cf_guard_begin (&g, "k", 0, &code, &body), CF_GUARD_NEW);
  ck_assert_int_eq (cf_guard_begin (&g, "k", 1, &code, &body),
                    CF_GUARD_RUNNING);
  cf_guard_finish (&g, "k", TRUE, 200, "done", 2);
  ck_assert_int_eq (cf_guard_begin (&g, "k", 3, &code, &body), CF_GUARD_DONE);
  ck_assert_int_eq (code, 200);
  ck_assert_str_eq (body, "done");
  /* After the time to live the key is free again. */
  ck_assert_int_eq (cf_guard_begin (&g, "k", 1003, &code, &body), CF_GUARD_NEW);
  cf_guard_clear (&g);
}
END_TEST

START_TEST (test_unknown_never_runs_again_and_full_refuses)
{
  CfGuard g;
  char *body = NULL;
  gint64 code = 0;

  cf_guard_init (&g, 1000, 2);
  ck_assert_int_eq (cf_guard_begin (&g, "a", 0, &code, &body), CF_GUARD_NEW);
  cf_guard_finish (&g, "a", FALSE, 0, NULL, 0);
  ck_assert_int_eq (cf_guard_begin (&g, "a", 1, &code, &body),
                    CF_GUARD_UNKNOWN);
  ck_assert_int_eq (cf_guard_begin (&g, "b", 1, &code, &body), CF_GUARD_NEW);
  ck_assert_int_eq (cf_guard_begin (&g, "c", 1, &code, &body), CF_GUARD_FULL);
  cf_guard_forget (&g, "b");
  ck_assert_int_eq (cf_guard_begin (&g, "c", 1, &code, &body), CF_GUARD_NEW);
  cf_guard_clear (&g);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("guard");
  TCase *tc = tcase_create ("core");

  tcase_add_test (tc, test_at_most_once);
  tcase_add_test (tc, test_unknown_never_runs_again_and_full_refuses);
  suite_add_tcase (s, tc);
  return t_run (s);
}
