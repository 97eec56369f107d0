#include "peer-link.h"

#include "socket.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/** Within a region a connection is made in some ms, between regions in a
 * hundred.  The first packet to a VM without power is lost and sent again
 * after a second; a connection begun anew is through as soon as it is up. */
#define CONNECT_TIMEOUT_S 0.2
#define READ_SIZE 16384
#define LENGTH_BYTES 4
/** The largest frame: a configuration of the store's largest value. */
#define FRAME_MAX 4194304
/** What may wait for a peer that reads slowly: two such frames. */
#define OUT_MAX (2UL * FRAME_MAX)

static void
free_link (CfPeerLink *l)
{
  g_string_free (l->in, TRUE);
  g_string_free (l->out, TRUE);
  g_free (l);
}

void
cf_peer_link_close (CfPeerLink *l)
{
  if (l->dead)
    return;
  l->dead = TRUE;
  ev_io_stop (l->loop, &l->io);
  ev_timer_stop (l->loop, &l->timer);
  close (l->io.fd);
  if (!l->in_read)
    free_link (l);
}

static void
lose (CfPeerLink *l)
{
  if (l->dead)
    return;
  l->calls->down (l->owner, l);
  cf_peer_link_close (l);
}

static void
want (CfPeerLink *l)
{
  int events = EV_READ;

  if (l->connecting || l->out_sent < l->out->len)
    events |= EV_WRITE;
  if (events == l->io.events)
    return;
  ev_io_stop (l->loop, &l->io);
  ev_io_set (&l->io, l->io.fd, events);
  ev_io_start (l->loop, &l->io);
}

static gboolean
flush (CfPeerLink *l)
{
  while (l->out_sent < l->out->len)
    {
      ssize_t n = send (l->io.fd, l->out->str + l->out_sent,
                        l->out->len - l->out_sent, MSG_NOSIGNAL);

      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && errno != EAGAIN)
        return FALSE;
      if (n < 0)
        break;
      l->out_sent += (gsize)n;
    }
  if (l->out_sent == l->out->len)
    {
      g_string_truncate (l->out, 0);
      l->out_sent = 0;
    }
  want (l);
  return TRUE;
}

static gsize
frame_length (const char *p)
{
  const guint8 *b = (const guint8 *)p;

  return (gsize)b[0] << 24 | (gsize)b[1] << 16 | (gsize)b[2] << 8 | b[3];
}

/* Gives out the whole frames that are in; FALSE if one is too long. */
static gboolean
take_frames (CfPeerLink *l)
{
  gsize at = 0;

  while (!l->dead && l->in->len - at >= LENGTH_BYTES)
    {
      gsize n = frame_length (l->in->str + at);

      if (n > FRAME_MAX)
        return FALSE;
      if (l->in->len - at - LENGTH_BYTES < n)
        break;
      l->calls->frame (l->owner, l, l->in->str + at + LENGTH_BYTES, n);
      at += LENGTH_BYTES + n;
    }
  g_string_erase (l->in, 0, (gssize)at);
  return TRUE;
}

static void
read_some (CfPeerLink *l)
{
  char buf[READ_SIZE];
  ssize_t n = recv (l->io.fd, buf, sizeof buf, 0);

  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n > 0)
    g_string_append_len (l->in, buf, n);
  if (n <= 0 || !take_frames (l))
    lose (l);
}

static gboolean
connected (CfPeerLink *l)
{
  if (cf_socket_error (l->io.fd) != 0)
    return FALSE;
  l->connecting = FALSE;
  ev_timer_stop (l->loop, &l->timer);
  l->calls->up (l->owner, l);
  return l->dead || flush (l);
}

static void
on_io (struct ev_loop *loop, ev_io *w, int revents)
{
  CfPeerLink *l = w->data;
  gboolean good = TRUE;

  l->in_read = TRUE;
  if (l->connecting)
    good = connected (l);
  else if (revents & EV_WRITE)
    good = flush (l);
  if (!good)
    lose (l);
  if (!l->dead && (revents & EV_READ))
    read_some (l);
  l->in_read = FALSE;
  if (l->dead)
    free_link (l);
}

static void
on_timer (struct ev_loop *loop, ev_timer *t, int revents)
{
  lose (t->data);
}

static CfPeerLink *
new_link (struct ev_loop *loop, int fd, gboolean connecting,
          const CfPeerLinkCallbacks *calls, void *owner)
{
  CfPeerLink *l = g_new0 (CfPeerLink, 1);

  l->loop = loop;
  l->connecting = connecting;
  cf_peer_link_set_owner (l, calls, owner);
  l->in = g_string_new (NULL);
  l->out = g_string_new (NULL);
  ev_io_init (&l->io, on_io, fd, connecting ? EV_READ | EV_WRITE : EV_READ);
  l->io.data = l;
  ev_timer_init (&l->timer, on_timer, CONNECT_TIMEOUT_S, 0);
  l->timer.data = l;
  ev_io_start (loop, &l->io);
  if (connecting)
    ev_timer_start (loop, &l->timer);
  return l;
}

CfPeerLink *
cf_peer_link_connect (struct ev_loop *loop, const struct sockaddr_in *addr,
                      const CfPeerLinkCallbacks *calls, void *owner)
{
  int fd = cf_socket_connect (addr);

  return fd < 0 ? NULL : new_link (loop, fd, TRUE, calls, owner);
}

CfPeerLink *
cf_peer_link_accept (struct ev_loop *loop, int fd,
                     const CfPeerLinkCallbacks *calls, void *owner)
{
  return new_link (loop, fd, FALSE, calls, owner);
}

void
cf_peer_link_set_owner (CfPeerLink *l, const CfPeerLinkCallbacks *calls,
                        void *owner)
{
  l->calls = calls;
  l->owner = owner;
}

void
cf_peer_link_send (CfPeerLink *l, const char *data, gsize n)
{
  const char length[LENGTH_BYTES]
      = { (char)(n >> 24), (char)(n >> 16), (char)(n >> 8), (char)n };

  if (l->dead)
    return;
  g_string_append_len (l->out, length, LENGTH_BYTES);
  g_string_append_len (l->out, data, (gssize)n);
  /* Failures are met by the next event, not here, so that the owner is
   * never told of a loss while it sends. */
  if (l->connecting)
    return;
  if (l->out->len > OUT_MAX || !flush (l))
    {
      shutdown (l->io.fd, SHUT_RDWR);
      ev_feed_event (l->loop, &l->io, EV_READ);
    }
}
