/*
 * An accepted configuration is in force within seconds and never reverts:
 * an entry follows the fake configuration service through a new version,
 * stale reads of an older one, and an outage.
 */
#include "harness.h"
#include "http-client.h"
#include "net.h"

#include <check.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define CONFIG "http://127.0.0.1:17600"
#define ENTRY "http://127.0.0.1:17680"
/* Letter 1: a change is in force everywhere within 9 s. */
#define IN_FORCE_MAX_MS 9000
/* The service takes about 2,000 reads/s from all readers together; one
 * process may spend a handful. */
#define READS_PER_S_MAX 5

static const char group[]
    = "{\"schema\":1,\"kind\":\"group\",\"name\":\"g\",\"target\":\"engine\","
      "\"agents\":[\"127.0.0.1:17601\"]}\n";

static gint64
reads (void)
{
  g_autofree char *body = NULL;
  long code = 0;
  json_t *o;
  gint64 n;

  ck_assert_int_eq (cf_http_call ("GET", CONFIG "/test/reads", NULL, NULL, 2000,
                                  &code, &body),
                    CF_OK);
  o = json_loads (body, 0, NULL);
  n = json_integer_value (json_object_get (o, "reads"));
  json_decref (o);
  return n;
}

static void
call (const char *method, const char *url, const char *body)
{
  long code = 0;

  ck_assert_int_eq (cf_http_call (method, url, body, NULL, 2000, &code, NULL),
                    CF_OK);
  ck_assert_int_eq (code, 200);
}

START_TEST (test_in_force_within_seconds_and_never_older)
{
  long long t0;
  long long took;
  gint64 before;
  gint64 stale_reads;

  g_mkdir_with_parents ("t/out", 0755);
  g_file_set_contents ("t/out/c-records.jsonl", group, -1, NULL);
  t_start ("c-config", "./comfrey-fake-config",
           "[config]\nlisten = \"127.0.0.1:17600\"\n"
           "records = \"t/out/c-records.jsonl\"\n");
  t_start ("c-vmlist", "./comfrey-fake-vmlist",
           "[vmlist]\nlisten = \"127.0.0.1:17609\"\n");
  t_start ("c-entry", "./comfrey-entry",
           "[entry]\nlisten = \"127.0.0.1:17680\"\n"
           "[config]\nurl = \"http://127.0.0.1:17600\"\n"
           "[vmlist]\nurl = \"http://127.0.0.1:17609\"\n");
  ck_assert (t_wait_for (ENTRY "/v1/health", "\"config_version\":1", 5000));

  t0 = cf_now_ms ();
  call ("POST", CONFIG "/test/publish", group);
  ck_assert (
      t_wait_for (ENTRY "/v1/health", "\"config_version\":2", IN_FORCE_MAX_MS));
  took = cf_now_ms () - t0;
  fprintf (stderr, "t-config: version 2 in force after %lld ms\n", took);

  /* A lagging replica serves version 1 again: the entry keeps 2, and does
   * not spin on the service while it waits for something newer. */
  call ("GET", CONFIG "/test/mode?mode=stale&version=1", NULL);
  before = reads ();
  usleep (2000000);
  stale_reads = reads () - before - 1;
  fprintf (stderr,
           "t-config: %" G_GINT64_FORMAT " reads of a stale service "
           "in 2 s\n",
           stale_reads);
  ck_assert_msg (stale_reads <= 2 * READS_PER_S_MAX,
                 "the entry read the stale service %" G_GINT64_FORMAT
                 " times in 2 s",
                 stale_reads);
  ck_assert (t_wait_for (ENTRY "/v1/health", "\"config_version\":2", 100));

  call ("GET", CONFIG "/test/mode?mode=down", NULL);
  usleep (1000000);
  ck_assert (t_wait_for (ENTRY "/v1/health", "\"config_version\":2", 100));

  call ("GET", CONFIG "/test/mode?mode=up", NULL);
  call ("POST", CONFIG "/test/publish", group);
  ck_assert (
      t_wait_for (ENTRY "/v1/health", "\"config_version\":3", IN_FORCE_MAX_MS));
  t_stop_all ();
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("config");
  TCase *tc = tcase_create ("watch");

  tcase_set_timeout (tc, 60);
  tcase_add_test (tc, test_in_force_within_seconds_and_never_older);
  suite_add_tcase (s, tc);
  return t_run (s);
}
