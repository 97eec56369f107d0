/*
 * A store that does not answer for a while.  Answers that were lost then must
 * not keep a later change from being in force within the platform's bounds.
 */
#include "harness.h"
#include "platform-harness.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define BASE 12000
/** The last gateway reaches the store through this proxy. */
#define PROXY_PORT (BASE + 50)
/** The platform's limit for a change to be in force. */
#define APPLY_MS 2000
/** After a disruption, the platform's limits apply once it has been over for
 * this time. */
#define CONTACT_MS 3000
/** Allowance for the processes of the test itself. */
#define MARGIN_MS 50
#define STORM_INTERVAL_MS 270
#define STORM_CHANGES 13
#define GATEWAYS_MAX 16
/** How long a target whose entry is missing after a silence stays listed. */
#define RETURN_MS 2200
/** Seeds of the random silences in CI; the variable SEEDS replaces it. */
#define DEFAULT_SEEDS 2
/** Seeds are the gateways that the others connect to. */
#define SEEDS 3

static char *first_config;
static pid_t gateways[GATEWAYS_MAX + 1];
static int n_gateways;
static pid_t proxy;
static int version;

static void
call (const char *request, const char *body)
{
  g_free (p_call_standin (BASE, request, body));
}

static void
sleep_ms (int ms)
{
  usleep ((useconds_t)ms * 1000);
}

static gint64
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

static void
start_gateways (int n)
{
  n_gateways = n;
  for (int i = 1; i <= n; i++)
    {
      p_overrides.store = i == n ? PROXY_PORT : 0;
      gateways[i] = p_start_gateway (BASE, i);
    }
  p_overrides.store = 0;
  for (int i = 1; i <= n; i++)
    p_wait_until_ready (BASE, i);
}

static void
setup (void)
{
  version = 1;
  p_start_platform (BASE, "--ranks", "0", NULL);
  proxy = p_start_fault_proxy (PROXY_PORT, BASE);
  first_config = p_call_standin (BASE, "GET /test/get?key=op/config", "");
}

static void
teardown (void)
{
  g_clear_pointer (&first_config, g_free);
  p_stop_all ();
}

static void
set_mode (const char *mode)
{
  g_autofree char *request = g_strdup_printf ("POST /test/mode?mode=%s", mode);

  call (request, "");
}

/* Returns when the store acknowledged it. */
static gint64
put_next_config (void)
{
  g_autofree char *config
      = g_strdup_printf ("{\"version\":%d,%s", ++version,
                         first_config + strlen ("{\"version\":1,"));

  call ("POST /test/put?key=op/config", config);
  return now_ms ();
}

static void
put_storm (void)
{
  for (int i = 0; i < STORM_CHANGES; i++)
    {
      put_next_config ();
      sleep_ms (STORM_INTERVAL_MS);
    }
}

static int
metric (int gateway, const char *name)
{
  g_autofree char *page
      = p_round_trip (p_front_port (BASE, gateway) + 3,
                      "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
  g_autofree char *key = g_strdup_printf ("\ncomfrey_%s ", name);
  const char *line = strstr (page, key);

  return line ? atoi (line + strlen (key)) : -1;
}

/* Waits until @name is @value at all gateways; fails after @deadline_ms. */
static void
check_everywhere (const char *name, int value, gint64 deadline_ms)
{
  for (int i = 1; i <= n_gateways; i++)
    {
      while (metric (i, name) != value && now_ms () < deadline_ms)
        sleep_ms (10);
      ck_assert_msg (metric (i, name) == value,
                     "gateway %d of %d: %s is %d, not %d, %d ms after a change",
                     i, n_gateways, name, metric (i, name), value,
                     (int)(now_ms () - deadline_ms));
    }
}

static gint64
get_deadline (gint64 silence_end_ms, gint64 acknowledged_ms)
{
  return MARGIN_MS
         + MAX (silence_end_ms + CONTACT_MS, acknowledged_ms + APPLY_MS);
}

/* Returns when the silence ended. */
static gint64
be_silent (const char *mode, int ms)
{
  set_mode (mode);
  sleep_ms (ms);
  set_mode ("up");
  return now_ms ();
}

/* Changes the configuration after a silence, and again once the platform's
 * limits apply. */
static void
check_changes_after (gint64 silence_end_ms)
{
  gint64 acknowledged_ms = put_next_config ();

  check_everywhere ("config_version", version,
                    get_deadline (silence_end_ms, acknowledged_ms));
  acknowledged_ms = put_next_config ();
  check_everywhere ("config_version", version,
                    get_deadline (silence_end_ms, acknowledged_ms));
}

/* After a storm all gateways poll at about the same time. */
START_TEST (polls_lost_late_in_a_storm_do_not_delay_a_change)
{
  start_gateways (_i);
  put_storm ();
  check_changes_after (be_silent ("silent", 1000));
}
END_TEST

static const struct
{
  int gateways;
  int after_change_ms; /* when the silence begins */
  int ms;
  const char *mode;
} silences[] = {
  { 1, 20, 1000, "lost" }, { 3, 5, 300, "lost" },     { 3, 20, 4000, "lost" },
  { 3, 20, 1000, "busy" }, { 3, 20, 1000, "reset" },  { 3, 500, 1000, "lost" },
  { 16, 5, 300, "lost" },  { 16, 100, 1000, "lost" },
};

START_TEST (polls_lost_just_after_a_change_do_not_delay_the_next)
{
  start_gateways (silences[_i].gateways);
  put_next_config ();
  sleep_ms (silences[_i].after_change_ms);
  check_changes_after (be_silent (silences[_i].mode, silences[_i].ms));
}
END_TEST

/* The first call after the first silence meets the second one. */
START_TEST (polls_lost_in_two_silences_do_not_delay_a_change)
{
  start_gateways (_i);
  put_storm ();
  be_silent ("silent", 1000);
  sleep_ms (800);
  put_next_config ();
  check_changes_after (be_silent ("silent", 1000));
}
END_TEST

/* The list of targets is watched by a call of its own. */
START_TEST (polls_lost_in_a_silence_do_not_delay_a_removal)
{
  gint64 silence_end_ms;
  gint64 removed_ms;

  start_gateways (_i);
  call ("POST /test/put?key=servers/filler", "");
  sleep_ms (20);
  silence_end_ms = be_silent ("lost", 1000);
  sleep_ms (CONTACT_MS);
  call ("POST /test/delete?key=servers/desk-0", "");
  removed_ms = now_ms ();
  check_everywhere ("targets", 1, get_deadline (silence_end_ms, removed_ms));
}
END_TEST

START_TEST (polls_lost_in_a_silence_do_not_delay_an_evacuation)
{
  gint64 silence_end_ms;

  start_gateways (_i);
  put_storm ();
  silence_end_ms = be_silent ("silent", 1000);
  call ("POST /test/put?key=op/evacuate/dc1", "{}");
  check_everywhere ("evacuated_data_centres", 1,
                    get_deadline (silence_end_ms, now_ms ()));
}
END_TEST

/* Answers are lost at one gateway, which may be a seed, while the others are
 * answered. */
START_TEST (lost_answer_at_one_gateway_does_not_delay_a_change)
{
  start_gateways (_i);
  for (int i = 0; i < 2; i++)
    {
      p_signal (proxy, SIGUSR1);
      check_changes_after (now_ms ());
    }
}
END_TEST

/* A gateway that is not a seed still waits for the lost answer when it is told
 * of the change. */
START_TEST (poll_is_repeated_when_a_seed_tells_of_a_later_change)
{
  start_gateways (SEEDS + 2);
  /* So late that its poll may be held for long. */
  sleep_ms (CONTACT_MS);
  p_signal (proxy, SIGUSR1);
  put_next_config ();
  check_everywhere ("config_version", version, now_ms () + APPLY_MS / 2);
  ck_assert_int_ge (metric (n_gateways, "store_polls_repeated_total"), 1);
}
END_TEST

/* Without a seed to tell of changes, a gateway has to notice by itself that
 * its poll was lost. */
START_TEST (poll_lost_after_all_seeds_were_killed_does_not_delay_a_change)
{
  start_gateways (SEEDS + 2);
  put_next_config ();
  sleep_ms (20);
  set_mode ("lost");
  for (int i = 1; i <= SEEDS; i++)
    p_signal (gateways[i], SIGKILL);
  sleep_ms (500);
  set_mode ("up");
  /* Killed gateways take no part. */
  for (int i = 1; i <= 2; i++)
    {
      gint64 deadline_ms = MARGIN_MS
                           + MAX (now_ms () + (i == 1 ? CONTACT_MS : 0),
                                  put_next_config () + APPLY_MS);

      for (int n = SEEDS + 1; n <= n_gateways; n++)
        {
          while (metric (n, "config_version") != version
                 && now_ms () < deadline_ms)
            sleep_ms (10);
          ck_assert_int_eq (metric (n, "config_version"), version);
        }
    }
}
END_TEST

/* One or two silences of any kind, length and time, while the configuration,
 * the targets or evacuations change and gateways are killed and started. */
START_TEST (changes_after_random_silences_are_in_force_in_time)
{
  static const char *const modes[] = { "lost", "silent", "reset", "busy" };
  static const int fleets[] = { 1, 3, 5, 16 };
  GRand *rand = g_rand_new_with_seed ((guint32)_i);
  int n = fleets[g_rand_int_range (rand, 0, G_N_ELEMENTS (fleets))];
  int n_silences = g_rand_int_range (rand, 1, 3);
  gint64 end_ms = 0;
  gint64 changed_ms;

  start_gateways (n);
  if (g_rand_boolean (rand))
    put_storm ();
  else
    put_next_config ();
  sleep_ms (g_rand_int_range (rand, 0, 500));
  for (int i = 0; i < n_silences; i++)
    {
      const char *mode
          = modes[g_rand_int_range (rand, 0, G_N_ELEMENTS (modes))];
      gboolean is_change = g_rand_boolean (rand);

      if (n > 1 && g_rand_int_range (rand, 0, 3) == 0)
        {
          int killed = g_rand_int_range (rand, 1, n);

          p_signal (gateways[killed], SIGKILL);
          gateways[killed] = p_start_gateway (BASE, killed);
        }
      end_ms = be_silent (mode, g_rand_int_range (rand, 300, 4000));
      if (is_change)
        put_next_config ();
      if (i + 1 < n_silences)
        sleep_ms (g_rand_int_range (rand, 50, 1500));
    }
  g_rand_free (rand);
  call ("POST /test/delete?key=servers/desk-0", "");
  call ("POST /test/put?key=op/evacuate/dc1", "{}");
  changed_ms = put_next_config ();
  check_everywhere ("config_version", version,
                    get_deadline (end_ms, changed_ms));
  check_everywhere ("evacuated_data_centres", 1,
                    get_deadline (end_ms, changed_ms));
  /* After a silence, entries that are missing get some time to return. */
  check_everywhere ("targets", 1,
                    get_deadline (end_ms, changed_ms) + RETURN_MS);
}
END_TEST

int
main (void)
{
  const char *seeds = g_getenv ("SEEDS");
  Suite *s = suite_create ("store-silence");
  TCase *t = tcase_create ("store-silence");

  tcase_set_timeout (t, 40);
  tcase_add_checked_fixture (t, setup, teardown);
  tcase_add_loop_test (t, polls_lost_late_in_a_storm_do_not_delay_a_change, 3,
                       4);
  tcase_add_loop_test (t, polls_lost_just_after_a_change_do_not_delay_the_next,
                       0, G_N_ELEMENTS (silences));
  tcase_add_loop_test (t, polls_lost_in_two_silences_do_not_delay_a_change, 3,
                       4);
  tcase_add_loop_test (t, polls_lost_in_a_silence_do_not_delay_a_removal, 5, 6);
  tcase_add_loop_test (t, polls_lost_in_a_silence_do_not_delay_an_evacuation, 5,
                       6);
  tcase_add_loop_test (t, lost_answer_at_one_gateway_does_not_delay_a_change,
                       SEEDS, SEEDS + 1);
  tcase_add_loop_test (t, lost_answer_at_one_gateway_does_not_delay_a_change,
                       SEEDS + 2, SEEDS + 3);
  tcase_add_test (t, poll_is_repeated_when_a_seed_tells_of_a_later_change);
  tcase_add_test (
      t, poll_lost_after_all_seeds_were_killed_does_not_delay_a_change);
  tcase_add_loop_test (t, changes_after_random_silences_are_in_force_in_time, 1,
                       (seeds ? atoi (seeds) : DEFAULT_SEEDS) + 1);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
