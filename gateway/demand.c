#include "demand.h"

guint32
cf_demand_org_id (const char *org)
{
  guint32 id = g_str_hash (org ? org : "");

  return id == CF_DEMAND_OTHER_ORGS ? 1 : id;
}

double
cf_demand_table_total (const CfDemandTable *t)
{
  double slots = 0;

  for (guint i = 0; i < t->n; i++)
    slots += t->entries[i].slots;
  return slots;
}
