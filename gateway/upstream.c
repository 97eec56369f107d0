#include "upstream.h"

#include "socket.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/** A connect within a region takes a few ms; a lost SYN is sent again only
 * after a second, so another target is the better use of the time. */
#define CONNECT_TIMEOUT_S 0.4
/** Kept idle when the target names no time of its own. */
#define IDLE_DEFAULT_S 2.0
/** Of the time a target names, the part that we use: it must not close in
 * the face of a request that is on its way. */
#define IDLE_PART 0.6
/** Answer heads of targets; what they send is bounded too. */
#define ANSWER_HEAD_MAX 65536
/** One read; larger answers take several. */
#define READ_SIZE 16384

const char *
cf_upstream_fail_name (CfUpstreamFail f)
{
  switch (f)
    {
    case CF_FAIL_UNSENT:
      return "unsent";
    case CF_FAIL_LOST:
      return "lost";
    case CF_FAIL_GARBLED:
      return "garbled";
    }
  return "unknown";
}

static void
free_upstream (CfUpstream *u)
{
  cf_http_reader_clear (&u->reader);
  if (u->out)
    g_string_free (u->out, TRUE);
  g_free (u->request_id);
  cf_target_unref (u->target);
  g_free (u);
}

/* Closes the connection; the memory goes when no read is on the stack. */
static void
shut (CfUpstream *u)
{
  if (u->dead)
    return;
  u->dead = TRUE;
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
fail (CfUpstream *u, CfUpstreamFail f)
{
  void *owner = u->owner;
  const CfUpstreamCalls *calls = u->calls;

  shut (u);
  if (owner)
    calls->fail (owner, f);
}

static void
want (CfUpstream *u, int events)
{
  if (u->io.events == events && ev_is_active (&u->io))
    return;
  ev_io_stop (u->loop, &u->io);
  ev_io_set (&u->io, u->io.fd, events);
  if (events)
    ev_io_start (u->loop, &u->io);
}

static int
events_wanted (const CfUpstream *u)
{
  int events = u->paused ? 0 : EV_READ;

  if (u->out && u->out_sent < u->out->len)
    events |= EV_WRITE;
  return events;
}

/* Returns FALSE if the connection broke; it is closed then. */
static gboolean
flush (CfUpstream *u)
{
  while (u->out_sent < u->out->len)
    {
      ssize_t n = send (u->io.fd, u->out->str + u->out_sent,
                        u->out->len - u->out_sent, MSG_NOSIGNAL);

      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && errno == EAGAIN)
        break;
      if (n < 0)
        {
          fail (u, u->sent_any ? CF_FAIL_LOST : CF_FAIL_UNSENT);
          return FALSE;
        }
      u->sent_any = TRUE;
      u->out_sent += (gsize)n;
    }
  want (u, events_wanted (u));
  return TRUE;
}

static gboolean
answers_us (const CfUpstream *u)
{
  const char *id = cf_http_reader_header (&u->reader, CF_HDR_REQUEST_ID);

  return !id || !u->request_id || strcmp (id, u->request_id) == 0;
}

static void
on_head (void *owner)
{
  CfUpstream *u = owner;

  u->skipping = !answers_us (u) || u->reader.parser.status_code < 200;
  if (!u->skipping && u->owner)
    u->calls->head (u->owner, &u->reader);
}

static void
on_body (void *owner, const char *data, gsize n)
{
  CfUpstream *u = owner;

  if (!u->skipping && u->owner)
    u->calls->body (u->owner, data, n);
}

static const CfHttpReaderCallbacks reader_calls = { on_head, on_body, NULL };

/* The time in a Keep-Alive header, as far as we use it. */
static double
idle_time (const CfHttpReader *r)
{
  const char *at;

  for (guint i = 0; i < r->headers->len; i++)
    {
      const CfHeader *h = &g_array_index (r->headers, CfHeader, i);

      if (h->kind == CF_HDR_CONNECTION
          && g_ascii_strcasecmp (h->name, "Keep-Alive") == 0
          && (at = strstr (h->value, "timeout=")))
        return (double)g_ascii_strtoll (at + strlen ("timeout="), NULL, 10)
               * IDLE_PART;
    }
  return IDLE_DEFAULT_S;
}

/* The answer is whole: the connection goes idle, if it can be used again. */
static void
finish (CfUpstream *u, gboolean keep)
{
  void *owner = u->owner;
  const CfUpstreamCalls *calls = u->calls;

  u->idle_s = idle_time (&u->reader);
  keep = keep && cf_http_reader_can_keep_alive (&u->reader)
         && u->out_sent == u->out->len && u->target->listed
         && !u->target->record.leaving && u->idle_s > 0;
  if (keep)
    {
      u->owner = NULL;
      cf_http_reader_next (&u->reader);
      TAILQ_REMOVE (&u->target->busy, u, link);
      TAILQ_INSERT_HEAD (&u->target->idle, u, link);
      ev_timer_stop (u->loop, &u->timer);
      ev_timer_set (&u->timer, u->idle_s, 0);
      ev_timer_start (u->loop, &u->timer);
    }
  else
    shut (u);
  if (owner)
    calls->done (owner);
}

static void
feed (CfUpstream *u, const char *data, gsize n)
{
  gsize used;

  while (n > 0 && !u->dead)
    {
      if (!u->owner) /* bytes that no request asked for */
        {
          shut (u);
          return;
        }
      if (!cf_http_reader_feed (&u->reader, data, n, &used))
        {
          fail (u, CF_FAIL_GARBLED);
          return;
        }
      data += used;
      n -= used;
      if (u->dead || !u->reader.is_complete)
        continue;
      if (u->skipping)
        cf_http_reader_next (&u->reader);
      else
        {
          finish (u, n == 0);
          return;
        }
    }
}

static void
at_eof (CfUpstream *u)
{
  gboolean whole = u->owner && u->reader.has_head && !u->skipping
                   && cf_http_reader_eof (&u->reader);

  if (u->dead)
    return;
  if (whole)
    finish (u, FALSE);
  else
    fail (u, u->sent_any ? CF_FAIL_LOST : CF_FAIL_UNSENT);
}

static void
read_some (CfUpstream *u)
{
  char buf[READ_SIZE];
  ssize_t n = recv (u->io.fd, buf, sizeof buf, 0);

  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  u->in_read = TRUE;
  if (n > 0)
    feed (u, buf, (gsize)n);
  else if (n == 0)
    at_eof (u);
  else
    fail (u, u->sent_any ? CF_FAIL_LOST : CF_FAIL_UNSENT);
  u->in_read = FALSE;
  if (u->dead)
    free_upstream (u);
}

static void
on_connected (CfUpstream *u)
{
  if (cf_socket_error (u->io.fd) != 0)
    {
      fail (u, CF_FAIL_UNSENT);
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
    read_some (u);
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int revents)
{
  fail (w->data, CF_FAIL_UNSENT);
}

static CfUpstream *
open_new (struct ev_loop *loop, CfTarget *t)
{
  int fd = cf_socket_connect (&t->addr);
  CfUpstream *u;

  if (fd < 0)
    return NULL;
  u = g_new0 (CfUpstream, 1);
  u->loop = loop;
  u->target = cf_target_ref (t);
  u->connecting = TRUE;
  cf_http_reader_init (&u->reader, HTTP_RESPONSE, &reader_calls, u,
                       ANSWER_HEAD_MAX);
  ev_io_init (&u->io, on_io, fd, EV_WRITE);
  u->io.data = u;
  ev_timer_init (&u->timer, on_timer, CONNECT_TIMEOUT_S, 0);
  u->timer.data = u;
  ev_io_start (loop, &u->io);
  ev_timer_start (loop, &u->timer);
  return u;
}

static CfUpstream *
take_idle (CfTarget *t)
{
  CfUpstream *u = TAILQ_FIRST (&t->idle);

  if (!u)
    return NULL;
  TAILQ_REMOVE (&t->idle, u, link);
  ev_timer_stop (u->loop, &u->timer);
  u->reused = TRUE;
  u->sent_any = FALSE;
  u->skipping = FALSE;
  return u;
}

/* A new connection sends once it is made, a kept one in the loop's next
 * turn, so that failures come after cf_upstream_send() has returned. */
CfUpstream *
cf_upstream_send (struct ev_loop *loop, CfTarget *t, GString *request,
                  const char *request_id, gboolean head_only,
                  const CfUpstreamCalls *calls, void *owner)
{
  CfUpstream *u = take_idle (t);

  if (!u)
    u = open_new (loop, t);
  if (!u)
    {
      g_string_free (request, TRUE);
      return NULL;
    }
  if (u->out)
    g_string_free (u->out, TRUE);
  g_free (u->request_id);
  u->out = request;
  u->out_sent = 0;
  u->request_id = g_strdup (request_id);
  u->reader.no_body = head_only;
  u->calls = calls;
  u->owner = owner;
  TAILQ_INSERT_TAIL (&t->busy, u, link);
  if (u->reused && !u->connecting)
    {
      want (u, EV_READ | EV_WRITE);
      ev_feed_event (loop, &u->io, EV_WRITE);
    }
  return u;
}

/* With a reset: a target that stands still and has not read the request yet
 * meets that before it.  An orderly end lies behind the request, and may be
 * that of a caller which has no more to say. */
void
cf_upstream_cancel (CfUpstream *u)
{
  const struct linger hard = { 1, 0 };

  setsockopt (u->io.fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  shut (u);
}

void
cf_upstream_pause (CfUpstream *u, gboolean pause)
{
  if (u->paused == pause || u->connecting)
    return;
  u->paused = pause;
  want (u, events_wanted (u));
}

void
cf_upstream_close_idle (CfTarget *t)
{
  CfUpstream *u;

  while ((u = TAILQ_FIRST (&t->idle)))
    shut (u);
}

void
cf_upstream_fail_all (CfTarget *t)
{
  CfUpstream *u;

  cf_upstream_close_idle (t);
  while ((u = TAILQ_FIRST (&t->busy)))
    fail (u, u->sent_any ? CF_FAIL_LOST : CF_FAIL_UNSENT);
}
