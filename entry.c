#include "entry.h"

#include "claim.h"
#include "log.h"
#include "net.h"
#include "route.h"

#include <jansson.h>
#include <string.h>
#include <unistd.h>

#define KEY_MAX 128
#define DEADLINE_MAX_MS 600000

const char cf_entry_defaults[] = "[entry]\n"
                                 "name = \"e1\"\n"
                                 "listen = \"127.0.0.1:8080\"\n"
                                 "datacentre = \"dc1\"\n"
                                 "max_in_flight = 512\n"
                                 "deadline_ms = 10000\n"
                                 "key_horizon_ms = 5000\n"
                                 "max_attempts = 3\n"
                                 "retry_after_ms = 1000\n"
                                 "low_priority_share = 80\n"
                                 "fair_reserve = 10\n"
                                 "retry_percent = 20\n"
                                 "retry_slack = 20\n"
                                 "[config]\n"
                                 "url = \"http://127.0.0.1:7000\"\n"
                                 "watch_wait_ms = 5000\n"
                                 "[peers]\n"
                                 "listen = \"off\"\n"
                                 "urls = []\n"
                                 "[vmlist]\n"
                                 "url = \"http://127.0.0.1:7001\"\n"
                                 "poll_ms = 500\n";

const char *const cf_entry_keys[] = {
  "entry.name",
  "entry.listen",
  "entry.datacentre",
  "entry.max_in_flight",
  "entry.deadline_ms",
  "entry.key_horizon_ms",
  "entry.max_attempts",
  "entry.retry_after_ms",
  "entry.low_priority_share",
  "entry.fair_reserve",
  "entry.retry_percent",
  "entry.retry_slack",
  "config.url",
  "config.watch_wait_ms",
  "peers.listen",
  "peers.urls",
  "vmlist.url",
  "vmlist.poll_ms",
  NULL,
};

CfStatus
cf_entry_settings_read (CfSettings *s, CfEntrySettings *o)
{
  CfStatus st;

  st = cf_settings_only (s, cf_entry_keys);
  if (st == CF_OK)
    st = cf_settings_string (s, "entry", "name", &o->name);
  if (st == CF_OK)
    st = cf_settings_string (s, "entry", "listen", &o->listen);
  if (st == CF_OK)
    st = cf_settings_string (s, "entry", "datacentre", &o->datacentre);
  if (st == CF_OK)
    st = cf_settings_int (s, "entry", "max_in_flight", 1, 1000000,
                          &o->max_in_flight);
  if (st == CF_OK)
    st = cf_settings_int (s, "entry", "deadline_ms", 1, DEADLINE_MAX_MS,
                          &o->deadline_ms);
  if (st == CF_OK)
    st = cf_settings_int (s, "entry", "key_horizon_ms", 1, DEADLINE_MAX_MS,
                          &o->key_horizon_ms);
  if (st == CF_OK)
    st = cf_settings_int (s, "entry", "max_attempts", 1, 16, &o->max_attempts);
  if (st == CF_OK)
    st = cf_settings_int (s, "entry", "retry_after_ms", 1, 3600000,
                          &o->retry_after_ms);
  if (st == CF_OK)
    st = cf_settings_int (s, "entry", "low_priority_share", 0, 100,
                          &o->low_priority_share);
  if (st == CF_OK)
    st = cf_settings_int (s, "entry", "fair_reserve", 0, 100, &o->fair_reserve);
  if (st == CF_OK)
    st = cf_settings_int (s, "entry", "retry_percent", 0, 1000,
                          &o->retry_percent);
  if (st == CF_OK)
    st = cf_settings_int (s, "entry", "retry_slack", 1, 100000,
                          &o->retry_slack);
  if (st == CF_OK)
    st = cf_settings_string (s, "config", "url", &o->config_url);
  if (st == CF_OK)
    st = cf_settings_int (s, "config", "watch_wait_ms", 100, 60000,
                          &o->watch_wait_ms);
  if (st == CF_OK)
    st = cf_settings_string (s, "peers", "listen", &o->peer_listen);
  if (st == CF_OK)
    st = cf_settings_strings (s, "peers", "urls", &o->peers);
  if (st == CF_OK)
    st = cf_settings_string (s, "vmlist", "url", &o->vmlist_url);
  if (st == CF_OK)
    st = cf_settings_int (s, "vmlist", "poll_ms", 50, 60000,
                          &o->vmlist_poll_ms);
  return st;
}

/* What lives for one caller request. */
typedef struct
{
  char id[64];
  char *org;
  char *service;
  char *model;
  char *key;
  char *body;
  gint64 priority;
  long long deadline_at;
  gboolean admitted;       /**< counts in the entry's admission */
  gboolean maybe_ran;      /**< sent once with no reply: fate unknown */
  gboolean reached_target; /**< the last try put load on a target */
  gint64 attempts;
  const char *last_reason; /**< why the last try did not end it */
  gint64 retry_hint_ms;
  const CfConfig *config;
  CfConfig *prev_config; /**< what other entries may still route by */
  const CfIntent *intent;
  const CfGroup *group;
  char token[96];   /**< this sending, to the key's guards */
  gboolean claimed; /**< a majority of the guards granted the key */
} Request;

static void
request_clear (Request *r)
{
  g_free (r->org);
  g_free (r->service);
  g_free (r->model);
  g_free (r->key);
  g_free (r->body);
  cf_config_unref (r->prev_config);
}

static void
on_config (void *data, CfConfig *c)
{
  CfEntry *e = data;
  GHashTableIter it;
  gpointer v;

  cf_link_table_set_config (&e->links, c->version);
  /* Connect to every agent now, so that the first request pays nothing. */
  g_hash_table_iter_init (&it, c->groups);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      CfGroup *g = v;

      for (guint i = 0; i < g->agents->len; i++)
        cf_link_table_get (&e->links, g_ptr_array_index (g->agents, i));
    }
}

static const char *
field_string (json_t *o, const char *name)
{
  json_t *v = json_object_get (o, name);

  return json_is_string (v) && json_string_length (v) > 0
             ? json_string_value (v)
             : NULL;
}

static void
refuse (CfEntry *e, Request *r, CfHttpReply *rep, int code, const char *what,
        CfRan ran, gint64 retry_ms, const char *message)
{
  json_t *o = json_pack ("{s:s, s:s, s:s, s:s}", "id", r->id, "error", what,
                         "ran", cf_ran_name (ran), "message", message);

  if (retry_ms > 0)
    json_object_set_new (o, "retry_after_ms", json_integer (retry_ms));
  rep->code = code;
  rep->body = json_dumps (o, JSON_COMPACT);
  rep->retry_after_ms = retry_ms;
  json_decref (o);
  ck_pr_inc_64 (&e->refused);
  cf_log (LOG_INFO, CF_EV_ANSWER, "req=%s code=%d ran=%s error=%s", r->id, code,
          cf_ran_name (ran), what);
}

/* Reads the caller's JSON into @r; on a fault refuses it and returns FALSE. */
static gboolean
parse_request (CfEntry *e, const CfHttpRequest *req, Request *r,
               CfHttpReply *rep)
{
  g_autofree char *msg = NULL;
  json_error_t jerr;
  json_t *o = json_loads (req->body, 0, &jerr);
  json_t *v;
  gint64 deadline = e->set.deadline_ms;
  gboolean ok = FALSE;

  if (!json_is_object (o))
    {
      msg = g_strdup_printf ("body is not a JSON object (line %d: %s); send "
                             "the fields in docs/API.md",
                             jerr.line, jerr.text);
      goto out;
    }
  r->org = g_strdup (field_string (o, "org"));
  r->service = g_strdup (field_string (o, "service"));
  r->model = g_strdup (field_string (o, "model"));
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
          || json_integer_value (v) > DEADLINE_MAX_MS))
    {
      msg = g_strdup ("'deadline_ms' must be an integer from 1 to 600000");
      goto out;
    }
  if (v)
    deadline = json_integer_value (v);
  v = json_object_get (o, "worth");
  if (v && (!json_is_number (v) || json_number_value (v) < 0))
    {
      msg = g_strdup ("'worth' must be a number of 0 or more");
      goto out;
    }
  v = json_object_get (o, "idempotency_key");
  if (v
      && (!json_is_string (v) || json_string_length (v) == 0
          || json_string_length (v) > KEY_MAX))
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
    deadline = MIN (deadline, e->set.key_horizon_ms);
  if (r->key && deadline > e->set.key_horizon_ms)
    {
      msg = g_strdup_printf ("'deadline_ms' of a call with an idempotency key "
                             "must be at most %" G_GINT64_FORMAT,
                             e->set.key_horizon_ms);
      goto out;
    }
  r->body = json_dumps (v, JSON_COMPACT | JSON_ENCODE_ANY);
  r->deadline_at = cf_now_ms () + deadline;
  ok = TRUE;
out:
  if (!ok)
    refuse (e, r, rep, 400, "bad-request", CF_RAN_NO, 0, msg);
  json_decref (o);
  return ok;
}

static void
answer (CfEntry *e, Request *r, CfHttpReply *rep, CfMsg *m, const char *addr)
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

/* Fills @c with the group's targets as this entry sees them now. */
static size_t
candidates (CfEntry *e, Request *r, CfCandidate *c, GHashTable *tried)
{
  size_t n = r->group->agents->len;

  for (size_t i = 0; i < n; i++)
    {
      const char *addr = g_ptr_array_index (r->group->agents, i);
      CfLink *l = cf_link_table_get (&e->links, addr);
      gint64 outstanding;
      CfLoad load;
      gboolean up = cf_link_snapshot (l, &load, &outstanding);

      c[i].addr = addr;
      c[i].load = MAX (load.in_flight + load.queued, outstanding);
      c[i].excluded = !up || load.draining || cf_vm_list_leaving (&e->vms, addr)
                      || g_hash_table_contains (tried, addr);
    }
  return cf_route_order (c, n, r->key, r->id);
}

static const char *
exclusion (CfEntry *e, const char *addr, GHashTable *tried)
{
  CfLoad load;
  gint64 outstanding;

  if (g_hash_table_contains (tried, addr))
    return "tried";
  if (cf_vm_list_leaving (&e->vms, addr))
    return "leaving";
  if (!cf_link_snapshot (cf_link_table_get (&e->links, addr), &load,
                         &outstanding))
    return "down";
  return load.draining ? "draining" : "usable";
}

/* Sends @r to the agent at @addr once, with @left ms of its deadline. */
static CfCallResult
send_to (CfEntry *e, Request *r, const char *addr, CfKeyed keyed,
         long long left, CfMsg *reply)
{
  CfMsg req = { .kind = CF_MSG_REQUEST, .config = r->config->version };

  req.u.request.org = r->org;
  req.u.request.service = r->service;
  req.u.request.model = r->model;
  req.u.request.key = r->key;
  req.u.request.body = r->body;
  req.u.request.path
      = r->group->kind == CF_TARGET_ENGINE ? "/v1/generate" : "/v1/call";
  req.u.request.rid = r->id;
  req.u.request.keyed = keyed;
  req.u.request.priority = r->priority;
  req.u.request.deadline_ms = left;
  return cf_link_call (cf_link_table_get (&e->links, addr), &req,
                       r->deadline_at, reply);
}

/* No target could take @r: logs why for each and answers at once. */
static void
give_up (CfEntry *e, Request *r, CfHttpReply *rep, GHashTable *tried)
{
  g_autofree char *m = NULL;

  for (guint g = 0; g < r->intent->groups->len; g++)
    {
      const CfGroup *group = cf_config_group (
          r->config, g_ptr_array_index (r->intent->groups, g));

      for (guint i = 0; i < group->agents->len; i++)
        {
          const char *addr = g_ptr_array_index (group->agents, i);

          cf_log (LOG_INFO, CF_EV_NO_ROUTE,
                  "req=%s group=%s target=%s state=%s", r->id, group->name,
                  addr, exclusion (e, addr, tried));
        }
    }
  m = g_strdup_printf ("no target of intent '%s' could take the request (%s); "
                       "come back after retry_after_ms",
                       r->intent->name, r->last_reason);
  refuse (e, r, rep, 503, "unavailable",
          r->maybe_ran ? CF_RAN_UNKNOWN : CF_RAN_NO,
          MAX (r->retry_hint_ms, e->set.retry_after_ms), m);
}

/* Another sending holds @r's key: asks its runner for the kept answer. */
static void
replay (CfEntry *e, Request *r, CfHttpReply *rep, const char *runner)
{
  CfMsg reply = { 0 };
  long long left = r->deadline_at - cf_now_ms ();

  if (runner
      && send_to (e, r, runner, CF_KEYED_REPLAY, left, &reply) == CF_CALL_REPLY
      && reply.kind == CF_MSG_ANSWER)
    answer (e, r, rep, &reply, runner);
  else
    refuse (e, r, rep, 409, "fate-unknown", CF_RAN_UNKNOWN,
            e->set.retry_after_ms,
            "the call was sent before and may have run; retry with the same "
            "idempotency key");
  cf_msg_clear (&reply);
}

/*
 * Claims @r's key from its guards before it is sent to @addr.
 * Returns: %TRUE if it may be sent; otherwise @r has its final answer.
 */
static gboolean
claim (CfEntry *e, Request *r, CfHttpReply *rep, const char *addr)
{
  CfClaim c = { .key = r->key, .token = r->token, .runner = addr };
  CfClaimResult res = cf_claim_take (&e->links, r->config, r->prev_config, &c,
                                     r->deadline_at);

  cf_log (LOG_INFO, CF_EV_CLAIM, "req=%s target=%s result=%s granted=%u/%u",
          r->id, addr,
          res == CF_CLAIM_TAKEN       ? "taken"
          : res == CF_CLAIM_ELSEWHERE ? "elsewhere"
                                      : "no-majority",
          c.granted, c.guards);
  r->claimed = res == CF_CLAIM_TAKEN;
  switch (res)
    {
    case CF_CLAIM_TAKEN:
      break;
    case CF_CLAIM_ELSEWHERE:
      replay (e, r, rep, c.holder);
      break;
    case CF_CLAIM_NO_MAJORITY:
      refuse (e, r, rep, 503, "guards-unavailable", CF_RAN_NO,
              MAX (c.retry_ms, e->set.retry_after_ms),
              "too few guards of the idempotency key could vouch for it; come "
              "back after retry_after_ms");
      break;
    }
  g_free (c.holder);
  return r->claimed;
}

/* The final answer says that @r did not run: a retry may claim its key. */
static void
release (CfEntry *e, Request *r)
{
  CfClaim c = { .key = r->key, .token = r->token, .runner = "" };

  if (r->claimed)
    cf_claim_release (&e->links, r->config, r->prev_config, &c);
  r->claimed = FALSE;
}

/* What a target's refusal means for @r; TRUE if @r has its final answer. */
static gboolean
take_refusal (CfEntry *e, Request *r, CfHttpReply *rep, const char *addr,
              const CfMsg *m)
{
  const char *reason = m->u.refusal.reason;

  r->retry_hint_ms = MAX (r->retry_hint_ms, m->u.refusal.retry_after_ms);
  if (m->u.refusal.ran != CF_RAN_NO)
    {
      g_autofree char *text = g_strdup_printf (
          "the target refused after it may have run: %s; retry with the same "
          "idempotency key",
          reason);

      refuse (e, r, rep, 409, "fate-unknown", m->u.refusal.ran,
              MAX (r->retry_hint_ms, e->set.retry_after_ms), text);
      return TRUE;
    }
  r->last_reason = "refused";
  if (g_str_equal (reason, CF_REASON_CONFIG_BEHIND))
    cf_config_watch_doubt (&e->watch);
  cf_log (LOG_INFO, CF_EV_RETRY, "req=%s target=%s reason=%s ran=no", r->id,
          addr, reason);
  return FALSE;
}

/* The link to @addr was lost, or silent to the deadline, with @r sent; TRUE
 * if @r has its final answer. */
static gboolean
take_loss (CfEntry *e, Request *r, CfHttpReply *rep, const char *addr,
           gboolean timeout)
{
  r->maybe_ran = TRUE;
  if (r->key || timeout)
    {
      refuse (e, r, rep, 504, timeout ? "deadline" : "link-lost",
              CF_RAN_UNKNOWN, e->set.retry_after_ms,
              "the target may have run the request; a call with an "
              "idempotency key may be sent again with the same key");
      return TRUE;
    }
  r->last_reason = "link-lost";
  cf_log (LOG_INFO, CF_EV_RETRY,
          "req=%s target=%s reason=link-lost ran=unknown", r->id, addr);
  return FALSE;
}

/* Sends @r to one target; TRUE if @r has its final answer. */
static gboolean
try_target (CfEntry *e, Request *r, CfHttpReply *rep, const char *addr)
{
  CfMsg reply = { 0 };
  gboolean final = FALSE;

  r->attempts++;
  cf_log (LOG_INFO, CF_EV_ROUTE,
          "req=%s org=%s service=%s model=%s intent=%s group=%s target=%s "
          "attempt=%" G_GINT64_FORMAT " reason=%s",
          r->id, r->org, r->service, r->model, r->intent->name, r->group->name,
          addr, r->attempts, r->key ? "key-owner" : "least-loaded");
  if (r->key && !claim (e, r, rep, addr))
    return TRUE;
  r->reached_target = TRUE;
  switch (send_to (e, r, addr,
                   r->claimed ? CF_KEYED_CLAIMED : CF_KEYED_UNCLAIMED,
                   r->deadline_at - cf_now_ms (), &reply))
    {
    case CF_CALL_REPLY:
      if (reply.kind == CF_MSG_ANSWER)
        {
          answer (e, r, rep, &reply, addr);
          final = TRUE;
        }
      else
        final = take_refusal (e, r, rep, addr, &reply);
      break;
    case CF_CALL_NOT_SENT:
      r->reached_target = FALSE;
      r->last_reason = "link-down";
      cf_log (LOG_INFO, CF_EV_RETRY, "req=%s target=%s reason=link-down ran=no",
              r->id, addr);
      break;
    case CF_CALL_LOST:
      final = take_loss (e, r, rep, addr, FALSE);
      break;
    case CF_CALL_TIMEOUT:
      final = take_loss (e, r, rep, addr, TRUE);
      break;
    }
  cf_msg_clear (&reply);
  return final;
}

/* Whether one more try may be made; a retry after one that reached a
 * target is charged to the retry budget. */
static gboolean
may_try (CfEntry *e, Request *r)
{
  if (r->attempts == 0)
    return TRUE;
  if (r->attempts >= e->set.max_attempts)
    return FALSE;
  if (r->reached_target && !cf_retry_budget_take (&e->retry_budget))
    {
      r->last_reason = "retry-budget";
      return FALSE;
    }
  ck_pr_inc_64 (&e->retries);
  return TRUE;
}

/* Tries the targets of one group; TRUE if @r has its final answer. */
static gboolean
try_group (CfEntry *e, Request *r, CfHttpReply *rep, GHashTable *tried)
{
  g_autofree CfCandidate *c = g_new0 (CfCandidate, r->group->agents->len);

  while (candidates (e, r, c, tried) > 0 && may_try (e, r))
    {
      const char *addr = c[0].addr;

      if (r->deadline_at <= cf_now_ms ())
        {
          if (!r->maybe_ran)
            release (e, r);
          refuse (e, r, rep, 504, "deadline",
                  r->maybe_ran ? CF_RAN_UNKNOWN : CF_RAN_NO, 0,
                  "the deadline passed before a target answered");
          return TRUE;
        }
      g_hash_table_add (tried, (gpointer)addr);
      if (try_target (e, r, rep, addr))
        return TRUE;
    }
  return FALSE;
}

/* Tries the intent's groups in the operators' order of preference until a
 * target answers, or no other try is safe or useful. */
static void
route (CfEntry *e, Request *r, CfHttpReply *rep)
{
  g_autoptr (GHashTable) tried = g_hash_table_new (g_str_hash, g_str_equal);

  cf_retry_budget_request (&e->retry_budget);
  for (guint i = 0; i < r->intent->groups->len; i++)
    {
      r->group = cf_config_group (r->config,
                                  g_ptr_array_index (r->intent->groups, i));
      if (try_group (e, r, rep, tried))
        return;
    }
  if (!r->maybe_ran)
    release (e, r);
  give_up (e, r, rep, tried);
}

/* Takes @r on, or refuses it for want of room. */
static gboolean
admit (CfEntry *e, Request *r, CfHttpReply *rep)
{
  CfAdmit res = cf_admission_enter (&e->admission, r->org, r->priority);

  r->admitted = res == CF_ADMIT_OK;
  if (r->admitted)
    return TRUE;
  cf_log (LOG_INFO, CF_EV_ADMIT_REFUSE,
          "req=%s org=%s priority=%" G_GINT64_FORMAT " reason=%s", r->id,
          r->org, r->priority,
          res == CF_ADMIT_FULL ? "overloaded" : "fair-share");
  if (res == CF_ADMIT_FULL)
    refuse (e, r, rep, 503, "overloaded", CF_RAN_NO, e->set.retry_after_ms,
            "the entry is at its admission limit; come back after "
            "retry_after_ms");
  else
    refuse (e, r, rep, 429, "fair-share", CF_RAN_NO, e->set.retry_after_ms,
            "the organisation is at its fair share of a full entry; come back "
            "after retry_after_ms");
  return FALSE;
}

static void
handle_request (CfEntry *e, const CfHttpRequest *req, CfHttpReply *rep)
{
  Request r = { .last_reason = "no-target" };
  CfConfig *c = NULL;

  g_snprintf (r.id, sizeof r.id, "%s-%" G_GUINT64_FORMAT, e->set.name,
              (guint64)__atomic_add_fetch (&e->seq, 1, __ATOMIC_RELAXED));
  g_atomic_int_inc (&e->in_flight);
  if (!parse_request (e, req, &r, rep))
    goto out;
  if (g_atomic_int_get (&e->draining))
    {
      refuse (e, &r, rep, 503, "draining", CF_RAN_NO, e->set.retry_after_ms,
              "this entry is shutting down; send the request to another");
      goto out;
    }
  c = cf_config_watch_get (&e->watch);
  if (c == NULL)
    {
      refuse (e, &r, rep, 503, "no-config", CF_RAN_NO, e->set.retry_after_ms,
              "no configuration is in force yet; check the config service");
      goto out;
    }
  r.intent = cf_config_match (c, r.org, r.service, r.model);
  if (r.intent == NULL)
    {
      cf_log (LOG_INFO, CF_EV_NO_ROUTE,
              "req=%s org=%s service=%s model=%s "
              "reason=no-intent",
              r.id, r.org, r.service, r.model);
      refuse (e, &r, rep, 403, "no-intent", CF_RAN_NO, 0,
              "no routing intent permits this organisation, service and "
              "model; ask an operator to add one");
      goto out;
    }
  r.config = c;
  if (r.key)
    {
      r.prev_config
          = cf_config_watch_previous (&e->watch, e->set.key_horizon_ms);
      g_snprintf (r.token, sizeof r.token, "%s-%016" G_GINT64_MODIFIER "x",
                  r.id, e->boot);
    }
  r.priority = MIN (r.priority, r.intent->priority);
  if (admit (e, &r, rep))
    route (e, &r, rep);
out:
  if (r.admitted)
    cf_admission_leave (&e->admission, r.org);
  g_atomic_int_add (&e->in_flight, -1);
  cf_config_unref (c);
  request_clear (&r);
}

static void
handle_health (CfEntry *e, CfHttpReply *rep)
{
  CfConfig *c = cf_config_watch_get (&e->watch);
  CfLinkTotals links = cf_link_table_totals (&e->links);
  json_t *o;

  o = json_pack ("{s:I, s:I, s:I, s:i, s:b, s:I, s:I, s:I, s:I}",
                 "config_version", (json_int_t)(c ? c->version : 0), "links_up",
                 (json_int_t)links.up, "guards_quiet", (json_int_t)links.quiet,
                 "in_flight", g_atomic_int_get (&e->in_flight), "draining",
                 g_atomic_int_get (&e->draining), "answered",
                 (json_int_t)e->answered, "refused", (json_int_t)e->refused,
                 "retries", (json_int_t)e->retries, "pings",
                 (json_int_t)links.pings);
  rep->body = json_dumps (o, JSON_COMPACT);
  json_decref (o);
  cf_config_unref (c);
}

static void
on_http (void *data, const CfHttpRequest *req, CfHttpReply *rep)
{
  CfEntry *e = data;

  if (g_str_equal (req->path, "/v1/requests")
      && g_str_equal (req->method, "POST"))
    handle_request (e, req, rep);
  else if (g_str_equal (req->path, "/v1/health"))
    handle_health (e, rep);
  else
    cf_http_reply_error (rep, 404, "not-found",
                         "use POST /v1/requests or GET /v1/health");
}

/* What the other entries may ask; on an address that callers do not reach. */
static void
on_peer (void *data, const CfHttpRequest *req, CfHttpReply *rep)
{
  CfEntry *e = data;

  if (g_str_equal (req->path, "/v1/config"))
    cf_config_watch_serve (&e->watch, req, rep);
  else
    cf_http_reply_error (rep, 404, "not-found", "use GET /v1/config?after=N");
}

CfStatus
cf_entry_start (CfEntry *e)
{
  CfStatus st;

  cf_link_table_init (&e->links);
  cf_admission_init (&e->admission, e->set.max_in_flight,
                     e->set.low_priority_share, e->set.fair_reserve);
  cf_retry_budget_init (&e->retry_budget, e->set.retry_percent,
                        e->set.retry_slack);
  e->boot = (guint64)g_random_int () << 32 | g_random_int ();
  if (!g_str_equal (e->set.peer_listen, "off"))
    {
      st = cf_http_server_start (e->set.peer_listen, on_peer, e, &e->peer_http);
      if (st != CF_OK)
        return st;
    }
  cf_config_watch_start (&e->watch, e->set.config_url, e->set.peers,
                         e->set.watch_wait_ms, on_config, e);
  cf_vm_list_start (&e->vms, e->set.vmlist_url, e->set.vmlist_poll_ms);
  st = cf_http_server_start (e->set.listen, on_http, e, &e->http);
  if (st == CF_OK)
    cf_log (LOG_INFO, CF_EV_LISTEN, "addr=%s datacentre=%s", e->set.listen,
            e->set.datacentre);
  return st;
}

void
cf_entry_drain (CfEntry *e, gint64 grace_ms)
{
  long long until = cf_now_ms () + grace_ms;

  g_atomic_int_set (&e->draining, 1);
  cf_log (LOG_NOTICE, CF_EV_DRAIN_BEGIN, "in_flight=%d",
          g_atomic_int_get (&e->in_flight));
  cf_http_server_quiesce (e->http);
  while (g_atomic_int_get (&e->in_flight) > 0 && cf_now_ms () < until)
    usleep (10000);
  cf_log (LOG_NOTICE, CF_EV_DRAIN_DONE, "in_flight=%d",
          g_atomic_int_get (&e->in_flight));
  cf_http_server_stop (e->http);
  cf_http_server_stop (e->peer_http);
}
