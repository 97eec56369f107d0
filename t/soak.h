#pragma once

#include <glib.h>
#include <sys/types.h>

/**
 * The fault soak: real programs on the loopback address, faults injected from
 * outside on a schedule generated from a seed, and callers that check their
 * answers.  docs/SOAK.md says how to run it.
 */

/* Limits set by the users' platform. */

/** Time after the end of an unplanned fault in which the processes that it
 * affected have to be in contact again. */
#define SOAK_RECONNECT_MS 3000
/** A connection may be closed without an answer this soon after a request was
 * sent on it, if no target ran the request. */
#define SOAK_CLOSE_RACE_MS 200
/** Time after the last fault in which the urgent route has to be served again;
 * checked for SOAK_CALM_CHECK_MS, in which some 30 urgent requests are sent. */
#define SOAK_CALM_MS 3000
#define SOAK_CALM_CHECK_MS 3000
#define SOAK_CALM_SERVED_MIN 0.9
/** Time after the last fault in which at least a quarter of the requests has to
 * be served again. */
#define SOAK_RECOVERY_MS 12000
/** Time after a configuration version was written until it has to be in
 * force. */
#define SOAK_CONFIG_APPLY_MS 2000
/** Time after a process has served a configuration version in which requests
 * sent to it may still be served by an older version. */
#define SOAK_VERSION_OVERLAP_MS 250
/** Grace period of a planned stop (set by t/platform-harness.c). */
#define SOAK_GRACE_MS 5000
/** Time after SIGTERM until a process has to have exited. */
#define SOAK_STOP_TIMEOUT_MS (SOAK_GRACE_MS + 1000)
/** A request sent at most this long after SIGTERM may be cut off if it still
 * runs SOAK_CUT_FROM_MS after it, in the last sixth of the grace period. */
#define SOAK_CUT_SENT_WITHIN_MS 3000
#define SOAK_CUT_FROM_MS (SOAK_GRACE_MS * 5 / 6)

/** Time after a data centre's evacuation until it gets no requests. */
#define SOAK_EVACUATE_MS 2000
/** Time after a target's record says that it is cold until gateways know. */
#define SOAK_COLD_MS 1000
/** Requests that a cold plain target may get in any second: the rate in the
 * stand-in's configuration and the slack of t/platform-harness.c. */
#define SOAK_COLD_MAX_PER_S 21

/** The retry budget of the fleet: the platform's default ratio, the slack of
 * t/platform-harness.c, and a window in which gateways of a seed run. */
#define SOAK_RETRY_RATIO 0.1
#define SOAK_RETRY_SLACK 60
#define SOAK_RETRY_WINDOW_MS 2000

#define SOAK_N_PLAIN_TARGETS 4
#define SOAK_RANKS_MAX 16
#define SOAK_GATEWAYS_MAX 6
#define SOAK_N_PROXIES 4

/** SoakFaultKind: the faults; planned operations come first. */
typedef enum
{
  SOAK_ROLL,    /**< SIGTERM to a gateway, and a restart */
  SOAK_HUP,     /**< SIGHUP to a gateway */
  SOAK_CONFIG,  /**< a new version of the configuration */
  SOAK_DRAIN,   /**< a target drains and is restarted */
  SOAK_LEAVE,   /**< a target says in its answers alone that it leaves, and is
                     restarted */
  SOAK_PAUSE,   /**< a target refuses all requests and asks for pauses */
  SOAK_KILL,    /**< SIGKILL to a gateway, and a restart */
  SOAK_FREEZE,  /**< SIGSTOP to a gateway, later SIGCONT */
  SOAK_STORE,   /**< the store fails, is slow or returns stale data */
  SOAK_FORGET,  /**< the store drops its history */
  SOAK_RESTORE, /**< the store goes back to a copy; what was lost is written
                     again */
  SOAK_TARGET,  /**< a target fails its next requests */
  SOAK_CRASH,   /**< a target crashes and restarts under the same id */
  SOAK_NET,     /**< connections become silent in one or both directions, or are
                     reset */
  SOAK_AGENT_KILL,
  SOAK_AGENT_FREEZE,
  SOAK_EVACUATE, /**< a data centre is evacuated */
  SOAK_COLD,     /**< a target turns cold */
  SOAK_OMIT,     /**< a rank leaves fields out of its answers */
  SOAK_SKEW,     /**< most new requests go to one gateway */
  SOAK_BURST,    /**< more plain requests than usual */
  SOAK_N_KINDS,
} SoakFaultKind;

#define SOAK_LAST_PLANNED SOAK_PAUSE
/** The faults from here on are planned too; they are chosen apart from the
 * others. */
#define SOAK_FIRST_ADDED SOAK_EVACUATE

/** Kinds of fault that a rank meets by SOAK_TARGET; those whose variant this
 * number divides break streams off. */
#define SOAK_RANK_FAULTS 4

/** The plain target that answers with documents, larger than what a gateway
 * holds back; by SOAK_TARGET it meets cuts alone. */
#define SOAK_DOCUMENT_TARGET 1
#define SOAK_DOCUMENT_BYTES 200000

/** SoakFault: one entry of a schedule. */
typedef struct
{
  SoakFaultKind kind;
  int at_ms; /**< since the start of the schedule */
  int duration_ms;
  int index;   /**< of the gateway, target, agent or proxy */
  int variant; /**< chooses among the forms that a kind of fault has */
} SoakFault;

/** SoakPlan: everything that is generated from a seed. */
typedef struct
{
  guint32 seed;
  int gateways;
  int ranks;
  int callers;
  GArray *faults; /**< of #SoakFault, sorted by time */
} SoakPlan;

/** SoakResult: the result of one seed. */
typedef struct
{
  guint requests;
  guint served;
  guint faults;
  guint violations;
  guint overlaps[SOAK_N_KINDS][SOAK_N_KINDS]; /**< pairs of faults that
                                                   overlapped in time */
} SoakResult;

/* soak-schedule.c */

SoakPlan *soak_plan_new (guint32 seed);
void soak_plan_free (SoakPlan *p);
void soak_plan_print (const SoakPlan *p);

/** soak_plan_count_overlaps: adds the pairs of faults of @p that overlap in
 * time to @r. */
void soak_plan_count_overlaps (const SoakPlan *p, SoakResult *r);
const char *soak_kind_name (SoakFaultKind k);

/* soak-faults.c */

/** SoakFleet: the processes that a plan runs against. */
typedef struct SoakFleet SoakFleet;

/** soak_fleet_start: starts all processes and waits until the gateways are
 * ready. */
SoakFleet *soak_fleet_start (const SoakPlan *p, int base);

/** soak_fleet_run_plan: injects the faults of the plan; returns once all of
 * them have ended and all processes run again. */
void soak_fleet_run_plan (SoakFleet *f);

/** soak_fleet_check_targets: reads from the targets which requests they ran,
 * for soak_check_requests(), and checks their other counters. */
void soak_fleet_check_targets (SoakFleet *f);
void soak_fleet_stop (SoakFleet *f);

/** soak_caller_port: the port that callers of gateway @n (from 1) connect
 * to. */
int soak_caller_port (int base, int n);

/* soak-arrivals.c */

/** soak_check_arrivals: checks what reached the target at @target_port after it
 * had asked for pauses or had said that it leaves. */
void soak_check_arrivals (int target_port);

/** soak_check_retries: checks the attempts that soak_check_arrivals() has read
 * against the requests that callers recorded. */
void soak_check_retries (void);

/** soak_record_evacuation: the targets of data centre @dc (from 1) were to get
 * no requests from @from_ms to @to_ms. */
void soak_record_evacuation (int dc, gint64 from_ms, gint64 to_ms);

/** soak_record_cold: the target at @target_port was cold. */
void soak_record_cold (int target_port, gint64 from_ms, gint64 to_ms);

/** soak_check_placement: checks that the target @n at @target_port got no
 * requests while its data centre was evacuated, and few while it was cold. */
void soak_check_placement (int n, int target_port);

/** soak_target_dc: the data centre (from 1) of target @n. */
int soak_target_dc (int n);

/* soak-shared.c: state that one gateway learns and all have to apply */

/** soak_shared_start: sets up the targets; call it once they run. */
void soak_shared_start (const SoakPlan *p, int base);

/** soak_shared_tick: sends requests that are due; call it often while faults
 * are injected. */
void soak_shared_tick (void);

/** soak_shared_check: checks that the gateways apply what they have learnt;
 * call it once callers are served again. */
void soak_shared_check (void);

/* soak-callers.c */

/** SoakRequestClass: the kinds of requests that callers send. */
typedef enum
{
  SOAK_QUOTE,   /**< may be retried; half of them use the basic route */
  SOAK_URGENT,  /**< a quote on the route with priority 0 */
  SOAK_ORDER,   /**< may run at most once */
  SOAK_STREAM,  /**< may be resumed */
  SOAK_VERSION, /**< a quote on a route that one configuration version has */
  SOAK_N_CLASSES,
} SoakRequestClass;

void soak_callers_start (const SoakPlan *p, int base);

/** soak_callers_wait_for_recovery: waits until a quarter of the requests of
 * each class but SOAK_VERSION is served in a second; reports a violation if
 * that takes longer than SOAK_RECOVERY_MS. */
void soak_callers_wait_for_recovery (void);

/** soak_callers_stop: stops the callers and adds their counts to @r. */
void soak_callers_stop (SoakResult *r);

/* soak-verdict.c: for the main thread and the threads of the callers, except
 * that soak_record_stop() and soak_record_config() are for the main thread. */

/** soak_now_ms: the time by the monotonic clock. */
gint64 soak_now_ms (void);

/** soak_report_violation: reports that the invariant @invariant is violated. */
void soak_report_violation (const char *invariant, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/** soak_record_unplanned_fault: an unplanned fault lasted from @from_ms to
 * @to_ms. */
void soak_record_unplanned_fault (gint64 from_ms, gint64 to_ms);

/** soak_record_stop: gateway @gateway (from 1) is about to get SIGTERM. */
void soak_record_stop (int gateway);

/** soak_record_disturbance: gateway @gateway (from 1) was killed, started,
 * frozen or woken. */
void soak_record_disturbance (int gateway);

/** soak_was_gateway_disturbed: whether that happened from @from_ms to
 * @to_ms. */
gboolean soak_was_gateway_disturbed (int gateway, gint64 from_ms, gint64 to_ms);

/** SoakRequestInfo: what a caller recorded of a request. */
typedef struct
{
  SoakRequestClass class;
  int gateway;
  gint64 sent_ms;
  gint64 end_ms; /**< 0: no answer yet */
} SoakRequestInfo;

/** soak_foreach_request: calls @visit with each request that callers sent. */
void soak_foreach_request (void (*visit) (const SoakRequestInfo *));

/** soak_lookup_request: FALSE if no caller sent request @id. */
gboolean soak_lookup_request (const char *id, SoakRequestInfo *info);

/** soak_record_config: configuration version @version is about to be
 * written. */
void soak_record_config (int version);

/** soak_newest_config: the newest configuration version written so far. */
int soak_newest_config (void);

/** soak_has_only_planned_faults: whether no unplanned fault has ended so
 * far. */
gboolean soak_has_only_planned_faults (void);

/** soak_record_calm: the last fault has ended; returns the time until which
 * callers have to go on. */
gint64 soak_record_calm (void);

/** soak_record_sent: a caller is about to send request @id; @version: the only
 * configuration version that has its route, or 0 if all have it. */
void soak_record_sent (const char *id, SoakRequestClass class, int gateway,
                       int version);

/** soak_record_answer: request @id got a complete answer with @status. */
void soak_record_answer (const char *id, int status);

/** soak_record_close: the connection of request @id was closed before the
 * answer was complete. */
void soak_record_close (const char *id);

/** soak_record_runs: a target ran request @id @times times. */
void soak_record_runs (const char *id, int times);

/** soak_check_requests: checks all recorded requests at the end of a run;
 * returns the number of violations of the run. */
guint soak_check_requests (void);
