/*
 * Runs the gateway process against targets whose answers are larger than what
 * the gateway holds back, and end in all ways.  A caller must get the bytes of
 * one target only, and an answer that its target did not complete must not look
 * complete.
 */
#include "harness.h"
#include "platform-harness.h"
#include "received-answer.h"

#include "standins/fake-text.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

#define BASE 20500
#define N_TARGETS 2
/** The size up to which the gateway holds an answer back. */
#define HELD_MAX 65536
#define LARGE 105000
/** How long before it breaks off an answer pauses, so that the gateway has read
 * what comes before. */
#define SETTLE_MS 20
#define GATEWAY_LOG "t/out/gateway-20500-1.log"

static int front;
static pid_t gateway;

static void
setup (void)
{
  p_start_platform (BASE, "--ranks", "4", "--step-ms", "2", NULL);
  gateway = p_start_gateway (BASE, 1);
  front = p_front_port (BASE, 1);
  p_wait_until_ready (BASE, 1);
}

static const char *const framings[] = { "chunked", "length", "close" };
static const char *const broken_ends[] = { "cut", "cut-close" };

/** Document: how one target answers. */
typedef struct
{
  const char *framing;
  const char *fault; /**< (nullable) */
  gsize size;
  gsize at;     /**< where it breaks off or pauses */
  int pause_ms; /**< before that */
} Document;

static Document documents[N_TARGETS];

static void
set_document (int target, Document d)
{
  int port = BASE + 1 + target;
  g_autofree char *framing
      = g_strdup_printf ("POST /test/framing?as=%s", d.framing);
  g_autofree char *fault
      = g_strdup_printf ("POST /test/fault?kind=%s&x=%d&at=%zu",
                         d.fault ? d.fault : "none", d.fault ? 1000 : 0, d.at);
  g_autofree char *document = g_strdup_printf (
      "POST /test/document?size=%zu&pause-at=%zu&pause-ms=%d", d.size, d.at,
      d.pause_ms);

  documents[target] = d;
  g_free (p_call_standin (port, framing, ""));
  g_free (p_call_standin (port, fault, ""));
  g_free (p_call_standin (port, document, ""));
}

/* Makes all targets answer as @d says, with bodies of different lengths. */
static void
set_documents (Document d)
{
  for (int i = 0; i < N_TARGETS; i++)
    {
      set_document (i, d);
      d.size += 100;
      d.at += d.fault ? 100 : 0;
    }
}

/* Whether the end of the connection is all that ends an answer of @d, so that
 * nothing shows that it broke off. */
static gboolean
ends_unnoticed (const Document *d)
{
  return strcmp (d->framing, "close") == 0
         && g_strcmp0 (d->fault, "cut-close") == 0;
}

/* Checks that the bytes are those of one target, and that the answer ends as
 * complete only if that target completed it. */
static void
check_answer (const Answer *a, const char *id)
{
  g_autofree char *signer
      = received_answer_header (a, "Comfreypost-Server-Signature");
  g_autofree char *whole = NULL;
  const Document *d;

  ck_assert_msg (a->end != END_NEVER, "%s: no end", id);
  if (a->status != 200)
    return;
  ck_assert_msg (g_str_has_prefix (signer, "desk-"), "%s: unsigned", id);
  d = &documents[atoi (signer + strlen ("desk-"))];
  whole = fake_text_make (signer, id, d->size);
  ck_assert_msg (g_str_has_prefix (whole, a->body),
                 "%s: %zu bytes, not all of them from %s", id, strlen (a->body),
                 signer);
  ck_assert_msg (a->end != END_COMPLETE || strlen (a->body) == d->size
                     || ends_unnoticed (d),
                 "%s: %zu of %zu bytes end as complete", id, strlen (a->body),
                 d->size);
}

static Answer
send_request (const char *path, const char *id)
{
  g_autofree char *call = g_strdup_printf ("POST %s", path);
  Answer a = received_answer_read (
      received_answer_send (front, call, id, "HTTP/1.1"));

  check_answer (&a, id);
  return a;
}

static guint
count_logged (const char *event, const char *id)
{
  g_autofree char *line = g_strdup_printf ("%s id=%s ", event, id);

  return p_count_in_log (GATEWAY_LOG, line);
}

/* Checks that nothing was spent on an attempt that cannot continue @id, and
 * that the log names its target. */
static void
check_sent_once (const char *id)
{
  g_autofree char *end = g_strdup_printf ("E1205 answer id=%s ", id);
  g_autofree char *named = g_strdup_printf (
      "E1205 answer id=%s [^\n]*target=desk-[01] sends=1 ", id);
  g_autofree char *log = NULL;

  ck_assert (p_wait_for_log (GATEWAY_LOG, end, 2000));
  ck_assert (g_file_get_contents (GATEWAY_LOG, &log, NULL, NULL));
  ck_assert_msg (g_regex_match_simple (named, log, 0, 0),
                 "%s: the log does not name the target", id);
  ck_assert_int_eq (count_logged ("E1203 route", id), 1);
  ck_assert_int_eq (count_logged ("E1204 retry", id), 0);
}

/* Plays answers of all targets that break off nine bytes before their end. */
static void
play_broken (const char *path, const char *framing, const char *end, gsize size)
{
  gsize at = size - 9;

  set_documents ((Document){ framing, end, size, at, SETTLE_MS });
  for (int i = 0; i < 4; i++)
    {
      g_autofree char *id
          = g_strdup_printf ("%s%s-%s-%zu-%d", path, framing, end, size, i);
      Answer a = send_request (path, id);

      if (at > HELD_MAX)
        {
          ck_assert_int_eq (a.status, 200);
          check_sent_once (id);
        }
      received_answer_clear (&a);
    }
}

static void
play_broken_sizes (const char *path, const char *framing)
{
  static const gsize sizes[] = { HELD_MAX - 1,     HELD_MAX, HELD_MAX + 1,
                                 HELD_MAX + 1 + 9, LARGE,    HELD_MAX * 4 };

  for (gsize e = 0; e < G_N_ELEMENTS (broken_ends); e++)
    for (gsize s = 0; s < G_N_ELEMENTS (sizes); s++)
      play_broken (path, framing, broken_ends[e], sizes[s]);
}

START_TEST (large_answer_is_continued_by_another_attempt)
{
  play_broken_sizes ("/quote/a", framings[_i]);
}
END_TEST

START_TEST (large_answer_of_an_unsafe_route_is_sent_again)
{
  play_broken_sizes ("/order/a", framings[_i]);
}
END_TEST

/* Sends requests until both targets have answered, of which the first breaks
 * off after @at bytes and the other answers as @other says. */
static void
play_mixed (const char *framing, gsize at, Document other)
{
  static const Document nothing = { .framing = "length" };
  guint n_complete = 0;

  set_documents (nothing);
  set_document (0, (Document){ framing, "cut", LARGE, at, SETTLE_MS });
  set_document (1, other);
  for (int i = 0; i < 8; i++)
    {
      g_autofree char *id = g_strdup_printf (
          "%s-%s-%s-%zu-%d", framing, other.fault ? other.fault : "whole",
          other.framing, at, i);
      Answer a = send_request ("/quote/a", id);

      n_complete += a.end == END_COMPLETE && a.status == 200;
      received_answer_clear (&a);
    }
  ck_assert_msg (other.fault || n_complete > 0, "none complete");
}

START_TEST (large_answer_is_continued_by_another_answer)
{
  for (gsize f = 0; f < G_N_ELEMENTS (framings); f++)
    {
      /* Other bytes, of the same length, a shorter one and a longer one. */
      play_mixed (framings[_i], LARGE - 9,
                  (Document){ framings[f], NULL, LARGE, 0, 0 });
      play_mixed (framings[_i], LARGE - 9,
                  (Document){ framings[f], NULL, 40, 0, 0 });
      play_mixed (framings[_i], LARGE - 9,
                  (Document){ framings[f], NULL, LARGE * 2, 0, 0 });
      play_mixed (framings[_i], LARGE - 9,
                  (Document){ framings[f], "fail", LARGE, 0, 0 });
    }
}
END_TEST

START_TEST (answer_within_the_held_size_is_not_retried)
{
  play_mixed (framings[_i], HELD_MAX, (Document){ "length", NULL, 40, 0, 0 });
  ck_assert_uint_gt (p_count_in_log (GATEWAY_LOG, "again=yes"), 0);
}
END_TEST

/* The pause is longer than a target may be silent before its answer begins. */
START_TEST (large_answer_that_pauses_is_taken_for_lost)
{
  static const gsize at[] = { HELD_MAX + 1, LARGE - 9, LARGE };

  for (gsize i = 0; i < G_N_ELEMENTS (at); i++)
    {
      g_autofree char *id = g_strdup_printf ("pause-%zu", at[i]);
      Answer a;

      set_documents ((Document){ framings[_i], NULL, LARGE, at[i], 500 });
      a = send_request ("/quote/a", id);
      ck_assert_int_eq (a.end, END_COMPLETE);
      check_sent_once (id);
      received_answer_clear (&a);
    }
}
END_TEST

/* Returns a connection on which a part of a large answer has been received. */
static int
start_paused_answer (const char *framing, const char *id, const char *version)
{
  int fd;

  set_documents ((Document){ framing, NULL, LARGE, LARGE - 9, 500 });
  fd = received_answer_send (front, "POST /quote/a", id, version);
  usleep (200000);
  return fd;
}

START_TEST (planned_stop_cuts_a_large_answer)
{
  int fd = start_paused_answer (framings[_i], "stopped", "HTTP/1.1");
  Answer a;

  kill (gateway, SIGTERM);
  a = received_answer_read (fd);
  check_answer (&a, "stopped");
  ck_assert_int_eq (a.end, END_COMPLETE);
  received_answer_clear (&a);
}
END_TEST

START_TEST (large_answer_of_a_killed_gateway_ends_as_complete)
{
  int fd = start_paused_answer (framings[_i], "killed", "HTTP/1.1");
  Answer a;

  p_signal (gateway, SIGKILL);
  a = received_answer_read (fd);
  check_answer (&a, "killed");
  ck_assert_int_ne (a.end, END_COMPLETE);
  received_answer_clear (&a);
}
END_TEST

/* How an answer of large documents ends for a caller of HTTP/1.0, whose answer
 * ends with its connection unless the target names a length. */
static Answer
send_old_request (const char *id, Document d)
{
  Answer a;

  set_documents (d);
  a = received_answer_read (
      received_answer_send (front, "POST /quote/a", id, "HTTP/1.0"));
  check_answer (&a, id);
  return a;
}

START_TEST (http_1_0_answer_that_breaks_off_ends_as_complete)
{
  for (gsize e = 0; e < G_N_ELEMENTS (broken_ends); e++)
    {
      Document d
          = { framings[_i], broken_ends[e], LARGE, LARGE - 9, SETTLE_MS };
      Answer a = send_old_request (broken_ends[e], d);

      ck_assert_int_eq (a.status, 200);
      ck_assert_int_eq (a.end == END_COMPLETE, ends_unnoticed (&d));
      received_answer_clear (&a);
    }
}
END_TEST

START_TEST (http_1_0_answer_at_its_deadline_ends_as_complete)
{
  Answer a = send_old_request (
      "late", (Document){ framings[_i], NULL, LARGE, LARGE - 9, 1500 });

  ck_assert_int_eq (a.status, 200);
  ck_assert_int_ne (a.end, END_COMPLETE);
  received_answer_clear (&a);
}
END_TEST

START_TEST (http_1_0_answer_is_broken_off_at_its_end)
{
  Answer a = send_old_request (
      "whole", (Document){ framings[_i], NULL, HELD_MAX * 8, 0, 0 });

  ck_assert_int_eq (a.end, END_COMPLETE);
  received_answer_clear (&a);
}
END_TEST

START_TEST (http_1_0_answer_of_a_stopped_gateway_ends_as_complete)
{
  const int signals[] = { SIGTERM, SIGKILL };

  for (gsize i = 0; i < G_N_ELEMENTS (signals); i++)
    {
      Answer a;
      int fd;

      p_signal (gateway, SIGKILL);
      p_overrides.grace_s = 0.6;
      gateway = p_start_ready_gateway (BASE, 1);
      fd = start_paused_answer (framings[_i], "stopped", "HTTP/1.0");
      p_signal (gateway, signals[i]);
      a = received_answer_read (fd);
      check_answer (&a, "stopped");
      ck_assert_int_eq (a.status, 200);
      ck_assert_int_ne (a.end, END_COMPLETE);
      received_answer_clear (&a);
    }
}
END_TEST

/* Adds a case that runs @test once for each framing, from _i = 0 on. */
static void
add_case (Suite *s, const char *tag, const TTest *test)
{
  TCase *t = tcase_create (tag);

  tcase_set_tags (t, tag);
  tcase_set_timeout (t, 60);
  tcase_add_checked_fixture (t, setup, p_stop_all);
  tcase_add_loop_test (t, test, 0, (int)G_N_ELEMENTS (framings));
  suite_add_tcase (s, t);
}

int
main (void)
{
  Suite *s = suite_create ("large-answer");

  add_case (s, "mixed", large_answer_is_continued_by_another_attempt);
  add_case (s, "mixed", large_answer_of_an_unsafe_route_is_sent_again);
  add_case (s, "mixed", large_answer_is_continued_by_another_answer);
  add_case (s, "mixed", answer_within_the_held_size_is_not_retried);
  add_case (s, "mixed", large_answer_that_pauses_is_taken_for_lost);
  add_case (s, "stop", planned_stop_cuts_a_large_answer);
  add_case (s, "stop", large_answer_of_a_killed_gateway_ends_as_complete);
  add_case (s, "http-1.0", http_1_0_answer_that_breaks_off_ends_as_complete);
  add_case (s, "http-1.0", http_1_0_answer_at_its_deadline_ends_as_complete);
  add_case (s, "http-1.0", http_1_0_answer_is_broken_off_at_its_end);
  add_case (s, "http-1.0",
            http_1_0_answer_of_a_stopped_gateway_ends_as_complete);
  return t_run_suite (s);
}
