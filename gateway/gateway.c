#include "gateway.h"

#include "crash-probe.h"
#include "exchange.h"
#include "log.h"
#include "net.h"
#include "platform/platform-policy.h"
#include "upstream.h"

#include <math.h>
#include <string.h>

/** Of the fleet's retry allowance, the part that all gateways use together;
 * the rest covers one that counts itself as one of fewer. */
#define RETRY_PART 0.8
/** Unreadable records whose revision is remembered, so that each is logged
 * once; past this all are logged once more. */
#define REJECTS_MAX 1024
/** Of a spoiled id, what is logged. */
#define REJECT_NAME_MAX 64
/** Of the memory limit, the part that request bodies may take. */
#define BODY_MEMORY_PART 4
/** Descriptors that the platform keeps for files out of max-fds. */
#define FILE_FDS 200
/** Of the others, the part that callers may take: each caller's request may
 * need a connection to a target besides. */
#define CALLER_FDS_PART 2
/** A target's pace is told once a second; not told any more for so long, it
 * is not believed any more. */
#define PACE_FRESH_MS 3500

static void
lane_free (gpointer data)
{
  CfServiceState *l = data;

  cf_retry_budget_clear (&l->budget);
  g_free (l);
}

static gint64
retry_slack (const CfGateway *g)
{
  double slack
      = (double)g->set.retry_slack * RETRY_PART / MAX (g->fleet_size, 1);

  return (gint64)MAX (slack, 1);
}

/* No one counts retries for the whole fleet, so each gateway keeps to an
 * even share of the slack; the ratio is of its own requests. */
CfServiceState *
cf_gateway_service_state (CfGateway *g, const char *service)
{
  CfServiceState *l;

  if (!g->service_states)
    g->service_states
        = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, lane_free);
  l = g_hash_table_lookup (g->service_states, service);
  if (l)
    return l;
  l = g_new0 (CfServiceState, 1);
  cf_wait_queue_init (&l->queue);
  cf_retry_budget_init (&l->budget,
                        (gint64)(g->set.retry_ratio * RETRY_PART * 100),
                        retry_slack (g));
  g_hash_table_insert (g->service_states, g_strdup (service), l);
  return l;
}

static gboolean
is_named_service (const void *data, const char *service)
{
  const CfGateway *g = data;

  return !g->policy || cf_policy_service (g->policy, service);
}

static guint
callers_max (const CfPlatformSettings *s)
{
  return (guint)MAX ((s->max_fds - FILE_FDS) / CALLER_FDS_PART, 1);
}

void
cf_gateway_init (CfGateway *g, struct ev_loop *loop, CfPlatformSettings *set)
{
  memset (g, 0, sizeof *g);
  g->loop = loop;
  g->set = *set;
  memset (set, 0, sizeof *set);
  g->now_ms = cf_now_ms ();
  g->started_ms = g->now_ms;
  g->body_bytes_max = (gsize)g->set.memory_mb * 1048576 / BODY_MEMORY_PART;
  g->callers_max = callers_max (&g->set);
  TAILQ_INIT (&g->callers);
  TAILQ_INIT (&g->probes);
  TAILQ_INIT (&g->unrouted);
  cf_target_table_init (&g->targets);
  g->targets.is_named = is_named_service;
  g->targets.is_named_data = g;
  g->quarantine = cf_quarantine_new ();
  cf_gateway_service_state (g, "");
  cf_gateway_set_fleet_size (g, 0);
  cf_gateway_set_fleet_place (g, g_random_double (), g->fleet_size);
}

void
cf_gateway_clear (CfGateway *g)
{
  cf_crash_probe_stop_all (g);
  cf_target_table_clear (&g->targets);
  g_clear_pointer (&g->rejected_records, g_hash_table_destroy);
  g_clear_pointer (&g->service_states, g_hash_table_destroy);
  g_clear_pointer (&g->quarantine, cf_quarantine_free);
  g_clear_pointer (&g->policy, cf_policy_unref);
  g_clear_pointer (&g->policy_json, g_bytes_unref);
  cf_platform_settings_clear (&g->set);
}

gint64
cf_gateway_now (const CfGateway *g)
{
  return g->now_ms;
}

CfLoopActivity
cf_gateway_enter_activity (CfGateway *g, CfLoopActivity part)
{
  return cf_loop_watch_enter (&g->loop_watch, part, g_get_monotonic_time ());
}

gboolean
cf_gateway_can_route (const CfGateway *g)
{
  return g->policy && g->targets_rev != 0;
}

gboolean
cf_gateway_is_ready (const CfGateway *g)
{
  return g->policy && !g->stopping;
}

void
cf_gateway_apply_policy (CfGateway *g, const char *json, gsize n, gint64 rev,
                         const char *source)
{
  CfPolicy *p;

  if (g->policy && rev <= g->policy_rev)
    return;
  if (cf_platform_policy_parse (json, n, &p) != CF_OK)
    {
      cf_log (LOG_ERR, CF_EV_CONFIG_BAD,
              "rev=%" G_GINT64_FORMAT " source=%s in_force=%" G_GINT64_FORMAT
              " error=\"%s\"",
              rev, source, g->policy ? g->policy->version : 0,
              cf_last_error ());
      return;
    }
  if (g->policy && p->version <= g->policy->version)
    {
      cf_log (LOG_NOTICE, CF_EV_CONFIG_OLDER,
              "version=%" G_GINT64_FORMAT " in_force=%" G_GINT64_FORMAT
              " source=%s",
              p->version, g->policy->version, source);
      cf_policy_unref (p);
      return;
    }
  if (!g->policy)
    cf_log (LOG_NOTICE, CF_EV_READY, "ready=yes");
  cf_policy_unref (g->policy);
  g->policy = p;
  g->policy_rev = rev;
  if (g->policy_json)
    g_bytes_unref (g->policy_json);
  g->policy_json = g_bytes_new (json, n);
  cf_log (LOG_NOTICE, CF_EV_CONFIG_ACCEPT,
          "version=%" G_GINT64_FORMAT " rev=%" G_GINT64_FORMAT
          " source=%s routes=%u services=%u",
          p->version, rev, source, p->routes->len,
          g_hash_table_size (p->services));
  cf_target_table_renamed (&g->targets);
}

static const char *
change_name (CfTargetChange c)
{
  switch (c)
    {
    case CF_TARGET_SAME:
      return "same";
    case CF_TARGET_NEW:
      return "new";
    case CF_TARGET_LEAVING:
      return "leaving";
    case CF_TARGET_UPDATED:
      return "updated";
    case CF_TARGET_RESTARTED:
      return "restarted";
    case CF_TARGET_STALE:
      return "older-incarnation";
    case CF_TARGET_BAD:
      return "bad";
    }
  return "unknown";
}

/* Whether the unreadable record of @id at @rev is met for the first time;
 * lists are read again and again. */
static gboolean
is_new_reject (CfGateway *g, const char *id, gint64 rev)
{
  const gint64 *seen;
  gint64 *at;

  if (!g->rejected_records)
    g->rejected_records
        = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  seen = g_hash_table_lookup (g->rejected_records, id);
  if (seen && *seen >= rev)
    return FALSE;
  if (g_hash_table_size (g->rejected_records) >= REJECTS_MAX)
    g_hash_table_remove_all (g->rejected_records);
  at = g_new (gint64, 1);
  *at = rev;
  g_hash_table_replace (g->rejected_records, g_strdup (id), at);
  return TRUE;
}

void
cf_gateway_reject_target (CfGateway *g, const char *id, gint64 rev,
                          const char *source, const char *reason)
{
  if (is_new_reject (g, id, rev))
    {
      char *name = g_strescape (id, NULL);

      g->stats.records_rejected++;
      cf_log (LOG_ERR, CF_EV_TARGET_LIST,
              "target=\"%.*s\" outcome=bad rev=%" G_GINT64_FORMAT
              " source=%s error=\"%s\"",
              REJECT_NAME_MAX, name, rev, source, reason);
      g_free (name);
    }
  cf_gateway_remove_target (g, id, rev, "unreadable");
}

static void
log_change (const CfGateway *g, const CfTargetNews *news, CfTargetChange c,
            const char *source)
{
  const CfTarget *t = g_hash_table_lookup (g->targets.by_id, news->id);

  cf_log (LOG_NOTICE, CF_EV_TARGET_LIST,
          "target=%s service=%s addr=%s outcome=%s rev=%" G_GINT64_FORMAT
          " incarnation=%" G_GINT64_FORMAT " source=%s",
          news->id, t ? t->record.service : "-", t ? t->record.addr : "-",
          change_name (c), news->rev, t ? t->record.incarnation : 0, source);
}

/* What was believed of the target before is about a process that is gone,
 * or that the list does not lead to any more. */
static void
end_former (CfTarget *former, CfTargetChange c)
{
  if (c == CF_TARGET_RESTARTED)
    cf_upstream_fail_all (former);
  else
    cf_upstream_close_idle (former);
}

void
cf_gateway_update_target (CfGateway *g, const CfTargetNews *news,
                          const char *source)
{
  CfTargetRecord r;
  CfTargetChange c;
  CfTarget *former;

  if (cf_platform_target_parse (news->id, news->json, news->n, &r) != CF_OK)
    {
      cf_gateway_reject_target (g, news->id, news->rev, source,
                                cf_last_error ());
      return;
    }
  former = g_hash_table_lookup (g->targets.by_id, news->id);
  if (former)
    cf_target_ref (former);
  c = cf_target_table_put (&g->targets, &r, news);
  if (c != CF_TARGET_SAME)
    log_change (g, news, c, source);
  if (former && (!former->listed || c == CF_TARGET_LEAVING))
    end_former (former, c);
  cf_target_unref (former);
  if (c != CF_TARGET_SAME)
    cf_exchange_pump (g);
}

void
cf_gateway_remove_target (CfGateway *g, const char *id, gint64 rev,
                          const char *source)
{
  CfTarget *t = g_hash_table_lookup (g->targets.by_id, id);

  if (!t || rev < t->rev)
    return;
  cf_log (LOG_NOTICE, CF_EV_TARGET_LIST,
          "target=%s service=%s addr=%s outcome=gone rev=%" G_GINT64_FORMAT
          " source=%s",
          id, t->record.service, t->record.addr, rev, source);
  cf_upstream_close_idle (t);
  cf_target_table_remove (&g->targets, id);
}

void
cf_gateway_retain_targets (CfGateway *g, GHashTable *ids, gint64 as_of,
                           const char *source)
{
  GPtrArray *gone = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter it;
  gpointer id;

  g_hash_table_iter_init (&it, g->targets.by_id);
  while (g_hash_table_iter_next (&it, &id, NULL))
    if (!g_hash_table_contains (ids, id))
      g_ptr_array_add (gone, g_strdup (id));
  for (guint i = 0; i < gone->len; i++)
    cf_gateway_remove_target (g, gone->pdata[i], as_of, source);
  g_ptr_array_free (gone, TRUE);
  g->targets_rev = as_of;
}

void
cf_gateway_update_slowdown (CfGateway *g, CfTarget *t, double pace,
                            const char *source)
{
  if (cf_target_set_pace (t, pace, cf_gateway_now (g)))
    cf_log (LOG_NOTICE, CF_EV_TARGET_LIST,
            "target=%s service=%s addr=%s outcome=pace pace=%.2f source=%s",
            t->record.id, t->record.service, t->record.addr, pace, source);
}

void
cf_gateway_expire_slowdowns (CfGateway *g)
{
  GHashTableIter it;
  gpointer v;

  g_hash_table_iter_init (&it, g->targets.by_id);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      CfTarget *t = v;

      if (t->pace != 1 && cf_gateway_now (g) - t->pace_at_ms > PACE_FRESH_MS)
        cf_gateway_update_slowdown (g, t, 1, "forgotten");
    }
}

void
cf_gateway_set_fleet_place (CfGateway *g, double ring_start, guint members)
{
  guint n = MAX (members, 1);

  g->ring_start = ring_start;
  g->place.n = n;
  g->place.index = (guint)round (ring_start * n) % n;
}

void
cf_gateway_set_fleet_size (CfGateway *g, guint n)
{
  GHashTableIter it;
  gpointer l;

  /* At the start peers are not heard yet: the seeds count as there. */
  n = MAX (n, MAX (g_strv_length (g->set.seed_addrs), 1));
  if (n == g->fleet_size)
    return;
  g->fleet_size = n;
  g_hash_table_iter_init (&it, g->service_states);
  while (g_hash_table_iter_next (&it, NULL, &l))
    cf_retry_budget_set_slack (&((CfServiceState *)l)->budget, retry_slack (g));
}
