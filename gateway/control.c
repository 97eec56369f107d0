#include "control.h"

#include "log.h"
#include "socket.h"

/** ControlListener: listens at the control address; lives as long as the
 * process. */
typedef struct
{
  CfPeerService *peers;
  CfRankService *ranks;
  ev_io io;
} ControlListener;

static void
on_up (void *owner, CfPeerLink *l)
{
}

static void
on_down (void *owner, CfPeerLink *l)
{
}

static void
on_hello (void *owner, CfPeerLink *l, const char *data, gsize n)
{
  ControlListener *c = owner;
  msgpack_unpacked unpacked;
  CfPeerMsg m;
  CfStatus st = cf_peer_msg_unpack (data, n, &unpacked, &m);

  if (st == CF_OK && m.kind == CF_PEER_AGENT_HELLO)
    cf_rank_service_adopt (c->ranks, l, &m);
  else if (st == CF_OK && m.kind == CF_PEER_GATEWAY_HELLO)
    cf_peer_service_adopt (c->peers, l, &m);
  else
    {
      cf_log (LOG_WARNING, CF_EV_PEER, "outcome=refused kind=%d error=\"%s\"",
              (int)m.kind,
              st == CF_OK ? "the first message is not a hello"
                          : cf_last_error ());
      cf_peer_link_close (l);
    }
  cf_peer_msg_clear (&m);
  msgpack_unpacked_destroy (&unpacked);
}

static const CfPeerLinkCallbacks hello_callbacks = { on_up, on_hello, on_down };

static void
on_accept (struct ev_loop *loop, ev_io *w, int revents)
{
  int fd = cf_socket_accept (w->fd);

  if (fd >= 0)
    cf_peer_link_accept (loop, fd, &hello_callbacks, w->data);
}

CfStatus
cf_control_listen (CfGateway *g, CfPeerService *peers, CfRankService *ranks)
{
  ControlListener *c;
  int fd;
  CfStatus st = cf_socket_listen (g->settings.control_addr, &fd);

  if (st != CF_OK)
    return st;
  c = g_new0 (ControlListener, 1);
  c->peers = peers;
  c->ranks = ranks;
  ev_io_init (&c->io, on_accept, fd, EV_READ);
  c->io.data = c;
  ev_io_start (g->loop, &c->io);
  return CF_OK;
}
