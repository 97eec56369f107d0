/* The table of targets, and which of them gets a request. */
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
  return t_put_target (&table, &(TTarget){ .id = id,
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

static CfPickWhy
pick (gint64 now, const GPtrArray *tried, CfTarget **t)
{
  const CfPickInput in = { .service = "s",
                           .data_centre = "dc1",
                           .tried = tried,
                           .now_ms = now,
                           .fleet = 1 };

  return cf_balancer_pick (&table, &in, t);
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

START_TEST (the_least_loaded_is_picked)
{
  CfTarget *t;

  ck_assert_int_eq (pick (0, NULL, &t), CF_PICK_OK);
  ck_assert_str_eq (t->record.id, "a"); /* ours among equals */
  t_give_work (get ("a"), 2, 0);
  t_give_work (get ("b"), 1, 0);
  t_give_work (get ("c"), 3, 0);
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
      cf_target_work_begun (t, 0);
    }
  ck_assert_uint_eq (get ("a")->in_flight, 5);
  ck_assert_uint_eq (get ("b")->in_flight, 5);
  ck_assert_uint_eq (get ("c")->in_flight, 5);
}
END_TEST

START_TEST (slow_targets_get_less)
{
  get ("a")->pace = 4;
  for (int i = 0; i < 10; i++)
    {
      CfTarget *t;

      ck_assert_int_eq (pick (0, NULL, &t), CF_PICK_OK);
      cf_target_work_begun (t, 0);
    }
  ck_assert_uint_le (get ("a")->in_flight, 1);
}
END_TEST

/* A slow rank holds up all of its group; while most targets are sound, room
 * at one of them is waited for. */
START_TEST (slow_targets_get_nothing_while_others_are_full)
{
  CfTarget *t;

  get ("a")->pace = 12;
  t_give_work (get ("b"), 5, 0);
  t_give_work (get ("c"), 5, 0);
  ck_assert_int_eq (pick (0, NULL, &t), CF_PICK_FULL);
  t_give_work (get ("b"), 4, 0);
  ck_assert_int_eq (pick (0, NULL, &t), CF_PICK_OK);
  ck_assert_str_eq (t->record.id, "b");
  /* Most are slow: these are what there is. */
  t_give_work (get ("b"), 5, 0);
  get ("c")->pace = 12;
  ck_assert_int_eq (pick (0, NULL, &t), CF_PICK_OK);
  ck_assert_str_eq (t->record.id, "a");
}
END_TEST

/* A VM that stands still takes requests and runs none of them: four seconds
 * of that left 40 requests there whose callers had gone. */
/* Ranks of a group that was never whole refused at once and were always the
 * least loaded: a third of the requests of their data centre were lost. */
START_TEST (ranks_of_a_broken_group_get_nothing)
{
  const CfRankStatus s = { .pace = 1 };
  CfTarget *t;

  get ("b")->in_flight = 1;
  get ("c")->in_flight = 1;
  /* One whose rank is replaced is whole again soon. */
  get ("a")->pace = cf_rank_routing_pace (&s, 2000);
  ck_assert_int_eq (pick (100, NULL, &t), CF_PICK_OK);
  ck_assert_ptr_eq (t, get ("a"));
  get ("a")->pace = cf_rank_routing_pace (&s, 60000);
  ck_assert_int_eq (pick (100, NULL, &t), CF_PICK_OK);
  ck_assert_ptr_ne (t, get ("a"));
  get ("a")->pace = cf_rank_routing_pace (&s, 0);
  ck_assert_int_eq (pick (100, NULL, &t), CF_PICK_OK);
  ck_assert_ptr_eq (t, get ("a"));
}
END_TEST

START_TEST (targets_that_stand_still_get_no_new_work)
{
  CfPickInput in = { .service = "s",
                     .data_centre = "dc1",
                     .now_ms = 1000,
                     .fleet = 1,
                     .stall_ms = 300 };
  CfTarget *t;

  t_give_work (get ("a"), 1, 600);
  t_give_work (get ("b"), 3, 0);
  cf_target_sign (get ("b"), 950);
  t_give_work (get ("c"), 3, 0);
  cf_target_sign (get ("c"), 950);
  ck_assert_int_eq (cf_balancer_pick (&table, &in, &t), CF_PICK_OK);
  ck_assert_str_ne (t->record.id, "a");
  /* It shows a sign, or has no work of ours to show one of. */
  cf_target_sign (get ("a"), 900);
  ck_assert_int_eq (cf_balancer_pick (&table, &in, &t), CF_PICK_OK);
  ck_assert_str_eq (t->record.id, "a");
  cf_target_sign (get ("a"), 0);
  t_give_work (get ("a"), 0, 0);
  ck_assert_int_eq (cf_balancer_pick (&table, &in, &t), CF_PICK_OK);
  ck_assert_str_eq (t->record.id, "a");
  /* All stand still: nothing better is left. */
  in.now_ms = 5000;
  t_give_work (get ("a"), 1, 0);
  ck_assert_int_eq (cf_balancer_pick (&table, &in, &t), CF_PICK_OK);
}
END_TEST

/* Requests that are late already do not fill a target. */
START_TEST (late_ones_leave_room)
{
  const CfPickInput in = { .service = "other", .fleet = 1, .yields = TRUE };
  CfTarget *t;

  t_give_work (get ("x"), 2, 0); /* of 5 */
  ck_assert_int_eq (cf_balancer_pick (&table, &in, &t), CF_PICK_OK);
  t_give_work (get ("x"), 3, 0);
  ck_assert_int_eq (cf_balancer_pick (&table, &in, &t), CF_PICK_FULL);
}
END_TEST

/* All gateways together fill a target's slots, not its queue. */
/* 35 gateways and 192 targets of 6 slots: a part of 33 slots in all, and one
 * request at each target.  Late ones fill 24 of them, others go on. */
START_TEST (late_ones_leave_room_in_a_large_fleet)
{
  CfTargetTable row;
  CfPickInput in = { .service = "s", .now_ms = 100, .fleet = 35 };
  CfTarget *t;

  cf_target_table_init (&row);
  t_put_row (&row, 192, 6);
  in.yields = TRUE;
  in.in_flight = 24;
  ck_assert_int_eq (cf_balancer_pick (&row, &in, &t), CF_PICK_OK);
  in.in_flight = 25;
  ck_assert_int_eq (cf_balancer_pick (&row, &in, &t), CF_PICK_FULL);
  in.yields = FALSE;
  ck_assert_int_eq (cf_balancer_pick (&row, &in, &t), CF_PICK_OK);
  cf_target_table_clear (&row);
}
END_TEST

START_TEST (slots_are_shared_over_the_fleet)
{
  ck_assert_uint_eq (cf_balancer_share (12, 0, 1), 15);
  ck_assert_uint_eq (cf_balancer_share (12, 0, 3), 5);
  ck_assert_uint_eq (cf_balancer_share (6, 0, 4), 2);
  ck_assert_uint_eq (cf_balancer_share (6, 0, 40), 1);
  /* Few connections: no gateway may use more than its part of them. */
  ck_assert_uint_eq (cf_balancer_share (12, 9, 3), 3);
  ck_assert_uint_eq (cf_balancer_share (12, 408, 3), 5);
  ck_assert_uint_eq (cf_balancer_share (12, 2, 4), 1);
}
END_TEST

/* After a crash the entry of the start before stays listed for a while. */
START_TEST (only_the_newest_start_at_an_address_gets_work)
{
  CfTarget *t;

  put ("b2", "s", "dc2", "1.1.1.2:1", FALSE, 7);
  ck_assert (get ("b")->replaced);
  ck_assert (!get ("b2")->replaced);
  /* Whichever the list names first. */
  put ("c0", "s", "dc2", "1.1.1.3:1", FALSE, 2);
  ck_assert (get ("c0")->replaced);
  ck_assert (!get ("c")->replaced);
  for (int i = 0; i < 12; i++)
    {
      ck_assert_int_eq (pick (0, NULL, &t), CF_PICK_OK);
      ck_assert (!t->replaced);
      cf_target_work_begun (t, 0);
    }
  /* The address goes to another service. */
  put ("a2", "other", "dc1", "1.1.1.1:1", FALSE, 9);
  ck_assert (get ("a")->replaced);
  ck_assert_ptr_eq (cf_target_table_at (&table, "1.1.1.1:1"), get ("a2"));
  cf_target_table_remove (&table, "a2");
  ck_assert_ptr_null (cf_target_table_at (&table, "1.1.1.1:1"));
  ck_assert (get ("a")->replaced);
}
END_TEST

START_TEST (leaving_and_tried_ones_get_nothing)
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

START_TEST (full_ones_make_a_request_wait)
{
  CfTarget *t;

  t_give_work (get ("a"), 5, 0);
  t_give_work (get ("b"), 5, 0);
  get ("c")->full_until_ms = 100;
  ck_assert_int_eq (pick (99, NULL, &t), CF_PICK_FULL);
  ck_assert_int_eq (pick (100, NULL, &t), CF_PICK_OK);
}
END_TEST

/* An ejection is a guess: when all are ejected they are used. */
START_TEST (ejected_ones_are_the_last_resort)
{
  CfTarget *t;

  for (int i = 0; i < CF_OUTLIER_FAILURES; i++)
    {
      cf_outlier_failure (&get ("a")->outlier, 0);
      cf_outlier_failure (&get ("b")->outlier, 0);
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

START_TEST (old_and_bad_records_are_dropped)
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

START_TEST (work_outlives_its_listing)
{
  CfTarget *t = cf_target_ref (get ("a"));

  ck_assert (cf_target_table_remove (&table, "a"));
  ck_assert (!t->listed);
  ck_assert_str_eq (t->record.id, "a");
  cf_target_unref (t);
}
END_TEST

START_TEST (urgent_ones_wait_in_front)
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
  /* Full: the last of the least urgent makes room for a more urgent one. */
  ck_assert (cf_wait_queue_add (&q, &w[3], 3, &evicted));
  ck_assert_ptr_eq (evicted, &w[2]);
  ck_assert_ptr_eq (TAILQ_FIRST (&q.waiters), &w[3]);
  ck_assert (!cf_wait_queue_add (&q, &w[2], 3, &evicted));
  cf_wait_queue_remove (&q, &w[3]);
  ck_assert_ptr_eq (TAILQ_FIRST (&q.waiters), &w[1]);
}
END_TEST

START_TEST (those_that_can_be_in_time_come_first)
{
  CfWaitQueue q;
  CfWaiter old = { .priority = 1, .in_time_ms = 100 };
  CfWaiter young = { .priority = 1, .in_time_ms = 400 };
  CfWaiter *evicted;

  cf_wait_queue_init (&q);
  cf_wait_queue_add (&q, &old, 9, &evicted);
  cf_wait_queue_add (&q, &young, 9, &evicted);
  ck_assert_ptr_eq (cf_wait_queue_first (&q, 100, FALSE), &old);
  ck_assert_ptr_eq (cf_wait_queue_first (&q, 101, FALSE), &young);
  ck_assert_ptr_eq (cf_wait_queue_first (&q, 401, FALSE), &old);
  cf_wait_queue_remove (&q, &old);
  cf_wait_queue_remove (&q, &young);
  ck_assert_ptr_null (cf_wait_queue_first (&q, 401, FALSE));
}
END_TEST

/* The oldest in time would each be served just as it becomes late. */
START_TEST (in_overload_the_newest_goes_first)
{
  CfWaitQueue q;
  CfWaiter late = { .priority = 0, .in_time_ms = 50 };
  CfWaiter old = { .priority = 1, .in_time_ms = 300 };
  CfWaiter young = { .priority = 1, .in_time_ms = 400 };
  CfWaiter low = { .priority = 2, .in_time_ms = 500 };
  CfWaiter *evicted;

  cf_wait_queue_init (&q);
  cf_wait_queue_add (&q, &late, 9, &evicted);
  cf_wait_queue_add (&q, &old, 9, &evicted);
  cf_wait_queue_add (&q, &young, 9, &evicted);
  cf_wait_queue_add (&q, &low, 9, &evicted);
  ck_assert_ptr_eq (cf_wait_queue_first (&q, 100, TRUE), &young);
  ck_assert_ptr_eq (cf_wait_queue_first (&q, 100, FALSE), &old);
  ck_assert_ptr_eq (cf_wait_queue_first (&q, 401, TRUE), &low);
  ck_assert_ptr_eq (cf_wait_queue_first (&q, 501, TRUE), &late);
}
END_TEST

START_TEST (a_fresh_request_is_not_late_on_arrival)
{
  ck_assert_int_gt (cf_waiter_in_time_ms (1000, 500, 1700), 1000);
  ck_assert_int_eq (cf_waiter_in_time_ms (1000, 500, 200), 1300);
  ck_assert_int_eq (cf_waiter_in_time_ms (1000, 500, 0), 1300);
}
END_TEST

/* Requests that are late already fill a part of the limit only. */
START_TEST (a_limit_bounds_requests_in_flight)
{
  CfTargetTable row;
  CfPickInput in = { .service = "s", .fleet = 1, .limit = 20 };
  CfTarget *t;

  cf_target_table_init (&row);
  t_put_row (&row, 8, 12);
  in.in_flight = 19;
  ck_assert_int_eq (cf_balancer_pick (&row, &in, &t), CF_PICK_OK);
  in.yields = TRUE;
  ck_assert_int_eq (cf_balancer_pick (&row, &in, &t), CF_PICK_FULL);
  in.in_flight = 16;
  ck_assert_int_eq (cf_balancer_pick (&row, &in, &t), CF_PICK_OK);
  in.yields = FALSE;
  in.in_flight = 20;
  ck_assert_int_eq (cf_balancer_pick (&row, &in, &t), CF_PICK_FULL);
  cf_target_table_clear (&row);
}
END_TEST

START_TEST (callers_come_back_within_what_they_accept)
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

/* Gateways that do not see one another's load pile it on a few targets. */
START_TEST (a_fleet_fills_targets_evenly)
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
      CfPickInput in = { .service = "s", .fleet = N_GATEWAYS };
      CfTargetTable row;

      in.ring_start = &start;
      cf_target_table_init (&row);
      t_put_row (&row, N_TARGETS, 6);
      for (int i = 0; i < N_EACH; i++)
        {
          CfTarget *t;

          ck_assert_int_eq (cf_balancer_pick (&row, &in, &t), CF_PICK_OK);
          cf_target_work_begun (t, 0);
          sum[atoi (t->record.id + 1)]++;
        }
      cf_target_table_clear (&row);
    }
  for (int i = 0; i < N_TARGETS; i++)
    {
      ck_assert_uint_ge (sum[i], 4);
      ck_assert_uint_le (sum[i], 6);
    }
}
END_TEST

/* "a" has got its part of the rate that it names, and "b" and "c" are gone. */
START_TEST (a_target_past_its_rate_is_passed_over)
{
  CfTarget *t = NULL;

  get ("a")->limit = (CfRateLimit){
    .per_s = 2, .heard_ms = 1, .tokens = 1, .filled_ms = 100
  };
  ck_assert_int_eq (pick (100, NULL, &t), CF_PICK_OK);
  ck_assert_str_eq (t->record.id, "a");
  cf_rate_limit_sent (&t->limit);
  ck_assert_int_eq (pick (101, NULL, &t), CF_PICK_OK);
  ck_assert_str_ne (t->record.id, "a");
  cf_target_table_remove (&table, "b");
  cf_target_table_remove (&table, "c");
  ck_assert_int_eq (pick (102, NULL, &t), CF_PICK_LIMITED);
  ck_assert_double_eq (
      cf_balancer_limited_per_s (&table, "s", (CfFleetPlace){ 0, 1 }), 2);
  ck_assert_int_eq (pick (700, NULL, &t), CF_PICK_OK);
  ck_assert_str_eq (t->record.id, "a");
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("balancer");
  TCase *t = tcase_create ("balancer");

  tcase_add_checked_fixture (t, setup, teardown);
  tcase_add_test (t, the_least_loaded_is_picked);
  tcase_add_test (t, load_is_spread_evenly);
  tcase_add_test (t, a_fleet_fills_targets_evenly);
  tcase_add_test (t, slow_targets_get_less);
  tcase_add_test (t, slow_targets_get_nothing_while_others_are_full);
  tcase_add_test (t, ranks_of_a_broken_group_get_nothing);
  tcase_add_test (t, targets_that_stand_still_get_no_new_work);
  tcase_add_test (t, late_ones_leave_room);
  tcase_add_test (t, late_ones_leave_room_in_a_large_fleet);
  tcase_add_test (t, slots_are_shared_over_the_fleet);
  tcase_add_test (t, a_target_past_its_rate_is_passed_over);
  tcase_add_test (t, only_the_newest_start_at_an_address_gets_work);
  tcase_add_test (t, leaving_and_tried_ones_get_nothing);
  tcase_add_test (t, full_ones_make_a_request_wait);
  tcase_add_test (t, ejected_ones_are_the_last_resort);
  tcase_add_test (t, old_and_bad_records_are_dropped);
  tcase_add_test (t, work_outlives_its_listing);
  tcase_add_test (t, urgent_ones_wait_in_front);
  tcase_add_test (t, those_that_can_be_in_time_come_first);
  tcase_add_test (t, in_overload_the_newest_goes_first);
  tcase_add_test (t, a_fresh_request_is_not_late_on_arrival);
  tcase_add_test (t, a_limit_bounds_requests_in_flight);
  tcase_add_test (t, callers_come_back_within_what_they_accept);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
