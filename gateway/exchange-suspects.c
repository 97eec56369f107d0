#include "exchange-parts.h"

#include "ablation.h"
#include "log.h"
#include "suspect-turn.h"

/** Back-off for callers of a quarantined request. */
#define QUARANTINE_BACKOFF_MS CF_QUARANTINE_RETENTION_MS
/** How long a target sends events to show that it does not crash. */
#define SOUND_WORK_MS 200
/** Crashes after which requests wait for a turn because of a part that targets
 * have worked on before; a part that most requests share is part of those lost
 * in any crash. */
#define SOUND_PART_TURN_CRASHES 2

GArray *
cf_exchange_suspects (CfExchange *x)
{
  const CfHttpReader *r;

  if (x->suspects)
    return x->suspects;
  r = &x->caller->reader;
  x->suspects = cf_suspects_new (
      x->org, cf_http_reader_request_target (r), x->caller->body->str,
      x->caller->body->len, cf_http_reader_header (r, CF_HDR_PROMPT_PARTS));
  return x->suspects;
}

static const CfSuspect *
get_suspect (CfExchange *x, guint i)
{
  return &g_array_index (cf_exchange_suspects (x), CfSuspect, i);
}

static void
log_quarantine (CfExchange *x, const CfSuspect *s, const char *outcome)
{
  char text[CF_SUSPECT_TEXT_SIZE];

  cf_suspect_print (s, text);
  cf_log (LOG_NOTICE, CF_EV_QUARANTINE, "%s outcome=%s id=%s", text, outcome,
          x->id);
}

void
cf_exchange_mark_sound (CfExchange *x)
{
  CfGateway *g = x->gateway;
  GArray *parts;

  if (x->is_sound || CF_WITHOUT_PART_QUARANTINE)
    return;
  x->is_sound = TRUE;
  parts = cf_suspects_new_parts (
      cf_http_reader_header (&x->caller->reader, CF_HDR_PROMPT_PARTS));
  for (guint i = 0; i < parts->len; i++)
    {
      const CfSuspect *s = &g_array_index (parts, CfSuspect, i);

      if (cf_quarantine_mark_sound (g->quarantine, &s->digest,
                                    cf_gateway_now (g)))
        log_quarantine (x, s, "cleared");
    }
  g_array_unref (parts);
}

void
cf_exchange_note_work (CfExchange *x)
{
  gint64 now = cf_gateway_now (x->gateway);

  if (x->first_work_ms == 0)
    x->first_work_ms = now;
  if (now - x->first_work_ms >= SOUND_WORK_MS)
    cf_exchange_mark_sound (x);
}

void
cf_exchange_clear_suspicion (CfExchange *x)
{
  CfQuarantine *q = x->gateway->quarantine;

  if (cf_quarantine_size (q) > 0
      && cf_quarantine_clear (q, &get_suspect (x, 0)->digest))
    log_quarantine (x, get_suspect (x, 0), "cleared");
}

gboolean
cf_exchange_is_suspected (CfExchange *x)
{
  return x->target_may_have_crashed
         && cf_quarantine_crashes (x->gateway->quarantine,
                                   &get_suspect (x, 0)->digest)
                > 0;
}

/* (nullable): what of it is in quarantine. */
static const CfSuspect *
find_quarantined (CfExchange *x)
{
  CfQuarantine *q = x->gateway->quarantine;

  if (cf_quarantine_size (q) == 0)
    return NULL;
  for (guint i = 0; i < cf_exchange_suspects (x)->len; i++)
    if (cf_quarantine_check (q, &get_suspect (x, i)->digest,
                             cf_gateway_now (x->gateway)))
      return get_suspect (x, i);
  return NULL;
}

gboolean
cf_exchange_refuse_quarantined (CfExchange *x)
{
  const CfSuspect *s = find_quarantined (x);

  if (!s)
    return FALSE;
  x->gateway->stats.quarantine_refusals++;
  log_quarantine (x, s, "refused");
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
  if (find_quarantined (w->owner))
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

/* Whether requests with @s are sent one at a time. */
static gboolean
suspect_needs_turn (const CfGateway *g, const CfSuspect *s)
{
  guint n = cf_quarantine_crashes (g->quarantine, &s->digest);

  if (n > 0 && n < SOUND_PART_TURN_CRASHES && s->part_id[0])
    return !cf_quarantine_is_sound (g->quarantine, &s->digest,
                                    cf_gateway_now (g));
  return n > 0;
}

/* (nullable): what it has to wait for a turn for: what most targets have
 * crashed during, and of several the part that the fewest prompts share.  A
 * stream that has sent events is not held back: what crashes a target does so
 * before that.
 */
static const CfSuspect *
find_suspect_to_wait_for (CfExchange *x)
{
  const CfGateway *g = x->gateway;
  const CfSuspect *worst = NULL;

  if (CF_WITHOUT_SUSPECT_TURNS || cf_quarantine_size (g->quarantine) == 0
      || x->event_stream.n_events > 0)
    return NULL;
  for (guint i = 0; i < cf_exchange_suspects (x)->len; i++)
    {
      const CfSuspect *s = get_suspect (x, i);

      if (suspect_needs_turn (g, s)
          && (!worst
              || cf_quarantine_crashes (g->quarantine, &s->digest)
                     >= cf_quarantine_crashes (g->quarantine, &worst->digest)))
        worst = s;
    }
  return worst;
}

/* Whether a target has another request of this gateway with one of its
 * suspects. */
static gboolean
is_suspect_running (CfExchange *x)
{
  const CfGateway *g = x->gateway;

  for (guint i = 0; i < cf_exchange_suspects (x)->len; i++)
    if (suspect_needs_turn (g, get_suspect (x, i))
        && g_hash_table_contains (g->suspects_running,
                                  &get_suspect (x, i)->digest))
      return TRUE;
  return FALSE;
}

/* Whether others wait that can find out whether the outage is over. */
static gboolean
may_leave_probe_to_others (const CfExchange *x)
{
  const CfServiceState *s = x->service_state;

  return s->outage.since_ms && (s->queue.n > 0 || s->in_flight > 0);
}

/* How long it has to wait for a turn in which no other request with @s runs
 * here. */
static gint64
turn_wait_ms (CfExchange *x, const CfSuspect *s)
{
  CfGateway *g = x->gateway;
  gint64 since_ms = cf_gateway_now (g)
                    - cf_quarantine_first_crash_ms (g->quarantine, &s->digest);
  gint64 wait_ms
      = cf_suspect_turn_wait_ms (since_ms, &s->digest, g->fleet_position);

  if (wait_ms == 0 && (is_suspect_running (x) || may_leave_probe_to_others (x)))
    return cf_suspect_turn_cycle_ms (g->fleet_position);
  return wait_ms;
}

static void
on_turn (struct ev_loop *loop, ev_timer *t, int revents)
{
  cf_exchange_send_or_queue (t->data);
}

static void
wait_for_turn (CfExchange *x, const CfSuspect *s, gint64 wait_ms)
{
  struct ev_loop *loop = x->gateway->loop;

  cf_wait_queue_remove (&x->service_state->queue, &x->waiter);
  ev_timer_stop (loop, &x->silence_timer);
  ev_timer_stop (loop, &x->turn_timer);
  ev_timer_init (&x->turn_timer, on_turn, (double)wait_ms / 1000, 0);
  x->turn_timer.data = x;
  ev_timer_start (loop, &x->turn_timer);
  log_quarantine (x, s, "waits");
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
  const CfSuspect *s = find_suspect_to_wait_for (x);
  gint64 wait_ms = s ? turn_wait_ms (x, s) : 0;

  if (wait_ms == 0)
    return FALSE;
  if (x->turn_limit_ms == 0)
    x->turn_limit_ms = turn_limit_ms (x);
  if (cf_gateway_now (x->gateway) + wait_ms <= x->turn_limit_ms)
    wait_for_turn (x, s, wait_ms);
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

  if (!find_suspect_to_wait_for (x))
    return;
  for (guint i = 0; i < cf_exchange_suspects (x)->len; i++)
    {
      const CfRequestDigest *d = &get_suspect (x, i)->digest;

      if (suspect_needs_turn (g, get_suspect (x, i))
          && g_hash_table_add (g->suspects_running, g_memdup2 (d, sizeof *d)))
        x->suspects_run |= G_GUINT64_CONSTANT (1) << i;
    }
}

void
cf_exchange_end_suspect_run (CfExchange *x)
{
  for (guint i = 0; x->suspects_run >> i; i++)
    if (x->suspects_run >> i & 1)
      g_hash_table_remove (x->gateway->suspects_running,
                           &get_suspect (x, i)->digest);
  x->suspects_run = 0;
}
