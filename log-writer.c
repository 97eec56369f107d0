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

/** Interval at which the writer wakes up, ten times per second. */
#define WRITE_INTERVAL_MS 100
/** Bytes per write(2).  A pipe accepts a write of up to PIPE_BUF bytes as a
 * whole or not at all, so no line is cut even if this process exits while the
 * pipe is full. */
#define BATCH_MAX_BYTES PIPE_BUF

/** CfLogLine: a queued line. */
typedef struct
{
  gsize n; /**< length of @text in bytes */
  char text[];
} CfLogLine;

static struct
{
  ck_ring_t ring;
  ck_ring_buffer_t slots[CF_LOG_RING_SIZE];
  pthread_t thread;
  int fd;
  gboolean running;
  unsigned int stop_requested; /**< tells the writer to end */
  unsigned int has_ended;      /**< set by the writer as its last step */
  guint64 dropped;
  gint64 second; /**< the second in which @n_in_second lines were put */
  guint n_in_second;
} writer;

/** CfLogBatch: complete lines that are being written. */
typedef struct
{
  char *text;
  gsize n;
  gsize sent;
  guint lines;
} CfLogBatch;

static void
batch_clear (CfLogBatch *b)
{
  b->n = 0;
  b->sent = 0;
  b->lines = 0;
}

/* Writes the rest of @b.  Returns %FALSE if the pipe is full.  On any
 * other error the batch is dropped and its lines are counted. */
static gboolean
batch_flush (CfLogBatch *b)
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
  batch_clear (b);
  return TRUE;
}

/* Adds a line, which must fit into the batch. */
static void
batch_add_line (CfLogBatch *b, const char *text, gsize n)
{
  memcpy (b->text + b->n, text, n);
  b->n += n;
  b->lines++;
}

/* Writes queued lines until the pipe is full; returns %FALSE if it is.  The
 * others stay in the ring; lines that then find the ring full are dropped
 * whole. */
static gboolean
write_queued_lines (CfLogBatch *b)
{
  void *p;

  if (!batch_flush (b))
    return FALSE;
  while (ck_ring_dequeue_mpsc (&writer.ring, writer.slots, &p))
    {
      CfLogLine *l = p;
      gboolean fits = b->n + l->n <= BATCH_MAX_BYTES || batch_flush (b);

      if (fits)
        batch_add_line (b, l->text, l->n);
      else
        ck_pr_add_64 (&writer.dropped, 1);
      free (l);
      if (!fits)
        return FALSE;
    }
  return batch_flush (b);
}

/* Logs how many lines were dropped since the last such report. */
static void
log_dropped_lines (CfLogBatch *b, guint64 *reported)
{
  guint64 dropped = cf_log_writer_dropped_lines ();
  char line[96];
  int n;

  if (dropped == *reported)
    return;
  n = snprintf (line, sizeof line,
                "<4>E1005 log-dropped lines=%" G_GUINT64_FORMAT "\n",
                dropped - *reported);
  *reported = dropped;
  batch_add_line (b, line, (gsize)n);
  /* The report is not a logged line: it is not counted if it gets dropped. */
  b->lines--;
  batch_flush (b);
}

/* Counts the lines left in the batch and in the ring as dropped, and empties
 * the ring. */
static void
drop_queued_lines (CfLogBatch *b)
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
run_writer (CfLogBatch *b)
{
  const struct timespec pause = { 0, WRITE_INTERVAL_MS * 1000000L };
  guint64 reported = 0;

  while (!ck_pr_load_uint (&writer.stop_requested))
    {
      if (write_queued_lines (b))
        log_dropped_lines (b, &reported);
      nanosleep (&pause, NULL);
    }
  if (!write_queued_lines (b))
    drop_queued_lines (b);
}

static void *
writer_thread (void *unused)
{
  CfLogBatch b = { .text = malloc (BATCH_MAX_BYTES) };

  if (b.text)
    run_writer (&b);
  free (b.text);
  ck_pr_store_uint (&writer.has_ended, 1);
  return NULL;
}

gboolean
cf_log_writer_start (int fd)
{
  ck_ring_init (&writer.ring, CF_LOG_RING_SIZE);
  writer.fd = fd;
  writer.stop_requested = 0;
  writer.has_ended = 0;
  writer.running
      = pthread_create (&writer.thread, NULL, writer_thread, NULL) == 0;
  return writer.running;
}

void
cf_log_writer_stop (gint64 ms)
{
  const struct timespec pause = { 0, 5 * 1000000L };
  gint64 until = cf_now_ms () + ms;

  if (!writer.running)
    return;
  ck_pr_store_uint (&writer.stop_requested, 1);
  while (!ck_pr_load_uint (&writer.has_ended) && cf_now_ms () < until)
    nanosleep (&pause, NULL);
  /* A writer that is still blocked by a full pipe ends with the process. */
  if (ck_pr_load_uint (&writer.has_ended))
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

/* Counts a line, and returns whether the limit of lines per second allows
 * it. */
static gboolean
is_within_rate_limit (void)
{
  gint64 second = cf_now_ms () / 1000;

  if (second != writer.second)
    {
      writer.second = second;
      writer.n_in_second = 0;
    }
  return ++writer.n_in_second <= CF_LOG_MAX_LINES_PER_S;
}

void
cf_log_writer_put (const char *line, gsize n)
{
  CfLogLine *l = NULL;

  if (is_within_rate_limit () && n <= BATCH_MAX_BYTES)
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
