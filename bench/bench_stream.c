/* Measures CPU time and memory of a real node: idle, per request and per
 * streamed token. docs/CAPACITY.md uses the results as its costs per request
 * and per token. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "tests/proc.h"
#include "tests/rig_fleet.h"

#define REQUESTS 400
#define TOKENS 40 /* in a stream of the pipeline "tell" */
#define IDLE_S 5

static long
rss_kb(pid_t pid)
{
    char path[64];
    char line[128];
    long kb = 0;
    snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
    FILE *f = fopen(path, "r");
    while (f && fgets(line, sizeof(line), f)) {
        if (strncmp(line, "VmRSS:", 6) == 0) {
            kb = strtol(line + 6, NULL, 10);
        }
    }
    if (f) {
        fclose(f);
    }
    return kb;
}

/* Returns the CPU time of node 0 per request in microseconds. */
static double
measure_cpu_us(struct rig *r,
               struct outcome (*send_request)(struct rig *, int, const char *,
                                              int),
               int *answered)
{
    pid_t pid = r->nodes[0].pid;
    int64_t before = proc_cpu_us(pid);
    *answered = 0;
    for (int i = 0; i < REQUESTS; i++) {
        char name[24];
        snprintf(name, sizeof(name), "cost%d", i);
        *answered += send_request(r, 0, name, 5000).status == 200;
    }
    return (double)(proc_cpu_us(pid) - before) / REQUESTS;
}

int
main(void)
{
    static const char *const encoder[] = {
        "--kind", "encode", "--base-us", "1000", "--warm-after", "0", NULL};
    static const char *const generator[] = {
        "--kind", "generate",     "--base-us", "1000", "--token-us",
        "100",    "--warm-after", "0",         NULL};
    struct rig r;
    int answered_requests;
    int answered_streams;
    rig_open_store_only(&r);
    fleet_add_endpoint(&r, "fake_engine", "enc", "okha", encoder);
    fleet_add_endpoint(&r, "fake_engine", "gen", "okha", generator);
    fleet_put_vms(&r);
    fleet_start_nodes(&r, 1, "");
    long start_kb = rss_kb(r.nodes[0].pid);
    measure_cpu_us(&r, send_embed, &answered_requests);
    int64_t before = proc_cpu_us(r.nodes[0].pid);
    sleep(IDLE_S);
    double idle_us_per_s =
        (double)(proc_cpu_us(r.nodes[0].pid) - before) / IDLE_S;
    double request_us = measure_cpu_us(&r, send_embed, &answered_requests);
    double stream_us = measure_cpu_us(&r, send_stream, &answered_streams);
    long end_kb = rss_kb(r.nodes[0].pid);
    printf("idle %.0f us/s, request %.0f us (%d of %d answered), stream of %d "
           "tokens %.0f us (%d of %d), memory %ld KB, after %ld KB\n",
           idle_us_per_s, request_us, answered_requests, REQUESTS, TOKENS,
           stream_us, answered_streams, REQUESTS, start_kb, end_kb);
    printf("idle_us_s=%.0f request_us=%.0f token_us=%.1f rss_kb=%ld "
           "rss_after_kb=%ld\n",
           idle_us_per_s, request_us, (stream_us - request_us) / TOKENS,
           start_kb, end_kb);
    rig_close(&r);
    return 0;
}
