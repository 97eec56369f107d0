#pragma once

#include <glib.h>
#include <pthread.h>

/**
 * CfVmList:
 * Polls the platform's list of live and leaving VMs.  The list lags, so it
 * is one of two signs that a target is leaving; the other is the draining
 * flag in every reply of the agent.
 */
typedef struct
{
  char *url;
  gint64 poll_ms;
  pthread_mutex_t lock;
  GHashTable *leaving; /**< set of "IP:PORT" strings */
  pthread_t thread;
  gboolean down; /**< the last poll failed */
} CfVmList;

/** cf_vm_list_start: starts a thread that polls the list at @url. */
void cf_vm_list_start (CfVmList *v, const char *url, gint64 poll_ms);

/**
 * cf_vm_list_is_leaving: whether the last successful poll listed @addr as
 * leaving.
 */
gboolean cf_vm_list_is_leaving (CfVmList *v, const char *addr);
