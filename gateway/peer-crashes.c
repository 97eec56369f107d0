#include "peer-crashes.h"

#include "log.h"

#include <string.h>

/** CollectContext: the arrays that append_record() fills. */
typedef struct
{
  GArray *all;         /* of #CfPeerCrash */
  GArray *quarantined; /* of #CfPeerCrash */
  gint64 now_ms;
} CollectContext;

static void
append_record (void *data, const CfCrashRecord *r)
{
  CollectContext *c = data;
  CfPeerCrash p = { .digest = r->digest, .n = r->n };

  p.age_ms = r->n ? c->now_ms - r->seen_ms : 0;
  for (guint i = 0; i < r->n; i++)
    {
      p.crashes[i].target.data = r->crashes[i].target;
      p.crashes[i].target.n = strlen (r->crashes[i].target);
      p.crashes[i].sent_age_ms = c->now_ms - r->crashes[i].sent_ms;
      p.crashes[i].lost_age_ms = c->now_ms - r->crashes[i].lost_ms;
    }
  g_array_append_val (c->all, p);
  if (cf_crash_record_is_or_was_quarantined (r))
    g_array_append_val (c->quarantined, p);
}

static GArray *
init_crashes_msg (CfPeerMsg *m)
{
  memset (m, 0, sizeof *m);
  m->kind = CF_PEER_CRASHES;
  m->u.crashes = g_array_new (FALSE, FALSE, sizeof (CfPeerCrash));
  return m->u.crashes;
}

void
cf_peer_crashes_collect_changes (CfQuarantine *q, gint64 now_ms, CfPeerMsg *all,
                                 CfPeerMsg *quarantined)
{
  CollectContext c
      = { init_crashes_msg (all), init_crashes_msg (quarantined), now_ms };

  cf_quarantine_flush (q, append_record, &c);
}

void
cf_peer_crashes_send_all (CfQuarantine *q, CfPeerLink *l,
                          gboolean quarantined_only, gint64 now_ms)
{
  CfPeerMsg all;
  CfPeerMsg quarantined;
  CollectContext c
      = { init_crashes_msg (&all), init_crashes_msg (&quarantined), now_ms };

  cf_quarantine_foreach (q, append_record, &c);
  if ((quarantined_only ? c.quarantined : c.all)->len > 0)
    cf_peer_msg_send (l, quarantined_only ? &quarantined : &all);
  cf_peer_msg_clear (&all);
  cf_peer_msg_clear (&quarantined);
}

/* Clamps the age, because a peer can send any value. */
static gint64
age_to_time_ms (gint64 age_ms, gint64 now_ms)
{
  return now_ms - CLAMP (age_ms, 0, CF_QUARANTINE_MAX_AGE_MS);
}

static void
log_quarantined (const CfPeerCrash *p, const char *peer)
{
  char text[CF_REQUEST_DIGEST_TEXT_SIZE];

  cf_request_digest_print (&p->digest, text);
  cf_log (LOG_WARNING, CF_EV_QUARANTINE,
          "request=%s outcome=quarantined source=peer peer=%s", text,
          peer ? peer : "-");
}

static void
merge_record (CfQuarantine *q, const CfPeerCrash *p, const char *peer,
              gint64 now_ms)
{
  CfCrash crashes[CF_QUARANTINE_CRASH_THRESHOLD];

  if (p->n == 0)
    {
      cf_quarantine_mark_sound (q, &p->digest, now_ms);
      return;
    }
  for (guint i = 0; i < p->n; i++)
    {
      CfPeerBytes target = p->crashes[i].target;

      crashes[i].target = g_strndup (target.data, target.n);
      crashes[i].sent_ms = age_to_time_ms (p->crashes[i].sent_age_ms, now_ms);
      crashes[i].lost_ms = age_to_time_ms (p->crashes[i].lost_age_ms, now_ms);
    }
  if (cf_quarantine_merge (q, &p->digest, crashes, p->n,
                           age_to_time_ms (p->age_ms, now_ms)))
    log_quarantined (p, peer);
  for (guint i = 0; i < p->n; i++)
    g_free (crashes[i].target);
}

void
cf_peer_crashes_merge (CfQuarantine *q, const CfPeerMsg *m, const char *peer,
                       gint64 now_ms)
{
  for (guint i = 0; i < m->u.crashes->len; i++)
    merge_record (q, &g_array_index (m->u.crashes, CfPeerCrash, i), peer,
                  now_ms);
}
