#include "exchange-parts.h"

#include "ablation.h"
#include "log.h"
#include "service-share.h"
#include "target-notice.h"

#include <string.h>

/** An answer that is not a stream is held back up to this size, so that a retry
 * can replace it if the connection is lost.  A larger one is forwarded as it
 * arrives. */
#define HELD_BODY_MAX 65536
/** Unsent bytes for a caller that reads more slowly than its target writes,
 * above which reading from the target is paused. */
#define CALLER_BACKLOG_MAX 262144
/** For how long a target that refused a request as full is not tried again.  A
 * target of 12 slots, with streams of 1.2 s, frees a slot about every 100 ms.
 */
#define FULL_TARGET_PAUSE_MS 50
/** Silence of a whole service after which it is assumed to do no work: each
 * pass of a group produces events, and takes 50 to 200 ms under load. */
#define OUTAGE_MIN_SILENCE_MS 400

void
cf_exchange_discard_answer (CfExchange *x)
{
  x->has_head = FALSE;
  x->partial_bytes = x->event_stream.partial->len;
  g_string_truncate (x->held_body, 0);
  if (!x->answer_started)
    g_string_truncate (x->answer_head, 0);
  g_clear_pointer (&x->faulty_addr, g_free);
  cf_event_stream_restart (&x->event_stream);
}

static void
log_ejection (const CfExchange *x, const CfTarget *t, const char *reason,
              gint64 ms)
{
  if (ms > 0)
    cf_log (LOG_WARNING, CF_EV_OUTLIER_EJECT,
            "target=%s service=%s reason=%s ms=%" G_GINT64_FORMAT " id=%s",
            t->record.id, t->record.service, reason, ms, x->id);
}

void
cf_exchange_record_failure (CfExchange *x, CfTarget *t, const char *reason)
{
  if (!CF_WITHOUT_EJECTION)
    log_ejection (
        x, t, reason,
        cf_outlier_record_failure (&t->outlier, cf_gateway_now (x->gateway)));
}

/* An outage begins when a refusal names another target as at fault while the
 * whole service is silent: a rank is down, or its group is forming again. */
static void
detect_outage (CfExchange *x)
{
  CfServiceState *s = x->service_state;
  gint64 now = cf_gateway_now (x->gateway);

  if (now - s->last_event_ms < OUTAGE_MIN_SILENCE_MS
      || !cf_outage_record_refusal (&s->outage, now))
    return;
  cf_log (LOG_WARNING, CF_EV_OUTAGE,
          "service=%s outcome=begins quiet_ms=%" G_GINT64_FORMAT
          " faulty=%s id=%s",
          x->service, now - s->last_event_ms, x->faulty_addr, x->id);
}

/* Whether the answer says that another incarnation runs at its target's
 * address.  The target list may show the old one for a long time. */
static gboolean
is_old_incarnation (const CfExchange *x)
{
  return x->status == HTTP_STATUS_MISDIRECTED_REQUEST
         && (!x->faulty_addr
             || strcmp (x->faulty_addr, x->target->record.addr) == 0);
}

static void
on_full_pause_end (int revents, void *gateway)
{
  cf_exchange_dispatch_queued (gateway);
}

/* Its target gets no requests for a while.  Queued ones are sent right after
 * that: calls with short objectives cannot wait for the next regular check. */
static void
pause_full_target (CfExchange *x)
{
  CfGateway *g = x->gateway;

  x->target->full_until_ms = cf_gateway_now (g) + FULL_TARGET_PAUSE_MS;
  ev_once (g->loop, -1, 0, (FULL_TARGET_PAUSE_MS + 1) / 1000.0,
           on_full_pause_end, g);
}

/* Handles an answer that says "not run": another incarnation has the target's
 * address, or another target, whose address the answer gives, is at fault, or
 * the target itself accepts no work now. */
static void
handle_refusal (CfExchange *x)
{
  gint64 now = cf_gateway_now (x->gateway);
  CfTarget *t
      = x->faulty_addr
            ? cf_target_table_lookup_addr (&x->gateway->targets, x->faulty_addr)
            : NULL;

  cf_log (
      LOG_NOTICE, CF_EV_TARGET_FAIL,
      "id=%s target=%s outcome=not-run status=%d faulty=%s retry_after_s=%.3f",
      x->id, x->target->record.id, x->status,
      x->faulty_addr ? x->faulty_addr : "-", x->retry_after_s);
  if (is_old_incarnation (x))
    {
      log_ejection (x, x->target, "another-start",
                    cf_outlier_eject (&x->target->outlier, now));
      return;
    }
  if (x->faulty_addr)
    {
      cf_dc_health_record_refusal (&x->service_state->dc_health,
                                   x->target->record.data_centre, now);
      detect_outage (x);
    }
  if (t && t != x->target)
    cf_exchange_record_failure (x, t, "named-faulty");
  else
    pause_full_target (x);
  if (!x->faulty_addr)
    cf_exchange_note_full_target (x);
}

/* Records that a target of the service processes requests, which ends any
 * outage. */
static void
record_progress (CfExchange *x)
{
  gint64 now = cf_gateway_now (x->gateway);
  gint64 ms = cf_outage_record_answer (&x->service_state->outage, now);

  x->service_state->last_event_ms = now;
  cf_dc_health_record_answer (&x->service_state->dc_health,
                              x->target->record.data_centre);
  if (ms)
    cf_log (LOG_NOTICE, CF_EV_OUTAGE,
            "service=%s outcome=over ms=%" G_GINT64_FORMAT " id=%s", x->service,
            ms, x->id);
}

static void
start_answer (CfExchange *x, gint64 length)
{
  x->answer_started = TRUE;
  cf_caller_begin_answer (x->caller, x->status, x->answer_head->str, length);
}

static void
log_overload (const CfExchange *x)
{
  const CfServiceState *s = x->service_state;
  const CfWaiter *first = TAILQ_FIRST (&s->queue.waiters);

  cf_log (LOG_NOTICE, CF_EV_OVERLOAD,
          "service=%s outcome=%s limit=%u in_flight=%u first_ms=%.0f "
          "pause_ms=%.0f waiting=%u waited_ms=%" G_GINT64_FORMAT,
          x->service, cf_concurrency_limit_get (&s->limit) ? "begins" : "over",
          cf_concurrency_limit_get (&s->limit), s->in_flight, s->limit.mean_ms,
          s->latency.pause_ms, s->queue.n,
          first ? cf_gateway_now (x->gateway) - first->since_ms : 0);
}

static void
sample_concurrency_limit (CfExchange *x)
{
  CfServiceState *s = x->service_state;
  CfFirstEventSample e = { 0 };

  e.now_ms = cf_gateway_now (x->gateway);
  e.sent_ms = x->sent_ms;
  e.unqueued_ms = cf_stream_latency_unqueued_ms (
      &s->latency, cf_exchange_engine_model (x), &x->size);
  e.objective_ms = x->route->objective_ms;
  e.in_flight = s->in_flight;
  e.in_flight_at_send = x->in_flight_at_send;
  e.fair_share = cf_service_share_slots (
      x->gateway, s, cf_target_table_slots (&x->gateway->targets, x->service));
  if (cf_concurrency_limit_add_sample (&s->limit, &e))
    log_overload (x);
}

/* Returns the mean number of streams at a rank of its service. */
static double
estimate_streams_per_rank (const CfExchange *x, guint n_ranks)
{
  const CfServiceState *s = x->service_state;
  CfStreamsInput in = { .in_flight = s->in_flight };

  in.others_demand = cf_demand_table_total (&s->others);
  in.n_others = s->n_others;
  in.n_gateways = x->gateway->fleet_size;
  in.capacity = s->capacity;
  in.share = s->share.total;
  return cf_pass_limit_estimate_streams (&in) / MAX (n_ranks, 1);
}

/* Adds a pass to those that the pass limit is computed from, and logs changes
 * of the limit. */
static void
update_pass_limit (CfExchange *x, const CfPassRecord *p)
{
  const CfEngineModel *e = cf_exchange_engine_model (x);
  guint n_ranks
      = cf_target_table_count_usable (&x->gateway->targets, x->service);
  gint64 now = cf_gateway_now (x->gateway);
  CfPassLimit *l = &x->service_state->pass_limit;
  double limit;

  if (!e || !cf_policy_has_urgency_levels (x->policy, x->service))
    return;
  cf_pass_limit_add_pass (l, e, cf_pass_record_mean_ms (p),
                          estimate_streams_per_rank (x, n_ranks), now);
  limit = cf_pass_limit_get (
      l, e, cf_policy_gap_objective_ms (x->policy, x->service), now);
  x->service_state->max_streams_per_rank = limit;
  x->service_state->pass_ms = now;
  if (cf_pass_limit_report (l, limit))
    cf_log (LOG_NOTICE, CF_EV_PASS_LIMIT,
            "service=%s limit=%.1f slowness=%.2f ranks=%u", x->service, limit,
            cf_pass_limit_slowness (l, now), n_ranks);
}

/* Adds an event to the record of passes, and logs the pass that this shows to
 * have ended if it made streams late. */
static void
record_pass (CfExchange *x, gint64 pause_ms)
{
  CfPassEvent e = { .pause_ms = pause_ms };
  CfPassRecord p;

  e.now_ms = cf_gateway_now (x->gateway);
  e.gap_objective_ms = x->route->gap_objective_ms;
  e.prompt_tokens = x->size.prompt;
  if (!cf_pass_record_add (&x->service_state->pass, &e, &p))
    return;
  update_pass_limit (x, &p);
  if (p.late == 0)
    return;
  cf_log (LOG_INFO, CF_EV_SLOW_PASS,
          "service=%s ms=%" G_GINT64_FORMAT " streams=%u late=%u begun=%u "
          "begun_tokens=%" G_GINT64_FORMAT,
          x->service, p.longest_ms, p.streams, p.late, p.begun, p.begun_tokens);
}

static void
record_event (CfExchange *x)
{
  gint64 now = cf_gateway_now (x->gateway);

  record_pass (x, x->last_event_ms ? MAX (now - x->last_event_ms, 1) : 0);
  if (x->last_event_ms == 0)
    {
      x->first_event_ms = now - x->start_ms;
      cf_stream_latency_add_first_event (&x->service_state->latency,
                                         now - x->sent_ms);
      sample_concurrency_limit (x);
      cf_histogram_add (&x->gateway->stats.first_ms, x->first_event_ms);
    }
  else
    {
      gint64 pause = now - x->last_event_ms;

      x->longest_pause_ms = MAX (x->longest_pause_ms, pause);
      cf_stream_latency_add_event (&x->service_state->latency, now, pause);
      cf_histogram_add (&x->gateway->stats.pause_ms, pause);
    }
  x->last_event_ms = now;
  cf_exchange_note_work (x);
  record_progress (x);
}

/* Comments before the first event are held back, so that the request can still
 * be retried. */
static gboolean
has_to_hold_comments (const CfExchange *x)
{
  return !x->answer_started && x->event_stream.n_events == 0
         && x->held_body->len <= HELD_BODY_MAX;
}

/* Breaks off an answer that cannot continue the stream which its caller has
 * been sent. */
static void
reject_answer (CfExchange *x, const char *why)
{
  cf_log (LOG_NOTICE, CF_EV_TARGET_FAIL,
          "target=%s outcome=rejected why=%s id=%s", x->target->record.id, why,
          x->id);
  cf_upstream_reject (x->upstream);
}

/* Breaks off an answer of which more would have to be held than is allowed. */
static void
reject_long_answer (CfExchange *x, const char *why)
{
  x->gateway->stats.answers_over_limit++;
  reject_answer (x, why);
}

static void
forward_events (CfExchange *x, const char *data, gsize n)
{
  guint n_events
      = cf_event_stream_feed (&x->event_stream, data, n, x->held_body);

  if (x->event_stream.lacks_id)
    reject_answer (x, "event-without-id");
  else if (cf_event_stream_is_too_long (&x->event_stream))
    reject_long_answer (x, "event-too-long");
  if (x->held_body->len == 0 || has_to_hold_comments (x))
    return;
  if (!x->answer_started)
    start_answer (x, -1);
  if (n_events > 0)
    record_event (x);
  cf_caller_append_body (x->caller, x->held_body->str, x->held_body->len);
  g_string_truncate (x->held_body, 0);
  if (x->route->retry_safety != CF_RETRY_UNSAFE)
    cf_exchange_start_silence_timer (x, cf_exchange_silence_timeout_ms (x));
  cf_caller_flush (x->caller);
}

static void
forward_bytes (CfExchange *x, const char *data, gsize n)
{
  g_string_append_len (x->held_body, data, (gssize)n);
  if (!x->answer_started && x->held_body->len <= HELD_BODY_MAX)
    return;
  if (!x->answer_started)
    start_answer (x, x->content_length);
  cf_caller_append_body (x->caller, x->held_body->str, x->held_body->len);
  g_string_truncate (x->held_body, 0);
  cf_caller_flush (x->caller);
}

/* Each answer gives the rate that its target accepts.  Only a signed answer
 * without the header means that there is no limit any more. */
static void
update_rate_limit (CfExchange *x, const CfHttpReader *r)
{
  const char *value = cf_http_reader_header (r, CF_HDR_RATE_LIMIT);
  double limit = cf_platform_parse_rate_limit (value);
  CfTarget *t = x->target;

  if (limit == 0 && x->answer_kind != CF_ANSWER_SUCCESS
      && x->answer_kind != CF_ANSWER_FAILURE)
    return;
  if (limit != t->limit.per_s)
    cf_log (LOG_NOTICE, CF_EV_RATE_LIMIT,
            "target=%s per_s=%.3f source=answer id=%s", t->record.id, limit,
            x->id);
  if (cf_rate_limit_update (&t->limit, limit, cf_gateway_now (x->gateway)))
    x->gateway->hello_is_due = TRUE;
}

static void
on_head (void *owner, const CfHttpReader *r)
{
  CfExchange *x = owner;
  gboolean has_length = (r->parser.flags & F_CONTENTLENGTH) != 0;

  x->has_head = TRUE;
  cf_target_record_progress (x->target, cf_gateway_now (x->gateway));
  x->answer_kind = cf_answer_classify (r);
  x->framing = cf_answer_framing (r);
  x->is_event_stream = x->route->stream && cf_answer_is_event_stream (r);
  if (x->answer_started && x->answer_kind == CF_ANSWER_SUCCESS
      && !x->is_event_stream)
    reject_answer (x, "no-event-stream");
  if (x->answer_kind != CF_ANSWER_NOT_RUN)
    cf_target_note_accepted (x->target, x->target_in_flight, x->sent_ms);
  update_rate_limit (x, r);
  cf_target_take_notice (x->target, r, cf_gateway_now (x->gateway));
  if (!x->answer_started)
    {
      x->status = (int)r->parser.status_code;
      g_string_truncate (x->answer_head, 0);
      cf_answer_append_headers (r, x->answer_head);
    }
  x->content_length = has_length ? (gint64)r->parser.content_length : -1;
  g_free (x->faulty_addr);
  x->faulty_addr = g_strdup (cf_http_reader_header (r, CF_HDR_FAULTY_TARGET));
  x->retry_after_s = cf_platform_parse_retry_after (
      cf_http_reader_header (r, CF_HDR_RETRY_AFTER));
}

static void
on_body (void *owner, const char *data, gsize n)
{
  CfExchange *x = owner;

  cf_target_record_progress (x->target, cf_gateway_now (x->gateway));
  if (x->answer_kind != CF_ANSWER_SUCCESS)
    {
      if (x->held_body->len + n <= HELD_BODY_MAX)
        g_string_append_len (x->held_body, data, (gssize)n);
      else
        reject_long_answer (x, "failure-too-long");
      return;
    }
  if (x->is_event_stream)
    forward_events (x, data, n);
  else
    forward_bytes (x, data, n);
  if (cf_caller_unsent_bytes (x->caller) > CALLER_BACKLOG_MAX)
    cf_upstream_set_paused (x->upstream, TRUE);
}

static void
finish_answer (CfExchange *x, CfOutcome o)
{
  CfCaller *c = x->caller;
  int status = x->status;
  gboolean is_head = x->caller->reader.parser.method == HTTP_HEAD;

  if (!x->answer_started)
    start_answer (x, is_head && x->content_length >= 0
                         ? x->content_length
                         : (gint64)x->held_body->len);
  cf_caller_append_body (c, x->held_body->str, x->held_body->len);
  cf_caller_end_answer (c);
  cf_exchange_finish (x, o, status, "answered");
}

/* Whether the end of the connection was the end of a stream without an event.
 * Nothing shows that such a stream is complete. */
static gboolean
has_ended_before_first_event (const CfExchange *x)
{
  return x->framing == CF_FRAMING_CLOSE
         && x->event_stream.n_events == x->events_at_send;
}

/* Whether a stream that has ended by its framing was broken off. */
static gboolean
is_stream_broken_off (const CfExchange *x)
{
  return cf_event_stream_is_inside_event (&x->event_stream)
         || has_ended_before_first_event (x);
}

static void
complete_success (CfExchange *x)
{
  if (x->is_event_stream && is_stream_broken_off (x))
    {
      cf_exchange_on_upstream_failure (x, x->framing == CF_FRAMING_CLOSE
                                              ? CF_FAILURE_LOST
                                              : CF_FAILURE_INCOMPLETE);
      return;
    }
  cf_outlier_record_success (&x->target->outlier);
  cf_exchange_mark_sound (x);
  cf_exchange_clear_suspicion (x);
  if (!x->is_event_stream)
    {
      record_progress (x);
      finish_answer (x, CF_OUTCOME_SUCCESS);
      return;
    }
  /* Comments after the last event, if any, come from the target too. */
  g_string_append (x->held_body, x->event_stream.partial->str);
  if (!x->answer_started)
    start_answer (x, -1);
  finish_answer (x, CF_OUTCOME_SUCCESS);
}

/* Handles a signed failure: retries if that is allowed, else forwards it. */
static void
complete_failure (CfExchange *x)
{
  cf_exchange_record_failure (x, x->target, "failed");
  cf_exchange_clear_suspicion (x);
  if (x->answer_started)
    {
      x->may_have_run = TRUE;
      cf_exchange_discard_answer (x);
      cf_exchange_retry_or_end (x, CF_RETRY_CAUSE_FAILED, "target-failed");
      return;
    }
  if (x->route->retry_safety != CF_RETRY_UNSAFE && x->status >= 500
      && cf_exchange_may_retry (x)
      && cf_exchange_take_retry (x, CF_RETRY_CAUSE_FAILED))
    {
      x->may_have_run = TRUE;
      cf_log (LOG_NOTICE, CF_EV_RETRY,
              "id=%s reason=target-failed status=%d target=%s again=yes "
              "budget=ok ran=yes sends=%u left_ms=%" G_GINT64_FORMAT,
              x->id, x->status, cf_exchange_target_id (x), x->sends,
              cf_exchange_remaining_ms (x));
      cf_exchange_discard_answer (x);
      cf_exchange_release_target (x, TRUE);
      x->gateway->stats.retries++;
      cf_exchange_send_or_queue (x);
    }
  else if (cf_answer_may_forward (x->status, x->route->retry_safety))
    finish_answer (x, CF_OUTCOME_TARGET_FAILED);
  else
    {
      x->may_have_run = TRUE;
      cf_exchange_fail (x, "target-failed");
    }
}

static void
on_done (void *owner)
{
  CfExchange *x = owner;

  x->upstream = NULL;
  switch (x->answer_kind)
    {
    case CF_ANSWER_SUCCESS:
      complete_success (x);
      break;
    case CF_ANSWER_FAILURE:
      complete_failure (x);
      break;
    case CF_ANSWER_NOT_RUN:
      handle_refusal (x);
      cf_exchange_discard_answer (x);
      cf_exchange_retry_or_end (x, CF_RETRY_CAUSE_REFUSED, "target-refused");
      break;
    case CF_ANSWER_UNSIGNED:
      cf_exchange_record_failure (x, x->target, "unsigned");
      x->may_have_run = TRUE;
      cf_exchange_discard_answer (x);
      cf_exchange_retry_or_end (x, CF_RETRY_CAUSE_INVALID, "unsigned-answer");
      break;
    }
}

/* Ranks that have waited in vain for a lost one end their connections. */
static void
note_stalled_target (CfExchange *x)
{
  gint64 now = cf_gateway_now (x->gateway);

  if (x->route->stream
      && cf_target_silence_ms (x->target, now)
             > x->gateway->settings.stall_ms / 2)
    cf_dc_health_record_refusal (&x->service_state->dc_health,
                                 x->target->record.data_centre, now);
}

static CfRetryCause
get_retry_cause (CfUpstreamFailure f)
{
  switch (f)
    {
    case CF_FAILURE_MALFORMED:
    case CF_FAILURE_INCOMPLETE:
    case CF_FAILURE_EXCESSIVE:
      return CF_RETRY_CAUSE_INVALID;
    case CF_FAILURE_UNSENT:
    case CF_FAILURE_LOST:
      break;
    }
  return CF_RETRY_CAUSE_LOST;
}

void
cf_exchange_on_upstream_failure (void *owner, CfUpstreamFailure f)
{
  CfExchange *x = owner;

  x->upstream = NULL;
  x->gateway->stats.answers_over_limit += f == CF_FAILURE_EXCESSIVE;
  note_stalled_target (x);
  cf_exchange_record_failure (x, x->target, cf_upstream_failure_name (f));
  if (f == CF_FAILURE_UNSENT)
    cf_exchange_note_unsent (x);
  else
    x->may_have_run = TRUE;
  cf_exchange_discard_answer (x);
  if (f == CF_FAILURE_LOST && cf_exchange_probe_lost_target (x))
    return;
  cf_exchange_retry_or_end (x, get_retry_cause (f),
                            cf_upstream_failure_name (f));
}

const CfUpstreamCallbacks cf_exchange_upstream_callbacks
    = { on_head, on_body, on_done, cf_exchange_on_upstream_failure };
