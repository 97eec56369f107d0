/*
 * Clock functions for a program under test, linked so that they override those
 * of the C library.  The wall clock jumps ahead by 2.4 s in the second half of
 * each second and back at its end; the monotonic clock is unchanged.
 */
#include <dlfcn.h>
#include <stddef.h>
#include <sys/time.h>
#include <time.h>

#define JUMP_S 2
#define JUMP_NS 400000000L
#define NS_PER_S 1000000000L

typedef int (*ClockGettimeFunc) (clockid_t, struct timespec *);

static ClockGettimeFunc
libc_clock_gettime (void)
{
  static ClockGettimeFunc func;

  if (!func)
    func = (ClockGettimeFunc)dlsym (RTLD_NEXT, "clock_gettime");
  return func;
}

static void
add_jump (struct timespec *t)
{
  struct timespec monotonic;

  libc_clock_gettime () (CLOCK_MONOTONIC, &monotonic);
  if (monotonic.tv_nsec < NS_PER_S / 2)
    return;
  t->tv_sec += JUMP_S;
  t->tv_nsec += JUMP_NS;
  if (t->tv_nsec >= NS_PER_S)
    {
      t->tv_sec++;
      t->tv_nsec -= NS_PER_S;
    }
}

int
clock_gettime (clockid_t id, struct timespec *t)
{
  int rc = libc_clock_gettime () (id, t);

  if (rc == 0 && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE))
    add_jump (t);
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
