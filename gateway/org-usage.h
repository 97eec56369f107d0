#pragma once

#include <glib.h>

/**
 * CfOrgUsage:
 * Requests of one service by organisation: in flight at targets and waiting.
 * An organisation without requests is not kept, so there are at most as many
 * as requests in the process, which its limit of callers bounds.
 */
typedef struct
{
  GHashTable *by_org; /**< (nullable): id of the organisation -> its counts */
} CfOrgUsage;

void cf_org_usage_clear (CfOrgUsage *u);

/** cf_org_usage_add: adds @in_flight and @waiting (may be negative) to the
 * counts of @org. */
void cf_org_usage_add (CfOrgUsage *u, guint32 org, int in_flight, int waiting);

guint cf_org_usage_in_flight (const CfOrgUsage *u, guint32 org);
guint cf_org_usage_waiting (const CfOrgUsage *u, guint32 org);

/** cf_org_usage_size: organisations with requests. */
guint cf_org_usage_size (const CfOrgUsage *u);
