#include "expert-counts.h"

#include <string.h>

/** Samples older than this are dropped from the popularity estimate; ranks that
 * are read seldom are read more often than that. */
#define SAMPLE_MAX_AGE_MS 3000

void
cf_expert_counts_clear (CfExpertCounts *c)
{
  if (c->last)
    g_array_unref (c->last);
  memset (c, 0, sizeof *c);
}

static gboolean
may_subtract (const CfExpertCounts *c, const GArray *now, gint64 incarnation,
              gint64 now_ms)
{
  return c->last && c->incarnation == incarnation && c->last->len == now->len
         && now_ms - c->at_ms <= SAMPLE_MAX_AGE_MS;
}

/* %NULL if a counter decreased, i.e. the rank restarted. */
static GArray *
subtract (const GArray *now, const GArray *before)
{
  GArray *since = g_array_sized_new (FALSE, FALSE, sizeof (gint64), now->len);

  for (guint i = 0; i < now->len; i++)
    {
      gint64 n = g_array_index (now, gint64, i);
      gint64 more = n - g_array_index (before, gint64, i);

      if (more < 0)
        {
          g_array_unref (since);
          return NULL;
        }
      g_array_append_val (since, more);
    }
  return since;
}

GArray *
cf_expert_counts_take_delta (CfExpertCounts *c, GArray *now, gint64 incarnation,
                             gint64 now_ms)
{
  GArray *since = NULL;

  if (may_subtract (c, now, incarnation, now_ms))
    since = subtract (now, c->last);
  if (c->last)
    g_array_unref (c->last);
  c->last = now;
  c->incarnation = incarnation;
  c->at_ms = now_ms;
  return since;
}
