#include "membership.h"

#include <string.h>

typedef struct
{
  char *addr;
  char *data_centre;
  gint64 last_heartbeat_ms;
  double sort_key; /* determines the order of the members on the ring */
  double ring_start;
} Member;

struct CfMembership
{
  GHashTable *by_addr; /* addr -> #Member, this gateway included */
  const Member *self;
  gboolean ring_starts_valid; /* each member's @ring_start is up to date */
};

static void
free_member (gpointer p)
{
  Member *m = p;

  g_free (m->addr);
  g_free (m->data_centre);
  g_free (m);
}

static Member *
add_member (CfMembership *m, const char *addr, const char *data_centre)
{
  Member *member = g_new0 (Member, 1);

  member->addr = g_strdup (addr);
  member->data_centre = g_strdup (data_centre ? data_centre : "");
  g_hash_table_replace (m->by_addr, member->addr, member);
  m->ring_starts_valid = FALSE;
  return member;
}

CfMembership *
cf_membership_new (const char *addr, const char *data_centre)
{
  CfMembership *m = g_new0 (CfMembership, 1);

  m->by_addr
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_member);
  m->self = add_member (m, addr ? addr : "", data_centre);
  return m;
}

void
cf_membership_free (CfMembership *m)
{
  g_hash_table_destroy (m->by_addr);
  g_free (m);
}

void
cf_membership_record_heartbeat (CfMembership *m, const char *addr,
                                const char *data_centre, gint64 now_ms)
{
  Member *member = g_hash_table_lookup (m->by_addr, addr);

  if (member == m->self)
    return;
  if (!member
      || strcmp (member->data_centre, data_centre ? data_centre : "") != 0)
    member = add_member (m, addr, data_centre);
  member->last_heartbeat_ms = now_ms;
}

void
cf_membership_expire (CfMembership *m, gint64 timeout_ms, gint64 now_ms)
{
  GHashTableIter it;
  gpointer v;

  g_hash_table_iter_init (&it, m->by_addr);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      const Member *member = v;

      if (member == m->self || now_ms - member->last_heartbeat_ms <= timeout_ms)
        continue;
      g_hash_table_iter_remove (&it);
      m->ring_starts_valid = FALSE;
    }
}

guint
cf_membership_size (const CfMembership *m)
{
  return g_hash_table_size (m->by_addr);
}

static gint
compare_members (gconstpointer a, gconstpointer b)
{
  const Member *x = *(Member *const *)a;
  const Member *y = *(Member *const *)b;
  int c = strcmp (x->data_centre, y->data_centre);

  return c ? c : strcmp (x->addr, y->addr);
}

static gint
compare_sort_keys (gconstpointer a, gconstpointer b)
{
  const Member *x = *(Member *const *)a;
  const Member *y = *(Member *const *)b;

  if (x->sort_key != y->sort_key)
    return x->sort_key < y->sort_key ? -1 : 1;
  return compare_members (a, b);
}

/* Counts the consecutive members of @a, from index @at on, that share a data
 * centre. */
static guint
count_same_data_centre (const GPtrArray *a, guint at)
{
  const Member *first = a->pdata[at];
  guint n = 0;

  for (guint i = at; i < a->len; i++, n++)
    if (strcmp (((Member *)a->pdata[i])->data_centre, first->data_centre) != 0)
      break;
  return n;
}

/* Spreads the members of each data centre evenly over the whole ring, and
 * offsets the data centres against one another so that their members
 * interleave.  @a is sorted by data centre. */
static void
set_sort_keys (GPtrArray *a)
{
  guint centre_index = 0;

  for (guint at = 0; at < a->len; centre_index++)
    {
      guint n = count_same_data_centre (a, at);

      for (guint i = 0; i < n; i++)
        ((Member *)a->pdata[at + i])->sort_key
            = (i + (double)centre_index / a->len) / (double)n;
      at += n;
    }
}

static void
assign_ring_starts (CfMembership *m)
{
  GPtrArray *a = g_ptr_array_new ();
  GHashTableIter it;
  gpointer v;

  g_hash_table_iter_init (&it, m->by_addr);
  while (g_hash_table_iter_next (&it, NULL, &v))
    g_ptr_array_add (a, v);
  g_ptr_array_sort (a, compare_members);
  set_sort_keys (a);
  g_ptr_array_sort (a, compare_sort_keys);
  for (guint i = 0; i < a->len; i++)
    ((Member *)a->pdata[i])->ring_start = (double)i / a->len;
  g_ptr_array_free (a, TRUE);
  m->ring_starts_valid = TRUE;
}

double
cf_membership_ring_start (CfMembership *m, const char *addr)
{
  const Member *member
      = addr ? g_hash_table_lookup (m->by_addr, addr) : m->self;

  if (!member)
    return -1;
  if (!m->ring_starts_valid)
    assign_ring_starts (m);
  return member->ring_start;
}
