#include "expert-counts.h"

#include <string.h>

/** Demand of before, beyond what a reading of ranks that are read seldom may
 * hold, is no demand of now. */
#define LONG_AGO_MS 3000

void
cf_expert_counts_clear (CfExpertCounts *c)
{
  if (c->last)
    g_array_unref (c->last);
  memset (c, 0, sizeof *c);
}

static gboolean
go_on (const CfExpertCounts *c, const GArray *now, gint64 incarnation,
       gint64 now_ms)
{
  return c->last && c->incarnation == incarnation && c->last->len == now->len
         && now_ms - c->at_ms <= LONG_AGO_MS;
}

/* %NULL if one went back: the rank counts from anew. */
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
cf_expert_counts_since (CfExpertCounts *c, GArray *now, gint64 incarnation,
                        gint64 now_ms)
{
  GArray *since = NULL;

  if (go_on (c, now, incarnation, now_ms))
    since = subtract (now, c->last);
  if (c->last)
    g_array_unref (c->last);
  c->last = now;
  c->incarnation = incarnation;
  c->at_ms = now_ms;
  return since;
}
