#include "balancer.h"

#include "ablation.h"

#include <math.h>
#include <string.h>

/** Of an even part of a target's slots, what a gateway may use. */
#define SHARE_MORE 1.25
/** Of that, what requests that are late already may fill. */
#define YIELD_PART 0.6
/** Of the limit of requests in flight, the same. */
#define YIELD_PART_OF_LIMIT 0.85

/** A target whose work takes so many times as long is used like one that was
 * ejected: in a rank group, all wait for its part of each pass. */
#define SLOW_PACE 3.0

/** How a target may be used for a request. */
typedef enum
{
  USE_NO,      /**< leaving, or it had the request already */
  USE_LIMITED, /**< it has got our part of the rate that it takes */
  USE_FULL,    /**< no room for it now */
  USE_GUESS,   /**< ejected or slow: only when nothing better is left */
  USE_YES,
} Use;

guint
cf_balancer_max_in_flight (gint64 slots, gint64 max_conns, guint n_gateways)
{
  guint sharers = CF_WITHOUT_FLEET_SHARES ? 1 : MAX (n_gateways, 1);
  double part = (double)slots * SHARE_MORE / sharers;
  double conns = floor ((double)max_conns / MAX (n_gateways, 1));

  if (max_conns > 0)
    part = MIN (part, conns);
  return (guint)MAX (ceil (part), 1);
}

static gboolean
was_tried (const GPtrArray *tried, const CfTarget *t)
{
  return tried && g_ptr_array_find ((GPtrArray *)tried, t, NULL);
}

static guint
room_for (const CfTarget *t, const CfPickInput *in)
{
  guint share = cf_balancer_max_in_flight (t->record.slots, in->max_conns,
                                           in->n_gateways);

  return in->yields ? (guint)MAX (share * YIELD_PART, 1) : share;
}

static gboolean
stands_still (const CfTarget *t, const CfPickInput *in)
{
  return in->stall_timeout_ms > 0 && !CF_WITHOUT_STALL_CHECK
         && cf_target_silence_ms (t, in->now_ms) > in->stall_timeout_ms;
}

static gboolean
is_doubtful (const CfTarget *t, const CfPickInput *in)
{
  return t->slowdown >= SLOW_PACE
         || cf_outlier_is_ejected (&t->outlier, in->now_ms)
         || stands_still (t, in);
}

static Use
use_of (CfTarget *t, const CfPickInput *in)
{
  if (t->record.leaving || t->replaced || was_tried (in->tried, t))
    return USE_NO;
  if (t->in_flight >= room_for (t, in) || in->now_ms < t->full_until_ms)
    return USE_FULL;
  if (!CF_WITHOUT_RATE_LIMITS
      && !cf_rate_limit_may_send (&t->limit, t->record.id, in->place,
                                  in->now_ms))
    return USE_LIMITED;
  return is_doubtful (t, in) ? USE_GUESS : USE_YES;
}

/* Load with the request, in 1/1024 slots of a target at its usual slowdown; one
 * less in our own data centre to break ties. */
static guint
load_of (const CfTarget *t, const CfPickInput *in)
{
  double share = (t->in_flight + 1) * t->slowdown / (double)t->record.slots;
  guint load = (guint)(share * 1024) * 2 + 1;

  if (in->data_centre && t->record.data_centre
      && strcmp (in->data_centre, t->record.data_centre) == 0)
    load--;
  return load;
}

/* Choice: what a look at all targets of a service found. */
typedef struct
{
  CfTarget *best;  /* the least loaded that may be used; NULL if none */
  CfTarget *guess; /* the least loaded of the doubtful */
  guint best_load;
  guint guess_load;
  guint n_sound; /* neither leaving nor doubtful, full or not */
  gboolean any_full;
  gboolean any_limited;
  gint64 slots; /* of all that take work */
} Choice;

static void
consider (Choice *c, CfTarget *t, const CfPickInput *in)
{
  Use use = use_of (t, in);
  guint load = load_of (t, in);

  c->slots += use != USE_NO ? t->record.slots : 0;
  c->n_sound += use != USE_NO && use != USE_LIMITED && !is_doubtful (t, in);
  c->any_limited |= use == USE_LIMITED;
  c->any_full |= use == USE_FULL;
  if (use == USE_YES && (!c->best || load < c->best_load))
    {
      c->best = t;
      c->best_load = load;
    }
  if (use == USE_GUESS && (!c->guess || load < c->guess_load))
    {
      c->guess = t;
      c->guess_load = load;
    }
}

/* True if a request would exceed what this gateway may have in flight at all
 * targets.  Where gateways outnumber a target's slots, our share of one target
 * is a single request, so that low-priority ones go by our share of all. */
static gboolean
exceeds_total (const Choice *c, const CfPickInput *in)
{
  double share = (double)c->slots / MAX (in->n_gateways, 1);
  double most = G_MAXUINT;

  if (in->limit > 0)
    most = in->yields ? in->limit * YIELD_PART_OF_LIMIT : in->limit;
  else if (in->yields && c->slots > 0)
    most = share * SHARE_MORE * YIELD_PART;
  return in->in_flight >= MAX (most, 1);
}

static guint
first_of (CfTargetTable *t, guint n, const CfPickInput *in)
{
  if (in->ring_start && !CF_WITHOUT_TARGET_RING)
    return (guint)(*in->ring_start * n);
  return t->next_start++;
}

CfPickResult
cf_balancer_pick (CfTargetTable *t, const CfPickInput *in, CfTarget **out)
{
  const GPtrArray *a = cf_target_table_service (t, in->service);
  guint n = a ? a->len : 0;
  guint from = first_of (t, n, in);
  Choice c = { 0 };

  for (guint i = 0; i < n; i++)
    consider (&c, a->pdata[(from + i) % n], in);
  *out = NULL;
  if (exceeds_total (&c, in))
    return CF_PICK_FULL;
  *out = c.best;
  /* While most are sound, room at one of them is worth waiting for. */
  if (!*out && c.n_sound * 2 < n)
    *out = c.guess;
  if (*out)
    return CF_PICK_OK;
  if (c.any_full || c.guess)
    return CF_PICK_FULL;
  return c.any_limited ? CF_PICK_RATE_LIMITED : CF_PICK_NO_TARGET;
}

double
cf_balancer_rate_limit_per_s (const CfTargetTable *t, const char *service,
                              CfFleetPlace place)
{
  const GPtrArray *a = cf_target_table_service (t, service);
  double sum = 0;

  for (guint i = 0; a && i < a->len; i++)
    {
      const CfTarget *one = a->pdata[i];

      if (one->limit.per_s > 0 && !one->record.leaving && !one->replaced)
        sum += cf_rate_limit_share (&one->limit, one->record.id, place);
    }
  return sum;
}
