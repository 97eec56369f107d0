#include "return-schedule.h"

#include "wait-queue.h"

#include <string.h>

/** Places are given out at this fraction of the rate at which requests end; the
 * rest of the capacity is for new callers. */
#define RETURN_FRACTION 0.5
/** A gap of this many intervals is wide enough; sums of intervals are not
 * exact. */
#define GAP_TOLERANCE 0.99
/** A span without a gap counts as such for requests whose interval is shorter
 * by up to this factor: the rate at which requests end fluctuates. */
#define TAKEN_TOLERANCE 0.8
/** Least wait: a hello with the place has to reach the other gateways first. */
#define WAIT_MIN_MS 100
/** Longest wait once capacity is free.  With longer ones the callers of a burst
 * still take the place of new ones more than 3 s after its end (t-overload). */
#define WAIT_MAX_MS 1200
/** Least wait while the rate at which requests end is unknown, and the range
 * that places are then spread over.  A full service of 12 slots per target and
 * streams of 1.2 s has slots free by then. */
#define UNKNOWN_RATE_WAIT_MS 400
#define UNKNOWN_RATE_SPREAD_MS 400
/** A caller that returns this much before its time is on time.  The due time
 * that a peer knows is late by the transit of a hello, between data centres
 * some ten ms, and by an iteration of the event loop. */
#define EARLY_TOLERANCE_MS 50
/** For how long after its time a caller is expected. */
#define RETENTION_MS 2000

/** CfReturnEntry: a place in a schedule. */
struct CfReturnEntry
{
  CfReturnPlace place;
  double at_ms; /* when it is due; places may be less than 1 ms apart */
  GSequenceIter *position;
  TAILQ_ENTRY (CfReturnEntry) unsent_link;
};

static int
compare_due (gconstpointer a, gconstpointer b, gpointer data)
{
  const CfReturnEntry *x = a;
  const CfReturnEntry *y = b;

  return (x->at_ms > y->at_ms) - (x->at_ms < y->at_ms);
}

static void
init_schedule (CfReturnSchedule *s)
{
  s->by_key = g_hash_table_new (g_int64_hash, g_int64_equal);
  s->by_due = g_sequence_new (g_free);
  TAILQ_INIT (&s->unsent);
}

void
cf_return_schedule_clear (CfReturnSchedule *s)
{
  g_clear_pointer (&s->by_key, g_hash_table_destroy);
  g_clear_pointer (&s->by_due, g_sequence_free);
}

guint64
cf_return_key (const CfRequestDigest *d)
{
  guint64 key;

  G_STATIC_ASSERT (sizeof key == CF_RETURN_KEY_BYTES);
  memcpy (&key, d->bytes, sizeof key);
  return key;
}

static CfReturnEntry *
lookup (const CfReturnSchedule *s, guint64 key)
{
  return s->by_key ? g_hash_table_lookup (s->by_key, &key) : NULL;
}

static void
remove_entry (CfReturnSchedule *s, CfReturnEntry *e)
{
  CfReturnSpan *taken = &s->taken;

  if (e->place.is_own && e->at_ms + taken->interval_ms > taken->from_ms)
    taken->from_ms = e->at_ms + taken->interval_ms;
  if (e->place.is_unsent)
    TAILQ_REMOVE (&s->unsent, e, unsent_link);
  g_hash_table_remove (s->by_key, &e->place.key);
  g_sequence_remove (e->position);
}

/* (nullable): the entry that is due first. */
static CfReturnEntry *
first_entry (const CfReturnSchedule *s)
{
  GSequenceIter *it = s->by_due ? g_sequence_get_begin_iter (s->by_due) : NULL;

  return it && !g_sequence_iter_is_end (it) ? g_sequence_get (it) : NULL;
}

/* Adds @p, whose key has no entry.  Of too many, the one that is due first is
 * dropped: most of those are overdue. */
static void
add_entry (CfReturnSchedule *s, const CfReturnPlace *p, double at_ms)
{
  CfReturnEntry *e = g_new0 (CfReturnEntry, 1);

  if (!s->by_key)
    init_schedule (s);
  e->place = *p;
  e->at_ms = at_ms;
  e->position = g_sequence_insert_sorted (s->by_due, e, compare_due, NULL);
  g_hash_table_insert (s->by_key, &e->place.key, e);
  if (p->is_unsent)
    TAILQ_INSERT_TAIL (&s->unsent, e, unsent_link);
  if (g_hash_table_size (s->by_key) > CF_RETURN_PLACES_MAX)
    remove_entry (s, first_entry (s));
}

/* Returns the first entry that is due at @at_ms or later, or the end. */
static GSequenceIter *
search_due (const CfReturnSchedule *s, double at_ms)
{
  CfReturnEntry probe = { .at_ms = at_ms };
  GSequenceIter *it = g_sequence_search (s->by_due, &probe, compare_due, NULL);

  /* The search ends behind equal entries. */
  while (!g_sequence_iter_is_begin (it))
    {
      GSequenceIter *prev = g_sequence_iter_prev (it);

      if (((CfReturnEntry *)g_sequence_get (prev))->at_ms < at_ms)
        break;
      it = prev;
    }
  return it;
}

/* Whether @taken has no gap at @at_ms for a request of @urgency. */
static gboolean
is_taken (const CfReturnSpan *taken, gint64 urgency, double at_ms,
          double interval_ms)
{
  return at_ms >= taken->from_ms && at_ms < taken->to_ms
         && urgency >= taken->urgency
         && interval_ms >= taken->interval_ms * TAKEN_TOLERANCE;
}

/* Remembers that there is no gap in @found, unless a longer span is known, or
 * one that is at least half as long for more urgent requests, which all less
 * urgent ones can use as well. */
static void
note_taken (CfReturnSpan *taken, const CfReturnSpan *found)
{
  double found_ms = found->to_ms - found->from_ms;
  double known_ms = taken->to_ms - MAX (taken->from_ms, found->from_ms);

  if (found_ms >= known_ms * (found->urgency > taken->urgency ? 2 : 1))
    *taken = *found;
}

/* Returns the first time from @from_ms on that is @interval_ms away from all
 * places that go before @r; any time from @limit_ms on if there is none before
 * that. */
static double
find_free_time (CfReturnSchedule *s, const CfReturnRequest *r, double from_ms,
                double interval_ms, double limit_ms)
{
  CfReturnSpan found = { from_ms, from_ms, interval_ms, r->urgency };
  GSequenceIter *it;

  if (!s->by_due)
    return from_ms;
  it = search_due (s, from_ms - interval_ms);
  while (!g_sequence_iter_is_end (it) && found.to_ms < limit_ms)
    {
      const CfReturnEntry *e = g_sequence_get (it);

      if (is_taken (&s->taken, r->urgency, found.to_ms, interval_ms))
        {
          found.to_ms = s->taken.to_ms;
          found.interval_ms = MAX (found.interval_ms, s->taken.interval_ms);
          it = search_due (s, found.to_ms - interval_ms);
          continue;
        }
      it = g_sequence_iter_next (it);
      if (e->at_ms - found.to_ms >= interval_ms * GAP_TOLERANCE)
        break;
      if (e->place.is_own && e->place.urgency <= r->urgency)
        found.to_ms = MAX (found.to_ms, e->at_ms + interval_ms);
    }
  note_taken (&s->taken, &found);
  return found.to_ms;
}

/* Returns the latest time that @r may get. */
static gint64
get_limit_ms (const CfReturnRequest *r)
{
  gint64 accepted_ms
      = cf_retry_after_ms (r->remaining_ms, CF_RETURN_AHEAD_MAX_MS, 0);

  return MIN (r->now_ms + accepted_ms,
              MAX (r->opens_ms, r->now_ms) + WAIT_MAX_MS);
}

/* Returns when capacity is expected for @r, at @limit_ms at the latest. */
static double
find_time (CfReturnSchedule *s, const CfReturnRequest *r, gint64 limit_ms)
{
  double from_ms = (double)MAX (r->opens_ms, r->now_ms);
  double interval_ms;

  if (!(r->drain_per_s > 0))
    {
      from_ms = MAX (from_ms, (double)(r->now_ms + UNKNOWN_RATE_WAIT_MS));
      from_ms += (double)(r->key % UNKNOWN_RATE_SPREAD_MS);
      return MIN (from_ms, (double)limit_ms);
    }
  interval_ms = 1000.0 / (r->drain_per_s * RETURN_FRACTION);
  from_ms += r->n_ahead * interval_ms;
  from_ms = MAX (from_ms, (double)(r->now_ms + WAIT_MIN_MS));
  return MIN (find_free_time (s, r, from_ms, interval_ms, (double)limit_ms),
              (double)limit_ms);
}

gint64
cf_return_schedule_assign (CfReturnSchedule *s, const CfReturnRequest *r)
{
  gint64 limit_ms = get_limit_ms (r);
  CfReturnPlace p = { .key = r->key, .urgency = r->urgency, .is_own = TRUE };
  CfReturnEntry *e;
  double at_ms;

  cf_return_schedule_expire (s, r->now_ms);
  e = lookup (s, r->key);
  if (e && e->place.due_ms > r->now_ms)
    return MIN (e->place.due_ms, limit_ms) - r->now_ms;
  if (e)
    remove_entry (s, e);
  at_ms = find_time (s, r, limit_ms);
  p.due_ms = (gint64)at_ms;
  p.is_unsent = !r->is_anonymous;
  add_entry (s, &p, at_ms);
  return p.due_ms - r->now_ms;
}

CfReturnState
cf_return_schedule_check (CfReturnSchedule *s, guint64 key, gint64 now_ms,
                          gint64 *wait_ms)
{
  const CfReturnEntry *e;

  *wait_ms = 0;
  cf_return_schedule_expire (s, now_ms);
  e = lookup (s, key);
  if (!e)
    return CF_RETURN_NEW;
  if (e->place.due_ms - now_ms <= EARLY_TOLERANCE_MS)
    return CF_RETURN_DUE;
  *wait_ms = e->place.due_ms - now_ms;
  return CF_RETURN_EARLY;
}

void
cf_return_schedule_remove (CfReturnSchedule *s, guint64 key)
{
  CfReturnEntry *e = lookup (s, key);

  if (e)
    remove_entry (s, e);
}

/* Whether the place @p of a peer is another one than @known.  The same place
 * comes back from several peers, a little later each time; an own one has made
 * more hops then, and another one is at least a first wait away. */
static gboolean
is_later_place (const CfReturnPlace *p, const CfReturnPlace *known)
{
  gint64 later_ms = p->due_ms - known->due_ms;

  return known->is_own ? later_ms >= WAIT_MIN_MS
                       : later_ms > EARLY_TOLERANCE_MS;
}

void
cf_return_schedule_put_peer (CfReturnSchedule *s, const CfReturnPlace *p,
                             gint64 now_ms)
{
  CfReturnEntry *e;
  CfReturnPlace copy = *p;

  cf_return_schedule_expire (s, now_ms);
  e = lookup (s, p->key);
  if (e && !is_later_place (p, &e->place))
    return;
  if (e)
    remove_entry (s, e);
  copy.is_own = FALSE;
  add_entry (s, &copy, (double)copy.due_ms);
}

gboolean
cf_return_schedule_take_unsent (CfReturnSchedule *s, gint64 now_ms,
                                CfReturnPlace *out)
{
  CfReturnEntry *e;

  while (s->by_key && (e = TAILQ_FIRST (&s->unsent)))
    {
      TAILQ_REMOVE (&s->unsent, e, unsent_link);
      e->place.is_unsent = FALSE;
      *out = e->place;
      if (out->due_ms - now_ms > EARLY_TOLERANCE_MS)
        return TRUE;
    }
  return FALSE;
}

guint
cf_return_schedule_count (const CfReturnSchedule *s, gint64 from_ms,
                          gint64 to_ms)
{
  GSequenceIter *it;
  guint n = 0;

  if (!s->by_due)
    return 0;
  for (it = search_due (s, (double)from_ms); !g_sequence_iter_is_end (it);
       it = g_sequence_iter_next (it), n++)
    if (((CfReturnEntry *)g_sequence_get (it))->at_ms >= (double)to_ms)
      break;
  return n;
}

gboolean
cf_return_schedule_is_empty (CfReturnSchedule *s, gint64 now_ms)
{
  cf_return_schedule_expire (s, now_ms);
  return !s->by_key || g_hash_table_size (s->by_key) == 0;
}

void
cf_return_schedule_expire (CfReturnSchedule *s, gint64 now_ms)
{
  CfReturnEntry *e;

  while ((e = first_entry (s)) && now_ms - e->place.due_ms > RETENTION_MS)
    remove_entry (s, e);
}
