#pragma once

#include "error.h"

#include <glib.h>
#include <jansson.h>

/** CfTargetKind: the kind of target that a group's agents serve. */
typedef enum
{
  CF_TARGET_ENGINE,  /**< a model engine; path /v1/generate */
  CF_TARGET_SERVICE, /**< a plain service; path /v1/call */
} CfTargetKind;

/** CfGroup: a group record, naming the agents in front of its targets. */
typedef struct
{
  char *name;
  CfTargetKind kind;
  GPtrArray *agents; /**< "IP:PORT" strings, one agent for each target VM */
} CfGroup;

/**
 * CfIntent:
 * A routing intent, in the same form for both record schemas.  Schema 1
 * names one organisation, service and model; schema 2 has a list of each,
 * in which "*" matches any name.  See docs/RECORDS.md.
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
  gint64 worth_milli; /**< what one request is worth, in 1/1000 */
} CfIntent;

/**
 * CfConfig:
 * One version of the configuration.  It is read-only once built; the
 * threads that route by it share it by reference count.
 */
typedef struct
{
  gint64 version;
  char *source;       /**< the records as a JSON array, for peers; or %NULL */
  GPtrArray *intents; /**< CfIntent *, in record order */
  GHashTable *groups; /**< from name to CfGroup * */
  gint refs;
} CfConfig;

/** The highest request priority; the lowest is 0. */
#define CF_PRIORITY_MAX 9

/**
 * cf_config_parse_lines:
 * @text: records, one JSON object for each line; blank lines and lines that
 *   start with '#' are skipped
 * @origin: the file name for error messages
 *
 * Returns: %CF_OK, or %CF_ERR_RECORD with "origin:line" and the remedy in
 *   the error's text.
 */
CfStatus cf_config_parse_lines (const char *text, const char *origin,
                                gint64 version, CfConfig **out);

/**
 * cf_config_parse_json:
 * @records: a JSON array of record objects, as the configuration service
 *   serves them
 *
 * Returns: as cf_config_parse_lines(), with "record N" in place of the line.
 */
CfStatus cf_config_parse_json (json_t *records, const char *origin,
                               gint64 version, CfConfig **out);

CfConfig *cf_config_ref (CfConfig *c);
void cf_config_unref (CfConfig *c);

/**
 * cf_config_find_intent:
 * Returns: (nullable): the intent of the highest priority that permits
 *   @org, @service and @model; of several with that priority,
 *   the first in record order.
 */
const CfIntent *cf_config_find_intent (const CfConfig *c, const char *org,
                                       const char *service, const char *model);

/** cf_config_find_group: returns the group named @name, or %NULL. */
const CfGroup *cf_config_find_group (const CfConfig *c, const char *name);
