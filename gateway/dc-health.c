#include "dc-health.h"

#include <string.h>

/** How long a data centre is avoided after a refusal; doubles with each further
 * one, so that few requests find out that a group is still broken. */
#define AVOID_MIN_MS 500
#define AVOID_MAX_MS 2000
/** Refusals that come together count once. */
#define SAME_REFUSAL_MS 200

/** Refusals: those in one data centre since the last answer there. */
typedef struct
{
  gint64 last_ms;
  gint64 avoid_ms; /* for how long, from @last_ms */
} Refusals;

gboolean
cf_dc_set_contains (const CfDcSet *s, const char *data_centre)
{
  for (guint i = 0; s && data_centre && i < s->n; i++)
    if (strcmp (s->names[i], data_centre) == 0)
      return TRUE;
  return FALSE;
}

static void
add_to_set (CfDcSet *s, const char *data_centre)
{
  if (s->n < CF_DC_SET_MAX && !cf_dc_set_contains (s, data_centre))
    s->names[s->n++] = data_centre;
}

void
cf_dc_health_clear (CfDcHealth *h)
{
  g_clear_pointer (&h->refusals, g_hash_table_destroy);
}

void
cf_dc_health_record_refusal (CfDcHealth *h, const char *data_centre, gint64 now)
{
  Refusals *r;

  if (!data_centre)
    return;
  if (!h->refusals)
    h->refusals
        = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  r = g_hash_table_lookup (h->refusals, data_centre);
  if (!r)
    {
      r = g_new0 (Refusals, 1);
      g_hash_table_insert (h->refusals, g_strdup (data_centre), r);
    }
  else if (now - r->last_ms < SAME_REFUSAL_MS)
    return;
  r->avoid_ms = CLAMP (r->avoid_ms * 2, AVOID_MIN_MS, AVOID_MAX_MS);
  r->last_ms = now;
}

void
cf_dc_health_record_answer (CfDcHealth *h, const char *data_centre)
{
  if (h->refusals && data_centre)
    g_hash_table_remove (h->refusals, data_centre);
}

/* Adds the data centres in which this gateway has requests that have all
 * stalled. */
static void
add_stalled (const GPtrArray *targets, gint64 stall_timeout_ms, gint64 now,
             CfDcSet *out)
{
  CfDcSet stalled = { 0 };
  CfDcSet working = { 0 };

  for (guint i = 0; targets && i < targets->len; i++)
    {
      const CfTarget *t = targets->pdata[i];

      if (t->in_flight == 0 || !t->record.data_centre)
        continue;
      add_to_set (cf_target_silence_ms (t, now) > stall_timeout_ms ? &stalled
                                                                   : &working,
                  t->record.data_centre);
    }
  for (guint i = 0; i < stalled.n; i++)
    if (!cf_dc_set_contains (&working, stalled.names[i]))
      add_to_set (out, stalled.names[i]);
}

void
cf_dc_health_get_avoided (const CfDcHealth *h, const GPtrArray *targets,
                          gint64 stall_timeout_ms, gint64 now, CfDcSet *out)
{
  GHashTableIter it;
  gpointer name;
  gpointer v;

  out->n = 0;
  if (stall_timeout_ms > 0)
    add_stalled (targets, stall_timeout_ms, now, out);
  if (!h->refusals)
    return;
  g_hash_table_iter_init (&it, h->refusals);
  while (g_hash_table_iter_next (&it, &name, &v))
    {
      const Refusals *r = v;

      if (now - r->last_ms < r->avoid_ms)
        add_to_set (out, name);
    }
}
