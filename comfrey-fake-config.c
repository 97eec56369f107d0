/*
 * A stand-in for the platform's read-and-watch configuration service.  It
 * serves versioned records and long-poll watches, accepts no writes from
 * the system, and can be set down or stale through its test hooks.
 */
#include "daemon.h"
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
  char *records; /* the file that holds version 1 */
} set;

static const CfSetting fields[] = {
  { CF_SETTING_STRING, "config", "listen", offsetof (typeof (set), listen), 0,
    0 },
  { CF_SETTING_STRING, "config", "records", offsetof (typeof (set), records), 0,
    0 },
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
  json_t *records;      /* the newest version's array */
  GPtrArray *history;   /* every version's records, version 1 first */
  gint64 stale_version; /* what MODE_STALE serves */
  Mode mode;
  guint outages; /* how often it was set down */
  gint64 reads;
} svc;

static json_t *
lines_to_array (const char *text, const char *origin, char **error)
{
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  CfConfig *check = NULL;
  json_t *a = json_array ();

  /* Refuse what no reader could accept, as the real service's owners do. */
  if (cf_config_parse_lines (text, origin, 1, &check) != CF_OK)
    {
      *error = g_strdup (cf_last_error ());
      json_decref (a);
      return NULL;
    }
  cf_config_unref (check);
  for (int i = 0; lines[i]; i++)
    {
      const char *l = g_strstrip (lines[i]);

      if (*l && *l != '#')
        json_array_append_new (a, json_loads (l, 0, NULL));
    }
  return a;
}

static void
publish (json_t *records)
{
  svc.version++;
  svc.records = records;
  g_ptr_array_add (svc.history, records);
  pthread_cond_broadcast (&svc.changed);
  cf_log (LOG_NOTICE, CF_EV_CONFIG_ACCEPT,
          "version=%" G_GINT64_FORMAT " records=%zu", svc.version,
          json_array_size (records));
}

static void
serve_records (CfHttpReply *rep, gint64 after, gint64 wait_ms)
{
  struct timespec ts;
  long long until = cf_now_ms () + wait_ms;
  guint outages;
  Mode mode;
  json_t *o;

  pthread_mutex_lock (&svc.lock);
  svc.reads++;
  outages = svc.outages;
  while (svc.mode == MODE_UP && svc.outages == outages && svc.version <= after
         && cf_now_ms () < until)
    {
      clock_gettime (CLOCK_REALTIME, &ts);
      ts.tv_nsec += 50L * 1000000;
      if (ts.tv_nsec >= 1000000000)
        {
          ts.tv_sec++;
          ts.tv_nsec -= 1000000000;
        }
      pthread_cond_timedwait (&svc.changed, &svc.lock, &ts);
    }
  /* An outage cuts every watch that waits, also one that was over before
   * this thread had its turn. */
  mode = svc.outages == outages ? svc.mode : MODE_DOWN;
  switch (mode)
    {
    case MODE_DOWN:
      cf_http_reply_error (rep, 503, "down", "the service is down (test)");
      break;
    case MODE_STALE:
      o = json_pack ("{s:I, s:O}", "version", (json_int_t)svc.stale_version,
                     "records",
                     g_ptr_array_index (svc.history, svc.stale_version - 1));
      rep->body = json_dumps (o, JSON_COMPACT);
      json_decref (o);
      break;
    case MODE_UP:
      o = json_pack ("{s:I, s:O}", "version", (json_int_t)svc.version,
                     "records", svc.records);
      rep->body = json_dumps (o, JSON_COMPACT);
      json_decref (o);
      break;
    }
  pthread_mutex_unlock (&svc.lock);
}

static gint64
query_int (const CfHttpRequest *req, const char *name, gint64 def)
{
  const char *v = cf_http_query_arg (req, name);

  return v ? g_ascii_strtoll (v, NULL, 10) : def;
}

/* ?mode=up|down|stale; stale serves ?version=N (default: the newest)
 * from then on, as a lagging replica of the real service would. */
static void
set_mode (const CfHttpRequest *req, CfHttpReply *rep)
{
  const char *m = cf_http_query_arg (req, "mode");
  const char *v = cf_http_query_arg (req, "version");

  if (m == NULL)
    {
      cf_http_reply_error (rep, 400, "bad-request", "give mode=up|down|stale");
      return;
    }
  pthread_mutex_lock (&svc.lock);
  if (g_str_equal (m, "stale"))
    {
      svc.stale_version = v ? g_ascii_strtoll (v, NULL, 10) : svc.version;
      svc.stale_version = CLAMP (svc.stale_version, 1, svc.version);
    }
  svc.outages += g_str_equal (m, "down");
  svc.mode = g_str_equal (m, "down")    ? MODE_DOWN
             : g_str_equal (m, "stale") ? MODE_STALE
                                        : MODE_UP;
  pthread_cond_broadcast (&svc.changed);
  pthread_mutex_unlock (&svc.lock);
  rep->body = g_strdup_printf ("{\"mode\":\"%s\"}", m);
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
      records = lines_to_array (req->body, "published", &error);
      if (records == NULL)
        {
          cf_http_reply_error (rep, 400, "bad-records", error);
          return;
        }
      pthread_mutex_lock (&svc.lock);
      publish (records);
      rep->body
          = g_strdup_printf ("{\"version\":%" G_GINT64_FORMAT "}", svc.version);
      pthread_mutex_unlock (&svc.lock);
    }
  else if (g_str_equal (req->path, "/test/mode"))
    set_mode (req, rep);
  else if (g_str_equal (req->path, "/test/reads"))
    rep->body = g_strdup_printf ("{\"reads\":%" G_GINT64_FORMAT "}", svc.reads);
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
                       "A stand-in for the read-and-watch configuration "
                       "service, for tests and the demo.",
                       defaults, &args, &s);
  if (rc >= 0)
    return rc;
  if (cf_settings_read (&s, fields, G_N_ELEMENTS (fields), &set) != CF_OK)
    return cf_daemon_log_settings_error ();
  if (!g_file_get_contents (set.records, &text, NULL, NULL))
    {
      cf_fail (CF_ERR_SETTINGS, "point [config] records at a JSONL file",
               "cannot read %s", set.records);
      return cf_daemon_log_settings_error ();
    }
  records = lines_to_array (text, set.records, &error);
  if (records == NULL)
    {
      cf_log (LOG_ERR, CF_EV_CONFIG_BAD, "error=\"%s\"", error);
      return 2;
    }
  if (cf_daemon_is_check_only (&args, &s))
    return 0;
  pthread_mutex_init (&svc.lock, NULL);
  pthread_cond_init (&svc.changed, NULL);
  svc.history = g_ptr_array_new_with_free_func ((GDestroyNotify)json_decref);
  publish (records);
  return cf_daemon_serve_http (set.listen, on_http, NULL);
}
