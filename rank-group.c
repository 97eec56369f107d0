#include "rank-group.h"

#include "http-client.h"
#include "log.h"
#include "net.h"

#include <string.h>
#include <unistd.h>

#define ORDER_TIMEOUT_MS 1000 /* for one order to a rank */
/* For the own rank's engine to return its token counts; also added to
 * ORDER_TIMEOUT_MS for the agent that passes an order to its rank. */
#define LOCAL_TIMEOUT_MS 500
#define POLL_INTERVAL_MS 100 /* of the coordination thread */
#define SETTLE_TIMEOUT_MS 5000
#define STEPS_AHEAD 8     /* from the group's step to the step to hold */
#define REPORT_WEIGHT 0.5 /* of the latest token counts in the average */
#define MAX_TERM_INCREMENT 64
/* Added to hold_max_ms once for each lower rank. */
#define STALL_TIMEOUT_PER_RANK_MS 300

struct CfRankGroup
{
  CfRankGroupSettings settings;
  char *target_url;
  CfLink **links;         /* [members]: to each rank's agent */
  json_t **rank_experts;  /* [members]: each rank's experts, last reported */
  gint64 experts, places; /* of the model, and per rank; last reported */
  CfExpertPopularity popularity;
  gint64 term;           /* this agent's latest term as coordinator */
  gint64 term_increment; /* for the next term; above 1 if the last was fenced */
  gint64 fence;          /* token of the current term */
  gint rebalance;        /* a placement decision was requested */
  /* Values of the own rank's last report, and the times of their last change,
   * to detect a stall. */
  gint64 last_step, last_held;
  long long last_progress_ms, held_since_ms;
  long long next_plan_ms, popularity_read_ms;

  pthread_mutex_t lock;           /* for the fields below */
  gint64 highest_fence;           /* seen from any coordinator */
  gboolean has_coordinator;       /* one has requested a report since start */
  long long other_coordinator_ms; /* last order of another coordinator */
};

CfStatus
cf_rank_group_settings_check (const CfSettings *s, CfRankGroupSettings *o)
{
  CfPlacement *p = &o->placement;

  if (o->members->len > 0 && o->rank >= o->members->len)
    return cf_fail (CF_ERR_SETTINGS, "give this agent's index in members",
                    "%s: [group] rank = %" G_GINT64_FORMAT
                    " is not an index of its %u members",
                    s->origin, o->rank, o->members->len);
  p->u.bounded.skew_weight = o->skew_weight;
  p->u.bounded.move_weight = o->move_weight;
  p->u.bounded.max_moves = (int)o->max_moves;
  return cf_placement_kind_from_name (o->policy, &p->kind);
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
    case CF_RANK_RELEASE:
      return "go";
    }
  return "none";
}

gboolean
cf_rank_group_is_rank_order (const char *op)
{
  static const char *const ops[]
      = { "report", "prepare", "arm", "disarm", "hold", "go", NULL };

  return g_strv_contains (ops, op);
}

CfStatus
cf_rank_group_check_fence (CfRankGroup *g, const char *op, gint64 fence)
{
  gint64 n = g->settings.members->len;
  CfStatus st = CF_OK;

  pthread_mutex_lock (&g->lock);
  if (g_str_equal (op, "report") && fence >= g->highest_fence)
    g->has_coordinator = TRUE;
  if (fence < g->highest_fence)
    st = cf_fail (
        CF_ERR_STALE, "only the latest coordinator's orders are accepted",
        "fencing token %" G_GINT64_FORMAT " is older than %" G_GINT64_FORMAT,
        fence, g->highest_fence);
  else if (!g->has_coordinator)
    st = cf_fail (CF_ERR_USAGE, "request a report before sending orders",
                  "this agent has restarted and no coordinator has "
                  "requested a report since");
  else
    {
      g->highest_fence = fence;
      if (fence % n != g->settings.rank)
        g->other_coordinator_ms = cf_now_ms ();
    }
  pthread_mutex_unlock (&g->lock);
  return st;
}

gint64
cf_rank_group_highest_fence (CfRankGroup *g)
{
  gint64 fence;

  pthread_mutex_lock (&g->lock);
  fence = g->highest_fence;
  pthread_mutex_unlock (&g->lock);
  return fence;
}

CfStatus
cf_rank_group_run_order (CfRankGroup *g, const char *op, const char *args,
                         gint64 fence, long *code, char **out)
{
  g_autofree char *url = NULL;
  g_autofree char *body = NULL;
  json_t *o;

  if (g_str_equal (op, "report"))
    {
      url = g_strdup_printf ("%s/v1/ranks/%" G_GINT64_FORMAT "/report",
                             g->target_url, g->settings.rank);
      return cf_http_call ("GET", url, NULL, NULL, ORDER_TIMEOUT_MS, code, out);
    }
  url = g_strdup_printf ("%s/v1/ranks/%" G_GINT64_FORMAT "/order",
                         g->target_url, g->settings.rank);
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
  return cf_http_call_once ("POST", url, body, NULL, ORDER_TIMEOUT_MS, code,
                            out);
}

/* Sends one order to a rank's agent; @reply (nullable) gets the engine's
 * JSON if the order was carried out. */
static CfRankOpResult
call_rank_agent (CfRankGroup *g, int rank, const char *op, char *args,
                 json_t **reply)
{
  CfMsg m = { .kind = CF_MSG_ORDER };
  CfMsg r = { 0 };
  CfRankOpResult result = CF_RANK_OP_UNKNOWN;

  m.u.order.fence = g->fence;
  m.u.order.op = (char *)op;
  m.u.order.args = args;
  if (cf_link_call (g->links[rank], &m,
                    cf_now_ms () + ORDER_TIMEOUT_MS + LOCAL_TIMEOUT_MS, &r)
      != CF_CALL_REPLY)
    return CF_RANK_OP_UNKNOWN;
  if (r.kind == CF_MSG_ANSWER)
    {
      result = r.u.answer.code < 300   ? CF_RANK_OP_DONE
               : r.u.answer.code < 500 ? CF_RANK_OP_REFUSED
                                       : CF_RANK_OP_UNKNOWN;
      if (reply && result == CF_RANK_OP_DONE)
        *reply = json_loads (r.u.answer.body, 0, NULL);
    }
  else if (r.kind == CF_MSG_REFUSAL && r.u.refusal.ran == CF_RAN_NO)
    result = g_str_equal (r.u.refusal.reason, CF_REASON_STALE_FENCE)
                 ? CF_RANK_OP_FENCED
                 : CF_RANK_OP_REFUSED;
  cf_msg_clear (&r);
  return result;
}

json_t *
cf_rank_op_to_json (const CfRankOp *op)
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
    case CF_RANK_RELEASE:
      json_object_set_new (o, "step", json_integer (op->u.hold.step));
      break;
    }
  return o;
}

static CfRankOpResult
send_rank_order (void *data, int rank, const CfRankOp *op)
{
  CfRankGroup *g = data;
  json_t *o = cf_rank_op_to_json (op);
  g_autofree char *args = NULL;
  CfRankOpResult result;

  args = json_dumps (o, JSON_COMPACT);
  json_decref (o);
  result = call_rank_agent (g, rank, op_name (op->kind), args, NULL);
  if (result != CF_RANK_OP_DONE)
    cf_log (LOG_INFO, CF_EV_RANK_ORDER,
            "rank=%d op=%s fence=%" G_GINT64_FORMAT " ack=%s", rank,
            op_name (op->kind), g->fence,
            result == CF_RANK_OP_REFUSED  ? "refused"
            : result == CF_RANK_OP_FENCED ? "fenced"
                                          : "unknown");
  return result;
}

static gint64
get_int_field (json_t *o, const char *name)
{
  return json_integer_value (json_object_get (o, name));
}

static void
parse_report (json_t *o, CfRankReport *r)
{
  r->step = get_int_field (o, "step");
  r->map = get_int_field (o, "map");
  r->prepared = get_int_field (o, "prepared");
  r->newest = get_int_field (o, "newest");
  r->armed = get_int_field (o, "armed");
  r->armed_step = get_int_field (o, "armed_step");
  r->held = get_int_field (o, "held");
}

static CfRankOpResult
request_rank_report (void *data, int rank, CfRankReport *out)
{
  CfRankGroup *g = data;
  json_t *o = NULL;
  CfRankOpResult result = call_rank_agent (g, rank, "report", NULL, &o);

  if (result == CF_RANK_OP_DONE && o == NULL)
    result = CF_RANK_OP_UNKNOWN;
  if (result != CF_RANK_OP_DONE)
    return result;
  parse_report (o, out);
  g->experts = get_int_field (o, "experts_total");
  g->places = get_int_field (o, "places");
  json_decref (g->rank_experts[rank]);
  g->rank_experts[rank] = json_incref (json_object_get (o, "experts"));
  json_decref (o);
  return result;
}

static gboolean
pause_ms (void *data, int ms)
{
  (void)data;
  usleep ((useconds_t)ms * 1000);
  return TRUE;
}

static gint64
read_clock_ms (void *data)
{
  (void)data;
  return cf_now_ms ();
}

/* Connects to the members at the first takeover only, so that the agents of
 * a large group do not all keep links to each other. */
static void
connect_members (CfRankGroup *g)
{
  long long deadline_ms = cf_now_ms () + ORDER_TIMEOUT_MS;

  for (guint i = 0; i < g->settings.members->len; i++)
    if (g->links[i] == NULL)
      {
        g->links[i] = cf_link_new (g_ptr_array_index (g->settings.members, i));
        cf_link_set_idle_ping_interval (g->links[i], g->settings.interval_ms);
      }
  for (guint i = 0; i < g->settings.members->len; i++)
    while (!cf_link_snapshot (g->links[i]).up && cf_now_ms () < deadline_ms)
      usleep (1000);
}

/* Assembles the map in use from every rank's report.  Returns NULL if a rank
 * cannot be reached or the map is not valid. */
static CfExpertMap *
collect_map (CfRankGroup *g)
{
  json_t *ranks = json_array ();
  CfExpertMap *m = NULL;
  CfRankReport r = { 0 };

  for (guint i = 0; i < g->settings.members->len; i++)
    {
      if (request_rank_report (g, (int)i, &r) != CF_RANK_OP_DONE)
        goto out;
      json_array_append (ranks, g->rank_experts[i]);
    }
  if (cf_expert_map_from_json (ranks, (int)g->experts, (int)g->places, r.map,
                               &m)
      != CF_OK)
    cf_log (LOG_WARNING, CF_EV_MAP_SETTLE, "error=\"%s\"", cf_last_error ());
out:
  json_decref (ranks);
  return m;
}

/* Begins a new term.  Its token is above all seen, and its remainder modulo
 * the number of members is this rank, so that no other agent of the group can
 * choose it. */
static void
begin_term (CfRankGroup *g)
{
  gint64 n = g->settings.members->len;

  g->term
      = MAX (g->term, cf_rank_group_highest_fence (g) / n) + g->term_increment;
  g->fence = g->term * n + g->settings.rank;
}

/* Ends a term.  If it was fenced, the next one uses a much higher token,
 * since other coordinators' tokens may be far above those seen here. */
static void
end_term (CfRankGroup *g, CfMapChangeResult result)
{
  g->term_increment = result == CF_MAP_CHANGE_FENCED
                          ? MIN (g->term_increment * 2, MAX_TERM_INCREMENT)
                          : 1;
}

/* Fences and settles the group.  Returns the map in use, or NULL if that
 * failed. */
static CfExpertMap *
take_over (CfRankGroup *g, const CfRankOps *ops,
           const CfMapChangeLimits *limits, const char *reason)
{
  CfMapChangeResult result = CF_MAP_CHANGE_STUCK;
  CfExpertMap *in_use;

  connect_members (g);
  begin_term (g);
  in_use = collect_map (g);
  if (in_use)
    result = cf_map_change_settle (ops, g->term, in_use, limits);
  if (in_use == NULL || result != CF_MAP_CHANGE_ABORTED
      || !g_str_equal (reason, "placement"))
    cf_log (LOG_NOTICE, CF_EV_MAP_SETTLE,
            "reason=%s fence=%" G_GINT64_FORMAT " result=%s", reason, g->fence,
            result == CF_MAP_CHANGE_ABORTED
                ? "settled"
                : cf_map_change_result_name (result));
  /* If the map could not be read, another coordinator's higher token may be
   * the reason: raise ours. */
  end_term (g, in_use ? result : CF_MAP_CHANGE_FENCED);
  if (result != CF_MAP_CHANGE_ABORTED)
    g_clear_pointer (&in_use, cf_expert_map_free);
  return in_use;
}

static void
run_placement (CfRankGroup *g, const CfRankOps *ops,
               const CfMapChangeLimits *limits)
{
  CfExpertMap *in_use = take_over (g, ops, limits, "placement");
  CfPlacementPlan plan = { 0 };
  CfMapChangeResult result;

  if (in_use == NULL || g->popularity.experts != in_use->experts)
    goto out;
  plan = cf_placement_plan (&g->settings.placement, in_use,
                            g->popularity.tokens);
  cf_log (LOG_INFO, CF_EV_PLACEMENT,
          "policy=%s map=%" G_GINT64_FORMAT
          " skew=%.3f predicted=%.3f moves=%d decision=%s",
          cf_placement_kind_name (g->settings.placement.kind), in_use->version,
          plan.skew_before, plan.skew_after, plan.moves,
          plan.map ? "change" : "stay");
  if (plan.map == NULL)
    goto out;
  result = cf_map_change_run (ops, g->term, in_use, plan.map, limits);
  end_term (g, result);
  cf_log (LOG_NOTICE, CF_EV_MAP_CHANGE,
          "from=%" G_GINT64_FORMAT " to=%" G_GINT64_FORMAT
          " fence=%" G_GINT64_FORMAT " result=%s",
          in_use->version, plan.map->version, g->fence,
          cf_map_change_result_name (result));
out:
  cf_expert_map_free (plan.map);
  cf_expert_map_free (in_use);
}

/* Reads the engine's token counts per expert.  Every agent does so, so that
 * any of them can take over placement. */
static void
update_popularity (CfRankGroup *g, long long now)
{
  g_autofree char *url = g_strconcat (g->target_url, "/v1/picked", NULL);
  g_autofree char *body = NULL;
  g_autofree double *counts = NULL;
  json_t *a;
  json_t *o;
  json_t *v;
  long code = 0;
  size_t i;

  if (now - g->popularity_read_ms
      < MAX (g->settings.interval_ms / 4, POLL_INTERVAL_MS))
    return;
  g->popularity_read_ms = now;
  if (cf_http_call ("GET", url, NULL, NULL, LOCAL_TIMEOUT_MS, &code, &body)
          != CF_OK
      || code != 200)
    return;
  o = json_loads (body, 0, NULL);
  a = json_object_get (o, "counts");
  if (g->popularity.experts == 0 && json_array_size (a) > 0)
    cf_expert_popularity_init (&g->popularity, (int)json_array_size (a));
  if (g->popularity.experts > 0
      && (int)json_array_size (a) == g->popularity.experts)
    {
      counts = g_new (double, g->popularity.experts);
      json_array_foreach (a, i, v) counts[i] = json_number_value (v);
      cf_expert_popularity_add_report (&g->popularity, counts, REPORT_WEIGHT);
    }
  json_decref (o);
}

/*
 * Whether the own rank has held a step, or has had work waiting without
 * beginning a step, for too long.  The coordinator then has died or lost its
 * connections during a change.
 */
static gboolean
is_rank_stalled (CfRankGroup *g, long long now)
{
  /* Agents of lower ranks wait less, so that not all agents take over at
   * once. */
  long long stall_timeout_ms
      = g->settings.hold_max_ms + g->settings.rank * STALL_TIMEOUT_PER_RANK_MS;
  g_autofree char *body = NULL;
  CfRankReport r = { 0 };
  json_t *o;
  long code = 0;

  if (cf_rank_group_run_order (g, "report", NULL, 0, &code, &body) != CF_OK
      || code != 200 || (o = json_loads (body, 0, NULL)) == NULL)
    {
      g->last_progress_ms = g->held_since_ms = now;
      return FALSE;
    }
  parse_report (o, &r);
  if (r.step != g->last_step || get_int_field (o, "waiting") == 0)
    g->last_progress_ms = now;
  if (r.held != g->last_held || r.held == 0)
    g->held_since_ms = now;
  g->last_step = r.step;
  g->last_held = r.held;
  json_decref (o);
  return now - g->last_progress_ms > stall_timeout_ms
         || now - g->held_since_ms > stall_timeout_ms;
}

static gboolean
is_placement_due (CfRankGroup *g, long long now)
{
  long long other_ms;

  if (g_atomic_int_compare_and_exchange (&g->rebalance, 1, 0))
    return TRUE;
  if (g->settings.interval_ms == 0 || now < g->next_plan_ms)
    return FALSE;
  pthread_mutex_lock (&g->lock);
  other_ms = g->other_coordinator_ms;
  pthread_mutex_unlock (&g->lock);
  return g->settings.rank == 0
         || now - other_ms
                > g->settings.interval_ms * (1 + 2 * g->settings.rank);
}

static void *
run_group (void *data)
{
  CfRankGroup *g = data;
  CfRankOps ops = { .data = g,
                    .ranks = (int)g->settings.members->len,
                    .order = send_rank_order,
                    .report = request_rank_report,
                    .pause = pause_ms,
                    .now = read_clock_ms };
  CfMapChangeLimits limits = { .prepare_ms = (int)g->settings.prepare_ms,
                               .settle_ms = SETTLE_TIMEOUT_MS,
                               .steps_ahead = STEPS_AHEAD };

  for (;; usleep (POLL_INTERVAL_MS * 1000))
    {
      long long now = cf_now_ms ();

      update_popularity (g, now);
      if (is_rank_stalled (g, now))
        {
          cf_expert_map_free (take_over (g, &ops, &limits, "standstill"));
          g->last_progress_ms = g->held_since_ms = cf_now_ms ();
        }
      else if (is_placement_due (g, now))
        {
          run_placement (g, &ops, &limits);
          g->next_plan_ms = cf_now_ms () + g->settings.interval_ms;
        }
    }
  return NULL;
}

CfRankGroup *
cf_rank_group_start (const CfRankGroupSettings *settings,
                     const char *target_url)
{
  CfRankGroup *g = g_new0 (CfRankGroup, 1);
  long long now = cf_now_ms ();
  pthread_t t;

  g->settings = *settings;
  g->target_url = g_strdup (target_url);
  g->links = g_new0 (CfLink *, settings->members->len);
  g->rank_experts = g_new0 (json_t *, settings->members->len);
  g->term_increment = 1;
  g->last_progress_ms = g->held_since_ms = g->other_coordinator_ms = now;
  g->next_plan_ms = now + settings->interval_ms;
  pthread_mutex_init (&g->lock, NULL);
  pthread_create (&t, NULL, run_group, g);
  pthread_detach (t);
  return g;
}

void
cf_rank_group_request_rebalance (CfRankGroup *g)
{
  g_atomic_int_set (&g->rebalance, 1);
}
