/*
 * The order of requests in the wait queue, simulated without a network: a group
 * loses power, and callers retry while its backlog is worked off.
 */
#include "gateway/outage.h"
#include "gateway/return-schedule.h"
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
#define MEAN_DURATION_MS (EXPECTED_FIRST_MS + TYPICAL_EVENTS * PASS_MS)
/** When an outage is expected to end. */
#define OUTAGE_WAIT_MS 1000
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
  CfReturnSchedule returns;
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

/* Gives the caller of @r a place; returns the time until then. */
static gint64
assign_return (Simulation *sim, const Request *r)
{
  gint64 opens_ms = sim->outage.since_ms ? sim->now + OUTAGE_WAIT_MS : sim->now;
  CfReturnRequest request = { .now_ms = sim->now, .opens_ms = opens_ms };

  request.key
      = ((guint64)g_rand_int (sim->rand) << 32) | g_rand_int (sim->rand);
  request.drain_per_s = N_SLOTS * 1000.0 / MEAN_DURATION_MS;
  request.n_ahead = sim->queue.n;
  request.remaining_ms = r->deadline_ms - sim->now;
  return cf_return_schedule_assign (&sim->returns, &request);
}

static void
refuse (Simulation *sim, Request *r)
{
  cf_wait_queue_remove (&sim->queue, &r->w);
  r->state = r->is_retry ? LOST : BACKING_OFF;
  r->is_retry = TRUE;
  r->next_ms = sim->now + assign_return (sim, r);
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
  cf_return_schedule_clear (&sim.returns);
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

#define WAITERS_MAX 5
#define ORGS_MAX 3

/* A queue, and in which order its waiters are to be sent.  Those without a
 * priority, organisation or time have 0, 1 and arrival in the given order. */
typedef struct
{
  const char *what;
  CfWaiter w[WAITERS_MAX]; /* a, b, c, d, e */
  guint n;
  guint in_flight[ORGS_MAX]; /* [i]: of organisation i + 1 */
  double grants[ORGS_MAX];   /* the same; 0: not known */
  gboolean overloaded;
  const char *order;
} OrderCase;

static const OrderCase orders[] = {
  { .what = "one organisation: in order of arrival",
    .n = 3,
    .in_flight = { 5 },
    .order = "abc" },
  { .what = "fewest in flight first, in turn once they have as many",
    .w = { { .org = 1 }, { .org = 1 }, { .org = 2 }, { .org = 2 } },
    .n = 4,
    .in_flight = { 2, 1 },
    .order = "cadb" },
  { .what = "relative to the slots granted",
    .w = { { .org = 1 }, { .org = 1 }, { .org = 2 }, { .org = 2 } },
    .n = 4,
    .in_flight = { 2, 1 },
    .grants = { 20, 1 },
    .order = "abcd" },
  { .what = "an organisation without a grant has an even part",
    .w = { { .org = 1 }, { .org = 3 } },
    .n = 2,
    .in_flight = { 5, 0, 1 },
    .grants = { 4, 4, 0 },
    .order = "ba" },
  { .what = "urgency before organisations",
    .w = { { .org = 2, .priority = 1 }, { .org = 1 } },
    .n = 2,
    .in_flight = { 5, 0 },
    .order = "ba" },
  { .what = "returned first within an organisation only",
    .w = { { .org = 1 },
           { .org = 1, .returned = TRUE },
           { .org = 2 },
           { .org = 2, .returned = TRUE } },
    .n = 4,
    .in_flight = { 1, 0 },
    .order = "dbca" },
  { .what = "returned first with one organisation",
    .w = { { .org = 1 }, { .returned = TRUE } },
    .n = 2,
    .order = "ba" },
  { .what = "returned not before a more urgent one",
    .w = { { .org = 1 }, { .returned = TRUE, .priority = 1 } },
    .n = 2,
    .order = "ab" },
  { .what = "newest of the organisation that goes first, in overload",
    .w = { { .org = 2 }, { .org = 2 }, { .org = 1 } },
    .n = 3,
    .in_flight = { 3, 0 },
    .overloaded = TRUE,
    .order = "bac" },
  { .what = "a late one only when none is on time, whatever its organisation",
    .w = { { .org = 2, .objective_send_by_ms = -1 }, { .org = 1 } },
    .n = 2,
    .in_flight = { 5, 0 },
    .order = "ba" },
  { .what = "of the late ones fewest in flight first, then least slack",
    .w
    = { { .org = 1, .objective_send_by_ms = -1, .deadline_send_by_ms = 10 },
        { .org = 2, .objective_send_by_ms = -1, .deadline_send_by_ms = 30 },
        { .org = 2, .objective_send_by_ms = -1, .deadline_send_by_ms = 20 } },
    .n = 3,
    .in_flight = { 5, 0 },
    .order = "cba" },
  { .what = "what a full target refused returns to its place",
    .w = { { .since_ms = 5 }, { .since_ms = 7 }, { .since_ms = 6 } },
    .n = 3,
    .order = "acb" },
};

static void
add_case (CfWaitQueue *q, const OrderCase *o, CfWaiter *w)
{
  CfWaiter *evicted;

  memcpy (w, o->w, sizeof o->w);
  for (guint i = 0; i < ORGS_MAX; i++)
    cf_org_usage_add (q->usage, i + 1, (int)o->in_flight[i], 0);
  for (guint i = 0; i < o->n; i++)
    {
      w[i].org = MAX (w[i].org, 1);
      if (!w[i].objective_send_by_ms)
        w[i].objective_send_by_ms = 100;
      ck_assert (cf_wait_queue_add (q, &w[i], WAITERS_MAX, &evicted));
    }
}

/* Guards against an organisation, or a caller that returns when told, waiting
 * behind others that have more than their part. */
START_TEST (waiters_are_sent_in_order)
{
  const OrderCase *o = &orders[_i];
  CfOrgUsage usage = { 0 };
  CfDemandTable grants = { 0 };
  CfQueueContext c = { .overloaded = o->overloaded };
  char order[WAITERS_MAX + 1] = "";
  CfWaiter w[WAITERS_MAX];
  CfWaiter *first;
  CfWaitQueue q;

  cf_wait_queue_init (&q);
  q.usage = &usage;
  for (guint i = 0; i < ORGS_MAX; i++)
    if (o->grants[i] > 0)
      cf_demand_table_add (
          &grants,
          &(CfDemand){ .org = i + 1, .n_orgs = 1, .slots = o->grants[i] });
  c.grants = grants.n ? &grants : NULL;
  add_case (&q, o, w);
  for (guint i = 0; (first = cf_wait_queue_first (&q, &c)); i++)
    {
      order[i] = (char)('a' + (first - w));
      cf_wait_queue_take (&q, first);
      cf_org_usage_add (&usage, first->org, 1, 0);
    }
  ck_assert_msg (strcmp (order, o->order) == 0, "%s: %s, not %s", o->what,
                 order, o->order);
  cf_org_usage_clear (&usage);
}
END_TEST

/* Guards against a request that waits for the retry budget holding up those
 * behind it. */
START_TEST (retries_without_budget_are_passed_over)
{
  CfQueueContext c = { .may_not_retry = TRUE };
  CfWaiter retry = { .is_retry = TRUE, .objective_send_by_ms = 100 };
  CfWaiter new = { .objective_send_by_ms = 100 };
  CfWaiter *evicted;
  CfWaitQueue q;

  cf_wait_queue_init (&q);
  cf_wait_queue_add (&q, &retry, 9, &evicted);
  cf_wait_queue_add (&q, &new, 9, &evicted);
  ck_assert_ptr_eq (cf_wait_queue_first (&q, &c), &new);
  cf_wait_queue_remove (&q, &new);
  ck_assert_ptr_null (cf_wait_queue_first (&q, &c));
  c.may_not_retry = FALSE;
  ck_assert_ptr_eq (cf_wait_queue_first (&q, &c), &retry);
}
END_TEST

/* Guards against a class of requests being starved under the strict order. */
START_TEST (one_in_twenty_is_less_urgent)
{
  static const guint expected[] = { 95, 3, 2 };
  CfWaiter w[300] = { 0 };
  guint taken[3] = { 0 };
  CfWaiter *evicted;
  CfWaitQueue q;

  cf_wait_queue_init (&q);
  for (guint i = 0; i < G_N_ELEMENTS (w); i++)
    {
      w[i].priority = i % 3;
      w[i].objective_send_by_ms = 100;
      cf_wait_queue_add (&q, &w[i], G_N_ELEMENTS (w), &evicted);
    }
  for (guint i = 0; i < 100; i++)
    {
      CfWaiter *first = first_at (&q, 0, FALSE);

      taken[first->priority]++;
      cf_wait_queue_take (&q, first);
    }
  ck_assert_uint_eq (taken[0], expected[0]);
  ck_assert_uint_eq (taken[1] + taken[2], expected[1] + expected[2]);
  ck_assert_uint_ge (MIN (taken[1], taken[2]), 2);
}
END_TEST

/* Guards against urgent requests that are held up by a less urgent one whose
 * minimum share is due and that cannot be sent. */
START_TEST (minimum_share_can_be_skipped)
{
  CfWaiter w[25] = { 0 };
  CfWaiter late = { .priority = 2, .deadline_send_by_ms = 100 };
  CfQueueContext c = { .now_ms = 50 };
  CfWaiter *evicted;
  CfWaitQueue q;

  cf_wait_queue_init (&q);
  cf_wait_queue_add (&q, &late, 99, &evicted);
  for (guint i = 0; i < G_N_ELEMENTS (w); i++)
    {
      w[i].objective_send_by_ms = 100;
      cf_wait_queue_add (&q, &w[i], 99, &evicted);
    }
  for (guint i = 0; i < 19; i++)
    {
      ck_assert (!cf_wait_queue_is_floor_due (&q));
      cf_wait_queue_take (&q, cf_wait_queue_first (&q, &c));
    }
  ck_assert (cf_wait_queue_is_floor_due (&q));
  ck_assert_ptr_eq (cf_wait_queue_first (&q, &c), &late);
  c.skips_floor = TRUE;
  ck_assert_ptr_eq (cf_wait_queue_first (&q, &c), &w[19]);
  cf_wait_queue_take (&q, &w[19]);
  c.skips_floor = FALSE;
  ck_assert_ptr_eq (cf_wait_queue_first (&q, &c), &late);
}
END_TEST

/* Guards against a level whose requests cannot be sent, and that keeps the
 * minimum share from the other levels. */
START_TEST (minimum_share_goes_to_a_level_that_can_use_it)
{
  CfQueueContext c = { .now_ms = 50, .may_not_retry = TRUE };
  CfWaiter w[60] = { 0 };
  CfWaiter retry = { .priority = 3, .is_retry = TRUE };
  guint n_less_urgent = 0;
  CfWaiter *evicted;
  CfWaitQueue q;

  cf_wait_queue_init (&q);
  retry.objective_send_by_ms = 100;
  cf_wait_queue_add (&q, &retry, 99, &evicted);
  for (guint i = 0; i < G_N_ELEMENTS (w); i++)
    {
      w[i].priority = i < 3;
      w[i].objective_send_by_ms = 100;
      cf_wait_queue_add (&q, &w[i], 99, &evicted);
    }
  for (guint i = 0; i < 40; i++)
    {
      CfWaiter *first = cf_wait_queue_first (&q, &c);

      n_less_urgent += first->priority > 0;
      cf_wait_queue_take (&q, first);
    }
  ck_assert_uint_eq (n_less_urgent, 2);
  ck_assert (retry.queued);
}
END_TEST

/* A queue with one waiter of priority 1 and organisation 1, and whether a new
 * request goes before it. */
typedef struct
{
  const char *what;
  CfWaiter w;
  CfWaiter new;
  gboolean overloaded;
  gboolean goes_first;
} NewcomerCase;

static const NewcomerCase newcomers[] = {
  { .what = "less urgent", .new = { .priority = 2 } },
  { .what = "as urgent", .new = { .priority = 1 } },
  { .what = "more urgent", .new = { .priority = 0 }, .goes_first = TRUE },
  { .what = "of a smaller organisation",
    .new = { .priority = 1, .org = 2 },
    .goes_first = TRUE },
  { .what = "returned at its time",
    .new = { .priority = 1, .returned = TRUE },
    .goes_first = TRUE },
  { .what = "as urgent in overload",
    .new = { .priority = 1 },
    .overloaded = TRUE,
    .goes_first = TRUE },
  { .what = "less urgent in overload",
    .new = { .priority = 2 },
    .overloaded = TRUE },
  { .what = "in time while the other is late",
    .w = { .objective_send_by_ms = 10 },
    .new = { .priority = 2 },
    .goes_first = TRUE },
};

/* Guards against new requests that take capacity which has become free for
 * those that wait, and against waiters that are sent before more urgent new
 * requests. */
START_TEST (new_request_takes_its_turn)
{
  const NewcomerCase *n = &newcomers[_i];
  CfQueueContext c = { .now_ms = 50, .overloaded = n->overloaded };
  CfOrgUsage usage = { 0 };
  CfWaiter w = n->w;
  CfWaiter new = n->new;
  CfWaiter *evicted;
  CfWaitQueue q;

  cf_wait_queue_init (&q);
  q.usage = &usage;
  cf_org_usage_add (&usage, 1, 5, 0);
  w.priority = w.org = 1;
  w.objective_send_by_ms = w.objective_send_by_ms ?: 100;
  new.org = new.org ?: 1;
  new.since_ms = 50;
  new.objective_send_by_ms = 150;
  cf_wait_queue_add (&q, &w, 9, &evicted);
  ck_assert_msg (cf_wait_queue_would_be_first (&q, &new, &c) == n->goes_first,
                 "%s", n->what);
  ck_assert (!new.queued);
  ck_assert_uint_eq (q.n, 1);
  ck_assert_uint_eq (cf_org_usage_waiting (&usage, 1), 1);
  cf_org_usage_clear (&usage);
}
END_TEST

/* A full queue, a new request, and which of them is refused ("n": the new
 * one). */
typedef struct
{
  const char *what;
  CfWaiter w[WAITERS_MAX];
  guint n;
  CfWaiter new;
  const char *refused;
} EvictionCase;

static const EvictionCase evictions[] = {
  { .what = "one organisation: the new one",
    .n = 2,
    .new = { .org = 1 },
    .refused = "n" },
  { .what = "a less urgent one",
    .n = 2,
    .new = { .org = 2, .priority = 1 },
    .refused = "n" },
  { .what = "the newest of the largest organisation",
    .w = { { .org = 1 }, { .org = 1 }, { .org = 2 } },
    .n = 3,
    .new = { .org = 3 },
    .refused = "b" },
  { .what = "the new one of the largest organisation",
    .w = { { .org = 1 }, { .org = 1 }, { .org = 2 } },
    .n = 3,
    .new = { .org = 1 },
    .refused = "n" },
  { .what = "the new one makes its organisation as large as another",
    .w = { { .org = 1 }, { .org = 1 }, { .org = 2 } },
    .n = 3,
    .new = { .org = 2 },
    .refused = "n" },
  { .what = "the largest at the least urgent level, not of all",
    .w = { { .org = 1 },
           { .org = 1 },
           { .org = 1 },
           { .org = 2, .priority = 1 },
           { .org = 1, .priority = 1 } },
    .n = 5,
    .new = { .org = 2, .priority = 1 },
    .refused = "n" },
  { .what = "one that has not returned",
    .w = { { .org = 1 }, { .org = 1, .returned = TRUE } },
    .n = 2,
    .new = { .org = 1, .returned = TRUE },
    .refused = "a" },
  { .what = "the new one if all have returned",
    .w = { { .org = 1, .returned = TRUE }, { .org = 1, .returned = TRUE } },
    .n = 2,
    .new = { .org = 1, .returned = TRUE },
    .refused = "n" },
  { .what = "a newer one rather than one that a full target refused",
    .w = { { .org = 1, .since_ms = 5 }, { .org = 1, .since_ms = 7 } },
    .n = 2,
    .new = { .org = 1, .since_ms = 6 },
    .refused = "b" },
  { .what = "the last one of a level keeps its place",
    .w = { { .org = 1 },
           { .org = 1 },
           { .org = 1 },
           { .org = 1 },
           { .org = 1, .priority = 2 } },
    .n = 5,
    .new = { .org = 1 },
    .refused = "n" },
  { .what = "the first of a level gets a place, but not two levels of five",
    .w = { { .org = 1 },
           { .org = 1 },
           { .org = 1 },
           { .org = 1, .priority = 1 },
           { .org = 1, .priority = 3 } },
    .n = 5,
    .new = { .org = 1, .priority = 2 },
    .refused = "n" },
  { .what = "the first of a level gets a place",
    .w = { { .org = 1 }, { .org = 1 }, { .org = 2 }, { .org = 1 } },
    .n = 4,
    .new = { .org = 2, .priority = 2 },
    .refused = "d" },
};

/* Guards against a large organisation's backlog keeping small ones out of a
 * full queue. */
START_TEST (largest_organisation_makes_room)
{
  const EvictionCase *e = &evictions[_i];
  OrderCase o = { .n = e->n };
  CfOrgUsage usage = { 0 };
  CfWaiter w[WAITERS_MAX];
  CfWaiter new = e->new;
  CfWaiter *evicted;
  CfWaitQueue q;
  char refused[2] = "n";

  memcpy (o.w, e->w, sizeof e->w);
  cf_wait_queue_init (&q);
  q.usage = &usage;
  add_case (&q, &o, w);
  ck_assert_int_eq (cf_wait_queue_add (&q, &new, e->n, &evicted),
                    evicted != NULL);
  if (evicted)
    refused[0] = (char)('a' + (evicted - w));
  ck_assert_msg (strcmp (refused, e->refused) == 0, "%s: %s, not %s", e->what,
                 refused, e->refused);
  ck_assert_uint_eq (q.n, e->n);
  cf_org_usage_clear (&usage);
}
END_TEST

/* Guards against routes of an organisation that lose their order, and against a
 * route that is less urgent than those of the next organisation. */
START_TEST (urgency_orders_organisations_then_routes)
{
  static const gint64 expected[][3]
      = { { 0, 0, 0 }, { 0, 2, 2 }, { 1, 0, 16 }, { 0, 99, 15 }, { 3, 1, 49 } };

  for (guint i = 0; i < G_N_ELEMENTS (expected); i++)
    ck_assert_int_eq (cf_waiter_urgency (expected[i][0], expected[i][1]),
                      expected[i][2]);
}
END_TEST

/* Waiting and running requests, and whether a new one of organisation 1 and
 * priority 1 is refused on arrival, if it may wait for 200 ms and requests take
 * 100 ms.  More than 300 ms of work has to be ahead of it. */
typedef struct
{
  const char *what;
  CfWaiter w; /* every waiter */
  guint n;
  guint in_flight[ORGS_MAX];
  double grant; /* of organisation 1; 0: not known */
  CfDrain drain;
  gboolean overloaded;
  gboolean is_hopeless;
} HopelessCase;

static const HopelessCase hopeless[] = {
  { .what = "more of its own ahead than drain in time",
    .w = { .org = 1, .priority = 1 },
    .n = 7,
    .in_flight = { 2 },
    .drain = { 2, 100 },
    .is_hopeless = TRUE },
  { .what = "as many as drain in time",
    .w = { .org = 1, .priority = 1 },
    .n = 6,
    .in_flight = { 2 },
    .drain = { 2, 100 } },
  { .what = "unknown hold time",
    .w = { .org = 1, .priority = 1 },
    .n = 50,
    .in_flight = { 2 },
    .drain = { 2, 0 } },
  { .what = "unknown slots",
    .w = { .org = 1, .priority = 1 },
    .n = 50,
    .drain = { 0, 100 } },
  { .what = "the newest goes first",
    .w = { .org = 1, .priority = 1 },
    .n = 50,
    .in_flight = { 2 },
    .drain = { 2, 100 },
    .overloaded = TRUE },
  { .what = "all ahead are late, and go behind",
    .w = { .org = 1, .priority = 1, .objective_send_by_ms = -1 },
    .n = 50,
    .in_flight = { 2 },
    .drain = { 2, 100 } },
  { .what = "all ahead are less urgent",
    .w = { .org = 1, .priority = 2 },
    .n = 50,
    .in_flight = { 2 },
    .drain = { 2, 100 } },
  { .what = "more urgent ones, up to its minimum share",
    .w = { .org = 1, .priority = 0 },
    .n = 50,
    .in_flight = { 2 },
    .drain = { 2, 100 },
    .is_hopeless = TRUE },
  { .what = "more urgent ones, but its minimum share is due before",
    .w = { .org = 1, .priority = 0 },
    .n = 50,
    .in_flight = { 8 },
    .drain = { 8, 100 } },
  { .what = "another organisation's backlog, and less than its part in flight",
    .w = { .org = 2, .priority = 1 },
    .n = 50,
    .in_flight = { 1, 7 },
    .drain = { 8, 100 } },
  { .what = "another organisation's backlog, and its part in flight",
    .w = { .org = 2, .priority = 1 },
    .n = 50,
    .in_flight = { 4, 4 },
    .drain = { 8, 100 } },
  { .what = "its own backlog, with more than its grant in flight",
    .w = { .org = 1, .priority = 1 },
    .n = 10,
    .in_flight = { 2, 6 },
    .grant = 1.5,
    .drain = { 8, 100 },
    .is_hopeless = TRUE },
};

/* Guards against requests that wait in vain, and against refusing those that
 * would be sent. */
START_TEST (hopeless_requests_are_recognised)
{
  const HopelessCase *h = &hopeless[_i];
  CfDemandTable grants = { 0 };
  CfQueueContext c = { .overloaded = h->overloaded };
  CfWaiter new = { .org = 1, .priority = 1, .objective_send_by_ms = 100 };
  CfOrgUsage usage = { 0 };
  CfWaiter w[50];
  CfWaiter *evicted;
  CfWaitQueue q;

  cf_wait_queue_init (&q);
  q.usage = &usage;
  for (guint i = 0; i < ORGS_MAX; i++)
    cf_org_usage_add (&usage, i + 1, (int)h->in_flight[i], 0);
  for (guint i = 0; i < h->n; i++)
    {
      w[i] = h->w;
      if (!w[i].objective_send_by_ms)
        w[i].objective_send_by_ms = 100;
      cf_wait_queue_add (&q, &w[i], G_N_ELEMENTS (w), &evicted);
    }
  if (h->grant > 0)
    cf_demand_table_add (
        &grants, &(CfDemand){ .urgency = 1, .org = 1, .slots = h->grant });
  c.grants = grants.n ? &grants : NULL;
  ck_assert_msg (cf_wait_queue_is_hopeless (&q, &new, &c, &h->drain, 200)
                     == h->is_hopeless,
                 "%s", h->what);
  cf_org_usage_clear (&usage);
}
END_TEST

#define HOLD_MS 300
#define LOAD_SLOTS 8
#define LOAD_END_MS 60000
#define LOAD_DEADLINE_MS 1500
#define LOAD_OBJECTIVE_MS 1000

/* A kind of requests, and which fraction of them is to be served. */
typedef struct
{
  gint64 priority;
  guint32 org;
  double load; /* relative to the capacity */
  double grant;
  double min_served;
} Kind;

/* Two kinds of requests at a service of LOAD_SLOTS slots. */
typedef struct
{
  const char *what;
  Kind kinds[2];
} LoadCase;

static const LoadCase loads[] = {
  { "two urgencies", { { 0, 1, 0.65, 0, 0.95 }, { 2, 1, 0.65, 0, 0.4 } } },
  /* A twentieth of the capacity is 0.077 of the load of 0.65; the less urgent
   * level has a waiter for nine tenths of the time. */
  { "urgent overload", { { 0, 1, 1.5, 0, 0.6 }, { 2, 1, 0.65, 0, 0.06 } } },
  { "a small and a large organisation",
    { { 0, 1, 0.1, 0, 0.95 }, { 0, 2, 2.5, 0, 0.3 } } },
  { "the same with grants",
    { { 0, 1, 0.1, 0.8, 0.95 }, { 0, 2, 2.5, 7.2, 0.3 } } },
  { "equal organisations, all capacity is used",
    { { 0, 1, 0.75, 0, 0.6 }, { 0, 2, 0.75, 0, 0.6 } } },
  { "less than the capacity",
    { { 0, 1, 0.3, 0, 0.99 }, { 2, 2, 0.3, 0, 0.99 } } },
};

typedef struct
{
  CfWaiter w;
  guint kind;
  gint64 end_ms; /* of the wait, or of the work */
} LoadRequest;

typedef struct
{
  const LoadCase *load;
  CfWaitQueue queue;
  CfOrgUsage usage;
  CfQueueContext c;
  GPtrArray *running;
  GRand *rand;
  guint n[2];
  guint n_served[2];
} LoadRun;

static void
remove_load_request (LoadRun *run, LoadRequest *r)
{
  cf_wait_queue_remove (&run->queue, &r->w);
  g_free (r);
}

static void
add_load_request (LoadRun *run, guint kind)
{
  const Kind *k = &run->load->kinds[kind];
  CfDrain d = { .slots = run->running->len, .hold_ms = HOLD_MS };
  gint64 now = run->c.now_ms;
  gint64 limit
      = cf_wait_queue_max_wait_ms (LOAD_OBJECTIVE_MS, LOAD_DEADLINE_MS);
  LoadRequest *r = g_new0 (LoadRequest, 1);
  CfWaiter *evicted = NULL;

  run->n[kind]++;
  r->kind = kind;
  r->w.owner = r;
  r->w.priority = k->priority;
  r->w.org = k->org;
  r->w.since_ms = now;
  r->end_ms = now + limit;
  r->w.objective_send_by_ms
      = cf_waiter_objective_send_by_ms (now, LOAD_OBJECTIVE_MS, 0);
  r->w.deadline_send_by_ms = now + LOAD_DEADLINE_MS;
  if (cf_wait_queue_is_hopeless (&run->queue, &r->w, &run->c, &d, limit)
      || !cf_wait_queue_add (&run->queue, &r->w, LOAD_SLOTS, &evicted))
    g_free (r);
  if (evicted)
    g_free (evicted->owner);
}

static void
end_load_requests (LoadRun *run)
{
  CfWaiter *next;

  for (guint i = 0; i < run->running->len;)
    {
      LoadRequest *r = run->running->pdata[i];

      if (r->end_ms > run->c.now_ms)
        {
          i++;
          continue;
        }
      cf_org_usage_add (&run->usage, r->w.org, -1, 0);
      g_ptr_array_remove_index_fast (run->running, i);
    }
  for (CfWaiter *w = TAILQ_FIRST (&run->queue.waiters); w; w = next)
    {
      next = TAILQ_NEXT (w, link);
      if (((LoadRequest *)w->owner)->end_ms < run->c.now_ms)
        remove_load_request (run, w->owner);
    }
}

static void
send_load_requests (LoadRun *run)
{
  CfWaiter *w;

  while (run->running->len < LOAD_SLOTS
         && (w = cf_wait_queue_first (&run->queue, &run->c)))
    {
      LoadRequest *r = w->owner;

      cf_wait_queue_take (&run->queue, w);
      cf_org_usage_add (&run->usage, w->org, 1, 0);
      r->end_ms = run->c.now_ms + HOLD_MS;
      run->n_served[r->kind]++;
      g_ptr_array_add (run->running, r);
    }
}

static void
run_load (LoadRun *run)
{
  for (run->c.now_ms = 0; run->c.now_ms < LOAD_END_MS; run->c.now_ms++)
    {
      end_load_requests (run);
      for (guint i = 0; i < 2; i++)
        if (g_rand_double (run->rand)
            < run->load->kinds[i].load * LOAD_SLOTS / HOLD_MS)
          add_load_request (run, i);
      send_load_requests (run);
    }
}

/* Guards against urgent requests, or those of a small organisation, being
 * refused while slots go to others. */
START_TEST (load_is_served_in_order)
{
  LoadRun run = { .load = &loads[_i] };
  CfDemandTable grants = { 0 };
  CfWaiter *w;

  cf_wait_queue_init (&run.queue);
  run.queue.usage = &run.usage;
  run.running = g_ptr_array_new_with_free_func (g_free);
  run.rand = g_rand_new_with_seed (3);
  for (guint i = 0; i < 2; i++)
    if (run.load->kinds[i].grant > 0)
      cf_demand_table_add (&grants,
                           &(CfDemand){ .org = run.load->kinds[i].org,
                                        .n_orgs = 1,
                                        .slots = run.load->kinds[i].grant });
  run.c.grants = grants.n ? &grants : NULL;
  run_load (&run);
  for (guint i = 0; i < 2; i++)
    {
      double served = (double)run.n_served[i] / run.n[i];

      if (g_getenv ("T_TRACE"))
        g_printerr ("%s: kind %u: %.3f\n", run.load->what, i, served);
      ck_assert_msg (served >= run.load->kinds[i].min_served,
                     "%s: kind %u: %.3f", run.load->what, i, served);
    }
  while ((w = TAILQ_FIRST (&run.queue.waiters)))
    remove_load_request (&run, w->owner);
  g_ptr_array_unref (run.running);
  g_rand_free (run.rand);
  cf_org_usage_clear (&run.usage);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("wait-queue");
  TCase *t = tcase_create ("wait-queue");

  tcase_add_test (t, fewer_requests_lost_than_in_order_of_arrival);
  tcase_add_test (t, late_waiter_with_least_slack_goes_first);
  tcase_add_loop_test (t, waiters_are_sent_in_order, 0, G_N_ELEMENTS (orders));
  tcase_add_test (t, urgency_orders_organisations_then_routes);
  tcase_add_loop_test (t, hopeless_requests_are_recognised, 0,
                       G_N_ELEMENTS (hopeless));
  tcase_add_test (t, retries_without_budget_are_passed_over);
  tcase_add_test (t, one_in_twenty_is_less_urgent);
  tcase_add_test (t, minimum_share_can_be_skipped);
  tcase_add_test (t, minimum_share_goes_to_a_level_that_can_use_it);
  tcase_add_loop_test (t, new_request_takes_its_turn, 0,
                       G_N_ELEMENTS (newcomers));
  tcase_add_loop_test (t, largest_organisation_makes_room, 0,
                       G_N_ELEMENTS (evictions));
  tcase_add_loop_test (t, load_is_served_in_order, 0, G_N_ELEMENTS (loads));
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
