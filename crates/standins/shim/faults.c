/*
 * Fault shim for tests. Loaded into one proxy with LD_PRELOAD, it makes system calls fail in ways documented by Linux.
 *
 * LINENTRAIL_FAULTS lists the faults as `name=N`, separated by commas. A fault affects one call in N on average. The
 * calls are chosen by a pseudo-random generator seeded with `seed=S`, so the same sequence of calls gets the same
 * faults again.
 *
 *   recv_short   recv() returns 1 byte although more is available               recv(2): "may return any data available"
 *   recv_cut     recv() returns a random number of bytes, fewer than available  recv(2)
 *   send_short   send() and writev() accept 1 byte                              send(2), writev(2)
 *   recv_fails   recv() on a connection that the process opened fails with
 *                ETIMEDOUT or EHOSTUNREACH, and the connection is broken        tcp(7), ip(7)
 *   accept_fails accept4() fails with ECONNABORTED, ENFILE or ENOBUFS           accept(2)
 *   connect_fails connect() fails with EADDRNOTAVAIL, ENETUNREACH or ENOBUFS    connect(2), ip(7)
 *   socket_fails socket() fails with ENFILE or ENOBUFS                          socket(2)
 *   wait_intr    epoll_wait() fails with EINTR                                  epoll_wait(2)
 *   call_intr    recv(), send(), writev() and connect() fail with EINTR         recv(2), send(2), connect(2)
 *   call_nomem   recv() on a connection fails with ENOMEM, send() and writev()
 *                fail with ENOBUFS or ENOMEM, and no data is transferred        recv(2), send(2)
 *   pause        the calling thread sleeps before send() and writev()           scheduling: any call may be delayed so
 *   pause_us     length of that sleep in us (default 150000)
 *   at_most      total number of faults after which no more occur
 *
 * LINENTRAIL_FAULT_CONTROL names a file of at least 24 bytes, mapped shared, that controls the running process. It
 * holds three int64 values:
 *   - the offset of CLOCK_REALTIME in us (clock_settime(2): a step of this clock leaves CLOCK_MONOTONIC unchanged);
 *   - the errno with which write(), fsync() and fdatasync() fail on files below LINENTRAIL_FAULT_FOLDER (write(2),
 *     fsync(2): ENOSPC, EIO); 0 for none;
 *   - whether the faults above are enabled (not 0). Without a control file they are enabled from the start.
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
static uint64_t random_state;
static uint64_t fault_number;
static struct control *control;
static char disk_folder[512];
static int log_file = -1;
/* Descriptors of connections opened by the process itself. Only these are broken, so that no client loses its own. */
enum { DESCRIPTORS = 65536 };
static unsigned char outgoing[DESCRIPTORS];

static void set_outgoing(int fd, int on) {
    if (fd >= 0 && fd < DESCRIPTORS) outgoing[fd] = (unsigned char)on;
}
static pthread_mutex_t random_lock = PTHREAD_MUTEX_INITIALIZER;

#define REAL(name) \
    static __typeof__(&name) real; \
    if (!real) real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

__attribute__((constructor)) static void load_settings(void) {
    const char *text = getenv("LINENTRAIL_FAULTS");
    for (int n = 0; text && n < FAULTS; n++) {
        size_t length = strlen(NAMES[n]);
        for (const char *at = text; at; at = strchr(at, ',')) {
            at += *at == ',';
            if (strncmp(at, NAMES[n], length) == 0 && at[length] == '=')
                rate[n] = strtoull(at + length + 1, NULL, 10);
        }
    }
    random_state = rate[SEED] * 0x9e3779b97f4a7c15ULL + 1;
    const char *path = getenv("LINENTRAIL_FAULT_FOLDER");
    if (path) snprintf(disk_folder, sizeof disk_folder, "%s", path);
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

/* xorshift64*: one generator for the whole process, guarded by random_lock. */
static uint64_t next_random(void) {
    pthread_mutex_lock(&random_lock);
    random_state ^= random_state >> 12;
    random_state ^= random_state << 25;
    random_state ^= random_state >> 27;
    uint64_t value = random_state * 0x2545f4914f6cdd1dULL;
    pthread_mutex_unlock(&random_lock);
    return value >> 16;
}

/* Draws whether this call fails, and honours the control file and at_most. */
static int fault_fires(enum fault fault) {
    if (!rate[fault] || (control && !control->on)) return 0;
    if (next_random() % rate[fault] != 0) return 0;
    static uint64_t fired;
    return !rate[AT_MOST] || __atomic_fetch_add(&fired, 1, __ATOMIC_RELAXED) < rate[AT_MOST];
}

/* Appends one line for a fault to the log and preserves errno. */
static void log_fault(const char *format, ...) {
    if (log_file < 0) return;
    int saved_errno = errno;
    char line[200];
    uint64_t number = __atomic_add_fetch(&fault_number, 1, __ATOMIC_RELAXED);
    int length = snprintf(line, sizeof line, "%d seed %llu fault %llu ", (int)getpid(),
        (unsigned long long)rate[SEED], (unsigned long long)number);
    va_list args;
    va_start(args, format);
    length += vsnprintf(line + length, sizeof line - length - 1, format, args);
    va_end(args);
    if (length > (int)sizeof line - 2) length = sizeof line - 2;
    line[length++] = '\n';
    REAL(write);
    if (real(log_file, line, length) < 0) { /* A failed log write cannot be reported anywhere. */ }
    errno = saved_errno;
}

static int fail_call(const char *call, int fd, const int *errors, int n) {
    errno = errors[next_random() % n];
    log_fault("%s(%d) fails with %d", call, fd, errno);
    return -1;
}

static const int INTERRUPTED[] = {EINTR};

/*
 * Restricts EINTR and ENOMEM to IPv4 sockets: the runtime's internal signal pipe is non-blocking, its reads never
 * return EINTR, and the runtime would treat one as the end of the pipe.
 */
static int is_ipv4_socket(int fd) {
    int saved_errno = errno, domain = 0;
    socklen_t length = sizeof domain;
    int connection = getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &length) == 0 && domain == AF_INET;
    errno = saved_errno;
    return connection;
}

static int fail_interrupted(const char *call, int fd) {
    return is_ipv4_socket(fd) && fault_fires(CALL_INTR) ? fail_call(call, fd, INTERRUPTED, 1) : 0;
}

static int fail_without_memory(const char *call, int fd, const int *errors, int n) {
    return is_ipv4_socket(fd) && fault_fires(CALL_NOMEM) ? fail_call(call, fd, errors, n) : 0;
}

static const int NO_MEMORY_ERRORS[] = {ENOMEM, ENOBUFS};

ssize_t recv(int fd, void *to, size_t size, int flags) {
    REAL(recv);
    if (fail_interrupted("recv", fd) || fail_without_memory("recv", fd, NO_MEMORY_ERRORS, 1)) return -1;
    if (!(flags & MSG_PEEK)) {
        if (fd >= 0 && fd < DESCRIPTORS && outgoing[fd] && fault_fires(RECV_FAILS)) {
            static const int errors[] = {ETIMEDOUT, EHOSTUNREACH};
            /* Later calls on the connection have to fail too. */
            shutdown(fd, SHUT_RDWR);
            return fail_call("recv", fd, errors, 2);
        }
        int available = 0;
        if (size > 1 && (rate[RECV_SHORT] || rate[RECV_CUT]) && ioctl(fd, FIONREAD, &available) == 0 && available > 1) {
            size_t max_bytes = (size_t)available < size ? (size_t)available : size;
            if (fault_fires(RECV_SHORT)) {
                log_fault("recv(%d) returns 1 of %d bytes", fd, available);
                size = 1;
            } else if (fault_fires(RECV_CUT)) {
                size = 1 + next_random() % (max_bytes - 1);
                log_fault("recv(%d) returns %zu of %d bytes", fd, size, available);
            }
        }
    }
    return real(fd, to, size, flags);
}

static void delay_send(int fd) {
    if (fault_fires(PAUSE)) {
        uint64_t us = rate[PAUSE_US] ? rate[PAUSE_US] : 150000;
        log_fault("paused for %llu us before sending on %d", (unsigned long long)us, fd);
        struct timespec delay = {us / 1000000, us % 1000000 * 1000};
        nanosleep(&delay, NULL);
    }
}

ssize_t send(int fd, const void *from, size_t size, int flags) {
    REAL(send);
    if (fail_interrupted("send", fd) || fail_without_memory("send", fd, NO_MEMORY_ERRORS, 2)) return -1;
    delay_send(fd);
    if (size > 1 && fault_fires(SEND_SHORT)) {
        log_fault("send(%d) accepts 1 of %zu bytes", fd, size);
        size = 1;
    }
    return real(fd, from, size, flags);
}

ssize_t writev(int fd, const struct iovec *parts, int n) {
    REAL(writev);
    if (fail_interrupted("writev", fd) || fail_without_memory("writev", fd, NO_MEMORY_ERRORS, 2)) return -1;
    delay_send(fd);
    if (n > 0 && parts[0].iov_len > 1 && fault_fires(SEND_SHORT)) {
        log_fault("writev(%d) accepts 1 byte", fd);
        struct iovec first = {parts[0].iov_base, 1};
        return real(fd, &first, 1);
    }
    return real(fd, parts, n);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4);
    static const int errors[] = {ECONNABORTED, ENFILE, ENOBUFS};
    if (fault_fires(ACCEPT_FAILS)) return fail_call("accept4", fd, errors, 3);
    int result = real(fd, address, length, flags);
    set_outgoing(result, 0);
    return result;
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    if (fail_interrupted("connect", fd)) return -1;
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS};
    if (fault_fires(CONNECT_FAILS)) return fail_call("connect", fd, errors, 3);
    set_outgoing(fd, 1);
    return real(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    static const int errors[] = {ENFILE, ENOBUFS};
    if (domain == AF_INET && fault_fires(SOCKET_FAILS)) return fail_call("socket", -1, errors, 2);
    int result = real(domain, type, protocol);
    set_outgoing(result, 0);
    return result;
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
    REAL(epoll_wait);
    static const int errors[] = {EINTR};
    if (fault_fires(WAIT_INTR)) return fail_call("epoll_wait", fd, errors, 1);
    return real(fd, events, max_events, timeout);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    REAL(clock_gettime);
    int result = real(clock, now);
    if (result == 0 && control && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t step = control->clock_step_us;
        int64_t ns = now->tv_nsec + step % 1000000 * 1000;
        now->tv_sec += step / 1000000;
        if (ns < 0) { ns += 1000000000; now->tv_sec -= 1; }
        if (ns >= 1000000000) { ns -= 1000000000; now->tv_sec += 1; }
        now->tv_nsec = ns;
    }
    return result;
}

/* Whether the disk fault applies to this file; if it does, errno is set to the error. */
static int disk_fails(const char *call, int fd) {
    if (!control || !control->disk_errno || !disk_folder[0]) return 0;
    int saved_errno = errno;
    char link[64], path[512];
    snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
    ssize_t length = readlink(link, path, sizeof path - 1);
    errno = saved_errno;
    if (length <= 0) return 0;
    path[length] = 0;
    if (strncmp(path, disk_folder, strlen(disk_folder)) != 0) return 0;
    errno = (int)control->disk_errno;
    log_fault("%s(%s) fails with %d", call, path, errno);
    return 1;
}

ssize_t write(int fd, const void *from, size_t size) {
    REAL(write);
    if (disk_fails("write", fd)) {
        /* A disk that fills up during a write keeps the first part: half of the calls write half of their bytes. */
        if (errno == ENOSPC && size > 1 && next_random() % 2) return real(fd, from, size / 2);
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
