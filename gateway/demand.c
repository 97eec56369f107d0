#include "demand.h"

#include <math.h>
#include <string.h>

/** No deployment has more organisations; more in an entry is a fault. */
#define ORGS_MAX 1000000
/** Half of the unit in which demand is sent. */
#define NEGLIGIBLE_SLOTS 0.0005
/** Organisations of which a meter keeps rates.  Merged entries come on top, one
 * for each urgency; urgencies follow from the configuration. */
#define METER_ORGS_MAX 256
/** Rates are averaged over this time, so that a share follows a skew within
 * half a second. */
#define RATE_MEAN_MS 500.0
/** Requests that hold slots for longer arrive less often, and half a second has
 * too few of them for an average: rates are averaged over this part of the hold
 * time, up to the given time. */
#define RATE_MEAN_HOLDS 0.5
#define RATE_MEAN_MAX_MS 4000.0
/** A rate below one request in 20 s is forgotten. */
#define RATE_MIN_PER_S 0.05
/** Samples in the mean of hold times. */
#define HOLD_SAMPLES 32

/** RateKey: what a rate is of. */
typedef struct
{
  gint64 urgency;
  guint32 org;
} RateKey;

/** Rate: a smoothed arrival rate. */
typedef struct
{
  RateKey key;
  double per_s; /* at @updated_ms */
  gint64 updated_ms;
} Rate;

/** OverfullTable: a table that may have more entries while they are added. */
typedef struct
{
  guint n;
  CfDemand entries[2 * CF_DEMAND_ENTRIES_MAX];
} OverfullTable;

guint32
cf_demand_org_id (const char *org)
{
  guint32 h = 2166136261U; /* FNV-1a */

  for (const char *c = org ? org : ""; *c; c++)
    h = (h ^ (guint8)*c) * 16777619U;
  return h == CF_DEMAND_OTHER_ORGS ? 1 : h;
}

static int
compare_keys (const CfDemand *a, const CfDemand *b)
{
  if (a->urgency != b->urgency)
    return a->urgency < b->urgency ? -1 : 1;
  return (a->org > b->org) - (a->org < b->org);
}

/* Returns the index of the first of @n entries that is not before @key. */
static guint
find_position (const CfDemand *entries, guint n, const CfDemand *key)
{
  guint i = 0;

  while (i < n && compare_keys (&entries[i], key) < 0)
    i++;
  return i;
}

static CfDemand *
find (CfDemand *entries, guint n, gint64 urgency, guint32 org)
{
  const CfDemand key = { .urgency = urgency, .org = org };
  guint i = find_position (entries, n, &key);

  return i < n && compare_keys (&entries[i], &key) == 0 ? &entries[i] : NULL;
}

static void
remove_entry (CfDemand *entries, guint *n, guint i)
{
  --*n;
  memmove (&entries[i], &entries[i + 1], (*n - i) * sizeof entries[0]);
}

static void
insert_entry (CfDemand *entries, guint *n, guint i, const CfDemand *d)
{
  memmove (&entries[i + 1], &entries[i], (*n - i) * sizeof entries[0]);
  entries[i] = *d;
  ++*n;
}

/* True if entry @i is not the only one of its urgency. */
static gboolean
has_sibling (const CfDemand *entries, guint n, guint i)
{
  gint64 u = entries[i].urgency;

  return (i > 0 && entries[i - 1].urgency == u)
         || (i + 1 < n && entries[i + 1].urgency == u);
}

/* Returns the index of the organisation with the least demand among those of
 * @urgency, or, if that is negative, of all urgencies with several entries;
 * @w->n if there is none. */
static guint
find_smallest_org (const OverfullTable *w, gint64 urgency)
{
  guint min = w->n;

  for (guint i = 0; i < w->n; i++)
    {
      const CfDemand *d = &w->entries[i];

      if (d->org == CF_DEMAND_OTHER_ORGS
          || (min < w->n && d->slots >= w->entries[min].slots))
        continue;
      if (urgency < 0 ? has_sibling (w->entries, w->n, i)
                      : d->urgency == urgency)
        min = i;
    }
  return min;
}

/* Merges the organisation of entry @i into the merged entry of its urgency. */
static void
merge_org (CfDemand *entries, guint *n, guint i)
{
  CfDemand d = entries[i];
  guint to;

  remove_entry (entries, n, i);
  d.org = CF_DEMAND_OTHER_ORGS;
  to = find_position (entries, *n, &d);
  if (to < *n && compare_keys (&entries[to], &d) == 0)
    {
      entries[to].slots += d.slots;
      entries[to].n_orgs += d.n_orgs;
    }
  else
    insert_entry (entries, n, to, &d);
}

/* Merges the two least urgent entries. */
static void
merge_last_urgencies (OverfullTable *w)
{
  CfDemand *last = &w->entries[w->n - 1];

  last[-1].urgency = last->urgency;
  last[-1].org = CF_DEMAND_OTHER_ORGS;
  last[-1].n_orgs += last->n_orgs;
  last[-1].slots += last->slots;
  w->n--;
}

/* Removes one entry. */
static void
merge_one (OverfullTable *w)
{
  guint n = w->n;
  guint i = find_smallest_org (w, -1);
  gint64 urgency;

  if (i == n)
    {
      merge_last_urgencies (w);
      return;
    }
  urgency = w->entries[i].urgency;
  merge_org (w->entries, &w->n, i);
  if (w->n == n)
    merge_org (w->entries, &w->n, find_smallest_org (w, urgency));
}

/* Writes @w to @t, with merged entries if it has too many. */
static void
store (OverfullTable *w, CfDemandTable *t)
{
  while (w->n > CF_DEMAND_ENTRIES_MAX)
    merge_one (w);
  t->n = w->n;
  memcpy (t->entries, w->entries, w->n * sizeof t->entries[0]);
}

void
cf_demand_table_add (CfDemandTable *t, const CfDemand *d)
{
  guint i = find_position (t->entries, t->n, d);
  OverfullTable w;

  if (i < t->n && compare_keys (&t->entries[i], d) == 0)
    {
      t->entries[i].slots += d->slots;
      t->entries[i].n_orgs = MAX (t->entries[i].n_orgs, d->n_orgs);
      return;
    }
  if (t->n < CF_DEMAND_ENTRIES_MAX)
    {
      insert_entry (t->entries, &t->n, i, d);
      return;
    }
  w.n = t->n;
  memcpy (w.entries, t->entries, sizeof t->entries);
  insert_entry (w.entries, &w.n, i, d);
  store (&w, t);
}

/** LevelMerge: the entries of one urgency while two tables are merged. */
typedef struct
{
  guint begin;   /* of the level in the result */
  guint n_left;  /* organisations of the left table */
  guint n_right; /* organisations of the right table */
  guint n_named; /* entries of one organisation */
} LevelMerge;

/* Sets the number of organisations of a level's merged entry, if it has one:
 * those that are merged in one table may be among those of the other. */
static void
end_level (OverfullTable *w, const LevelMerge *l)
{
  guint n = MAX (l->n_named, MAX (l->n_left, l->n_right));

  if (l->begin < w->n && w->entries[l->begin].org == CF_DEMAND_OTHER_ORGS)
    w->entries[l->begin].n_orgs = MAX (n - l->n_named, 1);
}

/* Appends the entry that is @a, @b, or, if both are given, their sum. */
static void
append_entry (OverfullTable *w, LevelMerge *l, const CfDemand *a,
              const CfDemand *b)
{
  CfDemand d = a ? *a : *b;

  if (w->n == 0 || w->entries[w->n - 1].urgency != d.urgency)
    {
      end_level (w, l);
      *l = (LevelMerge){ .begin = w->n };
    }
  if (a && b)
    d.slots += b->slots;
  l->n_left += a ? a->n_orgs : 0;
  l->n_right += b ? b->n_orgs : 0;
  l->n_named += d.org != CF_DEMAND_OTHER_ORGS;
  w->entries[w->n++] = d;
}

void
cf_demand_table_merge (CfDemandTable *t, const CfDemandTable *from)
{
  LevelMerge level = { 0 };
  guint i = 0;
  guint j = 0;
  OverfullTable w;

  w.n = 0;
  while (i < t->n || j < from->n)
    {
      const CfDemand *a = i < t->n ? &t->entries[i] : NULL;
      const CfDemand *b = j < from->n ? &from->entries[j] : NULL;
      int order = a && b ? compare_keys (a, b) : (a ? -1 : 1);

      append_entry (&w, &level, order <= 0 ? a : NULL, order >= 0 ? b : NULL);
      i += order <= 0;
      j += order >= 0;
    }
  end_level (&w, &level);
  store (&w, t);
}

void
cf_demand_table_merge_orgs (CfDemandTable *t)
{
  guint i = 0;

  while (i < t->n)
    if (t->entries[i].org != CF_DEMAND_OTHER_ORGS
        && has_sibling (t->entries, t->n, i))
      merge_org (t->entries, &t->n, i);
    else
      t->entries[i++].org = CF_DEMAND_OTHER_ORGS;
}

double
cf_demand_table_total (const CfDemandTable *t)
{
  double sum = 0;

  for (guint i = 0; i < t->n; i++)
    sum += t->entries[i].slots;
  return sum;
}

/* Returns the entry that the entries of @urgency were merged into because the
 * table has too many urgencies. */
static CfDemand *
find_less_urgent (CfDemandTable *t, gint64 urgency)
{
  if (t->n < CF_DEMAND_ENTRIES_MAX)
    return NULL;
  for (guint i = 0; i < t->n; i++)
    if (t->entries[i].urgency == urgency)
      return NULL;
  for (guint i = 0; i < t->n; i++)
    if (t->entries[i].urgency > urgency
        && t->entries[i].org == CF_DEMAND_OTHER_ORGS)
      return &t->entries[i];
  return NULL;
}

/* Returns the entry that contains the demand of @org; %NULL if it has none. */
static CfDemand *
find_containing (CfDemandTable *t, gint64 urgency, guint32 org)
{
  CfDemand *d = find (t->entries, t->n, urgency, org);

  if (!d)
    d = find (t->entries, t->n, urgency, CF_DEMAND_OTHER_ORGS);
  return d ? d : find_less_urgent (t, urgency);
}

double
cf_demand_table_lookup (const CfDemandTable *t, gint64 urgency, guint32 org)
{
  const CfDemand *d = find_containing ((CfDemandTable *)t, urgency, org);

  return d ? d->slots : 0;
}

void
cf_demand_table_subtract (CfDemandTable *t, const CfDemandTable *part)
{
  for (guint i = 0; i < part->n; i++)
    {
      const CfDemand *d = &part->entries[i];
      CfDemand *from = find_containing (t, d->urgency, d->org);

      if (from)
        from->slots = MAX (from->slots - d->slots, 0);
    }
  for (guint i = t->n; i-- > 0;)
    if (t->entries[i].slots < NEGLIGIBLE_SLOTS)
      remove_entry (t->entries, &t->n, i);
}

static gboolean
is_valid_entry (const CfDemand *d, double max_slots)
{
  return d->urgency >= 0 && isfinite (d->slots) && d->slots >= 0
         && d->slots <= max_slots && d->n_orgs >= 1
         && d->n_orgs <= (d->org == CF_DEMAND_OTHER_ORGS ? ORGS_MAX : 1);
}

gboolean
cf_demand_table_is_valid (const CfDemandTable *t, double max_slots)
{
  if (t->n > CF_DEMAND_ENTRIES_MAX)
    return FALSE;
  for (guint i = 0; i < t->n; i++)
    if (!is_valid_entry (&t->entries[i], max_slots)
        || (i > 0 && compare_keys (&t->entries[i - 1], &t->entries[i]) >= 0))
      return FALSE;
  return cf_demand_table_total (t) <= max_slots;
}

static guint
hash_key (gconstpointer p)
{
  const RateKey *k = p;

  return k->org ^ ((guint)k->urgency * 0x9e3779b1U);
}

static gboolean
keys_are_equal (gconstpointer a, gconstpointer b)
{
  const RateKey *x = a;
  const RateKey *y = b;

  return x->urgency == y->urgency && x->org == y->org;
}

void
cf_demand_meter_clear (CfDemandMeter *m)
{
  g_clear_pointer (&m->rates, g_hash_table_unref);
  *m = (CfDemandMeter){ 0 };
}

/* Returns the time over which rates are averaged. */
static double
get_mean_ms (const CfDemandMeter *m)
{
  return CLAMP (m->hold_ms * RATE_MEAN_HOLDS, RATE_MEAN_MS, RATE_MEAN_MAX_MS);
}

static void
decay_rate (Rate *r, double mean_ms, gint64 now_ms)
{
  r->per_s *= exp (-(double)MAX (now_ms - r->updated_ms, 0) / mean_ms);
  r->updated_ms = now_ms;
}

/* Returns the rate of @key, or of all organisations without a rate of their own
 * if there are too many. */
static Rate *
get_rate (CfDemandMeter *m, RateKey key, gint64 now_ms)
{
  Rate *r = g_hash_table_lookup (m->rates, &key);

  if (r)
    return r;
  if (m->n_orgs >= METER_ORGS_MAX && key.org != CF_DEMAND_OTHER_ORGS)
    return get_rate (m, (RateKey){ key.urgency, CF_DEMAND_OTHER_ORGS }, now_ms);
  r = g_new0 (Rate, 1);
  r->key = key;
  r->updated_ms = now_ms;
  g_hash_table_insert (m->rates, &r->key, r);
  m->n_orgs += key.org != CF_DEMAND_OTHER_ORGS;
  return r;
}

void
cf_demand_meter_add_arrival (CfDemandMeter *m, gint64 urgency, guint32 org,
                             gint64 now_ms)
{
  double mean_ms = get_mean_ms (m);
  Rate *r;

  if (!m->rates)
    m->rates = g_hash_table_new_full (hash_key, keys_are_equal, NULL, g_free);
  m->urgency = urgency;
  m->org = org;
  r = get_rate (m, (RateKey){ urgency, org }, now_ms);
  decay_rate (r, mean_ms, now_ms);
  r->per_s += 1000 / mean_ms;
}

void
cf_demand_meter_add_hold (CfDemandMeter *m, gint64 ms)
{
  m->n_holds = MIN (m->n_holds + 1, HOLD_SAMPLES);
  m->hold_ms += ((double)MAX (ms, 1) - m->hold_ms) / m->n_holds;
}

/* Adds the rates as entries to @out; forgets those that have decayed. */
static void
read_rates (CfDemandMeter *m, gint64 now_ms, CfDemandTable *out)
{
  double mean_ms = get_mean_ms (m);
  double hold_s = m->hold_ms > 0 ? m->hold_ms / 1000 : 1;
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, m->rates);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      Rate *r = value;
      CfDemand d = { r->key.urgency, r->key.org, 1, 0 };

      decay_rate (r, mean_ms, now_ms);
      d.slots = r->per_s * hold_s;
      if (r->per_s >= RATE_MIN_PER_S)
        {
          cf_demand_table_add (out, &d);
          continue;
        }
      m->n_orgs -= d.org != CF_DEMAND_OTHER_ORGS;
      g_hash_table_iter_remove (&it);
    }
}

/* Scales the entries from @begin on so that the total of @t is @total, if it is
 * less. */
static void
raise_total (CfDemandTable *t, guint begin, double total)
{
  double missing = total - cf_demand_table_total (t);
  double sum = 0;

  for (guint i = begin; i < t->n; i++)
    sum += t->entries[i].slots;
  if (missing > 0 && sum > 0)
    for (guint i = begin; i < t->n; i++)
      t->entries[i].slots *= 1 + missing / sum;
}

/* Returns the index of the first entry of the least urgent level. */
static guint
find_last_level (const CfDemandTable *t)
{
  guint i = t->n;

  while (i > 0 && t->entries[i - 1].urgency == t->entries[t->n - 1].urgency)
    i--;
  return i;
}

/* Scales the rates of @out, which are not demand without a hold time, to the
 * requests present. */
static void
set_total (CfDemandTable *out, double total)
{
  double sum = cf_demand_table_total (out);

  for (guint i = 0; i < out->n; i++)
    out->entries[i].slots *= total / sum;
}

void
cf_demand_meter_read (CfDemandMeter *m, guint in_flight, guint waiting,
                      gint64 now_ms, CfDemandTable *out)
{
  /* Earlier requests may still run when none has arrived for a while. */
  const CfDemand latest = { m->urgency, m->org, 1, in_flight + waiting };

  out->n = 0;
  if (m->rates)
    read_rates (m, now_ms, out);
  if (out->n == 0 && latest.slots > 0)
    cf_demand_table_add (out, &latest);
  else if (m->hold_ms <= 0)
    set_total (out, latest.slots);
  raise_total (out, 0, in_flight);
  /* More urgent requests do not wait while less urgent ones run. */
  raise_total (out, find_last_level (out), latest.slots);
}
