#pragma once

#include "error.h"

#include <netinet/in.h>

/**
 * Non-blocking TCP sockets for the event loop.  TCP_USER_TIMEOUT and frequent
 * keep-alive probes detect a remote end that went silent.
 */

/** cf_socket_connect: starts to connect; returns the socket, or -1 with
 * errno set. */
int cf_socket_connect (const struct sockaddr_in *addr);

/** cf_socket_accept: accepts a pending connection of @listener; -1 on
 * failure or if there is none. */
int cf_socket_accept (int listener);

/** cf_socket_listen: listens at "IP:PORT"; on failure the error names the
 * address. */
CfStatus cf_socket_listen (const char *addr, int *fd);

/** cf_socket_error: the pending error of @fd; 0 if there is none. */
int cf_socket_error (int fd);

/** cf_socket_parse_address: parses "IP:PORT"; %CF_ERR_NET if it is
 * malformed. */
CfStatus cf_socket_parse_address (const char *addr, struct sockaddr_in *out);
