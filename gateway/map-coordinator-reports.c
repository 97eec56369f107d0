#include "map-coordinator-parts.h"

/** Passes this long apart, or more, show a group at rest. */
#define PASS_MOST_MS 1000

/* The group formed anew: all that was pending is void. */
static void
new_epoch (CfMapCoordinator *c, gint64 epoch, gint64 now)
{
  c->epoch = epoch;
  c->pass_step = 0;
  for (int r = 0; r < c->shape.ranks; r++)
    c->ranks[r].lists_map = -1;
  cf_expert_demand_reset (&c->demand);
  g_clear_pointer (&c->next, cf_group_map_free);
  cf_map_enter (c, CF_MAP_SETTLING, "new-epoch", now);
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
  cf_map_enter (c, CF_MAP_SETTLING, "fenced", now);
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
  if (c->state != CF_MAP_SETTLING)
    cf_map_enter (c, CF_MAP_SETTLING, "rank-restarted", now);
}

static void
take_status (CfMapCoordinator *c, const CfRankStatus *s, gint64 token,
             gint64 as_of, gint64 now)
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
  v->seen_ms = as_of;
  if (!s->open && c->state != CF_MAP_SETTLING)
    cf_map_enter (c, CF_MAP_SETTLING, "group-broken", now);
}

void
cf_map_coordinator_status (CfMapCoordinator *c, const CfRankStatus *s,
                           gint64 token, gint64 now)
{
  take_status (c, s, token, now, now);
}

void
cf_map_coordinator_status_as_of (CfMapCoordinator *c, const CfRankStatus *s,
                                 gint64 token, gint64 as_of, gint64 now)
{
  gboolean is_ours = s->rank >= 0 && s->rank < c->shape.ranks;

  if (is_ours && as_of > c->ranks[s->rank].seen_ms)
    take_status (c, s, token, as_of, now);
}

void
cf_map_coordinator_held (CfMapCoordinator *c, int rank, gint64 epoch,
                         gint64 step)
{
  if (rank >= 0 && rank < c->shape.ranks && epoch == c->epoch)
    c->ranks[rank].status.held = step;
}

void
cf_map_coordinator_drawn (CfMapCoordinator *c, const gint64 *drawn, guint n)
{
  if (n == cf_map_n_experts (c))
    cf_expert_demand_add (&c->demand, drawn);
}

/* Writes one rank's row of every set; FALSE if it does not fit the shape. */
static gboolean
take_rows (CfMapCoordinator *c, int rank, const gint64 *experts, guint n)
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
      c->idle_until_ms = now + CF_MAP_ABORT_PAUSE_MS;
      cf_map_enter (c, CF_MAP_SETTLING, "prepare-refused", now);
      break;
    case CF_MAP_HOLDING:
      if (rank != c->holder || c->ranks[rank].status.held == c->step)
        break;
      /* The pass has begun: one further ahead. */
      c->step = 0;
      c->lead = MIN (c->lead * 2, CF_MAP_LEAD_LAST);
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
