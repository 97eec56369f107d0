/* Stands between the gateways and agents on one side and the ranks of the
 * stand-in of the platform on the other, one listening port for each rank.
 *
 *	rank-proxy serve LISTEN RANK N	forward ports LISTEN.. to RANK.., N ports
 *	rank-proxy call PORT METHOD PATH [BODY]	one HTTP call, prints the answer
 *
 * With TROUBLE=1 it plays two faults of the users' pages at the ranks:
 * - garble, "extra late": a second answer to a caller's request arrives late,
 *   where the next answer on that channel is expected;
 * - applied_late: an order gets no answer and is carried out 2 to 12 s later.
 * EXTRA=0 leaves the first of them out.
 *
 * The totals so far are printed on each SIGUSR1 and at the end.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/** Largest doses: shares of the answers and of the orders. */
#define EXTRA_SHARE 0.03
#define LATE_SHARE 0.5
/** A late order is carried out 2 to 12 s later. */
#define LATE_MS 2500
/** For how long after the hold the orders to arm one rank are late, too. */
#define VICTIM_MS 400
#define MAX_CHANNELS 512
#define MAX_LATE 512

typedef struct
{
  int client;
  int rank_fd;
  int rank;
  char *in;
  size_t n_in;
  char last_id[64];   /* id of the caller's request answered last, or "" */
  char last_sign[64]; /* signature of that answer */
  int is_dead;        /* an answer was lost on it: nothing follows */
} Channel;

typedef struct
{
  long due_ms;
  int rank;
  char *message;
  size_t n;
} LateOrder;

static Channel channels[MAX_CHANNELS];
static LateOrder late[MAX_LATE];
static int first_listen, first_rank, n_ranks;
static int listeners[64];
static int has_trouble, has_extra;
static volatile sig_atomic_t stops, prints;
static long n_requests, n_extra, n_orders, n_late, n_holds_answered_falsely;
static int victim = -1;
static long victim_until_ms;

static long
now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static void
say (const char *what, int rank, const char *detail)
{
  printf ("%ld rank=%d %s %s\n", now_ms (), rank, what, detail);
  fflush (stdout);
}

static struct sockaddr_in
address (int port)
{
  struct sockaddr_in a = { .sin_family = AF_INET };

  a.sin_port = htons ((unsigned short)port);
  a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  return a;
}

static int
connect_to (int port)
{
  struct sockaddr_in a = address (port);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int one = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (fd, (struct sockaddr *)&a, sizeof a) == 0)
    return fd;
  close (fd);
  return -1;
}

static int
send_all (int fd, const char *p, size_t n)
{
  while (n > 0)
    {
      ssize_t k = send (fd, p, n, MSG_NOSIGNAL);

      if (k < 0 && errno == EINTR)
        continue;
      if (k <= 0)
        return 0;
      p += k;
      n -= (size_t)k;
    }
  return 1;
}

static void
drop (Channel *c)
{
  close (c->client);
  if (c->rank_fd >= 0)
    close (c->rank_fd);
  free (c->in);
  memset (c, 0, sizeof *c);
  c->client = -1;
  c->rank_fd = -1;
}

/* Copies the value of header @name of the message to @out; "" if it has none. */
static void
get_header (const char *message, const char *name, char *out, size_t n)
{
  size_t len = strlen (name);

  out[0] = '\0';
  for (const char *p = strstr (message, "\r\n"); p && strncmp (p, "\r\n\r\n", 4);
       p = strstr (p + 2, "\r\n"))
    if (strncasecmp (p + 2, name, len) == 0 && p[2 + len] == ':')
      {
        const char *v = p + 3 + len + strspn (p + 3 + len, " ");

        snprintf (out, n, "%.*s", (int)strcspn (v, "\r"), v);
        return;
      }
}

static void
delay_order (Channel *c, const char *message, size_t n)
{
  for (int i = 0; i < MAX_LATE; i++)
    if (!late[i].message)
      {
        late[i].message = malloc (n);
        memcpy (late[i].message, message, n);
        late[i].n = n;
        late[i].rank = c->rank;
        late[i].due_ms = now_ms () + LATE_MS;
        break;
      }
  n_late++;
  c->is_dead = 1;
}

static int
may_delay (void)
{
  return n_late + 1 <= LATE_SHARE * (double)n_orders;
}

/* Answers the request before again, late. */
static void
send_extra (Channel *c)
{
  char text[512];

  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\n"
            "Comfreypost-Request-Id: %s\r\n"
            "Comfreypost-Server-Signature: rank-%d\r\n"
            "Content-Length: 6\r\n\r\nextra\n",
            c->last_id, c->rank);
  n_extra++;
  send_all (c->client, text, strlen (text));
}

/* Handles an order; returns whether it goes on to the rank now. */
static int
handle_order (Channel *c, const char *message, size_t n)
{
  const char *body = strstr (message, "\r\n\r\n") + 4;
  int is_hold = strstr (body, "\"hold\"") != NULL;
  int is_arm = strstr (body, "\"arm\"") != NULL;

  n_orders++;
  if (!has_trouble)
    return 1;
  if (is_hold && c->last_id[0] && may_delay ()
      && n_extra + 1 <= EXTRA_SHARE * (double)n_requests)
    {
      if (has_extra)
        {
          say ("extra answer to", c->rank, c->last_id);
          send_extra (c);
          n_holds_answered_falsely++;
        }
      say ("late", c->rank, body);
      delay_order (c, message, n);
      victim = (c->rank + 1) % n_ranks;
      victim_until_ms = now_ms () + VICTIM_MS;
      return 0;
    }
  if (is_arm && c->rank == victim && now_ms () < victim_until_ms
      && may_delay ())
    {
      say ("late", c->rank, body);
      delay_order (c, message, n);
      return 0;
    }
  if (is_hold || is_arm)
    say ("order", c->rank, body);
  return 1;
}

static int
forward (Channel *c, const char *message, size_t n)
{
  if (c->rank_fd < 0)
    c->rank_fd = connect_to (first_rank + c->rank);
  return c->rank_fd >= 0 && send_all (c->rank_fd, message, n);
}

/* Handles the complete messages in the input of @c.  FALSE: close it. */
static int
handle_input (Channel *c)
{
  for (;;)
    {
      char length[32], id[64];
      char *end;
      size_t n;
      int ok = 1;

      c->in[c->n_in] = '\0';
      end = strstr (c->in, "\r\n\r\n");
      if (!end)
        return 1;
      get_header (c->in, "Content-Length", length, sizeof length);
      n = (size_t)(end + 4 - c->in) + (size_t)atol (length);
      if (c->n_in < n)
        return 1;
      get_header (c->in, "Comfreypost-Request-Id", id, sizeof id);
      if (strncmp (c->in, "POST /v1/order", 14) == 0)
        {
          char saved = c->in[n];

          c->in[n] = '\0';
          if (handle_order (c, c->in, n))
            {
              c->in[n] = saved;
              ok = forward (c, c->in, n);
            }
          else
            c->in[n] = saved;
        }
      else
        {
          n_requests += id[0] != '\0';
          ok = forward (c, c->in, n);
        }
      snprintf (c->last_id, sizeof c->last_id, "%s", id);
      if (!ok)
        return 0;
      memmove (c->in, c->in + n, c->n_in - n);
      c->n_in -= n;
    }
}

static int
read_client (Channel *c)
{
  char buf[16384];
  ssize_t n = recv (c->client, buf, sizeof buf, 0);

  if (n <= 0)
    return 0;
  c->in = realloc (c->in, c->n_in + (size_t)n + 1);
  memcpy (c->in + c->n_in, buf, (size_t)n);
  c->n_in += (size_t)n;
  return c->is_dead || handle_input (c);
}

static int
read_rank (Channel *c)
{
  char buf[16384];
  ssize_t n = recv (c->rank_fd, buf, sizeof buf, 0);

  return n > 0 && send_all (c->client, buf, (size_t)n);
}

static void
accept_channel (int rank)
{
  int fd = accept (listeners[rank], NULL, NULL);
  int one = 1;

  if (fd < 0)
    return;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  for (int i = 0; i < MAX_CHANNELS; i++)
    if (channels[i].client < 0)
      {
        channels[i].client = fd;
        channels[i].rank = rank;
        return;
      }
  close (fd);
}

static void
carry_out_late_orders (void)
{
  static int sinks[MAX_LATE];
  static int n_sinks;

  for (int i = 0; i < MAX_LATE; i++)
    if (late[i].message && now_ms () >= late[i].due_ms)
      {
        int fd = connect_to (first_rank + late[i].rank);

        if (fd >= 0)
          send_all (fd, late[i].message, late[i].n);
        say ("carried out", late[i].rank, "a late order");
        free (late[i].message);
        late[i].message = NULL;
        if (sinks[n_sinks % MAX_LATE] > 0)
          close (sinks[n_sinks % MAX_LATE]);
        sinks[n_sinks++ % MAX_LATE] = fd;
      }
}

static void
on_signal (int s)
{
  if (s == SIGUSR1)
    prints = 1;
  else
    stops = 1;
}

static void
print_totals (void)
{
  printf ("totals requests=%ld extra=%ld orders=%ld late=%ld "
          "holds_answered_by_an_extra=%ld\n",
          n_requests, n_extra, n_orders, n_late, n_holds_answered_falsely);
  fflush (stdout);
}

static int
serve (void)
{
  struct pollfd fds[64 + 2 * MAX_CHANNELS];

  for (int i = 0; i < MAX_CHANNELS; i++)
    channels[i].client = channels[i].rank_fd = -1;
  for (int i = 0; i < n_ranks; i++)
    {
      struct sockaddr_in a = address (first_listen + i);
      int one = 1;

      listeners[i] = socket (AF_INET, SOCK_STREAM, 0);
      setsockopt (listeners[i], SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
      if (bind (listeners[i], (struct sockaddr *)&a, sizeof a) < 0
          || listen (listeners[i], 256) < 0)
        {
          perror ("bind");
          return 2;
        }
    }
  while (!stops)
    {
      int n = 0;

      for (int i = 0; i < n_ranks; i++)
        fds[n++] = (struct pollfd){ listeners[i], POLLIN, 0 };
      for (int i = 0; i < MAX_CHANNELS; i++)
        {
          fds[n++] = (struct pollfd){ channels[i].client, POLLIN, 0 };
          fds[n++] = (struct pollfd){ channels[i].rank_fd, POLLIN, 0 };
        }
      poll (fds, (nfds_t)n, 20);
      carry_out_late_orders ();
      if (prints)
        print_totals ();
      prints = 0;
      for (int i = 0; i < MAX_CHANNELS; i++)
        {
          Channel *c = &channels[i];
          struct pollfd *p = &fds[n_ranks + 2 * i];

          if (c->client < 0 || p[0].fd != c->client)
            continue;
          if ((p[0].revents && !read_client (c))
              || (c->rank_fd >= 0 && p[1].fd == c->rank_fd && p[1].revents
                  && !read_rank (c)))
            drop (c);
        }
      for (int i = 0; i < n_ranks; i++)
        if (fds[i].revents)
          accept_channel (i);
    }
  print_totals ();
  return 0;
}

static int
call (int port, const char *method, const char *path, const char *body)
{
  char buf[16384];
  int fd = connect_to (port);
  ssize_t n;
  size_t len = 0;
  char *end = NULL;

  if (fd < 0)
    return 1;
  snprintf (buf, sizeof buf,
            "%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            "Content-Length: %zu\r\n\r\n%s",
            method, path, strlen (body), body);
  send_all (fd, buf, strlen (buf));
  while (len < sizeof buf - 1
         && (n = recv (fd, buf + len, sizeof buf - 1 - len, 0)) > 0)
    len += (size_t)n;
  close (fd);
  buf[len] = '\0';
  end = strstr (buf, "\r\n\r\n");
  if (!end || strncmp (buf, "HTTP/1.1 200", 12) != 0)
    return 1;
  puts (end + 4);
  return 0;
}

int
main (int argc, char **argv)
{
  const char *trouble = getenv ("TROUBLE");
  const char *extra = getenv ("EXTRA");

  if (argc >= 5 && strcmp (argv[1], "call") == 0)
    return call (atoi (argv[2]), argv[3], argv[4], argc > 5 ? argv[5] : "");
  if (argc != 5 || strcmp (argv[1], "serve") != 0)
    return 2;
  first_listen = atoi (argv[2]);
  first_rank = atoi (argv[3]);
  n_ranks = atoi (argv[4]);
  has_trouble = !trouble || strcmp (trouble, "0") != 0;
  has_extra = !extra || strcmp (extra, "0") != 0;
  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, on_signal);
  signal (SIGUSR1, on_signal);
  return serve ();
}
