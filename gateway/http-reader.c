#include "http-reader.h"

#include <string.h>

static CfHttpReader *
parser_reader (http_parser *p)
{
  return p->data;
}

/* Appends to the text of the head; stops the parser once the head exceeds its
 * limit. */
static int
append (CfHttpReader *r, const char *at, size_t n)
{
  r->head_bytes += n;
  if (r->head_bytes > r->head_max)
    {
      r->too_large = TRUE;
      return -1;
    }
  g_string_append_len (r->text, at, (gssize)n);
  return 0;
}

static void
begin_string (CfHttpReader *r)
{
  g_string_append_c (r->text, '\0');
  g_array_append_val (r->offsets, r->text->len);
}

static int
on_begin (http_parser *p)
{
  parser_reader (p)->started = TRUE;
  return 0;
}

static int
on_url (http_parser *p, const char *at, size_t n)
{
  CfHttpReader *r = parser_reader (p);

  r->request_target_len += n;
  return append (r, at, n);
}

static int
on_field (http_parser *p, const char *at, size_t n)
{
  CfHttpReader *r = parser_reader (p);

  if (r->has_head)
    return 0; /* A trailer: the parser checks it, nothing is stored. */
  if (r->in_value || r->offsets->len == 0)
    begin_string (r);
  r->in_value = FALSE;
  return append (r, at, n);
}

static int
on_value (http_parser *p, const char *at, size_t n)
{
  CfHttpReader *r = parser_reader (p);

  if (r->has_head)
    return 0;
  if (!r->in_value)
    begin_string (r);
  r->in_value = TRUE;
  return append (r, at, n);
}

/* http-parser accepts spaces in header names.  A name such as
 * "Transfer-Encoding " could be read differently by the gateway and a target,
 * which allows request smuggling. */
static gboolean
is_header_name (const char *name)
{
  return *name && strpbrk (name, " \t\"(),/:;<=>?@[\\]{}") == NULL;
}

/* Returns FALSE if a header name is invalid. */
static gboolean
index_headers (CfHttpReader *r)
{
  for (guint i = 0; i + 1 < r->offsets->len; i += 2)
    {
      CfHeader h;

      h.name = r->text->str + g_array_index (r->offsets, gsize, i);
      h.value = r->text->str + g_array_index (r->offsets, gsize, i + 1);
      if (!is_header_name (h.name))
        return FALSE;
      h.kind = cf_platform_header_kind (h.name, strlen (h.name));
      g_array_append_val (r->headers, h);
    }
  return TRUE;
}

static int
on_head (http_parser *p)
{
  CfHttpReader *r = parser_reader (p);

  /* http-parser does not report an empty value of the last header. */
  if (r->offsets->len % 2)
    begin_string (r);
  if (!index_headers (r))
    return -1;
  r->has_head = TRUE;
  if (r->callbacks->head)
    r->callbacks->head (r->owner);
  return r->no_body ? 1 : 0;
}

static int
on_body (http_parser *p, const char *at, size_t n)
{
  CfHttpReader *r = parser_reader (p);

  r->callbacks->body (r->owner, at, n);
  return 0;
}

static int
on_complete (http_parser *p)
{
  parser_reader (p)->is_complete = TRUE;
  http_parser_pause (p, 1);
  return 0;
}

static const http_parser_settings parser_callbacks = {
  .on_message_begin = on_begin,
  .on_url = on_url,
  .on_header_field = on_field,
  .on_header_value = on_value,
  .on_headers_complete = on_head,
  .on_body = on_body,
  .on_message_complete = on_complete,
};

void
cf_http_reader_init (CfHttpReader *r, enum http_parser_type type,
                     const CfHttpReaderCallbacks *callbacks, void *owner,
                     gsize head_max)
{
  memset (r, 0, sizeof *r);
  http_parser_init (&r->parser, type);
  r->parser.data = r;
  r->callbacks = callbacks;
  r->owner = owner;
  r->head_max = head_max;
  r->text = g_string_sized_new (512);
  r->offsets = g_array_sized_new (FALSE, FALSE, sizeof (gsize), 32);
  r->headers = g_array_sized_new (FALSE, FALSE, sizeof (CfHeader), 16);
}

void
cf_http_reader_clear (CfHttpReader *r)
{
  g_string_free (r->text, TRUE);
  g_array_free (r->offsets, TRUE);
  g_array_free (r->headers, TRUE);
}

void
cf_http_reader_next (CfHttpReader *r)
{
  g_string_truncate (r->text, 0);
  g_array_set_size (r->offsets, 0);
  g_array_set_size (r->headers, 0);
  r->request_target_len = 0;
  r->head_bytes = 0;
  r->in_value = FALSE;
  r->started = FALSE;
  r->has_head = FALSE;
  r->is_complete = FALSE;
}

gboolean
cf_http_reader_feed (CfHttpReader *r, const char *data, gsize n, gsize *used)
{
  enum http_errno err;

  *used = 0;
  if (r->is_complete)
    return TRUE;
  if (HTTP_PARSER_ERRNO (&r->parser) == HPE_PAUSED)
    http_parser_pause (&r->parser, 0);
  *used = http_parser_execute (&r->parser, &parser_callbacks, data, n);
  err = HTTP_PARSER_ERRNO (&r->parser);
  if (r->is_complete)
    {
      if (r->callbacks->complete)
        r->callbacks->complete (r->owner);
      return TRUE;
    }
  return err == HPE_OK && !r->parser.upgrade;
}

gboolean
cf_http_reader_eof (CfHttpReader *r)
{
  if (!r->started || r->is_complete)
    return TRUE;
  http_parser_execute (&r->parser, &parser_callbacks, NULL, 0);
  if (r->is_complete && r->callbacks->complete)
    r->callbacks->complete (r->owner);
  return r->is_complete;
}

const char *
cf_http_reader_header (const CfHttpReader *r, CfHeaderKind kind)
{
  for (guint i = 0; i < r->headers->len; i++)
    {
      const CfHeader *h = &g_array_index (r->headers, CfHeader, i);

      if (h->kind == kind)
        return h->value;
    }
  return NULL;
}

const char *
cf_http_reader_request_target (const CfHttpReader *r)
{
  return r->text->str;
}

gboolean
cf_http_reader_can_keep_alive (const CfHttpReader *r)
{
  return http_should_keep_alive (&r->parser) != 0;
}

static gboolean
list_contains (const char *list, const char *name)
{
  gsize n = strlen (name);

  while (*list)
    {
      gsize len;

      list += strspn (list, ", \t");
      len = strcspn (list, ", \t");
      if (len == n && g_ascii_strncasecmp (list, name, n) == 0)
        return TRUE;
      list += len;
    }
  return FALSE;
}

gboolean
cf_http_reader_may_forward (const CfHttpReader *r, const CfHeader *h)
{
  if (h->kind == CF_HDR_CONNECTION || h->kind == CF_HDR_FRAMING)
    return FALSE;
  for (guint i = 0; i < r->headers->len; i++)
    {
      const CfHeader *c = &g_array_index (r->headers, CfHeader, i);

      if (c->kind == CF_HDR_CONNECTION
          && g_ascii_strcasecmp (c->name, "Connection") == 0
          && list_contains (c->value, h->name))
        return FALSE;
    }
  return TRUE;
}
