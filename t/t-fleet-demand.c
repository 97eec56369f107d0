/* The demand of other gateways: stated directly or relayed, and how long it is
 * used. */
#include "gateway/fleet-demand.h"
#include "harness.h"

#define NOW 10000
#define TIMEOUT_MS 2500

static CfFleetDemand fleet;
static CfDemandTable out;

static void
setup (void)
{
  fleet = (CfFleetDemand){ 0 };
}

static void
teardown (void)
{
  cf_fleet_demand_clear (&fleet);
}

static CfDemandTable
table_of (double slots)
{
  return (CfDemandTable){ .n = 1, .entries = { { 1, 7, 1, slots } } };
}

static CfFleetDemandResult
put_direct (const char *addr, double slots, gint64 now_ms)
{
  const CfDemandTable t = table_of (slots);

  return cf_fleet_demand_put_direct (&fleet, addr, &t, now_ms);
}

static void
put_relayed (const char *addr, guint n, double slots, gint64 now_ms)
{
  const CfDemandTable t = table_of (slots);

  cf_fleet_demand_put_relayed (&fleet, addr, n, &t, now_ms);
}

/* Checks the number of other gateways that are known, and their demand. */
static void
check_others (gint64 now_ms, guint n, double slots)
{
  ck_assert_uint_eq (cf_fleet_demand_get_others (&fleet, now_ms, &out), n);
  ck_assert_double_eq_tol (cf_demand_table_total (&out), slots, 1e-9);
}

START_TEST (nothing_is_known_at_first)
{
  check_others (NOW, 0, 0);
  ck_assert_uint_eq (cf_fleet_demand_sum_direct (&fleet, NULL, &out), 0);
  cf_fleet_demand_remove (&fleet, "a");
}
END_TEST

START_TEST (direct_tables_are_added_up)
{
  put_direct ("a", 1, NOW);
  put_direct ("b", 2, NOW);
  put_direct ("c", 4, NOW);
  put_direct ("a", 8, NOW + 1);
  check_others (NOW + 1, 3, 14);
  ck_assert_uint_eq (cf_fleet_demand_sum_direct (&fleet, "b", &out), 2);
  ck_assert_double_eq (cf_demand_table_total (&out), 12);
}
END_TEST

/* A gateway's own demand must not be sent back to it as that of others, and the
 * sum, which is kept, must follow each message. */
START_TEST (recipient_is_left_out_of_sum)
{
  put_direct ("a", 1, NOW);
  put_direct ("b", 2, NOW);
  check_others (NOW, 2, 3);
  put_direct ("a", 50, NOW);
  put_direct ("c", 70, NOW);
  ck_assert_uint_eq (cf_fleet_demand_sum_direct (&fleet, "a", &out), 2);
  ck_assert_double_eq_tol (cf_demand_table_total (&out), 72, 1e-9);
  ck_assert_uint_eq (cf_fleet_demand_sum_direct (&fleet, "c", &out), 2);
  ck_assert_double_eq_tol (cf_demand_table_total (&out), 52, 1e-9);
  cf_fleet_demand_remove (&fleet, "b");
  check_others (NOW, 2, 120);
}
END_TEST

/* The kept sum is the sum of the tables, whatever was stated before. */
START_TEST (kept_sum_does_not_drift)
{
  for (int i = 0; i < 20000; i++)
    {
      g_autofree char *addr = g_strdup_printf ("g-%d", i * 7 % 50);
      CfDemandTable t = { 0 };

      for (guint32 org = 1; org <= 40; org++)
        {
          const CfDemand d = { org % 2, org * (i % 5 + 1), 1, org * 0.1 };

          cf_demand_table_add (&t, &d);
        }
      cf_fleet_demand_put_direct (&fleet, addr, &t, NOW + i / 10);
      if (i >= 50)
        check_others (NOW + i / 10, 50, 50 * 82.0);
    }
}
END_TEST

/* A silent gateway's last table would give its share away for good. */
START_TEST (tables_expire)
{
  put_direct ("a", 1, NOW);
  put_direct ("b", 2, NOW + 1000);
  put_relayed ("b", 5, 9, NOW);
  check_others (NOW + TIMEOUT_MS - 1, 6, 11);
  check_others (NOW + TIMEOUT_MS, 1, 2);
  check_others (NOW + 1000 + TIMEOUT_MS, 0, 0);
}
END_TEST

START_TEST (removed_gateway_is_forgotten)
{
  put_direct ("a", 1, NOW);
  put_direct ("b", 2, NOW);
  put_relayed ("a", 5, 9, NOW);
  cf_fleet_demand_remove (&fleet, "a");
  check_others (NOW, 1, 2);
}
END_TEST

/* A gateway that is no seed hears of most others only through seeds.  Sums of
 * several seeds count the same gateways: one of them is used. */
START_TEST (relayed_sum_with_most_gateways_is_used)
{
  put_direct ("seed-1", 1, NOW);
  put_direct ("seed-2", 2, NOW);
  put_relayed ("seed-1", 5, 50, NOW);
  put_relayed ("seed-2", 6, 60, NOW);
  check_others (NOW, 7, 62);
  cf_fleet_demand_remove (&fleet, "seed-2");
  check_others (NOW, 6, 51);
}
END_TEST

START_TEST (newest_of_equal_sums_is_used)
{
  put_relayed ("seed-1", 5, 50, NOW);
  put_relayed ("seed-2", 5, 60, NOW + 1);
  check_others (NOW + 1, 5, 60);
  put_relayed ("seed-1", 5, 40, NOW + 2);
  check_others (NOW + 2, 5, 40);
}
END_TEST

START_TEST (direct_tables_precede_sums_of_as_many)
{
  put_direct ("a", 1, NOW);
  put_direct ("b", 2, NOW);
  put_relayed ("a", 1, 30, NOW + 1);
  check_others (NOW + 1, 2, 3);
}
END_TEST

/* Such a peer would make the shares of all gateways jump: its demand is taken
 * for unknown, so that it keeps its even share. */
START_TEST (demand_that_differs_in_each_message_is_not_used)
{
  gint64 now = NOW;

  put_direct ("b", 5, now);
  for (int i = 0; i < 16; i++, now += 50)
    put_direct ("a", i / 2 % 2 ? 30 : 2, now);
  ck_assert_int_eq (put_direct ("a", 2, now), CF_FLEET_DEMAND_ERRATIC);
  ck_assert_int_eq (put_direct ("b", 5, now), CF_FLEET_DEMAND_USED);
  check_others (now, 1, 5);
  /* Steady demand is used again, after a while. */
  for (int i = 0; i < 150; i++, now += 100)
    put_direct ("a", 30, now);
  check_others (now, 1, 30);
}
END_TEST

START_TEST (relayed_sum_that_differs_in_each_message_is_not_used)
{
  gint64 now = NOW;

  for (int i = 0; i < 8; i++, now += 100)
    {
      put_relayed ("seed-1", 6, i % 2 ? 300 : 10, now);
      put_relayed ("seed-2", 5, 50, now);
    }
  check_others (now, 5, 50);
}
END_TEST

/* A load that moves every second, or is random but small, is no fault. */
START_TEST (moving_and_random_demand_is_used)
{
  double slots = 0;

  for (int i = 0; i < 600; i++)
    {
      gint64 now = NOW + i * 100;

      slots += ((i / 10 % 2 ? 30 : 0) - slots) * 0.2;
      put_direct ("a", slots, now);
      put_direct ("b", i % 3, now);
      check_others (now, 2, slots + i % 3);
    }
}
END_TEST

/* Guards against taking a load that moves each second for an erratic one if
 * messages come once a second. */
START_TEST (demand_that_moves_each_second_is_used)
{
  for (int i = 0; i < 30; i++)
    {
      gint64 now = NOW + i * 1000;
      double slots = i % 2 ? 30 : 2;

      ck_assert_int_eq (put_direct ("a", slots, now), CF_FLEET_DEMAND_USED);
      check_others (now, 1, slots);
    }
}
END_TEST

/* Guards against a seed that relays demand late: the sum of all tables does not
 * change when demand moves between two gateways, but what each is sent does. */
START_TEST (moved_demand_changes_what_is_relayed)
{
  ck_assert (!cf_fleet_demand_has_changed (&fleet, 3, 0.25));
  put_direct ("a", 30, NOW);
  put_direct ("b", 2, NOW);
  put_direct ("c", 2, NOW);
  ck_assert (cf_fleet_demand_has_changed (&fleet, 3, 0.25));
  cf_fleet_demand_note_sent (&fleet);
  ck_assert (!cf_fleet_demand_has_changed (&fleet, 3, 0.25));
  put_direct ("b", 5, NOW + 1);
  ck_assert (!cf_fleet_demand_has_changed (&fleet, 3, 0.25));
  put_direct ("a", 2, NOW + 2);
  put_direct ("b", 30, NOW + 2);
  ck_assert (cf_fleet_demand_has_changed (&fleet, 3, 0.25));
  cf_fleet_demand_note_sent (&fleet);
  ck_assert (!cf_fleet_demand_has_changed (&fleet, 3, 0.25));
  cf_fleet_demand_remove (&fleet, "b");
  ck_assert (cf_fleet_demand_has_changed (&fleet, 3, 0.25));
}
END_TEST

/* Addresses are stated by peers: a faulty one may state any number of them. */
START_TEST (gateways_are_bounded)
{
  for (int i = 0; i < 5000; i++)
    {
      g_autofree char *addr = g_strdup_printf ("g-%d", i);

      put_direct (addr, 1, NOW);
    }
  ck_assert_uint_eq (g_hash_table_size (fleet.direct), 1024);
  ck_assert_int_eq (put_direct ("other", 3, NOW), CF_FLEET_DEMAND_TOO_MANY);
  put_direct ("late", 3, NOW + TIMEOUT_MS);
  check_others (NOW + TIMEOUT_MS, 1, 3);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("fleet-demand");
  TCase *t = tcase_create ("sums");

  tcase_add_checked_fixture (t, setup, teardown);
  tcase_add_test (t, nothing_is_known_at_first);
  tcase_add_test (t, direct_tables_are_added_up);
  tcase_add_test (t, recipient_is_left_out_of_sum);
  tcase_add_test (t, kept_sum_does_not_drift);
  tcase_add_test (t, tables_expire);
  tcase_add_test (t, removed_gateway_is_forgotten);
  tcase_add_test (t, relayed_sum_with_most_gateways_is_used);
  tcase_add_test (t, newest_of_equal_sums_is_used);
  tcase_add_test (t, direct_tables_precede_sums_of_as_many);
  tcase_add_test (t, demand_that_differs_in_each_message_is_not_used);
  tcase_add_test (t, relayed_sum_that_differs_in_each_message_is_not_used);
  tcase_add_test (t, moving_and_random_demand_is_used);
  tcase_add_test (t, demand_that_moves_each_second_is_used);
  tcase_add_test (t, moved_demand_changes_what_is_relayed);
  tcase_add_test (t, gateways_are_bounded);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
