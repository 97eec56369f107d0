#include "records.h"

#include <string.h>

#define REMEDY_DOCS "see docs/RECORDS.md for the record's fields"

static void
free_group (gpointer p)
{
  CfGroup *g = p;

  g_free (g->name);
  g_ptr_array_unref (g->agents);
  g_free (g);
}

static void
free_intent (gpointer p)
{
  CfIntent *it = p;

  g_free (it->name);
  g_ptr_array_unref (it->orgs);
  g_ptr_array_unref (it->services);
  g_ptr_array_unref (it->models);
  g_ptr_array_unref (it->groups);
  g_free (it);
}

static CfConfig *
config_new (gint64 version)
{
  CfConfig *c = g_new0 (CfConfig, 1);

  c->version = version;
  c->intents = g_ptr_array_new_with_free_func (free_intent);
  c->groups = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_group);
  c->refs = 1;
  return c;
}

CfConfig *
cf_config_ref (CfConfig *c)
{
  g_atomic_int_inc (&c->refs);
  return c;
}

void
cf_config_unref (CfConfig *c)
{
  if (c == NULL || !g_atomic_int_dec_and_test (&c->refs))
    return;
  g_ptr_array_unref (c->intents);
  g_hash_table_unref (c->groups);
  g_free (c->source);
  g_free (c);
}

static CfStatus
record_error (const char *location, const char *what, const char *remedy)
{
  return cf_fail (CF_ERR_RECORD, remedy, "%s: %s", location, what);
}

static CfStatus
get_string (json_t *o, const char *field, const char *location, char **out)
{
  const char *s = json_string_value (json_object_get (o, field));
  g_autofree char *what = NULL;

  if (s == NULL || *s == '\0')
    {
      what = g_strdup_printf ("field '%s' must be a non-empty string", field);
      return record_error (location, what, REMEDY_DOCS);
    }
  *out = g_strdup (s);
  return CF_OK;
}

static CfStatus
get_strings (json_t *o, const char *field, const char *location,
             GPtrArray **out)
{
  json_t *v = json_object_get (o, field);
  g_autofree char *what = NULL;
  size_t i;
  json_t *e;

  if (!json_is_array (v) || json_array_size (v) == 0)
    goto invalid;
  *out = g_ptr_array_new_with_free_func (g_free);
  json_array_foreach (v, i, e)
  {
    if (!json_is_string (e) || json_string_length (e) == 0)
      {
        g_clear_pointer (out, g_ptr_array_unref);
        goto invalid;
      }
    g_ptr_array_add (*out, g_strdup (json_string_value (e)));
  }
  return CF_OK;
invalid:
  what = g_strdup_printf ("field '%s' must be a non-empty array of strings",
                          field);
  return record_error (location, what, REMEDY_DOCS);
}

static CfStatus
get_int (json_t *o, const char *field, const char *location, gint64 min,
         gint64 max, gint64 *out)
{
  json_t *v = json_object_get (o, field);
  g_autofree char *what = NULL;

  if (!json_is_integer (v) || json_integer_value (v) < min
      || json_integer_value (v) > max)
    {
      what = g_strdup_printf (
          "field '%s' must be an integer from %" G_GINT64_FORMAT
          " to %" G_GINT64_FORMAT,
          field, min, max);
      return record_error (location, what, REMEDY_DOCS);
    }
  *out = json_integer_value (v);
  return CF_OK;
}

static GPtrArray *
new_string_list (const char *s)
{
  GPtrArray *a = g_ptr_array_new_with_free_func (g_free);

  g_ptr_array_add (a, g_strdup (s));
  return a;
}

static GPtrArray *
or_empty (GPtrArray *a)
{
  return a ? a : g_ptr_array_new ();
}

static CfStatus
parse_group (CfConfig *c, json_t *o, const char *location)
{
  g_autofree char *target = NULL;
  CfGroup *g = g_new0 (CfGroup, 1);
  CfStatus st;

  st = get_string (o, "name", location, &g->name);
  if (st == CF_OK)
    st = get_string (o, "target", location, &target);
  if (st == CF_OK)
    st = get_strings (o, "agents", location, &g->agents);
  if (st != CF_OK)
    goto fail;
  g_assert (target != NULL && g->agents != NULL);
  if (g_str_equal (target, "engine"))
    g->kind = CF_TARGET_ENGINE;
  else if (g_str_equal (target, "service"))
    g->kind = CF_TARGET_SERVICE;
  else
    {
      st = record_error (location,
                         "field 'target' must be \"engine\" or \"service\"",
                         REMEDY_DOCS);
      goto fail;
    }
  for (guint i = 0; i < g->agents->len; i++)
    if (strrchr (g_ptr_array_index (g->agents, i), ':') == NULL)
      {
        st = record_error (location, "each agent must have the form IP:PORT",
                           REMEDY_DOCS);
        goto fail;
      }
  if (g_hash_table_contains (c->groups, g->name))
    {
      st = record_error (location, "a group of this name is already defined",
                         "define each group in one record only");
      goto fail;
    }
  g_hash_table_insert (c->groups, g->name, g);
  return CF_OK;
fail:
  g->agents = or_empty (g->agents);
  free_group (g);
  return st;
}

static CfStatus
parse_intent_v2_groups (json_t *o, const char *location, GPtrArray **out)
{
  json_t *v = json_object_get (o, "groups");
  size_t i;
  json_t *e;

  if (!json_is_array (v) || json_array_size (v) == 0)
    return record_error (location,
                         "field 'groups' must be a non-empty array of "
                         "{\"name\": ...} objects",
                         REMEDY_DOCS);
  *out = g_ptr_array_new_with_free_func (g_free);
  json_array_foreach (v, i, e)
  {
    char *name = NULL;

    if (!json_is_object (e) || get_string (e, "name", location, &name) != CF_OK)
      {
        g_clear_pointer (out, g_ptr_array_unref);
        return record_error (location,
                             "each element of 'groups' must have a 'name'",
                             REMEDY_DOCS);
      }
    g_ptr_array_add (*out, name);
  }
  return CF_OK;
}

static CfStatus
parse_intent_v1 (json_t *o, const char *location, CfIntent *it)
{
  g_autofree char *org = NULL;
  g_autofree char *service = NULL;
  g_autofree char *model = NULL;
  gint64 worth = 0;
  CfStatus st;

  st = get_string (o, "org", location, &org);
  if (st == CF_OK)
    st = get_string (o, "service", location, &service);
  if (st == CF_OK)
    st = get_string (o, "model", location, &model);
  if (st == CF_OK)
    st = get_strings (o, "groups", location, &it->groups);
  if (st == CF_OK)
    st = get_int (o, "worth", location, 0, G_MAXINT32, &worth);
  if (st != CF_OK)
    return st;
  it->orgs = new_string_list (org);
  it->services = new_string_list (service);
  it->models = new_string_list (model);
  it->worth_milli = worth * 1000;
  return CF_OK;
}

static CfStatus
parse_intent_v2 (json_t *o, const char *location, CfIntent *it)
{
  json_t *match = json_object_get (o, "match");
  CfStatus st;

  if (!json_is_object (match))
    return record_error (location,
                         "field 'match' must be an object with 'orgs', "
                         "'services' and 'models'",
                         REMEDY_DOCS);
  st = get_strings (match, "orgs", location, &it->orgs);
  if (st == CF_OK)
    st = get_strings (match, "services", location, &it->services);
  if (st == CF_OK)
    st = get_strings (match, "models", location, &it->models);
  if (st == CF_OK)
    st = parse_intent_v2_groups (o, location, &it->groups);
  if (st == CF_OK)
    st = get_int (o, "worth_milli", location, 0, G_MAXINT64 / 2,
                  &it->worth_milli);
  return st;
}

static CfStatus
parse_intent (CfConfig *c, json_t *o, int schema, const char *location)
{
  CfIntent *it = g_new0 (CfIntent, 1);
  CfStatus st;

  it->schema = schema;
  st = get_string (o, "name", location, &it->name);
  if (st == CF_OK)
    st = get_int (o, "priority", location, 0, CF_PRIORITY_MAX, &it->priority);
  if (st == CF_OK)
    st = schema == 1 ? parse_intent_v1 (o, location, it)
                     : parse_intent_v2 (o, location, it);
  if (st != CF_OK)
    {
      it->orgs = or_empty (it->orgs);
      it->services = or_empty (it->services);
      it->models = or_empty (it->models);
      it->groups = or_empty (it->groups);
      free_intent (it);
      return st;
    }
  g_ptr_array_add (c->intents, it);
  return CF_OK;
}

static CfStatus
parse_record (CfConfig *c, json_t *o, const char *location)
{
  json_t *schema = json_object_get (o, "schema");
  const char *kind;

  if (!json_is_object (o))
    return record_error (location, "a record must be a JSON object",
                         REMEDY_DOCS);
  if (!json_is_integer (schema)
      || (json_integer_value (schema) != 1 && json_integer_value (schema) != 2))
    return record_error (location, "field 'schema' must be 1 or 2",
                         "set it to the record's schema version");
  kind = json_string_value (json_object_get (o, "kind"));
  if (kind && g_str_equal (kind, "group"))
    return parse_group (c, o, location);
  if (kind && g_str_equal (kind, "intent"))
    return parse_intent (c, o, (int)json_integer_value (schema), location);
  return record_error (location, "field 'kind' must be \"group\" or \"intent\"",
                       REMEDY_DOCS);
}

static CfStatus
check_references (CfConfig *c, const char *origin)
{
  for (guint i = 0; i < c->intents->len; i++)
    {
      CfIntent *it = g_ptr_array_index (c->intents, i);

      for (guint j = 0; j < it->groups->len; j++)
        {
          const char *g = g_ptr_array_index (it->groups, j);

          if (!g_hash_table_contains (c->groups, g))
            return cf_fail (CF_ERR_RECORD, "add a group record of that name",
                            "%s: intent '%s' names group '%s', which is not "
                            "defined",
                            origin, it->name, g);
        }
    }
  return CF_OK;
}

/* Checks the references between records; then sets @out, or frees @c. */
static CfStatus
finish_config (CfConfig *c, CfStatus st, const char *origin, CfConfig **out)
{
  if (st == CF_OK)
    st = check_references (c, origin);
  if (st != CF_OK)
    {
      cf_config_unref (c);
      return st;
    }
  *out = c;
  return CF_OK;
}

CfStatus
cf_config_parse_lines (const char *text, const char *origin, gint64 version,
                       CfConfig **out)
{
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  CfConfig *c = config_new (version);
  CfStatus st = CF_OK;

  for (int i = 0; lines[i] && st == CF_OK; i++)
    {
      g_autofree char *location = g_strdup_printf ("%s:%d", origin, i + 1);
      const char *line = g_strstrip (lines[i]);
      json_error_t jerr;
      json_t *o;

      if (*line == '\0' || *line == '#')
        continue;
      o = json_loads (line, 0, &jerr);
      if (o == NULL)
        {
          st = cf_fail (CF_ERR_RECORD, "write one JSON object per line",
                        "%s: column %d: %s", location, jerr.column, jerr.text);
          break;
        }
      st = parse_record (c, o, location);
      json_decref (o);
    }
  return finish_config (c, st, origin, out);
}

CfStatus
cf_config_parse_json (json_t *records, const char *origin, gint64 version,
                      CfConfig **out)
{
  CfConfig *c;
  CfStatus st = CF_OK;
  size_t i;
  json_t *o;

  if (!json_is_array (records))
    return cf_fail (CF_ERR_RECORD, "serve records as a JSON array",
                    "%s: 'records' is not an array", origin);
  c = config_new (version);
  json_array_foreach (records, i, o)
  {
    g_autofree char *location
        = g_strdup_printf ("%s: record %zu", origin, i + 1);

    st = parse_record (c, o, location);
    if (st != CF_OK)
      break;
  }
  return finish_config (c, st, origin, out);
}

static gboolean
list_permits (GPtrArray *names, const char *name)
{
  for (guint i = 0; i < names->len; i++)
    {
      const char *n = g_ptr_array_index (names, i);

      if (g_str_equal (n, "*") || g_str_equal (n, name))
        return TRUE;
    }
  return FALSE;
}

const CfIntent *
cf_config_find_intent (const CfConfig *c, const char *org, const char *service,
                       const char *model)
{
  const CfIntent *best = NULL;

  for (guint i = 0; i < c->intents->len; i++)
    {
      const CfIntent *it = g_ptr_array_index (c->intents, i);

      if (!list_permits (it->orgs, org) || !list_permits (it->services, service)
          || !list_permits (it->models, model))
        continue;
      if (best == NULL || it->priority > best->priority)
        best = it;
    }
  return best;
}

const CfGroup *
cf_config_find_group (const CfConfig *c, const char *name)
{
  return g_hash_table_lookup (c->groups, name);
}
