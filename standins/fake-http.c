#include "fake-http.h"

#include "gateway/socket.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEAD_MAX 65536
#define READ_SIZE 16384

/** FakeListener: lives as long as the program. */
struct FakeListener
{
  struct ev_loop *loop;
  char *addr;
  ev_io io;
  ev_timer back; /**< ends its absence */
  FakeRequestHandler request;
  void *data;
};

static void
free_conn (FakeConn *c)
{
  cf_http_reader_clear (&c->reader);
  g_string_free (c->body, TRUE);
  g_string_free (c->in, TRUE);
  g_string_free (c->out, TRUE);
  g_free (c);
}

static void
shut (FakeConn *c)
{
  if (c->dead)
    return;
  c->dead = TRUE;
  ev_io_stop (c->loop, &c->io);
  close (c->io.fd);
  if (c->work && c->gone)
    c->gone (c);
  if (!c->in_read)
    free_conn (c);
}

static void
want (FakeConn *c)
{
  int events = EV_READ | (c->out->len ? EV_WRITE : 0);

  if (events == c->io.events)
    return;
  ev_io_stop (c->loop, &c->io);
  ev_io_set (&c->io, c->io.fd, events);
  ev_io_start (c->loop, &c->io);
}

static void
flush (FakeConn *c)
{
  while (!c->dead && c->out->len)
    {
      ssize_t n = send (c->io.fd, c->out->str, c->out->len, MSG_NOSIGNAL);

      if (n < 0 && errno == EAGAIN)
        break;
      if (n <= 0)
        {
          /* The next read ends the connection. */
          g_string_truncate (c->out, 0);
          break;
        }
      g_string_erase (c->out, 0, n);
    }
  if (!c->dead && c->out->len == 0 && c->close && !c->answering)
    shutdown (c->io.fd, SHUT_WR);
  if (!c->dead)
    want (c);
}

static void
next_request (FakeConn *c)
{
  c->answering = FALSE;
  c->work = NULL;
  g_string_truncate (c->body, 0);
  cf_http_reader_next (&c->reader);
  if (c->in->len)
    ev_feed_event (c->loop, &c->io, EV_READ);
}

void
fake_http_answer (FakeConn *c, int status, const char *headers,
                  const char *body, gssize n)
{
  gsize len = n < 0 ? strlen (body) : (gsize)n;

  c->close |= !cf_http_reader_keeps (&c->reader);
  g_string_append_printf (c->out,
                          "HTTP/1.1 %d %s\r\n%s"
                          "Content-Length: %" G_GSIZE_FORMAT "\r\n%s\r\n",
                          status, http_status_str ((enum http_status)status),
                          headers ? headers : "", len,
                          c->close ? "Connection: close\r\n" : "");
  g_string_append_len (c->out, body, (gssize)len);
  next_request (c);
  flush (c);
}

void
fake_http_begin_chunked (FakeConn *c, int status, const char *headers)
{
  c->chunked = TRUE;
  g_string_append_printf (c->out,
                          "HTTP/1.1 %d %s\r\n%s"
                          "Transfer-Encoding: chunked\r\n\r\n",
                          status, http_status_str ((enum http_status)status),
                          headers);
  flush (c);
}

void
fake_http_send_chunk (FakeConn *c, const char *data, gsize n)
{
  g_string_append_printf (c->out, "%zx\r\n", n);
  g_string_append_len (c->out, data, (gssize)n);
  g_string_append (c->out, "\r\n");
  flush (c);
}

void
fake_http_end_chunked (FakeConn *c)
{
  g_string_append (c->out, "0\r\n\r\n");
  next_request (c);
  flush (c);
}

void
fake_http_send_raw (FakeConn *c, const char *data, gsize n)
{
  g_string_append_len (c->out, data, (gssize)n);
  flush (c);
}

void
fake_http_reset (FakeConn *c)
{
  const struct linger hard = { 1, 0 };

  setsockopt (c->io.fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  c->work = NULL;
  shut (c);
}

static void
on_body (void *owner, const char *data, gsize n)
{
  g_string_append_len (((FakeConn *)owner)->body, data, (gssize)n);
}

static const CfHttpReaderCalls reader_calls = { NULL, on_body, NULL };

/* Looked at before what came before it is read, as by a target whose VM stood
 * still meanwhile.  An orderly end may be that of a caller which only has
 * nothing more to say. */
static gboolean
was_reset (const FakeConn *c)
{
  return cf_socket_error (c->io.fd) != 0;
}

static void
read_some (FakeConn *c)
{
  char buf[READ_SIZE];
  ssize_t n = was_reset (c) ? 0 : recv (c->io.fd, buf, sizeof buf, 0);
  gsize used;

  if (n == 0 || (n < 0 && errno != EAGAIN))
    {
      shut (c);
      return;
    }
  if (n > 0)
    g_string_append_len (c->in, buf, n);
  if (c->answering || c->in->len == 0)
    return;
  if (!cf_http_reader_feed (&c->reader, c->in->str, c->in->len, &used))
    {
      shut (c);
      return;
    }
  g_string_erase (c->in, 0, (gssize)used);
  if (!c->reader.is_complete)
    return;
  c->answering = TRUE;
  c->request (c->data, c);
}

static void
on_io (struct ev_loop *loop, ev_io *w, int revents)
{
  FakeConn *c = w->data;

  c->in_read = TRUE;
  if (revents & EV_WRITE)
    flush (c);
  if (!c->dead && (revents & EV_READ))
    read_some (c);
  c->in_read = FALSE;
  if (c->dead)
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
  c->request = l->request;
  c->data = l->data;
  c->body = g_string_new (NULL);
  c->in = g_string_new (NULL);
  c->out = g_string_new (NULL);
  cf_http_reader_init (&c->reader, HTTP_REQUEST, &reader_calls, c, HEAD_MAX);
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
on_back (struct ev_loop *loop, ev_timer *w, int revents)
{
  open_listener (w->data);
}

FakeListener *
fake_http_listen (struct ev_loop *loop, const char *addr, FakeRequestHandler fn,
                  void *data)
{
  FakeListener *l = g_new0 (FakeListener, 1);

  l->loop = loop;
  l->addr = g_strdup (addr);
  l->request = fn;
  l->data = data;
  ev_timer_init (&l->back, on_back, 0, 0);
  l->back.data = l;
  open_listener (l);
  return l;
}

void
fake_http_close_listener (FakeListener *l, double s)
{
  if (ev_is_active (&l->back))
    return;
  ev_io_stop (l->loop, &l->io);
  close (l->io.fd);
  ev_timer_set (&l->back, s, 0);
  ev_timer_start (l->loop, &l->back);
}

char *
fake_http_query_param (const FakeConn *c, const char *name)
{
  const char *q = strchr (cf_http_reader_target (&c->reader), '?');
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
  const char *target = cf_http_reader_target (&c->reader);
  gsize n = strcspn (target, "?");

  return strlen (path) == n && strncmp (target, path, n) == 0;
}
