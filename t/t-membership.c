/* Fleet membership and start positions of gateways on the ring of targets. */
#include "gateway/membership.h"
#include "harness.h"

#include <stdlib.h>

#define N_CENTRES 3
#define N_PER_CENTRE 12

static void
record_heartbeat (CfMembership *m, int c, int i, gint64 now_ms)
{
  g_autofree char *addr = g_strdup_printf ("10.%d.0.%d:1", c, i);
  g_autofree char *dc = g_strdup_printf ("dc%d", c);

  cf_membership_record_heartbeat (m, addr, dc, now_ms);
}

static CfMembership *
new_fleet (int n_centres, int n_per_centre)
{
  CfMembership *m = cf_membership_new ("10.0.0.0:1", "dc0");

  for (int c = 0; c < n_centres; c++)
    for (int i = 0; i < n_per_centre; i++)
      record_heartbeat (m, c, i, 1000);
  return m;
}

static gint
compare (gconstpointer a, gconstpointer b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

/* Gets the ring starts of the gateways of data centre @c, sorted. */
static void
get_starts (CfMembership *m, int c, double starts[N_PER_CENTRE])
{
  for (int i = 0; i < N_PER_CENTRE; i++)
    {
      g_autofree char *addr = g_strdup_printf ("10.%d.0.%d:1", c, i);

      starts[i] = cf_membership_ring_start (m, addr);
    }
  qsort (starts, N_PER_CENTRE, sizeof (double), compare);
}

START_TEST (single_gateway_starts_at_zero)
{
  CfMembership *m = cf_membership_new (NULL, NULL);

  ck_assert_uint_eq (cf_membership_size (m), 1);
  ck_assert_double_eq (cf_membership_ring_start (m, ""), 0);
  ck_assert_double_eq (cf_membership_ring_start (m, NULL), 0);
  ck_assert_double_lt (cf_membership_ring_start (m, "10.0.0.9:1"), 0);
  cf_membership_free (m);
}
END_TEST

START_TEST (ring_starts_of_each_data_centre_are_evenly_spaced)
{
  CfMembership *m = new_fleet (N_CENTRES, N_PER_CENTRE);

  ck_assert_uint_eq (cf_membership_size (m), N_CENTRES * N_PER_CENTRE);
  for (int c = 0; c < N_CENTRES; c++)
    {
      double starts[N_PER_CENTRE];

      get_starts (m, c, starts);
      for (int i = 1; i < N_PER_CENTRE; i++)
        ck_assert_double_eq_tol (starts[i] - starts[i - 1], 1.0 / N_PER_CENTRE,
                                 0.001);
    }
  cf_membership_free (m);
}
END_TEST

START_TEST (ring_starts_do_not_depend_on_order_of_heartbeats)
{
  CfMembership *m = new_fleet (N_CENTRES, N_PER_CENTRE);
  CfMembership *o = cf_membership_new ("10.2.0.5:1", "dc2");

  for (int c = N_CENTRES - 1; c >= 0; c--)
    for (int i = 0; i < N_PER_CENTRE; i++)
      record_heartbeat (o, c, i, 5);
  for (int c = 0; c < N_CENTRES; c++)
    {
      double ours[N_PER_CENTRE];
      double theirs[N_PER_CENTRE];

      get_starts (m, c, ours);
      get_starts (o, c, theirs);
      for (int i = 0; i < N_PER_CENTRE; i++)
        ck_assert_double_eq (ours[i], theirs[i]);
    }
  cf_membership_free (m);
  cf_membership_free (o);
}
END_TEST

START_TEST (silent_members_expire)
{
  CfMembership *m = new_fleet (1, 4);

  record_heartbeat (m, 0, 3, 9000);
  cf_membership_expire (m, 5000, 10000);
  ck_assert_uint_eq (cf_membership_size (m), 2);
  ck_assert_double_eq (cf_membership_ring_start (m, "10.0.0.3:1"), 0.5);
  ck_assert_double_lt (cf_membership_ring_start (m, "10.0.0.2:1"), 0);
  cf_membership_free (m);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("membership");
  TCase *t = tcase_create ("membership");

  tcase_add_test (t, single_gateway_starts_at_zero);
  tcase_add_test (t, ring_starts_of_each_data_centre_are_evenly_spaced);
  tcase_add_test (t, ring_starts_do_not_depend_on_order_of_heartbeats);
  tcase_add_test (t, silent_members_expire);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
