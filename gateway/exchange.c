#include "exchange.h"

#include "answer.h"
#include "balancer.h"
#include "event-stream.h"
#include "forward.h"
#include "log.h"
#include "upstream.h"

#include <string.h>

/** Answers that are not streams are held up to this size, so that one that
 * breaks off can be replaced; beyond it the answer is passed on as it comes. */
#define HOLD_MAX 65536
/** A caller that reads more slowly than its target writes holds at most
 * this much here; then the target is made to wait. */
#define BACKLOG_MAX 262144
/** Silence of a target, in objectives, after which an idempotent call is
 * tried elsewhere: past the longest call seen in a hundred (five times the
 * mean, which is a fifth of the objective). */
#define SILENCE_AIMS 2.5
/** Beyond the time that a rank group stalls over a lost rank, a stream's
 * silence is its own target's. */
#define SILENCE_MARGIN_MS 150
/** Of callers' patience, how long all targets of a service may be silent
 * before they count as standing still: callers of what is sent later would
 * leave before the first event.  With 400 ms in place of this, a service
 * whose first events take longer refused nine in ten. */
#define ALL_SILENT_PART 0.5
/** Callers give a stream up without an event for two seconds, four times the
 * objective or eight times that for pauses, whichever is longest. */
#define PATIENCE_LEAST_MS 2000
#define PATIENCE_AIMS 4
#define PATIENCE_GAPS 8
/** Of the objective, when a request has to be sent to meet it: the first
 * event takes about 200 ms of 500 at a target of 8 requests. */
#define START_PART_OF_AIM 0.6
/** A target that said it was full is not asked again for so long: a slot
 * comes free about every 100 ms at a target of 12 slots and 1.2 s a stream. */
#define FULL_PAUSE_MS 50
/** Back-off asked of callers when no configuration or target is known. */
#define UNKNOWN_BUSY_MS 1000L
/** Back-off asked of callers that come to a process about to end: another
 * connection reaches another VM. */
#define STOPPING_BUSY_MS 20
/** Back-off asked of callers when all targets are full. */
#define FULL_BUSY_MS 400
/** Requests that may wait for room, for each slot of their service: with
 * more the last would wait past its limit even at full speed. */
#define WAITERS_PER_SLOT 1
/** Time left under which sending is pointless: two network ways and a step
 * of a target. */
#define LEAST_LEFT_MS 10

/**
 * CfExchange:
 * One request of a caller, from its last byte to the end of its answer.
 */
struct CfExchange
{
  CfWaiter waiter;
  CfGateway *g;
  CfCaller *c;
  CfPolicy *policy;     /**< the version it was routed by */
  const CfRoute *route; /**< of @policy */
  const char *service;  /**< of @policy */
  CfLane *lane;
  const char *org; /**< (nullable): of @policy */
  char *id;        /**< the attempt's, as the caller sent it */
  guint hash;
  gint64 start_ms;
  gint64 deadline_ms; /**< on the loop's clock */
  ev_timer deadline;
  ev_timer silence; /**< limits the target's pauses */
  CfUpstream *up;
  CfTarget *target;
  GPtrArray *tried; /**< of #CfTarget, referenced */
  guint sends;
  gboolean may_have_run;

  /* The answer that is coming in. */
  CfAnswerKind kind;
  int status;
  gboolean has_head;
  gboolean begun; /**< the caller has its head */
  GString *head;  /**< header lines for the caller */
  GString *held;  /**< its body, until it is passed on */
  gint64 length;  /**< its length as announced, or -1 */
  char *faulty;   /**< the target it blames */
  CfEventStream events;
  gint64 last_event_ms;    /**< when the last event was passed on */
  gint64 first_ms;         /**< from the request to the first event */
  gint64 longest_pause_ms; /**< between two events */
};

static gint64
left_ms (const CfExchange *x)
{
  return x->deadline_ms - cf_gateway_now (x->g);
}

static const char *
target_id (const CfExchange *x)
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
static void
release_target (CfExchange *x, gboolean cancel)
{
  CfUpstream *up = x->up;

  ev_timer_stop (x->g->loop, &x->silence);
  x->up = NULL;
  if (up && cancel)
    cf_upstream_cancel (up);
  if (!x->target)
    return;
  x->target->in_flight--;
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
static void
finish (CfExchange *x, CfOutcome o, int status, const char *reason)
{
  CfGateway *g = x->g;
  gint64 ms = cf_gateway_now (g) - x->start_ms;

  cf_log (LOG_INFO, CF_EV_ANSWER,
          "id=%s outcome=%s status=%d reason=%s target=%s sends=%u ran=%s "
          "ms=%" G_GINT64_FORMAT " events=%" G_GUINT64_FORMAT
          " first_ms=%" G_GINT64_FORMAT " longest_pause_ms=%" G_GINT64_FORMAT
          " config=%" G_GINT64_FORMAT,
          x->id, cf_outcome_name (o), status, reason, target_id (x), x->sends,
          ran_name (x, o), ms, x->events.n_events, x->first_ms,
          x->longest_pause_ms, x->policy ? x->policy->version : 0);
  g->stats.outcomes[o]++;
  if (o == CF_OUT_SUCCESS && !x->events.n_events)
    cf_histogram_add (&g->stats.whole_ms, ms);
  if (x->lane)
    cf_wait_queue_remove (&x->lane->queue, &x->waiter);
  ev_timer_stop (g->loop, &x->deadline);
  release_target (x, TRUE);
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
  finish (x, o, status, reason);
}

/* Nothing of it ran and nothing will; the caller may come back. */
static void
refuse (CfExchange *x, const char *reason, gint64 busy_ms)
{
  answer_self (x, CF_OUT_REFUSED, 503, reason,
               cf_retry_after_ms (left_ms (x), busy_ms, x->hash));
}

/* It may have run and there is no good answer. */
static void
give_up (CfExchange *x, const char *reason)
{
  CfCaller *c = x->c;

  if (!x->begun)
    {
      answer_self (x, CF_OUT_FAILED, 502, reason, -1);
      return;
    }
  finish (x, CF_OUT_BROKEN, x->status, reason);
  cf_caller_abort (c);
}

static void try_target (CfExchange *x);

static gboolean
may_send_again (const CfExchange *x)
{
  if (x->may_have_run && x->route->repeat == CF_REPEAT_NEVER)
    return FALSE;
  return x->sends < x->route->max_attempts && left_ms (x) > LEAST_LEFT_MS;
}

/* This try is over without a good answer: another target, or the end. */
static void
try_again (CfExchange *x, const char *reason)
{
  gboolean again = may_send_again (x);
  gboolean in_budget = again && cf_retry_budget_take (&x->lane->budget);

  cf_log (LOG_NOTICE, CF_EV_RETRY,
          "id=%s reason=%s target=%s again=%s budget=%s ran=%s sends=%u "
          "left_ms=%" G_GINT64_FORMAT,
          x->id, reason, target_id (x), again ? "yes" : "no",
          !again      ? "not-asked"
          : in_budget ? "ok"
                      : "none",
          x->may_have_run ? "maybe" : "no", x->sends, left_ms (x));
  release_target (x, TRUE);
  if (in_budget)
    {
      x->g->stats.retries++;
      try_target (x);
    }
  else if (x->may_have_run)
    give_up (x, reason);
  else
    refuse (x, reason, FULL_BUSY_MS);
}

/* Drops what came in of an answer that is not passed on. */
static void
forget_answer (CfExchange *x)
{
  x->has_head = FALSE;
  g_string_truncate (x->held, 0);
  if (!x->begun)
    g_string_truncate (x->head, 0);
  g_clear_pointer (&x->faulty, g_free);
  cf_event_stream_restart (&x->events);
}

static void
blame (CfExchange *x, CfTarget *t, const char *reason)
{
  gint64 ms = cf_outlier_failure (&t->outlier, cf_gateway_now (x->g));

  if (ms > 0)
    cf_log (LOG_WARNING, CF_EV_OUTLIER,
            "target=%s service=%s reason=%s ms=%" G_GINT64_FORMAT " id=%s",
            t->record.id, t->record.service, reason, ms, x->id);
}

/* An answer that says "not run" blames the target it names, or says that
 * its own target is full. */
static void
learn_from_refusal (CfExchange *x)
{
  CfTarget *t = NULL;

  if (x->faulty)
    t = g_hash_table_lookup (x->g->targets.by_id, x->faulty);
  if (t)
    blame (x, t, "named-faulty");
  else if (x->status == HTTP_STATUS_MISDIRECTED_REQUEST)
    blame (x, x->target, "another-instance");
  else
    x->target->full_until_ms = cf_gateway_now (x->g) + FULL_PAUSE_MS;
}

static void
begin_answer (CfExchange *x, gint64 length)
{
  x->begun = TRUE;
  cf_caller_begin (x->c, x->status, x->head->str, length);
}

static void
wait_for_target (CfExchange *x, gint64 ms)
{
  ev_timer_stop (x->g->loop, &x->silence);
  ev_timer_set (&x->silence, (double)ms / 1000, 0);
  ev_timer_start (x->g->loop, &x->silence);
}

static gint64
silence_limit (const CfExchange *x)
{
  if (x->route->stream)
    return x->g->set.stall_ms + SILENCE_MARGIN_MS;
  return (gint64)((double)x->route->aim_ms * SILENCE_AIMS);
}

static void
note_event (CfExchange *x)
{
  gint64 now = cf_gateway_now (x->g);

  if (x->last_event_ms == 0)
    {
      x->first_ms = now - x->start_ms;
      cf_histogram_add (&x->g->stats.first_ms, x->first_ms);
    }
  else
    {
      gint64 pause = now - x->last_event_ms;

      x->longest_pause_ms = MAX (x->longest_pause_ms, pause);
      cf_histogram_add (&x->g->stats.pause_ms, pause);
    }
  x->last_event_ms = now;
  x->lane->last_event_ms = now;
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
    wait_for_target (x, silence_limit (x));
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

static void
on_head (void *owner, const CfHttpReader *r)
{
  CfExchange *x = owner;
  gboolean sized = (r->parser.flags & F_CONTENTLENGTH) != 0;

  x->has_head = TRUE;
  x->kind = cf_answer_kind (r);
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
  finish (x, o, status, "answered");
}

static void
good_answer_whole (CfExchange *x)
{
  cf_outlier_success (&x->target->outlier);
  if (!x->route->stream)
    {
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
  blame (x, x->target, "failed");
  if (x->begun)
    {
      x->may_have_run = TRUE;
      forget_answer (x);
      try_again (x, "target-failed");
      return;
    }
  if (x->route->repeat != CF_REPEAT_NEVER && x->status >= 500
      && may_send_again (x) && cf_retry_budget_take (&x->lane->budget))
    {
      x->may_have_run = TRUE;
      cf_log (LOG_NOTICE, CF_EV_RETRY,
              "id=%s reason=target-failed status=%d target=%s again=yes "
              "budget=ok ran=yes sends=%u left_ms=%" G_GINT64_FORMAT,
              x->id, x->status, target_id (x), x->sends, left_ms (x));
      forget_answer (x);
      release_target (x, TRUE);
      x->g->stats.retries++;
      try_target (x);
    }
  else if (cf_answer_passes (x->status, x->route->repeat))
    pass_whole (x, CF_OUT_TARGET_FAIL);
  else
    {
      x->may_have_run = TRUE;
      give_up (x, "target-failed");
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
      forget_answer (x);
      try_again (x, "target-refused");
      break;
    case CF_ANSWER_UNSIGNED:
      blame (x, x->target, "unsigned");
      x->may_have_run = TRUE;
      forget_answer (x);
      try_again (x, "unsigned-answer");
      break;
    }
}

static void
on_fail (void *owner, CfUpstreamFail f)
{
  CfExchange *x = owner;

  x->up = NULL;
  blame (x, x->target, cf_upstream_fail_name (f));
  if (f == CF_FAIL_UNSENT)
    x->sends--;
  else
    x->may_have_run = TRUE;
  forget_answer (x);
  try_again (x, cf_upstream_fail_name (f));
}

static const CfUpstreamCalls upstream_calls
    = { on_head, on_body, on_done, on_fail };

static void
send_to (CfExchange *x, CfTarget *t)
{
  CfForwardHeaders ours = { 0 };
  gboolean head_only = x->c->reader.parser.method == HTTP_HEAD;
  GString *req;

  ours.deadline_ms = left_ms (x);
  ours.expect = t->record.id;
  ours.org = x->org;
  ours.last_event = x->events.last_id;
  req = cf_forward_request (&x->c->reader, x->c->body, &ours);
  cf_log (LOG_INFO, CF_EV_ROUTE,
          "id=%s route=%s service=%s org=%s target=%s dc=%s send=%u "
          "in_flight=%u slots=%" G_GINT64_FORMAT " config=%" G_GINT64_FORMAT
          " list_age_ms=%" G_GINT64_FORMAT " left_ms=%" G_GINT64_FORMAT,
          x->id, x->route->name, x->service, x->org ? x->org : "-",
          t->record.id, t->record.data_centre ? t->record.data_centre : "-",
          x->sends + 1, t->in_flight, t->record.slots, x->policy->version,
          cf_gateway_now (x->g) - x->g->targets_at_ms, ours.deadline_ms);
  if (x->begun)
    {
      x->g->stats.resumes++;
      cf_log (LOG_NOTICE, CF_EV_RESUME,
              "id=%s target=%s after_event=%" G_GINT64_FORMAT, x->id,
              t->record.id, ours.last_event);
    }
  x->target = cf_target_ref (t);
  t->in_flight++;
  if (x->lane->in_flight++ == 0)
    x->lane->busy_since_ms = cf_gateway_now (x->g);
  x->sends++;
  x->g->stats.sends++;
  g_ptr_array_add (x->tried, cf_target_ref (t));
  x->up = cf_upstream_send (x->g->loop, t, req, x->id, head_only,
                            &upstream_calls, x);
  if (!x->up)
    {
      on_fail (x, CF_FAIL_UNSENT);
      return;
    }
  if (x->route->repeat != CF_REPEAT_NEVER)
    wait_for_target (x, silence_limit (x));
}

/* How long callers wait for a first sign: a stream's for some objectives
 * and some seconds, another request's for its answer in time. */
static gint64
patience_ms (const CfExchange *x)
{
  gint64 ms = x->route->aim_ms;

  if (!x->route->stream)
    return ms;
  ms = MAX (ms * PATIENCE_AIMS, x->route->gap_aim_ms * PATIENCE_GAPS);
  return MAX (ms, PATIENCE_LEAST_MS);
}

static gint64
all_silent_ms (const CfExchange *x)
{
  return (gint64)((double)patience_ms (x) * ALL_SILENT_PART);
}

/* Whether all targets of a service of streams stand still, as the ranks of
 * a group do while one of them is missed.  More work sent there would only
 * be given up by its callers, at targets that may not hear of it. */
static gboolean
all_silent (const CfExchange *x)
{
  const CfLane *l = x->lane;
  gint64 since = MAX (l->last_event_ms, l->busy_since_ms);

  return x->route->stream && l->in_flight > 0
         && cf_gateway_now (x->g) - since > all_silent_ms (x);
}

static guint
waiters_max (const CfExchange *x)
{
  const GPtrArray *a = cf_target_table_service (&x->g->targets, x->service);
  gint64 slots = 0;

  for (guint i = 0; a && i < a->len; i++)
    slots += ((const CfTarget *)a->pdata[i])->record.slots;
  return (guint)MAX (slots * WAITERS_PER_SLOT, 1);
}

/* Waits for room, for as long as that leaves time for the work itself. */
static void
wait_for_room (CfExchange *x)
{
  gint64 now = cf_gateway_now (x->g);
  gint64 limit = cf_wait_limit_ms (patience_ms (x), left_ms (x));
  CfWaiter *evicted;

  x->waiter.since_ms = now;
  x->waiter.in_time_ms
      = x->start_ms + (gint64)((double)x->route->aim_ms * START_PART_OF_AIM);
  if (!cf_wait_queue_add (&x->lane->queue, &x->waiter, waiters_max (x),
                          &evicted))
    {
      if (x->may_have_run)
        give_up (x, "queue-full");
      else
        refuse (x, "queue-full", FULL_BUSY_MS);
      return;
    }
  x->g->stats.queued++;
  cf_log (LOG_INFO, CF_EV_QUEUE,
          "id=%s service=%s waiting=%u in_flight=%u limit_ms=%" G_GINT64_FORMAT,
          x->id, x->service, x->lane->queue.n, x->lane->in_flight, limit);
  wait_for_target (x, limit);
  if (evicted)
    refuse (evicted->owner, "more-urgent-waits", FULL_BUSY_MS);
}

static CfPickWhy
pick (CfExchange *x, CfTarget **t)
{
  CfPickInput in = { 0 };

  if (all_silent (x))
    return CF_PICK_FULL;

  in.service = x->service;
  in.data_centre = x->g->set.data_centre;
  in.tried = x->tried;
  in.now_ms = cf_gateway_now (x->g);
  in.fleet = x->g->fleet_size;
  return cf_balancer_pick (&x->g->targets, &in, t);
}

static void
try_target (CfExchange *x)
{
  CfTarget *t;

  switch (pick (x, &t))
    {
    case CF_PICK_OK:
      send_to (x, t);
      break;
    case CF_PICK_FULL:
      wait_for_room (x);
      break;
    case CF_PICK_NO_TARGET:
      if (x->may_have_run)
        give_up (x, "no-target");
      else
        refuse (x, "no-target", UNKNOWN_BUSY_MS);
      break;
    }
}

/* The waiter at the head of a queue gets the room that came free. */
static gboolean
serve_first (CfWaitQueue *q)
{
  CfWaiter *w = TAILQ_FIRST (&q->waiters);
  CfExchange *x;
  CfTarget *t;

  if (!w)
    return FALSE;
  x = w->owner;
  w = cf_wait_queue_first (q, cf_gateway_now (x->g));
  x = w->owner;
  if (pick (x, &t) != CF_PICK_OK)
    return FALSE;
  cf_histogram_add (&x->g->stats.queue_ms, cf_gateway_now (x->g) - w->since_ms);
  cf_wait_queue_remove (q, w);
  ev_timer_stop (x->g->loop, &x->silence);
  send_to (x, t);
  return TRUE;
}

void
cf_exchange_pump (CfGateway *g)
{
  GHashTableIter it;
  gpointer lane;

  g_hash_table_iter_init (&it, g->lanes);
  while (g_hash_table_iter_next (&it, NULL, &lane))
    while (serve_first (&((CfLane *)lane)->queue))
      ;
}

static void
on_deadline (struct ev_loop *loop, ev_timer *w, int revents)
{
  CfExchange *x = w->data;
  CfCaller *c = x->c;

  if (x->begun)
    {
      finish (x, CF_OUT_TIMEOUT, x->status, "deadline");
      cf_caller_abort (c);
    }
  else if (x->up || x->may_have_run)
    answer_self (x, CF_OUT_TIMEOUT, 504, "deadline", -1);
  else
    answer_self (x, CF_OUT_TIMEOUT, 503, "deadline", 0);
}

/* The target, or the queue, took too long. */
static void
on_silence (struct ev_loop *loop, ev_timer *w, int revents)
{
  CfExchange *x = w->data;

  if (x->waiter.queued)
    {
      if (x->may_have_run)
        give_up (x, "no-room");
      else
        refuse (x, "no-room", FULL_BUSY_MS);
      return;
    }
  /* When all targets are silent, as the ranks of a group are while one of
   * them is missed, another has nothing to say either. */
  if (all_silent (x))
    {
      wait_for_target (x, all_silent_ms (x));
      return;
    }
  /* Without another target to try, the one that is silent may still answer. */
  x->may_have_run = TRUE;
  if (!may_send_again (x))
    return;
  blame (x, x->target, "silent");
  forget_answer (x);
  try_again (x, "silent");
}

/* Finds the organisation of the caller's key; FALSE if it has to have a
 * good one and has not. */
static gboolean
find_org (CfExchange *x)
{
  const char *value = cf_http_reader_header (&x->c->reader, CF_HDR_API_KEY);
  const char *key = value ? cf_platform_api_key (value) : NULL;

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

static gint64
time_allowed (const CfExchange *x)
{
  const char *v = cf_http_reader_header (&x->c->reader, CF_HDR_DEADLINE);
  gint64 ms = v ? g_ascii_strtoll (v, NULL, 10) : 0;

  return ms > 0 ? MIN (ms, x->route->timeout_ms) : x->route->timeout_ms;
}

static void
start_routed (CfExchange *x)
{
  gint64 allowed = time_allowed (x);

  x->service = cf_route_pick (x->route, x->hash);
  x->lane = cf_gateway_lane (x->g, x->service);
  x->waiter.priority = priority_of (x);
  cf_retry_budget_request (&x->lane->budget);
  x->deadline_ms = x->start_ms + allowed;
  ev_timer_set (&x->deadline, (double)allowed / 1000, 0);
  ev_timer_start (x->g->loop, &x->deadline);
  try_target (x);
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
  ev_timer_init (&x->silence, on_silence, 0, 0);
  x->silence.data = x;
  g->n_exchanges++;
  g->stats.requests++;
  c->x = x;
  return x;
}

void
cf_exchange_start (CfGateway *g, CfCaller *c)
{
  CfExchange *x = new_exchange (g, c);
  const char *host = cf_http_reader_header (&c->reader, CF_HDR_HOST);
  const char *target = cf_http_reader_target (&c->reader);

  if (!host)
    {
      answer_self (x, CF_OUT_DENIED, 400, "no-host", -1);
      return;
    }
  if (g->refusing)
    {
      x->deadline_ms += UNKNOWN_BUSY_MS;
      refuse (x, "stopping", STOPPING_BUSY_MS);
      return;
    }
  if (!g->policy)
    {
      x->deadline_ms += UNKNOWN_BUSY_MS * 4;
      refuse (x, "no-configuration", UNKNOWN_BUSY_MS);
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
cf_exchange_abandon (CfExchange *x)
{
  x->c = NULL;
  cf_log (LOG_INFO, CF_EV_CALLER_GONE, "id=%s target=%s", x->id, target_id (x));
  finish (x, CF_OUT_GONE, 0, "caller-left");
}

void
cf_exchange_drained (CfExchange *x)
{
  if (x->up)
    cf_upstream_pause (x->up, FALSE);
}
