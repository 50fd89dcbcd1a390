#include "forward/crashes.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"

/* An endpoint that has crashed refuses connections at once. */
#define PROBE_TIMEOUT_MS 400
/* Calls that one probe stands for; more calls of one node at an endpoint that
 * have no response yet are rare and add little evidence. */
#define PROBE_MAX_CALLS 4
/* Notices of crashes about one subject that a node accepts in a second, so
 * that the loss of many endpoints at once does not cause many messages. */
#define NOTICES_PER_S 40
/* Answers are reported at once; an older report is not genuine. */
#define ANSWER_MAX_AGE_US (1 * SECOND)
/* Blocks are sent again at this interval, so that a node that has started
 * knows them long before it counts as running. */
#define SYNC_INTERVAL_US (1 * SECOND)
#define SYNC_OFFSETS 3

/* Notices go to the nodes at these distances in the order of hashes, which
 * pass on what is new to them. Connections to these nodes exist, since notices
 * of prompts use them; every node of 400 is reached in some 20 steps. */
static const int notify_offsets[] = {1, 2, 4, 16, 32};

/* A process that ends closes its connections and its listening socket one
 * after the other. A connection that is accepted in between is closed, and the
 * endpoint is probed again after this time, at most so often. */
#define PROBE_AGAIN_US (20 * MS)
#define PROBE_MAX_TRIES 6

struct crash_probe {
    uint64_t endpoint;  /* hash of its id */
    struct str address; /* owned */
    uint64_t call;      /* of the latest probe */
    int tries;
    int64_t again_us; /* when to probe again; 0: a probe is under way */
    struct str name;  /* owned */
    int64_t at_us;    /* when the first call broke */
    int call_count;
    int notice_count;
    struct part_notice notices[PROBE_MAX_CALLS * CRASH_SUBJECT_COUNT];
};

void
crashes_init(struct forward *f)
{
    for (int i = 0; i < CRASH_SUBJECT_COUNT; i++) {
        f->blames[i] =
            blame_new((enum crash_subject)i,
                      (double)(f->self >> 11) / (double)(1ULL << 53));
    }
    f->sync_due_us = f->probe_due_us = INT64_MAX;
}

static void
probe_free(struct crash_probe *p)
{
    str_free(&p->name);
    str_free(&p->address);
    free(p);
}

void
crashes_free(struct forward *f)
{
    size_t at = 0;
    struct crash_probe *p;
    while ((p = map_next(&f->probes, &at))) {
        probe_free(p);
    }
    map_free(&f->probes);
    for (int i = 0; i < CRASH_SUBJECT_COUNT; i++) {
        blame_free(f->blames[i]);
    }
}

/* Copies the ids of the parts that other requests may share: all but the last
 * one. @return their number */
static int
shared_parts(const struct forward_request *in,
             uint64_t out[PART_NOTICE_MAX_PARTS])
{
    int n = 0;
    for (int i = 0; i + 1 < in->part_count && n < PART_NOTICE_MAX_PARTS; i++) {
        out[n++] = in->parts[i].id;
    }
    return n;
}

/* Lists what a request may be blamed for. @return the number of entries */
static int
blamed_parts(const struct forward_request *in, const struct route *route,
             bool is_engine, enum crash_subject subject,
             uint64_t out[PART_NOTICE_MAX_PARTS])
{
    switch (subject) {
    case CRASH_OF_PARTS:
        return is_engine ? shared_parts(in, out) : 0;
    case CRASH_OF_CONTENT:
        out[0] = req_content_key(in, route);
        return 1;
    case CRASH_SUBJECT_COUNT:
        break;
    }
    return 0;
}

static struct part_block *
find_block(const struct forward *f, const struct forward_request *in,
           const struct route *route, bool is_engine,
           enum crash_subject subject)
{
    uint64_t parts[PART_NOTICE_MAX_PARTS];
    if (blame_block_count(f->blames[subject]) == 0) {
        return NULL;
    }
    int count = blamed_parts(in, route, is_engine, subject, parts);
    return blame_find_block(f->blames[subject], parts, count);
}

static int
block_count(const struct forward *f)
{
    int count = 0;
    for (int i = 0; i < CRASH_SUBJECT_COUNT; i++) {
        count += blame_block_count(f->blames[i]);
    }
    return count;
}

static struct str
format_parts(const uint64_t *parts, int count, char text[REQ_PARTS_TEXT_BYTES])
{
    struct forward_request in = {.part_count = 0};
    for (int i = 0; i < count && i < FORWARD_MAX_PARTS; i++) {
        in.parts[in.part_count++].id = parts[i];
    }
    return req_format_parts(&in, text);
}

static void
send_notice(struct forward *f, const struct part_notice *n, int offset_count)
{
    struct stage_msg m = {.kind = STAGE_MSG_PARTS, .parts = *n};
    int count = f->cluster_view ? f->cluster_view->alive_count : 0;
    int self = count ? cluster_view_lower_bound(f->cluster_view, f->self) : 0;
    for (int i = 0; i < offset_count && notify_offsets[i] < count; i++) {
        const struct cluster_node *node =
            &f->cluster_view->alive[(self + notify_offsets[i]) % count];
        if (node->hash != f->self && node->address.len > 0) {
            f->io.send_message(f->io.ctx, node->hash, &m);
        }
    }
}

static void
flood_notice(struct forward *f, const struct part_notice *n)
{
    send_notice(f, n, (int)G_N_ELEMENTS(notify_offsets));
}

static struct part_notice
block_notice(enum crash_subject subject, const struct part_block *block,
             int64_t now_us)
{
    struct part_notice n = {.subject = subject,
                            .kind = PART_BLOCKED,
                            .age_us = MAX(now_us - block->last_us, 0),
                            .trials = block->trials,
                            .part_count = block->part_count};
    memcpy(n.parts, block->parts, sizeof(n.parts));
    return n;
}

bool
crashes_is_blocked(const struct forward *f, const struct request *r)
{
    for (int i = 0; i < CRASH_SUBJECT_COUNT && !r->trial; i++) {
        if (find_block(f, &r->in, r->route, r->service->info.is_engine,
                       (enum crash_subject)i)) {
            return true;
        }
    }
    return false;
}

/* Refuses the open requests with blocked parts or content, also those that
 * were sent: an endpoint drops a request whose connection closes. Not those
 * whose response head has come: the endpoint crashes all the same, and the
 * break of the call shows the cause. */
static void
refuse_open_requests(struct forward *f, int64_t now_us)
{
    GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    size_t at = 0;
    struct request *r;
    while ((r = map_next(&f->requests, &at))) {
        bool begun = r->call && r->head_accepted;
        if (!begun && !r->response_started && crashes_is_blocked(f, r)) {
            g_array_append_val(ids, r->id);
        }
    }
    for (guint i = 0; i < ids->len; i++) {
        r = map_get(&f->requests, g_array_index(ids, uint64_t, i));
        if (r) {
            f->counters.part_refusals++;
            req_refuse(f, now_us, r, ERRKIND_NO_ENDPOINT, CRASHES_REFUSAL,
                       CRASHES_RETRY_MS);
        }
    }
    g_array_free(ids, TRUE);
}

static void
handle_block(struct forward *f, int64_t now_us, const struct part_notice *n,
             const char *source)
{
    char text[REQ_PARTS_TEXT_BYTES];
    bool parts = n->subject == CRASH_OF_PARTS;
    f->counters.parts_blocked += parts;
    f->counters.contents_blocked += !parts;
    LOG_EVENT(LOG_WARN, parts ? "parts_blocked" : "content_blocked",
              LOG_STR(parts ? "parts" : "content",
                      format_parts(n->parts, n->part_count, text)),
              LOG_CSTR("source", source), LOG_INT("trials", n->trials),
              LOG_INT("age_ms", n->age_us / MS),
              LOG_INT("blocks", blame_block_count(f->blames[n->subject])));
    f->sync_due_us = MIN(f->sync_due_us, now_us + SYNC_INTERVAL_US);
    flood_notice(f, n);
    refuse_open_requests(f, now_us);
}

/* Returns whether one more notice may be accepted in this second. */
static bool
take_notice(struct forward *f, int64_t now_us, enum crash_subject subject)
{
    int64_t *since_us = &f->crash_notices[subject].since_us;
    int *accepted = &f->crash_notices[subject].accepted;
    if (now_us - *since_us >= SECOND) {
        if (*accepted > NOTICES_PER_S) {
            LOG_EVENT(LOG_WARN, "crash_notices_dropped",
                      LOG_INT("subject", subject),
                      LOG_INT("count", *accepted - NOTICES_PER_S));
        }
        *since_us = now_us;
        *accepted = 0;
    }
    return ++*accepted <= NOTICES_PER_S;
}

static void
handle_crashed_call(struct forward *f, int64_t now_us,
                    const struct part_notice *n, const char *source)
{
    const struct part_block *block;
    if (!blame_add_crash(f->blames[n->subject], now_us, n, &block)) {
        return;
    }
    flood_notice(f, n);
    if (block) {
        struct part_notice b = block_notice(n->subject, block, now_us);
        handle_block(f, now_us, &b, source);
    }
}

static void
start_probe(struct forward *f, struct crash_probe *p)
{
    struct report_call probe = {.id = ++f->next_call,
                                .address = p->address,
                                .timeout_ms = PROBE_TIMEOUT_MS};
    p->call = probe.id;
    p->again_us = 0;
    p->tries++;
    map_put(&f->probes, probe.id, p);
    f->io.probe_endpoint(f->io.ctx, &probe);
}

/* Adds a call that broke to the evidence against its parts and its content. A
 * request that has broken a call before is the likelier cause, as those beside
 * it are others each time. */
static void
add_broken_call(struct crash_probe *p, const struct request *r)
{
    if (p->call_count == PROBE_MAX_CALLS) {
        return;
    }
    p->call_count++;
    for (int i = 0; i < CRASH_SUBJECT_COUNT; i++) {
        struct part_notice *n = &p->notices[p->notice_count];
        *n = (struct part_notice){.subject = (enum crash_subject)i,
                                  .kind = PART_CRASHED,
                                  .endpoint = p->endpoint,
                                  .head_sent = r->head_accepted};
        n->head_sent |= i == CRASH_OF_CONTENT && r->may_have_run;
        n->part_count =
            blamed_parts(&r->in, r->route, r->service->info.is_engine,
                         n->subject, n->parts);
        p->notice_count += n->part_count > 0;
    }
}

void
crashes_call_broken(struct forward *f, int64_t now_us, const struct request *r)
{
    struct crash_probe *p = NULL;
    size_t at = 0;
    if (r->state != REQ_SENT) {
        return;
    }
    while ((p = map_next(&f->probes, &at))) {
        if (p->endpoint == r->endpoint->hash) {
            add_broken_call(p, r);
            return;
        }
    }
    p = mem_calloc(1, sizeof(*p));
    p->endpoint = r->endpoint->hash;
    p->name = str_dup(r->endpoint->id);
    p->address = str_dup(r->endpoint->address);
    p->at_us = now_us;
    add_broken_call(p, r);
    start_probe(f, p);
}

/* Reports the calls that broke as the endpoint crashed. */
static void
report_crash(struct forward *f, int64_t now_us, struct crash_probe *p)
{
    struct endpoint *e = map_get(&f->endpoints, p->endpoint);
    if (e) {
        endpoint_record_failure(e, now_us, true);
    }
    for (int i = 0; i < p->notice_count; i++) {
        struct part_notice *n = &p->notices[i];
        n->age_us = now_us - p->at_us;
        if (take_notice(f, now_us, n->subject)) {
            handle_crashed_call(f, now_us, n, "own");
        }
    }
}

void
forward_endpoint_probed(struct forward *f, int64_t now_us, uint64_t call,
                        enum probe_result result)
{
    struct crash_probe *p = map_get(&f->probes, call);
    if (!p) {
        return;
    }
    if (result == PROBE_BROKEN && p->tries < PROBE_MAX_TRIES) {
        p->again_us = now_us + PROBE_AGAIN_US;
        f->probe_due_us = MIN(f->probe_due_us, p->again_us);
        return;
    }
    map_remove(&f->probes, call);
    bool crashed = result == PROBE_REFUSED;
    LOG_EVENT(LOG_INFO, crashed ? "endpoint_crashed" : "endpoint_not_crashed",
              LOG_STR("endpoint", p->name), LOG_INT("calls", p->call_count),
              LOG_INT("ms", (now_us - p->at_us) / MS),
              LOG_INT("probes", p->tries));
    if (crashed) {
        report_crash(f, now_us, p);
    }
    probe_free(p);
}

static void
repeat_probes(struct forward *f, int64_t now_us)
{
    GArray *due = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    size_t at = 0;
    const struct crash_probe *p;
    f->probe_due_us = INT64_MAX;
    while ((p = map_next(&f->probes, &at))) {
        if (p->again_us && p->again_us <= now_us) {
            g_array_append_val(due, p->call);
        }
        else if (p->again_us) {
            f->probe_due_us = MIN(f->probe_due_us, p->again_us);
        }
    }
    for (guint i = 0; i < due->len; i++) {
        start_probe(f,
                    map_remove(&f->probes, g_array_index(due, uint64_t, i)));
    }
    g_array_free(due, TRUE);
}

static void
record_answer(struct forward *f, int64_t now_us, const struct request *r,
              enum crash_subject subject)
{
    uint64_t parts[PART_NOTICE_MAX_PARTS];
    int count = blamed_parts(&r->in, r->route, r->service->info.is_engine,
                             subject, parts);
    struct part_notice n = {.subject = subject, .kind = PART_ANSWERED};
    for (int i = 0; i < count; i++) {
        if (blame_add_answer(f->blames[subject], now_us, now_us, parts[i])) {
            n.parts[n.part_count++] = parts[i];
        }
    }
    if (n.part_count > 0) {
        char text[REQ_PARTS_TEXT_BYTES];
        LOG_EVENT(LOG_INFO,
                  subject == CRASH_OF_PARTS ? "parts_cleared"
                                            : "content_cleared",
                  LOG_STR("parts", format_parts(n.parts, n.part_count, text)),
                  LOG_STR("request", r->in.request_id));
        flood_notice(f, &n);
    }
}

void
crashes_response_started(struct forward *f, int64_t now_us,
                         const struct request *r)
{
    record_answer(f, now_us, r, CRASH_OF_PARTS);
}

void
crashes_request_answered(struct forward *f, int64_t now_us,
                         const struct request *r)
{
    record_answer(f, now_us, r, CRASH_OF_CONTENT);
}

bool
crashes_refuses(struct forward *f, int64_t now_us,
                const struct forward_request *in, const struct route *route,
                bool is_engine, enum crash_subject subject, bool *trial)
{
    struct part_block *block = find_block(f, in, route, is_engine, subject);
    if (!block) {
        return false;
    }
    if (!blame_is_trial_due(f->blames[subject], now_us, block)) {
        return true;
    }
    blame_start_trial(block, now_us);
    struct part_notice n = block_notice(subject, block, now_us);
    LOG_EVENT(
        LOG_INFO, subject == CRASH_OF_PARTS ? "parts_tried" : "content_tried",
        LOG_STR("request", in->request_id), LOG_INT("trials", block->trials));
    flood_notice(f, &n);
    *trial = true;
    return false;
}

void
crashes_handle_notice(struct forward *f, int64_t now_us,
                      const struct part_notice *n)
{
    bool news = false;
    switch (n->kind) {
    case PART_CRASHED:
        if (take_notice(f, now_us, n->subject)) {
            handle_crashed_call(f, now_us, n, "node");
        }
        break;
    case PART_ANSWERED:
        for (int i = 0; i < n->part_count && n->age_us < ANSWER_MAX_AGE_US;
             i++) {
            news |= blame_add_answer(f->blames[n->subject], now_us,
                                     now_us - n->age_us, n->parts[i]);
        }
        if (news) {
            flood_notice(f, n);
        }
        break;
    case PART_BLOCKED:
        if (blame_add_block(f->blames[n->subject], now_us, n)) {
            handle_block(f, now_us, n, "node");
        }
        break;
    case PART_NOTICE_KIND_COUNT:
        break;
    }
}

void
crashes_node_started(struct forward *f, int64_t now_us)
{
    if (block_count(f) > 0) {
        f->sync_due_us = now_us;
    }
}

void
crashes_run(struct forward *f, int64_t now_us)
{
    if (now_us >= f->probe_due_us) {
        repeat_probes(f, now_us);
    }
    if (now_us < f->sync_due_us) {
        return;
    }
    for (int s = 0; s < CRASH_SUBJECT_COUNT; s++) {
        struct blame *b = f->blames[s];
        blame_expire_blocks(b, now_us);
        for (int i = 0; i < blame_block_count(b); i++) {
            struct part_notice n =
                block_notice((enum crash_subject)s, blame_block(b, i), now_us);
            send_notice(f, &n, SYNC_OFFSETS);
        }
    }
    f->sync_due_us =
        block_count(f) > 0 ? now_us + SYNC_INTERVAL_US : INT64_MAX;
}

int64_t
crashes_next_wakeup_us(const struct forward *f)
{
    return MIN(f->sync_due_us, f->probe_due_us);
}
