/* How retry tokens pass from a process to its successor. */
#include "gateway/retry-handover.h"
#include "harness.h"

#define ADDR "10.0.0.1:1"

static GArray *
make_list (double tokens)
{
  GArray *list = cf_retry_reserve_list_new ();

  cf_retry_reserve_list_add (list, "s", tokens);
  return list;
}

static double
get_tokens (const GArray *list)
{
  return g_array_index (list, CfRetryReserveItem, 0).tokens;
}

/* Returns what the ledger passes on to the process @run; -1: nothing. */
static double
put (CfRetryLedger *l, gint64 run, gint64 seq, double tokens)
{
  GArray *former
      = cf_retry_ledger_put (l, ADDR, run, seq, make_list (tokens), 0);
  double passed_on = former ? get_tokens (former) : -1;

  g_clear_pointer (&former, g_array_unref);
  return passed_on;
}

/* Guards against tokens that are spent while a seed still counts them as
 * reserved. */
START_TEST (reserve_is_released_by_ack_of_latest_statement_only)
{
  CfRetryReserve r = { 0 };

  cf_retry_reserve_state (&r, 8, 1);
  ck_assert_double_eq (r.bound, 8);
  cf_retry_reserve_state (&r, 5, 2);
  cf_retry_reserve_state (&r, 3, 3);
  cf_retry_reserve_acknowledge (&r, 2);
  ck_assert_double_eq (r.bound, 8);
  cf_retry_reserve_acknowledge (&r, 3);
  ck_assert_double_eq (r.bound, 3);
  cf_retry_reserve_state (&r, 1, 4);
  cf_retry_reserve_state (&r, 6, 5);
  cf_retry_reserve_acknowledge (&r, 4);
  ck_assert_double_eq (r.bound, 6);
}
END_TEST

START_TEST (ledger_passes_on_latest_reserve_once)
{
  CfRetryLedger *l = cf_retry_ledger_new ();

  ck_assert_double_eq (put (l, 1, 1, 8), -1);
  ck_assert_double_eq (put (l, 1, 3, 2), -1);
  /* A statement that was overtaken on another connection. */
  ck_assert_double_eq (put (l, 1, 2, 8), -1);
  ck_assert_double_eq (put (l, 2, 0, 0), 2);
  /* What the first process sent arrives after its successor has begun. */
  ck_assert_double_eq (put (l, 1, 4, 8), -1);
  ck_assert_double_eq (put (l, 2, 1, 0), -1);
  ck_assert_double_eq (put (l, 3, 0, 0), 0);
  ck_assert_uint_eq (cf_retry_ledger_size (l), 1);
  cf_retry_ledger_free (l);
}
END_TEST

START_TEST (ledger_is_bounded)
{
  CfRetryLedger *l = cf_retry_ledger_new ();

  for (int i = 0; i < 3000; i++)
    {
      g_autofree char *addr = g_strdup_printf ("10.0.0.1:%d", i);

      ck_assert_ptr_null (
          cf_retry_ledger_put (l, addr, 1, 1, make_list (1), i));
    }
  ck_assert_uint_le (cf_retry_ledger_size (l), 1024);
  cf_retry_ledger_free (l);
}
END_TEST

/* Guards against a successor that believes a seed which missed the latest
 * statements of its predecessor. */
START_TEST (successor_takes_smallest_reserve_of_all_seeds)
{
  const double tokens[] = { 8, 2, 8 };
  CfRetryInheritance i = { 0 };

  for (guint n = 0; n < G_N_ELEMENTS (tokens); n++)
    {
      g_autofree char *seed = g_strdup_printf ("10.0.1.%u:1", n);
      GArray *list = make_list (tokens[n]);

      ck_assert_int_eq (cf_retry_inheritance_add (&i, seed, list, 3), n == 2);
      ck_assert (!cf_retry_inheritance_add (&i, seed, list, 3));
      g_array_unref (list);
    }
  ck_assert_double_eq (get_tokens (i.smallest), 2);
  cf_retry_inheritance_clear (&i);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("retry-handover");
  TCase *t = tcase_create ("core");

  tcase_add_test (t, reserve_is_released_by_ack_of_latest_statement_only);
  tcase_add_test (t, ledger_passes_on_latest_reserve_once);
  tcase_add_test (t, ledger_is_bounded);
  tcase_add_test (t, successor_takes_smallest_reserve_of_all_seeds);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
