/* The ids that a connection has carried. */
#include "gateway/sent-ids.h"
#include "harness.h"

START_TEST (an_id_that_was_sent_is_always_found)
{
  CfSentIds s = { 0 };
  int n = 0;

  for (; !cf_sent_ids_is_full (&s); n++)
    {
      g_autofree char *id = g_strdup_printf ("%08x", n);

      ck_assert (!cf_sent_ids_may_contain (&s, id));
      cf_sent_ids_add (&s, id);
    }
  for (int i = 0; i < n; i++)
    {
      g_autofree char *id = g_strdup_printf ("%08x", i);

      ck_assert (cf_sent_ids_may_contain (&s, id));
    }
  cf_sent_ids_clear (&s);
}
END_TEST

START_TEST (requests_without_an_id_are_not_recorded)
{
  CfSentIds s = { 0 };

  for (int i = 0; i < 1000; i++)
    cf_sent_ids_add (&s, NULL);
  ck_assert (!cf_sent_ids_may_contain (&s, NULL));
  ck_assert (!cf_sent_ids_is_full (&s));
  cf_sent_ids_clear (&s);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("sent-ids");
  TCase *t = tcase_create ("sent-ids");

  tcase_add_test (t, an_id_that_was_sent_is_always_found);
  tcase_add_test (t, requests_without_an_id_are_not_recorded);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
