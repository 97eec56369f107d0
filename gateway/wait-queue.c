#include "wait-queue.h"

#include "ablation.h"

#include <math.h>
#include <string.h>

/** A request may wait in the queue for this fraction of the time after which
 * callers give up without a first event; the rest is needed to process its
 * prompt along with others. */
#define WAIT_FIRST_EVENT_FRACTION 0.6
/** It may wait for this fraction of the remaining time, so that a refusal still
 * leaves its caller time to retry. */
#define WAIT_DEADLINE_FRACTION 0.33
/** The fraction of the objective that the first event is assumed to take while
 * its service's latency is unknown. */
#define UNKNOWN_FIRST_EVENT_FRACTION 0.4
/** The maximum of that fraction, even if the estimate is higher: with an
 * estimate beyond the objective every request would be late on arrival, and the
 * queue would be first come, first served. */
#define MAX_FIRST_EVENT_FRACTION 0.75
/** One of this many requests taken from the queue while less urgent ones wait
 * is one of those: the minimum share of less urgent requests. */
#define FLOOR_INTERVAL 20
/** The part of a full queue that levels below the most urgent one keep in all.
 * Each keeps 1/FLOOR_INTERVAL of the queue, but at least one place. */
#define LEVELS_FRACTION 0.25
/** Organisations whose load is kept during one search of the queue; more are
 * computed again. */
#define KNOWN_LOADS 32
/** A request is refused on arrival if the requests ahead of it are expected to
 * take this multiple of the time for which it may wait: the expected time is
 * a mean, and some of those ahead give up. */
#define HOPELESS_FACTOR 1.5
/** Callers honour a Retry-After of up to a third of their remaining time. */
#define RETRY_AFTER_FRACTION 0.32

void
cf_wait_queue_init (CfWaitQueue *q)
{
  memset (q, 0, sizeof *q);
  TAILQ_INIT (&q->waiters);
}

gint64
cf_waiter_urgency (gint64 org_priority, gint64 route_priority)
{
  return org_priority * CF_URGENCY_FACTOR
         + CLAMP (route_priority, 0, CF_URGENCY_FACTOR - 1);
}

/* Whether several organisations have requests; @w (nullable): a new one. */
static gboolean
has_several_orgs (const CfWaitQueue *q, const CfWaiter *w)
{
  guint n = q->usage ? cf_org_usage_size (q->usage) : 0;

  if (n == 1 && w)
    n += cf_org_usage_in_flight (q->usage, w->org) == 0
         && cf_org_usage_waiting (q->usage, w->org) == 0;
  return n > 1;
}

static void
count_waiter (CfWaitQueue *q, const CfWaiter *w, int change)
{
  q->n += change;
  if (w->returned)
    q->n_returned += change;
  if (q->usage)
    cf_org_usage_add (q->usage, w->org, 0, change);
}

/* Inserts @w behind all waiters that are more urgent, or as urgent and came no
 * later. */
static void
insert_in_order (CfWaitQueue *q, CfWaiter *w)
{
  CfWaiter *other;

  TAILQ_FOREACH_REVERSE (other, &q->waiters, CfWaiterList, link)
  if (other->priority < w->priority
      || (other->priority == w->priority && other->since_ms <= w->since_ms))
    {
      TAILQ_INSERT_AFTER (&q->waiters, other, w, link);
      return;
    }
  TAILQ_INSERT_HEAD (&q->waiters, w, link);
}

static guint
get_count (GHashTable *counts, guint32 org)
{
  return GPOINTER_TO_UINT (
      g_hash_table_lookup (counts, GUINT_TO_POINTER (org)));
}

static void
count_one_more (GHashTable *counts, guint32 org)
{
  g_hash_table_insert (counts, GUINT_TO_POINTER (org),
                       GUINT_TO_POINTER (get_count (counts, org) + 1));
}

/* Returns the organisation with the most waiters at the level that @last is the
 * last waiter of, the new request @w included; of several the one that @w or
 * the newest waiter belongs to. */
static guint32
find_largest_org (CfWaiter *last, const CfWaiter *w)
{
  gboolean is_at_level = w->priority == last->priority;
  guint32 largest = is_at_level ? w->org : last->org;
  GHashTable *counts = g_hash_table_new (NULL, NULL);
  const CfWaiter *other;
  guint max;

  if (is_at_level)
    count_one_more (counts, w->org);
  for (other = last; other && other->priority == last->priority;
       other = TAILQ_PREV (other, CfWaiterList, link))
    count_one_more (counts, other->org);
  max = get_count (counts, largest);
  for (other = last; other && other->priority == last->priority;
       other = TAILQ_PREV (other, CfWaiterList, link))
    if (get_count (counts, other->org) > max)
      {
        largest = other->org;
        max = get_count (counts, largest);
      }
  g_hash_table_unref (counts);
  return largest;
}

/* Whether @w rather than @victim (nullable), of the same organisation and
 * level, makes room. */
static gboolean
is_better_victim (const CfWaiter *w, const CfWaiter *victim)
{
  if (!victim)
    return TRUE;
  if (w->returned != victim->returned)
    return !w->returned;
  return w->since_ms > victim->since_ms;
}

/* Returns the last waiter of the level that makes room in a full queue of @max
 * for the new request @w; %NULL if @w is the only one of its level.  It is the
 * least urgent level, except that each level keeps a few places, without which
 * it would not get its minimum share of slots. */
static CfWaiter *
find_victim_level (const CfWaitQueue *q, const CfWaiter *w, guint max)
{
  CfWaiter *last = TAILQ_LAST (&q->waiters, CfWaiterList);
  gint64 first = MIN (TAILQ_FIRST (&q->waiters)->priority, w->priority);
  gint64 level = MAX (last->priority, w->priority);
  guint n_places = (guint)(max * LEVELS_FRACTION);
  guint n_level_max = MAX (max / FLOOR_INTERVAL, 1);

  for (;;)
    {
      CfWaiter *before = last;
      guint n = w->priority == level;

      for (; before && before->priority == level; n++)
        before = TAILQ_PREV (before, CfWaiterList, link);
      if (level == first || n > MIN (n_level_max, n_places))
        return last && last->priority == level ? last : NULL;
      n_places -= n;
      last = before;
      level = last && (w->priority >= level || last->priority > w->priority)
                  ? last->priority
                  : w->priority;
    }
}

/* Returns which of the waiters and the new request @w has no room in the full
 * queue. */
static CfWaiter *
find_victim (const CfWaitQueue *q, CfWaiter *w, guint max)
{
  CfWaiter *last = q->n ? find_victim_level (q, w, max) : NULL;
  gboolean shares = has_several_orgs (q, w);
  CfWaiter *victim = NULL;
  guint32 org;

  if (!last)
    return w;
  org = shares ? find_largest_org (last, w) : w->org;
  if (w->priority == last->priority && w->org == org)
    victim = w;
  for (CfWaiter *other = last; other && other->priority == last->priority;
       other = TAILQ_PREV (other, CfWaiterList, link))
    if ((other->org == org || !shares) && is_better_victim (other, victim))
      victim = other;
  return victim;
}

gboolean
cf_wait_queue_add (CfWaitQueue *q, CfWaiter *w, guint max, CfWaiter **evicted)
{
  *evicted = NULL;
  if (q->n >= max)
    {
      CfWaiter *victim = find_victim (q, w, max);

      if (victim == w)
        return FALSE;
      cf_wait_queue_remove (q, victim);
      *evicted = victim;
    }
  insert_in_order (q, w);
  w->queued = TRUE;
  count_waiter (q, w, 1);
  return TRUE;
}

void
cf_wait_queue_remove (CfWaitQueue *q, CfWaiter *w)
{
  if (!w->queued)
    return;
  TAILQ_REMOVE (&q->waiters, w, link);
  w->queued = FALSE;
  count_waiter (q, w, -1);
}

gboolean
cf_wait_queue_is_floor_due (const CfWaitQueue *q)
{
  return q->n_before_floor >= FLOOR_INTERVAL - 1;
}

void
cf_wait_queue_take (CfWaitQueue *q, CfWaiter *w)
{
  gint64 first = TAILQ_FIRST (&q->waiters)->priority;
  gint64 last = TAILQ_LAST (&q->waiters, CfWaiterList)->priority;

  cf_wait_queue_remove (q, w);
  if (first == last)
    return;
  if (w->priority == last
      || (cf_wait_queue_is_floor_due (q) && w->priority > first))
    {
      q->n_before_floor = 0;
      q->floor_priority = w->priority;
    }
  else
    q->n_before_floor++;
}

/** OrgLoad: what is known of one organisation while a waiter is chosen. */
typedef struct
{
  gboolean is_known;
  guint32 org;
  gint64 priority;
  double load; /* requests in flight relative to its slots */
} OrgLoad;

/** Chooser: the state of one search for the next waiter. */
typedef struct
{
  const CfWaitQueue *q;
  const CfQueueContext *c;
  gboolean shares; /* organisations share the slots */
  OrgLoad known[KNOWN_LOADS];
} Chooser;

/* Returns the slots granted to organisation @org; 0 if not known. */
static double
get_grant (const CfQueueContext *c, gint64 priority, guint32 org)
{
  double own = 0;
  double merged = 0;

  for (guint i = 0; c->grants && i < c->grants->n; i++)
    {
      const CfDemand *d = &c->grants->entries[i];

      if (d->org == org)
        own += d->slots;
      else if (d->org == CF_DEMAND_OTHER_ORGS && d->urgency == priority)
        merged = d->slots / MAX (d->n_orgs, 1);
    }
  return own > 0 ? own : merged;
}

/* Returns the weight of an organisation: its granted slots and their square
 * root; an even part of all grants, among @n_orgs, if it has none. */
static double
get_weight (const CfQueueContext *c, gint64 priority, guint32 org, guint n_orgs)
{
  double grant = get_grant (c, priority, org);

  if (grant <= 0 && c->grants)
    grant = cf_demand_table_total (c->grants) / MAX (n_orgs, 1);
  return MAX (grant + sqrt (MAX (grant, 0)), 1);
}

static double
get_load (Chooser *ch, const CfWaiter *w)
{
  OrgLoad *known = &ch->known[w->org % KNOWN_LOADS];

  if (!known->is_known || known->org != w->org
      || known->priority != w->priority)
    {
      known->org = w->org;
      known->priority = w->priority;
      known->is_known = TRUE;
      known->load = cf_org_usage_in_flight (ch->q->usage, w->org)
                    / get_weight (ch->c, w->priority, w->org,
                                  cf_org_usage_size (ch->q->usage));
    }
  return known->load;
}

/* Compares the organisations of two waiters of the same priority: negative if
 * that of @a goes first, 0 if neither does. */
static int
compare_orgs (Chooser *ch, const CfWaiter *a, const CfWaiter *b)
{
  double load_a;
  double load_b;

  if (!ch->shares || a->org == b->org)
    return 0;
  load_a = get_load (ch, a);
  load_b = get_load (ch, b);
  return load_a < load_b ? -1 : load_a > load_b;
}

/* Whether @w, which came after @best (nullable), goes before it; both can meet
 * their objective and have the same priority. */
static gboolean
goes_first (Chooser *ch, const CfWaiter *w, const CfWaiter *best)
{
  int order;

  if (!best)
    return TRUE;
  order = compare_orgs (ch, w, best);
  if (order != 0)
    return order < 0;
  if (w->returned != best->returned && (!ch->shares || w->org == best->org))
    return w->returned;
  return ch->c->overloaded;
}

/* Whether the late waiter @w is to be sent before @best (nullable): it can
 * still be answered by its deadline, and, of the same priority, its
 * organisation goes first, or it has less time to spare. */
static gboolean
late_goes_first (Chooser *ch, const CfWaiter *w, const CfWaiter *best)
{
  int order;

  if (ch->c->now_ms > w->deadline_send_by_ms)
    return FALSE;
  if (!best)
    return TRUE;
  if (w->priority != best->priority)
    return FALSE;
  order = compare_orgs (ch, w, best);
  return order != 0 ? order < 0
                    : w->deadline_send_by_ms < best->deadline_send_by_ms;
}

static gboolean
is_passed_over (const CfWaiter *w, const CfQueueContext *c)
{
  return w->is_retry && c->may_not_retry;
}

/* (nullable): the next of the waiters from @w on, with priorities of at most
 * @max_priority, that can meet their objective or at least their deadline. */
static CfWaiter *
choose (const CfWaitQueue *q, const CfQueueContext *c, CfWaiter *w,
        gint64 max_priority)
{
  Chooser ch = { .q = q, .c = c, .shares = has_several_orgs (q, NULL) };
  gboolean is_in_order = !ch.shares && !q->n_returned && !c->overloaded;
  CfWaiter *on_time = NULL;
  CfWaiter *late = NULL;

  for (; w && w->priority <= max_priority; w = TAILQ_NEXT (w, link))
    {
      if (on_time && w->priority > on_time->priority)
        break;
      if (is_passed_over (w, c))
        continue;
      if (c->now_ms > w->objective_send_by_ms)
        {
          if (late_goes_first (&ch, w, late))
            late = w;
          continue;
        }
      if (goes_first (&ch, w, on_time))
        on_time = w;
      if (is_in_order)
        break;
    }
  return on_time ? on_time : late;
}

/* Returns the first waiter of the level of @w. */
static CfWaiter *
find_level_start (CfWaiter *w)
{
  CfWaiter *before;

  while ((before = TAILQ_PREV (w, CfWaiterList, link))
         && before->priority == w->priority)
    w = before;
  return w;
}

/* (nullable): the next waiter of the first level that has one to be sent, from
 * that of @w (nullable) on towards more urgent ones, above @min_priority. */
static CfWaiter *
choose_from_levels (const CfWaitQueue *q, const CfQueueContext *c, CfWaiter *w,
                    gint64 min_priority)
{
  CfWaiter *chosen = NULL;

  while (!chosen && w && w->priority > min_priority)
    {
      CfWaiter *level = find_level_start (w);

      chosen = choose (q, c, level, level->priority);
      w = TAILQ_PREV (level, CfWaiterList, link);
    }
  return chosen;
}

/* (nullable): the waiter that gets the minimum share.  The levels below the
 * most urgent one get it in turn, from the least urgent one on; those that have
 * nothing to be sent lose theirs. */
static CfWaiter *
choose_for_floor (const CfWaitQueue *q, const CfQueueContext *c)
{
  gint64 first = TAILQ_FIRST (&q->waiters)->priority;
  CfWaiter *last = TAILQ_LAST (&q->waiters, CfWaiterList);
  CfWaiter *w = last;
  CfWaiter *chosen;

  while (w && w->priority >= q->floor_priority)
    w = TAILQ_PREV (w, CfWaiterList, link);
  chosen = choose_from_levels (q, c, w, first);
  if (!chosen)
    chosen
        = choose_from_levels (q, c, last, MAX (first, q->floor_priority - 1));
  return chosen;
}

CfWaiter *
cf_wait_queue_first (const CfWaitQueue *q, const CfQueueContext *c)
{
  CfWaiter *first = TAILQ_FIRST (&q->waiters);
  CfWaiter *w = NULL;

  if (!first)
    return NULL;
  if (cf_wait_queue_is_floor_due (q) && !c->skips_floor)
    w = choose_for_floor (q, c);
  if (!w)
    w = choose (q, c, first, G_MAXINT64);
  /* All are too late. */
  for (; !w && first; first = TAILQ_NEXT (first, link))
    if (!is_passed_over (first, c))
      w = first;
  return w;
}

gboolean
cf_wait_queue_would_be_first (CfWaitQueue *q, CfWaiter *w,
                              const CfQueueContext *c)
{
  CfWaiter *evicted;
  const CfWaiter *first;

  cf_wait_queue_add (q, w, G_MAXUINT, &evicted);
  first = cf_wait_queue_first (q, c);
  cf_wait_queue_remove (q, w);
  return first == w;
}

/* Returns how long the waiters take that are sent before the new request @w.
 * Late ones are not among them, since it is not late yet; nor are more of the
 * more urgent ones than are sent until the minimum share of its level is due.
 */
static double
estimate_wait_ms (const CfWaitQueue *q, const CfWaiter *w, gint64 now_ms,
                  const CfDrain *d, double part)
{
  const CfWaiter *other;
  guint n_urgent = 0;
  guint n_level = 0;
  guint n_own = 0;

  TAILQ_FOREACH (other, &q->waiters, link)
  {
    if (other->priority > w->priority)
      break;
    if (now_ms > other->objective_send_by_ms)
      continue;
    n_urgent += other->priority < w->priority;
    n_level += other->priority == w->priority;
    n_own += other->priority == w->priority && other->org == w->org;
  }
  n_urgent = MIN (n_urgent, (n_level + 1) * FLOOR_INTERVAL);
  return d->hold_ms * (n_urgent / d->slots + n_own / part);
}

gboolean
cf_wait_queue_is_hopeless (const CfWaitQueue *q, const CfWaiter *w,
                           const CfQueueContext *c, const CfDrain *d,
                           gint64 limit_ms)
{
  double part = get_grant (c, w->priority, w->org);
  double max_ms = (double)limit_ms * HOPELESS_FACTOR;

  if (d->slots <= 0 || d->hold_ms <= 0 || c->overloaded || w->returned)
    return FALSE;
  if (has_several_orgs (q, w))
    {
      guint in_flight = cf_org_usage_in_flight (q->usage, w->org);

      if (part <= 0)
        part = d->slots / cf_org_usage_size (q->usage);
      if (in_flight < part)
        return FALSE;
      part = in_flight;
    }
  else
    part = d->slots;
  /* Most queues are far too short for it: they need not be searched. */
  if (d->hold_ms * q->n / MIN (part, d->slots) <= max_ms)
    return FALSE;
  return estimate_wait_ms (q, w, c->now_ms, d, part) > max_ms;
}

gint64
cf_waiter_objective_send_by_ms (gint64 start_ms, gint64 objective_ms,
                                gint64 first_ms)
{
  double max_ms = (double)objective_ms * MAX_FIRST_EVENT_FRACTION;
  double expected_ms
      = first_ms > 0 ? MIN ((double)first_ms, max_ms)
                     : (double)objective_ms * UNKNOWN_FIRST_EVENT_FRACTION;

  return start_ms + (gint64)((double)objective_ms - expected_ms);
}

gboolean
cf_waiter_has_to_yield (const CfWaiter *w, gint64 now_ms, double pause_ms,
                        gint64 gap_objective_ms)
{
  return !CF_WITHOUT_YIELDING && w->queued && now_ms > w->objective_send_by_ms
         && pause_ms < (double)gap_objective_ms;
}

gint64
cf_wait_queue_max_wait_ms (gint64 first_event_timeout_ms, gint64 remaining_ms)
{
  double first_event_bound
      = (double)first_event_timeout_ms * WAIT_FIRST_EVENT_FRACTION;
  double deadline_bound = (double)remaining_ms * WAIT_DEADLINE_FRACTION;

  return (gint64)MIN (first_event_bound, deadline_bound);
}

gint64
cf_retry_after_ms (gint64 remaining_ms, gint64 backoff_ms, guint spread)
{
  gint64 max_ms = (gint64)((double)remaining_ms * RETRY_AFTER_FRACTION);
  gint64 after_ms = backoff_ms + (gint64)(spread % (guint)MAX (backoff_ms, 1));

  return CLAMP (after_ms, 0, MAX (max_ms, 0));
}
