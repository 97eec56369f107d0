#pragma once

#include "platform/platform-store.h"

#include <glib.h>

/**
 * CfStorePosition:
 * A revision of the store in one of its eras.  Within an era the newer of two
 * positions has the higher revision.  A store that is restored from a copy
 * begins the next era and gives out the revisions after the copy again.
 */
typedef struct
{
  gint64 era; /**< %CF_STORE_ERA_UNKNOWN if the source did not state it */
  gint64 rev; /**< 0: none */
} CfStorePosition;

/** CF_STORE_POSITION_NONE: the position of what is older than anything else. */
#define CF_STORE_POSITION_NONE                                                 \
  ((CfStorePosition){ .era = CF_STORE_ERA_UNKNOWN, .rev = 0 })

/**
 * cf_store_position_is_older:
 * Returns: whether @a is known to be older than @b.  Without the era of one of
 *   them, the revisions are compared, but what states its era is not older than
 *   what does not.
 */
gboolean cf_store_position_is_older (CfStorePosition a, CfStorePosition b);

/** cf_store_position_is_later_era: whether @a is known to be of a later era
 * than @b. */
gboolean cf_store_position_is_later_era (CfStorePosition a, CfStorePosition b);
