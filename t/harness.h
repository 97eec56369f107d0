#pragma once

#include <check.h>
#include <glib.h>
#include <sys/types.h>

/**
 * t_start_program:
 * Starts a program of ours with a settings file written from @settings,
 * its standard error going to t/out/PROGRAM/@name.log.  Returns its pid.
 */
pid_t t_start_program (const char *name, const char *prog,
                       const char *settings);

/** t_stop_all: sends SIGTERM to everything t_start_program() started and waits.
 */
void t_stop_all (void);

/** t_wait_for_body: polls @url until its body contains @needle; FALSE on
 * timeout. */
gboolean t_wait_for_body (const char *url, const char *needle, int timeout_ms);

/** t_read_log: the log of @name, as written so far. */
char *t_read_log (const char *name);

/**
 * t_acquire_lock: waits until no other process of this machine has the turn
 * of @name.  Returns: what to close at its end; negative if there are none.
 */
int t_acquire_lock (const char *name);

/** t_run_suite: runs @s, frees it; returns main()'s exit status. */
int t_run_suite (Suite *s);
