#include "socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/** A connection fails once data or probes have been unacknowledged for this
 * time: longer than two retransmissions take on a lossy link, shorter than a
 * caller waits. */
#define SILENCE_TIMEOUT_MS 2500
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2
/** Connections waiting to be accepted.  When the backlog is full, a caller
 * has to retry its connect and loses seconds. */
#define LISTEN_BACKLOG 1024

static void
set_int_option (int fd, int level, int name, int value)
{
  /* Errors are ignored: on a kernel without the option, a silent remote end is
   * merely detected later, at the deadline of the request. */
  (void)setsockopt (fd, level, name, &value, sizeof value);
}

static void
set_options (int fd)
{
  set_int_option (fd, IPPROTO_TCP, TCP_NODELAY, 1);
  set_int_option (fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_int_option (fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
  set_int_option (fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
  set_int_option (fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
  set_int_option (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, SILENCE_TIMEOUT_MS);
}

int
cf_socket_connect (const struct sockaddr_in *addr)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return -1;
  set_options (fd);
  if (connect (fd, (const struct sockaddr *)addr, sizeof *addr) < 0
      && errno != EINPROGRESS)
    {
      int err = errno;

      close (fd);
      errno = err;
      return -1;
    }
  return fd;
}

int
cf_socket_accept (int listener)
{
  int fd = accept4 (listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

  if (fd >= 0)
    set_options (fd);
  return fd;
}

CfStatus
cf_socket_listen (const char *addr, int *out)
{
  struct sockaddr_in sa;
  CfStatus st = cf_socket_parse_address (addr, &sa);
  int fd;

  if (st != CF_OK)
    return st;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return cf_fail (CF_ERR_NET, "raise the limit of file descriptors",
                    "cannot create a socket for %s: %s", addr,
                    strerror (errno));
  set_int_option (fd, SOL_SOCKET, SO_REUSEADDR, 1);
  if (bind (fd, (struct sockaddr *)&sa, sizeof sa) < 0
      || listen (fd, LISTEN_BACKLOG) < 0)
    {
      st = cf_fail (CF_ERR_NET, "free the address or configure another one",
                    "cannot listen at %s: %s", addr, strerror (errno));
      close (fd);
      return st;
    }
  *out = fd;
  return CF_OK;
}

int
cf_socket_error (int fd)
{
  int err = 0;
  socklen_t len = sizeof err;

  if (getsockopt (fd, SOL_SOCKET, SO_ERROR, &err, &len) < 0)
    return errno;
  return err;
}

CfStatus
cf_socket_parse_address (const char *addr, struct sockaddr_in *out)
{
  char ip[INET_ADDRSTRLEN];
  const char *colon = strrchr (addr, ':');
  guint64 port;

  memset (out, 0, sizeof *out);
  if (colon && (gsize)(colon - addr) < sizeof ip
      && g_ascii_string_to_unsigned (colon + 1, 10, 1, 65535, &port, NULL))
    {
      memcpy (ip, addr, (gsize)(colon - addr));
      ip[colon - addr] = '\0';
      out->sin_family = AF_INET;
      out->sin_port = htons ((guint16)port);
      if (inet_pton (AF_INET, ip, &out->sin_addr) == 1)
        return CF_OK;
    }
  return cf_fail (CF_ERR_NET, "write the address as IP:PORT", "bad address %s",
                  addr);
}
