#pragma once

#include <glib.h>

/**
 * CfStatus:
 * The kinds of failure a libcomfrey call can report.  Each call that fails
 * returns one of these and leaves a message, naming the remedy, that
 * cf_last_error() returns on the same thread.
 */
typedef enum
{
  CF_OK = 0,
  CF_ERR_SETTINGS, /**< a settings file or value is wrong */
  CF_ERR_RECORD,   /**< a configuration record is wrong */
  CF_ERR_NET,      /**< an address, socket or connection failed */
  CF_ERR_PROTO,    /**< a peer sent a frame we cannot read */
  CF_ERR_HTTP,     /**< an HTTP exchange failed */
  CF_ERR_TIMEOUT,  /**< a wait ran past its deadline */
  CF_ERR_FULL,     /**< a bounded queue or table is full */
  CF_ERR_STALE,    /**< a version or fencing token is older than one seen */
  CF_ERR_USAGE,    /**< a command line is wrong */
} CfStatus;

/**
 * cf_fail:
 * @st: the kind of failure
 * @remedy: what the operator or caller should do about it
 * @fmt: printf-style description of what went wrong
 *
 * Records "@fmt; remedy: @remedy" as the thread's last error.
 *
 * Returns: @st, so that callers can write `return cf_fail (...)`.
 */
CfStatus cf_fail (CfStatus st, const char *remedy, const char *fmt, ...)
    G_GNUC_PRINTF (3, 4);

/** cf_last_error: the message of the thread's last failure, or "". */
const char *cf_last_error (void);

/** cf_status_name: a short stable name for @st, for logs and JSON. */
const char *cf_status_name (CfStatus st);
