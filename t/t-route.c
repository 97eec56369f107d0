#include "route.h"
#include "harness.h"

#include <check.h>
#include <string.h>

static void
fill (CfCandidate *c)
{
  const char *addrs[] = { "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1" };

  memset (c, 0, sizeof *c * 3);
  for (int i = 0; i < 3; i++)
    c[i].addr = addrs[i];
}

START_TEST (test_least_loaded_first_excluded_last)
{
  CfCandidate c[3];

  fill (c);
  c[0].load = 5;
  c[1].load = 1;
  c[2].load = 0;
  c[2].excluded = TRUE;
  ck_assert_int_eq (cf_route_order (c, 3, NULL, "r1"), 2);
  ck_assert_str_eq (c[0].addr, "10.0.0.2:1");
  ck_assert_str_eq (c[2].addr, "10.0.0.3:1");
}
END_TEST

START_TEST (test_key_owner_ignores_load_and_is_stable)
{
  CfCandidate c[3];
  const char *first;

  fill (c);
  cf_route_order (c, 3, "booking-17", "r1");
  first = c[0].addr;
  fill (c);
  c[0].load = 100;
  c[1].load = 50;
  cf_route_order (c, 3, "booking-17", "r2");
  ck_assert_str_eq (c[0].addr, first);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("route");
  TCase *tc = tcase_create ("core");

  tcase_add_test (tc, test_least_loaded_first_excluded_last);
  tcase_add_test (tc, test_key_owner_ignores_load_and_is_stable);
  suite_add_tcase (s, tc);
  return t_run (s);
}
