#include "caller.h"

#include "exchange.h"
#include "log.h"
#include "socket.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/** Most bytes read by one recv(). */
#define READ_BYTES 16384
/** How long a new connection counts as not idle.  A caller sends its first
 * request within a few ms of connecting, and closing the connection before
 * that would lose the request. */
#define FIRST_REQUEST_GRACE_MS 500
/** Most pipelined bytes buffered while a request is answered.  The rest stays
 * in the kernel, where it delays only this caller. */
#define PIPELINE_MAX_BYTES 65536
/** How long the connection stays open for reading after the last answer.
 * Closing it before the caller does would reset it and could lose the
 * answer. */
#define LINGER_S 1.0
/** Shortest interval between log lines about the caller limit. */
#define FULL_LOG_INTERVAL_MS 1000
/** Limits that apply until the first configuration is received. */
#define DEFAULT_HEADER_MAX_BYTES 16384
#define DEFAULT_HEADER_TIMEOUT_S 3.0
#define DEFAULT_IDLE_TIMEOUT_S 15.0
#define DEFAULT_BODY_MAX_BYTES 4194304

static void
free_caller (CfCaller *c)
{
  cf_http_reader_clear (&c->reader);
  g_string_free (c->input, TRUE);
  g_string_free (c->body, TRUE);
  g_string_free (c->output, TRUE);
  g_free (c);
}

static void
clear_body (CfCaller *c)
{
  c->gateway->body_bytes -= c->body->len;
  /* Frees a large buffer; the usual small one is kept for reuse. */
  if (c->body->allocated_len > PIPELINE_MAX_BYTES)
    {
      g_string_free (c->body, TRUE);
      c->body = g_string_new (NULL);
    }
  else
    g_string_truncate (c->body, 0);
}

static void
close_caller (CfCaller *c)
{
  if (c->is_closed)
    return;
  c->is_closed = TRUE;
  clear_body (c);
  ev_io_stop (c->gateway->loop, &c->io);
  ev_timer_stop (c->gateway->loop, &c->timer);
  close (c->io.fd);
  TAILQ_REMOVE (&c->gateway->callers, c, link);
  c->gateway->n_callers--;
  if (!c->in_io_handler)
    free_caller (c);
}

static void
disconnect (CfCaller *c)
{
  CfExchange *x = c->exchange;

  c->exchange = NULL;
  if (x)
    cf_exchange_abandon (x);
  close_caller (c);
}

static void
set_timer (CfCaller *c, double s)
{
  ev_timer_stop (c->gateway->loop, &c->timer);
  ev_timer_set (&c->timer, s, 0);
  ev_timer_start (c->gateway->loop, &c->timer);
}

static double
idle_timeout_s (const CfCaller *c)
{
  const CfPolicy *p = c->gateway->policy;

  return p ? (double)p->limits.idle_timeout_ms / 1000 : DEFAULT_IDLE_TIMEOUT_S;
}

static double
header_timeout_s (const CfCaller *c)
{
  const CfPolicy *p = c->gateway->policy;

  return p ? (double)p->limits.header_timeout_ms / 1000
           : DEFAULT_HEADER_TIMEOUT_S;
}

static gsize
body_limit (const CfCaller *c)
{
  const CfPolicy *p = c->gateway->policy;

  return p ? (gsize)p->limits.max_body_bytes : DEFAULT_BODY_MAX_BYTES;
}

static void
update_events (CfCaller *c)
{
  int events = 0;

  if (c->input->len < PIPELINE_MAX_BYTES)
    events |= EV_READ;
  if (c->output_sent < c->output->len)
    events |= EV_WRITE;
  if (events == c->io.events && ev_is_active (&c->io))
    return;
  ev_io_stop (c->gateway->loop, &c->io);
  ev_io_set (&c->io, c->io.fd, events);
  if (events)
    ev_io_start (c->gateway->loop, &c->io);
}

/* Makes the kernel reset the connection when it is closed, or close it in order
 * again.  A connection whose end marks the end of an answer is reset until all
 * of the answer is sent, also if this process is killed. */
static void
set_resets_on_close (CfCaller *c, gboolean resets)
{
  const struct linger option = { resets, 0 };

  if (c->resets_on_close == resets)
    return;
  c->resets_on_close = resets;
  setsockopt (c->io.fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

/* Called when all output is sent.  Shuts down the sending side, unless the
 * connection stays open for another request. */
static void
finish_output (CfCaller *c)
{
  g_string_truncate (c->output, 0);
  c->output_sent = 0;
  if (!c->close_after_answer || c->exchange || c->lingering)
    return;
  c->lingering = TRUE;
  set_resets_on_close (c, FALSE);
  shutdown (c->io.fd, SHUT_WR);
  set_timer (c, LINGER_S);
}

void
cf_caller_flush (CfCaller *c)
{
  while (c->output_sent < c->output->len)
    {
      ssize_t n = send (c->io.fd, c->output->str + c->output_sent,
                        c->output->len - c->output_sent, MSG_NOSIGNAL);

      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && errno != EAGAIN)
        {
          /* The exchange is still using the caller.  The next read finds the
           * same error and closes the connection. */
          g_string_truncate (c->output, 0);
          c->output_sent = 0;
          ev_feed_event (c->gateway->loop, &c->io, EV_READ);
          return;
        }
      if (n < 0)
        break;
      c->output_sent += (gsize)n;
    }
  if (c->output_sent == c->output->len)
    finish_output (c);
  update_events (c);
}

/* Whether the answer ends with its head, whatever that says. */
static gboolean
has_no_body (const CfCaller *c, int status)
{
  return c->reader.parser.method == HTTP_HEAD
         || status == HTTP_STATUS_NO_CONTENT
         || status == HTTP_STATUS_NOT_MODIFIED;
}

void
cf_caller_begin_answer (CfCaller *c, int status, const char *headers,
                        gint64 length)
{
  gboolean http10
      = c->reader.parser.http_major == 1 && c->reader.parser.http_minor == 0;
  gboolean ends_by_close;

  c->has_no_body = has_no_body (c, status);
  ends_by_close = http10 && length < 0 && !c->has_no_body;
  if (c->gateway->stopping || !c->reader.has_head
      || !cf_http_reader_can_keep_alive (&c->reader) || ends_by_close)
    c->close_after_answer = TRUE;
  c->chunked = length < 0 && !http10 && !c->has_no_body;
  set_resets_on_close (c, ends_by_close);
  g_string_append_printf (c->output, "HTTP/1.1 %d %s\r\n", status,
                          http_status_str ((enum http_status)status));
  if (headers)
    g_string_append (c->output, headers);
  if (length >= 0 && status != HTTP_STATUS_NO_CONTENT)
    g_string_append_printf (c->output,
                            "Content-Length: %" G_GINT64_FORMAT "\r\n", length);
  else if (c->chunked)
    g_string_append (c->output, "Transfer-Encoding: chunked\r\n");
  if (c->close_after_answer)
    g_string_append (c->output, "Connection: close\r\n");
  g_string_append (c->output, "\r\n");
}

void
cf_caller_append_body (CfCaller *c, const char *data, gsize n)
{
  if (n == 0 || c->has_no_body)
    return;
  if (c->chunked)
    g_string_append_printf (c->output, "%" G_GSIZE_MODIFIER "x\r\n", n);
  g_string_append_len (c->output, data, (gssize)n);
  if (c->chunked)
    g_string_append (c->output, "\r\n");
}

static void
await_next_request (CfCaller *c)
{
  clear_body (c);
  cf_http_reader_next (&c->reader);
  set_timer (c, idle_timeout_s (c));
  if (c->input->len > 0)
    ev_feed_event (c->gateway->loop, &c->io, EV_READ);
}

void
cf_caller_end_answer (CfCaller *c)
{
  if (c->chunked)
    g_string_append (c->output, "0\r\n\r\n");
  c->chunked = FALSE;
  c->served = TRUE;
  c->exchange = NULL;
  if (!c->close_after_answer)
    await_next_request (c);
  cf_caller_flush (c);
}

void
cf_caller_abort (CfCaller *c)
{
  c->exchange = NULL;
  close_caller (c);
}

gsize
cf_caller_unsent_bytes (const CfCaller *c)
{
  return c->output->len - c->output_sent;
}

/* Refuses a request for which no exchange has started, so that nothing was sent
 * to a target. */
static void
refuse (CfCaller *c, int status, const char *reason)
{
  cf_log (LOG_NOTICE, CF_EV_NO_ROUTE, "id=- status=%d reason=\"%s\"", status,
          reason);
  c->gateway->stats.requests++;
  c->gateway->stats.outcomes[CF_OUTCOME_DENIED]++;
  c->close_after_answer = TRUE;
  cf_caller_begin_answer (c, status, NULL, 0);
  cf_caller_end_answer (c);
}

static void
on_head (void *owner)
{
  CfCaller *c = owner;
  const char *expect = cf_http_reader_header (&c->reader, CF_HDR_EXPECT);
  gboolean has_length = (c->reader.parser.flags & F_CONTENTLENGTH) != 0;

  if (has_length && c->reader.parser.content_length > body_limit (c))
    c->body_too_large = TRUE;
  else if (expect && g_ascii_strcasecmp (expect, "100-continue") == 0)
    {
      g_string_append (c->output, "HTTP/1.1 100 Continue\r\n\r\n");
      cf_caller_flush (c);
    }
}

static void
on_body (void *owner, const char *data, gsize n)
{
  CfCaller *c = owner;

  if (c->body_too_large || c->body->len + n > body_limit (c))
    {
      c->body_too_large = TRUE;
      return;
    }
  c->gateway->body_bytes += n;
  g_string_append_len (c->body, data, (gssize)n);
}

static const CfHttpReaderCallbacks reader_callbacks
    = { on_head, on_body, NULL };

/* Parses more of the current request; bytes after its end stay buffered. */
static void
parse_input (CfCaller *c)
{
  gboolean was_between_requests = !c->reader.started;
  gboolean had_head = c->reader.has_head;
  gsize used;
  gboolean is_valid;

  is_valid
      = cf_http_reader_feed (&c->reader, c->input->str, c->input->len, &used);
  if (c->is_closed)
    return;
  g_string_erase (c->input, 0, (gssize)MIN (used, c->input->len));
  if (c->reader.too_large)
    refuse (c, 431, "the head is over max-header-bytes");
  else if (!is_valid)
    refuse (c, 400,
            http_errno_description (HTTP_PARSER_ERRNO (&c->reader.parser)));
  else if (c->body_too_large)
    refuse (c, 413, "the body is over max-body-bytes");
  else if (c->gateway->body_bytes > c->gateway->body_bytes_max)
    refuse (c, 503, "too many bytes of requests are held");
  else if (c->reader.is_complete)
    {
      ev_timer_stop (c->gateway->loop, &c->timer);
      cf_exchange_start (c->gateway, c);
    }
  else if (was_between_requests && c->reader.started)
    set_timer (c, header_timeout_s (c));
  else if (c->reader.has_head && !had_head)
    set_timer (c, idle_timeout_s (c));
}

static void
read_input (CfCaller *c)
{
  char buf[READ_BYTES];
  ssize_t n = recv (c->io.fd, buf, sizeof buf, 0);

  if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
    {
      disconnect (c);
      return;
    }
  if (c->lingering)
    return;
  if (n > 0)
    g_string_append_len (c->input, buf, n);
  if (!c->exchange && c->input->len > 0 && !c->close_after_answer)
    parse_input (c);
  if (!c->is_closed)
    update_events (c);
}

static void
on_io (struct ev_loop *loop, ev_io *w, int revents)
{
  CfCaller *c = w->data;

  c->in_io_handler = TRUE;
  if (revents & EV_WRITE)
    {
      cf_caller_flush (c);
      if (!c->is_closed && c->exchange && c->output->len == 0)
        cf_exchange_unpause_upstream (c->exchange);
    }
  if (!c->is_closed && (revents & EV_READ))
    read_input (c);
  c->in_io_handler = FALSE;
  if (c->is_closed)
    free_caller (c);
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int revents)
{
  CfCaller *c = w->data;

  if (c->reader.started && !c->lingering && !c->close_after_answer)
    refuse (c, 408, "the request did not come in in time");
  else
    disconnect (c);
}

static void
add_caller (CfGateway *g, int fd)
{
  CfCaller *c = g_new0 (CfCaller, 1);
  gsize head_max = g->policy ? (gsize)g->policy->limits.max_header_bytes
                             : DEFAULT_HEADER_MAX_BYTES;

  c->gateway = g;
  c->accepted_ms = cf_gateway_now (g);
  c->input = g_string_new (NULL);
  c->body = g_string_new (NULL);
  c->output = g_string_new (NULL);
  cf_http_reader_init (&c->reader, HTTP_REQUEST, &reader_callbacks, c,
                       head_max);
  ev_io_init (&c->io, on_io, fd, EV_READ);
  c->io.data = c;
  ev_timer_init (&c->timer, on_timer, idle_timeout_s (c), 0);
  c->timer.data = c;
  ev_io_start (g->loop, &c->io);
  ev_timer_start (g->loop, &c->timer);
  TAILQ_INSERT_TAIL (&g->callers, c, link);
  g->n_callers++;
}

/* Whether @c connected so recently that its first request is probably in
 * transit. */
static gboolean
is_newly_connected (const CfCaller *c)
{
  return !c->served
         && cf_gateway_now (c->gateway) - c->accepted_ms
                < FIRST_REQUEST_GRACE_MS;
}

static gboolean
is_idle (const CfCaller *c)
{
  return !c->exchange && !c->reader.started && c->output->len == 0
         && !is_newly_connected (c);
}

static void
log_callers_full (CfGateway *g)
{
  gint64 now = cf_gateway_now (g);

  if (g->callers_full_logged_ms
      && now - g->callers_full_logged_ms < FULL_LOG_INTERVAL_MS)
    return;
  g->callers_full_logged_ms = now;
  cf_log (LOG_WARNING, CF_EV_CALLERS_FULL,
          "callers=%u requests=%u turned_away=%" G_GUINT64_FORMAT, g->n_callers,
          g->n_exchanges, g->stats.callers_turned_away);
}

/* Returns whether one more caller may be accepted; at the limit, closes an idle
 * caller to make that possible.  Without the limit the process could run out of
 * descriptors: it could not connect to any target, and its loop would spin
 * because it cannot accept the pending connections. */
static gboolean
ensure_capacity (CfGateway *g)
{
  CfCaller *c;

  if (g->n_callers < g->callers_max)
    return TRUE;
  log_callers_full (g);
  TAILQ_FOREACH (c, &g->callers, link)
  {
    if (!is_idle (c))
      continue;
    close_caller (c);
    return TRUE;
  }
  return FALSE;
}

void
cf_caller_accept (CfGateway *g, int listener)
{
  int fd;

  while ((fd = cf_socket_accept (listener)) >= 0)
    {
      if (ensure_capacity (g))
        {
          add_caller (g, fd);
          continue;
        }
      g->stats.callers_turned_away++;
      close (fd);
    }
}

void
cf_caller_close_idle (CfGateway *g)
{
  CfCaller *c = TAILQ_FIRST (&g->callers);

  while (c)
    {
      CfCaller *next = TAILQ_NEXT (c, link);

      if (is_idle (c))
        close_caller (c);
      c = next;
    }
}

void
cf_caller_abort_all (CfGateway *g)
{
  CfCaller *c;

  while ((c = TAILQ_FIRST (&g->callers)))
    {
      if (c->exchange)
        cf_exchange_end_at_shutdown (c->exchange);
      else if (c->reader.started && !c->close_after_answer)
        refuse (c, 503, "the process ends");
      close_caller (c);
    }
}
