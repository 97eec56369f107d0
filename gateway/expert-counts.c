#include "expert-counts.h"

#include <string.h>

/** An increase over a longer time is dropped from the demand estimate.  Even
 * the ranks that are read least often are read more often than this. */
#define SAMPLE_MAX_AGE_MS 3000

void
cf_expert_counts_clear (CfExpertCounts *c)
{
  if (c->last)
    g_array_unref (c->last);
  memset (c, 0, sizeof *c);
}

static gboolean
is_comparable (const CfExpertCounts *c, const GArray *counts,
               gint64 incarnation, gint64 now_ms)
{
  return c->last && c->incarnation == incarnation && c->last->len == counts->len
         && now_ms - c->read_at_ms <= SAMPLE_MAX_AGE_MS;
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

GArray *
cf_expert_counts_take_increases (CfExpertCounts *c, GArray *counts,
                                 gint64 incarnation, gint64 now_ms)
{
  GArray *increases = NULL;

  if (is_comparable (c, counts, incarnation, now_ms))
    increases = subtract (counts, c->last);
  if (c->last)
    g_array_unref (c->last);
  c->last = counts;
  c->incarnation = incarnation;
  c->read_at_ms = now_ms;
  return increases;
}
