#include "org-usage.h"

/** Counts: the requests of one organisation. */
typedef struct
{
  guint in_flight;
  guint waiting;
} Counts;

static const Counts *
lookup (const CfOrgUsage *u, guint32 org)
{
  static const Counts none = { 0 };
  const Counts *c = NULL;

  if (u->by_org)
    c = g_hash_table_lookup (u->by_org, GUINT_TO_POINTER (org));
  return c ? c : &none;
}

static Counts *
ensure (CfOrgUsage *u, guint32 org)
{
  Counts *c;

  if (!u->by_org)
    u->by_org = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  c = g_hash_table_lookup (u->by_org, GUINT_TO_POINTER (org));
  if (!c)
    {
      c = g_new0 (Counts, 1);
      g_hash_table_insert (u->by_org, GUINT_TO_POINTER (org), c);
    }
  return c;
}

static guint
add (guint n, int change)
{
  return (guint)MAX ((gint64)n + change, 0);
}

void
cf_org_usage_clear (CfOrgUsage *u)
{
  g_clear_pointer (&u->by_org, g_hash_table_unref);
}

void
cf_org_usage_add (CfOrgUsage *u, guint32 org, int in_flight, int waiting)
{
  Counts *c = ensure (u, org);

  c->in_flight = add (c->in_flight, in_flight);
  c->waiting = add (c->waiting, waiting);
  if (c->in_flight == 0 && c->waiting == 0)
    g_hash_table_remove (u->by_org, GUINT_TO_POINTER (org));
}

guint
cf_org_usage_in_flight (const CfOrgUsage *u, guint32 org)
{
  return lookup (u, org)->in_flight;
}

guint
cf_org_usage_waiting (const CfOrgUsage *u, guint32 org)
{
  return lookup (u, org)->waiting;
}

guint
cf_org_usage_size (const CfOrgUsage *u)
{
  return u->by_org ? g_hash_table_size (u->by_org) : 0;
}
