#include "fake-break.h"

#include "daemon.h"

#include <pthread.h>
#include <string.h>

typedef struct
{
  pthread_mutex_t lock;
  CfHttpHandler fn;
  char *path; /* whose answers break off */
  CfHttpFraming framing;
  gboolean is_framed_whole; /* the framing ends where the body is cut */
  long after;               /* bytes of the body; -1: all of them */
  gint64 count;             /* answers still to break off */
} Breaker;

static Breaker breaker = { .lock = PTHREAD_MUTEX_INITIALIZER };

static gint64
query_int (const CfHttpRequest *req, const char *name, gint64 default_value)
{
  const char *value = cf_http_query_arg (req, name);

  return value ? g_ascii_strtoll (value, NULL, 10) : default_value;
}

static gboolean
parse_framing (const char *name, CfHttpFraming *out)
{
  if (g_strcmp0 (name, "length") == 0 || g_strcmp0 (name, "short") == 0)
    *out = CF_HTTP_LENGTH;
  else if (g_strcmp0 (name, "chunked") == 0)
    *out = CF_HTTP_CHUNKED;
  else if (g_strcmp0 (name, "close") == 0)
    *out = CF_HTTP_CLOSE;
  else
    return FALSE;
  return TRUE;
}

static void
set_break (Breaker *b, const CfHttpRequest *req, CfHttpReply *rep)
{
  const char *path = cf_http_query_arg (req, "path");
  const char *name = cf_http_query_arg (req, "framing");
  CfHttpFraming framing;

  if (path == NULL || !parse_framing (name, &framing))
    {
      cf_http_reply_error (rep, 400, "bad-request",
                           "give path and framing=length|chunked|close|short");
      return;
    }
  pthread_mutex_lock (&b->lock);
  g_free (b->path);
  b->path = g_strdup (path);
  b->framing = framing;
  b->is_framed_whole = g_str_equal (name, "short");
  b->after = query_int (req, "after", -1);
  b->count = query_int (req, "count", 1);
  pthread_mutex_unlock (&b->lock);
  rep->body = g_strdup ("{\"ok\":true}");
}

static void
break_off (Breaker *b, const CfHttpRequest *req, CfHttpReply *rep)
{
  pthread_mutex_lock (&b->lock);
  if (b->count > 0 && g_str_equal (req->path, b->path))
    {
      b->count--;
      rep->framing = b->framing;
      rep->is_cut = b->after >= 0 && !b->is_framed_whole;
      rep->cut_after = MAX (b->after, 0);
      if (b->after >= 0 && b->is_framed_whole && rep->body
          && strlen (rep->body) > rep->cut_after)
        rep->body[rep->cut_after] = '\0';
    }
  pthread_mutex_unlock (&b->lock);
}

static void
on_http (void *data, const CfHttpRequest *req, CfHttpReply *rep)
{
  Breaker *b = data;

  if (g_str_equal (req->path, "/test/break"))
    set_break (b, req, rep);
  else
    {
      b->fn (NULL, req, rep);
      break_off (b, req, rep);
    }
}

int
fake_break_serve (const char *listen, CfHttpHandler fn)
{
  breaker.fn = fn;
  return cf_daemon_serve_http (listen, on_http, &breaker);
}
