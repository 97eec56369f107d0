#include "exchange-parts.h"

#include "log.h"

#include <string.h>

gint64
cf_exchange_left_ms (const CfExchange *x)
{
  return x->deadline_ms - cf_gateway_now (x->g);
}

const char *
cf_exchange_target_id (const CfExchange *x)
{
  return x->target ? x->target->record.id : "-";
}

static void
free_exchange (CfExchange *x)
{
  x->g->n_exchanges--;
  g_clear_pointer (&x->policy, cf_policy_unref);
  g_ptr_array_free (x->tried, TRUE);
  g_string_free (x->head, TRUE);
  g_string_free (x->held, TRUE);
  cf_event_stream_clear (&x->events);
  g_free (x->faulty);
  g_free (x->id);
  g_free (x);
}

/* Lets go of the target; @cancel stops what it may still do for us. */
void
cf_exchange_release_target (CfExchange *x, gboolean cancel)
{
  CfUpstream *up = x->up;

  ev_timer_stop (x->g->loop, &x->silence);
  x->up = NULL;
  if (up && cancel)
    cf_upstream_cancel (up);
  if (!x->target)
    return;
  cf_target_work_ended (x->target);
  x->lane->in_flight--;
  g_clear_pointer (&x->target, cf_target_unref);
}

static const char *
ran_name (const CfExchange *x, CfOutcome o)
{
  if (o == CF_OUT_SUCCESS || o == CF_OUT_TARGET_FAIL)
    return "yes";
  return x->may_have_run || x->up ? "maybe" : "no";
}

/* The exchange ends here; its room goes to those that wait. */
void
cf_exchange_finish (CfExchange *x, CfOutcome o, int status, const char *reason)
{
  CfGateway *g = x->g;
  gint64 ms = cf_gateway_now (g) - x->start_ms;

  cf_log (LOG_INFO, CF_EV_ANSWER,
          "id=%s outcome=%s status=%d reason=%s target=%s sends=%u ran=%s "
          "ms=%" G_GINT64_FORMAT " events=%" G_GUINT64_FORMAT
          " first_ms=%" G_GINT64_FORMAT " expected_first_ms=%" G_GINT64_FORMAT
          " longest_pause_ms=%" G_GINT64_FORMAT " config=%" G_GINT64_FORMAT,
          x->id, cf_outcome_name (o), status, reason, cf_exchange_target_id (x),
          x->sends, ran_name (x, o), ms, x->events.n_events, x->first_ms,
          x->expected_first_ms, x->longest_pause_ms,
          x->policy ? x->policy->version : 0);
  g->stats.outcomes[o]++;
  if (o == CF_OUT_SUCCESS && !x->events.n_events)
    cf_histogram_add (&g->stats.whole_ms, ms);
  if (x->lane)
    cf_wait_queue_remove (&x->lane->queue, &x->waiter);
  cf_exchange_leave_unrouted (x);
  ev_timer_stop (g->loop, &x->deadline);
  cf_exchange_release_target (x, TRUE);
  cf_crash_waiter_leave (&x->verdict);
  free_exchange (x);
  cf_exchange_pump (g);
}

/* Answers with a status of our own, as a short JSON text. */
static void
answer_self (CfExchange *x, CfOutcome o, int status, const char *reason,
             gint64 retry_ms)
{
  GString *h = g_string_new ("Content-Type: application/json\r\n");
  char *body = g_strdup_printf ("{\"error\":\"%s\"}\n", reason);
  CfCaller *c = x->c;

  if (retry_ms >= 0)
    g_string_append_printf (h, "Retry-After: %.3f\r\n",
                            (double)retry_ms / 1000);
  cf_caller_begin (c, status, h->str, (gint64)strlen (body));
  cf_caller_data (c, body, strlen (body));
  cf_caller_end (c);
  g_string_free (h, TRUE);
  g_free (body);
  cf_exchange_finish (x, o, status, reason);
}

/* Nothing of it ran and nothing will; the caller may come back. */
void
cf_exchange_refuse (CfExchange *x, const char *reason, gint64 busy_ms)
{
  answer_self (x, CF_OUT_REFUSED, 503, reason,
               cf_retry_after_ms (cf_exchange_left_ms (x), busy_ms, x->hash));
}

/* It may have run and there is no good answer. */
void
cf_exchange_give_up (CfExchange *x, const char *reason)
{
  CfCaller *c = x->c;

  if (!x->begun)
    {
      answer_self (x, CF_OUT_FAILED, 502, reason, -1);
      return;
    }
  cf_exchange_finish (x, CF_OUT_BROKEN, x->status, reason);
  cf_caller_abort (c);
}

static void
on_deadline (struct ev_loop *loop, ev_timer *w, int revents)
{
  CfExchange *x = w->data;
  CfCaller *c = x->c;

  if (x->begun)
    {
      cf_exchange_finish (x, CF_OUT_TIMEOUT, x->status, "deadline");
      cf_caller_abort (c);
    }
  else if (x->up || x->may_have_run)
    answer_self (x, CF_OUT_TIMEOUT, 504, "deadline", -1);
  else
    answer_self (x, CF_OUT_TIMEOUT, 503, "deadline", 0);
}

/* Finds the organisation of the caller's key; FALSE if it has to have a
 * good one and has not. */
static gboolean
find_org (CfExchange *x)
{
  const char *value = cf_http_reader_header (&x->c->reader, CF_HDR_API_KEY);
  const char *key = value ? cf_platform_parse_api_key (value) : NULL;

  x->org = key ? g_hash_table_lookup (x->policy->tenants, key) : NULL;
  return x->org || x->route->keyless || !x->policy->needs_keys;
}

static gint64
priority_of (const CfExchange *x)
{
  gpointer rank = NULL;

  if (x->org)
    rank = g_hash_table_lookup (x->policy->org_rank, x->org);
  return rank ? GPOINTER_TO_INT (rank) - 1 : x->route->priority;
}

gint64
cf_exchange_caller_limit_ms (const CfExchange *x)
{
  const char *v = cf_http_reader_header (&x->c->reader, CF_HDR_DEADLINE);

  return v ? g_ascii_strtoll (v, NULL, 10) : 0;
}

static gint64
time_allowed (const CfExchange *x)
{
  gint64 ms = cf_exchange_caller_limit_ms (x);

  return ms > 0 ? MIN (ms, x->route->timeout_ms) : x->route->timeout_ms;
}

const CfEngineModel *
cf_exchange_engine (const CfExchange *x)
{
  const CfService *sv = cf_policy_service (x->policy, x->service);

  return sv && sv->engine.stride > 0 ? &sv->engine : NULL;
}

static void
start_routed (CfExchange *x)
{
  gint64 allowed = time_allowed (x);

  x->service = cf_route_pick (x->route, x->hash);
  x->lane = cf_gateway_lane (x->g, x->service);
  cf_platform_parse_token_count (
      cf_http_reader_header (&x->c->reader, CF_HDR_TOKEN_COUNT),
      &x->size.prompt, &x->size.answer);
  x->deadline_ms = x->start_ms + allowed;
  x->waiter.priority = priority_of (x);
  cf_retry_budget_request (&x->lane->budget);
  ev_timer_set (&x->deadline, (double)allowed / 1000, 0);
  ev_timer_start (x->g->loop, &x->deadline);
  cf_exchange_try_target (x);
}

static CfExchange *
new_exchange (CfGateway *g, CfCaller *c)
{
  CfExchange *x = g_new0 (CfExchange, 1);
  const char *id = cf_http_reader_header (&c->reader, CF_HDR_REQUEST_ID);

  x->g = g;
  x->c = c;
  x->id = g_strdup (id ? id : "-");
  x->hash = g_str_hash (x->id);
  x->waiter.owner = x;
  x->start_ms = cf_gateway_now (g);
  x->deadline_ms = x->start_ms;
  x->tried = g_ptr_array_new_with_free_func ((GDestroyNotify)cf_target_unref);
  x->head = g_string_new (NULL);
  x->held = g_string_new (NULL);
  cf_event_stream_init (&x->events);
  ev_timer_init (&x->deadline, on_deadline, 0, 0);
  x->deadline.data = x;
  ev_timer_init (&x->silence, cf_exchange_on_silence, 0, 0);
  x->silence.data = x;
  g->n_exchanges++;
  g->stats.requests++;
  c->x = x;
  return x;
}

void
cf_exchange_route (CfExchange *x)
{
  CfGateway *g = x->g;
  const char *host = cf_http_reader_header (&x->c->reader, CF_HDR_HOST);
  const char *target = cf_http_reader_target (&x->c->reader);

  if (!g->policy)
    {
      x->deadline_ms += UNKNOWN_BUSY_MS * 4;
      cf_exchange_refuse (x, "no-configuration", UNKNOWN_BUSY_MS);
      return;
    }
  x->policy = cf_policy_ref (g->policy);
  x->route = cf_policy_route (x->policy, host, target);
  if (!x->route)
    answer_self (x, CF_OUT_DENIED, 404, "no-route", -1);
  else if (!find_org (x))
    answer_self (x, CF_OUT_DENIED, 401, "unknown-key", -1);
  else
    start_routed (x);
}

void
cf_exchange_start (CfGateway *g, CfCaller *c)
{
  CfExchange *x = new_exchange (g, c);

  if (!cf_http_reader_header (&c->reader, CF_HDR_HOST))
    answer_self (x, CF_OUT_DENIED, 400, "no-host", -1);
  else if (!cf_exchange_waits_unrouted (x))
    cf_exchange_route (x);
}

void
cf_exchange_abandon (CfExchange *x)
{
  x->c = NULL;
  cf_log (LOG_INFO, CF_EV_CALLER_GONE, "id=%s target=%s", x->id,
          cf_exchange_target_id (x));
  cf_exchange_finish (x, CF_OUT_GONE, 0, "caller-left");
}

void
cf_exchange_drained (CfExchange *x)
{
  if (x->up)
    cf_upstream_pause (x->up, FALSE);
}
