#include "fake-http.h"

#include "gateway/socket.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEAD_MAX_BYTES 65536
#define READ_BUFFER_BYTES 16384

/** FakeListener: never freed; it lives as long as the program. */
struct FakeListener
{
  struct ev_loop *loop;
  char *addr;
  ev_io io;
  ev_timer reopen_timer; /**< reopens the address after a pause */
  FakeRequestHandler handler;
  void *handler_data; /**< first argument of @handler */
};

static void
free_conn (FakeConn *c)
{
  cf_http_reader_clear (&c->reader);
  g_string_free (c->body, TRUE);
  g_string_free (c->in_buf, TRUE);
  g_string_free (c->out_buf, TRUE);
  g_free (c->late_copy);
  g_free (c);
}

static void
close_conn (FakeConn *c)
{
  if (c->is_closed)
    return;
  c->is_closed = TRUE;
  ev_io_stop (c->loop, &c->io);
  close (c->io.fd);
  if (c->pending && c->on_disconnect)
    c->on_disconnect (c);
  if (!c->in_io)
    free_conn (c);
}

static void
update_io_events (FakeConn *c)
{
  int events = EV_READ | (c->out_buf->len ? EV_WRITE : 0);

  if (events == c->io.events)
    return;
  ev_io_stop (c->loop, &c->io);
  ev_io_set (&c->io, c->io.fd, events);
  ev_io_start (c->loop, &c->io);
}

static void
flush (FakeConn *c)
{
  while (!c->is_closed && c->out_buf->len)
    {
      ssize_t n
          = send (c->io.fd, c->out_buf->str, c->out_buf->len, MSG_NOSIGNAL);

      if (n < 0 && errno == EAGAIN)
        break;
      if (n <= 0)
        {
          /* The send failed; the next read closes the connection. */
          g_string_truncate (c->out_buf, 0);
          break;
        }
      g_string_erase (c->out_buf, 0, n);
    }
  if (!c->is_closed && c->out_buf->len == 0 && c->close_after
      && !c->is_answering)
    shutdown (c->io.fd, SHUT_WR);
  if (!c->is_closed)
    update_io_events (c);
}

static void
finish_request (FakeConn *c)
{
  c->is_answering = FALSE;
  c->pending = NULL;
  g_string_truncate (c->body, 0);
  cf_http_reader_next (&c->reader);
  if (c->in_buf->len)
    ev_feed_event (c->loop, &c->io, EV_READ);
}

void
fake_http_answer (FakeConn *c, int status, const char *headers,
                  const char *body, gssize n)
{
  gsize len = n < 0 ? strlen (body) : (gsize)n;

  c->close_after |= !cf_http_reader_can_keep_alive (&c->reader);
  g_string_append_printf (c->out_buf,
                          "HTTP/1.1 %d %s\r\n%s"
                          "Content-Length: %" G_GSIZE_FORMAT "\r\n%s\r\n",
                          status, http_status_str ((enum http_status)status),
                          headers ? headers : "", len,
                          c->close_after ? "Connection: close\r\n" : "");
  g_string_append_len (c->out_buf, body, (gssize)len);
  finish_request (c);
  flush (c);
}

static void
append_framing (FakeConn *c, gsize length)
{
  switch (c->framing)
    {
    case FAKE_FRAMING_CHUNKED:
      g_string_append (c->out_buf, "Transfer-Encoding: chunked\r\n\r\n");
      break;
    case FAKE_FRAMING_LENGTH:
      g_string_append_printf (
          c->out_buf, "Content-Length: %" G_GSIZE_FORMAT "\r\n\r\n", length);
      break;
    case FAKE_FRAMING_CLOSE:
      g_string_append (c->out_buf, "\r\n");
      break;
    }
}

void
fake_http_begin (FakeConn *c, int status, const char *headers,
                 FakeFraming framing, gsize length)
{
  c->framing = framing;
  g_string_append_printf (c->out_buf, "HTTP/1.1 %d %s\r\n%s", status,
                          http_status_str ((enum http_status)status), headers);
  append_framing (c, length);
  flush (c);
}

void
fake_http_send_part (FakeConn *c, const char *data, gsize n)
{
  gboolean is_chunked = c->framing == FAKE_FRAMING_CHUNKED;

  if (is_chunked)
    g_string_append_printf (c->out_buf, "%zx\r\n", n);
  g_string_append_len (c->out_buf, data, (gssize)n);
  if (is_chunked)
    g_string_append (c->out_buf, "\r\n");
  flush (c);
}

void
fake_http_end (FakeConn *c)
{
  if (c->framing == FAKE_FRAMING_CLOSE)
    {
      fake_http_close (c);
      return;
    }
  if (c->framing == FAKE_FRAMING_CHUNKED)
    g_string_append (c->out_buf, "0\r\n\r\n");
  finish_request (c);
  flush (c);
}

void
fake_http_close (FakeConn *c)
{
  c->close_after = TRUE;
  c->is_answering = FALSE;
  c->pending = NULL;
  flush (c);
}

void
fake_http_send_raw (FakeConn *c, const char *data, gsize n)
{
  g_string_append_len (c->out_buf, data, (gssize)n);
  flush (c);
}

void
fake_http_reset (FakeConn *c)
{
  const struct linger abort_on_close = { 1, 0 };

  setsockopt (c->io.fd, SOL_SOCKET, SO_LINGER, &abort_on_close,
              sizeof abort_on_close);
  c->pending = NULL;
  close_conn (c);
}

static void
on_body (void *owner, const char *data, gsize n)
{
  g_string_append_len (((FakeConn *)owner)->body, data, (gssize)n);
}

static const CfHttpReaderCallbacks reader_calls = { NULL, on_body, NULL };

/* Whether the client reset the connection.  Checked before the bytes received
 * ahead of the reset are read, so that they are dropped, as by a target whose
 * VM was paused while they came.  An orderly close does not count, since the
 * client may have shut down only its sending side. */
static gboolean
has_reset (const FakeConn *c)
{
  return cf_socket_error (c->io.fd) != 0;
}

static void
read_request (FakeConn *c)
{
  char buf[READ_BUFFER_BYTES];
  ssize_t n = has_reset (c) ? 0 : recv (c->io.fd, buf, sizeof buf, 0);
  gsize used;

  if (n == 0 || (n < 0 && errno != EAGAIN))
    {
      close_conn (c);
      return;
    }
  if (n > 0)
    g_string_append_len (c->in_buf, buf, n);
  if (c->is_answering || c->in_buf->len == 0)
    return;
  if (!cf_http_reader_feed (&c->reader, c->in_buf->str, c->in_buf->len, &used))
    {
      close_conn (c);
      return;
    }
  g_string_erase (c->in_buf, 0, (gssize)used);
  if (!c->reader.is_complete)
    return;
  c->is_answering = TRUE;
  c->handler (c->handler_data, c);
}

static void
on_io (struct ev_loop *loop, ev_io *w, int revents)
{
  FakeConn *c = w->data;

  c->in_io = TRUE;
  if (revents & EV_WRITE)
    flush (c);
  if (!c->is_closed && (revents & EV_READ))
    read_request (c);
  c->in_io = FALSE;
  if (c->is_closed)
    free_conn (c);
}

static void
on_accept (struct ev_loop *loop, ev_io *w, int revents)
{
  FakeListener *l = w->data;
  int fd = cf_socket_accept (w->fd);
  FakeConn *c;

  if (fd < 0)
    return;
  c = g_new0 (FakeConn, 1);
  c->loop = loop;
  c->handler = l->handler;
  c->handler_data = l->handler_data;
  c->body = g_string_new (NULL);
  c->in_buf = g_string_new (NULL);
  c->out_buf = g_string_new (NULL);
  cf_http_reader_init (&c->reader, HTTP_REQUEST, &reader_calls, c,
                       HEAD_MAX_BYTES);
  ev_io_init (&c->io, on_io, fd, EV_READ);
  c->io.data = c;
  ev_io_start (loop, &c->io);
}

static void
open_listener (FakeListener *l)
{
  int fd;

  if (cf_socket_listen (l->addr, &fd) != CF_OK)
    {
      fprintf (stderr, "%s\n", cf_last_error ());
      exit (1);
    }
  ev_io_init (&l->io, on_accept, fd, EV_READ);
  l->io.data = l;
  ev_io_start (l->loop, &l->io);
}

static void
on_reopen (struct ev_loop *loop, ev_timer *w, int revents)
{
  open_listener (w->data);
}

FakeListener *
fake_http_listen (struct ev_loop *loop, const char *addr,
                  FakeRequestHandler handler, void *data)
{
  FakeListener *l = g_new0 (FakeListener, 1);

  l->loop = loop;
  l->addr = g_strdup (addr);
  l->handler = handler;
  l->handler_data = data;
  ev_timer_init (&l->reopen_timer, on_reopen, 0, 0);
  l->reopen_timer.data = l;
  open_listener (l);
  return l;
}

void
fake_http_close_listener (FakeListener *l, double pause_s)
{
  if (ev_is_active (&l->reopen_timer))
    return;
  ev_io_stop (l->loop, &l->io);
  close (l->io.fd);
  ev_timer_set (&l->reopen_timer, pause_s, 0);
  ev_timer_start (l->loop, &l->reopen_timer);
}

char *
fake_http_query_param (const FakeConn *c, const char *name)
{
  const char *q = strchr (cf_http_reader_request_target (&c->reader), '?');
  char **parts = g_strsplit (q ? q + 1 : "", "&", -1);
  char *value = NULL;

  for (char **p = parts; *p && !value; p++)
    {
      gsize n = strlen (name);

      if (strncmp (*p, name, n) == 0 && (*p)[n] == '=')
        value = g_uri_unescape_string (*p + n + 1, NULL);
    }
  g_strfreev (parts);
  return value;
}

gboolean
fake_http_has_path (const FakeConn *c, const char *path)
{
  const char *request_target = cf_http_reader_request_target (&c->reader);
  gsize n = strcspn (request_target, "?");

  return strlen (path) == n && strncmp (request_target, path, n) == 0;
}
