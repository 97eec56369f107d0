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
/* How often a waiting call asks whether anybody still waits for it. */
#define WANTED_MS 250

typedef struct
{
  CfMsg reply;
  gboolean done;
  gboolean lost;
} CfPending;

static void
fail_all (CfLink *l, const char *why)
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
      /* A connection that never answered was never up: no line for it. */
      if (was_ready)
        cf_log (LOG_WARNING, CF_EV_LINK_DOWN, "target=%s reason=%s", l->addr,
                why);
    }
  pthread_cond_broadcast (&l->cond);
}

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
      /* A reply to a call that timed out already: nobody waits for it. */
      cf_msg_clear (m);
      return;
    }
  g_hash_table_remove (l->pending, &m->id);
  p->reply = *m;
  p->done = TRUE;
  memset (m, 0, sizeof *m);
  pthread_cond_broadcast (&l->cond);
}

static void
heartbeat (CfLink *l, long long now)
{
  CfMsg ping = { .kind = CF_MSG_PING };
  long long every = l->outstanding > 0 || l->unanswered_since_ms > 0
                        ? CF_LINK_PING_INTERVAL_MS
                        : l->idle_ping_interval_ms;

  if (l->unanswered_since_ms > 0
      && now - l->unanswered_since_ms > CF_LINK_SILENCE_TIMEOUT_MS)
    {
      fail_all (l, "silent");
      return;
    }
  /* Replies carry the agent's load and prove it alive, so a link that
   * heard from its agent within the interval needs no ping. */
  if (now - l->last_ping_ms >= every && now - l->last_receive_ms >= every)
    {
      l->last_ping_ms = now;
      l->pings++;
      ping.config = l->config;
      if (l->unanswered_since_ms == 0)
        l->unanswered_since_ms = now;
      if (cf_msg_write (l->fd, &ping) != CF_OK)
        fail_all (l, "write-failed");
    }
}

static void *
link_thread (void *data)
{
  CfLink *l = data;
  long long backoff = 100;

  for (;;)
    {
      struct timeval tv = { .tv_sec = SEND_TIMEOUT_MS / 1000 };
      struct pollfd pfd;
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
          /* A peer that stops reading must not hold a writer for ever. */
          setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof tv);
          backoff = 100;
          pthread_mutex_lock (&l->lock);
          l->fd = fd;
          l->ready = FALSE;
          /* Long ago, so that the first ping goes out at once. */
          l->last_receive_ms = 0;
          l->last_ping_ms = 0;
          l->unanswered_since_ms = 0;
          heartbeat (l, cf_now_ms ());
          pthread_mutex_unlock (&l->lock);
        }

      pfd.fd = fd;
      pfd.events = POLLIN;
      if (poll (&pfd, 1, CF_LINK_PING_INTERVAL_MS / 2) <= 0)
        {
          pthread_mutex_lock (&l->lock);
          if (l->fd == fd)
            heartbeat (l, cf_now_ms ());
          pthread_mutex_unlock (&l->lock);
          continue;
        }
      if (cf_msg_read (fd, &m) != CF_OK)
        {
          pthread_mutex_lock (&l->lock);
          if (l->fd == fd)
            fail_all (l, "closed");
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
      heartbeat (l, l->last_receive_ms);
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

/* Whether @p's caller gave up; call with the lock held. */
static gboolean
wait_reply (CfLink *l, CfPending *p, long long deadline_ms,
            gboolean (*wanted) (void *data), void *data)
{
  long long look = cf_now_ms () + WANTED_MS;

  while (!p->done && !p->lost)
    {
      long long now = cf_now_ms ();
      long long until = wanted ? MIN (deadline_ms, look) : deadline_ms;
      struct timespec ts
          = { .tv_sec = until / 1000, .tv_nsec = (until % 1000) * 1000000 };

      if (now >= deadline_ms)
        return FALSE;
      /* By the clock: the replies to others wake this call too, and on a busy
       * link before each time is out. */
      if (wanted && now >= look)
        {
          if (!wanted (data))
            return TRUE;
          look = now + WANTED_MS;
          continue;
        }
      pthread_cond_timedwait (&l->cond, &l->lock, &ts);
    }
  return FALSE;
}

CfCallResult
cf_link_call_while (CfLink *l, CfMsg *req, long long deadline_ms,
                    gboolean (*wanted) (void *data), void *data, CfMsg *reply)
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
  req->id = ++l->next_id;
  st = cf_msg_write (l->fd, req);
  if (st == CF_ERR_FULL)
    {
      res = CF_CALL_TOO_LARGE;
      goto out;
    }
  if (st != CF_OK)
    {
      /* send() took none or part of the frame; a part is never decoded. */
      fail_all (l, "write-failed");
      res = CF_CALL_NOT_SENT;
      goto out;
    }
  g_hash_table_insert (l->pending, &req->id, &p);
  l->outstanding++;
  abandoned = wait_reply (l, &p, deadline_ms, wanted, data);
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
  /* A non-repeatable call runs on: a retry will want its answer. */
  if (res == CF_CALL_ABANDONED && req->u.request.key == NULL)
    {
      CfMsg cancel = { .kind = CF_MSG_CANCEL };

      cancel.u.cancel.rid = req->u.request.rid;
      if (cf_msg_write (l->fd, &cancel) != CF_OK)
        fail_all (l, "write-failed");
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
    fail_all (l, "write-failed");
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
  l->config = version;
  pthread_mutex_unlock (&l->lock);
}

CfLinkSnapshot
cf_link_snapshot (CfLink *l)
{
  long long now = cf_now_ms ();
  CfLinkSnapshot v;

  pthread_mutex_lock (&l->lock);
  v.up = l->fd >= 0 && l->ready;
  v.ejected = cf_outlier_ejected (&l->outlier, now);
  v.load = l->load;
  /* The heartbeat may be seconds old; the time it names has gone on. */
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
    cf_outlier_success (&l->outlier);
  else
    ms = cf_outlier_failure (&l->outlier, cf_now_ms ());
  pthread_mutex_unlock (&l->lock);
  if (ms > 0)
    cf_log (LOG_WARNING, CF_EV_OUTLIER, "target=%s ms=%" G_GINT64_FORMAT,
            l->addr, ms);
}
