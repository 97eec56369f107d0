#include "http-server.h"

#include "net.h"

#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

struct CfHttpServer
{
  struct MHD_Daemon *daemon;
  CfHttpHandler fn;
  void *data;
  int fd;
  gint active; /* requests with a complete head whose reply is not sent */
};

/* The body of a request, as far as it has been received. */
typedef struct
{
  GString *body;
  gboolean too_large;
} Upload;

/* A reply's body that is sent piece by piece. */
typedef struct
{
  char *data;
  size_t end; /* bytes to send */
  gboolean is_cut;
  CfHttpFraming framing;
} Body;

static ssize_t
read_body (void *cls, uint64_t pos, char *buf, size_t max)
{
  const Body *b = cls;
  size_t n = MIN (b->end - pos, max);

  if (n == 0)
    return b->is_cut && b->framing != CF_HTTP_CLOSE
               ? MHD_CONTENT_READER_END_WITH_ERROR
               : MHD_CONTENT_READER_END_OF_STREAM;
  memcpy (buf, b->data + pos, n);
  return (ssize_t)n;
}

static void
free_body (void *cls)
{
  Body *b = cls;

  g_free (b->data);
  g_free (b);
}

/* Creates the response to @rep with the framing that a test asks for. */
static struct MHD_Response *
create_framed_response (const CfHttpReply *rep)
{
  size_t len = rep->body ? strlen (rep->body) : 0;
  struct MHD_Response *r;
  Body *b = g_new0 (Body, 1);

  b->data = g_strdup (rep->body);
  b->end = rep->is_cut ? MIN (rep->cut_after, len) : len;
  b->is_cut = rep->is_cut;
  b->framing = rep->framing;
  r = MHD_create_response_from_callback (
      rep->framing == CF_HTTP_LENGTH ? len : MHD_SIZE_UNKNOWN, 4096, read_body,
      b, free_body);
  if (rep->framing == CF_HTTP_CLOSE)
    MHD_set_response_options (r, MHD_RF_HTTP_1_0_COMPATIBLE_STRICT, MHD_RO_END);
  return r;
}

static enum MHD_Result
send_reply (struct MHD_Connection *conn, CfHttpReply *rep)
{
  struct MHD_Response *r;
  enum MHD_Result ret;
  const char *body = rep->body ? rep->body : "";

  if (rep->framing == CF_HTTP_LENGTH && !rep->is_cut)
    r = MHD_create_response_from_buffer (strlen (body), (void *)body,
                                         MHD_RESPMEM_MUST_COPY);
  else
    r = create_framed_response (rep);
  MHD_add_response_header (r, "Content-Type",
                           rep->content_type ? rep->content_type
                                             : "application/json");
  if (rep->close)
    MHD_add_response_header (r, "Connection", "close");
  if (rep->retry_after_ms > 0)
    {
      char secs[32];

      /* Retry-After is in whole seconds; round up, so that no caller retries
       * too early. */
      g_snprintf (secs, sizeof secs, "%ld", (rep->retry_after_ms + 999) / 1000);
      MHD_add_response_header (r, "Retry-After", secs);
    }
  ret = MHD_queue_response (conn, rep->code, r);
  MHD_destroy_response (r);
  g_free (rep->body);
  return ret;
}

static enum MHD_Result
on_request (void *cls, struct MHD_Connection *conn, const char *url,
            const char *method, const char *version, const char *upload,
            size_t *upload_size, void **con_cls)
{
  CfHttpServer *s = cls;
  Upload *up = *con_cls;
  CfHttpRequest req = { 0 };
  CfHttpReply rep = { 0 };

  (void)version;
  if (up == NULL)
    {
      g_atomic_int_inc (&s->active);
      up = g_new0 (Upload, 1);
      up->body = g_string_new (NULL);
      *con_cls = up;
      return MHD_YES;
    }
  if (*upload_size > 0)
    {
      if (up->body->len + *upload_size > CF_HTTP_BODY_MAX_BYTES)
        up->too_large = TRUE;
      else
        g_string_append_len (up->body, upload, *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
  if (up->too_large)
    {
      cf_http_reply_error (&rep, MHD_HTTP_CONTENT_TOO_LARGE, "too-large",
                           "request body is over 1 MiB; send a smaller body");
      return send_reply (conn, &rep);
    }
  req.method = method;
  req.path = url;
  req.body = up->body->str;
  req.body_len = up->body->len;
  req.conn = conn;
  rep.code = MHD_HTTP_OK;
  s->fn (s->data, &req, &rep);
  if (rep.drop)
    {
      g_free (rep.body);
      return MHD_NO;
    }
  return send_reply (conn, &rep);
}

static void
on_completed (void *cls, struct MHD_Connection *conn, void **con_cls,
              enum MHD_RequestTerminationCode code)
{
  CfHttpServer *s = cls;
  Upload *up = *con_cls;

  (void)conn;
  (void)code;
  if (up == NULL)
    return;
  g_atomic_int_add (&s->active, -1);
  g_string_free (up->body, TRUE);
  g_free (up);
  *con_cls = NULL;
}

CfStatus
cf_http_server_start (const char *addr, CfHttpHandler fn, void *data,
                      CfHttpServer **out)
{
  CfHttpServer *s;
  CfStatus st;
  int fd;

  st = cf_listen_tcp (addr, &fd);
  if (st != CF_OK)
    return st;
  s = g_new0 (CfHttpServer, 1);
  s->fn = fn;
  s->data = data;
  s->fd = fd;
  s->daemon = MHD_start_daemon (
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD
          | MHD_USE_ITC,
      0, NULL, NULL, on_request, s, MHD_OPTION_LISTEN_SOCKET, fd,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, s,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)60, MHD_OPTION_END);
  if (s->daemon == NULL)
    {
      close (fd);
      g_free (s);
      return cf_fail (CF_ERR_NET,
                      "check the address and the limit on open files",
                      "cannot start the HTTP server on %s", addr);
    }
  *out = s;
  return CF_OK;
}

int
cf_http_server_count_active (const CfHttpServer *s)
{
  return g_atomic_int_get (&s->active);
}

void
cf_http_server_quiesce (CfHttpServer *s)
{
  int fd = MHD_quiesce_daemon (s->daemon);

  if (fd >= 0)
    close (fd);
}

void
cf_http_server_stop (CfHttpServer *s)
{
  if (s == NULL)
    return;
  MHD_stop_daemon (s->daemon);
  g_free (s);
}

const char *
cf_http_query_arg (const CfHttpRequest *req, const char *name)
{
  return MHD_lookup_connection_value (req->conn, MHD_GET_ARGUMENT_KIND, name);
}

const char *
cf_http_header (const CfHttpRequest *req, const char *name)
{
  return MHD_lookup_connection_value (req->conn, MHD_HEADER_KIND, name);
}

gboolean
cf_http_is_caller_gone (const CfHttpRequest *req)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (req->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
  struct pollfd pfd = { .events = POLLRDHUP };

  if (info == NULL)
    return FALSE;
  pfd.fd = info->connect_fd;
  return poll (&pfd, 1, 0) > 0
         && (pfd.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void
cf_http_reply_error (CfHttpReply *rep, int code, const char *error,
                     const char *message)
{
  json_t *o = json_pack ("{s:s, s:s}", "error", error, "message", message);

  rep->code = code;
  rep->body = json_dumps (o, JSON_COMPACT);
  json_decref (o);
}
