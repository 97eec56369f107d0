#include "rank-service-parts.h"

#include "log.h"
#include "platform/platform-rank.h"
#include "rank-call.h"

#include <string.h>

/** A rank that is asked directly answers within some ms, or is away. */
#define DIRECT_TIMEOUT_MS 300

/** DirectCall: an order or a question that goes straight to a rank. */
typedef struct
{
  CfLedGroup *g;
  int rank;
  int http_status;
  gint64 fence;      /**< of the order */
  gint64 token;      /**< that the rank itself is known to guard by */
  gboolean is_order; /**< the coordinator waits for what comes of it */
} DirectCall;

static void
on_direct_report (void *data, int status, const GString *body)
{
  DirectCall *d = data;
  CfRankStatus st = { 0 };

  if (status == 200
      && cf_platform_rank_status (body->str, body->len, &st) == CF_OK
      && strcmp (st.group, d->g->name) == 0)
    cf_map_coordinator_status (&d->g->c, &st, d->token,
                               cf_gateway_now (d->g->s->g));
  cf_log (
      LOG_INFO, CF_EV_RANK_ORDER,
      "group=%s rank=%d way=direct status=%d report=%d step=%" G_GINT64_FORMAT
      " map=%" G_GINT64_FORMAT " prepared=%" G_GINT64_FORMAT
      " armed=%" G_GINT64_FORMAT " held=%" G_GINT64_FORMAT,
      d->g->name, d->rank, d->http_status, status, st.step, st.map, st.prepared,
      st.armed, st.held);
  if (d->is_order)
    cf_map_coordinator_ack (&d->g->c, d->rank,
                            cf_platform_rank_ack (d->http_status),
                            cf_gateway_now (d->g->s->g));
  g_free (d);
}

static void
ask_report (DirectCall *d)
{
  CfRankService *s = d->g->s;
  CfTarget *t = cf_rank_service_target (s, d->g->addrs[d->rank]);

  if (t)
    cf_rank_call (s->g->loop, t, cf_platform_rank_report_call (t->record.addr),
                  DIRECT_TIMEOUT_MS, on_direct_report, d);
  else
    on_direct_report (d, 0, NULL);
}

static void
on_direct_order (void *data, int status, const GString *body)
{
  DirectCall *d = data;

  d->http_status = status;
  /* A rank that checks tokens and took this one refuses lower ones. */
  if (d->g->s->g->set.ranks_check_fence
      && cf_platform_rank_ack (status) != CF_RANK_ACK_FENCED
      && cf_platform_rank_ack (status) != CF_RANK_ACK_UNKNOWN)
    d->token = d->fence;
  ask_report (d);
}

void
cf_led_group_send_direct (CfLedGroup *g, int rank, const CfRankOrder *o,
                          gboolean is_order)
{
  CfTarget *t = cf_rank_service_target (g->s, g->addrs[rank]);
  char *json;
  DirectCall *d;

  if (!t)
    return;
  json = cf_platform_rank_order (o);
  d = g_new0 (DirectCall, 1);
  d->g = g;
  d->rank = rank;
  d->fence = o->fence;
  d->is_order = is_order;
  cf_rank_call (
      g->s->g->loop, t,
      cf_platform_rank_order_call (t->record.addr, json, strlen (json)),
      DIRECT_TIMEOUT_MS, on_direct_order, d);
}

void
cf_led_group_on_order (void *data, int rank, const CfRankOrder *o)
{
  CfLedGroup *g = data;
  CfRankLink *a = g->agents[rank];

  if (cf_order_watch_is_passed_by (&g->orders[rank]))
    a = NULL;
  cf_log (LOG_INFO, CF_EV_RANK_ORDER,
          "group=%s rank=%d order=%s version=%" G_GINT64_FORMAT
          " step=%" G_GINT64_FORMAT " epoch=%" G_GINT64_FORMAT
          " fence=%" G_GINT64_FORMAT " way=%s",
          g->name, rank, cf_rank_order_name (o->kind), o->version, o->step,
          o->epoch, o->fence, a ? "agent" : "direct");
  if (a)
    {
      CfPeerMsg m = { .kind = CF_PEER_ORDER };
      char *json = cf_platform_rank_order (o);

      m.u.order.seq = ++g->s->seq;
      m.u.order.fence = o->fence;
      m.u.order.order = o->kind;
      m.u.order.version = o->version;
      m.u.order.body.data = json;
      m.u.order.body.n = strlen (json);
      cf_order_watch_sent (&g->orders[rank], m.u.order.seq,
                           cf_gateway_now (g->s->g));
      cf_peer_msg_send (a->peer, &m);
      g_free (json);
    }
  else
    cf_led_group_send_direct (g, rank, o, TRUE);
}
