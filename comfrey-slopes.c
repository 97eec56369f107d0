/*
 * Measures the CPU time and memory that the library's decisions take at the
 * size of the planned deployment, for docs/CAPACITY.md.  Prints one line for
 * each cost, from one run on this machine.
 */
#include "daemon.h"
#include "guard.h"
#include "net.h"
#include "placement.h"
#include "records.h"
#include "route.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>

#define AGENTS 340
#define ORGANISATIONS 200
#define MODELS 32
#define RANKS 128
#define EXPERTS 128

/* Prevents the compiler from removing the measured calls. */
static volatile gint64 result_sink;

static double
now_ns (void)
{
  return (double)g_get_monotonic_time () * 1000;
}

static void
print_cost (const char *label, double value, const char *unit)
{
  printf ("%-44s %12.1f %s\n", label, value, unit);
}

/* Returns records of both schemas: one group of all agents, and for each
 * organisation one intent that lists all models. */
static char *
make_records (void)
{
  GString *s = g_string_new (
      "{\"schema\":1,\"kind\":\"group\",\"name\":\"g\",\"target\":\"engine\","
      "\"agents\":[");

  for (int i = 0; i < AGENTS; i++)
    g_string_append_printf (s, "%s\"10.0.%d.%d:7101\"", i ? "," : "", i / 250,
                            i % 250);
  g_string_append (s, "]}\n");
  for (int o = 0; o < ORGANISATIONS; o++)
    {
      g_string_append_printf (s,
                              "{\"schema\":2,\"kind\":\"intent\",\"name\":"
                              "\"i%d\",\"match\":{\"orgs\":[\"org%d\"],"
                              "\"services\":[\"s\"],\"models\":[",
                              o, o);
      for (int m = 0; m < MODELS; m++)
        g_string_append_printf (s, "%s\"model%d\"", m ? "," : "", m);
      g_string_append (s, "]},\"groups\":[{\"name\":\"g\"}],\"priority\":5,"
                          "\"worth_milli\":1000}\n");
    }
  return g_string_free (s, FALSE);
}

static void
measure_config (void)
{
  g_autofree char *text = make_records ();
  CfConfig *config = NULL;
  CfCandidate candidates[AGENTS];
  double start_ns = now_ns ();
  const char *guards[CF_GUARDS_PER_KEY];
  char name[32];
  const int repetitions = 20000;
  const int picks = 2000;
  gsize heap_before = mallinfo2 ().uordblks;

  if (cf_config_parse_lines (text, "slopes", 1, &config) != CF_OK)
    {
      fprintf (stderr, "comfrey-slopes: %s\n", cf_last_error ());
      return;
    }
  print_cost ("records: size of a version", (double)strlen (text) / 1e3, "KB");
  print_cost ("records: parse and check a version",
              (now_ns () - start_ns) / 1e6, "ms");
  print_cost ("records: memory of a version",
              (double)(mallinfo2 ().uordblks - heap_before) / 1e3, "KB");

  start_ns = now_ns ();
  for (int i = 0; i < repetitions; i++)
    {
      g_snprintf (name, sizeof name, "org%d", i % ORGANISATIONS);
      result_sink
          += cf_config_find_intent (config, name, "s", "model31") != NULL;
    }
  print_cost ("route: match an intent of 200",
              (now_ns () - start_ns) / repetitions, "ns");

  start_ns = now_ns ();
  for (int i = 0; i < repetitions; i++)
    {
      g_snprintf (name, sizeof name, "key-%d", i);
      result_sink += cf_route_find_guards (config, name, guards);
    }
  print_cost ("route: choose a key's guards of 340",
              (now_ns () - start_ns) / repetitions, "ns");

  start_ns = now_ns ();
  for (int i = 0; i < picks; i++)
    {
      const CfGroup *g = cf_config_find_group (config, "g");

      for (int a = 0; a < AGENTS; a++)
        candidates[a] = (CfCandidate){ .addr = g_ptr_array_index (g->agents, a),
                                       .load = a % 7 };
      g_snprintf (name, sizeof name, "e1-%d", i);
      result_sink += cf_route_pick (candidates, AGENTS, NULL, name) != NULL;
    }
  print_cost ("route: pick one of a group of 340 targets",
              (now_ns () - start_ns) / picks, "ns");
  cf_config_unref (config);
}

static void
measure_guard (void)
{
  const int repetitions = 100000;
  CfGuard g;
  char key[64];
  char token[64];
  char *holder = NULL;
  gsize heap_before;
  double start_ns;

  cf_guard_init (&g, 600000, (guint)repetitions, 0);
  heap_before = mallinfo2 ().uordblks;
  start_ns = now_ns ();
  for (int i = 0; i < repetitions; i++)
    {
      g_snprintf (key, sizeof key, "aspen-order-note-%08d", i);
      g_snprintf (token, sizeof token, "e1-%08d-0123456789abcdef", i);
      result_sink
          += cf_guard_claim (&g, key, token, "10.0.0.1:7101", i, &holder);
    }
  print_cost ("guard: claim a key", (now_ns () - start_ns) / repetitions, "ns");
  print_cost ("guard: memory of a claim",
              (double)(mallinfo2 ().uordblks - heap_before) / repetitions, "B");
  cf_guard_clear (&g);
}

static void
measure_placement (void)
{
  CfExpertMap *m = cf_expert_map_new (EXPERTS, RANKS, 2);
  CfPlacement p = { .kind = CF_PLACEMENT_BOUNDED };
  double tokens[EXPERTS];
  CfPlacementPlan plan;
  double start_ns;

  p.u.bounded.skew_weight = 1;
  p.u.bounded.max_moves = 16;
  for (int e = 0; e < EXPERTS; e++)
    tokens[e] = 1000.0 / (e * 37 % EXPERTS + 1);
  start_ns = now_ns ();
  plan = cf_placement_plan (&p, m, tokens);
  print_cost ("placement: plan 16 moves, 128 ranks",
              (now_ns () - start_ns) / 1e6, "ms");
  if (plan.map)
    {
      json_t *j = cf_expert_map_to_json (plan.map);
      g_autofree char *text = json_dumps (j, JSON_COMPACT);

      print_cost ("map change: size of a prepare, 128 ranks",
                  (double)strlen (text), "B");
      json_decref (j);
    }
  cf_expert_map_free (plan.map);
  cf_expert_map_free (m);
}

int
main (int argc, char **argv)
{
  GOptionEntry opts[] = {
    { NULL },
  };
  int rc;

  rc = cf_daemon_parse_options (
      &argc, &argv, "comfrey-slopes",
      "Measures the CPU time and memory of decisions at the "
      "size of the planned deployment.",
      opts);
  if (rc >= 0)
    return rc;
  measure_config ();
  measure_guard ();
  measure_placement ();
  return 0;
}
