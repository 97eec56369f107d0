#include "store-watch.h"

#include "log.h"
#include "socket.h"
#include "store-poll.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/** Time limit of a connection attempt and of a response.  The store usually
 * responds within a few ms, and is up to a hundred times slower at times. */
#define RESPONSE_TIMEOUT_MS 1000
/** The backoff after a failure doubles from the minimum to the maximum, so that
 * a store that is down gets about one call a second. */
#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 800
/** A poll that has waited for this long was accepted. */
#define ACCEPTED_POLL_MS 400
/** A poll is repeated only if it is older than this, in which the answer with
 * an earlier change should have come. */
#define REPEAT_MIN_MS 400
/** All gateways notice that the store was restored at the same time, and read
 * everything again within this time. */
#define RESTORED_READ_SPREAD_MS 100
#define READ_BYTES 16384
#define HEAD_MAX_BYTES 16384
/** Limit of a response body.  Pages are about a megabyte, including base64. */
#define BODY_MAX_BYTES 8388608

static void start_call (CfStoreWatch *w);

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
set_reachability (CfStoreWatch *w, CfStoreReachability reachability,
                  const char *reason)
{
  gboolean up = reachability == CF_STORE_UP;

  if (w->reachability == reachability)
    return;
  w->reachability = reachability;
  cf_log (up ? LOG_NOTICE : LOG_WARNING,
          up ? CF_EV_STORE_BACK : CF_EV_STORE_LOST,
          "prefix=%s as_of=%" G_GINT64_FORMAT " heard_ms_ago=%" G_GINT64_FORMAT
          " reason=\"%s\"",
          w->prefix, w->as_of, cf_gateway_now (w->g) - w->heard_ms, reason);
  w->callbacks->reachability_changed (w->g, up);
}

/* Ends a failed call: closes the connection and retries after the backoff. */
static void
fail_call (CfStoreWatch *w, const char *reason)
{
  gint64 jitter_ms = g_random_int_range (0, 50);

  /* The store would have refused a poll after a revision that it has lost. */
  if (w->state == CF_WATCH_CHANGES
      && cf_gateway_now (w->g) - w->call_sent_ms >= ACCEPTED_POLL_MS)
    w->is_snapshot_stale = FALSE;
  disconnect (w);
  w->state = CF_WATCH_BACKOFF;
  w->g->stats.store_errors++;
  set_reachability (w, CF_STORE_DOWN, reason);
  w->backoff_ms = CLAMP (w->backoff_ms * 2, BACKOFF_MIN_MS, BACKOFF_MAX_MS);
  set_timer (w, w->backoff_ms + jitter_ms);
}

static void
reset_range (CfStoreWatch *w)
{
  g_hash_table_remove_all (w->seen_keys);
  g_clear_pointer (&w->page_after, g_free);
  w->has_snapshot = FALSE;
}

static CfStorePosition
position (const CfStoreWatch *w, gint64 rev)
{
  return (CfStorePosition){ .era = w->era, .rev = rev };
}

static void
report_item (CfStoreWatch *w, const CfStoreItem *it)
{
  const CfStoreRecord r = { .item = it,
                            .pos = position (w, it->rev),
                            .created = position (w, it->created),
                            .is_change = w->state == CF_WATCH_CHANGES };

  if (it->rev > w->newest_rev)
    {
      w->newest_rev = it->rev;
      w->g->has_store_change = TRUE;
    }
  w->callbacks->item (w->g, &r);
}

/* Handles that the store was restored from a copy: what was read of the range
 * and the revision after which changes were requested are void. */
static void
handle_restored (CfStoreWatch *w, gint64 era, gboolean keeps_order)
{
  cf_log (LOG_WARNING, CF_EV_STORE_RESTORED,
          "prefix=%s era=%" G_GINT64_FORMAT " before=%" G_GINT64_FORMAT
          " as_of=%" G_GINT64_FORMAT " ordered=%s action=read-all",
          w->prefix, era, w->era, w->as_of, keeps_order ? "yes" : "no");
  w->era = era;
  w->newest_rev = 0;
  w->may_read_stale = FALSE;
  reset_range (w);
  w->callbacks->restored (w->g, keeps_order);
}

/* Reads the era from the head of an answer.  Calls follow one another, so an
 * era that differs is that of the store now, also if it is lower.
 * Returns: whether the store was restored. */
static gboolean
take_era (CfStoreWatch *w)
{
  gint64 era = cf_platform_store_parse_era (
      cf_http_reader_header (&w->reader, CF_HDR_STORE_ERA));
  gint64 before = w->era;

  w->has_era = era != CF_STORE_ERA_UNKNOWN;
  if (!w->has_era || era == before)
    return FALSE;
  if (before == CF_STORE_ERA_UNKNOWN)
    {
      w->era = era;
      return FALSE;
    }
  handle_restored (w, era, era > before);
  return TRUE;
}

/* Whether a store that does not state its era has gone back to an earlier
 * revision. */
static gboolean
has_gone_back (const CfStoreWatch *w, const CfStoreReply *r)
{
  gint64 before = w->page_after ? w->range_as_of : w->as_of;

  return !w->has_era && !w->may_read_stale && r->as_of < before;
}

/* Makes the first call after the store was restored, so late that the gateways
 * do not all call at once. */
static void
schedule_read_all (CfStoreWatch *w)
{
  w->state = CF_WATCH_BATCHING;
  set_timer (w, g_random_int_range (1, RESTORED_READ_SPREAD_MS));
}

static void
take_page (CfStoreWatch *w, const CfStoreReply *r)
{
  w->range_as_of = w->page_after ? MIN (w->range_as_of, r->as_of) : r->as_of;
  for (guint i = 0; i < r->items->len; i++)
    {
      const CfStoreItem *it = r->items->pdata[i];

      g_hash_table_add (w->seen_keys, g_strdup (it->key));
      report_item (w, it);
    }
  if (r->more && r->items->len > 0)
    {
      const CfStoreItem *last = r->items->pdata[r->items->len - 1];

      g_free (w->page_after);
      w->page_after = g_strdup (last->key);
      return;
    }
  cf_log (LOG_NOTICE, CF_EV_STORE_READ,
          "prefix=%s era=%" G_GINT64_FORMAT " as_of=%" G_GINT64_FORMAT
          " before=%" G_GINT64_FORMAT " keys=%u",
          w->prefix, w->era, w->range_as_of, w->as_of,
          g_hash_table_size (w->seen_keys));
  w->as_of = w->range_as_of;
  w->has_snapshot = TRUE;
  w->is_snapshot_stale = w->may_read_stale;
  w->may_read_stale = FALSE;
  w->callbacks->snapshot (w->g, w->seen_keys, position (w, w->as_of));
  reset_range (w);
  w->has_snapshot = TRUE;
}

static void
take_changes (CfStoreWatch *w, const CfStoreReply *r)
{
  for (guint i = 0; i < r->items->len; i++)
    report_item (w, r->items->pdata[i]);
  w->as_of = MAX (w->as_of, r->as_of);
  w->is_snapshot_stale = FALSE;
  w->callbacks->confirmed (w->g, position (w, w->as_of));
}

/* Makes the next poll after events were received, with a delay if events are
 * frequent, so that several are batched. */
static void
schedule_poll (CfStoreWatch *w)
{
  gint64 delay_ms
      = cf_watch_batcher_next_delay_ms (&w->batcher, cf_gateway_now (w->g));

  if (delay_ms == 0)
    {
      start_call (w);
      return;
    }
  w->state = CF_WATCH_BATCHING;
  set_timer (w, delay_ms);
}

/* @is_void: the answer continues what was read before the store was restored */
static void
handle_reply (CfStoreWatch *w, gboolean is_void)
{
  CfStoreReply r;
  gboolean has_events;

  if (cf_platform_store_parse_reply (w->body->str, w->body->len, &r) != CF_OK)
    {
      fail_call (w, cf_last_error ());
      return;
    }
  w->is_in_step = w->reachability != CF_STORE_UP || r.items->len > 0;
  set_reachability (w, CF_STORE_UP, "answered");
  w->heard_ms = cf_gateway_now (w->g);
  w->backoff_ms = 0;
  w->is_overdue = FALSE;
  if (!is_void && has_gone_back (w, &r))
    {
      is_void = w->state != CF_WATCH_RANGE || w->page_after;
      handle_restored (w, CF_STORE_ERA_UNKNOWN, FALSE);
    }
  if (is_void)
    {
      cf_store_reply_clear (&r);
      schedule_read_all (w);
      return;
    }
  if (w->state == CF_WATCH_RANGE)
    take_page (w, &r);
  else
    take_changes (w, &r);
  has_events = r.items->len > 0;
  cf_store_reply_clear (&r);
  if (has_events && w->has_snapshot)
    schedule_poll (w);
  else
    start_call (w);
}

static void
on_response (CfStoreWatch *w)
{
  int status = (int)w->reader.parser.status_code;
  gboolean keep_alive = cf_http_reader_can_keep_alive (&w->reader);
  gboolean begins_range = w->state == CF_WATCH_RANGE && !w->page_after;
  gboolean restored = take_era (w);

  cf_http_reader_next (&w->reader);
  if (!keep_alive)
    disconnect (w);
  if (status == HTTP_STATUS_OK)
    {
      handle_reply (w, restored && !begins_range);
    }
  else if (status == HTTP_STATUS_GONE)
    {
      cf_log (LOG_NOTICE, CF_EV_TARGET_LIST,
              "prefix=%s as_of=%" G_GINT64_FORMAT
              " outcome=history-gone action=read-all",
              w->prefix, w->as_of);
      /* A replica may lack what the history has lost, too: then the next read
       * is exact. */
      w->may_read_stale = w->accepts_stale && !w->is_snapshot_stale;
      reset_range (w);
      start_call (w);
    }
  else
    fail_call (w, status == HTTP_STATUS_TOO_MANY_REQUESTS ? "rate limit"
                                                          : "refused");
}

static void
on_body (void *owner, const char *data, gsize n)
{
  CfStoreWatch *w = owner;

  w->is_body_too_long |= w->body->len + n > BODY_MAX_BYTES;
  if (!w->is_body_too_long)
    g_string_append_len (w->body, data, (gssize)n);
}

static const CfHttpReaderCallbacks reader_callbacks = { NULL, on_body, NULL };

static void
read_input (CfStoreWatch *w)
{
  char buf[READ_BYTES];
  ssize_t n = recv (w->io.fd, buf, sizeof buf, 0);
  CfLoopActivity previous;
  gsize used;

  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  /* No call is in progress, so the store has closed the connection or sent
   * unexpected data.  The next call opens a new connection. */
  if (w->state == CF_WATCH_BATCHING)
    disconnect (w);
  else if (n <= 0)
    fail_call (w, n == 0 ? "closed" : strerror (errno));
  else if (!cf_http_reader_feed (&w->reader, buf, (gsize)n, &used))
    fail_call (w, "not an HTTP answer");
  else if (w->is_body_too_long)
    fail_call (w, "answer too long");
  else if (w->reader.is_complete)
    {
      previous = cf_gateway_enter_activity (w->g, CF_LOOP_STORE);
      on_response (w);
      cf_gateway_enter_activity (w->g, previous);
    }
}

static void
write_output (CfStoreWatch *w)
{
  ssize_t n = send (w->io.fd, w->output->str + w->output_sent,
                    w->output->len - w->output_sent, MSG_NOSIGNAL);

  if (n < 0 && errno != EAGAIN && errno != EINTR)
    {
      fail_call (w, strerror (errno));
      return;
    }
  if (n > 0)
    w->output_sent += (gsize)n;
  ev_io_stop (w->g->loop, &w->io);
  ev_io_set (&w->io, w->io.fd,
             w->output_sent < w->output->len ? EV_READ | EV_WRITE : EV_READ);
  ev_io_start (w->g->loop, &w->io);
}

/* A store that is not known to be up, or whose answer is overdue, is asked to
 * respond at once, so that this is noticed without waiting for the next change.
 */
static gint64
current_poll_wait_ms (const CfStoreWatch *w)
{
  if (w->reachability != CF_STORE_UP || w->is_overdue)
    return 0;
  return cf_store_poll_wait_ms (&w->g->store_poll_turn, w->g->fleet_size,
                                w->is_in_step);
}

/* Sends the next call on the established connection. */
static void
send_call (CfStoreWatch *w)
{
  const char *addr = w->g->settings.store_addr;
  char *request;

  w->state = w->has_snapshot ? CF_WATCH_CHANGES : CF_WATCH_RANGE;
  w->call_wait_ms = w->has_snapshot ? current_poll_wait_ms (w) : 0;
  if (w->has_snapshot)
    request = cf_platform_store_build_watch_request (addr, w->prefix, w->as_of,
                                                     w->call_wait_ms);
  else
    request = cf_platform_store_build_range_request (
        addr, w->prefix, w->page_after, w->may_read_stale);
  g_string_assign (w->output, request);
  g_free (request);
  w->output_sent = 0;
  w->call_sent_ms = cf_gateway_now (w->g);
  g_string_truncate (w->body, 0);
  w->is_body_too_long = FALSE;
  w->g->stats.store_calls++;
  set_timer (w, RESPONSE_TIMEOUT_MS + w->call_wait_ms);
  write_output (w);
}

static void
start_call (CfStoreWatch *w)
{
  struct sockaddr_in sa;
  int fd;

  if (w->io.fd >= 0)
    {
      send_call (w);
      return;
    }
  if (cf_socket_parse_address (w->g->settings.store_addr, &sa) != CF_OK)
    {
      fail_call (w, cf_last_error ());
      return;
    }
  fd = cf_socket_connect (&sa);
  if (fd < 0)
    {
      fail_call (w, strerror (errno));
      return;
    }
  cf_http_reader_clear (&w->reader);
  cf_http_reader_init (&w->reader, HTTP_RESPONSE, &reader_callbacks, w,
                       HEAD_MAX_BYTES);
  w->state = CF_WATCH_CONNECTING;
  ev_io_set (&w->io, fd, EV_WRITE);
  ev_io_start (w->g->loop, &w->io);
  set_timer (w, RESPONSE_TIMEOUT_MS);
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
        fail_call (w, strerror (err));
      else
        send_call (w);
    }
  else if (revents & EV_READ)
    read_input (w);
  else if (revents & EV_WRITE)
    write_output (w);
}

static void
on_timer (struct ev_loop *loop, ev_timer *t, int revents)
{
  CfStoreWatch *w = t->data;

  if (w->state == CF_WATCH_BACKOFF || w->state == CF_WATCH_BATCHING)
    start_call (w);
  else
    fail_call (w, "no answer in time");
}

void
cf_store_watch_start (CfStoreWatch *w, CfGateway *g, const char *prefix,
                      const CfStoreWatchSettings *settings,
                      const CfStoreWatchCallbacks *callbacks)
{
  memset (w, 0, sizeof *w);
  w->g = g;
  w->prefix = prefix;
  w->callbacks = callbacks;
  w->era = CF_STORE_ERA_UNKNOWN;
  w->heard_ms = cf_gateway_now (g);
  w->call_sent_ms = w->heard_ms;
  w->accepts_stale = settings->may_read_stale;
  w->may_read_stale = settings->may_read_stale;
  w->output = g_string_new (NULL);
  w->body = g_string_new (NULL);
  w->seen_keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cf_http_reader_init (&w->reader, HTTP_RESPONSE, &reader_callbacks, w,
                       HEAD_MAX_BYTES);
  ev_io_init (&w->io, on_io, -1, 0);
  w->io.data = w;
  ev_timer_init (&w->timer, on_timer, 0, 0);
  w->timer.data = w;
  start_call (w);
}

void
cf_store_watch_read_all (CfStoreWatch *w)
{
  reset_range (w);
  if (w->state != CF_WATCH_CHANGES)
    return;
  disconnect (w);
  start_call (w);
}

/* Repeats a poll whose answer seems to be lost. */
static void
repeat_poll (CfStoreWatch *w, const char *reason)
{
  gint64 now = cf_gateway_now (w->g);

  cf_log (LOG_NOTICE, CF_EV_STORE_LOST,
          "prefix=%s as_of=%" G_GINT64_FORMAT " heard_ms_ago=%" G_GINT64_FORMAT
          " poll_ms_ago=%" G_GINT64_FORMAT " wait_ms=%" G_GINT64_FORMAT
          " reason=\"%s\" action=call-again",
          w->prefix, w->as_of, now - w->heard_ms, now - w->call_sent_ms,
          w->call_wait_ms, reason);
  w->g->stats.store_polls_repeated++;
  w->is_overdue = TRUE;
  disconnect (w);
  start_call (w);
}

/* Whether the answer to a poll in progress may have been lost: it would have
 * come by now if there was a change. */
static gboolean
may_be_lost (const CfStoreWatch *w)
{
  return w->state == CF_WATCH_CHANGES && w->call_wait_ms > 0
         && cf_gateway_now (w->g) - w->call_sent_ms >= REPEAT_MIN_MS;
}

void
cf_store_watch_note_peer_change (CfStoreWatch *w, CfStorePosition own,
                                 CfStorePosition peer)
{
  cf_store_lag_note (&w->lag, own, peer, cf_gateway_now (w->g));
}

void
cf_store_watch_tick (CfStoreWatch *w, CfStorePosition own)
{
  gint64 now = cf_gateway_now (w->g);
  gint64 wait_ms = current_poll_wait_ms (w);

  if (cf_store_lag_is_overdue (&w->lag, own, now) && may_be_lost (w))
    repeat_poll (w, "a peer has a later change");
  else if (!w->g->store_poll_turn.relies_on_seed && may_be_lost (w)
           && wait_ms < w->call_wait_ms && now - w->call_sent_ms >= wait_ms)
    repeat_poll (w, "fewer seeds poll");
}

CfStorePosition
cf_store_watch_position (const CfStoreWatch *w)
{
  return position (w, w->as_of);
}

CfStorePosition
cf_store_watch_newest_change (const CfStoreWatch *w)
{
  return position (w, w->newest_rev);
}

static const char *
call_name (const CfStoreWatch *w)
{
  switch (w->state)
    {
    case CF_WATCH_BACKOFF:
      return "backoff";
    case CF_WATCH_CONNECTING:
      return "connect";
    case CF_WATCH_RANGE:
      return "read";
    case CF_WATCH_CHANGES:
      return "poll";
    case CF_WATCH_BATCHING:
      return "batch";
    }
  return "unknown";
}

void
cf_store_watch_print_metrics (const CfStoreWatch *w, GString *out)
{
  gint64 now = cf_gateway_now (w->g);

  g_string_append_printf (
      out,
      "# TYPE comfrey_store_heard_age_ms gauge\n"
      "comfrey_store_heard_age_ms{prefix=\"%s\"} %" G_GINT64_FORMAT "\n"
      "# TYPE comfrey_store_call_age_ms gauge\n"
      "comfrey_store_call_age_ms{prefix=\"%s\",call=\"%s\"} %" G_GINT64_FORMAT
      "\n",
      w->prefix, now - w->heard_ms, w->prefix, call_name (w),
      now - w->call_sent_ms);
}

void
cf_store_watch_stop (CfStoreWatch *w)
{
  disconnect (w);
  ev_timer_stop (w->g->loop, &w->timer);
  cf_http_reader_clear (&w->reader);
  g_string_free (w->output, TRUE);
  g_string_free (w->body, TRUE);
  g_hash_table_destroy (w->seen_keys);
  g_free (w->page_after);
}
