#include "rank-service-parts.h"

#include "log.h"
#include "platform/platform-rank.h"
#include "rank-call.h"

#include <string.h>

/** A rank that is called directly answers within a few ms, or is down. */
#define DIRECT_TIMEOUT_MS 300
/** The timeout of orders to hold or release a pass is short because the whole
 * group waits.  They are then sent again, which does no harm even if they are
 * carried out twice. */
#define HOLD_TIMEOUT_MS 25

/** DirectCall: an order sent to a rank itself; freed when it is finished. */
typedef struct
{
  CfLedGroup *group;
  int rank;
  CfRankOrderKind kind;
  int http_status;
  gint64 epoch;       /**< of the order */
  gint64 step;        /**< of the order */
  gint64 fence;       /**< of the order */
  gboolean wants_ack; /**< whether the coordinator waits for the outcome */
} DirectCall;

static void
finish_direct (DirectCall *d)
{
  CfMapCoordinator *c = &d->group->coordinator;
  gint64 now = cf_gateway_now (d->group->service->gateway);

  if (d->wants_ack)
    {
      cf_map_coordinator_take_ack (
          c, d->rank, cf_platform_rank_ack_from_status (d->http_status), now);
      cf_map_coordinator_tick (c, now);
    }
  g_free (d);
}

/* Returns the token below which the rank refused orders at @as_of, given that
 * it was in @epoch then; 0 if ranks do not check tokens. */
static gint64
token_as_of (const DirectCall *d, gint64 epoch, gint64 as_of)
{
  const CfLedGroup *g = d->group;
  const CfRankToken *token = &g->rank_tokens[d->rank];

  if (!g->service->gateway->settings.ranks_check_fence)
    return 0;
  if (token->fence == d->fence && token->epoch == epoch
      && as_of >= token->since_ms)
    return d->fence;
  return g->coordinator.ranks[d->rank].token;
}

static void
on_direct_report (void *data, int status, const GString *body)
{
  DirectCall *d = data;
  gint64 now = cf_gateway_now (d->group->service->gateway);
  gint64 as_of = now - d->group->report_lag_ms;
  CfRankStatus st = { 0 };

  if (status == 200
      && cf_platform_rank_parse_report (body->str, body->len, &st) != CF_OK)
    cf_gateway_drop_reading (d->group->service->gateway, CF_READING_RANK_REPORT,
                             d->group->target_addrs[d->rank], cf_last_error ());
  else if (status == 200 && strcmp (st.group, d->group->name) == 0)
    cf_map_coordinator_take_status_as_of (&d->group->coordinator, &st,
                                          token_as_of (d, st.epoch, as_of),
                                          as_of, now);
  cf_log (
      LOG_INFO, CF_EV_RANK_ORDER,
      "group=%s rank=%d way=direct status=%d report=%d step=%" G_GINT64_FORMAT
      " map=%" G_GINT64_FORMAT " prepared=%" G_GINT64_FORMAT
      " armed=%" G_GINT64_FORMAT " held=%" G_GINT64_FORMAT,
      d->group->name, d->rank, d->http_status, status, st.step, st.map,
      st.prepared, st.armed, st.held);
  finish_direct (d);
}

/* (nullable): the target to which @kind may be sent directly.  A target that
 * pauses gets only the order that ends a hold, since its whole group waits. */
static CfTarget *
direct_target (const CfLedGroup *g, int rank, CfRankOrderKind kind)
{
  CfTarget *t = cf_rank_service_target (g->service, g->target_addrs[rank]);
  gint64 now = cf_gateway_now (g->service->gateway);

  if (t && kind != CF_ORDER_RELEASE && cf_target_pause_ms (t, now) > 0)
    return NULL;
  return t;
}

static void
request_report (DirectCall *d)
{
  CfRankService *s = d->group->service;
  CfTarget *t = direct_target (d->group, d->rank, d->kind);

  if (t)
    cf_rank_call (s->gateway->loop, t,
                  cf_platform_rank_build_report_request (t->record.addr),
                  DIRECT_TIMEOUT_MS, on_direct_report, d);
  else
    on_direct_report (d, 0, NULL);
}

/* Records a token that the rank accepted: a rank that checks tokens refuses
 * lower ones from then on. */
static void
record_token (DirectCall *d, CfRankAck ack)
{
  CfRankToken *token = &d->group->rank_tokens[d->rank];

  if (ack == CF_RANK_ACK_FENCED || ack == CF_RANK_ACK_UNKNOWN
      || (token->fence == d->fence && token->epoch == d->epoch))
    return;
  token->fence = d->fence;
  token->epoch = d->epoch;
  token->since_ms = cf_gateway_now (d->group->service->gateway);
}

/* The outcome of a blocking order is taken from the rank's answer, since the
 * reports it gives to other VMs are too old to show it. */
static void
on_direct_blocking_order (void *data, int status, const GString *body)
{
  DirectCall *d = data;
  CfRankAck ack = cf_platform_rank_ack_from_status (status);

  d->http_status = status;
  record_token (d, ack);
  if (ack == CF_RANK_ACK_DONE)
    cf_map_coordinator_take_held (&d->group->coordinator, d->rank, d->epoch,
                                  d->kind == CF_ORDER_HOLD ? d->step : 0);
  cf_log (LOG_INFO, CF_EV_RANK_ORDER,
          "group=%s rank=%d order=%s step=%" G_GINT64_FORMAT
          " way=direct status=%d",
          d->group->name, d->rank, cf_rank_order_name (d->kind), d->step,
          status);
  finish_direct (d);
}

static void
on_direct_order (void *data, int status, const GString *body)
{
  DirectCall *d = data;

  d->http_status = status;
  record_token (d, cf_platform_rank_ack_from_status (status));
  request_report (d);
}

static void
clear_prepare_order (CfPrepareOrder *p)
{
  g_clear_pointer (&p->changed_rows, g_array_unref);
  g_clear_pointer (&p->full_rows, g_array_unref);
  g_free (p->json);
  memset (p, 0, sizeof *p);
}

/* Returns the version that all ranks have in use; 0 if they differ, or if they
 * use the map with which the group started. */
static gint64
version_in_use (const CfMapCoordinator *c)
{
  for (int r = 1; r < c->shape.ranks; r++)
    if (c->ranks[r].status.map != c->ranks[0].status.map)
      return 0;
  return c->ranks[0].status.map;
}

/* Returns the cached forms of @o, an order to prepare, cleared if they are of
 * another order. */
static CfPrepareOrder *
get_prepare_order (CfLedGroup *g, const CfRankOrder *o)
{
  CfPrepareOrder *p = &g->prepare_order;

  if (p->version == o->version && p->fence == o->fence)
    return p;
  clear_prepare_order (p);
  p->version = o->version;
  p->fence = o->fence;
  p->base_version = version_in_use (&g->coordinator);
  return p;
}

/* Returns the map of @o as a diff against the map in use or, with @full, for
 * agents that lack it, against the round-robin map. */
static const GArray *
get_rows (CfLedGroup *g, const CfRankOrder *o, gboolean full)
{
  CfPrepareOrder *p = get_prepare_order (g, o);

  if (!full && !p->changed_rows)
    p->changed_rows = cf_group_map_diff (g->coordinator.in_use, o->map);
  if (full && !p->full_rows)
    {
      CfGroupMap *round_robin = cf_group_map_round_robin (&o->map->shape);

      p->full_rows = cf_group_map_diff (round_robin, o->map);
      cf_group_map_free (round_robin);
    }
  return full ? p->full_rows : p->changed_rows;
}

/* Returns the order as ranks accept it.  An order to prepare holds the whole
 * map, about 28 kB for 192 ranks.  As that takes 3 ms to generate, it is
 * generated once for all ranks. */
static char *
get_json (CfLedGroup *g, const CfRankOrder *o)
{
  CfPrepareOrder *p;

  if (o->kind != CF_ORDER_PREPARE)
    return cf_platform_rank_build_order_body (o);
  p = get_prepare_order (g, o);
  if (!p->json)
    p->json = cf_platform_rank_build_order_body (o);
  return g_strdup (p->json);
}

void
cf_led_group_send_direct (CfLedGroup *g, int rank, const CfRankOrder *o,
                          gboolean wants_ack)
{
  CfTarget *t = direct_target (g, rank, o->kind);
  gboolean is_blocking = wants_ack && cf_rank_order_is_blocking (o->kind);
  char *json;
  DirectCall *d;

  if (!t)
    return;
  json = get_json (g, o);
  d = g_new0 (DirectCall, 1);
  d->group = g;
  d->rank = rank;
  d->kind = o->kind;
  d->epoch = o->epoch;
  d->step = o->step;
  d->fence = o->fence;
  d->wants_ack = wants_ack;
  cf_rank_call (g->service->gateway->loop, t,
                cf_platform_rank_build_order_request (t->record.addr, json,
                                                      strlen (json)),
                is_blocking ? HOLD_TIMEOUT_MS : DIRECT_TIMEOUT_MS,
                is_blocking ? on_direct_blocking_order : on_direct_order, d);
  g_free (json);
}

/* Sends the map as a diff, from which the agent rebuilds the whole map: about
 * 200 of 1,920 rows for each of 192 ranks. */
static void
send_prepare (CfLedGroup *g, CfAgentLink *a, const CfRankOrder *o)
{
  const CfPrepareOrder *p = get_prepare_order (g, o);
  gboolean full = a->lacks_base || p->base_version == 0;
  CfPeerMsg m = { .kind = CF_PEER_PREPARE };

  m.u.prepare.seq = g->service->seq;
  m.u.prepare.fence = o->fence;
  m.u.prepare.epoch = o->epoch;
  m.u.prepare.version = o->version;
  m.u.prepare.base_version = full ? 0 : p->base_version;
  m.u.prepare.shape = o->map->shape;
  m.u.prepare.rows = (GArray *)get_rows (g, o, full);
  cf_peer_msg_send (a->link, &m);
}

static void
send_order (CfLedGroup *g, CfAgentLink *a, const CfRankOrder *o)
{
  CfPeerMsg m = { .kind = CF_PEER_ORDER };
  char *json = cf_platform_rank_build_order_body (o);

  m.u.order.seq = g->service->seq;
  m.u.order.fence = o->fence;
  m.u.order.order = o->kind;
  m.u.order.version = o->version;
  m.u.order.body.data = json;
  m.u.order.body.n = strlen (json);
  cf_peer_msg_send (a->link, &m);
  g_free (json);
}

void
cf_led_group_on_order (void *data, int rank, const CfRankOrder *o)
{
  CfLedGroup *g = data;
  CfAgentLink *a = g->agents[rank];
  gboolean reachable = direct_target (g, rank, o->kind) != NULL;

  if (reachable
      && cf_order_watch_is_sent_direct (&g->order_watches[rank], o->kind))
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
  cf_order_watch_note_sent (&g->order_watches[rank], ++g->service->seq,
                            cf_gateway_now (g->service->gateway));
  if (o->kind == CF_ORDER_PREPARE)
    send_prepare (g, a, o);
  else
    send_order (g, a, o);
}
