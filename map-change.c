#include "map-change.h"

/* How long to wait between two looks at the ranks, in ms. */
#define POLL_MS 20
/* How often a hold that came too late is placed again, further ahead. */
#define HOLD_TRIES 3

/* What lives for one change or settlement. */
typedef struct
{
  const CfRankOps *ops;
  const CfMapChangeLimits *limits;
  gint64 turn;
  CfRankReport *ranks; /**< as last read */
  gboolean fenced;
} Change;

static CfRankOpResult
order (Change *c, int rank, const CfRankOp *op)
{
  CfRankOpResult ack = c->ops->order (c->ops->data, rank, op);

  c->fenced |= ack == CF_RANK_OP_FENCED;
  return ack;
}

/* Reads every rank once; FALSE if any did not answer. */
static gboolean
look (Change *c)
{
  gboolean whole = TRUE;

  for (int r = 0; r < c->ops->ranks && !c->fenced; r++)
    {
      CfRankOpResult ack = c->ops->report (c->ops->data, r, &c->ranks[r]);

      c->fenced |= ack == CF_RANK_OP_FENCED;
      whole &= ack == CF_RANK_OP_DONE;
    }
  return whole && !c->fenced;
}

/* All waits are bounded by this: looks and orders take time besides the
 * pauses, more than the limits themselves when ranks answer slowly. */
static gint64
now_ms (const Change *c)
{
  return c->ops->now (c->ops->data);
}

static CfMapChangeResult
cut_short (const Change *c)
{
  return c->fenced ? CF_MAP_CHANGE_FENCED : CF_MAP_CHANGE_STUCK;
}

static gint64
highest_version (const Change *c)
{
  gint64 v = 0;

  for (int r = 0; r < c->ops->ranks; r++)
    {
      v = MAX (v, c->ranks[r].newest);
      v = MAX (v, c->ranks[r].map);
    }
  return v;
}

static gint64
highest_step (const Change *c)
{
  gint64 s = 0;

  for (int r = 0; r < c->ops->ranks; r++)
    s = MAX (s, c->ranks[r].step);
  return s;
}

/* The step that a rank is armed for or held at; 0 if there is none. */
static gint64
pending_step (const Change *c)
{
  gint64 s = 0;

  for (int r = 0; r < c->ops->ranks; r++)
    {
      if (c->ranks[r].armed)
        s = MAX (s, c->ranks[r].armed_step);
      s = MAX (s, c->ranks[r].held);
    }
  return s;
}

static CfRankOpResult
hold (Change *c, int rank, gint64 step)
{
  CfRankOp op = { .kind = CF_RANK_HOLD, .u.hold.step = step };

  return order (c, rank, &op);
}

static CfRankOpResult
go (Change *c, int rank, gint64 step)
{
  CfRankOp op = { .kind = CF_RANK_GO, .u.hold.step = step };

  return order (c, rank, &op);
}

/*
 * Disarms a rank and makes it prepare a version of no use, after which no
 * order to arm that is still on its way can be obeyed.  The unused version
 * is the map in use, so nothing has to be copied.
 */
static void
burn (Change *c, int rank, const CfExpertMap *in_use)
{
  CfRankReport *r = &c->ranks[rank];
  CfRankOp op = { .kind = CF_RANK_DISARM, .u.arm.version = r->armed };

  if (r->armed && order (c, rank, &op) != CF_RANK_OP_DONE)
    return;
  op.kind = CF_RANK_PREPARE;
  op.u.prepare.version = highest_version (c) + 1;
  op.u.prepare.map = in_use;
  order (c, rank, &op);
}

/* Whether an order to arm @rank, sent before now, could still be obeyed:
 * only the version it holds prepared can be armed. */
static gboolean
may_arm (const CfRankReport *r, gint64 burnt_above)
{
  return r->armed != 0 || (r->prepared != 0 && r->prepared <= burnt_above);
}

/* Whether every rank has let go of all versions up to @burnt_above. */
static gboolean
all_clear (const Change *c, gint64 burnt_above)
{
  for (int r = 0; r < c->ops->ranks; r++)
    if (may_arm (&c->ranks[r], burnt_above))
      return FALSE;
  return TRUE;
}

/* Ends every hold that the last look saw. */
static void
go_everywhere (Change *c)
{
  for (int r = 0; r < c->ops->ranks && !c->fenced; r++)
    if (c->ranks[r].held)
      go (c, r, c->ranks[r].held);
}

/*
 * Holds the pending step at a rank of this coordinator's own, since an
 * earlier one's go may still be on its way to the rank it held.
 */
static gboolean
hold_of_our_own (Change *c, gint64 step)
{
  int n = c->ops->ranks;

  for (int i = 0; i < n; i++)
    {
      int rank = (int)((c->turn + i) % n);

      if (c->ranks[rank].held == 0)
        return hold (c, rank, step) == CF_RANK_OP_DONE;
    }
  /* Every rank holds: no single go can let the step begin. */
  return TRUE;
}

/* One round of undo(); TRUE once nothing is pending any more. */
static gboolean
undo_round (Change *c, gint64 burnt_above, const CfExpertMap *in_use,
            gboolean *held)
{
  gint64 step;
  gboolean armed = FALSE;

  if (!look (c))
    return FALSE;
  step = pending_step (c);
  if (all_clear (c, burnt_above))
    {
      go_everywhere (c);
      return step == 0;
    }
  for (int r = 0; r < c->ops->ranks; r++)
    armed |= c->ranks[r].armed != 0;
  /* Without a hold the armed ranks could switch one by one while the
   * others are being disarmed. */
  if (armed && !*held)
    *held = hold_of_our_own (c, step);
  if (armed && !*held)
    return FALSE;
  for (int r = 0; r < c->ops->ranks && !c->fenced; r++)
    if (may_arm (&c->ranks[r], burnt_above))
      burn (c, r, in_use);
  return FALSE;
}

/* Undoes what is pending.  The ranks are looked at afresh in each round,
 * since late orders may have changed them. */
static CfMapChangeResult
undo (Change *c, gint64 burnt_above, const CfExpertMap *in_use)
{
  gboolean held = FALSE;
  gint64 since = now_ms (c);

  while (now_ms (c) - since <= c->limits->settle_ms && !c->fenced)
    {
      if (undo_round (c, burnt_above, in_use, &held))
        return CF_MAP_CHANGE_ABORTED;
      if (!c->ops->pause (c->ops->data, POLL_MS))
        break;
    }
  return cut_short (c);
}

CfMapChangeResult
cf_map_change_settle (const CfRankOps *ops, gint64 turn,
                      const CfExpertMap *in_use,
                      const CfMapChangeLimits *limits)
{
  g_autofree CfRankReport *ranks = g_new0 (CfRankReport, ops->ranks);
  Change c = { .ops = ops, .limits = limits, .turn = turn, .ranks = ranks };

  if (!look (&c))
    return cut_short (&c);
  return undo (&c, highest_version (&c), in_use);
}

/* Tells every rank to prepare @map and waits until all copies are whole. */
static gboolean
prepare_all (Change *c, const CfExpertMap *map)
{
  CfRankOp op = { .kind = CF_RANK_PREPARE };
  gint64 since = now_ms (c);

  op.u.prepare.version = map->version;
  op.u.prepare.map = map;
  for (int r = 0; r < c->ops->ranks; r++)
    if (order (c, r, &op) == CF_RANK_OP_REFUSED || c->fenced)
      return FALSE;
  for (;;)
    {
      gboolean ready = look (c);

      for (int r = 0; ready && r < c->ops->ranks; r++)
        ready = c->ranks[r].prepared == map->version;
      if (ready || c->fenced || now_ms (c) - since >= c->limits->prepare_ms
          || !c->ops->pause (c->ops->data, POLL_MS))
        return ready;
    }
}

/* Holds a step ahead of the group; returns it, or 0. */
static gint64
hold_ahead (Change *c)
{
  int lead = c->limits->steps_ahead;

  for (int i = 0; i < HOLD_TRIES; i++, lead *= 4)
    {
      /* The turn is in it so that a late order for an earlier turn's step
       * cannot fit this one while an idle group stands still. */
      gint64 step = highest_step (c) + lead + c->turn % lead;

      switch (hold (c, (int)(c->turn % c->ops->ranks), step))
        {
        case CF_RANK_OP_DONE:
          return step;
        case CF_RANK_OP_REFUSED:
          if (!look (c))
            return 0;
          break;
        case CF_RANK_OP_UNKNOWN:
        case CF_RANK_OP_FENCED:
          return 0;
        }
    }
  return 0;
}

CfMapChangeResult
cf_map_change_run (const CfRankOps *ops, gint64 turn, const CfExpertMap *in_use,
                   CfExpertMap *map, const CfMapChangeLimits *limits)
{
  g_autofree CfRankReport *ranks = g_new0 (CfRankReport, ops->ranks);
  Change c = { .ops = ops, .limits = limits, .turn = turn, .ranks = ranks };
  CfRankOp arm = { .kind = CF_RANK_ARM };
  gint64 since;
  gint64 step;

  if (!look (&c))
    return cut_short (&c);
  map->version = highest_version (&c) + 1;
  if (!prepare_all (&c, map))
    return c.fenced ? CF_MAP_CHANGE_FENCED : CF_MAP_CHANGE_ABORTED;
  step = hold_ahead (&c);
  if (step == 0)
    return undo (&c, map->version, in_use);

  arm.u.arm.version = map->version;
  arm.u.arm.step = step;
  for (int r = 0; r < ops->ranks; r++)
    if (order (&c, r, &arm) != CF_RANK_OP_DONE)
      return c.fenced ? CF_MAP_CHANGE_FENCED : undo (&c, map->version, in_use);

  /* From the first go on the change is decided: it is never undone here. */
  since = now_ms (&c);
  while (!c.fenced && now_ms (&c) - since <= limits->settle_ms)
    {
      switch (go (&c, (int)(turn % ops->ranks), step))
        {
        case CF_RANK_OP_DONE:
        case CF_RANK_OP_REFUSED: /* not held any more: an earlier go came */
          return CF_MAP_CHANGE_DONE;
        case CF_RANK_OP_UNKNOWN:
        case CF_RANK_OP_FENCED:
          break;
        }
      if (!ops->pause (ops->data, POLL_MS))
        break;
    }
  return cut_short (&c);
}

const char *
cf_map_change_result_name (CfMapChangeResult c)
{
  switch (c)
    {
    case CF_MAP_CHANGE_DONE:
      return "changed";
    case CF_MAP_CHANGE_ABORTED:
      return "aborted";
    case CF_MAP_CHANGE_FENCED:
      return "fenced";
    case CF_MAP_CHANGE_STUCK:
      return "stuck";
    }
  return "stuck";
}
