/* Measures what a node adds to a one-stage request. Sends the same call
 * directly to the fake engine, through bench_forwarder and through a node,
 * over 1 and 64 connections. The rounds of the three targets alternate, so
 * that other load on the machine affects all of them; the median of the
 * rounds is reported. Traces, counters and the log (to a file) are on. */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/http_load.h"
#include "tests/proc.h"

#define ROUNDS 3
#define BODY "{\"input\":\"timber permit of Mandvi\"}"

enum { DIRECT, FORWARDER, NODE, TARGET_COUNT };

static const char *const names[TARGET_COUNT] = {"direct", "forwarder", "node"};

struct figures {
    double p50_us;
    double p99_us;
    double requests_per_s;
    double cpu_us; /* CPU time of the measured process per request */
    int failures;
};

struct target {
    int port;
    pid_t pid;
    struct str request;
};

static struct str
build_request(const char *path)
{
    struct buf b = {0};
    buf_printf(&b,
               "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\n" RIG_TEAM_HEADER
               "X-Attempt: 1\r\nContent-Type: application/json\r\n"
               "Content-Length: %zu\r\n\r\n" BODY,
               path, strlen(BODY));
    return buf_take_str(&b);
}

static int
compare(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;
    return (x > y) - (x < y);
}

static double
median(double v[ROUNDS])
{
    qsort(v, ROUNDS, sizeof(v[0]), compare);
    return v[ROUNDS / 2];
}

static void
measure(const struct target *targets, int connections,
        struct figures out[TARGET_COUNT])
{
    double v[TARGET_COUNT][4][ROUNDS];
    memset(out, 0, sizeof(*out) * TARGET_COUNT);
    for (int round = 0; round < ROUNDS; round++) {
        for (int t = 0; t < TARGET_COUNT; t++) {
            struct http_load l = {
                .port = targets[t].port,
                .request = targets[t].request,
                .connections = connections,
                .warm_up_requests = connections == 1 ? 200 : 1000,
                .requests = connections == 1 ? 2000 : 20000,
            };
            int64_t cpu = proc_cpu_us(targets[t].pid);
            struct http_load_result r = http_load_run(&l);
            cpu = proc_cpu_us(targets[t].pid) - cpu;
            v[t][0][round] = (double)r.p50_ns / 1e3;
            v[t][1][round] = (double)r.p99_ns / 1e3;
            v[t][2][round] = r.requests_per_s;
            v[t][3][round] = (double)cpu / (l.requests + l.warm_up_requests);
            out[t].failures += r.failures;
        }
    }
    for (int t = 0; t < TARGET_COUNT; t++) {
        out[t].p50_us = median(v[t][0]);
        out[t].p99_us = median(v[t][1]);
        out[t].requests_per_s = median(v[t][2]);
        out[t].cpu_us = median(v[t][3]);
    }
}

static void
print_rows(int connections, const struct figures f[TARGET_COUNT])
{
    for (int t = 0; t < TARGET_COUNT; t++) {
        printf("%5d  %-10s %9.1f %9.1f %10.1f %10.1f %9.0f %8.1f %4d\n",
               connections, names[t], f[t].p50_us, f[t].p99_us,
               f[t].p50_us - f[DIRECT].p50_us, f[t].p99_us - f[DIRECT].p99_us,
               f[t].requests_per_s, f[t].cpu_us, f[t].failures);
    }
}

int
main(int argc, char **argv)
{
    static const char *const engine[] = {
        "--base-us", "0",    "--prefill-us", "0",    "--slots", "256",
        "--queue",   "1024", "--crash-text", "none", NULL};
    struct rig r;
    struct target targets[TARGET_COUNT];
    struct figures f1[TARGET_COUNT];
    struct figures f64[TARGET_COUNT];
    char url[64];
    char log[96];
    (void)argv;
    if (argc != 1) {
        fputs("usage: bench_latency (with CF_BUILD_DIR set)\n", stderr);
        return 2;
    }
    rig_open(&r, engine);
    rig_start_node(&r, 0, "[traffic]\nthreads = 1\n");
    rig_configure(&r);
    rig_wait_ready(&r, 0, 200);
    snprintf(url, sizeof(url), "http://127.0.0.1:%d/v1/embeddings",
             r.engine_port);
    snprintf(log, sizeof(log), "%s/forwarder.log", r.dir);
    const char *args[] = {url, NULL};
    pid_t forwarder = proc_start("bench_forwarder", args, log);
    targets[DIRECT] = (struct target){r.engine_port, r.engine,
                                      build_request("/v1/embeddings")};
    targets[FORWARDER] =
        (struct target){(int)proc_wait_log_number(log, "port="), forwarder,
                        build_request("/v1/embeddings")};
    targets[NODE] = (struct target){r.nodes[0].port, r.nodes[0].pid,
                                    build_request("/v1/pipelines/embed")};
    setvbuf(stdout, NULL, _IOLBF, 0);
    printf("conns  target        p50 us    p99 us  added p50  added p99 "
           "requests/s  cpu us  bad\n");
    measure(targets, 1, f1);
    print_rows(1, f1);
    measure(targets, 64, f64);
    print_rows(64, f64);
    printf("latency added_p50_ratio_1=%.2f added_p99_ratio_1=%.2f "
           "rate_ratio_1=%.2f added_p50_ratio_64=%.2f added_p99_ratio_64=%.2f "
           "rate_ratio_64=%.2f node_per_s=%.0f node_added_p50_us=%.1f "
           "node_added_p99_us=%.1f bad=%d\n",
           (f1[NODE].p50_us - f1[DIRECT].p50_us) /
               (f1[FORWARDER].p50_us - f1[DIRECT].p50_us),
           (f1[NODE].p99_us - f1[DIRECT].p99_us) /
               (f1[FORWARDER].p99_us - f1[DIRECT].p99_us),
           f1[NODE].requests_per_s / f1[FORWARDER].requests_per_s,
           (f64[NODE].p50_us - f64[DIRECT].p50_us) /
               (f64[FORWARDER].p50_us - f64[DIRECT].p50_us),
           (f64[NODE].p99_us - f64[DIRECT].p99_us) /
               (f64[FORWARDER].p99_us - f64[DIRECT].p99_us),
           f64[NODE].requests_per_s / f64[FORWARDER].requests_per_s,
           f64[NODE].requests_per_s, f1[NODE].p50_us - f1[DIRECT].p50_us,
           f1[NODE].p99_us - f1[DIRECT].p99_us,
           f1[NODE].failures + f64[NODE].failures);
    for (int t = 0; t < TARGET_COUNT; t++) {
        str_free(&targets[t].request);
    }
    proc_signal_and_wait(forwarder, SIGTERM);
    rig_close(&r);
    return 0;
}
