#pragma once

#include "error.h"

#include <glib.h>

/**
 * CfSettings:
 * A settings file in TOML, parsed with GLib's GKeyFile.  Only the syntax that
 * both share is accepted: `[table]` headers, `key = value` lines, quoted
 * strings, integers and booleans.  docs/SETTINGS.md gives the reasons.
 */
typedef struct
{
  GKeyFile *keys;
  char *origin; /**< the file name, or "embedded defaults" */
} CfSettings;

/**
 * cf_settings_load:
 * @s: settings to fill
 * @path: (nullable): a TOML file; %NULL uses only @defaults
 * @defaults: the embedded default settings, in the same syntax
 *
 * Values in @path override @defaults key by key.
 *
 * Returns: %CF_OK, or %CF_ERR_SETTINGS naming the file and line.
 */
CfStatus cf_settings_load (CfSettings *s, const char *path,
                           const char *defaults);

/** cf_settings_clear: frees the memory that cf_settings_load() allocated. */
void cf_settings_clear (CfSettings *s);

/**
 * cf_settings_string:
 * Reads the quoted string at @table.@key into a new string.
 * Returns: %CF_ERR_SETTINGS if it is missing, unquoted or empty.
 */
CfStatus cf_settings_string (CfSettings *s, const char *table, const char *key,
                             char **out);

/**
 * cf_settings_int:
 * Reads the integer at @table.@key, which must lie in [@min, @max].
 * Returns: %CF_ERR_SETTINGS naming the key, the value and the bounds.
 */
CfStatus cf_settings_int (CfSettings *s, const char *table, const char *key,
                          gint64 min, gint64 max, gint64 *out);

/** cf_settings_bool: reads `true` or `false` at @table.@key. */
CfStatus cf_settings_bool (CfSettings *s, const char *table, const char *key,
                           gboolean *out);

/** cf_settings_double: reads a number, which must lie in [@min, @max]. */
CfStatus cf_settings_double (CfSettings *s, const char *table, const char *key,
                             double min, double max, double *out);

/**
 * cf_settings_strings:
 * Reads an array of quoted strings on one line, such as ["a", "b"].
 * @out: (out): a new array that owns its strings; may be empty
 */
CfStatus cf_settings_strings (CfSettings *s, const char *table, const char *key,
                              GPtrArray **out);

/** CfSettingKind: the type of a setting, and of the field that stores it. */
typedef enum
{
  CF_SETTING_STRING,  /**< char *, owned */
  CF_SETTING_STRINGS, /**< GPtrArray * of strings, owned */
  CF_SETTING_INT,     /**< gint64 within [min, max] */
  CF_SETTING_DOUBLE,  /**< double within [min, max] */
  CF_SETTING_BOOL,    /**< gboolean */
} CfSettingKind;

/** CfSetting: one key that a program reads, and the field that stores it. */
typedef struct
{
  CfSettingKind kind;
  const char *table;
  const char *key;
  size_t offset; /**< offset of the field in the program's settings struct */
  double min;
  double max;
} CfSetting;

/**
 * cf_settings_read:
 * @fields: the @n keys that the program reads
 * @out: (out): the program's settings struct
 *
 * Reads and checks every key.
 * Returns: %CF_ERR_SETTINGS for the first invalid key, or for a key of the file
 * that is not among @fields.
 */
CfStatus cf_settings_read (CfSettings *s, const CfSetting *fields, size_t n,
                           void *out);

/**
 * cf_settings_check_known_keys:
 * @known: %NULL-terminated list of the "table.key" names that the program reads
 *
 * Returns: %CF_ERR_SETTINGS for the first key that is not in @known, so that a
 * misspelt key is an error instead of leaving the default in place.
 */
CfStatus cf_settings_check_known_keys (CfSettings *s, const char *const *known);
