#include "store-watch.h"

#include "log.h"
#include "socket.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/** A connect or an answer that takes longer is taken as lost.  The store
 * answers in ms; slow days multiply that by up to a hundred. */
#define ANSWER_TIMEOUT_MS 1000
/** Pauses after a failure double from the first to the last, so that a
 * store that is down is asked about once a second. */
#define PAUSE_FIRST_MS 100
#define PAUSE_LAST_MS 800
/** How long a watch waits for a change: a call a second from each gateway
 * would use up the rates of the store at some hundred gateways.  That a
 * connection went silent is found by its keep-alive, in about 3 s. */
#define WAIT_MS 5000
#define READ_SIZE 16384
#define HEAD_MAX 16384
/** Answers are pages of about a megabyte, base64 included. */
#define BODY_MAX 8388608

static void begin_call (CfStoreWatch *w);

static void
set_timer (CfStoreWatch *w, gint64 ms)
{
  ev_timer_stop (w->g->loop, &w->timer);
  ev_timer_set (&w->timer, (double)ms / 1000, 0);
  ev_timer_start (w->g->loop, &w->timer);
}

static void
disconnect (CfStoreWatch *w)
{
  if (w->io.fd < 0)
    return;
  ev_io_stop (w->g->loop, &w->io);
  close (w->io.fd);
  ev_io_set (&w->io, -1, 0);
}

static void
set_contact (CfStoreWatch *w, CfStoreContact now, const char *why)
{
  gboolean up = now == CF_STORE_UP;

  if (w->contact == now)
    return;
  w->contact = now;
  cf_log (up ? LOG_NOTICE : LOG_WARNING,
          up ? CF_EV_STORE_BACK : CF_EV_STORE_LOST,
          "prefix=%s as_of=%" G_GINT64_FORMAT " reason=\"%s\"", w->prefix,
          w->as_of, why);
  w->calls->contact (w->g, up);
}

/* The call failed: drop the connection and try again after a pause. */
static void
failed (CfStoreWatch *w, const char *why)
{
  gint64 spread = g_random_int_range (0, 50);

  disconnect (w);
  w->state = CF_WATCH_PAUSED;
  w->g->stats.store_errors++;
  set_contact (w, CF_STORE_DOWN, why);
  w->pause_ms = CLAMP (w->pause_ms * 2, PAUSE_FIRST_MS, PAUSE_LAST_MS);
  set_timer (w, w->pause_ms + spread);
}

static void
begin_range (CfStoreWatch *w)
{
  g_hash_table_remove_all (w->seen);
  g_clear_pointer (&w->page_after, g_free);
  w->has_all = FALSE;
}

/* A page of the range came in. */
static void
take_page (CfStoreWatch *w, const CfStoreReply *r)
{
  if (!w->page_after)
    w->range_as_of = r->as_of;
  for (guint i = 0; i < r->items->len; i++)
    {
      const CfStoreItem *it = r->items->pdata[i];

      g_hash_table_add (w->seen, g_strdup (it->key));
      w->calls->item (w->g, it);
    }
  if (r->more && r->items->len > 0)
    {
      const CfStoreItem *last = r->items->pdata[r->items->len - 1];

      g_free (w->page_after);
      w->page_after = g_strdup (last->key);
      return;
    }
  w->as_of = w->range_as_of;
  w->has_all = TRUE;
  w->calls->snapshot (w->g, w->seen, w->as_of);
  begin_range (w);
  w->has_all = TRUE;
}

static void
take_changes (CfStoreWatch *w, const CfStoreReply *r)
{
  for (guint i = 0; i < r->items->len; i++)
    w->calls->item (w->g, r->items->pdata[i]);
  w->as_of = MAX (w->as_of, r->as_of);
  w->calls->fresh (w->g, w->as_of);
}

/* News came: more may have to come together before they are asked for. */
static void
ask_in_batches (CfStoreWatch *w)
{
  gint64 pause = cf_watch_batcher_pause_ms (&w->batcher, cf_gateway_now (w->g));

  if (pause == 0)
    {
      begin_call (w);
      return;
    }
  w->state = CF_WATCH_BATCHING;
  set_timer (w, pause);
}

static void
take_answer (CfStoreWatch *w)
{
  CfStoreReply r;
  gboolean news;

  if (cf_platform_store_parse_reply (w->body->str, w->body->len, &r) != CF_OK)
    {
      failed (w, cf_last_error ());
      return;
    }
  set_contact (w, CF_STORE_UP, "answered");
  w->pause_ms = 0;
  if (w->state == CF_WATCH_RANGE)
    take_page (w, &r);
  else
    take_changes (w, &r);
  news = r.items->len > 0;
  cf_store_reply_clear (&r);
  if (news && w->has_all)
    ask_in_batches (w);
  else
    begin_call (w);
}

static void
on_whole (CfStoreWatch *w)
{
  int status = (int)w->reader.parser.status_code;
  gboolean keep = cf_http_reader_keeps (&w->reader);

  cf_http_reader_next (&w->reader);
  if (!keep)
    disconnect (w);
  if (status == HTTP_STATUS_OK)
    {
      take_answer (w);
    }
  else if (status == HTTP_STATUS_GONE)
    {
      cf_log (LOG_NOTICE, CF_EV_TARGET_LIST,
              "prefix=%s as_of=%" G_GINT64_FORMAT
              " outcome=history-gone action=read-all",
              w->prefix, w->as_of);
      begin_range (w);
      begin_call (w);
    }
  else
    failed (w,
            status == HTTP_STATUS_TOO_MANY_REQUESTS ? "rate limit" : "refused");
}

static void
on_body (void *owner, const char *data, gsize n)
{
  CfStoreWatch *w = owner;

  if (w->body->len + n <= BODY_MAX)
    g_string_append_len (w->body, data, (gssize)n);
}

static const CfHttpReaderCalls reader_calls = { NULL, on_body, NULL };

static void
read_some (CfStoreWatch *w)
{
  char buf[READ_SIZE];
  ssize_t n = recv (w->io.fd, buf, sizeof buf, 0);
  CfTurnPart before;
  gsize used;

  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  /* No call is open: the next is made on a new connection. */
  if (w->state == CF_WATCH_BATCHING)
    disconnect (w);
  else if (n <= 0)
    failed (w, n == 0 ? "closed" : strerror (errno));
  else if (!cf_http_reader_feed (&w->reader, buf, (gsize)n, &used))
    failed (w, "not an HTTP answer");
  else if (w->reader.is_complete)
    {
      before = cf_gateway_enter (w->g, CF_TURN_STORE);
      on_whole (w);
      cf_gateway_enter (w->g, before);
    }
}

static void
write_some (CfStoreWatch *w)
{
  ssize_t n = send (w->io.fd, w->out->str + w->out_sent,
                    w->out->len - w->out_sent, MSG_NOSIGNAL);

  if (n < 0 && errno != EAGAIN && errno != EINTR)
    {
      failed (w, strerror (errno));
      return;
    }
  if (n > 0)
    w->out_sent += (gsize)n;
  ev_io_stop (w->g->loop, &w->io);
  ev_io_set (&w->io, w->io.fd,
             w->out_sent < w->out->len ? EV_READ | EV_WRITE : EV_READ);
  ev_io_start (w->g->loop, &w->io);
}

/* A store that did not answer last is asked for an answer at once: when it
 * is back must be known then, not when its next news come. */
static gint64
watch_wait_ms (const CfStoreWatch *w)
{
  return w->contact == CF_STORE_UP ? w->wait_ms : 0;
}

/* Sends the next call on the connection, which is there. */
static void
send_call (CfStoreWatch *w)
{
  const char *addr = w->g->set.store_addr;
  char *req;

  w->state = w->has_all ? CF_WATCH_CHANGES : CF_WATCH_RANGE;
  if (w->has_all)
    req = cf_platform_store_build_watch_request (addr, w->prefix, w->as_of,
                                                 watch_wait_ms (w));
  else
    req = cf_platform_store_build_range_request (addr, w->prefix,
                                                 w->page_after);
  g_string_assign (w->out, req);
  g_free (req);
  w->out_sent = 0;
  g_string_truncate (w->body, 0);
  w->g->stats.store_calls++;
  set_timer (w, ANSWER_TIMEOUT_MS + (w->has_all ? watch_wait_ms (w) : 0));
  write_some (w);
}

static void
begin_call (CfStoreWatch *w)
{
  struct sockaddr_in sa;
  int fd;

  if (w->io.fd >= 0)
    {
      send_call (w);
      return;
    }
  if (cf_socket_parse (w->g->set.store_addr, &sa) != CF_OK)
    {
      failed (w, cf_last_error ());
      return;
    }
  fd = cf_socket_connect (&sa);
  if (fd < 0)
    {
      failed (w, strerror (errno));
      return;
    }
  cf_http_reader_clear (&w->reader);
  cf_http_reader_init (&w->reader, HTTP_RESPONSE, &reader_calls, w, HEAD_MAX);
  w->state = CF_WATCH_CONNECTING;
  ev_io_set (&w->io, fd, EV_WRITE);
  ev_io_start (w->g->loop, &w->io);
  set_timer (w, ANSWER_TIMEOUT_MS);
}

static void
on_io (struct ev_loop *loop, ev_io *io, int revents)
{
  CfStoreWatch *w = io->data;
  int err;

  if (w->state == CF_WATCH_CONNECTING)
    {
      err = cf_socket_error (io->fd);
      if (err)
        failed (w, strerror (err));
      else
        send_call (w);
    }
  else if (revents & EV_READ)
    read_some (w);
  else if (revents & EV_WRITE)
    write_some (w);
}

static void
on_timer (struct ev_loop *loop, ev_timer *t, int revents)
{
  CfStoreWatch *w = t->data;

  if (w->state == CF_WATCH_PAUSED || w->state == CF_WATCH_BATCHING)
    begin_call (w);
  else
    failed (w, "no answer in time");
}

void
cf_store_watch_start (CfStoreWatch *w, CfGateway *g, const char *prefix,
                      const CfStoreWatchCalls *calls)
{
  memset (w, 0, sizeof *w);
  w->g = g;
  w->prefix = prefix;
  w->calls = calls;
  w->wait_ms = WAIT_MS;
  w->out = g_string_new (NULL);
  w->body = g_string_new (NULL);
  w->seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cf_http_reader_init (&w->reader, HTTP_RESPONSE, &reader_calls, w, HEAD_MAX);
  ev_io_init (&w->io, on_io, -1, 0);
  w->io.data = w;
  ev_timer_init (&w->timer, on_timer, 0, 0);
  w->timer.data = w;
  begin_call (w);
}

void
cf_store_watch_stop (CfStoreWatch *w)
{
  disconnect (w);
  ev_timer_stop (w->g->loop, &w->timer);
  cf_http_reader_clear (&w->reader);
  g_string_free (w->out, TRUE);
  g_string_free (w->body, TRUE);
  g_hash_table_destroy (w->seen);
  g_free (w->page_after);
}
