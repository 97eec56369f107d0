/*
 * Tests map changes under faults against a model of a rank group.  Orders are
 * lost, answered late or never, or carried out seconds later; ranks crash;
 * leaders freeze, die and resume, and two lead at once.  Checks that no pass
 * begins while two ranks use different maps, and that the group runs and its
 * maps can be changed once the faults are over.
 */
#include "gateway/hold-lease.h"
#include "gateway/map-plan.h"
#include "gateway/map-coordinator.h"
#include "harness.h"

#include <stdlib.h>
#include <string.h>

#define RANKS 5
#define SETS 2
#define EXPERTS 8
#define PLACES 3
#define LEADERS 2
#define PASS_MS 40
#define TICK_MS 10
#define FAULTS_MS 60000
#define NO_FAULTS_MS 30000
#define SEEDS 150

typedef struct
{
  CfRankStatus s;
  gint64 armed_step;
  gint64 highest_version; /* that it was ever ordered to prepare */
  gint64 copying;         /* version being copied; 0: none */
  gint64 copied_ms;       /* when that copy is complete */
  gint64 fence;
  gint64 agent_fence;
  guint map_hash;  /* of the map in use */
  guint next_hash; /* of the version prepared or being copied */
  gint16 experts[SETS][PLACES];
  gint16 next_experts[SETS][PLACES];
} Rank;

typedef struct
{
  gint64 due_ms;
  int leader; /* the one that gets the answer; -1: none */
  int rank;
  CfRankOrder o;
  CfGroupMap *map; /* owned; of an order to prepare */
} DelayedOrder;

typedef struct
{
  CfMapCoordinator c;
  int index;
  gboolean running;  /* FALSE while it is frozen or dead */
  gboolean may_lead; /* takes the lead when it does not have it */
  gint64 resume_ms;
  CfHoldLease lease; /* of the other leader */
  gboolean lease_sent;
} Leader;

typedef struct
{
  GRand *rand;
  gint64 now;
  gint64 next_pass_ms;
  gboolean has_faults;
  gboolean ranks_check_fence;
  Rank ranks[RANKS];
  gint64 broken_until_ms;
  Leader leaders[LEADERS];
  gint64 highest_fence;
  GPtrArray *orders; /* of #DelayedOrder */
  guint64 n_passes;
  guint64 n_orders;
  guint64 n_delayed;
  gint64 blocked_since_ms; /* when a hold began to block the next pass */
  gint64 longest_block_ms; /* longest time that a hold blocked a pass */
} World;

static World w;

static gboolean
chance (double p)
{
  return w.has_faults && g_rand_double (w.rand) < p;
}

static guint
hash_map (const CfGroupMap *m)
{
  guint h = 17;

  for (int i = 0; i < SETS * RANKS * PLACES; i++)
    h = h * 31 + (guint)(m->held[i] + 2);
  return h;
}

/* Carries out an order at its rank; returns a status as in HTTP. */
static int
carry_out (Rank *r, const CfRankOrder *o)
{
  if (w.ranks_check_fence)
    {
      if (o->fence < r->fence)
        return 412;
      r->fence = o->fence;
    }
  if (o->epoch != r->s.epoch || !r->s.open)
    return 409;
  switch (o->kind)
    {
    case CF_ORDER_PREPARE:
      if (o->version == r->highest_version
          && (r->copying == o->version || r->s.prepared == o->version))
        return 200;
      if (o->version <= r->highest_version || r->s.armed)
        return 409;
      r->highest_version = o->version;
      r->s.prepared = 0;
      r->copying = o->version;
      r->copied_ms = w.now + g_rand_int_range (w.rand, 5, 400);
      r->next_hash = hash_map (o->map);
      for (int s = 0; s < SETS; s++)
        memcpy (r->next_experts[s], cf_group_map_row (o->map, s, r->s.rank),
                sizeof r->next_experts[s]);
      return 202;
    case CF_ORDER_ARM:
      if (r->s.armed == o->version && r->armed_step == o->step)
        return 200;
      if (r->s.armed || r->s.prepared != o->version || o->step <= r->s.step)
        return 409;
      r->s.armed = o->version;
      r->armed_step = o->step;
      return 202;
    case CF_ORDER_DISARM:
      if (r->s.map == o->version)
        return 409;
      if (r->s.armed == o->version)
        r->s.armed = 0;
      return 200;
    case CF_ORDER_HOLD:
      if (r->s.held == o->step)
        return 200;
      if (r->s.held || o->step <= r->s.step)
        return 409;
      r->s.held = o->step;
      return 202;
    case CF_ORDER_RELEASE:
      if (r->s.held == o->step)
        r->s.held = 0;
      return 200;
    }
  return 400;
}

static CfRankAck
ack_of (int status)
{
  if (status == 200 || status == 202)
    return CF_RANK_ACK_DONE;
  return status == 412 ? CF_RANK_ACK_FENCED : CF_RANK_ACK_REFUSED;
}

static void
delayed_order_free (gpointer p)
{
  DelayedOrder *l = p;

  cf_group_map_free (l->map);
  g_free (l);
}

static void
on_order (void *data, int rank, const CfRankOrder *o)
{
  Leader *l = data;
  DelayedOrder *d = g_new0 (DelayedOrder, 1);

  w.n_orders++;
  d->leader = l->index;
  d->rank = rank;
  d->o = *o;
  if (o->map)
    {
      d->map = cf_group_map_copy (o->map);
      d->o.map = d->map;
    }
  d->due_ms = w.now + g_rand_int_range (w.rand, 1, 12);
  if (chance (0.25))
    {
      /* Not answered, and carried out seconds later, after newer orders. */
      d->leader = -1;
      d->due_ms = w.now + g_rand_int_range (w.rand, 2000, 12000);
      w.n_delayed++;
      cf_map_coordinator_take_ack (&l->c, rank, CF_RANK_ACK_UNKNOWN, w.now);
    }
  else if (chance (0.1))
    d->leader = -1; /* carried out, but the answer is lost */
  else if (chance (0.05))
    {
      delayed_order_free (d); /* lost on its way to the rank */
      return;
    }
  g_ptr_array_add (w.orders, d);
}

static void
on_request_lists (void *data, int rank)
{
  Leader *l = data;
  Rank *r = &w.ranks[rank];
  gint64 rows[SETS * (PLACES + 1)];
  guint n = 0;

  if (chance (0.2))
    return;
  for (int s = 0; s < SETS; s++)
    {
      for (int p = 0; p < PLACES; p++)
        if (r->experts[s][p] >= 0)
          rows[n++] = r->experts[s][p];
      rows[n++] = -1;
    }
  cf_map_coordinator_take_lists (&l->c, rank, r->s.epoch, r->s.map, rows, n);
}

static void
on_state_changed (void *data, CfMapState from, CfMapState to, const char *why)
{
  if (g_getenv ("T_TRACE"))
    g_printerr ("%6" G_GINT64_FORMAT " leader %d %s -> %s (%s)\n", w.now,
                ((Leader *)data)->index, cf_map_state_name (from),
                cf_map_state_name (to), why);
}

static const CfMapCoordinatorCallbacks callbacks
    = { on_order, on_request_lists, on_state_changed };

static void
set_initial_map (Rank *r)
{
  memset (r->experts, -1, sizeof r->experts);
  for (int s = 0; s < SETS; s++)
    for (int e = 0; e < EXPERTS; e++)
      if (e % RANKS == r->s.rank)
        r->experts[s][e / RANKS] = (gint16)e;
  r->map_hash = 0;
}

static void
form_group (gint64 epoch)
{
  for (int i = 0; i < RANKS; i++)
    {
      Rank *r = &w.ranks[i];
      gint64 highest_version = r->highest_version;
      gint64 step = r->s.step;

      memset (&r->s, 0, sizeof r->s);
      g_strlcpy (r->s.group, "g", sizeof r->s.group);
      r->s.rank = i;
      r->s.size = RANKS;
      r->s.epoch = epoch;
      r->s.step = step;
      r->s.open = TRUE;
      r->highest_version = highest_version;
      r->copying = 0;
      set_initial_map (r);
    }
}

static void
new_leader (Leader *l)
{
  const CfGroupShape shape = { .sets = SETS,
                               .experts = EXPERTS,
                               .ranks = RANKS,
                               .places = PLACES,
                               .spare = 2 };
  const CfPlanLimits limits = { .max_set_copies = 1,
                                .max_rank_copies = 0,
                                .min_gain = 0.05,
                                .min_move_gain = 0.02 };

  cf_map_coordinator_init (&l->c, &shape, &limits, &callbacks, l);
}

static void
finish_copies (void)
{
  for (int i = 0; i < RANKS; i++)
    {
      Rank *r = &w.ranks[i];

      if (r->copying && w.now >= r->copied_ms)
        {
          r->s.prepared = r->copying;
          r->copying = 0;
        }
    }
}

/* Begins one pass on all ranks unless one of them holds it, and checks that all
 * ranks then use the same map. */
static void
begin_pass (void)
{
  gint64 step = w.ranks[0].s.step + 1;

  for (int i = 0; i < RANKS; i++)
    if (!w.ranks[i].s.open || w.ranks[i].s.held == step)
      {
        if (w.ranks[i].s.open && !w.blocked_since_ms)
          w.blocked_since_ms = w.now;
        return;
      }
  if (w.blocked_since_ms)
    w.longest_block_ms = MAX (w.longest_block_ms, w.now - w.blocked_since_ms);
  w.blocked_since_ms = 0;
  for (int i = 0; i < RANKS; i++)
    {
      Rank *r = &w.ranks[i];

      r->s.step = step;
      if (r->s.armed && r->armed_step == step)
        {
          r->s.map = r->s.armed;
          r->map_hash = r->next_hash;
          memcpy (r->experts, r->next_experts, sizeof r->experts);
          r->s.armed = 0;
        }
    }
  w.n_passes++;
  for (int i = 1; i < RANKS; i++)
    {
      ck_assert_int_eq (w.ranks[i].s.map, w.ranks[0].s.map);
      ck_assert_uint_eq (w.ranks[i].map_hash, w.ranks[0].map_hash);
    }
}

/* Carries out an order whose answer its leader waits for; returns a status as
 * in HTTP.  Orders that halt the group bypass the agents and the agents' check
 * of fencing tokens. */
static int
deliver (Rank *r, const CfRankOrder *o, gint64 *token)
{
  if (cf_rank_order_is_blocking (o->kind))
    return carry_out (r, o);
  *token = r->agent_fence;
  if (o->fence < r->agent_fence)
    return 412;
  *token = r->agent_fence = o->fence;
  return carry_out (r, o);
}

static void
deliver_due_orders (void)
{
  for (guint i = 0; i < w.orders->len;)
    {
      DelayedOrder *d = w.orders->pdata[i];
      Rank *r = &w.ranks[d->rank];
      Leader *l = d->leader >= 0 ? &w.leaders[d->leader] : NULL;
      gint64 token = 0;
      int status;

      if (d->due_ms > w.now)
        {
          i++;
          continue;
        }
      /* The rank's agent refuses old tokens, but an order without an answer has
       * already passed the agent. */
      if (l)
        status = deliver (r, &d->o, &token);
      else
        status = carry_out (r, &d->o);
      if (l && l->running)
        {
          if (!cf_rank_order_is_blocking (d->o.kind))
            cf_map_coordinator_take_status (&l->c, &r->s, token, w.now);
          else if (ack_of (status) == CF_RANK_ACK_DONE)
            cf_map_coordinator_take_held (&l->c, d->rank, d->o.epoch,
                                          d->o.kind == CF_ORDER_HOLD ? d->o.step
                                                                     : 0);
          cf_map_coordinator_take_ack (&l->c, d->rank, ack_of (status), w.now);
        }
      g_ptr_array_remove_index_fast (w.orders, i);
    }
}

static void
report_all (Leader *l)
{
  gint64 increases[SETS * EXPERTS];

  for (int i = 0; i < RANKS; i++)
    {
      if (chance (0.1))
        continue;
      /* The agent knows the leader's token from its heartbeats. */
      w.ranks[i].agent_fence = MAX (w.ranks[i].agent_fence, l->c.fence);
      w.highest_fence = MAX (w.highest_fence, w.ranks[i].agent_fence);
      cf_map_coordinator_take_status (&l->c, &w.ranks[i].s,
                                      w.ranks[i].agent_fence, w.now);
      /* The demand shifts every three seconds. */
      for (int e = 0; e < SETS * EXPERTS; e++)
        increases[e] = 100 * (1 + (e + w.now / 3000) % 5);
      cf_map_coordinator_add_demand (&l->c, increases, SETS * EXPERTS);
    }
}

/* Makes @l lead with a token that is higher than all seen before. */
static void
take_lead (Leader *l)
{
  gint64 fence = (w.highest_fence / 8 + 1) * 8 + l->index;

  w.highest_fence = fence;
  cf_map_coordinator_start_leading (&l->c, fence, g_rand_int (w.rand), w.now);
}

static void
inject_faults (void)
{
  Leader *l = &w.leaders[g_rand_int_range (w.rand, 0, LEADERS)];

  if (chance (0.02) && l->running)
    {
      l->running = FALSE;
      l->resume_ms = w.now + g_rand_int_range (w.rand, 50, 4000);
      /* Half of them die and lose their state, the others only freeze. */
      if (chance (0.5))
        {
          cf_map_coordinator_clear (&l->c);
          new_leader (l);
        }
    }
  if (chance (0.02))
    l->may_lead = !l->may_lead;
  if (chance (0.01))
    w.ranks[g_rand_int_range (w.rand, 0, RANKS)].agent_fence = 0;
  if (chance (0.002) && w.broken_until_ms == 0)
    {
      for (int i = 0; i < RANKS; i++)
        w.ranks[i].s.open = FALSE;
      w.broken_until_ms = w.now + g_rand_int_range (w.rand, 300, 3000);
    }
}

static void
reform_group (void)
{
  if (w.broken_until_ms == 0 || w.now < w.broken_until_ms)
    return;
  w.broken_until_ms = 0;
  form_group (w.ranks[0].s.epoch + 1);
}

/* Sends the lease, so that the standby knows of a hold before the order to hold
 * is sent. */
static void
renew_lease (Leader *l)
{
  Leader *standby = &w.leaders[1 - l->index];
  gboolean held = cf_map_coordinator_is_holding_pass (&l->c);

  if ((!held && !l->lease_sent) || chance (0.1))
    return;
  l->lease_sent = held;
  if (standby->running && l->c.fence)
    cf_hold_lease_renew (&standby->lease, l->c.fence, held, w.now);
}

static void
take_over_if_expired (Leader *l)
{
  if (l->c.fence != 0 || !cf_hold_lease_has_expired (&l->lease, 0, w.now))
    return;
  l->lease.held = FALSE;
  take_lead (l);
  report_all (l);
}

static void
run_leader (Leader *l)
{
  if (!l->running && w.now >= l->resume_ms)
    l->running = TRUE;
  if (!l->running)
    return;
  if (w.now % 100 == 0)
    report_all (l);
  if (l->may_lead && l->c.fence == 0 && w.now % 400 == 0)
    take_lead (l);
  if (!l->may_lead && l->c.state == CF_MAP_IDLE)
    l->c.fence = 0;
  take_over_if_expired (l);
  cf_map_coordinator_tick (&l->c, w.now);
  renew_lease (l);
}

static void
run_for (gint64 ms)
{
  for (gint64 end = w.now + ms; w.now < end; w.now += TICK_MS)
    {
      finish_copies ();
      deliver_due_orders ();
      reform_group ();
      if (w.now >= w.next_pass_ms)
        {
          begin_pass ();
          w.next_pass_ms = w.now + PASS_MS;
        }
      inject_faults ();
      for (int i = 0; i < LEADERS; i++)
        run_leader (&w.leaders[i]);
    }
}

static void
init_world (guint32 seed, gboolean ranks_check_fence)
{
  memset (&w, 0, sizeof w);
  w.rand = g_rand_new_with_seed (seed);
  w.orders = g_ptr_array_new_with_free_func (delayed_order_free);
  w.ranks_check_fence = ranks_check_fence;
  w.now = 1000;
  form_group (1);
  for (int i = 0; i < LEADERS; i++)
    {
      w.leaders[i].index = i;
      w.leaders[i].running = TRUE;
      w.leaders[i].may_lead = i == 0;
      new_leader (&w.leaders[i]);
    }
}

static void
clear_world (void)
{
  for (int i = 0; i < LEADERS; i++)
    cf_map_coordinator_clear (&w.leaders[i].c);
  g_ptr_array_free (w.orders, TRUE);
  g_rand_free (w.rand);
}

static void
run_seed (guint32 seed, gboolean ranks_check_fence)
{
  guint64 changes = 0;
  guint64 passes;

  init_world (seed, ranks_check_fence);
  w.has_faults = TRUE;
  run_for (FAULTS_MS);

  /* No more faults, and one leader; delayed orders still arrive. */
  w.has_faults = FALSE;
  w.leaders[0].may_lead = TRUE;
  w.leaders[1].may_lead = FALSE;
  run_for (NO_FAULTS_MS / 2);
  passes = w.n_passes;
  changes = w.leaders[0].c.n_changes;
  run_for (NO_FAULTS_MS / 2);
  ck_assert_msg (w.n_passes > passes + NO_FAULTS_MS / 2 / PASS_MS / 2,
                 "seed %u: the group makes too few passes", seed);
  ck_assert_msg (w.leaders[0].c.n_changes > changes,
                 "seed %u: no map change in %d seconds without faults", seed,
                 NO_FAULTS_MS / 2000);
  clear_world ();
}

/* A leader that invalidates an earlier leader's versions ends the hold last.
 * Before it did, its successor found the barrier version prepared on all ranks
 * and armed them for the held pass, so that a pass ran with two maps (seed
 * 1263). */
START_TEST (a_barrier_version_is_never_armed)
{
  CfRankStatus s = { .group = "g", .size = RANKS, .epoch = 1, .open = TRUE };
  Leader *l = &w.leaders[0];
  CfMapCoordinator *c = &l->c;

  init_world (1, TRUE);
  cf_map_coordinator_start_leading (c, 8, 1, 1000);
  cf_map_coordinator_take_status (c, &s, 8, 1001); /* the epoch */
  c->state = CF_MAP_INVALIDATING;
  for (s.rank = 0; s.rank < RANKS; s.rank++)
    cf_map_coordinator_take_lists (c, s.rank, 1, 0, (const gint64[]){ -1, -1 },
                                   2);
  for (int e = 0; e < SETS * RANKS * PLACES; e++)
    c->in_use->held[e] = (gint16)(e % EXPERTS);
  cf_map_coordinator_tick (c, 1002);
  s.prepared = c->version;
  ck_assert_int_ne (s.prepared, 0);
  cf_map_coordinator_start_leading (c, 16, 2, 1003);
  for (s.rank = 0; s.rank < RANKS; s.rank++)
    {
      s.held = s.rank == 2 ? 7 : 0;
      cf_map_coordinator_take_status (c, &s, 16, 1010);
    }
  cf_map_coordinator_tick (c, 1020);
  ck_assert_int_eq (c->state, CF_MAP_INVALIDATING);
  clear_world ();
}
END_TEST

/* The environment variables T_SEED (first seed) and T_SEEDS (number of seeds)
 * override the defaults. */
static void
run_seeds (guint32 from, gboolean ranks_check_fence)
{
  const char *first = g_getenv ("T_SEED");
  const char *count = g_getenv ("T_SEEDS");
  guint32 n = first ? 1 : SEEDS;

  if (first)
    from = (guint32)atoi (first);
  if (count)
    n = (guint32)atoi (count);
  for (guint32 seed = from; seed < from + n; seed++)
    run_seed (seed, ranks_check_fence);
}

START_TEST (all_ranks_use_one_map_per_pass)
{
  run_seeds (1, TRUE);
  run_seed (1263, TRUE);
}
END_TEST

/* While a leader acted on statuses from before its token guarded the ranks, two
 * leaders could arm two versions at once (seed 1119). */
START_TEST (all_ranks_use_one_map_per_pass_without_fences)
{
  run_seeds (1001, FALSE);
  run_seed (1263, FALSE);
}
END_TEST

/* A leader loses the lead to a higher token even while it has no pending order
 * that could be refused. */
START_TEST (a_leader_that_meets_a_higher_token_loses_the_lead)
{
  CfRankStatus s = { .group = "g", .size = RANKS, .epoch = 1, .open = TRUE };
  Leader *l = &w.leaders[0];

  memset (&w, 0, sizeof w);
  new_leader (l);
  cf_map_coordinator_start_leading (&l->c, 8, 1, 1000);
  cf_map_coordinator_take_status (&l->c, &s, 8, 1010); /* the epoch */
  for (s.rank = 0; s.rank < RANKS; s.rank++)
    cf_map_coordinator_take_status (&l->c, &s, 8, 1015);
  cf_map_coordinator_tick (&l->c, 1020);
  ck_assert_int_eq (l->c.state, CF_MAP_IDLE);
  s.rank = 2;
  cf_map_coordinator_take_status (&l->c, &s, 17, 1030);
  ck_assert_int_eq (l->c.fence, 0);
  ck_assert_int_eq (l->c.fenced_ms, 1030);
  cf_map_coordinator_clear (&l->c);
}
END_TEST

/* A report that a rank gives to another VM is some 100 ms old.  When the order
 * to end a hold was lost and such a report, from before the hold, was taken as
 * newer, the group stayed held for 5 s. */
START_TEST (an_old_report_does_not_end_a_hold)
{
  CfRankStatus s = { .group = "g", .size = RANKS, .epoch = 1, .open = TRUE };
  Leader *l = &w.leaders[0];
  CfMapCoordinator *c = &l->c;

  init_world (1, TRUE);
  cf_map_coordinator_start_leading (c, 8, 1, 1000);
  cf_map_coordinator_take_status (c, &s, 8, 1001); /* the epoch */
  for (s.rank = 0; s.rank < RANKS; s.rank++)
    {
      s.armed = s.prepared = 40;
      cf_map_coordinator_take_status (c, &s, 8, 1200);
    }
  c->state = CF_MAP_RELEASING;
  c->version = 40;
  c->pass_to_hold = 7;
  c->holder = 2;
  cf_map_coordinator_take_held (c, 2, 1, 7);
  cf_map_coordinator_tick (c, 1210);
  ck_assert_int_gt (c->ranks[2].pending_since_ms, 0);
  s.rank = 2;
  s.armed = 0;
  cf_map_coordinator_take_status_as_of (c, &s, 8, 1010, 1215);
  cf_map_coordinator_take_ack (c, 2, CF_RANK_ACK_UNKNOWN, 1215);
  cf_map_coordinator_tick (c, 1220);
  ck_assert_int_eq (c->state, CF_MAP_RELEASING);
  ck_assert_int_eq (c->ranks[2].status.armed, 40);
  /* A status that the agent read before the hold arrives late; the next one
   * shows that the pass is still held. */
  s.armed = 40;
  cf_map_coordinator_take_status (c, &s, 8, 1225);
  cf_map_coordinator_tick (c, 1230);
  ck_assert_int_eq (c->state, CF_MAP_SWITCHING);
  s.held = 7;
  cf_map_coordinator_take_status (c, &s, 8, 1265);
  cf_map_coordinator_tick (c, 1270);
  ck_assert_int_eq (c->state, CF_MAP_RELEASING);
  clear_world ();
}
END_TEST

/** Longest time that a group may be held after its leader froze. */
#define MAX_HELD_MS 900

/* Freezes the leader for 4 s, 0 to 20 ms after it entered @state. */
static void
freeze_leader_in (CfMapState state, guint32 seed)
{
  Leader *l = &w.leaders[0];
  gint64 deadline_ms;

  init_world (seed, TRUE);
  run_for (4000 + (gint64)seed * 370);
  deadline_ms = w.now + 10000;
  while (l->c.state != state && w.now < deadline_ms)
    run_for (TICK_MS);
  ck_assert_int_eq (l->c.state, state);
  run_for ((gint64)(seed % 3) * TICK_MS);
  l->running = FALSE;
  l->resume_ms = w.now + 4000;
  run_for (10000);
  ck_assert_msg (w.longest_block_ms <= MAX_HELD_MS,
                 "%s, seed %u: held for %d ms", cf_map_state_name (state), seed,
                 (int)w.longest_block_ms);
  clear_world ();
}

START_TEST (the_hold_of_a_frozen_leader_ends_soon)
{
  for (guint32 seed = 1; seed <= 10; seed++)
    {
      freeze_leader_in (CF_MAP_HOLDING, seed);
      freeze_leader_in (CF_MAP_ARMING, seed);
      freeze_leader_in (CF_MAP_RELEASING, seed);
    }
}
END_TEST

static void
report_pass (CfMapCoordinator *c, gint64 step, gint64 now)
{
  CfRankStatus s = { .group = "g", .size = RANKS, .epoch = 1, .open = TRUE };

  s.step = step;
  cf_map_coordinator_take_status (c, &s, 8, now);
}

/* While passes are long, each further pass with the worse map costs more than a
 * short stop; while orders get lost, arming takes several passes. */
START_TEST (the_held_pass_depends_on_the_arming_time)
{
  Leader *l = &w.leaders[0];
  CfMapCoordinator *c = &l->c;
  gint64 now = 1000;

  memset (&w, 0, sizeof w);
  new_leader (l);
  ck_assert_int_eq (cf_map_coordinator_choose_passes_ahead (c), 1);
  for (gint64 step = 1; step < 20; step++)
    report_pass (c, step, now += 45);
  ck_assert_int_eq (cf_map_coordinator_choose_passes_ahead (c), 2);
  for (gint64 step = 20; step < 40; step += 2)
    report_pass (c, step, now += 240);
  ck_assert_int_eq (cf_map_coordinator_choose_passes_ahead (c), 1);
  c->arming_ms = 500;
  ck_assert_int_eq (cf_map_coordinator_choose_passes_ahead (c), 5);
  /* After an idle time the duration of passes is unknown. */
  report_pass (c, 40, now += 5000);
  ck_assert_int_eq (cf_map_coordinator_choose_passes_ahead (c), 1);
  cf_map_coordinator_clear (c);
}
END_TEST

static void
report_start (CfMapCoordinator *c, int rank, gint64 incarnation, gint64 epoch,
              gint64 prepared, gint64 now)
{
  CfRankStatus s
      = { .group = "g", .epoch = epoch, .size = RANKS, .open = TRUE };

  s.rank = rank;
  s.incarnation = (CfOptionalInt){ incarnation != 0, incarnation };
  s.prepared = prepared;
  cf_map_coordinator_take_status (c, &s, c->fence, now);
}

/* What was known of a rank is void once it restarts, and statuses from before
 * the crash are ignored. */
START_TEST (what_was_known_of_a_restarted_rank_is_void)
{
  Leader *l = &w.leaders[0];
  CfMapCoordinator *c = &l->c;
  gint64 now = 1000;

  memset (&w, 0, sizeof w);
  new_leader (l);
  cf_map_coordinator_start_leading (c, 8, 1, now);
  for (int i = 0; i < 2 * RANKS; i++)
    report_start (c, i % RANKS, 100, 1, 0, ++now);
  c->ranks[2].lists_version = 0;
  cf_map_coordinator_tick (c, ++now);
  ck_assert_int_eq (c->state, CF_MAP_IDLE);
  /* The rank restarts before its group is known to have re-formed. */
  report_start (c, 2, 200, 1, 0, ++now);
  ck_assert_int_eq (c->state, CF_MAP_SETTLING);
  ck_assert_int_eq (c->ranks[2].lists_version, -1);
  /* Sent before the crash, received after it. */
  report_start (c, 2, 100, 1, 77, ++now);
  ck_assert_int_eq (c->ranks[2].status.prepared, 0);
  ck_assert_int_eq (c->ranks[2].status.incarnation.value, 200);
  /* The clock went back, but the epoch shows that this one is newer. */
  report_start (c, 2, 150, 2, 0, ++now);
  ck_assert_int_eq (c->ranks[2].status.incarnation.value, 150);
  ck_assert_int_eq (c->epoch, 2);
  cf_map_coordinator_clear (c);
}
END_TEST

/* A status without an incarnation hid the restart that the next one named. */
START_TEST (a_restart_after_a_status_without_incarnation_is_seen)
{
  Leader *l = &w.leaders[0];
  CfMapCoordinator *c = &l->c;
  gint64 now = 1000;

  memset (&w, 0, sizeof w);
  new_leader (l);
  cf_map_coordinator_start_leading (c, 8, 1, now);
  for (int i = 0; i < 2 * RANKS; i++)
    report_start (c, i % RANKS, 100, 1, 0, ++now);
  cf_map_coordinator_tick (c, ++now);
  ck_assert_int_eq (c->state, CF_MAP_IDLE);
  report_start (c, 2, 0, 1, 0, ++now);
  ck_assert_int_eq (c->state, CF_MAP_IDLE);
  report_start (c, 2, 200, 1, 0, ++now);
  ck_assert_int_eq (c->state, CF_MAP_SETTLING);
  /* Late, from before the restart. */
  report_start (c, 2, 100, 1, 77, ++now);
  ck_assert_int_eq (c->ranks[2].status.prepared, 0);
  cf_map_coordinator_clear (c);
}
END_TEST

#define LARGE_RANKS 192

static int n_prepare_orders;

static void
count_order (void *data, int rank, const CfRankOrder *o)
{
  n_prepare_orders += o->kind == CF_ORDER_PREPARE;
}

static void
ignore_list_request (void *data, int rank)
{
}

static void
ignore_state_change (void *data, CfMapState from, CfMapState to,
                     const char *why)
{
}

static void
take_lists_of (CfMapCoordinator *c, const CfGroupMap *m, int rank)
{
  gint64 rows[16];
  guint n = 0;

  for (int s = 0; s < c->shape.sets; s++)
    {
      for (int p = 0; p < c->shape.places; p++)
        if (cf_group_map_row (m, s, rank)[p] >= 0)
          rows[n++] = cf_group_map_row (m, s, rank)[p];
      rows[n++] = -1;
    }
  cf_map_coordinator_take_lists (c, rank, 1, 0, rows, n);
}

/* A group of 192 ranks in which a few experts get nearly all of the demand. */
static void
init_large_group (CfMapCoordinator *c, gint64 *now)
{
  const CfGroupShape shape = {
    .sets = 2, .experts = 384, .ranks = LARGE_RANKS, .places = 3, .spare = 2
  };
  const CfPlanLimits limits = { .max_set_copies = 1,
                                .max_rank_copies = 1,
                                .min_gain = 0.1,
                                .min_move_gain = 0.05 };
  static const CfMapCoordinatorCallbacks quiet
      = { count_order, ignore_list_request, ignore_state_change };
  CfGroupMap *m = cf_group_map_round_robin (&shape);
  CfRankStatus st = { .group = "g", .size = LARGE_RANKS, .epoch = 1 };
  gint64 increases[2 * 384];

  st.open = TRUE;
  cf_map_coordinator_init (c, &shape, &limits, &quiet, NULL);
  cf_map_coordinator_start_leading (c, 8, 1, *now);
  for (int i = 0; i < 2 * LARGE_RANKS; i++)
    {
      st.rank = i % LARGE_RANKS;
      cf_map_coordinator_take_status (c, &st, 8, ++*now);
    }
  for (int r = 0; r < LARGE_RANKS; r++)
    take_lists_of (c, m, r);
  cf_group_map_free (m);
  for (int w = 0; w < 4; w++)
    {
      for (int e = 0; e < 2 * 384; e++)
        increases[e] = e % 384 < 30 ? 900 : 10;
      for (int r = 0; r < LARGE_RANKS; r++)
        cf_map_coordinator_add_demand (c, increases, G_N_ELEMENTS (increases));
      cf_map_coordinator_tick (c, *now += 100);
    }
}

/*
 * A leader of 192 ranks that sent all orders of one change in one event loop
 * iteration delayed callers' events by 10 to 20 ms.  A tick therefore sends
 * only some of the orders and reports pending work, and a few ticks send all.
 */
START_TEST (the_orders_of_a_large_group_are_spread_over_ticks)
{
  CfMapCoordinator c;
  gint64 now = 1000;
  int ticks = 0;
  int max_per_tick = 0;

  n_prepare_orders = 0;
  init_large_group (&c, &now);
  while (n_prepare_orders < LARGE_RANKS && ticks < 1000)
    {
      int before = n_prepare_orders;

      cf_map_coordinator_tick (&c, now += 2);
      max_per_tick = MAX (max_per_tick, n_prepare_orders - before);
      ticks += n_prepare_orders > 0;
      ck_assert (n_prepare_orders == 0 || n_prepare_orders >= LARGE_RANKS
                 || cf_map_coordinator_has_pending_work (&c));
    }
  ck_assert_int_eq (n_prepare_orders, LARGE_RANKS);
  ck_assert_int_le (max_per_tick, LARGE_RANKS / 3);
  ck_assert_int_le (ticks, 4);
  cf_map_coordinator_clear (&c);
}
END_TEST

/* A leader that was busy for a moment continues its change.  After a gap long
 * enough for another gateway to have led, it settles again. */
START_TEST (only_a_long_gap_makes_a_leader_settle_again)
{
  CfMapCoordinator c;
  gint64 now = 1000;

  init_large_group (&c, &now);
  while (c.state != CF_MAP_PREPARING)
    cf_map_coordinator_tick (&c, now += 2);
  cf_map_coordinator_tick (&c, now += 700);
  ck_assert_int_eq (c.state, CF_MAP_PREPARING);
  cf_map_coordinator_tick (&c, now += 900);
  ck_assert_int_eq (c.state, CF_MAP_SETTLING);
  cf_map_coordinator_clear (&c);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("coordinator");
  TCase *t = tcase_create ("fenced");
  TCase *u = tcase_create ("unfenced");

  tcase_set_timeout (t, 600);
  tcase_set_timeout (u, 600);
  tcase_add_test (t, all_ranks_use_one_map_per_pass);
  tcase_add_test (t, a_leader_that_meets_a_higher_token_loses_the_lead);
  tcase_add_test (t, a_barrier_version_is_never_armed);
  tcase_add_test (t, an_old_report_does_not_end_a_hold);
  tcase_add_test (t, the_hold_of_a_frozen_leader_ends_soon);
  tcase_add_test (t, the_held_pass_depends_on_the_arming_time);
  tcase_add_test (t, what_was_known_of_a_restarted_rank_is_void);
  tcase_add_test (t, a_restart_after_a_status_without_incarnation_is_seen);
  tcase_add_test (t, only_a_long_gap_makes_a_leader_settle_again);
  tcase_add_test (t, the_orders_of_a_large_group_are_spread_over_ticks);
  tcase_add_test (u, all_ranks_use_one_map_per_pass_without_fences);
  suite_add_tcase (s, t);
  suite_add_tcase (s, u);
  return t_run_suite (s);
}
