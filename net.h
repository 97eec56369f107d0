#pragma once

#include "error.h"

#include <stddef.h>

/**
 * cf_listen_tcp:
 * @addr: "IP:PORT", or "[IPv6]:PORT"; host names are not resolved
 * @fd: (out): the listening socket
 *
 * Returns: %CF_OK or %CF_ERR_NET naming the address.
 */
CfStatus cf_listen_tcp (const char *addr, int *fd);

/**
 * cf_connect_tcp:
 * @addr: as for cf_listen_tcp()
 * @timeout_ms: connect timeout
 * @fd: (out): the connected socket, with TCP_NODELAY set
 *
 * Returns: %CF_OK, %CF_ERR_NET or %CF_ERR_TIMEOUT.
 */
CfStatus cf_connect_tcp (const char *addr, int timeout_ms, int *fd);

/** cf_write_all: writes all @n bytes, or fails with %CF_ERR_NET. */
CfStatus cf_write_all (int fd, const void *buf, size_t n);

/** cf_read_all: reads exactly @n bytes; fails with %CF_ERR_NET if the
 * connection is closed or broken, and with %CF_ERR_TIMEOUT if its SO_RCVTIMEO
 * passes without a byte. */
CfStatus cf_read_all (int fd, void *buf, size_t n);

/** cf_now_ms: a monotonic clock in ms, for deadlines and durations. */
long long cf_now_ms (void);
