/* The table of targets: incarnations of one id, addresses, spoiled records. */
#include "gateway/target.h"
#include "harness.h"
#include "target-harness.h"

#include <string.h>

static CfTargetTable table;
static gint64 rev;

/* The next write of the store, heard at @now. */
static CfTargetChange
put_at (const char *id, const char *service, const char *addr,
        gint64 incarnation, gboolean leaving, gint64 now)
{
  return t_put_target (&table, &(TTarget){ .id = id,
                                           .service = service,
                                           .addr = addr,
                                           .leaving = leaving,
                                           .incarnation = incarnation,
                                           .rev = ++rev,
                                           .now_ms = now });
}

static CfTargetChange
put (const char *id, gint64 incarnation, gboolean leaving)
{
  return put_at (id, "s", "1.1.1.1:1", incarnation, leaving, 0);
}

static CfTarget *
get (const char *id)
{
  return t_get_target (&table, id);
}

static void
setup (void)
{
  rev = 0;
  cf_target_table_init (&table);
}

static void
teardown (void)
{
  cf_target_table_clear (&table);
}

/* Nothing that was believed of a start clings to the next one. */
START_TEST (a_new_incarnation_begins_afresh)
{
  CfTarget *old;
  CfTarget *t;

  ck_assert_int_eq (put ("a", 100, FALSE), CF_TARGET_NEW);
  old = cf_target_ref (get ("a"));
  t_give_work (old, 4, 0);
  old->pace = 7;
  cf_outlier_eject (&old->outlier, 0);
  put ("a", 100, TRUE);
  ck_assert_int_eq (put ("a", 200, FALSE), CF_TARGET_RESTARTED);
  t = get ("a");
  ck_assert_ptr_ne (t, old);
  ck_assert (!old->listed);
  ck_assert_uint_eq (t->in_flight, 0);
  ck_assert_double_eq (t->pace, 1);
  ck_assert (!cf_outlier_ejected (&t->outlier, 1));
  ck_assert (!t->record.leaving);
  ck_assert (!t->replaced);
  ck_assert_uint_eq (cf_target_table_service (&table, "s")->len, 1);
  ck_assert (cf_target_is_former (t, 100));
  ck_assert (!cf_target_is_former (t, 0));
  cf_target_unref (old);
}
END_TEST

/* A write of the start before that the store did late. */
START_TEST (late_news_of_a_former_incarnation)
{
  put ("a", 200, FALSE);
  ck_assert_int_eq (put ("a", 100, TRUE), CF_TARGET_STALE);
  ck_assert (!get ("a")->record.leaving);
  ck_assert_int_eq (get ("a")->record.incarnation, 200);
  /* The one that lives writes again: what was late is forgotten. */
  put_at ("a", "s", "1.1.1.1:1", 200, FALSE, 1000);
  ck_assert_int_eq (
      put_at ("a", "s", "1.1.1.1:1", 100, TRUE, CF_TARGET_OLDER_MS + 500),
      CF_TARGET_STALE);
}
END_TEST

/* The VM's clock went back between two starts. */
START_TEST (a_clock_that_went_back)
{
  put ("a", 200, FALSE);
  ck_assert_int_eq (put_at ("a", "s", "1.1.1.1:1", 100, FALSE, 1000),
                    CF_TARGET_STALE);
  ck_assert_int_eq (
      put_at ("a", "s", "1.1.1.1:1", 100, FALSE, 1000 + CF_TARGET_OLDER_MS - 1),
      CF_TARGET_STALE);
  ck_assert_int_eq (
      put_at ("a", "s", "1.1.1.1:1", 100, TRUE, 1000 + CF_TARGET_OLDER_MS),
      CF_TARGET_RESTARTED);
  ck_assert_int_eq (get ("a")->record.incarnation, 100);
  ck_assert (get ("a")->record.leaving);
}
END_TEST

START_TEST (an_incarnation_is_said_always_or_never)
{
  put ("a", 0, FALSE);
  ck_assert_int_eq (put ("a", 0, FALSE), CF_TARGET_SAME);
  /* Said for the first time: the same start, as far as is known. */
  ck_assert_int_eq (put ("a", 100, FALSE), CF_TARGET_SAME);
  ck_assert_int_eq (put ("a", 0, FALSE), CF_TARGET_BAD);
  ck_assert_ptr_null (get ("a"));
}
END_TEST

static gboolean
names_s (const void *data, const char *service)
{
  const gboolean *too = data;

  return strcmp (service, "s") == 0 || *too;
}

/* A record of a service that no configuration names may be anyone's: the
 * target at its address goes on. */
START_TEST (an_unnamed_service_takes_no_address)
{
  gboolean too = FALSE;

  table.is_named = names_s;
  table.is_named_data = &too;
  put ("a", 100, FALSE);
  put_at ("b", "nonsense", "1.1.1.1:1", 100, FALSE, 0);
  ck_assert (!get ("a")->replaced);
  ck_assert (get ("b")->replaced);
  ck_assert_ptr_eq (cf_target_table_at (&table, "1.1.1.1:1"), get ("a"));
  /* Once it is named, the later start has the address. */
  too = TRUE;
  cf_target_table_renamed (&table);
  ck_assert (get ("a")->replaced);
  ck_assert (!get ("b")->replaced);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("target");
  TCase *t = tcase_create ("target");

  tcase_add_checked_fixture (t, setup, teardown);
  tcase_add_test (t, a_new_incarnation_begins_afresh);
  tcase_add_test (t, late_news_of_a_former_incarnation);
  tcase_add_test (t, a_clock_that_went_back);
  tcase_add_test (t, an_incarnation_is_said_always_or_never);
  tcase_add_test (t, an_unnamed_service_takes_no_address);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
