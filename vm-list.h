#pragma once

#include <glib.h>
#include <pthread.h>

/**
 * CfVmList:
 * Polls the platform's list of live and leaving VMs.  The list lags, so it
 * is one of two signals that a target is leaving; the other is the
 * agent's own draining flag on every reply.
 */
typedef struct
{
  char *url;
  gint64 poll_ms;
  pthread_mutex_t lock;
  GHashTable *leaving; /**< "IP:PORT" set */
  pthread_t thread;
  gboolean down;
} CfVmList;

void cf_vm_list_start (CfVmList *v, const char *url, gint64 poll_ms);

/** cf_vm_list_is_leaving: %TRUE if the list last said @addr is leaving. */
gboolean cf_vm_list_is_leaving (CfVmList *v, const char *addr);
