#include "agent-parts.h"

#include "http-client.h"
#include "log.h"
#include "net.h"

#define TARGET_ORDER_TIMEOUT_MS 5000

/* Checks the fencing token of an order to the target and records it if it is
 * the highest.  The target itself may not check tokens. */
static gboolean
check_target_fence (CfAgent *a, gint64 fence, gint64 *highest)
{
  pthread_mutex_lock (&a->fence_lock);
  *highest = a->highest_fence;
  a->highest_fence = MAX (a->highest_fence, fence);
  pthread_mutex_unlock (&a->fence_lock);
  return fence >= *highest;
}

static void
refuse_stale_order (CfAgentConn *c, const CfMsg *m, gint64 highest)
{
  cf_log (LOG_WARNING, CF_EV_FENCE_STALE,
          "op=%s fence=%" G_GINT64_FORMAT " highest=%" G_GINT64_FORMAT,
          m->u.order.op, m->u.order.fence, highest);
  cf_agent_refuse (c, m->id, CF_RAN_NO, CF_REASON_STALE_FENCE, 0);
}

/* Refuses an order to which the target gave no complete answer. */
static void
refuse_failed_order (CfAgentConn *c, const CfMsg *m, gint64 retry_ms)
{
  cf_log (LOG_WARNING, CF_EV_TARGET_FAIL,
          "id=%" G_GUINT64_FORMAT " op=%s fence=%" G_GINT64_FORMAT
          " ran=unknown error=\"%s\"",
          m->id, m->u.order.op, m->u.order.fence, cf_last_error ());
  cf_agent_refuse (c, m->id, CF_RAN_UNKNOWN, CF_REASON_TARGET_FAILED, retry_ms);
}

/* Runs a coordinator's order at this agent's rank. */
static void
take_rank_order (CfAgentConn *c, CfMsg *m)
{
  CfRankGroup *g = c->agent->group;
  g_autofree char *out = NULL;
  long code = 0;

  switch (cf_rank_group_check_fence (g, m->u.order.op, m->u.order.fence))
    {
    case CF_OK:
      break;
    case CF_ERR_STALE:
      refuse_stale_order (c, m, cf_rank_group_highest_fence (g));
      return;
    default:
      cf_agent_refuse (c, m->id, CF_RAN_NO, "no-coordinator", 0);
      return;
    }
  if (cf_rank_group_run_order (g, m->u.order.op, m->u.order.args,
                               m->u.order.fence, &code, &out)
      == CF_OK)
    cf_agent_answer (c, m->id, code, out);
  else
    refuse_failed_order (c, m, 0);
}

/* Runs an order to the target as a whole, such as to load a model. */
static void
take_target_order (CfAgentConn *c, CfMsg *m)
{
  CfAgent *a = c->agent;
  g_autofree char *url
      = g_strconcat (a->settings.target_url, "/v1/order", NULL);
  g_autofree char *body = NULL;
  g_autofree char *out = NULL;
  gint64 highest;
  long code = 0;

  if (!check_target_fence (a, m->u.order.fence, &highest))
    {
      refuse_stale_order (c, m, highest);
      return;
    }
  body = g_strdup_printf ("{\"fence\":%" G_GINT64_FORMAT ",\"op\":\"%s\"}",
                          m->u.order.fence, m->u.order.op);
  cf_log (LOG_INFO, CF_EV_ORDER, "op=%s fence=%" G_GINT64_FORMAT, m->u.order.op,
          m->u.order.fence);
  if (cf_http_call_once ("POST", url, body, NULL, TARGET_ORDER_TIMEOUT_MS,
                         &code, &out)
      != CF_OK)
    refuse_failed_order (c, m, 1000);
  else
    cf_agent_answer (c, m->id, code, out);
}

void
cf_agent_take_order (CfAgentConn *c, CfMsg *m)
{
  CfAgent *a = c->agent;

  if (m->u.order.op == NULL)
    cf_agent_refuse (c, m->id, CF_RAN_NO, "no-op", 0);
  else if (cf_rank_group_is_rank_order (m->u.order.op)
           || g_str_equal (m->u.order.op, "rebalance"))
    {
      if (a->group == NULL)
        cf_agent_refuse (c, m->id, CF_RAN_NO, "no-group", 0);
      else if (g_str_equal (m->u.order.op, "rebalance"))
        {
          cf_rank_group_request_rebalance (a->group);
          cf_agent_answer (c, m->id, 202, "{\"accepted\":true}");
        }
      else
        take_rank_order (c, m);
    }
  else
    take_target_order (c, m);
}

void
cf_agent_take_claim (CfAgentConn *c, CfMsg *m)
{
  CfMsg r = { .kind = CF_MSG_CLAIMED, .id = m->id };
  g_autofree char *holder = NULL;

  r.u.claimed.verdict
      = cf_guard_claim (&c->agent->guard, m->u.claim.key, m->u.claim.token,
                        m->u.claim.runner, cf_now_ms (), &holder);
  r.u.claimed.runner = holder;
  cf_log (LOG_INFO, CF_EV_GUARD_CLAIM, "key=%s token=%s runner=%s verdict=%s",
          m->u.claim.key, m->u.claim.token, m->u.claim.runner,
          cf_verdict_name (r.u.claimed.verdict));
  cf_agent_conn_send (c, &r);
}

void
cf_agent_take_status (CfAgentConn *c, CfMsg *m)
{
  CfAgent *a = c->agent;
  CfMsg s = { .kind = CF_MSG_STATUS, .id = m->id };

  pthread_mutex_lock (&a->fence_lock);
  s.u.status.fence = a->highest_fence;
  pthread_mutex_unlock (&a->fence_lock);
  if (a->group)
    s.u.status.fence
        = MAX (s.u.status.fence, cf_rank_group_highest_fence (a->group));
  s.u.status.served = (gint64)ck_pr_load_64 (&a->served);
  s.u.status.refused = (gint64)ck_pr_load_64 (&a->refused);
  cf_agent_conn_send (c, &s);
}
