#include "target-harness.h"

#define SLOTS_USUAL 4

static char *
text_or (const char *text, const char *usual)
{
  return g_strdup (text ? text : usual);
}

CfTargetChange
t_put_target (CfTargetTable *t, const TTargetSpec *what)
{
  const CfTargetUpdate news
      = { what->id, "{}", 2, what->rev, what->rev, what->now_ms };
  CfTargetRecord r = { 0 };

  r.id = g_strdup (what->id);
  r.service = text_or (what->service, "s");
  r.data_centre = text_or (what->data_centre, "dc1");
  r.addr = text_or (what->addr, "1.1.1.1:1");
  r.slots = what->slots ? what->slots : SLOTS_USUAL;
  r.leaving = what->leaving;
  r.incarnation = what->incarnation;
  return cf_target_table_put (t, &r, &news);
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
    cf_target_request_ended (t);
}
