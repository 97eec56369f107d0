#include "net.h"

#include <errno.h>
#include <fcntl.h>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <glib.h>

static CfStatus
parse_address (const char *addr, struct addrinfo **out)
{
  g_autofree char *host = NULL;
  const char *colon = strrchr (addr, ':');
  struct addrinfo hints = { 0 };
  int rc;

  if (colon == NULL || colon == addr || colon[1] == '\0')
    return cf_fail (CF_ERR_NET, "write the address as IP:PORT",
                    "address '%s' has no port", addr);
  if (addr[0] == '[' && colon[-1] == ']')
    host = g_strndup (addr + 1, colon - addr - 2);
  else
    host = g_strndup (addr, colon - addr);
  hints.ai_family = AF_UNSPEC;
  hints.ai_socktype = SOCK_STREAM;
  hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
  rc = getaddrinfo (host, colon + 1, &hints, out);
  if (rc == 0 && *out == NULL)
    rc = EAI_NONAME;
  if (rc != 0)
    return cf_fail (CF_ERR_NET, "give a numeric IP and port",
                    "address '%s': %s", addr, gai_strerror (rc));
  return CF_OK;
}

CfStatus
cf_listen_tcp (const char *addr, int *fd)
{
  struct addrinfo *ai = NULL;
  CfStatus st;
  int one = 1;
  int s = -1;

  st = parse_address (addr, &ai);
  if (st != CF_OK)
    return st;
  g_assert (ai != NULL);
  s = socket (ai->ai_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (s < 0)
    {
      st = cf_fail (CF_ERR_NET, "check the process's file descriptor limit",
                    "socket: %s", strerror (errno));
      goto out;
    }
  setsockopt (s, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (s, ai->ai_addr, ai->ai_addrlen) < 0 || listen (s, 512) < 0)
    {
      st = cf_fail (CF_ERR_NET, "choose a free port on a local address",
                    "listen on %s: %s", addr, strerror (errno));
      close (s);
      goto out;
    }
  *fd = s;
out:
  freeaddrinfo (ai);
  return st;
}

CfStatus
cf_connect_tcp (const char *addr, int timeout_ms, int *fd)
{
  struct addrinfo *ai = NULL;
  struct pollfd pfd;
  socklen_t len = sizeof (int);
  CfStatus st;
  int one = 1;
  int err = 0;
  int s;

  st = parse_address (addr, &ai);
  if (st != CF_OK)
    return st;
  g_assert (ai != NULL);
  s = socket (ai->ai_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (s < 0)
    {
      st = cf_fail (CF_ERR_NET, "check the process's file descriptor limit",
                    "socket: %s", strerror (errno));
      goto out;
    }
  if (connect (s, ai->ai_addr, ai->ai_addrlen) < 0 && errno != EINPROGRESS)
    err = errno;
  if (err == 0)
    {
      pfd.fd = s;
      pfd.events = POLLOUT;
      if (poll (&pfd, 1, timeout_ms) != 1)
        {
          st = cf_fail (CF_ERR_TIMEOUT, "check that the peer is up",
                        "connect to %s timed out after %d ms", addr,
                        timeout_ms);
          close (s);
          goto out;
        }
      getsockopt (s, SOL_SOCKET, SO_ERROR, &err, &len);
    }
  if (err != 0)
    {
      st = cf_fail (CF_ERR_NET, "check that the peer is up",
                    "connect to %s: %s", addr, strerror (err));
      close (s);
      goto out;
    }
  fcntl (s, F_SETFL, fcntl (s, F_GETFL) & ~O_NONBLOCK);
  setsockopt (s, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  *fd = s;
out:
  freeaddrinfo (ai);
  return st;
}

CfStatus
cf_write_all (int fd, const void *buf, size_t n)
{
  const char *p = buf;

  while (n > 0)
    {
      ssize_t k = send (fd, p, n, MSG_NOSIGNAL);

      if (k < 0 && errno == EINTR)
        continue;
      if (k <= 0)
        return cf_fail (CF_ERR_NET, "the connection is re-established",
                        "write: %s", k < 0 ? strerror (errno) : "closed");
      p += k;
      n -= k;
    }
  return CF_OK;
}

CfStatus
cf_read_all (int fd, void *buf, size_t n)
{
  char *p = buf;

  while (n > 0)
    {
      ssize_t k = read (fd, p, n);

      if (k < 0 && errno == EINTR)
        continue;
      if (k < 0 && errno == EAGAIN)
        return cf_fail (CF_ERR_TIMEOUT, "the connection is re-established",
                        "read: %zu bytes are missing", n);
      if (k <= 0)
        return cf_fail (CF_ERR_NET, "the connection is re-established",
                        "read: %s", k < 0 ? strerror (errno) : "closed");
      p += k;
      n -= k;
    }
  return CF_OK;
}

long long
cf_now_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (long long)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}
