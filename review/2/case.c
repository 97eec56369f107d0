/* Case 2: a replica's second, late copy of a refusal is taken for the answer to
 * the same request when it is sent to that replica once more. */
#include "../common.h"

#define N_GATEWAYS 8
/* As order-desk: 6 slots and 96 channels a replica, which queues a few more. */
#define N_REPLICAS 2
#define SLOTS 6
#define QUEUE 2
#define WORK_MS 60
#define CLIENTS_PER_GATEWAY 3
/* Other callers of the replicas, which keep them full at times. */
#define OTHER_CALLERS 5
#define RUN_MS 84000
#define LIMIT_MS 3000
/* garble, how = "extra late", share = 0.6, x = 0.03, for_s = 5.0: here one
 * replica of two, and at most 3 of 100 of its answers. */
#define GARBLED_REPLICAS 1
#define SPELL_MS 5000
#define SPELL_EVERY_MS 6000
#define GARBLED_SHARE 0.03

typedef struct
{
  int n; /* 1, 2, ... */
  char id[32];
  Server server;
  pthread_mutex_t lock;
  pthread_cond_t freed;
  int accepted; /* running or queued */
  int running;
  long n_answers, n_extra; /* in spells */
} Replica;

static Replica replicas[N_REPLICAS];
static Gateway gateways[N_GATEWAYS];
static volatile long stop_at_ms;
static volatile bool in_spell;

/* What became of each request, by its number. */
#define REQUESTS_MAX 400000
static struct
{
  unsigned char runs;
  short status; /* 0: none */
} outcomes[REQUESTS_MAX];
static long n_requests;
static pthread_mutex_t outcome_lock = PTHREAD_MUTEX_INITIALIZER;

static long
number_of (const char *id)
{
  return strtol (id + 1, NULL, 16);
}

/* Sends the answer.  In a spell it may be one of the 3 in 100 that come a
 * second time, where the next answer on the channel is due. */
static bool
reply (Chan *c, Replica *r, int status, const char *id, const char *body)
{
  char head[512];
  bool ok;

  if (status == 503)
    snprintf (head, sizeof head,
              "Comfreypost-Request-Id: %s\r\nComfreypost-Not-Run: 1\r\n"
              "Keep-Alive: timeout=5\r\n",
              id);
  else
    snprintf (head, sizeof head,
              "Comfreypost-Request-Id: %s\r\n"
              "Comfreypost-Server-Signature: %s.%s\r\n"
              "Keep-Alive: timeout=5\r\n",
              id, r->id, id);
  ok = answer (c, status, body, "%s", head);
  pthread_mutex_lock (&r->lock);
  if (in_spell && r->n <= GARBLED_REPLICAS)
    {
      r->n_answers++;
      if (status == 503
          && (double)(r->n_extra + 1) <= GARBLED_SHARE * (double)r->n_answers)
        {
          char *copy = malloc (1024);

          r->n_extra++;
          snprintf (copy, 1024,
                    "HTTP/1.1 503 Status\r\n%sContent-Length: %zu\r\n\r\n%s",
                    head, strlen (body), body);
          free (c->data);
          c->data = copy;
        }
    }
  pthread_mutex_unlock (&r->lock);
  return ok;
}

static void
on_close (Chan *c)
{
  free (c->data);
}

static bool
handle_request (Chan *c)
{
  Replica *r = ((Server *)c->server)->data;
  char id[64], expect[64], body[128];
  bool is_other;

  if (c->data)
    {
      rec ("EXTRA replica=%s", r->id);
      if (!send_all (c->fd, c->data, strlen (c->data)))
        return false;
      free (c->data);
      c->data = NULL;
    }
  if (strncmp (c->head, "GET /healthz", 12) == 0)
    return answer (c, 200, "", "Comfreypost-Instance-Id: %s\r\n", r->id);
  if (!header (c, "Comfreypost-Request-Id", id, sizeof id))
    return answer (c, 400, "", "Comfreypost-Not-Run: 1\r\n");
  if (header (c, "Comfreypost-Expect-Instance", expect, sizeof expect)
      && strcmp (expect, r->id) != 0)
    return answer (c, 421, "", "Comfreypost-Instance-Id: %s\r\n", r->id);
  is_other = id[0] == 'b';
  pthread_mutex_lock (&r->lock);
  if (r->accepted >= SLOTS + QUEUE)
    {
      pthread_mutex_unlock (&r->lock);
      if (!is_other)
        rec ("REJECT id=%s replica=%s", id, r->id);
      return reply (c, r, 503, id, "");
    }
  r->accepted++;
  while (r->running >= SLOTS)
    pthread_cond_wait (&r->freed, &r->lock);
  r->running++;
  pthread_mutex_unlock (&r->lock);
  if (!is_other)
    {
      rec ("RUN id=%s replica=%s", id, r->id);
      pthread_mutex_lock (&outcome_lock);
      outcomes[number_of (id)].runs++;
      pthread_mutex_unlock (&outcome_lock);
    }
  sleep_ms (WORK_MS);
  pthread_mutex_lock (&r->lock);
  r->running--;
  r->accepted--;
  pthread_cond_signal (&r->freed);
  pthread_mutex_unlock (&r->lock);
  snprintf (body, sizeof body, "done %s by %s\n", id, r->id);
  return reply (c, r, 200, id, body);
}

/* A consumer with one kept channel.  After a refusal it waits as told, up to a
 * third of its time, and sends a new attempt once. */
static void *
consume (void *arg)
{
  Gateway *g = &gateways[(long)arg % N_GATEWAYS];
  unsigned seed = (unsigned)(long)arg + 1;
  Chan c = { .fd = -1 };

  sleep_ms ((long)(uniform (&seed) * 200));
  while (now_ms () < stop_at_ms)
    {
      long wait_ms = 0;

      for (int attempt = 0; attempt < 2; attempt++)
        {
          char req[512], v[64], id[32];
          int status = 0;
          long n;

          pthread_mutex_lock (&outcome_lock);
          n = n_requests++;
          pthread_mutex_unlock (&outcome_lock);
          if (n >= REQUESTS_MAX)
            return NULL;
          if (c.fd < 0)
            c.fd = connect_to (g->ip, g->front);
          if (c.fd < 0)
            return NULL;
          snprintf (id, sizeof id, "a%08lx", n);
          snprintf (req, sizeof req,
                    "POST /cart/check HTTP/1.1\r\nHost: shop.example\r\n"
                    "Comfreypost-Request-Id: %s\r\n"
                    "Comfreypost-Deadline-Ms: %ld\r\n"
                    "Authorization: Token key-of-hule930\r\n"
                    "Content-Length: 12\r\n\r\nitem-%07ld",
                    id, LIMIT_MS - wait_ms, n % 10000000);
          rec ("SENT id=%s gateway=%s", id, g->ip);
          if (send_all (c.fd, req, strlen (req)) && read_message (&c))
            status = atoi (c.head + 9);
          rec ("ANSWERED id=%s status=%d", id, status);
          outcomes[n].status = (short)status;
          wait_ms = 0;
          if (status == 503 && header (&c, "Retry-After", v, sizeof v))
            wait_ms = (long)(atof (v) * 1000);
          if (wait_ms > LIMIT_MS / 3)
            wait_ms = LIMIT_MS / 3;
          if (status == 0
              || (header (&c, "Connection", v, sizeof v)
                  && strcasecmp (v, "close") == 0))
            chan_close (&c);
          if (status != 503)
            break;
          chan_close (&c); /* each retry on a new channel */
          sleep_ms (wait_ms);
        }
      sleep_ms ((long)(uniform (&seed) * 60));
    }
  return NULL;
}

/* A caller that uses the replica without the gateways. */
static void *
call_directly (void *arg)
{
  const Server *s = &replicas[(long)arg % N_REPLICAS].server;
  unsigned seed = (unsigned)(long)arg + 1000;
  Chan c = { .fd = -1 };

  for (long n = 0; now_ms () < stop_at_ms; n++)
    {
      char req[256];

      if (c.fd < 0)
        c.fd = connect_to (s->ip, s->port);
      snprintf (req, sizeof req,
                "POST /cart/check HTTP/1.1\r\nHost: shop.example\r\n"
                "Comfreypost-Request-Id: b%02lx%06lx\r\n"
                "Comfreypost-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n",
                (long)arg, n);
      if (c.fd < 0 || !send_all (c.fd, req, strlen (req)) || !read_message (&c))
        chan_close (&c);
      sleep_ms ((long)(uniform (&seed) * 60));
    }
  return NULL;
}

static const char config[]
    = "{\"version\":7,\"routes\":[{\"name\":\"r-cart\",\"host\":"
      "\"shop.example\",\"prefix\":\"/cart/\",\"kind\":\"unsafe\","
      "\"timeout-ms\":3000,\"aim-ms\":300,\"priority\":2,"
      "\"service\":\"order-desk\",\"max-attempts\":2,\"public\":false}],"
      "\"services\":[{\"name\":\"order-desk\",\"health-path\":\"/healthz\","
      "\"max-conns\":96,\"protocol\":\"h1\",\"tls\":false}],"
      "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
      "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
      "\"tenants\":[{\"name\":\"hule930\",\"api-keys\":[\"key-of-hule930\"],"
      "\"priority\":1}]}";

int
main (int argc, char **argv)
{
  char ip[32];
  long refused_and_run = 0, twice = 0, by_status[6] = { 0 }, extra = 0;

  begin_case (argc > 1 ? argv[1] : ".");
  choose_ip (ip, sizeof ip, 1);
  start_server (&store, ip, handle_store, NULL);
  store_put ("op/config", config);
  for (int i = 0; i < N_REPLICAS; i++)
    {
      Replica *r = &replicas[i];
      char key[64], value[2048];

      r->n = i + 1;
      snprintf (r->id, sizeof r->id, "i-desk%d", i + 1);
      pthread_mutex_init (&r->lock, NULL);
      pthread_cond_init (&r->freed, NULL);
      r->server.on_close = on_close;
      choose_ip (ip, sizeof ip, 100 + i);
      start_server (&r->server, ip, handle_request, r);
      snprintf (key, sizeof key, "servers/%s", r->id);
      snprintf (value, sizeof value,
                "{\"service\":\"order-desk\",\"addr\":\"%s:%d\","
                "\"zone\":\"regina-hall\",\"version\":\"v1\",\"slots\":%d,"
                "\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":1}",
                r->server.ip, r->server.port, SLOTS);
      store_put (key, value);
    }
  start_gateways (gateways, N_GATEWAYS);
  sleep_ms (2000);
  stop_at_ms = now_ms () + RUN_MS;
  for (long i = 0; i < N_GATEWAYS * CLIENTS_PER_GATEWAY; i++)
    start_thread (consume, (void *)i);
  for (long i = 0; i < OTHER_CALLERS; i++)
    start_thread (call_directly, (void *)i);
  while (now_ms () < stop_at_ms)
    {
      long at = RUN_MS - (stop_at_ms - now_ms ());

      in_spell = has_trouble () && at % SPELL_EVERY_MS < SPELL_MS;
      sleep_ms (20);
    }
  in_spell = false;
  sleep_ms (4000);
  for (long i = 0; i < n_requests; i++)
    {
      int s = outcomes[i].status;

      by_status[s / 100 <= 5 ? s / 100 : 0]++;
      if (outcomes[i].runs > 1)
        {
          twice++;
          rec ("BROKEN TWICE id=a%08lx runs=%d", i, outcomes[i].runs);
        }
      if (outcomes[i].runs > 0
          && (s == 503 || s == 429 || s == 408 || s == 421))
        {
          refused_and_run++;
          rec ("BROKEN REFUSED id=a%08lx status=%d, and it has run", i, s);
        }
    }
  for (int i = 0; i < N_REPLICAS; i++)
    {
      rec ("REPLICA %s answers-in-spells=%ld extra=%ld", replicas[i].id,
           replicas[i].n_answers, replicas[i].n_extra);
      extra += replicas[i].n_extra;
    }
  rec ("SUMMARY requests=%ld 2xx=%ld 4xx=%ld 5xx=%ld none=%ld extra=%ld "
       "refused-and-run=%ld twice=%ld",
       n_requests, by_status[2], by_status[4], by_status[5], by_status[0],
       extra, refused_and_run, twice);
  printf ("requests=%ld 2xx=%ld 5xx=%ld none=%ld extra=%ld "
          "refused-and-run=%ld twice=%ld\n",
          n_requests, by_status[2], by_status[5], by_status[0], extra,
          refused_and_run, twice);
  fflush (stdout);
  end_record ();
  end_programs ();
  _exit (refused_and_run > 0 || twice > 0 ? 1 : 0);
}
