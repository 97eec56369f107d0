#include "share.h"

/** Part of the capacity that each urgency with demand gets in any case, so that
 * none is starved. */
#define FLOOR_FRACTION 0.05
/** All floors together are at most this part of the capacity. */
#define FLOORS_MAX_FRACTION 0.5
/** A share that differs from the even one by less than this factor is handled
 * as even by the balancer.  Whole requests a target are its unit, so smaller
 * differences would only make targets' loads uneven. */
#define UNEVEN_FACTOR 1.5
/** An uneven share is handled as even again below this factor, so that one near
 * the limit does not change between the two with each arrival. */
#define EVEN_AGAIN_FACTOR 1.3
/** A gateway may always have this many requests in flight, or its even share if
 * that is less: with a share of no slots it would refuse requests that a free
 * slot could serve. */
#define MIN_SLOTS 1.0
/** Rounding errors of sums. */
#define ROUNDING 1e-9

/** Level: the entries of one urgency in a table. */
typedef struct
{
  guint begin;
  guint end;
  double demand; /* slots */
  double part;   /* slots that it gets */
} Level;

/* Finds the levels of @t that have demand; returns their number. */
static guint
find_levels (const CfDemandTable *t, Level levels[CF_DEMAND_ENTRIES_MAX])
{
  guint n = 0;

  for (guint i = 0; i < t->n;)
    {
      Level l = { .begin = i };

      for (; i < t->n && t->entries[i].urgency == t->entries[l.begin].urgency;
           i++)
        l.demand += t->entries[i].slots;
      l.end = i;
      if (l.demand > 0)
        levels[n++] = l;
    }
  return n;
}

/* Gives each level its floor, then what remains in the order of urgency.
 * Returns the index of the last level that gets more than its floor, or all
 * that it wants. */
static guint
divide_among_levels (Level *levels, guint n, double capacity)
{
  double fraction = MIN (FLOOR_FRACTION, FLOORS_MAX_FRACTION / MAX (n, 1));
  double left = capacity;
  guint last = 0;

  for (guint i = 0; i < n; i++)
    {
      levels[i].part = MIN (levels[i].demand, capacity * fraction);
      left -= levels[i].part;
    }
  for (guint i = 0; i < n && left > ROUNDING; i++)
    {
      double more = MIN (levels[i].demand - levels[i].part, left);

      levels[i].part += more;
      left -= more;
      last = i;
    }
  return last;
}

/* Returns the slots for each organisation up to which a round of max-min
 * fairness serves them: @left divided by the number of those not yet served. */
static double
get_fair_level (const CfDemandTable *t, const Level *l, const double *parts,
                double left)
{
  double weight = 0;

  for (guint i = l->begin; i < l->end; i++)
    if (parts[i] < 0)
      weight += t->entries[i].n_orgs;
  return weight > 0 ? MAX (left, 0) / weight : 0;
}

/* Divides @l->part among the organisations of a level: no organisation gets
 * more than it wants, and those that get less all get the same. */
static void
divide_among_orgs (const CfDemandTable *t, const Level *l, double *parts)
{
  double left = l->part;
  double fair;
  gboolean changed;

  for (guint i = l->begin; i < l->end; i++)
    parts[i] = -1;
  do
    {
      changed = FALSE;
      fair = get_fair_level (t, l, parts, left);
      for (guint i = l->begin; i < l->end; i++)
        if (parts[i] < 0 && t->entries[i].slots <= fair * t->entries[i].n_orgs)
          {
            parts[i] = t->entries[i].slots;
            left -= parts[i];
            changed = TRUE;
          }
    }
  while (changed);
  for (guint i = l->begin; i < l->end; i++)
    if (parts[i] < 0)
      parts[i] = fair * t->entries[i].n_orgs;
}

/* Returns @fleet with the slots that each entry gets instead of its demand. */
static CfDemandTable
divide (const CfDemandTable *fleet, double capacity, CfShare *out)
{
  CfDemandTable granted = *fleet;
  Level levels[CF_DEMAND_ENTRIES_MAX];
  double parts[CF_DEMAND_ENTRIES_MAX] = { 0 };
  guint last;

  out->n_urgencies = find_levels (fleet, levels);
  last = divide_among_levels (levels, out->n_urgencies, capacity);
  if (out->n_urgencies > 0)
    out->admitted_urgency = fleet->entries[levels[last].begin].urgency;
  for (guint i = 0; i < out->n_urgencies; i++)
    divide_among_orgs (fleet, &levels[i], parts);
  for (guint i = 0; i < fleet->n; i++)
    granted.entries[i].slots = parts[i];
  return granted;
}

/* Computes the slots for each entry of @own: the part of what its organisation
 * gets that @own is of the organisation's demand. */
static void
compute_grants (const CfDemandTable *own, const CfDemandTable *fleet,
                const CfDemandTable *granted, CfDemandTable *grants)
{
  *grants = *own;
  for (guint i = 0; i < own->n; i++)
    {
      CfDemand *d = &grants->entries[i];
      double all = cf_demand_table_lookup (fleet, d->urgency, d->org);
      double get = cf_demand_table_lookup (granted, d->urgency, d->org);

      d->slots = all > 0 ? d->slots * get / all : 0;
    }
}

void
cf_share_compute (const CfShareInput *in, CfShare *out)
{
  guint n_gateways = MAX (in->n_gateways, 1);
  guint n_known = MIN (in->n_known, n_gateways - 1) + 1;
  double even = MAX (in->capacity, 0) / n_gateways;
  double capacity = even * n_known;
  CfDemandTable fleet = *in->own;
  CfDemandTable granted;
  double demand;

  *out = (CfShare){ 0 };
  cf_demand_table_merge (&fleet, in->others);
  demand = cf_demand_table_total (&fleet);
  out->contended = demand > capacity + ROUNDING;
  granted = divide (&fleet, capacity, out);
  compute_grants (in->own, &fleet, &granted, &out->grants);
  out->total = cf_demand_table_total (&out->grants)
               + MAX (capacity - demand, 0) / n_known;
}

double
cf_share_fraction (const CfShareBand *b)
{
  double even = b->capacity / MAX (b->n_gateways, 1);
  double factor = b->was_uneven ? EVEN_AGAIN_FACTOR : UNEVEN_FACTOR;
  gboolean is_large = b->total >= even * factor - ROUNDING;
  gboolean is_small = b->contended && b->total * factor <= even + ROUNDING;

  if (b->capacity <= 0 || (!is_large && !is_small))
    return 0;
  return MIN (MAX (b->total, MIN (MIN_SLOTS, even)) / b->capacity, 1);
}

/* Whether a share was computed.  One of no slots of a known capacity was. */
static gboolean
is_computed (const CfShareBand *b)
{
  return b->total > 0 || b->capacity > 0;
}

double
cf_share_max_total (const CfShareBand *b)
{
  gboolean is_limited
      = (b->contended && b->n_urgencies > 1) || b->has_pass_limit;

  return is_limited && is_computed (b) ? MAX (b->total, MIN_SLOTS) : 0;
}
