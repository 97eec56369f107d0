#pragma once

#include <glib.h>

/** CfHomes: the regions whose targets may run a request.  Those of its route
 * and those of its organisation both bind. */
typedef struct
{
  const char *const *route; /**< (nullable): %NULL: any region */
  const char *const *org;   /**< (nullable): %NULL: any region */
  GHashTable *regions;      /**< (nullable): data centre -> its region */
} CfHomes;

/** cf_homes_allow: whether targets in @data_centre (nullable) may run it.  One
 * whose region is not known is in none of the homes. */
gboolean cf_homes_allow (const CfHomes *h, const char *data_centre);
