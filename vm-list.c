#include "vm-list.h"

#include "http-client.h"
#include "log.h"

#include <jansson.h>
#include <unistd.h>

/* Adds the leaving VMs of @doc to @leaving.  Returns NULL, or what is wrong
 * with the list. */
static const char *
parse_list (json_t *doc, GHashTable *leaving)
{
  json_t *vms = json_object_get (doc, "vms");
  json_t *vm;
  size_t i;

  if (!json_is_array (vms))
    return "the reply is not a JSON object with an array 'vms'";
  json_array_foreach (vms, i, vm)
  {
    const char *addr = json_string_value (json_object_get (vm, "addr"));
    const char *state = json_string_value (json_object_get (vm, "state"));

    if (addr == NULL || state == NULL)
      return "a VM has no 'addr' or no 'state'";
    if (g_str_equal (state, "leaving"))
      g_hash_table_add (leaving, g_strdup (addr));
  }
  return NULL;
}

/* Logs the first failure of an outage.  The last complete list stays in use,
 * since a part of one would end the leaves that it lacks. */
static void
log_failure (CfVmList *v, long code, const char *error)
{
  if (!v->down)
    cf_log (LOG_WARNING, CF_EV_VMLIST_DOWN, "url=%s code=%ld error=\"%s\"",
            v->url, code, error);
  v->down = TRUE;
}

static void
replace_leaving (CfVmList *v, GHashTable *leaving)
{
  GHashTableIter it;
  gpointer addr;

  pthread_mutex_lock (&v->lock);
  g_hash_table_iter_init (&it, leaving);
  while (g_hash_table_iter_next (&it, &addr, NULL))
    if (!g_hash_table_contains (v->leaving, addr))
      cf_log (LOG_NOTICE, CF_EV_VM_LEAVING, "target=%s", (char *)addr);
  g_hash_table_unref (v->leaving);
  v->leaving = g_hash_table_ref (leaving);
  pthread_mutex_unlock (&v->lock);
}

static void
poll_once (CfVmList *v)
{
  g_autofree char *url = g_strdup_printf ("%s/v1/vms", v->url);
  g_autofree char *body = NULL;
  g_autoptr (GHashTable) leaving
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  const char *error;
  json_t *doc;
  long code = 0;

  if (cf_http_call ("GET", url, NULL, NULL, 2000, &code, &body) != CF_OK)
    {
      log_failure (v, code, cf_last_error ());
      return;
    }
  if (code != 200)
    {
      log_failure (v, code, "status");
      return;
    }
  doc = json_loads (body, 0, NULL);
  error = parse_list (doc, leaving);
  json_decref (doc);
  if (error)
    {
      log_failure (v, code, error);
      return;
    }
  v->down = FALSE;
  replace_leaving (v, leaving);
}

static void *
poll_thread (void *p)
{
  CfVmList *v = p;

  for (;;)
    {
      poll_once (v);
      usleep (v->poll_ms * 1000);
    }
  return NULL;
}

void
cf_vm_list_start (CfVmList *v, const char *url, gint64 poll_ms)
{
  v->url = g_strdup (url);
  v->poll_ms = poll_ms;
  v->leaving = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  pthread_mutex_init (&v->lock, NULL);
  pthread_create (&v->thread, NULL, poll_thread, v);
  pthread_detach (v->thread);
}

gboolean
cf_vm_list_is_leaving (CfVmList *v, const char *addr)
{
  gboolean r;

  pthread_mutex_lock (&v->lock);
  r = g_hash_table_contains (v->leaving, addr);
  pthread_mutex_unlock (&v->lock);
  return r;
}
