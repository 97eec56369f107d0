#include "entry.h"

#include "entry-route.h"
#include "log.h"
#include "net.h"

#include <jansson.h>
#include <string.h>
#include <unistd.h>

/** How long to wait after the last reply, so that requests that are on their
 * way are refused as not run instead of finding a closed connection.  Twice
 * that of the agents, as callers may be in another region. */
#define DRAIN_LINGER_MS 200

const char cf_entry_defaults[] = "[entry]\n"
                                 "name = \"e1\"\n"
                                 "listen = \"127.0.0.1:8080\"\n"
                                 "datacentre = \"dc1\"\n"
                                 "max_in_flight = 512\n"
                                 "deadline_ms = 10000\n"
                                 "key_horizon_ms = 5000\n"
                                 "max_attempts = 3\n"
                                 "retry_after_ms = 1000\n"
                                 "low_priority_share = 80\n"
                                 "fair_reserve = 10\n"
                                 "retry_percent = 20\n"
                                 "retry_slack = 20\n"
                                 "drain_grace_ms = 30000\n"
                                 "[config]\n"
                                 "url = \"http://127.0.0.1:7000\"\n"
                                 "watch_wait_ms = 5000\n"
                                 "[peers]\n"
                                 "listen = \"off\"\n"
                                 "urls = []\n"
                                 "[vmlist]\n"
                                 "url = \"http://127.0.0.1:7001\"\n"
                                 "poll_ms = 500\n";

static const CfSetting fields[] = {
  { CF_SETTING_STRING, "entry", "name", offsetof (CfEntrySettings, name), 0,
    0 },
  { CF_SETTING_STRING, "entry", "listen", offsetof (CfEntrySettings, listen), 0,
    0 },
  { CF_SETTING_STRING, "entry", "datacentre",
    offsetof (CfEntrySettings, datacentre), 0, 0 },
  { CF_SETTING_INT, "entry", "max_in_flight",
    offsetof (CfEntrySettings, max_in_flight), 1, 1000000 },
  { CF_SETTING_INT, "entry", "deadline_ms",
    offsetof (CfEntrySettings, deadline_ms), 1, CF_DEADLINE_MAX_MS },
  { CF_SETTING_INT, "entry", "key_horizon_ms",
    offsetof (CfEntrySettings, key_horizon_ms), 1, CF_DEADLINE_MAX_MS },
  { CF_SETTING_INT, "entry", "max_attempts",
    offsetof (CfEntrySettings, max_attempts), 1, 16 },
  { CF_SETTING_INT, "entry", "retry_after_ms",
    offsetof (CfEntrySettings, retry_after_ms), 1, 3600000 },
  { CF_SETTING_INT, "entry", "low_priority_share",
    offsetof (CfEntrySettings, low_priority_share), 0, 100 },
  { CF_SETTING_INT, "entry", "fair_reserve",
    offsetof (CfEntrySettings, fair_reserve), 0, 100 },
  { CF_SETTING_INT, "entry", "retry_percent",
    offsetof (CfEntrySettings, retry_percent), 0, 1000 },
  { CF_SETTING_INT, "entry", "retry_slack",
    offsetof (CfEntrySettings, retry_slack), 1, 100000 },
  { CF_SETTING_INT, "entry", "drain_grace_ms",
    offsetof (CfEntrySettings, drain_grace_ms), 0, 3600000 },
  { CF_SETTING_STRING, "config", "url", offsetof (CfEntrySettings, config_url),
    0, 0 },
  { CF_SETTING_INT, "config", "watch_wait_ms",
    offsetof (CfEntrySettings, watch_wait_ms), 100, 60000 },
  { CF_SETTING_STRING, "peers", "listen",
    offsetof (CfEntrySettings, peer_listen), 0, 0 },
  { CF_SETTING_STRINGS, "peers", "urls", offsetof (CfEntrySettings, peers), 0,
    0 },
  { CF_SETTING_STRING, "vmlist", "url", offsetof (CfEntrySettings, vmlist_url),
    0, 0 },
  { CF_SETTING_INT, "vmlist", "poll_ms",
    offsetof (CfEntrySettings, vmlist_poll_ms), 50, 60000 },
};

CfStatus
cf_entry_settings_read (CfSettings *s, CfEntrySettings *o)
{
  return cf_settings_read (s, fields, G_N_ELEMENTS (fields), o);
}

static void
on_config (void *data, CfConfig *c)
{
  CfEntry *e = data;
  GHashTableIter it;
  gpointer v;

  cf_link_table_set_config_version (&e->links, c->version);
  /* Connects to every agent now, so that the first request does not wait. */
  g_hash_table_iter_init (&it, c->groups);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      CfGroup *g = v;

      for (guint i = 0; i < g->agents->len; i++)
        cf_link_table_get (&e->links, g_ptr_array_index (g->agents, i));
    }
}

/* Admits @r, or refuses it because a limit is reached. */
static gboolean
admit (CfEntry *e, CfRequest *r, CfHttpReply *rep)
{
  CfAdmissionResult res
      = cf_admission_acquire (&e->admission, r->org, r->priority);

  r->admitted = res == CF_ADMIT_OK;
  if (r->admitted)
    return TRUE;
  cf_log (LOG_INFO, CF_EV_ADMIT_REFUSE,
          "req=%s org=%s priority=%" G_GINT64_FORMAT " reason=%s", r->id,
          r->org, r->priority,
          res == CF_ADMIT_FULL ? "overloaded" : "fair-share");
  if (res == CF_ADMIT_FULL)
    cf_request_refuse (
        e, r, rep, 503, "overloaded", CF_RAN_NO, e->settings.retry_after_ms,
        "the entry is at its admission limit; come back after retry_after_ms");
  else
    cf_request_refuse (e, r, rep, 429, "fair-share", CF_RAN_NO,
                       e->settings.retry_after_ms,
                       "the organisation is at its fair share of a full entry; "
                       "come back after retry_after_ms");
  return FALSE;
}

static void
handle_request (CfEntry *e, const CfHttpRequest *req, CfHttpReply *rep)
{
  CfRequest r = { .http = req, .last_reason = "no-target" };
  CfConfig *c = NULL;

  g_snprintf (r.id, sizeof r.id, "%s-%" G_GUINT64_FORMAT, e->settings.name,
              (guint64)__atomic_add_fetch (&e->seq, 1, __ATOMIC_RELAXED));
  g_atomic_int_inc (&e->in_flight);
  if (!cf_request_parse (e, req, &r, rep))
    goto out;
  if (g_atomic_int_get (&e->draining))
    {
      cf_request_refuse (
          e, &r, rep, 503, "draining", CF_RAN_NO, e->settings.retry_after_ms,
          "this entry is shutting down; send the request to another");
      goto out;
    }
  c = cf_config_watch_get (&e->watch);
  if (c == NULL)
    {
      cf_request_refuse (
          e, &r, rep, 503, "no-config", CF_RAN_NO, e->settings.retry_after_ms,
          "no configuration is in force yet; check the config service");
      goto out;
    }
  r.intent = cf_config_find_intent (c, r.org, r.service, r.model);
  if (r.intent == NULL)
    {
      cf_log (LOG_INFO, CF_EV_NO_ROUTE,
              "req=%s org=%s service=%s model=%s "
              "reason=no-intent",
              r.id, r.org, r.service, r.model);
      cf_request_refuse (
          e, &r, rep, 403, "no-intent", CF_RAN_NO, 0,
          "no routing intent permits this organisation, service and "
          "model; ask an operator to add one");
      goto out;
    }
  r.config = c;
  if (r.key)
    {
      r.prev_config
          = cf_config_watch_previous (&e->watch, e->settings.key_horizon_ms);
      g_snprintf (r.token, sizeof r.token, "%s-%016" G_GINT64_MODIFIER "x",
                  r.id, e->start_id);
    }
  r.priority = MIN (r.priority, r.intent->priority);
  if (admit (e, &r, rep))
    cf_entry_route (e, &r, rep);
out:
  if (r.admitted)
    cf_admission_release (&e->admission, r.org);
  g_atomic_int_add (&e->in_flight, -1);
  rep->close = g_atomic_int_get (&e->draining);
  cf_config_unref (c);
  cf_request_clear (&r);
}

static void
handle_health (CfEntry *e, CfHttpReply *rep)
{
  CfConfig *c = cf_config_watch_get (&e->watch);
  CfLinkTotals links = cf_link_table_totals (&e->links);
  json_t *o;

  o = json_pack (
      "{s:I, s:I, s:I, s:I, s:i, s:b, s:I, s:I, s:I, s:I}", "config_version",
      (json_int_t)(c ? c->version : 0), "links_up", (json_int_t)links.up,
      "guards_quiet", (json_int_t)links.quiet_guards, "ejected",
      (json_int_t)links.ejected, "in_flight", g_atomic_int_get (&e->in_flight),
      "draining", g_atomic_int_get (&e->draining), "answered",
      (json_int_t)e->answered, "refused", (json_int_t)e->refused, "retries",
      (json_int_t)e->retries, "pings", (json_int_t)links.pings);
  rep->body = json_dumps (o, JSON_COMPACT);
  json_decref (o);
  cf_config_unref (c);
}

static void
on_caller_request (void *data, const CfHttpRequest *req, CfHttpReply *rep)
{
  CfEntry *e = data;

  if (g_str_equal (req->path, "/v1/requests")
      && g_str_equal (req->method, "POST"))
    handle_request (e, req, rep);
  else if (g_str_equal (req->path, "/v1/health"))
    handle_health (e, rep);
  else
    cf_http_reply_error (rep, 404, "not-found",
                         "use POST /v1/requests or GET /v1/health");
}

/* Serves the other entries, on an address that callers do not reach. */
static void
on_peer_request (void *data, const CfHttpRequest *req, CfHttpReply *rep)
{
  CfEntry *e = data;

  if (g_str_equal (req->path, "/v1/config"))
    cf_config_watch_serve (&e->watch, req, rep);
  else
    cf_http_reply_error (rep, 404, "not-found", "use GET /v1/config?after=N");
}

CfStatus
cf_entry_start (CfEntry *e)
{
  CfStatus st;

  cf_link_table_init (&e->links);
  cf_admission_init (&e->admission, e->settings.max_in_flight,
                     e->settings.low_priority_share, e->settings.fair_reserve);
  cf_retry_budget_init (&e->retry_budget, e->settings.retry_percent,
                        e->settings.retry_slack);
  e->start_id = (guint64)g_random_int () << 32 | g_random_int ();
  cf_config_watch_start (&e->watch, e->settings.config_url, e->settings.peers,
                         e->settings.watch_wait_ms, on_config, e);
  cf_vm_list_start (&e->vms, e->settings.vmlist_url,
                    e->settings.vmlist_poll_ms);
  if (!g_str_equal (e->settings.peer_listen, "off"))
    {
      st = cf_http_server_start (e->settings.peer_listen, on_peer_request, e,
                                 &e->peer_http);
      if (st != CF_OK)
        return st;
    }
  st = cf_http_server_start (e->settings.listen, on_caller_request, e,
                             &e->http);
  if (st == CF_OK)
    cf_log (LOG_INFO, CF_EV_LISTEN, "addr=%s datacentre=%s", e->settings.listen,
            e->settings.datacentre);
  return st;
}

/* Waits until the replies to all active requests are sent, at most until
 * @until on the cf_now_ms() clock. */
static void
wait_for_replies (CfEntry *e, long long until)
{
  while (cf_http_server_count_active (e->http) > 0 && cf_now_ms () < until)
    usleep (10000);
}

void
cf_entry_drain (CfEntry *e)
{
  long long until = cf_now_ms () + e->settings.drain_grace_ms;

  __atomic_store_n (&e->drain_deadline_ms, until, __ATOMIC_RELEASE);
  g_atomic_int_set (&e->draining, 1);
  cf_log (LOG_NOTICE, CF_EV_DRAIN_BEGIN, "in_flight=%d",
          g_atomic_int_get (&e->in_flight));
  cf_http_server_quiesce (e->http);
  wait_for_replies (e, until);
  /* A request is active only once its head has been read completely.  Those
   * that become active later are refused; wait for their replies too. */
  usleep (DRAIN_LINGER_MS * 1000);
  wait_for_replies (e, until);
  cf_log (LOG_NOTICE, CF_EV_DRAIN_DONE, "in_flight=%d",
          g_atomic_int_get (&e->in_flight));
  cf_http_server_stop (e->http);
  cf_http_server_stop (e->peer_http);
}
