#pragma once

#include "agent-link.h"

/**
 * CfLinkTable:
 * A process's links to agents, one for each address that cf_link_table_get()
 * was called with.
 * Links live as long as the process.
 */
typedef struct
{
  pthread_mutex_t lock;
  GHashTable *links;     /**< from "IP:PORT" to CfLink * */
  gint64 config_version; /**< sent with every ping */
} CfLinkTable;

/** CfLinkTotals: counts over all links of a table, for GET /v1/health. */
typedef struct
{
  gint64 up;
  gint64 quiet_guards; /**< links that are up whose guard abstains; guard.h */
  gint64 ejected;      /**< links whose target is ejected; outlier.h */
  guint64 pings;       /**< heartbeats sent */
} CfLinkTotals;

void cf_link_table_init (CfLinkTable *t);

/** cf_link_table_get: the link to @addr; the first call creates it. */
CfLink *cf_link_table_get (CfLinkTable *t, const char *addr);

/** cf_link_table_set_config_version: sets it for present and future links. */
void cf_link_table_set_config_version (CfLinkTable *t, gint64 version);

/** cf_link_table_totals: counts over all links. */
CfLinkTotals cf_link_table_totals (CfLinkTable *t);
