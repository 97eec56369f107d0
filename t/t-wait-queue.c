/*
 * The order of requests in the wait queue, simulated without a network: a group
 * loses power, and callers retry while its backlog is worked off.
 */
#include "gateway/outage.h"
#include "gateway/wait-queue.h"
#include "harness.h"

#include <string.h>

#define N_SLOTS 720
#define MAX_WAITERS 10000
#define ARRIVALS_PER_S 280
/** Callers choose their own timeouts. */
#define MIN_DEADLINE_MS 5000
#define MAX_DEADLINE_MS 8000
#define OBJECTIVE_MS 500
#define FIRST_EVENT_TIMEOUT_MS 2000
#define PASS_MS 100
#define GAP_OBJECTIVE_MS 150
#define EXPECTED_FIRST_MS 250
#define TYPICAL_EVENTS 19
#define STEP_MS 10
/** When the power is lost, callers reach the gateways again, the group opens,
 * and the simulation ends. */
#define POWER_LOSS_MS 4000
#define ARRIVALS_RESUME_MS 5100
#define GROUP_OPEN_MS 6250
#define END_MS 16000
/** The fraction of all slots that yielding requests may fill. */
#define LATE_FRACTION 0.75

typedef enum
{
  WAITING,
  RUNNING,
  BACKING_OFF, /* refused, to be retried */
  SERVED,
  LOST,
} State;

typedef struct
{
  CfWaiter w;
  State state;
  gint64 start_ms;
  gint64 next_ms; /* of its next change of state */
  gint64 deadline_ms;
  gboolean is_retry;
  gboolean on_time;
  int duration_ms;
} Request;

/* How late waiters are ordered, and when they yield. */
typedef struct
{
  gboolean by_deadline;   /* by slack rather than by arrival */
  gboolean always_yields; /* also just after the outage */
} Policy;

typedef struct
{
  guint all;
  guint lost;
  guint on_time;
} Tally;

typedef struct
{
  Policy policy;
  CfWaitQueue queue;
  CfOutage outage;
  GPtrArray *requests;
  GRand *rand;
  gint64 now;
  guint running;
} Simulation;

static CfWaiter *
first_at (const CfWaitQueue *q, gint64 now_ms, gboolean overloaded)
{
  CfQueueContext c = { .now_ms = now_ms, .overloaded = overloaded };

  return cf_wait_queue_first (q, &c);
}

static void
queue_request (Simulation *sim, Request *r)
{
  CfWaiter *evicted;
  gint64 typical_ms = EXPECTED_FIRST_MS + TYPICAL_EVENTS * PASS_MS;

  r->state = WAITING;
  r->start_ms = sim->now;
  r->w.owner = r;
  r->w.since_ms = sim->now;
  r->w.objective_send_by_ms = cf_waiter_objective_send_by_ms (
      sim->now, OBJECTIVE_MS, EXPECTED_FIRST_MS);
  r->w.deadline_send_by_ms
      = sim->policy.by_deadline ? r->deadline_ms - typical_ms : 0;
  r->next_ms = sim->now
               + cf_wait_queue_max_wait_ms (FIRST_EVENT_TIMEOUT_MS,
                                            r->deadline_ms - sim->now);
  if (!cf_wait_queue_add (&sim->queue, &r->w, MAX_WAITERS, &evicted))
    r->next_ms = sim->now;
}

static void
refuse (Simulation *sim, Request *r)
{
  gint64 remaining_ms = r->deadline_ms - sim->now;

  cf_wait_queue_remove (&sim->queue, &r->w);
  r->state = r->is_retry ? LOST : BACKING_OFF;
  r->is_retry = TRUE;
  r->next_ms = sim->now
               + cf_retry_after_ms (
                   remaining_ms,
                   cf_wait_queue_backoff_ms (sim->outage.since_ms != 0
                                                 ? CF_NO_CAPACITY_OUTAGE
                                                 : CF_NO_CAPACITY_FULL),
                   g_rand_int (sim->rand));
}

static void
add_request (Simulation *sim)
{
  Request *r = g_new0 (Request, 1);

  r->deadline_ms
      = sim->now
        + g_rand_int_range (sim->rand, MIN_DEADLINE_MS, MAX_DEADLINE_MS);
  r->duration_ms
      = EXPECTED_FIRST_MS + PASS_MS * g_rand_int_range (sim->rand, 4, 35);
  g_ptr_array_add (sim->requests, r);
  queue_request (sim, r);
}

static void
add_arrivals (Simulation *sim)
{
  double n = ARRIVALS_PER_S * STEP_MS / 1000.0;

  for (; n > 0; n--)
    if (n >= 1 || g_rand_double (sim->rand) < n)
      add_request (sim);
}

/* Cuts off the running requests; their callers notice that no events come, and
 * retry. */
static void
lose_power (Simulation *sim)
{
  for (guint i = 0; i < sim->requests->len; i++)
    {
      Request *r = sim->requests->pdata[i];

      if (r->state != RUNNING)
        continue;
      r->state = BACKING_OFF;
      r->is_retry = TRUE;
      r->on_time = FALSE;
      r->next_ms = sim->now + FIRST_EVENT_TIMEOUT_MS;
    }
  sim->running = 0;
  cf_outage_record_refusal (&sim->outage, sim->now);
}

static void
serve (Simulation *sim)
{
  CfWaiter *w;

  while (sim->running < N_SLOTS
         && (w = first_at (&sim->queue, sim->now, FALSE)))
    {
      gboolean uses_all_slots
          = !sim->policy.always_yields
            && cf_outage_has_ended_recently (&sim->outage, sim->now);
      Request *r = w->owner;

      if (!uses_all_slots
          && cf_waiter_has_to_yield (w, sim->now, PASS_MS, GAP_OBJECTIVE_MS)
          && sim->running >= N_SLOTS * LATE_FRACTION)
        return;
      cf_wait_queue_remove (&sim->queue, w);
      r->state = RUNNING;
      r->on_time = !r->is_retry && sim->now <= w->objective_send_by_ms;
      r->next_ms = sim->now + r->duration_ms;
      sim->running++;
    }
}

static void
advance_requests (Simulation *sim)
{
  for (guint i = 0; i < sim->requests->len; i++)
    {
      Request *r = sim->requests->pdata[i];

      if (sim->now < r->next_ms || r->state == SERVED || r->state == LOST)
        continue;
      if (r->state == WAITING)
        refuse (sim, r);
      else if (r->state == BACKING_OFF)
        queue_request (sim, r);
      else
        {
          sim->running--;
          r->state = sim->now <= r->deadline_ms ? SERVED : LOST;
        }
    }
}

static Tally
simulate (Policy policy, guint32 seed)
{
  Simulation sim = { .policy = policy };
  Tally t = { 0 };

  cf_wait_queue_init (&sim.queue);
  sim.requests = g_ptr_array_new_with_free_func (g_free);
  sim.rand = g_rand_new_with_seed (seed);
  for (sim.now = 0; sim.now < END_MS; sim.now += STEP_MS)
    {
      if (sim.now < POWER_LOSS_MS || sim.now >= ARRIVALS_RESUME_MS)
        add_arrivals (&sim);
      if (sim.now == POWER_LOSS_MS)
        lose_power (&sim);
      if (sim.now == GROUP_OPEN_MS)
        cf_outage_record_answer (&sim.outage, sim.now);
      advance_requests (&sim);
      if (sim.now < POWER_LOSS_MS || sim.now >= GROUP_OPEN_MS)
        serve (&sim);
    }
  for (guint i = 0; i < sim.requests->len; i++)
    {
      const Request *r = sim.requests->pdata[i];

      t.all++;
      t.lost += r->state == LOST;
      t.on_time += r->state == SERVED && r->on_time;
    }
  g_rand_free (sim.rand);
  g_ptr_array_unref (sim.requests);
  return t;
}

/* Guards against an order in which, after a power loss, requests are refused
 * for the last time while slots are kept free, or while other requests that
 * still have time to retry are served. */
START_TEST (fewer_requests_lost_than_in_order_of_arrival)
{
  for (guint32 seed = 1; seed <= 5; seed++)
    {
      Tally by_arrival = simulate ((Policy){ FALSE, TRUE }, seed);
      Tally by_slack = simulate ((Policy){ TRUE, FALSE }, seed);

      if (g_getenv ("T_TRACE"))
        g_printerr ("seed %u: of %u lost %u, %u; in time %u, %u\n", seed,
                    by_slack.all, by_arrival.lost, by_slack.lost,
                    by_arrival.on_time, by_slack.on_time);
      ck_assert_uint_lt (by_slack.lost, by_arrival.lost);
      ck_assert_uint_ge (by_slack.on_time * 100, by_arrival.on_time * 95);
    }
}
END_TEST

START_TEST (late_waiter_with_least_slack_goes_first)
{
  CfWaitQueue q;
  CfWaiter *evicted;
  CfWaiter expired = { .priority = 1, .deadline_send_by_ms = 50 };
  CfWaiter old = { .priority = 1, .deadline_send_by_ms = 900 };
  CfWaiter last = { .priority = 1, .deadline_send_by_ms = 300 };
  CfWaiter low = { .priority = 2, .deadline_send_by_ms = 200 };

  cf_wait_queue_init (&q);
  cf_wait_queue_add (&q, &expired, 9, &evicted);
  cf_wait_queue_add (&q, &old, 9, &evicted);
  cf_wait_queue_add (&q, &last, 9, &evicted);
  cf_wait_queue_add (&q, &low, 9, &evicted);
  ck_assert_ptr_eq (first_at (&q, 100, FALSE), &last);
  cf_wait_queue_remove (&q, &last);
  ck_assert_ptr_eq (first_at (&q, 100, FALSE), &old);
  cf_wait_queue_remove (&q, &old);
  ck_assert_ptr_eq (first_at (&q, 100, FALSE), &low);
  /* None can be complete by its deadline: in order of arrival. */
  ck_assert_ptr_eq (first_at (&q, 1000, FALSE), &expired);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("wait-queue");
  TCase *t = tcase_create ("wait-queue");

  tcase_add_test (t, fewer_requests_lost_than_in_order_of_arrival);
  tcase_add_test (t, late_waiter_with_least_slack_goes_first);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
