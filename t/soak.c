/*
 * make soak: plays seeds one after another, each in a process of its own, and
 * sums up.  Exit status: 1 if a promise was broken.
 */
#include "soak.h"

#include "harness.h"
#include "platform-harness.h"

#include <glib/gstdio.h>
#include <stdio.h>
#include <unistd.h>

/** A seed that takes longer hangs: 15 s is usual. */
#define SEED_S_MAX 90

static int base = 31000;
static int first = 1;
static int n_seeds = 1;
static gboolean keep_logs;

static const GOptionEntry entries[] = {
  { "seed", 0, 0, G_OPTION_ARG_INT, &first, "The first seed", "S" },
  { "seeds", 0, 0, G_OPTION_ARG_INT, &n_seeds, "How many", "N" },
  { "base", 0, 0, G_OPTION_ARG_INT, &base, "The first port; 700 are used",
    "PORT" },
  { "keep", 0, 0, G_OPTION_ARG_NONE, &keep_logs, "Keep the logs of all seeds",
    NULL },
  { NULL },
};

/** What the process of a seed needs of its parent's. */
static struct
{
  const SoakPlan *plan;
  const char *folder;
  int result_fd;
} seed;

static void
play (const SoakPlan *p, SoakResult *r)
{
  SoakFleet *f = soak_fleet_start (p, base);

  soak_shared_start (p, base);
  soak_callers_start (p, base);
  soak_fleet_play (f);
  soak_callers_await_recovery ();
  soak_shared_check ();
  soak_callers_stop (r);
  soak_fleet_check_targets (f);
  r->broken = soak_verdict ();
  r->faults = p->faults->len;
  soak_plan_count_pairs (p, r);
  soak_fleet_stop (f);
}

/* What a seed prints goes beside its logs.  It is a test of its own, so that
 * a harness that gives up takes down this seed alone. */
START_TEST (a_seed)
{
  g_autofree char *out = g_build_filename (seed.folder, "played.txt", NULL);
  SoakResult r = { 0 };

  ck_assert_ptr_nonnull (freopen (out, "w", stdout));
  p_overrides.log_dir = seed.folder;
  play (seed.plan, &r);
  fflush (stdout);
  ck_assert_int_eq (write (seed.result_fd, &r, sizeof r), sizeof r);
}
END_TEST

static void
run_seed (void)
{
  Suite *s = suite_create ("soak");
  TCase *t = tcase_create ("seed");
  SRunner *sr = srunner_create (s);

  tcase_set_timeout (t, SEED_S_MAX);
  tcase_add_test (t, a_seed);
  suite_add_tcase (s, t);
  srunner_run_all (sr, CK_SILENT);
  if (srunner_ntests_failed (sr))
    srunner_print (sr, CK_NORMAL);
  srunner_free (sr);
}

/* Logs of former plays of the seed go. */
static void
empty (const char *folder)
{
  g_autoptr (GDir) dir = NULL;
  const char *name;

  g_mkdir_with_parents (folder, 0755);
  dir = g_dir_open (folder, 0, NULL);
  while (dir && (name = g_dir_read_name (dir)))
    {
      g_autofree char *file = g_build_filename (folder, name, NULL);

      g_unlink (file);
    }
}

static void
tell_broken (const SoakPlan *p, const char *folder)
{
  g_autofree char *file = g_build_filename (folder, "played.txt", NULL);
  g_autofree char *text = NULL;

  soak_plan_print (p);
  if (g_file_get_contents (file, &text, NULL, NULL))
    fputs (text, stdout);
  printf ("logs: %s\nagain: make soak SEED=%u\n", folder, p->seed);
}

/* Plays seed @number; FALSE if a promise was broken. */
static gboolean
play_seed (guint32 number, SoakResult *r)
{
  SoakPlan *p = soak_plan_new (number);
  g_autofree char *folder = g_strdup_printf ("t/out/soak-%u", number);
  int fds[2];
  gboolean good = FALSE;

  empty (folder);
  fflush (stdout);
  if (pipe (fds) != 0)
    goto out;
  seed.plan = p;
  seed.folder = folder;
  seed.result_fd = fds[1];
  run_seed ();
  close (fds[1]);
  good = read (fds[0], r, sizeof *r) == sizeof *r && r->broken == 0;
  close (fds[0]);
  if (good && !keep_logs)
    {
      empty (folder);
      g_rmdir (folder);
    }
  if (!good)
    tell_broken (p, folder);
out:
  soak_plan_free (p);
  return good;
}

static void
add (SoakResult *sum, const SoakResult *r)
{
  sum->requests += r->requests;
  sum->served += r->served;
  sum->faults += r->faults;
  for (int i = 0; i < SOAK_KINDS; i++)
    for (int j = i; j < SOAK_KINDS; j++)
      sum->pairs[i][j] += r->pairs[i][j];
}

/* Which pairs of faults overlapped, and which never did. */
static void
print_pairs (const SoakResult *sum)
{
  int played = 0;
  int all = 0;
  GString *missing = g_string_new (NULL);

  for (int i = 0; i < SOAK_KINDS; i++)
    for (int j = i; j < SOAK_KINDS; j++)
      {
        all++;
        if (sum->pairs[i][j])
          played++;
        else
          g_string_append_printf (missing, " %s+%s",
                                  soak_kind_name ((SoakKind)i),
                                  soak_kind_name ((SoakKind)j));
      }
  printf ("served=%u pairs=%d of %d, not played:%s\n", sum->served, played, all,
          missing->len ? missing->str : " none");
  g_string_free (missing, TRUE);
}

int
main (int argc, char **argv)
{
  GOptionContext *ctx = g_option_context_new (NULL);
  g_autofree char *turn = NULL;
  GError *err = NULL;
  SoakResult sum = { 0 };
  guint broken = 0;

  g_option_context_set_summary (ctx, "Plays faults drawn from seeds.");
  g_option_context_add_main_entries (ctx, entries, NULL);
  if (!g_option_context_parse (ctx, &argc, &argv, &err))
    {
      fprintf (stderr, "soak: %s\n", err->message);
      return 2;
    }
  turn = g_strdup_printf ("soak-%d", base);
  t_acquire_lock (turn);
  for (int i = 0; i < n_seeds; i++)
    {
      SoakResult r = { 0 };

      broken += !play_seed ((guint32)(first + i), &r);
      add (&sum, &r);
      fflush (stdout);
    }
  print_pairs (&sum);
  printf ("seeds=%d broken=%u requests=%u faults=%u\n", n_seeds, broken,
          sum.requests, sum.faults);
  return broken > 0;
}
