#include "caller.h"

#include "exchange.h"
#include "log.h"
#include "socket.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/** One read; larger bodies take several. */
#define READ_SIZE 16384
/** A caller sends its first request within a few ms of connecting; a stop
 * does not close the connection in its face. */
#define NEW_MS 500
/** Bytes of later requests kept while one is answered; more wait in the
 * kernel, where they hold up only their own caller. */
#define PIPELINE_MAX 65536
/** How long a refused caller may take to close: closing first would reset
 * the connection and lose the refusal. */
#define LINGER_S 1.0
/** At most so often it is logged that all connections are taken. */
#define FULL_LOG_MS 1000
/** Limits until a configuration is known. */
#define DEFAULT_HEADER_MAX 16384
#define DEFAULT_HEADER_TIMEOUT_S 3.0
#define DEFAULT_IDLE_TIMEOUT_S 15.0
#define DEFAULT_BODY_MAX 4194304

static void
free_caller (CfCaller *c)
{
  cf_http_reader_clear (&c->reader);
  g_string_free (c->in, TRUE);
  g_string_free (c->body, TRUE);
  g_string_free (c->out, TRUE);
  g_free (c);
}

static void
drop_body (CfCaller *c)
{
  c->g->body_bytes -= c->body->len;
  /* A large body's memory goes back; the usual small one is kept. */
  if (c->body->allocated_len > PIPELINE_MAX)
    {
      g_string_free (c->body, TRUE);
      c->body = g_string_new (NULL);
    }
  else
    g_string_truncate (c->body, 0);
}

static void
shut (CfCaller *c)
{
  if (c->dead)
    return;
  c->dead = TRUE;
  drop_body (c);
  ev_io_stop (c->g->loop, &c->io);
  ev_timer_stop (c->g->loop, &c->timer);
  close (c->io.fd);
  TAILQ_REMOVE (&c->g->callers, c, link);
  c->g->n_callers--;
  if (!c->in_read)
    free_caller (c);
}

static void
leave (CfCaller *c)
{
  CfExchange *x = c->x;

  c->x = NULL;
  if (x)
    cf_exchange_abandon (x);
  shut (c);
}

static void
set_timer (CfCaller *c, double s)
{
  ev_timer_stop (c->g->loop, &c->timer);
  ev_timer_set (&c->timer, s, 0);
  ev_timer_start (c->g->loop, &c->timer);
}

static double
idle_timeout (const CfCaller *c)
{
  const CfPolicy *p = c->g->policy;

  return p ? (double)p->limits.idle_timeout_ms / 1000 : DEFAULT_IDLE_TIMEOUT_S;
}

static double
header_timeout (const CfCaller *c)
{
  const CfPolicy *p = c->g->policy;

  return p ? (double)p->limits.header_timeout_ms / 1000
           : DEFAULT_HEADER_TIMEOUT_S;
}

static gsize
body_max (const CfCaller *c)
{
  const CfPolicy *p = c->g->policy;

  return p ? (gsize)p->limits.max_body_bytes : DEFAULT_BODY_MAX;
}

static void
want (CfCaller *c)
{
  int events = 0;

  if (c->in->len < PIPELINE_MAX)
    events |= EV_READ;
  if (c->out_sent < c->out->len)
    events |= EV_WRITE;
  if (events == c->io.events && ev_is_active (&c->io))
    return;
  ev_io_stop (c->g->loop, &c->io);
  ev_io_set (&c->io, c->io.fd, events);
  if (events)
    ev_io_start (c->g->loop, &c->io);
}

/* All is sent: the connection ends here if it is to. */
static void
all_sent (CfCaller *c)
{
  g_string_truncate (c->out, 0);
  c->out_sent = 0;
  if (!c->close || c->x || c->lingering)
    return;
  c->lingering = TRUE;
  shutdown (c->io.fd, SHUT_WR);
  set_timer (c, LINGER_S);
}

void
cf_caller_flush (CfCaller *c)
{
  while (c->out_sent < c->out->len)
    {
      ssize_t n = send (c->io.fd, c->out->str + c->out_sent,
                        c->out->len - c->out_sent, MSG_NOSIGNAL);

      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && errno != EAGAIN)
        {
          /* The next read finds the same error and ends the connection;
           * here the exchange is still at work on it. */
          g_string_truncate (c->out, 0);
          c->out_sent = 0;
          ev_feed_event (c->g->loop, &c->io, EV_READ);
          return;
        }
      if (n < 0)
        break;
      c->out_sent += (gsize)n;
    }
  if (c->out_sent == c->out->len)
    all_sent (c);
  want (c);
}

void
cf_caller_begin_answer (CfCaller *c, int status, const char *headers,
                        gint64 length)
{
  gboolean http10
      = c->reader.parser.http_major == 1 && c->reader.parser.http_minor == 0;

  if (c->g->stopping || !c->reader.has_head
      || !cf_http_reader_can_keep_alive (&c->reader) || (http10 && length < 0))
    c->close = TRUE;
  c->chunked = length < 0 && !http10;
  g_string_append_printf (c->out, "HTTP/1.1 %d %s\r\n", status,
                          http_status_str ((enum http_status)status));
  if (headers)
    g_string_append (c->out, headers);
  if (length >= 0)
    g_string_append_printf (c->out, "Content-Length: %" G_GINT64_FORMAT "\r\n",
                            length);
  else if (c->chunked)
    g_string_append (c->out, "Transfer-Encoding: chunked\r\n");
  if (c->close)
    g_string_append (c->out, "Connection: close\r\n");
  g_string_append (c->out, "\r\n");
}

void
cf_caller_append_body (CfCaller *c, const char *data, gsize n)
{
  if (n == 0)
    return;
  if (c->chunked)
    g_string_append_printf (c->out, "%" G_GSIZE_MODIFIER "x\r\n", n);
  g_string_append_len (c->out, data, (gssize)n);
  if (c->chunked)
    g_string_append (c->out, "\r\n");
}

static void
next_request (CfCaller *c)
{
  drop_body (c);
  cf_http_reader_next (&c->reader);
  set_timer (c, idle_timeout (c));
  if (c->in->len > 0)
    ev_feed_event (c->g->loop, &c->io, EV_READ);
}

void
cf_caller_end_answer (CfCaller *c)
{
  if (c->chunked)
    g_string_append (c->out, "0\r\n\r\n");
  c->chunked = FALSE;
  c->served = TRUE;
  c->x = NULL;
  if (!c->close)
    next_request (c);
  cf_caller_flush (c);
}

void
cf_caller_abort (CfCaller *c)
{
  c->x = NULL;
  shut (c);
}

gsize
cf_caller_unsent_bytes (const CfCaller *c)
{
  return c->out->len - c->out_sent;
}

/* Refuses what could not be read as a request; nothing was run. */
static void
refuse (CfCaller *c, int status, const char *why)
{
  cf_log (LOG_NOTICE, CF_EV_NO_ROUTE, "id=- status=%d reason=\"%s\"", status,
          why);
  c->g->stats.requests++;
  c->g->stats.outcomes[CF_OUTCOME_DENIED]++;
  c->close = TRUE;
  cf_caller_begin_answer (c, status, NULL, 0);
  cf_caller_end_answer (c);
}

static void
on_head (void *owner)
{
  CfCaller *c = owner;
  const char *expect = cf_http_reader_header (&c->reader, CF_HDR_EXPECT);
  gboolean sized = (c->reader.parser.flags & F_CONTENTLENGTH) != 0;

  if (sized && c->reader.parser.content_length > body_max (c))
    c->too_large = TRUE;
  else if (expect && g_ascii_strcasecmp (expect, "100-continue") == 0)
    {
      g_string_append (c->out, "HTTP/1.1 100 Continue\r\n\r\n");
      cf_caller_flush (c);
    }
}

static void
on_body (void *owner, const char *data, gsize n)
{
  CfCaller *c = owner;

  if (c->too_large || c->body->len + n > body_max (c))
    {
      c->too_large = TRUE;
      return;
    }
  c->g->body_bytes += n;
  g_string_append_len (c->body, data, (gssize)n);
}

static const CfHttpReaderCallbacks reader_calls = { on_head, on_body, NULL };

/* Reads on in the current request; whatever is behind it stays in @in. */
static void
feed_in (CfCaller *c)
{
  gboolean fresh = !c->reader.started;
  gboolean had_head = c->reader.has_head;
  gsize used;
  gboolean good;

  good = cf_http_reader_feed (&c->reader, c->in->str, c->in->len, &used);
  if (c->dead)
    return;
  g_string_erase (c->in, 0, (gssize)MIN (used, c->in->len));
  if (c->reader.too_large)
    refuse (c, 431, "the head is over max-header-bytes");
  else if (!good)
    refuse (c, 400,
            http_errno_description (HTTP_PARSER_ERRNO (&c->reader.parser)));
  else if (c->too_large)
    refuse (c, 413, "the body is over max-body-bytes");
  else if (c->g->body_bytes > c->g->body_bytes_max)
    refuse (c, 503, "too many bytes of requests are held");
  else if (c->reader.is_complete)
    {
      ev_timer_stop (c->g->loop, &c->timer);
      cf_exchange_start (c->g, c);
    }
  else if (fresh && c->reader.started)
    set_timer (c, header_timeout (c));
  else if (c->reader.has_head && !had_head)
    set_timer (c, idle_timeout (c));
}

static void
read_some (CfCaller *c)
{
  char buf[READ_SIZE];
  ssize_t n = recv (c->io.fd, buf, sizeof buf, 0);

  if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
    {
      leave (c);
      return;
    }
  if (c->lingering)
    return;
  if (n > 0)
    g_string_append_len (c->in, buf, n);
  if (!c->x && c->in->len > 0 && !c->close)
    feed_in (c);
  if (!c->dead)
    want (c);
}

static void
on_io (struct ev_loop *loop, ev_io *w, int revents)
{
  CfCaller *c = w->data;

  c->in_read = TRUE;
  if (revents & EV_WRITE)
    {
      cf_caller_flush (c);
      if (!c->dead && c->x && c->out->len == 0)
        cf_exchange_drained (c->x);
    }
  if (!c->dead && (revents & EV_READ))
    read_some (c);
  c->in_read = FALSE;
  if (c->dead)
    free_caller (c);
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int revents)
{
  CfCaller *c = w->data;

  if (c->reader.started && !c->lingering && !c->close)
    refuse (c, 408, "the request did not come in in time");
  else
    leave (c);
}

static void
add_caller (CfGateway *g, int fd)
{
  CfCaller *c = g_new0 (CfCaller, 1);
  gsize head_max = g->policy ? (gsize)g->policy->limits.max_header_bytes
                             : DEFAULT_HEADER_MAX;

  c->g = g;
  c->accepted_ms = cf_gateway_now (g);
  c->in = g_string_new (NULL);
  c->body = g_string_new (NULL);
  c->out = g_string_new (NULL);
  cf_http_reader_init (&c->reader, HTTP_REQUEST, &reader_calls, c, head_max);
  ev_io_init (&c->io, on_io, fd, EV_READ);
  c->io.data = c;
  ev_timer_init (&c->timer, on_timer, idle_timeout (c), 0);
  c->timer.data = c;
  ev_io_start (g->loop, &c->io);
  ev_timer_start (g->loop, &c->timer);
  TAILQ_INSERT_TAIL (&g->callers, c, link);
  g->n_callers++;
}

/* Its first request is on its way. */
static gboolean
is_new (const CfCaller *c)
{
  return !c->served && cf_gateway_now (c->g) - c->accepted_ms < NEW_MS;
}

static gboolean
is_idle (const CfCaller *c)
{
  return !c->x && !c->reader.started && c->out->len == 0 && !is_new (c);
}

static void
log_full (CfGateway *g)
{
  gint64 now = cf_gateway_now (g);

  if (g->callers_full_logged_ms
      && now - g->callers_full_logged_ms < FULL_LOG_MS)
    return;
  g->callers_full_logged_ms = now;
  cf_log (LOG_WARNING, CF_EV_CALLERS_FULL,
          "callers=%u requests=%u turned_away=%" G_GUINT64_FORMAT, g->n_callers,
          g->n_exchanges, g->stats.callers_turned_away);
}

/* Whether one more caller may connect, perhaps in the place of one that is
 * idle.  Once the process has no descriptor left, it reaches no target, and
 * turns its loop for nothing since it cannot accept what waits. */
static gboolean
make_room (CfGateway *g)
{
  CfCaller *c;

  if (g->n_callers < g->callers_max)
    return TRUE;
  log_full (g);
  TAILQ_FOREACH (c, &g->callers, link)
  {
    if (!is_idle (c))
      continue;
    shut (c);
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
      if (make_room (g))
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
        shut (c);
      c = next;
    }
}

void
cf_caller_abort_all (CfGateway *g)
{
  CfCaller *c;

  while ((c = TAILQ_FIRST (&g->callers)))
    {
      if (c->x)
        cf_exchange_end_with_process (c->x);
      else if (c->reader.started && !c->close)
        refuse (c, 503, "the process ends");
      shut (c);
    }
}
