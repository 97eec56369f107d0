#pragma once

#include <glib.h>

/**
 * CfStatus:
 * The kinds of failure of a libcomfrey function.  A function that fails returns
 * one of these and stores a message that names the remedy; cf_last_error()
 * returns the message on the same thread.
 */
typedef enum
{
  CF_OK = 0,
  CF_ERR_SETTINGS, /**< a settings file or value is invalid */
  CF_ERR_RECORD,   /**< a configuration record is invalid */
  CF_ERR_NET,      /**< an address, socket or connection failed */
  CF_ERR_PROTO,    /**< a peer sent a malformed message */
  CF_ERR_HTTP,     /**< an HTTP request failed */
  CF_ERR_TIMEOUT,  /**< an operation exceeded its deadline */
  CF_ERR_FULL,     /**< a bounded queue or table is full */
  CF_ERR_STALE,    /**< a version or fencing token is older than one seen */
  CF_ERR_USAGE,    /**< a command line is invalid */
} CfStatus;

/**
 * cf_fail:
 * @st: the kind of failure
 * @remedy: what the operator or caller can do about it
 * @fmt: printf-style description of what went wrong
 *
 * Stores "@fmt; remedy: @remedy" as the thread's last error.
 *
 * Returns: @st, so that callers can write `return cf_fail (...)`.
 */
CfStatus cf_fail (CfStatus st, const char *remedy, const char *fmt, ...)
    G_GNUC_PRINTF (3, 4);

/** cf_last_error: the message of the thread's last failure, or "". */
const char *cf_last_error (void);

/** cf_status_name: a short, stable name of @st for logs and JSON. */
const char *cf_status_name (CfStatus st);
