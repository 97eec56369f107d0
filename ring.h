#pragma once

#include <ck_ring.h>
#include <semaphore.h>
#include <stdbool.h>

/**
 * CfRing:
 * A bounded multi-producer, multi-consumer queue of pointers, built on
 * Concurrency Kit's ring.  A semaphore lets consumers sleep while it is
 * empty.  A push never blocks: when the ring is full, the producer has to
 * refuse the work.
 */
typedef struct
{
  ck_ring_t ring;
  ck_ring_buffer_t *slots;
  unsigned int size;
  sem_t items;
} CfRing;

/** cf_ring_init: @size must be a power of two, at least 4. */
void cf_ring_init (CfRing *r, unsigned int size);
void cf_ring_clear (CfRing *r);

/** cf_ring_push: returns %false if full; the caller then still owns @p. */
bool cf_ring_push (CfRing *r, void *p);

/** cf_ring_pop: blocks until there is an item. */
void *cf_ring_pop (CfRing *r);

/** cf_ring_try_pop: returns %NULL if the ring is empty. */
void *cf_ring_try_pop (CfRing *r);

/** cf_ring_length: the number of items in the ring. */
unsigned int cf_ring_length (CfRing *r);
