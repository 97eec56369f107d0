#pragma once

#include "answer.h"
#include "crash-probe.h"
#include "event-stream.h"
#include "exchange.h"
#include "upstream.h"

/** Back-off for callers when no configuration or no target is known. */
#define UNKNOWN_BACKOFF_MS 1000L

/**
 * Declarations shared by the files that implement an exchange:
 * - exchange.c: its start and end,
 * - exchange-unrouted.c: requests that arrive before this process has a
 *   configuration and a list of targets,
 * - exchange-send.c: choice of a target, queueing and retries,
 * - exchange-return.c: refusals for lack of capacity, and callers that return,
 * - exchange-stop.c: shutdown of this process,
 * - exchange-silence.c: targets that send nothing,
 * - exchange-crash.c: targets that crash,
 * - exchange-suspects.c: requests that may crash targets,
 * - exchange-answer.c: handling of the target's answer.
 */

/**
 * CfExchange:
 * One request's life in the gateway, from the request's last byte to the end
 * of its answer.
 */
struct CfExchange
{
  CfWaiter waiter;
  TAILQ_ENTRY (CfExchange) unrouted_link;
  gboolean is_unrouted; /**< waits for the configuration or the targets */
  ev_timer unrouted_timer;
  CfGateway *gateway;
  CfCaller *caller;
  CfPolicy *policy;     /**< the configuration version that routed it */
  const CfRoute *route; /**< owned by @policy */
  const char *service;  /**< owned by @policy */
  CfServiceState *service_state;
  CfWarmupRule warmup_rule; /**< of its service */
  const char *org;          /**< (nullable): organisation, owned by @policy */
  char *id;                 /**< request id of the caller's attempt, or "-" */
  guint hash;               /**< of @id */
  gint64 start_ms;
  gint64 deadline_ms; /**< by cf_gateway_now() */
  CfStreamSize size;
  gint64 sent_ms;           /**< when it was last sent to a target */
  guint in_flight_at_send;  /**< requests of this gateway at its service then,
                                 itself included */
  gint64 expected_first_ms; /**< expected time from then to the first event */
  ev_timer deadline_timer;
  ev_timer silence_timer; /**< limits the target's silence, or the wait in the
                               queue */
  CfUpstream *upstream;
  CfTarget *target;
  GPtrArray *tried_targets; /**< of #CfTarget, referenced */
  guint sends;
  CfRetryCause retry_cause; /**< why it was sent, or is to be sent, again */
  gboolean holds_retry;     /**< it has a token to be sent again */
  guint target_in_flight; /**< requests of this process that its target had when
                               it was sent, including it */
  gboolean keeps_place;   /**< a full target refused it: it returns to its place
                               in the queue */
  guint64 events_at_send; /**< events forwarded before it was last sent */
  gboolean may_have_run;
  gboolean queue_timed_out;         /**< its queue timeout expired during an
                                         outage */
  gboolean target_may_have_crashed; /**< its target closed the connection
                                         before the answer was complete */
  GArray *suspects;     /**< (nullable): of #CfSuspect: what of it may crash
                             targets; see cf_exchange_suspects() */
  guint64 suspects_run; /**< bit i: its target runs suspect i, which had a
                             crash on record */
  gint64 first_work_ms; /**< when its target first sent an event; 0: it has
                             not */
  gboolean is_sound;    /**< its target has worked on it without crashing */
  gboolean is_return_checked; /**< cf_exchange_refuse_early() was called */
  gint64 turn_limit_ms; /**< until when it may wait for a turn; 0: it has not
                             waited */
  ev_timer turn_timer;
  CfCrashWaiter crash_waiter; /**< waits for the probe of its target */

  /* The answer being received. */
  CfAnswerKind answer_kind;
  CfAnswerFraming framing;
  gboolean is_event_stream; /**< its body is split into events */
  int status;
  gboolean has_head;
  gboolean answer_started; /**< the answer's head went to the caller */
  GString *answer_head;    /**< header lines for the caller */
  GString *held_body;      /**< body bytes not forwarded yet */
  gint64 content_length;   /**< as announced by the target, or -1 */
  char *faulty_addr;       /**< (nullable): address of the target that the
                                answer names as at fault */
  double retry_after_s;    /**< the answer's Retry-After; 0: none */
  CfEventStream event_stream;
  gsize partial_bytes;     /**< of the last answer that was discarded: received
                                after its last complete event */
  gint64 last_event_ms;    /**< when the last event was forwarded; 0: none */
  gint64 first_event_ms;   /**< time from the request to the first event */
  gint64 longest_pause_ms; /**< between two events */
};

/* Start and end. */

/** cf_exchange_caller_timeout_ms: how long its caller waits, as the request
 * says; not positive if it does not say. */
gint64 cf_exchange_caller_timeout_ms (const CfExchange *x);

/** cf_exchange_remaining_ms: time left until its deadline. */
gint64 cf_exchange_remaining_ms (const CfExchange *x);

/** cf_exchange_urgency: 0 is the most urgent; see cf_waiter_urgency(). */
gint64 cf_exchange_urgency (const CfExchange *x);

/** cf_exchange_target_id: the id of its target, or "-". */
const char *cf_exchange_target_id (const CfExchange *x);

/** cf_exchange_release_target: drops its target; @cancel resets the
 * connection, so that the target stops its work. */
void cf_exchange_release_target (CfExchange *x, gboolean cancel);

/** cf_exchange_engine_model: (nullable): the engine model of its service. */
const CfEngineModel *cf_exchange_engine_model (const CfExchange *x);

/** cf_exchange_finish: ends and frees it; its slot goes to a queued request.
 */
void cf_exchange_finish (CfExchange *x, CfOutcome o, int status,
                         const char *reason);

/** cf_exchange_refuse: answers 503, for a request that did not run; a slot is
 * expected to be free in @backoff_ms. */
void cf_exchange_refuse (CfExchange *x, const char *reason, gint64 backoff_ms);

/** cf_exchange_refuse_for: the same; its caller is told to wait for exactly
 * @wait_ms, or until the first of the service's targets ends its pause. */
void cf_exchange_refuse_for (CfExchange *x, const char *reason, gint64 wait_ms);

/** cf_exchange_fail: answers 502, or aborts an answer that has started, for a
 * request that may have run. */
void cf_exchange_fail (CfExchange *x, const char *reason);

/** cf_exchange_route: finds its route and organisation, and sends or queues
 * it. */
void cf_exchange_route (CfExchange *x);

/* Requests that arrive before the configuration is known. */

/**
 * cf_exchange_defer_routing:
 * Makes a request wait if it cannot be routed yet but may be soon.
 * Returns: %FALSE if it does not wait and has to be routed now.
 */
gboolean cf_exchange_defer_routing (CfExchange *x);

/** cf_exchange_remove_unrouted: ends the wait that cf_exchange_defer_routing()
 * began, if any. */
void cf_exchange_remove_unrouted (CfExchange *x);

/* Choice of a target, queueing and retries. */

/** cf_exchange_may_retry: whether it may be sent to another target. */
gboolean cf_exchange_may_retry (CfExchange *x);

/** cf_exchange_send_or_queue: sends it to a target, or queues it until one has
 * a free slot. */
void cf_exchange_send_or_queue (CfExchange *x);

/** cf_exchange_retry_or_end: the current attempt failed; tries another target
 * if the route and the retry budget allow it, else answers the caller. */
void cf_exchange_retry_or_end (CfExchange *x, CfRetryCause cause,
                               const char *reason);

/** cf_exchange_take_retry: takes a token of the retry budget, which is returned
 * if it ends before it is sent again; %FALSE if there is none. */
gboolean cf_exchange_take_retry (CfExchange *x, CfRetryCause cause);

/** cf_exchange_note_unsent: the current attempt has not reached its target. */
void cf_exchange_note_unsent (CfExchange *x);

/** cf_exchange_note_full_target: its target refused it as full.  It may be sent
 * there again, and keeps its place in the queue. */
void cf_exchange_note_full_target (CfExchange *x);

/** cf_exchange_on_queue_timeout: it has been queued for as long as it may. */
void cf_exchange_on_queue_timeout (CfExchange *x);

/* Refusals for lack of capacity, and callers that return. */

/** cf_exchange_refuse_full: refuses a request that did not run because its
 * service has no capacity for it.  Its caller gets a time to return from the
 * schedule of the service. */
void cf_exchange_refuse_full (CfExchange *x, const char *reason);

/** cf_exchange_refuse_rate_limited: the same if the service takes no more than
 * @max_per_s requests a second from this gateway; 0: unknown. */
void cf_exchange_refuse_rate_limited (CfExchange *x, const char *reason,
                                      double max_per_s);

/**
 * cf_exchange_refuse_early:
 * Called before a new request is sent or queued.  If its caller was refused
 * before and returns at its time, the request takes precedence.
 * Returns: %TRUE if its caller returned too early while others of the same or a
 *   higher urgency wait; it was answered, and is freed.
 */
gboolean cf_exchange_refuse_early (CfExchange *x);

/* Shutdown of this process. */

/**
 * cf_exchange_stop_slack_ms:
 * Returns: for how long it may still wait before it is sent and yet be complete
 *   before the stopping process ends; %G_MAXINT64 if it is not checked for
 *   that.
 */
gint64 cf_exchange_stop_slack_ms (const CfExchange *x);

/**
 * cf_exchange_refuse_too_late:
 * Called before each send: a request that cannot be complete before this
 * process ends is not sent.
 * Returns: %TRUE if it was answered for that reason, and is freed.
 */
gboolean cf_exchange_refuse_too_late (CfExchange *x);

/* Targets that send nothing. */

/** cf_exchange_start_silence_timer: limits its target's silence, or its wait
 * in the queue, to @ms, or to the time at which its caller gives up, if that is
 * sooner and has not passed. */
void cf_exchange_start_silence_timer (CfExchange *x, gint64 ms);

/** cf_exchange_silence_timeout_ms: how long its target may be silent. */
gint64 cf_exchange_silence_timeout_ms (const CfExchange *x);

/** cf_exchange_first_check_ms: after how long a silence its target is first
 * checked.  For a stream that is before the silence timeout, since its target
 * alone may have stalled. */
gint64 cf_exchange_first_check_ms (const CfExchange *x);

/** cf_exchange_caller_wait_ms: how long callers wait for the first event of a
 * stream; for a call, its latency objective. */
gint64 cf_exchange_caller_wait_ms (const CfExchange *x);

/**
 * cf_exchange_caller_remaining_ms:
 * Returns: how much longer a stream's caller waits for its first event, less
 *   the time that an error answer takes to reach it; %G_MAXINT64 if events
 *   have been sent, or it is no stream.
 */
gint64 cf_exchange_caller_remaining_ms (const CfExchange *x);

/** cf_exchange_is_service_silent: whether no target of a streaming service has
 * sent anything for more than @ms, as happens to all ranks of a group while
 * one of them is missing. */
gboolean cf_exchange_is_service_silent (const CfExchange *x, gint64 ms);

/** cf_exchange_on_silence_timer: libev callback of the silence timer. */
void cf_exchange_on_silence_timer (struct ev_loop *loop, ev_timer *w,
                                   int revents);

/* Targets that crash. */

/**
 * cf_exchange_probe_lost_target:
 * Called when the connection to its target ended before the answer did.  If
 * the target has crashed, the request becomes suspected of being the cause.
 * Returns: %TRUE if the exchange waits for the result of the probe, and is
 *   retried or ended then.
 */
gboolean cf_exchange_probe_lost_target (CfExchange *x);

/* Requests that may crash targets. */

/** cf_exchange_suspects: what of it may be to blame if its target crashes: an
 * array of #CfSuspect, which @x owns. */
GArray *cf_exchange_suspects (CfExchange *x);

/** cf_exchange_note_work: its target has sent an event. */
void cf_exchange_note_work (CfExchange *x);

/** cf_exchange_mark_sound: its target has worked on it without crashing, so the
 * parts of its prompt do not crash targets. */
void cf_exchange_mark_sound (CfExchange *x);

/** cf_exchange_clear_suspicion: a target answered it without crashing. */
void cf_exchange_clear_suspicion (CfExchange *x);

/** cf_exchange_is_suspected: whether its target may have crashed, and a crash
 * of a target during the same request is on record. */
gboolean cf_exchange_is_suspected (CfExchange *x);

/**
 * cf_exchange_refuse_quarantined:
 * Called before each send.
 * Returns: %TRUE if its request, or a part of its prompt, is in quarantine; it
 *   was answered, and is freed.
 */
gboolean cf_exchange_refuse_quarantined (CfExchange *x);

/**
 * cf_exchange_await_turn:
 * Called before each send.  A request waits for a turn of this gateway if a
 * target has crashed during it or during another one with the same part, or is
 * refused if that comes too late.
 * Returns: %TRUE if it waits, or was answered and is freed.
 */
gboolean cf_exchange_await_turn (CfExchange *x);

/** cf_exchange_begin_suspect_run: notes that a target gets it, for what of it
 * has a crash on record. */
void cf_exchange_begin_suspect_run (CfExchange *x);

/** cf_exchange_end_suspect_run: ends what the above began, if anything. */
void cf_exchange_end_suspect_run (CfExchange *x);

/* Handling of the target's answer. */

/** cf_exchange_discard_answer: drops what was received of an answer that is
 * not forwarded. */
void cf_exchange_discard_answer (CfExchange *x);

/** cf_exchange_record_failure: counts a failure of @t, which may eject it. */
void cf_exchange_record_failure (CfExchange *x, CfTarget *t,
                                 const char *reason);

/** cf_exchange_on_upstream_failure: the upstream connection failed. */
void cf_exchange_on_upstream_failure (void *owner, CfUpstreamFailure f);

/** cf_exchange_upstream_callbacks: the callbacks of an exchange's upstream
 * connection. */
extern const CfUpstreamCallbacks cf_exchange_upstream_callbacks;
