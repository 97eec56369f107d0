#include "agent-parts.h"

#include "http-client.h"
#include "log.h"
#include "net.h"

#include <jansson.h>
#include <string.h>
#include <sys/socket.h>

/* The duration of the longest call is recorded for the current window and for
 * the one before.  A window is as long as the default drain_grace_ms, so that
 * the estimate for a drain's last calls still includes those made before the
 * drain. */
#define CALL_WINDOW_MS 30000L
#define CANCEL_TIMEOUT_MS 500 /* for the target to accept a cancellation */

/* A request or cancellation, from its frame until its worker is done. */
typedef struct
{
  CfAgentConn *conn;
  CfMsg msg;
  long long deadline_at_ms; /* on cf_now_ms()'s clock; requests only */
} Job;

CfLoad
cf_agent_get_load (CfAgent *a)
{
  unsigned int queued = cf_ring_length (&a->job_queue);
  CfLoad l
      = { .in_flight = MAX (ck_pr_load_int (&a->in_flight) - (int)queued, 0),
          .queued = queued,
          .draining = ck_pr_load_int (&a->draining),
          .quiet_remaining_ms
          = cf_guard_remaining_quiet_ms (&a->guard, cf_now_ms ()) };

  return l;
}

CfStatus
cf_agent_conn_send (CfAgentConn *c, CfMsg *m)
{
  CfStatus st;

  m->load = cf_agent_get_load (c->agent);
  pthread_mutex_lock (&c->write_lock);
  st = cf_msg_write (c->fd, m);
  /* After a failed write the entry is assumed to be gone.  If it is not, the
   * shutdown makes it see the link as lost. */
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
  cf_agent_conn_send (c, &m);
}

void
cf_agent_answer (CfAgentConn *c, guint64 id, gint64 code, const char *body)
{
  CfMsg m = { .kind = CF_MSG_ANSWER, .id = id };

  m.u.answer.code = code;
  m.u.answer.body = (char *)body;
  ck_pr_inc_64 (&c->agent->served);
  if (cf_agent_conn_send (c, &m) == CF_ERR_FULL)
    cf_agent_refuse (c, id, CF_RAN_YES, "answer-too-large", 0);
}

/* Asks the target to stop a request that no caller waits for.  Best effort:
 * the request is reported as "ran unknown" either way. */
static void
cancel_at_target (CfAgent *a, const char *rid)
{
  g_autofree char *url = g_strdup_printf ("%s/v1/cancel?request=%s",
                                          a->settings.target_url, rid);
  long code = 0;

  cf_http_call ("POST", url, "", NULL, CANCEL_TIMEOUT_MS, &code, NULL);
}

/* Starts a new window once the current one is over.  The caller holds
 * call_window_lock. */
static void
rotate_call_window (CfAgent *a, long long now)
{
  long long age = now - a->call_window_start_ms;

  if (age < CALL_WINDOW_MS)
    return;
  a->longest_call_ms[1] = age < 2 * CALL_WINDOW_MS ? a->longest_call_ms[0] : 0;
  a->longest_call_ms[0] = 0;
  a->call_window_start_ms = now;
}

static void
record_call_duration (CfAgent *a, gint64 ms)
{
  pthread_mutex_lock (&a->call_window_lock);
  rotate_call_window (a, cf_now_ms ());
  a->longest_call_ms[0] = MAX (a->longest_call_ms[0], ms);
  pthread_mutex_unlock (&a->call_window_lock);
}

/* Whether @j might still run when the process ends, if it takes as long as
 * the longest recent call.  A call cut off at the target may have run, whereas
 * one refused here can safely run elsewhere.  Without this check, of three
 * queued calls of 0.8 s each and a grace of 2 s, the last was started 0.6 s
 * before the end and cut off. */
static gboolean
may_outlast_stop (CfAgent *a, const Job *j)
{
  gint64 stop_deadline
      = __atomic_load_n (&a->stop_deadline_ms, __ATOMIC_ACQUIRE);
  long long now = cf_now_ms ();
  gint64 longest;

  if (stop_deadline == 0)
    return FALSE;
  pthread_mutex_lock (&a->call_window_lock);
  rotate_call_window (a, now);
  longest = MAX (a->longest_call_ms[0], a->longest_call_ms[1]);
  pthread_mutex_unlock (&a->call_window_lock);
  return now + MIN (longest, j->deadline_at_ms - now) >= stop_deadline;
}

/* The id that the entry gave to the request, for logs. */
static const char *
get_request_id (const CfMsg *m)
{
  return m->u.request.rid ? m->u.request.rid : "-";
}

/* Refuses @j, which was queued but never sent to the target. */
static void
refuse_unstarted (CfAgent *a, Job *j, const char *reason, gint64 retry_ms)
{
  const char *key = j->msg.u.request.key;

  ck_pr_dec_int (&a->in_flight);
  if (key)
    cf_guard_remove (&a->guard, key);
  cf_agent_refuse (j->conn, j->msg.id, CF_RAN_NO, reason, retry_ms);
}

/* Calls the target and replies.  The job leaves in_flight just before its
 * reply is written, so that the load on the reply does not include it. */
static void
run_job (CfAgent *a, Job *j)
{
  CfMsg *m = &j->msg;
  const char *key = m->u.request.key;
  g_autofree char *url
      = g_strconcat (a->settings.target_url, m->u.request.path, NULL);
  g_autofree char *prio = g_strdup_printf (
      "X-Comfrey-Priority: %" G_GINT64_FORMAT, m->u.request.priority);
  long long remaining_ms = j->deadline_at_ms - cf_now_ms ();
  g_autofree char *rid
      = g_strdup_printf ("X-Request-Id: %s", get_request_id (m));
  g_autofree char *deadline
      = g_strdup_printf ("X-Comfrey-Deadline-Ms: %lld", remaining_ms);
  g_autofree char *key_header
      = key ? g_strdup_printf ("Idempotency-Key: %s", key) : NULL;
  const char *headers[] = { prio, rid, deadline, key_header, NULL };
  g_autofree char *body = NULL;
  long code = 0;
  long long start_ms = cf_now_ms ();
  CfStatus st;

  if (remaining_ms <= 0)
    {
      refuse_unstarted (a, j, "deadline-before-start", 0);
      return;
    }
  if (may_outlast_stop (a, j))
    {
      refuse_unstarted (a, j, "draining", 1000);
      return;
    }
  st = (key ? cf_http_call_once : cf_http_call) (
      "POST", url, m->u.request.body, headers, remaining_ms, &code, &body);
  if (st != CF_ERR_NET)
    record_call_duration (a, cf_now_ms () - start_ms);
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
        cf_guard_remove (&a->guard, key);
      cf_log (LOG_WARNING, CF_EV_TARGET_FAIL,
              "id=%" G_GUINT64_FORMAT " req=%s ran=no error=\"%s\"", m->id,
              get_request_id (m), cf_last_error ());
      cf_agent_refuse (j->conn, m->id, CF_RAN_NO, CF_REASON_TARGET_UNREACHABLE,
                       1000);
      return;
    default:
      if (key)
        cf_guard_finish (&a->guard, key, FALSE, 0, NULL, cf_now_ms ());
      cf_log (LOG_WARNING, CF_EV_TARGET_FAIL,
              "id=%" G_GUINT64_FORMAT " req=%s ran=unknown error=\"%s\"", m->id,
              get_request_id (m), cf_last_error ());
      if (st == CF_ERR_TIMEOUT && m->u.request.rid)
        cancel_at_target (a, m->u.request.rid);
      cf_agent_refuse (j->conn, m->id, CF_RAN_UNKNOWN, CF_REASON_TARGET_FAILED,
                       1000);
      return;
    }
}

/* Creates a job that takes ownership of @m's content and a reference on
 * @c. */
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
cf_agent_run_worker (void *data)
{
  CfAgent *a = data;

  for (;;)
    {
      Job *j = cf_ring_pop (&a->job_queue);

      if (j->msg.kind == CF_MSG_CANCEL)
        cancel_at_target (a, j->msg.u.cancel.rid);
      else
        {
          run_job (a, j);
          ck_pr_dec_int (&a->pending_replies);
        }
      job_free (j);
    }
  return NULL;
}

void
cf_agent_refuse_queued (CfAgent *a)
{
  Job *j;

  while ((j = cf_ring_try_pop (&a->job_queue)) != NULL)
    {
      if (j->msg.kind == CF_MSG_REQUEST)
        {
          refuse_unstarted (a, j, "draining", 1000);
          ck_pr_dec_int (&a->pending_replies);
        }
      job_free (j);
    }
}

/*
 * After the grace period every running process should have the newer
 * configuration.  A process that was paused, partitioned or started from a
 * stale read must not bring the older one back into use.
 */
gboolean
cf_agent_is_config_outdated (CfAgent *a, gint64 version)
{
  long long now = cf_now_ms ();
  gboolean outdated;

  pthread_mutex_lock (&a->fence_lock);
  if (version > a->newest_config)
    {
      a->newest_config = version;
      a->newest_config_seen_ms = now;
    }
  outdated = version > 0 && version < a->newest_config
             && now - a->newest_config_seen_ms >= a->settings.config_grace_ms;
  pthread_mutex_unlock (&a->fence_lock);
  return outdated;
}

/* Decides before queueing whether a request may run; if not, replies. */
static gboolean
admit (CfAgentConn *c, CfMsg *m)
{
  CfAgent *a = c->agent;
  g_autofree char *stored_answer = NULL;
  gint64 code = 0;

  if (ck_pr_load_int (&a->draining))
    {
      cf_agent_refuse (c, m->id, CF_RAN_NO, "draining", 1000);
      return FALSE;
    }
  if (cf_agent_is_config_outdated (a, m->config))
    {
      cf_agent_refuse (c, m->id, CF_RAN_NO, CF_REASON_CONFIG_BEHIND, 1000);
      return FALSE;
    }
  if (m->u.request.key == NULL)
    return TRUE;
  switch (cf_guard_begin (&a->guard, m->u.request.key, m->u.request.key_state,
                          cf_now_ms (), &code, &stored_answer))
    {
    case CF_GUARD_NEW:
      return TRUE;
    case CF_GUARD_DONE:
      cf_log (LOG_INFO, CF_EV_GUARD_DUP, "req=%s key=%s outcome=replay",
              get_request_id (m), m->u.request.key);
      cf_agent_answer (c, m->id, code, stored_answer);
      return FALSE;
    case CF_GUARD_RUNNING:
      cf_log (LOG_INFO, CF_EV_GUARD_DUP, "req=%s key=%s outcome=running",
              get_request_id (m), m->u.request.key);
      cf_agent_refuse (c, m->id, CF_RAN_UNKNOWN, "running", 1000);
      return FALSE;
    case CF_GUARD_UNKNOWN:
      cf_log (LOG_INFO, CF_EV_GUARD_DUP, "req=%s key=%s outcome=unknown",
              get_request_id (m), m->u.request.key);
      cf_agent_refuse (c, m->id, CF_RAN_UNKNOWN, "fate-unknown", 0);
      return FALSE;
    case CF_GUARD_FULL:
      cf_agent_refuse (c, m->id, CF_RAN_NO, "guard-full", 1000);
      return FALSE;
    case CF_GUARD_QUIET:
      /* It did not run now, but may have run before this agent started. */
      cf_agent_refuse (c, m->id, CF_RAN_UNKNOWN, "guard-quiet",
                       cf_guard_remaining_quiet_ms (&a->guard, cf_now_ms ()));
      return FALSE;
    }
  return FALSE;
}

void
cf_agent_take_request (CfAgentConn *c, CfMsg *m)
{
  CfAgent *a = c->agent;
  Job *j;

  /* Counted before admit() checks for a drain, so that a drain cannot end
   * between that check and the push. */
  ck_pr_inc_int (&a->pending_replies);
  if (!admit (c, m))
    {
      ck_pr_dec_int (&a->pending_replies);
      cf_msg_clear (m);
      return;
    }
  j = job_new (c, m);
  j->deadline_at_ms = cf_now_ms () + j->msg.u.request.deadline_ms;
  ck_pr_inc_int (&a->in_flight);
  if (!cf_ring_push (&a->job_queue, j))
    {
      ck_pr_dec_int (&a->in_flight);
      if (j->msg.u.request.key)
        cf_guard_remove (&a->guard, j->msg.u.request.key);
      cf_agent_refuse (c, j->msg.id, CF_RAN_NO, "overloaded", 500);
      ck_pr_dec_int (&a->pending_replies);
      job_free (j);
    }
}

/* Handles the cancellation of a request that no caller waits for.  A worker
 * passes it to the target; if the request is still queued, a worker takes the
 * request first, since the queue is first in, first out. */
void
cf_agent_take_cancel (CfAgentConn *c, CfMsg *m)
{
  Job *j = job_new (c, m);

  /* Dropped if the queue is full: the request then ends by its deadline. */
  if (j->msg.u.cancel.rid == NULL || !cf_ring_push (&c->agent->job_queue, j))
    job_free (j);
}
