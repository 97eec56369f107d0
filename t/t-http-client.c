/*
 * Which answers the HTTP client takes for complete, for each way in which an
 * answer's end is marked and each place at which it breaks off.
 */
#include "harness.h"
#include "http-client.h"
#include "net.h"

#include <check.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ADDR "127.0.0.1:17970"
#define URL "http://" ADDR "/"

#define LENGTH "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n"
#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
#define CLOSE "HTTP/1.1 200 OK\r\n\r\n"
#define CLOSE_1_0 "HTTP/1.0 200 OK\r\n\r\n"
#define EVENTS "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"

/* How the server ends the connection after its answer. */
typedef enum
{
  END_FIN,
  END_RESET,
} End;

typedef struct
{
  const char *name;
  const char *bytes;
  End end;
  const char *body; /* NULL: the answer must not be taken for complete */
} Answer;

static const Answer answers[] = {
  { "length", LENGTH "{\"text\":\"p\"}", END_FIN, "{\"text\":\"p\"}" },
  { "length, cut before the body", LENGTH, END_FIN, NULL },
  { "length, cut", LENGTH "{\"text\":\"", END_FIN, NULL },
  { "length, reset", LENGTH "{\"text\":\"", END_RESET, NULL },

  { "chunks", CHUNKED "c\r\n{\"text\":\"p\"}\r\n0\r\n\r\n", END_FIN,
    "{\"text\":\"p\"}" },
  { "chunks of text", CHUNKED "4\r\ntext\r\n0\r\n\r\n", END_FIN, "text" },
  { "chunks, cut before the first", CHUNKED, END_FIN, NULL },
  { "chunks, cut inside one", CHUNKED "c\r\n{\"text\":\"", END_FIN, NULL },
  { "chunks, reset inside one", CHUNKED "c\r\n{\"text\":\"", END_RESET, NULL },
  { "chunks, cut between two", CHUNKED "9\r\n{\"text\":\"\r\n", END_FIN, NULL },
  { "chunks, cut before the last", CHUNKED "c\r\n{\"text\":\"p\"}\r\n", END_FIN,
    NULL },
  { "chunks, cut inside the last", CHUNKED "c\r\n{\"text\":\"p\"}\r\n0\r\n",
    END_FIN, NULL },

  { "close", CLOSE "{\"text\":\"p\"}", END_FIN, "{\"text\":\"p\"}" },
  { "close, an array", CLOSE "[1,2]\n", END_FIN, "[1,2]\n" },
  { "close, cut before the body", CLOSE, END_FIN, NULL },
  { "close, cut", CLOSE "{\"text\":\"p", END_FIN, NULL },
  { "close, cut before the last byte", CLOSE "{\"text\":\"p\"", END_FIN, NULL },
  { "close, reset", CLOSE "{\"text\":\"p", END_RESET, NULL },
  { "close, a number, which may lack digits", CLOSE "12", END_FIN, NULL },
  { "close, text, whose end is unknown", CLOSE "tex", END_FIN, NULL },
  { "close, cut inside an event", EVENTS "data: 1\n\ndata", END_FIN, NULL },
  { "close, cut between events", EVENTS "data: 1\n\n", END_FIN, NULL },
  { "HTTP/1.0", CLOSE_1_0 "{\"text\":\"p\"}", END_FIN, "{\"text\":\"p\"}" },
  { "HTTP/1.0, cut", CLOSE_1_0 "{\"text\":\"p", END_FIN, NULL },

  { "no byte", "", END_FIN, NULL },
  { "cut in the status line", "HTTP/1.1 200", END_FIN, NULL },
  { "cut after the status line", "HTTP/1.1 200 OK\r\n", END_FIN, NULL },
  { "cut in the length", "HTTP/1.1 200 OK\r\nContent-Length: 1", END_FIN,
    NULL },
  { "cut after the length", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n",
    END_FIN, NULL },
  { "cut after the coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
    END_FIN, NULL },
  { "not text", LENGTH "{\"text\":\"\xff\"}", END_FIN, NULL },
  { "no body", "HTTP/1.1 204 No Content\r\n\r\n", END_FIN, "" },
};

/* Reads a request without a body, up to the blank line that ends it. */
static void
read_request (int fd)
{
  char last[4] = { 0 };

  while (memcmp (last, "\r\n\r\n", 4) != 0)
    {
      memmove (last, last + 1, 3);
      if (read (fd, last + 3, 1) != 1)
        return;
    }
}

static int listen_fd;

/* Serves one connection for each element of @answers. */
static void *
serve (void *unused)
{
  for (size_t i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      const Answer *a = &answers[i];
      struct linger l = { .l_onoff = a->end == END_RESET };
      int fd = accept (listen_fd, NULL, NULL);

      read_request (fd);
      cf_write_all (fd, a->bytes, strlen (a->bytes));
      /* Time to read what precedes the reset, which discards unread data. */
      if (a->end == END_RESET)
        usleep (50000);
      setsockopt (fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
      close (fd);
    }
  return NULL;
}

START_TEST (test_only_complete_answers_are_taken)
{
  g_autoptr (GString) wrong = g_string_new (NULL);
  pthread_t t;

  ck_assert_int_eq (cf_listen_tcp (ADDR, &listen_fd), CF_OK);
  pthread_create (&t, NULL, serve, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      const Answer *a = &answers[i];
      g_autofree char *body = NULL;
      long code = 0;
      CfStatus st
          = cf_http_call_once ("GET", URL, NULL, NULL, 2000, &code, &body);
      gboolean taken = st == CF_OK;

      if (taken != (a->body != NULL) || (taken && strcmp (body, a->body) != 0))
        g_string_append_printf (wrong, "\n  %s: %s, code %ld, body '%s'",
                                a->name, cf_status_name (st), code,
                                body ? body : "");
      /* The request was sent, so it may have run. */
      if (!taken)
        ck_assert_int_eq (st, CF_ERR_HTTP);
    }
  pthread_join (t, NULL);
  close (listen_fd);
  ck_assert_msg (wrong->len == 0, "%s", wrong->str);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("http-client");
  TCase *tc = tcase_create ("answers");

  tcase_set_timeout (tc, 60);
  tcase_add_test (tc, test_only_complete_answers_are_taken);
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
