#include "report.h"

#include "log-line.h"

#include <string.h>

#define MS_PER_S 1000.0

void
cf_report_init (CfReport *r, const CfReportObjectives *objectives)
{
  r->objectives = *objectives;
  r->seconds
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  r->reasons = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  r->incidents = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cf_report_contention_init (&r->contention);
}

void
cf_report_clear (CfReport *r)
{
  g_hash_table_destroy (r->seconds);
  g_hash_table_destroy (r->reasons);
  g_hash_table_destroy (r->incidents);
  cf_report_contention_clear (&r->contention);
}

static CfReportSecond *
get_second (CfReport *r, double time_s)
{
  gint64 at = (gint64)time_s;
  CfReportSecond *s = g_hash_table_lookup (r->seconds, &at);

  if (!s)
    {
      s = g_new0 (CfReportSecond, 1);
      g_hash_table_insert (r->seconds, g_memdup2 (&at, sizeof at), s);
    }
  return s;
}

/* Adds one to the count of "@what @subject" (nullable) in @counts. */
static void
count (GHashTable *counts, const char *what, const char *subject)
{
  char *key = g_strconcat (what, " ", subject ? subject : "-", NULL);
  gpointer n = g_hash_table_lookup (counts, key);

  g_hash_table_replace (counts, key,
                        GUINT_TO_POINTER (GPOINTER_TO_UINT (n) + 1));
}

static void
count_reason (CfReport *r, const char *outcome, const char *line)
{
  g_autofree char *reason = cf_log_line_field (line, "reason");

  count (r->reasons, outcome, reason);
}

static void
count_success (const CfReport *r, CfReportSecond *s, const char *line)
{
  if (cf_log_line_number (line, "events", 0) == 0)
    s->plain++;
  else if (cf_log_line_number (line, "first_ms", 0)
           > (double)r->objectives.first_ms)
    s->late_first++;
  else if (cf_log_line_number (line, "longest_pause_ms", 0)
           > (double)r->objectives.pause_ms)
    s->late_pause++;
  else
    s->in_time++;
}

/* Counts an E1205 line in the second in which its request arrived. */
static void
add_answer (CfReport *r, const char *line, double time_s)
{
  g_autofree char *outcome = cf_log_line_field (line, "outcome");
  double duration_s = cf_log_line_number (line, "ms", 0) / MS_PER_S;
  CfReportSecond *s = get_second (r, time_s - duration_s);

  if (!outcome)
    return;
  if (strcmp (outcome, "success") == 0)
    {
      count_success (r, s, line);
      return;
    }
  count_reason (r, outcome, line);
  if (strcmp (outcome, "target-fail") == 0)
    s->target_failed++;
  else if (strcmp (outcome, "refused") == 0)
    s->refused++;
  else if (strcmp (outcome, "denied") == 0)
    s->denied++;
  else if (strcmp (outcome, "gone") == 0)
    s->gone++;
  else
    s->lost++;
}

static void
add_plan (CfReport *r, const char *line, double time_s)
{
  CfReportSecond *s = get_second (r, time_s);

  s->copies += (guint)cf_log_line_number (line, "copies", 0);
  s->skew = MAX (s->skew, cf_log_line_number (line, "skew", 0));
}

static void
add_pass (CfReport *r, const char *line, double time_s)
{
  CfReportSecond *s = get_second (r, time_s);

  s->pass_ms = MAX (s->pass_ms, (gint64)cf_log_line_number (line, "ms", 0));
  s->pass_streams += (guint)cf_log_line_number (line, "streams", 0);
  s->pass_late += (guint)cf_log_line_number (line, "late", 0);
}

static void
add_missing_demand (CfReport *r, const char *line)
{
  g_autofree char *group = cf_log_line_field (line, "group");

  if (strstr (line, "outcome=begins"))
    count (r->incidents, "no demand from group", group);
}

static void
add_dropped_reading (CfReport *r, const char *line)
{
  g_autofree char *what = cf_log_line_field (line, "what");

  count (r->incidents, "dropped readings of", what);
}

static void
add_line (CfReport *r, const char *file, const char *line)
{
  const char *event = cf_log_line_event (line);
  double time_s = cf_log_line_number (line, "t", -1);

  if (!event || time_s < 0)
    return;
  cf_report_contention_add (&r->contention, file, event);
  if (g_str_has_prefix (event, "E1205 "))
    add_answer (r, event, time_s);
  else if (g_str_has_prefix (event, "E1501 "))
    add_plan (r, event, time_s);
  else if (g_str_has_prefix (event, "E1219 "))
    add_pass (r, event, time_s);
  else if (g_str_has_prefix (event, "E1502 ") && strstr (event, "why=changed"))
    get_second (r, time_s)->changes++;
  else if (g_str_has_prefix (event, "E1505 "))
    add_dropped_reading (r, event);
  else if (g_str_has_prefix (event, "E1506 "))
    add_missing_demand (r, event);
}

void
cf_report_read (CfReport *r, const char *file, const char *text)
{
  char **lines = g_strsplit (text, "\n", -1);

  for (char **l = lines; *l; l++)
    add_line (r, file, *l);
  cf_report_contention_end_log (&r->contention);
  g_strfreev (lines);
}

static gint
by_time (gconstpointer a, gconstpointer b)
{
  gint64 x = *(const gint64 *)a;
  gint64 y = *(const gint64 *)b;

  return x < y ? -1 : x > y;
}

static void
print_row (GString *out, const char *name, const CfReportSecond *s)
{
  g_string_append_printf (
      out,
      "%8s %7u %6u %6u %6u %7u %6u %6u %5u %5u %7u %6u %5.2f %7" G_GINT64_FORMAT
      " %5.2f\n",
      name, s->in_time, s->late_first, s->late_pause, s->plain,
      s->target_failed, s->refused, s->denied, s->lost, s->gone, s->changes,
      s->copies, s->skew, s->pass_ms,
      (double)s->pass_late / MAX (s->pass_streams, 1));
}

static void
add_up (CfReportSecond *sum, const CfReportSecond *s)
{
  sum->in_time += s->in_time;
  sum->late_first += s->late_first;
  sum->late_pause += s->late_pause;
  sum->plain += s->plain;
  sum->target_failed += s->target_failed;
  sum->refused += s->refused;
  sum->denied += s->denied;
  sum->lost += s->lost;
  sum->gone += s->gone;
  sum->changes += s->changes;
  sum->copies += s->copies;
  sum->skew = MAX (sum->skew, s->skew);
  sum->pass_ms = MAX (sum->pass_ms, s->pass_ms);
  sum->pass_streams += s->pass_streams;
  sum->pass_late += s->pass_late;
}

static void
print_counts (GHashTable *counts, GString *out)
{
  g_autoptr (GList) keys = g_hash_table_get_keys (counts);

  keys = g_list_sort (keys, (GCompareFunc)strcmp);
  for (GList *k = keys; k; k = k->next)
    g_string_append_printf (
        out, "%s: %u\n", (const char *)k->data,
        GPOINTER_TO_UINT (g_hash_table_lookup (counts, k->data)));
}

void
cf_report_print (const CfReport *r, GString *out)
{
  g_autoptr (GList) times = g_hash_table_get_keys (r->seconds);
  CfReportSecond sum = { 0 };

  times = g_list_sort (times, by_time);
  g_string_append (out,
                   "  second in-time first+ pause+  plain tgtfail refuse "
                   "denied  lost  gone changes copies  skew pass-ms  late\n");
  for (GList *t = times; t; t = t->next)
    {
      const CfReportSecond *s = g_hash_table_lookup (r->seconds, t->data);
      gint64 at = *(gint64 *)t->data - *(gint64 *)times->data;
      g_autofree char *name = g_strdup_printf ("%" G_GINT64_FORMAT, at);

      print_row (out, name, s);
      add_up (&sum, s);
    }
  print_row (out, "sum", &sum);
  print_counts (r->reasons, out);
  print_counts (r->incidents, out);
  cf_report_contention_print (&r->contention, out);
}
