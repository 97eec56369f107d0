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
  { NULL, "no-room-in-time",
    "the requests ahead of it in the service's queue were expected to take "
    "longer than it could wait, so it was refused on arrival" },
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
  { NULL, "more-urgent-waits",
    "requests of a more urgent priority filled the service's queue" },
  { NULL, "returned-waits",
    "the service's queue was full, and a caller that had been refused before "
    "and returned when told goes first" },
  { NULL, "returned-early",
    "the caller had been told when to return and returned before that time, "
    "while other requests waited" },
  { NULL, "outage",
    "the service's targets refused all work since one that they depend on was "
    "away; see E1213" },
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

/* Returns the entry of a line; @at: its part from the event number on. */
static CfTimelineEntry *
new_entry (const char *file, const char *line, const char *at)
{
  CfTimelineEntry *l = g_new0 (CfTimelineEntry, 1);

  l->time_s = cf_log_line_number (line, "t", 0);
  l->file = g_strdup (file);
  l->event = g_strndup (at, strcspn (at, " "));
  l->text = g_strdup (at + strlen (l->event)
                      + strspn (at + strlen (l->event), " "));
  return l;
}

/* Adds a line "...]: E1203 route id=..." if it is about @id, or about a share.
 * A log collector may have put a prefix before the program's name. */
static void
add_line (CfTimeline *t, const char *id, const char *file, const char *line)
{
  const char *at = cf_log_line_event (line);
  g_autofree char *line_id = cf_log_line_field (line, "id");

  if (!at)
    return;
  if (g_strcmp0 (line_id, id) == 0)
    g_ptr_array_add (t->lines, new_entry (file, line, at));
  else if (g_str_has_prefix (at, "E1221 "))
    g_ptr_array_add (t->shares, new_entry (file, line, at));
}

static void
create_arrays (CfTimeline *t)
{
  if (t->lines)
    return;
  t->lines = g_ptr_array_new_with_free_func (entry_free);
  t->shares = g_ptr_array_new_with_free_func (entry_free);
}

void
cf_timeline_read_log (CfTimeline *t, const char *id, const char *file,
                      const char *text)
{
  char **lines = g_strsplit (text, "\n", -1);

  create_arrays (t);
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

/* Returns the last change of the share of @service at the gateway that logged
 * @answer, up to then.  (nullable) */
static const CfTimelineEntry *
find_share (const CfTimeline *t, const CfTimelineEntry *answer,
            const char *service)
{
  const CfTimelineEntry *found = NULL;

  for (guint i = 0; i < t->shares->len; i++)
    {
      const CfTimelineEntry *l = t->shares->pdata[i];
      g_autofree char *its_service = cf_log_line_field (l->text, "service");

      if (l->time_s <= answer->time_s && strcmp (l->file, answer->file) == 0
          && g_strcmp0 (its_service, service) == 0)
        found = l;
    }
  return found;
}

/* Appends "@before VALUE@after" if @l (nullable) has the field @name. */
static void
append_field (GString *out, const CfTimelineEntry *l, const char *before,
              const char *name, const char *after)
{
  g_autofree char *value = l ? cf_log_line_field (l->text, name) : NULL;

  if (value && strcmp (value, "-") != 0)
    g_string_append_printf (out, "%s%s%s", before, value, after);
}

/* Appends what was ahead of a request when it was queued. */
static void
append_queue (GString *out, const CfTimelineEntry *queued)
{
  if (!queued)
    return;
  append_field (out, queued,
                "; requests waiting when it was queued: ", "waiting",
                " (with it)");
  append_field (out, queued, ", in flight: ", "in_flight", "");
  append_field (out, queued, "; its urgency was ", "priority",
                " (0 is the most urgent)");
  append_field (out, queued, ", its organisation ", "org", "");
  append_field (out, queued, " with a share of ", "grant", " slots");
}

/* Appends the share that the gateway had of the service. */
static void
append_share (GString *out, const CfTimelineEntry *share)
{
  g_autofree char *outcome
      = share ? cf_log_line_field (share->text, "outcome") : NULL;

  if (!share)
    return;
  append_field (out, share, "; this gateway's share was ", "share", "");
  append_field (out, share, " of ", "capacity", " slots");
  append_field (out, share, " for a demand of ", "demand", "");
  append_field (out, share, " (", "fleet_demand", " in the fleet)");
  append_field (out, share, ", known of ", "known", " other gateways");
  /* Without contention all levels are admitted. */
  if (g_strcmp0 (outcome, "contended") == 0)
    append_field (out, share, "; the least urgent level admitted was ",
                  "admitted", "");
}

/* Appends when the caller was told to return, and when it had returned. */
static void
append_returns (GString *out, const CfTimeline *t)
{
  for (guint i = 0; i < t->lines->len; i++)
    {
      const CfTimelineEntry *l = t->lines->pdata[i];
      g_autofree char *outcome = cf_log_line_field (l->text, "outcome");

      if (strcmp (l->event, "E1222") != 0)
        continue;
      if (g_strcmp0 (outcome, "due") == 0)
        g_string_append (out, "; its caller had been refused before and "
                              "returned when told");
      else if (g_strcmp0 (outcome, "early") == 0)
        append_field (out, l,
                      "; its caller had been refused before and "
                      "returned ",
                      "wait_ms", " ms before the time told");
      append_field (out, l, "; its caller was told to return after ",
                    "return_ms", " ms");
      append_field (out, l, ", behind ", "ahead", " others");
    }
}

/* Whether the capacity of a service did not suffice for a request that ended
 * for @reason. */
static gboolean
is_contention (const char *reason)
{
  static const char *const reasons[]
      = { "more-urgent-waits", "returned-waits",  "queue-full",
          "no-room",           "no-room-in-time", "returned-early" };

  for (gsize i = 0; i < G_N_ELEMENTS (reasons); i++)
    if (g_strcmp0 (reason, reasons[i]) == 0)
      return TRUE;
  return FALSE;
}

/* Returns the service of the request, if a line names it.  (nullable) */
static char *
find_service (const CfTimeline *t)
{
  char *service = NULL;

  for (guint i = 0; i < t->lines->len && !service; i++)
    {
      const CfTimelineEntry *l = t->lines->pdata[i];

      service = cf_log_line_field (l->text, "service");
    }
  return service;
}

/* Adds to the cause what the request competed with, and when its caller was
 * told to return. */
static void
extend_cause (CfTimeline *t, const CfTimelineEntry *answer)
{
  const CfTimelineEntry *queued = find_last (t, "E1210");
  g_autofree char *reason = cf_log_line_field (answer->text, "reason");
  g_autofree char *service = find_service (t);
  GString *out = g_string_new (t->cause);

  if (is_contention (reason))
    {
      append_queue (out, queued);
      append_share (out, find_share (t, answer, service));
    }
  append_returns (out, t);
  g_free (t->cause);
  t->cause = g_string_free (out, FALSE);
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

  create_arrays (t);
  g_ptr_array_sort (t->lines, by_time);
  g_ptr_array_sort (t->shares, by_time);
  answer = find_last (t, "E1205");
  if (answer)
    {
      find_cause (t, answer);
      extend_cause (t, answer);
    }
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
    {
      g_ptr_array_free (t->lines, TRUE);
      g_ptr_array_free (t->shares, TRUE);
    }
  g_free (t->cause);
  g_free (t->decision);
  memset (t, 0, sizeof *t);
}
