#include "gateway.h"

#include "crash-probe.h"
#include "exchange.h"
#include "log.h"
#include "net.h"
#include "platform/platform-policy.h"
#include "service-retries.h"
#include "upstream.h"

#include <math.h>
#include <string.h>

/** Most unreadable records whose revision is kept, so that each is logged only
 * once.  A full table is emptied, after which each is logged once more. */
#define REJECTED_RECORDS_MAX 1024
/** A rejected target's id is truncated to this length in the log. */
#define REJECTED_ID_LOG_CHARS 64
/** Request bodies may take the memory limit divided by this. */
#define BODY_MEMORY_DIVISOR 4
/** Descriptors of max-fds that the platform reserves for files. */
#define RESERVED_FILE_FDS 200
/** Callers may use the remaining descriptors divided by this: the request of
 * each caller may need another descriptor, for a connection to a target. */
#define CALLER_FDS_DIVISOR 2
/** A target's slowdown expires after this time without a report; agents and
 * peers report it once a second. */
#define SLOWDOWN_EXPIRY_MS 3500
/** A fleet that seems to shrink is taken for its former size for this long: its
 * seeds may have restarted and not heard from all gateways yet. */
#define RECENT_FLEET_MS 10000
/** Time after the start until all gateways have greeted the seeds... */
#define FLEET_SETTLE_MS 1200
/** ...and until a gateway that no seed has greeted acts as if alone. */
#define FLEET_ALONE_MS 3000

static void
service_state_free (gpointer data)
{
  CfServiceState *s = data;

  cf_retry_budget_clear (&s->budget);
  cf_dc_health_clear (&s->dc_health);
  cf_demand_meter_clear (&s->demand);
  cf_fleet_demand_clear (&s->fleet_demand);
  cf_org_usage_clear (&s->org_usage);
  cf_return_schedule_clear (&s->returns);
  g_free (s);
}

CfServiceState *
cf_gateway_service_state (CfGateway *g, const char *service)
{
  CfServiceState *s;

  if (!g->service_states)
    g->service_states = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                               service_state_free);
  s = g_hash_table_lookup (g->service_states, service);
  if (s)
    return s;
  s = g_new0 (CfServiceState, 1);
  cf_wait_queue_init (&s->queue);
  s->queue.usage = &s->org_usage;
  cf_service_retries_init (g, service, s);
  g_hash_table_insert (g->service_states, g_strdup (service), s);
  return s;
}

static gboolean
is_configured_service (const void *data, const char *service)
{
  const CfGateway *g = data;

  return !g->policy || cf_policy_service (g->policy, service);
}

static guint
compute_callers_max (const CfPlatformSettings *s)
{
  return (guint)MAX ((s->max_fds - RESERVED_FILE_FDS) / CALLER_FDS_DIVISOR, 1);
}

void
cf_gateway_init (CfGateway *g, struct ev_loop *loop,
                 CfPlatformSettings *settings)
{
  memset (g, 0, sizeof *g);
  g->loop = loop;
  g->settings = *settings;
  memset (settings, 0, sizeof *settings);
  g->now_ms = cf_now_ms ();
  g->started_ms = g->now_ms;
  g->body_bytes_max
      = (gsize)g->settings.memory_mb * 1048576 / BODY_MEMORY_DIVISOR;
  g->callers_max = compute_callers_max (&g->settings);
  g->policy_pos = CF_STORE_POSITION_NONE;
  g->targets_pos = CF_STORE_POSITION_NONE;
  TAILQ_INIT (&g->callers);
  TAILQ_INIT (&g->probes);
  TAILQ_INIT (&g->unrouted);
  cf_target_table_init (&g->targets);
  g->targets.is_configured = is_configured_service;
  g->targets.is_configured_data = g;
  cf_evacuations_init (&g->evacuations);
  g->targets.evacuations = &g->evacuations;
  g->quarantine = cf_quarantine_new ();
  g->suspects_running = g_hash_table_new_full (
      cf_request_digest_hash, cf_request_digest_equal, g_free, NULL);
  cf_gateway_set_fleet_size (g, 0);
  cf_service_retries_start (g);
  cf_gateway_service_state (g, "");
  cf_gateway_set_fleet_position (g, g_random_double (), g->fleet_size);
  cf_gateway_note_data_centre (g, g->settings.control_addr,
                               g->settings.data_centre);
}

void
cf_gateway_clear (CfGateway *g)
{
  cf_crash_probe_stop_all (g);
  cf_target_table_clear (&g->targets);
  cf_evacuations_clear (&g->evacuations);
  g_clear_pointer (&g->rejected_records, g_hash_table_destroy);
  g_clear_pointer (&g->service_states, g_hash_table_destroy);
  cf_service_retries_clear (g);
  g_clear_pointer (&g->quarantine, cf_quarantine_free);
  g_clear_pointer (&g->suspects_running, g_hash_table_destroy);
  g_clear_pointer (&g->policy, cf_policy_unref);
  g_clear_pointer (&g->policy_json, g_bytes_unref);
  for (int i = 0; i < CF_SEEDS_MAX; i++)
    g_clear_pointer (&g->seed_data_centres[i], g_free);
  cf_platform_settings_clear (&g->settings);
}

gint64
cf_gateway_now (const CfGateway *g)
{
  return g->now_ms;
}

void
cf_gateway_drop_reading (CfGateway *g, CfReadingKind kind, const char *from,
                         const char *reason)
{
  cf_reading_log_drop (&g->dropped, kind, from, reason, cf_gateway_now (g));
}

CfLoopActivity
cf_gateway_enter_activity (CfGateway *g, CfLoopActivity activity)
{
  return cf_loop_watch_enter (&g->loop_watch, activity,
                              g_get_monotonic_time ());
}

gboolean
cf_gateway_has_target_list (const CfGateway *g)
{
  return g->targets_pos.rev != 0;
}

gboolean
cf_gateway_can_route (const CfGateway *g)
{
  return g->policy && cf_gateway_has_target_list (g) && !g->awaits_peers;
}

gboolean
cf_gateway_is_ready (const CfGateway *g)
{
  return g->policy && !g->stopping;
}

/* Handles a configuration whose version is not higher than that in force. */
static void
skip_policy (CfGateway *g, const CfPolicy *p, CfStorePosition pos,
             const char *source)
{
  if (p->version < g->policy->version)
    cf_log (LOG_NOTICE, CF_EV_CONFIG_OLDER,
            "version=%" G_GINT64_FORMAT " in_force=%" G_GINT64_FORMAT
            " rev=%" G_GINT64_FORMAT " era=%" G_GINT64_FORMAT " source=%s",
            p->version, g->policy->version, pos.rev, pos.era, source);
  else if (cf_store_position_is_older (g->policy_pos, pos))
    g->policy_pos = pos;
}

static void
put_policy_in_force (CfGateway *g, CfPolicy *p, const char *json, gsize n)
{
  if (!g->policy)
    cf_log (LOG_NOTICE, CF_EV_READY, "ready=yes");
  cf_policy_unref (g->policy);
  g->policy = p;
  if (g->policy_json)
    g_bytes_unref (g->policy_json);
  g->policy_json = g_bytes_new (json, n);
  cf_target_table_services_changed (&g->targets);
}

void
cf_gateway_apply_policy (CfGateway *g, const char *json, gsize n,
                         CfStorePosition pos, const char *source)
{
  CfPolicy *p;

  if (cf_platform_policy_parse (json, n, &p) != CF_OK)
    {
      cf_log (LOG_ERR, CF_EV_CONFIG_BAD,
              "rev=%" G_GINT64_FORMAT " source=%s in_force=%" G_GINT64_FORMAT
              " error=\"%s\"",
              pos.rev, source, g->policy ? g->policy->version : 0,
              cf_last_error ());
      return;
    }
  if (g->policy && p->version <= g->policy->version)
    {
      skip_policy (g, p, pos, source);
      cf_policy_unref (p);
      return;
    }
  put_policy_in_force (g, p, json, n);
  g->policy_pos = pos;
  cf_log (LOG_NOTICE, CF_EV_CONFIG_ACCEPT,
          "version=%" G_GINT64_FORMAT " rev=%" G_GINT64_FORMAT
          " era=%" G_GINT64_FORMAT " source=%s routes=%u services=%u",
          p->version, pos.rev, pos.era, source, p->routes->len,
          g_hash_table_size (p->services));
}

static const char *
target_change_name (CfTargetChange c)
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
    case CF_TARGET_DEPARTED:
      return "departed";
    case CF_TARGET_BAD:
      return "bad";
    }
  return "unknown";
}

/* Whether the unreadable record of @id at @pos is seen for the first time.  The
 * list is read repeatedly, so the same record is seen again. */
static gboolean
is_newly_rejected (CfGateway *g, const char *id, CfStorePosition pos)
{
  const CfStorePosition *seen;

  if (!g->rejected_records)
    g->rejected_records
        = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  seen = g_hash_table_lookup (g->rejected_records, id);
  if (seen && !cf_store_position_is_older (*seen, pos))
    return FALSE;
  if (g_hash_table_size (g->rejected_records) >= REJECTED_RECORDS_MAX)
    g_hash_table_remove_all (g->rejected_records);
  g_hash_table_replace (g->rejected_records, g_strdup (id),
                        g_memdup2 (&pos, sizeof pos));
  return TRUE;
}

void
cf_gateway_reject_target (CfGateway *g, const char *id, CfStorePosition pos,
                          const char *source, const char *reason)
{
  if (is_newly_rejected (g, id, pos))
    {
      char *name = g_strescape (id, NULL);

      g->stats.records_rejected++;
      cf_log (LOG_ERR, CF_EV_TARGET_LIST,
              "target=\"%.*s\" outcome=bad rev=%" G_GINT64_FORMAT
              " source=%s error=\"%s\"",
              REJECTED_ID_LOG_CHARS, name, pos.rev, source, reason);
      g_free (name);
    }
  cf_gateway_remove_target (g, id, pos, "unreadable");
}

static void
log_target_change (const CfGateway *g, const CfTargetUpdate *update,
                   CfTargetChange c, const char *source)
{
  const CfTarget *t = g_hash_table_lookup (g->targets.by_id, update->id);

  cf_log (LOG_NOTICE, CF_EV_TARGET_LIST,
          "target=%s service=%s addr=%s outcome=%s rev=%" G_GINT64_FORMAT
          " incarnation=%" G_GINT64_FORMAT " source=%s",
          update->id, t ? t->record.service : "-", t ? t->record.addr : "-",
          target_change_name (c), update->pos.rev,
          t ? t->record.incarnation : 0, source);
}

/* Closes connections to @former, whose process has ended or which the list no
 * longer offers to new requests.  Requests in flight fail only if the target
 * has restarted. */
static void
close_former_connections (CfTarget *former, CfTargetChange c)
{
  if (c == CF_TARGET_RESTARTED)
    cf_upstream_fail_all (former);
  else
    cf_upstream_close_idle (former);
}

/* A target that starts while this gateway runs is cold for as long as its
 * service says, or longer, as its record says. */
static void
update_warmup (CfGateway *g, const CfTargetUpdate *update, CfTargetChange c)
{
  CfTarget *t = g_hash_table_lookup (g->targets.by_id, update->id);
  gboolean has_started
      = update->is_change && (c == CF_TARGET_NEW || c == CF_TARGET_RESTARTED);
  const CfService *sv = t && g->policy
                            ? cf_policy_service (g->policy, t->record.service)
                            : NULL;
  gint64 left_ms;

  /* A record that was dropped says nothing of the target's present state. */
  if (!t || cf_store_position_is_older (update->pos, t->pos)
      || c == CF_TARGET_STALE || c == CF_TARGET_DEPARTED)
    return;
  left_ms = t->record.warmup_ms;
  if (has_started && sv)
    left_ms = MAX (left_ms, sv->warmup_ms);
  cf_warmup_set (&t->warmup, left_ms, cf_gateway_now (g));
}

void
cf_gateway_update_target (CfGateway *g, const CfTargetUpdate *update,
                          const char *source)
{
  CfTargetRecord r;
  CfTargetChange c;
  CfTarget *former;

  if (cf_platform_target_parse (update->id, update->json, update->n, &r)
      != CF_OK)
    {
      cf_gateway_reject_target (g, update->id, update->pos, source,
                                cf_last_error ());
      return;
    }
  former = g_hash_table_lookup (g->targets.by_id, update->id);
  if (former)
    cf_target_ref (former);
  c = cf_target_table_put (&g->targets, &r, update);
  if (c != CF_TARGET_SAME)
    log_target_change (g, update, c, source);
  update_warmup (g, update, c);
  if (former && (!former->listed || c == CF_TARGET_LEAVING))
    close_former_connections (former, c);
  cf_target_unref (former);
  if (c != CF_TARGET_SAME)
    cf_exchange_dispatch_queued (g);
}

void
cf_gateway_remove_target (CfGateway *g, const char *id, CfStorePosition pos,
                          const char *source)
{
  CfTarget *t = g_hash_table_lookup (g->targets.by_id, id);

  if (!t || cf_store_position_is_older (pos, t->pos))
    return;
  cf_log (LOG_NOTICE, CF_EV_TARGET_LIST,
          "target=%s service=%s addr=%s outcome=gone rev=%" G_GINT64_FORMAT
          " era=%" G_GINT64_FORMAT " source=%s",
          id, t->record.service, t->record.addr, pos.rev, pos.era, source);
  cf_upstream_close_idle (t);
  cf_target_table_remove (&g->targets, id);
}

void
cf_gateway_note_targets_restored (CfGateway *g, gboolean keeps_order)
{
  cf_target_table_store_restored (&g->targets, keeps_order, cf_gateway_now (g));
  if (g->rejected_records)
    g_hash_table_remove_all (g->rejected_records);
  /* The list is still known, so its revision is not 0. */
  if (!keeps_order && cf_gateway_has_target_list (g))
    g->targets_pos = (CfStorePosition){ CF_STORE_ERA_UNKNOWN, 1 };
}

void
cf_gateway_update_slowdown (CfGateway *g, CfTarget *t, double slowdown,
                            const char *source)
{
  if (cf_target_set_slowdown (t, slowdown, cf_gateway_now (g)))
    cf_log (LOG_NOTICE, CF_EV_TARGET_LIST,
            "target=%s service=%s addr=%s outcome=pace pace=%.2f source=%s",
            t->record.id, t->record.service, t->record.addr, slowdown, source);
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

      if (t->slowdown != 1
          && cf_gateway_now (g) - t->slowdown_updated_ms > SLOWDOWN_EXPIRY_MS)
        cf_gateway_update_slowdown (g, t, 1, "forgotten");
    }
}

void
cf_gateway_set_fleet_position (CfGateway *g, double ring_start, guint members)
{
  guint n = MAX (members, 1);

  g->ring_start = ring_start;
  g->fleet_position.n = n;
  g->fleet_position.index = (guint)round (ring_start * n) % n;
  if (n < g->recent_fleet.n
      && cf_gateway_now (g) - g->recent_fleet_ms < RECENT_FLEET_MS)
    n = g->recent_fleet.n;
  else
    g->recent_fleet_ms = cf_gateway_now (g);
  g->recent_fleet.n = n;
  g->recent_fleet.index = (guint)round (ring_start * n) % n;
}

gboolean
cf_gateway_is_seed (const CfGateway *g, const char *addr)
{
  return addr && g->settings.seed_addrs
         && g_strv_contains ((const char *const *)g->settings.seed_addrs, addr);
}

void
cf_gateway_note_data_centre (CfGateway *g, const char *addr,
                             const char *data_centre)
{
  for (int i = 0; i < CF_SEEDS_MAX && g->settings.seed_addrs[i]; i++)
    {
      if (g_strcmp0 (g->settings.seed_addrs[i], addr) != 0
          || g_strcmp0 (g->seed_data_centres[i], data_centre) == 0)
        continue;
      g_free (g->seed_data_centres[i]);
      g->seed_data_centres[i]
          = data_centre && *data_centre ? g_strdup (data_centre) : NULL;
    }
}

/* A gateway that has just started takes the fleet for smaller than it is, and
 * would send cold targets too much. */
CfFleetPosition
cf_gateway_warmup_position (const CfGateway *g)
{
  gint64 age_ms = cf_gateway_now (g) - g->started_ms;
  CfFleetPosition unknown = { 0, 0 };

  if (age_ms < FLEET_SETTLE_MS
      || (!g->has_peer_fleet && age_ms < FLEET_ALONE_MS))
    return unknown;
  return g->recent_fleet;
}

void
cf_gateway_set_fleet_size (CfGateway *g, guint n)
{
  /* Peers are unknown at the start, so all seeds count as running. */
  g->fleet_size = MAX (n, MAX (g_strv_length (g->settings.seed_addrs), 1));
}
