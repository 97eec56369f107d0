/* What the stand-ins of the cases share: a record file, a small HTTP/1.1
 * server and client, the platform's store (range, watch), and the start of the
 * project's programs.  One thread a connection; standard C library only. */
#pragma once

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

/* ---- time, record, random ---- */

static inline long
now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return t.tv_sec * 1000L + t.tv_nsec / 1000000L;
}

static long t0_ms;
static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

__attribute__ ((format (printf, 1, 2))) static inline void
rec (const char *fmt, ...)
{
  va_list ap;

  pthread_mutex_lock (&record_lock);
  fprintf (record_file, "%9.3f ", (double)(now_ms () - t0_ms) / 1000);
  va_start (ap, fmt);
  vfprintf (record_file, fmt, ap);
  va_end (ap);
  fputc ('\n', record_file);
  pthread_mutex_unlock (&record_lock);
}

/* Writes the record out; threads that are still there add no more to it. */
static inline void
end_record (void)
{
  pthread_mutex_lock (&record_lock);
  fflush (record_file);
}

static inline void
sleep_ms (long ms)
{
  struct timespec t = { ms / 1000, (ms % 1000) * 1000000L };

  while (ms > 0 && nanosleep (&t, &t) < 0 && errno == EINTR)
    ;
}

static inline double
uniform (unsigned *seed)
{
  return (double)rand_r (seed) / ((double)RAND_MAX + 1);
}

/* The case could not run. */
static void kill_programs (void);

__attribute__ ((noreturn)) static inline void
cannot_run (const char *why)
{
  fprintf (stderr, "cannot run: %s (%s)\n", why, strerror (errno));
  if (record_file)
    {
      rec ("CANNOT-RUN %s", why);
      fflush (record_file);
    }
  kill_programs ();
  _exit (2);
}

static inline void
begin_case (const char *folder)
{
  char path[512];

  signal (SIGPIPE, SIG_IGN);
  t0_ms = now_ms ();
  snprintf (path, sizeof path, "%s/record.txt", folder);
  record_file = fopen (path, "w");
  if (!record_file)
    cannot_run ("record.txt");
}

static inline bool
has_trouble (void)
{
  const char *t = getenv ("TROUBLE");

  return !t || strcmp (t, "0") != 0;
}

/* ---- sockets ---- */

static inline int
listen_at (const char *ip, int *port)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in a = { .sin_family = AF_INET };
  socklen_t n = sizeof a;
  int on = 1;

  a.sin_port = htons ((uint16_t)*port);
  inet_pton (AF_INET, ip, &a.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd < 0 || bind (fd, (struct sockaddr *)&a, sizeof a) < 0
      || listen (fd, 512) < 0
      || getsockname (fd, (struct sockaddr *)&a, &n) < 0)
    cannot_run ("listen");
  *port = ntohs (a.sin_port);
  return fd;
}

static inline int
free_port (const char *ip)
{
  int port = 0;

  close (listen_at (ip, &port));
  return port;
}

static inline int
connect_to (const char *ip, int port)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in a = { .sin_family = AF_INET };
  int on = 1;

  a.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, ip, &a.sin_addr);
  if (connect (fd, (struct sockaddr *)&a, sizeof a) < 0)
    {
      close (fd);
      return -1;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

static inline bool
send_all (int fd, const char *p, size_t n)
{
  while (n > 0)
    {
      ssize_t k = send (fd, p, n, MSG_NOSIGNAL);

      if (k < 0 && errno == EINTR)
        continue;
      if (k <= 0)
        return false;
      p += k;
      n -= (size_t)k;
    }
  return true;
}

static inline void
start_thread (void *(*f) (void *), void *arg)
{
  pthread_attr_t a;
  pthread_t t;

  pthread_attr_init (&a);
  pthread_attr_setdetachstate (&a, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&a, 512 * 1024);
  if (pthread_create (&t, &a, f, arg) != 0)
    cannot_run ("thread");
}

/* ---- HTTP messages ---- */

typedef struct
{
  int fd;
  char *buf;
  size_t len, size;
  char head[16384]; /* of the last message, with its blank line */
  char *body;
  size_t body_len;
  void *data; /* of the server's handler */
  void *server;
} Chan;

static inline bool
chan_fill (Chan *c)
{
  ssize_t n;

  if (c->size - c->len < 8192)
    c->buf = realloc (c->buf, c->size = c->size * 2 + 65536);
  do
    n = recv (c->fd, c->buf + c->len, c->size - c->len - 1, 0);
  while (n < 0 && errno == EINTR);
  if (n <= 0)
    return false;
  c->len += (size_t)n;
  c->buf[c->len] = '\0';
  return true;
}

static inline void
chan_drop (Chan *c, size_t n)
{
  memmove (c->buf, c->buf + n, c->len - n);
  c->len -= n;
  c->buf[c->len] = '\0';
}

/* The value of a header of the last message, or NULL. */
static inline const char *
header (const Chan *c, const char *name, char *out, size_t n)
{
  size_t len = strlen (name);

  for (const char *p = strstr (c->head, "\r\n"); p; p = strstr (p + 2, "\r\n"))
    if (strncasecmp (p + 2, name, len) == 0 && p[2 + len] == ':')
      {
        const char *v = p + 3 + len;
        size_t k;

        while (*v == ' ')
          v++;
        k = strcspn (v, "\r");
        snprintf (out, n, "%.*s", (int)k, v);
        return out;
      }
  return NULL;
}

static inline bool
read_head (Chan *c)
{
  char *end;

  while (c->len == 0 || !(end = strstr (c->buf, "\r\n\r\n")))
    if (c->len > 15000 || !chan_fill (c))
      return false;
  snprintf (c->head, sizeof c->head, "%.*s", (int)(end - c->buf + 4), c->buf);
  chan_drop (c, (size_t)(end - c->buf) + 4);
  return true;
}

/* Reads one message: its body has a length, or is in chunks, or is missing.
 * FALSE if the channel ended before that. */
static inline bool
read_message (Chan *c)
{
  char v[64];

  c->body_len = 0;
  if (!read_head (c))
    return false;
  if (header (c, "Content-Length", v, sizeof v))
    {
      size_t n = (size_t)atol (v);

      while (c->len < n)
        if (!chan_fill (c))
          return false;
      c->body = realloc (c->body, n + 1);
      memcpy (c->body, c->buf, n);
      c->body[n] = '\0';
      c->body_len = n;
      chan_drop (c, n);
      return true;
    }
  if (!header (c, "Transfer-Encoding", v, sizeof v))
    return true;
  for (;;)
    {
      char *nl;
      size_t n;

      while (c->len == 0 || !(nl = strstr (c->buf, "\r\n")))
        if (!chan_fill (c))
          return false;
      n = strtoul (c->buf, NULL, 16);
      chan_drop (c, (size_t)(nl - c->buf) + 2);
      while (c->len < n + 2)
        if (!chan_fill (c))
          return false;
      c->body = realloc (c->body, c->body_len + n + 1);
      memcpy (c->body + c->body_len, c->buf, n);
      c->body_len += n;
      c->body[c->body_len] = '\0';
      chan_drop (c, n + 2);
      if (n == 0)
        return true;
    }
}

static inline void
chan_close (Chan *c)
{
  if (c->fd >= 0)
    close (c->fd);
  c->fd = -1;
  c->len = 0;
}

__attribute__ ((format (printf, 4, 5))) static inline bool
answer (Chan *c, int status, const char *body, const char *fmt, ...)
{
  char extra[2048], out[4096];
  va_list ap;
  int n;
  bool ok;

  va_start (ap, fmt);
  vsnprintf (extra, sizeof extra, fmt, ap);
  va_end (ap);
  n = snprintf (out, sizeof out,
                "HTTP/1.1 %d %s\r\n%sContent-Length: %zu\r\n\r\n", status,
                status == 200 ? "OK" : "Status", extra, strlen (body));
  ok = send_all (c->fd, out, (size_t)n);
  return ok && send_all (c->fd, body, strlen (body));
}

/* ---- a server: one thread for each channel ---- */

/* Handles the message that was read; FALSE closes the channel. */
typedef bool (*Handler) (Chan *c);

typedef struct
{
  char ip[32];
  int port, fd;
  Handler handler;
  void (*on_close) (Chan *c);
  void *data;
  volatile bool is_down;
} Server;

static void *
serve_channel (void *arg)
{
  Chan *c = arg;
  Server *s = c->server;

  while (!s->is_down && read_message (c) && s->handler (c))
    ;
  if (s->on_close)
    s->on_close (c);
  chan_close (c);
  free (c->buf);
  free (c->body);
  free (c);
  return NULL;
}

static void *
serve (void *arg)
{
  Server *s = arg;
  int fd;

  while ((fd = accept4 (s->fd, NULL, NULL, SOCK_CLOEXEC)) >= 0 || !s->is_down)
    {
      int on = 1;
      Chan *c;

      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      c = calloc (1, sizeof *c);
      c->fd = fd;
      c->server = s;
      start_thread (serve_channel, c);
    }
  return NULL;
}

static inline void
start_server (Server *s, const char *ip, Handler h, void *data)
{
  snprintf (s->ip, sizeof s->ip, "%s", ip);
  s->port = 0;
  s->fd = listen_at (ip, &s->port);
  s->handler = h;
  s->data = data;
  start_thread (serve, s);
}

/* ---- the platform's store ---- */

typedef struct
{
  char key[128];
  char *value; /* NULL: removed */
  long rev, created;
} Event;

#define EVENTS_MAX 20000

static Event events[EVENTS_MAX];
static int n_events;
static long store_rev = 100;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;
static Server store;
static inline Event *
newest_event (const char *key)
{
  for (int i = n_events - 1; i >= 0; i--)
    if (strcmp (events[i].key, key) == 0)
      return &events[i];
  return NULL;
}

/* Writes @value under @key, or removes it (NULL).  The return is the ack. */
static inline void
store_put (const char *key, const char *value)
{
  Event *before;
  Event *e;

  pthread_mutex_lock (&store_lock);
  if (n_events == EVENTS_MAX)
    cannot_run ("too many events");
  before = newest_event (key);
  e = &events[n_events];
  snprintf (e->key, sizeof e->key, "%s", key);
  e->value = value ? strdup (value) : NULL;
  e->rev = ++store_rev;
  e->created = before && before->value ? before->created : e->rev;
  n_events++;
  pthread_cond_broadcast (&store_changed);
  pthread_mutex_unlock (&store_lock);
}

static inline char *
base64 (const char *in)
{
  static const char d[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t n = strlen (in);
  char *out = malloc (n * 4 / 3 + 8);
  size_t o = 0;

  for (size_t i = 0; i < n; i += 3)
    {
      unsigned v = (unsigned)(unsigned char)in[i] << 16;

      if (i + 1 < n)
        v |= (unsigned)(unsigned char)in[i + 1] << 8;
      if (i + 2 < n)
        v |= (unsigned char)in[i + 2];
      out[o++] = d[v >> 18];
      out[o++] = d[v >> 12 & 63];
      out[o++] = i + 1 < n ? d[v >> 6 & 63] : '=';
      out[o++] = i + 2 < n ? d[v & 63] : '=';
    }
  out[o] = '\0';
  return out;
}

static inline void
add_text (char **out, size_t *len, const char *fmt, const char *a, long b,
          long c)
{
  size_t n = strlen (fmt) + strlen (a) + 64;

  *out = realloc (*out, *len + n);
  *len += (size_t)snprintf (*out + *len, n, fmt, a, b, c);
}

static inline void
add_event (char **out, size_t *len, const Event *e, bool first)
{
  add_text (out, len, first ? "{\"key\":\"%s\"," : ",{\"key\":\"%s\",", e->key,
            0, 0);
  if (!e->value)
    add_text (out, len, "%s\"rev\":%ld,\"removed\":true}", "", e->rev, 0);
  else
    {
      char *b = base64 (e->value);

      add_text (out, len,
                "\"value\":\"%s\",\"rev\":%ld,\"create-revision\":%ld,"
                "\"lease\":0}",
                b, e->rev, e->created);
      free (b);
    }
}

static inline const char *
query (const Chan *c, const char *name, char *out, size_t n)
{
  char q[64];
  const char *p;

  snprintf (q, sizeof q, "%s=", name);
  for (p = strchr (c->head, '?'); p && *p != ' '; p++)
    if ((*p == '?' || *p == '&') && strncmp (p + 1, q, strlen (q)) == 0)
      {
        size_t o = 0;

        for (p += 1 + strlen (q); *p && *p != '&' && *p != ' ' && o + 1 < n;
             p++)
          if (*p == '%')
            {
              char hex[3] = { p[1], p[2], 0 };

              out[o++] = (char)strtol (hex, NULL, 16);
              p += 2;
            }
          else
            out[o++] = *p;
        out[o] = '\0';
        return out;
      }
  return NULL;
}

static inline bool
answer_range (Chan *c, const char *prefix)
{
  char *out = NULL;
  size_t len = 0;
  bool first = true;
  bool ok;

  pthread_mutex_lock (&store_lock);
  add_text (&out, &len, "{\"items\":[%s", "", 0, 0);
  for (int i = 0; i < n_events; i++)
    {
      const Event *e = &events[i];

      if (strncmp (e->key, prefix, strlen (prefix)) != 0 || !e->value
          || newest_event (e->key) != e)
        continue;
      add_event (&out, &len, e, first);
      first = false;
    }
  add_text (&out, &len, "%s],\"has-more\":false,\"as-of\":%ld}", "", store_rev,
            0);
  pthread_mutex_unlock (&store_lock);
  ok = answer (c, 200, out, "Content-Type: application/json\r\n");
  free (out);
  return ok;
}

static inline bool
answer_watch (Chan *c, const char *prefix, long after, long wait_ms)
{
  long until = now_ms () + wait_ms;
  char *out = NULL;
  size_t len = 0;
  bool first = true;
  bool ok;

  pthread_mutex_lock (&store_lock);
  for (;;)
    {
      struct timespec t;
      int n = 0;

      for (int i = n_events - 1; i >= 0 && events[i].rev > after; i--)
        n += strncmp (events[i].key, prefix, strlen (prefix)) == 0;
      if (n > 0 || now_ms () >= until)
        break;
      clock_gettime (CLOCK_REALTIME, &t);
      t.tv_nsec += 10000000L;
      if (t.tv_nsec >= 1000000000L)
        {
          t.tv_sec++;
          t.tv_nsec -= 1000000000L;
        }
      pthread_cond_timedwait (&store_changed, &store_lock, &t);
    }
  add_text (&out, &len, "{\"events\":[%s", "", 0, 0);
  for (int i = 0; i < n_events; i++)
    if (events[i].rev > after
        && strncmp (events[i].key, prefix, strlen (prefix)) == 0)
      {
        add_event (&out, &len, &events[i], first);
        first = false;
      }
  add_text (&out, &len, "%s],\"as-of\":%ld}", "", store_rev, 0);
  pthread_mutex_unlock (&store_lock);
  ok = answer (c, 200, out, "Content-Type: application/json\r\n");
  free (out);
  return ok;
}

static inline bool
handle_store (Chan *c)
{
  char prefix[128] = "", after[32] = "0", wait[32] = "0";

  query (c, "prefix", prefix, sizeof prefix);
  if (strncmp (c->head, "GET /v1/kv-range", 16) == 0)
    return answer_range (c, prefix);
  if (strncmp (c->head, "GET /v1/kv-watch", 16) == 0)
    {
      query (c, "after", after, sizeof after);
      query (c, "wait-ms", wait, sizeof wait);
      return answer_watch (c, prefix, atol (after), atol (wait));
    }
  return answer (c, 404, "{}", "Content-Type: application/json\r\n");
}

/* ---- the project's programs ---- */

#define PROGRAMS_MAX 64

static pid_t programs[PROGRAMS_MAX];
static int n_programs;
static char run_folder[] = "/tmp/review-XXXXXX";
static bool has_run_folder;

static void
kill_programs (void)
{
  for (int i = 0; i < n_programs; i++)
    if (programs[i] > 0)
      kill (programs[i], SIGKILL);
  for (int i = 0; i < n_programs; i++)
    if (programs[i] > 0)
      waitpid (programs[i], NULL, 0);
  n_programs = 0;
}

typedef struct
{
  char ip[32];
  int front, ready, control;
  pid_t pid;
} Gateway;

static unsigned net_seed;

/* Each run has loopback addresses of its own, as the programs have a fixed
 * port for their metrics. */
static inline void
choose_ip (char *out, size_t n, int host)
{
  if (!net_seed)
    net_seed = (unsigned)getpid () * 2654435761U ^ (unsigned)time (NULL);
  snprintf (out, n, "127.%u.%u.%d", 16 + (net_seed >> 8) % 200,
            1 + (net_seed >> 16) % 250, host);
}

static inline pid_t
start_program (const char *program, const char *name, const char *settings)
{
  char conf[128], log[128];
  FILE *f;
  pid_t pid;

  if (!has_run_folder && !mkdtemp (run_folder))
    cannot_run ("temporary folder");
  has_run_folder = true;
  snprintf (conf, sizeof conf, "%s/%s.conf", run_folder, name);
  snprintf (log, sizeof log, "%s/%s.log", run_folder, name);
  f = fopen (conf, "w");
  if (!f)
    cannot_run ("settings file");
  fputs (settings, f);
  fclose (f);
  if (access (program, X_OK) != 0)
    cannot_run (program);
  pid = fork ();
  if (pid < 0)
    cannot_run ("fork");
  if (pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);

      /* A case that is ended by a signal leaves no program behind. */
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (fd, 1);
      dup2 (fd, 2);
      setenv ("COMFREYPOST_CONFIG", conf, 1);
      execl (program, program, (char *)NULL);
      _exit (127);
    }
  if (n_programs < PROGRAMS_MAX)
    programs[n_programs++] = pid;
  return pid;
}

/* The settings that all programs of a small deployment have in common. */
static inline void
common_settings (char *out, size_t n, const char *seeds)
{
  snprintf (out, n,
            "region=prairie-west\n"
            "zone=regina-hall\n"
            "zones.regina-hall=prairie-west\n"
            "port-range=7340,7355\n"
            "seed-addrs=%s\n"
            "bootstrap=true\n"
            "limits.cpu-share=0.19\nlimits.cpu-cores=1\n"
            "limits.memory-mb=260\nlimits.max-fds=4200\n"
            "limits.link-mbps=1000.0\nlimits.disk-mb=0\n"
            "discovery=platform\nentry=vip\nheartbeat-ms=1200\n"
            "contracts=base,drain,config,cost,retry,recover,engine,stream,"
            "tenants,platform,experts\n"
            "bounds.seed-lag-s=3\nbounds.reuse-after-s=2\n"
            "bounds.contact-ms=3000\nbounds.ack-ms=4000\n"
            "bounds.catchup-s=4\nbounds.drain-ms=2000\nbounds.grace-s=8\n"
            "bounds.loss-slack-ms=200\nbounds.apply-ms=2000\n"
            "bounds.downgrade-ms=250\nbounds.max-stretch-ms=5000\n"
            "bounds.strict-revoke=false\nbounds.revoke-ms=5000\n"
            "bounds.retry-ratio=0.2\nbounds.retry-window-s=10\n"
            "bounds.retry-slack=88\nbounds.recover-s=12\n"
            "bounds.pass-ms=120\nbounds.again-s=0\n"
            "bounds.stall_ms=1500\nbounds.require-fence=true\n"
            "platform.addr=%s:%d\nplatform.form=read\n"
            "platform.writes-per-s=400\nplatform.reads-per-s=2000\n"
            "platform.history-s=20\nplatform.value-bytes=1048576\n"
            "platform.ttl-min-ms=1000\n",
            seeds, store.ip, store.port);
}

static inline void
gateway_seeds (const Gateway *g, int n, char *out, size_t size)
{
  size_t len = 0;

  for (int i = 0; i < n && i < 3 && len < size; i++)
    len += (size_t)snprintf (out + len, size - len, "%s%.31s:%d", i ? "," : "",
                             g[i].ip, g[i].control);
}

static inline void
start_gateway (Gateway *g, int i, const char *seeds)
{
  char common[2048], own[8192], name[32];

  common_settings (common, sizeof common, seeds);
  snprintf (name, sizeof name, "gateway-%d", i + 1);
  snprintf (own, sizeof own,
            "node-name=%s\nrole=gateway\nmachine-class=front\n"
            "serves=front,control\nip=%s\nlisten.front=%s:%d\n"
            "listen.ready=%s:%d\nlisten.control=%s:%d\n%s",
            name, g->ip, g->ip, g->front, g->ip, g->ready, g->ip, g->control,
            common);
  g->pid = start_program ("target/comfrey-gateway", name, own);
}

static inline bool
is_ready (const Gateway *g)
{
  Chan c = { .fd = connect_to (g->ip, g->ready) };
  const char *q = "GET /v1/readyz HTTP/1.1\r\nHost: r\r\n\r\n";
  bool ok;

  if (c.fd < 0)
    return false;
  ok = send_all (c.fd, q, strlen (q)) && read_message (&c)
       && strncmp (c.head, "HTTP/1.1 200", 12) == 0;
  chan_close (&c);
  free (c.buf);
  free (c.body);
  return ok;
}

static inline void
await_ready (const Gateway *g)
{
  long until = now_ms () + 10000;

  while (!is_ready (g))
    {
      if (now_ms () > until)
        cannot_run ("a gateway is not ready after 10 s");
      sleep_ms (50);
    }
}

static inline void
start_gateways (Gateway *g, int n)
{
  char seeds[256];

  for (int i = 0; i < n; i++)
    {
      choose_ip (g[i].ip, sizeof g[i].ip, 10 + i);
      g[i].front = free_port (g[i].ip);
      g[i].ready = free_port (g[i].ip);
      g[i].control = free_port (g[i].ip);
    }
  gateway_seeds (g, n, seeds, sizeof seeds);
  for (int i = 0; i < n; i++)
    start_gateway (&g[i], i, seeds);
  for (int i = 0; i < n; i++)
    await_ready (&g[i]);
}

/* Ends the programs and removes the temporary folder, unless KEEP is set. */
static inline void
end_programs (void)
{
  char cmd[128];

  kill_programs ();
  if (getenv ("KEEP"))
    {
      fprintf (stderr, "logs: %s\n", run_folder);
      return;
    }
  snprintf (cmd, sizeof cmd, "rm -rf %s", run_folder);
  if (has_run_folder && system (cmd) != 0)
    fprintf (stderr, "cannot remove %s\n", run_folder);
}
