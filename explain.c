#include "explain.h"

#include "log-line.h"

#include <stdlib.h>
#include <string.h>

/** Explanations of the reasons in E1205 lines, for operators. */
static const struct
{
  const char *outcome; /* NULL: any */
  const char *reason;
  const char *cause;
} causes[] = {
  { "success", "answered", "the request was answered" },
  { "target-fail", "answered",
    "the target answered with an error, which was forwarded to the caller" },
  { NULL, "no-configuration",
    "the gateway had no configuration yet: it had just started, and neither "
    "the metadata store nor a peer had answered; see E1105 and E1306" },
  { NULL, "no-route",
    "no route of the active configuration matches the request" },
  { NULL, "unknown-key",
    "the request's API key belongs to no organisation of the active "
    "configuration" },
  { NULL, "no-host", "the request has no Host header" },
  { NULL, "no-target",
    "the service had no target that accepts new work, or each had already been "
    "tried; see E1305 and E1209" },
  { NULL, "no-room",
    "all targets of the service were busy or did not answer for as long as the "
    "request could wait; see E1210 and E1502" },
  { NULL, "target-crashed",
    "the target crashed before it sent any part of the answer; the request may "
    "have caused the crash, so this attempt does not try another target" },
  { NULL, "quarantined",
    "targets crashed during three attempts of this request, or three requests "
    "that share a part of its prompt, so it is no longer sent to any target; "
    "E1217 names the request or the part, and E1407 outcome=lost with the same "
    "request=, or the part in parts=, names the attempts" },
  { NULL, "rate-limited",
    "the service's targets limit the rate of requests, and this gateway's "
    "share of it was used up; E1218 shows the limits" },
  { NULL, "suspected",
    "a target had crashed during an attempt of this request, or one that "
    "shares a part of its prompt, so gateways send it in turn, and the turn of "
    "this one came too late; E1217 names the request or the part" },
  { NULL, "targets-paused",
    "all targets of the service had asked for a pause that lasts longer than "
    "the request could wait; see E1220" },
  { NULL, "queue-full", "the service's queue was full" },
  { NULL, "returned-early",
    "its caller had been refused and returned before the time that it was "
    "told, while others that are as urgent waited; see E1222" },
  { NULL, "more-urgent-waits",
    "requests of a more urgent priority filled the service's queue" },
  { NULL, "stopping", "the gateway was shutting down; see E1405" },
  { NULL, "cut-by-stop",
    "the gateway exited before the answer was complete; E1214 of this request, "
    "if logged, shows the estimate; see E1405" },
  { NULL, "target-refused",
    "every target that the request may be sent to refused it" },
  { NULL, "target-failed",
    "every target that the request may be sent to failed to process it" },
  { NULL, "unsigned-answer",
    "the target's answer was not signed, so it could not be forwarded" },
  { NULL, "lost",
    "the connection to the target broke before the answer was complete, and "
    "the request could not be sent again: again= and ran= of the last E1204 "
    "show why; without one, the answer had begun, and no other can continue "
    "it" },
  { NULL, "garbled",
    "the target sent a malformed answer, and the request could not be sent "
    "again: again= and ran= of the last E1204 show why; without one, the "
    "answer had begun, and no other can continue it" },
  { NULL, "incomplete",
    "the target ended its stream in the middle of an event (partial_bytes= of "
    "this line), and the request could not be sent again: again= and ran= of "
    "the last E1204 show why; without one, the answer had begun, and no other "
    "can continue it" },
  { NULL, "unsent", "no target could be reached" },
  { NULL, "silent", "the target sent nothing for too long" },
  { NULL, "deadline",
    "the request's deadline passed; see how long it was queued (E1210), how "
    "often it was sent (E1203), and whether the expert map changed in the "
    "meantime (E1502)" },
  { NULL, "caller-left", "the caller closed the connection" },
};

static void
entry_free (gpointer p)
{
  CfTimelineEntry *l = p;

  g_free (l->file);
  g_free (l->event);
  g_free (l->text);
  g_free (l);
}

/* Adds a line "...]: E1203 route id=..." if it is about @id.  A log collector
 * may have put a prefix before the program's name. */
static void
add_line (CfTimeline *t, const char *id, const char *file, const char *line)
{
  const char *at = cf_log_line_event (line);
  g_autofree char *line_id = cf_log_line_field (line, "id");
  CfTimelineEntry *l;

  if (!at || g_strcmp0 (line_id, id) != 0)
    return;
  l = g_new0 (CfTimelineEntry, 1);
  l->time_s = cf_log_line_number (line, "t", 0);
  l->file = g_strdup (file);
  l->event = g_strndup (at, strcspn (at, " "));
  l->text = g_strdup (at + strlen (l->event)
                      + strspn (at + strlen (l->event), " "));
  g_ptr_array_add (t->lines, l);
}

void
cf_timeline_read_log (CfTimeline *t, const char *id, const char *file,
                      const char *text)
{
  char **lines = g_strsplit (text, "\n", -1);

  if (!t->lines)
    t->lines = g_ptr_array_new_with_free_func (entry_free);
  for (char **l = lines; *l; l++)
    add_line (t, id, file, *l);
  g_strfreev (lines);
}

static int
by_time (gconstpointer a, gconstpointer b)
{
  const CfTimelineEntry *x = *(CfTimelineEntry *const *)a;
  const CfTimelineEntry *y = *(CfTimelineEntry *const *)b;

  return x->time_s < y->time_s ? -1 : x->time_s > y->time_s;
}

static const CfTimelineEntry *
find_last (const CfTimeline *t, const char *event)
{
  for (guint i = t->lines->len; i > 0; i--)
    {
      const CfTimelineEntry *l = t->lines->pdata[i - 1];

      if (strcmp (l->event, event) == 0)
        return l;
    }
  return NULL;
}

static void
find_cause (CfTimeline *t, const CfTimelineEntry *answer)
{
  g_autofree char *outcome = cf_log_line_field (answer->text, "outcome");
  g_autofree char *reason = cf_log_line_field (answer->text, "reason");

  for (gsize i = 0; i < G_N_ELEMENTS (causes); i++)
    if (g_strcmp0 (reason, causes[i].reason) == 0
        && (!causes[i].outcome || g_strcmp0 (outcome, causes[i].outcome) == 0))
      {
        t->cause = g_strdup (causes[i].cause);
        return;
      }
  t->cause = g_strdup_printf ("reason '%s'; see docs/EVENTS.md",
                              reason ? reason : "-");
}

/* Finds the newest line about a decision, which shows the data it was based on:
 * any line but the answer (E1205) and a caller that left (E1211). */
static void
find_decision (CfTimeline *t)
{
  for (guint i = t->lines->len; i > 0 && !t->decision; i--)
    {
      const CfTimelineEntry *l = t->lines->pdata[i - 1];

      if (strcmp (l->event, "E1205") != 0 && strcmp (l->event, "E1211") != 0)
        t->decision = g_strdup_printf ("%s %s", l->event, l->text);
    }
}

void
cf_timeline_finish (CfTimeline *t)
{
  const CfTimelineEntry *answer;

  if (!t->lines)
    t->lines = g_ptr_array_new_with_free_func (entry_free);
  g_ptr_array_sort (t->lines, by_time);
  answer = find_last (t, "E1205");
  if (answer)
    find_cause (t, answer);
  else if (t->lines->len)
    t->cause = g_strdup ("no final answer is logged: the process exited, "
                         "or the line was dropped (E1005)");
  find_decision (t);
}

void
cf_timeline_print (const CfTimeline *t, const char *id, GString *out)
{
  double start_s = 0;

  if (t->lines->len == 0)
    {
      g_string_append_printf (out, "%s: not in these logs\n", id);
      return;
    }
  start_s = ((CfTimelineEntry *)t->lines->pdata[0])->time_s;
  g_string_append_printf (out, "request %s\n", id);
  for (guint i = 0; i < t->lines->len; i++)
    {
      const CfTimelineEntry *l = t->lines->pdata[i];

      g_string_append_printf (out, "  %+8.0f ms  %s  %s %s\n",
                              (l->time_s - start_s) * 1000, l->file, l->event,
                              l->text);
    }
  g_string_append_printf (out, "cause: %s\n", t->cause);
  if (t->decision)
    g_string_append_printf (out, "decided by: %s\n", t->decision);
}

void
cf_timeline_clear (CfTimeline *t)
{
  if (t->lines)
    g_ptr_array_free (t->lines, TRUE);
  g_free (t->cause);
  g_free (t->decision);
  memset (t, 0, sizeof *t);
}
