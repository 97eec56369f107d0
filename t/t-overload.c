/*
 * The load of a heavy day, played over the decisions alone: four gateways
 * before a group of 16 ranks in lock step, an outage of two seconds, and
 * what callers get afterwards.
 */
#include "gateway/balancer.h"
#include "gateway/pace.h"
#include "gateway/wait-queue.h"
#include "harness.h"
#include "target-harness.h"

#include <stdlib.h>
#include <string.h>

#define GATEWAYS 4
#define RANKS 16
#define SLOTS 12
#define EVENTS 24
#define STEP_MS 4.55
#define PER_SEQ_MS 0.905
#define STRIDE 4
/** A pass against one at even load: the map's skew of 1.25, on the part of
 * the work that experts do. */
#define SKEW_TIMES 1.21
/** Reading a prompt holds up the pass of its rank, and so of all: its part
 * of a rank's work, spread over the ranks. */
#define READ_MS 1.2
#define AIM_MS 500
#define GAP_AIM_MS 120
#define PATIENCE_MS 2000
#define LEFT_MS 8000
/** Nine tenths of what full batches bear: a backlog goes down slowly. */
#define PER_S 92
#define SECONDS 26
#define OUTAGE_FROM 5000
#define OUTAGE_TO 7000

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
  int rank;
  gboolean begun; /* it has one of the rank's slots */
} Stream;

typedef struct
{
  CfTargetTable table;
  CfWaitQueue queue;
  CfPace pace;
} Gateway;

/* By second of arrival. */
typedef struct
{
  int asked[SECONDS];
  int in_time[SECONDS];
  int late[SECONDS];
  int refused[SECONDS];
} Tally;

static Gateway gws[GATEWAYS];
static GPtrArray *running; /* of Stream: at a rank, begun or not */
static int writing[RANKS]; /* of them, those that are begun */
static Tally tally;
static gboolean with_yielding;

static void
setup (void)
{
  for (int g = 0; g < GATEWAYS; g++)
    {
      cf_target_table_init (&gws[g].table);
      cf_wait_queue_init (&gws[g].queue);
      gws[g].pace = (CfPace){ 0 };
      t_put_row (&gws[g].table, RANKS, SLOTS);
    }
  running = g_ptr_array_new_with_free_func (g_free);
  memset (&tally, 0, sizeof tally);
  memset (writing, 0, sizeof writing);
}

static void
teardown (void)
{
  for (int g = 0; g < GATEWAYS; g++)
    cf_target_table_clear (&gws[g].table);
  g_ptr_array_free (running, TRUE);
}

static gboolean
is_out (gint64 now)
{
  return now >= OUTAGE_FROM && now < OUTAGE_TO;
}

static gboolean
send_to_target (Gateway *g, Stream *s, gint64 now)
{
  CfPickInput in = { .service = "s", .now_ms = now, .fleet = GATEWAYS };

  if (is_out (now))
    return FALSE;
  in.yields
      = with_yielding
        && cf_waiter_yields (&s->waiter, now, g->pace.pause_ms, GAP_AIM_MS);
  if (cf_balancer_pick (&g->table, &in, &s->target) != CF_PICK_OK)
    return FALSE;
  cf_target_work_begun (s->target, now);
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

static void
refuse (Stream *s)
{
  tally.refused[second_of (s)]++;
  g_free (s);
}

static void
arrive (Gateway *g, gint64 now)
{
  Stream *s = g_new0 (Stream, 1);
  CfWaiter *evicted;
  gint64 first = cf_pace_first_ms (&g->pace, NULL, &(CfStreamSize){ 0 });

  s->waiter.owner = s;
  s->start_ms = now;
  tally.asked[second_of (s)]++;
  if (!is_out (now) && !g->queue.n && send_to_target (g, s, now))
    return;
  s->waiter.since_ms = now;
  s->waiter.in_time_ms = now + AIM_MS - (first ? first : AIM_MS * 4 / 10);
  if (!cf_wait_queue_add (&g->queue, &s->waiter, RANKS * SLOTS, &evicted))
    refuse (s);
  if (evicted)
    refuse (evicted->owner);
}

static void
serve_waiters (Gateway *g, gint64 now)
{
  CfWaiter *w;
  CfWaiter *next;

  while ((w = cf_wait_queue_first (&g->queue, now)))
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
      refuse (w->owner);
    }
}

static void
end_stream (Stream *s)
{
  gboolean in_time = s->first_ms <= AIM_MS && s->longest_ms <= GAP_AIM_MS;

  if (in_time)
    tally.in_time[second_of (s)]++;
  else
    tally.late[second_of (s)]++;
  cf_target_work_ended (s->target);
  writing[s->rank]--;
}

/* Gives free slots to those that wait at the ranks; the fullest rank. */
static int
begin_streams (void)
{
  int most = 0;

  for (guint i = 0; i < running->len; i++)
    {
      Stream *s = running->pdata[i];

      if (!s->begun && writing[s->rank] < SLOTS)
        {
          s->begun = TRUE;
          writing[s->rank]++;
        }
      most = MAX (most, writing[s->rank]);
    }
  return most;
}

/* One pass of the group: every running stream writes an event at its end. */
static gint64
pass (gint64 now, int read)
{
  int n = begin_streams ();
  gint64 end = now
               + (gint64)(STRIDE * (STEP_MS + PER_SEQ_MS * n) * SKEW_TIMES
                          + READ_MS * read);

  for (guint i = 0; i < running->len;)
    {
      Stream *s = running->pdata[i];

      if (!s->begun)
        {
          i++;
          continue;
        }
      if (s->events++ == 0)
        {
          s->first_ms = end - s->start_ms;
          cf_pace_first (&gws[i % GATEWAYS].pace, end - s->sent_ms);
        }
      else
        {
          s->longest_ms = MAX (s->longest_ms, end - s->last_ms);
          cf_pace_event (&gws[i % GATEWAYS].pace, end, end - s->last_ms);
        }
      s->last_ms = end;
      if (s->events < EVENTS)
        {
          i++;
          continue;
        }
      end_stream (s);
      g_ptr_array_remove_index (running, i);
    }
  return end;
}

/* Arrivals at @per_s over all gateways until the end, then passes on. */
static void
play (int per_s)
{
  GRand *rand = g_rand_new_with_seed (7);
  gint64 pass_ends = 0;
  int read = 0;

  for (gint64 now = 0; now < SECONDS * 1000; now++)
    {
      if (g_rand_double (rand) < per_s / 1000.0)
        {
          arrive (&gws[g_rand_int_range (rand, 0, GATEWAYS)], now);
          read++;
        }
      if (now % 50 == 0)
        for (int g = 0; g < GATEWAYS; g++)
          serve_waiters (&gws[g], now);
      if (now < pass_ends || running->len == 0)
        continue;
      pass_ends = pass (now, read);
      read = 0;
      for (int g = 0; g < GATEWAYS; g++)
        serve_waiters (&gws[g], now);
    }
  g_rand_free (rand);
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

/* Before an outage of two seconds all are in time.  From 3 to 13 s after it,
 * with the backlog served in full batches, a third of those that come are in
 * time (0.33); with those that are late already leaving room two thirds are
 * (0.68). */
START_TEST (a_backlog_does_not_make_all_late)
{
  double before;
  double after;

  with_yielding = FALSE;
  play (PER_S);
  before = part (tally.in_time, 10, 20);
  teardown ();
  setup ();
  with_yielding = TRUE;
  play (PER_S);
  after = part (tally.in_time, 10, 20);
  ck_assert_double_gt (part (tally.in_time, 1, 4), 0.9);
  ck_assert_double_lt (before, 0.45);
  ck_assert_double_gt (after, 0.6);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("overload");
  TCase *tc = tcase_create ("core");

  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_set_timeout (tc, 60);
  tcase_add_test (tc, a_backlog_does_not_make_all_late);
  suite_add_tcase (s, tc);
  return t_run (s);
}
