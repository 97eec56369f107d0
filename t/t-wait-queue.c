/*
 * The order in which requests wait for room, played without a network: a
 * group loses power, and callers come back while its backlog is worked off.
 */
#include "gateway/outage.h"
#include "gateway/wait-queue.h"
#include "harness.h"

#include <string.h>

#define SLOTS 720
#define WAITERS_MAX 10000
#define PER_S 280
/** Callers choose their own time limits. */
#define DEADLINE_LEAST_MS 5000
#define DEADLINE_MOST_MS 8000
#define AIM_MS 500
#define PATIENCE_MS 2000
#define PASS_MS 100
#define GAP_AIM_MS 150
#define FIRST_MS 250
#define USUAL_EVENTS 19
#define STEP_MS 10
/** When the power goes, callers reach gateways again, the group opens, and the
 * play ends. */
#define LOST_MS 4000
#define BACK_MS 5100
#define OPEN_MS 6250
#define END_MS 16000
/** Of all slots, what late requests may fill while room is left. */
#define LATE_PART 0.75

typedef enum
{
  WAITING,
  RUNNING,
  AWAY, /* refused, and comes back */
  SERVED,
  LOST,
} Fate;

typedef struct
{
  CfWaiter w;
  Fate fate;
  gint64 start_ms;
  gint64 due_ms; /* when it comes, came back, or is whole */
  gint64 deadline_ms;
  gboolean returned;
  gboolean in_time;
  int whole_ms;
} Request;

typedef struct
{
  gboolean by_deadline;
  gboolean leaves_room; /* also just after the outage */
} Way;

typedef struct
{
  guint all;
  guint lost;
  guint in_time;
} Tally;

typedef struct
{
  Way way;
  CfWaitQueue queue;
  CfOutage outage;
  GPtrArray *requests;
  GRand *rand;
  gint64 now;
  guint running;
} Play;

static void
ask (Play *p, Request *r)
{
  CfWaiter *evicted;
  gint64 usual_ms = FIRST_MS + USUAL_EVENTS * PASS_MS;

  r->fate = WAITING;
  r->start_ms = p->now;
  r->w.owner = r;
  r->w.since_ms = p->now;
  r->w.in_time_ms = cf_waiter_in_time_ms (p->now, AIM_MS, FIRST_MS);
  r->w.whole_by_ms = p->way.by_deadline ? r->deadline_ms - usual_ms : 0;
  r->due_ms = p->now + cf_wait_limit_ms (PATIENCE_MS, r->deadline_ms - p->now);
  if (!cf_wait_queue_add (&p->queue, &r->w, WAITERS_MAX, &evicted))
    r->due_ms = p->now;
}

static void
refuse (Play *p, Request *r)
{
  gint64 left = r->deadline_ms - p->now;

  cf_wait_queue_remove (&p->queue, &r->w);
  r->fate = r->returned ? LOST : AWAY;
  r->returned = TRUE;
  r->due_ms = p->now
              + cf_retry_after_ms (left,
                                   cf_wait_busy_ms (p->outage.since_ms != 0
                                                        ? CF_NO_ROOM_OUTAGE
                                                        : CF_NO_ROOM_FULL),
                                   g_rand_int (p->rand));
}

static void
come (Play *p)
{
  Request *r = g_new0 (Request, 1);

  r->deadline_ms
      = p->now
        + g_rand_int_range (p->rand, DEADLINE_LEAST_MS, DEADLINE_MOST_MS);
  r->whole_ms = FIRST_MS + PASS_MS * g_rand_int_range (p->rand, 4, 35);
  g_ptr_array_add (p->requests, r);
  ask (p, r);
}

static void
come_in_a_step (Play *p)
{
  double n = PER_S * STEP_MS / 1000.0;

  for (; n > 0; n--)
    if (n >= 1 || g_rand_double (p->rand) < n)
      come (p);
}

/* What ran is cut; its callers notice that no event comes, and come back. */
static void
lose_power (Play *p)
{
  for (guint i = 0; i < p->requests->len; i++)
    {
      Request *r = p->requests->pdata[i];

      if (r->fate != RUNNING)
        continue;
      r->fate = AWAY;
      r->returned = TRUE;
      r->in_time = FALSE;
      r->due_ms = p->now + PATIENCE_MS;
    }
  p->running = 0;
  cf_outage_refused (&p->outage, p->now);
}

static void
serve (Play *p)
{
  CfWaiter *w;

  while (p->running < SLOTS
         && (w = cf_wait_queue_first (&p->queue, p->now, FALSE)))
    {
      gboolean room
          = !p->way.leaves_room && cf_outage_is_recent (&p->outage, p->now);
      Request *r = w->owner;

      if (!room && cf_waiter_yields (w, p->now, PASS_MS, GAP_AIM_MS)
          && p->running >= SLOTS * LATE_PART)
        return;
      cf_wait_queue_remove (&p->queue, w);
      r->fate = RUNNING;
      r->in_time = !r->returned && p->now <= w->in_time_ms;
      r->due_ms = p->now + r->whole_ms;
      p->running++;
    }
}

static void
turn (Play *p)
{
  for (guint i = 0; i < p->requests->len; i++)
    {
      Request *r = p->requests->pdata[i];

      if (p->now < r->due_ms || r->fate == SERVED || r->fate == LOST)
        continue;
      if (r->fate == WAITING)
        refuse (p, r);
      else if (r->fate == AWAY)
        ask (p, r);
      else
        {
          p->running--;
          r->fate = p->now <= r->deadline_ms ? SERVED : LOST;
        }
    }
}

static Tally
play (Way way, guint32 seed)
{
  Play p = { .way = way };
  Tally t = { 0 };

  cf_wait_queue_init (&p.queue);
  p.requests = g_ptr_array_new_with_free_func (g_free);
  p.rand = g_rand_new_with_seed (seed);
  for (p.now = 0; p.now < END_MS; p.now += STEP_MS)
    {
      if (p.now < LOST_MS || p.now >= BACK_MS)
        come_in_a_step (&p);
      if (p.now == LOST_MS)
        lose_power (&p);
      if (p.now == OPEN_MS)
        cf_outage_answered (&p.outage, p.now);
      turn (&p);
      if (p.now < LOST_MS || p.now >= OPEN_MS)
        serve (&p);
    }
  for (guint i = 0; i < p.requests->len; i++)
    {
      const Request *r = p.requests->pdata[i];

      t.all++;
      t.lost += r->fate == LOST;
      t.in_time += r->fate == SERVED && r->in_time;
    }
  g_rand_free (p.rand);
  g_ptr_array_unref (p.requests);
  return t;
}

/* After a loss of power requests were refused for the last time, while slots
 * were left free and others, with time to come back, were served. */
START_TEST (fewer_are_lost_after_an_outage_than_by_arrival)
{
  for (guint32 seed = 1; seed <= 5; seed++)
    {
      Tally before = play ((Way){ FALSE, TRUE }, seed);
      Tally now = play ((Way){ TRUE, FALSE }, seed);

      if (g_getenv ("T_TRACE"))
        g_printerr ("seed %u: of %u lost %u, %u; in time %u, %u\n", seed,
                    now.all, before.lost, now.lost, before.in_time,
                    now.in_time);
      ck_assert_uint_lt (now.lost, before.lost);
      ck_assert_uint_ge (now.in_time * 100, before.in_time * 95);
    }
}
END_TEST

START_TEST (of_the_late_the_shortest_of_time_goes_first)
{
  CfWaitQueue q;
  CfWaiter *evicted;
  CfWaiter hopeless = { .priority = 1, .whole_by_ms = 50 };
  CfWaiter old = { .priority = 1, .whole_by_ms = 900 };
  CfWaiter last = { .priority = 1, .whole_by_ms = 300 };
  CfWaiter low = { .priority = 2, .whole_by_ms = 200 };

  cf_wait_queue_init (&q);
  cf_wait_queue_add (&q, &hopeless, 9, &evicted);
  cf_wait_queue_add (&q, &old, 9, &evicted);
  cf_wait_queue_add (&q, &last, 9, &evicted);
  cf_wait_queue_add (&q, &low, 9, &evicted);
  ck_assert_ptr_eq (cf_wait_queue_first (&q, 100, FALSE), &last);
  cf_wait_queue_remove (&q, &last);
  ck_assert_ptr_eq (cf_wait_queue_first (&q, 100, FALSE), &old);
  cf_wait_queue_remove (&q, &old);
  ck_assert_ptr_eq (cf_wait_queue_first (&q, 100, FALSE), &low);
  /* None can be whole any more: as they came. */
  ck_assert_ptr_eq (cf_wait_queue_first (&q, 1000, FALSE), &hopeless);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("wait-queue");
  TCase *t = tcase_create ("wait-queue");

  tcase_add_test (t, fewer_are_lost_after_an_outage_than_by_arrival);
  tcase_add_test (t, of_the_late_the_shortest_of_time_goes_first);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
