#include "agent-parts.h"

#include "http-client.h"
#include "log.h"
#include "net.h"

#include <jansson.h>
#include <string.h>
#include <sys/socket.h>

/** The longest call of so long is remembered, twice: as long as the usual
 * grace of a stop, so that its last calls are still measured by those before
 * it. */
#define CALLS_SPAN_MS 30000L

/* What lives for one request, from its frame to its reply. */
typedef struct
{
  CfAgentConn *conn;
  CfMsg msg;
  long long deadline_at;
} Job;

CfLoad
cf_agent_load (CfAgent *a)
{
  unsigned int queued = cf_ring_length (&a->work);
  CfLoad l
      = { .in_flight = MAX (ck_pr_load_int (&a->in_flight) - (int)queued, 0),
          .queued = queued,
          .draining = ck_pr_load_int (&a->draining),
          .quiet_remaining_ms = cf_guard_quiet_ms (&a->guard, cf_now_ms ()) };

  return l;
}

/* %CF_ERR_FULL if @m does not fit a frame; nothing is sent then. */
CfStatus
cf_agent_reply (CfAgentConn *c, CfMsg *m)
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

void
cf_agent_refuse (CfAgentConn *c, guint64 id, CfRanState ran, const char *reason,
                 gint64 retry_ms)
{
  CfMsg m = { .kind = CF_MSG_REFUSAL, .id = id };

  m.u.refusal.ran = ran;
  m.u.refusal.reason = (char *)reason;
  m.u.refusal.retry_after_ms = retry_ms;
  ck_pr_inc_64 (&c->agent->refused);
  cf_log (LOG_INFO, CF_EV_AGENT_REFUSE,
          "id=%" G_GUINT64_FORMAT " ran=%s reason=%s", id, cf_ran_name (ran),
          reason);
  cf_agent_reply (c, &m);
}

void
cf_agent_answer (CfAgentConn *c, guint64 id, gint64 code, const char *body)
{
  CfMsg m = { .kind = CF_MSG_ANSWER, .id = id };

  m.u.answer.code = code;
  m.u.answer.body = (char *)body;
  ck_pr_inc_64 (&c->agent->served);
  if (cf_agent_reply (c, &m) == CF_ERR_FULL)
    cf_agent_refuse (c, id, CF_RAN_YES, "answer-too-large", 0);
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

static void
begin_span (CfAgent *a, long long now)
{
  long long age = now - a->calls_span_ms;

  if (age < CALLS_SPAN_MS)
    return;
  a->slowest_ms[1] = age < 2 * CALLS_SPAN_MS ? a->slowest_ms[0] : 0;
  a->slowest_ms[0] = 0;
  a->calls_span_ms = now;
}

static void
remember_call (CfAgent *a, gint64 ms)
{
  pthread_mutex_lock (&a->calls_lock);
  begin_span (a, cf_now_ms ());
  a->slowest_ms[0] = MAX (a->slowest_ms[0], ms);
  pthread_mutex_unlock (&a->calls_lock);
}

/* Whether @j would not end before the process does, should it take as long as
 * the longest call that is remembered: what is cut off at the target may have
 * run, what is refused here can run elsewhere.  Of three calls of 0.8 s with
 * 2 s of grace the last was begun 0.6 s before the end and cut off. */
static gboolean
outlasts_stop (CfAgent *a, const Job *j)
{
  gint64 stop_at = __atomic_load_n (&a->stop_at_ms, __ATOMIC_ACQUIRE);
  long long now = cf_now_ms ();
  gint64 slowest;

  if (stop_at == 0)
    return FALSE;
  pthread_mutex_lock (&a->calls_lock);
  begin_span (a, now);
  slowest = MAX (a->slowest_ms[0], a->slowest_ms[1]);
  pthread_mutex_unlock (&a->calls_lock);
  return now + MIN (slowest, j->deadline_at - now) >= stop_at;
}

/* Refuses @j, which was accepted but not begun. */
static void
refuse_unbegun (CfAgent *a, Job *j, const char *reason, gint64 retry_ms)
{
  const char *key = j->msg.u.request.key;

  ck_pr_dec_int (&a->in_flight);
  if (key)
    cf_guard_forget (&a->guard, key);
  cf_agent_refuse (j->conn, j->msg.id, CF_RAN_NO, reason, retry_ms);
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
  long long began = cf_now_ms ();
  CfStatus st;

  if (left <= 0)
    {
      refuse_unbegun (a, j, "deadline-before-start", 0);
      return;
    }
  if (outlasts_stop (a, j))
    {
      refuse_unbegun (a, j, "draining", 1000);
      return;
    }
  st = (key ? cf_http_call_once : cf_http_call) ("POST", url, m->u.request.body,
                                                 headers, left, &code, &body);
  if (st != CF_ERR_NET)
    remember_call (a, cf_now_ms () - began);
  ck_pr_dec_int (&a->in_flight);
  switch (st)
    {
    case CF_OK:
      if (key)
        cf_guard_finish (&a->guard, key, TRUE, code, body, cf_now_ms ());
      cf_agent_answer (j->conn, m->id, code, body);
      return;
    case CF_ERR_NET:
      if (key)
        cf_guard_forget (&a->guard, key);
      cf_log (LOG_WARNING, CF_EV_TARGET_FAIL,
              "id=%" G_GUINT64_FORMAT " ran=no error=\"%s\"", m->id,
              cf_last_error ());
      cf_agent_refuse (j->conn, m->id, CF_RAN_NO, CF_REASON_TARGET_UNREACHABLE,
                       1000);
      return;
    default:
      if (key)
        cf_guard_finish (&a->guard, key, FALSE, 0, NULL, cf_now_ms ());
      if (st == CF_ERR_TIMEOUT && m->u.request.rid)
        cancel_at_target (a, m->u.request.rid);
      cf_log (LOG_WARNING, CF_EV_TARGET_FAIL,
              "id=%" G_GUINT64_FORMAT " ran=unknown error=\"%s\"", m->id,
              cf_last_error ());
      cf_agent_refuse (j->conn, m->id, CF_RAN_UNKNOWN, CF_REASON_TARGET_FAILED,
                       1000);
      return;
    }
}

/* A job for the workers, which takes @m over and a reference on @c. */
static Job *
job_new (CfAgentConn *c, CfMsg *m)
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
  cf_agent_conn_unref (j->conn);
  g_free (j);
}

void *
cf_agent_worker (void *data)
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

void
cf_agent_refuse_queued (CfAgent *a)
{
  Job *j;

  while ((j = cf_ring_try_pop (&a->work)) != NULL)
    {
      if (j->msg.kind == CF_MSG_REQUEST)
        {
          refuse_unbegun (a, j, "draining", 1000);
          ck_pr_dec_int (&a->unanswered);
        }
      job_free (j);
    }
}

/*
 * Whether a sender's configuration is so old that every process should
 * have had a newer one for long: a process paused, cut off or started from
 * a stale read must not bring the older one back.
 */
gboolean
cf_agent_is_behind (CfAgent *a, gint64 version)
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
admit (CfAgentConn *c, CfMsg *m)
{
  CfAgent *a = c->agent;
  g_autofree char *kept = NULL;
  gint64 code = 0;

  if (ck_pr_load_int (&a->draining))
    {
      cf_agent_refuse (c, m->id, CF_RAN_NO, "draining", 1000);
      return FALSE;
    }
  if (cf_agent_is_behind (a, m->config))
    {
      cf_agent_refuse (c, m->id, CF_RAN_NO, CF_REASON_CONFIG_BEHIND, 1000);
      return FALSE;
    }
  if (m->u.request.key == NULL)
    return TRUE;
  switch (cf_guard_begin (&a->guard, m->u.request.key, m->u.request.key_state,
                          cf_now_ms (), &code, &kept))
    {
    case CF_GUARD_NEW:
      return TRUE;
    case CF_GUARD_DONE:
      cf_log (LOG_INFO, CF_EV_GUARD_DUP, "key=%s outcome=replay",
              m->u.request.key);
      cf_agent_answer (c, m->id, code, kept);
      return FALSE;
    case CF_GUARD_RUNNING:
      cf_log (LOG_INFO, CF_EV_GUARD_DUP, "key=%s outcome=running",
              m->u.request.key);
      cf_agent_refuse (c, m->id, CF_RAN_UNKNOWN, "running", 1000);
      return FALSE;
    case CF_GUARD_UNKNOWN:
      cf_log (LOG_INFO, CF_EV_GUARD_DUP, "key=%s outcome=unknown",
              m->u.request.key);
      cf_agent_refuse (c, m->id, CF_RAN_UNKNOWN, "fate-unknown", 0);
      return FALSE;
    case CF_GUARD_FULL:
      cf_agent_refuse (c, m->id, CF_RAN_NO, "guard-full", 1000);
      return FALSE;
    case CF_GUARD_QUIET:
      /* It did not run now, but it may have before this agent started. */
      cf_agent_refuse (c, m->id, CF_RAN_UNKNOWN, "guard-quiet",
                       cf_guard_quiet_ms (&a->guard, cf_now_ms ()));
      return FALSE;
    }
  return FALSE;
}

void
cf_agent_take_request (CfAgentConn *c, CfMsg *m)
{
  CfAgent *a = c->agent;
  Job *j;

  /* Counted before admit() looks whether the agent drains, so that a drain
   * never ends between that look and the push. */
  ck_pr_inc_int (&a->unanswered);
  if (!admit (c, m))
    {
      ck_pr_dec_int (&a->unanswered);
      cf_msg_clear (m);
      return;
    }
  j = job_new (c, m);
  j->deadline_at = cf_now_ms () + j->msg.u.request.deadline_ms;
  ck_pr_inc_int (&a->in_flight);
  if (!cf_ring_push (&a->work, j))
    {
      ck_pr_dec_int (&a->in_flight);
      if (j->msg.u.request.key)
        cf_guard_forget (&a->guard, j->msg.u.request.key);
      cf_agent_refuse (c, j->msg.id, CF_RAN_NO, "overloaded", 500);
      ck_pr_dec_int (&a->unanswered);
      job_free (j);
    }
}

/* Nobody waits for a request any more.  The target is told by a worker,
 * which takes the request itself first if it still waits in the ring. */
void
cf_agent_take_cancel (CfAgentConn *c, CfMsg *m)
{
  Job *j = job_new (c, m);

  /* A full ring drops it: the request's deadline ends it then. */
  if (j->msg.u.cancel.rid == NULL || !cf_ring_push (&c->agent->work, j))
    job_free (j);
}
