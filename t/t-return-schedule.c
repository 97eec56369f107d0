/* Times at which refused callers may return, without a network. */
#include "gateway/peer-returns.h"
#include "harness.h"

#include <math.h>
#include <string.h>

#define NOW_MS 10000
/** A service with 64 slots and requests of 300 ms. */
#define SLOTS 64
#define HOLD_MS 300
#define DRAIN_PER_S (SLOTS * 1000.0 / HOLD_MS)
/** Time between two places at half of that rate. */
#define INTERVAL_MS (2000 / DRAIN_PER_S)
#define REMAINING_MS 6000
/** Longest wait that is given out for capacity that is free now. */
#define MAX_WAIT_MS 1200

static CfReturnSchedule schedule;

static void
teardown (void)
{
  cf_return_schedule_clear (&schedule);
}

static CfReturnRequest
make_request (guint64 key)
{
  CfReturnRequest r = { .key = key, .now_ms = NOW_MS, .opens_ms = NOW_MS };

  r.urgency = 1;
  r.drain_per_s = DRAIN_PER_S;
  r.remaining_ms = REMAINING_MS;
  return r;
}

static gint64
assign_at_rate (guint64 key, double drain_per_s)
{
  CfReturnRequest r = make_request (key);

  r.drain_per_s = drain_per_s;
  return cf_return_schedule_assign (&schedule, &r);
}

static gint64
assign (guint64 key)
{
  return assign_at_rate (key, DRAIN_PER_S);
}

static CfReturnState
check (guint64 key, gint64 now_ms)
{
  gint64 wait_ms;

  return cf_return_schedule_check (&schedule, key, now_ms, &wait_ms);
}

/* Guards against places that several callers get, or that come faster than
 * half of the capacity gets free. */
START_TEST (places_are_given_out_once_at_half_of_the_rate)
{
  gint64 last_ms = 0;
  guint n = MAX_WAIT_MS * DRAIN_PER_S / 2000 - 20;

  for (guint i = 1; i <= n; i++)
    {
      gint64 ms = assign (i);

      ck_assert_int_gt (ms, last_ms);
      ck_assert_double_eq_tol ((double)ms, 100 + (i - 1) * INTERVAL_MS, 1);
      last_ms = ms;
    }
  ck_assert_uint_eq (
      cf_return_schedule_count (&schedule, NOW_MS, NOW_MS + last_ms + 1), n);
  ck_assert_uint_eq (
      cf_return_schedule_count (&schedule, NOW_MS, NOW_MS + last_ms), n - 1);
}
END_TEST

START_TEST (caller_keeps_its_place)
{
  gint64 ms = assign (1);

  ck_assert_int_gt (assign (2), ms);
  ck_assert_int_eq (assign (1), ms);
  ck_assert_uint_eq (cf_return_schedule_count (&schedule, 0, G_MAXINT64), 2);
}
END_TEST

/* Guards against a gap that is not used because sums of intervals are not
 * exact. */
START_TEST (place_of_a_served_caller_is_given_out_again)
{
  gint64 ms[51];

  for (guint64 key = 1; key <= 50; key++)
    ms[key] = assign_at_rate (key, DRAIN_PER_S * 0.9);
  for (guint64 key = 2; key < 50; key += 2)
    {
      cf_return_schedule_remove (&schedule, key);
      ck_assert_int_eq (assign_at_rate (100 + key, DRAIN_PER_S * 0.9), ms[key]);
    }
}
END_TEST

/* What the wait of the first caller depends on. */
typedef struct
{
  const char *name;
  double drain_per_s;
  guint n_ahead;
  gint64 opens_in_ms;
  gint64 remaining_ms;
  gint64 min_ms; /* expected range of the wait */
  gint64 max_ms;
} WaitCase;

static const WaitCase wait_cases[] = {
  { "free", DRAIN_PER_S, 0, 0, 6000, 100, 100 },
  { "behind waiting requests", DRAIN_PER_S, 64, 0, 6000, 599, 601 },
  { "outage", DRAIN_PER_S, 0, 1000, 6000, 1000, 1000 },
  { "long outage", DRAIN_PER_S, 0, 4000, 20000, 4000, 4000 },
  { "behind waiting requests in an outage", DRAIN_PER_S, 64, 1000, 6000, 1599,
    1601 },
  { "caller accepts no more", DRAIN_PER_S, 0, 4000, 6000, 1920, 1920 },
  { "little time left", DRAIN_PER_S, 64, 0, 200, 64, 64 },
  { "no time left", DRAIN_PER_S, 0, 0, -5, 0, 0 },
  { "slow service", 0.1, 5, 0, 60000, MAX_WAIT_MS, MAX_WAIT_MS },
  { "far outage", DRAIN_PER_S, 0, 60000, 600000, CF_RETURN_AHEAD_MAX_MS,
    CF_RETURN_AHEAD_MAX_MS },
  { "unknown rate", 0, 64, 0, 6000, 400, 799 },
  { "unknown rate in an outage", 0, 0, 1000, 6000, 1000, 1399 },
  { "no rate", -1, 0, 0, 6000, 400, 799 },
  { "rate that is not a number", NAN, 0, 0, 6000, 400, 799 },
};

START_TEST (wait_is_true)
{
  const WaitCase *c = &wait_cases[_i];
  CfReturnRequest r = make_request (G_GUINT64_CONSTANT (0x123456789abcdef));
  gint64 ms;

  r.drain_per_s = c->drain_per_s;
  r.n_ahead = c->n_ahead;
  r.opens_ms = NOW_MS + c->opens_in_ms;
  r.remaining_ms = c->remaining_ms;
  ms = cf_return_schedule_assign (&schedule, &r);
  ck_assert_msg (ms >= c->min_ms && ms <= c->max_ms, "%s: %d ms", c->name,
                 (int)ms);
  ck_assert_uint_eq (
      cf_return_schedule_count (&schedule, NOW_MS + ms, NOW_MS + ms + 1), 1);
}
END_TEST

/* Guards against callers of a service whose rate is unknown that all return at
 * once. */
START_TEST (places_are_spread_while_the_rate_is_unknown)
{
  guint n_first = 0;

  for (guint64 key = 0; key < 1000; key++)
    {
      CfReturnRequest r
          = make_request (key * G_GUINT64_CONSTANT (0x9e3779b97f4a7c15));

      r.drain_per_s = 0;
      n_first += cf_return_schedule_assign (&schedule, &r) < 600;
    }
  ck_assert_uint_ge (n_first, 400);
  ck_assert_uint_le (n_first, 600);
}
END_TEST

START_TEST (more_urgent_callers_go_first)
{
  CfReturnRequest urgent = make_request (100);
  CfReturnRequest other = make_request (101);
  gint64 last_ms = 0;

  for (guint64 key = 1; key <= 20; key++)
    last_ms = assign (key);
  urgent.urgency = 0;
  other.urgency = 2;
  ck_assert_int_eq (cf_return_schedule_assign (&schedule, &urgent), 100);
  ck_assert_int_gt (cf_return_schedule_assign (&schedule, &other), last_ms);
}
END_TEST

/* Guards against waits that are longer than needed after an outage has ended,
 * or after a burst. */
START_TEST (places_are_soon_when_capacity_is_free)
{
  CfReturnRequest r = make_request (1);

  r.opens_ms = NOW_MS + 1500;
  ck_assert_int_eq (cf_return_schedule_assign (&schedule, &r), 1500);
  ck_assert_int_eq (assign (2), 100);
  for (guint64 key = 3; key < 300; key++)
    assign (key);
  r = make_request (300);
  r.now_ms = r.opens_ms = NOW_MS + 2000;
  ck_assert_int_eq (cf_return_schedule_assign (&schedule, &r), 100);
}
END_TEST

/** ModelPlace: a place of the reference model below. */
typedef struct
{
  guint64 key;
  gint64 urgency;
  double at_ms;
} ModelPlace;

static int
compare_model_places (gconstpointer a, gconstpointer b)
{
  double x = ((const ModelPlace *)a)->at_ms;
  double y = ((const ModelPlace *)b)->at_ms;

  return (x > y) - (x < y);
}

/* Returns the place that @r gets, without the limit on its wait. */
static double
find_model_place (GArray *places, const CfReturnRequest *r)
{
  double at_ms
      = (double)r->now_ms + MAX (100, r->n_ahead * (double)INTERVAL_MS);

  g_array_sort (places, compare_model_places);
  for (guint i = 0; i < places->len; i++)
    {
      const ModelPlace *p = &g_array_index (places, ModelPlace, i);

      if (p->urgency <= r->urgency && p->at_ms > at_ms - INTERVAL_MS * 0.99
          && p->at_ms < at_ms + INTERVAL_MS * 0.99)
        at_ms = p->at_ms + INTERVAL_MS;
    }
  return at_ms;
}

/* Guards against errors of the search, which skips the time that it knows to be
 * taken. */
START_TEST (places_are_as_in_a_plain_search)
{
  GRand *rand = g_rand_new_with_seed ((guint32)_i);
  GArray *places = g_array_new (FALSE, FALSE, sizeof (ModelPlace));
  CfReturnRequest r = make_request (0);

  for (r.key = 1; r.key < 1500; r.key++)
    {
      ModelPlace p = { .key = r.key };
      gint64 ms;

      r.opens_ms = r.now_ms += g_rand_int_range (rand, 0, 10);
      r.urgency = p.urgency = g_rand_int_range (rand, 0, 3);
      r.n_ahead = (guint)g_rand_int_range (rand, 0, 20);
      p.at_ms = MIN (find_model_place (places, &r),
                     (double)(r.now_ms + MAX_WAIT_MS));
      ms = cf_return_schedule_assign (&schedule, &r);
      ck_assert_msg (ABS ((double)(r.now_ms + ms) - p.at_ms) <= 1,
                     "caller %d: %d ms, not %.1f", (int)r.key, (int)ms,
                     p.at_ms - (double)r.now_ms);
      g_array_append_val (places, p);
      if (g_rand_int_range (rand, 0, 3) > 0)
        continue;
      p = g_array_index (places, ModelPlace,
                         g_rand_int_range (rand, 0, (gint32)places->len));
      cf_return_schedule_remove (&schedule, p.key);
      for (guint i = places->len; i-- > 0;)
        if (g_array_index (places, ModelPlace, i).key == p.key)
          g_array_remove_index (places, i);
    }
  g_array_unref (places);
  g_rand_free (rand);
}
END_TEST

START_TEST (caller_is_due_from_its_time_on)
{
  gint64 ms = assign (1);
  gint64 wait_ms;

  ck_assert_int_eq (check (2, NOW_MS), CF_RETURN_NEW);
  ck_assert_int_eq (
      cf_return_schedule_check (&schedule, 1, NOW_MS + 10, &wait_ms),
      CF_RETURN_EARLY);
  ck_assert_int_eq (wait_ms, ms - 10);
  ck_assert_int_eq (check (1, NOW_MS + ms - 51), CF_RETURN_EARLY);
  ck_assert_int_eq (check (1, NOW_MS + ms - 50), CF_RETURN_DUE);
  ck_assert_int_eq (check (1, NOW_MS + ms + 2000), CF_RETURN_DUE);
  ck_assert_int_eq (check (1, NOW_MS + ms + 2001), CF_RETURN_NEW);
  ck_assert (cf_return_schedule_is_empty (&schedule, NOW_MS + ms + 2001));
}
END_TEST

START_TEST (served_caller_is_new_again)
{
  assign (1);
  assign (2);
  cf_return_schedule_remove (&schedule, 1);
  cf_return_schedule_remove (&schedule, 1);
  ck_assert_int_eq (check (1, NOW_MS), CF_RETURN_NEW);
  ck_assert_int_eq (check (2, NOW_MS), CF_RETURN_EARLY);
  /* Its place is free again. */
  ck_assert_int_eq (assign (3), 100);
}
END_TEST

START_TEST (places_are_bounded)
{
  CfReturnRequest r = make_request (0);

  for (r.key = 1; r.key <= CF_RETURN_PLACES_MAX + 100; r.key++)
    {
      r.opens_ms = NOW_MS + (gint64)r.key / 8;
      r.drain_per_s = 0;
      cf_return_schedule_assign (&schedule, &r);
    }
  ck_assert_uint_eq (cf_return_schedule_count (&schedule, 0, G_MAXINT64),
                     CF_RETURN_PLACES_MAX);
  ck_assert_int_eq (check (CF_RETURN_PLACES_MAX + 99, NOW_MS), CF_RETURN_EARLY);
}
END_TEST

static void
put_peer (guint64 key, gint64 due_in_ms, gboolean is_unsent)
{
  CfReturnPlace p = { .key = key, .due_ms = NOW_MS + due_in_ms, .urgency = 1 };

  p.is_unsent = is_unsent;
  cf_return_schedule_put_peer (&schedule, &p, NOW_MS);
}

START_TEST (place_from_a_peer_is_honoured)
{
  put_peer (1, 300, FALSE);
  ck_assert_int_eq (check (1, NOW_MS + 100), CF_RETURN_EARLY);
  ck_assert_int_eq (check (1, NOW_MS + 300), CF_RETURN_DUE);
  /* It uses the peer's share of the capacity, not this gateway's. */
  ck_assert_int_eq (assign (2), 100);
  /* The caller came for it, at yet another gateway, and was refused again. */
  put_peer (1, 900, FALSE);
  ck_assert_int_eq (check (1, NOW_MS + 300), CF_RETURN_EARLY);
  /* A copy of the first place arrives late. */
  put_peer (1, 310, FALSE);
  ck_assert_int_eq (check (1, NOW_MS + 310), CF_RETURN_EARLY);
}
END_TEST

/* Guards against a late copy of an own place that moves it, so that its caller
 * counts as early when it comes as told. */
START_TEST (own_place_is_not_moved_by_its_echo)
{
  gint64 ms = assign (1);

  put_peer (1, ms + 51, TRUE);
  put_peer (1, ms + 99, TRUE);
  ck_assert_int_eq (check (1, NOW_MS + ms - 50), CF_RETURN_DUE);
  ck_assert_int_gt (assign (2), ms);
  /* Another place, which a peer gave to the same caller. */
  put_peer (1, ms + 100, FALSE);
  ck_assert_int_eq (check (1, NOW_MS + ms), CF_RETURN_EARLY);
  ck_assert_int_eq (check (1, NOW_MS + ms + 50), CF_RETURN_DUE);
}
END_TEST

/* Guards against places that go in a circle, or that peers do not get. */
START_TEST (places_are_sent_to_peers_once)
{
  CfReturnRequest anonymous = make_request (5);
  CfReturnPlace p;

  anonymous.is_anonymous = TRUE;
  assign (1);
  assign (2);
  cf_return_schedule_assign (&schedule, &anonymous);
  put_peer (3, 300, TRUE);
  put_peer (4, 300, FALSE);
  put_peer (1, 101, TRUE);
  cf_return_schedule_remove (&schedule, 2);
  ck_assert (cf_return_schedule_take_unsent (&schedule, NOW_MS, &p));
  ck_assert_uint_eq (p.key, 1);
  ck_assert_int_eq (p.due_ms, NOW_MS + 100);
  ck_assert (cf_return_schedule_take_unsent (&schedule, NOW_MS, &p));
  ck_assert_uint_eq (p.key, 3);
  ck_assert (!cf_return_schedule_take_unsent (&schedule, NOW_MS, &p));
  put_peer (3, 310, TRUE);
  ck_assert (!cf_return_schedule_take_unsent (&schedule, NOW_MS, &p));
  /* Of no use to peers: its caller comes before they know it. */
  put_peer (6, 150, TRUE);
  put_peer (7, 151, TRUE);
  ck_assert (cf_return_schedule_take_unsent (&schedule, NOW_MS + 100, &p));
  ck_assert_uint_eq (p.key, 7);
  ck_assert (!cf_return_schedule_take_unsent (&schedule, NOW_MS + 100, &p));
}
END_TEST

/* What peers tell of their places, at the first or the fourth gateway. */
static const char settings_format[]
    = "ip=1.1.1.1\nlisten.front=1.1.1.1:8\nlisten.ready=1.1.1.1:9\n"
      "listen.control=%s\nplatform.addr=1.1.1.9:1\n"
      "seed-addrs=1.1.1.1:1,1.1.1.2:1,1.1.1.3:1\n";
static const char policy[] = "{\"version\":1,\"routes\":[],\"services\":["
                             "{\"name\":\"s\",\"max-conns\":9},"
                             "{\"name\":\"r\",\"max-conns\":9}]}";

static CfGateway gateway;
static CfServiceState *state;

static void
init_gateway (const char *control_addr)
{
  g_autofree char *text = g_strdup_printf (settings_format, control_addr);
  CfPlatformSettings set;

  ck_assert_int_eq (cf_platform_settings_parse (text, CF_ROLE_GATEWAY, &set),
                    CF_OK);
  cf_gateway_init (&gateway, NULL, &set);
  gateway.now_ms = NOW_MS;
  cf_gateway_apply_policy (&gateway, policy, strlen (policy),
                           (CfStorePosition){ 1, 1 }, "store");
  state = cf_gateway_service_state (&gateway, "s");
}

/* Takes a place of @key from @peer. */
static void
take (const char *service, guint64 key, gint64 due_in_ms, gint64 urgency,
      const char *peer)
{
  GArray *a = g_array_new (FALSE, FALSE, sizeof (CfPeerReturn));
  CfPeerReturn r = { { service, strlen (service) }, key, due_in_ms, urgency };

  g_array_append_val (a, r);
  cf_peer_returns_take (&gateway, a, peer);
  g_array_unref (a);
}

static guint
count_places (void)
{
  return cf_return_schedule_count (&state->returns, G_MININT64, G_MAXINT64);
}

START_TEST (places_out_of_range_are_dropped)
{
  init_gateway ("1.1.1.1:1");
  take ("s", 1, -1, 0, "1.1.1.2:1");
  take ("s", 2, G_MININT64, 0, "1.1.1.2:1");
  take ("s", 3, CF_RETURN_AHEAD_MAX_MS + 1, 0, "1.1.1.2:1");
  take ("s", 4, G_MAXINT64, 0, "1.1.1.2:1");
  take ("s", 5, 100, -1, "1.1.1.2:1");
  ck_assert_uint_eq (gateway.dropped.n_dropped[CF_READING_RETURN], 5);
  ck_assert_uint_eq (count_places (), 0);
  /* Peers may have a newer configuration; its services are not known here. */
  take ("other", 6, 100, 0, "1.1.1.2:1");
  ck_assert (!g_hash_table_lookup (gateway.service_states, "other"));
  take ("s", 7, 0, 0, "1.1.1.2:1");
  take ("s", 8, CF_RETURN_AHEAD_MAX_MS, G_MAXINT64, NULL);
  ck_assert_uint_eq (gateway.dropped.n_dropped[CF_READING_RETURN], 5);
  ck_assert_uint_eq (count_places (), 2);
  cf_gateway_clear (&gateway);
}
END_TEST

/* Returns how many places the next hello carries. */
static guint
count_collected (void)
{
  GArray *a = cf_peer_returns_collect (&gateway);
  guint n = a ? a->len : 0;

  if (a)
    g_array_unref (a);
  return n;
}

/* Guards against places that seeds send each other in a circle. */
START_TEST (only_seeds_forward_and_only_from_gateways_without_links)
{
  init_gateway ("1.1.1.1:1");
  take ("s", 1, 500, 0, "1.1.1.2:1");
  ck_assert_uint_eq (count_collected (), 0);
  take ("s", 2, 500, 0, "1.1.1.4:1");
  ck_assert_uint_eq (count_collected (), 1);
  take ("s", 2, 510, 0, "1.1.1.4:1");
  ck_assert_uint_eq (count_collected (), 0);
  cf_gateway_clear (&gateway);
  init_gateway ("1.1.1.4:1");
  take ("s", 1, 500, 0, "1.1.1.2:1");
  take ("s", 2, 500, 0, "1.1.1.5:1");
  ck_assert_uint_eq (count_collected (), 0);
  cf_gateway_clear (&gateway);
}
END_TEST

START_TEST (hello_carries_a_bounded_number_of_places)
{
  init_gateway ("1.1.1.1:1");
  for (guint i = 0; i < CF_PEER_RETURNS_MAX + 3; i++)
    take ("s", i, 500, 0, "1.1.1.4:1");
  ck_assert_uint_eq (count_collected (), CF_PEER_RETURNS_MAX);
  ck_assert (gateway.has_new_returns);
  ck_assert_uint_eq (count_collected (), 3);
  ck_assert (!gateway.has_new_returns);
  cf_gateway_clear (&gateway);
}
END_TEST

/* Guards against a service whose places fill each hello, so that peers never
 * learn of those of another service. */
START_TEST (services_go_first_in_turn)
{
  guint n_of_r[2] = { 0 };

  init_gateway ("1.1.1.1:1");
  for (guint i = 0; i < 2 * CF_PEER_RETURNS_MAX; i++)
    {
      take ("s", i, 500, 0, "1.1.1.4:1");
      take ("r", i, 500, 0, "1.1.1.4:1");
    }
  for (guint hello = 0; hello < 2; hello++)
    {
      GArray *a = cf_peer_returns_collect (&gateway);

      ck_assert_uint_eq (a->len, CF_PEER_RETURNS_MAX);
      for (guint i = 0; i < a->len; i++)
        n_of_r[hello]
            += *g_array_index (a, CfPeerReturn, i).service.data == 'r';
      g_array_unref (a);
    }
  ck_assert_uint_eq (n_of_r[0] + n_of_r[1], CF_PEER_RETURNS_MAX);
  cf_gateway_clear (&gateway);
}
END_TEST

/* Simulation of one gateway in front of a service with SLOTS slots. */
#define QUEUE_MAX SLOTS
/** How long a request may be queued. */
#define QUEUE_WAIT_MS 300
#define BURST_START_MS 2000
#define BURST_MS 2500
#define END_MS 12000
#define LOAD 0.7
#define BURST_LOAD 0.8

typedef struct
{
  GRand *rand;
  GQueue ends;           /* of times at which running requests end */
  GQueue queues[2];      /* of times since which requests wait: new callers,
                            and those that have returned */
  GArray *returns_by_ms; /* of guint: how many callers return in each ms */
  guint n_returned;
  guint n_refused;
  guint n_refused_again;
  gint64 sum_wait_ms;
} Simulation;

static void
refuse (Simulation *sim, gint64 now_ms, gboolean has_returned)
{
  CfReturnRequest r = make_request (0);
  gint64 ms;

  if (has_returned)
    {
      sim->n_refused_again++;
      return;
    }
  r.key = ((guint64)g_rand_int (sim->rand) << 32) | g_rand_int (sim->rand);
  r.now_ms = r.opens_ms = now_ms;
  r.remaining_ms = 3000;
  r.n_ahead = sim->queues[0].length + sim->queues[1].length;
  ms = cf_return_schedule_assign (&schedule, &r);
  sim->n_refused++;
  sim->sum_wait_ms += ms;
  g_array_index (sim->returns_by_ms, guint, now_ms + ms)++;
}

static void
arrive (Simulation *sim, gint64 now_ms, gboolean has_returned)
{
  sim->n_returned += has_returned;
  if (sim->queues[0].length + sim->queues[1].length >= QUEUE_MAX)
    {
      if (!has_returned || sim->queues[0].length == 0)
        {
          refuse (sim, now_ms, has_returned);
          return;
        }
      g_queue_pop_tail (&sim->queues[0]);
      refuse (sim, now_ms, FALSE);
    }
  g_queue_push_tail (&sim->queues[has_returned], GINT_TO_POINTER (now_ms));
}

/* Ends running requests, starts waiting ones, callers that have returned first,
 * and refuses those that have waited too long. */
static void
serve (Simulation *sim, gint64 now_ms)
{
  while (sim->ends.length > 0
         && GPOINTER_TO_INT (sim->ends.head->data) <= now_ms)
    g_queue_pop_head (&sim->ends);
  for (int kind = 1; kind >= 0; kind--)
    {
      GQueue *q = &sim->queues[kind];

      while (q->length > 0 && sim->ends.length < SLOTS)
        {
          g_queue_pop_head (q);
          g_queue_push_tail (&sim->ends, GINT_TO_POINTER (now_ms + HOLD_MS));
        }
      while (q->length > 0
             && now_ms - GPOINTER_TO_INT (q->head->data) >= QUEUE_WAIT_MS)
        {
          g_queue_pop_head (q);
          refuse (sim, now_ms, kind);
        }
    }
}

static void
simulate_burst (Simulation *sim, guint32 seed)
{
  sim->rand = g_rand_new_with_seed (seed);
  sim->returns_by_ms = g_array_new (FALSE, TRUE, sizeof (guint));
  g_array_set_size (sim->returns_by_ms, 2 * END_MS);
  for (gint64 now = 0; now < END_MS; now++)
    {
      gboolean is_burst
          = now >= BURST_START_MS && now < BURST_START_MS + BURST_MS;
      double load = is_burst ? LOAD + BURST_LOAD : LOAD;

      for (guint n = g_array_index (sim->returns_by_ms, guint, now); n > 0; n--)
        arrive (sim, now, TRUE);
      if (g_rand_double (sim->rand) < load * DRAIN_PER_S / 1000)
        arrive (sim, now, FALSE);
      serve (sim, now);
    }
  g_queue_clear (&sim->ends);
  g_queue_clear (&sim->queues[0]);
  g_queue_clear (&sim->queues[1]);
  g_array_unref (sim->returns_by_ms);
  g_rand_free (sim->rand);
}

/* Guards against callers who return when told and are refused again: with
 * constant times, 90 of 148. */
START_TEST (callers_that_return_after_a_burst_are_served)
{
  for (guint32 seed = 1; seed <= 5; seed++)
    {
      Simulation sim = { 0 };

      simulate_burst (&sim, seed);
      if (g_getenv ("T_TRACE"))
        g_printerr ("seed %u: %u refused, told to wait for %d ms on average; "
                    "%u returned, %u of them refused again\n",
                    seed, sim.n_refused,
                    (int)(sim.sum_wait_ms / MAX (sim.n_refused, 1)),
                    sim.n_returned, sim.n_refused_again);
      ck_assert_uint_ge (sim.n_returned, 148);
      ck_assert_uint_le (sim.n_refused_again * 10, sim.n_returned);
      teardown ();
    }
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("return-schedule");
  TCase *t = tcase_create ("return-schedule");

  tcase_add_checked_fixture (t, NULL, teardown);
  tcase_add_test (t, places_are_given_out_once_at_half_of_the_rate);
  tcase_add_test (t, caller_keeps_its_place);
  tcase_add_test (t, place_of_a_served_caller_is_given_out_again);
  tcase_add_loop_test (t, wait_is_true, 0, G_N_ELEMENTS (wait_cases));
  tcase_add_test (t, places_are_spread_while_the_rate_is_unknown);
  tcase_add_test (t, more_urgent_callers_go_first);
  tcase_add_test (t, places_are_soon_when_capacity_is_free);
  tcase_add_loop_test (t, places_are_as_in_a_plain_search, 0, 8);
  tcase_add_test (t, caller_is_due_from_its_time_on);
  tcase_add_test (t, served_caller_is_new_again);
  tcase_add_test (t, places_are_bounded);
  tcase_add_test (t, place_from_a_peer_is_honoured);
  tcase_add_test (t, own_place_is_not_moved_by_its_echo);
  tcase_add_test (t, places_are_sent_to_peers_once);
  tcase_add_test (t, places_out_of_range_are_dropped);
  tcase_add_test (t, only_seeds_forward_and_only_from_gateways_without_links);
  tcase_add_test (t, hello_carries_a_bounded_number_of_places);
  tcase_add_test (t, services_go_first_in_turn);
  tcase_add_test (t, callers_that_return_after_a_burst_are_served);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
