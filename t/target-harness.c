#include "target-harness.h"

#define DEFAULT_SLOTS 4

static char *
text_or (const char *text, const char *fallback)
{
  return g_strdup (text ? text : fallback);
}

CfTargetChange
t_put_target (CfTargetTable *t, const TTargetSpec *spec)
{
  const CfTargetUpdate update = { .id = spec->id,
                                  .json = "{}",
                                  .n = 2,
                                  .pos = { spec->era, spec->rev },
                                  .created = { spec->era, spec->rev },
                                  .now_ms = spec->now_ms,
                                  .is_change = spec->is_change };
  CfTargetRecord r = { 0 };

  r.id = g_strdup (spec->id);
  r.service = text_or (spec->service, "s");
  r.data_centre = text_or (spec->data_centre, "dc1");
  r.addr = text_or (spec->addr, "1.1.1.1:1");
  r.slots = spec->slots ? spec->slots : DEFAULT_SLOTS;
  r.leaving = spec->leaving;
  r.incarnation = spec->incarnation;
  r.seq = spec->seq;
  return cf_target_table_put (t, &r, &update);
}

void
t_put_targets (CfTargetTable *t, int n, gint64 slots)
{
  for (int i = 0; i < n; i++)
    {
      g_autofree char *id = g_strdup_printf ("r%d", i);
      g_autofree char *addr = g_strdup_printf ("1.1.1.%d:1", i + 1);

      t_put_target (t,
                    &(TTargetSpec){
                        .id = id, .addr = addr, .slots = slots, .rev = i + 1 });
    }
}

CfTarget *
t_get_target (const CfTargetTable *t, const char *id)
{
  return g_hash_table_lookup (t->by_id, id);
}

void
t_set_in_flight (CfTarget *t, guint n, gint64 now_ms)
{
  while (t->in_flight < n)
    cf_target_request_started (t, now_ms);
  while (t->in_flight > n)
    cf_target_request_ended (t, now_ms);
}
