#include "agent-link.h"

#include "log.h"
#include "net.h"

#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CONNECT_TIMEOUT_MS 500
#define BACKOFF_MAX_MS 2000
#define SEND_TIMEOUT_MS 1000
/* How often a pending call checks whether its reply is still needed. */
#define WANTED_CHECK_INTERVAL_MS 250

/* A call that waits for its reply. */
typedef struct
{
  CfMsg reply;
  gboolean done; /* reply is set */
  gboolean lost; /* the connection was lost */
} CfPending;

/* Closes the connection and fails all pending calls; call with the lock
 * held. */
static void
drop_connection (CfLink *l, const char *reason)
{
  gboolean was_ready = l->ready;
  GHashTableIter it;
  gpointer v;

  g_hash_table_iter_init (&it, l->pending);
  while (g_hash_table_iter_next (&it, NULL, &v))
    ((CfPending *)v)->lost = TRUE;
  g_hash_table_remove_all (l->pending);
  l->ready = FALSE;
  if (l->fd >= 0)
    {
      close (l->fd);
      l->fd = -1;
      /* A link whose agent never answered was never up: nothing to log. */
      if (was_ready)
        cf_log (LOG_WARNING, CF_EV_LINK_DOWN, "target=%s reason=%s", l->addr,
                reason);
    }
  pthread_cond_broadcast (&l->cond);
}

/* Records the agent's load, and hands @m to the call that waits for it; call
 * with the lock held. */
static void
take_reply (CfLink *l, CfMsg *m)
{
  CfPending *p;

  l->load = m->load;
  l->guard_quiet_until_ms = l->last_receive_ms + m->load.quiet_remaining_ms;
  if (m->kind != CF_MSG_ANSWER && m->kind != CF_MSG_REFUSAL
      && m->kind != CF_MSG_CLAIMED)
    {
      cf_msg_clear (m);
      return;
    }
  p = g_hash_table_lookup (l->pending, &m->id);
  if (p == NULL)
    {
      /* A reply to a call that has timed out or was abandoned. */
      cf_msg_clear (m);
      return;
    }
  g_hash_table_remove (l->pending, &m->id);
  p->reply = *m;
  p->done = TRUE;
  memset (m, 0, sizeof *m);
  pthread_cond_broadcast (&l->cond);
}

/* Sends a ping if one is due, or drops the connection if the agent was silent
 * for too long; call with the lock held. */
static void
send_heartbeat (CfLink *l, long long now)
{
  CfMsg ping = { .kind = CF_MSG_PING };
  long long interval = l->outstanding > 0 || l->unanswered_since_ms > 0
                           ? CF_LINK_PING_INTERVAL_MS
                           : l->idle_ping_interval_ms;

  if (l->unanswered_since_ms > 0
      && now - l->unanswered_since_ms > CF_LINK_SILENCE_TIMEOUT_MS)
    {
      drop_connection (l, "silent");
      return;
    }
  /* Every reply carries the agent's load and proves that it is alive, so a
   * link that received one within the interval needs no ping. */
  if (now - l->last_ping_ms >= interval && now - l->last_receive_ms >= interval)
    {
      l->last_ping_ms = now;
      l->pings++;
      ping.config = l->config_version;
      if (l->unanswered_since_ms == 0)
        l->unanswered_since_ms = now;
      if (cf_msg_write (l->fd, &ping) != CF_OK)
        drop_connection (l, "write-failed");
    }
}

static void *
link_thread (void *data)
{
  CfLink *l = data;
  long long backoff = 100;

  for (;;)
    {
      struct timeval send_timeout = { .tv_sec = SEND_TIMEOUT_MS / 1000 };
      struct timeval read_timeout
          = { .tv_sec = CF_LINK_SILENCE_TIMEOUT_MS / 1000 };
      struct pollfd pfd;
      CfStatus st;
      CfMsg m;
      int fd;

      pthread_mutex_lock (&l->lock);
      fd = l->fd;
      pthread_mutex_unlock (&l->lock);
      if (fd < 0)
        {
          if (cf_connect_tcp (l->addr, CONNECT_TIMEOUT_MS, &fd) != CF_OK)
            {
              usleep (backoff * 1000);
              backoff = MIN (backoff * 2, BACKOFF_MAX_MS);
              continue;
            }
          /* An agent that stops reading must not block a writer for ever. */
          setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &send_timeout,
                      sizeof send_timeout);
          /* Nor may one that goes silent inside a frame block this thread,
           * which sends the heartbeats. */
          setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &read_timeout,
                      sizeof read_timeout);
          backoff = 100;
          pthread_mutex_lock (&l->lock);
          l->fd = fd;
          l->ready = FALSE;
          /* Zero, so that the first ping is sent at once. */
          l->last_receive_ms = 0;
          l->last_ping_ms = 0;
          l->unanswered_since_ms = 0;
          send_heartbeat (l, cf_now_ms ());
          pthread_mutex_unlock (&l->lock);
        }

      pfd.fd = fd;
      pfd.events = POLLIN;
      if (poll (&pfd, 1, CF_LINK_PING_INTERVAL_MS / 2) <= 0)
        {
          pthread_mutex_lock (&l->lock);
          if (l->fd == fd)
            send_heartbeat (l, cf_now_ms ());
          pthread_mutex_unlock (&l->lock);
          continue;
        }
      st = cf_msg_read (fd, &m);
      if (st != CF_OK)
        {
          pthread_mutex_lock (&l->lock);
          if (l->fd == fd)
            drop_connection (l, st == CF_ERR_TIMEOUT ? "silent" : "closed");
          pthread_mutex_unlock (&l->lock);
          continue;
        }
      pthread_mutex_lock (&l->lock);
      l->last_receive_ms = cf_now_ms ();
      l->unanswered_since_ms = 0;
      if (!l->ready)
        {
          l->ready = TRUE;
          cf_log (LOG_INFO, CF_EV_LINK_UP, "target=%s", l->addr);
        }
      take_reply (l, &m);
      send_heartbeat (l, l->last_receive_ms);
      pthread_mutex_unlock (&l->lock);
    }
  return NULL;
}

CfLink *
cf_link_new (const char *addr)
{
  CfLink *l = g_new0 (CfLink, 1);
  pthread_condattr_t ca;

  l->addr = g_strdup (addr);
  l->fd = -1;
  l->idle_ping_interval_ms = CF_LINK_PING_INTERVAL_MS;
  l->pending = g_hash_table_new (g_int64_hash, g_int64_equal);
  pthread_mutex_init (&l->lock, NULL);
  pthread_condattr_init (&ca);
  pthread_condattr_setclock (&ca, CLOCK_MONOTONIC);
  pthread_cond_init (&l->cond, &ca);
  pthread_condattr_destroy (&ca);
  pthread_create (&l->thread, NULL, link_thread, l);
  pthread_detach (l->thread);
  return l;
}

/* Waits until @p is done or lost, its deadline passes, or @is_wanted returns
 * FALSE; returns TRUE in the last case only.  Call with the lock held. */
static gboolean
wait_reply (CfLink *l, CfPending *p, long long deadline_ms,
            gboolean (*is_wanted) (void *data), void *data)
{
  long long next_check = cf_now_ms () + WANTED_CHECK_INTERVAL_MS;

  while (!p->done && !p->lost)
    {
      long long now = cf_now_ms ();
      long long until = is_wanted ? MIN (deadline_ms, next_check) : deadline_ms;
      struct timespec ts
          = { .tv_sec = until / 1000, .tv_nsec = (until % 1000) * 1000000 };

      if (now >= deadline_ms)
        return FALSE;
      /* Checks the clock rather than the result of the wait: replies to other
       * calls wake this one too, so on a busy link the wait may never time
       * out. */
      if (is_wanted && now >= next_check)
        {
          if (!is_wanted (data))
            return TRUE;
          next_check = now + WANTED_CHECK_INTERVAL_MS;
          continue;
        }
      pthread_cond_timedwait (&l->cond, &l->lock, &ts);
    }
  return FALSE;
}

CfCallResult
cf_link_call_while (CfLink *l, CfMsg *req, long long deadline_ms,
                    gboolean (*is_wanted) (void *data), void *data,
                    CfMsg *reply)
{
  CfPending p = { 0 };
  gboolean abandoned;
  CfCallResult res;
  CfStatus st;

  pthread_mutex_lock (&l->lock);
  if (l->fd < 0 || !l->ready)
    {
      res = CF_CALL_NOT_SENT;
      goto out;
    }
  req->id = ++l->last_id;
  st = cf_msg_write (l->fd, req);
  if (st == CF_ERR_FULL)
    {
      res = CF_CALL_TOO_LARGE;
      goto out;
    }
  if (st != CF_OK)
    {
      /* The agent received at most a part of the frame, which it does not
       * decode. */
      drop_connection (l, "write-failed");
      res = CF_CALL_NOT_SENT;
      goto out;
    }
  g_hash_table_insert (l->pending, &req->id, &p);
  l->outstanding++;
  abandoned = wait_reply (l, &p, deadline_ms, is_wanted, data);
  l->outstanding--;
  if (p.done)
    {
      *reply = p.reply;
      res = CF_CALL_REPLY;
    }
  else if (p.lost)
    res = CF_CALL_LOST;
  else
    {
      g_hash_table_remove (l->pending, &req->id);
      res = abandoned ? CF_CALL_ABANDONED : CF_CALL_TIMEOUT;
    }
  /* A non-repeatable call goes on: its caller's retry will need the answer. */
  if (res == CF_CALL_ABANDONED && req->u.request.key == NULL)
    {
      CfMsg cancel = { .kind = CF_MSG_CANCEL };

      cancel.u.cancel.rid = req->u.request.rid;
      if (cf_msg_write (l->fd, &cancel) != CF_OK)
        drop_connection (l, "write-failed");
    }
out:
  pthread_mutex_unlock (&l->lock);
  return res;
}

CfCallResult
cf_link_call (CfLink *l, CfMsg *req, long long deadline_ms, CfMsg *reply)
{
  return cf_link_call_while (l, req, deadline_ms, NULL, NULL, reply);
}

void
cf_link_send (CfLink *l, const CfMsg *m)
{
  pthread_mutex_lock (&l->lock);
  if (l->fd >= 0 && l->ready && cf_msg_write (l->fd, m) != CF_OK)
    drop_connection (l, "write-failed");
  pthread_mutex_unlock (&l->lock);
}

void
cf_link_set_idle_ping_interval (CfLink *l, gint64 ms)
{
  pthread_mutex_lock (&l->lock);
  l->idle_ping_interval_ms = MAX (ms, CF_LINK_PING_INTERVAL_MS);
  pthread_mutex_unlock (&l->lock);
}

void
cf_link_set_config_version (CfLink *l, gint64 version)
{
  pthread_mutex_lock (&l->lock);
  l->config_version = version;
  pthread_mutex_unlock (&l->lock);
}

CfLinkSnapshot
cf_link_snapshot (CfLink *l)
{
  long long now = cf_now_ms ();
  CfLinkSnapshot v;

  pthread_mutex_lock (&l->lock);
  v.up = l->fd >= 0 && l->ready;
  v.ejected = cf_outlier_is_ejected (&l->outlier, now);
  v.load = l->load;
  /* The report may be seconds old; deduct the time that has passed since. */
  v.load.quiet_remaining_ms = MAX (l->guard_quiet_until_ms - now, 0);
  v.outstanding = l->outstanding;
  v.pings = l->pings;
  pthread_mutex_unlock (&l->lock);
  return v;
}

void
cf_link_record_outcome (CfLink *l, gboolean healthy)
{
  gint64 ms = 0;

  pthread_mutex_lock (&l->lock);
  if (healthy)
    cf_outlier_record_success (&l->outlier);
  else
    ms = cf_outlier_record_failure (&l->outlier, cf_now_ms ());
  pthread_mutex_unlock (&l->lock);
  if (ms > 0)
    cf_log (LOG_WARNING, CF_EV_OUTLIER_EJECT, "target=%s ms=%" G_GINT64_FORMAT,
            l->addr, ms);
}
