#include "forward.h"

#include <string.h>

/* Whether a header of the caller is not forwarded: it concerns the gateway
 * alone, or is one that the gateway sets. */
static gboolean
is_stripped (CfHeaderKind kind, const CfForwardHeaders *added)
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
      return added->last_event_id >= 0;
    default:
      return FALSE;
    }
}

/* A request that has a body, or whose method usually has one, needs a
 * Content-Length header. */
static gboolean
needs_length (const CfHttpReader *r, const GString *body)
{
  return body->len > 0 || r->parser.method == HTTP_POST
         || r->parser.method == HTTP_PUT || r->parser.method == HTTP_PATCH;
}

GString *
cf_forward_build_request (const CfHttpReader *r, const GString *body,
                          const CfForwardHeaders *added)
{
  GString *out = g_string_sized_new (r->text->len + body->len + 256);

  g_string_append_printf (out, "%s %s HTTP/1.1\r\n",
                          http_method_str (r->parser.method),
                          cf_http_reader_request_target (r));
  for (guint i = 0; i < r->headers->len; i++)
    {
      const CfHeader *h = &g_array_index (r->headers, CfHeader, i);

      if (cf_http_reader_may_forward (r, h) && !is_stripped (h->kind, added))
        g_string_append_printf (out, "%s: %s\r\n", h->name, h->value);
    }
  cf_platform_append_forward_headers (out, added);
  if (needs_length (r, body))
    g_string_append_printf (out, "Content-Length: %" G_GSIZE_FORMAT "\r\n",
                            body->len);
  g_string_append (out, "\r\n");
  g_string_append_len (out, body->str, (gssize)body->len);
  return out;
}
