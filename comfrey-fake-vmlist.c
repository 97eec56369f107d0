/*
 * A stand-in for the platform's list of live and leaving VMs, which lags.  A
 * change made with /test/vm becomes visible only after the lag.
 */
#include "daemon.h"
#include "fake-break.h"
#include "http-server.h"
#include "log.h"
#include "net.h"

#include <jansson.h>
#include <stdio.h>

static const char defaults[] = "[vmlist]\n"
                               "listen = \"127.0.0.1:7001\"\n"
                               "lag_ms = 2000\n";

static struct
{
  char *listen;
  gint64 lag_ms; /* until a change is visible */
} settings;

static const CfSetting fields[] = {
  { CF_SETTING_STRING, "vmlist", "listen", offsetof (typeof (settings), listen),
    0, 0 },
  { CF_SETTING_INT, "vmlist", "lag_ms", offsetof (typeof (settings), lag_ms), 0,
    600000 },
};

typedef struct
{
  char *state;
  long long visible_at_ms; /* when @state becomes visible */
  char *previous_state;    /* visible until then; NULL: not listed */
} Vm;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *vms_by_addr;

static void
list_vms (CfHttpReply *rep)
{
  json_t *a = json_array ();
  json_t *o;
  GHashTableIter it;
  gpointer k, v;
  long long now_ms = cf_now_ms ();

  pthread_mutex_lock (&lock);
  g_hash_table_iter_init (&it, vms_by_addr);
  while (g_hash_table_iter_next (&it, &k, &v))
    {
      Vm *vm = v;
      const char *state
          = now_ms >= vm->visible_at_ms ? vm->state : vm->previous_state;

      if (state)
        json_array_append_new (
            a, json_pack ("{s:s, s:s}", "addr", (char *)k, "state", state));
    }
  pthread_mutex_unlock (&lock);
  o = json_pack ("{s:o}", "vms", a);
  rep->body = json_dumps (o, JSON_COMPACT | JSON_SORT_KEYS);
  json_decref (o);
}

static void
set_state (const CfHttpRequest *req, CfHttpReply *rep)
{
  const char *addr = cf_http_query_arg (req, "addr");
  const char *state = cf_http_query_arg (req, "state");
  Vm *vm;

  if (!addr || !state)
    {
      cf_http_reply_error (rep, 400, "bad-request", "give addr and state");
      return;
    }
  pthread_mutex_lock (&lock);
  vm = g_hash_table_lookup (vms_by_addr, addr);
  if (vm == NULL)
    {
      vm = g_new0 (Vm, 1);
      g_hash_table_insert (vms_by_addr, g_strdup (addr), vm);
    }
  g_free (vm->previous_state);
  vm->previous_state = vm->state;
  vm->state = g_strdup (state);
  vm->visible_at_ms = cf_now_ms () + settings.lag_ms;
  pthread_mutex_unlock (&lock);
  rep->body = g_strdup ("{\"ok\":true}");
}

static void
on_http (void *data, const CfHttpRequest *req, CfHttpReply *rep)
{
  if (g_str_equal (req->path, "/v1/vms"))
    list_vms (rep);
  else if (g_str_equal (req->path, "/test/vm"))
    set_state (req, rep);
  else
    cf_http_reply_error (rep, 404, "not-found", "use /v1/vms");
}

int
main (int argc, char **argv)
{
  int rc;

  rc = cf_daemon_init_fields (&argc, &argv, "comfrey-fake-vmlist",
                              "A stand-in for the platform's lagging VM list.",
                              defaults, fields, G_N_ELEMENTS (fields),
                              &settings);
  if (rc >= 0)
    return rc;
  vms_by_addr = g_hash_table_new (g_str_hash, g_str_equal);
  cf_log (LOG_INFO, CF_EV_START, "lag_ms=%" G_GINT64_FORMAT, settings.lag_ms);
  return fake_break_serve (settings.listen, on_http);
}
