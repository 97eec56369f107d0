#include "forward.h"

#include <string.h>

static gboolean
is_ours (CfHeaderKind kind, const CfForwardHeaders *ours)
{
  switch (kind)
    {
    case CF_HDR_EXPECT:
    case CF_HDR_API_KEY:
    case CF_HDR_DEADLINE:
    case CF_HDR_ORG:
    case CF_HDR_EXPECT_TARGET:
    case CF_HDR_PRIORITY:
      return TRUE;
    case CF_HDR_LAST_EVENT_ID:
      return ours->last_event_id >= 0;
    default:
      return FALSE;
    }
}

/* A body, or a method that has one, needs its length said. */
static gboolean
needs_length (const CfHttpReader *r, const GString *body)
{
  return body->len > 0 || r->parser.method == HTTP_POST
         || r->parser.method == HTTP_PUT || r->parser.method == HTTP_PATCH;
}

GString *
cf_forward_request (const CfHttpReader *r, const GString *body,
                    const CfForwardHeaders *ours)
{
  GString *out = g_string_sized_new (r->text->len + body->len + 256);

  g_string_append_printf (out, "%s %s HTTP/1.1\r\n",
                          http_method_str (r->parser.method),
                          cf_http_reader_target (r));
  for (guint i = 0; i < r->headers->len; i++)
    {
      const CfHeader *h = &g_array_index (r->headers, CfHeader, i);

      if (cf_http_reader_passes (r, h) && !is_ours (h->kind, ours))
        g_string_append_printf (out, "%s: %s\r\n", h->name, h->value);
    }
  cf_platform_append_forward_headers (out, ours);
  if (needs_length (r, body))
    g_string_append_printf (out, "Content-Length: %" G_GSIZE_FORMAT "\r\n",
                            body->len);
  g_string_append (out, "\r\n");
  g_string_append_len (out, body->str, (gssize)body->len);
  return out;
}
