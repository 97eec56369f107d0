#include "settings.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static CfStatus
parse_into (GKeyFile *keys, const char *data, gsize len, const char *origin)
{
  g_autoptr (GError) err = NULL;

  if (!g_key_file_load_from_data (keys, data, len, G_KEY_FILE_NONE, &err))
    return cf_fail (CF_ERR_SETTINGS,
                    "write the file as TOML tables with key = value lines",
                    "%s: %s", origin, err->message);
  return CF_OK;
}

CfStatus
cf_settings_load (CfSettings *s, const char *path, const char *defaults)
{
  g_autoptr (GKeyFile) overrides = NULL;
  g_autofree char *text = NULL;
  g_autoptr (GError) err = NULL;
  g_auto (GStrv) tables = NULL;
  gsize len;
  CfStatus st;

  s->keys = g_key_file_new ();
  s->origin = g_strdup (path ? path : "embedded defaults");
  st = parse_into (s->keys, defaults, strlen (defaults), "embedded defaults");
  if (st != CF_OK || path == NULL)
    return st;

  if (!g_file_get_contents (path, &text, &len, &err))
    return cf_fail (CF_ERR_SETTINGS, "pass a readable file to --settings", "%s",
                    err->message);
  overrides = g_key_file_new ();
  st = parse_into (overrides, text, len, path);
  if (st != CF_OK)
    return st;

  tables = g_key_file_get_groups (overrides, NULL);
  for (char **t = tables; *t; t++)
    {
      g_auto (GStrv) keys = g_key_file_get_keys (overrides, *t, NULL, NULL);

      for (char **k = keys; k && *k; k++)
        {
          g_autofree char *v = g_key_file_get_value (overrides, *t, *k, NULL);

          g_key_file_set_value (s->keys, *t, *k, v);
        }
    }
  return CF_OK;
}

void
cf_settings_clear (CfSettings *s)
{
  g_clear_pointer (&s->keys, g_key_file_free);
  g_clear_pointer (&s->origin, g_free);
}

static CfStatus
get_raw_value (CfSettings *s, const char *table, const char *key, char **out)
{
  *out = g_key_file_get_value (s->keys, table, key, NULL);
  if (*out == NULL)
    return cf_fail (CF_ERR_SETTINGS, "add the key to the settings file",
                    "%s: [%s] %s is missing", s->origin, table, key);
  g_strstrip (*out);
  return CF_OK;
}

CfStatus
cf_settings_string (CfSettings *s, const char *table, const char *key,
                    char **out)
{
  g_autofree char *raw = NULL;
  size_t n;
  CfStatus st;

  st = get_raw_value (s, table, key, &raw);
  if (st != CF_OK)
    return st;
  n = strlen (raw);
  if (n < 2 || raw[0] != '"' || raw[n - 1] != '"')
    return cf_fail (
        CF_ERR_SETTINGS, "put the string in double quotes, as TOML requires",
        "%s: [%s] %s = %s is not a quoted string", s->origin, table, key, raw);
  raw[n - 1] = '\0';
  *out = g_strcompress (raw + 1);
  if (**out == '\0')
    {
      g_clear_pointer (out, g_free);
      return cf_fail (CF_ERR_SETTINGS, "set the key to a non-empty string",
                      "%s: [%s] %s is empty", s->origin, table, key);
    }
  return CF_OK;
}

CfStatus
cf_settings_int (CfSettings *s, const char *table, const char *key, gint64 min,
                 gint64 max, gint64 *out)
{
  g_autofree char *raw = NULL;
  char *end;
  CfStatus st;

  st = get_raw_value (s, table, key, &raw);
  if (st != CF_OK)
    return st;
  *out = g_ascii_strtoll (raw, &end, 10);
  if (*raw == '\0' || *end != '\0')
    return cf_fail (CF_ERR_SETTINGS, "write an integer without quotes",
                    "%s: [%s] %s = %s is not an integer", s->origin, table, key,
                    raw);
  if (*out < min || *out > max)
    return cf_fail (CF_ERR_SETTINGS, "choose a value within the bounds",
                    "%s: [%s] %s = %" G_GINT64_FORMAT
                    " is outside [%" G_GINT64_FORMAT ", %" G_GINT64_FORMAT "]",
                    s->origin, table, key, *out, min, max);
  return CF_OK;
}

CfStatus
cf_settings_double (CfSettings *s, const char *table, const char *key,
                    double min, double max, double *out)
{
  g_autofree char *raw = NULL;
  char *end;
  CfStatus st;

  st = get_raw_value (s, table, key, &raw);
  if (st != CF_OK)
    return st;
  *out = g_ascii_strtod (raw, &end);
  if (*raw == '\0' || *end != '\0')
    return cf_fail (CF_ERR_SETTINGS, "write a number without quotes",
                    "%s: [%s] %s = %s is not a number", s->origin, table, key,
                    raw);
  if (!(*out >= min && *out <= max))
    return cf_fail (CF_ERR_SETTINGS, "choose a value within the bounds",
                    "%s: [%s] %s = %s is outside [%g, %g]", s->origin, table,
                    key, raw, min, max);
  return CF_OK;
}

CfStatus
cf_settings_strings (CfSettings *s, const char *table, const char *key,
                     GPtrArray **out)
{
  g_autofree char *raw = NULL;
  json_t *a = NULL;
  json_t *v;
  CfStatus st;
  size_t i;

  st = get_raw_value (s, table, key, &raw);
  if (st != CF_OK)
    return st;
  /* A one-line TOML array of basic strings is also valid JSON. */
  a = json_loads (raw, 0, NULL);
  *out = g_ptr_array_new_with_free_func (g_free);
  json_array_foreach (a, i, v)
  {
    if (json_is_string (v))
      g_ptr_array_add (*out, g_strdup (json_string_value (v)));
  }
  if (!json_is_array (a) || json_array_size (a) != (*out)->len)
    {
      g_clear_pointer (out, g_ptr_array_unref);
      st = cf_fail (CF_ERR_SETTINGS,
                    "write an array of quoted strings on one line",
                    "%s: [%s] %s = %s is not an array of strings", s->origin,
                    table, key, raw);
    }
  json_decref (a);
  return st;
}

CfStatus
cf_settings_bool (CfSettings *s, const char *table, const char *key,
                  gboolean *out)
{
  g_autofree char *raw = NULL;
  CfStatus st;

  st = get_raw_value (s, table, key, &raw);
  if (st != CF_OK)
    return st;
  if (strcmp (raw, "true") == 0)
    *out = TRUE;
  else if (strcmp (raw, "false") == 0)
    *out = FALSE;
  else
    return cf_fail (CF_ERR_SETTINGS, "write true or false",
                    "%s: [%s] %s = %s is not a boolean", s->origin, table, key,
                    raw);
  return CF_OK;
}

CfStatus
cf_settings_check_known_keys (CfSettings *s, const char *const *known)
{
  g_auto (GStrv) tables = g_key_file_get_groups (s->keys, NULL);

  for (char **t = tables; *t; t++)
    {
      g_auto (GStrv) keys = g_key_file_get_keys (s->keys, *t, NULL, NULL);

      for (char **k = keys; k && *k; k++)
        {
          g_autofree char *name = g_strdup_printf ("%s.%s", *t, *k);

          if (!g_strv_contains (known, name))
            return cf_fail (CF_ERR_SETTINGS,
                            "remove the key or correct its spelling; "
                            "docs/SETTINGS.md lists the keys",
                            "%s: unknown key [%s] %s", s->origin, *t, *k);
        }
    }
  return CF_OK;
}

static CfStatus
read_setting (CfSettings *s, const CfSetting *f, char *field)
{
  switch (f->kind)
    {
    case CF_SETTING_STRING:
      return cf_settings_string (s, f->table, f->key, (char **)(void *)field);
    case CF_SETTING_STRINGS:
      return cf_settings_strings (s, f->table, f->key,
                                  (GPtrArray **)(void *)field);
    case CF_SETTING_INT:
      return cf_settings_int (s, f->table, f->key, (gint64)f->min,
                              (gint64)f->max, (gint64 *)(void *)field);
    case CF_SETTING_DOUBLE:
      return cf_settings_double (s, f->table, f->key, f->min, f->max,
                                 (double *)(void *)field);
    case CF_SETTING_BOOL:
      return cf_settings_bool (s, f->table, f->key, (gboolean *)(void *)field);
    }
  return CF_OK;
}

CfStatus
cf_settings_read (CfSettings *s, const CfSetting *fields, size_t n, void *out)
{
  g_autoptr (GPtrArray) known = g_ptr_array_new_with_free_func (g_free);
  CfStatus st;

  for (size_t i = 0; i < n; i++)
    g_ptr_array_add (known,
                     g_strconcat (fields[i].table, ".", fields[i].key, NULL));
  g_ptr_array_add (known, NULL);
  st = cf_settings_check_known_keys (s, (const char *const *)known->pdata);
  for (size_t i = 0; i < n && st == CF_OK; i++)
    st = read_setting (s, &fields[i], (char *)out + fields[i].offset);
  return st;
}
