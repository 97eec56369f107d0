#include "rank-group.h"

#include "http-client.h"
#include "log.h"
#include "net.h"

#include <string.h>
#include <unistd.h>

#define ORDER_MS 1000 /* how long an order to a rank may take */
#define LOCAL_MS 500  /* how long the own rank may take to report */
#define TICK_MS 100
#define SETTLE_MS 5000
#define LEAD_STEPS 8
#define REPORT_WEIGHT 0.5
#define ROUND_JUMP_MAX 64

struct CfRankGroup
{
  CfRankGroupSettings set;
  char *target_url;
  CfLink **links; /* to each member's agent */
  json_t **lists; /* each rank's experts, as last reported */
  gint64 experts, places;
  CfPopularity seen;
  gint64 round; /* of our own takeovers */
  gint64 jump;  /* how far to raise @round after being fenced */
  gint64 fence; /* of the change under way */
  gint rebalance;
  /* What the own rank looked like, to tell a standstill. */
  gint64 last_step, last_held;
  long long moved_ms, held_ms;
  long long plan_ms, picked_ms;

  pthread_mutex_t lock; /* for the fields below */
  gint64 highest;       /* fencing token seen from any coordinator */
  gboolean open;        /* a coordinator has reported in since the start */
  long long others_ms;  /* when another coordinator was last heard */
};

CfStatus
cf_rank_group_settings_check (const CfSettings *s, CfRankGroupSettings *o)
{
  CfPlacement *p = &o->placement;

  if (o->members->len > 0 && o->rank >= o->members->len)
    return cf_fail (CF_ERR_SETTINGS, "give this agent's index in members",
                    "%s: [group] rank = %" G_GINT64_FORMAT
                    " is none of its %u members",
                    s->origin, o->rank, o->members->len);
  p->u.bounded.skew_weight = o->skew_weight;
  p->u.bounded.move_weight = o->move_weight;
  p->u.bounded.max_moves = (int)o->max_moves;
  return cf_placement_kind (o->policy, &p->kind);
}

static const char *
op_name (CfRankOpKind kind)
{
  switch (kind)
    {
    case CF_RANK_PREPARE:
      return "prepare";
    case CF_RANK_ARM:
      return "arm";
    case CF_RANK_DISARM:
      return "disarm";
    case CF_RANK_HOLD:
      return "hold";
    case CF_RANK_GO:
      return "go";
    }
  return "none";
}

gboolean
cf_rank_group_knows (const char *op)
{
  static const char *const ops[]
      = { "report", "prepare", "arm", "disarm", "hold", "go", NULL };

  return g_strv_contains (ops, op);
}

CfStatus
cf_rank_group_admit (CfRankGroup *g, const char *op, gint64 fence)
{
  gint64 n = g->set.members->len;
  CfStatus st = CF_OK;

  pthread_mutex_lock (&g->lock);
  if (g_str_equal (op, "report") && fence >= g->highest)
    g->open = TRUE;
  if (fence < g->highest)
    st = cf_fail (CF_ERR_STALE, "the latest coordinator goes on",
                  "fencing token %" G_GINT64_FORMAT
                  " is older than %" G_GINT64_FORMAT,
                  fence, g->highest);
  else if (!g->open)
    st = cf_fail (CF_ERR_USAGE, "report first, then order",
                  "this agent restarted and knows no coordinator");
  else
    {
      g->highest = fence;
      if (fence % n != g->set.rank)
        g->others_ms = cf_now_ms ();
    }
  pthread_mutex_unlock (&g->lock);
  return st;
}

gint64
cf_rank_group_fence (CfRankGroup *g)
{
  gint64 fence;

  pthread_mutex_lock (&g->lock);
  fence = g->highest;
  pthread_mutex_unlock (&g->lock);
  return fence;
}

CfStatus
cf_rank_group_order (CfRankGroup *g, const char *op, const char *args,
                     gint64 fence, long *code, char **out)
{
  g_autofree char *url = NULL;
  g_autofree char *body = NULL;
  json_t *o;

  if (g_str_equal (op, "report"))
    {
      url = g_strdup_printf ("%s/v1/ranks/%" G_GINT64_FORMAT "/report",
                             g->target_url, g->set.rank);
      return cf_http_call ("GET", url, NULL, NULL, ORDER_MS, code, out);
    }
  url = g_strdup_printf ("%s/v1/ranks/%" G_GINT64_FORMAT "/order",
                         g->target_url, g->set.rank);
  o = args ? json_loads (args, 0, NULL) : NULL;
  if (!json_is_object (o))
    {
      json_decref (o);
      o = json_object ();
    }
  json_object_set_new (o, "op", json_string (op));
  json_object_set_new (o, "fence", json_integer (fence));
  body = json_dumps (o, JSON_COMPACT);
  json_decref (o);
  return cf_http_call_once ("POST", url, body, NULL, ORDER_MS, code, out);
}

/* Sends one order to a rank's agent; @reply is the engine's JSON. */
static CfRankAck
call_rank (CfRankGroup *g, int rank, const char *op, char *args, json_t **reply)
{
  CfMsg m = { .kind = CF_MSG_ORDER };
  CfMsg r = { 0 };
  CfRankAck ack = CF_ACK_UNKNOWN;

  m.u.order.fence = g->fence;
  m.u.order.op = (char *)op;
  m.u.order.args = args;
  if (cf_link_call (g->links[rank], &m, cf_now_ms () + ORDER_MS + LOCAL_MS, &r)
      != CF_CALL_REPLY)
    return CF_ACK_UNKNOWN;
  if (r.kind == CF_MSG_ANSWER)
    {
      ack = r.u.answer.code < 300   ? CF_ACK_DONE
            : r.u.answer.code < 500 ? CF_ACK_REFUSED
                                    : CF_ACK_UNKNOWN;
      if (reply && ack == CF_ACK_DONE)
        *reply = json_loads (r.u.answer.body, 0, NULL);
    }
  else if (r.kind == CF_MSG_REFUSAL && r.u.refusal.ran == CF_RAN_NO)
    ack = g_str_equal (r.u.refusal.reason, CF_REASON_STALE_FENCE)
              ? CF_ACK_FENCED
              : CF_ACK_REFUSED;
  cf_msg_clear (&r);
  return ack;
}

json_t *
cf_rank_op_json (const CfRankOp *op)
{
  json_t *o = json_pack ("{s:s}", "op", op_name (op->kind));

  switch (op->kind)
    {
    case CF_RANK_PREPARE:
      json_object_set_new (o, "version", json_integer (op->u.prepare.version));
      json_object_set_new (o, "map", cf_expert_map_to_json (op->u.prepare.map));
      break;
    case CF_RANK_ARM:
    case CF_RANK_DISARM:
      json_object_set_new (o, "version", json_integer (op->u.arm.version));
      json_object_set_new (o, "step", json_integer (op->u.arm.step));
      break;
    case CF_RANK_HOLD:
    case CF_RANK_GO:
      json_object_set_new (o, "step", json_integer (op->u.hold.step));
      break;
    }
  return o;
}

static CfRankAck
on_order (void *data, int rank, const CfRankOp *op)
{
  CfRankGroup *g = data;
  json_t *o = cf_rank_op_json (op);
  g_autofree char *args = NULL;
  CfRankAck ack;

  args = json_dumps (o, JSON_COMPACT);
  json_decref (o);
  ack = call_rank (g, rank, op_name (op->kind), args, NULL);
  if (ack != CF_ACK_DONE)
    cf_log (LOG_INFO, CF_EV_RANK_ORDER,
            "rank=%d op=%s fence=%" G_GINT64_FORMAT " ack=%s", rank,
            op_name (op->kind), g->fence,
            ack == CF_ACK_REFUSED  ? "refused"
            : ack == CF_ACK_FENCED ? "fenced"
                                   : "unknown");
  return ack;
}

static gint64
int_field (json_t *o, const char *name)
{
  return json_integer_value (json_object_get (o, name));
}

static void
read_report (json_t *o, CfRankReport *r)
{
  r->step = int_field (o, "step");
  r->map = int_field (o, "map");
  r->prepared = int_field (o, "prepared");
  r->newest = int_field (o, "newest");
  r->armed = int_field (o, "armed");
  r->armed_step = int_field (o, "armed_step");
  r->held = int_field (o, "held");
}

static CfRankAck
on_report (void *data, int rank, CfRankReport *out)
{
  CfRankGroup *g = data;
  json_t *o = NULL;
  CfRankAck ack = call_rank (g, rank, "report", NULL, &o);

  if (ack == CF_ACK_DONE && o == NULL)
    ack = CF_ACK_UNKNOWN;
  if (ack != CF_ACK_DONE)
    return ack;
  read_report (o, out);
  g->experts = int_field (o, "experts_total");
  g->places = int_field (o, "places");
  json_decref (g->lists[rank]);
  g->lists[rank] = json_incref (json_object_get (o, "experts"));
  json_decref (o);
  return ack;
}

static gboolean
on_pause (void *data, int ms)
{
  (void)data;
  usleep ((useconds_t)ms * 1000);
  return TRUE;
}

static gint64
on_now (void *data)
{
  (void)data;
  return cf_now_ms ();
}

/* Links to the members are made by the first takeover only, so that the
 * agents of a large group do not all keep links to each other. */
static void
connect_members (CfRankGroup *g)
{
  long long until = cf_now_ms () + ORDER_MS;

  for (guint i = 0; i < g->set.members->len; i++)
    if (g->links[i] == NULL)
      {
        g->links[i] = cf_link_new (g_ptr_array_index (g->set.members, i));
        cf_link_set_idle_ping_interval (g->links[i], g->set.interval_ms);
      }
  for (guint i = 0; i < g->set.members->len; i++)
    while (!cf_link_snapshot (g->links[i]).up && cf_now_ms () < until)
      usleep (1000);
}

/* The map in use, put together from every rank's report; NULL if a rank
 * cannot be reached. */
static CfExpertMap *
collect_map (CfRankGroup *g)
{
  json_t *ranks = json_array ();
  CfExpertMap *m = NULL;
  CfRankReport r = { 0 };

  for (guint i = 0; i < g->set.members->len; i++)
    {
      if (on_report (g, (int)i, &r) != CF_ACK_DONE)
        goto out;
      json_array_append (ranks, g->lists[i]);
    }
  if (cf_expert_map_from_json (ranks, (int)g->experts, (int)g->places, r.map,
                               &m)
      != CF_OK)
    cf_log (LOG_WARNING, CF_EV_MAP_SETTLE, "error=\"%s\"", cf_last_error ());
out:
  json_decref (ranks);
  return m;
}

/* A token above all seen, that no other agent of the group can choose. */
static void
next_fence (CfRankGroup *g)
{
  gint64 n = g->set.members->len;

  g->round = MAX (g->round, cf_rank_group_fence (g) / n) + g->jump;
  g->fence = g->round * n + g->set.rank;
}

/* How a round ended; a fenced one tries with a much higher token next, as
 * the others' may be far above what this agent has seen. */
static void
end_round (CfRankGroup *g, CfMapChange end)
{
  g->jump = end == CF_MAP_FENCED ? MIN (g->jump * 2, ROUND_JUMP_MAX) : 1;
}

/* Fences and settles the group; NULL if that did not succeed, else the map
 * in use. */
static CfExpertMap *
take_over (CfRankGroup *g, const CfRankOps *ops, const CfMapLimits *limits,
           const char *why)
{
  CfMapChange end = CF_MAP_STUCK;
  CfExpertMap *in_use;

  connect_members (g);
  next_fence (g);
  in_use = collect_map (g);
  if (in_use)
    end = cf_map_settle (ops, g->round, in_use, limits);
  if (in_use == NULL || end != CF_MAP_ABORTED
      || !g_str_equal (why, "placement"))
    cf_log (LOG_NOTICE, CF_EV_MAP_SETTLE,
            "reason=%s fence=%" G_GINT64_FORMAT " result=%s", why, g->fence,
            end == CF_MAP_ABORTED ? "settled" : cf_map_change_name (end));
  /* An unreachable map may be another coordinator's fence: raise ours. */
  end_round (g, in_use ? end : CF_MAP_FENCED);
  if (end != CF_MAP_ABORTED)
    g_clear_pointer (&in_use, cf_expert_map_free);
  return in_use;
}

static void
decide (CfRankGroup *g, const CfRankOps *ops, const CfMapLimits *limits)
{
  CfExpertMap *in_use = take_over (g, ops, limits, "placement");
  CfPlacementPlan plan = { 0 };
  CfMapChange end;

  if (in_use == NULL || g->seen.experts != in_use->experts)
    goto out;
  plan = cf_placement_plan (&g->set.placement, in_use, g->seen.tokens);
  cf_log (LOG_INFO, CF_EV_PLACEMENT,
          "policy=%s map=%" G_GINT64_FORMAT
          " skew=%.3f predicted=%.3f moves=%d decision=%s",
          cf_placement_name (g->set.placement.kind), in_use->version,
          plan.before, plan.after, plan.moves, plan.map ? "change" : "stay");
  if (plan.map == NULL)
    goto out;
  end = cf_map_change (ops, g->round, in_use, plan.map, limits);
  end_round (g, end);
  cf_log (LOG_NOTICE, CF_EV_MAP_CHANGE,
          "from=%" G_GINT64_FORMAT " to=%" G_GINT64_FORMAT
          " fence=%" G_GINT64_FORMAT " result=%s",
          in_use->version, plan.map->version, g->fence,
          cf_map_change_name (end));
out:
  cf_expert_map_free (plan.map);
  cf_expert_map_free (in_use);
}

/* Follows the engine's load report, so that any agent can take over. */
static void
follow_popularity (CfRankGroup *g, long long now)
{
  g_autofree char *url = g_strconcat (g->target_url, "/v1/picked", NULL);
  g_autofree char *body = NULL;
  g_autofree double *counts = NULL;
  json_t *a;
  json_t *o;
  json_t *v;
  long code = 0;
  size_t i;

  if (now - g->picked_ms < MAX (g->set.interval_ms / 4, TICK_MS))
    return;
  g->picked_ms = now;
  if (cf_http_call ("GET", url, NULL, NULL, LOCAL_MS, &code, &body) != CF_OK
      || code != 200)
    return;
  o = json_loads (body, 0, NULL);
  a = json_object_get (o, "counts");
  if (g->seen.experts == 0 && json_array_size (a) > 0)
    cf_popularity_init (&g->seen, (int)json_array_size (a));
  if (g->seen.experts > 0 && (int)json_array_size (a) == g->seen.experts)
    {
      counts = g_new (double, g->seen.experts);
      json_array_foreach (a, i, v) counts[i] = json_number_value (v);
      cf_popularity_report (&g->seen, counts, REPORT_WEIGHT);
    }
  json_decref (o);
}

/*
 * Whether the own rank has been held, or has had work and begun no step,
 * for too long: whoever coordinated died or lost touch half way.
 */
static gboolean
stands_still (CfRankGroup *g, long long now)
{
  /* Lower ranks go first, so that not all take over at once. */
  long long patience = g->set.hold_max_ms + g->set.rank * 300;
  g_autofree char *body = NULL;
  CfRankReport r = { 0 };
  json_t *o;
  long code = 0;

  if (cf_rank_group_order (g, "report", NULL, 0, &code, &body) != CF_OK
      || code != 200 || (o = json_loads (body, 0, NULL)) == NULL)
    {
      g->moved_ms = g->held_ms = now;
      return FALSE;
    }
  read_report (o, &r);
  if (r.step != g->last_step || int_field (o, "waiting") == 0)
    g->moved_ms = now;
  if (r.held != g->last_held || r.held == 0)
    g->held_ms = now;
  g->last_step = r.step;
  g->last_held = r.held;
  json_decref (o);
  return now - g->moved_ms > patience || now - g->held_ms > patience;
}

static gboolean
is_our_turn (CfRankGroup *g, long long now)
{
  long long others;

  if (g_atomic_int_compare_and_exchange (&g->rebalance, 1, 0))
    return TRUE;
  if (g->set.interval_ms == 0 || now < g->plan_ms)
    return FALSE;
  pthread_mutex_lock (&g->lock);
  others = g->others_ms;
  pthread_mutex_unlock (&g->lock);
  return g->set.rank == 0
         || now - others > g->set.interval_ms * (1 + 2 * g->set.rank);
}

static void *
group_thread (void *data)
{
  CfRankGroup *g = data;
  CfRankOps ops = { .data = g,
                    .ranks = (int)g->set.members->len,
                    .order = on_order,
                    .report = on_report,
                    .pause = on_pause,
                    .now = on_now };
  CfMapLimits limits = { .prepare_ms = (int)g->set.prepare_ms,
                         .settle_ms = SETTLE_MS,
                         .lead_steps = LEAD_STEPS };

  for (;; usleep (TICK_MS * 1000))
    {
      long long now = cf_now_ms ();

      follow_popularity (g, now);
      if (stands_still (g, now))
        {
          cf_expert_map_free (take_over (g, &ops, &limits, "standstill"));
          g->moved_ms = g->held_ms = cf_now_ms ();
        }
      else if (is_our_turn (g, now))
        {
          decide (g, &ops, &limits);
          g->plan_ms = cf_now_ms () + g->set.interval_ms;
        }
    }
  return NULL;
}

CfRankGroup *
cf_rank_group_start (const CfRankGroupSettings *set, const char *target_url)
{
  CfRankGroup *g = g_new0 (CfRankGroup, 1);
  long long now = cf_now_ms ();
  pthread_t t;

  g->set = *set;
  g->target_url = g_strdup (target_url);
  g->links = g_new0 (CfLink *, set->members->len);
  g->lists = g_new0 (json_t *, set->members->len);
  g->jump = 1;
  g->moved_ms = g->held_ms = g->others_ms = now;
  g->plan_ms = now + set->interval_ms;
  pthread_mutex_init (&g->lock, NULL);
  pthread_create (&t, NULL, group_thread, g);
  pthread_detach (t);
  return g;
}

void
cf_rank_group_rebalance (CfRankGroup *g)
{
  g_atomic_int_set (&g->rebalance, 1);
}
