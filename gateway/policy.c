#include "policy.h"

#include <string.h>

/** Size of the buffer in which a look-up builds a "host prefix" key.  A host
 * and path that do not fit have no route. */
#define ROUTE_KEY_MAX_BYTES 1024

static void
route_free (gpointer data)
{
  CfRoute *r = data;

  for (guint i = 0; i < r->n_splits; i++)
    g_free (r->splits[i].service);
  g_free (r->splits);
  g_strfreev (r->home_regions);
  g_free (r->name);
  g_free (r->host);
  g_free (r->prefix);
  g_free (r);
}

static void
service_free (gpointer data)
{
  CfService *s = data;

  g_free (s->name);
  g_free (s);
}

CfPolicy *
cf_policy_new (void)
{
  CfPolicy *p = g_new0 (CfPolicy, 1);

  p->ref_count = 1;
  p->routes = g_ptr_array_new_with_free_func (route_free);
  p->by_host_prefix
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  p->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free);
  p->urgency_services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  p->org_by_api_key
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  p->org_priority
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  p->org_home_regions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                               (GDestroyNotify)g_strfreev);
  return p;
}

CfPolicy *
cf_policy_ref (CfPolicy *p)
{
  p->ref_count++;
  return p;
}

void
cf_policy_unref (CfPolicy *p)
{
  if (!p || --p->ref_count > 0)
    return;
  g_hash_table_destroy (p->by_host_prefix);
  g_hash_table_destroy (p->services);
  g_hash_table_destroy (p->urgency_services);
  g_hash_table_destroy (p->org_by_api_key);
  g_hash_table_destroy (p->org_priority);
  g_hash_table_destroy (p->org_home_regions);
  g_ptr_array_free (p->routes, TRUE);
  g_free (p);
}

void
cf_policy_add_route (CfPolicy *p, CfRoute *r)
{
  char *host = g_ascii_strdown (r->host, -1);

  g_ptr_array_add (p->routes, r);
  g_hash_table_insert (p->by_host_prefix,
                       g_strconcat (host, " ", r->prefix, NULL), r);
  g_free (host);
}

/* Prefixes end with a slash, so only the parts of the path that end with a
 * slash are looked up, longest first. */
const CfRoute *
cf_policy_route (const CfPolicy *p, const char *host, const char *path)
{
  char key[ROUTE_KEY_MAX_BYTES];
  gsize host_len = strcspn (host, ":");
  gsize path_len = strcspn (path, "?#");
  char *key_path = key + host_len + 1;

  if (host_len + path_len + 2 > sizeof key)
    return NULL;
  for (gsize i = 0; i < host_len; i++)
    key[i] = g_ascii_tolower (host[i]);
  key[host_len] = ' ';
  memcpy (key_path, path, path_len);
  for (gsize n = path_len; n > 0; n--)
    {
      const CfRoute *r;

      if (key_path[n - 1] != '/')
        continue;
      key_path[n] = '\0';
      r = g_hash_table_lookup (p->by_host_prefix, key);
      if (r)
        return r;
    }
  return NULL;
}

const CfService *
cf_policy_service (const CfPolicy *p, const char *name)
{
  return g_hash_table_lookup (p->services, name);
}

const char *
cf_route_pick (const CfRoute *r, guint hash)
{
  guint point;

  if (r->n_splits == 1 || r->total_weight == 0)
    return r->splits[0].service;
  point = hash % r->total_weight;
  for (guint i = 0; i < r->n_splits; i++)
    {
      if (point < r->splits[i].weight)
        return r->splits[i].service;
      point -= r->splits[i].weight;
    }
  return r->splits[r->n_splits - 1].service;
}

/* Records the priority of @r for the services that it leads to.
 * @first_priorities: service -> priority of the first route to it */
static void
note_priority (CfPolicy *p, const CfRoute *r, GHashTable *first_priorities)
{
  for (guint i = 0; i < r->n_splits; i++)
    {
      char *service = r->splits[i].service;
      const gint64 *first = g_hash_table_lookup (first_priorities, service);

      if (r->splits[i].weight == 0 && r->total_weight > 0)
        continue;
      if (!first)
        g_hash_table_insert (first_priorities, service, (gpointer)&r->priority);
      else if (*first != r->priority)
        g_hash_table_add (p->urgency_services, g_strdup (service));
    }
}

void
cf_policy_find_urgency_services (CfPolicy *p)
{
  GHashTable *first_priorities = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < p->routes->len; i++)
    note_priority (p, p->routes->pdata[i], first_priorities);
  g_hash_table_destroy (first_priorities);
}

gboolean
cf_policy_has_urgency_levels (const CfPolicy *p, const char *service)
{
  return g_hash_table_contains (p->urgency_services, service);
}

gboolean
cf_policy_has_several_orgs (const CfPolicy *p)
{
  return p->n_orgs > 1;
}

gint64
cf_policy_gap_objective_ms (const CfPolicy *p, const char *service)
{
  gint64 objective_ms = 0;

  for (guint i = 0; i < p->routes->len; i++)
    {
      const CfRoute *r = p->routes->pdata[i];

      for (guint j = 0; r->gap_objective_ms > 0 && j < r->n_splits; j++)
        if (strcmp (r->splits[j].service, service) == 0
            && (objective_ms == 0 || r->gap_objective_ms < objective_ms))
          objective_ms = r->gap_objective_ms;
    }
  return objective_ms;
}
