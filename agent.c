#include "agent.h"

#include "http-client.h"
#include "log.h"
#include "net.h"

#include <jansson.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Several times the way between two processes of a region, in ms. */
#define DRAIN_LINGER_MS 100

const char cf_agent_defaults[] = "[agent]\n"
                                 "listen = \"127.0.0.1:7101\"\n"
                                 "target_url = \"http://127.0.0.1:7201\"\n"
                                 "workers = 32\n"
                                 "queue = 256\n"
                                 "guard_ttl_ms = 600000\n"
                                 "guard_max = 100000\n"
                                 "guard_quiet_ms = 5000\n"
                                 "drain_grace_ms = 30000\n"
                                 "config_grace_ms = 9000\n"
                                 "[group]\n"
                                 "members = []\n"
                                 "rank = 0\n"
                                 "interval_ms = 30000\n"
                                 "hold_max_ms = 2000\n"
                                 "prepare_ms = 60000\n"
                                 "policy = \"bounded\"\n"
                                 "skew_weight = 1.0\n"
                                 "move_weight = 0.01\n"
                                 "max_moves = 16\n";

static const CfSetting fields[] = {
  { CF_SETTING_STRING, "agent", "listen", offsetof (CfAgentSettings, listen), 0,
    0 },
  { CF_SETTING_STRING, "agent", "target_url",
    offsetof (CfAgentSettings, target_url), 0, 0 },
  { CF_SETTING_INT, "agent", "workers", offsetof (CfAgentSettings, workers), 1,
    1024 },
  { CF_SETTING_INT, "agent", "queue", offsetof (CfAgentSettings, queue), 4,
    65536 },
  { CF_SETTING_INT, "agent", "guard_ttl_ms",
    offsetof (CfAgentSettings, guard_ttl_ms), 1000, 86400000 },
  { CF_SETTING_INT, "agent", "guard_max", offsetof (CfAgentSettings, guard_max),
    16, 10000000 },
  { CF_SETTING_INT, "agent", "guard_quiet_ms",
    offsetof (CfAgentSettings, guard_quiet_ms), 0, 3600000 },
  { CF_SETTING_INT, "agent", "drain_grace_ms",
    offsetof (CfAgentSettings, drain_grace_ms), 0, 3600000 },
  { CF_SETTING_INT, "agent", "config_grace_ms",
    offsetof (CfAgentSettings, config_grace_ms), 0, 3600000 },
  { CF_SETTING_STRINGS, "group", "members",
    offsetof (CfAgentSettings, group.members), 0, 0 },
  { CF_SETTING_INT, "group", "rank", offsetof (CfAgentSettings, group.rank), 0,
    4095 },
  { CF_SETTING_INT, "group", "interval_ms",
    offsetof (CfAgentSettings, group.interval_ms), 0, 86400000 },
  { CF_SETTING_INT, "group", "hold_max_ms",
    offsetof (CfAgentSettings, group.hold_max_ms), 200, 600000 },
  { CF_SETTING_INT, "group", "prepare_ms",
    offsetof (CfAgentSettings, group.prepare_ms), 100, 3600000 },
  { CF_SETTING_STRING, "group", "policy",
    offsetof (CfAgentSettings, group.policy), 0, 0 },
  { CF_SETTING_DOUBLE, "group", "skew_weight",
    offsetof (CfAgentSettings, group.skew_weight), 0, 1e6 },
  { CF_SETTING_DOUBLE, "group", "move_weight",
    offsetof (CfAgentSettings, group.move_weight), 0, 1e6 },
  { CF_SETTING_INT, "group", "max_moves",
    offsetof (CfAgentSettings, group.max_moves), 1, 4096 },
};

CfStatus
cf_agent_settings_read (CfSettings *s, CfAgentSettings *o)
{
  CfStatus st = cf_settings_read (s, fields, G_N_ELEMENTS (fields), o);

  if (st == CF_OK && (o->queue & (o->queue - 1)) != 0)
    st = cf_fail (CF_ERR_SETTINGS, "choose a power of two such as 256",
                  "%s: [agent] queue = %" G_GINT64_FORMAT
                  " is not a power of two",
                  s->origin, o->queue);
  if (st == CF_OK)
    st = cf_rank_group_settings_check (s, &o->group);
  return st;
}

/* What lives for one connection from an entry or an operator. */
typedef struct CfAgentConn
{
  struct CfAgentConn *next; /* in the agent's list, under its lock */
  CfAgent *agent;
  int fd;
  pthread_mutex_t write_lock;
  int refs;
} Conn;

/* What lives for one request, from its frame to its reply. */
typedef struct
{
  Conn *conn;
  CfMsg msg;
  long long deadline_at;
} Job;

static void
conn_unref (Conn *c)
{
  if (__atomic_sub_fetch (&c->refs, 1, __ATOMIC_ACQ_REL) != 0)
    return;
  close (c->fd);
  pthread_mutex_destroy (&c->write_lock);
  g_free (c);
}

CfLoad
cf_agent_load (CfAgent *a)
{
  unsigned int queued = cf_ring_length (&a->work);
  CfLoad l
      = { .in_flight = MAX (ck_pr_load_int (&a->in_flight) - (int)queued, 0),
          .queued = queued,
          .draining = ck_pr_load_int (&a->draining),
          .quiet_ms = cf_guard_quiet_ms (&a->guard, cf_now_ms ()) };

  return l;
}

/* %CF_ERR_FULL if @m does not fit a frame; nothing is sent then. */
static CfStatus
reply (Conn *c, CfMsg *m)
{
  CfStatus st;

  m->load = cf_agent_load (c->agent);
  pthread_mutex_lock (&c->write_lock);
  st = cf_msg_write (c->fd, m);
  /* A failed write means the entry is gone; it will see the link lost. */
  if (st == CF_ERR_NET)
    shutdown (c->fd, SHUT_RDWR);
  pthread_mutex_unlock (&c->write_lock);
  return st;
}

static void
refuse (Conn *c, guint64 id, CfRan ran, const char *reason, gint64 retry_ms)
{
  CfMsg m = { .kind = CF_MSG_REFUSAL, .id = id };

  m.u.refusal.ran = ran;
  m.u.refusal.reason = (char *)reason;
  m.u.refusal.retry_after_ms = retry_ms;
  ck_pr_inc_64 (&c->agent->refused);
  cf_log (LOG_INFO, CF_EV_AGENT_REFUSE,
          "id=%" G_GUINT64_FORMAT " ran=%s reason=%s", id, cf_ran_name (ran),
          reason);
  reply (c, &m);
}

static void
answer (Conn *c, guint64 id, gint64 code, const char *body)
{
  CfMsg m = { .kind = CF_MSG_ANSWER, .id = id };

  m.u.answer.code = code;
  m.u.answer.body = (char *)body;
  ck_pr_inc_64 (&c->agent->served);
  if (reply (c, &m) == CF_ERR_FULL)
    refuse (c, id, CF_RAN_YES, "answer-too-large", 0);
}

/* Tells the target to stop work nobody waits for; best effort, since the
 * request's fate is reported as unknown either way. */
static void
cancel_at_target (CfAgent *a, const char *rid)
{
  g_autofree char *url
      = g_strdup_printf ("%s/v1/cancel?request=%s", a->set.target_url, rid);
  long code = 0;

  cf_http_call ("POST", url, "", NULL, 500, &code, NULL);
}

/* Calls the target; the job counts as in flight until just before its
 * reply, so that the load on the reply no longer includes it. */
static void
run_job (CfAgent *a, Job *j)
{
  CfMsg *m = &j->msg;
  const char *key = m->u.request.key;
  g_autofree char *url
      = g_strconcat (a->set.target_url, m->u.request.path, NULL);
  g_autofree char *prio = g_strdup_printf (
      "X-Comfrey-Priority: %" G_GINT64_FORMAT, m->u.request.priority);
  long long left = j->deadline_at - cf_now_ms ();
  g_autofree char *rid = g_strdup_printf (
      "X-Request-Id: %s", m->u.request.rid ? m->u.request.rid : "-");
  g_autofree char *deadline
      = g_strdup_printf ("X-Comfrey-Deadline-Ms: %lld", left);
  g_autofree char *key_header
      = key ? g_strdup_printf ("Idempotency-Key: %s", key) : NULL;
  const char *headers[] = { prio, rid, deadline, key_header, NULL };
  g_autofree char *body = NULL;
  long code = 0;
  CfStatus st = CF_ERR_TIMEOUT;

  if (left > 0)
    st = (key ? cf_http_call_once : cf_http_call) (
        "POST", url, m->u.request.body, headers, left, &code, &body);
  ck_pr_dec_int (&a->in_flight);
  if (left <= 0)
    {
      if (key)
        cf_guard_forget (&a->guard, key);
      refuse (j->conn, m->id, CF_RAN_NO, "deadline-before-start", 0);
      return;
    }
  switch (st)
    {
    case CF_OK:
      if (key)
        cf_guard_finish (&a->guard, key, TRUE, code, body, cf_now_ms ());
      answer (j->conn, m->id, code, body);
      return;
    case CF_ERR_NET:
      if (key)
        cf_guard_forget (&a->guard, key);
      cf_log (LOG_WARNING, CF_EV_TARGET_FAIL,
              "id=%" G_GUINT64_FORMAT " ran=no error=\"%s\"", m->id,
              cf_last_error ());
      refuse (j->conn, m->id, CF_RAN_NO, CF_REASON_TARGET_UNREACHABLE, 1000);
      return;
    default:
      if (key)
        cf_guard_finish (&a->guard, key, FALSE, 0, NULL, cf_now_ms ());
      if (st == CF_ERR_TIMEOUT && m->u.request.rid)
        cancel_at_target (a, m->u.request.rid);
      cf_log (LOG_WARNING, CF_EV_TARGET_FAIL,
              "id=%" G_GUINT64_FORMAT " ran=unknown error=\"%s\"", m->id,
              cf_last_error ());
      refuse (j->conn, m->id, CF_RAN_UNKNOWN, CF_REASON_TARGET_FAILED, 1000);
      return;
    }
}

/* A job for the workers, which takes @m over and a reference on @c. */
static Job *
job_new (Conn *c, CfMsg *m)
{
  Job *j = g_new0 (Job, 1);

  j->conn = c;
  j->msg = *m;
  memset (m, 0, sizeof *m);
  __atomic_add_fetch (&c->refs, 1, __ATOMIC_ACQ_REL);
  return j;
}

static void
job_free (Job *j)
{
  cf_msg_clear (&j->msg);
  conn_unref (j->conn);
  g_free (j);
}

static void *
worker (void *data)
{
  CfAgent *a = data;

  for (;;)
    {
      Job *j = cf_ring_pop (&a->work);

      if (j->msg.kind == CF_MSG_CANCEL)
        cancel_at_target (a, j->msg.u.cancel.rid);
      else
        {
          run_job (a, j);
          ck_pr_dec_int (&a->unanswered);
        }
      job_free (j);
    }
  return NULL;
}

/*
 * Whether a sender's configuration is so old that every process should
 * have had a newer one for long: a process paused, cut off or started from
 * a stale read must not bring the older one back.
 */
static gboolean
is_behind (CfAgent *a, gint64 version)
{
  long long now = cf_now_ms ();
  gboolean behind;

  pthread_mutex_lock (&a->fence_lock);
  if (version > a->config)
    {
      a->config = version;
      a->config_since_ms = now;
    }
  behind = version > 0 && version < a->config
           && now - a->config_since_ms >= a->set.config_grace_ms;
  pthread_mutex_unlock (&a->fence_lock);
  return behind;
}

/* Decides, before queueing, whether a request may run at all. */
static gboolean
admit (Conn *c, CfMsg *m)
{
  CfAgent *a = c->agent;
  g_autofree char *kept = NULL;
  gint64 code = 0;

  if (ck_pr_load_int (&a->draining))
    {
      refuse (c, m->id, CF_RAN_NO, "draining", 1000);
      return FALSE;
    }
  if (is_behind (a, m->config))
    {
      refuse (c, m->id, CF_RAN_NO, CF_REASON_CONFIG_BEHIND, 1000);
      return FALSE;
    }
  if (m->u.request.key == NULL)
    return TRUE;
  switch (cf_guard_begin (&a->guard, m->u.request.key, m->u.request.keyed,
                          cf_now_ms (), &code, &kept))
    {
    case CF_GUARD_NEW:
      return TRUE;
    case CF_GUARD_DONE:
      cf_log (LOG_INFO, CF_EV_GUARD_DUP, "key=%s outcome=replay",
              m->u.request.key);
      answer (c, m->id, code, kept);
      return FALSE;
    case CF_GUARD_RUNNING:
      cf_log (LOG_INFO, CF_EV_GUARD_DUP, "key=%s outcome=running",
              m->u.request.key);
      refuse (c, m->id, CF_RAN_UNKNOWN, "running", 1000);
      return FALSE;
    case CF_GUARD_UNKNOWN:
      cf_log (LOG_INFO, CF_EV_GUARD_DUP, "key=%s outcome=unknown",
              m->u.request.key);
      refuse (c, m->id, CF_RAN_UNKNOWN, "fate-unknown", 0);
      return FALSE;
    case CF_GUARD_FULL:
      refuse (c, m->id, CF_RAN_NO, "guard-full", 1000);
      return FALSE;
    case CF_GUARD_QUIET:
      /* It did not run now, but it may have before this agent started. */
      refuse (c, m->id, CF_RAN_UNKNOWN, "guard-quiet",
              cf_guard_quiet_ms (&a->guard, cf_now_ms ()));
      return FALSE;
    }
  return FALSE;
}

static void
take_request (Conn *c, CfMsg *m)
{
  CfAgent *a = c->agent;
  Job *j;

  if (!admit (c, m))
    {
      cf_msg_clear (m);
      return;
    }
  j = job_new (c, m);
  j->deadline_at = cf_now_ms () + j->msg.u.request.deadline_ms;
  /* Counted before the push, so that a drain never sees a job in between. */
  ck_pr_inc_int (&a->unanswered);
  ck_pr_inc_int (&a->in_flight);
  if (!cf_ring_push (&a->work, j))
    {
      ck_pr_dec_int (&a->unanswered);
      ck_pr_dec_int (&a->in_flight);
      if (j->msg.u.request.key)
        cf_guard_forget (&a->guard, j->msg.u.request.key);
      refuse (c, j->msg.id, CF_RAN_NO, "overloaded", 500);
      job_free (j);
    }
}

/* Nobody waits for a request any more.  The target is told by a worker,
 * which takes the request itself first if it still waits in the ring. */
static void
take_cancel (Conn *c, CfMsg *m)
{
  Job *j = job_new (c, m);

  /* A full ring drops it: the request's deadline ends it then. */
  if (j->msg.u.cancel.rid == NULL || !cf_ring_push (&c->agent->work, j))
    job_free (j);
}

/* Checks a target order's fencing token on the target's behalf. */
static gboolean
pass_fence (CfAgent *a, gint64 fence, gint64 *highest)
{
  pthread_mutex_lock (&a->fence_lock);
  *highest = a->fence;
  a->fence = MAX (a->fence, fence);
  pthread_mutex_unlock (&a->fence_lock);
  return fence >= *highest;
}

static void
refuse_stale (Conn *c, const CfMsg *m, gint64 highest)
{
  cf_log (LOG_WARNING, CF_EV_FENCE_STALE,
          "op=%s fence=%" G_GINT64_FORMAT " highest=%" G_GINT64_FORMAT,
          m->u.order.op, m->u.order.fence, highest);
  refuse (c, m->id, CF_RAN_NO, CF_REASON_STALE_FENCE, 0);
}

/* An order to the rank this agent stands beside, from a coordinator. */
static void
take_rank_order (Conn *c, CfMsg *m)
{
  CfRankGroup *g = c->agent->group;
  g_autofree char *out = NULL;
  long code = 0;

  switch (cf_rank_group_admit (g, m->u.order.op, m->u.order.fence))
    {
    case CF_OK:
      break;
    case CF_ERR_STALE:
      refuse_stale (c, m, cf_rank_group_fence (g));
      return;
    default:
      refuse (c, m->id, CF_RAN_NO, "no-coordinator", 0);
      return;
    }
  if (cf_rank_group_order (g, m->u.order.op, m->u.order.args, m->u.order.fence,
                           &code, &out)
      == CF_OK)
    answer (c, m->id, code, out);
  else
    refuse (c, m->id, CF_RAN_UNKNOWN, CF_REASON_TARGET_FAILED, 0);
}

/* An order to the target as a whole, such as to load a model. */
static void
take_target_order (Conn *c, CfMsg *m)
{
  CfAgent *a = c->agent;
  g_autofree char *url = g_strconcat (a->set.target_url, "/v1/order", NULL);
  g_autofree char *body = NULL;
  g_autofree char *out = NULL;
  gint64 highest;
  long code = 0;

  if (!pass_fence (a, m->u.order.fence, &highest))
    {
      refuse_stale (c, m, highest);
      return;
    }
  body = g_strdup_printf ("{\"fence\":%" G_GINT64_FORMAT ",\"op\":\"%s\"}",
                          m->u.order.fence, m->u.order.op);
  cf_log (LOG_INFO, CF_EV_ORDER, "op=%s fence=%" G_GINT64_FORMAT, m->u.order.op,
          m->u.order.fence);
  if (cf_http_call_once ("POST", url, body, NULL, 5000, &code, &out) != CF_OK)
    refuse (c, m->id, CF_RAN_UNKNOWN, CF_REASON_TARGET_FAILED, 1000);
  else
    answer (c, m->id, code, out);
}

static void
take_order (Conn *c, CfMsg *m)
{
  CfAgent *a = c->agent;

  if (m->u.order.op == NULL)
    refuse (c, m->id, CF_RAN_NO, "no-op", 0);
  else if (cf_rank_group_knows (m->u.order.op)
           || g_str_equal (m->u.order.op, "rebalance"))
    {
      if (a->group == NULL)
        refuse (c, m->id, CF_RAN_NO, "no-group", 0);
      else if (g_str_equal (m->u.order.op, "rebalance"))
        {
          cf_rank_group_rebalance (a->group);
          answer (c, m->id, 202, "{\"accepted\":true}");
        }
      else
        take_rank_order (c, m);
    }
  else
    take_target_order (c, m);
}

static void
take_claim (Conn *c, CfMsg *m)
{
  CfMsg r = { .kind = CF_MSG_CLAIMED, .id = m->id };
  g_autofree char *holder = NULL;

  r.u.claimed.verdict
      = cf_guard_claim (&c->agent->guard, m->u.claim.key, m->u.claim.token,
                        m->u.claim.runner, cf_now_ms (), &holder);
  r.u.claimed.runner = holder;
  cf_log (LOG_INFO, CF_EV_GUARD_CLAIM, "key=%s token=%s runner=%s verdict=%s",
          m->u.claim.key, m->u.claim.token, m->u.claim.runner,
          cf_verdict_name (r.u.claimed.verdict));
  reply (c, &r);
}

static void
take_status (Conn *c, CfMsg *m)
{
  CfAgent *a = c->agent;
  CfMsg s = { .kind = CF_MSG_STATUS, .id = m->id };

  pthread_mutex_lock (&a->fence_lock);
  s.u.status.fence = a->fence;
  pthread_mutex_unlock (&a->fence_lock);
  if (a->group)
    s.u.status.fence = MAX (s.u.status.fence, cf_rank_group_fence (a->group));
  s.u.status.served = (gint64)ck_pr_load_64 (&a->served);
  s.u.status.refused = (gint64)ck_pr_load_64 (&a->refused);
  reply (c, &s);
}

/* Puts @c on the agent's list, or takes it off. */
static void
list_conn (Conn *c, gboolean open)
{
  CfAgent *a = c->agent;

  pthread_mutex_lock (&a->conns_lock);
  if (open)
    {
      c->next = a->conns;
      a->conns = c;
    }
  else
    for (Conn **p = &a->conns; *p; p = &(*p)->next)
      if (*p == c)
        {
          *p = c->next;
          break;
        }
  pthread_mutex_unlock (&a->conns_lock);
}

/* Takes no new work from now on, and says so on every connection, so that
 * entries need not find out by a refusal. */
static void
begin_drain (CfAgent *a)
{
  CfMsg s = { .kind = CF_MSG_STATUS };

  if (ck_pr_fas_int (&a->draining, 1))
    return;
  pthread_mutex_lock (&a->conns_lock);
  for (Conn *c = a->conns; c; c = c->next)
    reply (c, &s);
  pthread_mutex_unlock (&a->conns_lock);
}

static void *
conn_thread (void *data)
{
  Conn *c = data;
  CfMsg m;

  list_conn (c, TRUE);
  while (cf_msg_read (c->fd, &m) == CF_OK)
    {
      switch (m.kind)
        {
        case CF_MSG_REQUEST:
          take_request (c, &m);
          break;
        case CF_MSG_ORDER:
          take_order (c, &m);
          break;
        case CF_MSG_DRAIN:
          begin_drain (c->agent);
          cf_log (LOG_NOTICE, CF_EV_DRAIN_BEGIN, "by=operator");
          take_status (c, &m);
          break;
        case CF_MSG_PING:
          is_behind (c->agent, m.config);
          take_status (c, &m);
          break;
        case CF_MSG_CLAIM:
          if (m.u.claim.key && m.u.claim.token && m.u.claim.runner)
            take_claim (c, &m);
          break;
        case CF_MSG_RELEASE:
          if (m.u.claim.key && m.u.claim.token)
            cf_guard_release (&c->agent->guard, m.u.claim.key, m.u.claim.token);
          break;
        case CF_MSG_CANCEL:
          take_cancel (c, &m);
          break;
        case CF_MSG_ANSWER:
        case CF_MSG_REFUSAL:
        case CF_MSG_STATUS:
        case CF_MSG_CLAIMED:
          break;
        }
      cf_msg_clear (&m);
    }
  list_conn (c, FALSE);
  conn_unref (c);
  return NULL;
}

static void *
accept_thread (void *data)
{
  CfAgent *a = data;

  for (;;)
    {
      int fd = accept4 (a->listen_fd, NULL, NULL, SOCK_CLOEXEC);
      struct timeval tv = { .tv_sec = 1 };
      pthread_t t;
      Conn *c;

      if (fd < 0)
        {
          usleep (10000);
          continue;
        }
      setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof tv);
      c = g_new0 (Conn, 1);
      c->agent = a;
      c->fd = fd;
      c->refs = 1;
      pthread_mutex_init (&c->write_lock, NULL);
      pthread_create (&t, NULL, conn_thread, c);
      pthread_detach (t);
    }
  return NULL;
}

CfStatus
cf_agent_start (CfAgent *a)
{
  pthread_t t;
  CfStatus st;

  st = cf_listen_tcp (a->set.listen, &a->listen_fd);
  if (st != CF_OK)
    return st;
  cf_ring_init (&a->work, (unsigned int)a->set.queue);
  cf_guard_init (&a->guard, a->set.guard_ttl_ms, (guint)a->set.guard_max,
                 cf_now_ms () + a->set.guard_quiet_ms);
  pthread_mutex_init (&a->fence_lock, NULL);
  pthread_mutex_init (&a->conns_lock, NULL);
  if (a->set.group.members->len > 0)
    a->group = cf_rank_group_start (&a->set.group, a->set.target_url);
  for (gint64 i = 0; i < a->set.workers; i++)
    {
      pthread_create (&t, NULL, worker, a);
      pthread_detach (t);
    }
  pthread_create (&t, NULL, accept_thread, a);
  pthread_detach (t);
  cf_log (LOG_INFO, CF_EV_LISTEN, "addr=%s target=%s", a->set.listen,
          a->set.target_url);
  return CF_OK;
}

void
cf_agent_drain (CfAgent *a, const char *why)
{
  long long until = cf_now_ms () + a->set.drain_grace_ms;

  begin_drain (a);
  cf_log (LOG_NOTICE, CF_EV_DRAIN_BEGIN, "by=%s in_flight=%d queued=%u", why,
          ck_pr_load_int (&a->in_flight), cf_ring_length (&a->work));
  /* Until each reply is written: a peer that reads slowly takes a while. */
  while (ck_pr_load_int (&a->unanswered) > 0 && cf_now_ms () < until)
    usleep (10000);
  /* Requests sent before the entries knew are still refused as not run. */
  usleep (DRAIN_LINGER_MS * 1000);
  cf_log (LOG_NOTICE, CF_EV_DRAIN_DONE, "in_flight=%d queued=%u",
          ck_pr_load_int (&a->in_flight), cf_ring_length (&a->work));
}
