#include "wire.h"

#include "net.h"

#include <arpa/inet.h>
#include <msgpack.h>
#include <string.h>

static void
pack_str (msgpack_packer *pk, const char *s)
{
  size_t n = strlen (s);

  msgpack_pack_str (pk, n);
  msgpack_pack_str_body (pk, s, n);
}

static void
pack_kv_str (msgpack_packer *pk, const char *k, const char *v)
{
  pack_str (pk, k);
  if (v)
    pack_str (pk, v);
  else
    msgpack_pack_nil (pk);
}

static void
pack_kv_int (msgpack_packer *pk, const char *k, gint64 v)
{
  pack_str (pk, k);
  msgpack_pack_int64 (pk, v);
}

static int
count_fields (CfMsgKind kind)
{
  switch (kind)
    {
    case CF_MSG_REQUEST:
      return 10;
    case CF_MSG_ANSWER:
      return 2;
    case CF_MSG_REFUSAL:
      return 3;
    case CF_MSG_STATUS:
      return 3;
    case CF_MSG_ORDER:
      return 3;
    case CF_MSG_CLAIM:
    case CF_MSG_RELEASE:
      return 3;
    case CF_MSG_CLAIMED:
      return 2;
    case CF_MSG_CANCEL:
      return 1;
    case CF_MSG_PING:
    case CF_MSG_DRAIN:
      return 0;
    }
  return 0;
}

GByteArray *
cf_msg_encode (const CfMsg *m)
{
  msgpack_sbuffer sb;
  msgpack_packer pk;
  GByteArray *out;
  guint32 len;

  msgpack_sbuffer_init (&sb);
  msgpack_packer_init (&pk, &sb, msgpack_sbuffer_write);
  msgpack_pack_map (&pk, 5 + count_fields (m->kind));
  pack_kv_int (&pk, "v", CF_WIRE_VERSION);
  pack_kv_int (&pk, "k", m->kind);
  pack_str (&pk, "id");
  msgpack_pack_uint64 (&pk, m->id);
  pack_kv_int (&pk, "cfg", m->config);
  pack_str (&pk, "load");
  msgpack_pack_array (&pk, 4);
  msgpack_pack_int64 (&pk, m->load.in_flight);
  msgpack_pack_int64 (&pk, m->load.queued);
  if (m->load.draining)
    msgpack_pack_true (&pk);
  else
    msgpack_pack_false (&pk);
  msgpack_pack_int64 (&pk, m->load.quiet_remaining_ms);

  switch (m->kind)
    {
    case CF_MSG_REQUEST:
      pack_kv_str (&pk, "org", m->u.request.org);
      pack_kv_str (&pk, "service", m->u.request.service);
      pack_kv_str (&pk, "model", m->u.request.model);
      pack_kv_str (&pk, "key", m->u.request.key);
      pack_kv_str (&pk, "body", m->u.request.body);
      pack_kv_str (&pk, "path", m->u.request.path);
      pack_kv_str (&pk, "rid", m->u.request.rid);
      pack_kv_int (&pk, "keyed", m->u.request.key_state);
      pack_kv_int (&pk, "prio", m->u.request.priority);
      pack_kv_int (&pk, "deadline", m->u.request.deadline_ms);
      break;
    case CF_MSG_ANSWER:
      pack_kv_int (&pk, "code", m->u.answer.code);
      pack_kv_str (&pk, "body", m->u.answer.body);
      break;
    case CF_MSG_REFUSAL:
      pack_kv_int (&pk, "ran", m->u.refusal.ran);
      pack_kv_str (&pk, "reason", m->u.refusal.reason);
      pack_kv_int (&pk, "retry", m->u.refusal.retry_after_ms);
      break;
    case CF_MSG_STATUS:
      pack_kv_int (&pk, "fence", m->u.status.fence);
      pack_kv_int (&pk, "served", m->u.status.served);
      pack_kv_int (&pk, "refused", m->u.status.refused);
      break;
    case CF_MSG_ORDER:
      pack_kv_int (&pk, "fence", m->u.order.fence);
      pack_kv_str (&pk, "op", m->u.order.op);
      pack_kv_str (&pk, "args", m->u.order.args);
      break;
    case CF_MSG_CLAIM:
    case CF_MSG_RELEASE:
      pack_kv_str (&pk, "key", m->u.claim.key);
      pack_kv_str (&pk, "token", m->u.claim.token);
      pack_kv_str (&pk, "runner", m->u.claim.runner);
      break;
    case CF_MSG_CLAIMED:
      pack_kv_int (&pk, "verdict", m->u.claimed.verdict);
      pack_kv_str (&pk, "runner", m->u.claimed.runner);
      break;
    case CF_MSG_CANCEL:
      pack_kv_str (&pk, "rid", m->u.cancel.rid);
      break;
    case CF_MSG_PING:
    case CF_MSG_DRAIN:
      break;
    }

  out = g_byte_array_sized_new (sb.size + 4);
  len = htonl ((guint32)sb.size);
  g_byte_array_append (out, (const guint8 *)&len, 4);
  g_byte_array_append (out, (const guint8 *)sb.data, sb.size);
  msgpack_sbuffer_destroy (&sb);
  return out;
}

static gboolean
is_key (const msgpack_object *k, const char *name)
{
  size_t n = strlen (name);

  return k->type == MSGPACK_OBJECT_STR && k->via.str.size == n
         && memcmp (k->via.str.ptr, name, n) == 0;
}

static CfStatus
get_int (const msgpack_object *v, const char *name, gint64 *out)
{
  if (v->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
    *out = (gint64)v->via.u64;
  else if (v->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    *out = v->via.i64;
  else
    return cf_fail (CF_ERR_PROTO, "upgrade the peer to the same wire version",
                    "field '%s' is not an integer", name);
  return CF_OK;
}

static CfStatus
get_str (const msgpack_object *v, const char *name, char **out)
{
  if (v->type == MSGPACK_OBJECT_NIL)
    return CF_OK;
  if (v->type != MSGPACK_OBJECT_STR)
    return cf_fail (CF_ERR_PROTO, "upgrade the peer to the same wire version",
                    "field '%s' is not a string", name);
  g_free (*out);
  *out = g_strndup (v->via.str.ptr, v->via.str.size);
  return CF_OK;
}

static CfStatus
decode_load (const msgpack_object *v, CfLoad *load)
{
  const msgpack_object *a;

  if (v->type != MSGPACK_OBJECT_ARRAY || v->via.array.size < 4)
    return cf_fail (CF_ERR_PROTO, "upgrade the peer to the same wire version",
                    "field 'load' is not an array of at least 4 elements");
  a = v->via.array.ptr;
  if (get_int (&a[0], "load", &load->in_flight) != CF_OK
      || get_int (&a[1], "load", &load->queued) != CF_OK
      || get_int (&a[3], "load", &load->quiet_remaining_ms) != CF_OK)
    return CF_ERR_PROTO;
  load->draining = a[2].type == MSGPACK_OBJECT_BOOLEAN && a[2].via.boolean;
  return CF_OK;
}

static CfStatus
decode_field (const msgpack_object *k, const msgpack_object *v, CfMsg *m)
{
  gint64 n = 0;

  if (is_key (k, "id"))
    {
      if (get_int (v, "id", &n) != CF_OK)
        return CF_ERR_PROTO;
      m->id = (guint64)n;
      return CF_OK;
    }
  if (is_key (k, "cfg"))
    return get_int (v, "cfg", &m->config);
  if (is_key (k, "load"))
    return decode_load (v, &m->load);

  switch (m->kind)
    {
    case CF_MSG_REQUEST:
      if (is_key (k, "org"))
        return get_str (v, "org", &m->u.request.org);
      if (is_key (k, "service"))
        return get_str (v, "service", &m->u.request.service);
      if (is_key (k, "model"))
        return get_str (v, "model", &m->u.request.model);
      if (is_key (k, "key"))
        return get_str (v, "key", &m->u.request.key);
      if (is_key (k, "body"))
        return get_str (v, "body", &m->u.request.body);
      if (is_key (k, "path"))
        return get_str (v, "path", &m->u.request.path);
      if (is_key (k, "rid"))
        return get_str (v, "rid", &m->u.request.rid);
      if (is_key (k, "keyed"))
        {
          if (get_int (v, "keyed", &n) != CF_OK)
            return CF_ERR_PROTO;
          /* An unknown value must never let the call run. */
          m->u.request.key_state = n == CF_KEY_UNCLAIMED ? CF_KEY_UNCLAIMED
                                   : n == CF_KEY_CLAIMED ? CF_KEY_CLAIMED
                                                         : CF_KEY_REPLAY;
          return CF_OK;
        }
      if (is_key (k, "prio"))
        return get_int (v, "prio", &m->u.request.priority);
      if (is_key (k, "deadline"))
        return get_int (v, "deadline", &m->u.request.deadline_ms);
      break;
    case CF_MSG_ANSWER:
      if (is_key (k, "code"))
        return get_int (v, "code", &m->u.answer.code);
      if (is_key (k, "body"))
        return get_str (v, "body", &m->u.answer.body);
      break;
    case CF_MSG_REFUSAL:
      if (is_key (k, "ran"))
        {
          if (get_int (v, "ran", &n) != CF_OK)
            return CF_ERR_PROTO;
          m->u.refusal.ran = n == CF_RAN_NO    ? CF_RAN_NO
                             : n == CF_RAN_YES ? CF_RAN_YES
                                               : CF_RAN_UNKNOWN;
          return CF_OK;
        }
      if (is_key (k, "reason"))
        return get_str (v, "reason", &m->u.refusal.reason);
      if (is_key (k, "retry"))
        return get_int (v, "retry", &m->u.refusal.retry_after_ms);
      break;
    case CF_MSG_STATUS:
      if (is_key (k, "fence"))
        return get_int (v, "fence", &m->u.status.fence);
      if (is_key (k, "served"))
        return get_int (v, "served", &m->u.status.served);
      if (is_key (k, "refused"))
        return get_int (v, "refused", &m->u.status.refused);
      break;
    case CF_MSG_ORDER:
      if (is_key (k, "fence"))
        return get_int (v, "fence", &m->u.order.fence);
      if (is_key (k, "op"))
        return get_str (v, "op", &m->u.order.op);
      if (is_key (k, "args"))
        return get_str (v, "args", &m->u.order.args);
      break;
    case CF_MSG_CLAIM:
    case CF_MSG_RELEASE:
      if (is_key (k, "key"))
        return get_str (v, "key", &m->u.claim.key);
      if (is_key (k, "token"))
        return get_str (v, "token", &m->u.claim.token);
      if (is_key (k, "runner"))
        return get_str (v, "runner", &m->u.claim.runner);
      break;
    case CF_MSG_CLAIMED:
      if (is_key (k, "verdict"))
        {
          if (get_int (v, "verdict", &n) != CF_OK)
            return CF_ERR_PROTO;
          m->u.claimed.verdict = n == CF_VERDICT_GRANTED ? CF_VERDICT_GRANTED
                                 : n == CF_VERDICT_HELD  ? CF_VERDICT_HELD
                                                         : CF_VERDICT_ABSTAIN;
          return CF_OK;
        }
      if (is_key (k, "runner"))
        return get_str (v, "runner", &m->u.claimed.runner);
      break;
    case CF_MSG_CANCEL:
      if (is_key (k, "rid"))
        return get_str (v, "rid", &m->u.cancel.rid);
      break;
    case CF_MSG_PING:
    case CF_MSG_DRAIN:
      break;
    }
  /* Unknown fields are ignored, so that a newer peer may add fields. */
  return CF_OK;
}

CfStatus
cf_msg_decode (const char *buf, size_t len, CfMsg *m)
{
  msgpack_unpacked und;
  const msgpack_object *o;
  CfStatus st = CF_OK;
  gint64 version = 0;
  gint64 kind = 0;
  size_t off = 0;

  memset (m, 0, sizeof *m);
  msgpack_unpacked_init (&und);
  if (msgpack_unpack_next (&und, buf, len, &off) != MSGPACK_UNPACK_SUCCESS
      || und.data.type != MSGPACK_OBJECT_MAP)
    {
      st = cf_fail (CF_ERR_PROTO,
                    "check that the peer is a comfreypost process",
                    "frame of %zu bytes is not a msgpack map", len);
      goto out;
    }
  o = &und.data;
  for (uint32_t i = 0; i < o->via.map.size; i++)
    {
      const msgpack_object_kv *kv = &o->via.map.ptr[i];

      if (is_key (&kv->key, "v"))
        st = get_int (&kv->val, "v", &version);
      else if (is_key (&kv->key, "k"))
        st = get_int (&kv->val, "k", &kind);
      if (st != CF_OK)
        goto out;
    }
  if (version != CF_WIRE_VERSION)
    {
      st = cf_fail (CF_ERR_PROTO,
                    "run the same comfreypost release on both ends",
                    "wire version %" G_GINT64_FORMAT " is not supported; "
                    "expected %d",
                    version, CF_WIRE_VERSION);
      goto out;
    }
  if (kind < CF_MSG_REQUEST || kind > CF_MSG_CANCEL)
    {
      st = cf_fail (CF_ERR_PROTO,
                    "run the same comfreypost release on both ends",
                    "unknown message kind %" G_GINT64_FORMAT, kind);
      goto out;
    }
  m->kind = (CfMsgKind)kind;
  for (uint32_t i = 0; i < o->via.map.size; i++)
    {
      st = decode_field (&o->via.map.ptr[i].key, &o->via.map.ptr[i].val, m);
      if (st != CF_OK)
        goto out;
    }
out:
  msgpack_unpacked_destroy (&und);
  if (st != CF_OK)
    cf_msg_clear (m);
  return st;
}

CfStatus
cf_msg_write (int fd, const CfMsg *m)
{
  g_autoptr (GByteArray) frame = cf_msg_encode (m);

  if (frame->len - 4 > CF_FRAME_MAX_BYTES)
    return cf_fail (CF_ERR_FULL, "send a smaller body",
                    "frame of %u bytes exceeds the maximum of %d bytes",
                    frame->len - 4, CF_FRAME_MAX_BYTES);
  return cf_write_all (fd, frame->data, frame->len);
}

CfStatus
cf_msg_read (int fd, CfMsg *m)
{
  g_autofree char *body = NULL;
  guint32 len;
  CfStatus st;

  st = cf_read_all (fd, &len, 4);
  if (st != CF_OK)
    return st;
  len = ntohl (len);
  if (len == 0 || len > CF_FRAME_MAX_BYTES)
    return cf_fail (
        CF_ERR_PROTO, "check that the peer is a comfreypost process",
        "frame length %u is not in the range 1 to %d", len, CF_FRAME_MAX_BYTES);
  body = g_malloc (len);
  st = cf_read_all (fd, body, len);
  if (st != CF_OK)
    return st;
  return cf_msg_decode (body, len, m);
}

void
cf_msg_clear (CfMsg *m)
{
  switch (m->kind)
    {
    case CF_MSG_REQUEST:
      g_free (m->u.request.org);
      g_free (m->u.request.service);
      g_free (m->u.request.model);
      g_free (m->u.request.key);
      g_free (m->u.request.body);
      g_free (m->u.request.path);
      g_free (m->u.request.rid);
      break;
    case CF_MSG_ANSWER:
      g_free (m->u.answer.body);
      break;
    case CF_MSG_REFUSAL:
      g_free (m->u.refusal.reason);
      break;
    case CF_MSG_ORDER:
      g_free (m->u.order.op);
      g_free (m->u.order.args);
      break;
    case CF_MSG_CLAIM:
    case CF_MSG_RELEASE:
      g_free (m->u.claim.key);
      g_free (m->u.claim.token);
      g_free (m->u.claim.runner);
      break;
    case CF_MSG_CLAIMED:
      g_free (m->u.claimed.runner);
      break;
    case CF_MSG_CANCEL:
      g_free (m->u.cancel.rid);
      break;
    case CF_MSG_PING:
    case CF_MSG_STATUS:
    case CF_MSG_DRAIN:
      break;
    }
  memset (m, 0, sizeof *m);
}

const char *
cf_ran_name (CfRanState ran)
{
  switch (ran)
    {
    case CF_RAN_NO:
      return "no";
    case CF_RAN_UNKNOWN:
      return "unknown";
    case CF_RAN_YES:
      return "yes";
    }
  return "unknown";
}

const char *
cf_verdict_name (CfVerdict v)
{
  switch (v)
    {
    case CF_VERDICT_GRANTED:
      return "granted";
    case CF_VERDICT_HELD:
      return "held";
    case CF_VERDICT_ABSTAIN:
      return "abstain";
    }
  return "abstain";
}
