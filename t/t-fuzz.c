/*
 * Stateful fuzzing of the whole request path against a simple oracle.  Seeded
 * sequences of requests, faults and configuration changes run against real
 * processes on loopback, and every outcome is checked against the oracle:
 *
 * - every request gets an HTTP answer at most SLACK_MS after its deadline;
 * - a 200 carries the caller's own prompt or note;
 * - a refusal says ran=no or ran=unknown, and states a retry time if it
 *   asks for a retry;
 * - a call with an idempotency key runs at most once, and not at all if every
 *   answer to it said ran=no;
 * - a shop request answered ran=no never reached the engine.
 *
 * FUZZ_SEED=N runs one sequence with seed N; by default three fixed seeds run,
 * so that the verdict is the same in every run.
 */
#include "harness.h"
#include "http-client.h"
#include "net.h"

#include <check.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define ENTRY "http://127.0.0.1:17880"
#define CONFIG "http://127.0.0.1:17800"
#define VMLIST "http://127.0.0.1:17809"
#define SERVICE "http://127.0.0.1:17891"
#define STEPS 60
#define DEADLINE_MS 1500
#define SLACK_MS 1000

static const char records[]
    = "{\"schema\":1,\"kind\":\"group\",\"name\":\"shop\",\"target\":"
      "\"engine\","
      "\"agents\":[\"127.0.0.1:17801\",\"127.0.0.1:17802\"]}\n"
      "{\"schema\":2,\"kind\":\"group\",\"name\":\"book\",\"target\":"
      "\"service\","
      "\"agents\":[\"127.0.0.1:17803\"]}\n"
      "{\"schema\":1,\"kind\":\"intent\",\"name\":\"s\",\"org\":\"aspen-"
      "coulee\","
      "\"service\":\"assistant\",\"model\":\"desc-v3\",\"groups\":[\"shop\"],"
      "\"priority\":5,\"worth\":1}\n"
      "{\"schema\":2,\"kind\":\"intent\",\"name\":\"b\",\"match\":{\"orgs\":["
      "\"*\"],"
      "\"services\":[\"shift-booking\"],\"models\":[\"booking-v1\"]},"
      "\"groups\":[{\"name\":\"book\"}],\"priority\":9,\"worth_milli\":8000}\n";

/* The answers seen so far to calls with one idempotency key. */
typedef struct
{
  gboolean any_yes;
  gboolean any_unknown;
} KeyAnswers;

typedef struct
{
  pid_t agents[3];
  pid_t entry;
  char *agent_settings[3];
  GPtrArray *not_run; /* prompts answered ran=no */
  gboolean paused[3];
  GHashTable *keys; /* key -> KeyAnswers */
  int requests;
  int faults;
  int ran_yes;
  int ran_no;
  int ran_unknown;
} FuzzState;

static void
http_get (const char *url)
{
  long code = 0;

  cf_http_call ("GET", url, NULL, NULL, 2000, &code, NULL);
}

static pid_t
start_entry (void)
{
  return t_start_program ("f-entry", "./comfrey-entry",
                          "[entry]\nlisten = \"127.0.0.1:17880\"\n"
                          "[config]\nurl = \"http://127.0.0.1:17800\"\n"
                          "[vmlist]\nurl = \"http://127.0.0.1:17809\"\n");
}

static void
inject_fault (FuzzState *s, GRand *r, guint32 seed, int step)
{
  int a = g_rand_int_range (r, 0, 3);
  int kind = g_rand_int_range (r, 0, 7);
  g_autofree char *url = NULL;
  long code = 0;

  s->faults++;
  switch (kind)
    {
    case 0: /* pause an agent, or resume a paused one */
      kill (s->agents[a], s->paused[a] ? SIGCONT : SIGSTOP);
      s->paused[a] = !s->paused[a];
      break;
    case 1: /* the configuration store serves version 1, or recovers */
      http_get (g_rand_boolean (r) ? CONFIG "/test/mode?mode=stale&version=1"
                                   : CONFIG "/test/mode?mode=up");
      break;
    case 2: /* the configuration store is down, or recovers */
      http_get (g_rand_boolean (r) ? CONFIG "/test/mode?mode=down"
                                   : CONFIG "/test/mode?mode=up");
      break;
    case 3: /* an operator publishes a new version */
      cf_http_call ("POST", CONFIG "/test/publish", records, NULL, 2000, &code,
                    NULL);
      break;
    case 5: /* kill an agent with SIGKILL and restart it */
      kill (s->agents[a], SIGKILL);
      waitpid (s->agents[a], NULL, 0);
      s->paused[a] = FALSE;
      url = g_strdup_printf ("f-agent-%d", a + 1);
      s->agents[a]
          = t_start_program (url, "./comfrey-agent", s->agent_settings[a]);
      break;
    case 6: /* kill the entry with SIGKILL and restart it */
      kill (s->entry, SIGKILL);
      waitpid (s->entry, NULL, 0);
      s->entry = start_entry ();
      ck_assert_msg (
          t_wait_for_body (ENTRY "/v1/health", "config_version", 5000),
          "seed %u step %d: the entry did not restart", seed, step);
      break;
    case 4: /* the VM list marks an engine's agent as leaving or live */
      url = g_strdup_printf (VMLIST "/test/vm?addr=127.0.0.1:1780%d&state=%s",
                             1 + a % 2,
                             g_rand_boolean (r) ? "leaving" : "live");
      http_get (url);
      break;
    }
}

static void
send_random_request (FuzzState *s, GRand *r, guint32 seed, int step)
{
  g_autofree char *body = NULL;
  g_autofree char *reply = NULL;
  g_autofree char *key = NULL;
  g_autofree char *marker = NULL;
  const char *ran;
  long long start_ms = cf_now_ms ();
  long long elapsed_ms;
  int kind = g_rand_int_range (r, 0, 10);
  json_t *o;
  long code = 0;

  s->requests++;
  marker = g_strdup_printf ("m%u-%d", seed, step);
  if (kind < 5)
    body = g_strdup_printf (
        "{\"org\":\"aspen-coulee\",\"service\":\"assistant\","
        "\"model\":\"desc-v3\",\"deadline_ms\":%d,"
        "\"body\":{\"prompt\":\"%s\",\"max_tokens\":%d}}",
        DEADLINE_MS, marker, g_rand_int_range (r, 1, 20));
  else if (kind < 9)
    {
      /* About half of the bookings repeat a key, as a caller's retry does. */
      key = g_strdup_printf ("k%u-%d", seed,
                             g_rand_int_range (r, 0, MAX (step / 2, 1)));
      g_free (marker);
      marker = g_strdup (key);
      body = g_strdup_printf (
          "{\"org\":\"north-agency\",\"service\":\"shift-booking\","
          "\"model\":\"booking-v1\",\"deadline_ms\":%d,"
          "\"idempotency_key\":\"%s\",\"body\":{\"note\":\"%s\"}}",
          DEADLINE_MS, key, key);
    }
  else
    body = g_strdup ("{\"org\":\"nobody\",\"service\":\"x\",\"model\":\"y\","
                     "\"body\":{}}");

  ck_assert_msg (cf_http_call ("POST", ENTRY "/v1/requests", body, NULL,
                               DEADLINE_MS + 10000, &code, &reply)
                     == CF_OK,
                 "seed %u step %d: no answer at all: %s", seed, step,
                 cf_last_error ());
  elapsed_ms = cf_now_ms () - start_ms;
  ck_assert_msg (elapsed_ms <= DEADLINE_MS + SLACK_MS,
                 "seed %u step %d: answered after %lld ms", seed, step,
                 elapsed_ms);
  o = json_loads (reply, 0, NULL);
  ck_assert_msg (o != NULL, "seed %u step %d: reply is not JSON", seed, step);
  ran = json_string_value (json_object_get (o, "ran"));
  ck_assert_msg (ran != NULL, "seed %u step %d: no 'ran' in %s", seed, step,
                 reply);
  s->ran_yes += g_str_equal (ran, "yes");
  s->ran_no += g_str_equal (ran, "no");
  if (g_str_equal (ran, "no") && kind < 5)
    g_ptr_array_add (s->not_run, g_strdup (marker));
  s->ran_unknown += g_str_equal (ran, "unknown");
  if (code == 200)
    {
      g_autofree char *answer
          = json_dumps (json_object_get (o, "answer"), JSON_ENCODE_ANY);

      ck_assert_msg (strstr (answer, marker),
                     "seed %u step %d: answer to another request: %s", seed,
                     step, reply);
      ck_assert_str_eq (ran, "yes");
    }
  else
    {
      ck_assert_msg (g_str_equal (ran, "no") || g_str_equal (ran, "unknown"),
                     "seed %u step %d: refusal with ran=%s", seed, step, ran);
      if (kind == 9)
        ck_assert_int_eq (code, 403);
    }
  if (key)
    {
      KeyAnswers *f = g_hash_table_lookup (s->keys, key);

      if (f == NULL)
        {
          f = g_new0 (KeyAnswers, 1);
          g_hash_table_insert (s->keys, g_strdup (key), f);
        }
      f->any_yes |= code == 200;
      f->any_unknown |= g_str_equal (ran, "unknown");
    }
  json_decref (o);
}

static void
check_not_run (FuzzState *s, guint32 seed)
{
  g_autofree char *seen = NULL;
  long code = 0;

  ck_assert_int_eq (cf_http_call ("GET", "http://127.0.0.1:17890/test/seen",
                                  NULL, NULL, 2000, &code, &seen),
                    CF_OK);
  for (guint i = 0; i < s->not_run->len; i++)
    {
      g_autofree char *quoted = g_strdup_printf (
          "\"%s\"", (char *)g_ptr_array_index (s->not_run, i));

      ck_assert_msg (strstr (seen, quoted) == NULL,
                     "seed %u: %s was answered 'not run' but reached the "
                     "engine",
                     seed, quoted);
    }
}

static void
check_keys (FuzzState *s, guint32 seed)
{
  g_autofree char *counts = NULL;
  GHashTableIter it;
  gpointer k, v;
  json_t *o;
  long code = 0;

  /* Let the delayed work of a resumed agent finish before counting. */
  usleep ((DEADLINE_MS + 500) * 1000);
  ck_assert_int_eq (cf_http_call ("GET", SERVICE "/test/counts", NULL, NULL,
                                  2000, &code, &counts),
                    CF_OK);
  o = json_loads (counts, 0, NULL);
  g_hash_table_iter_init (&it, s->keys);
  while (g_hash_table_iter_next (&it, &k, &v))
    {
      KeyAnswers *f = v;
      json_int_t n = json_integer_value (json_object_get (o, k));

      ck_assert_msg (n <= 1, "seed %u: key %s ran %d times", seed, (char *)k,
                     (int)n);
      if (!f->any_yes && !f->any_unknown)
        ck_assert_msg (n == 0,
                       "seed %u: key %s was answered 'not run' but "
                       "ran",
                       seed, (char *)k);
      if (f->any_yes)
        ck_assert_msg (n == 1, "seed %u: key %s was answered but never ran",
                       seed, (char *)k);
    }
  json_decref (o);
}

static void
run_sequence (guint32 seed)
{
  GRand *r = g_rand_new_with_seed (seed);
  FuzzState s = { 0 };
  const char *ports[] = { "17801", "17802", "17803" };
  const char *targets[] = { "17890", "17890", "17891" };

  g_mkdir_with_parents ("t/out", 0755);
  g_file_set_contents ("t/out/f-records.jsonl", records, -1, NULL);
  t_start_program ("f-config", "./comfrey-fake-config",
                   "[config]\nlisten = \"127.0.0.1:17800\"\n"
                   "records = \"t/out/f-records.jsonl\"\n");
  t_start_program ("f-vmlist", "./comfrey-fake-vmlist",
                   "[vmlist]\nlisten = \"127.0.0.1:17809\"\nlag_ms = 500\n");
  t_start_program ("f-engine", "./comfrey-fake-engine",
                   "[engine]\nlisten = \"127.0.0.1:17890\"\n");
  t_start_program ("f-service", "./comfrey-fake-service",
                   "[service]\nlisten = \"127.0.0.1:17891\"\nwork_ms = 20\n");
  for (int i = 0; i < 3; i++)
    {
      g_autofree char *name = g_strdup_printf ("f-agent-%d", i + 1);
      g_autofree char *settings
          = g_strdup_printf ("[agent]\nlisten = \"127.0.0.1:%s\"\n"
                             "target_url = \"http://127.0.0.1:%s\"\n",
                             ports[i], targets[i]);

      s.agents[i] = t_start_program (name, "./comfrey-agent", settings);
      s.agent_settings[i] = g_strdup (settings);
    }
  s.entry = start_entry ();
  ck_assert (t_wait_for_body (
      ENTRY "/v1/health",
      "\"config_version\":1,\"links_up\":3,\"guards_quiet\":0", 15000));
  s.not_run = g_ptr_array_new_with_free_func (g_free);
  s.keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  for (int step = 0; step < STEPS; step++)
    {
      if (g_rand_int_range (r, 0, 5) == 0)
        inject_fault (&s, r, seed, step);
      else
        send_random_request (&s, r, seed, step);
    }
  for (int i = 0; i < 3; i++)
    if (s.paused[i])
      kill (s.agents[i], SIGCONT);
  check_keys (&s, seed);
  check_not_run (&s, seed);
  fprintf (stderr,
           "t-fuzz: seed %u: %d requests (ran yes %d, no %d, unknown %d), "
           "%d faults, %u keys\n",
           seed, s.requests, s.ran_yes, s.ran_no, s.ran_unknown, s.faults,
           g_hash_table_size (s.keys));
  t_stop_all ();
  g_hash_table_unref (s.keys);
  g_ptr_array_unref (s.not_run);
  for (int i = 0; i < 3; i++)
    g_free (s.agent_settings[i]);
  g_rand_free (r);
}

START_TEST (test_sequences_against_oracle)
{
  const char *env = g_getenv ("FUZZ_SEED");
  guint32 seeds[] = { 1, 2, 3 };

  if (env)
    run_sequence ((guint32)g_ascii_strtoull (env, NULL, 10));
  else
    for (guint i = 0; i < G_N_ELEMENTS (seeds); i++)
      run_sequence (seeds[i]);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("fuzz");
  TCase *tc = tcase_create ("oracle");

  tcase_set_timeout (tc, 600);
  tcase_add_test (tc, test_sequences_against_oracle);
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
