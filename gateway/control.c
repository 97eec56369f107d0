#include "control.h"

#include "log.h"
#include "socket.h"

/** Control: the listener; lives as long as the process. */
typedef struct
{
  CfPeerService *peers;
  CfRankService *ranks;
  ev_io io;
} Control;

static void
on_up (void *owner, CfPeerLink *l)
{
}

static void
on_down (void *owner, CfPeerLink *l)
{
}

static void
on_first (void *owner, CfPeerLink *l, const char *data, gsize n)
{
  Control *c = owner;
  msgpack_unpacked zone;
  CfPeerMsg m;
  CfStatus st = cf_peer_msg_unpack (data, n, &zone, &m);

  if (st == CF_OK && m.kind == CF_PEER_AGENT_HELLO)
    cf_rank_service_adopt (c->ranks, l, &m);
  else if (st == CF_OK && m.kind == CF_PEER_GATEWAY_HELLO)
    cf_peer_service_adopt (c->peers, l, &m);
  else
    {
      cf_log (LOG_WARNING, CF_EV_PEER, "outcome=refused kind=%d error=\"%s\"",
              (int)m.kind, st == CF_OK ? "no greeting" : cf_last_error ());
      cf_peer_link_close (l);
    }
  cf_peer_msg_clear (&m);
  msgpack_unpacked_destroy (&zone);
}

static const CfPeerLinkCallbacks first_calls = { on_up, on_first, on_down };

static void
on_accept (struct ev_loop *loop, ev_io *w, int revents)
{
  int fd = cf_socket_accept (w->fd);

  if (fd >= 0)
    cf_peer_link_accept (loop, fd, &first_calls, w->data);
}

CfStatus
cf_control_listen (CfGateway *g, CfPeerService *peers, CfRankService *ranks)
{
  Control *c;
  int fd;
  CfStatus st = cf_socket_listen (g->set.control_addr, &fd);

  if (st != CF_OK)
    return st;
  c = g_new0 (Control, 1);
  c->peers = peers;
  c->ranks = ranks;
  ev_io_init (&c->io, on_accept, fd, EV_READ);
  c->io.data = c;
  ev_io_start (g->loop, &c->io);
  return CF_OK;
}
