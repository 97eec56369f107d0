#include "answer.h"

#include <string.h>

const char *
cf_answer_kind_name (CfAnswerKind k)
{
  switch (k)
    {
    case CF_ANSWER_SUCCESS:
      return "good";
    case CF_ANSWER_FAILURE:
      return "failure";
    case CF_ANSWER_NOT_RUN:
      return "not-run";
    case CF_ANSWER_UNSIGNED:
      return "unsigned";
    }
  return "unknown";
}

const char *
cf_answer_framing_name (CfAnswerFraming f)
{
  switch (f)
    {
    case CF_FRAMING_NONE:
      return "none";
    case CF_FRAMING_LENGTH:
      return "length";
    case CF_FRAMING_CHUNKED:
      return "chunked";
    case CF_FRAMING_CLOSE:
      return "close";
    }
  return "unknown";
}

/* The statuses below 200, 204 and 304 have no body, whatever their head says.
 */
static gboolean
has_no_body (const CfHttpReader *r)
{
  int status = (int)r->parser.status_code;

  return r->no_body || status < 200 || status == HTTP_STATUS_NO_CONTENT
         || status == HTTP_STATUS_NOT_MODIFIED;
}

CfAnswerFraming
cf_answer_framing (const CfHttpReader *r)
{
  if (has_no_body (r))
    return CF_FRAMING_NONE;
  if (r->parser.flags & F_CHUNKED)
    return CF_FRAMING_CHUNKED;
  return r->parser.flags & F_CONTENTLENGTH ? CF_FRAMING_LENGTH
                                           : CF_FRAMING_CLOSE;
}

gboolean
cf_answer_is_event_stream (const CfHttpReader *r)
{
  static const char type[] = "text/event-stream";

  for (guint i = 0; i < r->headers->len; i++)
    {
      const CfHeader *h = &g_array_index (r->headers, CfHeader, i);

      if (g_ascii_strcasecmp (h->name, "Content-Type") == 0)
        return g_ascii_strncasecmp (h->value, type, strlen (type)) == 0;
    }
  return TRUE;
}

CfAnswerKind
cf_answer_classify (const CfHttpReader *r)
{
  int status = (int)r->parser.status_code;
  gboolean is_signed = cf_http_reader_header (r, CF_HDR_SIGNATURE) != NULL;

  if (cf_http_reader_header (r, CF_HDR_NOT_RUN)
      || (status == HTTP_STATUS_MISDIRECTED_REQUEST && !is_signed))
    return CF_ANSWER_NOT_RUN;
  if (!is_signed)
    return CF_ANSWER_UNSIGNED;
  return status >= 200 && status < 300 ? CF_ANSWER_SUCCESS : CF_ANSWER_FAILURE;
}

static gboolean
promises_not_run (int status)
{
  return status == HTTP_STATUS_REQUEST_TIMEOUT
         || status == HTTP_STATUS_MISDIRECTED_REQUEST
         || status == HTTP_STATUS_TOO_MANY_REQUESTS
         || status == HTTP_STATUS_SERVICE_UNAVAILABLE;
}

gboolean
cf_answer_may_forward (int status, CfRetrySafety retry_safety)
{
  return retry_safety != CF_RETRY_UNSAFE || !promises_not_run (status);
}

void
cf_answer_append_headers (const CfHttpReader *r, GString *out)
{
  for (guint i = 0; i < r->headers->len; i++)
    {
      const CfHeader *h = &g_array_index (r->headers, CfHeader, i);

      if (cf_http_reader_may_forward (r, h))
        g_string_append_printf (out, "%s: %s\r\n", h->name, h->value);
    }
}
