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
add_crash (const CfCrashProbe *p, const CfLostRequest *l)
{
  CfQuarantine *q = p->g->quarantine;
  const CfTargetRecord *r = &p->target->record;
  CfCrash c = { .sent_ms = l->sent_ms, .lost_ms = l->lost_ms };

  c.target = g_strdup_printf ("%s/%" G_GINT64_FORMAT, r->id, r->incarnation);
  if (cf_quarantine_merge (q, &l->digest, &c, 1, l->lost_ms))
    {
      char text[CF_REQUEST_DIGEST_TEXT_SIZE];

      cf_request_digest_print (&l->digest, text);
      cf_log (LOG_WARNING, CF_EV_QUARANTINE,
              "request=%s outcome=quarantined crashes=%u target=%s", text,
              cf_quarantine_crashes (q, &l->digest), r->id);
    }
  g_free (c.target);
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
  if (err == ECONNREFUSED)
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
add_request (CfCrashProbe *p, const CfLostRequest *l, CfCrashWaiter *w)
{
  g_array_append_val (p->requests, *l);
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
cf_crash_probe_start (CfGateway *g, CfTarget *t, const CfLostRequest *l,
                      CfCrashWaiter *w)
{
  CfCrashProbe *p = find_probe (g, t);

  if (!p)
    p = new_probe (g, t);
  if (!p)
    return FALSE;
  add_request (p, l, w);
  return TRUE;
}

void
cf_crash_probe_stop_all (CfGateway *g)
{
  while (!TAILQ_EMPTY (&g->probes))
    free_probe (TAILQ_FIRST (&g->probes));
}
