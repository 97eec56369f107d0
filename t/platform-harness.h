#pragma once

#include <glib.h>
#include <sys/types.h>

/**
 * Helpers for tests that run the gateway's processes against the stand-in
 * of the platform.  Each test uses a range of ports from @base on: the store
 * listens at @base, the plain targets at the ports after it, then the ranks;
 * gateway n listens at @base + 100 n.
 */

/** p_start_platform: starts the stand-in of the platform, with two plain
 * targets unless an argument says otherwise, and waits until it listens.
 * @first_arg and those after it are its command-line arguments. */
pid_t p_start_platform (int base, const char *first_arg,
                        ...) G_GNUC_NULL_TERMINATED;

/** p_start_gateway: starts gateway @n (from 1) and waits until it listens; the
 * first three gateways are seeds. */
pid_t p_start_gateway (int base, int n);

/** p_start_agent: starts the agent of the rank at port @rank_port. */
pid_t p_start_agent (int base, int rank_port);

/** p_start_ready_gateway: starts gateway @n and waits until it is ready. */
pid_t p_start_ready_gateway (int base, int n);

/** p_restart_gateways: kills gateways 1 to @n, starts them again and waits
 * until each is ready.  @gateways: their processes, from index 1 on */
void p_restart_gateways (int base, pid_t *gateways, int n);

/** p_wait_until_ready: waits until gateway @n is ready; fails the test after
 * 5 s. */
void p_wait_until_ready (int base, int n);

/**
 * p_start_fault_proxy: starts a proxy that forwards connections from @port to
 * port @to and injects network faults on signals
 * (standins/comfrey-fault-proxy.c).
 */
pid_t p_start_fault_proxy (int port, int to);

/** POverrides: values that replace the defaults for programs started later;
 * 0 or %NULL keeps the default. */
typedef struct
{
  int store;                /**< port of the store */
  int seed;                 /**< port of the first seed */
  int max_fds;              /**< limit of file descriptors per process */
  int drain_ms;             /**< the platform's limit on the time to drain */
  double grace_s;           /**< from SIGTERM to SIGKILL */
  double retry_window_s;    /**< window of the retry budget */
  gboolean allow_one_retry; /**< the retry budget of a gateway that has no peer
                                 allows one retry only */
  const char *gateway;      /**< (nullable): the gateway program */
  const char *zone;         /**< (nullable): data centre of the programs */
  const char *log_dir;      /**< (nullable): directory of the logs; a process
                                 started again appends to the log of its
                                 predecessor */
} POverrides;

/** p_overrides: applies to programs started from now on; p_stop_all() clears
 * it. */
extern POverrides p_overrides;

/** p_stop: sends SIGTERM and waits; returns the exit status, or -1 if a signal
 * ended the process. */
int p_stop (pid_t pid);

/** p_has_ended: whether the process has ended, without waiting; if so, sets
 * @status as waitpid() does. */
gboolean p_has_ended (pid_t pid, int *status);

/** p_signal: sends @sig to a process started here; after SIGKILL, also waits
 * for its end. */
void p_signal (pid_t pid, int sig);

/** p_stop_all: kills all processes started here; for the teardown of a
 * fixture. */
void p_stop_all (void);

/** p_front_port: the port where gateway @n accepts callers. */
int p_front_port (int base, int n);

/** p_connect: connects to @port of the loopback address; returns the socket,
 * or -1. */
int p_connect (int port);

/** p_send: writes all of @text; stops silently on an error. */
void p_send (int fd, const char *text);

/**
 * p_read_answer: reads until an HTTP answer is complete, the peer closes, or
 * @ms have passed.
 *
 * Returns: what was received; free with g_free().
 */
char *p_read_answer (int fd, int ms);

/** p_round_trip: sends @text on a new connection and returns the answer; empty
 * if the connection fails. */
char *p_round_trip (int port, const char *text);

/**
 * p_build_request: builds a request of the demo's tenant.
 * @method_and_path: such as "POST /order/a"
 * @id: its request id
 * @more_headers: (nullable): further header lines
 * @body: its body
 */
char *p_build_request (const char *method_and_path, const char *id,
                       const char *more_headers, const char *body);

/** p_parse_status: the status code of an answer; 0 if @answer is not HTTP. */
int p_parse_status (const char *answer);

/** p_call_standin: sends a control request such as "POST /test/drain" to a
 * stand-in and returns the body of its answer; the status has to be 200. */
char *p_call_standin (int port, const char *call, const char *body);

/** p_inject_fault: injects fault @kind into the next @n_requests requests at
 * each of the @n_targets targets that listen from @first_port on. */
void p_inject_fault (int first_port, int n_targets, const char *kind,
                     int n_requests);

/** p_sum_runs: the sum of the member @counter of /test/runs over the
 * @n_targets targets that listen from @first_port on. */
double p_sum_runs (int first_port, int n_targets, const char *counter);

/** p_json_number: the number of member @name in a JSON text; fails the test if
 * there is none. */
double p_json_number (const char *json, const char *name);

/** p_count_in_log: the number of occurrences of @needle in the log @file. */
guint p_count_in_log (const char *file, const char *needle);

/** p_wait_for_log: waits up to @ms until the log @file contains @needle. */
gboolean p_wait_for_log (const char *file, const char *needle, int ms);

/** p_wait_for_log_count: waits up to @ms until the log @file contains @needle
 * @n times. */
gboolean p_wait_for_log_count (const char *file, const char *needle, guint n,
                               int ms);

/** p_start_streams: starts @n long streams at gateway 1, which keep the ranks
 * busy, and writes their sockets to @fds. */
void p_start_streams (int base, int *fds, gsize n);
