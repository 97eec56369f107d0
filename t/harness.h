#pragma once

#include <check.h>
#include <glib.h>
#include <sys/types.h>

/**
 * t_start_program:
 * @name: base name of the settings file and of the log
 * @prog: path of the program
 * @settings: contents of the settings file
 *
 * Starts @prog with a settings file written from @settings; its standard error
 * goes to t/out/TEST-PROGRAM/@name.log.
 *
 * Returns: its pid.
 */
pid_t t_start_program (const char *name, const char *prog,
                       const char *settings);

/** t_stop_all: sends SIGTERM to each program that t_start_program() started,
 * the last one first, and waits for its exit before it goes on to the next. */
void t_stop_all (void);

/** t_wait_for_body: polls @url until its body contains @needle; FALSE on
 * timeout. */
gboolean t_wait_for_body (const char *url, const char *needle, int timeout_ms);

/** t_read_log: returns the log of @name, as written so far. */
char *t_read_log (const char *name);

/**
 * t_acquire_lock:
 * Waits until no other process of this machine holds the lock @name.
 *
 * Returns: a file descriptor that holds the lock until it is closed; it holds
 * none if locking failed, and is negative if the lock file cannot be opened.
 */
int t_acquire_lock (const char *name);

/** t_run_suite: runs @s and frees it; returns the exit status for main(). */
int t_run_suite (Suite *s);
