#include "vm-list.h"

#include "http-client.h"
#include "log.h"

#include <jansson.h>
#include <unistd.h>

static void
poll_once (CfVmList *v)
{
  g_autofree char *url = g_strdup_printf ("%s/v1/vms", v->url);
  g_autofree char *body = NULL;
  GHashTable *leaving;
  json_t *doc;
  json_t *vm;
  long code = 0;
  size_t i;

  if (cf_http_call ("GET", url, NULL, NULL, 2000, &code, &body) != CF_OK
      || code != 200)
    {
      if (!v->down)
        cf_log (LOG_WARNING, CF_EV_VMLIST_DOWN, "url=%s code=%ld", v->url,
                code);
      v->down = TRUE;
      return;
    }
  v->down = FALSE;
  doc = json_loads (body, 0, NULL);
  leaving = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  json_array_foreach (json_object_get (doc, "vms"), i, vm)
  {
    const char *addr = json_string_value (json_object_get (vm, "addr"));
    const char *state = json_string_value (json_object_get (vm, "state"));

    if (addr && state && g_str_equal (state, "leaving"))
      g_hash_table_add (leaving, g_strdup (addr));
  }
  json_decref (doc);

  pthread_mutex_lock (&v->lock);
  GHashTableIter it;
  gpointer addr;
  g_hash_table_iter_init (&it, leaving);
  while (g_hash_table_iter_next (&it, &addr, NULL))
    if (!g_hash_table_contains (v->leaving, addr))
      cf_log (LOG_NOTICE, CF_EV_VM_LEAVING, "target=%s", (char *)addr);
  g_hash_table_unref (v->leaving);
  v->leaving = leaving;
  pthread_mutex_unlock (&v->lock);
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
