#pragma once

#include "report-contention.h"

#include <glib.h>

/**
 * Summarizes gateways' log lines to show what limits a service:
 * for each second, how many requests were answered in time, how many were late
 * and why, how the others ended, and how the expert maps changed; and how
 * gateways divided services whose capacity did not suffice.
 */

/** CfReportObjectives: latency objectives that an answer in time meets. */
typedef struct
{
  gint64 first_ms; /**< time to a stream's first event */
  gint64 pause_ms; /**< pause between two of its events */
} CfReportObjectives;

/** CfReportSecond: the requests that arrived in one second, by the logs' time,
 * and the other events logged in it. */
typedef struct
{
  guint in_time;       /**< streams that met both objectives */
  guint late_first;    /**< streams whose first event came late */
  guint late_pause;    /**< streams with only a pause that was too long */
  guint plain;         /**< successful answers without events */
  guint target_failed; /**< targets' errors that were forwarded */
  guint refused;       /**< logged with outcome=refused */
  guint denied;        /**< logged with outcome=denied */
  guint lost;          /**< any other: failed, cut short or timed out */
  guint gone;          /**< requests whose callers left */
  guint changes;       /**< expert map changes */
  guint copies;        /**< expert copies planned */
  double skew;         /**< highest load skew before a plan; 0: no plan */
  gint64 pass_ms;      /**< longest pass that made streams late; 0: none */
  guint pass_streams;  /**< streams active in passes that made any late */
  guint pass_late;     /**< of these, the streams made late */
} CfReportSecond;

/** CfReport: all seconds, the number of requests that ended for each reason,
 * and the lines about readings that were dropped or did not come. */
typedef struct
{
  CfReportObjectives objectives;
  GHashTable *seconds;   /**< GINT64 second -> #CfReportSecond */
  GHashTable *reasons;   /**< "outcome reason" -> count */
  GHashTable *incidents; /**< description -> number of lines */
  CfReportContention contention;
} CfReport;

void cf_report_init (CfReport *r, const CfReportObjectives *objectives);
void cf_report_clear (CfReport *r);

/** cf_report_read: adds the lines of the log @file of one process. */
void cf_report_read (CfReport *r, const char *file, const char *text);

/** cf_report_print: appends one line per second, their totals, the number of
 * requests per reason, and the tables of contention that have entries. */
void cf_report_print (const CfReport *r, GString *out);
