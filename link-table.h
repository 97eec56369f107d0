#pragma once

#include "agent-link.h"

/**
 * CfLinkTable:
 * A process's links to agents, one for each address it ever asked for, for
 * the life of the process.
 */
typedef struct
{
  pthread_mutex_t lock;
  GHashTable *links; /**< "IP:PORT" -> CfLink */
  gint64 config;     /**< the configuration version that pings carry */
} CfLinkTable;

/** CfLinkTotals: what the table's links add up to, for the health page. */
typedef struct
{
  gint64 up;
  gint64 quiet;   /**< links up whose agent's guard abstains; see guard.h */
  gint64 ejected; /**< links whose target failed too often; outlier.h */
  guint64 pings;
} CfLinkTotals;

void cf_link_table_init (CfLinkTable *t);

/** cf_link_table_get: the link to @addr, started at the first call. */
CfLink *cf_link_table_get (CfLinkTable *t, const char *addr);

/** cf_link_table_set_config_version: for every link, now and to come. */
void cf_link_table_set_config_version (CfLinkTable *t, gint64 version);

/** cf_link_table_totals: sums over the links. */
CfLinkTotals cf_link_table_totals (CfLinkTable *t);
