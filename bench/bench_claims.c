/* Measures store calls and added latency of claims under load in virtual
 * time: 5 nodes, 256 or 32 buckets, 300 writes/s for the fleet, and a store
 * that answers in 3 ms or 300 ms. Each request opens an attempt, claims at
 * once and reports its outcome 50 ms after the grant. The baseline, column
 * one_each/s, is one write for each claim and one for each outcome. Prints a
 * table and a last line of key=value figures. */
#include <stdio.h>
#include <stdlib.h>

#include "tests/claim_sim.h"

#define SECONDS 20
#define MAX_REQUESTS (1000 * SECONDS + 1)

enum request_state {
    STATE_OPEN,
    STATE_CLAIM,
    STATE_GRANTED,
    STATE_DONE,
    STATE_REFUSED
};

struct request {
    struct claim_request ask;
    int node;
    enum request_state state;
    int64_t claim_us;
    int64_t granted_us;
};

struct load {
    struct sim sim;
    struct request requests[MAX_REQUESTS];
    int64_t latencies_us[MAX_REQUESTS];
    int granted;
    int refused;
    int first_unfinished;
};

static void
on_flow(struct sim *s, int node, const struct claim_reply *r)
{
    struct load *l = s->user;
    struct request *q = &l->requests[r->attempt.seq];
    (void)node;
    if (r->state == CLAIM_OPENED) {
        q->claim_us = s->now_us;
        q->state = STATE_CLAIM;
    }
    else if (r->state == CLAIM_GRANTED) {
        q->granted_us = s->now_us;
        l->latencies_us[l->granted++] = s->now_us - q->claim_us;
        q->state = STATE_GRANTED;
    }
    else {
        l->refused++;
        q->state = STATE_REFUSED;
    }
}

static int
compare(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;
    return (x > y) - (x < y);
}

/* Sends the next message of each request that got a reply. The scan starts at
 * the oldest unfinished request. */
static void
send_follow_ups(struct load *l, int count)
{
    for (int i = l->first_unfinished; i < count; i++) {
        struct request *q = &l->requests[i];
        if (q->state == STATE_CLAIM && q->ask.verb == CLAIM_VERB_OPEN) {
            q->ask.verb = CLAIM_VERB_CLAIM;
            sim_send_request(&l->sim, q->node, &q->ask);
        }
        else if (q->state == STATE_GRANTED &&
                 l->sim.now_us - q->granted_us >= 50000) {
            q->ask.verb = CLAIM_VERB_DONE;
            q->ask.http_status = 200;
            q->ask.answer = STR_LIT("{\"order\":12345678}");
            sim_send_request(&l->sim, q->node, &q->ask);
            q->state = STATE_DONE;
        }
    }
    while (l->first_unfinished < count &&
           l->requests[l->first_unfinished].state >= STATE_DONE) {
        l->first_unfinished++;
    }
}

static void
run(int buckets, int rate, int64_t store_us, struct buf *figures)
{
    struct load *l = mem_calloc(1, sizeof(*l));
    struct sim *s = &l->sim;
    s->user = l;
    s->nodes = SIM_NODES;
    s->buckets = buckets;
    s->writes_per_s = 300;
    s->store_us = store_us;
    s->msg_us = 500;
    s->on_flow = on_flow;
    sim_start(s, 1);
    int total = rate * SECONDS;
    int count = 0;
    int64_t next = 0;
    while (s->now_us < (SECONDS + 9) * 1000000LL) {
        while (count < total && next <= s->now_us) {
            struct request *q = &l->requests[count];
            q->node = count % SIM_NODES;
            q->ask = (struct claim_request){
                .verb = CLAIM_VERB_OPEN,
                .key = {rng_next(&s->rng), rng_next(&s->rng)},
                .attempt = {(uint64_t)q->node + 1, 1, (uint64_t)count},
                .valid_us = 8000000};
            q->ask.attempt.incarnation = s->node[q->node].incarnation;
            count++;
            next += (int64_t)rng_exp(&s->rng, 1e6 / rate);
            sim_send_request(s, q->node, &q->ask);
        }
        send_follow_ups(l, count);
        sim_run(s, s->now_us + 1000);
    }
    qsort(l->latencies_us, (size_t)l->granted, sizeof(int64_t), compare);
    int64_t p50 = l->granted ? l->latencies_us[l->granted / 2] : 0;
    int64_t p99 = l->granted ? l->latencies_us[l->granted * 99 / 100] : 0;
    double per_write = s->writes ? (double)l->granted / s->writes : 0;
    printf("%8d %6d %8ld %8d %8d %10.2f %8.1f %8.1f %12d %9.1f %9.1f\n",
           buckets, rate, (long)store_us / 1000, l->granted, l->refused,
           per_write, (double)s->writes / SECONDS, (double)s->reads / SECONDS,
           2 * rate, p50 / 1e3, p99 / 1e3);
    buf_printf(figures,
               "%sr%d_s%ld_per_write=%.2f r%d_s%ld_p50_ms=%.1f "
               "r%d_s%ld_p99_ms=%.1f r%d_s%ld_refused=%d",
               figures->len ? " " : "", rate, (long)store_us / 1000, per_write,
               rate, (long)store_us / 1000, p50 / 1e3, rate,
               (long)store_us / 1000, p99 / 1e3, rate, (long)store_us / 1000,
               l->refused);
    sim_free(s);
    free(l);
}

int
main(void)
{
    static const int buckets[] = {SIM_BUCKETS, 32};
    static const int rates[] = {10, 100, 1000};
    static const int64_t store_latencies_us[] = {3000, 300000};
    struct buf figures = {0};
    printf("%8s %6s %8s %8s %8s %10s %8s %8s %12s %9s %9s\n", "buckets",
           "rate/s", "store_ms", "granted", "refused", "per_write", "writes/s",
           "reads/s", "one_each/s", "p50_ms", "p99_ms");
    for (int i = 0; i < 12; i++) {
        run(buckets[i / 6], rates[i % 3], store_latencies_us[i / 3 % 2],
            &figures);
    }
    printf("%s\n", figures.ptr);
    buf_free(&figures);
    return 0;
}
