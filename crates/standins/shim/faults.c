/*
 * Fault shim for tests: loaded into one proxy with LD_PRELOAD, it makes system calls fail in ways that Linux documents.
 *
 * LINENTRAIL_FAULTS names the faults, `name=N` each, separated by commas. A fault comes in one call of N, drawn by a
 * generator that `seed=S` starts, so that the same calls meet the same faults again.
 *
 *   recv_short   recv() returns 1 byte while more stands in the socket          recv(2): "may return any data available"
 *   recv_cut     recv() returns a drawn number of bytes, fewer than stand there recv(2)
 *   send_short   send() and writev() take 1 byte                                send(2), writev(2)
 *   recv_fails   recv() on a connection that the process has made fails with
 *                ETIMEDOUT or EHOSTUNREACH, and the connection is broken        tcp(7), ip(7)
 *   accept_fails accept4() fails with ECONNABORTED, ENFILE or ENOBUFS           accept(2)
 *   connect_fails connect() fails with EADDRNOTAVAIL, ENETUNREACH or ENOBUFS    connect(2), ip(7)
 *   socket_fails socket() fails with ENFILE or ENOBUFS                          socket(2)
 *   wait_intr    epoll_wait() returns EINTR                                     epoll_wait(2)
 *   call_intr    recv(), send(), writev() and connect() return EINTR            recv(2), send(2), connect(2)
 *   call_nomem   recv() on a connection fails with ENOMEM, send() and writev() with ENOBUFS or ENOMEM, and nothing is done
 *                                                                               recv(2), send(2)
 *   pause        a thread is held up before send()                              scheduling; any call may take so long
 *   pause_us     for so long (150000)
 *   at_most      so many faults come, and then no more
 *
 * LINENTRAIL_FAULT_CONTROL names a file of at least 24 bytes, mapped shared, through which a running process is
 * controlled: int64 step of CLOCK_REALTIME in us (clock_settime(2): steps it, CLOCK_MONOTONIC goes on); int64 errno
 * with which write() and fsync() fail on files below LINENTRAIL_FAULT_FOLDER (write(2), fsync(2): ENOSPC, EIO); int64
 * not 0: the faults above are on. Without a control file they are on from the start.
 *
 * LINENTRAIL_FAULT_LOG names a file to which each fault is appended, with its number and the seed.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum fault {
    RECV_SHORT, RECV_CUT, SEND_SHORT, RECV_FAILS, ACCEPT_FAILS, CONNECT_FAILS, SOCKET_FAILS, WAIT_INTR, CALL_INTR, CALL_NOMEM,
    PAUSE, PAUSE_US, AT_MOST, SEED,
    FAULTS
};

static const char *const NAMES[FAULTS] = {
    "recv_short", "recv_cut", "send_short", "recv_fails", "accept_fails", "connect_fails", "socket_fails", "wait_intr",
    "call_intr", "call_nomem",
    "pause", "pause_us", "at_most", "seed",
};

struct control {
    volatile int64_t clock_step_us;
    volatile int64_t disk_errno;
    volatile int64_t on;
};

static uint64_t rate[FAULTS];
static uint64_t state;
static uint64_t count;
static struct control *control;
static char folder[512];
static int log_file = -1;
/* Descriptors of connections that the process has made: whose break is no client's loss. */
enum { DESCRIPTORS = 65536 };
static unsigned char outgoing[DESCRIPTORS];

static void set_outgoing(int fd, int yes) {
    if (fd >= 0 && fd < DESCRIPTORS) outgoing[fd] = (unsigned char)yes;
}
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

#define REAL(name) \
    static __typeof__(&name) real; \
    if (!real) real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

__attribute__((constructor)) static void start(void) {
    const char *text = getenv("LINENTRAIL_FAULTS");
    for (int n = 0; text && n < FAULTS; n++) {
        size_t length = strlen(NAMES[n]);
        for (const char *at = text; at; at = strchr(at, ',')) {
            at += *at == ',';
            if (strncmp(at, NAMES[n], length) == 0 && at[length] == '=')
                rate[n] = strtoull(at + length + 1, NULL, 10);
        }
    }
    state = rate[SEED] * 0x9e3779b97f4a7c15ULL + 1;
    const char *path = getenv("LINENTRAIL_FAULT_FOLDER");
    if (path) snprintf(folder, sizeof folder, "%s", path);
    path = getenv("LINENTRAIL_FAULT_LOG");
    if (path) log_file = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    path = getenv("LINENTRAIL_FAULT_CONTROL");
    int file = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (file >= 0) {
        void *at = mmap(NULL, sizeof *control, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
        if (at != MAP_FAILED) control = at;
        close(file);
    }
}

/* xorshift64*; one generator for the process, under the lock. */
static uint64_t draw(void) {
    pthread_mutex_lock(&lock);
    state ^= state >> 12;
    state ^= state << 25;
    state ^= state >> 27;
    uint64_t drawn = state * 0x2545f4914f6cdd1dULL;
    pthread_mutex_unlock(&lock);
    return drawn >> 16;
}

static int comes(enum fault fault) {
    if (!rate[fault] || (control && !control->on)) return 0;
    if (draw() % rate[fault] != 0) return 0;
    static uint64_t come;
    return !rate[AT_MOST] || __atomic_fetch_add(&come, 1, __ATOMIC_RELAXED) < rate[AT_MOST];
}

/* One line for each fault, without touching errno. */
static void note(const char *format, ...) {
    if (log_file < 0) return;
    int kept = errno;
    char line[200];
    uint64_t number = __atomic_add_fetch(&count, 1, __ATOMIC_RELAXED);
    int length = snprintf(line, sizeof line, "%d seed %llu fault %llu ", (int)getpid(),
        (unsigned long long)rate[SEED], (unsigned long long)number);
    va_list rest;
    va_start(rest, format);
    length += vsnprintf(line + length, sizeof line - length - 1, format, rest);
    va_end(rest);
    if (length > (int)sizeof line - 2) length = sizeof line - 2;
    line[length++] = '\n';
    REAL(write);
    if (real(log_file, line, length) < 0) { /* Nobody to tell. */ }
    errno = kept;
}

static int fails(const char *call, int fd, const int *errors, int n) {
    errno = errors[draw() % n];
    note("%s(%d) fails with %d", call, fd, errno);
    return -1;
}

static const int INTERRUPTED[] = {EINTR};

/* Connections alone: the runtime's own pipe for signals takes EINTR, which no read of it can bring, for its end. */
static int is_connection(int fd) {
    int kept = errno, domain = 0;
    socklen_t length = sizeof domain;
    int connection = getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &length) == 0 && domain == AF_INET;
    errno = kept;
    return connection;
}

static int interrupted(const char *call, int fd) {
    return is_connection(fd) && comes(CALL_INTR) ? fails(call, fd, INTERRUPTED, 1) : 0;
}

static int finds_no_memory(const char *call, int fd, const int *errors, int n) {
    return is_connection(fd) && comes(CALL_NOMEM) ? fails(call, fd, errors, n) : 0;
}

static const int NO_MEMORY[] = {ENOMEM, ENOBUFS};

ssize_t recv(int fd, void *to, size_t size, int flags) {
    REAL(recv);
    if (interrupted("recv", fd) || finds_no_memory("recv", fd, NO_MEMORY, 1)) return -1;
    if (!(flags & MSG_PEEK)) {
        if (fd >= 0 && fd < DESCRIPTORS && outgoing[fd] && comes(RECV_FAILS)) {
            static const int errors[] = {ETIMEDOUT, EHOSTUNREACH};
            /* A broken connection stays broken. */
            shutdown(fd, SHUT_RDWR);
            return fails("recv", fd, errors, 2);
        }
        int there = 0;
        if (size > 1 && (rate[RECV_SHORT] || rate[RECV_CUT]) && ioctl(fd, FIONREAD, &there) == 0 && there > 1) {
            size_t most = (size_t)there < size ? (size_t)there : size;
            if (comes(RECV_SHORT)) {
                note("recv(%d) takes 1 of %d bytes", fd, there);
                size = 1;
            } else if (comes(RECV_CUT)) {
                size = 1 + draw() % (most - 1);
                note("recv(%d) takes %zu of %d bytes", fd, size, there);
            }
        }
    }
    return real(fd, to, size, flags);
}

static void hold_up(int fd) {
    if (comes(PAUSE)) {
        uint64_t us = rate[PAUSE_US] ? rate[PAUSE_US] : 150000;
        note("held up for %llu us before send(%d)", (unsigned long long)us, fd);
        struct timespec span = {us / 1000000, us % 1000000 * 1000};
        nanosleep(&span, NULL);
    }
}

ssize_t send(int fd, const void *from, size_t size, int flags) {
    REAL(send);
    if (interrupted("send", fd) || finds_no_memory("send", fd, NO_MEMORY, 2)) return -1;
    hold_up(fd);
    if (size > 1 && comes(SEND_SHORT)) {
        note("send(%d) takes 1 of %zu bytes", fd, size);
        size = 1;
    }
    return real(fd, from, size, flags);
}

ssize_t writev(int fd, const struct iovec *parts, int n) {
    REAL(writev);
    if (interrupted("writev", fd) || finds_no_memory("writev", fd, NO_MEMORY, 2)) return -1;
    hold_up(fd);
    if (n > 0 && parts[0].iov_len > 1 && comes(SEND_SHORT)) {
        note("writev(%d) takes 1 byte", fd);
        struct iovec first = {parts[0].iov_base, 1};
        return real(fd, &first, 1);
    }
    return real(fd, parts, n);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4);
    static const int errors[] = {ECONNABORTED, ENFILE, ENOBUFS};
    if (comes(ACCEPT_FAILS)) return fails("accept4", fd, errors, 3);
    int made = real(fd, address, length, flags);
    set_outgoing(made, 0);
    return made;
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    if (interrupted("connect", fd)) return -1;
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS};
    if (comes(CONNECT_FAILS)) return fails("connect", fd, errors, 3);
    set_outgoing(fd, 1);
    return real(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    static const int errors[] = {ENFILE, ENOBUFS};
    if (domain == AF_INET && comes(SOCKET_FAILS)) return fails("socket", -1, errors, 2);
    int made = real(domain, type, protocol);
    set_outgoing(made, 0);
    return made;
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    REAL(epoll_wait);
    static const int errors[] = {EINTR};
    if (comes(WAIT_INTR)) return fails("epoll_wait", fd, errors, 1);
    return real(fd, events, most, timeout);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    REAL(clock_gettime);
    int done = real(clock, now);
    if (done == 0 && control && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t step = control->clock_step_us;
        int64_t ns = now->tv_nsec + step % 1000000 * 1000;
        now->tv_sec += step / 1000000;
        if (ns < 0) { ns += 1000000000; now->tv_sec -= 1; }
        if (ns >= 1000000000) { ns -= 1000000000; now->tv_sec += 1; }
        now->tv_nsec = ns;
    }
    return done;
}

/* Whether the disk fault holds for this file; errno is set then. */
static int disk_fails(const char *call, int fd) {
    if (!control || !control->disk_errno || !folder[0]) return 0;
    int kept = errno;
    char link[64], path[512];
    snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
    ssize_t length = readlink(link, path, sizeof path - 1);
    errno = kept;
    if (length <= 0) return 0;
    path[length] = 0;
    if (strncmp(path, folder, strlen(folder)) != 0) return 0;
    errno = (int)control->disk_errno;
    note("%s(%s) fails with %d", call, path, errno);
    return 1;
}

ssize_t write(int fd, const void *from, size_t size) {
    REAL(write);
    if (disk_fails("write", fd)) {
        /* What a full disk took before it was full stays: a write half done. */
        if (errno == ENOSPC && size > 1 && draw() % 2) return real(fd, from, size / 2);
        return -1;
    }
    return real(fd, from, size);
}

int fsync(int fd) {
    REAL(fsync);
    return disk_fails("fsync", fd) ? -1 : real(fd);
}

int fdatasync(int fd) {
    REAL(fdatasync);
    return disk_fails("fdatasync", fd) ? -1 : real(fd);
}
