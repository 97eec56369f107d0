#include "map-coordinator.h"

#include "ablation.h"
#include "map-gain.h"

#include <string.h>

/** An order without an answer is sent again after so long: an answer takes
 * about 5 ms on the way through the rank's own VM, where it is tried for up
 * to 0.1 s. */
#define ORDER_AGAIN_MS 120
/** Copies take a second or so; the order is only repeated in case it was
 * lost, and a rank that has it already answers so. */
#define PREPARE_AGAIN_MS 250
/** A copy of all that one change may bring takes under a second; past this
 * the change is given up, which costs nothing since no rank is armed. */
#define PREPARE_MAX_MS 4000
/** A hold that is not confirmed, or an arm refused for so long, is looked
 * into afresh. */
#define STEP_MAX_MS 1500
/** Without a tick for so long this process stood still, and others may
 * have acted: what it believes is learned anew. */
#define GAP_MS 400
/** How long holding a pass and arming 16 ranks takes, until it is known.
 * So many passes ahead one is held: a group that stands still makes its
 * callers wait, one that is warned too early runs on with a worse map. */
#define ARMING_FIRST_MS 60
/** Of the last time, what is still reckoned with after a quicker change. */
#define ARMING_KEEP 0.7
#define LEAD_LAST 48
/** Passes this long apart, or more, show a group at rest. */
#define PASS_MOST_MS 1000
/** Between two plans, and after a change that was given up. */
#define PLAN_PAUSE_MS 100
#define ABORT_PAUSE_MS 500
/** Versions one leader may use under one token. */
#define VERSION_BITS 10
#define SALT_BITS 14
#define SALT_MASK ((1U << SALT_BITS) - 1)

const char *
cf_map_state_name (CfMapState s)
{
  switch (s)
    {
    case CF_MAP_SETTLING:
      return "settling";
    case CF_MAP_IDLE:
      return "idle";
    case CF_MAP_PREPARING:
      return "preparing";
    case CF_MAP_HOLDING:
      return "holding";
    case CF_MAP_ARMING:
      return "arming";
    case CF_MAP_RELEASING:
      return "releasing";
    case CF_MAP_SWITCHING:
      return "switching";
    case CF_MAP_BURNING:
      return "burning";
    }
  return "unknown";
}

static gsize
n_experts (const CfMapCoordinator *c)
{
  return (gsize)c->shape.sets * c->shape.experts;
}

void
cf_map_coordinator_init (CfMapCoordinator *c, const CfGroupShape *shape,
                         const CfPlanLimits *limits,
                         const CfMapCoordinatorCalls *calls, void *data)
{
  memset (c, 0, sizeof *c);
  c->shape = *shape;
  c->limits = *limits;
  c->calls = calls;
  c->data = data;
  c->ranks = g_new0 (CfRankView, shape->ranks);
  for (int r = 0; r < shape->ranks; r++)
    c->ranks[r].lists_map = -1;
  cf_expert_demand_init (&c->demand, shape->ranks, n_experts (c));
  c->pace = g_new0 (double, shape->ranks);
  c->in_use = cf_group_map_new (shape);
  c->arming_ms = ARMING_FIRST_MS;
}

void
cf_map_coordinator_clear (CfMapCoordinator *c)
{
  g_free (c->ranks);
  cf_expert_demand_clear (&c->demand);
  g_free (c->pace);
  cf_group_map_free (c->in_use);
  cf_group_map_free (c->next);
}

static void
enter (CfMapCoordinator *c, CfMapState s, const char *why, gint64 now)
{
  CfMapState from = c->state;

  c->state = s;
  c->state_ms = now;
  for (int r = 0; r < c->shape.ranks; r++)
    c->ranks[r].asked_ms = 0;
  c->calls->moved (c->data, from, s, why);
}

void
cf_map_coordinator_lead (CfMapCoordinator *c, gint64 fence, guint salt,
                         gint64 now)
{
  c->fence = fence;
  c->salt = salt & SALT_MASK;
  c->n_versions = 0;
  c->last_tick_ms = now;
  enter (c, CF_MAP_SETTLING, "took-the-lead", now);
}

static gint64
new_version (CfMapCoordinator *c)
{
  return ((c->fence << SALT_BITS | c->salt) << VERSION_BITS) + ++c->n_versions;
}

gint64
cf_map_version_fence (gint64 version)
{
  return version >> (SALT_BITS + VERSION_BITS);
}

/* What the ranks report, taken together. */

static gboolean
all_seen_since (const CfMapCoordinator *c, gint64 since)
{
  for (int r = 0; r < c->shape.ranks; r++)
    {
      const CfRankView *v = &c->ranks[r];

      if (v->seen_ms <= since || v->status.epoch != c->epoch || !v->status.open)
        return FALSE;
    }
  return TRUE;
}

static gboolean
guards_all (const CfMapCoordinator *c)
{
  for (int r = 0; r < c->shape.ranks; r++)
    if (c->ranks[r].token < c->fence)
      return FALSE;
  return TRUE;
}

static gboolean
any_armed (const CfMapCoordinator *c)
{
  for (int r = 0; r < c->shape.ranks; r++)
    if (c->ranks[r].status.armed)
      return TRUE;
  return FALSE;
}

static gboolean
any_held (const CfMapCoordinator *c)
{
  for (int r = 0; r < c->shape.ranks; r++)
    if (c->ranks[r].status.held)
      return TRUE;
  return FALSE;
}

static gint64
newest_step (const CfMapCoordinator *c)
{
  gint64 step = 0;

  for (int r = 0; r < c->shape.ranks; r++)
    step = MAX (step, c->ranks[r].status.step);
  return step;
}

/* The only pass held, with the rank that holds it; 0 if none or several. */
static gint64
only_hold (const CfMapCoordinator *c, int *holder)
{
  gint64 step = 0;

  for (int r = 0; r < c->shape.ranks; r++)
    {
      gint64 held = c->ranks[r].status.held;

      if (held && step && held != step)
        return 0;
      if (held)
        {
          step = held;
          *holder = r;
        }
    }
  return step;
}

/* The version that every rank has armed, prepared or in use; 0 if they
 * differ. */
static gint64
common_version (const CfMapCoordinator *c)
{
  gint64 common = 0;

  for (int r = 0; r < c->shape.ranks; r++)
    {
      const CfRankStatus *s = &c->ranks[r].status;
      gint64 v = s->armed ? s->armed : MAX (s->prepared, s->map);

      if (r > 0 && v != common)
        return 0;
      common = v;
    }
  return common;
}

static gboolean
all_on_version (const CfMapCoordinator *c)
{
  for (int r = 0; r < c->shape.ranks; r++)
    if (c->ranks[r].status.map != c->version)
      return FALSE;
  return TRUE;
}

static gboolean
knows_map (const CfMapCoordinator *c)
{
  for (int r = 0; r < c->shape.ranks; r++)
    if (c->ranks[r].lists_map != c->ranks[r].status.map)
      return FALSE;
  return cf_group_map_whole (c->in_use);
}

/* Orders */

static gboolean
may_ask (const CfRankView *v, gint64 now, gint64 again_ms)
{
  return v->asked_ms == 0 || now - v->asked_ms >= again_ms;
}

static void
send_order (CfMapCoordinator *c, int rank, CfRankOrder *o, gint64 now)
{
  o->epoch = c->epoch;
  o->fence = c->fence;
  c->ranks[rank].asked_ms = now;
  c->calls->order (c->data, rank, o);
}

static void
ask_lists (CfMapCoordinator *c, gint64 now)
{
  for (int r = 0; r < c->shape.ranks; r++)
    {
      CfRankView *v = &c->ranks[r];

      if (v->lists_map == v->status.map || !may_ask (v, now, PREPARE_AGAIN_MS))
        continue;
      v->asked_ms = now;
      c->calls->want_lists (c->data, r);
    }
}

/* Each state's work at a tick. */

static void
settle (CfMapCoordinator *c, gint64 now)
{
  gboolean held;
  int holder = 0;
  gint64 step;

  if (!all_seen_since (c, c->state_ms) || !guards_all (c))
    return;
  held = any_held (c);
  step = only_hold (c, &holder);
  if (!held && !any_armed (c))
    {
      enter (c, CF_MAP_IDLE, "nothing-pending", now);
      return;
    }
  g_clear_pointer (&c->next, cf_group_map_free);
  c->version = common_version (c);
  if (c->version && !held)
    enter (c, CF_MAP_SWITCHING, "all-armed", now);
  else if (c->version && step)
    {
      c->step = step;
      c->holder = holder;
      c->hold_ms = now;
      enter (c, CF_MAP_ARMING, "earlier-leader-held", now);
    }
  else if (held)
    enter (c, CF_MAP_BURNING, "versions-differ", now);
}

static void
burn (CfMapCoordinator *c, gint64 now)
{
  gboolean clear = TRUE;

  if (!knows_map (c))
    {
      ask_lists (c, now);
      return;
    }
  if (c->next == NULL)
    {
      c->next = cf_group_map_copy (c->in_use);
      c->version = new_version (c);
    }
  for (int r = 0; r < c->shape.ranks; r++)
    {
      CfRankView *v = &c->ranks[r];
      CfRankOrder o = { .kind = CF_ORDER_PREPARE, .version = c->version };

      if (!v->status.armed && v->status.prepared == c->version)
        continue;
      clear = FALSE;
      if (!may_ask (v, now, ORDER_AGAIN_MS))
        continue;
      o.map = c->next;
      if (v->status.armed)
        {
          o.kind = CF_ORDER_DISARM;
          o.version = v->status.armed;
        }
      send_order (c, r, &o, now);
    }
  for (int r = 0; clear && r < c->shape.ranks; r++)
    {
      CfRankView *v = &c->ranks[r];
      CfRankOrder o = { .kind = CF_ORDER_GO, .step = v->status.held };

      if (v->status.held && may_ask (v, now, ORDER_AGAIN_MS))
        send_order (c, r, &o, now);
    }
  if (clear && !any_held (c))
    enter (c, CF_MAP_IDLE, "burnt", now);
}

static void
prepare (CfMapCoordinator *c, gint64 now)
{
  gboolean ready = TRUE;

  for (int r = 0; r < c->shape.ranks; r++)
    {
      CfRankView *v = &c->ranks[r];
      CfRankOrder o = { .kind = CF_ORDER_PREPARE, .version = c->version };

      if (v->status.prepared == c->version)
        continue;
      ready = FALSE;
      o.map = c->next;
      if (may_ask (v, now, PREPARE_AGAIN_MS))
        send_order (c, r, &o, now);
    }
  if (ready)
    {
      c->lead = cf_map_coordinator_passes_ahead (c);
      c->step = 0;
      c->holder = (int)(c->version % c->shape.ranks);
      c->hold_ms = now;
      enter (c, CF_MAP_HOLDING, "all-prepared", now);
    }
  else if (now - c->state_ms > PREPARE_MAX_MS)
    {
      c->idle_until_ms = now + ABORT_PAUSE_MS;
      enter (c, CF_MAP_IDLE, "copies-too-slow", now);
    }
}

static void
hold (CfMapCoordinator *c, gint64 now)
{
  CfRankView *v = &c->ranks[c->holder];
  CfRankOrder o = { .kind = CF_ORDER_HOLD };

  if (c->step && v->status.held == c->step)
    {
      enter (c, CF_MAP_ARMING, "held", now);
      return;
    }
  if (v->status.held || now - c->state_ms > STEP_MAX_MS)
    {
      enter (c, CF_MAP_SETTLING, "hold-not-confirmed", now);
      return;
    }
  if (c->step == 0)
    {
      c->step = newest_step (c) + c->lead;
      v->asked_ms = 0;
    }
  o.step = c->step;
  if (may_ask (v, now, ORDER_AGAIN_MS))
    send_order (c, c->holder, &o, now);
}

int
cf_map_coordinator_passes_ahead (const CfMapCoordinator *c)
{
  gint64 passes = c->pass_ms ? c->arming_ms / c->pass_ms : 0;

  return (int)MIN (passes + 1, LEAD_LAST);
}

/* Where orders get lost, arming all ranks takes longer. */
static void
learn_arming (CfMapCoordinator *c, gint64 ms)
{
  c->arming_ms = MAX (ms, (gint64)((double)c->arming_ms * ARMING_KEEP));
}

static void
arm (CfMapCoordinator *c, gint64 now)
{
  gboolean ready = TRUE;

  for (int r = 0; r < c->shape.ranks; r++)
    {
      CfRankView *v = &c->ranks[r];
      CfRankOrder o = { .kind = CF_ORDER_ARM, .version = c->version };

      if (v->status.armed == c->version || v->status.map == c->version)
        continue;
      ready = FALSE;
      o.step = c->step;
      if (may_ask (v, now, ORDER_AGAIN_MS))
        send_order (c, r, &o, now);
    }
  if (ready)
    {
      learn_arming (c, now - c->hold_ms);
      enter (c, CF_MAP_RELEASING, "all-armed", now);
    }
  else if (now - c->state_ms > STEP_MAX_MS)
    enter (c, CF_MAP_SETTLING, "arming-too-slow", now);
}

static void
release (CfMapCoordinator *c, gint64 now)
{
  CfRankView *v = &c->ranks[c->holder];
  CfRankOrder o = { .kind = CF_ORDER_GO, .step = c->step };

  if (v->status.held != c->step)
    enter (c, CF_MAP_SWITCHING, "released", now);
  else if (may_ask (v, now, ORDER_AGAIN_MS))
    send_order (c, c->holder, &o, now);
}

static void
adopt_next (CfMapCoordinator *c)
{
  for (int r = 0; c->next && r < c->shape.ranks; r++)
    c->ranks[r].lists_map = c->version;
  if (!c->next)
    return;
  cf_group_map_free (c->in_use);
  c->in_use = g_steal_pointer (&c->next);
}

static void
await_switch (CfMapCoordinator *c, gint64 now)
{
  if (all_on_version (c))
    {
      adopt_next (c);
      c->n_changes++;
      c->idle_until_ms = now;
      enter (c, CF_MAP_IDLE, "changed", now);
      return;
    }
  if (any_held (c) || !any_armed (c))
    if (all_seen_since (c, c->state_ms))
      enter (c, CF_MAP_SETTLING, "not-as-armed", now);
}

static void
plan (CfMapCoordinator *c, gint64 now)
{
  CfPlanLimits limits = c->limits;

  if (any_held (c) || any_armed (c))
    {
      enter (c, CF_MAP_SETTLING, "someone-else-acts", now);
      return;
    }
  if (CF_WITHOUT_MAP_CHANGES)
    return;
  if (now < c->idle_until_ms || !all_seen_since (c, 0)
      || !cf_expert_demand_known (&c->demand))
    return;
  if (!knows_map (c))
    {
      ask_lists (c, now);
      return;
    }
  c->idle_until_ms = now + PLAN_PAUSE_MS;
  cf_group_map_free (c->next);
  for (int r = 0; r < c->shape.ranks; r++)
    c->pace[r] = MAX (c->ranks[r].status.pace, 1);
  limits.min_gain = cf_map_gain_asked (limits.min_gain, c->pass_ms,
                                       c->pass_aim_ms, c->demand.n_windows);
  c->next = cf_group_map_plan (c->in_use, c->demand.tokens, c->pace, &limits);
  if (!c->next)
    return;
  c->last_copies = cf_group_map_added (c->in_use, c->next);
  c->skew_before = cf_group_map_skew (c->in_use, c->demand.tokens, c->pace);
  c->skew_after = cf_group_map_skew (c->next, c->demand.tokens, c->pace);
  c->version = new_version (c);
  enter (c, CF_MAP_PREPARING, "worth-it", now);
}

void
cf_map_coordinator_tick (CfMapCoordinator *c, gint64 now)
{
  gboolean stood_still = now - c->last_tick_ms > GAP_MS;

  c->last_tick_ms = now;
  cf_expert_demand_tick (&c->demand, now);
  if (c->fence == 0)
    return;
  if (stood_still && c->state != CF_MAP_SETTLING)
    enter (c, CF_MAP_SETTLING, "stood-still", now);
  switch (c->state)
    {
    case CF_MAP_SETTLING:
      settle (c, now);
      break;
    case CF_MAP_IDLE:
      plan (c, now);
      break;
    case CF_MAP_PREPARING:
      prepare (c, now);
      break;
    case CF_MAP_HOLDING:
      hold (c, now);
      break;
    case CF_MAP_ARMING:
      arm (c, now);
      break;
    case CF_MAP_RELEASING:
      release (c, now);
      break;
    case CF_MAP_SWITCHING:
      await_switch (c, now);
      break;
    case CF_MAP_BURNING:
      burn (c, now);
      break;
    }
}

/* The group formed anew: all that was pending is void. */
static void
new_epoch (CfMapCoordinator *c, gint64 epoch, gint64 now)
{
  c->epoch = epoch;
  c->pass_step = 0;
  for (int r = 0; r < c->shape.ranks; r++)
    c->ranks[r].lists_map = -1;
  cf_expert_demand_forget (&c->demand);
  g_clear_pointer (&c->next, cf_group_map_free);
  enter (c, CF_MAP_SETTLING, "new-epoch", now);
}

/* How long passes take, from the newest that ranks report. */
static void
note_pass (CfMapCoordinator *c, gint64 step, gint64 now)
{
  gint64 ms;

  if (step <= c->pass_step)
    return;
  ms = (now - c->pass_at_ms) / (step - c->pass_step);
  c->pass_step = step;
  c->pass_at_ms = now;
  if (ms > PASS_MOST_MS)
    c->pass_ms = 0;
  else
    c->pass_ms = c->pass_ms ? (c->pass_ms + ms) / 2 : ms;
}

/* Another leader's token guards a rank: this one orders nothing more. */
static void
lose_lead (CfMapCoordinator *c, gint64 now)
{
  c->fence = 0;
  c->fenced_ms = now;
  enter (c, CF_MAP_SETTLING, "fenced", now);
}

/* Whether @s is of a start of the rank before the one known. */
static gboolean
is_former (const CfRankView *v, const CfRankStatus *s)
{
  return s->incarnation && s->incarnation < v->status.incarnation
         && s->epoch <= v->status.epoch;
}

/* The rank started anew: it holds and knows nothing of what was ordered; its
 * status says by which token it guards itself.  Its group forms anew, as the
 * next reports will say; until then nothing that is under way can go on. */
static void
restarted (CfMapCoordinator *c, int rank, gint64 now)
{
  CfRankView *v = &c->ranks[rank];

  v->lists_map = -1;
  cf_expert_demand_forget_rank (&c->demand, rank);
  if (c->state != CF_MAP_SETTLING)
    enter (c, CF_MAP_SETTLING, "rank-restarted", now);
}

void
cf_map_coordinator_status (CfMapCoordinator *c, const CfRankStatus *s,
                           gint64 token, gint64 now)
{
  CfRankView *v;

  if (s->rank < 0 || s->rank >= c->shape.ranks || s->epoch < c->epoch)
    return;
  if (s->epoch > c->epoch)
    new_epoch (c, s->epoch, now);
  v = &c->ranks[s->rank];
  if (is_former (v, s))
    return;
  if (s->incarnation > v->status.incarnation && v->status.incarnation)
    restarted (c, s->rank, now);
  v->status = *s;
  note_pass (c, s->step, now);
  if (c->fence && token > c->fence)
    lose_lead (c, now);
  v->token = token;
  v->seen_ms = now;
  if (!s->open && c->state != CF_MAP_SETTLING)
    enter (c, CF_MAP_SETTLING, "group-broken", now);
}

void
cf_map_coordinator_counts (CfMapCoordinator *c, int rank, const gint64 *counts,
                           guint n)
{
  if (rank >= 0 && rank < c->shape.ranks && n == n_experts (c))
    cf_expert_demand_report (&c->demand, rank, counts);
}

/* Writes one rank's row of every set; FALSE if it does not fit the shape. */
static gboolean
take_rows (CfMapCoordinator *c, int rank, const gint64 *experts, guint n)
{
  int set = 0;
  int place = 0;

  for (int s = 0; s < c->shape.sets; s++)
    for (int p = 0; p < c->shape.places; p++)
      cf_group_map_at (c->in_use, s, rank)[p] = -1;
  for (guint i = 0; i < n; i++)
    {
      if (experts[i] < 0)
        {
          set++;
          place = 0;
          continue;
        }
      if (set >= c->shape.sets || place >= c->shape.places
          || experts[i] >= c->shape.experts)
        return FALSE;
      cf_group_map_at (c->in_use, set, rank)[place++] = (gint16)experts[i];
    }
  return set == c->shape.sets;
}

void
cf_map_coordinator_lists (CfMapCoordinator *c, int rank, gint64 epoch,
                          gint64 version, const gint64 *experts, guint n)
{
  if (rank < 0 || rank >= c->shape.ranks || epoch != c->epoch)
    return;
  c->ranks[rank].asked_ms = 0;
  if (take_rows (c, rank, experts, n))
    c->ranks[rank].lists_map = version;
}

static void
refused (CfMapCoordinator *c, int rank, gint64 now)
{
  switch (c->state)
    {
    case CF_MAP_PREPARING:
      c->idle_until_ms = now + ABORT_PAUSE_MS;
      enter (c, CF_MAP_SETTLING, "prepare-refused", now);
      break;
    case CF_MAP_HOLDING:
      if (rank != c->holder || c->ranks[rank].status.held == c->step)
        break;
      /* The pass has begun: one further ahead. */
      c->step = 0;
      c->lead = MIN (c->lead * 2, LEAD_LAST);
      break;
    default:
      break;
    }
}

void
cf_map_coordinator_ack (CfMapCoordinator *c, int rank, CfRankAck ack,
                        gint64 now)
{
  if (rank < 0 || rank >= c->shape.ranks || c->fence == 0)
    return;
  switch (ack)
    {
    case CF_RANK_ACK_DONE:
      break;
    case CF_RANK_ACK_UNKNOWN:
      /* Given again at once: it may be carried out late, or never. */
      c->ranks[rank].asked_ms = 0;
      break;
    case CF_RANK_ACK_REFUSED:
      refused (c, rank, now);
      break;
    case CF_RANK_ACK_FENCED:
      lose_lead (c, now);
      break;
    }
}
