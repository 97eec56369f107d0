/* Checks how soon a fleet of gateways notices that answers of the store were
 * lost, and how many calls that takes. */
#include "gateway/store-poll.h"
#include "harness.h"

#define SEEDS_MAX 3
/** As store-watch.c: the time limit of a response beyond the poll's wait, and
 * the backoff, which doubles up to a limit and has a jitter. */
#define RESPONSE_TIMEOUT_MS 1000
#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 800
#define BACKOFF_JITTER_MS 50
/** The platform's limits apply this time after a silence.  Before that, a seed
 * has to have heard from the store, and the others have its changes: they wait
 * for 400 ms, and 200 ms pass with messages, timers and the call. */
#define CONTACT_MS 3000
#define HEARD_MS (CONTACT_MS - 400 - 200)
#define SIMULATED_MS 20000

static gint64
wait_of (guint n_seeds, guint rank, gboolean is_in_step)
{
  const CfStorePollTurn turn = { .n_seeds = n_seeds, .seed_rank = rank };

  return cf_store_poll_wait_ms (&turn, SEEDS_MAX, is_in_step);
}

/* When the poll that a seed has in progress at @now_ms was sent.  All seeds got
 * a change at 0. */
static gint64
last_sent_ms (guint n_seeds, guint rank, gint64 now_ms)
{
  gint64 first = wait_of (n_seeds, rank, TRUE);
  gint64 next = wait_of (n_seeds, rank, FALSE);

  return now_ms < first ? 0 : first + (now_ms - first) / next * next;
}

START_TEST (the_store_answers_a_seed_every_second)
{
  guint n = (guint)_i;

  for (gint64 now_ms = 0; now_ms < SIMULATED_MS; now_ms += 10)
    {
      gint64 latest_ms = 0;

      for (guint rank = 0; rank < n; rank++)
        latest_ms = MAX (latest_ms, last_sent_ms (n, rank, now_ms));
      ck_assert_int_le (now_ms - latest_ms, 1000);
    }
}
END_TEST

/* Loses all polls that are in progress when the store falls silent at @from_ms;
 * returns when it next answers a seed. */
static gint64
next_answer_ms (guint n_seeds, gint64 from_ms, gint64 until_ms)
{
  gint64 first_ms = G_MAXINT64;

  for (guint rank = 0; rank < n_seeds; rank++)
    {
      gint64 sent_ms = last_sent_ms (n_seeds, rank, from_ms);
      gint64 backoff_ms = BACKOFF_MIN_MS;
      gint64 at_ms = sent_ms + wait_of (n_seeds, rank, sent_ms == 0)
                     + RESPONSE_TIMEOUT_MS + backoff_ms + BACKOFF_JITTER_MS;

      while (at_ms < until_ms)
        {
          backoff_ms = MIN (backoff_ms * 2, BACKOFF_MAX_MS);
          at_ms += RESPONSE_TIMEOUT_MS + backoff_ms + BACKOFF_JITTER_MS;
        }
      first_ms = MIN (first_ms, at_ms);
    }
  return first_ms;
}

/* A poll that is lost in a silence looks like one that waits for a change.  The
 * platform's limits apply again 3 s after the silence. */
START_TEST (polls_lost_in_a_silence_are_noticed_before_limits_apply)
{
  guint n = (guint)_i;

  for (gint64 from_ms = 0; from_ms < SIMULATED_MS; from_ms += 5)
    for (gint64 ms = 300; ms <= 4000; ms += 100)
      ck_assert_int_le (next_answer_ms (n, from_ms, from_ms + ms),
                        from_ms + ms + HEARD_MS);
}
END_TEST

/* Calls of the whole fleet on a watch without changes.  Those of the seeds are
 * one a second in any fleet. */
START_TEST (idle_calls_with_those_of_seeds_do_not_grow_with_the_fleet)
{
  static const struct
  {
    guint gateways;
    double max_per_s;
  } cases[] = { { 1, 1 },      { 2, 1 },    { 3, 1 },     { 30, 7.01 },
                { 208, 8.01 }, { 300, 11 }, { 1000, 35 }, { 2000, 68 } };
  const CfStorePollTurn others = { .relies_on_seed = TRUE };

  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      guint n_seeds = MIN (cases[i].gateways, SEEDS_MAX);
      double per_s
          = (cases[i].gateways - n_seeds) * 1000.0
            / (double)cf_store_poll_wait_ms (&others, cases[i].gateways, FALSE);

      for (guint rank = 0; rank < n_seeds; rank++)
        per_s += 1000.0 / (double)wait_of (n_seeds, rank, FALSE);
      ck_assert_double_le (per_s, cases[i].max_per_s + 1e-9);
    }
}
END_TEST

static CfStorePosition
at (gint64 rev)
{
  return (CfStorePosition){ .era = 1, .rev = rev };
}

START_TEST (a_change_that_was_read_is_not_overdue)
{
  CfStoreLag l = { 0 };

  cf_store_lag_note (&l, at (7), at (7), 1000);
  ck_assert (!cf_store_lag_is_overdue (&l, at (7), 9000));
  cf_store_lag_note (&l, at (7), at (8), 9000);
  ck_assert (!cf_store_lag_is_overdue (&l, at (8), 9400));
  ck_assert (!cf_store_lag_is_overdue (&l, at (7), 20000));
}
END_TEST

START_TEST (a_change_that_a_peer_has_read_is_overdue_at_intervals)
{
  CfStoreLag l = { 0 };

  cf_store_lag_note (&l, at (7), at (8), 1000);
  /* Neither a later change nor an earlier one begins the time anew. */
  cf_store_lag_note (&l, at (7), at (9), 1300);
  cf_store_lag_note (&l, at (7), at (8), 1350);
  ck_assert (!cf_store_lag_is_overdue (&l, at (7), 1399));
  ck_assert (cf_store_lag_is_overdue (&l, at (7), 1400));
  ck_assert (!cf_store_lag_is_overdue (&l, at (8), 1799));
  ck_assert (cf_store_lag_is_overdue (&l, at (8), 1800));
  ck_assert (!cf_store_lag_is_overdue (&l, at (9), 2200));
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("store-poll");
  TCase *t = tcase_create ("store-poll");

  tcase_add_loop_test (t, the_store_answers_a_seed_every_second, 1,
                       SEEDS_MAX + 1);
  tcase_add_loop_test (t,
                       polls_lost_in_a_silence_are_noticed_before_limits_apply,
                       1, SEEDS_MAX + 1);
  tcase_add_test (t, idle_calls_with_those_of_seeds_do_not_grow_with_the_fleet);
  tcase_add_test (t, a_change_that_was_read_is_not_overdue);
  tcase_add_test (t, a_change_that_a_peer_has_read_is_overdue_at_intervals);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
