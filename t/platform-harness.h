#pragma once

#include <glib.h>
#include <sys/types.h>

/**
 * Helpers for tests that run the gateway's processes against the stand-in
 * of the platform, on ports of their own: @base is the store's, the plain
 * targets follow, then the ranks; gateway n listens at @base + 100 n.
 */

/** p_start_platform: starts the stand-in with two plain targets. */
pid_t p_start_platform (int base, const char *first_arg,
                        ...) G_GNUC_NULL_TERMINATED;

/** p_start_gateway: starts gateway @n (from 1), the first three being seeds. */
pid_t p_start_gateway (int base, int n);

/** p_start_agent: starts the agent of the rank at port @rank_port. */
pid_t p_start_agent (int base, int rank_port);

/** p_start_ready_gateway: starts gateway @n and waits until it is ready. */
pid_t p_start_ready_gateway (int base, int n);

/** p_wait_until_ready: until gateway @n is ready; fails the test after 5 s. */
void p_wait_until_ready (int base, int n);

/**
 * p_start_fault_proxy: passes connections to @port on to @to, and harms them
 * when told by a signal (standins/comfrey-fault-proxy.c).
 */
pid_t p_start_fault_proxy (int port, int to);

/** POverrides: what programs started next use in place of the usual; 0 for
 * the usual. */
typedef struct
{
  int store;
  int seed;                 /**< the first seed's */
  int max_fds;              /**< descriptors of a process */
  int drain_ms;             /**< the platform's bound on draining */
  gboolean allow_one_retry; /**< all that the retry budget allows */
  const char *gateway;      /**< (nullable): the program */
  const char *out; /**< (nullable): the folder of logs, which go on where
                        a former process of their name ended */
} POverrides;

/** p_overrides: for the programs started from now on; a fixture's end drops
 * them. */
extern POverrides p_overrides;

/** p_stop: SIGTERM, and the exit status; -1 if it was killed. */
int p_stop (pid_t pid);

/** p_has_ended: whether it ended; then @status is as waitpid() says. */
gboolean p_has_ended (pid_t pid, int *status);

/** p_signal: another signal to a process started here. */
void p_signal (pid_t pid, int sig);

/** p_stop_all: ends all that was started, for a fixture. */
void p_stop_all (void);

/** p_front_port: the port where gateway @n takes callers. */
int p_front_port (int base, int n);

/** p_connect: a socket to @port of the loopback address. */
int p_connect (int port);

/** p_send: writes all of @text. */
void p_send (int fd, const char *text);

/**
 * p_read_answer: reads until a whole HTTP answer is in, the peer closes, or
 * @ms have passed.  Returns: what came; free with g_free().
 */
char *p_read_answer (int fd, int ms);

/** p_round_trip: sends @text on a connection of its own; what came back. */
char *p_round_trip (int port, const char *text);

/**
 * p_build_request: a request of the demo's tenant.
 * @method: with the path, such as "POST /order/a"
 * @id: its request id
 */
char *p_build_request (const char *method_and_path, const char *id,
                       const char *more_headers, const char *body);

/** p_parse_status: the status of an answer; 0 if it is none. */
int p_parse_status (const char *answer);

/** p_call_standin: a steering call of a stand-in; its body. */
char *p_call_standin (int port, const char *call, const char *body);

/** p_inject_fault: the next @x requests at each of @n targets from port @first
 * on meet @kind. */
void p_inject_fault (int first, int n, const char *kind, int x);

/** p_sum_runs: the sum of @what over what those targets say of their runs. */
double p_sum_runs (int first, int n, const char *what);

/** p_json_number: the number behind "name": in a JSON text. */
double p_json_number (const char *json, const char *name);

/** p_count_in_log: how often @needle is in the log @file so far. */
guint p_count_in_log (const char *file, const char *needle);

/** p_wait_for_log: waits up to @ms for @needle in the log @file. */
gboolean p_wait_for_log (const char *file, const char *needle, int ms);

/** p_wait_for_log_count: the same for the @n th time. */
gboolean p_wait_for_log_count (const char *file, const char *needle, guint n,
                               int ms);

/** p_start_streams: begins @n long streams at gateway 1; their sockets. */
void p_start_streams (int base, int *fds, gsize n);
