/*
 * A TCP proxy on the loopback address, for tests.  It injects faults into
 * the connections it forwards; neither end can tell them from real ones.
 *
 * SIGUSR1 silences the connections that are open, for good: they forward
 * nothing in either direction, and are not reset.  New connections work.
 * SIGUSR2 switches a one-way fault on or off: while it is on, all data from
 * the upstream end is dropped, also on new connections; a connection that lost
 * data in this way drops all that follows, also after the fault is switched
 * off.  SIGHUP resets all open connections.
 */
#include "gateway/socket.h"

#include <errno.h>
#include <ev.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BUFFER_BYTES 16384

typedef struct ProxyConn ProxyConn;

/** Endpoint: one of the two sockets of a #ProxyConn. */
typedef struct
{
  ProxyConn *conn;
  ev_io io;
  GString *out_buf; /**< not yet sent to it */
  gboolean is_upstream;
} Endpoint;

/** ProxyConn: a client's connection and the one to upstream made for it. */
struct ProxyConn
{
  TAILQ_ENTRY (ProxyConn) link;
  Endpoint client;
  Endpoint upstream;
  gboolean is_silent; /**< forwards nothing */
  gboolean is_cut;    /**< the one-way fault has dropped some of its data */
};

static struct ev_loop *loop;
static struct sockaddr_in upstream_addr;
static ev_io listener;
static TAILQ_HEAD (, ProxyConn) conns = TAILQ_HEAD_INITIALIZER (conns);
static gboolean drop_upstream_data; /* the one-way fault is on */

static void
close_endpoint (Endpoint *e, gboolean reset)
{
  const struct linger abort_on_close = { 1, 0 };

  ev_io_stop (loop, &e->io);
  if (reset)
    setsockopt (e->io.fd, SOL_SOCKET, SO_LINGER, &abort_on_close,
                sizeof abort_on_close);
  close (e->io.fd);
  g_string_free (e->out_buf, TRUE);
}

static void
close_conn (ProxyConn *conn, gboolean reset)
{
  TAILQ_REMOVE (&conns, conn, link);
  close_endpoint (&conn->client, reset);
  close_endpoint (&conn->upstream, reset);
  g_free (conn);
}

static void
update_io_events (Endpoint *e)
{
  int events = EV_READ | (e->out_buf->len ? EV_WRITE : 0);

  if (e->io.events == events)
    return;
  ev_io_stop (loop, &e->io);
  ev_io_set (&e->io, e->io.fd, events);
  ev_io_start (loop, &e->io);
}

/* Returns FALSE if @e is closed. */
static gboolean
write_pending (Endpoint *e)
{
  ssize_t n;

  if (e->out_buf->len == 0)
    return TRUE;
  n = send (e->io.fd, e->out_buf->str, e->out_buf->len, MSG_NOSIGNAL);
  if (n < 0)
    return errno == EAGAIN || errno == EINTR || errno == ENOTCONN;
  g_string_erase (e->out_buf, 0, n);
  update_io_events (e);
  return TRUE;
}

/* Passes data from @from to the other end; returns FALSE if @from is closed. */
static gboolean
forward (Endpoint *from)
{
  Endpoint *to
      = from->is_upstream ? &from->conn->client : &from->conn->upstream;
  char buf[READ_BUFFER_BYTES];
  ssize_t n = recv (from->io.fd, buf, sizeof buf, 0);

  if (n <= 0)
    return n < 0 && (errno == EAGAIN || errno == EINTR);
  if (from->is_upstream)
    from->conn->is_cut |= drop_upstream_data;
  if (from->conn->is_silent || (from->conn->is_cut && from->is_upstream))
    return TRUE;
  g_string_append_len (to->out_buf, buf, n);
  update_io_events (to);
  return TRUE;
}

static void
on_io (struct ev_loop *l, ev_io *w, int revents)
{
  Endpoint *e = w->data;
  ProxyConn *conn = e->conn;

  if ((revents & EV_WRITE) && !write_pending (e))
    close_conn (conn, FALSE);
  else if ((revents & EV_READ) && !forward (e))
    {
      /* A silent connection does not report that one end has closed. */
      if (conn->is_silent)
        ev_io_stop (l, &e->io);
      else
        close_conn (conn, FALSE);
    }
}

static void
init_endpoint (ProxyConn *conn, Endpoint *e, int fd, gboolean is_upstream)
{
  e->conn = conn;
  e->is_upstream = is_upstream;
  e->out_buf = g_string_new (NULL);
  ev_io_init (&e->io, on_io, fd, EV_READ);
  e->io.data = e;
  ev_io_start (loop, &e->io);
}

static void
on_accept (struct ev_loop *l, ev_io *w, int revents)
{
  int client_fd;

  while ((client_fd = cf_socket_accept (w->fd)) >= 0)
    {
      int upstream_fd = cf_socket_connect (&upstream_addr);
      ProxyConn *conn;

      if (upstream_fd < 0)
        {
          close (client_fd);
          continue;
        }
      conn = g_new0 (ProxyConn, 1);
      init_endpoint (conn, &conn->client, client_fd, FALSE);
      init_endpoint (conn, &conn->upstream, upstream_fd, TRUE);
      TAILQ_INSERT_TAIL (&conns, conn, link);
    }
}

static void
on_silence (struct ev_loop *l, ev_signal *w, int revents)
{
  ProxyConn *conn;

  TAILQ_FOREACH (conn, &conns, link)
  conn->is_silent = TRUE;
}

static void
on_drop_toggle (struct ev_loop *l, ev_signal *w, int revents)
{
  drop_upstream_data = !drop_upstream_data;
}

static void
on_reset (struct ev_loop *l, ev_signal *w, int revents)
{
  ProxyConn *conn;

  while ((conn = TAILQ_FIRST (&conns)))
    close_conn (conn, TRUE);
}

static void
watch_signal (ev_signal *w, int sig,
              void (*callback) (struct ev_loop *, ev_signal *, int))
{
  ev_signal_init (w, callback, sig);
  ev_signal_start (loop, w);
}

int
main (int argc, char **argv)
{
  static ev_signal usr1;
  static ev_signal usr2;
  static ev_signal hup;
  int fd;

  if (argc != 3)
    {
      fprintf (stderr, "usage: comfrey-fault-proxy LISTEN TARGET\n"
                       "each as IP:PORT\n");
      return 2;
    }
  loop = ev_default_loop (0);
  if (cf_socket_parse_address (argv[2], &upstream_addr) != CF_OK
      || cf_socket_listen (argv[1], &fd) != CF_OK)
    {
      fprintf (stderr, "comfrey-fault-proxy: %s\n", cf_last_error ());
      return 1;
    }
  ev_io_init (&listener, on_accept, fd, EV_READ);
  ev_io_start (loop, &listener);
  watch_signal (&usr1, SIGUSR1, on_silence);
  watch_signal (&usr2, SIGUSR2, on_drop_toggle);
  watch_signal (&hup, SIGHUP, on_reset);
  ev_run (loop, 0);
  return 0;
}
