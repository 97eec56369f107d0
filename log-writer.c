#include "log-writer.h"

#include "net.h"

#include <ck_pr.h>
#include <ck_ring.h>
#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/** The writer's pause between two rounds: ten wake-ups a second. */
#define ROUND_MS 100
/** Bytes that one write(2) takes. */
#define BATCH_BYTES 65536

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

static gboolean
write_all (const char *p, gsize n)
{
  while (n > 0)
    {
      ssize_t w = write (writer.fd, p, n);

      if (w < 0 && errno == EINTR)
        continue;
      if (w <= 0)
        return FALSE;
      p += w;
      n -= (gsize)w;
    }
  return TRUE;
}

static void
write_batch (char *batch, gsize *n)
{
  if (*n && !write_all (batch, *n))
    ck_pr_add_64 (&writer.dropped, 1);
  *n = 0;
}

static void
write_waiting (char *batch)
{
  void *p;
  gsize n = 0;

  while (ck_ring_dequeue_mpsc (&writer.ring, writer.slots, &p))
    {
      CfLogLine *l = p;

      if (n + l->n > BATCH_BYTES)
        write_batch (batch, &n);
      memcpy (batch + n, l->text, l->n);
      n += l->n;
      free (l);
    }
  write_batch (batch, &n);
}

static void *
write_rounds (void *unused)
{
  const struct timespec pause = { 0, ROUND_MS * 1000000L };
  char *batch = malloc (BATCH_BYTES);
  guint64 reported = 0;

  while (batch && !ck_pr_load_uint (&writer.stop))
    {
      guint64 dropped;

      write_waiting (batch);
      dropped = cf_log_writer_dropped ();
      if (dropped != reported)
        {
          char line[96];
          int n
              = snprintf (line, sizeof line,
                          "<4>E1005 log-dropped lines=%" G_GUINT64_FORMAT "\n",
                          dropped - reported);

          reported = dropped;
          if (!write_all (line, (gsize)n))
            ck_pr_add_64 (&writer.dropped, 1);
        }
      nanosleep (&pause, NULL);
    }
  if (batch)
    write_waiting (batch);
  free (batch);
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
cf_log_writer_active (void)
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
  return ++writer.in_second <= CF_LOG_RATE_MAX;
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
cf_log_writer_dropped (void)
{
  return ck_pr_load_64 (&writer.dropped);
}
