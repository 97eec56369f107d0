#include "entry-request.h"

#include "log.h"
#include "net.h"

#define KEY_MAX_BYTES 128

void
cf_request_clear (CfRequest *r)
{
  g_free (r->org);
  g_free (r->service);
  g_free (r->model);
  g_free (r->key);
  g_free (r->body);
  cf_config_unref (r->prev_config);
}

/* Returns the field's value, or NULL if it is not a non-empty string. */
static const char *
get_string_field (json_t *o, const char *name)
{
  json_t *v = json_object_get (o, name);

  return json_is_string (v) && json_string_length (v) > 0
             ? json_string_value (v)
             : NULL;
}

void
cf_request_refuse (CfEntry *e, CfRequest *r, CfHttpReply *rep, int code,
                   const char *error, CfRanState ran, gint64 retry_ms,
                   const char *message)
{
  json_t *o = json_pack ("{s:s, s:s, s:s, s:s}", "id", r->id, "error", error,
                         "ran", cf_ran_name (ran), "message", message);

  if (retry_ms > 0)
    json_object_set_new (o, "retry_after_ms", json_integer (retry_ms));
  rep->code = code;
  rep->body = json_dumps (o, JSON_COMPACT);
  rep->retry_after_ms = retry_ms;
  json_decref (o);
  ck_pr_inc_64 (&e->refused);
  cf_log (LOG_INFO, CF_EV_ANSWER, "req=%s code=%d ran=%s error=%s", r->id, code,
          cf_ran_name (ran), error);
}

gboolean
cf_request_parse (CfEntry *e, const CfHttpRequest *req, CfRequest *r,
                  CfHttpReply *rep)
{
  g_autofree char *msg = NULL;
  json_error_t jerr;
  json_t *o = json_loads (req->body, 0, &jerr);
  json_t *v;
  gint64 deadline_ms = e->settings.deadline_ms;
  gboolean ok = FALSE;

  if (!json_is_object (o))
    {
      msg = g_strdup_printf ("body is not a JSON object (line %d: %s); send "
                             "the fields in docs/API.md",
                             jerr.line, jerr.text);
      goto out;
    }
  r->org = g_strdup (get_string_field (o, "org"));
  r->service = g_strdup (get_string_field (o, "service"));
  r->model = g_strdup (get_string_field (o, "model"));
  if (!r->org || !r->service || !r->model)
    {
      msg = g_strdup ("'org', 'service' and 'model' must be non-empty "
                      "strings; name who asks for what");
      goto out;
    }
  v = json_object_get (o, "priority");
  if (v
      && (!json_is_integer (v) || json_integer_value (v) < 0
          || json_integer_value (v) > CF_PRIORITY_MAX))
    {
      msg = g_strdup ("'priority' must be an integer from 0 to 9");
      goto out;
    }
  r->priority = v ? json_integer_value (v) : 0;
  v = json_object_get (o, "deadline_ms");
  if (v
      && (!json_is_integer (v) || json_integer_value (v) < 1
          || json_integer_value (v) > CF_DEADLINE_MAX_MS))
    {
      msg = g_strdup ("'deadline_ms' must be an integer from 1 to 600000");
      goto out;
    }
  if (v)
    deadline_ms = json_integer_value (v);
  v = json_object_get (o, "worth");
  if (v && (!json_is_number (v) || json_number_value (v) < 0))
    {
      msg = g_strdup ("'worth' must be a number of 0 or more");
      goto out;
    }
  v = json_object_get (o, "idempotency_key");
  if (v
      && (!json_is_string (v) || json_string_length (v) == 0
          || json_string_length (v) > KEY_MAX_BYTES))
    {
      msg = g_strdup ("'idempotency_key' must be a string of 1 to 128 bytes");
      goto out;
    }
  r->key = v ? g_strdup (json_string_value (v)) : NULL;
  v = json_object_get (o, "body");
  if (v == NULL)
    {
      msg = g_strdup ("'body' is missing; give what the target should get");
      goto out;
    }
  if (r->key && json_object_get (o, "deadline_ms") == NULL)
    deadline_ms = MIN (deadline_ms, e->settings.key_horizon_ms);
  if (r->key && deadline_ms > e->settings.key_horizon_ms)
    {
      msg = g_strdup_printf ("'deadline_ms' of a call with an idempotency key "
                             "must be at most %" G_GINT64_FORMAT,
                             e->settings.key_horizon_ms);
      goto out;
    }
  r->body = json_dumps (v, JSON_COMPACT | JSON_ENCODE_ANY);
  r->deadline_at_ms = cf_now_ms () + deadline_ms;
  ok = TRUE;
out:
  if (!ok)
    cf_request_refuse (e, r, rep, 400, "bad-request", CF_RAN_NO, 0, msg);
  json_decref (o);
  return ok;
}

void
cf_request_answer (CfEntry *e, CfRequest *r, CfHttpReply *rep, CfMsg *m,
                   const char *addr)
{
  json_t *inner = json_loads (m->u.answer.body ? m->u.answer.body : "null",
                              JSON_DECODE_ANY, NULL);
  json_t *o = json_pack ("{s:s, s:s, s:s, s:s}", "id", r->id, "ran", "yes",
                         "group", r->group->name, "target", addr);

  json_object_set_new (o, "answer",
                       inner ? inner : json_string (m->u.answer.body));
  rep->code = (int)m->u.answer.code;
  rep->body = json_dumps (o, JSON_COMPACT);
  json_decref (o);
  ck_pr_inc_64 (&e->answered);
  cf_log (LOG_INFO, CF_EV_ANSWER, "req=%s code=%d ran=yes target=%s", r->id,
          rep->code, addr);
}
