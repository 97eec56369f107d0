/* Target table, wait queue, and the choice of a target for a request. */
#include "gateway/balancer.h"
#include "gateway/rank.h"
#include "gateway/wait-queue.h"
#include "harness.h"
#include "target-harness.h"

#include <stdlib.h>

#include <string.h>

static CfTargetTable table;

static CfTargetChange
put (const char *id, const char *service, const char *dc, const char *addr,
     gboolean leaving, gint64 rev)
{
  return t_put_target (&table, &(TTargetSpec){ .id = id,
                                               .service = service,
                                               .data_centre = dc,
                                               .addr = addr,
                                               .leaving = leaving,
                                               .rev = rev });
}

static CfTarget *
get (const char *id)
{
  return t_get_target (&table, id);
}

static CfPickResult
pick (gint64 now, const GPtrArray *tried, CfTarget **t)
{
  const CfPickInput in = { .service = "s",
                           .data_centre = "dc1",
                           .tried = tried,
                           .now_ms = now,
                           .n_gateways = 1 };

  return cf_balancer_pick (&table, &in, t);
}

static double
rate_limit_per_s (gint64 now)
{
  const CfPickInput in
      = { .service = "s", .now_ms = now, .fleet_position = { 0, 1 } };

  return cf_balancer_rate_limit_per_s (&table, &in);
}

static gint64
pause_ms (const char *service, const GPtrArray *tried)
{
  const CfPickInput in = { .service = service, .tried = tried };

  return cf_balancer_pause_ms (&table, &in);
}

static void
setup (void)
{
  cf_target_table_init (&table);
  put ("a", "s", "dc1", "1.1.1.1:1", FALSE, 1);
  put ("b", "s", "dc2", "1.1.1.2:1", FALSE, 2);
  put ("c", "s", "dc2", "1.1.1.3:1", FALSE, 3);
  put ("x", "other", "dc1", "1.1.1.4:1", FALSE, 4);
}

static void
teardown (void)
{
  cf_target_table_clear (&table);
}

START_TEST (least_loaded_target_is_picked)
{
  CfTarget *t;

  ck_assert_int_eq (pick (0, NULL, &t), CF_PICK_OK);
  ck_assert_str_eq (t->record.id, "a"); /* the one in dc1, among equals */
  t_set_in_flight (get ("a"), 2, 0);
  t_set_in_flight (get ("b"), 1, 0);
  t_set_in_flight (get ("c"), 3, 0);
  ck_assert_int_eq (pick (0, NULL, &t), CF_PICK_OK);
  ck_assert_str_eq (t->record.id, "b");
}
END_TEST

START_TEST (load_is_spread_evenly)
{
  for (int i = 0; i < 15; i++)
    {
      CfTarget *t;

      ck_assert_int_eq (pick (0, NULL, &t), CF_PICK_OK);
      cf_target_request_started (t, 0);
    }
  ck_assert_uint_eq (get ("a")->in_flight, 5);
  ck_assert_uint_eq (get ("b")->in_flight, 5);
  ck_assert_uint_eq (get ("c")->in_flight, 5);
}
END_TEST

START_TEST (slow_target_gets_fewer_requests)
{
  get ("a")->slowdown = 4;
  for (int i = 0; i < 10; i++)
    {
      CfTarget *t;

      ck_assert_int_eq (pick (0, NULL, &t), CF_PICK_OK);
      cf_target_request_started (t, 0);
    }
  ck_assert_uint_le (get ("a")->in_flight, 1);
}
END_TEST

/* A slow rank holds up its whole group; while most targets are healthy,
 * requests wait for capacity at one of them. */
START_TEST (slow_target_is_avoided_while_others_are_full)
{
  CfTarget *t;

  get ("a")->slowdown = 12;
  t_set_in_flight (get ("b"), 5, 0);
  t_set_in_flight (get ("c"), 5, 0);
  ck_assert_int_eq (pick (0, NULL, &t), CF_PICK_FULL);
  t_set_in_flight (get ("b"), 4, 0);
  ck_assert_int_eq (pick (0, NULL, &t), CF_PICK_OK);
  ck_assert_str_eq (t->record.id, "b");
  /* Most targets are slow, so that a slow one is used. */
  t_set_in_flight (get ("b"), 5, 0);
  get ("c")->slowdown = 12;
  ck_assert_int_eq (pick (0, NULL, &t), CF_PICK_OK);
  ck_assert_str_eq (t->record.id, "a");
}
END_TEST

/* Ranks of an incomplete group refuse at once and so always are the least
 * loaded: without this check, a third of the requests of their data centre were
 * lost. */
START_TEST (ranks_of_broken_group_are_avoided)
{
  const CfRankStatus s = { .slowdown = 1 };
  CfTarget *t;

  get ("b")->in_flight = 1;
  get ("c")->in_flight = 1;
  /* A group whose rank is being replaced is complete again soon. */
  get ("a")->slowdown = cf_rank_routing_slowdown (&s, 2000);
  ck_assert_int_eq (pick (100, NULL, &t), CF_PICK_OK);
  ck_assert_ptr_eq (t, get ("a"));
  get ("a")->slowdown = cf_rank_routing_slowdown (&s, 60000);
  ck_assert_int_eq (pick (100, NULL, &t), CF_PICK_OK);
  ck_assert_ptr_ne (t, get ("a"));
  get ("a")->slowdown = cf_rank_routing_slowdown (&s, 0);
  ck_assert_int_eq (pick (100, NULL, &t), CF_PICK_OK);
  ck_assert_ptr_eq (t, get ("a"));
}
END_TEST

/* A frozen VM accepts requests and processes none of them: in a stall of four
 * seconds, 40 requests whose callers had gone piled up there. */
START_TEST (stalled_targets_get_no_requests)
{
  CfPickInput in = { .service = "s",
                     .data_centre = "dc1",
                     .now_ms = 1000,
                     .n_gateways = 1,
                     .stall_timeout_ms = 300 };
  CfTarget *t;

  t_set_in_flight (get ("a"), 1, 600);
  t_set_in_flight (get ("b"), 3, 0);
  cf_target_record_progress (get ("b"), 950);
  t_set_in_flight (get ("c"), 3, 0);
  cf_target_record_progress (get ("c"), 950);
  ck_assert_int_eq (cf_balancer_pick (&table, &in, &t), CF_PICK_OK);
  ck_assert_str_ne (t->record.id, "a");
  /* It is not stalled if it has sent something or has no requests. */
  cf_target_record_progress (get ("a"), 900);
  ck_assert_int_eq (cf_balancer_pick (&table, &in, &t), CF_PICK_OK);
  ck_assert_str_eq (t->record.id, "a");
  cf_target_record_progress (get ("a"), 0);
  t_set_in_flight (get ("a"), 0, 0);
  ck_assert_int_eq (cf_balancer_pick (&table, &in, &t), CF_PICK_OK);
  ck_assert_str_eq (t->record.id, "a");
  /* All are stalled: one of them is used. */
  in.now_ms = 5000;
  t_set_in_flight (get ("a"), 1, 0);
  ck_assert_int_eq (cf_balancer_pick (&table, &in, &t), CF_PICK_OK);
}
END_TEST

/* A target whose requests were all retried elsewhere is not idle. */
START_TEST (frozen_target_gets_one_request_after_its_retries)
{
  CfPickInput in = {
    .service = "s", .now_ms = 1700, .n_gateways = 1, .stall_timeout_ms = 300
  };
  g_autoptr (GPtrArray) tried = g_ptr_array_new ();
  CfTarget *t;

  t_set_in_flight (get ("a"), 4, 100);
  t_set_in_flight (get ("b"), 3, 100);
  t_set_in_flight (get ("c"), 3, 100);
  cf_target_record_progress (get ("a"), 500);
  cf_target_record_progress (get ("b"), 1650);
  cf_target_record_progress (get ("c"), 1650);
  t_set_in_flight (get ("a"), 0, 1700);
  ck_assert_int_eq (cf_balancer_pick (&table, &in, &t), CF_PICK_OK);
  ck_assert_str_eq (t->record.id, "a");
  /* A retry is not sent there. */
  g_ptr_array_add (tried, get ("b"));
  in.tried = tried;
  ck_assert_int_eq (cf_balancer_pick (&table, &in, &t), CF_PICK_OK);
  ck_assert_str_eq (t->record.id, "c");
  in.tried = NULL;
  t_set_in_flight (get ("a"), 1, 1700);
  ck_assert_int_eq (cf_balancer_pick (&table, &in, &t), CF_PICK_OK);
  ck_assert_str_ne (t->record.id, "a");
  /* Its first event ends that. */
  cf_target_record_progress (get ("a"), 1690);
  ck_assert_int_eq (cf_balancer_pick (&table, &in, &t), CF_PICK_OK);
  ck_assert_str_eq (t->record.id, "a");
}
END_TEST

/* Late requests do not use all of a target's capacity. */
START_TEST (late_requests_leave_capacity)
{
  const CfPickInput in
      = { .service = "other", .n_gateways = 1, .yields = TRUE };
  CfTarget *t;

  t_set_in_flight (get ("x"), 2, 0); /* of 5 that it may have */
  ck_assert_int_eq (cf_balancer_pick (&table, &in, &t), CF_PICK_OK);
  t_set_in_flight (get ("x"), 3, 0);
  ck_assert_int_eq (cf_balancer_pick (&table, &in, &t), CF_PICK_FULL);
}
END_TEST

/* With 35 gateways and 192 targets of 6 slots, a gateway's share is 33 slots in
 * total, and one request at each target.  Late requests are sent while at most
 * 24 are in flight; beyond that only others are. */
START_TEST (late_requests_leave_capacity_in_large_fleet)
{
  CfTargetTable targets;
  CfPickInput in = { .service = "s", .now_ms = 100, .n_gateways = 35 };
  CfTarget *t;

  cf_target_table_init (&targets);
  t_put_targets (&targets, 192, 6);
  in.yields = TRUE;
  in.in_flight = 24;
  ck_assert_int_eq (cf_balancer_pick (&targets, &in, &t), CF_PICK_OK);
  in.in_flight = 25;
  ck_assert_int_eq (cf_balancer_pick (&targets, &in, &t), CF_PICK_FULL);
  /* A gateway with a larger share of the slots has as much more of them for
   * yielding requests. */
  in.share_fraction = 2 / 35.0;
  ck_assert_int_eq (cf_balancer_pick (&targets, &in, &t), CF_PICK_OK);
  in.in_flight = 49;
  ck_assert_int_eq (cf_balancer_pick (&targets, &in, &t), CF_PICK_OK);
  in.in_flight = 50;
  ck_assert_int_eq (cf_balancer_pick (&targets, &in, &t), CF_PICK_FULL);
  in.share_fraction = 0;
  in.yields = FALSE;
  ck_assert_int_eq (cf_balancer_pick (&targets, &in, &t), CF_PICK_OK);
  cf_target_table_clear (&targets);
}
END_TEST

/* All gateways together fill a target's slots, but not its queue. */
START_TEST (slots_are_divided_among_gateways)
{
  ck_assert_uint_eq (cf_balancer_max_in_flight (12, 0, 1), 15);
  ck_assert_uint_eq (cf_balancer_max_in_flight (12, 0, 3), 5);
  ck_assert_uint_eq (cf_balancer_max_in_flight (6, 0, 4), 2);
  ck_assert_uint_eq (cf_balancer_max_in_flight (6, 0, 40), 1);
  /* Few connections: a gateway uses no more than its share of them. */
  ck_assert_uint_eq (cf_balancer_max_in_flight (12, 9, 3), 3);
  ck_assert_uint_eq (cf_balancer_max_in_flight (12, 408, 3), 5);
  ck_assert_uint_eq (cf_balancer_max_in_flight (12, 2, 4), 1);
}
END_TEST

/* Returns the number of requests that a gateway with @in sends a target of
 * @slots slots before it takes it for full. */
static guint
count_until_full (const CfPickInput *in, gint64 slots)
{
  CfTargetTable targets;
  CfTarget *t;
  guint n = 0;

  cf_target_table_init (&targets);
  t_put_targets (&targets, 1, slots);
  for (; cf_balancer_pick (&targets, in, &t) == CF_PICK_OK; n++)
    cf_target_request_started (t, 0);
  cf_target_table_clear (&targets);
  return n;
}

/* One gateway of the fleet has nine tenths of the slots, the others an even
 * part. */
static const struct
{
  gint64 slots;
  gint64 max_conns;
  guint n_gateways;
  guint n_flooded; /* requests of the flooded gateway */
} conns[] = {
  { 12, 13, 8, 1 }, { 12, 35, 8, 4 }, { 12, 36, 8, 14 }, { 12, 408, 8, 14 },
  { 6, 18, 8, 7 },  { 6, 18, 16, 1 }, { 40, 80, 8, 10 },
};

/* Guards against a skew that makes targets reset connections. */
START_TEST (skewed_shares_do_not_exceed_connections)
{
  CfPickInput in = { .service = "s" };
  guint n_flooded;
  guint n_other;

  in.n_gateways = conns[_i].n_gateways;
  in.max_conns = conns[_i].max_conns;
  n_other = count_until_full (&in, conns[_i].slots);
  in.share_fraction = 0.9;
  n_flooded = count_until_full (&in, conns[_i].slots);
  ck_assert_uint_eq (n_flooded, conns[_i].n_flooded);
  ck_assert_uint_le (n_flooded + (in.n_gateways - 1) * n_other, in.max_conns);
}
END_TEST

/* After a crash, the entry of the previous instance stays listed for a while.
 */
START_TEST (only_newest_instance_at_address_gets_requests)
{
  CfTarget *t;

  put ("b2", "s", "dc2", "1.1.1.2:1", FALSE, 7);
  ck_assert (get ("b")->replaced);
  ck_assert (!get ("b2")->replaced);
  /* The order in which the list names the two does not matter. */
  put ("c0", "s", "dc2", "1.1.1.3:1", FALSE, 2);
  ck_assert (get ("c0")->replaced);
  ck_assert (!get ("c")->replaced);
  for (int i = 0; i < 12; i++)
    {
      ck_assert_int_eq (pick (0, NULL, &t), CF_PICK_OK);
      ck_assert (!t->replaced);
      cf_target_request_started (t, 0);
    }
  /* The address is taken over by another service. */
  put ("a2", "other", "dc1", "1.1.1.1:1", FALSE, 9);
  ck_assert (get ("a")->replaced);
  ck_assert_ptr_eq (cf_target_table_lookup_addr (&table, "1.1.1.1:1"),
                    get ("a2"));
  cf_target_table_remove (&table, "a2");
  ck_assert_ptr_null (cf_target_table_lookup_addr (&table, "1.1.1.1:1"));
  ck_assert (get ("a")->replaced);
}
END_TEST

START_TEST (leaving_and_tried_targets_are_excluded)
{
  GPtrArray *tried = g_ptr_array_new ();
  CfTarget *t;

  ck_assert_int_eq (put ("a", "s", "dc1", "1.1.1.1:1", TRUE, 9),
                    CF_TARGET_LEAVING);
  g_ptr_array_add (tried, get ("b"));
  for (int i = 0; i < 5; i++)
    {
      ck_assert_int_eq (pick (0, tried, &t), CF_PICK_OK);
      ck_assert_str_eq (t->record.id, "c");
    }
  g_ptr_array_add (tried, get ("c"));
  ck_assert_int_eq (pick (0, tried, &t), CF_PICK_NO_TARGET);
  g_ptr_array_free (tried, TRUE);
}
END_TEST

START_TEST (full_targets_are_not_picked)
{
  CfTarget *t;

  t_set_in_flight (get ("a"), 5, 0);
  t_set_in_flight (get ("b"), 5, 0);
  get ("c")->full_until_ms = 100;
  ck_assert_int_eq (pick (99, NULL, &t), CF_PICK_FULL);
  ck_assert_int_eq (pick (100, NULL, &t), CF_PICK_OK);
}
END_TEST

/* An ejection may be wrong: when all targets are ejected they are used. */
START_TEST (ejected_targets_are_last_resort)
{
  CfTarget *t;

  for (int i = 0; i < CF_OUTLIER_FAILURE_THRESHOLD; i++)
    {
      cf_outlier_record_failure (&get ("a")->outlier, 0);
      cf_outlier_record_failure (&get ("b")->outlier, 0);
    }
  for (int i = 0; i < 5; i++)
    {
      ck_assert_int_eq (pick (1, NULL, &t), CF_PICK_OK);
      ck_assert_str_eq (t->record.id, "c");
    }
  cf_target_table_remove (&table, "c");
  ck_assert_int_eq (pick (1, NULL, &t), CF_PICK_OK);
}
END_TEST

START_TEST (stale_and_invalid_records_are_dropped)
{
  ck_assert_int_eq (put ("a", "s", "dc1", "1.1.1.1:1", TRUE, 0),
                    CF_TARGET_SAME);
  ck_assert (!get ("a")->record.leaving);
  ck_assert_int_eq (put ("n", "s", "dc1", "nowhere", FALSE, 9), CF_TARGET_BAD);
  ck_assert_ptr_null (get ("n"));
  /* The same id at another address is another target. */
  ck_assert_int_eq (put ("a", "s", "dc1", "1.1.1.9:1", FALSE, 10),
                    CF_TARGET_NEW);
  ck_assert_str_eq (get ("a")->record.addr, "1.1.1.9:1");
}
END_TEST

START_TEST (removed_target_stays_valid_while_referenced)
{
  CfTarget *t = cf_target_ref (get ("a"));

  ck_assert (cf_target_table_remove (&table, "a"));
  ck_assert (!t->listed);
  ck_assert_str_eq (t->record.id, "a");
  cf_target_unref (t);
}
END_TEST

START_TEST (urgent_waiters_come_first)
{
  CfWaitQueue q;
  CfWaiter w[4] = {
    { .priority = 2 }, { .priority = 1 }, { .priority = 2 }, { .priority = 0 }
  };
  CfWaiter *evicted;

  cf_wait_queue_init (&q);
  for (int i = 0; i < 3; i++)
    ck_assert (cf_wait_queue_add (&q, &w[i], 3, &evicted));
  ck_assert_ptr_eq (TAILQ_FIRST (&q.waiters), &w[1]);
  /* Full: a more urgent waiter evicts the last of the least urgent ones. */
  ck_assert (cf_wait_queue_add (&q, &w[3], 3, &evicted));
  ck_assert_ptr_eq (evicted, &w[2]);
  ck_assert_ptr_eq (TAILQ_FIRST (&q.waiters), &w[3]);
  ck_assert (!cf_wait_queue_add (&q, &w[2], 3, &evicted));
  cf_wait_queue_remove (&q, &w[3]);
  ck_assert_ptr_eq (TAILQ_FIRST (&q.waiters), &w[1]);
}
END_TEST

static CfWaiter *
first_at (const CfWaitQueue *q, gint64 now_ms, gboolean overloaded)
{
  CfQueueContext c = { .now_ms = now_ms, .overloaded = overloaded };

  return cf_wait_queue_first (q, &c);
}

START_TEST (on_time_waiters_come_first)
{
  CfWaitQueue q;
  CfWaiter older = { .priority = 1, .objective_send_by_ms = 100 };
  CfWaiter newer = { .priority = 1, .objective_send_by_ms = 400 };
  CfWaiter *evicted;

  cf_wait_queue_init (&q);
  cf_wait_queue_add (&q, &older, 9, &evicted);
  cf_wait_queue_add (&q, &newer, 9, &evicted);
  ck_assert_ptr_eq (first_at (&q, 100, FALSE), &older);
  ck_assert_ptr_eq (first_at (&q, 101, FALSE), &newer);
  ck_assert_ptr_eq (first_at (&q, 401, FALSE), &older);
  cf_wait_queue_remove (&q, &older);
  cf_wait_queue_remove (&q, &newer);
  ck_assert_ptr_null (first_at (&q, 401, FALSE));
}
END_TEST

/* In order of arrival, each request would be sent just as it becomes late. */
START_TEST (newest_waiter_goes_first_in_overload)
{
  CfWaitQueue q;
  CfWaiter late = { .priority = 0, .objective_send_by_ms = 50 };
  CfWaiter older = { .priority = 1, .objective_send_by_ms = 300 };
  CfWaiter newer = { .priority = 1, .objective_send_by_ms = 400 };
  CfWaiter low = { .priority = 2, .objective_send_by_ms = 500 };
  CfWaiter *evicted;

  cf_wait_queue_init (&q);
  cf_wait_queue_add (&q, &late, 9, &evicted);
  cf_wait_queue_add (&q, &older, 9, &evicted);
  cf_wait_queue_add (&q, &newer, 9, &evicted);
  cf_wait_queue_add (&q, &low, 9, &evicted);
  ck_assert_ptr_eq (first_at (&q, 100, TRUE), &newer);
  ck_assert_ptr_eq (first_at (&q, 100, FALSE), &older);
  ck_assert_ptr_eq (first_at (&q, 401, TRUE), &low);
  ck_assert_ptr_eq (first_at (&q, 501, TRUE), &late);
}
END_TEST

START_TEST (new_request_is_not_late_on_arrival)
{
  ck_assert_int_gt (cf_waiter_objective_send_by_ms (1000, 500, 1700), 1000);
  ck_assert_int_eq (cf_waiter_objective_send_by_ms (1000, 500, 200), 1300);
  ck_assert_int_eq (cf_waiter_objective_send_by_ms (1000, 500, 0), 1300);
}
END_TEST

/* Late requests use only part of the limit. */
START_TEST (concurrency_limit_bounds_requests_in_flight)
{
  CfTargetTable targets;
  CfPickInput in = { .service = "s", .n_gateways = 1, .limit = 20 };
  CfTarget *t;

  cf_target_table_init (&targets);
  t_put_targets (&targets, 8, 12);
  in.in_flight = 19;
  ck_assert_int_eq (cf_balancer_pick (&targets, &in, &t), CF_PICK_OK);
  in.yields = TRUE;
  ck_assert_int_eq (cf_balancer_pick (&targets, &in, &t), CF_PICK_FULL);
  in.in_flight = 16;
  ck_assert_int_eq (cf_balancer_pick (&targets, &in, &t), CF_PICK_OK);
  in.yields = FALSE;
  in.in_flight = 20;
  ck_assert_int_eq (cf_balancer_pick (&targets, &in, &t), CF_PICK_FULL);
  cf_target_table_clear (&targets);
}
END_TEST

START_TEST (retry_after_is_bounded_by_remaining_time)
{
  for (guint spread = 0; spread < 1000; spread += 7)
    {
      gint64 ms = cf_retry_after_ms (3000, 400, spread);

      ck_assert_int_ge (ms, 400);
      ck_assert_int_lt (ms, 800);
      ck_assert_int_le (cf_retry_after_ms (300, 400, spread), 100);
    }
  ck_assert_int_eq (cf_retry_after_ms (-5, 400, 3), 0);
}
END_TEST

/* Gateways do not see one another's load, and would overload a few targets if
 * they all searched from the same one. */
START_TEST (gateways_load_targets_evenly)
{
  enum
  {
    N_GATEWAYS = 35,
    N_TARGETS = 192,
    N_EACH = 27,
  };
  guint sum[N_TARGETS] = { 0 };

  for (int g = 0; g < N_GATEWAYS; g++)
    {
      double start = (double)g / N_GATEWAYS;
      CfPickInput in = { .service = "s", .n_gateways = N_GATEWAYS };
      CfTargetTable targets;

      in.ring_start = &start;
      cf_target_table_init (&targets);
      t_put_targets (&targets, N_TARGETS, 6);
      for (int i = 0; i < N_EACH; i++)
        {
          CfTarget *t;

          ck_assert_int_eq (cf_balancer_pick (&targets, &in, &t), CF_PICK_OK);
          cf_target_request_started (t, 0);
          sum[atoi (t->record.id + 1)]++;
        }
      cf_target_table_clear (&targets);
    }
  for (int i = 0; i < N_TARGETS; i++)
    {
      ck_assert_uint_ge (sum[i], 4);
      ck_assert_uint_le (sum[i], 6);
    }
}
END_TEST

/* First "a" alone has used up its rate limit, then "b" and "c" are gone too. */
START_TEST (rate_limited_target_is_skipped)
{
  CfTarget *t = NULL;

  get ("a")->limit = (CfRateLimit){
    .per_s = 2, .received_ms = 1, .tokens = 1, .refilled_ms = 100
  };
  ck_assert_int_eq (pick (100, NULL, &t), CF_PICK_OK);
  ck_assert_str_eq (t->record.id, "a");
  cf_rate_limit_consume (&t->limit);
  ck_assert_int_eq (pick (101, NULL, &t), CF_PICK_OK);
  ck_assert_str_ne (t->record.id, "a");
  cf_target_table_remove (&table, "b");
  cf_target_table_remove (&table, "c");
  ck_assert_int_eq (pick (102, NULL, &t), CF_PICK_RATE_LIMITED);
  ck_assert_double_eq (rate_limit_per_s (0), 2);
  ck_assert_int_eq (pick (700, NULL, &t), CF_PICK_OK);
  ck_assert_str_eq (t->record.id, "a");
}
END_TEST

START_TEST (paused_targets_are_not_picked)
{
  CfTarget *t = NULL;

  cf_target_pause_begin (&get ("a")->pause, 1, 0);
  for (int i = 0; i < 10; i++)
    {
      ck_assert_int_eq (pick (1000, NULL, &t), CF_PICK_OK);
      ck_assert_str_ne (t->record.id, "a");
      cf_target_request_started (t, 0);
    }
  /* Others may be full, but a paused target is no last resort. */
  ck_assert_int_eq (pick (1000, NULL, &t), CF_PICK_FULL);
  ck_assert_int_eq (pick (1100, NULL, &t), CF_PICK_OK);
  ck_assert_str_eq (t->record.id, "a");
}
END_TEST

START_TEST (first_end_of_all_pauses_is_known)
{
  GPtrArray *tried = g_ptr_array_new ();
  CfTarget *t;
  gint64 a_ms;

  cf_target_pause_begin (&get ("a")->pause, 2, 0);
  cf_target_pause_begin (&get ("b")->pause, 1, 0);
  ck_assert_int_eq (pause_ms ("s", NULL), 0);
  cf_target_pause_begin (&get ("c")->pause, 3, 0);
  ck_assert_int_eq (pick (500, NULL, &t), CF_PICK_PAUSED);
  ck_assert_int_ge (pause_ms ("s", NULL), 1000);
  ck_assert_int_lt (pause_ms ("s", NULL), 1500);
  g_ptr_array_add (tried, get ("b"));
  a_ms = pause_ms ("s", tried);
  ck_assert_int_ge (a_ms, 2000);
  ck_assert_int_lt (a_ms, 2500);
  get ("a")->record.leaving = TRUE;
  ck_assert_int_ge (pause_ms ("s", tried), 3000);
  ck_assert_int_eq (pause_ms ("none", NULL), 0);
  g_ptr_array_free (tried, TRUE);
}
END_TEST

static const CfWarmupRule cold_rule
    = { .is_set = TRUE, .per_s = 2, .max_factor = 1.5, .slack = 5 };

static CfPickResult
pick_cold (gint64 now, CfFleetPosition position, CfTarget **t)
{
  const CfPickInput in = { .service = "s",
                           .now_ms = now,
                           .n_gateways = 1,
                           .warmup_rule = &cold_rule,
                           .warmup_position = position };

  return cf_balancer_pick (&table, &in, t);
}

/* Cold targets are passed over while their rate is used up, and one that is
 * left alone makes requests wait rather than crash it. */
START_TEST (cold_target_gets_its_rate_only)
{
  const CfFleetPosition alone = { 0, 1 };
  const CfFleetPosition unknown = { 0, 0 };
  CfTarget *t;

  cf_warmup_set (&get ("a")->warmup, 3000, 0);
  for (int i = 0; i < 6; i++)
    {
      ck_assert_int_eq (pick_cold (1, alone, &t), CF_PICK_OK);
      ck_assert_str_ne (t->record.id, "a");
    }
  cf_target_table_remove (&table, "b");
  cf_target_table_remove (&table, "c");
  ck_assert_int_eq (pick_cold (2, alone, &t), CF_PICK_RATE_LIMITED);
  ck_assert_int_eq (pick_cold (2900, unknown, &t), CF_PICK_RATE_LIMITED);
  ck_assert_int_eq (pick_cold (1500, alone, &t), CF_PICK_OK);
  cf_warmup_consume (&t->warmup, 1500);
  ck_assert_int_eq (pick_cold (1501, alone, &t), CF_PICK_RATE_LIMITED);
  ck_assert_int_eq (pick_cold (3000, unknown, &t), CF_PICK_OK);
}
END_TEST

/* A request never runs outside of the homes of its route and organisation. */
START_TEST (targets_outside_of_homes_are_not_picked)
{
  static const char *const north[] = { "north", NULL };
  static const char *const both[] = { "north", "south", NULL };
  static const char *const south[] = { "south", NULL };
  GHashTable *regions = g_hash_table_new (g_str_hash, g_str_equal);
  CfPickInput in
      = { .service = "s", .n_gateways = 1, .homes = { both, north, regions } };
  CfTarget *t;

  g_hash_table_insert (regions, "dc1", "north");
  g_hash_table_insert (regions, "dc2", "south");
  for (int i = 0; i < 4; i++)
    {
      ck_assert_int_eq (cf_balancer_pick (&table, &in, &t), CF_PICK_OK);
      ck_assert_str_eq (t->record.id, "a");
    }
  in.homes.route = south;
  ck_assert_int_eq (cf_balancer_pick (&table, &in, &t), CF_PICK_NO_TARGET);
  ck_assert (!cf_balancer_has_target (&table, &in));
  in.homes.org = NULL;
  ck_assert_int_eq (cf_balancer_pick (&table, &in, &t), CF_PICK_OK);
  ck_assert_str_ne (t->record.id, "a");
  /* A data centre that the settings do not name is nobody's home. */
  g_hash_table_remove (regions, "dc2");
  ck_assert_int_eq (cf_balancer_pick (&table, &in, &t), CF_PICK_NO_TARGET);
  g_hash_table_destroy (regions);
}
END_TEST

START_TEST (evacuated_targets_are_not_picked)
{
  CfEvacuations e;
  CfTarget *t;

  cf_evacuations_init (&e);
  table.evacuations = &e;
  cf_evacuations_set (&e, "dc2", TRUE);
  ck_assert_uint_eq (cf_target_table_update_evacuated (&table), 2);
  for (int i = 0; i < 4; i++)
    {
      ck_assert_int_eq (pick (0, NULL, &t), CF_PICK_OK);
      ck_assert_str_eq (t->record.id, "a");
    }
  /* One that is listed later is evacuated as well. */
  put ("d", "s", "dc2", "1.1.1.9:1", FALSE, 9);
  ck_assert (get ("d")->evacuated);
  cf_evacuations_set (&e, "dc1", TRUE);
  cf_target_table_update_evacuated (&table);
  ck_assert_int_eq (pick (0, NULL, &t), CF_PICK_NO_TARGET);
  cf_evacuations_set (&e, "dc2", FALSE);
  cf_target_table_update_evacuated (&table);
  ck_assert_int_eq (pick (0, NULL, &t), CF_PICK_OK);
  ck_assert_str_ne (t->record.id, "a");
  cf_evacuations_clear (&e);
}
END_TEST

/* The targets of two evacuated data centres do not make those of the third,
 * which are healthy, a minority that falls back on ejected ones. */
START_TEST (evacuated_targets_do_not_count_as_unhealthy)
{
  CfEvacuations e;
  CfTarget *t;

  cf_evacuations_init (&e);
  table.evacuations = &e;
  put ("d", "s", "dc1", "1.1.1.9:1", FALSE, 9);
  cf_evacuations_set (&e, "dc2", TRUE);
  cf_target_table_update_evacuated (&table);
  cf_outlier_eject (&get ("d")->outlier, 0);
  get ("a")->full_until_ms = 100;
  ck_assert_int_eq (pick (1, NULL, &t), CF_PICK_FULL);
  cf_evacuations_clear (&e);
}
END_TEST

/* A target that pauses cannot be sent the rate that it takes otherwise. */
START_TEST (rate_of_paused_target_is_not_available)
{
  CfTarget *t;

  get ("a")->limit = (CfRateLimit){
    .per_s = 2, .received_ms = 1, .tokens = 1, .refilled_ms = 100
  };
  cf_target_pause_begin (&get ("a")->pause, 1, 100);
  cf_target_table_remove (&table, "b");
  cf_target_table_remove (&table, "c");
  ck_assert_int_eq (pick (200, NULL, &t), CF_PICK_PAUSED);
  ck_assert_double_eq (rate_limit_per_s (200), 0);
}
END_TEST

/* A fleet with targets and gateways in several data centres.  Each gateway sees
 * only its own requests. */
#define CENTRES 3
#define GATEWAYS 2
#define TARGETS 4
#define SLOTS 12

typedef struct
{
  CfTargetTable tables[CENTRES][GATEWAYS];
  GRand *rand;
  guint n_local;
  guint n_sent;
  guint n_full;
} Fleet;

static Fleet fleet;

static CfTarget *
fleet_target (int centre, int gateway, int at, int target)
{
  g_autofree char *id = g_strdup_printf ("t-%d-%d", at, target);

  return t_get_target (&fleet.tables[centre][gateway], id);
}

static void
add_fleet_target (CfTargetTable *table_of_gateway, int at, int target)
{
  g_autofree char *dc = g_strdup_printf ("dc%d", at);
  g_autofree char *id = g_strdup_printf ("t-%d-%d", at, target);
  g_autofree char *addr = g_strdup_printf ("1.1.%d.%d:1", at, target);

  t_put_target (table_of_gateway, &(TTargetSpec){ .id = id,
                                                  .data_centre = dc,
                                                  .addr = addr,
                                                  .slots = SLOTS,
                                                  .rev = 1 });
}

/* Sets up a fleet without targets in data centre @empty; -1: none is empty. */
static void
fleet_init (int empty)
{
  memset (&fleet, 0, sizeof fleet);
  fleet.rand = g_rand_new_with_seed (1);
  for (int c = 0; c < CENTRES; c++)
    for (int g = 0; g < GATEWAYS; g++)
      {
        cf_target_table_init (&fleet.tables[c][g]);
        for (int at = 0; at < CENTRES; at++)
          for (int i = 0; i < TARGETS && at != empty; i++)
            add_fleet_target (&fleet.tables[c][g], at, i);
      }
}

static void
fleet_clear (void)
{
  for (int c = 0; c < CENTRES; c++)
    for (int g = 0; g < GATEWAYS; g++)
      cf_target_table_clear (&fleet.tables[c][g]);
  g_rand_free (fleet.rand);
}

static void
fleet_evacuate (int at, gboolean evacuated)
{
  for (int c = 0; c < CENTRES; c++)
    for (int g = 0; g < GATEWAYS; g++)
      for (int i = 0; i < TARGETS; i++)
        fleet_target (c, g, at, i)->evacuated = evacuated;
}

static guint
fleet_in_flight (int centre, int gateway)
{
  const GPtrArray *a
      = cf_target_table_service (&fleet.tables[centre][gateway], "s");
  guint n = 0;

  for (guint i = 0; i < a->len; i++)
    n += ((CfTarget *)a->pdata[i])->in_flight;
  return n;
}

/* Ends one of the gateway's requests, each with the same probability. */
static void
fleet_end_one (int centre, int gateway)
{
  const GPtrArray *a
      = cf_target_table_service (&fleet.tables[centre][gateway], "s");
  guint n = fleet_in_flight (centre, gateway);
  guint left = n ? (guint)g_rand_int_range (fleet.rand, 0, (gint32)n) : 0;

  for (guint i = 0; n && i < a->len; i++)
    {
      CfTarget *t = a->pdata[i];

      if (left < t->in_flight)
        {
          cf_target_request_ended (t, 0);
          return;
        }
      left -= t->in_flight;
    }
}

static void
fleet_send_one (int centre, int gateway, const CfWarmupRule *rule, gint64 now)
{
  g_autofree char *dc = g_strdup_printf ("dc%d", centre);
  double ring_start
      = (gateway * CENTRES + centre) / (double)(CENTRES * GATEWAYS);
  const CfPickInput in
      = { .service = "s",
          .data_centre = dc,
          .now_ms = now,
          .n_gateways = CENTRES * GATEWAYS,
          .fleet_position = { 0, 1 },
          .warmup_position
          = { (guint)(gateway * CENTRES + centre), CENTRES * GATEWAYS },
          .warmup_rule = rule,
          .ring_start = &ring_start,
          .prefers_local = TRUE };
  CfTarget *t;

  if (cf_balancer_pick (&fleet.tables[centre][gateway], &in, &t) != CF_PICK_OK)
    {
      fleet.n_full++;
      return;
    }
  cf_target_request_started (t, now);
  if (rule)
    cf_warmup_consume (&t->warmup, now);
  fleet.n_sent++;
  fleet.n_local += strcmp (t->record.data_centre, dc) == 0;
}

/* Keeps as many requests in flight as @demand says, as a fraction of the slots
 * of one data centre, by the data centre of the gateways; @rounds requests of
 * each gateway end and others take their place. */
static void
fleet_run (const double *demand, int rounds)
{
  fleet.n_local = fleet.n_sent = fleet.n_full = 0;
  for (int r = 0; r < rounds; r++)
    for (int c = 0; c < CENTRES; c++)
      for (int g = 0; g < GATEWAYS; g++)
        {
          guint wanted = (guint)(demand[c] * TARGETS * SLOTS / GATEWAYS);
          guint n = fleet_in_flight (c, g);

          if (n >= wanted)
            fleet_end_one (c, g);
          for (n = fleet_in_flight (c, g); n < wanted; n++)
            fleet_send_one (c, g, NULL, 0);
        }
}

/* Returns the most requests that any target in @at has of all gateways. */
static guint
fleet_peak (int at)
{
  guint peak = 0;

  for (int i = 0; i < TARGETS; i++)
    {
      guint n = 0;

      for (int c = 0; c < CENTRES; c++)
        for (int g = 0; g < GATEWAYS; g++)
          n += fleet_target (c, g, at, i)->in_flight;
      peak = MAX (peak, n);
    }
  return peak;
}

/* Loads of the three data centres' gateways, and the part of the sends that
 * stays local.  Without the preference, it was 0.57 and 0.44 in the second and
 * the third case. */
static const struct
{
  double demand[CENTRES];
  double min_local;
  double max_local;
} locality_cases[] = {
  { { 0.1, 0.1, 0.1 }, 0.99, 1 },   /* little demand */
  { { 0.3, 0.3, 0.3 }, 0.99, 1 },   /* even demand */
  { { 0.4, 0.4, 0.4 }, 0.95, 1 },   /* even demand near the gateways' shares */
  { { 0.64, 0.18, 0.18 }, 0.9, 1 }, /* one has 1.6 times its part of 0.4 */
  { { 0.9, 0.9, 0.9 }, 0.3, 0.7 },  /* shares of local targets are used up */
};

START_TEST (demand_stays_local_until_shares_are_used)
{
  const double *demand = locality_cases[_i].demand;
  double local;

  fleet_init (-1);
  fleet_run (demand, 200);
  fleet_run (demand, 500);
  local = (double)fleet.n_local / fleet.n_sent;
  ck_assert_uint_gt (fleet.n_sent, 1000);
  ck_assert_msg (local >= locality_cases[_i].min_local
                     && local <= locality_cases[_i].max_local,
                 "local: %.3f", local);
  ck_assert_uint_eq (fleet.n_full, 0);
  for (int at = 0; at < CENTRES; at++)
    ck_assert_uint_le (fleet_peak (at), SLOTS + 1);
  fleet_clear ();
}
END_TEST

/* One gateway with the demand of several would otherwise fill the local targets
 * while those elsewhere are idle. */
START_TEST (overflow_spills_gradually)
{
  const CfPickInput in = {
    .service = "s", .data_centre = "dc0", .n_gateways = 1, .prefers_local = TRUE
  };
  guint local[CENTRES * TARGETS * SLOTS + 1] = { 0 };

  fleet_init (-1);
  for (guint n = 1; n < G_N_ELEMENTS (local); n++)
    {
      CfTarget *t;

      ck_assert_int_eq (cf_balancer_pick (&fleet.tables[0][0], &in, &t),
                        CF_PICK_OK);
      cf_target_request_started (t, 0);
      local[n] = local[n - 1] + (strcmp (t->record.data_centre, "dc0") == 0);
      /* What spills never exceeds local use by more than an even spread. */
      ck_assert_uint_ge (local[n] * CENTRES, n);
    }
  ck_assert_uint_eq (local[TARGETS * SLOTS / 2], TARGETS * SLOTS / 2);
  ck_assert_uint_lt (local[TARGETS * SLOTS], TARGETS * SLOTS * 7 / 10);
  ck_assert_uint_le (local[CENTRES * TARGETS * SLOTS], TARGETS * SLOTS * 5 / 4);
  fleet_clear ();
}
END_TEST

/* Slow local targets hold requests longer; the preference must not keep
 * requests at them. */
START_TEST (slow_local_targets_lose_their_preference)
{
  const double demand[CENTRES] = { 0.3, 0, 0 };

  fleet_init (-1);
  for (int g = 0; g < GATEWAYS; g++)
    for (int i = 0; i < TARGETS; i++)
      fleet_target (0, g, 0, i)->slowdown = 2.5;
  fleet_run (demand, 200);
  fleet_run (demand, 500);
  ck_assert_uint_lt (fleet.n_local, fleet.n_sent * 7 / 10);
  ck_assert_uint_gt (fleet.n_local, 0);
  fleet_clear ();
}
END_TEST

START_TEST (demand_of_an_empty_centre_is_spread_evenly)
{
  const double demand[CENTRES] = { 0.3, 0, 0 };
  guint n = 0;

  fleet_init (0);
  fleet_run (demand, 1);
  ck_assert_uint_eq (fleet.n_local, 0);
  for (int at = 1; at < CENTRES; at++)
    for (int i = 0; i < TARGETS; i++)
      n += fleet_target (0, 0, at, i)->in_flight == 0;
  ck_assert_uint_le (n, 1);
  fleet_clear ();
}
END_TEST

/* When an evacuated centre is taken back, its gateways return to its empty
 * targets; gateways elsewhere have no reason to. */
START_TEST (a_returning_centre_is_not_overrun)
{
  const double demand[CENTRES] = { 0.3, 0.3, 0.3 };

  fleet_init (-1);
  fleet_evacuate (0, TRUE);
  fleet_run (demand, 200);
  ck_assert_uint_eq (fleet_peak (0), 0);
  ck_assert_uint_eq (fleet.n_full, 0);
  fleet_evacuate (0, FALSE);
  for (int r = 0; r < 50; r++)
    {
      fleet_run (demand, 1);
      ck_assert_uint_le (fleet_peak (0), SLOTS / 2);
      for (int c = 1; c < CENTRES; c++)
        for (int g = 0; g < GATEWAYS; g++)
          for (int i = 0; i < TARGETS; i++)
            ck_assert_uint_eq (fleet_target (c, g, 0, i)->in_flight, 0);
    }
  ck_assert_uint_ge (fleet_peak (0), 3);
  fleet_clear ();
}
END_TEST

/* The rates of cold targets are commitments, also to local gateways. */
START_TEST (cold_local_targets_get_their_rate_only)
{
  const CfWarmupRule rule
      = { .is_set = TRUE, .per_s = 2, .max_factor = 1, .slack = 2 };
  guint n = 0;

  fleet_init (-1);
  for (int g = 0; g < GATEWAYS; g++)
    for (int i = 0; i < TARGETS; i++)
      cf_warmup_set (&fleet_target (0, g, 0, i)->warmup, 3000, 0);
  for (gint64 now = 1; now <= 2000; now += 20)
    for (int g = 0; g < GATEWAYS; g++)
      {
        fleet_send_one (0, g, &rule, now);
        fleet_end_one (0, g);
      }
  n = fleet.n_local;
  ck_assert_uint_gt (n, 0);
  ck_assert_uint_le (n, 2 * 2 * TARGETS + TARGETS);
  ck_assert_uint_eq (fleet.n_full, 0);
  fleet_clear ();
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("balancer");
  TCase *t = tcase_create ("balancer");

  tcase_add_checked_fixture (t, setup, teardown);
  tcase_add_test (t, least_loaded_target_is_picked);
  tcase_add_test (t, load_is_spread_evenly);
  tcase_add_loop_test (t, demand_stays_local_until_shares_are_used, 0,
                       G_N_ELEMENTS (locality_cases));
  tcase_add_test (t, overflow_spills_gradually);
  tcase_add_test (t, slow_local_targets_lose_their_preference);
  tcase_add_test (t, demand_of_an_empty_centre_is_spread_evenly);
  tcase_add_test (t, a_returning_centre_is_not_overrun);
  tcase_add_test (t, cold_local_targets_get_their_rate_only);
  tcase_add_test (t, gateways_load_targets_evenly);
  tcase_add_test (t, slow_target_gets_fewer_requests);
  tcase_add_test (t, slow_target_is_avoided_while_others_are_full);
  tcase_add_test (t, ranks_of_broken_group_are_avoided);
  tcase_add_test (t, stalled_targets_get_no_requests);
  tcase_add_test (t, frozen_target_gets_one_request_after_its_retries);
  tcase_add_test (t, late_requests_leave_capacity);
  tcase_add_test (t, late_requests_leave_capacity_in_large_fleet);
  tcase_add_test (t, slots_are_divided_among_gateways);
  tcase_add_loop_test (t, skewed_shares_do_not_exceed_connections, 0,
                       G_N_ELEMENTS (conns));
  tcase_add_test (t, rate_limited_target_is_skipped);
  tcase_add_test (t, paused_targets_are_not_picked);
  tcase_add_test (t, cold_target_gets_its_rate_only);
  tcase_add_test (t, targets_outside_of_homes_are_not_picked);
  tcase_add_test (t, evacuated_targets_are_not_picked);
  tcase_add_test (t, evacuated_targets_do_not_count_as_unhealthy);
  tcase_add_test (t, first_end_of_all_pauses_is_known);
  tcase_add_test (t, rate_of_paused_target_is_not_available);
  tcase_add_test (t, only_newest_instance_at_address_gets_requests);
  tcase_add_test (t, leaving_and_tried_targets_are_excluded);
  tcase_add_test (t, full_targets_are_not_picked);
  tcase_add_test (t, ejected_targets_are_last_resort);
  tcase_add_test (t, stale_and_invalid_records_are_dropped);
  tcase_add_test (t, removed_target_stays_valid_while_referenced);
  tcase_add_test (t, urgent_waiters_come_first);
  tcase_add_test (t, on_time_waiters_come_first);
  tcase_add_test (t, newest_waiter_goes_first_in_overload);
  tcase_add_test (t, new_request_is_not_late_on_arrival);
  tcase_add_test (t, concurrency_limit_bounds_requests_in_flight);
  tcase_add_test (t, retry_after_is_bounded_by_remaining_time);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
