#include "exchange-parts.h"

#include "ablation.h"
#include "log.h"

#include <stddef.h>

/** When callers of a quarantined request may come back. */
#define QUARANTINE_BUSY_MS CF_QUARANTINE_KEEP_MS

static const CfRequestDigest *
digest_of (CfExchange *x)
{
  if (!x->has_digest)
    x->digest = cf_request_digest (
        x->org, cf_http_reader_request_target (&x->c->reader), x->c->body->str,
        x->c->body->len);
  x->has_digest = TRUE;
  return &x->digest;
}

/* How long its target had shown no sign of work when the connection ended. */
static gint64
quiet_ms (const CfExchange *x)
{
  return cf_gateway_now (x->g) - MAX (x->sent_ms, x->target->last_sign_ms);
}

static gboolean
may_have_crashed (const CfExchange *x)
{
  return cf_quarantine_may_be_crash (quiet_ms (x),
                                     x->route->stream ? x->g->set.stall_ms : 0);
}

static void
log_lost (CfExchange *x)
{
  char text[CF_REQUEST_DIGEST_TEXT];

  cf_request_digest_print (digest_of (x), text);
  cf_log (LOG_NOTICE, CF_EV_TARGET_FAIL,
          "id=%s target=%s outcome=lost request=%s events=%" G_GUINT64_FORMAT
          " quiet_ms=%" G_GINT64_FORMAT,
          x->id, x->target->record.id, text,
          x->events.n_events - x->events_at_send, quiet_ms (x));
}

static void
on_verdict (CfCrashWaiter *w, gboolean crashed)
{
  CfExchange *x = (CfExchange *)((char *)w - offsetof (CfExchange, verdict));

  if (crashed)
    cf_exchange_give_up (x, "target-crashed");
  else
    cf_exchange_try_again (x, "lost");
}

/* One that has shown no event may be what its target crashed of, and would
 * crash the next one: it is sent there only if its target lives. */
static gboolean
awaits_verdict (CfExchange *x)
{
  return x->events.n_events == 0 && cf_exchange_may_send_again (x);
}

gboolean
cf_exchange_note_lost (CfExchange *x)
{
  CfLostRequest l = { .sent_ms = x->sent_ms };
  gboolean waits;

  log_lost (x);
  if (CF_WITHOUT_QUARANTINE || !may_have_crashed (x))
    return FALSE;
  l.digest = *digest_of (x);
  l.lost_ms = cf_gateway_now (x->g);
  x->was_lost_in_work = TRUE;
  x->verdict.done = on_verdict;
  waits = awaits_verdict (x);
  if (!cf_crash_probe_start (x->g, x->target, &l, waits ? &x->verdict : NULL))
    return FALSE;
  if (waits)
    cf_exchange_release_target (x, TRUE);
  return waits;
}

static void
log_quarantine (CfExchange *x, const char *outcome)
{
  char text[CF_REQUEST_DIGEST_TEXT];

  cf_request_digest_print (digest_of (x), text);
  cf_log (LOG_NOTICE, CF_EV_QUARANTINE, "request=%s outcome=%s id=%s", text,
          outcome, x->id);
}

void
cf_exchange_note_answered (CfExchange *x)
{
  if (cf_quarantine_size (x->g->quarantine) == 0)
    return;
  if (cf_quarantine_clear (x->g->quarantine, digest_of (x)))
    log_quarantine (x, "cleared");
}

gboolean
cf_exchange_is_suspected (CfExchange *x)
{
  return x->was_lost_in_work
         && cf_quarantine_crashes (x->g->quarantine, digest_of (x)) > 0;
}

static gboolean
is_quarantined (CfExchange *x)
{
  CfQuarantine *q = x->g->quarantine;

  return cf_quarantine_size (q) > 0
         && cf_quarantine_check (q, digest_of (x), cf_gateway_now (x->g));
}

gboolean
cf_exchange_refuse_quarantined (CfExchange *x)
{
  if (!is_quarantined (x))
    return FALSE;
  x->g->stats.quarantine_refusals++;
  log_quarantine (x, "refused");
  if (x->may_have_run)
    cf_exchange_give_up (x, "quarantined");
  else
    cf_exchange_refuse (x, "quarantined", QUARANTINE_BUSY_MS);
  return TRUE;
}

static CfExchange *
first_quarantined (const CfServiceState *l)
{
  CfWaiter *w;

  TAILQ_FOREACH (w, &l->queue.waiters, link)
  if (is_quarantined (w->owner))
    return w->owner;
  return NULL;
}

void
cf_exchange_refuse_all_quarantined (CfGateway *g)
{
  GHashTableIter it;
  gpointer lane;
  CfExchange *x;

  g_hash_table_iter_init (&it, g->service_states);
  while (g_hash_table_iter_next (&it, NULL, &lane))
    while ((x = first_quarantined (lane)))
      cf_exchange_refuse_quarantined (x);
}
