#include "exchange-parts.h"

#include "ablation.h"
#include "log.h"

#include <stddef.h>

/** Bounds the length of a log line. */
#define LOGGED_PARTS_MAX 8

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

/* The ids of the parts among @suspects, for the log. */
static GString *
format_parts (const GArray *suspects)
{
  GString *ids = g_string_new (suspects->len == 1 ? "-" : NULL);

  for (guint i = 1; i < suspects->len && i <= LOGGED_PARTS_MAX; i++)
    g_string_append_printf (ids, "%s%s", i > 1 ? "," : "",
                            g_array_index (suspects, CfSuspect, i).part_id);
  return ids;
}

static void
log_lost_connection (CfExchange *x)
{
  char text[CF_REQUEST_DIGEST_TEXT_SIZE];
  const GArray *suspects = cf_exchange_suspects (x);
  GString *parts = format_parts (suspects);

  cf_request_digest_print (&g_array_index (suspects, CfSuspect, 0).digest,
                           text);
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
    cf_exchange_retry_or_end (x, CF_RETRY_CAUSE_LOST, "lost");
}

/* Whether a retry has to wait for the result of the probe.  A request that has
 * produced no event may have crashed its target, and would then crash the next
 * one too, so it is retried only if the probe does not find a crash. */
static gboolean
has_to_await_probe (CfExchange *x)
{
  return x->event_stream.n_events == 0 && cf_exchange_may_retry (x);
}

/* Appends the parts of its prompt that targets have worked on without crashing,
 * or those that none has, to @blamed; later ones, which fewer prompts share,
 * come first. */
static void
append_parts (CfExchange *x, gboolean sound, GArray *blamed)
{
  const GArray *all = cf_exchange_suspects (x);

  for (guint i = all->len - 1; i > 0; i--)
    {
      const CfSuspect *s = &g_array_index (all, CfSuspect, i);

      if (cf_quarantine_is_sound (x->gateway->quarantine, &s->digest,
                                  cf_gateway_now (x->gateway))
          == sound)
        g_array_append_val (blamed, *s);
    }
}

/* What may have crashed its target, the most likely first. */
static GArray *
collect_suspects (CfExchange *x)
{
  GArray *blamed = g_array_new (FALSE, FALSE, sizeof (CfSuspect));

  if (!CF_WITHOUT_PART_QUARANTINE && !x->is_sound)
    {
      append_parts (x, FALSE, blamed);
      append_parts (x, TRUE, blamed);
    }
  g_array_append_vals (blamed, cf_exchange_suspects (x)->data, 1);
  return blamed;
}

gboolean
cf_exchange_probe_lost_target (CfExchange *x)
{
  CfLostRequest lost = { .sent_ms = x->sent_ms };
  gboolean waits;

  log_lost_connection (x);
  if (CF_WITHOUT_QUARANTINE || !may_have_crashed (x))
    return FALSE;
  lost.suspects = collect_suspects (x);
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
