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
bad (const char *where, const char *what, const char *remedy)
{
  return cf_fail (CF_ERR_RECORD, remedy, "%s: %s", where, what);
}

static CfStatus
get_string (json_t *o, const char *field, const char *where, char **out)
{
  const char *s = json_string_value (json_object_get (o, field));
  g_autofree char *what = NULL;

  if (s == NULL || *s == '\0')
    {
      what = g_strdup_printf ("field '%s' must be a non-empty string", field);
      return bad (where, what, REMEDY_DOCS);
    }
  *out = g_strdup (s);
  return CF_OK;
}

static CfStatus
get_strings (json_t *o, const char *field, const char *where, GPtrArray **out)
{
  json_t *v = json_object_get (o, field);
  g_autofree char *what = NULL;
  size_t i;
  json_t *e;

  if (!json_is_array (v) || json_array_size (v) == 0)
    goto wrong;
  *out = g_ptr_array_new_with_free_func (g_free);
  json_array_foreach (v, i, e)
  {
    if (!json_is_string (e) || json_string_length (e) == 0)
      {
        g_clear_pointer (out, g_ptr_array_unref);
        goto wrong;
      }
    g_ptr_array_add (*out, g_strdup (json_string_value (e)));
  }
  return CF_OK;
wrong:
  what = g_strdup_printf ("field '%s' must be a non-empty array of strings",
                          field);
  return bad (where, what, REMEDY_DOCS);
}

static CfStatus
get_int (json_t *o, const char *field, const char *where, gint64 min,
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
      return bad (where, what, REMEDY_DOCS);
    }
  *out = json_integer_value (v);
  return CF_OK;
}

static GPtrArray *
one_string (const char *s)
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
parse_group (CfConfig *c, json_t *o, const char *where)
{
  g_autofree char *target = NULL;
  CfGroup *g = g_new0 (CfGroup, 1);
  CfStatus st;

  st = get_string (o, "name", where, &g->name);
  if (st == CF_OK)
    st = get_string (o, "target", where, &target);
  if (st == CF_OK)
    st = get_strings (o, "agents", where, &g->agents);
  if (st != CF_OK)
    goto fail;
  g_assert (target != NULL && g->agents != NULL);
  if (g_str_equal (target, "engine"))
    g->kind = CF_TARGET_ENGINE;
  else if (g_str_equal (target, "service"))
    g->kind = CF_TARGET_SERVICE;
  else
    {
      st = bad (where, "field 'target' must be \"engine\" or \"service\"",
                REMEDY_DOCS);
      goto fail;
    }
  for (guint i = 0; i < g->agents->len; i++)
    if (strrchr (g_ptr_array_index (g->agents, i), ':') == NULL)
      {
        st = bad (where, "each agent must be written IP:PORT", REMEDY_DOCS);
        goto fail;
      }
  if (g_hash_table_contains (c->groups, g->name))
    {
      st = bad (where, "a group of this name came earlier",
                "give each group one record");
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
parse_intent_v2_groups (json_t *o, const char *where, GPtrArray **out)
{
  json_t *v = json_object_get (o, "groups");
  size_t i;
  json_t *e;

  if (!json_is_array (v) || json_array_size (v) == 0)
    return bad (where,
                "field 'groups' must be a non-empty array of "
                "{\"name\": ...} objects",
                REMEDY_DOCS);
  *out = g_ptr_array_new_with_free_func (g_free);
  json_array_foreach (v, i, e)
  {
    char *name = NULL;

    if (!json_is_object (e) || get_string (e, "name", where, &name) != CF_OK)
      {
        g_clear_pointer (out, g_ptr_array_unref);
        return bad (where, "each entry of 'groups' must have a 'name'",
                    REMEDY_DOCS);
      }
    g_ptr_array_add (*out, name);
  }
  return CF_OK;
}

static CfStatus
parse_intent_v1 (json_t *o, const char *where, CfIntent *it)
{
  g_autofree char *org = NULL;
  g_autofree char *service = NULL;
  g_autofree char *model = NULL;
  gint64 worth = 0;
  CfStatus st;

  st = get_string (o, "org", where, &org);
  if (st == CF_OK)
    st = get_string (o, "service", where, &service);
  if (st == CF_OK)
    st = get_string (o, "model", where, &model);
  if (st == CF_OK)
    st = get_strings (o, "groups", where, &it->groups);
  if (st == CF_OK)
    st = get_int (o, "worth", where, 0, G_MAXINT32, &worth);
  if (st != CF_OK)
    return st;
  it->orgs = one_string (org);
  it->services = one_string (service);
  it->models = one_string (model);
  it->worth_milli = worth * 1000;
  return CF_OK;
}

static CfStatus
parse_intent_v2 (json_t *o, const char *where, CfIntent *it)
{
  json_t *match = json_object_get (o, "match");
  CfStatus st;

  if (!json_is_object (match))
    return bad (where,
                "field 'match' must be an object with 'orgs', "
                "'services' and 'models'",
                REMEDY_DOCS);
  st = get_strings (match, "orgs", where, &it->orgs);
  if (st == CF_OK)
    st = get_strings (match, "services", where, &it->services);
  if (st == CF_OK)
    st = get_strings (match, "models", where, &it->models);
  if (st == CF_OK)
    st = parse_intent_v2_groups (o, where, &it->groups);
  if (st == CF_OK)
    st = get_int (o, "worth_milli", where, 0, G_MAXINT64 / 2, &it->worth_milli);
  return st;
}

static CfStatus
parse_intent (CfConfig *c, json_t *o, int schema, const char *where)
{
  CfIntent *it = g_new0 (CfIntent, 1);
  CfStatus st;

  it->schema = schema;
  st = get_string (o, "name", where, &it->name);
  if (st == CF_OK)
    st = get_int (o, "priority", where, 0, CF_PRIORITY_MAX, &it->priority);
  if (st == CF_OK)
    st = schema == 1 ? parse_intent_v1 (o, where, it)
                     : parse_intent_v2 (o, where, it);
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
parse_record (CfConfig *c, json_t *o, const char *where)
{
  json_t *schema = json_object_get (o, "schema");
  const char *kind;

  if (!json_is_object (o))
    return bad (where, "a record must be a JSON object", REMEDY_DOCS);
  if (!json_is_integer (schema)
      || (json_integer_value (schema) != 1 && json_integer_value (schema) != 2))
    return bad (where, "field 'schema' must be 1 or 2",
                "write the schema version the record follows");
  kind = json_string_value (json_object_get (o, "kind"));
  if (kind && g_str_equal (kind, "group"))
    return parse_group (c, o, where);
  if (kind && g_str_equal (kind, "intent"))
    return parse_intent (c, o, (int)json_integer_value (schema), where);
  return bad (where, "field 'kind' must be \"group\" or \"intent\"",
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
                            "%s: intent '%s' names group '%s', which no "
                            "record defines",
                            origin, it->name, g);
        }
    }
  return CF_OK;
}

/* Checks what all records say together, and hands @c out or frees it. */
static CfStatus
finish (CfConfig *c, CfStatus st, const char *origin, CfConfig **out)
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
      g_autofree char *where = g_strdup_printf ("%s:%d", origin, i + 1);
      const char *line = g_strstrip (lines[i]);
      json_error_t jerr;
      json_t *o;

      if (*line == '\0' || *line == '#')
        continue;
      o = json_loads (line, 0, &jerr);
      if (o == NULL)
        {
          st = cf_fail (CF_ERR_RECORD, "write one JSON object on each line",
                        "%s: column %d: %s", where, jerr.column, jerr.text);
          break;
        }
      st = parse_record (c, o, where);
      json_decref (o);
    }
  return finish (c, st, origin, out);
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
    g_autofree char *where = g_strdup_printf ("%s: record %zu", origin, i + 1);

    st = parse_record (c, o, where);
    if (st != CF_OK)
      break;
  }
  return finish (c, st, origin, out);
}

static gboolean
permits (GPtrArray *names, const char *name)
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

      if (!permits (it->orgs, org) || !permits (it->services, service)
          || !permits (it->models, model))
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
