#include "rank-agent-parts.h"

#include "log.h"
#include "net.h"
#include "platform/platform-rank.h"
#include "rank-call.h"

#include <string.h>

/** The rank answers within a few ms of this VM's processor time.  An order
 * that is not answered by then may be lost while the whole group waits, so
 * it is given again: every order may be carried out twice. */
#define ORDER_TIMEOUT_MS 20
/** Tries of one order, here, where the rank is near: where many get lost, all
 * ranks are armed sooner than by tries of the leader. */
#define ORDER_TRIES 4
#define REPORT_TIMEOUT_MS 50
/** The rank may not check tokens itself, so old ones end here. */
#define STATUS_FENCED 412
#define STATUS_DONE 200
#define STATUS_CONFLICT 409

/** OrderCall: an order on its way to the rank. */
typedef struct
{
  CfRankAgent *a;
  CfSeed *from;
  gint64 seq;
  gint64 fence;
  CfRankOrderKind kind;
  gint64 version;
  char *body;
  gsize n;
  int tries;
  int http_status; /**< of the last try; 0: no answer */
} OrderCall;

static void
answer_order (OrderCall *o)
{
  CfPeerMsg m = { .kind = CF_PEER_ORDER_ACK };

  m.u.order_ack.seq = o->seq;
  m.u.order_ack.http_status = o->http_status;
  m.u.order_ack.status = o->a->status;
  m.u.order_ack.fence_seen = o->a->fence_seen;
  if (o->from->up)
    cf_peer_msg_send (o->from->link, &m);
  cf_log (LOG_INFO, CF_EV_RANK_ORDER,
          "order=%s version=%" G_GINT64_FORMAT " fence=%" G_GINT64_FORMAT
          " status=%d tries=%d step=%" G_GINT64_FORMAT " map=%" G_GINT64_FORMAT
          " prepared=%" G_GINT64_FORMAT " armed=%" G_GINT64_FORMAT
          " held=%" G_GINT64_FORMAT,
          cf_rank_order_name (o->kind), o->version, o->fence, o->http_status,
          o->tries, o->a->status.step, o->a->status.map, o->a->status.prepared,
          o->a->status.armed, o->a->status.held);
  g_free (o->body);
  g_free (o);
}

/* Whether the rank's state shows that an order without an answer was carried
 * out all the same. */
static gboolean
is_carried_out (const OrderCall *o)
{
  const CfRankStatus *s = &o->a->status;

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
    case CF_ORDER_GO:
      return s->held == 0;
    }
  return FALSE;
}

static void give (OrderCall *o);

static void
on_report_after (void *data, int status, const GString *body)
{
  OrderCall *o = data;
  gboolean known = cf_rank_agent_take_report (o->a, status, body);

  if (o->http_status == 0 && known && is_carried_out (o))
    o->http_status = STATUS_DONE;
  if (o->http_status == 0 && o->tries < ORDER_TRIES
      && o->fence >= o->a->fence_seen)
    give (o);
  else
    answer_order (o);
}

static void
on_order_done (void *data, int status, const GString *body)
{
  OrderCall *o = data;

  /* A try before it may have been what it does not fit any more. */
  o->http_status = status == STATUS_CONFLICT && o->tries > 1 ? 0 : status;
  /* Also without an answer: the copy may have begun all the same. */
  if (o->kind == CF_ORDER_PREPARE)
    cf_rank_agent_await_copy (o->a, o->version);
  cf_rank_call (o->a->loop, o->a->target,
                cf_platform_rank_build_report_request (o->a->set.target_addr),
                REPORT_TIMEOUT_MS, on_report_after, o);
}

static void
give (OrderCall *o)
{
  o->tries++;
  cf_rank_call (o->a->loop, o->a->target,
                cf_platform_rank_build_order_request (o->a->set.target_addr,
                                                      o->body, o->n),
                ORDER_TIMEOUT_MS, on_order_done, o);
}

/* Gives @o, whose body is made, unless another leader goes before. */
static void
begin (OrderCall *o)
{
  CfRankAgent *a = o->a;

  if (o->fence < a->fence_seen)
    {
      o->http_status = STATUS_FENCED;
      answer_order (o);
      return;
    }
  a->fence_seen = o->fence;
  if (o->body)
    give (o);
  else
    {
      o->http_status = CF_PEER_NO_BASE;
      answer_order (o);
    }
}

static OrderCall *
new_call (CfSeed *s, CfRankOrderKind kind, gint64 seq, gint64 fence,
          gint64 version)
{
  OrderCall *o = g_new0 (OrderCall, 1);

  o->a = s->a;
  o->from = s;
  o->kind = kind;
  o->seq = seq;
  o->fence = fence;
  o->version = version;
  return o;
}

void
cf_rank_agent_order (CfSeed *s, const CfPeerMsg *m)
{
  OrderCall *o = new_call (s, m->u.order.order, m->u.order.seq,
                           m->u.order.fence, m->u.order.version);

  o->n = m->u.order.body.n;
  o->body = g_memdup2 (m->u.order.body.data, o->n);
  begin (o);
}

/* The body of an order to prepare the map that @m names by its differences;
 * %NULL if that cannot be told from what this agent knows. */
static char *
prepare_body (CfRankAgent *a, const CfPeerMsg *m)
{
  CfRankOrder order = { .kind = CF_ORDER_PREPARE };
  CfGroupShape shape = m->u.prepare.shape;
  CfGroupMap *map;
  char *body;

  shape.ranks = a->status.size;
  map = cf_map_history_make (&a->maps, &shape, m->u.prepare.base,
                             m->u.prepare.rows);
  if (!map)
    return NULL;
  order.version = m->u.prepare.version;
  order.epoch = m->u.prepare.epoch;
  order.fence = m->u.prepare.fence;
  order.map = map;
  body = cf_platform_rank_build_order_body (&order);
  cf_map_history_take (&a->maps, map, order.version);
  return body;
}

void
cf_rank_agent_prepare (CfSeed *s, const CfPeerMsg *m)
{
  OrderCall *o = new_call (s, CF_ORDER_PREPARE, m->u.prepare.seq,
                           m->u.prepare.fence, m->u.prepare.version);

  o->body = prepare_body (s->a, m);
  o->n = o->body ? strlen (o->body) : 0;
  begin (o);
}
