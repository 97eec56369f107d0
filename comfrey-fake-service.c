/*
 * A stand-in for a plain service, such as an order desk or a booking
 * service, whose calls must not run twice.  It counts the runs of each
 * idempotency key, so that tests can detect calls that ran twice.
 */
#include "daemon.h"
#include "fake-break.h"
#include "http-server.h"
#include "log.h"

#include <jansson.h>
#include <stdio.h>
#include <unistd.h>

static const char defaults[] = "[service]\n"
                               "listen = \"127.0.0.1:7301\"\n"
                               "work_ms = 3\n";

static struct
{
  char *listen;
  gint64 work_ms; /* duration of a call */
} settings;

static const CfSetting fields[] = {
  { CF_SETTING_STRING, "service", "listen",
    offsetof (typeof (settings), listen), 0, 0 },
  { CF_SETTING_INT, "service", "work_ms", offsetof (typeof (settings), work_ms),
    0, 60000 },
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *runs_by_key; /* idempotency key -> number of runs */
static gint64 calls;
static gint drop_next_answer; /* 1: run the next call, but drop its answer */

static void
call (const CfHttpRequest *req, CfHttpReply *rep)
{
  const char *key = cf_http_header (req, "Idempotency-Key");
  json_t *body = json_loads (req->body, JSON_DECODE_ANY, NULL);
  guint n = 0;
  json_t *o;

  pthread_mutex_lock (&lock);
  calls++;
  if (key)
    {
      n = GPOINTER_TO_UINT (g_hash_table_lookup (runs_by_key, key)) + 1;
      g_hash_table_insert (runs_by_key, g_strdup (key), GUINT_TO_POINTER (n));
    }
  pthread_mutex_unlock (&lock);
  usleep (settings.work_ms * 1000);
  rep->drop = g_atomic_int_compare_and_exchange (&drop_next_answer, 1, 0);
  o = json_pack ("{s:o, s:i}", "done", body ? body : json_null (), "runs",
                 (int)n);
  rep->body = json_dumps (o, JSON_COMPACT);
  json_decref (o);
}

static void
list_runs (CfHttpReply *rep)
{
  json_t *o = json_object ();
  GHashTableIter it;
  gpointer k, v;

  pthread_mutex_lock (&lock);
  g_hash_table_iter_init (&it, runs_by_key);
  while (g_hash_table_iter_next (&it, &k, &v))
    json_object_set_new (o, k, json_integer (GPOINTER_TO_UINT (v)));
  pthread_mutex_unlock (&lock);
  rep->body = json_dumps (o, JSON_COMPACT | JSON_SORT_KEYS);
  json_decref (o);
}

static void
on_http (void *data, const CfHttpRequest *req, CfHttpReply *rep)
{
  if (g_str_equal (req->path, "/v1/call"))
    call (req, rep);
  else if (g_str_equal (req->path, "/test/counts"))
    list_runs (rep);
  else if (g_str_equal (req->path, "/test/drop-next"))
    {
      g_atomic_int_set (&drop_next_answer, 1);
      rep->body = g_strdup ("{\"ok\":true}");
    }
  else
    cf_http_reply_error (rep, 404, "not-found", "use /v1/call");
}

int
main (int argc, char **argv)
{
  int rc;

  rc = cf_daemon_init_fields (
      &argc, &argv, "comfrey-fake-service",
      "A stand-in for a plain service whose calls must not "
      "run twice; counts runs per idempotency key.",
      defaults, fields, G_N_ELEMENTS (fields), &settings);
  if (rc >= 0)
    return rc;
  runs_by_key = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return fake_break_serve (settings.listen, on_http);
}
