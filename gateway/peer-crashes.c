#include "peer-crashes.h"

#include "log.h"

#include <string.h>

/** Collect: messages that are being filled. */
typedef struct
{
  GArray *all;  /* of #CfPeerCrash */
  GArray *held; /* of #CfPeerCrash */
  gint64 now_ms;
} Collect;

static void
append (void *data, const CfCrashRecord *r)
{
  Collect *c = data;
  CfPeerCrash p = { .digest = r->digest, .n = r->n };

  p.age_ms = r->n ? c->now_ms - r->seen_ms : 0;
  for (guint i = 0; i < r->n; i++)
    {
      p.targets[i].data = r->targets[i];
      p.targets[i].n = strlen (r->targets[i]);
    }
  g_array_append_val (c->all, p);
  if (cf_quarantine_holds (r))
    g_array_append_val (c->held, p);
}

static GArray *
begin (CfPeerMsg *m)
{
  memset (m, 0, sizeof *m);
  m->kind = CF_PEER_CRASHES;
  m->u.crashes = g_array_new (FALSE, FALSE, sizeof (CfPeerCrash));
  return m->u.crashes;
}

void
cf_peer_crashes_changed (CfQuarantine *q, gint64 now_ms, CfPeerMsg *all,
                         CfPeerMsg *held)
{
  Collect c = { begin (all), begin (held), now_ms };

  cf_quarantine_flush (q, append, &c);
}

void
cf_peer_crashes_snapshot (CfQuarantine *q, gint64 now_ms, CfPeerMsg *all,
                          CfPeerMsg *held)
{
  Collect c = { begin (all), begin (held), now_ms };

  cf_quarantine_foreach (q, append, &c);
}

static void
merge_one (CfQuarantine *q, const CfPeerCrash *p, const char *peer,
           gint64 now_ms)
{
  gint64 age = CLAMP (p->age_ms, 0, CF_QUARANTINE_KEEP_MS);
  gboolean quarantined = FALSE;

  if (p->n == 0)
    {
      cf_quarantine_clear (q, &p->digest);
      return;
    }
  for (guint i = 0; i < p->n; i++)
    {
      char *target = g_strndup (p->targets[i].data, p->targets[i].n);

      quarantined |= cf_quarantine_add (q, &p->digest, target, now_ms - age);
      g_free (target);
    }
  if (quarantined)
    {
      char text[CF_REQUEST_DIGEST_TEXT];

      cf_request_digest_print (&p->digest, text);
      cf_log (LOG_WARNING, CF_EV_QUARANTINE,
              "request=%s outcome=quarantined source=peer peer=%s", text,
              peer ? peer : "-");
    }
}

void
cf_peer_crashes_merge (CfQuarantine *q, const CfPeerMsg *m, const char *peer,
                       gint64 now_ms)
{
  for (guint i = 0; i < m->u.crashes->len; i++)
    merge_one (q, &g_array_index (m->u.crashes, CfPeerCrash, i), peer, now_ms);
}
