#include "log-writer.h"

#include "net.h"

#include <ck_pr.h>
#include <ck_ring.h>
#include <errno.h>
#include <limits.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/** The writer's pause between two rounds: ten wake-ups a second. */
#define ROUND_MS 100
/** Bytes that one write(2) takes: a pipe takes so many whole or not at all,
 * so that no line is torn even if this process ends while the pipe is full. */
#define BATCH_BYTES PIPE_BUF

/** CfLogLine: a line that waits, its bytes behind it. */
typedef struct
{
  gsize n;
  char text[];
} CfLogLine;

static struct
{
  ck_ring_t ring;
  ck_ring_buffer_t slots[CF_LOG_RING_SIZE];
  pthread_t thread;
  int fd;
  gboolean running;
  unsigned int stop;  /**< set for the writer to end */
  unsigned int ended; /**< set by the writer once all is written */
  guint64 dropped;
  gint64 second; /**< the second that @in_second counts */
  guint in_second;
} writer;

/** CfLogBatch: whole lines on their way out. */
typedef struct
{
  char *text;
  gsize n;
  gsize sent;
  guint lines;
} CfLogBatch;

static void
empty (CfLogBatch *b)
{
  b->n = 0;
  b->sent = 0;
  b->lines = 0;
}

/* Writes what is left of @b; %FALSE if its reader has no room now.  A batch
 * that cannot be written at all is dropped, and its lines counted. */
static gboolean
flush (CfLogBatch *b)
{
  while (b->sent < b->n)
    {
      ssize_t w = write (writer.fd, b->text + b->sent, b->n - b->sent);

      if (w < 0 && errno == EINTR)
        continue;
      if (w < 0 && errno == EAGAIN)
        return FALSE;
      if (w <= 0)
        {
          ck_pr_add_64 (&writer.dropped, b->lines);
          break;
        }
      b->sent += (gsize)w;
    }
  empty (b);
  return TRUE;
}

/* Adds a line, for which there has to be room. */
static void
add_line (CfLogBatch *b, const char *text, gsize n)
{
  memcpy (b->text + b->n, text, n);
  b->n += n;
  b->lines++;
}

/* Writes the lines that wait, as far as their reader takes them: others stay
 * in the ring, and those that then find it full are dropped whole. */
static gboolean
write_waiting (CfLogBatch *b)
{
  void *p;

  if (!flush (b))
    return FALSE;
  while (ck_ring_dequeue_mpsc (&writer.ring, writer.slots, &p))
    {
      CfLogLine *l = p;
      gboolean room = b->n + l->n <= BATCH_BYTES || flush (b);

      if (room)
        add_line (b, l->text, l->n);
      else
        ck_pr_add_64 (&writer.dropped, 1);
      free (l);
      if (!room)
        return FALSE;
    }
  return flush (b);
}

/* Tells how many lines were dropped since it was last told. */
static void
tell_dropped (CfLogBatch *b, guint64 *told)
{
  guint64 dropped = cf_log_writer_dropped_lines ();
  char line[96];
  int n;

  if (dropped == *told)
    return;
  n = snprintf (line, sizeof line,
                "<4>E1005 log-dropped lines=%" G_GUINT64_FORMAT "\n",
                dropped - *told);
  *told = dropped;
  add_line (b, line, (gsize)n);
  /* It is no line that somebody logged. */
  b->lines--;
  flush (b);
}

/* Counts the lines that nobody will write any more. */
static void
drop_waiting (CfLogBatch *b)
{
  void *l;

  ck_pr_add_64 (&writer.dropped, b->lines);
  while (ck_ring_dequeue_mpsc (&writer.ring, writer.slots, &l))
    {
      ck_pr_add_64 (&writer.dropped, 1);
      free (l);
    }
}

static void
write_rounds_into (CfLogBatch *b)
{
  const struct timespec pause = { 0, ROUND_MS * 1000000L };
  guint64 told = 0;

  while (!ck_pr_load_uint (&writer.stop))
    {
      if (write_waiting (b))
        tell_dropped (b, &told);
      nanosleep (&pause, NULL);
    }
  if (!write_waiting (b))
    drop_waiting (b);
}

static void *
write_rounds (void *unused)
{
  CfLogBatch b = { .text = malloc (BATCH_BYTES) };

  if (b.text)
    write_rounds_into (&b);
  free (b.text);
  ck_pr_store_uint (&writer.ended, 1);
  return NULL;
}

gboolean
cf_log_writer_start (int fd)
{
  ck_ring_init (&writer.ring, CF_LOG_RING_SIZE);
  writer.fd = fd;
  writer.stop = 0;
  writer.ended = 0;
  writer.running
      = pthread_create (&writer.thread, NULL, write_rounds, NULL) == 0;
  return writer.running;
}

void
cf_log_writer_stop (gint64 ms)
{
  const struct timespec pause = { 0, 5 * 1000000L };
  gint64 until = cf_now_ms () + ms;

  if (!writer.running)
    return;
  ck_pr_store_uint (&writer.stop, 1);
  while (!ck_pr_load_uint (&writer.ended) && cf_now_ms () < until)
    nanosleep (&pause, NULL);
  /* A writer that still waits for its reader ends with the process. */
  if (ck_pr_load_uint (&writer.ended))
    pthread_join (writer.thread, NULL);
  else
    pthread_detach (writer.thread);
  writer.running = FALSE;
}

gboolean
cf_log_writer_is_running (void)
{
  return writer.running;
}

static gboolean
within_rate (void)
{
  gint64 second = cf_now_ms () / 1000;

  if (second != writer.second)
    {
      writer.second = second;
      writer.in_second = 0;
    }
  return ++writer.in_second <= CF_LOG_MAX_LINES_PER_S;
}

void
cf_log_writer_put (const char *line, gsize n)
{
  CfLogLine *l = NULL;

  if (within_rate () && n <= BATCH_BYTES)
    l = malloc (sizeof *l + n);
  if (!l)
    {
      ck_pr_add_64 (&writer.dropped, 1);
      return;
    }
  l->n = n;
  memcpy (l->text, line, n);
  if (ck_ring_enqueue_mpsc (&writer.ring, writer.slots, l))
    return;
  ck_pr_add_64 (&writer.dropped, 1);
  free (l);
}

guint64
cf_log_writer_dropped_lines (void)
{
  return ck_pr_load_64 (&writer.dropped);
}
