/*
 * Changes of the expert map under load, by real agents of the ranks of a fake
 * engine that ignores fencing tokens.  Orders are dropped, delayed or left
 * unanswered, ranks stall, and coordinators are killed, or paused during a
 * change and resumed late.  In no step may two ranks use different maps, the
 * group must not stall, and every request must be answered.
 */
#include "harness.h"
#include "http-client.h"
#include "net.h"

#include <check.h>
#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define ENGINE "http://127.0.0.1:18290"
#define RANKS 4
#define CALLERS 4
#define ROUNDS 12

static pid_t agents[RANKS];
static gint stop_load;
static gint answered;
static gint failed;

static pid_t
start_agent (int rank)
{
  g_autofree char *name = g_strdup_printf ("r-agent-%d", rank);
  g_autofree char *s = g_strdup_printf (
      "[agent]\nlisten = \"127.0.0.1:1820%d\"\n"
      "target_url = \"" ENGINE "\"\n"
      "[group]\nrank = %d\n"
      "members = [\"127.0.0.1:18200\", \"127.0.0.1:18201\", "
      "\"127.0.0.1:18202\", \"127.0.0.1:18203\"]\n"
      "interval_ms = 0\nhold_max_ms = 800\nprepare_ms = 2000\n"
      "move_weight = 0.0\n",
      rank, rank);

  return t_start_program (name, "./comfrey-agent", s);
}

static void *
run_caller (void *unused)
{
  while (!g_atomic_int_get (&stop_load))
    {
      long code = 0;

      if (cf_http_call ("POST", ENGINE "/v1/generate",
                        "{\"prompt\":\"p\",\"max_tokens\":16}", NULL, 20000,
                        &code, NULL)
              == CF_OK
          && code == 200)
        g_atomic_int_inc (&answered);
      else
        g_atomic_int_inc (&failed);
    }
  return NULL;
}

static gint64
get_steps_field (const char *field)
{
  g_autofree char *body = NULL;
  long code = 0;
  json_t *o;
  gint64 n;

  ck_assert_int_eq (cf_http_call ("GET", ENGINE "/test/steps", NULL, NULL, 5000,
                                  &code, &body),
                    CF_OK);
  o = json_loads (body, 0, NULL);
  n = json_integer_value (json_object_get (o, field));
  json_decref (o);
  return n;
}

static void
call_test_hook (const char *fmt, ...)
{
  va_list ap;
  g_autofree char *path = NULL;
  g_autofree char *url = NULL;
  long code = 0;

  va_start (ap, fmt);
  path = g_strdup_vprintf (fmt, ap);
  va_end (ap);
  url = g_strconcat (ENGINE, path, NULL);
  ck_assert_int_eq (cf_http_call ("GET", url, NULL, NULL, 5000, &code, NULL),
                    CF_OK);
  ck_assert_int_eq (code, 200);
}

/* Requests a placement decision from a rank's agent, as an operator does. */
static void
request_rebalance (int rank)
{
  g_autofree char *addr = g_strdup_printf ("127.0.0.1:1820%d", rank);
  char *argv[] = { "./comfrey", "rebalance", addr, NULL };
  int status = 0;

  ck_assert (g_spawn_sync (NULL, argv, NULL, G_SPAWN_STDOUT_TO_DEV_NULL, NULL,
                           NULL, NULL, NULL, &status, NULL));
  ck_assert_int_eq (status, 0);
}

/* Waits until the group has begun @n more steps. */
static void
wait_for_steps (gint64 n, int timeout_ms)
{
  gint64 end_step = get_steps_field ("steps") + n;
  long long start_ms = cf_now_ms ();

  while (get_steps_field ("steps") < end_step)
    {
      ck_assert_msg (cf_now_ms () - start_ms < timeout_ms,
                     "the group did not begin enough steps in %d ms",
                     timeout_ms);
      usleep (20000);
    }
}

static void
start_all (pthread_t *callers)
{
  t_start_program (
      "r-weights", "./comfrey-fake-weights",
      "[weights]\nlisten = \"127.0.0.1:18291\"\nmb_per_s = 4000\n");
  t_start_program ("r-engine", "./comfrey-fake-engine",
                   "[engine]\nlisten = \"127.0.0.1:18290\"\nranks = 4\n"
                   "experts = 32\nplaces = 10\ncheck_fence = false\n"
                   "weights_url = \"http://127.0.0.1:18291\"\n"
                   "step_base_us = 1000\nload_lag_ms = 100\n");
  for (int r = 0; r < RANKS; r++)
    agents[r] = start_agent (r);
  ck_assert (t_wait_for_body (ENGINE "/test/steps", "steps", 5000));
  stop_load = answered = failed = 0;
  for (int i = 0; i < CALLERS; i++)
    pthread_create (&callers[i], NULL, run_caller, NULL);
  wait_for_steps (200, 10000);
}

static void
stop_all (pthread_t *callers)
{
  g_atomic_int_set (&stop_load, 1);
  for (int i = 0; i < CALLERS; i++)
    pthread_join (callers[i], NULL);
  ck_assert_int_eq (failed, 0);
  ck_assert_int_gt (answered, 0);
  t_stop_all ();
}

START_TEST (test_change_takes_effect_on_every_rank)
{
  g_autofree char *log = NULL;
  pthread_t callers[CALLERS];

  start_all (callers);
  request_rebalance (0);
  for (int i = 0; i < 100 && get_steps_field ("switches") == 0; i++)
    usleep (50000);
  ck_assert_int_eq (get_steps_field ("switches"), 1);
  ck_assert_int_eq (get_steps_field ("mixed"), 0);
  ck_assert_int_ge (get_steps_field ("map"), 2);
  wait_for_steps (50, 5000);
  stop_all (callers);
  log = t_read_log ("r-agent-0");
  ck_assert (strstr (log, "E1501 placement policy=bounded"));
  ck_assert (strstr (log, "result=changed"));
}
END_TEST

/* Injects a fault while the agent of rank @coordinator makes a change. */
static void
inject_fault (GRand *r, int coordinator)
{
  int rank = g_rand_int_range (r, 0, RANKS);

  switch (g_rand_int_range (r, 0, 7))
    {
    case 0:
      call_test_hook ("/test/rank?rank=%d&fault=drop", rank);
      break;
    case 1:
      call_test_hook ("/test/rank?rank=%d&fault=lose", rank);
      break;
    case 2:
      call_test_hook ("/test/rank?rank=%d&fault=late&ms=%d", rank,
                      g_rand_int_range (r, 50, 2500));
      break;
    case 3:
      call_test_hook ("/test/rank?rank=%d&fault=stall&ms=500", rank);
      break;
    case 4: /* an agent, often the coordinator, is killed during the change */
      if (g_rand_boolean (r))
        rank = coordinator;
      usleep (g_rand_int_range (r, 0, 60000));
      kill (agents[rank], SIGKILL);
      waitpid (agents[rank], NULL, 0);
      usleep (300000);
      agents[rank] = start_agent (rank);
      break;
    case 5: /* the coordinator is paused and resumes after a takeover */
      usleep (g_rand_int_range (r, 0, 60000));
      kill (agents[coordinator], SIGSTOP);
      usleep (400000);
      request_rebalance ((coordinator + 1) % RANKS);
      usleep (1200000);
      kill (agents[coordinator], SIGCONT);
      break;
    case 6: /* two concurrent coordinators */
      request_rebalance ((coordinator + 1) % RANKS);
      break;
    }
}

START_TEST (test_change_waits_for_the_weight_store)
{
  g_autofree char *log = NULL;
  pthread_t callers[CALLERS];
  long code = 0;

  start_all (callers);
  /* Other clients keep the weight store busy for 3 s, longer than
   * prepare_ms. */
  ck_assert_int_eq (cf_http_call ("GET",
                                  "http://127.0.0.1:18291/test/busy?ms=3000",
                                  NULL, NULL, 2000, &code, NULL),
                    CF_OK);
  ck_assert_int_eq (code, 200);
  request_rebalance (0);
  usleep (2500000);
  log = t_read_log ("r-agent-0");
  ck_assert_msg (strstr (log, "result=aborted"), "%s", log);
  ck_assert_int_eq (get_steps_field ("switches"), 0);
  /* Once the store has capacity again, the change succeeds. */
  usleep (1000000);
  for (int i = 0; i < 10 && get_steps_field ("switches") == 0; i++)
    {
      request_rebalance (0);
      usleep (500000);
    }
  ck_assert_int_ge (get_steps_field ("switches"), 1);
  ck_assert_int_eq (get_steps_field ("mixed"), 0);
  stop_all (callers);
}
END_TEST

START_TEST (test_no_step_mixes_maps_under_faults)
{
  const char *env = g_getenv ("FUZZ_SEED");
  guint32 seed = env ? (guint32)g_ascii_strtoull (env, NULL, 10) : 1;
  GRand *r = g_rand_new_with_seed (seed);
  pthread_t callers[CALLERS];
  gint64 switches;

  start_all (callers);
  for (int i = 0; i < ROUNDS; i++)
    {
      int coordinator = g_rand_int_range (r, 0, RANKS);

      call_test_hook ("/test/drift?shift=%d", (i * 7) % 32);
      usleep (500000);
      request_rebalance (coordinator);
      inject_fault (r, coordinator);
      /* A dead or fenced coordinator's hold is released within seconds. */
      wait_for_steps (20, 10000);
      ck_assert_msg (get_steps_field ("mixed") == 0,
                     "seed %u round %d: ranks used different maps", seed, i);
    }
  /* Once the faults are over, a change succeeds again. */
  usleep (3000000);
  switches = get_steps_field ("switches");
  for (int i = 0; i < 10 && get_steps_field ("switches") == switches; i++)
    {
      call_test_hook ("/test/drift?shift=%d", 3 + i * 9);
      usleep (500000);
      request_rebalance (i % RANKS);
      usleep (1000000);
    }
  ck_assert_int_gt (get_steps_field ("switches"), switches);
  ck_assert_int_eq (get_steps_field ("mixed"), 0);
  fprintf (stderr,
           "t-rebalance: seed %u: %d rounds, %d steps, %d changes of map, "
           "%d requests answered\n",
           seed, ROUNDS, (int)get_steps_field ("steps"),
           (int)get_steps_field ("switches"), answered);
  stop_all (callers);
  g_rand_free (r);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("rebalance");
  TCase *tc = tcase_create ("core");

  tcase_set_timeout (tc, 240);
  tcase_add_test (tc, test_change_takes_effect_on_every_rank);
  tcase_add_test (tc, test_change_waits_for_the_weight_store);
  tcase_add_test (tc, test_no_step_mixes_maps_under_faults);
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
