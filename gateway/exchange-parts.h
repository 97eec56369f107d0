#pragma once

#include "answer.h"
#include "crash-probe.h"
#include "event-stream.h"
#include "exchange.h"
#include "upstream.h"

/** Back-off asked of callers when no configuration or target is known. */
#define UNKNOWN_BUSY_MS 1000L

/**
 * What the parts of an exchange share: its beginning and end (exchange.c),
 * its wait for what a process that starts does not know yet
 * (exchange-unrouted.c), whom it is sent to and when (exchange-send.c), whether
 * it is before this process ends (exchange-stop.c), targets that show nothing
 * (exchange-silence.c), targets that crash (exchange-crash.c), and what comes
 * of the target's answer (exchange-answer.c).
 */

/**
 * CfExchange:
 * One request of a caller, from its last byte to the end of its answer.
 */
struct CfExchange
{
  CfWaiter waiter;
  TAILQ_ENTRY (CfExchange) unrouted;
  gboolean is_unrouted; /**< it waits for the configuration or the targets */
  ev_timer unrouted_limit;
  CfGateway *g;
  CfCaller *c;
  CfPolicy *policy;     /**< the version it was routed by */
  const CfRoute *route; /**< of @policy */
  const char *service;  /**< of @policy */
  CfServiceState *lane;
  const char *org; /**< (nullable): of @policy */
  char *id;        /**< the attempt's, as the caller sent it */
  guint hash;
  gint64 start_ms;
  gint64 deadline_ms; /**< on the loop's clock */
  CfStreamSize size;
  gint64 sent_ms;           /**< when it was last sent */
  gint64 expected_first_ms; /**< from then to the first event, as expected */
  ev_timer deadline;
  ev_timer silence; /**< limits the target's pauses */
  CfUpstream *up;
  CfTarget *target;
  GPtrArray *tried; /**< of #CfTarget, referenced */
  guint sends;
  guint64 events_at_send; /**< events passed on when it was last sent */
  gboolean may_have_run;
  gboolean last_chance;      /**< it cannot wait any more */
  gboolean was_lost_in_work; /**< its target ended the connection, and may have
 crashed */
  CfCrashWaiter verdict;     /**< whether its target has crashed */
  CfRequestDigest digest;    /**< valid if @has_digest */
  gboolean has_digest;

  /* The answer that is coming in. */
  CfAnswerKind kind;
  int status;
  gboolean has_head;
  gboolean begun; /**< the caller has its head */
  GString *head;  /**< header lines for the caller */
  GString *held;  /**< its body, until it is passed on */
  gint64 length;  /**< its length as announced, or -1 */
  char *faulty;   /**< the target it blames */
  CfEventStream events;
  gint64 last_event_ms;    /**< when the last event was passed on */
  gint64 first_ms;         /**< from the request to the first event */
  gint64 longest_pause_ms; /**< between two events */
};

/* Its beginning and end. */

/** cf_exchange_caller_limit_ms: how long its caller waits; not positive if the
 * caller does not say. */
gint64 cf_exchange_caller_limit_ms (const CfExchange *x);

/** cf_exchange_left_ms: how much time it has left. */
gint64 cf_exchange_left_ms (const CfExchange *x);

/** cf_exchange_target_id: its target's id, or "-". */
const char *cf_exchange_target_id (const CfExchange *x);

/** cf_exchange_release_target: lets go of the target; @cancel stops what it
 * still does. */
void cf_exchange_release_target (CfExchange *x, gboolean cancel);

/** cf_exchange_engine: (nullable): the model of its service's engines. */
const CfEngineModel *cf_exchange_engine (const CfExchange *x);

/** cf_exchange_finish: ends it; its room goes to those that wait. */
void cf_exchange_finish (CfExchange *x, CfOutcome o, int status,
                         const char *reason);

/** cf_exchange_refuse: answers 503: nothing of it ran; room is expected in
 * @busy_ms. */
void cf_exchange_refuse (CfExchange *x, const char *reason, gint64 busy_ms);

/** cf_exchange_give_up: answers 502, or breaks off: it may have run. */
void cf_exchange_give_up (CfExchange *x, const char *reason);

/** cf_exchange_route: finds its route and organisation, and goes on. */
void cf_exchange_route (CfExchange *x);

/* Requests that come before the process knows the configuration. */

/**
 * cf_exchange_waits_unrouted:
 * Called before it is routed.
 * Returns: %TRUE if it waits until what it needs is known.
 */
gboolean cf_exchange_waits_unrouted (CfExchange *x);

/** cf_exchange_leave_unrouted: it waits for that no longer. */
void cf_exchange_leave_unrouted (CfExchange *x);

/* Whom it is sent to, and when. */

/** cf_exchange_busy_ms: when those that are refused may find room. */
gint64 cf_exchange_busy_ms (const CfExchange *x);

/** cf_exchange_may_send_again: whether another target may get it. */
gboolean cf_exchange_may_send_again (CfExchange *x);

/** cf_exchange_try_target: sends it to a target, or has it wait for room. */
void cf_exchange_try_target (CfExchange *x);

/** cf_exchange_try_again: this try is over without a good answer. */
void cf_exchange_try_again (CfExchange *x, const char *reason);

/** cf_exchange_waited_too_long: it waited for room as long as it could. */
void cf_exchange_waited_too_long (CfExchange *x);

/* The end of this process. */

/** cf_exchange_stop_slack_ms: for how long it may still wait and be whole
 * before a process that stops ends; %G_MAXINT64 if it does not. */
gint64 cf_exchange_stop_slack_ms (const CfExchange *x);

/**
 * cf_exchange_stops_here:
 * Looked at before each sending: what cannot be whole before this process
 * ends is not sent any more.
 * Returns: %TRUE if it was answered for that, and is gone.
 */
gboolean cf_exchange_stops_here (CfExchange *x);

/* Targets that show nothing. */

/** cf_exchange_wait_for_target: limits the silence of its target, or its wait
 * for room. */
void cf_exchange_wait_for_target (CfExchange *x, gint64 ms);

/** cf_exchange_silence_limit: how long its target may be silent. */
gint64 cf_exchange_silence_limit (const CfExchange *x);

/** cf_exchange_first_look_ms: after how long a silence its target is looked
 * at: a stream's sooner than its limit, since the target may stand still. */
gint64 cf_exchange_first_look_ms (const CfExchange *x);

/** cf_exchange_patience_ms: how long callers wait for a first sign: a
 * stream's for some objectives and some seconds, another request's for its
 * answer in time. */
gint64 cf_exchange_patience_ms (const CfExchange *x);

/** cf_exchange_stay_ms: how much longer a stream's caller waits for its first
 * event, less what an answer of ours needs to be there first; %G_MAXINT64 for
 * what has begun, or is no stream. */
gint64 cf_exchange_stay_ms (const CfExchange *x);

/** cf_exchange_all_quiet: whether no target of a service of streams has shown
 * any work for more than @ms, as the ranks of a group do while one of them
 * is missed. */
gboolean cf_exchange_all_quiet (const CfExchange *x, gint64 ms);

/** cf_exchange_on_silence: its target, or the queue, took too long. */
void cf_exchange_on_silence (struct ev_loop *loop, ev_timer *w, int revents);

/* Targets that crash. */

/**
 * cf_exchange_note_lost:
 * The connection to its target ended before the answer did; if the target has
 * crashed, the request is suspected.
 * Returns: %TRUE if it goes on, or ends, once that is known.
 */
gboolean cf_exchange_note_lost (CfExchange *x);

/** cf_exchange_note_answered: its target has run it to an end. */
void cf_exchange_note_answered (CfExchange *x);

/** cf_exchange_is_suspected: whether its target may have crashed, and another
 * one has during the same request. */
gboolean cf_exchange_is_suspected (CfExchange *x);

/**
 * cf_exchange_refuse_quarantined:
 * Called before each sending.
 * Returns: %TRUE if its request is quarantined; it was answered, and is gone.
 */
gboolean cf_exchange_refuse_quarantined (CfExchange *x);

/* What comes of the target's answer. */

/** cf_exchange_forget_answer: drops what came in of an answer that is not
 * passed on. */
void cf_exchange_forget_answer (CfExchange *x);

/** cf_exchange_blame: counts a failure of @t. */
void cf_exchange_blame (CfExchange *x, CfTarget *t, const char *reason);

/** cf_exchange_on_fail: its exchange with the target broke off. */
void cf_exchange_on_fail (void *owner, CfUpstreamFail f);

/** cf_exchange_upstream_calls: what an exchange has its target call. */
extern const CfUpstreamCalls cf_exchange_upstream_calls;
