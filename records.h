#pragma once

#include "error.h"

#include <glib.h>
#include <jansson.h>

/** CfTargetKind: what stands behind a group's agents. */
typedef enum
{
  CF_TARGET_ENGINE,  /**< a model engine group; path /v1/generate */
  CF_TARGET_SERVICE, /**< a plain service; path /v1/call */
} CfTargetKind;

/** CfGroup: a group record: targets reached through their agents. */
typedef struct
{
  char *name;
  CfTargetKind kind;
  GPtrArray *agents; /**< "IP:PORT" strings, one agent per target VM */
} CfGroup;

/**
 * CfIntent:
 * A routing intent, the same in memory whichever schema it came in.
 * Schema 1 names one organisation, service and model; schema 2 lists
 * each, where "*" matches any.  docs/RECORDS.md gives both.
 */
typedef struct
{
  char *name;
  int schema;
  GPtrArray *orgs;
  GPtrArray *services;
  GPtrArray *models;
  GPtrArray *groups;  /**< group names, in order of preference */
  gint64 priority;    /**< 0 (lowest) to 9 */
  gint64 worth_milli; /**< stated worth of one request, in thousandths */
} CfIntent;

/**
 * CfConfig:
 * One version of the configuration, read-only once built and shared by
 * reference count between the threads that route with it.
 */
typedef struct
{
  gint64 version;
  char *source;       /**< the records' JSON array, for peers; may be %NULL */
  GPtrArray *intents; /**< CfIntent *, in record order */
  GHashTable *groups; /**< name -> CfGroup * */
  gint refs;
} CfConfig;

/** The highest and lowest request priority a record may state. */
#define CF_PRIORITY_MAX 9

/**
 * cf_config_parse_lines:
 * @text: records, one JSON object a line; blank lines and lines starting
 *   with '#' are skipped
 * @origin: the file name used in messages
 *
 * Returns: %CF_OK, or %CF_ERR_RECORD naming "origin:line" and the remedy.
 */
CfStatus cf_config_parse_lines (const char *text, const char *origin,
                                gint64 version, CfConfig **out);

/**
 * cf_config_parse_json:
 * @records: a JSON array of record objects, as the configuration service
 *   serves them
 *
 * Returns: as cf_config_parse_lines(), naming "record N".
 */
CfStatus cf_config_parse_json (json_t *records, const char *origin,
                               gint64 version, CfConfig **out);

CfConfig *cf_config_ref (CfConfig *c);
void cf_config_unref (CfConfig *c);

/**
 * cf_config_find_intent:
 * Returns: (nullable): the intent of highest priority that permits
 * @org, @service and @model; ties go to the earlier record.
 */
const CfIntent *cf_config_find_intent (const CfConfig *c, const char *org,
                                       const char *service, const char *model);

/** cf_config_find_group: the group named @name, or %NULL. */
const CfGroup *cf_config_find_group (const CfConfig *c, const char *name);
