#include "service-retries.h"

#include "log.h"

#include <math.h>
#include <string.h>

/** Part of the fleet's retry allowance that the gateways use together.  The
 * rest covers seeds that started cut off from their peers, and attempts that
 * arrive later than they were sent. */
#define FLEET_FRACTION 0.8
/** Part of the slack that a seed uses that has started and not heard from any
 * peer.  It covers two of them, beside the others that share as usual. */
#define LONE_SEED_FRACTION 0.1
/** A fleet that seems to shrink is taken for its former size for this long: the
 * gateways that are not heard any more may only be cut off, and go on using
 * their shares. */
#define FLEET_SIZE_MEMORY_MS 600000
/** A budget that is this full reserves tokens for a successor; one from which
 * retries are being taken does not reserve more than before. */
#define FULL_FRACTION 0.9
/** Part of its tokens that a running gateway reserves. */
#define RESERVED_FRACTION 0.5

static guint
count_other_seeds (const CfGateway *g)
{
  guint n = 0;

  for (char **s = g->settings.seed_addrs; s && *s; s++)
    n += g_strcmp0 (*s, g->settings.control_addr) != 0;
  return n;
}

static void
update_fleet_size_max (CfGateway *g)
{
  CfFleetRetries *r = &g->retries;
  gint64 now = cf_gateway_now (g);

  if (g->fleet_size < r->fleet_size_max
      && now - r->fleet_size_max_ms < FLEET_SIZE_MEMORY_MS)
    return;
  r->fleet_size_max = g->fleet_size;
  r->fleet_size_max_ms = now;
}

/* Returns this gateway's share of the slack.  One that has never heard from a
 * peer does not know how many others there are. */
static double
compute_share (const CfGateway *g)
{
  double slack = (double)g->settings.retry_slack;

  if (count_other_seeds (g) > 0 && !g->has_peer_fleet)
    return cf_gateway_is_seed (g, g->settings.control_addr)
               ? slack * LONE_SEED_FRACTION
               : 0;
  return slack * FLEET_FRACTION / MAX (g->retries.fleet_size_max, 1);
}

/* A gateway without a share may still save up a token for its requests. */
static gint64
get_capacity (const CfGateway *g)
{
  return (gint64)MAX (g->retries.share, 1);
}

void
cf_service_retries_start (CfGateway *g)
{
  CfFleetRetries *r = &g->retries;

  r->run = ((gint64)g_random_int () << 31) | (g_random_int () >> 1) | 1;
  r->stated = cf_retry_reserve_list_new ();
  r->to_pass_on = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                         (GDestroyNotify)g_array_unref);
  if (cf_gateway_is_seed (g, g->settings.control_addr))
    r->ledger = cf_retry_ledger_new ();
  update_fleet_size_max (g);
  r->share = compute_share (g);
}

void
cf_service_retries_clear (CfGateway *g)
{
  CfFleetRetries *r = &g->retries;

  g_clear_pointer (&r->stated, g_array_unref);
  g_clear_pointer (&r->to_pass_on, g_hash_table_destroy);
  g_clear_pointer (&r->ledger, cf_retry_ledger_free);
  cf_retry_inheritance_clear (&r->inheritance);
}

static void
log_tokens (const CfGateway *g, const char *service, CfServiceState *s,
            const char *outcome, double granted)
{
  cf_log (LOG_NOTICE, CF_EV_RETRY_BUDGET,
          "service=%s outcome=%s granted=%.1f tokens=%.1f capacity=%.0f "
          "gateways=%u",
          service, outcome, granted, cf_retry_budget_tokens (&s->budget),
          s->budget.max, g->retries.fleet_size_max);
}

/* Adds tokens up to the share of this gateway. */
static void
grant (const CfGateway *g, const char *service, CfServiceState *s,
       double tokens, const char *outcome)
{
  double granted
      = cf_retry_budget_grant (&s->budget, tokens, floor (g->retries.share));

  if (granted > 0 && *service)
    log_tokens (g, service, s, outcome, granted);
}

/* Whether nothing that a predecessor spent is in the window any more. */
static gboolean
is_window_over (const CfGateway *g)
{
  return cf_gateway_now (g) - g->started_ms >= g->settings.retry_window_ms;
}

void
cf_service_retries_init (CfGateway *g, const char *service, CfServiceState *s)
{
  cf_retry_budget_init_empty (
      &s->budget, (gint64)(g->settings.retry_ratio * FLEET_FRACTION * 100),
      get_capacity (g));
  if (*service)
    log_tokens (g, service, s, "start", 0);
  if (is_window_over (g))
    grant (g, service, s, g->retries.share, "window-over");
}

static void
update_share (CfGateway *g)
{
  GHashTableIter it;
  gpointer s;
  double share;

  update_fleet_size_max (g);
  share = compute_share (g);
  if (share == g->retries.share)
    return;
  g->retries.share = share;
  g_hash_table_iter_init (&it, g->service_states);
  while (g_hash_table_iter_next (&it, NULL, &s))
    cf_retry_budget_set_slack (&((CfServiceState *)s)->budget,
                               get_capacity (g));
}

/* Until a peer has been heard, the share may still grow. */
static void
grant_withheld (CfGateway *g)
{
  GHashTableIter it;
  gpointer name;
  gpointer s;

  if (g->retries.is_complete || !is_window_over (g))
    return;
  g->retries.is_complete = g->has_peer_fleet || count_other_seeds (g) == 0;
  g_hash_table_iter_init (&it, g->service_states);
  while (g_hash_table_iter_next (&it, &name, &s))
    grant (g, name, s, g->retries.share, "window-over");
}

/* Returns the tokens to reserve at a service. */
static double
get_wanted_reserve (const CfGateway *g, CfServiceState *s)
{
  double tokens = cf_retry_budget_tokens (&s->budget);
  double part = floor (tokens * RESERVED_FRACTION);

  if (g->stopping)
    return floor (MAX (tokens - g->n_exchanges, 0));
  return tokens >= FULL_FRACTION * s->budget.max ? part
                                                 : MIN (s->reserve.bound, part);
}

static double
get_stated_reserve (const CfServiceState *s)
{
  return s->reserve.pending_seq ? s->reserve.pending : s->reserve.bound;
}

/* Whether seeds should be told at once that less is reserved, so that it can be
 * spent. */
static gboolean
is_reserve_too_large (const CfGateway *g)
{
  GHashTableIter it;
  gpointer s;

  g_hash_table_iter_init (&it, g->service_states);
  while (g_hash_table_iter_next (&it, NULL, &s))
    if (get_stated_reserve (s) - get_wanted_reserve (g, s) >= 1)
      return TRUE;
  return FALSE;
}

static gboolean
has_reserve_changed (const CfGateway *g)
{
  GHashTableIter it;
  gpointer s;

  g_hash_table_iter_init (&it, g->service_states);
  while (g_hash_table_iter_next (&it, NULL, &s))
    if (get_stated_reserve (s) != get_wanted_reserve (g, s))
      return TRUE;
  return FALSE;
}

/* A service without a reserve need not be stated.  One that does not fit keeps
 * the bound that it has, if any. */
static void
state_reserve (CfGateway *g, const char *service, CfServiceState *s)
{
  double wanted = get_wanted_reserve (g, s);

  if ((wanted == 0 && s->reserve.bound == 0)
      || g->retries.stated->len >= CF_PEER_RETRIES_MAX)
    return;
  cf_retry_reserve_state (&s->reserve, wanted, g->retries.seq);
  cf_retry_budget_set_reserve (&s->budget, s->reserve.bound);
  cf_retry_reserve_list_add (g->retries.stated, service, wanted);
}

void
cf_service_retries_state (CfGateway *g)
{
  GHashTableIter it;
  gpointer name;
  gpointer s;

  /* Only other seeds can pass a reserve on. */
  if (count_other_seeds (g) == 0 || !has_reserve_changed (g))
    return;
  g->retries.seq++;
  g_array_set_size (g->retries.stated, 0);
  g_hash_table_iter_init (&it, g->service_states);
  while (g_hash_table_iter_next (&it, &name, &s))
    state_reserve (g, name, s);
}

gboolean
cf_service_retries_is_ack_needed (const CfGateway *g)
{
  GHashTableIter it;
  gpointer s;

  g_hash_table_iter_init (&it, g->service_states);
  while (g_hash_table_iter_next (&it, NULL, &s))
    if (((CfServiceState *)s)->reserve.pending_seq)
      return TRUE;
  return FALSE;
}

static void
acknowledge (CfGateway *g, gint64 seq)
{
  GHashTableIter it;
  gpointer v;

  g_hash_table_iter_init (&it, g->service_states);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      CfServiceState *s = v;

      cf_retry_reserve_acknowledge (&s->reserve, seq);
      cf_retry_budget_set_reserve (&s->budget, s->reserve.bound);
    }
}

GArray *
cf_service_retries_steal_inherited (CfGateway *g, const char *recipient)
{
  GArray *items = NULL;
  gpointer addr;

  if (!recipient
      || !g_hash_table_steal_extended (g->retries.to_pass_on, recipient, &addr,
                                       (gpointer *)&items))
    return NULL;
  g_free (addr);
  return items;
}

GArray *
cf_service_retries_pack (const GArray *items)
{
  GArray *a = g_array_new (FALSE, TRUE, sizeof (CfPeerRetryReserve));

  for (guint i = 0; items && i < items->len; i++)
    {
      const CfRetryReserveItem *item
          = &g_array_index (items, CfRetryReserveItem, i);
      CfPeerRetryReserve r = { .service.data = item->service };

      r.service.n = strlen (item->service);
      r.thousandths = (gint64)(item->tokens * CF_PEER_THOUSANDTHS);
      g_array_append_val (a, r);
    }
  return a;
}

static GArray *
unpack (const GArray *reserves)
{
  GArray *items = cf_retry_reserve_list_new ();

  for (guint i = 0; reserves && i < reserves->len; i++)
    {
      const CfPeerRetryReserve *r
          = &g_array_index (reserves, CfPeerRetryReserve, i);
      g_autofree char *service = g_strndup (r->service.data, r->service.n);

      cf_retry_reserve_list_add (items, service,
                                 (double)r->thousandths / CF_PEER_THOUSANDTHS);
    }
  return items;
}

/* Seeds keep what a gateway reserves, and pass on what its predecessor had
 * reserved.  Returns whether there is something to pass on. */
static gboolean
put_in_ledger (CfGateway *g, const char *peer, const CfPeerRetries *r)
{
  GArray *former;

  if (!g->retries.ledger || r->run == 0 || !*peer)
    return FALSE;
  former = cf_retry_ledger_put (g->retries.ledger, peer, r->run, r->seq,
                                unpack (r->reserves), cf_gateway_now (g));
  if (!former)
    return FALSE;
  g_hash_table_replace (g->retries.to_pass_on, g_strdup (peer), former);
  return former->len > 0;
}

static void
take_inherited (CfGateway *g, const char *seed, const GArray *reserves)
{
  CfRetryInheritance *i = &g->retries.inheritance;
  GArray *items;

  if (!reserves || reserves->len == 0 || g->retries.is_complete)
    return;
  update_share (g);
  items = unpack (reserves);
  if (cf_retry_inheritance_add (i, seed, items, count_other_seeds (g)))
    for (guint n = 0; n < i->smallest->len; n++)
      {
        const CfRetryReserveItem *item
            = &g_array_index (i->smallest, CfRetryReserveItem, n);

        if (!g->policy || cf_policy_service (g->policy, item->service))
          grant (g, item->service, cf_gateway_service_state (g, item->service),
                 item->tokens, "inherited");
      }
  g_array_unref (items);
}

gboolean
cf_service_retries_take (CfGateway *g, const char *peer, const CfPeerRetries *r)
{
  if (cf_gateway_is_seed (g, peer))
    {
      if (r->ack == g->retries.seq)
        acknowledge (g, r->ack);
      take_inherited (g, peer, r->inherited);
    }
  return put_in_ledger (g, peer, r);
}

static void
log_window (const CfGateway *g, const char *service, CfServiceState *s,
            const CfRetryCounts *c)
{
  GString *causes = g_string_new (NULL);

  for (guint i = 0; i < CF_N_RETRY_CAUSES; i++)
    g_string_append_printf (causes, " %s=%" G_GUINT64_FORMAT,
                            cf_retry_cause_name (i), c->repeats[i]);
  cf_log (LOG_NOTICE, CF_EV_RETRY_BUDGET,
          "service=%s outcome=window window_ms=%" G_GINT64_FORMAT
          " first=%" G_GUINT64_FORMAT " repeats=%" G_GUINT64_FORMAT
          "%s denied=%" G_GUINT64_FORMAT
          " tokens=%.1f capacity=%.0f gateways=%u",
          service, g->settings.retry_window_ms, c->first,
          cf_retry_counts_repeats (c), causes->str, c->denied,
          cf_retry_budget_tokens (&s->budget), s->budget.max,
          g->retries.fleet_size_max);
  g_string_free (causes, TRUE);
}

void
cf_service_retries_tick (CfGateway *g)
{
  GHashTableIter it;
  gpointer name;
  gpointer v;

  update_share (g);
  grant_withheld (g);
  if (is_reserve_too_large (g))
    {
      cf_service_retries_state (g);
      g->retries.is_due = TRUE;
    }
  g_hash_table_iter_init (&it, g->service_states);
  while (g_hash_table_iter_next (&it, &name, &v))
    {
      CfServiceState *s = v;
      CfRetryCounts ended;

      if (cf_retry_record_end_window (&s->retries, g->settings.retry_window_ms,
                                      cf_gateway_now (g), &ended))
        log_window (g, name, s, &ended);
    }
}

static void
print_counter (GString *out, const char *name, const char *service,
               guint64 value)
{
  g_string_append_printf (out,
                          "comfrey_%s_total{service=\"%s\"} "
                          "%" G_GUINT64_FORMAT "\n",
                          name, service, value);
}

static void
print_gauge (GString *out, const char *suffix, const char *service,
             double value)
{
  g_string_append_printf (out, "comfrey_retry_tokens%s{service=\"%s\"} %g\n",
                          suffix, service, value);
}

static void
print_service (GString *out, const char *service, CfServiceState *s)
{
  const CfRetryCounts *c = &s->retries.total;

  print_counter (out, "first_attempts", service, c->first);
  print_counter (out, "retries_denied", service, c->denied);
  print_gauge (out, "", service, cf_retry_budget_tokens (&s->budget));
  print_gauge (out, "_reserved", service, s->reserve.bound);
  print_gauge (out, "_max", service, s->budget.max);
  for (guint i = 0; i < CF_N_RETRY_CAUSES; i++)
    g_string_append_printf (out,
                            "comfrey_repeated_attempts_total{service=\"%s\","
                            "cause=\"%s\"} %" G_GUINT64_FORMAT "\n",
                            service, cf_retry_cause_name (i), c->repeats[i]);
}

void
cf_service_retries_print_metrics (const CfGateway *g, GString *out)
{
  GHashTableIter it;
  gpointer name;
  gpointer v;

  g_string_append (out, "# TYPE comfrey_first_attempts_total counter\n"
                        "# TYPE comfrey_repeated_attempts_total counter\n"
                        "# TYPE comfrey_retries_denied_total counter\n"
                        "# TYPE comfrey_retry_tokens gauge\n"
                        "# TYPE comfrey_retry_tokens_reserved gauge\n"
                        "# TYPE comfrey_retry_tokens_max gauge\n");
  g_hash_table_iter_init (&it, g->service_states);
  while (g_hash_table_iter_next (&it, &name, &v))
    if (*(const char *)name)
      print_service (out, name, v);
}
