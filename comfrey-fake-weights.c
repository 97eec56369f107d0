/*
 * A stand-in for the platform's rate-limited weight store.  GET
 * /v1/weights?mb=N answers after the time that sending N MB takes at the
 * store's rate, which requests share first come, first served.  A request
 * that would wait too long is rejected at once and told when to retry.
 */
#include "daemon.h"
#include "fake-break.h"
#include "http-server.h"
#include "net.h"

#include <pthread.h>
#include <unistd.h>

static const char defaults[] = "[weights]\n"
                               "listen = \"127.0.0.1:7400\"\n"
                               "mb_per_s = 2000\n"
                               "max_wait_ms = 30000\n";

typedef struct
{
  char *listen;
  gint64 mb_per_s;
  gint64 max_wait_ms;
  pthread_mutex_t lock;
  long long free_at_ms; /* when the data of all accepted requests is sent */
  gint64 served_mb;
  gint64 refused;
} Store;

static const CfSetting fields[] = {
  { CF_SETTING_STRING, "weights", "listen", offsetof (Store, listen), 0, 0 },
  { CF_SETTING_INT, "weights", "mb_per_s", offsetof (Store, mb_per_s), 1,
    1000000 },
  { CF_SETTING_INT, "weights", "max_wait_ms", offsetof (Store, max_wait_ms), 0,
    3600000 },
};

static Store store = { .lock = PTHREAD_MUTEX_INITIALIZER };

static void
handle_weights (const CfHttpRequest *req, CfHttpReply *rep)
{
  const char *text = cf_http_query_arg (req, "mb");
  gint64 mb = text ? g_ascii_strtoll (text, NULL, 10) : 0;
  long long now_ms = cf_now_ms ();
  long long done_ms;
  gboolean busy;

  if (mb < 1 || mb > 1000000)
    {
      cf_http_reply_error (rep, 400, "bad-request",
                           "give mb=N, from 1 to 1000000");
      return;
    }
  pthread_mutex_lock (&store.lock);
  done_ms = MAX (store.free_at_ms, now_ms) + mb * 1000 / store.mb_per_s;
  busy = done_ms - now_ms > store.max_wait_ms;
  if (busy)
    store.refused++;
  else
    {
      store.free_at_ms = done_ms;
      store.served_mb += mb;
    }
  pthread_mutex_unlock (&store.lock);
  if (busy)
    {
      cf_http_reply_error (rep, 429, "busy", "the store's rate is spent");
      rep->retry_after_ms = MAX (done_ms - now_ms - store.max_wait_ms, 1);
      return;
    }
  usleep ((useconds_t)(done_ms - now_ms) * 1000);
  rep->body = g_strdup_printf ("{\"mb\":%" G_GINT64_FORMAT "}", mb);
}

/* Handles /test/busy?ms=N: adds N ms of work to the store's backlog, as if
 * other readers had requested it. */
static void
add_backlog (const CfHttpRequest *req, CfHttpReply *rep)
{
  const char *ms = cf_http_query_arg (req, "ms");

  pthread_mutex_lock (&store.lock);
  store.free_at_ms = MAX (store.free_at_ms, cf_now_ms ())
                     + (ms ? g_ascii_strtoll (ms, NULL, 10) : 0);
  pthread_mutex_unlock (&store.lock);
  rep->body = g_strdup ("{\"ok\":true}");
}

static void
on_http (void *data, const CfHttpRequest *req, CfHttpReply *rep)
{
  if (g_str_equal (req->path, "/v1/weights"))
    handle_weights (req, rep);
  else if (g_str_equal (req->path, "/test/busy"))
    add_backlog (req, rep);
  else if (g_str_equal (req->path, "/test/served"))
    {
      pthread_mutex_lock (&store.lock);
      rep->body = g_strdup_printf ("{\"served_mb\":%" G_GINT64_FORMAT
                                   ",\"refused\":%" G_GINT64_FORMAT "}",
                                   store.served_mb, store.refused);
      pthread_mutex_unlock (&store.lock);
    }
  else
    cf_http_reply_error (rep, 404, "not-found", "use /v1/weights?mb=N");
}

int
main (int argc, char **argv)
{
  int rc;

  rc = cf_daemon_init_fields (
      &argc, &argv, "comfrey-fake-weights",
      "A stand-in for the platform's rate-limited weight "
      "store, for tests and experiments.",
      defaults, fields, G_N_ELEMENTS (fields), &store);
  if (rc >= 0)
    return rc;
  return fake_break_serve (store.listen, on_http);
}
