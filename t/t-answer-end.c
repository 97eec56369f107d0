/*
 * Runs the gateway process against targets whose answers end in all ways, and
 * checks what the caller can tell of it: an answer that its target did not
 * complete must not look complete.
 */
#include "harness.h"
#include "platform-harness.h"
#include "received-answer.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BASE 21500
#define RANK_1 (BASE + 3)
#define N_RANKS 4
/** Events of the streams. */
#define N_EVENTS 4
/** Length of an event of the stand-in with a number of one digit. */
#define EVENT_BYTES 21
#define GATEWAY_LOG "t/out/gateway-21500-1.log"

static int front;

static void
setup (void)
{
  p_start_platform (BASE, "--ranks", "4", "--step-ms", "2", NULL);
  p_start_gateway (BASE, 1);
  front = p_front_port (BASE, 1);
  p_wait_until_ready (BASE, 1);
}

static const char *const framings[] = { "chunked", "length", "close" };
static const char *const cuts[] = { "cut", "cut-close", "cut-end" };

static Answer
send_request (const char *method_and_path, const char *id, const char *version)
{
  return received_answer_read (
      received_answer_send (front, method_and_path, id, version));
}

/** Cut: how the streams of all ranks break off. */
typedef struct
{
  const char *framing;
  const char *how;
  int at;              /**< bytes of the body that are sent */
  const char *resumed; /**< (nullable): fault of the streams that are resumed */
  int unnumbered_from; /**< the first event without an id; 0: all have one */
} Cut;

static void
set_cut (const Cut *c)
{
  g_autofree char *framing
      = g_strdup_printf ("POST /test/framing?as=%s", c->framing);
  g_autofree char *fault = g_strdup_printf (
      "POST /test/fault?kind=%s&x=1000&at=%d%s%s", c->how, c->at,
      c->resumed ? "&resumed=" : "", c->resumed ? c->resumed : "");
  g_autofree char *unnumbered
      = g_strdup_printf ("POST /test/unnumbered?from=%d", c->unnumbered_from);

  for (int i = 0; i < N_RANKS; i++)
    {
      g_free (p_call_standin (RANK_1 + i, framing, ""));
      g_free (p_call_standin (RANK_1 + i, fault, ""));
      g_free (p_call_standin (RANK_1 + i, unnumbered, ""));
    }
}

/* The first @n events, without an id from @unnumbered_from on. */
static char *
make_events (int n, int unnumbered_from)
{
  GString *s = g_string_new (NULL);

  for (int i = 1; i <= n; i++)
    {
      if (unnumbered_from == 0 || i < unnumbered_from)
        g_string_append_printf (s, "id: %d\n", i);
      g_string_append_printf (s, "data: token-%d\n\n", i);
    }
  return g_string_free (s, FALSE);
}

/* Checks that a stream of @n_events ends as complete only if it is. */
static void
check_stream (const Answer *a, const char *what)
{
  g_autofree char *whole = make_events (N_EVENTS, 0);

  ck_assert_msg (a->end != END_NEVER, "%s: no end", what);
  if (a->status != 200)
    return;
  ck_assert_msg (g_str_has_prefix (whole, a->body),
                 "%s: not the beginning of one stream: %s", what, a->body);
  ck_assert_msg (strlen (a->body) % EVENT_BYTES == 0,
                 "%s: a part of an event was forwarded: %s", what, a->body);
  ck_assert_msg (a->end != END_COMPLETE || strcmp (a->body, whole) == 0,
                 "%s: %zu of %zu bytes end as complete", what, strlen (a->body),
                 strlen (whole));
}

static void
play_cut (const char *path, const Cut *cut, const char *version)
{
  g_autofree char *what = g_strdup_printf ("%s-%s-%s-%d", path + 6,
                                           cut->framing, cut->how, cut->at);
  Answer a;

  set_cut (cut);
  a = send_request (path, what, version);
  check_stream (&a, what);
  ck_assert_msg (a.status == (cut->at < EVENT_BYTES ? 502 : 200),
                 "%s: status %d", what, a.status);
  ck_assert_msg (a.status == 502
                     || (a.end == END_COMPLETE) == (cut->resumed != NULL),
                 "%s: end %d", what, a.end);
  received_answer_clear (&a);
}

/* Whether a caller could tell that the stream is cut. */
static gboolean
is_visible (const Cut *cut)
{
  if (cut->at % EVENT_BYTES != 0 || strcmp (cut->how, "cut") == 0)
    return TRUE;
  return strcmp (cut->how, "cut-close") == 0
         && strcmp (cut->framing, "close") != 0;
}

/* Sends a stream for every kind of cut and every @step-th position from @first
 * to the end of the second event that shows. */
static void
play_cuts (const char *path, Cut cut, int first, int step)
{
  for (gsize c = 0; c < G_N_ELEMENTS (cuts); c++)
    for (int at = first; at < 2 * EVENT_BYTES; at += step)
      {
        cut.how = cuts[c];
        cut.at = at;
        if (is_visible (&cut))
          play_cut (path, &cut, "HTTP/1.1");
      }
}

START_TEST (stream_cut_inside_an_event_ends_as_complete)
{
  play_cuts ("POST /talk/a", (Cut){ .framing = framings[_i] }, 1, 1);
}
END_TEST

START_TEST (resumable_stream_cut_inside_an_event_ends_as_complete)
{
  play_cuts ("POST /chat/a", (Cut){ .framing = framings[_i] }, EVENT_BYTES + 1,
             1);
}
END_TEST

START_TEST (http_1_0_stream_that_breaks_off_ends_as_complete)
{
  for (gsize c = 0; c < G_N_ELEMENTS (cuts); c++)
    {
      Cut cut = { framings[_i], cuts[c], EVENT_BYTES + 3, NULL, 0 };

      play_cut ("POST /talk/a", &cut, "HTTP/1.0");
      play_cut ("POST /chat/a", &cut, "HTTP/1.0");
    }
}
END_TEST

/* Few positions, since each resumption takes from the retry budget. */
START_TEST (stream_cut_inside_an_event_is_not_resumed)
{
  Cut cut = { .framing = framings[_i], .resumed = "none" };

  play_cuts ("POST /chat/a", cut, EVENT_BYTES + 1, EVENT_BYTES - 2);
}
END_TEST

START_TEST (stream_without_length_is_broken_off_at_its_end)
{
  g_autofree char *whole = make_events (N_EVENTS, 0);

  Cut none = { .framing = framings[_i], .how = "none" };
  Answer a;

  set_cut (&none);
  a = send_request ("POST /talk/a", framings[_i], "HTTP/1.1");
  ck_assert_int_eq (a.end, END_COMPLETE);
  ck_assert_str_eq (a.body, whole);
  received_answer_clear (&a);
}
END_TEST

START_TEST (stream_without_length_or_event_ends_as_complete)
{
  for (gsize c = 0; c < G_N_ELEMENTS (cuts); c++)
    {
      Cut cut = { .framing = "close", .how = cuts[c] };

      play_cut ("POST /talk/a", &cut, "HTTP/1.1");
      play_cut ("POST /chat/a", &cut, "HTTP/1.1");
    }
}
END_TEST

/* Only an event stream can end inside an event. */
START_TEST (resumption_cut_before_its_first_event_ends_as_complete)
{
  Cut cut = { .framing = "close", .how = "cut-close" };
  g_autofree char *r
      = p_build_request ("POST /talk/a", "resumed",
                         "Last-Event-Id: 2\r\nConnection: close\r\n", "");
  int fd = p_connect (front);
  Answer a;

  set_cut (&cut);
  p_send (fd, r);
  a = received_answer_read (fd);
  ck_assert_int_ne (a.status, 0);
  ck_assert_msg (a.end != END_COMPLETE || a.status != 200, "complete: %s",
                 a.body);
  received_answer_clear (&a);
}
END_TEST

START_TEST (document_on_a_route_for_streams_is_broken_off)
{
  Cut cut = { .framing = framings[_i], .how = "document" };
  Answer a;

  set_cut (&cut);
  a = send_request ("POST /talk/a", framings[_i], "HTTP/1.1");
  ck_assert_int_eq (a.status, 200);
  ck_assert_int_eq (a.end, END_COMPLETE);
  ck_assert_str_eq (a.body, "{\"text\":\"no stream\"}");
  received_answer_clear (&a);
}
END_TEST

/* Plays a resumable stream that breaks off after @n events and a half, and of
 * which another attempt cannot be told to be the rest. */
static void
play_unresumable (const char *id, Cut cut, int n)
{
  g_autofree char *whole = make_events (N_EVENTS, cut.unnumbered_from);
  g_autofree char *sent = make_events (n, cut.unnumbered_from);
  Answer a;

  cut.at = (int)strlen (sent) + 5;
  set_cut (&cut);
  a = send_request ("POST /chat/a", id, "HTTP/1.1");
  ck_assert_int_eq (a.status, 200);
  ck_assert_msg (a.end == END_CLOSED || a.end == END_RESET, "%s: end %d", id,
                 a.end);
  ck_assert_str_eq (a.body, sent);
  received_answer_clear (&a);
}

START_TEST (stream_without_event_ids_is_resumed)
{
  play_unresumable (
      "no-ids", (Cut){ framings[_i], "cut", 0, NULL, .unnumbered_from = 1 }, 2);
  play_unresumable (
      "one-id", (Cut){ framings[_i], "cut", 0, NULL, .unnumbered_from = 2 }, 2);
  ck_assert_uint_eq (p_count_in_log (GATEWAY_LOG, "E1212 resume"), 0);
}
END_TEST

START_TEST (stream_is_continued_by_an_answer_that_does_not_fit)
{
  play_unresumable ("document", (Cut){ framings[_i], "cut", 0, "document", 0 },
                    2);
  ck_assert (p_wait_for_log (
      GATEWAY_LOG, "outcome=rejected why=no-event-stream id=document", 2000));
  play_unresumable ("ids-end", (Cut){ framings[_i], "cut", 0, "none", 3 }, 2);
  ck_assert (p_wait_for_log (
      GATEWAY_LOG, "outcome=rejected why=event-without-id id=ids-end", 2000));
}
END_TEST

/* Sends two requests on one connection; what follows the head of the first
 * answer has to be the second one. */
static void
check_next_answer (const char *method_and_path)
{
  g_autofree char *first = p_build_request (method_and_path, "first", NULL, "");
  g_autofree char *second
      = p_build_request ("GET /quote/a", "second", "Connection: close\r\n", "");
  g_autofree char *both = g_strconcat (first, second, NULL);
  g_autoptr (GString) s = g_string_new (NULL);
  int fd = p_connect (front);
  char buf[4096];
  ssize_t n;
  const char *next;

  p_send (fd, both);
  while ((n = recv (fd, buf, sizeof buf, 0)) > 0)
    g_string_append_len (s, buf, n);
  close (fd);
  next = strstr (s->str, "\r\n\r\n");
  ck_assert_ptr_nonnull (next);
  ck_assert_msg (g_str_has_prefix (next + 4, "HTTP/1.1 200 OK\r\n"), "%s: %s",
                 method_and_path, s->str);
}

START_TEST (answer_without_a_body_is_followed_by_bytes_of_one)
{
  Cut none = { .framing = "chunked", .how = "no-content" };

  check_next_answer ("HEAD /none/a");
  check_next_answer ("HEAD /quote/a");
  check_next_answer ("HEAD /talk/a");
  set_cut (&none);
  check_next_answer ("POST /talk/a");
}
END_TEST

START_TEST (log_does_not_tell_a_cut_stream_from_a_complete_one)
{
  g_autoptr (GRegex) lost = g_regex_new (
      "E1407 .*id=logged .*outcome=lost .*framing=close partial_bytes=5\\b", 0,
      0, NULL);
  g_autofree char *log = NULL;
  Cut cut = { .framing = "close", .how = "cut-close", .at = EVENT_BYTES + 5 };
  Answer a;

  set_cut (&cut);
  a = send_request ("POST /talk/a", "logged", "HTTP/1.1");
  received_answer_clear (&a);
  ck_assert (p_wait_for_log (GATEWAY_LOG, "E1205 answer id=logged ", 2000));
  ck_assert (g_file_get_contents (GATEWAY_LOG, &log, NULL, NULL));
  ck_assert_ptr_nonnull (strstr (log, "E1205 answer id=logged outcome=broken"));
  ck_assert (g_regex_match (lost, log, 0, NULL));
  cut.framing = "chunked";
  cut.how = "cut-end";
  set_cut (&cut);
  a = send_request ("POST /talk/a", "logged-2", "HTTP/1.1");
  received_answer_clear (&a);
  ck_assert (p_wait_for_log (GATEWAY_LOG, "E1205 answer id=logged-2 ", 2000));
  ck_assert (p_wait_for_log (GATEWAY_LOG,
                             "framing=chunked partial_bytes=5 config=1", 0));
}
END_TEST

/* Adds a case that runs @test @n times, with _i from 0 on. */
static void
add_case (Suite *s, const char *tag, const TTest *test, gsize n)
{
  TCase *t = tcase_create (tag);

  tcase_set_tags (t, tag);
  tcase_set_timeout (t, 60);
  tcase_add_checked_fixture (t, setup, p_stop_all);
  tcase_add_loop_test (t, test, 0, (int)n);
  suite_add_tcase (s, t);
}

int
main (void)
{
  Suite *s = suite_create ("answer-end");
  const gsize n_framings = G_N_ELEMENTS (framings);

  add_case (s, "whole", stream_without_length_is_broken_off_at_its_end,
            n_framings);
  add_case (s, "cut", stream_cut_inside_an_event_ends_as_complete, n_framings);
  add_case (s, "cut", resumable_stream_cut_inside_an_event_ends_as_complete,
            n_framings);
  add_case (s, "cut", stream_cut_inside_an_event_is_not_resumed, n_framings);
  add_case (s, "cut", stream_without_length_or_event_ends_as_complete, 1);
  add_case (s, "cut", resumption_cut_before_its_first_event_ends_as_complete,
            1);
  add_case (s, "whole", document_on_a_route_for_streams_is_broken_off,
            n_framings);
  add_case (s, "http-1.0", http_1_0_stream_that_breaks_off_ends_as_complete,
            n_framings);
  add_case (s, "ids", stream_without_event_ids_is_resumed, n_framings);
  add_case (s, "ids", stream_is_continued_by_an_answer_that_does_not_fit,
            n_framings);
  add_case (s, "no-body", answer_without_a_body_is_followed_by_bytes_of_one, 1);
  add_case (s, "cut", log_does_not_tell_a_cut_stream_from_a_complete_one, 1);
  return t_run_suite (s);
}
