#include "route.h"

#include <string.h>
#include <xxhash.h>

static guint64
rendezvous (const char *what, const char *addr)
{
  XXH64_hash_t seed = XXH3_64bits (what, strlen (what));

  return XXH3_64bits_withSeed (addr, strlen (addr), seed);
}

static int
compare (gconstpointer pa, gconstpointer pb, gpointer keyed)
{
  const CfCandidate *a = pa;
  const CfCandidate *b = pb;

  if (a->excluded != b->excluded)
    return a->excluded ? 1 : -1;
  if (!keyed && a->load != b->load)
    return a->load < b->load ? -1 : 1;
  if (a->score != b->score)
    return a->score > b->score ? -1 : 1;
  return strcmp (a->addr, b->addr);
}

size_t
cf_route_order (CfCandidate *c, size_t n, const char *key, const char *req_id)
{
  size_t usable = 0;

  for (size_t i = 0; i < n; i++)
    {
      c[i].score = rendezvous (key ? key : req_id, c[i].addr);
      if (!c[i].excluded)
        usable++;
    }
  g_qsort_with_data (c, (gint)n, sizeof *c, compare,
                     GINT_TO_POINTER (key != NULL));
  return usable;
}

guint
cf_route_guards (const CfConfig *c, const char *key, const char *out[CF_GUARDS])
{
  guint64 best[CF_GUARDS] = { 0 };
  guint n = 0;
  GHashTableIter it;
  gpointer v;

  g_hash_table_iter_init (&it, c->groups);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      const CfGroup *g = v;

      for (guint i = 0; i < g->agents->len; i++)
        {
          const char *addr = g_ptr_array_index (g->agents, i);
          guint64 score = rendezvous (key, addr);
          guint at = n;
          gboolean known = FALSE;

          /* An agent may stand in several groups; it is one guard. */
          for (guint j = 0; j < n; j++)
            known |= g_str_equal (out[j], addr);
          while (at > 0 && score > best[at - 1])
            at--;
          if (known || at == CF_GUARDS)
            continue;
          n = MIN (n + 1, CF_GUARDS);
          for (guint j = n - 1; j > at; j--)
            {
              out[j] = out[j - 1];
              best[j] = best[j - 1];
            }
          out[at] = addr;
          best[at] = score;
        }
    }
  return n;
}
