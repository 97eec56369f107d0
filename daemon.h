#pragma once

#include "http-server.h"
#include "settings.h"

#include <glib.h>

/** CfDaemonArgs: the command-line options that all daemons share. */
typedef struct
{
  char *settings;          /**< --settings FILE */
  gboolean check_settings; /**< --check-settings: check the settings and exit */
} CfDaemonArgs;

/**
 * cf_daemon_parse_options:
 * @entries: the program's own options
 *
 * Parses the command line and handles --help and --version.  Removes the
 * options, so that @argv holds only the positional arguments.
 *
 * Returns: -1 to continue, or an exit status to return from main().
 */
int cf_daemon_parse_options (int *argc, char ***argv, const char *prog,
                             const char *summary, GOptionEntry *entries);

/**
 * cf_daemon_init:
 * @prog: the program's name, for --help and logs
 * @summary: one paragraph for --help
 * @defaults: the embedded default settings
 * @s: (out): the loaded settings; check them with cf_settings_read()
 *
 * Parses the command line and loads settings.  Blocks SIGTERM and SIGINT in
 * this thread and those created later, so that cf_daemon_wait_for_signal()
 * receives them, and ignores SIGPIPE.
 *
 * Returns: -1 to continue, or an exit status to return from main().
 */
int cf_daemon_init (int *argc, char ***argv, const char *prog,
                    const char *summary, const char *defaults, CfDaemonArgs *a,
                    CfSettings *s);

/**
 * cf_daemon_init_fields:
 * @fields: the @n_fields settings of the program
 * @out: (out): the struct that they are read into
 *
 * Calls cf_daemon_init(), then reads and checks the settings.  For programs
 * that need no checks beyond @fields.
 *
 * Returns: -1 to continue, or an exit status to return from main().
 */
int cf_daemon_init_fields (int *argc, char ***argv, const char *prog,
                           const char *summary, const char *defaults,
                           const CfSetting *fields, gsize n_fields, void *out);

/** cf_daemon_log_settings_error: logs the error; returns exit status 2. */
int cf_daemon_log_settings_error (void);

/** cf_daemon_wait_for_signal: waits for SIGTERM or SIGINT; returns the signal
 * number. */
int cf_daemon_wait_for_signal (void);

/**
 * cf_daemon_is_check_only:
 * Prints that the settings are valid if --check-settings was given.
 * Returns: %TRUE if it was; the program then exits with status 0.
 */
gboolean cf_daemon_is_check_only (const CfDaemonArgs *a, const CfSettings *s);

/**
 * cf_daemon_serve_http:
 * Serves HTTP requests with @fn on @listen until SIGTERM or SIGINT.
 * Returns: the exit status: 0, or 1 if the address could not be bound.
 */
int cf_daemon_serve_http (const char *listen, CfHttpHandler fn, void *data);
