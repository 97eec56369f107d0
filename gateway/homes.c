#include "homes.h"

gboolean
cf_homes_allow (const CfHomes *h, const char *data_centre)
{
  const char *region;

  if (!h->route && !h->org)
    return TRUE;
  region = h->regions && data_centre
               ? g_hash_table_lookup (h->regions, data_centre)
               : NULL;
  if (!region)
    return FALSE;
  return (!h->route || g_strv_contains (h->route, region))
         && (!h->org || g_strv_contains (h->org, region));
}
