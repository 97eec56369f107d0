#include "exchange-parts.h"

#include "ablation.h"
#include "balancer.h"
#include "forward.h"
#include "log.h"

/** Requests that may wait for room, for each slot of their service: with
 * more the last would wait past its limit even at full speed. */
#define WAITERS_PER_SLOT 1
/** Time left under which sending is pointless: two network ways and a step
 * of a target. */
#define LEAST_LEFT_MS 10

gint64
cf_exchange_busy_ms (const CfExchange *x)
{
  const CfLane *l = x->lane;

  if (cf_outage_is_long (&l->outage, cf_gateway_now (x->g)))
    return cf_wait_busy_ms (CF_NO_ROOM_LONG_OUTAGE);
  if (l->outage.since_ms != 0)
    return cf_wait_busy_ms (CF_NO_ROOM_OUTAGE);
  return cf_wait_busy_ms (cf_concurrency_limit_get (&l->limit) != 0
                              ? CF_NO_ROOM_OVERLOAD
                              : CF_NO_ROOM_FULL);
}

gboolean
cf_exchange_may_send_again (CfExchange *x)
{
  if (x->may_have_run && x->route->repeat == CF_REPEAT_NEVER)
    return FALSE;
  if (cf_exchange_is_suspected (x))
    return FALSE;
  if (CF_WITHOUT_RETRIES || (CF_WITHOUT_RESUME && x->begun))
    return FALSE;
  return x->sends < x->route->max_attempts
         && cf_exchange_left_ms (x) > LEAST_LEFT_MS
         && cf_exchange_stop_slack_ms (x) > 0;
}

/* Looked at before each sending; %TRUE if @x is gone. */
static gboolean
is_answered_instead (CfExchange *x)
{
  return cf_exchange_refuse_quarantined (x) || cf_exchange_stops_here (x);
}

static void
send_to (CfExchange *x, CfTarget *t)
{
  CfForwardHeaders ours = { 0 };
  gboolean head_only = x->c->reader.parser.method == HTTP_HEAD;
  GString *req;

  ours.deadline_ms = cf_exchange_left_ms (x);
  ours.expected_target = t->record.id;
  ours.org = x->org;
  ours.last_event_id = x->events.last_id;
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
              t->record.id, ours.last_event_id);
    }
  cf_outage_sent (&x->lane->outage, cf_gateway_now (x->g));
  x->target = cf_target_ref (t);
  cf_target_work_begun (t, cf_gateway_now (x->g));
  cf_rate_limit_sent (&t->limit);
  if (x->lane->in_flight++ == 0)
    x->lane->busy_since_ms = cf_gateway_now (x->g);
  x->sends++;
  x->events_at_send = x->events.n_events;
  x->sent_ms = cf_gateway_now (x->g);
  if (x->route->stream)
    x->expected_first_ms
        = cf_pace_first_ms (&x->lane->pace, cf_exchange_engine (x), &x->size);
  x->g->stats.sends++;
  g_ptr_array_add (x->tried, cf_target_ref (t));
  x->up = cf_upstream_send (x->g->loop, t, req, x->id, head_only,
                            &cf_exchange_upstream_calls, x);
  if (!x->up)
    {
      cf_exchange_on_fail (x, CF_FAIL_UNSENT);
      return;
    }
  if (x->route->repeat != CF_REPEAT_NEVER)
    cf_exchange_wait_for_target (x, cf_exchange_first_look_ms (x));
}

static guint
waiters_max (const CfExchange *x)
{
  gint64 slots = cf_target_table_slots (&x->g->targets, x->service);

  return (guint)MAX (slots * WAITERS_PER_SLOT, 1);
}

/* When it has to be sent, at the latest, to meet its objective. */
static gint64
start_by_ms (const CfExchange *x)
{
  gint64 first = 0;

  if (x->route->stream)
    first = cf_pace_first_ms (&x->lane->pace, cf_exchange_engine (x), &x->size);
  return cf_waiter_in_time_ms (x->start_ms, x->route->aim_ms, first);
}

/* When it has to be sent, at the latest, for its answer to be whole before
 * its deadline, if it is of usual length. */
static gint64
whole_by_ms (const CfExchange *x)
{
  if (!x->route->stream)
    return x->deadline_ms;
  return x->deadline_ms
         - cf_pace_usual_whole_ms (&x->lane->pace, cf_exchange_engine (x),
                                   &x->size);
}

/* Waits for room, for as long as that leaves time for the work itself. */
static void
wait_for_room (CfExchange *x)
{
  gint64 now = cf_gateway_now (x->g);
  gint64 limit
      = cf_wait_limit_ms (cf_exchange_patience_ms (x), cf_exchange_left_ms (x));
  CfWaiter *evicted;

  x->waiter.since_ms = now;
  x->waiter.in_time_ms = start_by_ms (x);
  x->waiter.whole_by_ms = whole_by_ms (x);
  if (!cf_wait_queue_add (&x->lane->queue, &x->waiter, waiters_max (x),
                          &evicted))
    {
      if (x->may_have_run)
        cf_exchange_give_up (x, "queue-full");
      else
        cf_exchange_refuse (x, "queue-full", cf_exchange_busy_ms (x));
      return;
    }
  x->g->stats.queued++;
  cf_log (LOG_INFO, CF_EV_QUEUE,
          "id=%s service=%s waiting=%u in_flight=%u limit_ms=%" G_GINT64_FORMAT,
          x->id, x->service, x->lane->queue.n, x->lane->in_flight, limit);
  cf_exchange_wait_for_target (x, limit);
  if (evicted)
    cf_exchange_refuse (evicted->owner, "more-urgent-waits",
                        cf_exchange_busy_ms (x));
}

/* The targets that are left take less than comes: waits for its turn if that
 * comes in time, else is told at once when to come back. */
static void
wait_for_rate (CfExchange *x)
{
  double per_s
      = cf_balancer_limited_per_s (&x->g->targets, x->service, x->g->place);
  double wait_ms = (x->lane->queue.n + 1) * 1000.0 / per_s;
  gint64 limit
      = cf_wait_limit_ms (cf_exchange_patience_ms (x), cf_exchange_left_ms (x));

  if (per_s > 0 && wait_ms <= (double)limit)
    wait_for_room (x);
  else if (x->may_have_run)
    cf_exchange_give_up (x, "rate-limited");
  else
    cf_exchange_refuse (x, "rate-limited", cf_exchange_busy_ms (x));
}

/* Whether it may be the request that is sent to see: its last attempt is
 * kept until it cannot wait any more. */
static gboolean
may_probe (const CfExchange *x)
{
  return x->last_chance || x->sends + 1 < x->route->max_attempts;
}

static gboolean
is_held (const CfExchange *x)
{
  const CfOutage *o = &x->lane->outage;

  /* More work sent there would only be given up by its callers, at targets
   * that may not hear of it. */
  if (!CF_WITHOUT_STALL_CHECK
      && cf_exchange_all_quiet (x, cf_pace_stall_ms (&x->lane->pace)))
    return TRUE;
  if (CF_WITHOUT_OUTAGE_WAIT)
    return FALSE;
  return o->since_ms
         && (cf_outage_holds (o, cf_gateway_now (x->g)) || !may_probe (x));
}

static CfPickWhy
pick (CfExchange *x, CfTarget **t)
{
  const CfService *sv = cf_policy_service (x->policy, x->service);
  CfPickInput in = { 0 };

  if (is_held (x))
    return CF_PICK_FULL;

  in.service = x->service;
  in.data_centre = x->g->set.data_centre;
  in.tried = x->tried;
  in.now_ms = cf_gateway_now (x->g);
  in.fleet = x->g->fleet_size;
  in.place = x->g->place;
  in.in_flight = x->lane->in_flight;
  in.limit = cf_concurrency_limit_get (&x->lane->limit);
  in.max_conns = sv ? sv->max_conns : 0;
  /* Just after an outage nobody is in time, whom room could be left for. */
  in.yields
      = !cf_outage_is_recent (&x->lane->outage, in.now_ms)
        && cf_waiter_yields (&x->waiter, in.now_ms, x->lane->pace.pause_ms,
                             x->route->gap_aim_ms);
  if (x->route->stream)
    {
      in.stall_ms = cf_pace_stall_ms (&x->lane->pace);
      in.ring_start = &x->g->ring_start;
    }
  return cf_balancer_pick (&x->g->targets, &in, t);
}

/* Whether its service has been without work for so long that it would only
 * wait to be refused. */
static gboolean
is_hopeless_to_wait (const CfExchange *x)
{
  return !x->may_have_run
         && cf_outage_is_long (&x->lane->outage, cf_gateway_now (x->g));
}

void
cf_exchange_try_target (CfExchange *x)
{
  CfTarget *t;

  if (is_answered_instead (x))
    return;
  switch (pick (x, &t))
    {
    case CF_PICK_OK:
      send_to (x, t);
      break;
    case CF_PICK_FULL:
      if (is_hopeless_to_wait (x))
        cf_exchange_refuse (x, "outage", cf_exchange_busy_ms (x));
      else
        wait_for_room (x);
      break;
    case CF_PICK_LIMITED:
      wait_for_rate (x);
      break;
    case CF_PICK_NO_TARGET:
      if (x->may_have_run)
        cf_exchange_give_up (x, "no-target");
      else
        cf_exchange_refuse (x, "no-target", UNKNOWN_BUSY_MS);
      break;
    }
}

/* This try is over without a good answer: another target, or the end. */
void
cf_exchange_try_again (CfExchange *x, const char *reason)
{
  gboolean again = cf_exchange_may_send_again (x);
  gboolean in_budget = again && cf_retry_budget_take (&x->lane->budget);

  cf_log (LOG_NOTICE, CF_EV_RETRY,
          "id=%s reason=%s target=%s again=%s budget=%s ran=%s sends=%u "
          "left_ms=%" G_GINT64_FORMAT,
          x->id, reason, cf_exchange_target_id (x), again ? "yes" : "no",
          !again      ? "not-asked"
          : in_budget ? "ok"
                      : "none",
          x->may_have_run ? "maybe" : "no", x->sends, cf_exchange_left_ms (x));
  cf_exchange_release_target (x, TRUE);
  if (in_budget)
    {
      x->g->stats.retries++;
      cf_exchange_try_target (x);
    }
  else if (x->may_have_run)
    cf_exchange_give_up (x, reason);
  else
    cf_exchange_refuse (x, reason, cf_exchange_busy_ms (x));
}

static CfWaiter *
first_probe (CfLane *l)
{
  CfWaiter *w;

  TAILQ_FOREACH (w, &l->queue.waiters, link)
  if (may_probe (w->owner))
    return w;
  return NULL;
}

/* The waiter at the head of a queue gets the room that came free. */
static gboolean
serve_first (CfGateway *g, CfLane *l)
{
  CfWaitQueue *q = &l->queue;
  CfWaiter *w
      = l->outage.since_ms
            ? first_probe (l)
            : cf_wait_queue_first (q, cf_gateway_now (g),
                                   cf_concurrency_limit_get (&l->limit));
  CfExchange *x;
  CfTarget *t;

  if (!w)
    return FALSE;
  x = w->owner;
  if (pick (x, &t) != CF_PICK_OK)
    return FALSE;
  if (is_answered_instead (x))
    return TRUE;
  cf_histogram_add (&x->g->stats.queue_ms, cf_gateway_now (x->g) - w->since_ms);
  g->stats.begun_late += cf_gateway_now (g) > w->in_time_ms;
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

  if (g->ending)
    return;
  g_hash_table_iter_init (&it, g->lanes);
  while (g_hash_table_iter_next (&it, NULL, &lane))
    while (serve_first (g, lane))
      ;
}

/* It waited for as long as it could; an attempt kept back in an outage is
 * worth a try now. */
void
cf_exchange_waited_too_long (CfExchange *x)
{
  gboolean outage = x->lane->outage.since_ms != 0;
  CfTarget *t;

  if (is_answered_instead (x))
    return;
  x->last_chance = outage;
  if (outage && pick (x, &t) == CF_PICK_OK)
    {
      cf_wait_queue_remove (&x->lane->queue, &x->waiter);
      send_to (x, t);
    }
  else if (x->may_have_run)
    cf_exchange_give_up (x, "no-room");
  else
    cf_exchange_refuse (x, outage ? "outage" : "no-room",
                        cf_exchange_busy_ms (x));
}
