#include "explain.h"

#include "log-line.h"

#include <stdlib.h>
#include <string.h>

/** What a reason in an E1205 line means, for who has to answer a caller. */
static const struct
{
  const char *outcome; /* NULL: any */
  const char *reason;
  const char *cause;
} causes[] = {
  { "success", "answered", "it was answered" },
  { "target-fail", "answered",
    "the target itself failed it; its answer was passed on" },
  { NULL, "no-configuration",
    "the gateway knew no configuration yet: it had just started and neither "
    "the store nor a peer had answered; see E1105 and E1306" },
  { NULL, "no-route", "no route of the configuration in force matches it" },
  { NULL, "unknown-key",
    "its API key is in no organisation of the "
    "configuration in force" },
  { NULL, "no-host", "it had no Host header" },
  { NULL, "no-target",
    "its service had no target that takes new work, or "
    "each had been tried; see E1305 and E1209" },
  { NULL, "no-room",
    "all targets of its service were busy, or silent, for "
    "as long as it could wait; see E1210 and E1502" },
  { NULL, "target-crashed",
    "its target crashed before it showed anything of an answer; it may be the "
    "cause, and is not sent to another target within this attempt" },
  { NULL, "quarantined",
    "targets crashed during three attempts of the same request: it is not sent "
    "any more; E1217 names it, E1407 outcome=lost with the same request= the "
    "attempts" },
  { NULL, "rate-limited",
    "its targets named rates that they take, and this gateway's part of them "
    "was used up; E1218 names them" },
  { NULL, "queue-full", "too many requests of its service were waiting" },
  { NULL, "more-urgent-waits",
    "more urgent requests filled the queue of its service" },
  { NULL, "stopping", "the gateway was about to end; see E1405" },
  { NULL, "cut-by-stop",
    "the gateway ended before the answer was whole; E1214 of it, if any, "
    "says what was expected; see E1405" },
  { NULL, "target-refused", "each target it may be sent to refused it" },
  { NULL, "target-failed", "each target it may be sent to failed it" },
  { NULL, "unsigned-answer",
    "the target's answer was not signed and could not be passed on" },
  { NULL, "lost",
    "the connection to the target broke before the whole answer, and it "
    "could not be sent again: again= and ran= of the last E1204 say why" },
  { NULL, "garbled",
    "the target sent bytes that are no answer, and it could not be sent "
    "again: again= and ran= of the last E1204 say why" },
  { NULL, "unsent", "no target could be reached" },
  { NULL, "silent", "the target was silent for too long" },
  { NULL, "deadline",
    "its time was over; see how long it waited (E1210), "
    "how often it was sent (E1203) and whether the "
    "experts' map changed meanwhile (E1502)" },
  { NULL, "caller-left", "its caller closed the connection" },
};

static void
line_free (gpointer p)
{
  CfTimelineEntry *l = p;

  g_free (l->file);
  g_free (l->event);
  g_free (l->text);
  g_free (l);
}

/* Takes a line "... ]: E1203 route id=..."; what is before is whoever's
 * collected it. */
static void
take_line (CfTimeline *s, const char *id, const char *file, const char *line)
{
  const char *at = cf_log_line_event (line);
  g_autofree char *of = cf_log_line_field (line, "id");
  CfTimelineEntry *l;

  if (!at || g_strcmp0 (of, id) != 0)
    return;
  l = g_new0 (CfTimelineEntry, 1);
  l->time_s = cf_log_line_number (line, "t", 0);
  l->file = g_strdup (file);
  l->event = g_strndup (at, strcspn (at, " "));
  l->text = g_strdup (at + strlen (l->event)
                      + strspn (at + strlen (l->event), " "));
  g_ptr_array_add (s->lines, l);
}

void
cf_timeline_read_log (CfTimeline *s, const char *id, const char *file,
                      const char *text)
{
  char **lines = g_strsplit (text, "\n", -1);

  if (!s->lines)
    s->lines = g_ptr_array_new_with_free_func (line_free);
  for (char **l = lines; *l; l++)
    take_line (s, id, file, *l);
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
last_of (const CfTimeline *s, const char *event)
{
  for (guint i = s->lines->len; i > 0; i--)
    {
      const CfTimelineEntry *l = s->lines->pdata[i - 1];

      if (strcmp (l->event, event) == 0)
        return l;
    }
  return NULL;
}

static void
find_cause (CfTimeline *s, const CfTimelineEntry *answer)
{
  g_autofree char *outcome = cf_log_line_field (answer->text, "outcome");
  g_autofree char *reason = cf_log_line_field (answer->text, "reason");

  for (gsize i = 0; i < G_N_ELEMENTS (causes); i++)
    if (g_strcmp0 (reason, causes[i].reason) == 0
        && (!causes[i].outcome || g_strcmp0 (outcome, causes[i].outcome) == 0))
      {
        s->cause = g_strdup (causes[i].cause);
        return;
      }
  s->cause = g_strdup_printf ("reason '%s'; see docs/EVENTS.md",
                              reason ? reason : "-");
}

/* The newest decision before the answer, with what it was made from. */
static void
find_input (CfTimeline *s)
{
  for (guint i = s->lines->len; i > 0 && !s->input; i--)
    {
      const CfTimelineEntry *l = s->lines->pdata[i - 1];

      if (strcmp (l->event, "E1205") != 0 && strcmp (l->event, "E1211") != 0)
        s->input = g_strdup_printf ("%s %s", l->event, l->text);
    }
}

void
cf_timeline_finish (CfTimeline *s)
{
  const CfTimelineEntry *answer;

  if (!s->lines)
    s->lines = g_ptr_array_new_with_free_func (line_free);
  g_ptr_array_sort (s->lines, by_time);
  answer = last_of (s, "E1205");
  if (answer)
    find_cause (s, answer);
  else if (s->lines->len)
    s->cause = g_strdup ("no final answer is logged: the process ended, or "
                         "the line was dropped (E1005)");
  find_input (s);
}

void
cf_timeline_print (const CfTimeline *s, const char *id, GString *out)
{
  double begun = 0;

  if (s->lines->len == 0)
    {
      g_string_append_printf (out, "%s: not in these logs\n", id);
      return;
    }
  begun = ((CfTimelineEntry *)s->lines->pdata[0])->time_s;
  g_string_append_printf (out, "request %s\n", id);
  for (guint i = 0; i < s->lines->len; i++)
    {
      const CfTimelineEntry *l = s->lines->pdata[i];

      g_string_append_printf (out, "  %+8.0f ms  %s  %s %s\n",
                              (l->time_s - begun) * 1000, l->file, l->event,
                              l->text);
    }
  g_string_append_printf (out, "cause: %s\n", s->cause);
  if (s->input)
    g_string_append_printf (out, "decided by: %s\n", s->input);
}

void
cf_timeline_clear (CfTimeline *s)
{
  if (s->lines)
    g_ptr_array_free (s->lines, TRUE);
  g_free (s->cause);
  g_free (s->input);
  memset (s, 0, sizeof *s);
}
