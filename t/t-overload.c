/*
 * Outages and bursts, played over the decisions alone: gateways before a group
 * of ranks that make each pass together, and what callers get afterwards.
 */
#include "gateway/balancer.h"
#include "gateway/concurrency-limit.h"
#include "gateway/pace.h"
#include "gateway/wait-queue.h"
#include "harness.h"
#include "target-harness.h"

#include <stdlib.h>
#include <string.h>

#define GATEWAYS_MAX 35
#define RANKS_MAX 192
#define SECONDS 26
#define OUTAGE_FROM 5000
#define BURST_FROM 5000
#define PATIENCE_MS 2400
#define LEFT_MS 8000
/* Of what full batches bear, the usual peak of the users' deployments. */
#define PEAK_PART 0.83
#define RECOVERY_S 3

/* What is played: a fleet before a rank group, and its callers. */
typedef struct
{
  int gateways;
  int ranks;
  int slots;
  int events;
  double step_ms;
  double per_seq_ms;
  int stride;
  double skew_times; /* a pass against one at even load: the map's skew, on the
                        part of the work that experts do */
  double read_ms;    /* what reading a prompt adds to a pass of all: its part of
                        a rank's work, spread over the ranks */
  gint64 aim_ms;
  gint64 gap_aim_ms;
  double per_s;
  gint64 outage_to; /* from OUTAGE_FROM on */
  double spread;    /* of a pass, the part that all ranks share evenly */
  double burst;     /* times the traffic from BURST_FROM on; 0: no burst */
  gint64 burst_to;
  gboolean callers_leave;  /* after PATIENCE_MS without an event */
  gboolean callers_return; /* once, if refused */
} Load;

/* Engines of 12, 10 and 6 slots, with the objectives of their streams. */
#define SLOTS_12                                                               \
  .slots = 12, .events = 24, .step_ms = 4.55, .per_seq_ms = 0.905,             \
  .stride = 4, .skew_times = 1.21, .aim_ms = 500, .gap_aim_ms = 120
#define SLOTS_10                                                               \
  .slots = 10, .events = 19, .step_ms = 4.55, .per_seq_ms = 1.09, .stride = 5, \
  .skew_times = 1.25, .aim_ms = 500, .gap_aim_ms = 150, .spread = 0.85
#define SLOTS_6                                                                \
  .slots = 6, .events = 15, .step_ms = 4.55, .per_seq_ms = 1.99, .stride = 6,  \
  .skew_times = 1.25, .aim_ms = 600, .gap_aim_ms = 200, .spread = 0.85

/* Nine tenths of what full batches bear: a backlog goes down slowly. */
static const Load small = { SLOTS_12,       .gateways = 4, .ranks = 16,
                            .read_ms = 1.2, .per_s = 92,   .outage_to = 7000 };

/* The same with more gateways than a target has slots. */
static const Load large = { SLOTS_6,        .gateways = 35, .ranks = 192,
                            .read_ms = 0.1, .per_s = 500,   .outage_to = 9000 };

typedef struct
{
  CfWaiter waiter;
  gint64 start_ms;
  gint64 sent_ms;
  gint64 last_ms; /* of its last event */
  gint64 longest_ms;
  gint64 first_ms;
  int events;
  CfTarget *target;
  struct Gateway *gateway;
  int rank;
  gboolean begun;    /* it has one of the rank's slots */
  gboolean returned; /* it was refused once, and is late for sure */
  gint64 returns_ms;
} Stream;

typedef struct Gateway
{
  CfTargetTable table;
  CfWaitQueue queue;
  CfPace pace;
  CfConcurrencyLimit limit;
  double ring_start;
  guint in_flight;
} Gateway;

/* By second of arrival. */
typedef struct
{
  int asked[SECONDS];
  int in_time[SECONDS];
  int late[SECONDS];
  int refused[SECONDS];
} Tally;

static const Load *load;
static Gateway gws[GATEWAYS_MAX];
static GPtrArray *running;     /* of Stream: at a rank, begun or not */
static GPtrArray *away;        /* of Stream: refused, coming back */
static int writing[RANKS_MAX]; /* of them, those that are begun */
static Tally tally;
static gboolean with_yielding;
static gboolean with_random_turns;
static gboolean with_limit;
static gboolean with_ring;

static void
begin (const Load *l)
{
  load = l;
  for (int g = 0; g < load->gateways; g++)
    {
      cf_target_table_init (&gws[g].table);
      cf_wait_queue_init (&gws[g].queue);
      gws[g].pace = (CfPace){ 0 };
      gws[g].limit = (CfConcurrencyLimit){ 0 };
      gws[g].ring_start = (double)g / load->gateways;
      gws[g].in_flight = 0;
      if (!with_random_turns)
        gws[g].table.turn = 0;
      t_put_row (&gws[g].table, load->ranks, load->slots);
    }
  running = g_ptr_array_new_with_free_func (g_free);
  away = g_ptr_array_new_with_free_func (g_free);
  memset (&tally, 0, sizeof tally);
  memset (writing, 0, sizeof writing);
}

static void
end (void)
{
  for (int g = 0; g < load->gateways; g++)
    cf_target_table_clear (&gws[g].table);
  g_ptr_array_free (running, TRUE);
  g_ptr_array_free (away, TRUE);
}

static gboolean
is_out (gint64 now)
{
  return now >= OUTAGE_FROM && now < load->outage_to;
}

static gboolean
send_to_target (Gateway *g, Stream *s, gint64 now)
{
  CfPickInput in = { .service = "s", .now_ms = now };

  if (is_out (now))
    return FALSE;
  in.fleet = load->gateways;
  in.in_flight = g->in_flight;
  in.limit = cf_concurrency_limit_get (&g->limit);
  in.ring_start = with_ring ? &g->ring_start : NULL;
  in.yields = with_yielding
              && cf_waiter_yields (&s->waiter, now, g->pace.pause_ms,
                                   load->gap_aim_ms);
  if (cf_balancer_pick (&g->table, &in, &s->target) != CF_PICK_OK)
    return FALSE;
  cf_target_work_begun (s->target, now);
  s->gateway = g;
  g->in_flight++;
  s->rank = atoi (s->target->record.id + 1);
  s->sent_ms = now;
  g_ptr_array_add (running, s);
  return TRUE;
}

static int
second_of (const Stream *s)
{
  return (int)(s->start_ms / 1000);
}

static gboolean
is_overloaded (const Gateway *g)
{
  return cf_concurrency_limit_get (&g->limit) != 0;
}

static void
refuse (Stream *s, gint64 now)
{
  gint64 busy_ms = cf_wait_busy_ms (
      is_overloaded (s->gateway) ? CF_NO_ROOM_OVERLOAD : CF_NO_ROOM_FULL);
  gint64 retry_ms = cf_retry_after_ms (s->start_ms + LEFT_MS - now, busy_ms,
                                       g_random_int ());

  if (!load->callers_return || s->returned)
    {
      tally.refused[second_of (s)]++;
      g_free (s);
      return;
    }
  s->returned = TRUE;
  s->returns_ms = now + retry_ms;
  g_ptr_array_add (away, s);
}

/* Gateways cannot tell a request that returns from a new one. */
static void
arrive (Gateway *g, Stream *s, gint64 now)
{
  CfWaiter *evicted;
  gint64 first = cf_pace_first_ms (&g->pace, NULL, &(CfStreamSize){ 0 });

  s->waiter.owner = s;
  s->gateway = g;
  if (!s->returned)
    {
      s->start_ms = now;
      tally.asked[second_of (s)]++;
    }
  if (!is_out (now) && !g->queue.n && send_to_target (g, s, now))
    return;
  s->waiter.since_ms = now;
  s->waiter.in_time_ms = cf_waiter_in_time_ms (now, load->aim_ms, first);
  if (!cf_wait_queue_add (&g->queue, &s->waiter,
                          (guint)(load->ranks * load->slots), &evicted))
    refuse (s, now);
  if (evicted)
    refuse (evicted->owner, now);
}

static void
serve_waiters (Gateway *g, gint64 now)
{
  CfWaiter *w;
  CfWaiter *next;

  while ((w = cf_wait_queue_first (&g->queue, now, is_overloaded (g))))
    {
      Stream *s = w->owner;

      if (!send_to_target (g, s, now))
        break;
      cf_wait_queue_remove (&g->queue, w);
    }
  for (w = TAILQ_FIRST (&g->queue.waiters); w; w = next)
    {
      next = TAILQ_NEXT (w, link);
      if (now - w->since_ms <= cf_wait_limit_ms (PATIENCE_MS, LEFT_MS))
        continue;
      cf_wait_queue_remove (&g->queue, w);
      refuse (w->owner, now);
    }
}

static void
end_stream (Stream *s)
{
  gboolean in_time = !s->returned && s->first_ms <= load->aim_ms
                     && s->longest_ms <= load->gap_aim_ms;

  if (in_time)
    tally.in_time[second_of (s)]++;
  else
    tally.late[second_of (s)]++;
  cf_target_work_ended (s->target);
  s->gateway->in_flight--;
  writing[s->rank]--;
}

/* Gives free slots to those that wait at the ranks; how many a rank writes, as
 * far as a pass goes by the fullest one and by the mean. */
static double
begin_streams (void)
{
  int most = 0;
  int sum = 0;

  for (guint i = 0; i < running->len; i++)
    {
      Stream *s = running->pdata[i];

      if (!s->begun && writing[s->rank] < load->slots)
        {
          s->begun = TRUE;
          writing[s->rank]++;
        }
      most = MAX (most, writing[s->rank]);
    }
  for (int r = 0; r < load->ranks; r++)
    sum += writing[r];
  return load->spread * sum / load->ranks + (1 - load->spread) * most;
}

/* Its caller gave it up before its first event. */
static void
leave (Stream *s)
{
  tally.late[second_of (s)]++;
  cf_target_work_ended (s->target);
  s->gateway->in_flight--;
}

static void
sample_limit (Stream *s, gint64 now)
{
  Gateway *g = s->gateway;
  CfFirstEvent e = { .now_ms = now, .sent_ms = s->sent_ms };

  e.unqueued_ms = cf_pace_unqueued_ms (&g->pace, NULL, &(CfStreamSize){ 0 });
  e.aim_ms = load->aim_ms;
  e.in_flight = g->in_flight;
  e.fair_share = (double)load->ranks * load->slots / load->gateways;
  cf_concurrency_limit_sample (&g->limit, &e);
}

/* One pass of the group: every running stream writes an event at its end. */
static gint64
pass (gint64 now, int read)
{
  double n = begin_streams ();
  gint64 end = now
               + (gint64)(load->stride * (load->step_ms + load->per_seq_ms * n)
                              * load->skew_times
                          + load->read_ms * read);

  for (guint i = 0; i < running->len;)
    {
      Stream *s = running->pdata[i];

      if (!s->begun && load->callers_leave && end - s->start_ms > PATIENCE_MS)
        {
          leave (s);
          g_ptr_array_remove_index (running, i);
          continue;
        }
      if (!s->begun)
        {
          i++;
          continue;
        }
      if (s->events++ == 0)
        {
          s->first_ms = end - s->start_ms;
          cf_pace_first (&s->gateway->pace, end - s->sent_ms);
          if (with_limit)
            sample_limit (s, end);
        }
      else
        {
          s->longest_ms = MAX (s->longest_ms, end - s->last_ms);
          cf_pace_event (&s->gateway->pace, end, end - s->last_ms);
        }
      s->last_ms = end;
      if (s->events < load->events)
        {
          i++;
          continue;
        }
      end_stream (s);
      g_ptr_array_remove_index (running, i);
    }
  return end;
}

static double
rate_at (gint64 now)
{
  gboolean burst = load->burst > 0 && now >= BURST_FROM && now < load->burst_to;

  return load->per_s * (burst ? load->burst : 1);
}

static void
return_callers (GRand *rand, gint64 now)
{
  for (guint i = 0; i < away->len;)
    {
      Stream *s = away->pdata[i];

      if (s->returns_ms > now)
        {
          i++;
          continue;
        }
      g_ptr_array_steal_index (away, i);
      arrive (&gws[g_rand_int_range (rand, 0, load->gateways)], s, now);
    }
}

/* Arrivals over all gateways until the end, then passes on. */
static void
play (const Load *l)
{
  GRand *rand = g_rand_new_with_seed (7);
  gint64 pass_ends = 0;
  int read = 0;

  begin (l);
  for (gint64 now = 0; now < SECONDS * 1000; now++)
    {
      if (g_rand_double (rand) < rate_at (now) / 1000.0)
        {
          arrive (&gws[g_rand_int_range (rand, 0, load->gateways)],
                  g_new0 (Stream, 1), now);
          read++;
        }
      return_callers (rand, now);
      if (now % 50 == 0)
        for (int g = 0; g < load->gateways; g++)
          serve_waiters (&gws[g], now);
      if (now < pass_ends || running->len == 0)
        continue;
      pass_ends = pass (now, read);
      read = 0;
      for (int g = 0; g < load->gateways; g++)
        serve_waiters (&gws[g], now);
    }
  g_rand_free (rand);
  end ();
}

static double
part (const int *what, int from, int to)
{
  int n = 0;
  int of = 0;

  for (int i = from; i < to; i++)
    {
      n += what[i];
      of += tally.asked[i];
    }
  return (double)n / of;
}

/* Late requests of a backlog that fill every batch make later ones late. */
START_TEST (a_backlog_does_not_make_all_late)
{
  double before;
  double after;

  with_random_turns = FALSE;
  with_yielding = FALSE;
  play (&small);
  before = part (tally.in_time, 10, 20);
  with_yielding = TRUE;
  play (&small);
  after = part (tally.in_time, 10, 20);
  ck_assert_double_gt (part (tally.in_time, 1, 4), 0.9);
  ck_assert_double_lt (before, 0.45);
  ck_assert_double_gt (after, 0.6);
}
END_TEST

/* Gateways that take targets in turn from the same one on move in step. */
START_TEST (a_large_fleet_does_not_crowd_the_same_targets)
{
  double before;

  with_yielding = TRUE;
  with_random_turns = FALSE;
  play (&large);
  before = part (tally.in_time, 1, 4);
  g_random_set_seed (7);
  with_random_turns = TRUE;
  play (&large);
  ck_assert_double_lt (before, 0.4);
  ck_assert_double_gt (part (tally.in_time, 1, 4), 0.9);
}
END_TEST

/* Where a gateway's part of one target's slots is a single request. */
START_TEST (late_ones_leave_room_in_a_large_fleet)
{
  double before;

  with_random_turns = TRUE;
  with_yielding = FALSE;
  g_random_set_seed (7);
  play (&large);
  before = part (tally.in_time, 10, 20);
  with_yielding = TRUE;
  g_random_set_seed (7);
  play (&large);
  ck_assert_double_gt (part (tally.in_time, 10, 20), before + 0.02);
}
END_TEST

/* Fleets of one shape each; rates are set by the cases. */
static const Load fleets[] = {
  { SLOTS_12, .gateways = 3, .ranks = 8, .read_ms = 2.4 },
  { SLOTS_12, .gateways = 4, .ranks = 16, .read_ms = 1.2 },
  { SLOTS_10, .gateways = 12, .ranks = 72, .read_ms = 0.2 },
  { SLOTS_10, .gateways = 16, .ranks = 72, .read_ms = 0.2 },
  { SLOTS_6, .gateways = 35, .ranks = 192, .read_ms = 0.1 },
};

/* Streams a second that full batches bear. */
static double
capacity (const Load *l)
{
  double streams = (double)l->ranks * l->slots / l->events; /* a pass */
  double write
      = l->stride * (l->step_ms + l->per_seq_ms * l->slots) * l->skew_times;

  return 1000 * streams / (write + l->read_ms * streams);
}

/* With all mechanisms on; the same arrivals each time. */
static void
play_as_released (const Load *l)
{
  g_random_set_seed (7);
  with_limit = TRUE;
  with_ring = TRUE;
  with_yielding = TRUE;
  with_random_turns = TRUE;
  play (l);
}

static double
in_time_after_burst (const Load *of, double peaks, double times, gint64 for_ms)
{
  Load l = *of;

  l.per_s = capacity (of) * PEAK_PART * peaks;
  l.burst = times;
  l.burst_to = BURST_FROM + for_ms;
  l.callers_leave = TRUE;
  l.callers_return = TRUE;
  play_as_released (&l);
  return part (tally.in_time, (int)(l.burst_to / 1000) + RECOVERY_S,
               SECONDS - 3);
}

static void
check_bursts (const Load *l, double peaks)
{
  static const struct
  {
    double times;
    gint64 for_ms;
  } bursts[] = { { 1.5, 2000 }, { 1.5, 5000 }, { 2, 2000 }, { 2, 5000 } };

  for (guint i = 0; i < G_N_ELEMENTS (bursts); i++)
    {
      double in_time
          = in_time_after_burst (l, peaks, bursts[i].times, bursts[i].for_ms);

      ck_assert_msg (in_time >= 0.9,
                     "%d gateways, %.1f times for %" G_GINT64_FORMAT
                     " ms at %.1f of the peak: %.2f in time",
                     l->gateways, bursts[i].times, bursts[i].for_ms, peaks,
                     in_time);
    }
}

START_TEST (overload_ends_within_3_s_of_its_burst)
{
  check_bursts (&fleets[_i], 0.9);
  check_bursts (&fleets[_i], 1.0);
}
END_TEST

START_TEST (overload_above_the_usual_peak_ends_within_3_s)
{
  check_bursts (&fleets[_i], 1.1);
}
END_TEST

/* Streams in time a second. */
static double
goodput (const Load *of, double per_s)
{
  Load l = *of;

  l.per_s = per_s;
  l.callers_leave = TRUE;
  play_as_released (&l);
  return part (tally.in_time, 8, SECONDS - 3) * per_s;
}

START_TEST (goodput_at_twice_the_knee_is_that_at_the_knee)
{
  const Load *l = &fleets[_i];
  double knee = 0;
  double knee_per_s = 0;
  double twice;

  for (int percent = 60; percent <= 100; percent += 5)
    {
      double per_s = capacity (l) * percent / 100;
      double good = goodput (l, per_s);

      if (good <= knee)
        continue;
      knee = good;
      knee_per_s = per_s;
    }
  twice = goodput (l, 2 * knee_per_s);
  ck_assert_msg (twice >= 0.9 * knee, "%d gateways: %.0f/s in time, %.0f/s",
                 l->gateways, knee, twice);
}
END_TEST

static void
add_fleets (Suite *s, const char *name, const TTest *test)
{
  TCase *tc = tcase_create (name);

  tcase_set_tags (tc, name);
  tcase_set_timeout (tc, 60);
  tcase_add_loop_test (tc, test, 0, G_N_ELEMENTS (fleets));
  suite_add_tcase (s, tc);
}

int
main (void)
{
  Suite *s = suite_create ("overload");
  TCase *tc = tcase_create ("core");

  tcase_set_timeout (tc, 60);
  tcase_add_test (tc, a_backlog_does_not_make_all_late);
  tcase_add_test (tc, a_large_fleet_does_not_crowd_the_same_targets);
  tcase_add_test (tc, late_ones_leave_room_in_a_large_fleet);
  suite_add_tcase (s, tc);
  add_fleets (s, "burst", overload_ends_within_3_s_of_its_burst);
  add_fleets (s, "burst-above-peak",
              overload_above_the_usual_peak_ends_within_3_s);
  add_fleets (s, "twice-the-knee",
              goodput_at_twice_the_knee_is_that_at_the_knee);
  return t_run_suite (s);
}
