#include "exchange-parts.h"

#include "balancer.h"
#include "log.h"

#include <string.h>

/** Callers that were refused during a pause of all targets return within this
 * time after it, so that they do not all return at once. */
#define PAUSE_END_SPREAD_MS 500

gint64
cf_exchange_remaining_ms (const CfExchange *x)
{
  return x->deadline_ms - cf_gateway_now (x->gateway);
}

const char *
cf_exchange_target_id (const CfExchange *x)
{
  return x->target ? x->target->record.id : "-";
}

static void
free_exchange (CfExchange *x)
{
  x->gateway->n_exchanges--;
  g_clear_pointer (&x->policy, cf_policy_unref);
  g_ptr_array_free (x->tried_targets, TRUE);
  g_string_free (x->answer_head, TRUE);
  g_string_free (x->held_body, TRUE);
  cf_event_stream_clear (&x->event_stream);
  g_clear_pointer (&x->suspects, g_array_unref);
  g_free (x->faulty_addr);
  g_free (x->id);
  g_free (x);
}

void
cf_exchange_release_target (CfExchange *x, gboolean cancel)
{
  CfUpstream *up = x->upstream;

  ev_timer_stop (x->gateway->loop, &x->silence_timer);
  x->upstream = NULL;
  if (up && cancel)
    cf_upstream_cancel (up);
  if (!x->target)
    return;
  cf_exchange_end_suspect_run (x);
  cf_target_request_ended (x->target, cf_gateway_now (x->gateway));
  x->service_state->in_flight--;
  cf_org_usage_add (&x->service_state->org_usage, x->waiter.org, -1, 0);
  g_clear_pointer (&x->target, cf_target_unref);
}

/* Whether the request ran, for the log. */
static const char *
run_state_name (const CfExchange *x, CfOutcome o)
{
  if (o == CF_OUTCOME_SUCCESS || o == CF_OUTCOME_TARGET_FAILED)
    return "yes";
  return x->may_have_run || x->upstream ? "maybe" : "no";
}

void
cf_exchange_finish (CfExchange *x, CfOutcome o, int status, const char *reason)
{
  CfGateway *g = x->gateway;
  gint64 ms = cf_gateway_now (g) - x->start_ms;

  cf_log (LOG_INFO, CF_EV_ANSWER,
          "id=%s outcome=%s status=%d reason=%s target=%s sends=%u ran=%s "
          "ms=%" G_GINT64_FORMAT " events=%" G_GUINT64_FORMAT
          " first_ms=%" G_GINT64_FORMAT " expected_first_ms=%" G_GINT64_FORMAT
          " longest_pause_ms=%" G_GINT64_FORMAT
          " framing=%s partial_bytes=%" G_GSIZE_FORMAT
          " config=%" G_GINT64_FORMAT,
          x->id, cf_outcome_name (o), status, reason, cf_exchange_target_id (x),
          x->sends, run_state_name (x, o), ms, x->event_stream.n_events,
          x->first_event_ms, x->expected_first_ms, x->longest_pause_ms,
          cf_answer_framing_name (x->framing), x->partial_bytes,
          x->policy ? x->policy->version : 0);
  g->stats.outcomes[o]++;
  if (o == CF_OUTCOME_SUCCESS)
    cf_demand_meter_add_hold (&x->service_state->demand,
                              cf_gateway_now (g) - x->sent_ms);
  if (o == CF_OUTCOME_SUCCESS && !x->event_stream.n_events)
    cf_histogram_add (&g->stats.whole_ms, ms);
  if (x->service_state)
    cf_wait_queue_remove (&x->service_state->queue, &x->waiter);
  if (x->holds_retry)
    cf_retry_budget_release (&x->service_state->budget);
  cf_exchange_remove_unrouted (x);
  ev_timer_stop (g->loop, &x->deadline_timer);
  ev_timer_stop (g->loop, &x->turn_timer);
  cf_exchange_release_target (x, TRUE);
  cf_crash_waiter_cancel (&x->crash_waiter);
  free_exchange (x);
  cf_exchange_dispatch_queued (g);
}

/* Sends an answer of the gateway's own, with a short JSON body.
 * @retry_ms: for the Retry-After header; none is sent if negative */
static void
answer_locally (CfExchange *x, CfOutcome o, int status, const char *reason,
                gint64 retry_ms)
{
  GString *h = g_string_new ("Content-Type: application/json\r\n");
  char *body = g_strdup_printf ("{\"error\":\"%s\"}\n", reason);
  CfCaller *c = x->caller;

  if (retry_ms >= 0)
    g_string_append_printf (h, "Retry-After: %.3f\r\n",
                            (double)retry_ms / 1000);
  cf_caller_begin_answer (c, status, h->str, (gint64)strlen (body));
  cf_caller_append_body (c, body, strlen (body));
  cf_caller_end_answer (c);
  g_string_free (h, TRUE);
  g_free (body);
  cf_exchange_finish (x, o, status, reason);
}

/* Returns when the caller of a refused request should retry: in @retry_ms.
 * While all targets of the service pause, that is not before the first of them
 * takes requests, even if the caller's deadline passes first. */
static gint64
get_retry_ms (const CfExchange *x, gint64 retry_ms)
{
  CfGateway *g = x->gateway;
  CfPickInput in = { .service = x->service, .now_ms = cf_gateway_now (g) };
  gint64 pause_ms = x->service ? cf_balancer_pause_ms (&g->targets, &in) : 0;

  if (retry_ms >= pause_ms)
    return retry_ms;
  return pause_ms + x->hash % PAUSE_END_SPREAD_MS;
}

void
cf_exchange_refuse_for (CfExchange *x, const char *reason, gint64 wait_ms)
{
  answer_locally (x, CF_OUTCOME_REFUSED, 503, reason,
                  get_retry_ms (x, wait_ms));
}

void
cf_exchange_refuse (CfExchange *x, const char *reason, gint64 backoff_ms)
{
  cf_exchange_refuse_for (
      x, reason,
      cf_retry_after_ms (cf_exchange_remaining_ms (x), backoff_ms, x->hash));
}

void
cf_exchange_fail (CfExchange *x, const char *reason)
{
  CfCaller *c = x->caller;

  if (!x->answer_started)
    {
      answer_locally (x, CF_OUTCOME_FAILED, 502, reason, -1);
      return;
    }
  cf_exchange_finish (x, CF_OUTCOME_BROKEN, x->status, reason);
  cf_caller_abort (c);
}

static void
on_deadline (struct ev_loop *loop, ev_timer *w, int revents)
{
  CfExchange *x = w->data;
  CfCaller *c = x->caller;

  if (x->answer_started)
    {
      cf_exchange_finish (x, CF_OUTCOME_TIMEOUT, x->status, "deadline");
      cf_caller_abort (c);
    }
  else if (x->upstream || x->may_have_run)
    answer_locally (x, CF_OUTCOME_TIMEOUT, 504, "deadline", -1);
  else
    answer_locally (x, CF_OUTCOME_TIMEOUT, 503, "deadline", 0);
}

/* Sets the organisation that the caller's API key belongs to.  FALSE if the
 * request needs a valid key and has none. */
static gboolean
identify_org (CfExchange *x)
{
  const char *value
      = cf_http_reader_header (&x->caller->reader, CF_HDR_API_KEY);
  const char *key = value ? cf_platform_parse_api_key (value) : NULL;

  x->org = key ? g_hash_table_lookup (x->policy->org_by_api_key, key) : NULL;
  return x->org || x->route->keyless || !x->policy->requires_api_key;
}

gint64
cf_exchange_urgency (const CfExchange *x)
{
  gint64 priority = x->route->priority;
  gpointer org_priority = NULL;

  if (x->org)
    org_priority = g_hash_table_lookup (x->policy->org_priority, x->org);
  return cf_waiter_urgency (
      org_priority ? GPOINTER_TO_INT (org_priority) - 1 : priority, priority);
}

/* Returns the organisation that it counts for.  Without organisations to share
 * slots among, all requests count for the same one. */
static guint32
get_org_id (const CfExchange *x)
{
  return cf_demand_org_id (cf_policy_has_several_orgs (x->policy) ? x->org
                                                                  : NULL);
}

gint64
cf_exchange_caller_timeout_ms (const CfExchange *x)
{
  const char *v = cf_http_reader_header (&x->caller->reader, CF_HDR_DEADLINE);

  return v ? g_ascii_strtoll (v, NULL, 10) : 0;
}

/* The time limit: the shorter of the caller's and the route's. */
static gint64
allowed_ms (const CfExchange *x)
{
  gint64 ms = cf_exchange_caller_timeout_ms (x);

  return ms > 0 ? MIN (ms, x->route->timeout_ms) : x->route->timeout_ms;
}

const CfEngineModel *
cf_exchange_engine_model (const CfExchange *x)
{
  const CfService *sv = cf_policy_service (x->policy, x->service);

  return sv && sv->engine.stride > 0 ? &sv->engine : NULL;
}

static CfWarmupRule
get_warmup_rule (const CfExchange *x)
{
  const CfService *sv = cf_policy_service (x->policy, x->service);
  const CfPlatformSettings *set = &x->gateway->settings;
  CfWarmupRule rule = { 0 };

  if (!sv || !sv->warmup_thousandths_per_s.is_set)
    return rule;
  /* A service whose targets are never cold states a rate of 0. */
  rule.is_set = sv->warmup_thousandths_per_s.value > 0 || sv->warmup_ms > 0;
  rule.per_s = (double)sv->warmup_thousandths_per_s.value / 1000;
  rule.max_factor = set->warmup_factor;
  rule.slack = set->warmup_slack;
  return rule;
}

static void
start_routed (CfExchange *x)
{
  gint64 allowed = allowed_ms (x);

  x->service = cf_route_pick (x->route, x->hash);
  x->service_state = cf_gateway_service_state (x->gateway, x->service);
  x->warmup_rule = get_warmup_rule (x);
  cf_platform_parse_token_count (
      cf_http_reader_header (&x->caller->reader, CF_HDR_TOKEN_COUNT),
      &x->size.prompt, &x->size.answer);
  x->deadline_ms = x->start_ms + allowed;
  x->waiter.priority = cf_exchange_urgency (x);
  x->waiter.org = get_org_id (x);
  x->waiter.since_ms = x->start_ms;
  cf_retry_budget_add_request (&x->service_state->budget);
  ev_timer_set (&x->deadline_timer, (double)allowed / 1000, 0);
  ev_timer_start (x->gateway->loop, &x->deadline_timer);
  cf_demand_meter_add_arrival (&x->service_state->demand, x->waiter.priority,
                               x->waiter.org, cf_gateway_now (x->gateway));
  cf_exchange_send_or_queue (x);
}

static CfExchange *
new_exchange (CfGateway *g, CfCaller *c)
{
  CfExchange *x = g_new0 (CfExchange, 1);
  const char *id = cf_http_reader_header (&c->reader, CF_HDR_REQUEST_ID);

  x->gateway = g;
  x->caller = c;
  x->id = g_strdup (id ? id : "-");
  x->hash = g_str_hash (x->id);
  x->waiter.owner = x;
  x->start_ms = cf_gateway_now (g);
  x->deadline_ms = x->start_ms;
  x->tried_targets
      = g_ptr_array_new_with_free_func ((GDestroyNotify)cf_target_unref);
  x->answer_head = g_string_new (NULL);
  x->held_body = g_string_new (NULL);
  cf_event_stream_init (&x->event_stream);
  ev_timer_init (&x->deadline_timer, on_deadline, 0, 0);
  x->deadline_timer.data = x;
  ev_timer_init (&x->turn_timer, NULL, 0, 0);
  ev_timer_init (&x->silence_timer, cf_exchange_on_silence_timer, 0, 0);
  x->silence_timer.data = x;
  g->n_exchanges++;
  g->stats.requests++;
  c->exchange = x;
  return x;
}

void
cf_exchange_route (CfExchange *x)
{
  CfGateway *g = x->gateway;
  const char *host = cf_http_reader_header (&x->caller->reader, CF_HDR_HOST);
  const char *path = cf_http_reader_request_target (&x->caller->reader);

  if (!g->policy)
    {
      x->deadline_ms += UNKNOWN_BACKOFF_MS * 4;
      cf_exchange_refuse (x, "no-configuration", UNKNOWN_BACKOFF_MS);
      return;
    }
  x->policy = cf_policy_ref (g->policy);
  x->route = cf_policy_route (x->policy, host, path);
  if (!x->route)
    answer_locally (x, CF_OUTCOME_DENIED, 404, "no-route", -1);
  else if (!identify_org (x))
    answer_locally (x, CF_OUTCOME_DENIED, 401, "unknown-key", -1);
  else
    start_routed (x);
}

void
cf_exchange_start (CfGateway *g, CfCaller *c)
{
  CfExchange *x = new_exchange (g, c);

  if (!cf_http_reader_header (&c->reader, CF_HDR_HOST))
    answer_locally (x, CF_OUTCOME_DENIED, 400, "no-host", -1);
  else if (!cf_exchange_defer_routing (x))
    cf_exchange_route (x);
}

void
cf_exchange_abandon (CfExchange *x)
{
  x->caller = NULL;
  cf_log (LOG_INFO, CF_EV_CALLER_GONE, "id=%s target=%s", x->id,
          cf_exchange_target_id (x));
  cf_exchange_finish (x, CF_OUTCOME_CALLER_GONE, 0, "caller-left");
}

void
cf_exchange_unpause_upstream (CfExchange *x)
{
  if (x->upstream)
    cf_upstream_set_paused (x->upstream, FALSE);
}
