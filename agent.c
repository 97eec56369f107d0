#include "agent-parts.h"

#include "log.h"
#include "net.h"

#include <sys/socket.h>
#include <unistd.h>

/* How long a drained agent stays to reply to what was sent before the senders
 * learned of the drain: several times the one-way latency between two
 * processes of a region. */
#define DRAIN_LINGER_MS 100

void
cf_agent_conn_unref (CfAgentConn *c)
{
  if (__atomic_sub_fetch (&c->refs, 1, __ATOMIC_ACQ_REL) != 0)
    return;
  close (c->fd);
  pthread_mutex_destroy (&c->write_lock);
  g_free (c);
}

/* Adds @c to the agent's list of connections, or removes it. */
static void
set_conn_listed (CfAgentConn *c, gboolean listed)
{
  CfAgent *a = c->agent;

  pthread_mutex_lock (&a->conns_lock);
  if (listed)
    {
      c->next = a->conns;
      a->conns = c;
    }
  else
    for (CfAgentConn **p = &a->conns; *p; p = &(*p)->next)
      if (*p == c)
        {
          *p = c->next;
          break;
        }
  pthread_mutex_unlock (&a->conns_lock);
}

/* Stops accepting new work and notifies every connection, so that entries
 * do not have to learn of the drain from a refusal. */
static void
begin_drain (CfAgent *a)
{
  CfMsg s = { .kind = CF_MSG_STATUS };

  if (ck_pr_fas_int (&a->draining, 1))
    return;
  pthread_mutex_lock (&a->conns_lock);
  for (CfAgentConn *c = a->conns; c; c = c->next)
    cf_agent_conn_send (c, &s);
  pthread_mutex_unlock (&a->conns_lock);
}

static void *
serve_conn (void *data)
{
  CfAgentConn *c = data;
  CfMsg m;

  set_conn_listed (c, TRUE);
  while (cf_msg_read (c->fd, &m) == CF_OK)
    {
      switch (m.kind)
        {
        case CF_MSG_REQUEST:
          cf_agent_take_request (c, &m);
          break;
        case CF_MSG_ORDER:
          ck_pr_inc_int (&c->agent->pending_replies);
          cf_agent_take_order (c, &m);
          ck_pr_dec_int (&c->agent->pending_replies);
          break;
        case CF_MSG_DRAIN:
          begin_drain (c->agent);
          cf_log (LOG_NOTICE, CF_EV_DRAIN_BEGIN, "by=operator");
          cf_agent_take_status (c, &m);
          break;
        case CF_MSG_PING:
          cf_agent_is_config_outdated (c->agent, m.config);
          cf_agent_take_status (c, &m);
          break;
        case CF_MSG_CLAIM:
          if (m.u.claim.key && m.u.claim.token && m.u.claim.runner)
            cf_agent_take_claim (c, &m);
          break;
        case CF_MSG_RELEASE:
          if (m.u.claim.key && m.u.claim.token)
            cf_guard_release (&c->agent->guard, m.u.claim.key, m.u.claim.token);
          break;
        case CF_MSG_CANCEL:
          cf_agent_take_cancel (c, &m);
          break;
        case CF_MSG_ANSWER:
        case CF_MSG_REFUSAL:
        case CF_MSG_STATUS:
        case CF_MSG_CLAIMED:
          break;
        }
      cf_msg_clear (&m);
    }
  set_conn_listed (c, FALSE);
  cf_agent_conn_unref (c);
  return NULL;
}

static void *
accept_conns (void *data)
{
  CfAgent *a = data;

  for (;;)
    {
      int fd = accept4 (a->listen_fd, NULL, NULL, SOCK_CLOEXEC);
      struct timeval tv = { .tv_sec = 1 };
      pthread_t t;
      CfAgentConn *c;

      if (fd < 0)
        {
          usleep (10000);
          continue;
        }
      setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof tv);
      c = g_new0 (CfAgentConn, 1);
      c->agent = a;
      c->fd = fd;
      c->refs = 1;
      pthread_mutex_init (&c->write_lock, NULL);
      pthread_create (&t, NULL, serve_conn, c);
      pthread_detach (t);
    }
  return NULL;
}

CfStatus
cf_agent_start (CfAgent *a)
{
  pthread_t t;
  CfStatus st;

  st = cf_listen_tcp (a->settings.listen, &a->listen_fd);
  if (st != CF_OK)
    return st;
  cf_ring_init (&a->job_queue, (unsigned int)a->settings.queue);
  cf_guard_init (&a->guard, a->settings.guard_ttl_ms,
                 (guint)a->settings.guard_max,
                 cf_now_ms () + a->settings.guard_quiet_ms);
  pthread_mutex_init (&a->fence_lock, NULL);
  pthread_mutex_init (&a->conns_lock, NULL);
  pthread_mutex_init (&a->call_window_lock, NULL);
  if (a->settings.group.members->len > 0)
    a->group = cf_rank_group_start (&a->settings.group, a->settings.target_url);
  for (gint64 i = 0; i < a->settings.workers; i++)
    {
      pthread_create (&t, NULL, cf_agent_run_worker, a);
      pthread_detach (t);
    }
  pthread_create (&t, NULL, accept_conns, a);
  pthread_detach (t);
  cf_log (LOG_INFO, CF_EV_LISTEN, "addr=%s target=%s", a->settings.listen,
          a->settings.target_url);
  return CF_OK;
}

/* Waits until every reply is written, at most until @deadline_ms; writing can
 * take long if the other side reads slowly. */
static void
wait_for_replies (CfAgent *a, long long deadline_ms)
{
  while (ck_pr_load_int (&a->pending_replies) > 0 && cf_now_ms () < deadline_ms)
    usleep (10000);
}

void
cf_agent_drain (CfAgent *a, const char *trigger)
{
  long long deadline_ms = cf_now_ms () + a->settings.drain_grace_ms;

  __atomic_store_n (&a->stop_deadline_ms, deadline_ms, __ATOMIC_RELEASE);
  begin_drain (a);
  cf_log (LOG_NOTICE, CF_EV_DRAIN_BEGIN, "by=%s in_flight=%d queued=%u",
          trigger, ck_pr_load_int (&a->in_flight),
          cf_ring_length (&a->job_queue));
  wait_for_replies (a, deadline_ms);
  if (ck_pr_load_int (&a->pending_replies) > 0)
    cf_agent_refuse_queued (a);
  /* Requests that entries sent before they learned of the drain are still
   * refused as not run.  Orders are still carried out, since a group that is
   * changing its expert map needs them. */
  usleep (DRAIN_LINGER_MS * 1000);
  wait_for_replies (a, deadline_ms);
  cf_log (LOG_NOTICE, CF_EV_DRAIN_DONE, "in_flight=%d queued=%u",
          ck_pr_load_int (&a->in_flight), cf_ring_length (&a->job_queue));
}
