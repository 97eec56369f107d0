#include "upstream.h"

#include "socket.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/** A connection within a region is established within a few ms.  A lost SYN is
 * retransmitted only after a second, so trying another target is faster. */
#define CONNECT_TIMEOUT_S 0.4
/** How long a connection is kept idle if the target names no timeout. */
#define IDLE_TIMEOUT_DEFAULT_S 2.0
/** Fraction of the idle timeout named by a target after which the gateway
 * closes the connection, so that the target does not close it while a request
 * is in transit. */
#define IDLE_TIMEOUT_FRACTION 0.6
/** Maximum size of an answer's head: input from targets is bounded like that
 * from callers. */
#define ANSWER_HEAD_MAX_BYTES 65536
#define READ_BYTES 16384
/** What is skipped before an answer: interim answers, and a few late copies of
 * others.  With more, the target sends something else than answers. */
#define SKIPPED_MAX 16
#define SKIPPED_MAX_BYTES 131072

const char *
cf_upstream_failure_name (CfUpstreamFailure f)
{
  switch (f)
    {
    case CF_FAILURE_UNSENT:
      return "unsent";
    case CF_FAILURE_LOST:
      return "lost";
    case CF_FAILURE_MALFORMED:
      return "garbled";
    case CF_FAILURE_INCOMPLETE:
      return "incomplete";
    case CF_FAILURE_EXCESSIVE:
      return "excessive";
    }
  return "unknown";
}

static void
free_upstream (CfUpstream *u)
{
  cf_http_reader_clear (&u->reader);
  if (u->request)
    g_string_free (u->request, TRUE);
  g_free (u->request_id);
  cf_sent_ids_clear (&u->sent_ids);
  cf_target_unref (u->target);
  g_free (u);
}

/* Closes the connection.  Within a read, read_available() frees the memory
 * later. */
static void
close_connection (CfUpstream *u)
{
  if (u->is_closed)
    return;
  u->is_closed = TRUE;
  ev_io_stop (u->loop, &u->io);
  ev_timer_stop (u->loop, &u->timer);
  close (u->io.fd);
  if (u->owner == NULL)
    TAILQ_REMOVE (&u->target->idle, u, link);
  else
    TAILQ_REMOVE (&u->target->busy, u, link);
  u->owner = NULL;
  if (!u->in_read)
    free_upstream (u);
}

static void
fail (CfUpstream *u, CfUpstreamFailure f)
{
  void *owner = u->owner;
  const CfUpstreamCallbacks *callbacks = u->callbacks;

  close_connection (u);
  if (owner)
    callbacks->on_failure (owner, f);
}

static void
watch_events (CfUpstream *u, int events)
{
  if (u->io.events == events && ev_is_active (&u->io))
    return;
  ev_io_stop (u->loop, &u->io);
  ev_io_set (&u->io, u->io.fd, events);
  if (events)
    ev_io_start (u->loop, &u->io);
}

static int
needed_events (const CfUpstream *u)
{
  int events = u->paused ? 0 : EV_READ;

  if (u->request && u->n_sent < u->request->len)
    events |= EV_WRITE;
  return events;
}

/* Sends as much of the request as the socket takes.  FALSE if that failed and
 * the connection was closed. */
static gboolean
flush (CfUpstream *u)
{
  while (u->n_sent < u->request->len)
    {
      ssize_t n = send (u->io.fd, u->request->str + u->n_sent,
                        u->request->len - u->n_sent, MSG_NOSIGNAL);

      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && errno == EAGAIN)
        break;
      if (n < 0)
        {
          fail (u, u->sent_any ? CF_FAILURE_LOST : CF_FAILURE_UNSENT);
          return FALSE;
        }
      u->sent_any = TRUE;
      u->n_sent += (gsize)n;
    }
  watch_events (u, needed_events (u));
  return TRUE;
}

/* Handles the head of an answer.  One that bears another id is skipped.  One
 * without an id may be to any request that the connection has carried; nothing
 * tells whether that to the request in progress follows. */
static void
on_head (void *owner)
{
  CfUpstream *u = owner;
  const char *id = cf_http_reader_header (&u->reader, CF_HDR_REQUEST_ID);

  u->skipping_answer = u->reader.parser.status_code < 200
                       || (id && g_strcmp0 (id, u->request_id) != 0);
  if (u->skipping_answer || !u->owner)
    return;
  if (u->request_id && !id && u->reused)
    u->is_rejected = TRUE;
  else
    u->callbacks->on_head (u->owner, &u->reader);
}

static void
on_body (void *owner, const char *data, gsize n)
{
  CfUpstream *u = owner;

  if (!u->skipping_answer && !u->is_rejected && u->owner)
    u->callbacks->on_body (u->owner, data, n);
}

static const CfHttpReaderCallbacks reader_callbacks
    = { on_head, on_body, NULL };

/* How long to keep the connection idle, by the target's Keep-Alive header. */
static double
idle_timeout_s (const CfHttpReader *r)
{
  const char *at;

  for (guint i = 0; i < r->headers->len; i++)
    {
      const CfHeader *h = &g_array_index (r->headers, CfHeader, i);

      if (h->kind == CF_HDR_CONNECTION
          && g_ascii_strcasecmp (h->name, "Keep-Alive") == 0
          && (at = strstr (h->value, "timeout=")))
        return (double)g_ascii_strtoll (at + strlen ("timeout="), NULL, 10)
               * IDLE_TIMEOUT_FRACTION;
    }
  return IDLE_TIMEOUT_DEFAULT_S;
}

/* Whether answers to later requests could be told from a second one to the
 * request in progress.  The length of that to a HEAD request would stand for
 * bytes of another answer. */
static gboolean
can_tell_answers_apart (const CfUpstream *u)
{
  if (u->answers_head || cf_sent_ids_is_full (&u->sent_ids))
    return FALSE;
  return !u->request_id
         || cf_http_reader_header (&u->reader, CF_HDR_REQUEST_ID);
}

/* The answer is complete: keeps the connection idle if it can be reused, else
 * closes it. */
static void
finish_answer (CfUpstream *u, gboolean keep)
{
  void *owner = u->owner;
  const CfUpstreamCallbacks *callbacks = u->callbacks;

  u->idle_timeout_s = idle_timeout_s (&u->reader);
  keep = keep && cf_http_reader_can_keep_alive (&u->reader)
         && can_tell_answers_apart (u) && u->n_sent == u->request->len
         && u->target->listed && !cf_target_is_leaving (u->target)
         && u->idle_timeout_s > 0;
  if (keep)
    {
      u->owner = NULL;
      cf_upstream_set_paused (u, FALSE);
      cf_http_reader_next (&u->reader);
      TAILQ_REMOVE (&u->target->busy, u, link);
      TAILQ_INSERT_HEAD (&u->target->idle, u, link);
      ev_timer_stop (u->loop, &u->timer);
      ev_timer_set (&u->timer, u->idle_timeout_s, 0);
      ev_timer_start (u->loop, &u->timer);
    }
  else
    close_connection (u);
  if (owner)
    callbacks->on_done (owner);
}

/* Whether a target that has sent @used more bytes goes on sending what is no
 * answer to the request. */
static gboolean
exceeds_skip_limit (CfUpstream *u, gsize used)
{
  if (u->reader.has_head && !u->skipping_answer)
    return FALSE;
  u->skipped_bytes += used;
  return u->skipped_bytes > SKIPPED_MAX_BYTES || u->n_skipped > SKIPPED_MAX;
}

static void
feed (CfUpstream *u, const char *data, gsize n)
{
  gsize used;

  while (n > 0 && !u->is_closed)
    {
      if (!u->owner) /* data without a pending request */
        {
          close_connection (u);
          return;
        }
      if (!cf_http_reader_feed (&u->reader, data, n, &used) || u->is_rejected)
        {
          fail (u, CF_FAILURE_MALFORMED);
          return;
        }
      if (exceeds_skip_limit (u, used))
        {
          fail (u, CF_FAILURE_EXCESSIVE);
          return;
        }
      data += used;
      n -= used;
      if (u->is_closed || !u->reader.is_complete)
        continue;
      if (u->skipping_answer)
        {
          u->n_skipped++;
          cf_http_reader_next (&u->reader);
        }
      else
        {
          finish_answer (u, n == 0);
          return;
        }
    }
}

static void
handle_eof (CfUpstream *u)
{
  gboolean is_complete = u->owner && u->reader.has_head && !u->skipping_answer
                         && cf_http_reader_eof (&u->reader);

  if (u->is_closed)
    return;
  if (is_complete)
    finish_answer (u, FALSE);
  else
    fail (u, u->sent_any ? CF_FAILURE_LOST : CF_FAILURE_UNSENT);
}

static void
read_available (CfUpstream *u)
{
  char buf[READ_BYTES];
  ssize_t n = recv (u->io.fd, buf, sizeof buf, 0);

  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  u->in_read = TRUE;
  if (n > 0)
    feed (u, buf, (gsize)n);
  else if (n == 0)
    handle_eof (u);
  else
    fail (u, u->sent_any ? CF_FAILURE_LOST : CF_FAILURE_UNSENT);
  u->in_read = FALSE;
  if (u->is_closed)
    free_upstream (u);
}

static void
on_connected (CfUpstream *u)
{
  if (cf_socket_error (u->io.fd) != 0)
    {
      fail (u, CF_FAILURE_UNSENT);
      return;
    }
  u->connecting = FALSE;
  ev_timer_stop (u->loop, &u->timer);
  flush (u);
}

static void
on_io (struct ev_loop *loop, ev_io *w, int revents)
{
  CfUpstream *u = w->data;

  if (u->connecting)
    {
      on_connected (u);
      return;
    }
  if ((revents & EV_WRITE) && !flush (u))
    return;
  if (revents & EV_READ)
    read_available (u);
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int revents)
{
  fail (w->data, CF_FAILURE_UNSENT);
}

static CfUpstream *
open_connection (struct ev_loop *loop, CfTarget *t)
{
  int fd = cf_socket_connect (&t->addr);
  CfUpstream *u;

  if (fd < 0)
    return NULL;
  u = g_new0 (CfUpstream, 1);
  u->loop = loop;
  u->target = cf_target_ref (t);
  u->connecting = TRUE;
  cf_http_reader_init (&u->reader, HTTP_RESPONSE, &reader_callbacks, u,
                       ANSWER_HEAD_MAX_BYTES);
  ev_io_init (&u->io, on_io, fd, EV_WRITE);
  u->io.data = u;
  ev_timer_init (&u->timer, on_timer, CONNECT_TIMEOUT_S, 0);
  u->timer.data = u;
  ev_io_start (loop, &u->io);
  ev_timer_start (loop, &u->timer);
  return u;
}

/* (nullable): an idle connection that has not carried @request_id. */
static CfUpstream *
take_idle (CfTarget *t, const char *request_id)
{
  CfUpstream *u;

  TAILQ_FOREACH (u, &t->idle, link)
  if (!cf_sent_ids_may_contain (&u->sent_ids, request_id))
    break;
  if (!u)
    return NULL;
  TAILQ_REMOVE (&t->idle, u, link);
  ev_timer_stop (u->loop, &u->timer);
  u->reused = TRUE;
  u->sent_any = FALSE;
  u->skipping_answer = FALSE;
  return u;
}

/* A new connection sends once it is established, a reused one in the next
 * event loop iteration, so that failures are reported after this function has
 * returned. */
CfUpstream *
cf_upstream_send (struct ev_loop *loop, CfTarget *t, GString *request,
                  const char *request_id, gboolean head_only,
                  const CfUpstreamCallbacks *callbacks, void *owner)
{
  CfUpstream *u = take_idle (t, request_id);

  if (!u)
    u = open_connection (loop, t);
  if (!u)
    {
      g_string_free (request, TRUE);
      return NULL;
    }
  if (u->request)
    g_string_free (u->request, TRUE);
  g_free (u->request_id);
  u->request = request;
  u->n_sent = 0;
  u->request_id = g_strdup (request_id);
  cf_sent_ids_add (&u->sent_ids, request_id);
  u->n_skipped = 0;
  u->skipped_bytes = 0;
  u->answers_head = head_only;
  u->reader.no_body = head_only;
  u->callbacks = callbacks;
  u->owner = owner;
  TAILQ_INSERT_TAIL (&t->busy, u, link);
  if (u->reused && !u->connecting)
    {
      watch_events (u, EV_READ | EV_WRITE);
      ev_feed_event (loop, &u->io, EV_WRITE);
    }
  return u;
}

/* Resets the connection.  A stalled target that has not read the request yet
 * then sees the reset first.  A FIN would be queued behind the request, and may
 * also mean that the sender has only finished sending. */
void
cf_upstream_cancel (CfUpstream *u)
{
  const struct linger hard = { 1, 0 };

  setsockopt (u->io.fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  close_connection (u);
}

void
cf_upstream_reject (CfUpstream *u)
{
  u->is_rejected = TRUE;
}

void
cf_upstream_set_paused (CfUpstream *u, gboolean pause)
{
  if (u->paused == pause || u->connecting)
    return;
  u->paused = pause;
  watch_events (u, needed_events (u));
}

void
cf_upstream_close_idle (CfTarget *t)
{
  CfUpstream *u;

  while ((u = TAILQ_FIRST (&t->idle)))
    close_connection (u);
}

void
cf_upstream_fail_all (CfTarget *t)
{
  CfUpstream *u;

  cf_upstream_close_idle (t);
  while ((u = TAILQ_FIRST (&t->busy)))
    fail (u, u->sent_any ? CF_FAILURE_LOST : CF_FAILURE_UNSENT);
}
