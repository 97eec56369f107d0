#include "report-contention.h"

#include "log-line.h"

#include <string.h>

#define NO_ADMITTED_LEVEL G_MAXINT64

/** RequestClass: what the lines of a request say of it before it ends. */
typedef struct
{
  char *service; /**< (nullable) */
  char *org;     /**< (nullable) */
  char *urgency; /**< (nullable) */
} RequestClass;

static void
request_class_free (gpointer p)
{
  RequestClass *k = p;

  g_free (k->service);
  g_free (k->org);
  g_free (k->urgency);
  g_free (k);
}

void
cf_report_contention_init (CfReportContention *c)
{
  c->requests = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                       request_class_free);
  c->classes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  c->shares = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  c->returns = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  c->pass_limits
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
cf_report_contention_clear (CfReportContention *c)
{
  g_hash_table_destroy (c->requests);
  g_hash_table_destroy (c->classes);
  g_hash_table_destroy (c->shares);
  g_hash_table_destroy (c->returns);
  g_hash_table_destroy (c->pass_limits);
}

/* Sets @field to that of the line if the line has it. */
static void
learn_field (char **field, const char *event, const char *name)
{
  char *value = cf_log_line_field (event, name);

  if (!value)
    return;
  g_free (*field);
  *field = value;
}

/* Takes what a line says of the class of its request. */
static void
learn_class (CfReportContention *c, const char *event)
{
  g_autofree char *id = cf_log_line_field (event, "id");
  RequestClass *k;

  if (!id)
    return;
  k = g_hash_table_lookup (c->requests, id);
  if (!k)
    {
      k = g_new0 (RequestClass, 1);
      g_hash_table_insert (c->requests, g_strdup (id), k);
    }
  learn_field (&k->service, event, "service");
  learn_field (&k->org, event, "org");
  learn_field (&k->urgency, event, "priority");
}

static const char *
or_dash (const char *text)
{
  return text ? text : "-";
}

/* Returns the counts of a request's class, "-" for what no line says. */
static CfClassCount *
get_class (CfReportContention *c, const char *gateway, const RequestClass *k)
{
  g_autofree char *key = g_strdup_printf (
      "%s %s %s %s", gateway, or_dash (k ? k->service : NULL),
      or_dash (k ? k->org : NULL), or_dash (k ? k->urgency : NULL));
  CfClassCount *n = g_hash_table_lookup (c->classes, key);

  if (!n)
    {
      n = g_new0 (CfClassCount, 1);
      g_hash_table_insert (c->classes, g_steal_pointer (&key), n);
    }
  return n;
}

static void
add_answer (CfReportContention *c, const char *gateway, const char *event)
{
  g_autofree char *id = cf_log_line_field (event, "id");
  g_autofree char *outcome = cf_log_line_field (event, "outcome");
  g_autofree char *reason = cf_log_line_field (event, "reason");
  const RequestClass *k;

  if (!id)
    return;
  k = g_hash_table_lookup (c->requests, id);
  if (g_strcmp0 (outcome, "refused") == 0)
    {
      CfClassCount *n = get_class (c, gateway, k);

      n->refused++;
      n->more_urgent += g_strcmp0 (reason, "more-urgent-waits") == 0;
      n->queue_full += g_strcmp0 (reason, "queue-full") == 0;
      n->no_room += g_strcmp0 (reason, "no-room") == 0
                    || g_strcmp0 (reason, "no-room-in-time") == 0;
    }
  else if (g_strcmp0 (outcome, "success") == 0)
    get_class (c, gateway, k)->answered++;
  g_hash_table_remove (c->requests, id);
}

/* Returns the key "gateway service" of a line. */
static char *
make_service_key (const char *gateway, const char *event)
{
  g_autofree char *service = cf_log_line_field (event, "service");

  return g_strdup_printf ("%s %s", gateway, or_dash (service));
}

static CfShareSummary *
get_share (CfReportContention *c, const char *gateway, const char *event)
{
  g_autofree char *key = make_service_key (gateway, event);
  CfShareSummary *s = g_hash_table_lookup (c->shares, key);

  if (!s)
    {
      s = g_new0 (CfShareSummary, 1);
      s->min_slots = G_MAXDOUBLE;
      s->min_known = G_MAXUINT;
      s->min_admitted = NO_ADMITTED_LEVEL;
      g_hash_table_insert (c->shares, g_steal_pointer (&key), s);
    }
  return s;
}

static void
add_share (CfReportContention *c, const char *gateway, const char *event)
{
  CfShareSummary *s = get_share (c, gateway, event);
  g_autofree char *outcome = cf_log_line_field (event, "outcome");
  g_autofree char *admitted = cf_log_line_field (event, "admitted");
  gboolean contended = g_strcmp0 (outcome, "contended") == 0;
  double fleet = cf_log_line_number (event, "fleet_demand", 0);

  s->changes++;
  s->contended += contended;
  s->last_slots = cf_log_line_number (event, "share", 0);
  s->min_slots = MIN (s->min_slots, s->last_slots);
  s->max_slots = MAX (s->max_slots, s->last_slots);
  s->max_demand = MAX (s->max_demand, cf_log_line_number (event, "demand", 0));
  s->max_fleet_demand = MAX (s->max_fleet_demand, fleet);
  s->capacity = cf_log_line_number (event, "capacity", 0);
  s->min_known
      = MIN (s->min_known, (guint)cf_log_line_number (event, "known", 0));
  s->max_gateways
      = MAX (s->max_gateways, (guint)cf_log_line_number (event, "gateways", 0));
  /* Without contention all levels are admitted. */
  if (contended && admitted && g_ascii_isdigit (admitted[0]))
    s->min_admitted
        = MIN (s->min_admitted, g_ascii_strtoll (admitted, NULL, 10));
}

static CfReturnCount *
get_returns (CfReportContention *c, const char *gateway)
{
  CfReturnCount *n = g_hash_table_lookup (c->returns, gateway);

  if (!n)
    {
      n = g_new0 (CfReturnCount, 1);
      g_hash_table_insert (c->returns, g_strdup (gateway), n);
    }
  return n;
}

static void
add_return (CfReportContention *c, const char *gateway, const char *event)
{
  CfReturnCount *n = get_returns (c, gateway);
  g_autofree char *outcome = cf_log_line_field (event, "outcome");
  double told_ms = cf_log_line_number (event, "return_ms", -1);

  n->due += g_strcmp0 (outcome, "due") == 0;
  n->early += g_strcmp0 (outcome, "early") == 0;
  if (told_ms < 0)
    return;
  n->told++;
  n->told_ms += (guint64)told_ms;
  n->max_told_ms = MAX (n->max_told_ms, (guint64)told_ms);
}

static void
add_pass_limit (CfReportContention *c, const char *gateway, const char *event)
{
  g_autofree char *key = make_service_key (gateway, event);
  CfPassLimitSummary *s = g_hash_table_lookup (c->pass_limits, key);
  double limit = cf_log_line_number (event, "limit", 0);

  if (!s)
    {
      s = g_new0 (CfPassLimitSummary, 1);
      g_hash_table_insert (c->pass_limits, g_steal_pointer (&key), s);
    }
  s->changes++;
  s->last_slots = limit;
  /* 0: the limit was lifted. */
  if (limit > 0 && (s->min_slots == 0 || limit < s->min_slots))
    s->min_slots = limit;
}

void
cf_report_contention_add (CfReportContention *c, const char *gateway,
                          const char *event)
{
  if (g_str_has_prefix (event, "E1203 ") || g_str_has_prefix (event, "E1204 ")
      || g_str_has_prefix (event, "E1210 "))
    learn_class (c, event);
  else if (g_str_has_prefix (event, "E1205 "))
    add_answer (c, gateway, event);
  else if (g_str_has_prefix (event, "E1221 "))
    add_share (c, gateway, event);
  else if (g_str_has_prefix (event, "E1223 "))
    add_pass_limit (c, gateway, event);
  else if (g_str_has_prefix (event, "E1222 "))
    {
      learn_class (c, event);
      add_return (c, gateway, event);
    }
}

void
cf_report_contention_end_log (CfReportContention *c)
{
  g_hash_table_remove_all (c->requests);
}

static GList *
sorted_keys (GHashTable *t)
{
  return g_list_sort (g_hash_table_get_keys (t), (GCompareFunc)strcmp);
}

/* Whether any request was refused. */
static gboolean
has_refusals (const CfReportContention *c)
{
  GHashTableIter it;
  gpointer n;

  g_hash_table_iter_init (&it, c->classes);
  while (g_hash_table_iter_next (&it, NULL, &n))
    if (((const CfClassCount *)n)->refused > 0)
      return TRUE;
  return FALSE;
}

/* Prints the classes of requests: those that were refused, and those that were
 * answered instead. */
static void
print_classes (const CfReportContention *c, GString *out)
{
  g_autoptr (GList) keys = sorted_keys (c->classes);

  if (!has_refusals (c))
    return;
  g_string_append (out, "\nanswered and refused, by gateway, service, "
                        "organisation and urgency (-: not logged)\n"
                        "answered refused more-urgent queue-full no-room\n");
  for (GList *k = keys; k; k = k->next)
    {
      const CfClassCount *n = g_hash_table_lookup (c->classes, k->data);

      g_string_append_printf (out, "%8u %7u %11u %10u %7u  %s\n", n->answered,
                              n->refused, n->more_urgent, n->queue_full,
                              n->no_room, (const char *)k->data);
    }
}

static void
print_shares (const CfReportContention *c, GString *out)
{
  g_autoptr (GList) keys = sorted_keys (c->shares);

  if (keys)
    g_string_append (out,
                     "\nshares in slots, by gateway and service\n"
                     " changes contend   share  lowest highest  demand   fleet "
                     "capacity known gateways admitted\n");
  for (GList *k = keys; k; k = k->next)
    {
      const CfShareSummary *s = g_hash_table_lookup (c->shares, k->data);
      g_autofree char *admitted
          = s->min_admitted == NO_ADMITTED_LEVEL
                ? g_strdup ("-")
                : g_strdup_printf ("%" G_GINT64_FORMAT, s->min_admitted);

      g_string_append_printf (
          out, "%8u %7u %7.1f %7.1f %7.1f %7.1f %7.1f %8.1f %5u %8u %8s  %s\n",
          s->changes, s->contended, s->last_slots, s->min_slots, s->max_slots,
          s->max_demand, s->max_fleet_demand, s->capacity, s->min_known,
          s->max_gateways, admitted, (const char *)k->data);
    }
}

static void
print_returns (const CfReportContention *c, GString *out)
{
  g_autoptr (GList) keys = sorted_keys (c->returns);

  if (keys)
    g_string_append (out, "\ncallers told when to return, and callers that "
                          "returned, by gateway\n"
                          "    told mean-ms  max-ms     due   early\n");
  for (GList *k = keys; k; k = k->next)
    {
      const CfReturnCount *n = g_hash_table_lookup (c->returns, k->data);

      g_string_append_printf (
          out,
          "%8u %7" G_GUINT64_FORMAT " %7" G_GUINT64_FORMAT " %7u %7u  %s\n",
          n->told, n->told_ms / MAX (n->told, 1), n->max_told_ms, n->due,
          n->early, (const char *)k->data);
    }
}

static void
print_pass_limits (const CfReportContention *c, GString *out)
{
  g_autoptr (GList) keys = sorted_keys (c->pass_limits);

  if (keys)
    g_string_append (out, "\npass limits in slots, by gateway and service "
                          "(0: none)\n"
                          " changes   limit  lowest\n");
  for (GList *k = keys; k; k = k->next)
    {
      const CfPassLimitSummary *s
          = g_hash_table_lookup (c->pass_limits, k->data);

      g_string_append_printf (out, "%8u %7.1f %7.1f  %s\n", s->changes,
                              s->last_slots, s->min_slots,
                              (const char *)k->data);
    }
}

void
cf_report_contention_print (const CfReportContention *c, GString *out)
{
  print_classes (c, out);
  print_shares (c, out);
  print_returns (c, out);
  print_pass_limits (c, out);
}
