#include "config-watch.h"

#include "http-client.h"
#include "log.h"

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
      old = w->current;
      w->current = c;
    }
  pthread_mutex_unlock (&w->lock);
  if (!newer)
    {
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

static gint64
version_in_force (CfConfigWatch *w)
{
  gint64 v;

  pthread_mutex_lock (&w->lock);
  v = w->current ? w->current->version : 0;
  pthread_mutex_unlock (&w->lock);
  return v;
}

/* One watch call.  Returns FALSE if the service failed. */
static gboolean
watch_once (CfConfigWatch *w)
{
  g_autofree char *url = NULL;
  g_autofree char *body = NULL;
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
      return FALSE;
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
  cf_config_watch_offer (w, c);
out:
  json_decref (doc);
  return TRUE;
}

static void *
watch_thread (void *p)
{
  CfConfigWatch *w = p;
  gint64 backoff = BACKOFF_MIN_MS;

  for (;;)
    {
      if (watch_once (w))
        {
          backoff = BACKOFF_MIN_MS;
          continue;
        }
      usleep (backoff * 1000);
      backoff = MIN (backoff * 2, BACKOFF_MAX_MS);
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
