/* A wall clock that a test steps while the program runs: preloaded into a process (LD_PRELOAD), it adds to what
 * the system says of CLOCK_REALTIME. The monotonic clocks are left alone.
 *
 * $WALL_CLOCK names a file of two 64-bit numbers in ns: what is added to every read, and what is added to every
 * second read beside that, so that the clock is stepped between any two reads. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define NS 1000000000LL

struct control {
    int64_t offset_ns;
    int64_t alternate_ns;
};

static volatile struct control *control;
static int (*real_clock_gettime)(clockid_t, struct timespec *);
static unsigned reads;

__attribute__((constructor)) static void start(void)
{
    const char *path = getenv("WALL_CLOCK");
    int file = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;

    real_clock_gettime = (int (*)(clockid_t, struct timespec *))dlsym(RTLD_NEXT, "clock_gettime");
    if (file < 0)
        abort();
    control = mmap(NULL, sizeof *control, PROT_READ, MAP_SHARED, file, 0);
    if (control == MAP_FAILED)
        abort();
    close(file);
}

int clock_gettime(clockid_t id, struct timespec *told)
{
    int failed = real_clock_gettime(id, told);
    int64_t added, ns;

    if (failed || (id != CLOCK_REALTIME && id != CLOCK_REALTIME_COARSE) || !control)
        return failed;
    added = control->offset_ns + (++reads % 2 ? control->alternate_ns : 0);
    ns = told->tv_sec * NS + told->tv_nsec + added;
    told->tv_sec = ns / NS;
    told->tv_nsec = ns % NS;
    return 0;
}

int gettimeofday(struct timeval *told, void *zone)
{
    struct timespec now;

    (void)zone;
    if (clock_gettime(CLOCK_REALTIME, &now))
        return -1;
    told->tv_sec = now.tv_sec;
    told->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *told)
{
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    if (told)
        *told = now.tv_sec;
    return now.tv_sec;
}
