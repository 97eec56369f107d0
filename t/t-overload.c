/*
 * Simulates outages and bursts: the gateways' real decisions with a model of a
 * group of ranks that make each pass together.  The tests check how many
 * callers are served on time afterwards.
 */
#include "gateway/balancer.h"
#include "gateway/concurrency-limit.h"
#include "gateway/return-schedule.h"
#include "gateway/stream-latency.h"
#include "gateway/wait-queue.h"
#include "harness.h"
#include "target-harness.h"

#include <stdlib.h>
#include <string.h>

#define GATEWAYS_MAX 35
#define RANKS_MAX 192
#define DURATION_S 26
#define COUNTED_FROM_S 4
#define COUNTED_TO_S 18
#define OUTAGE_START_MS 5000
#define BURST_START_MS 5000
#define FIRST_EVENT_TIMEOUT_MS 2400
#define DEADLINE_MS 8000
/* The usual peak load of users' deployments, as a fraction of the capacity with
 * full batches. */
#define PEAK_FRACTION 0.83
#define RECOVERY_S 3

/* A kind of streams. */
typedef struct
{
  double load; /* relative to the capacity */
  gint64 priority;
  guint32 org;
} Kind;

#define KINDS 2

/* A simulated scenario: gateways in front of a rank group, and the load. */
typedef struct
{
  int n_gateways;
  int ranks;
  int slots;
  int events;
  double step_ms;
  double per_seq_ms;
  int stride;
  double skew_factor; /* duration of a pass relative to one at even load: the
                        expert map's skew, for the experts' part of the work */
  double prompt_ms;   /* what each prompt adds to a pass: the work for a prompt,
                       divided by the number of ranks */
  gint64 objective_ms;
  gint64 gap_objective_ms;
  double per_s;
  gint64 outage_end_ms;   /* an outage lasts from OUTAGE_START_MS to this */
  double shared_fraction; /* fraction of a pass that all ranks share evenly */
  double burst_factor;    /* factor of the load from BURST_START_MS on; 0: no
                      burst */
  gint64 burst_end_ms;
  gboolean callers_time_out; /* after FIRST_EVENT_TIMEOUT_MS without an event */
  gboolean callers_retry;    /* once, when refused */
  const Kind *kinds;         /* (nullable): KINDS of them */
} Scenario;

/* Engines with 12, 10 and 6 slots, and the objectives for their streams. */
#define SLOTS_12                                                               \
  .slots = 12, .events = 24, .step_ms = 4.55, .per_seq_ms = 0.905,             \
  .stride = 4, .skew_factor = 1.21, .objective_ms = 500,                       \
  .gap_objective_ms = 120
#define SLOTS_10                                                               \
  .slots = 10, .events = 19, .step_ms = 4.55, .per_seq_ms = 1.09, .stride = 5, \
  .skew_factor = 1.25, .objective_ms = 500, .gap_objective_ms = 150,           \
  .shared_fraction = 0.85
#define SLOTS_6                                                                \
  .slots = 6, .events = 15, .step_ms = 4.55, .per_seq_ms = 1.99, .stride = 6,  \
  .skew_factor = 1.25, .objective_ms = 600, .gap_objective_ms = 200,           \
  .shared_fraction = 0.85

/* At a load of nine tenths of the capacity, a backlog is worked off slowly. */
static const Scenario small
    = { SLOTS_12,         .n_gateways = 4, .ranks = 16,
        .prompt_ms = 1.2, .per_s = 92,     .outage_end_ms = 7000 };

/* The same with more gateways than a target has slots. */
static const Scenario large
    = { SLOTS_6,          .n_gateways = 35, .ranks = 192,
        .prompt_ms = 0.1, .per_s = 500,     .outage_end_ms = 9000 };

typedef struct
{
  CfWaiter waiter;
  gint64 start_ms;
  gint64 sent_ms;
  guint in_flight_at_send; /* at its gateway */
  gint64 last_ms;          /* when its last event came */
  gint64 longest_ms;       /* longest pause between two events */
  gint64 first_ms;
  int events;
  CfTarget *target;
  struct Gateway *gateway;
  int rank;
  gboolean has_slot; /* it has one of the rank's slots */
  gboolean is_retry; /* it was refused once, and counts as late */
  int kind;
  gint64 retry_at_ms;
} Stream;

typedef struct Gateway
{
  CfTargetTable table;
  CfWaitQueue queue;
  CfOrgUsage usage;
  CfStreamLatency latency;
  CfConcurrencyLimit limit;
  CfReturnSchedule returns;
  double ring_start;
  double hold_ms; /* mean time from sending to the end; 0: unknown */
  guint in_flight;
} Gateway;

/* Counters by second of arrival. */
typedef struct
{
  int arrived[DURATION_S];
  int on_time[DURATION_S];
  int late[DURATION_S];
  int refused[DURATION_S];
  /* Of the streams that arrive from COUNTED_FROM_S to COUNTED_TO_S. */
  int arrived_by_kind[KINDS];
  int on_time_by_kind[KINDS];
  int served_by_kind[KINDS];
} Tally;

static const Scenario *scenario;
static Gateway gateways[GATEWAYS_MAX];
static GPtrArray *running;     /* of Stream: at a rank, with a slot or queued */
static GPtrArray *backing_off; /* of Stream: refused, to be retried */
static int n_writing[RANKS_MAX]; /* streams with a slot, by rank */
static Tally tally;
static gboolean with_yielding;
static gboolean with_random_start;
static gboolean with_limit;
static gboolean with_ring;

static void
init_scenario (const Scenario *spec)
{
  scenario = spec;
  for (int g = 0; g < scenario->n_gateways; g++)
    {
      cf_target_table_init (&gateways[g].table);
      cf_wait_queue_init (&gateways[g].queue);
      gateways[g].queue.usage = &gateways[g].usage;
      gateways[g].latency = (CfStreamLatency){ 0 };
      gateways[g].limit = (CfConcurrencyLimit){ 0 };
      gateways[g].hold_ms = 0;
      gateways[g].ring_start = (double)g / scenario->n_gateways;
      gateways[g].in_flight = 0;
      if (!with_random_start)
        gateways[g].table.next_start = 0;
      t_put_targets (&gateways[g].table, scenario->ranks, scenario->slots);
    }
  running = g_ptr_array_new_with_free_func (g_free);
  backing_off = g_ptr_array_new_with_free_func (g_free);
  memset (&tally, 0, sizeof tally);
  memset (n_writing, 0, sizeof n_writing);
}

static void
clear_scenario (void)
{
  for (int g = 0; g < scenario->n_gateways; g++)
    {
      cf_target_table_clear (&gateways[g].table);
      cf_org_usage_clear (&gateways[g].usage);
      cf_return_schedule_clear (&gateways[g].returns);
    }
  g_ptr_array_free (running, TRUE);
  g_ptr_array_free (backing_off, TRUE);
}

static gboolean
is_outage (gint64 now)
{
  return now >= OUTAGE_START_MS && now < scenario->outage_end_ms;
}

static gboolean
send_to_target (Gateway *g, Stream *s, gint64 now)
{
  CfPickInput in = { .service = "s", .now_ms = now };

  if (is_outage (now))
    return FALSE;
  in.n_gateways = scenario->n_gateways;
  in.in_flight = g->in_flight;
  in.limit = cf_concurrency_limit_get (&g->limit);
  in.ring_start = with_ring ? &g->ring_start : NULL;
  in.yields = with_yielding
              && cf_waiter_has_to_yield (&s->waiter, now, g->latency.pause_ms,
                                         scenario->gap_objective_ms);
  if (cf_balancer_pick (&g->table, &in, &s->target) != CF_PICK_OK)
    return FALSE;
  cf_target_request_started (s->target, now);
  s->gateway = g;
  g->in_flight++;
  cf_org_usage_add (&g->usage, s->waiter.org, 1, 0);
  s->rank = atoi (s->target->record.id + 1);
  s->sent_ms = now;
  s->in_flight_at_send = g->in_flight;
  g_ptr_array_add (running, s);
  return TRUE;
}

static int
get_arrival_second (const Stream *s)
{
  return (int)(s->start_ms / 1000);
}

static gboolean
is_counted (const Stream *s)
{
  int second = get_arrival_second (s);

  return second >= COUNTED_FROM_S && second < COUNTED_TO_S;
}

static gboolean
is_overloaded (const Gateway *g)
{
  return cf_concurrency_limit_get (&g->limit) != 0;
}

/* Gives the caller of @s a place at its gateway; returns the time until then.
 */
static gint64
assign_return (const Stream *s, gint64 now)
{
  Gateway *g = s->gateway;
  CfReturnRequest r = { .now_ms = now, .opens_ms = now };

  r.key = ((guint64)g_random_int () << 32) | g_random_int ();
  r.drain_per_s = g->hold_ms > 0 ? g->in_flight * 1000 / g->hold_ms : 0;
  r.n_ahead = g->queue.n;
  r.remaining_ms = s->start_ms + DEADLINE_MS - now;
  return cf_return_schedule_assign (&g->returns, &r);
}

static void
refuse (Stream *s, gint64 now)
{
  if (!scenario->callers_retry || s->is_retry)
    {
      tally.refused[get_arrival_second (s)]++;
      g_free (s);
      return;
    }
  s->is_retry = TRUE;
  s->retry_at_ms = now + assign_return (s, now);
  g_ptr_array_add (backing_off, s);
}

static void
on_arrival (Gateway *g, Stream *s, gint64 now)
{
  CfWaiter *evicted;
  gint64 first = cf_stream_latency_first_event_ms (&g->latency, NULL,
                                                   &(CfStreamSize){ 0 });

  s->waiter.owner = s;
  s->waiter.returned = s->is_retry;
  s->gateway = g;
  if (!s->is_retry)
    {
      s->start_ms = now;
      tally.arrived[get_arrival_second (s)]++;
      tally.arrived_by_kind[s->kind] += is_counted (s);
    }
  if (!is_outage (now) && !g->queue.n && send_to_target (g, s, now))
    return;
  s->waiter.since_ms = now;
  s->waiter.objective_send_by_ms
      = cf_waiter_objective_send_by_ms (now, scenario->objective_ms, first);
  if (!cf_wait_queue_add (&g->queue, &s->waiter,
                          (guint)(scenario->ranks * scenario->slots), &evicted))
    refuse (s, now);
  if (evicted)
    refuse (evicted->owner, now);
}

static void
serve_waiters (Gateway *g, gint64 now)
{
  CfQueueContext c = { .now_ms = now, .overloaded = is_overloaded (g) };
  CfWaiter *w;
  CfWaiter *next;

  while ((w = cf_wait_queue_first (&g->queue, &c)))
    {
      Stream *s = w->owner;

      if (!send_to_target (g, s, now))
        break;
      cf_wait_queue_take (&g->queue, w);
    }
  for (w = TAILQ_FIRST (&g->queue.waiters); w; w = next)
    {
      next = TAILQ_NEXT (w, link);
      if (now - w->since_ms
          <= cf_wait_queue_max_wait_ms (FIRST_EVENT_TIMEOUT_MS, DEADLINE_MS))
        continue;
      cf_wait_queue_remove (&g->queue, w);
      refuse (w->owner, now);
    }
}

static void
add_hold (Gateway *g, gint64 ms)
{
  if (g->hold_ms == 0)
    g->hold_ms = (double)ms;
  g->hold_ms += ((double)ms - g->hold_ms) * 0.1;
}

static void
end_at_target (Stream *s, gint64 now)
{
  cf_target_request_ended (s->target, now);
  s->gateway->in_flight--;
  cf_org_usage_add (&s->gateway->usage, s->waiter.org, -1, 0);
}

static void
on_stream_end (Stream *s, gint64 now)
{
  gboolean on_time = !s->is_retry && s->first_ms <= scenario->objective_ms
                     && s->longest_ms <= scenario->gap_objective_ms;

  if (on_time)
    tally.on_time[get_arrival_second (s)]++;
  else
    tally.late[get_arrival_second (s)]++;
  tally.on_time_by_kind[s->kind] += on_time && is_counted (s);
  tally.served_by_kind[s->kind] += is_counted (s);
  end_at_target (s, now);
  add_hold (s->gateway, now - s->sent_ms);
  n_writing[s->rank]--;
}

/* Assigns free slots to the streams queued at the ranks.  Returns the number of
 * streams per rank that determines the duration of a pass: between the mean and
 * the maximum. */
static double
assign_slots (void)
{
  int max_writing = 0;
  int sum = 0;

  for (guint i = 0; i < running->len; i++)
    {
      Stream *s = running->pdata[i];

      if (!s->has_slot && n_writing[s->rank] < scenario->slots)
        {
          s->has_slot = TRUE;
          n_writing[s->rank]++;
        }
      max_writing = MAX (max_writing, n_writing[s->rank]);
    }
  for (int r = 0; r < scenario->ranks; r++)
    sum += n_writing[r];
  return scenario->shared_fraction * sum / scenario->ranks
         + (1 - scenario->shared_fraction) * max_writing;
}

/* The caller gave up before the first event. */
static void
on_caller_timeout (Stream *s, gint64 now)
{
  tally.late[get_arrival_second (s)]++;
  end_at_target (s, now);
}

static void
add_limit_sample (Stream *s, gint64 now)
{
  Gateway *g = s->gateway;
  CfFirstEventSample e = { .now_ms = now, .sent_ms = s->sent_ms };

  e.unqueued_ms
      = cf_stream_latency_unqueued_ms (&g->latency, NULL, &(CfStreamSize){ 0 });
  e.objective_ms = scenario->objective_ms;
  e.in_flight = g->in_flight;
  e.in_flight_at_send = s->in_flight_at_send;
  e.fair_share
      = (double)scenario->ranks * scenario->slots / scenario->n_gateways;
  cf_concurrency_limit_add_sample (&g->limit, &e);
}

/* Runs one pass of the group, at whose end every stream with a slot writes an
 * event.  Returns the end of the pass. */
static gint64
run_pass (gint64 now, int n_prompts)
{
  double n = assign_slots ();
  gint64 end_ms
      = now
        + (gint64)(scenario->stride
                       * (scenario->step_ms + scenario->per_seq_ms * n)
                       * scenario->skew_factor
                   + scenario->prompt_ms * n_prompts);

  for (guint i = 0; i < running->len;)
    {
      Stream *s = running->pdata[i];

      if (!s->has_slot && scenario->callers_time_out
          && end_ms - s->start_ms > FIRST_EVENT_TIMEOUT_MS)
        {
          on_caller_timeout (s, now);
          g_ptr_array_remove_index (running, i);
          continue;
        }
      if (!s->has_slot)
        {
          i++;
          continue;
        }
      if (s->events++ == 0)
        {
          s->first_ms = end_ms - s->start_ms;
          cf_stream_latency_add_first_event (&s->gateway->latency,
                                             end_ms - s->sent_ms);
          if (with_limit)
            add_limit_sample (s, end_ms);
        }
      else
        {
          s->longest_ms = MAX (s->longest_ms, end_ms - s->last_ms);
          cf_stream_latency_add_event (&s->gateway->latency, end_ms,
                                       end_ms - s->last_ms);
        }
      s->last_ms = end_ms;
      if (s->events < scenario->events)
        {
          i++;
          continue;
        }
      on_stream_end (s, now);
      g_ptr_array_remove_index (running, i);
    }
  return end_ms;
}

static double
get_rate (gint64 now)
{
  gboolean is_burst = scenario->burst_factor > 0 && now >= BURST_START_MS
                      && now < scenario->burst_end_ms;

  return scenario->per_s * (is_burst ? scenario->burst_factor : 1);
}

static Stream *
new_stream (GRand *rand)
{
  Stream *s = g_new0 (Stream, 1);
  const Kind *kinds = scenario->kinds;

  if (!kinds)
    return s;
  s->kind
      = g_rand_double (rand) * (kinds[0].load + kinds[1].load) >= kinds[0].load;
  s->waiter.priority = kinds[s->kind].priority;
  s->waiter.org = kinds[s->kind].org;
  return s;
}

static void
retry_callers (GRand *rand, gint64 now)
{
  for (guint i = 0; i < backing_off->len;)
    {
      Stream *s = backing_off->pdata[i];

      if (s->retry_at_ms > now)
        {
          i++;
          continue;
        }
      g_ptr_array_steal_index (backing_off, i);
      on_arrival (&gateways[g_rand_int_range (rand, 0, scenario->n_gateways)],
                  s, now);
    }
}

/* Simulates @spec: arrivals at random gateways, and the passes of the group. */
static void
run_scenario (const Scenario *spec)
{
  GRand *rand = g_rand_new_with_seed (7);
  gint64 pass_end_ms = 0;
  int n_prompts = 0;

  init_scenario (spec);
  for (gint64 now = 0; now < DURATION_S * 1000; now++)
    {
      if (g_rand_double (rand) < get_rate (now) / 1000.0)
        {
          on_arrival (
              &gateways[g_rand_int_range (rand, 0, scenario->n_gateways)],
              new_stream (rand), now);
          n_prompts++;
        }
      retry_callers (rand, now);
      if (now % 50 == 0)
        for (int g = 0; g < scenario->n_gateways; g++)
          serve_waiters (&gateways[g], now);
      if (now < pass_end_ms || running->len == 0)
        continue;
      pass_end_ms = run_pass (now, n_prompts);
      n_prompts = 0;
      for (int g = 0; g < scenario->n_gateways; g++)
        serve_waiters (&gateways[g], now);
    }
  g_rand_free (rand);
  clear_scenario ();
}

static double
get_fraction (const int *what, int from, int to)
{
  int n = 0;
  int n_arrived = 0;

  for (int i = from; i < to; i++)
    {
      n += what[i];
      n_arrived += tally.arrived[i];
    }
  return (double)n / n_arrived;
}

/* Without yielding, the late requests of a backlog fill every batch and make
 * later requests late as well. */
START_TEST (backlog_does_not_make_all_requests_late)
{
  double before;
  double after;

  with_random_start = FALSE;
  with_yielding = FALSE;
  run_scenario (&small);
  before = get_fraction (tally.on_time, 10, 20);
  with_yielding = TRUE;
  run_scenario (&small);
  after = get_fraction (tally.on_time, 10, 20);
  ck_assert_double_gt (get_fraction (tally.on_time, 1, 4), 0.9);
  ck_assert_double_lt (before, 0.45);
  ck_assert_double_gt (after, 0.6);
}
END_TEST

/* Gateways that go round robin from the same target on move in lock step, and
 * overload the same targets. */
START_TEST (large_fleet_does_not_overload_same_targets)
{
  double before;

  with_yielding = TRUE;
  with_random_start = FALSE;
  run_scenario (&large);
  before = get_fraction (tally.on_time, 1, 4);
  g_random_set_seed (7);
  with_random_start = TRUE;
  run_scenario (&large);
  ck_assert_double_lt (before, 0.4);
  ck_assert_double_gt (get_fraction (tally.on_time, 1, 4), 0.9);
}
END_TEST

/* A gateway's share of one target's slots is a single request here. */
START_TEST (late_requests_leave_capacity_in_large_fleet)
{
  double before;

  with_random_start = TRUE;
  with_yielding = FALSE;
  g_random_set_seed (7);
  run_scenario (&large);
  before = get_fraction (tally.on_time, 10, 20);
  with_yielding = TRUE;
  g_random_set_seed (7);
  run_scenario (&large);
  ck_assert_double_gt (get_fraction (tally.on_time, 10, 20), before + 0.02);
}
END_TEST

/* Deployments of different sizes; the tests set the load. */
static const Scenario fleets[] = {
  { SLOTS_12, .n_gateways = 3, .ranks = 8, .prompt_ms = 2.4 },
  { SLOTS_12, .n_gateways = 4, .ranks = 16, .prompt_ms = 1.2 },
  { SLOTS_10, .n_gateways = 12, .ranks = 72, .prompt_ms = 0.2 },
  { SLOTS_10, .n_gateways = 16, .ranks = 72, .prompt_ms = 0.2 },
  { SLOTS_6, .n_gateways = 35, .ranks = 192, .prompt_ms = 0.1 },
};

/* Streams per second that the ranks can serve with full batches. */
static double
get_capacity (const Scenario *spec)
{
  double streams
      = (double)spec->ranks * spec->slots / spec->events; /* per pass */
  double write = spec->stride * (spec->step_ms + spec->per_seq_ms * spec->slots)
                 * spec->skew_factor;

  return 1000 * streams / (write + spec->prompt_ms * streams);
}

/* Simulates @spec with all mechanisms on, and the same arrivals each time. */
static void
run_with_all_mechanisms (const Scenario *spec)
{
  g_random_set_seed (7);
  with_limit = TRUE;
  with_ring = TRUE;
  with_yielding = TRUE;
  with_random_start = TRUE;
  run_scenario (spec);
}

static double
get_on_time_after_burst (const Scenario *base, double peak_multiple,
                         double factor, gint64 duration_ms)
{
  Scenario spec = *base;

  spec.per_s = get_capacity (base) * PEAK_FRACTION * peak_multiple;
  spec.burst_factor = factor;
  spec.burst_end_ms = BURST_START_MS + duration_ms;
  spec.callers_time_out = TRUE;
  spec.callers_retry = TRUE;
  run_with_all_mechanisms (&spec);
  return get_fraction (tally.on_time,
                       (int)(spec.burst_end_ms / 1000) + RECOVERY_S,
                       DURATION_S - 3);
}

static void
check_bursts (const Scenario *spec, double peak_multiple)
{
  static const struct
  {
    double factor;
    gint64 duration_ms;
  } bursts[] = { { 1.5, 2000 }, { 1.5, 5000 }, { 2, 2000 }, { 2, 5000 } };

  for (guint i = 0; i < G_N_ELEMENTS (bursts); i++)
    {
      double on_time = get_on_time_after_burst (
          spec, peak_multiple, bursts[i].factor, bursts[i].duration_ms);

      ck_assert_msg (on_time >= 0.9,
                     "%d gateways, %.1f times for %" G_GINT64_FORMAT
                     " ms at %.1f of the peak: %.2f in time",
                     spec->n_gateways, bursts[i].factor, bursts[i].duration_ms,
                     peak_multiple, on_time);
    }
}

START_TEST (overload_ends_within_3_s_of_burst)
{
  check_bursts (&fleets[_i], 0.9);
  check_bursts (&fleets[_i], 1.0);
}
END_TEST

START_TEST (overload_above_usual_peak_ends_within_3_s)
{
  check_bursts (&fleets[_i], 1.1);
}
END_TEST

/* Streams per second that meet their objectives. */
static double
get_goodput (const Scenario *base, double per_s)
{
  Scenario spec = *base;

  spec.per_s = per_s;
  spec.callers_time_out = TRUE;
  run_with_all_mechanisms (&spec);
  return get_fraction (tally.on_time, 8, DURATION_S - 3) * per_s;
}

START_TEST (goodput_at_twice_the_knee_is_kept)
{
  const Scenario *spec = &fleets[_i];
  double knee = 0;
  double knee_per_s = 0;
  double twice;

  for (int percent = 60; percent <= 100; percent += 5)
    {
      double per_s = get_capacity (spec) * percent / 100;
      double good = get_goodput (spec, per_s);

      if (good <= knee)
        continue;
      knee = good;
      knee_per_s = per_s;
    }
  twice = get_goodput (spec, 2 * knee_per_s);
  ck_assert_msg (twice >= 0.9 * knee, "%d gateways: %.0f/s in time, %.0f/s",
                 spec->n_gateways, knee, twice);
}
END_TEST

/* Loads of two kinds, of which the first is more urgent, or of a smaller
 * organisation, and by which factor more of that kind are to be served than
 * with the same load of one kind.  All slots of the few that a gateway has may
 * be taken for longer than a stream can wait and be in time; then it goes
 * behind all that can still be in time. */
static const struct
{
  Kind kinds[KINDS];
  double min_gain;
} loads[] = {
  { { { 0.65, 0, 1 }, { 0.65, 2, 1 } }, 1.08 },
  { { { 0.1, 0, 1 }, { 2.5, 0, 2 } }, 1.3 },
};

/* The order may cost this part of all streams that are in time. */
#define ORDER_COST_MAX 0.05

/* Served streams, and those in time, as fractions of each kind. */
typedef struct
{
  double served[KINDS];
  double on_time[KINDS];
} KindTally;

static KindTally
run_kinds (const Scenario *base, const Kind *kinds)
{
  Scenario spec = *base;
  KindTally t;

  spec.kinds = kinds;
  spec.callers_time_out = TRUE;
  spec.per_s = get_capacity (base) * (kinds[0].load + kinds[1].load);
  run_with_all_mechanisms (&spec);
  for (int i = 0; i < KINDS; i++)
    {
      t.served[i] = (double)tally.served_by_kind[i] / tally.arrived_by_kind[i];
      t.on_time[i]
          = (double)tally.on_time_by_kind[i] / tally.arrived_by_kind[i];
    }
  return t;
}

/* Guards against urgent requests, or those of a small organisation, being
 * refused while slots go to others, and against an order that costs more than
 * it gains. */
START_TEST (contended_slots_go_to_urgent_and_small)
{
  for (guint i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      const Kind *k = loads[i].kinds;
      const Kind alike[KINDS] = { { k[0].load, 0, 1 }, { k[1].load, 0, 1 } };
      KindTally before = run_kinds (&fleets[_i], alike);
      KindTally after = run_kinds (&fleets[_i], k);
      double sum_before
          = before.on_time[0] * k[0].load + before.on_time[1] * k[1].load;
      double sum_after
          = after.on_time[0] * k[0].load + after.on_time[1] * k[1].load;

      ck_assert_msg (after.served[0] >= before.served[0] * loads[i].min_gain
                         && after.on_time[0] > before.on_time[0],
                     "%d gateways, load %u: %.3f, then %.3f served, %.3f, then "
                     "%.3f in time",
                     fleets[_i].n_gateways, i, before.served[0],
                     after.served[0], before.on_time[0], after.on_time[0]);
      ck_assert_msg (sum_after >= sum_before * (1 - ORDER_COST_MAX),
                     "%d gateways, load %u: %.3f, then %.3f in time",
                     fleets[_i].n_gateways, i, sum_before, sum_after);
    }
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
  tcase_add_test (tc, backlog_does_not_make_all_requests_late);
  tcase_add_test (tc, large_fleet_does_not_overload_same_targets);
  tcase_add_test (tc, late_requests_leave_capacity_in_large_fleet);
  suite_add_tcase (s, tc);
  add_fleets (s, "burst", overload_ends_within_3_s_of_burst);
  add_fleets (s, "burst-above-peak", overload_above_usual_peak_ends_within_3_s);
  add_fleets (s, "twice-the-knee", goodput_at_twice_the_knee_is_kept);
  add_fleets (s, "contended", contended_slots_go_to_urgent_and_small);
  return t_run_suite (s);
}
