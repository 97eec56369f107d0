/* The order in which seeds take the lead of a rank group. */
#include "gateway/seed-order.h"
#include "harness.h"

#define N 3

static const char *const places[] = { NULL, "dc1", "dc2" };

static CfSeedOrder
make_order (const char *const *dcs, guint first, const char *group_dc)
{
  CfSeedOrder o = { .n = N, .first = first };

  o.data_centres = dcs;
  o.group_data_centre = group_dc;
  return o;
}

START_TEST (local_seeds_come_first)
{
  const char *const dcs[N] = { "dc1", "dc2", "dc1" };
  CfSeedOrder o = make_order (dcs, 0, "dc2");

  ck_assert_uint_eq (cf_seed_order_local (&o), 1U << 1);
  ck_assert_uint_eq (cf_seed_order_ahead (&o, 1), 0);
  ck_assert_uint_eq (cf_seed_order_ahead (&o, 0), 1U << 1);
  ck_assert_uint_eq (cf_seed_order_ahead (&o, 2), 1U << 1 | 1U << 0);
  o = make_order (dcs, 2, "dc1");
  ck_assert_uint_eq (cf_seed_order_ahead (&o, 2), 0);
  ck_assert_uint_eq (cf_seed_order_ahead (&o, 0), 1U << 2);
  ck_assert_uint_eq (cf_seed_order_ahead (&o, 1), 1U << 2 | 1U << 0);
}
END_TEST

START_TEST (without_a_local_seed_the_order_is_the_plain_one)
{
  const char *const dcs[N] = { "dc1", NULL, "dc1" };
  const char *const group_dcs[] = { NULL, "dc3" };

  for (gsize i = 0; i < G_N_ELEMENTS (group_dcs); i++)
    {
      CfSeedOrder o = make_order (dcs, 1, group_dcs[i]);

      ck_assert_uint_eq (cf_seed_order_local (&o), 0);
      ck_assert_uint_eq (cf_seed_order_ahead (&o, 1), 0);
      ck_assert_uint_eq (cf_seed_order_ahead (&o, 2), 1U << 1);
      ck_assert_uint_eq (cf_seed_order_ahead (&o, 0), 1U << 1 | 1U << 2);
    }
}
END_TEST

/* If seeds with the same view had no total order, two would take the lead at
 * the same time, or all would wait for one another. */
START_TEST (seeds_with_the_same_view_have_a_total_order)
{
  for (int v = 0; v < 3 * 3 * 3 * N; v++)
    {
      const char *const dcs[N]
          = { places[v % 3], places[v / 3 % 3], places[v / 9 % 3] };
      CfSeedOrder o = make_order (dcs, (guint)v / 27, "dc2");
      guint n_ahead = 0;

      for (guint s = 0; s < N; s++)
        n_ahead |= 1U << __builtin_popcount (cf_seed_order_ahead (&o, s));
      ck_assert_uint_eq (n_ahead, 7);
    }
}
END_TEST

/* Seeds learn where the others are at different times, but each knows where it
 * is itself.  With unequal views, two may take the lead; if none did, the group
 * would have no leader until the views are equal. */
START_TEST (seeds_with_partial_views_never_all_wait)
{
  for (int v = 0; v < 3 * 3 * 3 * N * 512; v++)
    {
      int known = v / (27 * N);
      gboolean any_first = FALSE;

      for (guint s = 0; s < N; s++)
        {
          const char *dcs[N]
              = { places[v % 3], places[v / 3 % 3], places[v / 9 % 3] };
          CfSeedOrder o = make_order (dcs, (guint)v / 27 % N, "dc2");

          for (guint i = 0; i < N; i++)
            if (i != s && !(known >> (s * N + i) & 1))
              dcs[i] = NULL;
          any_first |= cf_seed_order_ahead (&o, s) == 0;
        }
      ck_assert (any_first);
    }
}
END_TEST

START_TEST (an_unknown_seed_may_turn_out_to_be_local)
{
  const char *dcs[N] = { "dc1", NULL, "dc2" };
  CfSeedOrder o = make_order (dcs, 0, "dc2");

  ck_assert (cf_seed_order_may_change (&o, 0));
  ck_assert (!cf_seed_order_may_change (&o, 2));
  dcs[1] = "dc1";
  ck_assert (!cf_seed_order_may_change (&o, 0));
  dcs[1] = NULL;
  o.group_data_centre = NULL;
  ck_assert (!cf_seed_order_may_change (&o, 0));
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("seed-order");
  TCase *t = tcase_create ("seed-order");

  tcase_add_test (t, local_seeds_come_first);
  tcase_add_test (t, without_a_local_seed_the_order_is_the_plain_one);
  tcase_add_test (t, seeds_with_the_same_view_have_a_total_order);
  tcase_add_test (t, seeds_with_partial_views_never_all_wait);
  tcase_add_test (t, an_unknown_seed_may_turn_out_to_be_local);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
