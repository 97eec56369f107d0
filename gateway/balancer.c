#include "balancer.h"

#include "ablation.h"

#include <math.h>
#include <string.h>

/** A gateway may use this multiple of an even share of a target's slots. */
#define SHARE_HEADROOM 1.25
/** From this multiple of the slots on, connections are divided like slots: the
 * shares of slots together stay below 2.5 times the slots (parts add up to less
 * than 2, times the headroom), so they cannot exceed a larger maximum.  The
 * rest is for gateways whose views differ for a moment. */
#define SAFE_CONNS_FACTOR 3
/** Compensates for a fraction such as 1/3 being rounded down. */
#define ROUNDING 1e-9
/** The fraction of that share that yielding requests may fill. */
#define YIELD_TARGET_FRACTION 0.6
/** The fraction of the concurrency limit that yielding requests may fill. */
#define YIELD_LIMIT_FRACTION 0.85

/** A target that works this many times slower than usual is treated like an
 * ejected one: in a rank group, all ranks wait for its part of each pass. */
#define DEGRADED_SLOWDOWN 3.0

/** By how much more of its slots this gateway may use a target in its own data
 * centre than the least loaded one elsewhere: its share of the slots with
 * headroom, so that even demand stays local as far as the limit on requests in
 * flight allows... */
#define LOCAL_MARGIN_SHARES SHARE_HEADROOM
/** ...at least this many requests, for gateways whose share is less than
 * one... */
#define LOCAL_MARGIN_MIN_REQUESTS 1.0
/** ...and at most this fraction of the slots.  A gateway with most of the
 * demand would otherwise fill the local targets while those elsewhere are idle.
 */
#define LOCAL_MARGIN_MAX_FRACTION 0.5

/** Availability: whether a target can take a request. */
typedef enum
{
  TARGET_EXCLUDED,     /**< leaving, replaced, evacuated, tried, not at home */
  TARGET_PAUSED,       /**< wants no requests of this gateway for a while */
  TARGET_RATE_LIMITED, /**< this gateway's share of its rate limit is used up */
  TARGET_FULL,         /**< has no free capacity now */
  TARGET_DEGRADED,     /**< ejected, slow or stalled: a last resort */
  TARGET_AVAILABLE,
} Availability;

/* Returns the most requests that all gateways together may have at a target by
 * their shares of its slots, each rounded up: those of a gateway with nearly
 * all demand, and an even share for each other one. */
static double
get_max_sum_of_shares (gint64 slots, guint n_gateways)
{
  double all = (double)slots * SHARE_HEADROOM;

  return ceil (all) + (n_gateways - 1) * ceil (all / n_gateways);
}

/* Returns the connections to a target that count as this gateway's.  More than
 * an even part only if the shares of slots keep the sum below the maximum. */
static double
get_conn_share (gint64 slots, gint64 max_conns, double fraction,
                guint n_gateways)
{
  if ((double)max_conns < MAX ((double)slots * SAFE_CONNS_FACTOR,
                               get_max_sum_of_shares (slots, n_gateways)))
    fraction = MIN (fraction, 1.0 / n_gateways);
  return floor ((double)max_conns * fraction + ROUNDING);
}

/* @fraction: this gateway's part of the target's slots and connections */
static guint
compute_max_in_flight (gint64 slots, gint64 max_conns, double fraction,
                       guint n_gateways)
{
  double slot_fraction = CF_WITHOUT_FLEET_SHARES ? 1 : fraction;
  double share = (double)slots * SHARE_HEADROOM * slot_fraction;

  if (max_conns > 0)
    share = MIN (share, get_conn_share (slots, max_conns, fraction,
                                        MAX (n_gateways, 1)));
  return (guint)MAX (ceil (share), 1);
}

guint
cf_balancer_max_in_flight (gint64 slots, gint64 max_conns, guint n_gateways)
{
  return compute_max_in_flight (slots, max_conns, 1.0 / MAX (n_gateways, 1),
                                n_gateways);
}

static gboolean
was_tried (const GPtrArray *tried, const CfTarget *t)
{
  return tried && g_ptr_array_find ((GPtrArray *)tried, t, NULL);
}

/* Returns this gateway's part of the service's slots, from 0 to 1. */
static double
get_fraction (const CfPickInput *in)
{
  return in->share_fraction > 0 ? in->share_fraction
                                : 1.0 / MAX (in->n_gateways, 1);
}

static guint
get_max_in_flight (const CfTarget *t, const CfPickInput *in)
{
  guint share = compute_max_in_flight (t->record.slots, in->max_conns,
                                       get_fraction (in), in->n_gateways);

  share = MIN (share, cf_target_full_limit (t, in->tests_full, in->now_ms));
  return in->yields ? (guint)MAX (share * YIELD_TARGET_FRACTION, 1) : share;
}

/* Whether the request is the one that shows whether @t, which had stalled, has
 * recovered.  A retry is not: it has less time left and no further attempt. */
static gboolean
may_probe (const CfTarget *t, const CfPickInput *in)
{
  return t->in_flight == 0 && (!in->tried || in->tried->len == 0);
}

static gboolean
is_stalled (const CfTarget *t, const CfPickInput *in)
{
  return in->stall_timeout_ms > 0 && !CF_WITHOUT_STALL_CHECK
         && !may_probe (t, in)
         && cf_target_unanswered_ms (t, in->now_ms) > in->stall_timeout_ms;
}

static gboolean
is_degraded (const CfTarget *t, const CfPickInput *in)
{
  return t->slowdown >= DEGRADED_SLOWDOWN
         || cf_outlier_is_ejected (&t->outlier, in->now_ms)
         || is_stalled (t, in);
}

/* Whether requests like this one may go to the data centre of @t. */
static gboolean
is_open (const CfTarget *t, const CfPickInput *in)
{
  return !t->evacuated
         && !cf_dc_set_contains (in->avoided, t->record.data_centre)
         && cf_homes_allow (&in->homes, t->record.data_centre);
}

static gboolean
is_excluded (const CfTarget *t, const CfPickInput *in)
{
  return cf_target_is_leaving (t) || t->replaced || was_tried (in->tried, t)
         || !is_open (t, in);
}

static gboolean
may_send_by_rate (CfTarget *t, const CfPickInput *in)
{
  if (!CF_WITHOUT_RATE_LIMITS
      && !cf_rate_limit_may_send (&t->limit, t->record.id, in->fleet_position,
                                  in->now_ms))
    return FALSE;
  return cf_warmup_may_send (&t->warmup, in->warmup_rule, t->record.id,
                             in->warmup_position, in->now_ms);
}

static Availability
get_availability (CfTarget *t, const CfPickInput *in)
{
  if (is_excluded (t, in))
    return TARGET_EXCLUDED;
  if (cf_target_pause_ms (t, in->now_ms) > 0)
    return TARGET_PAUSED;
  if (t->in_flight >= get_max_in_flight (t, in)
      || in->now_ms < t->full_until_ms)
    return TARGET_FULL;
  if (!may_send_by_rate (t, in))
    return TARGET_RATE_LIMITED;
  return is_degraded (t, in) ? TARGET_DEGRADED : TARGET_AVAILABLE;
}

static gboolean
is_local (const CfTarget *t, const CfPickInput *in)
{
  return in->data_centre && t->record.data_centre
         && strcmp (in->data_centre, t->record.data_centre) == 0;
}

/* Returns the number of requests that count as being at a target elsewhere in
 * addition to those that are, so that local ones are preferred. */
static double
get_local_margin (const CfTarget *t, const CfPickInput *in)
{
  double slots = (double)t->record.slots;
  double margin = MAX (slots * get_fraction (in) * LOCAL_MARGIN_SHARES,
                       LOCAL_MARGIN_MIN_REQUESTS);

  return MIN (margin, slots * LOCAL_MARGIN_MAX_FRACTION);
}

/* Returns the load that @t would have with the request: in 1/1024 of its slots,
 * scaled by its slowdown, and doubled so that the lowest bit can break ties in
 * favour of a target in the gateway's own data centre. */
static guint
compute_load (const CfTarget *t, const CfPickInput *in)
{
  gboolean local = is_local (t, in);
  double load = (t->in_flight + 1) * t->slowdown;

  if (in->prefers_local && !local && !CF_WITHOUT_LOCAL_TARGETS)
    load += get_local_margin (t, in);
  return (guint)(load / (double)t->record.slots * 1024) * 2 + !local;
}

/* Selection: the result of comparing all targets of a service. */
typedef struct
{
  CfTarget *best;     /* the least loaded available one, or NULL */
  CfTarget *degraded; /* the least loaded degraded one, or NULL */
  guint best_load;
  guint degraded_load;
  guint n_healthy; /* neither excluded, paused, rate-limited nor degraded */
  guint n_usable;  /* neither excluded nor paused */
  guint n_open;    /* in data centres that the request may go to */
  gboolean any_full;
  gboolean any_limited;
  gboolean any_paused;
  gint64 slots; /* of the usable targets */
} Selection;

static void
add_candidate (Selection *c, CfTarget *t, const CfPickInput *in)
{
  Availability availability = get_availability (t, in);
  gboolean usable
      = availability != TARGET_EXCLUDED && availability != TARGET_PAUSED;
  guint load = compute_load (t, in);

  c->slots += usable ? t->record.slots : 0;
  c->n_usable += usable;
  c->n_open += is_open (t, in);
  c->n_healthy
      += usable && availability != TARGET_RATE_LIMITED && !is_degraded (t, in);
  c->any_paused |= availability == TARGET_PAUSED;
  c->any_limited |= availability == TARGET_RATE_LIMITED;
  c->any_full |= availability == TARGET_FULL;
  if (availability == TARGET_AVAILABLE && (!c->best || load < c->best_load))
    {
      c->best = t;
      c->best_load = load;
    }
  if (availability == TARGET_DEGRADED
      && (!c->degraded || load < c->degraded_load))
    {
      c->degraded = t;
      c->degraded_load = load;
    }
}

/* True if this gateway already has as many requests in flight at the service as
 * it may.  Where gateways outnumber a target's slots, the share of one target
 * is a single request, which cannot be divided further; yielding requests are
 * therefore limited by the gateway's share of all slots. */
static gboolean
is_at_total_limit (const Selection *c, const CfPickInput *in)
{
  double share = (double)c->slots * get_fraction (in);
  double max_in_flight = G_MAXUINT;

  if (in->max_total > 0 && in->in_flight >= ceil (in->max_total))
    return TRUE;
  if (in->limit > 0)
    max_in_flight = in->yields ? in->limit * YIELD_LIMIT_FRACTION : in->limit;
  else if (in->yields && c->slots > 0)
    max_in_flight = share * SHARE_HEADROOM * YIELD_TARGET_FRACTION;
  return in->in_flight >= MAX (max_in_flight, 1);
}

static guint
get_search_start (CfTargetTable *t, guint n, const CfPickInput *in)
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
  guint from = get_search_start (t, n, in);
  Selection c = { 0 };

  for (guint i = 0; i < n; i++)
    add_candidate (&c, a->pdata[(from + i) % n], in);
  *out = NULL;
  if (c.n_usable == 0 && c.any_paused)
    return CF_PICK_PAUSED;
  if (is_at_total_limit (&c, in))
    return CF_PICK_FULL;
  *out = c.best;
  /* While at least half of the targets are healthy, waiting for a free slot at
   * one of them is better than using a degraded one. */
  if (!*out && c.n_healthy * 2 < c.n_open)
    *out = c.degraded;
  if (*out)
    return CF_PICK_OK;
  if (c.any_full || c.degraded)
    return CF_PICK_FULL;
  return c.any_limited ? CF_PICK_RATE_LIMITED : CF_PICK_NO_TARGET;
}

/* Returns the rate that this gateway may send @t; 0 if nothing limits it. */
static double
get_limited_rate (const CfTarget *t, const CfPickInput *in)
{
  gboolean is_cold = in->warmup_rule && in->warmup_rule->is_set
                     && cf_warmup_is_cold (&t->warmup, in->now_ms);
  double cold_share = 0;
  double share = 0;

  if (is_cold)
    cold_share = cf_warmup_share_per_s (in->warmup_rule, t->record.id,
                                        in->warmup_position);
  if (t->limit.per_s > 0)
    share = cf_rate_limit_share (&t->limit, t->record.id, in->fleet_position);
  if (is_cold && t->limit.per_s > 0)
    return MIN (share, cold_share);
  return is_cold ? cold_share : share;
}

double
cf_balancer_rate_limit_per_s (const CfTargetTable *t, const CfPickInput *in)
{
  const GPtrArray *a = cf_target_table_service (t, in->service);
  double sum = 0;

  for (guint i = 0; a && i < a->len; i++)
    {
      const CfTarget *one = a->pdata[i];

      if (!is_excluded (one, in) && cf_target_pause_ms (one, in->now_ms) == 0)
        sum += get_limited_rate (one, in);
    }
  return sum;
}

gboolean
cf_balancer_has_target (const CfTargetTable *t, const CfPickInput *in)
{
  const GPtrArray *a = cf_target_table_service (t, in->service);

  for (guint i = 0; a && i < a->len; i++)
    if (!is_excluded (a->pdata[i], in))
      return TRUE;
  return FALSE;
}

gint64
cf_balancer_pause_ms (const CfTargetTable *t, const CfPickInput *in)
{
  const GPtrArray *a = cf_target_table_service (t, in->service);
  gint64 first_ms = 0;

  for (guint i = 0; a && i < a->len; i++)
    {
      const CfTarget *one = a->pdata[i];
      gint64 ms = cf_target_pause_ms (one, in->now_ms);

      if (is_excluded (one, in))
        continue;
      if (ms == 0)
        return 0;
      first_ms = first_ms == 0 ? ms : MIN (first_ms, ms);
    }
  return first_ms;
}
