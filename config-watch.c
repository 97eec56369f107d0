#include "config-watch.h"

#include "http-client.h"
#include "log.h"
#include "net.h"

#include <unistd.h>

#define BACKOFF_MIN_MS 200
#define BACKOFF_MAX_MS 3000
/* Short, as a peer answers from memory and is in the same region. */
#define PEER_TIMEOUT_MS 300
#define PEER_POLL_INTERVAL_MS 500

gboolean
cf_config_watch_apply_newer (CfConfigWatch *w, CfConfig *c)
{
  gboolean newer;
  CfConfig *old = NULL;
  gint64 current_version;

  pthread_mutex_lock (&w->lock);
  current_version = w->current ? w->current->version : 0;
  newer = w->current == NULL || c->version > current_version;
  if (newer)
    {
      old = w->previous;
      w->previous = w->current;
      w->current = c;
      w->changed_ms = cf_now_ms ();
    }
  pthread_mutex_unlock (&w->lock);
  if (!newer)
    {
      /* A watch that timed out returns the same version: nothing to log. */
      if (c->version < current_version)
        cf_log (LOG_INFO, CF_EV_CONFIG_OLDER,
                "version=%" G_GINT64_FORMAT " in_force=%" G_GINT64_FORMAT,
                c->version, current_version);
      cf_config_unref (c);
      return FALSE;
    }
  cf_log (LOG_NOTICE, CF_EV_CONFIG_ACCEPT,
          "version=%" G_GINT64_FORMAT " intents=%u groups=%u", c->version,
          c->intents->len, g_hash_table_size (c->groups));
  cf_config_unref (old);
  if (w->on_change)
    w->on_change (w->data, c);
  return TRUE;
}

CfConfig *
cf_config_watch_get (CfConfigWatch *w)
{
  CfConfig *c;

  pthread_mutex_lock (&w->lock);
  c = w->current ? cf_config_ref (w->current) : NULL;
  pthread_mutex_unlock (&w->lock);
  return c;
}

CfConfig *
cf_config_watch_previous (CfConfigWatch *w, gint64 within_ms)
{
  CfConfig *c = NULL;

  pthread_mutex_lock (&w->lock);
  if (w->previous && cf_now_ms () - w->changed_ms < within_ms)
    c = cf_config_ref (w->previous);
  pthread_mutex_unlock (&w->lock);
  return c;
}

static gint64
get_current_version (CfConfigWatch *w)
{
  gint64 v;

  pthread_mutex_lock (&w->lock);
  v = w->current ? w->current->version : 0;
  pthread_mutex_unlock (&w->lock);
  return v;
}

/* How a watch request ended. */
typedef enum
{
  WATCH_NEWER,     /* a newer valid version was applied */
  WATCH_TIMED_OUT, /* the service held the request and had nothing newer */
  WATCH_STALE,     /* an immediate answer that is not newer */
  WATCH_INVALID,   /* an answer that is not a valid version */
  WATCH_FAILED,    /* the service did not answer */
} WatchResult;

/* Parses the document {"version", "records"} that @from sent, and applies it
 * if it is valid and newer. */
static WatchResult
apply_document (CfConfigWatch *w, const char *from, const char *body)
{
  WatchResult res = WATCH_INVALID;
  json_t *doc = json_loads (body, 0, NULL);
  json_t *version = json_object_get (doc, "version");
  json_t *records = json_object_get (doc, "records");
  CfConfig *c = NULL;

  if (!json_is_integer (version))
    {
      cf_log (LOG_ERR, CF_EV_CONFIG_BAD,
              "from=%s error=\"the reply has no integer 'version'\"", from);
      goto out;
    }
  if (cf_config_parse_json (records, "config", json_integer_value (version), &c)
      != CF_OK)
    {
      cf_log (LOG_ERR, CF_EV_CONFIG_BAD,
              "from=%s version=%" JSON_INTEGER_FORMAT " error=\"%s\"", from,
              json_integer_value (version), cf_last_error ());
      goto out;
    }
  c->source = json_dumps (records, JSON_COMPACT);
  res = cf_config_watch_apply_newer (w, c) ? WATCH_NEWER : WATCH_STALE;
out:
  json_decref (doc);
  return res;
}

/* Makes one watch request and applies its answer. */
static WatchResult
watch_once (CfConfigWatch *w)
{
  g_autofree char *url = NULL;
  g_autofree char *body = NULL;
  long long t0 = cf_now_ms ();
  WatchResult res;
  long code = 0;
  CfStatus st;

  url = g_strdup_printf ("%s/v1/watch?after=%" G_GINT64_FORMAT
                         "&wait_ms=%" G_GINT64_FORMAT,
                         w->url, get_current_version (w), w->wait_ms);
  st = cf_http_call ("GET", url, NULL, NULL, w->wait_ms + 2000, &code, &body);
  if (st != CF_OK || code != 200)
    {
      if (!w->down)
        cf_log (LOG_WARNING, CF_EV_CONFIG_DOWN, "url=%s code=%ld error=\"%s\"",
                w->url, code, st != CF_OK ? cf_last_error () : "status");
      w->down = TRUE;
      return WATCH_FAILED;
    }
  w->down = FALSE;
  res = apply_document (w, w->url, body);
  if (res == WATCH_STALE && cf_now_ms () - t0 >= w->wait_ms / 2)
    res = WATCH_TIMED_OUT;
  return res;
}

/* Requests a newer version from one peer and applies it. */
static void
fetch_from_peer (CfConfigWatch *w, const char *peer)
{
  g_autofree char *url = g_strdup_printf (
      "%s/v1/config?after=%" G_GINT64_FORMAT, peer, get_current_version (w));
  g_autofree char *body = NULL;
  long code = 0;

  if (cf_http_call ("GET", url, NULL, NULL, PEER_TIMEOUT_MS, &code, &body)
      != CF_OK)
    return;
  if (code == 200 && apply_document (w, peer, body) == WATCH_NEWER)
    g_atomic_int_set (&w->poll_peers, 0);
}

/* Polls the peers in turn while poll_peers is set. */
static void *
peer_thread (void *p)
{
  CfConfigWatch *w = p;
  guint next = 0;

  for (;; usleep (PEER_POLL_INTERVAL_MS * 1000))
    if (g_atomic_int_get (&w->poll_peers))
      fetch_from_peer (w, g_ptr_array_index (w->peers, next++ % w->peers->len));
  return NULL;
}

void
cf_config_watch_poll_peers (CfConfigWatch *w)
{
  g_atomic_int_set (&w->poll_peers, 1);
}

void
cf_config_watch_serve (CfConfigWatch *w, const CfHttpRequest *req,
                       CfHttpReply *rep)
{
  const char *after = cf_http_query_arg (req, "after");
  CfConfig *c = cf_config_watch_get (w);

  if (c == NULL || c->source == NULL
      || c->version <= (after ? g_ascii_strtoll (after, NULL, 10) : 0))
    cf_http_reply_error (rep, 404, "nothing-newer",
                         "no newer configuration is in force here");
  else
    rep->body
        = g_strdup_printf ("{\"version\":%" G_GINT64_FORMAT ",\"records\":%s}",
                           c->version, c->source);
  cf_config_unref (c);
}

static void *
watch_thread (void *p)
{
  CfConfigWatch *w = p;
  gint64 backoff = BACKOFF_MIN_MS;

  /* A process that starts while the service is stale must not apply an older
   * version than its peers use. */
  for (guint i = 0; i < w->peers->len; i++)
    fetch_from_peer (w, g_ptr_array_index (w->peers, i));
  for (;;)
    {
      switch (watch_once (w))
        {
        case WATCH_NEWER:
        case WATCH_TIMED_OUT:
          backoff = BACKOFF_MIN_MS;
          g_atomic_int_set (&w->poll_peers, 0);
          continue;
        case WATCH_STALE:
          /* A stale replica answers at once; to ask again without a delay
           * would waste the read budget that all readers share. */
        case WATCH_INVALID:
        case WATCH_FAILED:
          cf_config_watch_poll_peers (w);
          usleep (backoff * 1000);
          backoff = MIN (backoff * 2, BACKOFF_MAX_MS);
          break;
        }
    }
  return NULL;
}

void
cf_config_watch_start (CfConfigWatch *w, const char *url, GPtrArray *peers,
                       gint64 wait_ms, void (*on_change) (void *, CfConfig *),
                       void *data)
{
  pthread_t t;

  w->url = g_strdup (url);
  w->peers = peers;
  w->wait_ms = wait_ms;
  w->on_change = on_change;
  w->data = data;
  pthread_mutex_init (&w->lock, NULL);
  pthread_create (&w->thread, NULL, watch_thread, w);
  pthread_detach (w->thread);
  if (peers->len > 0)
    {
      pthread_create (&t, NULL, peer_thread, w);
      pthread_detach (t);
    }
}
