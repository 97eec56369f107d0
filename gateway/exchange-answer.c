#include "exchange-parts.h"

#include "ablation.h"
#include "log.h"

#include <string.h>

/** Answers that are not streams are held up to this size, so that one that
 * breaks off can be replaced; beyond it the answer is passed on as it comes. */
#define HOLD_MAX 65536
/** A caller that reads more slowly than its target writes holds at most
 * this much here; then the target is made to wait. */
#define BACKLOG_MAX 262144
/** A target that said it was full is not asked again for so long: a slot
 * comes free about every 100 ms at a target of 12 slots and 1.2 s a stream. */
#define FULL_PAUSE_MS 50
/** A service without any sign of work for so long does none: the passes of a
 * group, each of which shows as events, take 50 to 200 ms under load. */
#define QUIET_MS 400

/* Drops what came in of an answer that is not passed on. */
void
cf_exchange_forget_answer (CfExchange *x)
{
  x->has_head = FALSE;
  g_string_truncate (x->held, 0);
  if (!x->begun)
    g_string_truncate (x->head, 0);
  g_clear_pointer (&x->faulty, g_free);
  cf_event_stream_restart (&x->events);
}

static void
note_ejection (const CfExchange *x, const CfTarget *t, const char *reason,
               gint64 ms)
{
  if (ms > 0)
    cf_log (LOG_WARNING, CF_EV_OUTLIER_EJECT,
            "target=%s service=%s reason=%s ms=%" G_GINT64_FORMAT " id=%s",
            t->record.id, t->record.service, reason, ms, x->id);
}

void
cf_exchange_blame (CfExchange *x, CfTarget *t, const char *reason)
{
  if (!CF_WITHOUT_EJECTION)
    note_ejection (x, t, reason,
                   cf_outlier_failure (&t->outlier, cf_gateway_now (x->g)));
}

/* A refusal that names who is at fault, while nothing of the service does
 * any work: a rank is away, or its group forms anew. */
static void
note_outage (CfExchange *x)
{
  CfLane *l = x->lane;
  gint64 now = cf_gateway_now (x->g);

  if (now - l->last_event_ms < QUIET_MS || !cf_outage_refused (&l->outage, now))
    return;
  cf_log (LOG_WARNING, CF_EV_OUTAGE,
          "service=%s outcome=begins quiet_ms=%" G_GINT64_FORMAT
          " faulty=%s id=%s",
          x->service, now - l->last_event_ms, x->faulty, x->id);
}

/* Whether @x's target says that another start is at its address: the list
 * may name the one before for long. */
static gboolean
is_misdirected (const CfExchange *x)
{
  return x->status == HTTP_STATUS_MISDIRECTED_REQUEST
         && (!x->faulty || strcmp (x->faulty, x->target->record.addr) == 0);
}

/* An answer that says "not run" blames the target at the address it names,
 * or says that another start has its own target's address, or that its own
 * target takes nothing now. */
static void
learn_from_refusal (CfExchange *x)
{
  gint64 now = cf_gateway_now (x->g);
  CfTarget *t
      = x->faulty ? cf_target_table_at (&x->g->targets, x->faulty) : NULL;

  cf_log (LOG_NOTICE, CF_EV_TARGET_FAIL,
          "id=%s target=%s outcome=not-run status=%d faulty=%s", x->id,
          x->target->record.id, x->status, x->faulty ? x->faulty : "-");
  if (is_misdirected (x))
    {
      note_ejection (x, x->target, "another-start",
                     cf_outlier_eject (&x->target->outlier, now));
      return;
    }
  if (x->faulty)
    note_outage (x);
  if (t && t != x->target)
    cf_exchange_blame (x, t, "named-faulty");
  else
    x->target->full_until_ms = now + FULL_PAUSE_MS;
}

/* The target does its work, so its service has no outage, or none any more. */
static void
note_work (CfExchange *x)
{
  gint64 now = cf_gateway_now (x->g);
  gint64 ms = cf_outage_answered (&x->lane->outage, now);

  x->lane->last_event_ms = now;
  if (ms)
    cf_log (LOG_NOTICE, CF_EV_OUTAGE,
            "service=%s outcome=over ms=%" G_GINT64_FORMAT " id=%s", x->service,
            ms, x->id);
}

static void
begin_answer (CfExchange *x, gint64 length)
{
  x->begun = TRUE;
  cf_caller_begin (x->c, x->status, x->head->str, length);
}

static void
log_overload (const CfExchange *x)
{
  const CfLane *l = x->lane;
  const CfWaiter *first = TAILQ_FIRST (&l->queue.waiters);

  cf_log (LOG_NOTICE, CF_EV_OVERLOAD,
          "service=%s outcome=%s limit=%u in_flight=%u first_ms=%.0f "
          "pause_ms=%.0f waiting=%u waited_ms=%" G_GINT64_FORMAT,
          x->service, cf_concurrency_limit_get (&l->limit) ? "begins" : "over",
          cf_concurrency_limit_get (&l->limit), l->in_flight, l->limit.mean_ms,
          l->pace.pause_ms, l->queue.n,
          first ? cf_gateway_now (x->g) - first->since_ms : 0);
}

static void
sample_limit (CfExchange *x)
{
  CfLane *l = x->lane;
  CfFirstEvent e = { 0 };

  e.now_ms = cf_gateway_now (x->g);
  e.sent_ms = x->sent_ms;
  e.unqueued_ms
      = cf_pace_unqueued_ms (&l->pace, cf_exchange_engine (x), &x->size);
  e.aim_ms = x->route->aim_ms;
  e.in_flight = l->in_flight;
  e.fair_share = (double)cf_target_table_slots (&x->g->targets, x->service)
                 / MAX (x->g->fleet_size, 1);
  if (cf_concurrency_limit_sample (&l->limit, &e))
    log_overload (x);
}

static void
note_pass (CfExchange *x, gint64 pause_ms)
{
  CfPassEvent e = { .pause_ms = pause_ms };
  CfPassRecord p;

  e.now_ms = cf_gateway_now (x->g);
  e.gap_aim_ms = x->route->gap_aim_ms;
  e.prompt_tokens = x->size.prompt;
  if (!cf_pass_record_add (&x->lane->pass, &e, &p) || p.late == 0)
    return;
  cf_log (LOG_INFO, CF_EV_SLOW_PASS,
          "service=%s ms=%" G_GINT64_FORMAT " streams=%u late=%u begun=%u "
          "begun_tokens=%" G_GINT64_FORMAT,
          x->service, p.longest_ms, p.streams, p.late, p.begun, p.begun_tokens);
}

static void
note_event (CfExchange *x)
{
  gint64 now = cf_gateway_now (x->g);

  note_pass (x, x->last_event_ms ? MAX (now - x->last_event_ms, 1) : 0);
  if (x->last_event_ms == 0)
    {
      x->first_ms = now - x->start_ms;
      cf_pace_first (&x->lane->pace, now - x->sent_ms);
      sample_limit (x);
      cf_histogram_add (&x->g->stats.first_ms, x->first_ms);
    }
  else
    {
      gint64 pause = now - x->last_event_ms;

      x->longest_pause_ms = MAX (x->longest_pause_ms, pause);
      cf_pace_event (&x->lane->pace, now, pause);
      cf_histogram_add (&x->g->stats.pause_ms, pause);
    }
  x->last_event_ms = now;
  note_work (x);
}

static void
pass_events (CfExchange *x, const char *data, gsize n)
{
  g_string_truncate (x->held, 0);
  if (cf_event_stream_feed (&x->events, data, n, x->held) == 0)
    return;
  if (!x->begun)
    begin_answer (x, -1);
  note_event (x);
  cf_caller_data (x->c, x->held->str, x->held->len);
  g_string_truncate (x->held, 0);
  if (x->route->repeat != CF_REPEAT_NEVER)
    cf_exchange_wait_for_target (x, cf_exchange_silence_limit (x));
  cf_caller_flush (x->c);
}

static void
pass_bytes (CfExchange *x, const char *data, gsize n)
{
  g_string_append_len (x->held, data, (gssize)n);
  if (!x->begun && x->held->len <= HOLD_MAX)
    return;
  if (!x->begun)
    begin_answer (x, x->length);
  cf_caller_data (x->c, x->held->str, x->held->len);
  g_string_truncate (x->held, 0);
  cf_caller_flush (x->c);
}

/* Each answer tells anew which rate its target takes.  Only one that its target
 * has signed can say by its silence that there is no limit any more. */
static void
learn_rate_limit (CfExchange *x, const CfHttpReader *r)
{
  const char *value = cf_http_reader_header (r, CF_HDR_RATE_LIMIT);
  double limit = cf_platform_parse_rate_limit (value);
  CfTarget *t = x->target;

  if (limit == 0 && x->kind != CF_ANSWER_GOOD && x->kind != CF_ANSWER_FAILURE)
    return;
  if (limit != t->limit.per_s)
    cf_log (LOG_NOTICE, CF_EV_RATE_LIMIT,
            "target=%s per_s=%.3f source=answer id=%s", t->record.id, limit,
            x->id);
  if (cf_rate_limit_hear (&t->limit, limit, cf_gateway_now (x->g)))
    x->g->limits_changed = TRUE;
}

static void
on_head (void *owner, const CfHttpReader *r)
{
  CfExchange *x = owner;
  gboolean sized = (r->parser.flags & F_CONTENTLENGTH) != 0;

  x->has_head = TRUE;
  cf_target_sign (x->target, cf_gateway_now (x->g));
  x->kind = cf_answer_kind (r);
  learn_rate_limit (x, r);
  if (!x->begun)
    {
      x->status = (int)r->parser.status_code;
      g_string_truncate (x->head, 0);
      cf_answer_headers (r, x->head);
    }
  x->length = sized ? (gint64)r->parser.content_length : -1;
  g_free (x->faulty);
  x->faulty = g_strdup (cf_http_reader_header (r, CF_HDR_FAULTY_TARGET));
}

static void
on_body (void *owner, const char *data, gsize n)
{
  CfExchange *x = owner;

  cf_target_sign (x->target, cf_gateway_now (x->g));
  if (x->kind != CF_ANSWER_GOOD)
    {
      if (x->held->len + n <= HOLD_MAX)
        g_string_append_len (x->held, data, (gssize)n);
      else
        x->kind = CF_ANSWER_UNSIGNED;
      return;
    }
  if (x->route->stream)
    pass_events (x, data, n);
  else
    pass_bytes (x, data, n);
  if (cf_caller_backlog (x->c) > BACKLOG_MAX)
    cf_upstream_pause (x->up, TRUE);
}

static void
pass_whole (CfExchange *x, CfOutcome o)
{
  CfCaller *c = x->c;
  int status = x->status;
  gboolean bare = x->c->reader.parser.method == HTTP_HEAD;

  if (!x->begun)
    begin_answer (x, bare && x->length >= 0 ? x->length : (gint64)x->held->len);
  cf_caller_data (c, x->held->str, x->held->len);
  cf_caller_end (c);
  cf_exchange_finish (x, o, status, "answered");
}

static void
good_answer_whole (CfExchange *x)
{
  cf_outlier_success (&x->target->outlier);
  cf_exchange_note_answered (x);
  if (!x->route->stream)
    {
      note_work (x);
      pass_whole (x, CF_OUT_SUCCESS);
      return;
    }
  /* What is behind the last event, if anything, is the target's too. */
  g_string_assign (x->held, x->events.partial->str);
  if (!x->begun)
    begin_answer (x, -1);
  pass_whole (x, CF_OUT_SUCCESS);
}

/* A signed failure: worth another try if that may be, else passed on. */
static void
failure_whole (CfExchange *x)
{
  cf_exchange_blame (x, x->target, "failed");
  cf_exchange_note_answered (x);
  if (x->begun)
    {
      x->may_have_run = TRUE;
      cf_exchange_forget_answer (x);
      cf_exchange_try_again (x, "target-failed");
      return;
    }
  if (x->route->repeat != CF_REPEAT_NEVER && x->status >= 500
      && cf_exchange_may_send_again (x)
      && cf_retry_budget_take (&x->lane->budget))
    {
      x->may_have_run = TRUE;
      cf_log (LOG_NOTICE, CF_EV_RETRY,
              "id=%s reason=target-failed status=%d target=%s again=yes "
              "budget=ok ran=yes sends=%u left_ms=%" G_GINT64_FORMAT,
              x->id, x->status, cf_exchange_target_id (x), x->sends,
              cf_exchange_left_ms (x));
      cf_exchange_forget_answer (x);
      cf_exchange_release_target (x, TRUE);
      x->g->stats.retries++;
      cf_exchange_try_target (x);
    }
  else if (cf_answer_passes (x->status, x->route->repeat))
    pass_whole (x, CF_OUT_TARGET_FAIL);
  else
    {
      x->may_have_run = TRUE;
      cf_exchange_give_up (x, "target-failed");
    }
}

static void
on_done (void *owner)
{
  CfExchange *x = owner;

  x->up = NULL;
  switch (x->kind)
    {
    case CF_ANSWER_GOOD:
      good_answer_whole (x);
      break;
    case CF_ANSWER_FAILURE:
      failure_whole (x);
      break;
    case CF_ANSWER_NOT_RUN:
      learn_from_refusal (x);
      cf_exchange_forget_answer (x);
      cf_exchange_try_again (x, "target-refused");
      break;
    case CF_ANSWER_UNSIGNED:
      cf_exchange_blame (x, x->target, "unsigned");
      x->may_have_run = TRUE;
      cf_exchange_forget_answer (x);
      cf_exchange_try_again (x, "unsigned-answer");
      break;
    }
}

void
cf_exchange_on_fail (void *owner, CfUpstreamFail f)
{
  CfExchange *x = owner;

  x->up = NULL;
  cf_exchange_blame (x, x->target, cf_upstream_fail_name (f));
  if (f == CF_FAIL_UNSENT)
    x->sends--;
  else
    x->may_have_run = TRUE;
  cf_exchange_forget_answer (x);
  if (f == CF_FAIL_LOST && cf_exchange_note_lost (x))
    return;
  cf_exchange_try_again (x, cf_upstream_fail_name (f));
}

const CfUpstreamCalls cf_exchange_upstream_calls
    = { on_head, on_body, on_done, cf_exchange_on_fail };
