#include "received-answer.h"

#include "platform-harness.h"

#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ANSWER_TIMEOUT_MS 5000
#define TOKEN_COUNT "Comfreypost-Token-Count: 10,16\r\n"

/* Reads until the peer closes, or keeps the connection idle. */
static End
read_all (int fd, GString *s)
{
  struct pollfd p = { fd, POLLIN, 0 };
  char buf[8192];
  ssize_t n;

  while (poll (&p, 1, ANSWER_TIMEOUT_MS) > 0)
    {
      n = recv (fd, buf, sizeof buf, 0);
      if (n <= 0)
        return n == 0 ? END_CLOSED : END_RESET;
      g_string_append_len (s, buf, n);
    }
  return END_NEVER;
}

/* Decodes the chunks of @text into @body; whether it ends with the last one. */
static gboolean
decode_chunks (const char *text, GString *body)
{
  while (*text)
    {
      char *data;
      gsize n = strtoul (text, &data, 16);

      if (n == 0)
        return strcmp (data, "\r\n\r\n") == 0;
      data += 2;
      g_string_append_len (body, data, (gssize)MIN (n, strlen (data)));
      text = data + MIN (n + 2, strlen (data));
    }
  return FALSE;
}

static Answer
parse_answer (const char *text, End end)
{
  const char *body = strstr (text, "\r\n\r\n");
  GString *s = g_string_new (NULL);
  Answer a = { p_parse_status (text), end, NULL, NULL };
  const char *length = strstr (text, "Content-Length: ");
  gboolean is_complete = FALSE;

  if (body && strstr (text, "Transfer-Encoding: chunked"))
    is_complete = decode_chunks (body + 4, s);
  else if (body)
    {
      g_string_append (s, body + 4);
      is_complete = length ? s->len == strtoul (length + 16, NULL, 10)
                           : end == END_CLOSED;
    }
  if (is_complete)
    a.end = END_COMPLETE;
  a.head = g_strndup (text, body ? (gsize)(body + 4 - text) : strlen (text));
  a.body = g_string_free (s, FALSE);
  return a;
}

Answer
received_answer_read (int fd)
{
  GString *s = g_string_new (NULL);
  End end = read_all (fd, s);
  Answer a = parse_answer (s->str, end);

  close (fd);
  g_string_free (s, TRUE);
  return a;
}

void
received_answer_clear (Answer *a)
{
  g_clear_pointer (&a->head, g_free);
  g_clear_pointer (&a->body, g_free);
}

char *
received_answer_header (const Answer *a, const char *name)
{
  g_autofree char *line = g_strdup_printf ("\r\n%s: ", name);
  const char *at = strstr (a->head, line);
  const char *value = at ? at + strlen (line) : "";

  return g_strndup (value, strcspn (value, "\r"));
}

int
received_answer_send (int port, const char *method_and_path, const char *id,
                      const char *version)
{
  g_autofree char *r = p_build_request (
      method_and_path, id, TOKEN_COUNT "Connection: close\r\n", "");
  char *line_end = strstr (r, "HTTP/1.1\r\n");
  int fd = p_connect (port);

  memcpy (line_end, version, strlen (version));
  p_send (fd, r);
  return fd;
}
