/* The operator and callers of case 4.
 *
 *	silent-store STORE-PORT FRONT-PORT...
 *
 * Writes a version of the configuration every 0.27 s for 3.5 s.  Then the store
 * gives no response for a second (not with TROUBLE=0).  The last version,
 * written after that, drops a key and adds a key and a route.  Once the store
 * has been stable for contact-ms, callers use the dropped key, and the new
 * route with the new key.
 *
 * Exit status: 1 if a request was handled as only an older version allows,
 * 0 if none was, 2 if the case could not run.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CONTACT_MS 3000
#define APPLY_MS 2000
/** Versions come as fast as in the storms of the site, and for as long. */
#define STORM_GAP_MS 270
#define STORM_VERSIONS 13
#define SILENCE_MS 1000
/** Until so long after the silence callers send requests. */
#define CALLERS_UNTIL_MS 9000
#define OLD_KEY "key-old"
#define NEW_KEY "key-new"

static char config[65536];
static int store;

static long
now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static void
sleep_until (long ms)
{
  long left = ms - now_ms ();

  if (left > 0)
    usleep ((useconds_t)left * 1000);
}

/* Sends @head, the lines of a request but for the last ones, and @body; returns
 * the status, and the body of the answer in @out.  0: no answer. */
static int
call (int port, const char *head, const char *body, char *out, size_t n)
{
  struct sockaddr_in a = { .sin_family = AF_INET };
  struct timeval timeout = { 2, 0 };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  char *text = malloc (strlen (head) + strlen (body) + 256);
  char buf[65536];
  size_t len = 0;
  ssize_t k;
  char *end;

  a.sin_port = htons ((unsigned short)port);
  a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  sprintf (text, "%sConnection: close\r\nContent-Length: %zu\r\n\r\n%s", head,
           strlen (body), body);
  if (connect (fd, (struct sockaddr *)&a, sizeof a) == 0
      && send (fd, text, strlen (text), MSG_NOSIGNAL) > 0)
    while (len < sizeof buf - 1
           && (k = recv (fd, buf + len, sizeof buf - 1 - len, 0)) > 0)
      len += (size_t)k;
  close (fd);
  free (text);
  buf[len] = '\0';
  end = strstr (buf, "\r\n\r\n");
  if (!end || strncmp (buf, "HTTP/1.1 ", 9) != 0)
    return 0;
  if (out)
    snprintf (out, n, "%s", end + 4);
  return atoi (buf + 9);
}

static void
set_mode (const char *mode)
{
  char head[128];

  snprintf (head, sizeof head,
            "POST /test/mode?mode=%s HTTP/1.1\r\nHost: store\r\n", mode);
  if (call (store, head, "", NULL, 0) != 200)
    exit (2);
  printf ("%ld store mode=%s\n", now_ms (), mode);
}

/* Writes @version, with the old key or with the new one and the new route, and
 * returns when the store acknowledged it. */
static long
write_version (int version, int is_new)
{
  const char *routes = strstr (config, "\"routes\":[");
  const char *keys = strstr (config, "\"key-museum\"");
  char *text = malloc (sizeof config + 1024);
  long at;

  if (!routes || !keys)
    exit (2);
  routes += strlen ("\"routes\":[");
  keys += strlen ("\"key-museum\"");
  sprintf (text, "{\"version\":%d,\"routes\":[%s%.*s,\"%s\"%s", version,
           is_new ? "{\"name\":\"new\",\"host\":\"demo.example\","
                    "\"prefix\":\"/new/\",\"kind\":\"safe\","
                    "\"timeout-ms\":800,\"aim-ms\":150,\"priority\":2,"
                    "\"service\":\"desk\",\"max-attempts\":2,"
                    "\"public\":false},"
                  : "",
           (int)(keys - routes), routes, is_new ? NEW_KEY : OLD_KEY, keys);
  if (call (store,
            "POST /test/put?key=op/config HTTP/1.1\r\nHost: store\r\n", text,
            NULL, 0)
      != 200)
    exit (2);
  at = now_ms ();
  printf ("%ld config version=%d keys=key-museum,%s acked\n", at, version,
          is_new ? NEW_KEY : OLD_KEY);
  free (text);
  return at;
}

static int
ask (int front, const char *path, const char *key)
{
  static int n;
  char head[512];
  char answer[256] = "";
  long at = now_ms ();
  int status;

  snprintf (head, sizeof head,
            "GET %s HTTP/1.1\r\nHost: demo.example\r\n"
            "Comfreypost-Request-Id: %08x\r\nComfreypost-Deadline-Ms: 800\r\n"
            "Authorization: Token %s\r\n",
            path, ++n, key);
  status = call (front, head, "", answer, sizeof answer);
  answer[strcspn (answer, "\n")] = '\0';
  printf ("%ld request id=%08x gateway=%d path=%s key=%s status=%d answer=%s\n",
          at, n, front, path, key, status, answer);
  return status;
}

int
main (int argc, char **argv)
{
  const char *trouble = getenv ("TROUBLE");
  int has_trouble = !trouble || strcmp (trouble, "0") != 0;
  long start, stable, acked, silence_end;
  int version = 10;
  int n_asked = 0, n_refused = 0, n_dropped_key = 0;

  setvbuf (stdout, NULL, _IOLBF, 0);
  if (argc < 3)
    return 2;
  store = atoi (argv[1]);
  if (call (store, "GET /test/get?key=op/config HTTP/1.1\r\nHost: store\r\n",
            "", config, sizeof config)
      != 200)
    return 2;
  start = now_ms ();
  for (int i = 0; i < STORM_VERSIONS; i++)
    {
      sleep_until (start + i * STORM_GAP_MS);
      write_version (version++, 0);
    }
  for (int i = 2; i < argc; i++)
    if (ask (atoi (argv[i]), "/quote/a", OLD_KEY) != 200)
      return 2;
  sleep_until (start + STORM_VERSIONS * STORM_GAP_MS);
  if (has_trouble)
    set_mode ("silent");
  sleep_until (start + STORM_VERSIONS * STORM_GAP_MS + SILENCE_MS);
  if (has_trouble)
    set_mode ("up");
  silence_end = now_ms ();
  sleep_until (silence_end + STORM_GAP_MS);
  write_version (version++, 0);
  sleep_until (silence_end + 2 * STORM_GAP_MS);
  acked = write_version (version++, 1);
  stable = silence_end + CONTACT_MS + 50;
  if (stable < acked + APPLY_MS + 50)
    stable = acked + APPLY_MS + 50;
  printf ("%ld from here on the gateways are in touch and apply-ms has "
          "passed\n",
          stable);
  sleep_until (stable);
  while (now_ms () < silence_end + CALLERS_UNTIL_MS)
    {
      for (int i = 2; i < argc; i++)
        {
          int old = ask (atoi (argv[i]), "/quote/a", OLD_KEY);
          int new = ask (atoi (argv[i]), "/new/a", NEW_KEY);

          if (!old || !new)
            return 2;
          n_asked += 2;
          n_dropped_key += old == 200;
          n_refused += new == 401 || new == 404;
        }
      usleep (100000);
    }
  printf ("asked=%d run_with_a_dropped_key=%d refused_though_allowed=%d\n",
          n_asked, n_dropped_key, n_refused);
  return n_dropped_key + n_refused > 0;
}
