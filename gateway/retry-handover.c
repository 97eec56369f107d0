#include "retry-handover.h"

#include <string.h>

/** Processes that may still have messages under way after another one has
 * followed them. */
#define FORMER_RUNS 4
/** Gateways in a ledger; the largest fleet has 208.  Beyond it, those that were
 * silent for the longest time are dropped. */
#define ACCOUNTS_MAX 1024

/** Account: what the gateway at one address has stated. */
typedef struct
{
  gint64 run;
  gint64 seq; /* of the latest statement of @run */
  gint64 former_runs[FORMER_RUNS];
  guint n_former; /* all that were ever known */
  GArray *reserves;
  gint64 received_ms;
} Account;

struct CfRetryLedger
{
  GHashTable *accounts; /* address -> Account */
};

void
cf_retry_reserve_state (CfRetryReserve *r, double tokens, gint64 seq)
{
  if (tokens >= r->bound)
    {
      r->bound = tokens;
      r->pending_seq = 0;
      return;
    }
  r->pending = tokens;
  r->pending_seq = seq;
}

void
cf_retry_reserve_acknowledge (CfRetryReserve *r, gint64 seq)
{
  if (r->pending_seq == 0 || seq != r->pending_seq)
    return;
  r->bound = r->pending;
  r->pending_seq = 0;
}

static void
clear_item (gpointer item)
{
  g_free (((CfRetryReserveItem *)item)->service);
}

GArray *
cf_retry_reserve_list_new (void)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (CfRetryReserveItem));

  g_array_set_clear_func (list, clear_item);
  return list;
}

void
cf_retry_reserve_list_add (GArray *list, const char *service, double tokens)
{
  const CfRetryReserveItem item = { g_strdup (service), tokens };

  g_array_append_val (list, item);
}

static void
free_account (gpointer p)
{
  Account *a = p;

  g_array_unref (a->reserves);
  g_free (a);
}

CfRetryLedger *
cf_retry_ledger_new (void)
{
  CfRetryLedger *l = g_new0 (CfRetryLedger, 1);

  l->accounts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_account);
  return l;
}

void
cf_retry_ledger_free (CfRetryLedger *l)
{
  g_hash_table_unref (l->accounts);
  g_free (l);
}

guint
cf_retry_ledger_size (const CfRetryLedger *l)
{
  return g_hash_table_size (l->accounts);
}

static void
drop_oldest (CfRetryLedger *l)
{
  GHashTableIter it;
  gpointer addr;
  gpointer value;
  gpointer oldest = NULL;
  gint64 oldest_ms = G_MAXINT64;

  g_hash_table_iter_init (&it, l->accounts);
  while (g_hash_table_iter_next (&it, &addr, &value))
    if (((Account *)value)->received_ms < oldest_ms)
      {
        oldest = addr;
        oldest_ms = ((Account *)value)->received_ms;
      }
  if (oldest)
    g_hash_table_remove (l->accounts, oldest);
}

static Account *
add_account (CfRetryLedger *l, const char *addr, gint64 run)
{
  Account *a = g_new0 (Account, 1);

  if (g_hash_table_size (l->accounts) >= ACCOUNTS_MAX)
    drop_oldest (l);
  a->run = run;
  g_hash_table_insert (l->accounts, g_strdup (addr), a);
  return a;
}

static gboolean
is_former_run (const Account *a, gint64 run)
{
  for (guint i = 0; i < MIN (a->n_former, FORMER_RUNS); i++)
    if (a->former_runs[i] == run)
      return TRUE;
  return FALSE;
}

static void
begin_run (Account *a, gint64 run)
{
  a->former_runs[a->n_former++ % FORMER_RUNS] = a->run;
  a->run = run;
}

GArray *
cf_retry_ledger_put (CfRetryLedger *l, const char *addr, gint64 run, gint64 seq,
                     GArray *reserves, gint64 now_ms)
{
  Account *a = g_hash_table_lookup (l->accounts, addr);
  GArray *former = NULL;

  if (a && (is_former_run (a, run) || (a->run == run && seq < a->seq)))
    {
      g_array_unref (reserves);
      return NULL;
    }
  if (!a)
    a = add_account (l, addr, run);
  else
    former = g_steal_pointer (&a->reserves);
  a->reserves = reserves;
  a->seq = seq;
  a->received_ms = now_ms;
  if (a->run == run)
    {
      g_clear_pointer (&former, g_array_unref);
      return NULL;
    }
  begin_run (a, run);
  return former;
}

void
cf_retry_inheritance_clear (CfRetryInheritance *i)
{
  for (guint n = 0; n < i->n_seeds; n++)
    g_free (i->seeds[n]);
  g_clear_pointer (&i->smallest, g_array_unref);
  memset (i, 0, sizeof *i);
}

static gboolean
has_answered (const CfRetryInheritance *i, const char *seed)
{
  for (guint n = 0; n < i->n_seeds; n++)
    if (strcmp (i->seeds[n], seed) == 0)
      return TRUE;
  return FALSE;
}

/* Returns the reserve at @service; 0 if @reserves has none. */
static double
find_reserve (const GArray *reserves, const char *service)
{
  for (guint n = 0; n < reserves->len; n++)
    {
      const CfRetryReserveItem *item
          = &g_array_index (reserves, CfRetryReserveItem, n);

      if (strcmp (item->service, service) == 0)
        return item->tokens;
    }
  return 0;
}

gboolean
cf_retry_inheritance_add (CfRetryInheritance *i, const char *seed,
                          const GArray *reserves, guint n_seeds)
{
  if (has_answered (i, seed) || i->n_seeds == CF_RETRY_SEEDS_MAX)
    return FALSE;
  i->seeds[i->n_seeds++] = g_strdup (seed);
  if (!i->smallest)
    {
      i->smallest = cf_retry_reserve_list_new ();
      for (guint n = 0; n < reserves->len; n++)
        {
          const CfRetryReserveItem *item
              = &g_array_index (reserves, CfRetryReserveItem, n);

          cf_retry_reserve_list_add (i->smallest, item->service, item->tokens);
        }
    }
  for (guint n = 0; n < i->smallest->len; n++)
    {
      CfRetryReserveItem *item
          = &g_array_index (i->smallest, CfRetryReserveItem, n);

      item->tokens = MIN (item->tokens, find_reserve (reserves, item->service));
    }
  return i->n_seeds == n_seeds;
}
