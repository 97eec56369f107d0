#include "expert-counts.h"

#include <string.h>

/** An increase over a longer time is dropped from the demand estimate.  Even
 * the ranks that are read least often are read more often than this. */
#define SAMPLE_MAX_AGE_MS 3000

void
cf_expert_reading_clear (CfExpertReading *r)
{
  if (r->counts)
    g_array_unref (r->counts);
  memset (r, 0, sizeof *r);
}

const char *
cf_reading_outcome_name (CfReadingOutcome o)
{
  switch (o)
    {
    case CF_READING_USED:
      return "used";
    case CF_READING_FIRST:
      return "first";
    case CF_READING_OTHER_PROCESS:
      return "other-process";
    case CF_READING_OTHER_EPOCH:
      return "other-epoch";
    case CF_READING_OLDER_STEP:
      return "older-step";
    case CF_READING_COUNTERS_RESET:
      return "counters-reset";
    case CF_READING_GAP:
      return "gap";
    case CF_READING_OTHER_SHAPE:
      return "other-shape";
    }
  return "unknown";
}

gboolean
cf_reading_outcome_is_drop (CfReadingOutcome o)
{
  return o != CF_READING_USED && o != CF_READING_FIRST;
}

void
cf_expert_counts_clear (CfExpertCounts *c)
{
  if (c->last)
    g_array_unref (c->last);
  memset (c, 0, sizeof *c);
}

/* Whether @r may come from another process than @report, or from before it. */
static CfReadingOutcome
check_against_report (const CfExpertReading *r, const CfRankStatus *report)
{
  if (cf_optional_int_conflict (r->incarnation, report->incarnation))
    return CF_READING_OTHER_PROCESS;
  if (r->epoch.is_set && r->epoch.value != report->epoch)
    return CF_READING_OTHER_EPOCH;
  if (r->step.is_set && r->step.value < report->step)
    return CF_READING_OLDER_STEP;
  return CF_READING_USED;
}

/* Whether the last counters come from the process that @report describes.  A
 * rank that restarts breaks its group, so that without incarnations the epoch
 * tells. */
static gboolean
is_same_process (const CfExpertCounts *c, const CfRankStatus *report)
{
  if (c->incarnation.is_set && report->incarnation.is_set)
    return c->incarnation.value == report->incarnation.value;
  return c->epoch == report->epoch;
}

static CfReadingOutcome
check_against_last (const CfExpertCounts *c, const GArray *counts,
                    const CfRankStatus *report, gint64 now_ms)
{
  if (!c->last)
    return CF_READING_FIRST;
  if (!is_same_process (c, report))
    return CF_READING_OTHER_PROCESS;
  if (c->last->len != counts->len)
    return CF_READING_OTHER_SHAPE;
  if (now_ms - c->read_at_ms > SAMPLE_MAX_AGE_MS)
    return CF_READING_GAP;
  return CF_READING_USED;
}

/* Returns the increase of each counter; %NULL if one decreased, that is, the
 * rank reset its counters. */
static GArray *
subtract (const GArray *counts, const GArray *before)
{
  GArray *increases
      = g_array_sized_new (FALSE, FALSE, sizeof (gint64), counts->len);

  for (guint i = 0; i < counts->len; i++)
    {
      gint64 n = g_array_index (counts, gint64, i);
      gint64 increase = n - g_array_index (before, gint64, i);

      if (increase < 0)
        {
          g_array_unref (increases);
          return NULL;
        }
      g_array_append_val (increases, increase);
    }
  return increases;
}

CfReadingOutcome
cf_expert_counts_take (CfExpertCounts *c, CfExpertReading *r,
                       const CfRankStatus *report, gint64 now_ms,
                       GArray **increases)
{
  CfReadingOutcome o = check_against_report (r, report);

  *increases = NULL;
  if (o != CF_READING_USED)
    return o;
  o = check_against_last (c, r->counts, report, now_ms);
  if (o == CF_READING_USED)
    *increases = subtract (r->counts, c->last);
  if (o == CF_READING_USED && !*increases)
    o = CF_READING_COUNTERS_RESET;
  cf_expert_counts_clear (c);
  c->last = g_steal_pointer (&r->counts);
  c->incarnation = r->incarnation.is_set ? r->incarnation : report->incarnation;
  c->epoch = report->epoch;
  c->read_at_ms = now_ms;
  return o;
}
