/* The maps that a rank's agent remembers, and makes the next one of. */
#include "gateway/map-history.h"
#include "harness.h"

static const CfGroupShape shape
    = { .sets = 2, .experts = 8, .ranks = 4, .places = 3, .spare = 2 };

/* One row: rank 1 of set 0 holds @expert beside 1 and 5. */
static GArray *
row_with (gint64 expert)
{
  const gint64 row[] = { 1, 1, 5, expert };
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (gint64));

  g_array_append_vals (rows, row, G_N_ELEMENTS (row));
  return rows;
}

static CfGroupMap *
make (const CfMapHistory *h, gint64 base, gint64 expert)
{
  GArray *rows = row_with (expert);
  CfGroupMap *m = cf_map_history_make (h, &shape, base, rows);

  g_array_unref (rows);
  return m;
}

START_TEST (a_group_begins_with_experts_in_turn)
{
  CfMapHistory h = { 0 };
  CfGroupMap *m = make (&h, 0, 2);

  ck_assert_ptr_nonnull (m);
  ck_assert (cf_group_map_whole (m));
  ck_assert (cf_group_map_holds (m, 0, 1, 2));
  ck_assert (cf_group_map_holds (m, 1, 3, 7));
  cf_group_map_free (m);
}
END_TEST

START_TEST (the_map_in_use_stays_known_while_others_are_given_up)
{
  CfMapHistory h = { 0 };
  CfGroupMap *m;

  cf_map_history_take (&h, make (&h, 0, 2), 11);
  cf_map_history_uses (&h, 11);
  /* Prepared, and never used. */
  cf_map_history_take (&h, make (&h, 11, 3), 12);
  cf_map_history_uses (&h, 11);
  cf_map_history_take (&h, make (&h, 11, 4), 13);
  cf_map_history_uses (&h, 11);
  ck_assert_ptr_null (make (&h, 12, 0));
  m = make (&h, 11, 6);
  ck_assert (cf_group_map_holds (m, 0, 1, 6));
  ck_assert (!cf_group_map_holds (m, 0, 1, 4));
  cf_group_map_free (m);
  cf_map_history_uses (&h, 13);
  m = make (&h, 13, 6);
  ck_assert_ptr_nonnull (m);
  cf_group_map_free (m);
  cf_map_history_clear (&h);
}
END_TEST

/* An agent that started anew knows no map, and one of another shape is none
 * to make the next of. */
START_TEST (a_base_that_is_not_known_makes_no_map)
{
  CfGroupShape other = shape;
  CfMapHistory h = { 0 };
  GArray *rows = row_with (2);

  ck_assert_ptr_null (make (&h, 11, 2));
  cf_map_history_take (&h, make (&h, 0, 2), 11);
  other.ranks = 5;
  ck_assert_ptr_null (cf_map_history_make (&h, &other, 11, rows));
  other.ranks = CF_MAP_PLACES_MAX;
  ck_assert_ptr_null (cf_map_history_make (&h, &other, 0, rows));
  g_array_unref (rows);
  cf_map_history_clear (&h);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("map-history");
  TCase *t = tcase_create ("map-history");

  tcase_add_test (t, a_group_begins_with_experts_in_turn);
  tcase_add_test (t, the_map_in_use_stays_known_while_others_are_given_up);
  tcase_add_test (t, a_base_that_is_not_known_makes_no_map);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
