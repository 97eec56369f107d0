#pragma once

#include <ck_ring.h>
#include <semaphore.h>
#include <stdbool.h>

/**
 * CfRing:
 * A bounded ring of pointers joining the threads of two duties, many
 * producers to many consumers.  Concurrency Kit's ring holds the slots;
 * two semaphores let a consumer sleep while it is empty.  A push never
 * blocks: a full ring is the producer's signal to refuse work.
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

/** cf_ring_push: %false when full; the caller keeps @p then. */
bool cf_ring_push (CfRing *r, void *p);

/** cf_ring_pop: waits for an item. */
void *cf_ring_pop (CfRing *r);

/** cf_ring_try_pop: %NULL if no item waits. */
void *cf_ring_try_pop (CfRing *r);

/** cf_ring_length: how many items wait now. */
unsigned int cf_ring_length (CfRing *r);
