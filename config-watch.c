#include "config-watch.h"

#include "http-client.h"
#include "log.h"
#include "net.h"

#include <unistd.h>

#define BACKOFF_MIN_MS 200
#define BACKOFF_MAX_MS 3000

gboolean
cf_config_watch_offer (CfConfigWatch *w, CfConfig *c)
{
  gboolean newer;
  CfConfig *old = NULL;
  gint64 in_force;

  pthread_mutex_lock (&w->lock);
  in_force = w->current ? w->current->version : 0;
  newer = w->current == NULL || c->version > in_force;
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
      /* The same version is what a watch that waited in vain returns. */
      if (c->version < in_force)
        cf_log (LOG_INFO, CF_EV_CONFIG_OLDER,
                "version=%" G_GINT64_FORMAT " in_force=%" G_GINT64_FORMAT,
                c->version, in_force);
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
version_in_force (CfConfigWatch *w)
{
  gint64 v;

  pthread_mutex_lock (&w->lock);
  v = w->current ? w->current->version : 0;
  pthread_mutex_unlock (&w->lock);
  return v;
}

/* How a watch call ended. */
typedef enum
{
  WATCH_NEWER,   /* a newer valid version is in force */
  WATCH_WAITED,  /* the service held the call and had nothing newer */
  WATCH_NOTHING, /* an answer at once with nothing newer: stale, or bad */
  WATCH_FAILED,  /* the service did not answer */
} WatchResult;

/* One watch call. */
static WatchResult
watch_once (CfConfigWatch *w)
{
  g_autofree char *url = NULL;
  g_autofree char *body = NULL;
  long long t0 = cf_now_ms ();
  WatchResult res = WATCH_NOTHING;
  json_error_t jerr;
  CfConfig *c = NULL;
  json_t *doc = NULL;
  json_t *version;
  long code = 0;
  CfStatus st;

  url = g_strdup_printf ("%s/v1/watch?after=%" G_GINT64_FORMAT
                         "&wait_ms=%" G_GINT64_FORMAT,
                         w->url, version_in_force (w), w->wait_ms);
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
  doc = json_loads (body, 0, &jerr);
  version = json_object_get (doc, "version");
  if (!json_is_integer (version))
    {
      cf_log (LOG_ERR, CF_EV_CONFIG_BAD,
              "error=\"reply has no integer 'version'\"");
      goto out;
    }
  st = cf_config_parse_json (json_object_get (doc, "records"), "config",
                             json_integer_value (version), &c);
  if (st != CF_OK)
    {
      cf_log (LOG_ERR, CF_EV_CONFIG_BAD,
              "version=%" JSON_INTEGER_FORMAT " error=\"%s\"",
              json_integer_value (version), cf_last_error ());
      goto out;
    }
  if (cf_config_watch_offer (w, c))
    res = WATCH_NEWER;
  else if (cf_now_ms () - t0 >= w->wait_ms / 2)
    res = WATCH_WAITED;
out:
  json_decref (doc);
  return res;
}

static void *
watch_thread (void *p)
{
  CfConfigWatch *w = p;
  gint64 backoff = BACKOFF_MIN_MS;

  for (;;)
    {
      switch (watch_once (w))
        {
        case WATCH_NEWER:
        case WATCH_WAITED:
          backoff = BACKOFF_MIN_MS;
          continue;
        case WATCH_NOTHING:
          /* A stale replica answers at once; asking again at once would
           * spend the service's shared read budget for nothing. */
        case WATCH_FAILED:
          usleep (backoff * 1000);
          backoff = MIN (backoff * 2, BACKOFF_MAX_MS);
          break;
        }
    }
  return NULL;
}

void
cf_config_watch_start (CfConfigWatch *w, const char *url, gint64 wait_ms,
                       void (*on_change) (void *, CfConfig *), void *data)
{
  w->url = g_strdup (url);
  w->wait_ms = wait_ms;
  w->on_change = on_change;
  w->data = data;
  pthread_mutex_init (&w->lock, NULL);
  pthread_create (&w->thread, NULL, watch_thread, w);
  pthread_detach (w->thread);
}
