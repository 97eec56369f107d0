/*
 * Simulates the choice of targets under heavy load: two groups of eight ranks
 * in lock step, one of which stalls for four seconds because a VM freezes while
 * the group's expert map is changed.
 */
#include "gateway/balancer.h"
#include "harness.h"
#include "target-harness.h"

#include <stdlib.h>
#include <string.h>

#define N_GROUPS 2
#define N_RANKS 8
#define N_TARGETS (N_GROUPS * N_RANKS)
#define SLOTS 12
#define N_EVENTS 24
#define PASS_MS 60
#define OBJECTIVE_MS 400
#define GAP_OBJECTIVE_MS 120
#define CALLER_TIMEOUT_MS 2000
/** Half of both groups' capacity: one group could serve nearly all of it. */
#define ARRIVALS_PER_S 60
#define DURATION_S 12
#define STALL_START_MS 3000
#define STALL_END_MS 7000
#define STALL_TIMEOUT_MS 300

typedef struct
{
  gint64 start_ms;
  gint64 last_ms; /* of its last event, or of its arrival */
  gint64 first_ms;
  gint64 longest_ms; /* longest pause between two events */
  int events;
  CfTarget *target;
  int group;
} Stream;

static CfTargetTable table;
static GPtrArray *running;
static int n_arrived;
static int n_on_time;

static void
setup (void)
{
  cf_target_table_init (&table);
  t_put_targets (&table, N_TARGETS, SLOTS);
  running = g_ptr_array_new_with_free_func (g_free);
  n_arrived = n_on_time = 0;
}

static void
teardown (void)
{
  g_ptr_array_free (running, TRUE);
  cf_target_table_clear (&table);
}

/* Whether @s is counted: it arrived during the stall, and at least OBJECTIVE_MS
 * after it began. */
static gboolean
is_counted (const Stream *s)
{
  return s->start_ms >= STALL_START_MS + OBJECTIVE_MS
         && s->start_ms < STALL_END_MS;
}

static void
on_arrival (gint64 now, gint64 stall_timeout_ms)
{
  CfPickInput in = { .service = "s", .now_ms = now, .n_gateways = 1 };
  CfTarget *t;
  Stream *s;

  in.stall_timeout_ms = stall_timeout_ms;
  if (cf_balancer_pick (&table, &in, &t) != CF_PICK_OK)
    return;
  s = g_new0 (Stream, 1);
  s->start_ms = now;
  s->last_ms = now;
  s->target = t;
  s->group = atoi (t->record.id + 1) % N_GROUPS;
  cf_target_request_started (t, now);
  g_ptr_array_add (running, s);
  n_arrived += is_counted (s);
}

static void
write_event (Stream *s, gint64 now)
{
  if (s->events++ == 0)
    s->first_ms = now - s->start_ms;
  else
    s->longest_ms = MAX (s->longest_ms, now - s->last_ms);
  s->last_ms = now;
  cf_target_record_progress (s->target, now);
}

/* Returns whether @s has ended: it is complete, or its caller has left. */
static gboolean
run_stream_step (Stream *s, gint64 now)
{
  gboolean is_stalled
      = s->group == 0 && now >= STALL_START_MS && now < STALL_END_MS;

  if (!is_stalled)
    write_event (s, now);
  if (s->events == N_EVENTS)
    n_on_time += is_counted (s) && s->first_ms <= OBJECTIVE_MS
                 && s->longest_ms <= GAP_OBJECTIVE_MS;
  else if (now - s->last_ms < CALLER_TIMEOUT_MS)
    return FALSE;
  cf_target_request_ended (s->target, now);
  return TRUE;
}

static double
get_on_time_fraction (gint64 stall_timeout_ms)
{
  GRand *rand = g_rand_new_with_seed (7);

  for (gint64 now = 0; now < DURATION_S * 1000; now++)
    {
      if (g_rand_double (rand) < ARRIVALS_PER_S / 1000.0)
        on_arrival (now, stall_timeout_ms);
      for (guint i = 0; now % PASS_MS == 0 && i < running->len;)
        if (run_stream_step (running->pdata[i], now))
          g_ptr_array_remove_index (running, i);
        else
          i++;
    }
  g_rand_free (rand);
  return (double)n_on_time / n_arrived;
}

/* Without stall detection, 0.70 of the streams that arrive while one of two
 * groups is stalled are on time: the others go to the stalled group until it is
 * as loaded as the other one.  With stall detection 0.86 are on time: each
 * stalled target gets only one stream as a probe, whenever the caller of its
 * last one has left. */
START_TEST (requests_go_to_group_that_is_not_stalled)
{
  double before = get_on_time_fraction (0);
  double after;

  teardown ();
  setup ();
  after = get_on_time_fraction (STALL_TIMEOUT_MS);
  ck_assert_double_lt (before, 0.75);
  ck_assert_double_gt (after, 0.82);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("standstill");
  TCase *t = tcase_create ("standstill");

  tcase_add_checked_fixture (t, setup, teardown);
  tcase_add_test (t, requests_go_to_group_that_is_not_stalled);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
