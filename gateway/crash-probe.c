#include "crash-probe.h"

#include "log.h"
#include "socket.h"

#include <errno.h>
#include <string.h>
#include <unistd.h>

/** How long a lost request waits for the result: a few network round trips. */
#define WAITER_TIMEOUT_S 0.05
/** How long the probe goes on after that.  Both times together allow for a lost
 * SYN packet, which is sent again after a second; crashed targets are down for
 * longer. */
#define REMAINING_TIMEOUT_S 1.45

struct CfCrashProbe
{
  TAILQ_ENTRY (CfCrashProbe) link; /* in the gateway's list */
  CfGateway *g;
  CfTarget *target;
  GArray *requests; /* of #CfLostRequest */
  TAILQ_HEAD (, CfCrashWaiter) waiters;
  ev_io io;
  ev_timer timer;
};

static void
notify_waiters (CfCrashProbe *p, gboolean crashed)
{
  CfCrashWaiter *w;

  while ((w = TAILQ_FIRST (&p->waiters)))
    {
      cf_crash_waiter_cancel (w);
      w->done (w, crashed);
    }
}

void
cf_crash_waiter_cancel (CfCrashWaiter *w)
{
  if (w->probe)
    TAILQ_REMOVE (&w->probe->waiters, w, link);
  w->probe = NULL;
}

void
cf_lost_request_clear (CfLostRequest *l)
{
  g_clear_pointer (&l->suspects, g_array_unref);
}

static void
free_probe (CfCrashProbe *p)
{
  TAILQ_REMOVE (&p->g->probes, p, link);
  ev_timer_stop (p->g->loop, &p->timer);
  ev_io_stop (p->g->loop, &p->io);
  close (p->io.fd);
  cf_target_unref (p->target);
  g_array_unref (p->requests);
  g_free (p);
}

static void
log_quarantined (const CfCrashProbe *p, const CfSuspect *s)
{
  char text[CF_SUSPECT_TEXT_SIZE];
  char digest[CF_REQUEST_DIGEST_TEXT_SIZE];

  cf_suspect_print (s, text);
  cf_request_digest_print (&s->digest, digest);
  cf_log (LOG_WARNING, CF_EV_QUARANTINE,
          "%s outcome=quarantined digest=%s crashes=%u target=%s", text, digest,
          cf_quarantine_crashes (p->g->quarantine, &s->digest),
          p->target->record.id);
}

static void
add_crash (const CfCrashProbe *p, const CfLostRequest *l)
{
  const CfTargetRecord *r = &p->target->record;
  CfCrash c = { .sent_ms = l->sent_ms, .lost_ms = l->lost_ms };

  c.target = g_strdup_printf ("%s/%" G_GINT64_FORMAT, r->id, r->incarnation);
  for (guint i = 0; i < l->suspects->len; i++)
    {
      const CfSuspect *s = &g_array_index (l->suspects, CfSuspect, i);

      if (cf_quarantine_merge (p->g->quarantine, &s->digest, &c, 1, l->lost_ms))
        log_quarantined (p, s);
    }
  g_free (c.target);
}

/* Whether one of the suspects is quarantined; its request was sent before that.
 */
static gboolean
has_known_cause (const CfCrashProbe *p)
{
  for (guint i = 0; i < p->requests->len; i++)
    {
      const GArray *suspects
          = g_array_index (p->requests, CfLostRequest, i).suspects;

      for (guint k = 0; k < suspects->len; k++)
        if (cf_quarantine_contains (
                p->g->quarantine,
                &g_array_index (suspects, CfSuspect, k).digest))
          return TRUE;
    }
  return FALSE;
}

static void
finish_probe (CfCrashProbe *p, int err)
{
  cf_log (LOG_NOTICE, CF_EV_TARGET_FAIL, "target=%s outcome=%s requests=%u",
          p->target->record.id,
          err == 0              ? "alive"
          : err == ECONNREFUSED ? "crashed"
                                : "unreachable",
          p->requests->len);
  if (err == ECONNREFUSED && !has_known_cause (p))
    for (guint i = 0; i < p->requests->len; i++)
      add_crash (p, &g_array_index (p->requests, CfLostRequest, i));
  notify_waiters (p, err == ECONNREFUSED);
  free_probe (p);
}

static void
on_io (struct ev_loop *loop, ev_io *w, int revents)
{
  finish_probe (w->data, cf_socket_error (w->fd));
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int revents)
{
  CfCrashProbe *p = w->data;

  if (w->repeat > 0)
    {
      finish_probe (p, ETIMEDOUT);
      return;
    }
  ev_timer_set (w, REMAINING_TIMEOUT_S, REMAINING_TIMEOUT_S);
  ev_timer_start (loop, w);
  notify_waiters (p, FALSE);
}

static CfCrashProbe *
find_probe (const CfGateway *g, const CfTarget *t)
{
  CfCrashProbe *p;

  TAILQ_FOREACH (p, &g->probes, link)
  if (p->target == t)
    return p;
  return NULL;
}

static void
add_request (CfCrashProbe *p, CfLostRequest *l, CfCrashWaiter *w)
{
  g_array_append_val (p->requests, *l);
  l->suspects = NULL;
  if (!w)
    return;
  w->probe = p;
  TAILQ_INSERT_TAIL (&p->waiters, w, link);
}

/* Returns: (nullable): %NULL if no connection attempt could be started. */
static CfCrashProbe *
new_probe (CfGateway *g, CfTarget *t)
{
  int fd = cf_socket_connect (&t->addr);
  CfCrashProbe *p;

  if (fd < 0)
    {
      cf_log (LOG_WARNING, CF_EV_TARGET_FAIL,
              "target=%s outcome=not-probed error=\"%s\"", t->record.id,
              strerror (errno));
      return NULL;
    }
  p = g_new0 (CfCrashProbe, 1);
  p->g = g;
  p->target = cf_target_ref (t);
  p->requests = g_array_new (FALSE, FALSE, sizeof (CfLostRequest));
  g_array_set_clear_func (p->requests, (GDestroyNotify)cf_lost_request_clear);
  TAILQ_INIT (&p->waiters);
  TAILQ_INSERT_TAIL (&g->probes, p, link);
  ev_timer_init (&p->timer, on_timer, WAITER_TIMEOUT_S, 0);
  p->timer.data = p;
  ev_timer_start (g->loop, &p->timer);
  ev_io_init (&p->io, on_io, fd, EV_WRITE);
  p->io.data = p;
  ev_io_start (g->loop, &p->io);
  return p;
}

gboolean
cf_crash_probe_start (CfGateway *g, CfTarget *t, CfLostRequest *l,
                      CfCrashWaiter *w)
{
  CfCrashProbe *p = find_probe (g, t);

  if (!p)
    p = new_probe (g, t);
  if (!p)
    {
      cf_lost_request_clear (l);
      return FALSE;
    }
  add_request (p, l, w);
  return TRUE;
}

void
cf_crash_probe_stop_all (CfGateway *g)
{
  while (!TAILQ_EMPTY (&g->probes))
    free_probe (TAILQ_FIRST (&g->probes));
}
