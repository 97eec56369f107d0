#include "target-notice.h"

#include "log.h"

static void
take_pause (CfTarget *t, const CfHttpReader *r, gint64 now_ms)
{
  double seconds = cf_platform_parse_retry_after (
      cf_http_reader_header (r, CF_HDR_RETRY_AFTER));

  if (seconds == 0 || r->parser.status_code != HTTP_STATUS_SERVICE_UNAVAILABLE)
    return;
  cf_target_pause_begin (&t->pause, seconds, now_ms);
  cf_log (LOG_NOTICE, CF_EV_TARGET_PAUSE,
          "target=%s service=%s retry_after_s=%.3f pause_ms=%" G_GINT64_FORMAT,
          t->record.id, t->record.service, seconds,
          cf_target_pause_ms (t, now_ms));
}

void
cf_target_take_notice (CfTarget *t, const CfHttpReader *r, gint64 now_ms)
{
  take_pause (t, r, now_ms);
}
