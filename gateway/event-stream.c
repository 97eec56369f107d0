#include "event-stream.h"

#include <string.h>

/** Limit of one event, so that a target whose event never ends holds neither
 * memory nor the request. */
#define EVENT_MAX_BYTES 262144

void
cf_event_stream_init (CfEventStream *s)
{
  memset (s, 0, sizeof *s);
  s->partial = g_string_new (NULL);
  s->last_id = -1;
}

void
cf_event_stream_clear (CfEventStream *s)
{
  if (s->partial)
    g_string_free (s->partial, TRUE);
  s->partial = NULL;
}

/* Returns the length of the first complete event in @p, including its blank
 * line; 0 if there is none.  Lines end with LF or CRLF.  @from: where to search
 * for the end of its last line */
static gsize
event_length (const char *p, gsize n, gsize from)
{
  for (gsize i = from; i + 1 < n; i++)
    {
      if (p[i] != '\n')
        continue;
      if (p[i + 1] == '\n')
        return i + 2;
      if (p[i + 1] == '\r' && i + 2 < n && p[i + 2] == '\n')
        return i + 3;
    }
  return 0;
}

/* Returns the number after "id:" in the line from @p to @nl; -1 if it is none.
 */
static gint64
parse_id (const char *p, const char *nl)
{
  char *end;
  gint64 id = g_ascii_strtoll (p + 3, &end, 10);

  if (end == p + 3 || end > nl || (*end != '\n' && *end != '\r'))
    return -1;
  return id;
}

/* Returns the number in the event's "id:" line; -1 if it has none. */
static gint64
event_id (const char *p, gsize n)
{
  const char *end = p + n;

  while (p < end)
    {
      const char *nl = memchr (p, '\n', (gsize)(end - p));

      if (end - p > 3 && memcmp (p, "id:", 3) == 0)
        return nl ? parse_id (p, nl) : -1;
      if (!nl)
        break;
      p = nl + 1;
    }
  return -1;
}

/* Whether the line that @p points to is complete and either blank or a
 * comment. */
static gboolean
is_ignored_line (const char *p, const char *nl)
{
  return nl && (*p == ':' || p == nl || (*p == '\r' && p + 1 == nl));
}

/* Whether the @n bytes at @p hold anything but blank lines and comments, the
 * last line perhaps incomplete. */
static gboolean
has_fields (const char *p, gsize n)
{
  const char *end = p + n;

  while (p < end)
    {
      const char *nl = memchr (p, '\n', (gsize)(end - p));

      if (!is_ignored_line (p, nl))
        return TRUE;
      p = nl + 1;
    }
  return FALSE;
}

static guint
append_event (CfEventStream *s, const char *p, gsize n, GString *out)
{
  gint64 id = event_id (p, n);

  if (!has_fields (p, n))
    {
      g_string_append_len (out, p, (gssize)n);
      return 0;
    }
  s->lacks_id |= id < 0 && s->is_resumed;
  if (s->lacks_id || (id >= 0 && id <= s->last_id))
    {
      s->n_dropped++;
      return 0;
    }
  if (id >= 0)
    s->last_id = id;
  else
    s->n_unnumbered++;
  s->n_events++;
  g_string_append_len (out, p, (gssize)n);
  return 1;
}

guint
cf_event_stream_feed (CfEventStream *s, const char *data, gsize n, GString *out)
{
  /* The end of an event may have begun with the last two bytes. */
  gsize from = s->partial->len > 2 ? s->partial->len - 2 : 0;
  gsize at = 0;
  gsize len;
  guint n_appended = 0;

  g_string_append_len (s->partial, data, (gssize)n);
  while (
      (len = event_length (s->partial->str + at, s->partial->len - at, from)))
    {
      n_appended += append_event (s, s->partial->str + at, len, out);
      at += len;
      from = 0;
    }
  g_string_erase (s->partial, 0, (gssize)at);
  return n_appended;
}

gboolean
cf_event_stream_is_too_long (const CfEventStream *s)
{
  return s->partial->len > EVENT_MAX_BYTES;
}

gboolean
cf_event_stream_can_resume (const CfEventStream *s)
{
  return s->n_events > 0 && s->n_unnumbered == 0;
}

void
cf_event_stream_restart (CfEventStream *s)
{
  g_string_truncate (s->partial, 0);
  s->is_resumed = s->n_events > 0;
  s->lacks_id = FALSE;
}

gboolean
cf_event_stream_is_inside_event (const CfEventStream *s)
{
  return has_fields (s->partial->str, s->partial->len);
}
