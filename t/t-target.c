/* Target table: incarnations of one id, addresses, corrupt records. */
#include "gateway/target.h"
#include "harness.h"
#include "target-harness.h"

#include <string.h>

static CfTargetTable table;
static gint64 rev;

/* Adds the record of the store's next revision, received at @now. */
static CfTargetChange
put_record (const char *id, const char *service, const char *addr,
            gint64 incarnation, gboolean leaving, gint64 now)
{
  return t_put_target (&table, &(TTargetSpec){ .id = id,
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
  return put_record (id, "s", "1.1.1.1:1", incarnation, leaving, 0);
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

/* Nothing observed of an incarnation is applied to the next one. */
START_TEST (new_incarnation_has_fresh_state)
{
  CfTarget *old;
  CfTarget *t;

  ck_assert_int_eq (put ("a", 100, FALSE), CF_TARGET_NEW);
  old = cf_target_ref (get ("a"));
  t_set_in_flight (old, 4, 0);
  old->slowdown = 7;
  cf_outlier_eject (&old->outlier, 0);
  put ("a", 100, TRUE);
  ck_assert_int_eq (put ("a", 200, FALSE), CF_TARGET_RESTARTED);
  t = get ("a");
  ck_assert_ptr_ne (t, old);
  ck_assert (!old->listed);
  ck_assert_uint_eq (t->in_flight, 0);
  ck_assert_double_eq (t->slowdown, 1);
  ck_assert (!cf_outlier_is_ejected (&t->outlier, 1));
  ck_assert (!t->record.leaving);
  ck_assert (!t->replaced);
  ck_assert_uint_eq (cf_target_table_service (&table, "s")->len, 1);
  ck_assert (cf_target_is_older_incarnation (t, 100));
  ck_assert (!cf_target_is_older_incarnation (t, 0));
  cf_target_unref (old);
}
END_TEST

START_TEST (relisted_instance_is_still_leaving)
{
  CfTarget *old;

  put ("a", 100, FALSE);
  old = cf_target_ref (get ("a"));
  ck_assert (cf_target_announce_leaving (old));
  ck_assert (!cf_target_announce_leaving (old));
  cf_target_pause_begin (&old->pause, 5, 1000);
  put ("a", 100, FALSE);
  ck_assert (cf_target_is_leaving (get ("a")));
  cf_target_table_remove (&table, "a");
  put ("a", 100, FALSE);
  ck_assert_ptr_ne (get ("a"), old);
  ck_assert (cf_target_is_leaving (get ("a")));
  ck_assert_int_gt (cf_target_pause_ms (get ("a"), 2000), 0);
  cf_target_unref (old);
}
END_TEST

START_TEST (successor_of_leaving_instance_takes_requests)
{
  put ("a", 100, FALSE);
  cf_target_announce_leaving (get ("a"));
  cf_target_pause_begin (&get ("a")->pause, 5, 1000);
  put ("a", 200, FALSE);
  ck_assert (!cf_target_is_leaving (get ("a")));
  ck_assert_int_eq (cf_target_pause_ms (get ("a"), 1000), 0);
  put ("b", 0, FALSE);
  cf_target_announce_leaving (get ("b"));
  cf_target_table_remove (&table, "b");
  put_record ("b", "s", "1.1.1.2:1", 0, FALSE, 0);
  ck_assert (!cf_target_is_leaving (get ("b")));
}
END_TEST

START_TEST (memory_of_departed_instances_is_bounded)
{
  for (int i = 0; i < CF_DEPARTED_TARGETS_MAX + 10; i++)
    {
      g_autofree char *id = g_strdup_printf ("t%d", i);

      put (id, 100, FALSE);
      cf_target_table_remove (&table, id);
    }
  ck_assert_uint_eq (g_hash_table_size (table.departed.by_instance),
                     CF_DEPARTED_TARGETS_MAX);
}
END_TEST

/* Puts a record of instance "a" into a list that may have been restored. */
static CfTargetChange
put_restored (gint64 era, gint64 seq, gboolean leaving, gboolean is_change,
              gint64 now)
{
  return t_put_target (&table, &(TTargetSpec){ .id = "a",
                                               .leaving = leaving,
                                               .incarnation = 100,
                                               .seq = seq,
                                               .is_change = is_change,
                                               .era = era,
                                               .rev = ++rev,
                                               .now_ms = now });
}

static void
restore_list (gboolean keeps_order, gint64 now)
{
  rev = 0;
  cf_target_table_store_restored (&table, keeps_order, now);
}

START_TEST (departed_instance_in_a_restored_list_is_kept_out)
{
  put_restored (1, 7, FALSE, FALSE, 0);
  cf_target_table_remove (&table, "a");
  ck_assert_int_eq (put_restored (1, 7, FALSE, FALSE, 0), CF_TARGET_NEW);
  cf_target_table_remove (&table, "a");
  restore_list (TRUE, 1000);
  ck_assert_int_eq (put_restored (2, 7, FALSE, FALSE, 1000),
                    CF_TARGET_DEPARTED);
  ck_assert_int_eq (put_restored (2, 3, FALSE, FALSE, 1000),
                    CF_TARGET_DEPARTED);
  ck_assert_ptr_null (get ("a"));
  ck_assert_uint_eq (table.n_kept_out, 2);
  ck_assert_int_eq (
      put_restored (2, 7, FALSE, FALSE, 1000 + CF_TARGET_COPY_EXPIRY_MS),
      CF_TARGET_NEW);
}
END_TEST

/* The copy lacked it, so that its record was written after that. */
START_TEST (instance_that_lapsed_after_a_restoration_may_come_back)
{
  put_restored (1, 7, FALSE, FALSE, 0);
  restore_list (TRUE, 1000);
  cf_target_table_remove (&table, "a");
  ck_assert_int_eq (put_restored (2, 7, FALSE, FALSE, 4000), CF_TARGET_NEW);
}
END_TEST

START_TEST (departed_instance_that_writes_again_is_listed)
{
  put_restored (1, 7, FALSE, FALSE, 0);
  cf_target_table_remove (&table, "a");
  restore_list (TRUE, 1000);
  ck_assert_int_eq (put_restored (2, 8, FALSE, FALSE, 1000), CF_TARGET_NEW);
  cf_target_table_remove (&table, "a");
  restore_list (TRUE, 2000);
  ck_assert_int_eq (put_restored (3, 8, FALSE, TRUE, 2000), CF_TARGET_NEW);
}
END_TEST

START_TEST (restored_list_does_not_end_a_drain)
{
  rev = 50;
  put_restored (1, 7, TRUE, FALSE, 0);
  restore_list (TRUE, 1000);
  put_restored (2, 6, FALSE, FALSE, 1000);
  ck_assert (cf_target_is_leaving (get ("a")));
  put_restored (2, 6, FALSE, FALSE, 2000);
  ck_assert (cf_target_is_leaving (get ("a")));
  cf_target_table_remove (&table, "a");
  restore_list (TRUE, 3000);
  put_restored (3, 9, FALSE, TRUE, 3000);
  ck_assert (cf_target_is_leaving (get ("a")));
}
END_TEST

START_TEST (late_record_of_a_former_era_is_dropped)
{
  put_restored (2, 7, FALSE, FALSE, 0);
  rev = 99;
  put_restored (1, 8, TRUE, FALSE, 0);
  ck_assert (!cf_target_is_leaving (get ("a")));
  ck_assert_int_eq (get ("a")->pos.era, 2);
}
END_TEST

START_TEST (positions_of_before_do_not_count_after_an_unordered_restoration)
{
  rev = 50;
  put_restored (7, 7, FALSE, FALSE, 0);
  restore_list (FALSE, 1000);
  ck_assert_int_eq (put_restored (2, 8, TRUE, FALSE, 1000), CF_TARGET_LEAVING);
  restore_list (FALSE, 2000);
  ck_assert_int_eq (put_restored (CF_STORE_ERA_UNKNOWN, 9, TRUE, FALSE, 2000),
                    CF_TARGET_SAME);
  ck_assert_int_eq (get ("a")->pos.rev, 1);
}
END_TEST

/* The record that the next instance wrote was lost with the rest. */
START_TEST (next_instance_keeps_its_address_in_a_restored_list)
{
  t_put_target (&table, &(TTargetSpec){ .id = "old", .era = 1, .rev = 1 });
  t_put_target (&table, &(TTargetSpec){ .id = "new", .era = 1, .rev = 9 });
  ck_assert (get ("old")->replaced);
  restore_list (TRUE, 1000);
  t_put_target (&table, &(TTargetSpec){ .id = "old", .era = 2, .rev = 1 });
  ck_assert (!get ("new")->replaced);
  ck_assert (get ("old")->replaced);
  t_put_target (&table, &(TTargetSpec){ .id = "new", .era = 2, .rev = 2 });
  ck_assert (!get ("new")->replaced);
  ck_assert (get ("old")->replaced);
}
END_TEST

/* A write of the previous incarnation that the store delayed. */
START_TEST (late_record_of_older_incarnation_is_dropped)
{
  put ("a", 200, FALSE);
  ck_assert_int_eq (put ("a", 100, TRUE), CF_TARGET_STALE);
  ck_assert (!get ("a")->record.leaving);
  ck_assert_int_eq (get ("a")->record.incarnation, 200);
  /* The current incarnation writes again, which resets the time for which the
   * older one was listed. */
  put_record ("a", "s", "1.1.1.1:1", 200, FALSE, 1000);
  ck_assert_int_eq (put_record ("a", "s", "1.1.1.1:1", 100, TRUE,
                                CF_TARGET_OLDER_INCARNATION_MS + 500),
                    CF_TARGET_STALE);
}
END_TEST

/* The VM's clock was set back between two incarnations. */
START_TEST (older_incarnation_is_accepted_after_clock_step)
{
  put ("a", 200, FALSE);
  ck_assert_int_eq (put_record ("a", "s", "1.1.1.1:1", 100, FALSE, 1000),
                    CF_TARGET_STALE);
  ck_assert_int_eq (put_record ("a", "s", "1.1.1.1:1", 100, FALSE,
                                1000 + CF_TARGET_OLDER_INCARNATION_MS - 1),
                    CF_TARGET_STALE);
  ck_assert_int_eq (put_record ("a", "s", "1.1.1.1:1", 100, TRUE,
                                1000 + CF_TARGET_OLDER_INCARNATION_MS),
                    CF_TARGET_RESTARTED);
  ck_assert_int_eq (get ("a")->record.incarnation, 100);
  ck_assert (get ("a")->record.leaving);
}
END_TEST

START_TEST (record_without_incarnation_is_invalid)
{
  put ("a", 0, FALSE);
  ck_assert_int_eq (put ("a", 0, FALSE), CF_TARGET_SAME);
  /* The first incarnation stated for the id: taken as the same instance. */
  ck_assert_int_eq (put ("a", 100, FALSE), CF_TARGET_SAME);
  ck_assert_int_eq (put ("a", 0, FALSE), CF_TARGET_BAD);
  ck_assert_ptr_null (get ("a"));
}
END_TEST

static gboolean
is_service_s (const void *data, const char *service)
{
  const gboolean *any_service = data;

  return strcmp (service, "s") == 0 || *any_service;
}

/* A record of a service that is not configured may be corrupt: the target that
 * has its address keeps it. */
START_TEST (unconfigured_service_takes_no_address)
{
  gboolean any_service = FALSE;

  table.is_configured = is_service_s;
  table.is_configured_data = &any_service;
  put ("a", 100, FALSE);
  put_record ("b", "nonsense", "1.1.1.1:1", 100, FALSE, 0);
  ck_assert (!get ("a")->replaced);
  ck_assert (get ("b")->replaced);
  ck_assert_ptr_eq (cf_target_table_lookup_addr (&table, "1.1.1.1:1"),
                    get ("a"));
  /* Once the service is configured, the later instance has the address. */
  any_service = TRUE;
  cf_target_table_services_changed (&table);
  ck_assert (get ("a")->replaced);
  ck_assert (!get ("b")->replaced);
}
END_TEST

/* Guards against a gateway that goes on sending a target more than it takes, or
 * that does not find out that it takes more again. */
START_TEST (full_target_gets_fewer_requests_for_a_while)
{
  static const struct
  {
    gint64 ms; /* since the refusal */
    gboolean tests;
    guint limit;
  } cases[] = { { 0, TRUE, 8 },
                { 249, TRUE, 8 },
                { 250, TRUE, 9 },
                { 500, TRUE, 10 },
                { 999, TRUE, 11 },
                { 1000, TRUE, G_MAXUINT },
                { 0, FALSE, 8 },
                { 999, FALSE, 8 },
                { 1000, FALSE, G_MAXUINT },
                { 8000, FALSE, G_MAXUINT } };
  CfTarget t = { .in_flight = 9 };

  ck_assert_uint_eq (cf_target_full_limit (&t, TRUE, 100), G_MAXUINT);
  cf_target_note_full (&t, 10, 100);
  cf_target_note_full (&t, 9, 100);
  cf_target_note_full (&t, 10, 100);
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    ck_assert_uint_eq (
        cf_target_full_limit (&t, cases[i].tests, 100 + cases[i].ms),
        cases[i].limit);
}
END_TEST

/* Guards against a limit that is lost, or set, by a refusal of the only request
 * that this process had at the target when it was sent, or has now. */
START_TEST (refusal_of_the_only_request_sets_no_limit)
{
  CfTarget t = { .in_flight = 9 };

  cf_target_note_full (&t, 1, 100);
  ck_assert_uint_eq (cf_target_full_limit (&t, FALSE, 100), G_MAXUINT);
  cf_target_note_full (&t, 9, 100);
  cf_target_note_full (&t, 1, 200);
  ck_assert_uint_eq (cf_target_full_limit (&t, FALSE, 200), 8);
  t.in_flight = 1;
  cf_target_note_full (&t, 5, 200);
  ck_assert_uint_eq (cf_target_full_limit (&t, FALSE, 200), G_MAXUINT);
}
END_TEST

/* Guards against a target that is kept below what it has shown to take. */
START_TEST (accepted_request_raises_the_full_limit)
{
  CfTarget t = { .in_flight = 9 };

  cf_target_note_accepted (&t, 20, 50);
  ck_assert_uint_eq (cf_target_full_limit (&t, FALSE, 50), G_MAXUINT);
  cf_target_note_full (&t, 9, 100);
  cf_target_note_accepted (&t, 8, 150);
  ck_assert_uint_eq (cf_target_full_limit (&t, FALSE, 150), 8);
  /* Sent before the refusal. */
  cf_target_note_accepted (&t, 12, 90);
  ck_assert_uint_eq (cf_target_full_limit (&t, FALSE, 150), 8);
  cf_target_note_accepted (&t, 9, 150);
  ck_assert_uint_eq (cf_target_full_limit (&t, FALSE, 150), 9);
  cf_target_note_full (&t, 10, 200);
  ck_assert_uint_eq (cf_target_full_limit (&t, FALSE, 200), 9);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("target");
  TCase *t = tcase_create ("target");

  tcase_add_checked_fixture (t, setup, teardown);
  tcase_add_test (t, full_target_gets_fewer_requests_for_a_while);
  tcase_add_test (t, refusal_of_the_only_request_sets_no_limit);
  tcase_add_test (t, accepted_request_raises_the_full_limit);
  tcase_add_test (t, new_incarnation_has_fresh_state);
  tcase_add_test (t, relisted_instance_is_still_leaving);
  tcase_add_test (t, successor_of_leaving_instance_takes_requests);
  tcase_add_test (t, departed_instance_in_a_restored_list_is_kept_out);
  tcase_add_test (t, instance_that_lapsed_after_a_restoration_may_come_back);
  tcase_add_test (t, departed_instance_that_writes_again_is_listed);
  tcase_add_test (t, restored_list_does_not_end_a_drain);
  tcase_add_test (t, late_record_of_a_former_era_is_dropped);
  tcase_add_test (
      t, positions_of_before_do_not_count_after_an_unordered_restoration);
  tcase_add_test (t, next_instance_keeps_its_address_in_a_restored_list);
  tcase_add_test (t, memory_of_departed_instances_is_bounded);
  tcase_add_test (t, late_record_of_older_incarnation_is_dropped);
  tcase_add_test (t, older_incarnation_is_accepted_after_clock_step);
  tcase_add_test (t, record_without_incarnation_is_invalid);
  tcase_add_test (t, unconfigured_service_takes_no_address);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
