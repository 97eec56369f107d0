/*
 * Callers that keep their connection until the process behind it is gone, and
 * check each answer.
 */
#include "platform-harness.h"
#include "soak.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/** How long a caller waits for an answer: beyond the orders' and quotes'
 * time limit of 800 ms, and well beyond the streams' length. */
#define PATIENCE_MS 4000
#define TOKENS_PER_EVENT 4
/** Versions of the configuration that callers ask for, the newest first. */
#define VERSIONS_BACK 3
#define EVENTS_MIN 4
#define EVENTS_MAX 30

/** Caller: a thread that sends one request after another. */
typedef struct
{
  GThread *thread;
  int index;
  int serial;
  int gateway; /**< from 1 */
  int fd;      /**< -1: none */
  int version; /**< the newest that this connection has shown */
  gint64 version_ms;
  GRand *rand;
} Caller;

/** Ask: a request of a caller. */
typedef struct
{
  SoakClass class;
  char id[40];
  char path[80]; /**< with the method */
  int events;
  int version; /**< of the configuration that alone has this path; 0: all */
} Ask;

static const SoakPlan *plan;
static int base;
static GArray *callers;
static gint stopping;
static gint n_sent[SOAK_CLASSES];
static gint n_served[SOAK_CLASSES];

static void
leave (Caller *c)
{
  if (c->fd >= 0)
    close (c->fd);
  c->fd = -1;
  c->version = 0;
}

/* Whether its connection can be used; what comes on it unasked is wrong. */
static gboolean
has_connection (Caller *c)
{
  char byte;
  ssize_t n;

  if (c->fd >= 0)
    {
      n = recv (c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
      if (n < 0 && errno == EAGAIN)
        return TRUE;
      if (n > 0)
        soak_broken ("own-answer", "caller=%d gateway=%d got bytes unasked",
                     c->index, c->gateway);
      leave (c);
    }
  c->gateway = 1 + g_rand_int_range (c->rand, 0, plan->gateways);
  c->fd = p_connect (soak_caller_port (base, c->gateway));
  return c->fd >= 0;
}

static void
draw_ask (Caller *c, Ask *a)
{
  a->class = (SoakClass)g_rand_int_range (c->rand, 0, SOAK_CLASSES);
  a->events = g_rand_int_range (c->rand, EVENTS_MIN, EVENTS_MAX);
  g_snprintf (a->id, sizeof a->id, "s%u-%d-%d", plan->seed, c->index,
              c->serial++);
  switch (a->class)
    {
    case SOAK_QUOTE:
      g_snprintf (a->path, sizeof a->path, "GET /quote/%s", a->id);
      break;
    case SOAK_ORDER:
      g_snprintf (a->path, sizeof a->path, "POST /order/%s", a->id);
      break;
    case SOAK_STREAM:
      g_snprintf (a->path, sizeof a->path, "POST /chat/%s", a->id);
      break;
    case SOAK_VERSION:
      a->version = soak_config_written ()
                   - g_rand_int_range (c->rand, 0, VERSIONS_BACK);
      g_snprintf (a->path, sizeof a->path, "GET /v/%d/%s", a->version, a->id);
      break;
    case SOAK_CLASSES:
      break;
    }
}

static const char *
body_of (const Ask *a)
{
  return a->class == SOAK_ORDER ? a->id : "";
}

static char *
make_request (const Ask *a)
{
  g_autofree char *size = g_strdup_printf ("Comfreypost-Token-Count: 10,%d\r\n",
                                           a->events * TOKENS_PER_EVENT);

  return p_build_request (a->path, a->id, a->class == SOAK_STREAM ? size : NULL,
                          body_of (a));
}

/* The body behind the head, out of its chunks; @ended: whether the last chunk
 * came.  NULL if it is no such body, or more follows. */
static char *
join_chunks (const char *at, gboolean *ended)
{
  GString *s = g_string_new (NULL);
  const char *end = at + strlen (at);

  *ended = FALSE;
  while (at < end)
    {
      char *data;
      gsize n = strtoul (at, &data, 16);

      if (data == at || !g_str_has_prefix (data, "\r\n"))
        break;
      data += 2;
      if (n == 0)
        {
          *ended = strcmp (data, "\r\n") == 0;
          if (!*ended && strlen (data) > 2)
            return g_string_free (s, TRUE);
          break;
        }
      g_string_append_len (s, data, (gssize)MIN (n, (gsize)(end - data)));
      at = data + MIN (n + 2, (gsize)(end - data));
    }
  return g_string_free (s, FALSE);
}

/* The events of @body are 1, 2, 3 ...; how many; -1 if they are not. */
static int
count_events (const char *body)
{
  int n = 0;

  while (strstr (body, "\n\n"))
    {
      g_autofree char *next
          = g_strdup_printf ("id: %d\ndata: token-%d\n\n", n + 1, n + 1);

      if (!g_str_has_prefix (body, next))
        return -1;
      body += strlen (next);
      n++;
    }
  return n;
}

/* TRUE if the stream is whole; a part of one is in order all the same. */
static gboolean
check_stream (const Ask *a, const char *body)
{
  gboolean ended;
  g_autofree char *text = join_chunks (body, &ended);
  int n = text ? count_events (text) : -1;

  if (n < 0)
    soak_broken ("stream-order", "id=%s events=%d: %s", a->id, a->events, body);
  else if (ended && n != a->events)
    soak_broken ("stream-order", "id=%s ended after %d of %d", a->id, n,
                 a->events);
  return ended && n == a->events;
}

static gboolean
check_plain (const Ask *a, const char *head, const char *body)
{
  const char *len = strstr (head, "Content-Length: ");
  gsize n = len ? strtoul (len + strlen ("Content-Length: "), NULL, 10) : 0;
  g_autofree char *own = g_strdup_printf (" %s org=museum key=hidden body=%s",
                                          a->path, body_of (a));

  if (!len || strlen (body) < n)
    return FALSE;
  if (strlen (body) > n || !g_str_has_prefix (body, "desk-")
      || !g_str_has_suffix (body, own))
    soak_broken ("own-answer", "id=%s got: %s%s", a->id, head, body);
  return TRUE;
}

/* TRUE if a success is whole; what there is of it is the caller's own. */
static gboolean
check_success (const Ask *a, const char *answer)
{
  const char *end = strstr (answer, "\r\n\r\n");
  g_autofree char *own
      = g_strdup_printf ("Comfreypost-Request-Id: %s\r\n", a->id);
  g_autofree char *head = NULL;

  if (!end)
    return FALSE;
  head = g_strndup (answer, (gsize)(end + 4 - answer));
  if (!strstr (head, own) || !strstr (head, "Comfreypost-Server-Signature: "))
    soak_broken ("own-answer", "id=%s got: %s", a->id, head);
  return a->class == SOAK_STREAM ? check_stream (a, end + 4)
                                 : check_plain (a, head, end + 4);
}

/* Whether a status of our own denies what every version allows. */
static gboolean
denies (const Ask *a, int status)
{
  if (a->class == SOAK_VERSION && status == 404)
    return FALSE;
  return status >= 300 && status < 500 && status != 408 && status != 421
         && status != 429;
}

/* One process: what it has shown of a version it does not take back. */
static void
see_version (Caller *c, const Ask *a, gint64 sent_ms)
{
  if (a->version < c->version && sent_ms > c->version_ms + SOAK_DOWNGRADE_MS)
    soak_broken ("config-back", "id=%s gateway=%d version=%d after %d", a->id,
                 c->gateway, a->version, c->version);
  if (a->version <= c->version)
    return;
  c->version = a->version;
  c->version_ms = soak_now_ms ();
}

/* Takes what came; TRUE if the connection may be kept. */
static gboolean
take_answer (const Ask *a, const char *answer, gboolean was_closed)
{
  int status = p_parse_status (answer);
  gboolean whole;

  if (*answer && !status && strlen (answer) > 12)
    soak_broken ("own-answer", "id=%s got no HTTP: %s", a->id, answer);
  whole = status == 200 ? check_success (a, answer)
                        : strstr (answer, "\r\n\r\n") != NULL;
  if (whole)
    soak_answered (a->id, status);
  else if (was_closed)
    soak_closed (a->id);
  if (whole && denies (a, status))
    soak_broken ("not-denied", "id=%s status=%d", a->id, status);
  if (whole && status == 200)
    g_atomic_int_inc (&n_served[a->class]);
  return whole && !strstr (answer, "Connection: close");
}

static void
ask_once (Caller *c)
{
  g_autofree char *request = NULL;
  g_autofree char *answer = NULL;
  gint64 sent_ms = soak_now_ms ();
  Ask a = { 0 };

  draw_ask (c, &a);
  request = make_request (&a);
  g_atomic_int_inc (&n_sent[a.class]);
  soak_sent (a.id, a.class, c->gateway, a.version);
  p_send (c->fd, request);
  answer = p_read_answer (c->fd, PATIENCE_MS);
  if (a.class == SOAK_VERSION && p_parse_status (answer) == 200)
    see_version (c, &a, sent_ms);
  if (!take_answer (&a, answer, soak_now_ms () - sent_ms < PATIENCE_MS))
    leave (c);
}

static gpointer
run_caller (gpointer data)
{
  Caller *c = data;

  while (!g_atomic_int_get (&stopping))
    {
      if (has_connection (c))
        ask_once (c);
      g_usleep ((gulong)g_rand_int_range (c->rand, 5, 40) * 1000);
    }
  leave (c);
  g_rand_free (c->rand);
  return NULL;
}

void
soak_callers_start (const SoakPlan *p, int at_base)
{
  plan = p;
  base = at_base;
  callers = g_array_new (FALSE, TRUE, sizeof (Caller));
  g_array_set_size (callers, (guint)p->callers);
  for (int i = 0; i < p->callers; i++)
    {
      Caller *c = &g_array_index (callers, Caller, i);

      c->index = i;
      c->fd = -1;
      c->rand = g_rand_new_with_seed (p->seed * 1000 + (guint32)i);
      c->thread = g_thread_new ("caller", run_caller, c);
    }
}

static gboolean
is_served_for_a_second (void)
{
  gint sent[SOAK_CLASSES];
  gint served[SOAK_CLASSES];
  gboolean enough = TRUE;

  for (int k = 0; k < SOAK_VERSION; k++)
    {
      sent[k] = g_atomic_int_get (&n_sent[k]);
      served[k] = g_atomic_int_get (&n_served[k]);
    }
  g_usleep (G_USEC_PER_SEC);
  for (int k = 0; k < SOAK_VERSION; k++)
    {
      gint n = g_atomic_int_get (&n_sent[k]) - sent[k];

      enough &= n > 0 && (g_atomic_int_get (&n_served[k]) - served[k]) * 4 >= n;
    }
  return enough;
}

void
soak_callers_await_recovery (void)
{
  gint64 until = soak_now_ms () + SOAK_RECOVER_MS;

  while (!is_served_for_a_second ())
    if (soak_now_ms () > until)
      {
        soak_broken ("recovery", "not within %d ms", SOAK_RECOVER_MS);
        return;
      }
}

void
soak_callers_stop (SoakResult *r)
{
  g_atomic_int_set (&stopping, 1);
  for (guint i = 0; i < callers->len; i++)
    g_thread_join (g_array_index (callers, Caller, i).thread);
  for (int k = 0; k < SOAK_CLASSES; k++)
    {
      r->requests += (guint)n_sent[k];
      r->served += (guint)n_served[k];
    }
  g_array_free (callers, TRUE);
}
