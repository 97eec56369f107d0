#pragma once

#include <ev.h>
#include <glib.h>
#include <netinet/in.h>

typedef struct CfPeerLink CfPeerLink;

/** CfPeerLinkCallbacks: events reported to the owner of a link. */
typedef struct
{
  /** The connection is established.  Not called for an accepted link. */
  void (*up) (void *owner, CfPeerLink *l);
  /** A complete frame was received; @data is valid only during the call. */
  void (*frame) (void *owner, CfPeerLink *l, const char *data, gsize n);
  /** The link is lost, and is freed after this call. */
  void (*down) (void *owner, CfPeerLink *l);
} CfPeerLinkCallbacks;

/**
 * CfPeerLink:
 * A connection between two gateways, or a gateway and a rank agent, that
 * carries frames: a length of four bytes in big-endian order, then that many
 * bytes of msgpack.
 */
struct CfPeerLink
{
  struct ev_loop *loop;
  ev_io io;
  ev_timer connect_timer; /**< limits the time of a connection attempt */
  GString *input;
  GString *output;
  gsize output_sent; /**< bytes of @output that have been sent */
  const CfPeerLinkCallbacks *callbacks;
  void *owner;
  gboolean connecting;
  gboolean in_io_handler; /**< on_io() runs; it frees the link at its end if
                             the link was closed */
  gboolean is_closed;
};

/** cf_peer_link_connect: (nullable): starts to connect to @addr. */
CfPeerLink *cf_peer_link_connect (struct ev_loop *loop,
                                  const struct sockaddr_in *addr,
                                  const CfPeerLinkCallbacks *callbacks,
                                  void *owner);

/** cf_peer_link_accept: creates a link on @fd, a connection accepted from a
 * peer. */
CfPeerLink *cf_peer_link_accept (struct ev_loop *loop, int fd,
                                 const CfPeerLinkCallbacks *callbacks,
                                 void *owner);

/** cf_peer_link_set_owner: reports all further events to @owner. */
void cf_peer_link_set_owner (CfPeerLink *l,
                             const CfPeerLinkCallbacks *callbacks, void *owner);

/**
 * cf_peer_link_send:
 * Sends a frame.  The link is dropped if the peer reads so slowly that too much
 * output is queued.
 */
void cf_peer_link_send (CfPeerLink *l, const char *data, gsize n);

/** cf_peer_link_close: closes the link without calling down(). */
void cf_peer_link_close (CfPeerLink *l);
