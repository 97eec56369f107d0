#include "store-position.h"

static gboolean
is_known (CfStorePosition p)
{
  return p.era != CF_STORE_ERA_UNKNOWN;
}

gboolean
cf_store_position_is_older (CfStorePosition a, CfStorePosition b)
{
  if (is_known (a) && !is_known (b))
    return FALSE;
  if (is_known (b) && is_known (a) && a.era != b.era)
    return a.era < b.era;
  return a.rev < b.rev;
}

gboolean
cf_store_position_is_later_era (CfStorePosition a, CfStorePosition b)
{
  return is_known (a) && is_known (b) && a.era > b.era;
}
