/* Splitting event streams into complete events, and resuming them. */
#include "gateway/event-stream.h"
#include "harness.h"

#include <string.h>
#include <time.h>

static const char stream[] = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
                             "comment: x\nid:3\ndata: c\n\n";

START_TEST (split_input_yields_the_same_events)
{
  for (gsize step = 1; step < 30; step++)
    {
      CfEventStream s;
      GString *out = g_string_new (NULL);
      guint n = 0;

      cf_event_stream_init (&s);
      for (gsize at = 0; at < strlen (stream); at += step)
        n += cf_event_stream_feed (&s, stream + at,
                                   MIN (step, strlen (stream) - at), out);
      ck_assert_str_eq (out->str, stream);
      ck_assert_uint_eq (n, 3);
      ck_assert_int_eq (s.last_id, 3);
      ck_assert (!cf_event_stream_is_inside_event (&s));
      g_string_free (out, TRUE);
      cf_event_stream_clear (&s);
    }
}
END_TEST

/* Each byte was searched again with each part that came after it. */
START_TEST (event_that_does_not_end_costs_a_constant_time_a_byte)
{
  static const char part[] = "data: 0123456789";
  CfEventStream s;
  GString *out = g_string_new (NULL);
  gint64 cpu_ms;
  clock_t start = clock ();

  cf_event_stream_init (&s);
  for (int i = 0; i < 200000; i++)
    cf_event_stream_feed (&s, part, strlen (part), out);
  cpu_ms = (gint64)(clock () - start) * 1000 / CLOCKS_PER_SEC;
  ck_assert_int_lt (cpu_ms, 1000);
  ck_assert (cf_event_stream_is_too_long (&s));
  ck_assert_uint_eq (out->len, 0);
  g_string_free (out, TRUE);
  cf_event_stream_clear (&s);
}
END_TEST

START_TEST (a_partial_event_is_held_back)
{
  CfEventStream s;
  GString *out = g_string_new (NULL);

  cf_event_stream_init (&s);
  cf_event_stream_feed (&s, "id: 1\ndata: a\n\nid: 2\nda", 23, out);
  ck_assert_str_eq (out->str, "id: 1\ndata: a\n\n");
  ck_assert (cf_event_stream_is_inside_event (&s));
  /* Another target resumes; it may repeat events already received. */
  cf_event_stream_restart (&s);
  g_string_truncate (out, 0);
  cf_event_stream_feed (&s, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 30, out);
  ck_assert_str_eq (out->str, "id: 2\ndata: b\n\n");
  ck_assert_uint_eq (s.n_dropped, 1);
  g_string_free (out, TRUE);
  cf_event_stream_clear (&s);
}
END_TEST

START_TEST (comments_and_blank_lines_are_no_event)
{
  const struct
  {
    const char *tail;
    gboolean is_inside;
  } cases[] = {
    { "", FALSE },          { "\n", FALSE },
    { "\r\n", FALSE },      { ": kept alive\n", FALSE },
    { ":\r\n\n", FALSE },   { ": kept al", TRUE },
    { "\r", TRUE },         { "i", TRUE },
    { "id: 2\n", TRUE },    { "id: 2\ndata: b\n", TRUE },
    { ":\ndata: b", TRUE },
  };

  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      CfEventStream s;
      GString *out = g_string_new (NULL);

      cf_event_stream_init (&s);
      cf_event_stream_feed (&s, "id: 1\ndata: a\n\n", 15, out);
      cf_event_stream_feed (&s, cases[i].tail, strlen (cases[i].tail), out);
      ck_assert_msg (cf_event_stream_is_inside_event (&s) == cases[i].is_inside,
                     "case %zu", i);
      g_string_free (out, TRUE);
      cf_event_stream_clear (&s);
    }
}
END_TEST

START_TEST (comments_count_as_events)
{
  CfEventStream s;
  GString *out = g_string_new (NULL);

  cf_event_stream_init (&s);
  ck_assert_uint_eq (cf_event_stream_feed (&s, ": wait\n\n", 8, out), 0);
  ck_assert_uint_eq (s.n_events, 0);
  ck_assert_uint_eq (cf_event_stream_feed (&s, ":\nid: 1\n\n", 10, out), 1);
  ck_assert_uint_eq (s.n_events, 1);
  ck_assert_str_eq (out->str, ": wait\n\n:\nid: 1\n\n");
  g_string_free (out, TRUE);
  cf_event_stream_clear (&s);
}
END_TEST

START_TEST (a_resumed_event_without_id_is_returned)
{
  CfEventStream s;
  GString *out = g_string_new (NULL);

  cf_event_stream_init (&s);
  cf_event_stream_feed (&s, "id: 1\ndata: a\n\n", 15, out);
  for (int i = 0; i < 2; i++)
    {
      cf_event_stream_restart (&s);
      ck_assert (!s.lacks_id);
      cf_event_stream_feed (&s, "data: b\n\nid: 3\ndata: c\n\n", 24, out);
      ck_assert_str_eq (out->str, "id: 1\ndata: a\n\n");
      ck_assert (s.lacks_id);
      ck_assert (cf_event_stream_can_resume (&s));
    }
  g_string_free (out, TRUE);
  cf_event_stream_clear (&s);
}
END_TEST

/* However often and wherever a stream breaks off, the caller receives each
 * event once, in order. */
START_TEST (resumed_streams_are_complete)
{
  GRand *rand = g_rand_new_with_seed (11);

  for (int round = 0; round < 2000; round++)
    {
      CfEventStream s;
      GString *out = g_string_new (NULL);
      GString *expected = g_string_new (NULL);

      cf_event_stream_init (&s);
      for (int e = 1; e <= 20; e++)
        g_string_append_printf (expected, "id: %d\ndata: %d\n\n", e, e * e);
      while (s.last_id < 20)
        {
          GString *input = g_string_new (NULL);

          for (int e = (int)MAX (s.last_id, 0) + 1; e <= 20; e++)
            g_string_append_printf (input, "id: %d\ndata: %d\n\n", e, e * e);
          cf_event_stream_feed (
              &s, input->str,
              (gsize)g_rand_int_range (rand, 0, (int)input->len + 1), out);
          cf_event_stream_restart (&s);
          g_string_free (input, TRUE);
        }
      ck_assert_str_eq (out->str, expected->str);
      g_string_free (out, TRUE);
      g_string_free (expected, TRUE);
      cf_event_stream_clear (&s);
    }
  g_rand_free (rand);
}
END_TEST

START_TEST (events_without_a_number_as_id_are_resumed)
{
  static const char *const without[]
      = { "data: a\n\n", "id:\ndata: a\n\n", "id: x1\ndata: a\n\n",
          "id: 1x\ndata: a\n\n", "data: id: 1\n\n" };

  for (gsize i = 0; i < G_N_ELEMENTS (without); i++)
    {
      CfEventStream s;
      GString *out = g_string_new (NULL);

      cf_event_stream_init (&s);
      ck_assert (!cf_event_stream_can_resume (&s));
      cf_event_stream_feed (&s, "id: 1\ndata: a\n\n", 15, out);
      ck_assert (cf_event_stream_can_resume (&s));
      for (int k = 0; k < 2; k++)
        ck_assert_msg (
            cf_event_stream_feed (&s, without[i], strlen (without[i]), out)
                == 1,
            "case %zu was dropped", i);
      ck_assert_msg (!cf_event_stream_can_resume (&s), "case %zu", i);
      ck_assert_int_eq (s.last_id, 1);
      g_string_free (out, TRUE);
      cf_event_stream_clear (&s);
    }
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("event-stream");
  TCase *t = tcase_create ("event-stream");

  tcase_add_test (t, split_input_yields_the_same_events);
  tcase_add_test (t, event_that_does_not_end_costs_a_constant_time_a_byte);
  tcase_add_test (t, a_partial_event_is_held_back);
  tcase_add_test (t, comments_count_as_events);
  tcase_add_test (t, comments_and_blank_lines_are_no_event);
  tcase_add_test (t, resumed_streams_are_complete);
  tcase_add_test (t, a_resumed_event_without_id_is_returned);
  tcase_add_test (t, events_without_a_number_as_id_are_resumed);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
