/* The division of a service's capacity among gateways, as tables of loads. */
#include "gateway/share.h"
#include "harness.h"

#include <math.h>

#define GATEWAYS_MAX 8
#define URGENT 0
#define NORMAL 2
#define ORG 11U
#define SMALL 12U
#define LARGE 13U
#define FLOOR 0.05
#define TOLERANCE 1e-6

static CfDemandTable own[GATEWAYS_MAX];
static CfShare shares[GATEWAYS_MAX];

static void
setup (void)
{
  for (int g = 0; g < GATEWAYS_MAX; g++)
    own[g].n = 0;
}

static void
add (guint gateway, gint64 urgency, guint32 org, double slots)
{
  const CfDemand d = { urgency, org, 1, slots };

  cf_demand_table_add (&own[gateway], &d);
}

/* Computes the shares of @n gateways with the same view; returns the sum of
 * their totals. */
static double
compute_all (guint n, double capacity)
{
  double sum = 0;

  for (guint gateway = 0; gateway < n; gateway++)
    {
      CfDemandTable others = { 0 };
      CfShareInput in = { capacity, n, n - 1, &own[gateway], &others };

      for (guint g = 0; g < n; g++)
        if (g != gateway)
          cf_demand_table_merge (&others, &own[g]);
      cf_share_compute (&in, &shares[gateway]);
      sum += shares[gateway].total;
    }
  return sum;
}

static CfShareBand
band_of (guint gateway, guint n, double capacity)
{
  const CfShare *share = &shares[gateway];
  CfShareBand b = { .total = share->total, .capacity = capacity };

  b.n_gateways = n;
  b.n_urgencies = share->n_urgencies;
  b.contended = share->contended;
  return b;
}

/* Returns the part of the slots that a gateway of @n uses. */
static double
get_part (guint gateway, guint n, double capacity)
{
  const CfShareBand b = band_of (gateway, n, capacity);
  double fraction = cf_share_fraction (&b);

  return fraction > 0 ? fraction : 1.0 / n;
}

static double
granted (guint gateway, gint64 urgency, guint32 org)
{
  return cf_demand_table_lookup (&shares[gateway].grants, urgency, org);
}

START_TEST (fleet_of_one_has_all)
{
  ck_assert_double_eq (compute_all (1, 64), 64);
  ck_assert (!shares[0].contended);
  ck_assert_uint_eq (shares[0].n_urgencies, 0);
  add (0, URGENT, ORG, 100);
  ck_assert_double_eq (compute_all (1, 64), 64);
  ck_assert (shares[0].contended);
  ck_assert_int_eq (shares[0].admitted_urgency, URGENT);
}
END_TEST

START_TEST (urgent_demand_precedes_at_one_gateway)
{
  add (0, URGENT, ORG, 0.65);
  add (0, NORMAL, ORG, 0.65);
  ck_assert_double_eq_tol (compute_all (1, 1), 1, TOLERANCE);
  ck_assert_double_eq_tol (granted (0, URGENT, ORG), 0.65, TOLERANCE);
  ck_assert_double_eq_tol (granted (0, NORMAL, ORG), 0.35, TOLERANCE);
  ck_assert (shares[0].contended);
  ck_assert_int_eq (shares[0].admitted_urgency, NORMAL);
  ck_assert_uint_eq (shares[0].n_urgencies, 2);
}
END_TEST

/* With even shares, the urgent requests got 0.55 of their demand. */
START_TEST (urgent_demand_precedes_across_gateways)
{
  add (0, URGENT, ORG, 0.65);
  for (guint g = 1; g < 4; g++)
    add (g, NORMAL, ORG, 0.65 / 3);
  ck_assert_double_eq_tol (compute_all (4, 1), 1, TOLERANCE);
  ck_assert_double_eq_tol (shares[0].total, 0.65, TOLERANCE);
  for (guint g = 1; g < 4; g++)
    ck_assert_double_eq_tol (shares[g].total, 0.35 / 3, TOLERANCE);
}
END_TEST

/* Urgent demand alone exceeds the capacity: the others keep the floor. */
START_TEST (least_urgent_keeps_floor)
{
  add (0, URGENT, ORG, 3);
  add (1, 1, ORG, 1);
  add (2, NORMAL, ORG, 1);
  add (3, NORMAL, ORG, 1);
  ck_assert_double_eq_tol (compute_all (4, 1), 1, TOLERANCE);
  ck_assert_double_eq_tol (shares[0].total, 1 - 2 * FLOOR, TOLERANCE);
  ck_assert_double_eq_tol (shares[1].total, FLOOR, TOLERANCE);
  ck_assert_double_eq_tol (shares[2].total, FLOOR / 2, TOLERANCE);
  ck_assert_int_eq (shares[0].admitted_urgency, URGENT);
}
END_TEST

/* As many urgencies as a table has: the floors leave half to urgent demand. */
START_TEST (floors_of_many_levels_are_bounded)
{
  for (gint64 u = 0; u < CF_DEMAND_ENTRIES_MAX; u++)
    add (0, u, ORG, 1);
  ck_assert_double_eq_tol (compute_all (1, 1), 1, TOLERANCE);
  ck_assert_double_ge (granted (0, 0, ORG), 0.5);
  for (gint64 u = 0; u < CF_DEMAND_ENTRIES_MAX; u++)
    ck_assert_double_ge (granted (0, u, ORG), 0.02);
}
END_TEST

START_TEST (small_organisation_gets_all_at_one_gateway)
{
  add (0, NORMAL, SMALL, 0.1);
  add (0, NORMAL, LARGE, 2.5);
  ck_assert_double_eq_tol (compute_all (1, 1), 1, TOLERANCE);
  ck_assert_double_eq_tol (granted (0, NORMAL, SMALL), 0.1, TOLERANCE);
  ck_assert_double_eq_tol (granted (0, NORMAL, LARGE), 0.9, TOLERANCE);
}
END_TEST

START_TEST (small_organisation_gets_all_at_one_of_four_gateways)
{
  add (0, NORMAL, SMALL, 0.1);
  for (guint g = 0; g < 4; g++)
    add (g, NORMAL, LARGE, 2.5 / 4);
  ck_assert_double_eq_tol (compute_all (4, 1), 1, TOLERANCE);
  ck_assert_double_eq_tol (granted (0, NORMAL, SMALL), 0.1, TOLERANCE);
  for (guint g = 0; g < 4; g++)
    ck_assert_double_eq_tol (granted (g, NORMAL, LARGE), 0.9 / 4, TOLERANCE);
}
END_TEST

/* With even shares, the flooded gateway got 8 of its 27 or 43 slots. */
START_TEST (flooded_gateway_gets_its_demand)
{
  const double demands[] = { 30, 48 };

  for (gsize i = 0; i < G_N_ELEMENTS (demands); i++)
    {
      setup ();
      add (0, URGENT, ORG, 0.9 * demands[i]);
      for (guint g = 1; g < 8; g++)
        add (g, URGENT, ORG, 0.1 * demands[i] / 7);
      ck_assert_double_eq_tol (compute_all (8, 64), 64, TOLERANCE);
      ck_assert (!shares[0].contended);
      ck_assert_double_ge (shares[0].total, 0.9 * demands[i]);
      for (guint g = 1; g < 8; g++)
        ck_assert_double_ge (shares[g].total, 0.1 * demands[i] / 7);
    }
}
END_TEST

START_TEST (gateways_of_unknown_demand_keep_even_part)
{
  const CfDemandTable others = { .n = 1, .entries = { { 0, ORG, 1, 1 } } };
  CfShareInput in = { 64, 8, 3, &own[0], &others };

  add (0, URGENT, ORG, 1000);
  cf_share_compute (&in, &shares[0]);
  ck_assert (shares[0].contended);
  ck_assert_double_le (shares[0].total, 64.0 * 4 / 8);
  ck_assert_double_ge (shares[0].total, 64.0 * 4 / 8 - 1);
}
END_TEST

START_TEST (gateway_alone_with_its_view_keeps_even_share)
{
  const CfDemandTable others = { 0 };
  CfShareInput in = { 64, 8, 0, &own[0], &others };

  add (0, URGENT, ORG, 1000);
  cf_share_compute (&in, &shares[0]);
  ck_assert_double_eq (shares[0].total, 8);
  /* More gateways known than the fleet has: as many as the fleet has. */
  in.n_gateways = 1;
  in.n_known = 5;
  cf_share_compute (&in, &shares[0]);
  ck_assert_double_eq (shares[0].total, 64);
}
END_TEST

/* Guards against parts that change with the variance of arrivals, also after
 * demand was uneven. */
START_TEST (even_demand_gives_even_share)
{
  const double factors[] = { 1, 0.85, 1.15, 1 };
  const double loads[] = { 0.1, 0.7, 1.3, 10 };

  for (gsize l = 0; l < G_N_ELEMENTS (loads); l++)
    {
      setup ();
      for (guint g = 0; g < 4; g++)
        {
          add (g, URGENT, ORG, 16 * factors[g] * loads[l] / 2);
          add (g, NORMAL, ORG, 16 * factors[g] * loads[l] / 2);
        }
      ck_assert_double_eq_tol (compute_all (4, 64), 64, TOLERANCE);
      for (guint g = 0; g < 4; g++)
        {
          CfShareBand b = band_of (g, 4, 64);

          ck_assert_double_eq (cf_share_fraction (&b), 0);
          b.was_uneven = TRUE;
          ck_assert_double_eq (cf_share_fraction (&b), 0);
          ck_assert_double_eq_tol (b.total, 16, 16 * 0.2);
        }
    }
}
END_TEST

/* One gateway is outside the dead band, the others inside: these keep the even
 * part, but the totals still add up to the capacity. */
START_TEST (dead_band_does_not_change_totals)
{
  double parts = 0;

  add (0, URGENT, ORG, 200);
  for (guint g = 1; g < 8; g++)
    add (g, URGENT, ORG, 85);
  ck_assert_double_eq_tol (compute_all (8, 64), 64, TOLERANCE);
  ck_assert_double_eq_tol (get_part (0, 8, 64), 200.0 / 795, TOLERANCE);
  for (guint g = 0; g < 8; g++)
    {
      parts += get_part (g, 8, 64);
      ck_assert_double_eq_tol (shares[g].total, 64.0 * (g ? 85 : 200) / 795,
                               TOLERANCE);
    }
  ck_assert_double_eq_tol (parts, 200.0 / 795 + 7.0 / 8, TOLERANCE);
}
END_TEST

/* Sums over gateways of what the balancer uses. */
typedef struct
{
  double parts;     /* of the slots */
  double max_total; /* of limited gateways */
  double raised;    /* slots by which smaller shares are raised to one */
} Sums;

static Sums
sum_of_bands (guint n, double capacity)
{
  Sums sums = { 0 };

  for (guint g = 0; g < n; g++)
    {
      const CfShareBand b = band_of (g, n, capacity);

      sums.parts += get_part (g, n, capacity);
      sums.max_total += cf_share_max_total (&b);
      sums.raised += MAX (1 - b.total, 0);
    }
  return sums;
}

/* The skew moves from each gateway to the next, in steps. */
START_TEST (moving_skew_does_not_exceed_capacity)
{
  const double loads[] = { 0.5, 0.95, 1.3, 3 };

  for (gsize l = 0; l < G_N_ELEMENTS (loads); l++)
    for (double at = 0; at < GATEWAYS_MAX - 1; at += 0.05)
      {
        double demand = loads[l] * 64;
        guint from = (guint)at;
        Sums sums;

        setup ();
        for (guint g = 0; g < GATEWAYS_MAX; g++)
          add (g, g % 3, ORG + g % 2, 0.2 * demand / GATEWAYS_MAX);
        add (from, URGENT, ORG, 0.8 * demand * (1 - (at - from)));
        add (from + 1, URGENT, ORG, 0.8 * demand * (at - from));
        ck_assert_double_le (compute_all (GATEWAYS_MAX, 64), 64 + TOLERANCE);
        sums = sum_of_bands (GATEWAYS_MAX, 64);
        ck_assert_double_le (sums.max_total, 64 + sums.raised + TOLERANCE);
        /* Parts in the band are at most 1.5 shares, and at least a share
         * divided by 1.5; without contention the other gateways keep an even
         * part beside the flooded one. */
        ck_assert_double_le (sums.parts, shares[0].contended ? 1.5 : 2);
        ck_assert_double_ge (sums.parts, 1 / 1.5);
      }
}
END_TEST

/* Shares of a fleet of four that has 64 slots: the even one is 16. */
static const struct
{
  double total;
  gboolean contended;
  gboolean was_uneven;
  double fraction;
} bands[] = {
  { 23.9, FALSE, FALSE, 0 },
  { 24, FALSE, FALSE, 24.0 / 64 },
  { 20.8, FALSE, TRUE, 20.8 / 64 },
  { 20.7, FALSE, TRUE, 0 },
  { 80, TRUE, FALSE, 1 },
  { 8, FALSE, FALSE, 0 }, /* without contention not below the even share */
  { 8, FALSE, TRUE, 0 },
  { 10.7, TRUE, FALSE, 0 },
  { 10.6, TRUE, FALSE, 10.6 / 64 },
  { 12.4, TRUE, FALSE, 0 },
  { 12.3, TRUE, TRUE, 12.3 / 64 },
  { 12.4, TRUE, TRUE, 0 },
  { 0.5, TRUE, FALSE, 1.0 / 64 },
  { 0, TRUE, FALSE, 1.0 / 64 }, /* no demand here: not an even part */
  { 0, FALSE, FALSE, 0 },
};

START_TEST (band_has_hysteresis)
{
  CfShareBand b = { .capacity = 64, .n_gateways = 4, .n_urgencies = 1 };

  b.total = bands[_i].total;
  b.contended = bands[_i].contended;
  b.was_uneven = bands[_i].was_uneven;
  ck_assert_double_eq_tol (cf_share_fraction (&b), bands[_i].fraction,
                           TOLERANCE);
}
END_TEST

START_TEST (totals_limit_only_contended_levels)
{
  CfShareBand b = { 12, 64, 4, 2, FALSE, FALSE, FALSE };

  ck_assert_double_eq (cf_share_max_total (&b), 0);
  b.contended = TRUE;
  ck_assert_double_eq (cf_share_max_total (&b), 12);
  b.total = 0;
  ck_assert_double_eq (cf_share_max_total (&b), 1);
  b.n_urgencies = 1;
  ck_assert_double_eq (cf_share_max_total (&b), 0);
  b.total = 12;
  b.has_pass_limit = TRUE;
  b.contended = FALSE;
  ck_assert_double_eq (cf_share_max_total (&b), 12);
  /* Without a share, a pass limit must not leave a single request. */
  b.total = 0;
  b.capacity = 0;
  ck_assert_double_eq (cf_share_max_total (&b), 0);
}
END_TEST

/* 300 small organisations have one merged entry beside a large one. */
START_TEST (hundreds_of_organisations_are_served_fairly)
{
  const guint n = 300;
  double small = 0;

  for (guint g = 0; g < 4; g++)
    {
      add (g, NORMAL, 1000, 25);
      for (guint32 org = 1; org <= n; org++)
        add (g, NORMAL, org, 0.1);
    }
  ck_assert_double_eq_tol (compute_all (4, 64), 64, TOLERANCE);
  for (guint g = 0; g < 4; g++)
    for (guint i = 0; i < shares[g].grants.n; i++)
      if (shares[g].grants.entries[i].org != 1000)
        small += shares[g].grants.entries[i].slots;
  /* A fair part is 64 / 301 for each; the large one gets one of them. */
  ck_assert_double_eq_tol (small, 64.0 * n / (n + 1), 1);
  ck_assert_double_eq_tol (granted (0, NORMAL, 1000), 64.0 / (n + 1) / 4, 0.01);
}
END_TEST

START_TEST (organisations_of_merged_entry_keep_order_of_urgencies)
{
  for (guint32 org = 1; org <= 200; org++)
    {
      add (0, URGENT, org, 0.2);
      add (0, NORMAL, org, 0.2);
    }
  ck_assert_double_eq_tol (compute_all (1, 64), 64, TOLERANCE);
  ck_assert_double_eq_tol (granted (0, URGENT, CF_DEMAND_OTHER_ORGS)
                               / cf_demand_table_lookup (&own[0], URGENT, 0),
                           1, TOLERANCE);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("share");
  TCase *t = tcase_create ("loads");

  tcase_add_checked_fixture (t, setup, NULL);
  tcase_add_test (t, fleet_of_one_has_all);
  tcase_add_test (t, urgent_demand_precedes_at_one_gateway);
  tcase_add_test (t, urgent_demand_precedes_across_gateways);
  tcase_add_test (t, least_urgent_keeps_floor);
  tcase_add_test (t, floors_of_many_levels_are_bounded);
  tcase_add_test (t, small_organisation_gets_all_at_one_gateway);
  tcase_add_test (t, small_organisation_gets_all_at_one_of_four_gateways);
  tcase_add_test (t, flooded_gateway_gets_its_demand);
  tcase_add_test (t, gateways_of_unknown_demand_keep_even_part);
  tcase_add_test (t, gateway_alone_with_its_view_keeps_even_share);
  tcase_add_test (t, even_demand_gives_even_share);
  tcase_add_test (t, dead_band_does_not_change_totals);
  tcase_add_test (t, moving_skew_does_not_exceed_capacity);
  tcase_add_loop_test (t, band_has_hysteresis, 0, G_N_ELEMENTS (bands));
  tcase_add_test (t, totals_limit_only_contended_levels);
  tcase_add_test (t, hundreds_of_organisations_are_served_fairly);
  tcase_add_test (t, organisations_of_merged_entry_keep_order_of_urgencies);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
