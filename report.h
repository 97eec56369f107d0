#pragma once

#include <glib.h>

/**
 * What binds a service, from the log lines of its gateways: second by second
 * how many requests were answered in time, which of them were late and by
 * what, how the others ended, and what the expert maps did meanwhile.
 */

/** CfReportObjectives: what counts as in time. */
typedef struct
{
  gint64 first_ms; /**< to a stream's first event */
  gint64 pause_ms; /**< between two of its events */
} CfReportObjectives;

/** CfReportSecond: what began in one second of the logs' time. */
typedef struct
{
  guint in_time;
  guint late_first;    /**< streams whose first event came late */
  guint late_pause;    /**< whose first was in time, and a pause too long */
  guint plain;         /**< other answers */
  guint target_failed; /**< targets' own failures, passed on */
  guint refused;
  guint denied;
  guint lost;         /**< failed, broken off, or out of time */
  guint gone;         /**< their callers left */
  guint changes;      /**< of expert maps */
  guint copies;       /**< of experts, as planned */
  double skew;        /**< the worst that a plan began from; 0: none */
  gint64 pass_ms;     /**< the longest pass that made streams late; 0: none */
  guint pass_streams; /**< streams that wrote in passes which made some late */
  guint pass_late;    /**< of these, those made late */
} CfReportSecond;

/** CfReport: all of them. */
typedef struct
{
  CfReportObjectives aims;
  GHashTable *seconds; /**< GINT64 second -> #CfReportSecond */
  GHashTable *reasons; /**< "outcome reason" -> how often */
} CfReport;

void cf_report_init (CfReport *r, const CfReportObjectives *aims);
void cf_report_clear (CfReport *r);

/** cf_report_read: takes in what a log holds. */
void cf_report_read (CfReport *r, const char *text);

/** cf_report_print: a line a second, their sum, and the reasons. */
void cf_report_print (const CfReport *r, GString *out);
