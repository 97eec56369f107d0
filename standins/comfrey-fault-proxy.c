/*
 * A proxy on the loopback address that harms the connections it passes on,
 * for tests: what a network does that neither end can see.
 *
 * SIGUSR1 lets the connections that are open fall silent for good, both
 * ways and without a reset; new ones work.  SIGUSR2 begins, or ends, a cut
 * of one way: nothing that the far end sends arrives any more, also on new
 * connections; one that has lost bytes so stays cut.  SIGHUP resets all that is
 * open.
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

#define READ_SIZE 16384

typedef struct Pair Pair;

/** End: one of the two connections of a pair. */
typedef struct
{
  Pair *pair;
  ev_io io;
  GString *out; /**< not yet written to it */
  gboolean is_far;
} End;

/** Pair: a connection that came, and the one made for it. */
struct Pair
{
  TAILQ_ENTRY (Pair) link;
  End near;
  End far;
  gboolean silent;
  gboolean cut; /**< bytes of its far end were lost */
};

static struct ev_loop *loop;
static struct sockaddr_in target;
static ev_io listener;
static TAILQ_HEAD (, Pair) pairs = TAILQ_HEAD_INITIALIZER (pairs);
static gboolean one_way;

static void
close_end (End *e, gboolean reset)
{
  const struct linger now = { 1, 0 };

  ev_io_stop (loop, &e->io);
  if (reset)
    setsockopt (e->io.fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close (e->io.fd);
  g_string_free (e->out, TRUE);
}

static void
end_pair (Pair *p, gboolean reset)
{
  TAILQ_REMOVE (&pairs, p, link);
  close_end (&p->near, reset);
  close_end (&p->far, reset);
  g_free (p);
}

static void
want (End *e)
{
  int events = EV_READ | (e->out->len ? EV_WRITE : 0);

  if (e->io.events == events)
    return;
  ev_io_stop (loop, &e->io);
  ev_io_set (&e->io, e->io.fd, events);
  ev_io_start (loop, &e->io);
}

static gboolean
write_some (End *e)
{
  ssize_t n;

  if (e->out->len == 0)
    return TRUE;
  n = send (e->io.fd, e->out->str, e->out->len, MSG_NOSIGNAL);
  if (n < 0)
    return errno == EAGAIN || errno == EINTR || errno == ENOTCONN;
  g_string_erase (e->out, 0, n);
  want (e);
  return TRUE;
}

static gboolean
pass_on (End *from)
{
  End *to = from->is_far ? &from->pair->near : &from->pair->far;
  char buf[READ_SIZE];
  ssize_t n = recv (from->io.fd, buf, sizeof buf, 0);

  if (n <= 0)
    return n < 0 && (errno == EAGAIN || errno == EINTR);
  if (from->is_far)
    from->pair->cut |= one_way;
  if (from->pair->silent || (from->pair->cut && from->is_far))
    return TRUE;
  g_string_append_len (to->out, buf, n);
  want (to);
  return TRUE;
}

static void
on_io (struct ev_loop *l, ev_io *w, int revents)
{
  End *e = w->data;
  Pair *p = e->pair;

  if ((revents & EV_WRITE) && !write_some (e))
    end_pair (p, FALSE);
  else if ((revents & EV_READ) && !pass_on (e))
    {
      /* A silent connection does not tell that its other end is gone. */
      if (p->silent)
        ev_io_stop (l, &e->io);
      else
        end_pair (p, FALSE);
    }
}

static void
begin_end (Pair *p, End *e, int fd, gboolean is_far)
{
  e->pair = p;
  e->is_far = is_far;
  e->out = g_string_new (NULL);
  ev_io_init (&e->io, on_io, fd, EV_READ);
  e->io.data = e;
  ev_io_start (loop, &e->io);
}

static void
on_connection (struct ev_loop *l, ev_io *w, int revents)
{
  int near;

  while ((near = cf_socket_accept (w->fd)) >= 0)
    {
      int far = cf_socket_connect (&target);
      Pair *p;

      if (far < 0)
        {
          close (near);
          continue;
        }
      p = g_new0 (Pair, 1);
      begin_end (p, &p->near, near, FALSE);
      begin_end (p, &p->far, far, TRUE);
      TAILQ_INSERT_TAIL (&pairs, p, link);
    }
}

static void
on_silence (struct ev_loop *l, ev_signal *w, int revents)
{
  Pair *p;

  TAILQ_FOREACH (p, &pairs, link)
  p->silent = TRUE;
}

static void
on_one_way (struct ev_loop *l, ev_signal *w, int revents)
{
  one_way = !one_way;
}

static void
on_reset (struct ev_loop *l, ev_signal *w, int revents)
{
  Pair *p;

  while ((p = TAILQ_FIRST (&pairs)))
    end_pair (p, TRUE);
}

static void catch (ev_signal *w, int sig,
                   void (*cb) (struct ev_loop *, ev_signal *, int))
{
  ev_signal_init (w, cb, sig);
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
  if (cf_socket_parse_address (argv[2], &target) != CF_OK
      || cf_socket_listen (argv[1], &fd) != CF_OK)
    {
      fprintf (stderr, "comfrey-fault-proxy: %s\n", cf_last_error ());
      return 1;
    }
  ev_io_init (&listener, on_connection, fd, EV_READ);
  ev_io_start (loop, &listener);
  catch (&usr1, SIGUSR1, on_silence);
  catch (&usr2, SIGUSR2, on_one_way);
  catch (&hup, SIGHUP, on_reset);
  ev_run (loop, 0);
  return 0;
}
