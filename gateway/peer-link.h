#pragma once

#include <ev.h>
#include <glib.h>
#include <netinet/in.h>

typedef struct CfPeerLink CfPeerLink;

/** CfPeerLinkCallbacks: what the owner of a link is told. */
typedef struct
{
  /** The connection is made; a link that was accepted never says so. */
  void (*up) (void *owner, CfPeerLink *l);
  /** A whole frame, which lasts only for this call. */
  void (*frame) (void *owner, CfPeerLink *l, const char *data, gsize n);
  /** The link is lost; it is freed after this. */
  void (*down) (void *owner, CfPeerLink *l);
} CfPeerLinkCallbacks;

/**
 * CfPeerLink:
 * A connection between two of our processes that carries frames: a length
 * of four bytes, then that many bytes of msgpack.
 */
struct CfPeerLink
{
  struct ev_loop *loop;
  ev_io io;
  ev_timer timer; /**< limits connecting */
  GString *in;
  GString *out;
  gsize out_sent;
  const CfPeerLinkCallbacks *calls;
  void *owner;
  gboolean connecting;
  gboolean in_read;
  gboolean dead;
};

/** cf_peer_link_connect: (nullable): begins to connect to @addr. */
CfPeerLink *cf_peer_link_connect (struct ev_loop *loop,
                                  const struct sockaddr_in *addr,
                                  const CfPeerLinkCallbacks *calls,
                                  void *owner);

/** cf_peer_link_accept: a link on @fd, which a peer connected to. */
CfPeerLink *cf_peer_link_accept (struct ev_loop *loop, int fd,
                                 const CfPeerLinkCallbacks *calls, void *owner);

/** cf_peer_link_set_owner: @owner is told of what comes from now on. */
void cf_peer_link_set_owner (CfPeerLink *l, const CfPeerLinkCallbacks *calls,
                             void *owner);

/**
 * cf_peer_link_send:
 * Sends a frame; a peer that does not read, so that too much waits, loses
 * the link.
 */
void cf_peer_link_send (CfPeerLink *l, const char *data, gsize n);

/** cf_peer_link_close: closes it without telling the owner. */
void cf_peer_link_close (CfPeerLink *l);
