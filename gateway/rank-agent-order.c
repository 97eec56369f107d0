#include "rank-agent-parts.h"

#include "log.h"
#include "net.h"
#include "platform/platform-rank.h"
#include "rank-call.h"

#include <string.h>

/** The rank answers within a few ms of this VM's processor time.  An order
 * without an answer by then may be lost while the whole group waits, so it is
 * sent again; carrying out an order twice does no harm. */
#define ORDER_TIMEOUT_MS 20
/** Attempts for one order.  If many orders are lost, retries from here, close
 * to the rank, arm all ranks sooner than retries by the leader. */
#define ORDER_ATTEMPTS_MAX 4
#define REPORT_TIMEOUT_MS 50
/** Status with which the agent itself refuses orders with an old fencing token,
 * since the rank may not check tokens. */
#define STATUS_FENCED 412
/** Status of orders that the agent keeps from a rank in a pause. */
#define STATUS_PAUSED 503
#define STATUS_DONE 200
#define STATUS_CONFLICT 409

/** OrderCall: an order in progress; freed when it is acknowledged. */
typedef struct
{
  CfRankAgent *agent;
  CfSeed *from;
  gint64 seq;
  gint64 fence;
  CfRankOrderKind kind;
  gint64 version;
  char *body;
  gsize n;
  int attempts;
  int http_status; /**< of the last attempt; 0: no answer */
} OrderCall;

static void
send_ack (OrderCall *o)
{
  CfPeerMsg m = { .kind = CF_PEER_ORDER_ACK };

  m.u.order_ack.seq = o->seq;
  m.u.order_ack.http_status = o->http_status;
  m.u.order_ack.status = o->agent->status;
  m.u.order_ack.highest_fence = o->agent->highest_fence;
  if (o->from->up)
    cf_peer_msg_send (o->from->link, &m);
  cf_log (LOG_INFO, CF_EV_RANK_ORDER,
          "order=%s version=%" G_GINT64_FORMAT " fence=%" G_GINT64_FORMAT
          " status=%d tries=%d step=%" G_GINT64_FORMAT " map=%" G_GINT64_FORMAT
          " prepared=%" G_GINT64_FORMAT " armed=%" G_GINT64_FORMAT
          " held=%" G_GINT64_FORMAT,
          cf_rank_order_name (o->kind), o->version, o->fence, o->http_status,
          o->attempts, o->agent->status.step, o->agent->status.map,
          o->agent->status.prepared, o->agent->status.armed,
          o->agent->status.held);
  g_free (o->body);
  g_free (o);
}

/* Whether the rank's state shows that an order without an answer was carried
 * out. */
static gboolean
is_in_effect (const OrderCall *o)
{
  const CfRankStatus *s = &o->agent->status;

  switch (o->kind)
    {
    case CF_ORDER_PREPARE:
      return s->prepared == o->version;
    case CF_ORDER_ARM:
      return s->armed == o->version || s->map == o->version;
    case CF_ORDER_DISARM:
      return s->armed == 0;
    case CF_ORDER_HOLD:
      return s->held != 0;
    case CF_ORDER_RELEASE:
      return s->held == 0;
    }
  return FALSE;
}

static void send_to_rank (OrderCall *o);

static void
on_report_after_order (void *data, int status, const GString *body)
{
  OrderCall *o = data;
  gboolean known = cf_rank_agent_take_report (o->agent, status, body);

  if (o->http_status == 0 && known && is_in_effect (o))
    o->http_status = STATUS_DONE;
  if (o->http_status == 0 && o->attempts < ORDER_ATTEMPTS_MAX
      && o->fence >= o->agent->highest_fence)
    send_to_rank (o);
  else
    send_ack (o);
}

static void
on_order_answer (void *data, int status, const GString *body)
{
  OrderCall *o = data;

  /* The conflict may only mean that an earlier attempt was carried out, so the
   * rank's status decides. */
  o->http_status = status == STATUS_CONFLICT && o->attempts > 1 ? 0 : status;
  /* Also without an answer: the copy may have begun. */
  if (o->kind == CF_ORDER_PREPARE)
    cf_rank_agent_track_copy (o->agent, o->version);
  cf_rank_call (
      o->agent->loop, o->agent->target,
      cf_platform_rank_build_report_request (o->agent->settings.target_addr),
      REPORT_TIMEOUT_MS, on_report_after_order, o);
}

static void
send_to_rank (OrderCall *o)
{
  o->attempts++;
  cf_rank_call (o->agent->loop, o->agent->target,
                cf_platform_rank_build_order_request (
                    o->agent->settings.target_addr, o->body, o->n),
                ORDER_TIMEOUT_MS, on_order_answer, o);
}

/* Whether the rank wants no order of this kind now.  The end of a hold is sent
 * all the same, since the whole group waits for it. */
static gboolean
is_kept_back (const OrderCall *o)
{
  return o->kind != CF_ORDER_RELEASE
         && cf_target_pause_ms (o->agent->target, cf_now_ms ()) > 0;
}

/* Sends @o to the rank or, if its token is too old, the rank pauses or @o has
 * no body, acknowledges it at once. */
static void
start_order (OrderCall *o)
{
  CfRankAgent *a = o->agent;

  if (o->fence < a->highest_fence)
    {
      o->http_status = STATUS_FENCED;
      send_ack (o);
      return;
    }
  a->highest_fence = o->fence;
  if (is_kept_back (o))
    {
      o->http_status = STATUS_PAUSED;
      send_ack (o);
    }
  else if (o->body)
    send_to_rank (o);
  else
    {
      o->http_status = CF_PEER_STATUS_UNKNOWN_BASE;
      send_ack (o);
    }
}

static OrderCall *
new_order_call (CfSeed *s, CfRankOrderKind kind, gint64 seq, gint64 fence,
                gint64 version)
{
  OrderCall *o = g_new0 (OrderCall, 1);

  o->agent = s->agent;
  o->from = s;
  o->kind = kind;
  o->seq = seq;
  o->fence = fence;
  o->version = version;
  return o;
}

void
cf_rank_agent_handle_order (CfSeed *s, const CfPeerMsg *m)
{
  OrderCall *o = new_order_call (s, m->u.order.order, m->u.order.seq,
                                 m->u.order.fence, m->u.order.version);

  o->n = m->u.order.body.n;
  o->body = g_memdup2 (m->u.order.body.data, o->n);
  start_order (o);
}

/* Returns the body of the order to prepare the map that @m describes as a
 * diff; NULL if this agent lacks the base map or the diff does not fit. */
static char *
build_prepare_body (CfRankAgent *a, const CfPeerMsg *m)
{
  CfRankOrder order = { .kind = CF_ORDER_PREPARE };
  CfGroupShape shape = m->u.prepare.shape;
  CfGroupMap *map;
  char *body;

  shape.ranks = a->status.size;
  map = cf_map_history_build_map (&a->maps, &shape, m->u.prepare.base_version,
                                  m->u.prepare.rows);
  if (!map)
    return NULL;
  order.version = m->u.prepare.version;
  order.epoch = m->u.prepare.epoch;
  order.fence = m->u.prepare.fence;
  order.map = map;
  body = cf_platform_rank_build_order_body (&order);
  cf_map_history_add (&a->maps, map, order.version);
  return body;
}

void
cf_rank_agent_handle_prepare (CfSeed *s, const CfPeerMsg *m)
{
  OrderCall *o = new_order_call (s, CF_ORDER_PREPARE, m->u.prepare.seq,
                                 m->u.prepare.fence, m->u.prepare.version);

  o->body = build_prepare_body (s->agent, m);
  o->n = o->body ? strlen (o->body) : 0;
  start_order (o);
}
