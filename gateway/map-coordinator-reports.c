#include "map-coordinator-parts.h"

/** A longer time between two passes means that the group was idle. */
#define MAX_PASS_MS 1000

/* The group re-formed: all pending changes are void. */
static void
start_epoch (CfMapCoordinator *c, gint64 epoch, gint64 now)
{
  c->epoch = epoch;
  c->newest_pass = 0;
  for (int r = 0; r < c->shape.ranks; r++)
    c->ranks[r].lists_version = -1;
  cf_expert_demand_reset (&c->demand);
  g_clear_pointer (&c->next, cf_group_map_free);
  cf_map_enter_state (c, CF_MAP_SETTLING, "new-epoch", now);
}

/* Updates the duration of passes from the newest pass that a rank has begun. */
static void
update_pass_time (CfMapCoordinator *c, gint64 pass, gint64 now)
{
  gint64 ms;

  if (pass <= c->newest_pass)
    return;
  ms = (now - c->newest_pass_ms) / (pass - c->newest_pass);
  c->newest_pass = pass;
  c->newest_pass_ms = now;
  if (ms > MAX_PASS_MS)
    c->pass_ms = 0;
  else
    c->pass_ms = c->pass_ms ? (c->pass_ms + ms) / 2 : ms;
}

/* Loses the lead, as a higher token guards a rank: this leader sends no more
 * orders. */
static void
lose_lead (CfMapCoordinator *c, gint64 now)
{
  c->fence = 0;
  c->fenced_ms = now;
  cf_map_enter_state (c, CF_MAP_SETTLING, "fenced", now);
}

/* Whether @s is from an earlier incarnation of the rank than the known one. */
static gboolean
is_of_earlier_incarnation (const CfRankView *v, const CfRankStatus *s)
{
  return s->incarnation.is_set && v->status.incarnation.is_set
         && s->incarnation.value < v->status.incarnation.value
         && s->epoch <= v->status.epoch;
}

/* Whether @s is from a later incarnation of the rank than the known one. */
static gboolean
is_of_later_incarnation (const CfRankView *v, const CfRankStatus *s)
{
  return s->incarnation.is_set && v->status.incarnation.is_set
         && s->incarnation.value > v->status.incarnation.value;
}

/* Takes over @s.  A status of the same epoch that names no incarnation is of
 * the known one: a rank that restarts breaks its group. */
static void
replace_status (CfRankView *v, const CfRankStatus *s)
{
  CfOptionalInt known = v->status.incarnation;
  gboolean same_epoch = s->epoch == v->status.epoch;

  v->status = *s;
  if (!s->incarnation.is_set && same_epoch)
    v->status.incarnation = known;
}

/* The rank restarted: it has forgotten all earlier orders, none of which is in
 * effect any more, and its status names the token that guards it now.  Later
 * statuses will show that its group re-formed; until then, no pending change
 * can continue. */
static void
handle_restart (CfMapCoordinator *c, int rank, gint64 now)
{
  CfRankView *v = &c->ranks[rank];

  v->lists_version = -1;
  if (c->state != CF_MAP_SETTLING)
    cf_map_enter_state (c, CF_MAP_SETTLING, "rank-restarted", now);
}

static gboolean
take_status (CfMapCoordinator *c, const CfRankStatus *s, gint64 token,
             gint64 as_of, gint64 now)
{
  CfRankView *v;

  if (s->rank < 0 || s->rank >= c->shape.ranks || s->epoch < c->epoch)
    return FALSE;
  if (s->epoch > c->epoch)
    start_epoch (c, s->epoch, now);
  v = &c->ranks[s->rank];
  if (is_of_earlier_incarnation (v, s))
    return FALSE;
  if (is_of_later_incarnation (v, s))
    handle_restart (c, s->rank, now);
  replace_status (v, s);
  update_pass_time (c, s->step, now);
  if (c->fence && token > c->fence)
    lose_lead (c, now);
  v->token = token;
  v->as_of_ms = as_of;
  if (!s->open && c->state != CF_MAP_SETTLING)
    cf_map_enter_state (c, CF_MAP_SETTLING, "group-broken", now);
  return TRUE;
}

gboolean
cf_map_coordinator_take_status (CfMapCoordinator *c, const CfRankStatus *s,
                                gint64 token, gint64 now)
{
  return take_status (c, s, token, now, now);
}

void
cf_map_coordinator_take_status_as_of (CfMapCoordinator *c,
                                      const CfRankStatus *s, gint64 token,
                                      gint64 as_of, gint64 now)
{
  gboolean is_valid_rank = s->rank >= 0 && s->rank < c->shape.ranks;

  if (is_valid_rank && as_of > c->ranks[s->rank].as_of_ms)
    take_status (c, s, token, as_of, now);
}

void
cf_map_coordinator_take_held (CfMapCoordinator *c, int rank, gint64 epoch,
                              gint64 step)
{
  if (rank >= 0 && rank < c->shape.ranks && epoch == c->epoch)
    c->ranks[rank].status.held = step;
}

gboolean
cf_map_coordinator_add_demand (CfMapCoordinator *c, const gint64 *increases,
                               guint n)
{
  if (n != cf_map_count_experts (c))
    return FALSE;
  cf_expert_demand_add (&c->demand, increases);
  return TRUE;
}

/* Writes the rank's rows of all sets; FALSE if they don't fit the shape. */
static gboolean
set_rows (CfMapCoordinator *c, int rank, const gint64 *experts, guint n)
{
  int set = 0;
  int place = 0;

  for (int s = 0; s < c->shape.sets; s++)
    for (int p = 0; p < c->shape.places; p++)
      cf_group_map_row (c->in_use, s, rank)[p] = -1;
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
      cf_group_map_row (c->in_use, set, rank)[place++] = (gint16)experts[i];
    }
  return set == c->shape.sets;
}

gboolean
cf_map_coordinator_take_lists (CfMapCoordinator *c, int rank, gint64 epoch,
                               gint64 version, const gint64 *experts, guint n)
{
  if (rank < 0 || rank >= c->shape.ranks || epoch != c->epoch)
    return FALSE;
  c->ranks[rank].pending_since_ms = 0;
  if (!set_rows (c, rank, experts, n))
    return FALSE;
  c->ranks[rank].lists_version = version;
  return TRUE;
}

static void
handle_refusal (CfMapCoordinator *c, int rank, gint64 now)
{
  switch (c->state)
    {
    case CF_MAP_PREPARING:
      c->idle_until_ms = now + CF_MAP_ABORT_PAUSE_MS;
      cf_map_enter_state (c, CF_MAP_SETTLING, "prepare-refused", now);
      break;
    case CF_MAP_HOLDING:
      if (rank != c->holder || c->ranks[rank].status.held == c->pass_to_hold)
        break;
      /* The pass has already begun: hold one further ahead. */
      c->pass_to_hold = 0;
      c->passes_ahead = MIN (c->passes_ahead * 2, CF_MAP_MAX_PASSES_AHEAD);
      break;
    default:
      break;
    }
}

void
cf_map_coordinator_take_ack (CfMapCoordinator *c, int rank, CfRankAck ack,
                             gint64 now)
{
  if (rank < 0 || rank >= c->shape.ranks || c->fence == 0)
    return;
  switch (ack)
    {
    case CF_RANK_ACK_DONE:
      break;
    case CF_RANK_ACK_UNKNOWN:
      /* Send it again at the next tick: it may be carried out late, or
       * never. */
      c->ranks[rank].pending_since_ms = 0;
      break;
    case CF_RANK_ACK_REFUSED:
      handle_refusal (c, rank, now);
      break;
    case CF_RANK_ACK_FENCED:
      lose_lead (c, now);
      break;
    }
}
