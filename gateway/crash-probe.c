#include "crash-probe.h"

#include "log.h"
#include "socket.h"

#include <errno.h>
#include <unistd.h>

/** Long enough for a first packet that is lost and sent again after a second;
 * targets that crash are away for longer. */
#define PROBE_TIMEOUT_S 1.5

struct CfCrashProbe
{
  TAILQ_ENTRY (CfCrashProbe) link; /* in the gateway's list */
  CfGateway *g;
  CfTarget *target;
  gint64 lost_ms;
  GArray *requests; /* of #CfRequestDigest */
  ev_io io;
  ev_timer timer;
};

static void
free_probe (CfCrashProbe *p)
{
  TAILQ_REMOVE (&p->g->probes, p, link);
  ev_timer_stop (p->g->loop, &p->timer);
  if (p->io.fd >= 0)
    {
      ev_io_stop (p->g->loop, &p->io);
      close (p->io.fd);
    }
  cf_target_unref (p->target);
  g_array_unref (p->requests);
  g_free (p);
}

static void
add_crash (const CfCrashProbe *p, const CfRequestDigest *d)
{
  CfQuarantine *q = p->g->quarantine;
  const CfTargetRecord *r = &p->target->record;
  char *name = g_strdup_printf ("%s/%" G_GINT64_FORMAT, r->id, r->incarnation);

  if (cf_quarantine_add (q, d, name, p->lost_ms))
    {
      char text[CF_REQUEST_DIGEST_TEXT];

      cf_request_digest_print (d, text);
      cf_log (LOG_WARNING, CF_EV_QUARANTINE,
              "request=%s outcome=quarantined crashes=%u target=%s", text,
              cf_quarantine_crashes (q, d), r->id);
    }
  g_free (name);
}

static void
end (CfCrashProbe *p, int err)
{
  cf_log (LOG_NOTICE, CF_EV_TARGET_FAIL, "target=%s outcome=%s requests=%u",
          p->target->record.id,
          err == 0              ? "alive"
          : err == ECONNREFUSED ? "crashed"
                                : "unreachable",
          p->requests->len);
  if (err == ECONNREFUSED)
    for (guint i = 0; i < p->requests->len; i++)
      add_crash (p, &g_array_index (p->requests, CfRequestDigest, i));
  free_probe (p);
}

static void
on_io (struct ev_loop *loop, ev_io *w, int revents)
{
  end (w->data, cf_socket_error (w->fd));
}

static void
on_timeout (struct ev_loop *loop, ev_timer *w, int revents)
{
  end (w->data, ETIMEDOUT);
}

static CfCrashProbe *
find (const CfGateway *g, const CfTarget *t)
{
  CfCrashProbe *p;

  TAILQ_FOREACH (p, &g->probes, link)
  if (p->target == t)
    return p;
  return NULL;
}

void
cf_crash_probe_start (CfGateway *g, CfTarget *t, const CfRequestDigest *d)
{
  CfCrashProbe *p = find (g, t);
  int fd;

  if (p)
    {
      g_array_append_val (p->requests, *d);
      return;
    }
  p = g_new0 (CfCrashProbe, 1);
  p->g = g;
  p->target = cf_target_ref (t);
  p->lost_ms = cf_gateway_now (g);
  p->requests = g_array_new (FALSE, FALSE, sizeof *d);
  g_array_append_val (p->requests, *d);
  p->io.fd = -1;
  ev_timer_init (&p->timer, on_timeout, PROBE_TIMEOUT_S, 0);
  p->timer.data = p;
  TAILQ_INSERT_TAIL (&g->probes, p, link);
  fd = cf_socket_connect (&t->addr);
  if (fd < 0)
    {
      end (p, errno);
      return;
    }
  ev_io_init (&p->io, on_io, fd, EV_WRITE);
  p->io.data = p;
  ev_io_start (g->loop, &p->io);
  ev_timer_start (g->loop, &p->timer);
}

void
cf_crash_probe_stop_all (CfGateway *g)
{
  while (!TAILQ_EMPTY (&g->probes))
    free_probe (TAILQ_FIRST (&g->probes));
}
