#include "ring.h"

#include <errno.h>
#include <stdlib.h>

void
cf_ring_init (CfRing *r, unsigned int size)
{
  r->size = size;
  r->slots = calloc (size, sizeof *r->slots);
  ck_ring_init (&r->ring, size);
  sem_init (&r->items, 0, 0);
}

void
cf_ring_clear (CfRing *r)
{
  sem_destroy (&r->items);
  free (r->slots);
}

bool
cf_ring_push (CfRing *r, void *p)
{
  if (!ck_ring_enqueue_mpmc (&r->ring, r->slots, p))
    return false;
  sem_post (&r->items);
  return true;
}

/* Call after decrementing the semaphore.  It counts the items in the ring, so
 * the loop finds one. */
static void *
dequeue (CfRing *r)
{
  void *p = NULL;

  while (!ck_ring_dequeue_mpmc (&r->ring, r->slots, &p))
    ;
  return p;
}

void *
cf_ring_pop (CfRing *r)
{
  while (sem_wait (&r->items) != 0 && errno == EINTR)
    ;
  return dequeue (r);
}

void *
cf_ring_try_pop (CfRing *r)
{
  while (sem_trywait (&r->items) != 0)
    if (errno != EINTR)
      return NULL;
  return dequeue (r);
}

unsigned int
cf_ring_length (CfRing *r)
{
  return ck_ring_size (&r->ring);
}
