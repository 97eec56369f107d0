#include "rank-service-parts.h"

#include "log.h"
#include "platform/platform-rank.h"
#include "rank-call.h"

#include <string.h>

/** A rank that is asked directly answers within some ms, or is away. */
#define DIRECT_TIMEOUT_MS 300
/** The group waits for a hold and its end: one without an answer is given
 * again soon, since both may be carried out twice. */
#define HOLD_TIMEOUT_MS 25

/** DirectCall: an order or a question that goes straight to a rank. */
typedef struct
{
  CfLedGroup *g;
  int rank;
  CfRankOrderKind kind;
  int http_status;
  gint64 epoch;      /**< of the order */
  gint64 step;       /**< the same */
  gint64 fence;      /**< the same */
  gboolean is_order; /**< the coordinator waits for what comes of it */
} DirectCall;

static void
end_direct (DirectCall *d)
{
  CfMapCoordinator *c = &d->g->c;
  gint64 now = cf_gateway_now (d->g->s->g);

  if (d->is_order)
    {
      cf_map_coordinator_ack (
          c, d->rank, cf_platform_rank_ack_from_status (d->http_status), now);
      cf_map_coordinator_tick (c, now);
    }
  g_free (d);
}

/* The token that guards the rank, in a report of @epoch that is as of @as_of.
 */
static gint64
guard_as_of (const DirectCall *d, gint64 epoch, gint64 as_of)
{
  const CfLedGroup *g = d->g;
  const CfRankGuard *guard = &g->guards[d->rank];

  if (!g->s->g->set.ranks_check_fence)
    return 0;
  if (guard->fence == d->fence && guard->epoch == epoch
      && as_of >= guard->since_ms)
    return d->fence;
  return g->c.ranks[d->rank].token;
}

static void
on_direct_report (void *data, int status, const GString *body)
{
  DirectCall *d = data;
  gint64 now = cf_gateway_now (d->g->s->g);
  gint64 as_of = now - d->g->report_lag_ms;
  CfRankStatus st = { 0 };

  if (status == 200
      && cf_platform_rank_parse_report (body->str, body->len, &st) == CF_OK
      && strcmp (st.group, d->g->name) == 0)
    cf_map_coordinator_status_as_of (
        &d->g->c, &st, guard_as_of (d, st.epoch, as_of), as_of, now);
  cf_log (
      LOG_INFO, CF_EV_RANK_ORDER,
      "group=%s rank=%d way=direct status=%d report=%d step=%" G_GINT64_FORMAT
      " map=%" G_GINT64_FORMAT " prepared=%" G_GINT64_FORMAT
      " armed=%" G_GINT64_FORMAT " held=%" G_GINT64_FORMAT,
      d->g->name, d->rank, d->http_status, status, st.step, st.map, st.prepared,
      st.armed, st.held);
  end_direct (d);
}

static void
ask_report (DirectCall *d)
{
  CfRankService *s = d->g->s;
  CfTarget *t = cf_rank_service_target (s, d->g->addrs[d->rank]);

  if (t)
    cf_rank_call (s->g->loop, t,
                  cf_platform_rank_build_report_request (t->record.addr),
                  DIRECT_TIMEOUT_MS, on_direct_report, d);
  else
    on_direct_report (d, 0, NULL);
}

/* A rank that checks tokens and took this one refuses lower ones. */
static void
note_guard (DirectCall *d, CfRankAck ack)
{
  CfRankGuard *guard = &d->g->guards[d->rank];

  if (ack == CF_RANK_ACK_FENCED || ack == CF_RANK_ACK_UNKNOWN
      || (guard->fence == d->fence && guard->epoch == d->epoch))
    return;
  guard->fence = d->fence;
  guard->epoch = d->epoch;
  guard->since_ms = cf_gateway_now (d->g->s->g);
}

/* What holds the group is known by the rank's own answer: a report that
 * another VM asks for is too old to show it. */
static void
on_direct_hold (void *data, int status, const GString *body)
{
  DirectCall *d = data;
  CfRankAck ack = cf_platform_rank_ack_from_status (status);

  d->http_status = status;
  note_guard (d, ack);
  if (ack == CF_RANK_ACK_DONE)
    cf_map_coordinator_held (&d->g->c, d->rank, d->epoch,
                             d->kind == CF_ORDER_HOLD ? d->step : 0);
  cf_log (LOG_INFO, CF_EV_RANK_ORDER,
          "group=%s rank=%d order=%s step=%" G_GINT64_FORMAT
          " way=direct status=%d",
          d->g->name, d->rank, cf_rank_order_name (d->kind), d->step, status);
  end_direct (d);
}

static void
on_direct_order (void *data, int status, const GString *body)
{
  DirectCall *d = data;

  d->http_status = status;
  note_guard (d, cf_platform_rank_ack_from_status (status));
  ask_report (d);
}

static void
forget_prepared (CfPreparedOrder *p)
{
  g_clear_pointer (&p->rows, g_array_unref);
  g_clear_pointer (&p->in_whole, g_array_unref);
  g_free (p->json);
  memset (p, 0, sizeof *p);
}

/* The version that every rank has in use; 0 if they differ, or if none of
 * ours was ever used. */
static gint64
version_in_use (const CfMapCoordinator *c)
{
  for (int r = 1; r < c->shape.ranks; r++)
    if (c->ranks[r].status.map != c->ranks[0].status.map)
      return 0;
  return c->ranks[0].status.map;
}

/* The group's order to prepare, for @o. */
static CfPreparedOrder *
prepared_order (CfLedGroup *g, const CfRankOrder *o)
{
  CfPreparedOrder *p = &g->prepare;

  if (p->version == o->version && p->fence == o->fence)
    return p;
  forget_prepared (p);
  p->version = o->version;
  p->fence = o->fence;
  p->base = version_in_use (&g->c);
  return p;
}

/* What an agent that lacks the map in use is told, or one that has it. */
static const GArray *
rows_of (CfLedGroup *g, const CfRankOrder *o, gboolean in_whole)
{
  CfPreparedOrder *p = prepared_order (g, o);

  if (!in_whole && !p->rows)
    p->rows = cf_group_map_rows (g->c.in_use, o->map);
  if (in_whole && !p->in_whole)
    {
      CfGroupMap *in_turn = cf_group_map_in_turn (&o->map->shape);

      p->in_whole = cf_group_map_rows (in_turn, o->map);
      cf_group_map_free (in_turn);
    }
  return in_whole ? p->in_whole : p->rows;
}

/* The order as a rank takes it.  That to prepare holds the whole map: some
 * 28 kB at 192 ranks, which take 3 ms to make, so it is made once for all. */
static char *
json_of (CfLedGroup *g, const CfRankOrder *o)
{
  CfPreparedOrder *p;

  if (o->kind != CF_ORDER_PREPARE)
    return cf_platform_rank_build_order_body (o);
  p = prepared_order (g, o);
  if (!p->json)
    p->json = cf_platform_rank_build_order_body (o);
  return g_strdup (p->json);
}

void
cf_led_group_send_direct (CfLedGroup *g, int rank, const CfRankOrder *o,
                          gboolean is_order)
{
  CfTarget *t = cf_rank_service_target (g->s, g->addrs[rank]);
  gboolean halts = is_order && cf_rank_order_halts_group (o->kind);
  char *json;
  DirectCall *d;

  if (!t)
    return;
  json = json_of (g, o);
  d = g_new0 (DirectCall, 1);
  d->g = g;
  d->rank = rank;
  d->kind = o->kind;
  d->epoch = o->epoch;
  d->step = o->step;
  d->fence = o->fence;
  d->is_order = is_order;
  cf_rank_call (g->s->g->loop, t,
                cf_platform_rank_build_order_request (t->record.addr, json,
                                                      strlen (json)),
                halts ? HOLD_TIMEOUT_MS : DIRECT_TIMEOUT_MS,
                halts ? on_direct_hold : on_direct_order, d);
  g_free (json);
}

/* The agent makes the whole map of it, beside its rank: some 200 rows of the
 * 1,920 that the map has, for each of 192 ranks. */
static void
send_prepare (CfLedGroup *g, CfRankLink *a, const CfRankOrder *o)
{
  const CfPreparedOrder *p = prepared_order (g, o);
  gboolean in_whole = a->lacks_base || p->base == 0;
  CfPeerMsg m = { .kind = CF_PEER_PREPARE };

  m.u.prepare.seq = g->s->seq;
  m.u.prepare.fence = o->fence;
  m.u.prepare.epoch = o->epoch;
  m.u.prepare.version = o->version;
  m.u.prepare.base = in_whole ? 0 : p->base;
  m.u.prepare.shape = o->map->shape;
  m.u.prepare.rows = (GArray *)rows_of (g, o, in_whole);
  cf_peer_msg_send (a->peer, &m);
}

static void
send_order (CfLedGroup *g, CfRankLink *a, const CfRankOrder *o)
{
  CfPeerMsg m = { .kind = CF_PEER_ORDER };
  char *json = cf_platform_rank_build_order_body (o);

  m.u.order.seq = g->s->seq;
  m.u.order.fence = o->fence;
  m.u.order.order = o->kind;
  m.u.order.version = o->version;
  m.u.order.body.data = json;
  m.u.order.body.n = strlen (json);
  cf_peer_msg_send (a->peer, &m);
  g_free (json);
}

void
cf_led_group_on_order (void *data, int rank, const CfRankOrder *o)
{
  CfLedGroup *g = data;
  CfRankLink *a = g->agents[rank];
  gboolean reachable = cf_rank_service_target (g->s, g->addrs[rank]) != NULL;

  if (reachable && cf_order_watch_goes_direct (&g->orders[rank], o->kind))
    a = NULL;
  cf_log (LOG_INFO, CF_EV_RANK_ORDER,
          "group=%s rank=%d order=%s version=%" G_GINT64_FORMAT
          " step=%" G_GINT64_FORMAT " epoch=%" G_GINT64_FORMAT
          " fence=%" G_GINT64_FORMAT " way=%s",
          g->name, rank, cf_rank_order_name (o->kind), o->version, o->step,
          o->epoch, o->fence, a ? "agent" : "direct");
  if (!a)
    {
      cf_led_group_send_direct (g, rank, o, TRUE);
      return;
    }
  cf_order_watch_sent (&g->orders[rank], ++g->s->seq, cf_gateway_now (g->s->g));
  if (o->kind == CF_ORDER_PREPARE)
    send_prepare (g, a, o);
  else
    send_order (g, a, o);
}
