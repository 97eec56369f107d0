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
