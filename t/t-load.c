/*
 * What the load tool counts as answered, with an entry and a service in this
 * process.
 */
#include "harness.h"
#include "http-server.h"

#include <check.h>
#include <string.h>

#define ADDR "127.0.0.1:17960"
#define URL "http://" ADDR
#define SESSION "t/out/t-load.jsonl"

/* What the server answers to calls, directly or through an entry, and to
 * questions for its counts. */
typedef struct
{
  const char *answer;
  const char *counts;
} Answers;

static void
serve (void *data, const CfHttpRequest *req, CfHttpReply *rep)
{
  const Answers *a = data;

  rep->body = g_strdup (g_str_equal (req->path, "/test/counts") ? a->counts
                                                                : a->answer);
}

/* Runs the load tool with one request; returns its line. */
static char *
run_load (Answers *a, char *way)
{
  char *argv[] = { "./comfrey-load", "--threads", "1", "--session", SESSION,
                   "--service",      URL,         way, URL,         NULL };
  CfHttpServer *server = NULL;
  char *line = NULL;

  g_mkdir_with_parents ("t/out", 0755);
  g_file_set_contents (SESSION, "{\"body\":{\"prompt\":\"p1\"}}\n", -1, NULL);
  ck_assert_int_eq (cf_http_server_start (ADDR, serve, a, &server), CF_OK);
  ck_assert (g_spawn_sync (NULL, argv, NULL, G_SPAWN_STDERR_TO_DEV_NULL, NULL,
                           NULL, &line, NULL, NULL, NULL));
  cf_http_server_stop (server);
  return line;
}

static const struct
{
  char *way;
  Answers answers;
  const char *line; /* its beginning */
} runs[] = {
  { "--entry",
    { "{\"answer\":{\"text\":\"p1\"}}", "{\"k\":1}" },
    "answered=1 refused=0 lost=0 doubled=0" },
  { "--direct",
    { "{\"text\":\"p1\"}", "{\"k\":2}" },
    "answered=1 refused=0 lost=0 doubled=1" },
  /* An entry passes on an answer that is not JSON as a string. */
  { "--entry",
    { "{\"answer\":\"{\\\"text\\\":\\\"p1\\\",\"}", "{}" },
    "answered=0 refused=0 lost=1 doubled=0" },
  { "--direct", { "{\"text\":\"p1\"", "{}" }, "answered=0 refused=0 lost=1" },
  { "--direct",
    { "{\"text\":\"p1\"}", "{\"k\":2" },
    "answered=1 refused=0 lost=0 doubled=-1" },
};

START_TEST (test_answer_or_counts_cut_short_are_not_taken)
{
  Answers a = runs[_i].answers;
  g_autofree char *line = run_load (&a, runs[_i].way);

  ck_assert_msg (g_str_has_prefix (line, runs[_i].line), "%s %s: %s",
                 runs[_i].way, a.answer, line);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("load");
  TCase *tc = tcase_create ("counts");

  tcase_set_timeout (tc, 60);
  tcase_add_loop_test (tc, test_answer_or_counts_cut_short_are_not_taken, 0,
                       G_N_ELEMENTS (runs));
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
