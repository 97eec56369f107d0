#include "service-share.h"

#include "ablation.h"
#include "log.h"

#include <math.h>
#include <string.h>

/** Interval between early hellos for a change of demand. */
#define EARLY_HELLO_MS 100
/** Demand has changed notably if it differs from what was last sent by this
 * fraction and this many slots: arrivals at random vary by less. */
#define NOTABLE_FRACTION 0.25
#define NOTABLE_SLOTS 3.0
/** Below this fraction of the capacity nothing has to be divided: no early
 * hellos, and demand is sent without organisations. */
#define BUSY_FRACTION 0.5
/** A seed may know of so many gateways more than the size of the fleet, which
 * this gateway learns later. */
#define RELAYED_EXCESS_MAX 2
/** Least time between two computations of a share. */
#define REFRESH_INTERVAL_MS 10
/** A pass limit is in force for this time after the last pass. */
#define PASS_LIMIT_TIMEOUT_MS 2000
/** E1221 is logged for a change of the share by this fraction, and at most once
 * in this time. */
#define LOGGED_CHANGE_FRACTION 0.2
#define LOG_INTERVAL_MS 500

/** NamedState: a service and its state. */
typedef struct
{
  const char *name;
  const CfServiceState *state;
} NamedState;

/* Whether a pass limit is in force.  Without passes there are no streams to
 * limit, and what limited earlier ones may be over. */
static gboolean
has_pass_limit (const CfGateway *g, const CfServiceState *s)
{
  return s->max_streams_per_rank > 0
         && cf_gateway_now (g) - s->pass_ms < PASS_LIMIT_TIMEOUT_MS;
}

/* Slots that are to be divided: those of all usable targets, or fewer if passes
 * would exceed the objective for pauses otherwise. */
static double
get_capacity (const CfGateway *g, const char *service, const CfServiceState *s)
{
  double slots = (double)cf_target_table_slots (&g->targets, service);
  guint n = cf_target_table_count_usable (&g->targets, service);

  return has_pass_limit (g, s) ? fmin (slots, s->max_streams_per_rank * n)
                               : slots;
}

/* Logs that a pass limit has lapsed, if it was logged as in force. */
static void
report_lapsed_pass_limit (const CfGateway *g, const char *service,
                          CfServiceState *s)
{
  if (!has_pass_limit (g, s) && cf_pass_limit_report (&s->pass_limit, 0))
    cf_log (LOG_NOTICE, CF_EV_PASS_LIMIT,
            "service=%s limit=0.0 slowness=%.2f ranks=%u", service,
            cf_pass_limit_slowness (&s->pass_limit, cf_gateway_now (g)),
            cf_target_table_count_usable (&g->targets, service));
}

static double
get_even_share (const CfGateway *g, double slots)
{
  return slots / MAX (g->fleet_size, 1);
}

/* The demand of this gateway and of those that it knows of, in slots. */
static double
get_fleet_demand (const CfServiceState *s)
{
  return cf_demand_table_total (&s->own_demand)
         + cf_demand_table_total (&s->others);
}

static void
log_share (const CfGateway *g, const char *service, CfServiceState *s)
{
  const CfShare *share = &s->share;
  gboolean toggled = share->contended != s->share_log.contended;
  double before = s->share_log.total;
  gint64 now = cf_gateway_now (g);

  if (!toggled
      && fabs (share->total - before)
             <= LOGGED_CHANGE_FRACTION * fmax (share->total, before))
    return;
  if (now - s->share_log.logged_ms < LOG_INTERVAL_MS
      || (!share->contended && !s->share_log.contended))
    return;
  s->share_log.logged_ms = now;
  s->share_log.total = share->total;
  s->share_log.contended = share->contended;
  cf_log (LOG_NOTICE, CF_EV_SHARE,
          "service=%s outcome=%s share=%.1f demand=%.1f fleet_demand=%.1f "
          "capacity=%.0f known=%u gateways=%u admitted=%" G_GINT64_FORMAT,
          service, share->contended ? "contended" : "free", share->total,
          cf_demand_table_total (&s->own_demand), get_fleet_demand (s),
          s->capacity, s->n_others, g->fleet_size, share->admitted_urgency);
}

/* Whether peers should hear of the demand @slots of this gateway, or of what it
 * relays, before the next hello.  Only seeds relay: they have links to all. */
static gboolean
is_notable (const CfGateway *g, const CfServiceState *s, double slots)
{
  double change = fabs (slots - s->demand_sent);
  double others
      = fmax (cf_demand_table_total (&s->others), s->fleet_demand.slots_sent);

  if (fmax (slots, s->demand_sent) + others <= BUSY_FRACTION * s->capacity)
    return FALSE;
  return (change > NOTABLE_SLOTS
          && change > NOTABLE_FRACTION * fmax (slots, s->demand_sent))
         || (cf_gateway_is_seed (g, g->settings.control_addr)
             && cf_fleet_demand_has_changed (&s->fleet_demand, NOTABLE_SLOTS,
                                             NOTABLE_FRACTION));
}

static CfShareBand
make_band (const CfGateway *g, const CfServiceState *s)
{
  CfShareBand b = { .total = s->share.total, .capacity = s->capacity };

  b.n_gateways = g->fleet_size;
  b.n_urgencies = s->share.n_urgencies;
  b.contended = s->share.contended;
  b.was_uneven = s->is_share_uneven;
  b.has_pass_limit = has_pass_limit (g, s);
  return b;
}

static void
update_service (CfGateway *g, const char *service, CfServiceState *s)
{
  CfShareInput in = { 0 };

  report_lapsed_pass_limit (g, service, s);
  s->capacity = get_capacity (g, service, s);
  cf_demand_meter_read (&s->demand, s->in_flight, s->queue.n,
                        cf_gateway_now (g), &s->own_demand);
  s->n_others = cf_fleet_demand_get_others (&s->fleet_demand,
                                            cf_gateway_now (g), &s->others);
  s->share_ms = cf_gateway_now (g);
  in.n_known = s->n_others;
  in.capacity = s->capacity;
  in.n_gateways = g->fleet_size;
  in.own = &s->own_demand;
  in.others = &s->others;
  cf_share_compute (&in, &s->share);
  s->is_share_uneven = cf_service_share_fraction (g, s) > 0;
  s->is_demand_notable
      = is_notable (g, s, cf_demand_table_total (&s->own_demand));
  log_share (g, service, s);
}

gboolean
cf_service_share_refresh (CfGateway *g, const char *service, CfServiceState *s)
{
  if (CF_WITHOUT_DEMAND_SHARES
      || cf_gateway_now (g) - s->share_ms < REFRESH_INTERVAL_MS)
    return FALSE;
  update_service (g, service, s);
  return TRUE;
}

/* Creates the states of services that this gateway has no requests for: without
 * one, it would not state that it has no demand. */
static void
create_states (CfGateway *g)
{
  GHashTableIter it;
  gpointer name;

  if (!g->policy)
    return;
  g_hash_table_iter_init (&it, g->policy->services);
  while (g_hash_table_iter_next (&it, &name, NULL))
    cf_gateway_service_state (g, name);
}

void
cf_service_share_update (CfGateway *g)
{
  GHashTableIter it;
  gpointer name;
  gpointer v;

  if (CF_WITHOUT_DEMAND_SHARES)
    return;
  create_states (g);
  g_hash_table_iter_init (&it, g->service_states);
  while (g_hash_table_iter_next (&it, &name, &v))
    {
      CfServiceState *s = v;

      if (!*(const char *)name)
        continue;
      update_service (g, name, s);
      if (s->is_demand_notable
          && cf_gateway_now (g) - g->demand_hello_ms >= EARLY_HELLO_MS)
        g->hello_is_due = TRUE;
    }
}

void
cf_service_share_hello_sent (CfGateway *g)
{
  GHashTableIter it;
  gpointer v;

  g->demand_hello_ms = cf_gateway_now (g);
  g_hash_table_iter_init (&it, g->service_states);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      CfServiceState *s = v;

      s->demand_sent = cf_demand_table_total (&s->own_demand);
      cf_fleet_demand_note_sent (&s->fleet_demand);
    }
}

static gboolean
is_busy (const CfServiceState *s)
{
  return get_fleet_demand (s) > BUSY_FRACTION * s->capacity;
}

/* The part of its capacity that the demand for a service is. */
static double
get_load (const CfServiceState *s)
{
  return get_fleet_demand (s) / fmax (s->capacity, 1);
}

static int
compare_loads (gconstpointer a, gconstpointer b)
{
  double x = get_load (((const NamedState *)a)->state);
  double y = get_load (((const NamedState *)b)->state);

  return (x < y) - (x > y);
}

/* Returns the services of the configuration, the busiest first.  Those without
 * demand are included: peers would take their demand for unknown. */
static GArray *
list_services (const CfGateway *g)
{
  GArray *a = g_array_new (FALSE, FALSE, sizeof (NamedState));
  GHashTableIter it;
  gpointer name;
  gpointer v;

  g_hash_table_iter_init (&it, g->service_states);
  while (g_hash_table_iter_next (&it, &name, &v))
    {
      const NamedState n = { name, v };

      if (g->policy && cf_policy_service (g->policy, name))
        g_array_append_val (a, n);
    }
  g_array_sort (a, compare_loads);
  return a;
}

static CfPeerDemand
make_demand (const NamedState *n, const char *recipient)
{
  const CfServiceState *s = n->state;
  CfPeerDemand d = { .own = s->own_demand };

  d.service.data = n->name;
  d.service.n = strlen (n->name);
  d.n_others
      = cf_fleet_demand_sum_direct (&s->fleet_demand, recipient, &d.others);
  if (!is_busy (s))
    {
      cf_demand_table_merge_orgs (&d.own);
      cf_demand_table_merge_orgs (&d.others);
    }
  return d;
}

GArray *
cf_service_share_collect (const CfGateway *g, const char *recipient)
{
  GArray *a = g_array_new (FALSE, TRUE, sizeof (CfPeerDemand));
  GArray *services = list_services (g);

  for (guint i = 0;
       !CF_WITHOUT_DEMAND_SHARES && i < services->len && i < CF_PEER_DEMAND_MAX;
       i++)
    {
      CfPeerDemand d
          = make_demand (&g_array_index (services, NamedState, i), recipient);

      g_array_append_val (a, d);
    }
  g_array_unref (services);
  return a;
}

/* The most that a table of a peer may state: what cannot be demand is an error
 * of the sender.  Demand may exceed the slots by far in an overload. */
static double
get_max_demand (const CfServiceState *s)
{
  return 100 * fmax (s->capacity, 100);
}

/* Logs why what @peer has stated is not used. */
static void
report_result (CfGateway *g, const char *peer, CfFleetDemandResult result)
{
  if (result == CF_FLEET_DEMAND_ERRATIC)
    cf_gateway_drop_reading (g, CF_READING_SERVICE_DEMAND, peer,
                             "demand differs in each message");
  if (result == CF_FLEET_DEMAND_TOO_MANY)
    cf_gateway_drop_reading (g, CF_READING_SERVICE_DEMAND, peer,
                             "too many gateways state demand");
}

static void
take_relayed (CfGateway *g, CfServiceState *s, const CfPeerDemand *d,
              const char *peer)
{
  if (d->n_others > g->fleet_size + RELAYED_EXCESS_MAX)
    {
      cf_gateway_drop_reading (g, CF_READING_SERVICE_DEMAND, peer,
                               "sum covers more gateways than the fleet has");
      return;
    }
  report_result (g, peer,
                 cf_fleet_demand_put_relayed (&s->fleet_demand, peer,
                                              d->n_others, &d->others,
                                              cf_gateway_now (g)));
}

static void
take_service (CfGateway *g, CfServiceState *s, const CfPeerDemand *d,
              const char *peer)
{
  double max = get_max_demand (s);

  if (!cf_demand_table_is_valid (&d->own, max)
      || !cf_demand_table_is_valid (&d->others, max))
    {
      cf_gateway_drop_reading (g, CF_READING_SERVICE_DEMAND, peer,
                               "demand is out of range");
      cf_fleet_demand_remove (&s->fleet_demand, peer);
      return;
    }
  report_result (g, peer,
                 cf_fleet_demand_put_direct (&s->fleet_demand, peer, &d->own,
                                             cf_gateway_now (g)));
  take_relayed (g, s, d, peer);
}

void
cf_service_share_take (CfGateway *g, const GArray *demand, const char *peer)
{
  for (guint i = 0; demand && i < demand->len; i++)
    {
      const CfPeerDemand *d = &g_array_index (demand, CfPeerDemand, i);
      g_autofree char *name = g_strndup (d->service.data, d->service.n);

      /* A service that is not configured would only take memory. */
      if (g->policy && cf_policy_service (g->policy, name))
        take_service (g, cf_gateway_service_state (g, name), d, peer);
    }
}

void
cf_service_share_forget (CfGateway *g, const char *peer)
{
  GHashTableIter it;
  gpointer v;

  g_hash_table_iter_init (&it, g->service_states);
  while (g_hash_table_iter_next (&it, NULL, &v))
    cf_fleet_demand_remove (&((CfServiceState *)v)->fleet_demand, peer);
}

double
cf_service_share_fraction (const CfGateway *g, const CfServiceState *s)
{
  const CfShareBand b = make_band (g, s);

  return cf_share_fraction (&b);
}

double
cf_service_share_max_total (const CfGateway *g, const CfServiceState *s)
{
  const CfShareBand b = make_band (g, s);

  return cf_share_max_total (&b);
}

double
cf_service_share_slots (const CfGateway *g, const CfServiceState *s,
                        gint64 slots)
{
  double fraction = cf_service_share_fraction (g, s);

  return fraction > 0 ? fraction * (double)slots
                      : get_even_share (g, (double)slots);
}

static void
print_gauge (GString *out, const char *name, const char *service, double value)
{
  g_string_append_printf (out, "comfrey_%s{service=\"%s\"} %g\n", name, service,
                          value);
}

void
cf_service_share_print_metrics (const CfGateway *g, GString *out)
{
  GHashTableIter it;
  gpointer name;
  gpointer v;

  g_string_append (out, "# TYPE comfrey_demand_slots gauge\n"
                        "# TYPE comfrey_fleet_demand_slots gauge\n"
                        "# TYPE comfrey_share_slots gauge\n"
                        "# TYPE comfrey_contended gauge\n"
                        "# TYPE comfrey_pass_limit_slots gauge\n");
  g_hash_table_iter_init (&it, g->service_states);
  while (g_hash_table_iter_next (&it, &name, &v))
    {
      const CfServiceState *s = v;

      if (!*(const char *)name)
        continue;
      print_gauge (out, "demand_slots", name,
                   cf_demand_table_total (&s->own_demand));
      print_gauge (out, "fleet_demand_slots", name, get_fleet_demand (s));
      print_gauge (out, "share_slots", name, s->share.total);
      print_gauge (out, "contended", name, s->share.contended);
      print_gauge (out, "pass_limit_slots", name,
                   has_pass_limit (g, s) ? s->capacity : 0);
    }
}
