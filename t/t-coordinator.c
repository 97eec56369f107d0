/*
 * Map changes under faults, against a model of a rank group: orders that
 * get lost, answered late or not, or are carried out seconds later; ranks
 * that crash; leaders that stand still, die and wake; two at once.  The
 * oracle: no pass begins while two ranks have different maps, and once all
 * is calm the group runs and its maps can be changed.
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
#define STORM_MS 60000
#define CALM_MS 30000
#define SEEDS 150

typedef struct
{
  CfRankStatus s;
  gint64 armed_step;
  gint64 had;       /* highest version it was ever told to prepare */
  gint64 copying;   /* version being copied; 0: none */
  gint64 copied_ms; /* when that is done */
  gint64 fence;
  gint64 agent_fence;
  guint content;      /* of the map in use */
  guint copy_content; /* of the version prepared or being copied */
  gint16 held[SETS][PLACES];
  gint16 next[SETS][PLACES];
} Rank;

typedef struct
{
  gint64 due_ms;
  int leader; /* who gets the answer; -1: none */
  int rank;
  CfRankOrder o;
  CfGroupMap *map; /* owned, of a prepare */
} Late;

typedef struct
{
  CfMapCoordinator c;
  int index;
  gboolean running; /* FALSE while it stands still or is dead */
  gboolean leads;   /* may take the lead when it has none */
  gint64 resume_ms;
  CfHoldLease lease; /* of the other leader */
  gboolean lease_told;
} Leader;

typedef struct
{
  GRand *rand;
  gint64 now;
  gint64 next_pass_ms;
  gboolean storm;
  gboolean ranks_check_fence;
  Rank ranks[RANKS];
  gint64 broken_until;
  Leader leaders[LEADERS];
  gint64 fence_seen;
  GPtrArray *late;
  guint64 n_passes;
  guint64 n_orders;
  guint64 n_late;
  gint64 blocked_ms; /* since when a hold keeps the group from its pass */
  gint64 longest_ms; /* that one did so */
} World;

static World w;

static gboolean
chance (double p)
{
  return w.storm && g_rand_double (w.rand) < p;
}

static guint
content_of (const CfGroupMap *m)
{
  guint h = 17;

  for (int i = 0; i < SETS * RANKS * PLACES; i++)
    h = h * 31 + (guint)(m->held[i] + 2);
  return h;
}

/* What a rank does with an order; an HTTP-like status. */
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
      if (o->version == r->had
          && (r->copying == o->version || r->s.prepared == o->version))
        return 200;
      if (o->version <= r->had || r->s.armed)
        return 409;
      r->had = o->version;
      r->s.prepared = 0;
      r->copying = o->version;
      r->copied_ms = w.now + g_rand_int_range (w.rand, 5, 400);
      r->copy_content = content_of (o->map);
      for (int s = 0; s < SETS; s++)
        memcpy (r->next[s], cf_group_map_at (o->map, s, r->s.rank),
                sizeof r->next[s]);
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
    case CF_ORDER_GO:
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
late_free (gpointer p)
{
  Late *l = p;

  cf_group_map_free (l->map);
  g_free (l);
}

static void
on_order (void *data, int rank, const CfRankOrder *o)
{
  Leader *l = data;
  Late *d = g_new0 (Late, 1);

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
      /* No answer, and carried out seconds later, after newer orders. */
      d->leader = -1;
      d->due_ms = w.now + g_rand_int_range (w.rand, 2000, 12000);
      w.n_late++;
      cf_map_coordinator_ack (&l->c, rank, CF_RANK_ACK_UNKNOWN, w.now);
    }
  else if (chance (0.1))
    d->leader = -1; /* carried out, and the answer is lost */
  else if (chance (0.05))
    {
      late_free (d); /* lost on the way there */
      return;
    }
  g_ptr_array_add (w.late, d);
}

static void
on_want_lists (void *data, int rank)
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
        if (r->held[s][p] >= 0)
          rows[n++] = r->held[s][p];
      rows[n++] = -1;
    }
  cf_map_coordinator_lists (&l->c, rank, r->s.epoch, r->s.map, rows, n);
}

static void
on_moved (void *data, CfMapState from, CfMapState to, const char *why)
{
  if (g_getenv ("T_TRACE"))
    g_printerr ("%6" G_GINT64_FORMAT " leader %d %s -> %s (%s)\n", w.now,
                ((Leader *)data)->index, cf_map_state_name (from),
                cf_map_state_name (to), why);
}

static const CfMapCoordinatorCalls calls
    = { on_order, on_want_lists, on_moved };

static void
first_map (Rank *r)
{
  memset (r->held, -1, sizeof r->held);
  for (int s = 0; s < SETS; s++)
    for (int e = 0; e < EXPERTS; e++)
      if (e % RANKS == r->s.rank)
        r->held[s][e / RANKS] = (gint16)e;
  r->content = 0;
}

static void
form (gint64 epoch)
{
  for (int i = 0; i < RANKS; i++)
    {
      Rank *r = &w.ranks[i];
      gint64 had = r->had;
      gint64 step = r->s.step;

      memset (&r->s, 0, sizeof r->s);
      g_strlcpy (r->s.group, "g", sizeof r->s.group);
      r->s.rank = i;
      r->s.size = RANKS;
      r->s.epoch = epoch;
      r->s.step = step;
      r->s.open = TRUE;
      r->had = had;
      r->copying = 0;
      first_map (r);
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
  const CfPlanLimits limits = {
    .max_new = 1, .max_rank_new = 0, .min_gain = 0.05, .move_gain = 0.02
  };

  cf_map_coordinator_init (&l->c, &shape, &limits, &calls, l);
}

static void
copies_done (void)
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

/* One pass of all ranks, if none holds it: the point the oracle watches. */
static void
begin_pass (void)
{
  gint64 step = w.ranks[0].s.step + 1;

  for (int i = 0; i < RANKS; i++)
    if (!w.ranks[i].s.open || w.ranks[i].s.held == step)
      {
        if (w.ranks[i].s.open && !w.blocked_ms)
          w.blocked_ms = w.now;
        return;
      }
  if (w.blocked_ms)
    w.longest_ms = MAX (w.longest_ms, w.now - w.blocked_ms);
  w.blocked_ms = 0;
  for (int i = 0; i < RANKS; i++)
    {
      Rank *r = &w.ranks[i];

      r->s.step = step;
      if (r->s.armed && r->armed_step == step)
        {
          r->s.map = r->s.armed;
          r->content = r->copy_content;
          memcpy (r->held, r->next, sizeof r->held);
          r->s.armed = 0;
        }
    }
  w.n_passes++;
  for (int i = 1; i < RANKS; i++)
    {
      ck_assert_int_eq (w.ranks[i].s.map, w.ranks[0].s.map);
      ck_assert_uint_eq (w.ranks[i].content, w.ranks[0].content);
    }
}

/* Carries out an order that its leader waits for; a status like HTTP's.  What
 * halts the group goes past the agents and what they know of tokens. */
static int
deliver (Rank *r, const CfRankOrder *o, gint64 *token)
{
  if (cf_rank_order_halts_group (o->kind))
    return carry_out (r, o);
  *token = r->agent_fence;
  if (o->fence < r->agent_fence)
    return 412;
  *token = r->agent_fence = o->fence;
  return carry_out (r, o);
}

static void
deliver_late (void)
{
  for (guint i = 0; i < w.late->len;)
    {
      Late *d = w.late->pdata[i];
      Rank *r = &w.ranks[d->rank];
      Leader *l = d->leader >= 0 ? &w.leaders[d->leader] : NULL;
      gint64 token = 0;
      int status;

      if (d->due_ms > w.now)
        {
          i++;
          continue;
        }
      /* The rank's agent refuses old tokens; what is late passed it before. */
      if (l)
        status = deliver (r, &d->o, &token);
      else
        status = carry_out (r, &d->o);
      if (l && l->running)
        {
          if (!cf_rank_order_halts_group (d->o.kind))
            cf_map_coordinator_status (&l->c, &r->s, token, w.now);
          else if (ack_of (status) == CF_RANK_ACK_DONE)
            cf_map_coordinator_held (&l->c, d->rank, d->o.epoch,
                                     d->o.kind == CF_ORDER_HOLD ? d->o.step
                                                                : 0);
          cf_map_coordinator_ack (&l->c, d->rank, ack_of (status), w.now);
        }
      g_ptr_array_remove_index_fast (w.late, i);
    }
}

static void
report_all (Leader *l)
{
  gint64 drawn[SETS * EXPERTS];

  for (int i = 0; i < RANKS; i++)
    {
      if (chance (0.1))
        continue;
      /* What the leader's own greeting did to the agent. */
      w.ranks[i].agent_fence = MAX (w.ranks[i].agent_fence, l->c.fence);
      w.fence_seen = MAX (w.fence_seen, w.ranks[i].agent_fence);
      cf_map_coordinator_status (&l->c, &w.ranks[i].s, w.ranks[i].agent_fence,
                                 w.now);
      /* Demand that shifts every three seconds. */
      for (int e = 0; e < SETS * EXPERTS; e++)
        drawn[e] = 100 * (1 + (e + w.now / 3000) % 5);
      cf_map_coordinator_drawn (&l->c, drawn, SETS * EXPERTS);
    }
}

/* Each leader in turn believes that it should lead. */
static void
take_lead (Leader *l)
{
  gint64 fence = (w.fence_seen / 8 + 1) * 8 + l->index;

  w.fence_seen = fence;
  cf_map_coordinator_lead (&l->c, fence, g_rand_int (w.rand), w.now);
}

static void
disturb (void)
{
  Leader *l = &w.leaders[g_rand_int_range (w.rand, 0, LEADERS)];

  if (chance (0.02) && l->running)
    {
      l->running = FALSE;
      l->resume_ms = w.now + g_rand_int_range (w.rand, 50, 4000);
      /* Half of them die and forget, the others only stand still. */
      if (chance (0.5))
        {
          cf_map_coordinator_clear (&l->c);
          new_leader (l);
        }
    }
  if (chance (0.02))
    l->leads = !l->leads;
  if (chance (0.01))
    w.ranks[g_rand_int_range (w.rand, 0, RANKS)].agent_fence = 0;
  if (chance (0.002) && w.broken_until == 0)
    {
      for (int i = 0; i < RANKS; i++)
        w.ranks[i].s.open = FALSE;
      w.broken_until = w.now + g_rand_int_range (w.rand, 300, 3000);
    }
}

static void
mend_group (void)
{
  if (w.broken_until == 0 || w.now < w.broken_until)
    return;
  w.broken_until = 0;
  form (w.ranks[0].s.epoch + 1);
}

/* The standby hears of a hold before the order to hold goes out. */
static void
renew_lease (Leader *l)
{
  Leader *standby = &w.leaders[1 - l->index];
  gboolean held = cf_map_coordinator_holds_pass (&l->c);

  if ((!held && !l->lease_told) || chance (0.1))
    return;
  l->lease_told = held;
  if (standby->running && l->c.fence)
    cf_hold_lease_renew (&standby->lease, l->c.fence, held, w.now);
}

static void
succeed (Leader *l)
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
  if (l->leads && l->c.fence == 0 && w.now % 400 == 0)
    take_lead (l);
  if (!l->leads && l->c.state == CF_MAP_IDLE)
    l->c.fence = 0;
  succeed (l);
  cf_map_coordinator_tick (&l->c, w.now);
  renew_lease (l);
}

static void
run_for (gint64 ms)
{
  for (gint64 end = w.now + ms; w.now < end; w.now += TICK_MS)
    {
      copies_done ();
      deliver_late ();
      mend_group ();
      if (w.now >= w.next_pass_ms)
        {
          begin_pass ();
          w.next_pass_ms = w.now + PASS_MS;
        }
      disturb ();
      for (int i = 0; i < LEADERS; i++)
        run_leader (&w.leaders[i]);
    }
}

static void
begin_world (guint32 seed, gboolean ranks_check_fence)
{
  memset (&w, 0, sizeof w);
  w.rand = g_rand_new_with_seed (seed);
  w.late = g_ptr_array_new_with_free_func (late_free);
  w.ranks_check_fence = ranks_check_fence;
  w.now = 1000;
  form (1);
  for (int i = 0; i < LEADERS; i++)
    {
      w.leaders[i].index = i;
      w.leaders[i].running = TRUE;
      w.leaders[i].leads = i == 0;
      new_leader (&w.leaders[i]);
    }
}

static void
end_world (void)
{
  for (int i = 0; i < LEADERS; i++)
    cf_map_coordinator_clear (&w.leaders[i].c);
  g_ptr_array_free (w.late, TRUE);
  g_rand_free (w.rand);
}

static void
play (guint32 seed, gboolean ranks_check_fence)
{
  guint64 changes = 0;
  guint64 passes;

  begin_world (seed, ranks_check_fence);
  w.storm = TRUE;
  run_for (STORM_MS);

  /* Calm: one leader; what is still late comes in. */
  w.storm = FALSE;
  w.leaders[0].leads = TRUE;
  w.leaders[1].leads = FALSE;
  run_for (CALM_MS / 2);
  passes = w.n_passes;
  changes = w.leaders[0].c.n_changes;
  run_for (CALM_MS / 2);
  ck_assert_msg (w.n_passes > passes + CALM_MS / 2 / PASS_MS / 2,
                 "seed %u: the group stands still", seed);
  ck_assert_msg (w.leaders[0].c.n_changes > changes,
                 "seed %u: no change of map in %d calm seconds", seed,
                 CALM_MS / 2000);
  end_world ();
}

/* A leader that burnt an earlier one's versions ends the hold last.  Its
 * successor, which found the void version prepared everywhere, armed all ranks
 * for that pass meanwhile: two maps in seed 1263. */
START_TEST (a_void_version_is_never_armed)
{
  CfRankStatus s = { .group = "g", .size = RANKS, .epoch = 1, .open = TRUE };
  Leader *l = &w.leaders[0];
  CfMapCoordinator *c = &l->c;

  begin_world (1, TRUE);
  cf_map_coordinator_lead (c, 8, 1, 1000);
  cf_map_coordinator_status (c, &s, 8, 1001); /* the epoch */
  c->state = CF_MAP_BURNING;
  for (s.rank = 0; s.rank < RANKS; s.rank++)
    cf_map_coordinator_lists (c, s.rank, 1, 0, (const gint64[]){ -1, -1 }, 2);
  for (int e = 0; e < SETS * RANKS * PLACES; e++)
    c->in_use->held[e] = (gint16)(e % EXPERTS);
  cf_map_coordinator_tick (c, 1002);
  s.prepared = c->version;
  ck_assert_int_ne (s.prepared, 0);
  cf_map_coordinator_lead (c, 16, 2, 1003);
  for (s.rank = 0; s.rank < RANKS; s.rank++)
    {
      s.held = s.rank == 2 ? 7 : 0;
      cf_map_coordinator_status (c, &s, 16, 1010);
    }
  cf_map_coordinator_tick (c, 1020);
  ck_assert_int_eq (c->state, CF_MAP_BURNING);
  end_world ();
}
END_TEST

/* T_SEED and T_SEEDS choose other seeds by hand. */
static void
play_seeds (guint32 from, gboolean ranks_check_fence)
{
  const char *first = g_getenv ("T_SEED");
  const char *count = g_getenv ("T_SEEDS");
  guint32 n = first ? 1 : SEEDS;

  if (first)
    from = (guint32)atoi (first);
  if (count)
    n = (guint32)atoi (count);
  for (guint32 seed = from; seed < from + n; seed++)
    play (seed, ranks_check_fence);
}

START_TEST (one_map_a_pass)
{
  play_seeds (1, TRUE);
  play (1263, TRUE);
}
END_TEST

/* Seed 1119 had two leaders arm two versions at once, while a leader acted
 * on reports from before its token guarded the ranks. */
START_TEST (one_map_a_pass_without_fences)
{
  play_seeds (1001, FALSE);
  play (1263, FALSE);
}
END_TEST

/* A leader that meets a higher token gives up the lead, also while it has
 * no order out that could be refused. */
START_TEST (a_higher_token_ends_the_lead)
{
  CfRankStatus s = { .group = "g", .size = RANKS, .epoch = 1, .open = TRUE };
  Leader *l = &w.leaders[0];

  memset (&w, 0, sizeof w);
  new_leader (l);
  cf_map_coordinator_lead (&l->c, 8, 1, 1000);
  cf_map_coordinator_status (&l->c, &s, 8, 1010); /* the epoch */
  for (s.rank = 0; s.rank < RANKS; s.rank++)
    cf_map_coordinator_status (&l->c, &s, 8, 1015);
  cf_map_coordinator_tick (&l->c, 1020);
  ck_assert_int_eq (l->c.state, CF_MAP_IDLE);
  s.rank = 2;
  cf_map_coordinator_status (&l->c, &s, 17, 1030);
  ck_assert_int_eq (l->c.fence, 0);
  ck_assert_int_eq (l->c.fenced_ms, 1030);
  cf_map_coordinator_clear (&l->c);
}
END_TEST

/* A report that a rank gives another VM is some 100 ms old.  The end of a hold
 * was lost, the report was of before the hold, and the group stayed held for
 * 5 s. */
START_TEST (an_old_report_does_not_end_a_hold)
{
  CfRankStatus s = { .group = "g", .size = RANKS, .epoch = 1, .open = TRUE };
  Leader *l = &w.leaders[0];
  CfMapCoordinator *c = &l->c;

  begin_world (1, TRUE);
  cf_map_coordinator_lead (c, 8, 1, 1000);
  cf_map_coordinator_status (c, &s, 8, 1001); /* the epoch */
  for (s.rank = 0; s.rank < RANKS; s.rank++)
    {
      s.armed = s.prepared = 40;
      cf_map_coordinator_status (c, &s, 8, 1200);
    }
  c->state = CF_MAP_RELEASING;
  c->version = 40;
  c->step = 7;
  c->holder = 2;
  cf_map_coordinator_held (c, 2, 1, 7);
  cf_map_coordinator_tick (c, 1210);
  ck_assert_int_gt (c->ranks[2].asked_ms, 0);
  s.rank = 2;
  s.armed = 0;
  cf_map_coordinator_status_as_of (c, &s, 8, 1010, 1215);
  cf_map_coordinator_ack (c, 2, CF_RANK_ACK_UNKNOWN, 1215);
  cf_map_coordinator_tick (c, 1220);
  ck_assert_int_eq (c->state, CF_MAP_RELEASING);
  ck_assert_int_eq (c->ranks[2].status.armed, 40);
  /* What the agent read before the hold came in late: it is held after all. */
  s.armed = 40;
  cf_map_coordinator_status (c, &s, 8, 1225);
  cf_map_coordinator_tick (c, 1230);
  ck_assert_int_eq (c->state, CF_MAP_SWITCHING);
  s.held = 7;
  cf_map_coordinator_status (c, &s, 8, 1265);
  cf_map_coordinator_tick (c, 1270);
  ck_assert_int_eq (c->state, CF_MAP_RELEASING);
  end_world ();
}
END_TEST

/** Longest that a group may be held since its leader stands still. */
#define HELD_MOST_MS 900

/* The leader stands still for 4 s, 0 to 20 ms after it entered @state. */
static void
stand_still_in (CfMapState state, guint32 seed)
{
  Leader *l = &w.leaders[0];
  gint64 until;

  begin_world (seed, TRUE);
  run_for (4000 + (gint64)seed * 370);
  until = w.now + 10000;
  while (l->c.state != state && w.now < until)
    run_for (TICK_MS);
  ck_assert_int_eq (l->c.state, state);
  run_for ((gint64)(seed % 3) * TICK_MS);
  l->running = FALSE;
  l->resume_ms = w.now + 4000;
  run_for (10000);
  ck_assert_msg (w.longest_ms <= HELD_MOST_MS, "%s, seed %u: held for %d ms",
                 cf_map_state_name (state), seed, (int)w.longest_ms);
  end_world ();
}

START_TEST (a_leader_that_stands_still_holds_its_group_no_longer)
{
  for (guint32 seed = 1; seed <= 10; seed++)
    {
      stand_still_in (CF_MAP_HOLDING, seed);
      stand_still_in (CF_MAP_ARMING, seed);
      stand_still_in (CF_MAP_RELEASING, seed);
    }
}
END_TEST

static void
report_pass (CfMapCoordinator *c, gint64 step, gint64 now)
{
  CfRankStatus s = { .group = "g", .size = RANKS, .epoch = 1, .open = TRUE };

  s.step = step;
  cf_map_coordinator_status (c, &s, 8, now);
}

/* While passes are long, each one more under the worse map costs more than
 * a short stop; while orders get lost, arming takes several passes. */
START_TEST (the_held_pass_is_as_near_as_arming_allows)
{
  Leader *l = &w.leaders[0];
  CfMapCoordinator *c = &l->c;
  gint64 now = 1000;

  memset (&w, 0, sizeof w);
  new_leader (l);
  ck_assert_int_eq (cf_map_coordinator_passes_ahead (c), 1);
  for (gint64 step = 1; step < 20; step++)
    report_pass (c, step, now += 45);
  ck_assert_int_eq (cf_map_coordinator_passes_ahead (c), 2);
  for (gint64 step = 20; step < 40; step += 2)
    report_pass (c, step, now += 240);
  ck_assert_int_eq (cf_map_coordinator_passes_ahead (c), 1);
  c->arming_ms = 500;
  ck_assert_int_eq (cf_map_coordinator_passes_ahead (c), 5);
  /* At rest for a while: how long passes take is not known any more. */
  report_pass (c, 40, now += 5000);
  ck_assert_int_eq (cf_map_coordinator_passes_ahead (c), 1);
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
  s.incarnation = incarnation;
  s.prepared = prepared;
  cf_map_coordinator_status (c, &s, c->fence, now);
}

/* A rank that started anew holds nothing; what was sent before it crashed says
 * nothing any more. */
START_TEST (a_restarted_rank_is_learned_anew)
{
  Leader *l = &w.leaders[0];
  CfMapCoordinator *c = &l->c;
  gint64 now = 1000;

  memset (&w, 0, sizeof w);
  new_leader (l);
  cf_map_coordinator_lead (c, 8, 1, now);
  for (int i = 0; i < 2 * RANKS; i++)
    report_start (c, i % RANKS, 100, 1, 0, ++now);
  c->ranks[2].lists_map = 0;
  cf_map_coordinator_tick (c, ++now);
  ck_assert_int_eq (c->state, CF_MAP_IDLE);
  /* It restarts before its group is seen to form anew. */
  report_start (c, 2, 200, 1, 0, ++now);
  ck_assert_int_eq (c->state, CF_MAP_SETTLING);
  ck_assert_int_eq (c->ranks[2].lists_map, -1);
  /* Sent before the crash, heard after it. */
  report_start (c, 2, 100, 1, 77, ++now);
  ck_assert_int_eq (c->ranks[2].status.prepared, 0);
  ck_assert_int_eq (c->ranks[2].status.incarnation, 200);
  /* The clock went back, but the epoch says which is later. */
  report_start (c, 2, 150, 2, 0, ++now);
  ck_assert_int_eq (c->ranks[2].status.incarnation, 150);
  ck_assert_int_eq (c->epoch, 2);
  cf_map_coordinator_clear (c);
}
END_TEST

#define LARGE_RANKS 192

static int n_ordered;

static void
count_order (void *data, int rank, const CfRankOrder *o)
{
  n_ordered += o->kind == CF_ORDER_PREPARE;
}

static void
want_nothing (void *data, int rank)
{
}

static void
keep_quiet (void *data, CfMapState from, CfMapState to, const char *why)
{
}

static void
tell_experts_in_turn (CfMapCoordinator *c, const CfGroupMap *m, int rank)
{
  gint64 rows[16];
  guint n = 0;

  for (int s = 0; s < c->shape.sets; s++)
    {
      for (int p = 0; p < c->shape.places; p++)
        if (cf_group_map_at (m, s, rank)[p] >= 0)
          rows[n++] = cf_group_map_at (m, s, rank)[p];
      rows[n++] = -1;
    }
  cf_map_coordinator_lists (c, rank, 1, 0, rows, n);
}

/* A group of 192 ranks of which a few experts draw nearly all. */
static void
begin_large (CfMapCoordinator *c, gint64 *now)
{
  const CfGroupShape shape = {
    .sets = 2, .experts = 384, .ranks = LARGE_RANKS, .places = 3, .spare = 2
  };
  const CfPlanLimits limits
      = { .max_new = 1, .max_rank_new = 1, .min_gain = 0.1, .move_gain = 0.05 };
  static const CfMapCoordinatorCalls quiet
      = { count_order, want_nothing, keep_quiet };
  CfGroupMap *m = cf_group_map_in_turn (&shape);
  CfRankStatus st = { .group = "g", .size = LARGE_RANKS, .epoch = 1 };
  gint64 drawn[2 * 384];

  st.open = TRUE;
  cf_map_coordinator_init (c, &shape, &limits, &quiet, NULL);
  cf_map_coordinator_lead (c, 8, 1, *now);
  for (int i = 0; i < 2 * LARGE_RANKS; i++)
    {
      st.rank = i % LARGE_RANKS;
      cf_map_coordinator_status (c, &st, 8, ++*now);
    }
  for (int r = 0; r < LARGE_RANKS; r++)
    tell_experts_in_turn (c, m, r);
  cf_group_map_free (m);
  for (int w = 0; w < 4; w++)
    {
      for (int e = 0; e < 2 * 384; e++)
        drawn[e] = e % 384 < 30 ? 900 : 10;
      for (int r = 0; r < LARGE_RANKS; r++)
        cf_map_coordinator_drawn (c, drawn, G_N_ELEMENTS (drawn));
      cf_map_coordinator_tick (c, *now += 100);
    }
}

/*
 * A leader of 192 ranks held up callers' events for 10 to 20 ms with the
 * orders of one change, all sent in one turn of its loop.  A tick sends some
 * of them and says that there are more, and all are out after a few.
 */
START_TEST (the_orders_of_a_large_group_are_spread_over_ticks)
{
  CfMapCoordinator c;
  gint64 now = 1000;
  int ticks = 0;
  int most = 0;

  n_ordered = 0;
  begin_large (&c, &now);
  while (n_ordered < LARGE_RANKS && ticks < 1000)
    {
      int before = n_ordered;

      cf_map_coordinator_tick (&c, now += 2);
      most = MAX (most, n_ordered - before);
      ticks += n_ordered > 0;
      ck_assert (n_ordered == 0 || n_ordered >= LARGE_RANKS
                 || cf_map_coordinator_has_more (&c));
    }
  ck_assert_int_eq (n_ordered, LARGE_RANKS);
  ck_assert_int_le (most, LARGE_RANKS / 3);
  ck_assert_int_le (ticks, 4);
  cf_map_coordinator_clear (&c);
}
END_TEST

/* A busy leader goes on with its change; one that was away for so long that
 * another may have led in between learns anew what the ranks hold. */
START_TEST (a_busy_leader_is_none_that_stood_still)
{
  CfMapCoordinator c;
  gint64 now = 1000;

  begin_large (&c, &now);
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
  tcase_add_test (t, one_map_a_pass);
  tcase_add_test (t, a_higher_token_ends_the_lead);
  tcase_add_test (t, a_void_version_is_never_armed);
  tcase_add_test (t, an_old_report_does_not_end_a_hold);
  tcase_add_test (t, a_leader_that_stands_still_holds_its_group_no_longer);
  tcase_add_test (t, the_held_pass_is_as_near_as_arming_allows);
  tcase_add_test (t, a_restarted_rank_is_learned_anew);
  tcase_add_test (t, a_busy_leader_is_none_that_stood_still);
  tcase_add_test (t, the_orders_of_a_large_group_are_spread_over_ticks);
  tcase_add_test (u, one_map_a_pass_without_fences);
  suite_add_tcase (s, t);
  suite_add_tcase (s, u);
  return t_run_suite (s);
}
