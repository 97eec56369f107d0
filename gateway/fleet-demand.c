#include "fleet-demand.h"

#include <math.h>

/** Gateways say hello at least once a second; two hellos may be lost. */
#define TABLE_TIMEOUT_MS 2500
/** Bounds the memory for addresses that peers state; the largest fleet has 208
 * gateways. */
#define GATEWAYS_MAX 1024

/** Demand that rises or falls by this factor, to or from this many slots, from
 * one message to the next has changed abruptly. */
#define ABRUPT_FACTOR 3.0
#define ABRUPT_SLOTS 8.0
/** Abrupt changes in a row, each in the opposite direction of the one before,
 * that demand does not have: it is averaged over half a second, and a change is
 * stated within 100 ms. */
#define REVERSALS_MAX 6
/** Changes between messages that are further apart than this are not counted.
 * Regular hellos come once a second, as does a load that moves each second;
 * changed demand is stated every 100 ms, of which two messages may be lost. */
#define MESSAGE_INTERVAL_MAX_MS 300
/** Demand that has changed like this is not used for this time. */
#define ERRATIC_MS 10000

/** The sum is made anew after this time: organisations that were merged in it
 * stay merged when it is only updated. */
#define SUM_MAX_AGE_MS 1000

/** StatedDemand: what a gateway has stated. */
typedef struct
{
  CfDemandTable table;
  guint n_gateways; /* that @table covers */
  gint64 received_ms;
  int direction; /* of the latest abrupt change; 0: none */
  guint n_reversals;
  gint64 erratic_until_ms;
  gboolean is_summed; /* @table is part of the sum of direct tables */
  double slots_sent;  /* total of @table in the sum that was last sent */
} StatedDemand;

void
cf_fleet_demand_clear (CfFleetDemand *f)
{
  g_clear_pointer (&f->direct, g_hash_table_unref);
  g_clear_pointer (&f->relayed, g_hash_table_unref);
  *f = (CfFleetDemand){ 0 };
}

static gboolean
is_current (const StatedDemand *s, gint64 now_ms)
{
  return now_ms - s->received_ms < TABLE_TIMEOUT_MS
         && now_ms >= s->erratic_until_ms;
}

/* True for what is not part of a sum and not used. */
static gboolean
is_unused_entry (gpointer addr, gpointer stated, gpointer now_ms)
{
  return !((StatedDemand *)stated)->is_summed
         && !is_current (stated, *(const gint64 *)now_ms);
}

/* Returns what @addr has stated, to be overwritten; %NULL if there are too many
 * gateways. */
static StatedDemand *
get_stated (GHashTable **table, const char *addr, gint64 now_ms)
{
  StatedDemand *s;

  if (!*table)
    *table = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  s = g_hash_table_lookup (*table, addr);
  if (s)
    return s;
  if (g_hash_table_size (*table) >= GATEWAYS_MAX)
    g_hash_table_foreach_remove (*table, is_unused_entry, &now_ms);
  if (g_hash_table_size (*table) >= GATEWAYS_MAX)
    return NULL;
  s = g_new0 (StatedDemand, 1);
  g_hash_table_insert (*table, g_strdup (addr), s);
  return s;
}

/* Returns the direction of an abrupt change from @from to @to slots; 0 if it is
 * none. */
static int
get_abrupt_direction (double from, double to)
{
  if (MAX (from, to) < ABRUPT_SLOTS
      || MAX (from, to) < ABRUPT_FACTOR * MIN (from, to))
    return 0;
  return to > from ? 1 : -1;
}

/* Updates whether the demand that @s states goes up and down with each message.
 * Two seeds have two links, on which the same demand is stated twice. */
static void
check_change (StatedDemand *s, double from, double to, gint64 now_ms)
{
  int direction = get_abrupt_direction (from, to);

  if (now_ms - s->received_ms > MESSAGE_INTERVAL_MAX_MS)
    {
      s->n_reversals = 0;
      s->direction = 0;
      return;
    }
  if (to == from)
    return;
  if (direction != 0 && direction == -s->direction)
    s->n_reversals++;
  else
    s->n_reversals = 0;
  s->direction = direction;
  if (s->n_reversals >= REVERSALS_MAX)
    s->erratic_until_ms = now_ms + ERRATIC_MS;
}

static CfFleetDemandResult
put_stated (GHashTable **table, const char *addr, guint n_gateways,
            const CfDemandTable *t, gint64 now_ms)
{
  StatedDemand *s = get_stated (table, addr, now_ms);

  if (!s)
    return CF_FLEET_DEMAND_TOO_MANY;
  check_change (s, cf_demand_table_total (&s->table), cf_demand_table_total (t),
                now_ms);
  s->table = *t;
  s->n_gateways = n_gateways;
  s->received_ms = now_ms;
  return is_current (s, now_ms) ? CF_FLEET_DEMAND_USED
                                : CF_FLEET_DEMAND_ERRATIC;
}

/* Takes the table of gateway @addr out of the sum. */
static void
subtract (CfFleetDemand *f, const char *addr)
{
  StatedDemand *s = f->direct ? g_hash_table_lookup (f->direct, addr) : NULL;

  if (!s || !s->is_summed)
    return;
  cf_demand_table_subtract (&f->sum, &s->table);
  s->is_summed = FALSE;
  f->n_summed--;
}

static void
add_to_sum (CfFleetDemand *f, StatedDemand *s)
{
  cf_demand_table_merge (&f->sum, &s->table);
  s->is_summed = TRUE;
  f->n_summed++;
}

CfFleetDemandResult
cf_fleet_demand_put_relayed (CfFleetDemand *f, const char *addr,
                             guint n_gateways, const CfDemandTable *others,
                             gint64 now_ms)
{
  return put_stated (&f->relayed, addr, n_gateways, others, now_ms);
}

void
cf_fleet_demand_remove (CfFleetDemand *f, const char *addr)
{
  subtract (f, addr);
  if (f->direct)
    g_hash_table_remove (f->direct, addr);
  if (f->relayed)
    g_hash_table_remove (f->relayed, addr);
}

/* True if the sum contains a table that has expired, or is old. */
static gboolean
is_sum_outdated (const CfFleetDemand *f, gint64 now_ms)
{
  GHashTableIter it;
  gpointer value;

  if (now_ms - f->summed_ms >= SUM_MAX_AGE_MS)
    return TRUE;
  g_hash_table_iter_init (&it, f->direct);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (((StatedDemand *)value)->is_summed && !is_current (value, now_ms))
      return TRUE;
  return FALSE;
}

static void
update_sum (CfFleetDemand *f, gint64 now_ms)
{
  GHashTableIter it;
  gpointer value;

  if (!f->direct || !is_sum_outdated (f, now_ms))
    return;
  f->sum.n = 0;
  f->n_summed = 0;
  f->summed_ms = now_ms;
  g_hash_table_iter_init (&it, f->direct);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      ((StatedDemand *)value)->is_summed = FALSE;
      if (is_current (value, now_ms))
        add_to_sum (f, value);
    }
}

CfFleetDemandResult
cf_fleet_demand_put_direct (CfFleetDemand *f, const char *addr,
                            const CfDemandTable *own, gint64 now_ms)
{
  CfFleetDemandResult result;

  if (f->direct && g_hash_table_size (f->direct) >= GATEWAYS_MAX)
    update_sum (f, now_ms); /* so that expired tables can be removed */
  subtract (f, addr);
  result = put_stated (&f->direct, addr, 1, own, now_ms);
  if (result == CF_FLEET_DEMAND_USED)
    add_to_sum (f, g_hash_table_lookup (f->direct, addr));
  return result;
}

guint
cf_fleet_demand_sum_direct (const CfFleetDemand *f, const char *except,
                            CfDemandTable *out)
{
  const StatedDemand *s
      = f->direct && except ? g_hash_table_lookup (f->direct, except) : NULL;

  *out = f->sum;
  if (!s || !s->is_summed)
    return f->n_summed;
  cf_demand_table_subtract (out, &s->table);
  return f->n_summed - 1;
}

static double
get_summed_slots (const StatedDemand *s)
{
  return s->is_summed ? cf_demand_table_total (&s->table) : 0;
}

void
cf_fleet_demand_note_sent (CfFleetDemand *f)
{
  GHashTableIter it;
  gpointer value;

  f->slots_sent = cf_demand_table_total (&f->sum);
  if (!f->direct)
    return;
  g_hash_table_iter_init (&it, f->direct);
  while (g_hash_table_iter_next (&it, NULL, &value))
    ((StatedDemand *)value)->slots_sent = get_summed_slots (value);
}

gboolean
cf_fleet_demand_has_changed (const CfFleetDemand *f, double min_slots,
                             double min_fraction)
{
  double total = cf_demand_table_total (&f->sum);
  GHashTableIter it;
  gpointer value;

  if (!f->direct)
    return FALSE;
  g_hash_table_iter_init (&it, f->direct);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const StatedDemand *s = value;
      double now = total - get_summed_slots (s);
      double sent = f->slots_sent - s->slots_sent;
      double change = fabs (now - sent);

      if (change > min_slots && change > min_fraction * MAX (now, sent))
        return TRUE;
    }
  return FALSE;
}

/* Returns the table of @addr itself, if it is current. */
static const StatedDemand *
get_direct (const CfFleetDemand *f, const char *addr, gint64 now_ms)
{
  const StatedDemand *s
      = f->direct ? g_hash_table_lookup (f->direct, addr) : NULL;

  return s && is_current (s, now_ms) ? s : NULL;
}

/* Finds the sum that, with its sender's own table, covers the most gateways; of
 * several, the newest.  Returns the number of gateways. */
static guint
find_best_relayed (const CfFleetDemand *f, gint64 now_ms,
                   const StatedDemand **best, const StatedDemand **sender)
{
  GHashTableIter it;
  gpointer addr;
  gpointer value;
  guint n_best = 0;

  if (!f->relayed)
    return 0;
  g_hash_table_iter_init (&it, f->relayed);
  while (g_hash_table_iter_next (&it, &addr, &value))
    {
      const StatedDemand *s = value;
      const StatedDemand *own = get_direct (f, addr, now_ms);
      guint n = s->n_gateways + (own != NULL);

      if (!is_current (s, now_ms) || n < n_best
          || (n == n_best && *best && s->received_ms <= (*best)->received_ms))
        continue;
      n_best = n;
      *best = s;
      *sender = own;
    }
  return n_best;
}

guint
cf_fleet_demand_get_others (CfFleetDemand *f, gint64 now_ms, CfDemandTable *out)
{
  const StatedDemand *best = NULL;
  const StatedDemand *sender = NULL;
  guint n_relayed = find_best_relayed (f, now_ms, &best, &sender);

  update_sum (f, now_ms);
  *out = f->sum;
  if (n_relayed <= f->n_summed)
    return f->n_summed;
  *out = best->table;
  if (sender)
    cf_demand_table_merge (out, &sender->table);
  return n_relayed;
}
