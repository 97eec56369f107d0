#include "route.h"
#include "harness.h"

#include <check.h>
#include <string.h>

static void
init_candidates (CfCandidate *c)
{
  const char *addrs[] = { "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1" };

  memset (c, 0, sizeof *c * 3);
  for (int i = 0; i < 3; i++)
    c[i].addr = addrs[i];
}

START_TEST (test_picks_least_loaded_and_never_excluded)
{
  CfCandidate c[3];

  init_candidates (c);
  c[0].load = 5;
  c[1].load = 1;
  c[2].load = 0;
  c[2].excluded = TRUE;
  ck_assert_str_eq (cf_route_pick (c, 3, NULL, "r1")->addr, "10.0.0.2:1");
  c[1].excluded = TRUE;
  ck_assert_str_eq (cf_route_pick (c, 3, NULL, "r1")->addr, "10.0.0.1:1");
  c[0].excluded = TRUE;
  ck_assert_ptr_null (cf_route_pick (c, 3, NULL, "r1"));
  ck_assert_ptr_null (cf_route_pick (c, 3, "key", "r1"));
}
END_TEST

START_TEST (test_equal_loads_are_spread)
{
  CfCandidate c[3];
  int picked[3] = { 0 };

  init_candidates (c);
  for (int i = 0; i < 300; i++)
    {
      g_autofree char *id = g_strdup_printf ("r-%d", i);

      picked[cf_route_pick (c, 3, NULL, id) - c]++;
    }
  for (int i = 0; i < 3; i++)
    ck_assert_int_ge (picked[i], 60);
}
END_TEST

START_TEST (test_key_owner_ignores_load_and_is_stable)
{
  CfCandidate c[3];
  const char *first;
  const char *second;

  init_candidates (c);
  first = cf_route_pick (c, 3, "booking-17", "r1")->addr;
  init_candidates (c);
  c[0].load = 100;
  c[1].load = 50;
  ck_assert_str_eq (cf_route_pick (c, 3, "booking-17", "r2")->addr, first);
  /* With the owner excluded, all entries agree on the next agent too. */
  for (int i = 0; i < 3; i++)
    c[i].excluded = c[i].addr == first;
  second = cf_route_pick (c, 3, "booking-17", "r3")->addr;
  ck_assert_str_ne (second, first);
  ck_assert_str_eq (cf_route_pick (c, 3, "booking-17", "r4")->addr, second);
}
END_TEST

static guint
parse_and_find_guards (const char *records, const char *key,
                       const char *out[CF_GUARDS_PER_KEY], CfConfig **c)
{
  ck_assert_int_eq (cf_config_parse_lines (records, "t", 1, c), CF_OK);
  return cf_route_find_guards (*c, key, out);
}

START_TEST (test_guards_are_distinct_and_do_not_depend_on_order)
{
  const char *a[CF_GUARDS_PER_KEY];
  const char *b[CF_GUARDS_PER_KEY];
  CfConfig *ca = NULL;
  CfConfig *cb = NULL;

  /* The same agents in one group, and in two overlapping groups. */
  ck_assert_int_eq (
      parse_and_find_guards (
          "{\"schema\":1,\"kind\":\"group\",\"name\":\"g\",\"target\":"
          "\"engine\",\"agents\":[\"10.0.0.1:1\",\"10.0.0.2:1\","
          "\"10.0.0.3:1\",\"10.0.0.4:1\",\"10.0.0.5:1\"]}\n",
          "k", a, &ca),
      3);
  ck_assert_int_eq (
      parse_and_find_guards (
          "{\"schema\":1,\"kind\":\"group\",\"name\":\"x\",\"target\":"
          "\"engine\",\"agents\":[\"10.0.0.5:1\",\"10.0.0.3:1\","
          "\"10.0.0.2:1\"]}\n"
          "{\"schema\":1,\"kind\":\"group\",\"name\":\"y\",\"target\":"
          "\"service\",\"agents\":[\"10.0.0.4:1\",\"10.0.0.3:1\","
          "\"10.0.0.1:1\"]}\n",
          "k", b, &cb),
      3);
  for (int i = 0; i < 3; i++)
    {
      ck_assert_str_eq (a[i], b[i]);
      for (int j = 0; j < i; j++)
        ck_assert_str_ne (a[i], a[j]);
    }
  cf_config_unref (ca);
  cf_config_unref (cb);
}
END_TEST

START_TEST (test_guards_of_a_small_configuration)
{
  const char *a[CF_GUARDS_PER_KEY];
  CfConfig *c = NULL;

  ck_assert_int_eq (
      parse_and_find_guards (
          "{\"schema\":1,\"kind\":\"group\",\"name\":\"g\",\"target\":"
          "\"engine\",\"agents\":[\"10.0.0.1:1\"]}\n",
          "k", a, &c),
      1);
  ck_assert_str_eq (a[0], "10.0.0.1:1");
  cf_config_unref (c);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("route");
  TCase *tc = tcase_create ("core");

  tcase_add_test (tc, test_picks_least_loaded_and_never_excluded);
  tcase_add_test (tc, test_equal_loads_are_spread);
  tcase_add_test (tc, test_key_owner_ignores_load_and_is_stable);
  tcase_add_test (tc, test_guards_are_distinct_and_do_not_depend_on_order);
  tcase_add_test (tc, test_guards_of_a_small_configuration);
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
