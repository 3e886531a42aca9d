// Preloaded library for fault injection into a program under test: library calls fail with the errors that
// Linux documents, and the wall clock steps. The environment variable FAULTS holds rules separated by blanks:
//
//     CALL=ERRNO[+ERRNO...]/N[@FROM-TO]  one call in N fails, cycling through the errors; N = 1: every call
//     CALL=WAITSECONDS/N[@FROM-TO]       delayed by SECONDS, as on a disk that hangs (files only)
//     connect=STOP/N, read_done=STOP/N   the process stops after the call (SIGSTOP) until it is resumed
//     clock_read=STOP/N                  after one read in N from a socket, the process stops before the
//                                        first reading of CLOCK_MONOTONIC, the next time before the
//                                        second, and so on in turn
//     shutdown=WAITSECONDS/N             a half-close takes effect SECONDS after its call
//     receive_block=WAITSECONDS/N        the process pauses for SECONDS after the start of a receive block
//                                        (SO_ATTACH_FILTER)
//     dropped_look=WAITSECONDS/N         the same after a query of what the block has dropped (SO_MEMINFO)
//     read=SHORT/N, write=SHORT/N        one call in N transfers a single byte (sockets only)
//     read=ERRNO/N, write=ERRNO/N        fails only on sockets to the port in FAULTS_PEER (write: files too)
//     clock=SECONDS@AT                   CLOCK_REALTIME is offset by SECONDS from AT on
//
// FROM, TO and AT are seconds of the monotonic clock since the program started. CALL is socket, connect,
// accept, shutdown, poll, open, write, fsync or rename; open, write, fsync and rename fail only for files
// below the directory in FAULTS_UNDER. FAULTS_SEED makes the choices reproducible.
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#include <atomic>

namespace {

constexpr int kShort = -1;  // instead of an errno: the call transfers one byte
constexpr int kWait = -2;   // instead of an errno: the call is delayed
constexpr int kStop = -3;   // instead of an errno: the process stops after the call
constexpr char kWaitWord[] = "WAIT";
constexpr int kMostRules = 16, kMostErrors = 8;
constexpr int kMostReadings = 16;  // clock readings after a read before which the process stops in turn

struct Rule {
    char call[16] = {};
    int errors[kMostErrors] = {};
    int count = 0, one_in = 1;
    double from = 0, to = 1e18, seconds = 0;
    std::atomic<unsigned> calls{0}, failed{0};
};

struct ErrorName {
    const char* name;
    int value;
};
constexpr ErrorName kNames[] = {
    {"SHORT", kShort},
    {"STOP", kStop},
    {"EINTR", EINTR},
    {"EMFILE", EMFILE},
    {"ENFILE", ENFILE},
    {"ENOBUFS", ENOBUFS},
    {"ENOMEM", ENOMEM},
    {"EPROTO", EPROTO},
    {"ECONNABORTED", ECONNABORTED},
    {"EADDRNOTAVAIL", EADDRNOTAVAIL},
    {"ENETUNREACH", ENETUNREACH},
    {"EHOSTUNREACH", EHOSTUNREACH},
    {"ETIMEDOUT", ETIMEDOUT},
    {"ECONNRESET", ECONNRESET},
    {"EPIPE", EPIPE},
    {"ENETDOWN", ENETDOWN},
    {"EPERM", EPERM},
    {"EADDRINUSE", EADDRINUSE},
    {"ENOSPC", ENOSPC},
    {"EIO", EIO},
    {"EAGAIN", EAGAIN},
};

Rule rules[kMostRules];
int rule_count = 0;
unsigned seed = 1;
double started = 0;
const char* under = "";
int peer_port = 0;
thread_local int readings_to_stop = 0;  // clock readings left until the process stops; 0: no stop
thread_local int stops_at_readings = 0;
thread_local bool receive_blocked = false;  // between SO_ATTACH_FILTER and SO_DETACH_FILTER

template <typename F>
F real(const char* name) {
    return reinterpret_cast<F>(dlsym(RTLD_NEXT, name));
}

int real_clock_gettime(clockid_t id, timespec* at) {
    static const auto call = real<int (*)(clockid_t, timespec*)>("clock_gettime");
    return call(id, at);
}

double seconds_since_start() {
    timespec at{};
    real_clock_gettime(CLOCK_MONOTONIC, &at);
    return static_cast<double>(at.tv_sec) + static_cast<double>(at.tv_nsec) / 1e9 - started;
}

void read_rule(char* text) {
    Rule& rule = rules[rule_count];
    char* equals = strchr(text, '=');
    if (!equals || rule_count + 1 >= kMostRules) abort();
    *equals = '\0';
    snprintf(rule.call, sizeof rule.call, "%s", text);
    char* window = strchr(equals + 1, '@');
    if (window) {
        *window++ = '\0';
        rule.from = atof(window);
        if (char* dash = strchr(window, '-')) rule.to = atof(dash + 1);
    }
    if (char* rate = strchr(equals + 1, '/')) {
        *rate++ = '\0';
        rule.one_in = atoi(rate);
    }
    rule.seconds = atof(equals + 1);
    char* rest = nullptr;
    for (char* word = strtok_r(equals + 1, "+", &rest); word; word = strtok_r(nullptr, "+", &rest)) {
        if (!strncmp(word, kWaitWord, strlen(kWaitWord)) && rule.count < kMostErrors) {
            rule.errors[rule.count++] = kWait;
            rule.seconds = atof(word + strlen(kWaitWord));
        }
        for (const ErrorName& known : kNames)
            if (!strcmp(word, known.name) && rule.count < kMostErrors)
                rule.errors[rule.count++] = known.value;
    }
    if (strcmp(rule.call, "clock") != 0 && (rule.count == 0 || rule.one_in < 1)) abort();
    ++rule_count;
}

__attribute__((constructor)) void read_rules() {
    started = 0;
    started = seconds_since_start();
    if (const char* text = getenv("FAULTS_SEED")) seed = static_cast<unsigned>(atoi(text));
    if (const char* text = getenv("FAULTS_UNDER")) under = text;
    if (const char* text = getenv("FAULTS_PEER")) peer_port = atoi(text);
    const char* text = getenv("FAULTS");
    if (!text) return;
    char* copy = strdup(text);
    char* rest = nullptr;
    for (char* word = strtok_r(copy, " ", &rest); word; word = strtok_r(nullptr, " ", &rest)) read_rule(word);
    free(copy);
}

// The error to inject into this call; 0: the call is executed normally.
int fault_of(const char* call, bool on_socket = false) {
    for (int i = 0; i < rule_count; ++i) {
        Rule& rule = rules[i];
        if (strcmp(rule.call, call) != 0 || (on_socket && rule.errors[0] == kWait)) continue;
        const double now = seconds_since_start();
        if (now < rule.from || now >= rule.to) continue;
        unsigned mixed = (rule.calls++ + seed) * 2654435761u;
        mixed = (mixed ^ (mixed >> 15)) * 2246822519u;
        if (rule.one_in > 1 && (mixed ^ (mixed >> 13)) % static_cast<unsigned>(rule.one_in) != 0) continue;
        const int fault = rule.errors[rule.failed++ % static_cast<unsigned>(rule.count)];
        if (fault == kWait) usleep(static_cast<useconds_t>(rule.seconds * 1e6));
        return fault == kWait ? 0 : fault;
    }
    return 0;
}

// Danger: lookups before a call (the file of a descriptor) take far longer than the program's own path to the
// call, and the program has to be stoppable at any point of that path. Nothing is therefore looked up unless
// a rule needs it.
bool has_rule(const char* call) {
    for (int i = 0; i < rule_count; ++i)
        if (!strcmp(rules[i].call, call)) return true;
    return false;
}

bool fails(const char* call) {
    const int fault = fault_of(call);
    if (fault > 0) errno = fault;
    return fault > 0;
}

bool is_socket(int fd) {
    struct stat about {};
    return fstat(fd, &about) == 0 && S_ISSOCK(about.st_mode);
}

bool is_to_peer(int fd) {
    sockaddr_in to{};
    socklen_t length = sizeof to;
    return peer_port != 0 && getpeername(fd, reinterpret_cast<sockaddr*>(&to), &length) == 0 &&
           ntohs(to.sin_port) == peer_port;
}

// Applies the rules to a socket read or write of `count` bytes: may reduce `count`, or set errno and return
// true.
bool breaks_off(const char* call, int fd, size_t& count) {
    if (!is_socket(fd)) return false;
    const bool to_peer = is_to_peer(fd);
    if (peer_port != 0 && !to_peer) return false;
    const int fault = count > 0 ? fault_of(call, true) : 0;
    if (fault == kShort) count = 1;
    if (fault <= 0 || !to_peer) return false;
    errno = fault;
    return true;
}

bool is_covered_file(int fd) {
    char link[32], path[4096];
    snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
    const ssize_t length = readlink(link, path, sizeof path - 1);
    if (length <= 0 || !*under) return false;
    path[length] = '\0';
    return !strncmp(path, under, strlen(under));
}

bool is_covered_path(const char* path) {
    return *under && !strncmp(path, under, strlen(under));
}

}  // namespace

extern "C" {

int clock_gettime(clockid_t id, timespec* at) {
    if (id == CLOCK_MONOTONIC && readings_to_stop > 0 && --readings_to_stop == 0) raise(SIGSTOP);
    const int result = real_clock_gettime(id, at);
    if (result != 0 || (id != CLOCK_REALTIME && id != CLOCK_REALTIME_COARSE)) return result;
    for (int i = 0; i < rule_count; ++i)
        if (!strcmp(rules[i].call, "clock") && seconds_since_start() >= rules[i].from)
            at->tv_sec += static_cast<time_t>(rules[i].seconds);
    return 0;
}

int socket(int domain, int type, int protocol) {
    if (fails("socket")) return -1;
    static const auto call = real<int (*)(int, int, int)>("socket");
    return call(domain, type, protocol);
}

int connect(int fd, const sockaddr* to, socklen_t length) {
    const int fault = fault_of("connect");
    if (fault > 0) errno = fault;
    if (fault > 0) return -1;
    static const auto call = real<int (*)(int, const sockaddr*, socklen_t)>("connect");
    const int result = call(fd, to, length);
    const int error = errno;
    if (fault == kStop) raise(SIGSTOP);
    errno = error;
    return result;
}

int shutdown(int fd, int how) {
    fault_of("shutdown");
    static const auto call = real<int (*)(int, int)>("shutdown");
    return call(fd, how);
}

int getsockopt(int fd, int level, int option, void* value, socklen_t* length) {
    static const auto call = real<int (*)(int, int, int, void*, socklen_t*)>("getsockopt");
    const int result = call(fd, level, option, value, length);
    const int error = errno;
    if (receive_blocked && level == SOL_SOCKET && option == SO_MEMINFO) fault_of("dropped_look");
    errno = error;
    return result;
}

int setsockopt(int fd, int level, int option, const void* value, socklen_t length) {
    static const auto call = real<int (*)(int, int, int, const void*, socklen_t)>("setsockopt");
    const int result = call(fd, level, option, value, length);
    const int error = errno;
    if (level == SOL_SOCKET && option == SO_ATTACH_FILTER) {
        receive_blocked = true;
        fault_of("receive_block");
    }
    if (level == SOL_SOCKET && option == SO_DETACH_FILTER) receive_blocked = false;
    errno = error;
    return result;
}

int accept4(int fd, sockaddr* from, socklen_t* length, int flags) {
    if (fails("accept")) return -1;
    static const auto call = real<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
    return call(fd, from, length, flags);
}

int accept(int fd, sockaddr* from, socklen_t* length) {
    if (fails("accept")) return -1;
    static const auto call = real<int (*)(int, sockaddr*, socklen_t*)>("accept");
    return call(fd, from, length);
}

int epoll_wait(int fd, epoll_event* events, int most, int timeout) {
    if (fails("poll")) return -1;
    static const auto call = real<int (*)(int, epoll_event*, int, int)>("epoll_wait");
    return call(fd, events, most, timeout);
}

int epoll_pwait(int fd, epoll_event* events, int most, int timeout, const sigset_t* mask) {
    if (fails("poll")) return -1;
    static const auto call = real<int (*)(int, epoll_event*, int, int, const sigset_t*)>("epoll_pwait");
    return call(fd, events, most, timeout, mask);
}

ssize_t read(int fd, void* bytes, size_t count) {
    if (has_rule("read") && breaks_off("read", fd, count)) return -1;
    static const auto call = real<ssize_t (*)(int, void*, size_t)>("read");
    const ssize_t result = call(fd, bytes, count);
    const int error = errno;
    if (result > 0 && has_rule("read_done") && is_socket(fd) && fault_of("read_done") == kStop)
        raise(SIGSTOP);
    if (result > 0 && has_rule("clock_read") && is_socket(fd) && fault_of("clock_read") == kStop)
        readings_to_stop = 1 + stops_at_readings++ % kMostReadings;
    errno = error;
    return result;
}

ssize_t write(int fd, const void* bytes, size_t count) {
    if (has_rule("write") && (is_covered_file(fd) ? fails("write") : breaks_off("write", fd, count)))
        return -1;
    static const auto call = real<ssize_t (*)(int, const void*, size_t)>("write");
    return call(fd, bytes, count);
}

ssize_t writev(int fd, const iovec* parts, int count) {
    if (has_rule("write") && is_covered_file(fd) && fails("write")) return -1;
    static const auto call = real<ssize_t (*)(int, const iovec*, int)>("writev");
    return call(fd, parts, count);
}

ssize_t pwrite64(int fd, const void* bytes, size_t count, off64_t at) {
    if (has_rule("write") && is_covered_file(fd) && fails("write")) return -1;
    static const auto call = real<ssize_t (*)(int, const void*, size_t, off64_t)>("pwrite64");
    return call(fd, bytes, count, at);
}

int open(const char* path, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    const mode_t mode = flags & O_CREAT ? va_arg(rest, mode_t) : 0;
    va_end(rest);
    if (is_covered_path(path) && fails("open")) return -1;
    static const auto call = real<int (*)(const char*, int, ...)>("open");
    return call(path, flags, mode);
}

int open64(const char* path, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    const mode_t mode = flags & O_CREAT ? va_arg(rest, mode_t) : 0;
    va_end(rest);
    return open(path, flags, mode);
}

FILE* fopen(const char* path, const char* mode) {
    if (is_covered_path(path) && fails("open")) return nullptr;
    static const auto call = real<FILE* (*)(const char*, const char*)>("fopen");
    return call(path, mode);
}

FILE* fopen64(const char* path, const char* mode) {
    if (is_covered_path(path) && fails("open")) return nullptr;
    static const auto call = real<FILE* (*)(const char*, const char*)>("fopen64");
    return call(path, mode);
}

int fsync(int fd) {
    if (is_covered_file(fd) && fails("fsync")) return -1;
    static const auto call = real<int (*)(int)>("fsync");
    return call(fd);
}

int fdatasync(int fd) {
    if (is_covered_file(fd) && fails("fsync")) return -1;
    static const auto call = real<int (*)(int)>("fdatasync");
    return call(fd);
}

int rename(const char* from, const char* to) {
    if (is_covered_path(from) && fails("rename")) return -1;
    static const auto call = real<int (*)(const char*, const char*)>("rename");
    return call(from, to);
}

}  // extern "C"
