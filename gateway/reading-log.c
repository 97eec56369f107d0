#include "reading-log.h"

#include "log.h"

/** Minimum time between two lines about readings of one kind. */
#define LINE_INTERVAL_MS 5000

const char *
cf_reading_kind_name (CfReadingKind k)
{
  switch (k)
    {
    case CF_READING_RANK_REPORT:
      return "rank-report";
    case CF_READING_EXPERT_COUNTS:
      return "expert-counts";
    case CF_READING_EXPERT_LISTS:
      return "expert-lists";
    case CF_READING_RANK_STATUS:
      return "rank-status";
    case CF_READING_DEMAND:
      return "demand";
    case CF_READING_SLOWDOWN:
      return "slowdown";
    case CF_READING_RATE_LIMIT:
      return "rate-limit";
    case CF_READING_LEAVING:
      return "leaving";
    case CF_READING_WARMUP:
      return "warm-up";
    case CF_READING_EVACUATION:
      return "evacuation";
    case CF_READING_SERVICE_DEMAND:
      return "service-demand";
    case CF_READING_RETURN:
      return "return";
    case CF_N_READING_KINDS:
      break;
    }
  return "unknown";
}

void
cf_reading_log_drop (CfReadingLog *l, CfReadingKind k, const char *from,
                     const char *reason, gint64 now_ms)
{
  l->n_dropped[k]++;
  if (l->logged_ms[k] && now_ms - l->logged_ms[k] < LINE_INTERVAL_MS)
    return;
  l->logged_ms[k] = now_ms;
  cf_log (LOG_WARNING, CF_EV_READING_DROPPED,
          "what=%s from=%s reason=\"%s\" dropped=%" G_GUINT64_FORMAT,
          cf_reading_kind_name (k), from ? from : "-", reason, l->n_dropped[k]);
}

guint64
cf_reading_log_total (const CfReadingLog *l)
{
  guint64 n = 0;

  for (int k = 0; k < CF_N_READING_KINDS; k++)
    n += l->n_dropped[k];
  return n;
}
