#include "exchange-parts.h"

#include "ablation.h"
#include "balancer.h"
#include "forward.h"
#include "log.h"
#include "service-share.h"

#include <string.h>

/** Requests that may be queued for each slot of their service.  With more, the
 * last would exceed its queue timeout even at full speed. */
#define QUEUED_PER_SLOT 1
/** Remaining time below which sending is pointless: a network round trip and
 * one step of a target's engine. */
#define MIN_REMAINING_MS 10
/** Guards against refusing a request whose queue timeout and whose targets'
 * pause end together. */
#define PAUSE_TOLERANCE_MS 1
/** Minimum back-off while all targets pause; most pauses are longer. */
#define PAUSE_BACKOFF_MS 400

/* Whether another answer can continue what its caller has been sent: nothing,
 * or events whose ids tell what is left.  Other bytes of an answer have no such
 * mark. */
static gboolean
can_be_continued (const CfExchange *x)
{
  return !x->answer_started || cf_event_stream_can_resume (&x->event_stream);
}

gboolean
cf_exchange_may_retry (CfExchange *x)
{
  if (!can_be_continued (x))
    return FALSE;
  if (x->may_have_run && x->route->retry_safety == CF_RETRY_UNSAFE)
    return FALSE;
  if (cf_exchange_is_suspected (x))
    return FALSE;
  if (CF_WITHOUT_RETRIES || (CF_WITHOUT_RESUME && x->answer_started))
    return FALSE;
  return x->sends < x->route->max_attempts
         && cf_exchange_remaining_ms (x) > MIN_REMAINING_MS
         && cf_exchange_stop_slack_ms (x) > 0;
}

/* Called before each send.  TRUE if @x is not sent now: it was answered and is
 * freed, or waits for a turn. */
static gboolean
is_kept_from_targets (CfExchange *x)
{
  return cf_exchange_refuse_quarantined (x) || cf_exchange_refuse_too_late (x)
         || cf_exchange_await_turn (x);
}

/* Whether @t is known to be in another data centre than this gateway. */
static gboolean
is_elsewhere (const CfGateway *g, const CfTarget *t)
{
  return g->settings.data_centre && t->record.data_centre
         && strcmp (g->settings.data_centre, t->record.data_centre) != 0;
}

static void
send_to (CfExchange *x, CfTarget *t)
{
  CfForwardHeaders added = { 0 };
  const CfHttpReader *r = &x->caller->reader;
  gboolean head_only = r->parser.method == HTTP_HEAD;
  GString *req;

  added.deadline_ms = cf_exchange_remaining_ms (x);
  added.expected_target = t->record.id;
  added.org = x->org;
  added.last_event_id = x->event_stream.last_id;
  req = cf_forward_build_request (r, x->caller->body, &added);
  cf_log (LOG_INFO, CF_EV_ROUTE,
          "id=%s route=%s service=%s org=%s target=%s dc=%s send=%u "
          "in_flight=%u slots=%" G_GINT64_FORMAT " config=%" G_GINT64_FORMAT
          " list_age_ms=%" G_GINT64_FORMAT " left_ms=%" G_GINT64_FORMAT,
          x->id, x->route->name, x->service, x->org ? x->org : "-",
          t->record.id, t->record.data_centre ? t->record.data_centre : "-",
          x->sends + 1, t->in_flight, t->record.slots, x->policy->version,
          cf_gateway_now (x->gateway) - x->gateway->targets_confirmed_ms,
          added.deadline_ms);
  if (x->answer_started)
    {
      x->gateway->stats.resumes++;
      cf_log (LOG_NOTICE, CF_EV_RESUME,
              "id=%s target=%s after_event=%" G_GINT64_FORMAT, x->id,
              t->record.id, added.last_event_id);
    }
  cf_outage_record_send (&x->service_state->outage,
                         cf_gateway_now (x->gateway));
  x->target = cf_target_ref (t);
  cf_target_request_started (t, cf_gateway_now (x->gateway));
  x->target_in_flight = t->in_flight;
  x->keeps_place = FALSE;
  if (x->holds_retry)
    {
      cf_retry_budget_spend (&x->service_state->budget);
      x->holds_retry = FALSE;
    }
  if (x->waiter.is_retry)
    {
      cf_retry_budget_take (&x->service_state->budget);
      x->gateway->stats.retries++;
      x->waiter.is_retry = FALSE;
    }
  cf_rate_limit_consume (&t->limit);
  cf_warmup_consume (&t->warmup, cf_gateway_now (x->gateway));
  cf_exchange_begin_suspect_run (x);
  cf_org_usage_add (&x->service_state->org_usage, x->waiter.org, 1, 0);
  if (x->service_state->in_flight++ == 0)
    x->service_state->busy_since_ms = cf_gateway_now (x->gateway);
  if (x->sends == 0)
    cf_retry_record_add_first (&x->service_state->retries);
  else
    cf_retry_record_add_repeat (&x->service_state->retries, x->retry_cause);
  x->sends++;
  x->framing = CF_FRAMING_NONE;
  x->partial_bytes = 0;
  x->events_at_send = x->event_stream.n_events;
  x->first_work_ms = 0;
  x->is_sound = FALSE;
  x->sent_ms = cf_gateway_now (x->gateway);
  x->in_flight_at_send = x->service_state->in_flight;
  if (x->route->stream)
    x->expected_first_ms = cf_stream_latency_first_event_ms (
        &x->service_state->latency, cf_exchange_engine_model (x), &x->size);
  x->gateway->stats.sends++;
  x->gateway->stats.sends_other_dc += is_elsewhere (x->gateway, t);
  g_ptr_array_add (x->tried_targets, cf_target_ref (t));
  x->upstream = cf_upstream_send (
      x->gateway->loop, t, req, cf_http_reader_header (r, CF_HDR_REQUEST_ID),
      head_only, &cf_exchange_upstream_callbacks, x);
  if (!x->upstream)
    {
      cf_exchange_on_upstream_failure (x, CF_FAILURE_UNSENT);
      return;
    }
  if (x->route->retry_safety != CF_RETRY_UNSAFE)
    cf_exchange_start_silence_timer (x, cf_exchange_first_check_ms (x));
}

/* How many requests may be queued for its service. */
static guint
max_queued (const CfExchange *x)
{
  gint64 slots = cf_target_table_slots (&x->gateway->targets, x->service);

  return (guint)MAX (slots * QUEUED_PER_SLOT, 1);
}

/* Returns the latest time to send it so that it meets its objective. */
static gint64
get_objective_send_by_ms (const CfExchange *x)
{
  gint64 first = 0;

  if (x->route->stream)
    first = cf_stream_latency_first_event_ms (
        &x->service_state->latency, cf_exchange_engine_model (x), &x->size);
  return cf_waiter_objective_send_by_ms (x->start_ms, x->route->objective_ms,
                                         first);
}

/* Returns the latest time to send it so that an answer of usual length is
 * complete by its deadline.  For a call, whose duration is not known, that is
 * the deadline. */
static gint64
get_deadline_send_by_ms (const CfExchange *x)
{
  if (!x->route->stream)
    return x->deadline_ms;
  return x->deadline_ms
         - cf_stream_latency_typical_total_ms (&x->service_state->latency,
                                               cf_exchange_engine_model (x),
                                               &x->size);
}

static CfQueueContext
make_queue_context (const CfGateway *g, CfServiceState *s)
{
  CfQueueContext c = { .now_ms = cf_gateway_now (g) };

  c.overloaded
      = cf_concurrency_limit_get (&s->limit) != 0
        || (s->share.contended && cf_service_share_max_total (g, s) > 0);
  c.may_not_retry = !cf_retry_budget_has_token (&s->budget);
  c.grants = s->share.total > 0 ? &s->share.grants : NULL;
  return c;
}

/* Writes the slots granted to its organisation, for the log. */
static const char *
format_grant (const CfExchange *x, char *buf, gsize n)
{
  const CfShare *share = &x->service_state->share;

  if (share->total <= 0)
    return "-";
  g_snprintf (buf, n, "%.1f",
              cf_demand_table_lookup (&share->grants, x->waiter.priority,
                                      x->waiter.org));
  return buf;
}

static void
log_queued (const CfExchange *x, gint64 limit)
{
  char grant[32];

  cf_log (LOG_INFO, CF_EV_QUEUE,
          "id=%s service=%s org=%s priority=%" G_GINT64_FORMAT
          " waiting=%u in_flight=%u grant=%s limit_ms=%" G_GINT64_FORMAT,
          x->id, x->service, x->org ? x->org : "-", x->waiter.priority,
          x->service_state->queue.n, x->service_state->in_flight,
          format_grant (x, grant, sizeof grant), limit);
}

/* Ends a request for which there is no capacity in time. */
static void
end_for_lack_of_capacity (CfExchange *x, const char *reason)
{
  if (x->may_have_run)
    cf_exchange_fail (x, reason);
  else
    cf_exchange_refuse_full (x, reason);
}

/* Ends a request that no target can take in time. */
static void
end_unservable (CfExchange *x, const char *reason, gint64 backoff_ms)
{
  if (x->may_have_run)
    cf_exchange_fail (x, reason);
  else
    cf_exchange_refuse (x, reason, backoff_ms);
}

/* Whether the requests ahead of it take much longer than it may wait.  A
 * request that was sent before has waited already, and is not refused for this.
 */
static gboolean
is_hopeless (const CfExchange *x, gint64 limit)
{
  CfServiceState *s = x->service_state;
  CfQueueContext c = make_queue_context (x->gateway, s);
  CfDrain d = { .hold_ms = s->demand.hold_ms };

  if (x->sends > 0 || s->outage.since_ms)
    return FALSE;
  /* A gateway that was idle may use its part of the slots at once. */
  d.slots = cf_service_share_slots (
      x->gateway, s, cf_target_table_slots (&x->gateway->targets, x->service));
  d.slots = MAX (d.slots, s->in_flight);
  return cf_wait_queue_is_hopeless (&s->queue, &x->waiter, &c, &d, limit);
}

/* Why @evicted makes room for it. */
static const char *
get_eviction_reason (const CfExchange *x, const CfWaiter *evicted)
{
  if (evicted->priority > x->waiter.priority)
    return "more-urgent-waits";
  return x->waiter.returned && !evicted->returned ? "returned-waits"
                                                  : "queue-full";
}

/* Sets the times that its place in the queue depends on. */
static void
set_waiter_times (CfExchange *x)
{
  if (!x->keeps_place)
    x->waiter.since_ms = cf_gateway_now (x->gateway);
  x->waiter.objective_send_by_ms = get_objective_send_by_ms (x);
  x->waiter.deadline_send_by_ms = get_deadline_send_by_ms (x);
}

/* Returns for how long it may be queued from now on.  The wait of one that
 * keeps its place began when it was first queued. */
static gint64
get_wait_limit_ms (const CfExchange *x)
{
  gint64 limit = cf_wait_queue_max_wait_ms (cf_exchange_caller_wait_ms (x),
                                            cf_exchange_remaining_ms (x));

  if (x->keeps_place)
    limit -= cf_gateway_now (x->gateway) - x->waiter.since_ms;
  return limit;
}

/* Queues it until a target has a free slot.  If the queue is full, a request is
 * refused, but not one that is more urgent than others.  The wait is limited so
 * that enough time remains for the work itself. */
static void
enqueue (CfExchange *x)
{
  gint64 limit = get_wait_limit_ms (x);
  CfWaiter *evicted;

  set_waiter_times (x);
  if (x->keeps_place && limit <= 0)
    {
      end_for_lack_of_capacity (x, "no-room");
      return;
    }
  if (is_hopeless (x, limit))
    {
      cf_exchange_refuse_full (x, "no-room-in-time");
      return;
    }
  if (!cf_wait_queue_add (&x->service_state->queue, &x->waiter, max_queued (x),
                          &evicted))
    {
      end_for_lack_of_capacity (x, "queue-full");
      return;
    }
  x->gateway->stats.queued++;
  x->gateway->stats.requeued += x->keeps_place;
  log_queued (x, limit);
  cf_exchange_start_silence_timer (x, limit);
  if (evicted)
    {
      x->gateway->stats.evicted++;
      end_for_lack_of_capacity (evicted->owner,
                                get_eviction_reason (x, evicted));
    }
}

/* Whether targets in this gateway's data centre are used first.  The ranks of a
 * group step together, so those of a group that is spread over data centres
 * have to be loaded evenly. */
static gboolean
prefers_local (const CfGateway *g, const CfService *sv)
{
  if (!g->settings.data_centre)
    return FALSE;
  return !sv || sv->engine.sets == 0
         || (g->n_rank_groups > 0
             && g->n_local_rank_groups >= g->n_rank_groups);
}

/* Returns what a target is chosen by.  The result refers to @x. */
static CfPickInput
make_pick_input (const CfExchange *x)
{
  const CfService *sv = cf_policy_service (x->policy, x->service);
  CfGateway *g = x->gateway;
  CfPickInput in = { 0 };

  in.service = x->service;
  in.data_centre = g->settings.data_centre;
  in.prefers_local = prefers_local (g, sv);
  in.homes.route = (const char *const *)x->route->home_regions;
  in.homes.org = x->org
                     ? g_hash_table_lookup (x->policy->org_home_regions, x->org)
                     : NULL;
  in.homes.regions = g->settings.regions;
  in.tried = x->tried_targets;
  in.now_ms = cf_gateway_now (g);
  in.n_gateways = g->fleet_size;
  in.fleet_position = g->fleet_position;
  in.in_flight = x->service_state->in_flight;
  in.limit = cf_concurrency_limit_get (&x->service_state->limit);
  in.share_fraction = cf_service_share_fraction (g, x->service_state);
  in.max_total = cf_service_share_max_total (g, x->service_state);
  in.max_conns = sv ? sv->max_conns : 0;
  in.warmup_rule = &x->warmup_rule;
  in.warmup_position = cf_gateway_warmup_position (g);
  /* Just after an outage all requests are late, so there are none on time to
   * leave slots for. */
  in.yields
      = !cf_outage_has_ended_recently (&x->service_state->outage, in.now_ms)
        && cf_waiter_has_to_yield (&x->waiter, in.now_ms,
                                   x->service_state->latency.pause_ms,
                                   x->route->gap_objective_ms);
  if (x->route->stream)
    {
      in.stall_timeout_ms
          = cf_stream_latency_stall_timeout_ms (&x->service_state->latency);
      in.ring_start = &g->ring_start;
    }
  return in;
}

/* All remaining targets are at their rate limits: queues it if the limits let
 * it be sent in time, else refuses it at once with a Retry-After. */
static void
enqueue_if_rate_allows (CfExchange *x)
{
  CfGateway *g = x->gateway;
  CfPickInput in = make_pick_input (x);
  double per_s = cf_balancer_rate_limit_per_s (&g->targets, &in);
  double wait_ms = (x->service_state->queue.n + 1) * 1000.0 / per_s;
  gint64 limit = cf_wait_queue_max_wait_ms (cf_exchange_caller_wait_ms (x),
                                            cf_exchange_remaining_ms (x));

  if (per_s > 0 && wait_ms <= (double)limit)
    enqueue (x);
  else if (x->may_have_run)
    cf_exchange_fail (x, "rate-limited");
  else
    cf_exchange_refuse_rate_limited (x, "rate-limited", per_s);
}

/* How long it has to wait until the first of all targets that it may be sent to
 * ends its pause; 0 if one of them does not pause. */
static gint64
pause_ms (const CfExchange *x)
{
  CfPickInput in = make_pick_input (x);

  return cf_balancer_pause_ms (&x->gateway->targets, &in);
}

static void
end_paused (CfExchange *x)
{
  end_unservable (x, "targets-paused", PAUSE_BACKOFF_MS);
}

static void
end_without_target (CfExchange *x)
{
  end_unservable (x, "no-target", UNKNOWN_BACKOFF_MS);
}

/* All remaining targets pause: queues it if a pause ends in time, else refuses
 * it at once. */
static void
enqueue_if_pause_ends (CfExchange *x)
{
  gint64 limit = cf_wait_queue_max_wait_ms (cf_exchange_caller_wait_ms (x),
                                            cf_exchange_remaining_ms (x));

  limit = MIN (limit, cf_exchange_caller_remaining_ms (x));
  if (pause_ms (x) < limit)
    enqueue (x);
  else
    end_paused (x);
}

/* Whether it may be sent as the probe of an outage.  Its last attempt is saved
 * until its queue timeout expires. */
static gboolean
may_probe (const CfExchange *x)
{
  return x->queue_timed_out || x->sends + 1 < x->route->max_attempts;
}

/* Whether it must not be sent now, whatever slots are free. */
static gboolean
is_held_back (const CfExchange *x)
{
  const CfOutage *o = &x->service_state->outage;

  /* The service is silent.  Callers would give up on further requests sent to
   * it, and its stalled targets might not notice the cancellation. */
  if (!CF_WITHOUT_STALL_CHECK
      && cf_exchange_is_service_silent (
          x, cf_stream_latency_stall_timeout_ms (&x->service_state->latency)))
    return TRUE;
  if (CF_WITHOUT_OUTAGE_WAIT)
    return FALSE;
  return o->since_ms
         && (cf_outage_is_blocking (o, cf_gateway_now (x->gateway))
             || !may_probe (x));
}

/* Whether it waits for the retry budget. */
static gboolean
lacks_token (const CfExchange *x)
{
  return x->waiter.is_retry
         && !cf_retry_budget_has_token (&x->service_state->budget);
}

/* Whether it may be sent to a target that may refuse it as full.  Half of the
 * retry budget is left for other failures, and the last attempt is not spent.
 */
static gboolean
may_test_full (const CfExchange *x)
{
  return x->sends + 1 < x->route->max_attempts
         && cf_retry_budget_has_surplus (&x->service_state->budget);
}

/* Looks for a target in a data centre that no group fails in.  Without it, an
 * outage of one rank group would hold back what the others can serve.  Where
 * there is one group, there is nothing to choose. */
static gboolean
pick_elsewhere (const CfExchange *x, CfTarget **t)
{
  CfPickInput in = make_pick_input (x);
  CfGateway *g = x->gateway;
  CfDcSet avoided;

  if (CF_WITHOUT_GROUP_FAILOVER || g->n_rank_groups < 2 || !x->route->stream)
    return FALSE;
  cf_dc_health_get_avoided (&x->service_state->dc_health,
                            cf_target_table_service (&g->targets, x->service),
                            in.stall_timeout_ms, in.now_ms, &avoided);
  in.avoided = &avoided;
  in.tests_full = may_test_full (x);
  return avoided.n > 0 && cf_balancer_pick (&g->targets, &in, t) == CF_PICK_OK;
}

static CfPickResult
pick_target (CfExchange *x, CfTarget **t)
{
  CfPickInput in = make_pick_input (x);

  if (lacks_token (x))
    return CF_PICK_FULL;
  in.tests_full = may_test_full (x);
  if (pick_elsewhere (x, t))
    return CF_PICK_OK;
  if (is_held_back (x))
    return pause_ms (x) > 0 ? CF_PICK_PAUSED : CF_PICK_FULL;
  return cf_balancer_pick (&x->gateway->targets, &in, t);
}

/* Whether the outage of its service has lasted so long that queueing the
 * request would only delay its refusal. */
static gboolean
is_wait_futile (const CfExchange *x)
{
  return !x->may_have_run
         && cf_outage_is_long (&x->service_state->outage,
                               cf_gateway_now (x->gateway));
}

void
cf_exchange_note_unsent (CfExchange *x)
{
  x->sends--;
  if (x->sends == 0)
    cf_retry_record_remove_first (&x->service_state->retries);
  else
    cf_retry_record_remove_repeat (&x->service_state->retries, x->retry_cause);
}

gboolean
cf_exchange_take_retry (CfExchange *x, CfRetryCause cause)
{
  x->retry_cause = cause;
  x->holds_retry = cf_retry_budget_hold (&x->service_state->budget);
  /* One that keeps its place in the queue waits there for a token. */
  if (!x->holds_retry && !x->keeps_place)
    cf_retry_record_add_denied (&x->service_state->retries);
  return x->holds_retry;
}

void
cf_exchange_retry_or_end (CfExchange *x, CfRetryCause cause, const char *reason)
{
  gboolean again = cf_exchange_may_retry (x);
  gboolean in_budget = again && cf_exchange_take_retry (x, cause);
  gboolean awaits_budget = again && !in_budget && x->keeps_place;

  if (!can_be_continued (x))
    {
      cf_exchange_fail (x, reason);
      return;
    }
  cf_log (LOG_NOTICE, CF_EV_RETRY,
          "id=%s reason=%s target=%s again=%s budget=%s ran=%s sends=%u "
          "left_ms=%" G_GINT64_FORMAT,
          x->id, reason, cf_exchange_target_id (x), again ? "yes" : "no",
          !again          ? "not-asked"
          : in_budget     ? "ok"
          : awaits_budget ? "awaited"
                          : "none",
          x->may_have_run ? "maybe" : "no", x->sends,
          cf_exchange_remaining_ms (x));
  cf_exchange_release_target (x, TRUE);
  if (in_budget)
    {
      x->gateway->stats.retries++;
      cf_exchange_send_or_queue (x);
    }
  else if (awaits_budget)
    {
      x->waiter.is_retry = TRUE;
      cf_exchange_send_or_queue (x);
    }
  else
    end_for_lack_of_capacity (x, reason);
}

void
cf_exchange_note_full_target (CfExchange *x)
{
  cf_target_note_full (x->target, x->target_in_flight,
                       cf_gateway_now (x->gateway));
  g_ptr_array_remove (x->tried_targets, x->target);
  x->keeps_place = TRUE;
}

/* (nullable): the first queued request that may probe an outage. */
static CfWaiter *
first_probe_candidate (CfServiceState *s)
{
  CfWaiter *w;

  TAILQ_FOREACH (w, &s->queue.waiters, link)
  if (may_probe (w->owner) && !lacks_token (w->owner))
    return w;
  return NULL;
}

/* (nullable): the queued request to be sent next, and its target.  In an outage
 * that is one that another rank group can serve, or else a probe. */
static CfWaiter *
choose_waiter (const CfGateway *g, CfServiceState *s, CfTarget **t)
{
  CfQueueContext c = make_queue_context (g, s);
  CfWaiter *w = cf_wait_queue_first (&s->queue, &c);

  if (s->outage.since_ms && (!w || !pick_elsewhere (w->owner, t)))
    w = first_probe_candidate (s);
  if (!w || pick_target (w->owner, t) == CF_PICK_OK)
    return w;
  if (s->outage.since_ms || !cf_wait_queue_is_floor_due (&s->queue))
    return NULL;
  /* A late request may have to leave slots free that others may use. */
  c.skips_floor = TRUE;
  w = cf_wait_queue_first (&s->queue, &c);
  return w && pick_target (w->owner, t) == CF_PICK_OK ? w : NULL;
}

/* Sends the first request of the queue if a target has a free slot, or refuses
 * it if it must not be sent.  FALSE if none was taken from the queue. */
static gboolean
dispatch_first (CfGateway *g, CfServiceState *s)
{
  CfTarget *t;
  CfWaiter *w = choose_waiter (g, s, &t);
  CfExchange *x;

  if (!w)
    return FALSE;
  x = w->owner;
  if (is_kept_from_targets (x))
    return TRUE;
  cf_histogram_add (&x->gateway->stats.queue_ms,
                    cf_gateway_now (x->gateway) - w->since_ms);
  g->stats.begun_late += cf_gateway_now (g) > w->objective_send_by_ms;
  cf_wait_queue_take (&s->queue, w);
  ev_timer_stop (x->gateway->loop, &x->silence_timer);
  send_to (x, t);
  return TRUE;
}

/* Whether a queued request of its service is to be sent before @x. */
static gboolean
is_preceded (CfExchange *x)
{
  CfServiceState *s = x->service_state;
  CfQueueContext c;

  if (s->queue.n == 0 || x->gateway->exiting)
    return FALSE;
  c = make_queue_context (x->gateway, s);
  set_waiter_times (x);
  return !cf_wait_queue_would_be_first (&s->queue, &x->waiter, &c);
}

/* Sends the queued requests that precede @x and can be sent now: rate tokens, a
 * raised limit or a grown share may have made room for them since the last
 * regular check.  @x is not queued, so that this cannot end it. */
static void
dispatch_before (CfExchange *x)
{
  while (is_preceded (x) && dispatch_first (x->gateway, x->service_state))
    ;
}

/* Picks a target for @x, after the queued requests that precede it. */
static CfPickResult
pick_in_turn (CfExchange *x, CfTarget **t)
{
  CfPickResult result;

  dispatch_before (x);
  result = pick_target (x, t);
  if (result != CF_PICK_FULL
      || !cf_service_share_refresh (x->gateway, x->service, x->service_state))
    return result;
  dispatch_before (x);
  return pick_target (x, t);
}

void
cf_exchange_send_or_queue (CfExchange *x)
{
  CfTarget *t;

  if (is_kept_from_targets (x) || cf_exchange_refuse_early (x))
    return;
  switch (pick_in_turn (x, &t))
    {
    case CF_PICK_OK:
      send_to (x, t);
      break;
    case CF_PICK_FULL:
      if (is_wait_futile (x))
        cf_exchange_refuse_full (x, "outage");
      else
        enqueue (x);
      break;
    case CF_PICK_RATE_LIMITED:
      enqueue_if_rate_allows (x);
      break;
    case CF_PICK_PAUSED:
      enqueue_if_pause_ends (x);
      break;
    case CF_PICK_NO_TARGET:
      end_without_target (x);
      break;
    }
}

void
cf_exchange_dispatch_queued (CfGateway *g)
{
  GHashTableIter it;
  gpointer service_state;

  if (g->exiting)
    return;
  g_hash_table_iter_init (&it, g->service_states);
  while (g_hash_table_iter_next (&it, NULL, &service_state))
    while (dispatch_first (g, service_state))
      ;
}

/* Whether its queue timeout expires before the pauses of its targets end. */
static gboolean
is_wait_in_vain (const CfExchange *x)
{
  gint64 ms = pause_ms (x);
  double remaining_s;

  if (ms == 0)
    return FALSE;
  remaining_s
      = ev_timer_remaining (x->gateway->loop, (ev_timer *)&x->silence_timer);
  return (double)ms >= remaining_s * 1000 + PAUSE_TOLERANCE_MS;
}

static gboolean
has_target (const CfExchange *x)
{
  CfPickInput in = make_pick_input (x);

  return cf_balancer_has_target (&x->gateway->targets, &in);
}

/* (nullable): a queued request of any service that waits in vain. */
static CfExchange *
find_unservable (const CfGateway *g)
{
  GHashTableIter it;
  gpointer service_state;
  CfWaiter *w;

  g_hash_table_iter_init (&it, g->service_states);
  while (g_hash_table_iter_next (&it, NULL, &service_state))
    TAILQ_FOREACH (w, &((CfServiceState *)service_state)->queue.waiters, link)
  if (!has_target (w->owner) || is_wait_in_vain (w->owner))
    return w->owner;
  return NULL;
}

void
cf_exchange_refuse_unservable (CfGateway *g)
{
  CfExchange *x;

  while ((x = find_unservable (g)))
    if (has_target (x))
      end_paused (x);
    else
      end_without_target (x);
}

/* In an outage, the last attempt that may_probe() saved is used now. */
void
cf_exchange_on_queue_timeout (CfExchange *x)
{
  gboolean outage = x->service_state->outage.since_ms != 0;
  CfTarget *t;

  if (is_kept_from_targets (x))
    return;
  x->queue_timed_out = outage;
  if (outage && pick_target (x, &t) == CF_PICK_OK)
    {
      cf_wait_queue_remove (&x->service_state->queue, &x->waiter);
      send_to (x, t);
    }
  else if (x->may_have_run)
    cf_exchange_fail (x, "no-room");
  else
    cf_exchange_refuse_full (x, outage ? "outage" : "no-room");
}
