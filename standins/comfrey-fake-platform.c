/*
 * The stand-in of the platform, for the demo and the tests: the metadata store
 * with an initial configuration, targets of a plain service, and the ranks of
 * one model engine.  All listen on 127.0.0.1: the store at --port, the plain
 * targets at the ports after it, and the ranks at the ports after those.
 */
#include "fake-target.h"
#include "platform/names.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>

static int port = 7500;
static int n_plain = 2;
static int n_ranks = 4;
static int n_groups = 1;
static int n_data_centres = 1;
static int n_slots = 6;
static int queue_max = -1;
static gboolean has_tiers;
static int work_ms = 10;
static double form_ms = 0;
static double shift_s = 0;
static double step_ms = 5;
static double per_seq_ms = 0;
static double copy_ms = 20;

static const GOptionEntry option_entries[] = {
  { "port", 0, 0, G_OPTION_ARG_INT, &port, "Port of the store", "N" },
  { "plain", 0, 0, G_OPTION_ARG_INT, &n_plain, "Number of plain targets", "N" },
  { "ranks", 0, 0, G_OPTION_ARG_INT, &n_ranks, "Number of ranks of a group",
    "N" },
  { "groups", 0, 0, G_OPTION_ARG_INT, &n_groups,
    "Number of rank groups; of several, each is in one data centre", "N" },
  { "data-centres", 0, 0, G_OPTION_ARG_INT, &n_data_centres,
    "Number of data centres, \"dc1\" and so on, that targets are in by turns",
    "N" },
  { "work-ms", 0, 0, G_OPTION_ARG_INT, &work_ms,
    "Time that a plain request takes", "MS" },
  { "slots", 0, 0, G_OPTION_ARG_INT, &n_slots,
    "Requests that a plain target runs at once, as its record says", "N" },
  { "queue", 0, 0, G_OPTION_ARG_INT, &queue_max,
    "Further requests that a plain target queues; it refuses those beyond "
    "(without this option it runs twice its slots at once)",
    "N" },
  { "tiers", 0, 0, G_OPTION_ARG_NONE, &has_tiers,
    "Adds routes of the desk with priorities 0 (/urgent/), 1 (/shared/) and 2 "
    "(/basic/), and the organisations small and large, which have equal "
    "priorities, plain-a and plain-b, which have none; the key of each is "
    "\"key-NAME\"",
    NULL },
  { "copy-ms", 0, 0, G_OPTION_ARG_DOUBLE, &copy_ms,
    "Time in which a rank copies one expert", "MS" },
  { "step-ms", 0, 0, G_OPTION_ARG_DOUBLE, &step_ms,
    "Duration of a pass at even load, without streams", "MS" },
  { "per-seq-ms", 0, 0, G_OPTION_ARG_DOUBLE, &per_seq_ms,
    "Added to a pass for each stream per rank, on average", "MS" },
  { "form-ms", 0, 0, G_OPTION_ARG_DOUBLE, &form_ms,
    "Time until a group that has lost a rank opens again; 0: it stays open",
    "MS" },
  { "shift-s", 0, 0, G_OPTION_ARG_DOUBLE, &shift_s,
    "Interval at which demand moves to other experts; 0: never", "S" },
  { NULL },
};

/* The parts of the initial configuration between which --tiers adds routes and
 * organisations. */
static const char config_routes[]
    = "{\"version\":1,\"routes\":["
      "{\"name\":\"chat\",\"host\":\"demo.example\",\"prefix\":\"/chat/\","
      "\"kind\":\"streaming\",\"timeout-ms\":8000,\"aim-ms\":500,"
      "\"priority\":1,\"service\":\"llm\",\"max-attempts\":2,"
      "\"public\":false,\"resumable\":true,\"gap-aim-ms\":120},"
      "{\"name\":\"talk\",\"host\":\"demo.example\",\"prefix\":\"/talk/\","
      "\"kind\":\"streaming\",\"timeout-ms\":8000,\"aim-ms\":500,"
      "\"priority\":1,\"service\":\"llm\",\"max-attempts\":2,"
      "\"public\":false,\"resumable\":false,\"gap-aim-ms\":120},"
      "{\"name\":\"order\",\"host\":\"demo.example\",\"prefix\":\"/order/\","
      "\"kind\":\"unsafe\",\"timeout-ms\":800,\"aim-ms\":150,\"priority\":2,"
      "\"service\":\"desk\",\"max-attempts\":1,\"public\":false},"
      "{\"name\":\"quote\",\"host\":\"demo.example\",\"prefix\":\"/quote/\","
      "\"kind\":\"safe\",\"timeout-ms\":800,\"aim-ms\":150,\"priority\":2,"
      "\"service\":\"desk\",\"max-attempts\":2,\"public\":false},"
      "{\"name\":\"open\",\"host\":\"demo.example\",\"prefix\":\"/open/\","
      "\"kind\":\"safe\",\"timeout-ms\":800,\"aim-ms\":150,\"priority\":2,"
      "\"service\":\"desk\",\"max-attempts\":2,\"public\":true}";
static const char config_services[]
    = "],"
      "\"services\":[{\"name\":\"llm\",\"max-conns\":200,\"engine\":{"
      "\"slots\":12,\"step_ms\":4,\"per_seq_ms\":0.9,\"read_per_s\":61400,"
      "\"stride\":4,"
      "\"usual\":{\"prompt\":800,\"answer\":96},\"sets\":2,\"experts\":16,"
      "\"places\":6,\"spare\":2,\"form_ms\":600}},"
      "{\"name\":\"desk\",\"max-conns\":96,\"cold-start-s\":0,"
      "\"cold-per-s\":20}],"
      "\"limits\":{\"max-header-bytes\":4096,\"max-body-bytes\":65536,"
      "\"header-timeout-ms\":600,\"idle-timeout-ms\":3000},"
      "\"tenants\":[{\"name\":\"museum\",\"api-keys\":[\"key-museum\"]}";
static const char config_end[] = "]}";

#define TIER_ROUTE(name, priority)                                             \
  ",{\"name\":\"" name "\",\"host\":\"demo.example\",\"prefix\":\"/" name      \
  "/\",\"kind\":\"safe\",\"timeout-ms\":8000,\"aim-ms\":500,"                  \
  "\"priority\":" priority                                                     \
  ",\"service\":\"desk\",\"max-attempts\":2,\"public\":false}"
#define TIER_ORG(name, priority)                                               \
  ",{\"name\":\"" name "\",\"api-keys\":[\"key-" name "\"]" priority "}"

static const char tier_routes[] = TIER_ROUTE ("urgent", "0")
    TIER_ROUTE ("shared", "1") TIER_ROUTE ("basic", "2");
static const char tier_orgs[] = TIER_ORG ("small", ",\"priority\":1")
    TIER_ORG ("large", ",\"priority\":1") TIER_ORG ("plain-a", "")
        TIER_ORG ("plain-b", "");

static char *
initial_config (void)
{
  return g_strconcat (config_routes, has_tiers ? tier_routes : "",
                      config_services, has_tiers ? tier_orgs : "", config_end,
                      NULL);
}

static void
place_target (FakeTarget *t, int dc)
{
  g_autofree char *name
      = g_strdup_printf ("dc%d", 1 + dc % MAX (n_data_centres, 1));

  fake_target_set_data_centre (t, name);
}

static char *
target_addr (int n)
{
  return g_strdup_printf ("127.0.0.1:%d", port + 1 + n);
}

static void
start_plain_target (struct ev_loop *loop, FakeStore *store, int i)
{
  g_autofree char *addr = target_addr (i);
  g_autofree char *id = g_strdup_printf ("desk-%d", i);
  FakeTarget *t
      = fake_target_new_plain (loop, store, id, "desk", addr, n_slots, work_ms);

  fake_target_set_queue (t, queue_max);
  place_target (t, i);
}

static void
start_rank (struct ev_loop *loop, FakeStore *store, FakeGroup *g, int group,
            int rank)
{
  int n = group * n_ranks + rank;
  g_autofree char *addr = target_addr (n_plain + n);
  g_autofree char *id = g_strdup_printf ("rank-%d", n);

  place_target (
      fake_target_new_rank (loop, store, g, rank, id, "llm", addr, 12),
      n_groups > 1 ? group : n_plain + n);
}

static void
start_targets (struct ev_loop *loop, FakeStore *store)
{
  const FakeGroupShape shape = { .ranks = n_ranks,
                                 .sets = 2,
                                 .experts = 16,
                                 .places = 6,
                                 .spare = 2,
                                 .step_ms = step_ms,
                                 .per_seq_ms = per_seq_ms,
                                 .copy_ms = copy_ms,
                                 .shift_s = shift_s,
                                 .form_ms = form_ms };

  for (int i = 0; i < n_plain; i++)
    start_plain_target (loop, store, i);
  for (int k = 0; n_ranks > 0 && k < n_groups; k++)
    {
      g_autofree char *name = g_strdup_printf ("g%d", k);
      FakeGroup *g = fake_group_new (loop, name, &shape);

      for (int r = 0; r < n_ranks; r++)
        start_rank (loop, store, g, k, r);
    }
}

static void
on_stop_signal (struct ev_loop *loop, ev_signal *w, int revents)
{
  ev_break (loop, EVBREAK_ALL);
}

int
main (int argc, char **argv)
{
  GOptionContext *ctx = g_option_context_new (NULL);
  struct ev_loop *loop = ev_default_loop (0);
  GError *err = NULL;
  ev_signal stop_signal;
  g_autofree char *config = NULL;
  FakeStore *store;
  char *addr;

  g_option_context_set_summary (ctx,
                                "Runs a stand-in of the platform: the store, "
                                "plain targets and a rank group.");
  g_option_context_add_main_entries (ctx, option_entries, NULL);
  if (!g_option_context_parse (ctx, &argc, &argv, &err))
    {
      fprintf (stderr, "comfrey-fake-platform: %s\n", err->message);
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  addr = g_strdup_printf ("127.0.0.1:%d", port);
  store = fake_store_new (loop, addr);
  start_targets (loop, store);
  config = initial_config ();
  fake_store_put (store, PF_KEY_CONFIG, config);
  ev_signal_init (&stop_signal, on_stop_signal, SIGTERM);
  ev_signal_start (loop, &stop_signal);
  ev_run (loop, 0);
  return 0;
}
