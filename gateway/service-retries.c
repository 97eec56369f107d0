#include "service-retries.h"

#include "log.h"

void
cf_service_retries_log_start (const CfGateway *g, const char *service,
                              CfServiceState *s)
{
  cf_log (LOG_NOTICE, CF_EV_RETRY_BUDGET,
          "service=%s outcome=start tokens=%.1f capacity=%.0f gateways=%u",
          service, cf_retry_budget_tokens (&s->budget), s->budget.max,
          g->fleet_size);
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
          cf_retry_budget_tokens (&s->budget), s->budget.max, g->fleet_size);
  g_string_free (causes, TRUE);
}

void
cf_service_retries_tick (CfGateway *g)
{
  GHashTableIter it;
  gpointer name;
  gpointer v;

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
print_service (GString *out, const char *service, CfServiceState *s)
{
  const CfRetryCounts *c = &s->retries.total;

  g_string_append_printf (
      out,
      "comfrey_first_attempts_total{service=\"%s\"} "
      "%" G_GUINT64_FORMAT "\ncomfrey_retries_denied_total{service=\"%s\"} "
      "%" G_GUINT64_FORMAT "\ncomfrey_retry_tokens{service=\"%s\"} %g\n"
      "comfrey_retry_tokens_max{service=\"%s\"} %g\n",
      service, c->first, service, c->denied, service,
      cf_retry_budget_tokens (&s->budget), service, s->budget.max);
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
                        "# TYPE comfrey_retry_tokens_max gauge\n");
  g_hash_table_iter_init (&it, g->service_states);
  while (g_hash_table_iter_next (&it, &name, &v))
    if (*(const char *)name)
      print_service (out, name, v);
}
