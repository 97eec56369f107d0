#include "target-notice.h"

#include "log.h"
#include "reading-log.h"
#include "upstream.h"

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

static void
take_leaving (CfTarget *t, const CfHttpReader *r)
{
  if (!cf_platform_parse_leaving (cf_http_reader_header (r, CF_HDR_LEAVING))
      || !cf_target_announce_leaving (t))
    return;
  cf_log (LOG_NOTICE, CF_EV_TARGET_LIST,
          "target=%s service=%s addr=%s outcome=leaving rev=%" G_GINT64_FORMAT
          " incarnation=%" G_GINT64_FORMAT " source=answer",
          t->record.id, t->record.service, t->record.addr, t->pos.rev,
          t->record.incarnation);
  cf_upstream_close_idle (t);
}

static void
take_warmup (CfTarget *t, const CfHttpReader *r, gint64 now_ms)
{
  CfOptionalInt left_ms
      = cf_platform_parse_warmup (cf_http_reader_header (r, CF_HDR_WARMUP));
  gboolean was_cold = cf_warmup_is_cold (&t->warmup, now_ms);

  if (!left_ms.is_set)
    {
      if (cf_http_reader_header (r, CF_HDR_WARMUP)
          && t->warmup.n_rejected++ == 0)
        cf_log (LOG_WARNING, CF_EV_READING_DROPPED,
                "what=%s from=%s reason=\"no time in ms\" dropped=1",
                cf_reading_kind_name (CF_READING_WARMUP), t->record.id);
      return;
    }
  cf_warmup_set (&t->warmup, left_ms.value, now_ms);
  if (cf_warmup_is_cold (&t->warmup, now_ms) != was_cold)
    cf_log (
        LOG_NOTICE, CF_EV_TARGET_LIST,
        "target=%s service=%s addr=%s outcome=%s warmup_ms=%" G_GINT64_FORMAT
        " source=answer",
        t->record.id, t->record.service, t->record.addr,
        was_cold ? "warm" : "cold", left_ms.value);
}

void
cf_target_take_notice (CfTarget *t, const CfHttpReader *r, gint64 now_ms)
{
  take_leaving (t, r);
  take_pause (t, r, now_ms);
  take_warmup (t, r, now_ms);
}
