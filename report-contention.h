#pragma once

#include <glib.h>

/**
 * The part of the report that shows how gateways divided services whose
 * capacity did not suffice: which requests they refused, their shares, and the
 * callers that were told when to return.
 */

/** CfClassCount: what became of the requests of one organisation and urgency at
 * one gateway. */
typedef struct
{
  guint answered;
  guint refused;     /**< for any reason, the next three included */
  guint more_urgent; /**< since more urgent requests filled the queue */
  guint queue_full;
  guint no_room;
} CfClassCount;

/** CfShareSummary: a gateway's share of a service in the course of a log. */
typedef struct
{
  guint changes;
  guint contended; /**< changes at which demand exceeded the capacity */
  double last_slots;
  double min_slots;
  double max_slots;
  double max_demand;       /**< of the gateway, in slots */
  double max_fleet_demand; /**< in slots */
  double capacity;         /**< the last one, in slots */
  guint min_known;         /**< fewest gateways whose demand was known */
  guint max_gateways;
  gint64 min_admitted; /**< least urgent level admitted, at its lowest;
                            %G_MAXINT64 if no line states one */
} CfShareSummary;

/** CfReturnCount: the callers that a gateway refused or that returned to it. */
typedef struct
{
  guint told;      /**< callers that were told when to return */
  guint64 told_ms; /**< sum of the times told */
  guint64 max_told_ms;
  guint due;   /**< callers that returned at their time */
  guint early; /**< callers that returned before their time */
} CfReturnCount;

/** CfPassLimitSummary: the pass limit of a service at a gateway. */
typedef struct
{
  guint changes;
  double last_slots;
  double min_slots;
} CfPassLimitSummary;

/** CfReportContention: counts of all logs, by gateway (name of the log). */
typedef struct
{
  GHashTable *requests;    /**< id -> its class, of requests of the log being
                                read that have not ended */
  GHashTable *classes;     /**< "gateway service org urgency" ->
                                #CfClassCount */
  GHashTable *shares;      /**< "gateway service" -> #CfShareSummary */
  GHashTable *returns;     /**< "gateway" -> #CfReturnCount */
  GHashTable *pass_limits; /**< "gateway service" -> #CfPassLimitSummary */
} CfReportContention;

void cf_report_contention_init (CfReportContention *c);
void cf_report_contention_clear (CfReportContention *c);

/**
 * cf_report_contention_add:
 * @gateway: name of the log that holds the line
 * @event: the line, from its event number on
 */
void cf_report_contention_add (CfReportContention *c, const char *gateway,
                               const char *event);

/** cf_report_contention_end_log: forgets the requests of a log that has been
 * read. */
void cf_report_contention_end_log (CfReportContention *c);

/** cf_report_contention_print: appends the tables that have entries. */
void cf_report_contention_print (const CfReportContention *c, GString *out);
