#pragma once

#include "platform/platform-target.h"
#include "target-pause.h"

#include <glib.h>
#include <sys/queue.h>

typedef struct CfDepartedTarget CfDepartedTarget;
typedef TAILQ_HEAD (CfDepartedTargetList,
                    CfDepartedTarget) CfDepartedTargetList;

/**
 * CfDepartedTargets:
 * What this process still knows of instances that are no longer listed.  The
 * list may show an instance again, for example after the store lost entries,
 * and what it has said of itself applies then as before.
 */
typedef struct
{
  GHashTable *by_instance;      /**< key of an instance -> #CfDepartedTarget */
  CfDepartedTargetList by_time; /**< the one that departed first comes first */
} CfDepartedTargets;

/** CfDepartedTarget: an instance that is no longer listed. */
struct CfDepartedTarget
{
  TAILQ_ENTRY (CfDepartedTarget) link;
  char *key;
  gboolean announced_leaving; /**< an answer had said that it leaves */
  gboolean record_leaving;    /**< its last record said that it leaves */
  gint64 seq;                 /**< of its last record */
  guint generation;           /**< of the list when it departed */
  CfTargetPause pause;
};

/** Number of instances that are remembered.  The one that departed first is
 * dropped for another. */
#define CF_DEPARTED_TARGETS_MAX 8192

void cf_departed_targets_init (CfDepartedTargets *d);
void cf_departed_targets_clear (CfDepartedTargets *d);

/** cf_departed_targets_add: remembers the instance with record @r, in place of
 * what was known of it before; the caller fills in the rest. */
CfDepartedTarget *cf_departed_targets_add (CfDepartedTargets *d,
                                           const CfTargetRecord *r);

/** cf_departed_targets_lookup: (nullable): what is known of the instance with
 * record @r.  Without an incarnation, the id and the address identify it. */
const CfDepartedTarget *cf_departed_targets_lookup (const CfDepartedTargets *d,
                                                    const CfTargetRecord *r);
