/* Checks the maps that a rank's agent keeps, and those built from them. */
#include "gateway/map-history.h"
#include "harness.h"

static const CfGroupShape shape
    = { .sets = 2, .experts = 8, .ranks = 4, .places = 3, .spare = 2 };

/* Returns a diff of one row: rank 1 of set 0 holds @expert besides 1 and 5. */
static GArray *
row_with (gint64 expert)
{
  const gint64 row[] = { 1, 1, 5, expert };
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (gint64));

  g_array_append_vals (rows, row, G_N_ELEMENTS (row));
  return rows;
}

static CfGroupMap *
build_map (const CfMapHistory *h, gint64 base, gint64 expert)
{
  GArray *rows = row_with (expert);
  CfGroupMap *m = cf_map_history_build_map (h, &shape, base, rows);

  g_array_unref (rows);
  return m;
}

START_TEST (a_group_begins_with_round_robin_experts)
{
  CfMapHistory h = { 0 };
  CfGroupMap *m = build_map (&h, 0, 2);

  ck_assert_ptr_nonnull (m);
  ck_assert (cf_group_map_is_complete (m));
  ck_assert (cf_group_map_holds (m, 0, 1, 2));
  ck_assert (cf_group_map_holds (m, 1, 3, 7));
  cf_group_map_free (m);
}
END_TEST

START_TEST (the_map_in_use_is_kept_while_others_are_dropped)
{
  CfMapHistory h = { 0 };
  CfGroupMap *m;

  cf_map_history_add (&h, build_map (&h, 0, 2), 11);
  cf_map_history_set_in_use (&h, 11);
  /* Prepared, but never used. */
  cf_map_history_add (&h, build_map (&h, 11, 3), 12);
  cf_map_history_set_in_use (&h, 11);
  cf_map_history_add (&h, build_map (&h, 11, 4), 13);
  cf_map_history_set_in_use (&h, 11);
  ck_assert_ptr_null (build_map (&h, 12, 0));
  m = build_map (&h, 11, 6);
  ck_assert (cf_group_map_holds (m, 0, 1, 6));
  ck_assert (!cf_group_map_holds (m, 0, 1, 4));
  cf_group_map_free (m);
  cf_map_history_set_in_use (&h, 13);
  m = build_map (&h, 13, 6);
  ck_assert_ptr_nonnull (m);
  cf_group_map_free (m);
  cf_map_history_clear (&h);
}
END_TEST

/* An agent that restarted knows no map, and a map of another shape can't be the
 * base of the next one. */
START_TEST (an_unknown_base_gives_no_map)
{
  CfGroupShape other = shape;
  CfMapHistory h = { 0 };
  GArray *rows = row_with (2);

  ck_assert_ptr_null (build_map (&h, 11, 2));
  cf_map_history_add (&h, build_map (&h, 0, 2), 11);
  other.ranks = 5;
  ck_assert_ptr_null (cf_map_history_build_map (&h, &other, 11, rows));
  other.ranks = CF_MAP_PLACES_MAX;
  ck_assert_ptr_null (cf_map_history_build_map (&h, &other, 0, rows));
  g_array_unref (rows);
  cf_map_history_clear (&h);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("map-history");
  TCase *t = tcase_create ("map-history");

  tcase_add_test (t, a_group_begins_with_round_robin_experts);
  tcase_add_test (t, the_map_in_use_is_kept_while_others_are_dropped);
  tcase_add_test (t, an_unknown_base_gives_no_map);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
