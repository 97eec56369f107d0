/*
 * A stand-in for the platform's read-only configuration service.  It serves
 * versioned records and long-poll watches.  Tests publish new versions and
 * make it unavailable or stale through its /test paths.
 */
#include "daemon.h"
#include "fake-break.h"
#include "http-server.h"
#include "log.h"
#include "net.h"
#include "records.h"

#include <errno.h>
#include <jansson.h>
#include <stdio.h>
#include <time.h>

static const char defaults[] = "[config]\n"
                               "listen = \"127.0.0.1:7000\"\n"
                               "records = \"demo/records.jsonl\"\n";

static struct
{
  char *listen;
  char *records; /* file with the records of version 1 */
} settings;

static const CfSetting fields[] = {
  { CF_SETTING_STRING, "config", "listen", offsetof (typeof (settings), listen),
    0, 0 },
  { CF_SETTING_STRING, "config", "records",
    offsetof (typeof (settings), records), 0, 0 },
};

typedef enum
{
  MODE_UP,
  MODE_DOWN,
  MODE_STALE,
} Mode;

static struct
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  gint64 version;
  json_t *records;      /* array of the newest version */
  GPtrArray *history;   /* records of every version, version 1 first */
  gint64 stale_version; /* the version that MODE_STALE serves */
  Mode mode;
  guint outage_count; /* times that MODE_DOWN was set */
  gint64 reads;
} service;

static json_t *
parse_records (const char *text, const char *origin, char **error)
{
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  CfConfig *parsed = NULL;
  json_t *records = json_array ();

  /* Like the real service, reject records that no reader could accept. */
  if (cf_config_parse_lines (text, origin, 1, &parsed) != CF_OK)
    {
      *error = g_strdup (cf_last_error ());
      json_decref (records);
      return NULL;
    }
  cf_config_unref (parsed);
  for (int i = 0; lines[i]; i++)
    {
      const char *line = g_strstrip (lines[i]);

      if (*line && *line != '#')
        json_array_append_new (records, json_loads (line, 0, NULL));
    }
  return records;
}

static void
publish (json_t *records)
{
  service.version++;
  service.records = records;
  g_ptr_array_add (service.history, records);
  pthread_cond_broadcast (&service.changed);
  cf_log (LOG_NOTICE, CF_EV_CONFIG_ACCEPT,
          "version=%" G_GINT64_FORMAT " records=%zu", service.version,
          json_array_size (records));
}

static void
serve_records (CfHttpReply *rep, gint64 after, gint64 wait_ms)
{
  struct timespec ts;
  long long deadline_ms = cf_now_ms () + wait_ms;
  guint outage_count;
  Mode mode;
  json_t *o;

  pthread_mutex_lock (&service.lock);
  service.reads++;
  outage_count = service.outage_count;
  while (service.mode == MODE_UP && service.outage_count == outage_count
         && service.version <= after && cf_now_ms () < deadline_ms)
    {
      clock_gettime (CLOCK_REALTIME, &ts);
      ts.tv_nsec += 50L * 1000000;
      if (ts.tv_nsec >= 1000000000)
        {
          ts.tv_sec++;
          ts.tv_nsec -= 1000000000;
        }
      pthread_cond_timedwait (&service.changed, &service.lock, &ts);
    }
  /* An outage ends every waiting watch, even if it was over before this thread
   * woke up. */
  mode = service.outage_count == outage_count ? service.mode : MODE_DOWN;
  switch (mode)
    {
    case MODE_DOWN:
      cf_http_reply_error (rep, 503, "down", "the service is down (test)");
      break;
    case MODE_STALE:
      o = json_pack (
          "{s:I, s:O}", "version", (json_int_t)service.stale_version, "records",
          g_ptr_array_index (service.history, service.stale_version - 1));
      rep->body = json_dumps (o, JSON_COMPACT);
      json_decref (o);
      break;
    case MODE_UP:
      o = json_pack ("{s:I, s:O}", "version", (json_int_t)service.version,
                     "records", service.records);
      rep->body = json_dumps (o, JSON_COMPACT);
      json_decref (o);
      break;
    }
  pthread_mutex_unlock (&service.lock);
}

static gint64
query_int (const CfHttpRequest *req, const char *name, gint64 default_value)
{
  const char *value = cf_http_query_arg (req, name);

  return value ? g_ascii_strtoll (value, NULL, 10) : default_value;
}

/* Handles /test/mode?mode=up|down|stale.  Mode stale serves version=N (default:
 * the newest) until the mode changes, like a lagging replica of the real
 * service. */
static void
set_mode (const CfHttpRequest *req, CfHttpReply *rep)
{
  const char *mode = cf_http_query_arg (req, "mode");
  const char *version = cf_http_query_arg (req, "version");

  if (mode == NULL)
    {
      cf_http_reply_error (rep, 400, "bad-request", "give mode=up|down|stale");
      return;
    }
  pthread_mutex_lock (&service.lock);
  if (g_str_equal (mode, "stale"))
    {
      service.stale_version
          = version ? g_ascii_strtoll (version, NULL, 10) : service.version;
      service.stale_version = CLAMP (service.stale_version, 1, service.version);
    }
  service.outage_count += g_str_equal (mode, "down");
  service.mode = g_str_equal (mode, "down")    ? MODE_DOWN
                 : g_str_equal (mode, "stale") ? MODE_STALE
                                               : MODE_UP;
  pthread_cond_broadcast (&service.changed);
  pthread_mutex_unlock (&service.lock);
  rep->body = g_strdup_printf ("{\"mode\":\"%s\"}", mode);
}

static void
on_http (void *data, const CfHttpRequest *req, CfHttpReply *rep)
{
  g_autofree char *error = NULL;
  json_t *records;

  if (g_str_equal (req->path, "/v1/records"))
    serve_records (rep, G_MAXINT64, 0);
  else if (g_str_equal (req->path, "/v1/watch"))
    serve_records (rep, query_int (req, "after", 0),
                   CLAMP (query_int (req, "wait_ms", 5000), 0, 60000));
  else if (g_str_equal (req->path, "/test/publish")
           && g_str_equal (req->method, "POST"))
    {
      records = parse_records (req->body, "published", &error);
      if (records == NULL)
        {
          cf_http_reply_error (rep, 400, "bad-records", error);
          return;
        }
      pthread_mutex_lock (&service.lock);
      publish (records);
      rep->body = g_strdup_printf ("{\"version\":%" G_GINT64_FORMAT "}",
                                   service.version);
      pthread_mutex_unlock (&service.lock);
    }
  else if (g_str_equal (req->path, "/test/mode"))
    set_mode (req, rep);
  else if (g_str_equal (req->path, "/test/reads"))
    rep->body
        = g_strdup_printf ("{\"reads\":%" G_GINT64_FORMAT "}", service.reads);
  else
    cf_http_reply_error (rep, 404, "not-found",
                         "use /v1/records or /v1/watch?after=N");
}

int
main (int argc, char **argv)
{
  CfDaemonArgs args = { 0 };
  CfSettings s = { 0 };
  g_autofree char *text = NULL;
  g_autofree char *error = NULL;
  json_t *records;
  int rc;

  rc = cf_daemon_init (&argc, &argv, "comfrey-fake-config",
                       "A stand-in for the platform's configuration service, "
                       "for tests and the demo.",
                       defaults, &args, &s);
  if (rc >= 0)
    return rc;
  if (cf_settings_read (&s, fields, G_N_ELEMENTS (fields), &settings) != CF_OK)
    return cf_daemon_log_settings_error ();
  if (!g_file_get_contents (settings.records, &text, NULL, NULL))
    {
      cf_fail (CF_ERR_SETTINGS, "point [config] records at a JSONL file",
               "cannot read %s", settings.records);
      return cf_daemon_log_settings_error ();
    }
  records = parse_records (text, settings.records, &error);
  if (records == NULL)
    {
      cf_log (LOG_ERR, CF_EV_CONFIG_BAD, "error=\"%s\"", error);
      return 2;
    }
  if (cf_daemon_is_check_only (&args, &s))
    return 0;
  pthread_mutex_init (&service.lock, NULL);
  pthread_cond_init (&service.changed, NULL);
  service.history
      = g_ptr_array_new_with_free_func ((GDestroyNotify)json_decref);
  publish (records);
  return fake_break_serve (settings.listen, on_http);
}
