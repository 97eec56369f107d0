#include "balancer.h"

#include <math.h>
#include <string.h>

/** Of an even part of a target's slots, what a gateway may use. */
#define SHARE_MORE 1.25

/** How a target may be used for a request. */
typedef enum
{
  USE_NO,    /**< leaving, or it had the request already */
  USE_FULL,  /**< no room for it now */
  USE_GUESS, /**< ejected: only when nothing better is left */
  USE_YES,
} Use;

guint
cf_balancer_share (gint64 slots, gint64 max_conns, guint fleet)
{
  double part = (double)slots * SHARE_MORE / MAX (fleet, 1);
  double conns = floor ((double)max_conns / MAX (fleet, 1));

  if (max_conns > 0)
    part = MIN (part, conns);
  return (guint)MAX (ceil (part), 1);
}

static gboolean
was_tried (const GPtrArray *tried, const CfTarget *t)
{
  return tried && g_ptr_array_find ((GPtrArray *)tried, t, NULL);
}

static Use
use_of (const CfTarget *t, const CfPickInput *in)
{
  if (t->record.leaving || t->replaced || was_tried (in->tried, t))
    return USE_NO;
  if (t->in_flight
          >= cf_balancer_share (t->record.slots, in->max_conns, in->fleet)
      || in->now_ms < t->full_until_ms)
    return USE_FULL;
  return cf_outlier_ejected (&t->outlier, in->now_ms) ? USE_GUESS : USE_YES;
}

/* Load with the request, in 1/1024 slots of a target at its usual pace; one
 * less in our own data centre to break ties. */
static guint
load_of (const CfTarget *t, const CfPickInput *in)
{
  double share = (t->in_flight + 1) * t->pace / (double)t->record.slots;
  guint load = (guint)(share * 1024) * 2 + 1;

  if (in->data_centre && t->record.data_centre
      && strcmp (in->data_centre, t->record.data_centre) == 0)
    load--;
  return load;
}

CfPickWhy
cf_balancer_pick (CfTargetTable *t, const CfPickInput *in, CfTarget **out)
{
  const GPtrArray *a = cf_target_table_service (t, in->service);
  guint n = a ? a->len : 0;
  guint turn = t->turn++;
  Use best_use = USE_NO;
  guint best_load = 0;

  *out = NULL;
  for (guint i = 0; i < n; i++)
    {
      CfTarget *c = a->pdata[(turn + i) % n];
      Use use = use_of (c, in);
      guint load = load_of (c, in);

      if (use < best_use || (use == best_use && *out && load >= best_load))
        continue;
      best_use = use;
      best_load = load;
      *out = use >= USE_GUESS ? c : NULL;
    }
  if (*out)
    return CF_PICK_OK;
  return best_use == USE_FULL ? CF_PICK_FULL : CF_PICK_NO_TARGET;
}
