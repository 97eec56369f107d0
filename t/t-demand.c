/* Tables of demand, which stay bounded and sorted whatever is added, and the
 * meter of a gateway's own demand. */
#include "gateway/demand.h"
#include "harness.h"

#include <math.h>

#define MAX_SLOTS 1e6

static CfDemandTable table;
static CfDemandMeter meter;

static void
setup (void)
{
  table.n = 0;
  meter = (CfDemandMeter){ 0 };
}

static void
teardown (void)
{
  cf_demand_meter_clear (&meter);
}

static void
add (gint64 urgency, guint32 org, double slots)
{
  const CfDemand d = { urgency, org, 1, slots };

  cf_demand_table_add (&table, &d);
}

START_TEST (organisation_ids_are_stable_and_not_reserved)
{
  ck_assert_uint_eq (cf_demand_org_id ("desk"), cf_demand_org_id ("desk"));
  ck_assert_uint_ne (cf_demand_org_id ("desk"), cf_demand_org_id ("lab"));
  ck_assert_uint_ne (cf_demand_org_id (NULL), CF_DEMAND_OTHER_ORGS);
  /* The value is sent to gateways of other releases. */
  ck_assert_uint_eq (cf_demand_org_id ("a"), 0xe40c292cU);
}
END_TEST

START_TEST (entries_are_sorted_and_added_up)
{
  add (2, 7, 1);
  add (0, 9, 2);
  add (2, 5, 3);
  add (2, 7, 4);
  ck_assert_uint_eq (table.n, 3);
  ck_assert_int_eq (table.entries[0].urgency, 0);
  ck_assert_uint_eq (table.entries[1].org, 5);
  ck_assert_double_eq (cf_demand_table_lookup (&table, 2, 7), 5);
  ck_assert_double_eq (cf_demand_table_lookup (&table, 2, 8), 0);
  ck_assert_double_eq (cf_demand_table_total (&table), 10);
  ck_assert (cf_demand_table_is_valid (&table, MAX_SLOTS));
}
END_TEST

/* The largest organisations keep their entries, in whatever order they come. */
START_TEST (smallest_organisations_are_merged)
{
  const guint n = 300;

  for (guint i = 0; i < n; i++)
    {
      guint org = 1 + i * 7 % n;

      add (1, org, org);
    }
  add (0, 1, 0.5);
  ck_assert_uint_eq (table.n, CF_DEMAND_ENTRIES_MAX);
  ck_assert (cf_demand_table_is_valid (&table, MAX_SLOTS));
  ck_assert_double_eq (cf_demand_table_total (&table), n * (n + 1) / 2.0 + 0.5);
  ck_assert_double_eq (cf_demand_table_lookup (&table, 0, 1), 0.5);
  ck_assert_double_eq (cf_demand_table_lookup (&table, 1, n), n);
  ck_assert_uint_eq (table.entries[1].org, CF_DEMAND_OTHER_ORGS);
  ck_assert_uint_eq (table.entries[1].n_orgs, n - (CF_DEMAND_ENTRIES_MAX - 2));
  ck_assert_double_eq (cf_demand_table_lookup (&table, 1, 3),
                       table.entries[1].slots);
}
END_TEST

START_TEST (least_urgent_levels_are_merged)
{
  for (guint i = 0; i < 2 * CF_DEMAND_ENTRIES_MAX; i++)
    add (i, 1 + i, 1);
  ck_assert_uint_eq (table.n, CF_DEMAND_ENTRIES_MAX);
  ck_assert (cf_demand_table_is_valid (&table, MAX_SLOTS));
  ck_assert_double_eq (cf_demand_table_total (&table),
                       2 * CF_DEMAND_ENTRIES_MAX);
  ck_assert_double_eq (cf_demand_table_lookup (&table, 0, 1), 1);
  ck_assert_double_gt (cf_demand_table_lookup (&table,
                                               CF_DEMAND_ENTRIES_MAX + 3,
                                               CF_DEMAND_ENTRIES_MAX + 4),
                       1);
}
END_TEST

/* The same organisations at several gateways count once. */
START_TEST (merged_organisations_of_gateways_count_once)
{
  CfDemandTable other;

  for (guint i = 1; i <= 100; i++)
    add (1, i, i);
  other = table;
  for (int i = 0; i < 20; i++)
    cf_demand_table_merge (&table, &other);
  ck_assert_uint_eq (table.n, CF_DEMAND_ENTRIES_MAX);
  ck_assert_uint_eq (table.entries[0].n_orgs, 100 - CF_DEMAND_ENTRIES_MAX + 1);
  ck_assert_double_eq_tol (cf_demand_table_total (&table), 21 * 5050, 1e-6);
}
END_TEST

/* With different organisations at each gateway, none is lost either. */
START_TEST (different_organisations_of_gateways_are_all_counted)
{
  CfDemandTable other = { 0 };
  guint n = 0;

  for (guint i = 1; i <= 20; i++)
    add (1, i, 1);
  for (guint i = 101; i <= 120; i++)
    {
      const CfDemand d = { 1, i, 1, 2 };

      cf_demand_table_add (&other, &d);
    }
  cf_demand_table_merge (&table, &other);
  for (guint i = 0; i < table.n; i++)
    n += table.entries[i].n_orgs;
  ck_assert_uint_eq (n, 40);
  ck_assert_double_eq (cf_demand_table_lookup (&table, 1, 101), 2);
}
END_TEST

START_TEST (subtracting_leaves_the_other_part)
{
  CfDemandTable part = { 0 };
  const CfDemandTable none = { 0 };

  for (guint i = 1; i <= 100; i++)
    {
      const CfDemand d = { i % 2, i, 1, i };

      cf_demand_table_add (&part, &d);
    }
  add (0, 100, 3);
  add (1, 99, 4);
  add (1, 1000, 5);
  cf_demand_table_merge (&table, &part);
  cf_demand_table_subtract (&table, &part);
  ck_assert_double_eq_tol (cf_demand_table_total (&table), 12, 1e-6);
  ck_assert_double_eq_tol (cf_demand_table_lookup (&table, 0, 100), 3, 1e-6);
  ck_assert_uint_le (table.n, 5);
  cf_demand_table_subtract (&table, &none);
  ck_assert_double_eq_tol (cf_demand_table_total (&table), 12, 1e-6);
  cf_demand_table_subtract (&table, &part);
  ck_assert_uint_eq (table.n, 0);
}
END_TEST

START_TEST (merge_orgs_keeps_one_entry_per_urgency)
{
  add (0, 4, 1);
  add (2, 4, 1);
  add (2, 5, 2);
  add (2, 6, 3);
  cf_demand_table_merge_orgs (&table);
  ck_assert_uint_eq (table.n, 2);
  ck_assert (cf_demand_table_is_valid (&table, MAX_SLOTS));
  ck_assert_uint_eq (table.entries[0].org, CF_DEMAND_OTHER_ORGS);
  ck_assert_uint_eq (table.entries[0].n_orgs, 1);
  ck_assert_uint_eq (table.entries[1].n_orgs, 3);
  ck_assert_double_eq (table.entries[1].slots, 6);
}
END_TEST

START_TEST (implausible_values_are_invalid)
{
  const CfDemand bad[] = {
    { 0, 5, 1, NAN },       { 0, 5, 1, -0.1 }, { 0, 5, 1, INFINITY },
    { 0, 5, 1, -INFINITY }, { 0, 5, 1, 101 },  { -1, 5, 1, 1 },
    { 0, 5, 0, 1 },         { 0, 5, 2, 1 },    { 0, 0, G_MAXUINT, 1 },
  };

  for (gsize i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      const CfDemandTable t = { .n = 1, .entries = { bad[i] } };

      ck_assert_msg (!cf_demand_table_is_valid (&t, 100), "table %zu", i);
    }
}
END_TEST

START_TEST (malformed_tables_are_invalid)
{
  CfDemandTable t = { .n = 2, .entries = { { 1, 5, 1, 60 }, { 1, 6, 1, 40 } } };

  ck_assert (cf_demand_table_is_valid (&t, 100));
  ck_assert (!cf_demand_table_is_valid (&t, 99));
  t.entries[1].org = 5;
  ck_assert (!cf_demand_table_is_valid (&t, 100));
  t.entries[1].org = 4;
  ck_assert (!cf_demand_table_is_valid (&t, 100));
  t.n = CF_DEMAND_ENTRIES_MAX + 1;
  ck_assert (!cf_demand_table_is_valid (&t, 100));
}
END_TEST

/* Adds requests of @org every @interval_ms, from @from_ms to @to_ms. */
static void
arrive (guint32 org, gint64 interval_ms, gint64 from_ms, gint64 to_ms)
{
  for (gint64 t = from_ms; t < to_ms; t += interval_ms)
    cf_demand_meter_add_arrival (&meter, 0, org, t);
}

START_TEST (demand_is_rate_times_hold_time)
{
  for (int i = 0; i < 50; i++)
    cf_demand_meter_add_hold (&meter, i % 2 ? 200 : 400);
  arrive (7, 10, 0, 5000);
  cf_demand_meter_read (&meter, 0, 0, 5000, &table);
  ck_assert_uint_eq (table.n, 1);
  ck_assert_uint_eq (table.entries[0].org, 7);
  ck_assert_double_eq_tol (table.entries[0].slots, 30, 3);
}
END_TEST

START_TEST (demand_follows_arrivals_within_half_a_second)
{
  cf_demand_meter_add_hold (&meter, 300);
  arrive (7, 10, 0, 500);
  cf_demand_meter_read (&meter, 0, 0, 500, &table);
  ck_assert_double_ge (cf_demand_table_total (&table), 0.6 * 30);
  cf_demand_meter_read (&meter, 0, 0, 1000, &table);
  ck_assert_double_le (cf_demand_table_total (&table), 0.4 * 30);
}
END_TEST

/* A mean over half a second would vary between 8 and 60 slots. */
START_TEST (demand_of_rare_long_requests_is_smooth)
{
  cf_demand_meter_add_hold (&meter, 30000);
  arrive (7, 1000, 0, 60000);
  for (gint64 t = 59000; t < 60000; t += 100)
    {
      cf_demand_meter_read (&meter, 0, 0, t, &table);
      ck_assert_double_eq_tol (cf_demand_table_total (&table), 30, 6);
    }
}
END_TEST

START_TEST (demand_without_hold_time_is_requests_present)
{
  arrive (7, 10, 0, 1000);
  arrive (8, 30, 0, 1000);
  cf_demand_meter_read (&meter, 8, 12, 1000, &table);
  ck_assert_double_eq_tol (cf_demand_table_total (&table), 20, 1e-6);
  ck_assert_double_eq_tol (cf_demand_table_lookup (&table, 0, 7), 15, 0.5);
}
END_TEST

START_TEST (demand_is_at_least_requests_in_flight)
{
  cf_demand_meter_add_hold (&meter, 300);
  arrive (7, 100, 0, 1000);
  cf_demand_meter_read (&meter, 8, 0, 1000, &table);
  ck_assert_double_eq_tol (cf_demand_table_total (&table), 8, 1e-6);
  cf_demand_meter_read (&meter, 5, 0, 1000000, &table);
  ck_assert_double_eq_tol (cf_demand_table_lookup (&table, 0, 7), 5, 1e-6);
  cf_demand_meter_read (&meter, 0, 0, 1000000, &table);
  ck_assert_double_eq (cf_demand_table_total (&table), 0);
}
END_TEST

/* Rates take half a second to follow a skew; refusals begin earlier. */
START_TEST (waiting_requests_are_demand_of_least_urgent_level)
{
  cf_demand_meter_add_hold (&meter, 300);
  cf_demand_meter_add_arrival (&meter, 0, 7, 1000);
  cf_demand_meter_add_arrival (&meter, 2, 7, 1000);
  cf_demand_meter_add_arrival (&meter, 2, 8, 1000);
  cf_demand_meter_read (&meter, 6, 10, 1000, &table);
  ck_assert_double_eq_tol (cf_demand_table_total (&table), 16, 1e-6);
  ck_assert_double_eq_tol (cf_demand_table_lookup (&table, 0, 7), 2, 1e-6);
  ck_assert_double_eq_tol (cf_demand_table_lookup (&table, 2, 7), 7, 1e-6);
  ck_assert_double_eq_tol (cf_demand_table_lookup (&table, 2, 8), 7, 1e-6);
}
END_TEST

/* Names of organisations are taken from requests: any number may come. */
START_TEST (organisations_are_bounded_and_forgotten)
{
  cf_demand_meter_add_hold (&meter, 300);
  for (guint32 org = 1; org <= 10000; org++)
    cf_demand_meter_add_arrival (&meter, org % 3, org, 1000);
  ck_assert_uint_le (g_hash_table_size (meter.rates), 256 + 3);
  cf_demand_meter_read (&meter, 0, 0, 1000, &table);
  ck_assert_double_eq_tol (cf_demand_table_total (&table), 10000 * 2 * 0.3, 1);
  cf_demand_meter_read (&meter, 0, 0, 20000, &table);
  ck_assert_uint_eq (table.n, 0);
  ck_assert_uint_eq (g_hash_table_size (meter.rates), 0);
  cf_demand_meter_add_arrival (&meter, 0, 77, 20000);
  cf_demand_meter_read (&meter, 0, 0, 20000, &table);
  ck_assert_uint_eq (table.entries[0].org, 77);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("demand");
  TCase *t = tcase_create ("table");
  TCase *m = tcase_create ("meter");

  tcase_add_checked_fixture (t, setup, teardown);
  tcase_add_test (t, organisation_ids_are_stable_and_not_reserved);
  tcase_add_test (t, entries_are_sorted_and_added_up);
  tcase_add_test (t, smallest_organisations_are_merged);
  tcase_add_test (t, least_urgent_levels_are_merged);
  tcase_add_test (t, merged_organisations_of_gateways_count_once);
  tcase_add_test (t, different_organisations_of_gateways_are_all_counted);
  tcase_add_test (t, subtracting_leaves_the_other_part);
  tcase_add_test (t, merge_orgs_keeps_one_entry_per_urgency);
  tcase_add_test (t, implausible_values_are_invalid);
  tcase_add_test (t, malformed_tables_are_invalid);
  suite_add_tcase (s, t);
  tcase_add_checked_fixture (m, setup, teardown);
  tcase_add_test (m, demand_is_rate_times_hold_time);
  tcase_add_test (m, demand_follows_arrivals_within_half_a_second);
  tcase_add_test (m, demand_of_rare_long_requests_is_smooth);
  tcase_add_test (m, demand_without_hold_time_is_requests_present);
  tcase_add_test (m, demand_is_at_least_requests_in_flight);
  tcase_add_test (m, waiting_requests_are_demand_of_least_urgent_level);
  tcase_add_test (m, organisations_are_bounded_and_forgotten);
  suite_add_tcase (s, m);
  return t_run_suite (s);
}
