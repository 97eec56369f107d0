#pragma once

#include "platform/platform-target.h"
#include "target-pause.h"

#include <glib.h>

/**
 * CfDepartedTargets:
 * What this process still knows of instances that are no longer listed.  The
 * list may show an instance again, for example after the store lost entries,
 * and what it has said of itself applies then as before.
 */
typedef struct
{
  GHashTable *by_instance; /**< key of an instance -> #CfDepartedTarget */
} CfDepartedTargets;

/** CfDepartedTarget: an instance that is no longer listed. */
typedef struct
{
  gint64 departed_ms;         /**< when it was removed from the list */
  gboolean announced_leaving; /**< an answer had said that it leaves */
  gboolean record_leaving;    /**< its last record said that it leaves */
  gint64 seq;                 /**< of its last record */
  guint generation;           /**< of the list that showed it last */
  CfTargetPause pause;
} CfDepartedTarget;

/** Number of instances that are remembered.  The one that departed first is
 * dropped for another. */
#define CF_DEPARTED_TARGETS_MAX 2048

void cf_departed_targets_init (CfDepartedTargets *d);
void cf_departed_targets_clear (CfDepartedTargets *d);

/** cf_departed_targets_add: remembers the instance with record @r, in place of
 * what was known of it before. */
void cf_departed_targets_add (CfDepartedTargets *d, const CfTargetRecord *r,
                              const CfDepartedTarget *t);

/** cf_departed_targets_lookup: (nullable): what is known of the instance with
 * record @r.  Without an incarnation, the id and the address identify it. */
const CfDepartedTarget *cf_departed_targets_lookup (const CfDepartedTargets *d,
                                                    const CfTargetRecord *r);
