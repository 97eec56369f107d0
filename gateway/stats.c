#include "stats.h"

const char *
cf_outcome_name (CfOutcome o)
{
  switch (o)
    {
    case CF_OUTCOME_SUCCESS:
      return "success";
    case CF_OUTCOME_TARGET_FAILED:
      return "target-fail";
    case CF_OUTCOME_REFUSED:
      return "refused";
    case CF_OUTCOME_DENIED:
      return "denied";
    case CF_OUTCOME_FAILED:
      return "failed";
    case CF_OUTCOME_TIMEOUT:
      return "timeout";
    case CF_OUTCOME_BROKEN:
      return "broken";
    case CF_OUTCOME_CALLER_GONE:
      return "gone";
    case CF_N_OUTCOMES:
      break;
    }
  return "unknown";
}

void
cf_histogram_add (CfHistogram *h, gint64 ms)
{
  guint i = 0;

  while (i < CF_HISTOGRAM_BUCKETS - 1 && ms > (gint64)1 << i)
    i++;
  h->counts[i]++;
  h->n++;
  h->sum_ms += (double)ms;
}

static void
print_counter (GString *out, const char *name, guint64 value)
{
  g_string_append_printf (out,
                          "# TYPE comfrey_%s counter\ncomfrey_%s "
                          "%" G_GUINT64_FORMAT "\n",
                          name, name, value);
}

void
cf_stats_gauge (GString *out, const char *name, double value)
{
  g_string_append_printf (out, "# TYPE comfrey_%s gauge\ncomfrey_%s %g\n", name,
                          name, value);
}

static void
print_histogram (GString *out, const char *name, const CfHistogram *h)
{
  guint64 cumulative = 0;

  g_string_append_printf (out, "# TYPE comfrey_%s histogram\n", name);
  for (guint i = 0; i < CF_HISTOGRAM_BUCKETS - 1; i++)
    {
      cumulative += h->counts[i];
      g_string_append_printf (out,
                              "comfrey_%s_bucket{le=\"%u\"} "
                              "%" G_GUINT64_FORMAT "\n",
                              name, 1U << i, cumulative);
    }
  g_string_append_printf (out,
                          "comfrey_%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT
                          "\ncomfrey_%s_sum %g\ncomfrey_%s_count "
                          "%" G_GUINT64_FORMAT "\n",
                          name, h->n, name, h->sum_ms, name, h->n);
}

void
cf_stats_print (const CfStats *s, GString *out)
{
  print_counter (out, "requests_total", s->requests);
  g_string_append (out, "# TYPE comfrey_outcomes_total counter\n");
  for (guint i = 0; i < CF_N_OUTCOMES; i++)
    g_string_append_printf (out,
                            "comfrey_outcomes_total{outcome=\"%s\"} "
                            "%" G_GUINT64_FORMAT "\n",
                            cf_outcome_name (i), s->outcomes[i]);
  print_counter (out, "sends_total", s->sends);
  print_counter (out, "sends_other_dc_total", s->sends_other_dc);
  print_counter (out, "retries_total", s->retries);
  print_counter (out, "resumes_total", s->resumes);
  print_counter (out, "store_calls_total", s->store_calls);
  print_counter (out, "store_errors_total", s->store_errors);
  print_counter (out, "store_polls_repeated_total", s->store_polls_repeated);
  print_counter (out, "answers_over_limit_total", s->answers_over_limit);
  print_counter (out, "callers_turned_away_total", s->callers_turned_away);
  print_counter (out, "records_rejected_total", s->records_rejected);
  print_counter (out, "agent_readings_dropped_total",
                 s->agent_readings_dropped);
  print_counter (out, "quarantine_refusals_total", s->quarantine_refusals);
  print_counter (out, "queued_total", s->queued);
  print_counter (out, "evicted_total", s->evicted);
  print_counter (out, "requeued_total", s->requeued);
  print_counter (out, "unrouted_total", s->unrouted);
  print_counter (out, "begun_late_total", s->begun_late);
  print_counter (out, "returns_due_total", s->returns_due);
  print_counter (out, "returns_early_total", s->returns_early);
  print_counter (out, "returns_refused_total", s->returns_refused);
  print_histogram (out, "first_event_ms", &s->first_ms);
  print_histogram (out, "answer_ms", &s->whole_ms);
  print_histogram (out, "event_pause_ms", &s->pause_ms);
  print_histogram (out, "queue_ms", &s->queue_ms);
  print_histogram (out, "turn_ms", &s->iteration_ms);
}
