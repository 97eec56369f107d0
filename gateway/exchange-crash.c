#include "exchange-parts.h"

#include "ablation.h"
#include "log.h"
#include "suspect-turn.h"

#include <stddef.h>

/** Back-off for callers of a quarantined request. */
#define QUARANTINE_BACKOFF_MS CF_QUARANTINE_RETENTION_MS
/** Bounds the length of a log line. */
#define LOGGED_PARTS_MAX 8

static const CfRequestDigest *
request_digest (CfExchange *x)
{
  if (!x->has_digest)
    x->digest = cf_request_digest (
        x->org, cf_http_reader_request_target (&x->caller->reader),
        x->caller->body->str, x->caller->body->len);
  x->has_digest = TRUE;
  return &x->digest;
}

/* How long its target had sent nothing when the connection ended. */
static gint64
silent_ms (const CfExchange *x)
{
  return cf_gateway_now (x->gateway)
         - MAX (x->sent_ms, x->target->last_progress_ms);
}

static gboolean
may_have_crashed (const CfExchange *x)
{
  return cf_quarantine_may_be_crash (
      silent_ms (x), x->route->stream ? x->gateway->settings.stall_ms : 0);
}

/* The ids of the shared parts of its prompt, for the log. */
static GString *
format_shared_parts (const CfExchange *x)
{
  CfPromptPart parts[LOGGED_PARTS_MAX];
  guint n = cf_platform_parse_shared_parts (
      cf_http_reader_header (&x->caller->reader, CF_HDR_PROMPT_PARTS), parts,
      LOGGED_PARTS_MAX);
  GString *ids = g_string_new (n == 0 ? "-" : parts[0].id);

  for (guint i = 1; i < n; i++)
    g_string_append_printf (ids, ",%s", parts[i].id);
  return ids;
}

static void
log_lost_connection (CfExchange *x)
{
  char text[CF_REQUEST_DIGEST_TEXT_SIZE];
  GString *parts = format_shared_parts (x);

  cf_request_digest_print (request_digest (x), text);
  cf_log (LOG_NOTICE, CF_EV_TARGET_FAIL,
          "id=%s target=%s outcome=lost request=%s parts=%s "
          "events=%" G_GUINT64_FORMAT " quiet_ms=%" G_GINT64_FORMAT
          " framing=%s partial_bytes=%" G_GSIZE_FORMAT,
          x->id, x->target->record.id, text, parts->str,
          x->event_stream.n_events - x->events_at_send, silent_ms (x),
          cf_answer_framing_name (x->framing), x->partial_bytes);
  g_string_free (parts, TRUE);
}

static void
on_probe_result (CfCrashWaiter *w, gboolean crashed)
{
  CfExchange *x
      = (CfExchange *)((char *)w - offsetof (CfExchange, crash_waiter));

  if (crashed)
    cf_exchange_fail (x, "target-crashed");
  else
    cf_exchange_retry_or_end (x, "lost");
}

/* Whether a retry has to wait for the result of the probe.  A request that has
 * produced no event may have crashed its target, and would then crash the next
 * one too, so it is retried only if the probe does not find a crash. */
static gboolean
has_to_await_probe (CfExchange *x)
{
  return x->event_stream.n_events == 0 && cf_exchange_may_retry (x);
}

gboolean
cf_exchange_probe_lost_target (CfExchange *x)
{
  CfLostRequest lost = { .sent_ms = x->sent_ms };
  gboolean waits;

  log_lost_connection (x);
  if (CF_WITHOUT_QUARANTINE || !may_have_crashed (x))
    return FALSE;
  lost.digest = *request_digest (x);
  lost.lost_ms = cf_gateway_now (x->gateway);
  x->target_may_have_crashed = TRUE;
  x->crash_waiter.done = on_probe_result;
  waits = has_to_await_probe (x);
  if (!cf_crash_probe_start (x->gateway, x->target, &lost,
                             waits ? &x->crash_waiter : NULL))
    return FALSE;
  if (waits)
    cf_exchange_release_target (x, TRUE);
  return waits;
}

static void
log_quarantine (CfExchange *x, const char *outcome)
{
  char text[CF_REQUEST_DIGEST_TEXT_SIZE];

  cf_request_digest_print (request_digest (x), text);
  cf_log (LOG_NOTICE, CF_EV_QUARANTINE, "request=%s outcome=%s id=%s", text,
          outcome, x->id);
}

void
cf_exchange_clear_suspicion (CfExchange *x)
{
  if (cf_quarantine_size (x->gateway->quarantine) == 0)
    return;
  if (cf_quarantine_clear (x->gateway->quarantine, request_digest (x)))
    log_quarantine (x, "cleared");
}

gboolean
cf_exchange_is_suspected (CfExchange *x)
{
  return x->target_may_have_crashed
         && cf_quarantine_crashes (x->gateway->quarantine, request_digest (x))
                > 0;
}

static gboolean
is_quarantined (CfExchange *x)
{
  CfQuarantine *q = x->gateway->quarantine;

  return cf_quarantine_size (q) > 0
         && cf_quarantine_check (q, request_digest (x),
                                 cf_gateway_now (x->gateway));
}

gboolean
cf_exchange_refuse_quarantined (CfExchange *x)
{
  if (!is_quarantined (x))
    return FALSE;
  x->gateway->stats.quarantine_refusals++;
  log_quarantine (x, "refused");
  if (x->may_have_run)
    cf_exchange_fail (x, "quarantined");
  else
    cf_exchange_refuse (x, "quarantined", QUARANTINE_BACKOFF_MS);
  return TRUE;
}

static CfExchange *
first_quarantined (const CfServiceState *s)
{
  CfWaiter *w;

  TAILQ_FOREACH (w, &s->queue.waiters, link)
  if (is_quarantined (w->owner))
    return w->owner;
  return NULL;
}

void
cf_exchange_refuse_all_quarantined (CfGateway *g)
{
  GHashTableIter it;
  gpointer service_state;
  CfExchange *x;

  g_hash_table_iter_init (&it, g->service_states);
  while (g_hash_table_iter_next (&it, NULL, &service_state))
    while ((x = first_quarantined (service_state)))
      cf_exchange_refuse_quarantined (x);
}

/* Whether a target has crashed during it.  A stream that has sent events is not
 * held back: what crashes a target does so before that. */
static gboolean
needs_turn (CfExchange *x)
{
  return !CF_WITHOUT_SUSPECT_TURNS && x->event_stream.n_events == 0
         && cf_quarantine_crashes (x->gateway->quarantine, request_digest (x))
                > 0;
}

/* How long it has to wait for a turn in which no other copy of it runs here. */
static gint64
turn_wait_ms (CfExchange *x)
{
  CfGateway *g = x->gateway;
  gint64 since_ms
      = cf_gateway_now (g)
        - cf_quarantine_first_crash_ms (g->quarantine, request_digest (x));
  gint64 wait_ms = cf_suspect_turn_wait_ms (since_ms, request_digest (x),
                                            g->fleet_position);

  if (wait_ms == 0 && g_hash_table_contains (g->suspects_running, &x->digest))
    return cf_suspect_turn_cycle_ms (g->fleet_position);
  return wait_ms;
}

static void
on_turn (struct ev_loop *loop, ev_timer *t, int revents)
{
  cf_exchange_send_or_queue (t->data);
}

static void
wait_for_turn (CfExchange *x, gint64 wait_ms)
{
  struct ev_loop *loop = x->gateway->loop;

  cf_wait_queue_remove (&x->service_state->queue, &x->waiter);
  ev_timer_stop (loop, &x->silence_timer);
  ev_timer_stop (loop, &x->turn_timer);
  ev_timer_init (&x->turn_timer, on_turn, (double)wait_ms / 1000, 0);
  x->turn_timer.data = x;
  ev_timer_start (loop, &x->turn_timer);
  log_quarantine (x, "waits");
}

/* Until when it may wait for a turn: as long as in the queue. */
static gint64
turn_limit_ms (const CfExchange *x)
{
  gint64 ms = cf_wait_queue_max_wait_ms (cf_exchange_caller_wait_ms (x),
                                         cf_exchange_remaining_ms (x));

  return cf_gateway_now (x->gateway)
         + MIN (ms, cf_exchange_caller_remaining_ms (x));
}

gboolean
cf_exchange_await_turn (CfExchange *x)
{
  gint64 wait_ms;

  if (cf_quarantine_size (x->gateway->quarantine) == 0 || !needs_turn (x))
    return FALSE;
  wait_ms = turn_wait_ms (x);
  if (wait_ms == 0)
    return FALSE;
  if (x->turn_limit_ms == 0)
    x->turn_limit_ms = turn_limit_ms (x);
  if (cf_gateway_now (x->gateway) + wait_ms <= x->turn_limit_ms)
    wait_for_turn (x, wait_ms);
  else if (x->may_have_run)
    cf_exchange_fail (x, "suspected");
  else
    cf_exchange_refuse (x, "suspected", wait_ms);
  return TRUE;
}

void
cf_exchange_begin_suspect_run (CfExchange *x)
{
  CfGateway *g = x->gateway;

  if (cf_quarantine_size (g->quarantine) == 0 || !needs_turn (x))
    return;
  x->is_suspect_run = TRUE;
  g_hash_table_add (g->suspects_running,
                    g_memdup2 (&x->digest, sizeof x->digest));
}

void
cf_exchange_end_suspect_run (CfExchange *x)
{
  if (!x->is_suspect_run)
    return;
  x->is_suspect_run = FALSE;
  g_hash_table_remove (x->gateway->suspects_running, &x->digest);
}
