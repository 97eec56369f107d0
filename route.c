#include "route.h"

#include <string.h>
#include <xxhash.h>

static guint64
rendezvous_hash (const char *input, const char *addr)
{
  XXH64_hash_t seed = XXH3_64bits (input, strlen (input));

  return XXH3_64bits_withSeed (addr, strlen (addr), seed);
}

CfCandidate *
cf_route_pick (CfCandidate *c, size_t n, const char *key, const char *req_id)
{
  CfCandidate *best = NULL;
  guint64 best_score = 0;
  gint64 least = G_MAXINT64;

  for (size_t i = 0; i < n && key == NULL; i++)
    if (!c[i].excluded)
      least = MIN (least, c[i].load);
  for (size_t i = 0; i < n; i++)
    {
      guint64 score;

      if (c[i].excluded || (key == NULL && c[i].load > least))
        continue;
      score = rendezvous_hash (key ? key : req_id, c[i].addr);
      if (best == NULL || score > best_score
          || (score == best_score && strcmp (c[i].addr, best->addr) < 0))
        {
          best = &c[i];
          best_score = score;
        }
    }
  return best;
}

guint
cf_route_find_guards (const CfConfig *c, const char *key,
                      const char *out[CF_GUARDS_PER_KEY])
{
  guint64 best[CF_GUARDS_PER_KEY] = { 0 };
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
          guint64 score = rendezvous_hash (key, addr);
          guint at = n;
          gboolean known = FALSE;

          /* An agent that is in several groups counts as one guard. */
          for (guint j = 0; j < n; j++)
            known |= g_str_equal (out[j], addr);
          while (at > 0 && score > best[at - 1])
            at--;
          if (known || at == CF_GUARDS_PER_KEY)
            continue;
          n = MIN (n + 1, CF_GUARDS_PER_KEY);
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
