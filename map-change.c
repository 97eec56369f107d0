#include "map-change.h"

/* Time between two rounds of reports from the ranks. */
#define POLL_INTERVAL_MS 20
/* Attempts to hold a step.  Each chooses a step further ahead, since the group
 * may have begun the step of the last attempt already. */
#define MAX_HOLD_ATTEMPTS 3

/* State of one call to settle or change. */
typedef struct
{
  const CfRankOps *ops;
  const CfMapChangeLimits *limits;
  gint64 term;
  CfRankReport *reports; /* [ranks], the latest */
  gboolean fenced;       /* a rank has seen a higher fencing token */
} Change;

static CfRankOpResult
send_order (Change *c, int rank, const CfRankOp *op)
{
  CfRankOpResult result = c->ops->order (c->ops->data, rank, op);

  c->fenced |= result == CF_RANK_OP_FENCED;
  return result;
}

/* Requests a report from every rank; returns FALSE if any is missing. */
static gboolean
collect_reports (Change *c)
{
  gboolean is_complete = TRUE;

  for (int r = 0; r < c->ops->ranks && !c->fenced; r++)
    {
      CfRankOpResult result = c->ops->report (c->ops->data, r, &c->reports[r]);

      c->fenced |= result == CF_RANK_OP_FENCED;
      is_complete &= result == CF_RANK_OP_DONE;
    }
  return is_complete && !c->fenced;
}

/* All waits are limited by this clock, not by adding up pauses: with slow
 * ranks, reports and orders can take longer than the limits themselves. */
static gint64
now_ms (const Change *c)
{
  return c->ops->now (c->ops->data);
}

static CfMapChangeResult
incomplete_result (const Change *c)
{
  return c->fenced ? CF_MAP_CHANGE_FENCED : CF_MAP_CHANGE_STUCK;
}

static gint64
highest_version (const Change *c)
{
  gint64 v = 0;

  for (int r = 0; r < c->ops->ranks; r++)
    {
      v = MAX (v, c->reports[r].newest);
      v = MAX (v, c->reports[r].map);
    }
  return v;
}

static gint64
highest_step (const Change *c)
{
  gint64 s = 0;

  for (int r = 0; r < c->ops->ranks; r++)
    s = MAX (s, c->reports[r].step);
  return s;
}

/* Returns the highest step that a rank is armed for or holds; 0 for none. */
static gint64
pending_step (const Change *c)
{
  gint64 s = 0;

  for (int r = 0; r < c->ops->ranks; r++)
    {
      if (c->reports[r].armed)
        s = MAX (s, c->reports[r].armed_step);
      s = MAX (s, c->reports[r].held);
    }
  return s;
}

static CfRankOpResult
place_hold (Change *c, int rank, gint64 step)
{
  CfRankOp op = { .kind = CF_RANK_HOLD, .u.hold.step = step };

  return send_order (c, rank, &op);
}

static CfRankOpResult
release_hold (Change *c, int rank, gint64 step)
{
  CfRankOp op = { .kind = CF_RANK_RELEASE, .u.hold.step = step };

  return send_order (c, rank, &op);
}

/*
 * Disarms a rank and makes it prepare a barrier version, a new version number
 * that is never armed.  A delayed order to arm an older version is refused
 * from then on.  The barrier version has the content of the map in use, so
 * that nothing has to be copied.
 */
static void
invalidate_versions (Change *c, int rank, const CfExpertMap *in_use)
{
  CfRankReport *r = &c->reports[rank];
  CfRankOp op = { .kind = CF_RANK_DISARM, .u.arm.version = r->armed };

  if (r->armed && send_order (c, rank, &op) != CF_RANK_OP_DONE)
    return;
  op.kind = CF_RANK_PREPARE;
  op.u.prepare.version = highest_version (c) + 1;
  op.u.prepare.map = in_use;
  send_order (c, rank, &op);
}

/* Whether a rank is armed, or a delayed order could still arm it.  A rank can
 * be armed only with the version that it has prepared, and orders may be
 * delayed for any version up to @last_version. */
static gboolean
may_arm (const CfRankReport *r, gint64 last_version)
{
  return r->armed != 0 || (r->prepared != 0 && r->prepared <= last_version);
}

/* Whether on every rank all versions up to @last_version are invalid. */
static gboolean
is_invalidated_everywhere (const Change *c, gint64 last_version)
{
  for (int r = 0; r < c->ops->ranks; r++)
    if (may_arm (&c->reports[r], last_version))
      return FALSE;
  return TRUE;
}

/* Releases every hold in the latest reports. */
static void
release_all_holds (Change *c)
{
  for (int r = 0; r < c->ops->ranks && !c->fenced; r++)
    if (c->reports[r].held)
      release_hold (c, r, c->reports[r].held);
}

/*
 * Holds the pending step at a rank that does not hold it yet, since an earlier
 * coordinator's delayed release may still reach the rank that does.
 */
static gboolean
add_own_hold (Change *c, gint64 step)
{
  int n = c->ops->ranks;

  for (int i = 0; i < n; i++)
    {
      int rank = (int)((c->term + i) % n);

      if (c->reports[rank].held == 0)
        return place_hold (c, rank, step) == CF_RANK_OP_DONE;
    }
  /* Every rank holds it: no single release can let the step begin. */
  return TRUE;
}

/* Runs one round of undo_change(); returns TRUE once nothing is pending.
 * @has_own_hold is kept between rounds and set once this coordinator holds the
 * pending step itself. */
static gboolean
undo_round (Change *c, gint64 last_version, const CfExpertMap *in_use,
            gboolean *has_own_hold)
{
  gint64 step;
  gboolean armed = FALSE;

  if (!collect_reports (c))
    return FALSE;
  step = pending_step (c);
  if (is_invalidated_everywhere (c, last_version))
    {
      release_all_holds (c);
      return step == 0;
    }
  for (int r = 0; r < c->ops->ranks; r++)
    armed |= c->reports[r].armed != 0;
  /* Without a hold the step could begin, and the armed ranks switch, while
   * others are already disarmed. */
  if (armed && !*has_own_hold)
    *has_own_hold = add_own_hold (c, step);
  if (armed && !*has_own_hold)
    return FALSE;
  for (int r = 0; r < c->ops->ranks && !c->fenced; r++)
    if (may_arm (&c->reports[r], last_version))
      invalidate_versions (c, r, in_use);
  return FALSE;
}

/* Undoes a pending change.  Each round requests new reports, since delayed
 * orders may have changed the ranks' state. */
static CfMapChangeResult
undo_change (Change *c, gint64 last_version, const CfExpertMap *in_use)
{
  gboolean has_own_hold = FALSE;
  gint64 start_ms = now_ms (c);

  while (now_ms (c) - start_ms <= c->limits->settle_ms && !c->fenced)
    {
      if (undo_round (c, last_version, in_use, &has_own_hold))
        return CF_MAP_CHANGE_ABORTED;
      if (!c->ops->pause (c->ops->data, POLL_INTERVAL_MS))
        break;
    }
  return incomplete_result (c);
}

CfMapChangeResult
cf_map_change_settle (const CfRankOps *ops, gint64 term,
                      const CfExpertMap *in_use,
                      const CfMapChangeLimits *limits)
{
  g_autofree CfRankReport *reports = g_new0 (CfRankReport, ops->ranks);
  Change c = { .ops = ops, .limits = limits, .term = term, .reports = reports };

  if (!collect_reports (&c))
    return incomplete_result (&c);
  return undo_change (&c, highest_version (&c), in_use);
}

/* Orders every rank to prepare @map and waits until all have done so. */
static gboolean
prepare_ranks (Change *c, const CfExpertMap *map)
{
  CfRankOp op = { .kind = CF_RANK_PREPARE };
  gint64 start_ms = now_ms (c);

  op.u.prepare.version = map->version;
  op.u.prepare.map = map;
  for (int r = 0; r < c->ops->ranks; r++)
    if (send_order (c, r, &op) == CF_RANK_OP_REFUSED || c->fenced)
      return FALSE;
  for (;;)
    {
      gboolean is_ready = collect_reports (c);

      for (int r = 0; is_ready && r < c->ops->ranks; r++)
        is_ready = c->reports[r].prepared == map->version;
      if (is_ready || c->fenced
          || now_ms (c) - start_ms >= c->limits->prepare_ms
          || !c->ops->pause (c->ops->data, POLL_INTERVAL_MS))
        return is_ready;
    }
}

/* Holds a step ahead of the group and returns it; 0 if that fails. */
static gint64
place_hold_ahead (Change *c)
{
  int distance = c->limits->steps_ahead;

  for (int i = 0; i < MAX_HOLD_ATTEMPTS; i++, distance *= 4)
    {
      /* The step depends on the term: while a group is idle its step does
       * not advance, and a delayed order from an earlier term must not match
       * the step of this one. */
      gint64 step = highest_step (c) + distance + c->term % distance;

      switch (place_hold (c, (int)(c->term % c->ops->ranks), step))
        {
        case CF_RANK_OP_DONE:
          return step;
        case CF_RANK_OP_REFUSED:
          if (!collect_reports (c))
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
cf_map_change_run (const CfRankOps *ops, gint64 term, const CfExpertMap *in_use,
                   CfExpertMap *map, const CfMapChangeLimits *limits)
{
  g_autofree CfRankReport *reports = g_new0 (CfRankReport, ops->ranks);
  Change c = { .ops = ops, .limits = limits, .term = term, .reports = reports };
  CfRankOp arm = { .kind = CF_RANK_ARM };
  gint64 start_ms;
  gint64 step;

  if (!collect_reports (&c))
    return incomplete_result (&c);
  map->version = highest_version (&c) + 1;
  if (!prepare_ranks (&c, map))
    return c.fenced ? CF_MAP_CHANGE_FENCED : CF_MAP_CHANGE_ABORTED;
  step = place_hold_ahead (&c);
  if (step == 0)
    return undo_change (&c, map->version, in_use);

  arm.u.arm.version = map->version;
  arm.u.arm.step = step;
  for (int r = 0; r < ops->ranks; r++)
    if (send_order (&c, r, &arm) != CF_RANK_OP_DONE)
      return c.fenced ? CF_MAP_CHANGE_FENCED
                      : undo_change (&c, map->version, in_use);

  /* From the first release on the change is committed and not undone here. */
  start_ms = now_ms (&c);
  while (!c.fenced && now_ms (&c) - start_ms <= limits->settle_ms)
    {
      switch (release_hold (&c, (int)(term % ops->ranks), step))
        {
        case CF_RANK_OP_DONE:
        case CF_RANK_OP_REFUSED: /* an earlier release took effect */
          return CF_MAP_CHANGE_DONE;
        case CF_RANK_OP_UNKNOWN:
        case CF_RANK_OP_FENCED:
          break;
        }
      if (!ops->pause (ops->data, POLL_INTERVAL_MS))
        break;
    }
  return incomplete_result (&c);
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
