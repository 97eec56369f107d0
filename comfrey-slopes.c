/*
 * Measures what the library's decisions cost at letter 1's size, for
 * docs/CAPACITY.md: one line a slope, from one run on this machine.
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
#define ORGS 200
#define MODELS 32
#define RANKS 128
#define EXPERTS 128

/* Keeps the compiler from dropping what is measured. */
static volatile gint64 sink;

static double
now_ns (void)
{
  return (double)g_get_monotonic_time () * 1000;
}

static void
print_slope (const char *what, double value, const char *unit)
{
  printf ("%-44s %12.1f %s\n", what, value, unit);
}

/* One group of every agent, and an intent for each organisation that names
 * every model, in records of both schemas. */
static char *
records_at_size (void)
{
  GString *s = g_string_new (
      "{\"schema\":1,\"kind\":\"group\",\"name\":\"g\",\"target\":\"engine\","
      "\"agents\":[");

  for (int i = 0; i < AGENTS; i++)
    g_string_append_printf (s, "%s\"10.0.%d.%d:7101\"", i ? "," : "", i / 250,
                            i % 250);
  g_string_append (s, "]}\n");
  for (int o = 0; o < ORGS; o++)
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
  g_autofree char *text = records_at_size ();
  CfConfig *c = NULL;
  CfCandidate cand[AGENTS];
  double t0 = now_ns ();
  const char *guards[CF_GUARDS_PER_KEY];
  char what[32];
  const int n = 20000;
  const int orders = 2000;
  gsize before = mallinfo2 ().uordblks;

  if (cf_config_parse_lines (text, "slopes", 1, &c) != CF_OK)
    {
      fprintf (stderr, "comfrey-slopes: %s\n", cf_last_error ());
      return;
    }
  print_slope ("records: size of a version", (double)strlen (text) / 1e3, "KB");
  print_slope ("records: parse and check a version", (now_ns () - t0) / 1e6,
               "ms");
  print_slope ("records: memory of a version",
               (double)(mallinfo2 ().uordblks - before) / 1e3, "KB");

  t0 = now_ns ();
  for (int i = 0; i < n; i++)
    {
      g_snprintf (what, sizeof what, "org%d", i % ORGS);
      sink += cf_config_find_intent (c, what, "s", "model31") != NULL;
    }
  print_slope ("route: match an intent of 200", (now_ns () - t0) / n, "ns");

  t0 = now_ns ();
  for (int i = 0; i < n; i++)
    {
      g_snprintf (what, sizeof what, "key-%d", i);
      sink += cf_route_find_guards (c, what, guards);
    }
  print_slope ("route: choose a key's guards of 340", (now_ns () - t0) / n,
               "ns");

  t0 = now_ns ();
  for (int i = 0; i < orders; i++)
    {
      const CfGroup *g = cf_config_find_group (c, "g");

      for (int a = 0; a < AGENTS; a++)
        cand[a] = (CfCandidate){ .addr = g_ptr_array_index (g->agents, a),
                                 .load = a % 7 };
      g_snprintf (what, sizeof what, "e1-%d", i);
      sink += cf_route_pick (cand, AGENTS, NULL, what) != NULL;
    }
  print_slope ("route: pick one of a group of 340 targets",
               (now_ns () - t0) / orders, "ns");
  cf_config_unref (c);
}

static void
measure_guard (void)
{
  const int n = 100000;
  CfGuard g;
  char key[64];
  char token[64];
  char *holder = NULL;
  gsize before;
  double t0;

  cf_guard_init (&g, 600000, (guint)n, 0);
  before = mallinfo2 ().uordblks;
  t0 = now_ns ();
  for (int i = 0; i < n; i++)
    {
      g_snprintf (key, sizeof key, "aspen-order-note-%08d", i);
      g_snprintf (token, sizeof token, "e1-%08d-0123456789abcdef", i);
      sink += cf_guard_claim (&g, key, token, "10.0.0.1:7101", i, &holder);
    }
  print_slope ("guard: claim a key", (now_ns () - t0) / n, "ns");
  print_slope ("guard: memory of a claim",
               (double)(mallinfo2 ().uordblks - before) / n, "B");
  cf_guard_clear (&g);
}

static void
measure_placement (void)
{
  CfExpertMap *m = cf_expert_map_new (EXPERTS, RANKS, 2);
  CfPlacement p = { .kind = CF_PLACEMENT_BOUNDED };
  double tokens[EXPERTS];
  CfPlacementPlan plan;
  double t0;

  p.u.bounded.skew_weight = 1;
  p.u.bounded.max_moves = 16;
  for (int e = 0; e < EXPERTS; e++)
    tokens[e] = 1000.0 / (e * 37 % EXPERTS + 1);
  t0 = now_ns ();
  plan = cf_placement_plan (&p, m, tokens);
  print_slope ("placement: plan 16 moves, 128 ranks", (now_ns () - t0) / 1e6,
               "ms");
  if (plan.map)
    {
      json_t *j = cf_expert_map_to_json (plan.map);
      g_autofree char *text = json_dumps (j, JSON_COMPACT);

      print_slope ("map change: size of a prepare, 128 ranks",
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

  rc = cf_daemon_parse_options (&argc, &argv, "comfrey-slopes",
                                "Measures what decisions cost at letter "
                                "1's size, for docs/CAPACITY.md.",
                                opts);
  if (rc >= 0)
    return rc;
  measure_config ();
  measure_guard ();
  measure_placement ();
  return 0;
}
