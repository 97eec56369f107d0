#include "peer-link.h"

#include "socket.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/** Time limit of a connection attempt.  Connecting takes a few ms within a
 * region and about a hundred between regions.  The first packet to a VM that is
 * powered off is lost and retransmitted only after a second; a new attempt
 * succeeds as soon as the VM is up. */
#define CONNECT_TIMEOUT_S 0.2
#define READ_BYTES 16384
#define LENGTH_BYTES 4
/** Largest frame: a configuration as large as the store's largest value. */
#define FRAME_MAX_BYTES 4194304
/** Output that may be queued for a peer that reads slowly: two of the largest
 * frames. */
#define OUTPUT_MAX_BYTES (2UL * FRAME_MAX_BYTES)

static void
free_link (CfPeerLink *l)
{
  g_string_free (l->input, TRUE);
  g_string_free (l->output, TRUE);
  g_free (l);
}

void
cf_peer_link_close (CfPeerLink *l)
{
  if (l->is_closed)
    return;
  l->is_closed = TRUE;
  ev_io_stop (l->loop, &l->io);
  ev_timer_stop (l->loop, &l->connect_timer);
  close (l->io.fd);
  if (!l->in_io_handler)
    free_link (l);
}

static void
drop_link (CfPeerLink *l)
{
  if (l->is_closed)
    return;
  l->callbacks->down (l->owner, l);
  cf_peer_link_close (l);
}

static void
update_events (CfPeerLink *l)
{
  int events = EV_READ;

  if (l->connecting || l->output_sent < l->output->len)
    events |= EV_WRITE;
  if (events == l->io.events)
    return;
  ev_io_stop (l->loop, &l->io);
  ev_io_set (&l->io, l->io.fd, events);
  ev_io_start (l->loop, &l->io);
}

static gboolean
write_output (CfPeerLink *l)
{
  while (l->output_sent < l->output->len)
    {
      ssize_t n = send (l->io.fd, l->output->str + l->output_sent,
                        l->output->len - l->output_sent, MSG_NOSIGNAL);

      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && errno != EAGAIN)
        return FALSE;
      if (n < 0)
        break;
      l->output_sent += (gsize)n;
    }
  if (l->output_sent == l->output->len)
    {
      g_string_truncate (l->output, 0);
      l->output_sent = 0;
    }
  update_events (l);
  return TRUE;
}

static gsize
frame_length (const char *p)
{
  const guint8 *b = (const guint8 *)p;

  return (gsize)b[0] << 24 | (gsize)b[1] << 16 | (gsize)b[2] << 8 | b[3];
}

/* Passes complete frames to the owner.  Returns FALSE if a frame is too long.
 */
static gboolean
deliver_frames (CfPeerLink *l)
{
  gsize at = 0;

  while (!l->is_closed && l->input->len - at >= LENGTH_BYTES)
    {
      gsize n = frame_length (l->input->str + at);

      if (n > FRAME_MAX_BYTES)
        return FALSE;
      if (l->input->len - at - LENGTH_BYTES < n)
        break;
      l->callbacks->frame (l->owner, l, l->input->str + at + LENGTH_BYTES, n);
      at += LENGTH_BYTES + n;
    }
  g_string_erase (l->input, 0, (gssize)at);
  return TRUE;
}

static void
read_input (CfPeerLink *l)
{
  char buf[READ_BYTES];
  ssize_t n = recv (l->io.fd, buf, sizeof buf, 0);

  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n > 0)
    g_string_append_len (l->input, buf, n);
  if (n <= 0 || !deliver_frames (l))
    drop_link (l);
}

static gboolean
finish_connect (CfPeerLink *l)
{
  if (cf_socket_error (l->io.fd) != 0)
    return FALSE;
  l->connecting = FALSE;
  ev_timer_stop (l->loop, &l->connect_timer);
  l->callbacks->up (l->owner, l);
  return l->is_closed || write_output (l);
}

static void
on_io (struct ev_loop *loop, ev_io *w, int revents)
{
  CfPeerLink *l = w->data;
  gboolean ok = TRUE;

  l->in_io_handler = TRUE;
  if (l->connecting)
    ok = finish_connect (l);
  else if (revents & EV_WRITE)
    ok = write_output (l);
  if (!ok)
    drop_link (l);
  if (!l->is_closed && (revents & EV_READ))
    read_input (l);
  l->in_io_handler = FALSE;
  if (l->is_closed)
    free_link (l);
}

static void
on_connect_timeout (struct ev_loop *loop, ev_timer *t, int revents)
{
  drop_link (t->data);
}

static CfPeerLink *
new_link (struct ev_loop *loop, int fd, gboolean connecting,
          const CfPeerLinkCallbacks *callbacks, void *owner)
{
  CfPeerLink *l = g_new0 (CfPeerLink, 1);

  l->loop = loop;
  l->connecting = connecting;
  cf_peer_link_set_owner (l, callbacks, owner);
  l->input = g_string_new (NULL);
  l->output = g_string_new (NULL);
  ev_io_init (&l->io, on_io, fd, connecting ? EV_READ | EV_WRITE : EV_READ);
  l->io.data = l;
  ev_timer_init (&l->connect_timer, on_connect_timeout, CONNECT_TIMEOUT_S, 0);
  l->connect_timer.data = l;
  ev_io_start (loop, &l->io);
  if (connecting)
    ev_timer_start (loop, &l->connect_timer);
  return l;
}

CfPeerLink *
cf_peer_link_connect (struct ev_loop *loop, const struct sockaddr_in *addr,
                      const CfPeerLinkCallbacks *callbacks, void *owner)
{
  int fd = cf_socket_connect (addr);

  return fd < 0 ? NULL : new_link (loop, fd, TRUE, callbacks, owner);
}

CfPeerLink *
cf_peer_link_accept (struct ev_loop *loop, int fd,
                     const CfPeerLinkCallbacks *callbacks, void *owner)
{
  return new_link (loop, fd, FALSE, callbacks, owner);
}

void
cf_peer_link_set_owner (CfPeerLink *l, const CfPeerLinkCallbacks *callbacks,
                        void *owner)
{
  l->callbacks = callbacks;
  l->owner = owner;
}

void
cf_peer_link_send (CfPeerLink *l, const char *data, gsize n)
{
  const char length[LENGTH_BYTES]
      = { (char)(n >> 24), (char)(n >> 16), (char)(n >> 8), (char)n };

  if (l->is_closed)
    return;
  g_string_append_len (l->output, length, LENGTH_BYTES);
  g_string_append_len (l->output, data, (gssize)n);
  /* A failure is reported by the next event and not here, so that the owner's
   * down() is never called while the owner sends. */
  if (l->connecting)
    return;
  if (l->output->len > OUTPUT_MAX_BYTES || !write_output (l))
    {
      shutdown (l->io.fd, SHUT_RDWR);
      ev_feed_event (l->loop, &l->io, EV_READ);
    }
}
