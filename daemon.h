#pragma once

#include "http-server.h"
#include "settings.h"

#include <glib.h>

/** CfDaemonArgs: the options every program of ours takes. */
typedef struct
{
  char *settings;          /**< --settings FILE */
  gboolean check_settings; /**< --check-settings: check, print, exit */
} CfDaemonArgs;

/**
 * cf_daemon_parse_options:
 * @entries: the program's own options
 *
 * Parses the command line, with --help and --version, as every program of
 * ours does; what is left in @argv are its arguments.
 *
 * Returns: -1 to go on, or an exit status to return from main().
 */
int cf_daemon_parse_options (int *argc, char ***argv, const char *prog,
                             const char *summary, GOptionEntry *entries);

/**
 * cf_daemon_init:
 * @prog: the program's name, for --help and logs
 * @summary: one paragraph for --help
 * @defaults: the embedded default settings
 * @s: (out): the settings, loaded; cf_settings_read() checks them
 *
 * Parses the command line, loads settings, and blocks SIGTERM, SIGINT and
 * SIGPIPE in every thread to come, so that cf_daemon_wait_for_signal() receives
 * them.
 *
 * Returns: -1 to go on, or an exit status to return from main().
 */
int cf_daemon_init (int *argc, char ***argv, const char *prog,
                    const char *summary, const char *defaults, CfDaemonArgs *a,
                    CfSettings *s);

/**
 * cf_daemon_init_fields:
 * @fields: the @n_fields settings there are
 * @out: (out): the struct they are read into
 *
 * cf_daemon_init(), and the settings read and checked, for a program that
 * needs no more of them.
 *
 * Returns: -1 to go on, or an exit status to return from main().
 */
int cf_daemon_init_fields (int *argc, char ***argv, const char *prog,
                           const char *summary, const char *defaults,
                           const CfSetting *fields, gsize n_fields, void *out);

/** cf_daemon_log_settings_error: logs a settings error; returns exit status 2.
 */
int cf_daemon_log_settings_error (void);

/** cf_daemon_wait_for_signal: waits for SIGTERM or SIGINT; returns its number.
 */
int cf_daemon_wait_for_signal (void);

/**
 * cf_daemon_is_check_only:
 * For --check-settings: prints that the settings are good.
 * Returns: %TRUE if the program should now exit with status 0.
 */
gboolean cf_daemon_is_check_only (const CfDaemonArgs *a, const CfSettings *s);

/**
 * cf_daemon_serve_http:
 * Serves @fn on @listen until SIGTERM or SIGINT, as the stand-ins do.
 * Returns: the exit status: 0, or 1 if the address could not be bound.
 */
int cf_daemon_serve_http (const char *listen, CfHttpHandler fn, void *data);
