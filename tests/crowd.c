#include "tests/crowd.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Turns without any byte sent after which a crowd stops sending: 2 s. */
#define STALLED_TURNS 1000
#define TURN_US 2000
/* The process is taken not to read any more if what it has not read is the
 * same for this many turns: 1 s. */
#define UNREAD_TURNS 500
/* Turns between two counts of descriptors. */
#define COUNT_INTERVAL 16

int
crowd_count_files(pid_t pid)
{
    char path[64];
    int count = 0;
    g_snprintf(path, sizeof(path), "/proc/%d/fd", (int)pid);
    GDir *d = g_dir_open(path, 0, NULL);
    while (d && g_dir_read_name(d)) {
        count++;
    }
    if (d) {
        g_dir_close(d);
    }
    return count;
}

long
crowd_peak_kb(pid_t pid)
{
    char path[64];
    char *text = NULL;
    g_snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        return -1;
    }
    const char *at = strstr(text, "VmHWM:");
    long kb = at ? strtol(at + 6, NULL, 10) : -1;
    g_free(text);
    return kb;
}

static void
count_files(struct crowd *c)
{
    c->max_files = MAX(c->max_files, crowd_count_files(c->pid));
}

static int
connect_caller(const struct crowd_plan *plan, int number, int port)
{
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)port),
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    g_assert_cmpint(fd, >=, 0);
    if (plan->small_window) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &plan->small_window,
                   sizeof(plan->small_window));
    }
    if (plan->many_addresses) {
        struct sockaddr_in from = {
            .sin_family = AF_INET,
            .sin_addr.s_addr = htonl(0x7f010000u + (uint32_t)number + 1)};
        g_assert_cmpint(bind(fd, (void *)&from, sizeof(from)), ==, 0);
    }
    int rc = connect(fd, (void *)&to, sizeof(to));
    if (rc != 0 && errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Sends the next bytes of a caller. @return whether any were sent */
static bool
send_turn(struct crowd *c, int i, const char *from, size_t left, size_t turn)
{
    ssize_t n = send(c->fds[i], from, MIN(left, turn), MSG_NOSIGNAL);
    if (n > 0) {
        c->sent[i] += (size_t)n;
        return true;
    }
    if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK &&
        errno != ENOTCONN && errno != EINPROGRESS) {
        close(c->fds[i]);
        c->fds[i] = -1;
    }
    return false;
}

static void
send_all(struct crowd *c, const struct crowd_plan *plan)
{
    int stalled = 0;
    int turns = 0;
    for (bool left = true; left && stalled < STALLED_TURNS; turns++) {
        bool progress = false;
        left = false;
        for (int i = 0; i < c->count; i++) {
            if (c->fds[i] >= 0 && c->sent[i] < plan->bytes.len) {
                left = true;
                progress |=
                    send_turn(c, i, plan->bytes.ptr + c->sent[i],
                              plan->bytes.len - c->sent[i], plan->turn_bytes);
            }
        }
        if (turns % COUNT_INTERVAL == 0) {
            count_files(c);
        }
        stalled = progress ? 0 : stalled + 1;
        if (!progress) {
            g_usleep(TURN_US);
        }
    }
}

/* @return bytes that wait in the receive queues of the sockets of a local
 * port */
static size_t
count_unread(int port)
{
    char *text = NULL;
    size_t sum = 0;
    if (!g_file_get_contents("/proc/net/tcp", &text, NULL, NULL)) {
        return 0;
    }
    char **lines = g_strsplit(text, "\n", -1);
    for (int i = 1; lines[i]; i++) {
        unsigned local = 0;
        unsigned unread = 0;
        unsigned state = 0;
        if (sscanf(lines[i], " %*d: %*8x:%4x %*8x:%*4x %2x %*8x:%8x", &local,
                   &state, &unread) == 3 &&
            (int)local == port && state == TCP_ESTABLISHED) {
            sum += unread;
        }
    }
    g_strfreev(lines);
    g_free(text);
    return sum;
}

/* Waits until the process has read everything, or reads no further. */
static void
wait_read(struct crowd *c, int port)
{
    size_t before = SIZE_MAX;
    for (int same = 0; same < UNREAD_TURNS;) {
        size_t unread = count_unread(port);
        if (unread == 0) {
            return;
        }
        same = unread == before ? same + 1 : 0;
        before = unread;
        crowd_sample(c, TURN_US / 1000);
    }
}

void
crowd_open(struct crowd *c, const struct crowd_plan *plan, pid_t pid, int port)
{
    memset(c, 0, sizeof(*c));
    c->pid = pid;
    c->count = MIN(plan->callers, CROWD_MAX_CALLERS);
    for (int i = 0; i < c->count; i++) {
        c->fds[i] = connect_caller(plan, i, port);
        if (i % COUNT_INTERVAL == 0) {
            count_files(c);
        }
    }
    send_all(c, plan);
    wait_read(c, port);
    for (int k = 0; k < plan->trickle_turns; k++) {
        for (int i = 0; i < c->count; i++) {
            if (c->fds[i] >= 0) {
                send_turn(c, i, plan->trickle.ptr, plan->trickle.len,
                          plan->trickle.len);
            }
        }
        crowd_sample(c, TURN_US / 1000);
    }
    count_files(c);
}

void
crowd_sample(struct crowd *c, int wait_ms)
{
    g_usleep((gulong)wait_ms * 1000);
    count_files(c);
}

void
crowd_close(struct crowd *c)
{
    for (int i = 0; i < c->count; i++) {
        if (c->fds[i] >= 0) {
            close(c->fds[i]);
            c->fds[i] = -1;
        }
    }
}
