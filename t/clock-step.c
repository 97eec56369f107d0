/*
 * Linked into a program under test, before the C library: the time of day jumps
 * ahead by 2.4 s and back again each half second, while the steady clock runs
 * on.
 */
#include <dlfcn.h>
#include <stddef.h>
#include <sys/time.h>
#include <time.h>

#define STEP_S 2
#define STEP_NS 400000000L
#define SECOND_NS 1000000000L

typedef int (*ClockGettime) (clockid_t, struct timespec *);

static ClockGettime
real_clock (void)
{
  static ClockGettime real;

  if (!real)
    real = (ClockGettime)dlsym (RTLD_NEXT, "clock_gettime");
  return real;
}

static void
step (struct timespec *t)
{
  struct timespec steady;

  real_clock () (CLOCK_MONOTONIC, &steady);
  if (steady.tv_nsec < SECOND_NS / 2)
    return;
  t->tv_sec += STEP_S;
  t->tv_nsec += STEP_NS;
  if (t->tv_nsec >= SECOND_NS)
    {
      t->tv_sec++;
      t->tv_nsec -= SECOND_NS;
    }
}

int
clock_gettime (clockid_t id, struct timespec *t)
{
  int rc = real_clock () (id, t);

  if (rc == 0 && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE))
    step (t);
  return rc;
}

int
gettimeofday (struct timeval *restrict tv, void *restrict tz)
{
  struct timespec t;

  (void)tz;
  clock_gettime (CLOCK_REALTIME, &t);
  tv->tv_sec = t.tv_sec;
  tv->tv_usec = t.tv_nsec / 1000;
  return 0;
}

time_t
time (time_t *out)
{
  struct timespec t;

  clock_gettime (CLOCK_REALTIME, &t);
  if (out)
    *out = t.tv_sec;
  return t.tv_sec;
}
