#include "error.h"

#include <stdarg.h>
#include <stdio.h>

#define ERROR_MAX_BYTES 512

static __thread char last_error[ERROR_MAX_BYTES];

CfStatus
cf_fail (CfStatus st, const char *remedy, const char *fmt, ...)
{
  va_list ap;
  int n;

  va_start (ap, fmt);
  n = vsnprintf (last_error, sizeof last_error, fmt, ap);
  va_end (ap);
  if (n >= 0 && (size_t)n < sizeof last_error)
    snprintf (last_error + n, sizeof last_error - n, "; remedy: %s", remedy);
  return st;
}

const char *
cf_last_error (void)
{
  return last_error;
}

const char *
cf_status_name (CfStatus st)
{
  switch (st)
    {
    case CF_OK:
      return "ok";
    case CF_ERR_SETTINGS:
      return "settings";
    case CF_ERR_RECORD:
      return "record";
    case CF_ERR_NET:
      return "net";
    case CF_ERR_PROTO:
      return "protocol";
    case CF_ERR_HTTP:
      return "http";
    case CF_ERR_TIMEOUT:
      return "timeout";
    case CF_ERR_FULL:
      return "full";
    case CF_ERR_STALE:
      return "stale";
    case CF_ERR_USAGE:
      return "usage";
    }
  return "unknown";
}
