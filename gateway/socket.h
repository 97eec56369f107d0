#pragma once

#include "error.h"

#include <netinet/in.h>

/**
 * Non-blocking TCP sockets for the event loop.  Each finds a peer that went
 * silent by TCP_USER_TIMEOUT and short keep-alive probes.
 */

/** cf_socket_connect: begins to connect; -1 with errno if it cannot. */
int cf_socket_connect (const struct sockaddr_in *addr);

/** cf_socket_accept: a ready connection of @listener, or -1. */
int cf_socket_accept (int listener);

/** cf_socket_listen: listens at "IP:PORT"; names the address on failure. */
CfStatus cf_socket_listen (const char *addr, int *fd);

/** cf_socket_error: the pending error of @fd, 0 if none. */
int cf_socket_error (int fd);

/** cf_socket_parse_address: reads "IP:PORT"; %CF_ERR_NET if it is not that. */
CfStatus cf_socket_parse_address (const char *addr, struct sockaddr_in *out);
