#include "forward/blame.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/str.h"

#define MS 1000LL
#define SECOND 1000000LL

/* Limits on the evidence that is kept; the oldest is replaced. */
#define CRASHES_MAX 64
#define CALLS_MAX 12
#define ANSWERS_MAX 4096
#define BLOCKS_MAX 32
/* Weight of a crash for the parts of a call with a response head and no body,
 * and for those of a call without a response. */
#define WEIGHT_HEAD 2
#define WEIGHT_NO_HEAD 1
/* Reports of one crash arrive within this time; an endpoint needs longer to
 * start again. */
#define SAME_CRASH_US (2 * SECOND)
/* Endpoints that crash within this time of each other have a common cause,
 * such as the loss of a zone, and count as one crash. */
#define COMMON_CAUSE_US (50 * MS)
/* Time from the last crash or trial until the next trial; it doubles with each
 * trial. A trial that fails costs an endpoint, so the third one comes more
 * than ten minutes after the crashes. */
#define TRIAL_MIN_US (120 * SECOND)
#define TRIAL_MAX_US (3600 * SECOND)
/* A block without a crash or a trial for this time is dropped: no request has
 * met it since the longest time until a trial. */
#define BLOCK_EXPIRY_US (12 * 3600 * SECOND)

struct limits {
    int blocked_weight; /* sum of weights that blocks */
    int64_t window_us;  /* crashes older than this no longer count */
};

/* All nodes must have stopped after five crashes by a part and after three by
 * a content. Requests with the same part come often; the same content may come
 * seldom. */
static const struct limits limits[CRASH_SUBJECT_COUNT] = {
    [CRASH_OF_PARTS] = {4, 60 * SECOND},
    [CRASH_OF_CONTENT] = {3, 600 * SECOND},
};

/* The shared parts of a call that broke in a crash. */
struct broken_call {
    bool head_sent;
    int part_count;
    uint64_t parts[PART_NOTICE_MAX_PARTS];
};

struct crash {
    uint64_t endpoint;
    int64_t at_us;
    int call_count;
    struct broken_call calls[CALLS_MAX];
};

struct blame {
    const struct limits *limits;
    double spread;
    int crash_count;
    struct crash crashes[CRASHES_MAX]; /* by time */
    GHashTable *answers;               /* part -> time of its last answer */
    int block_count;
    struct part_block blocks[BLOCKS_MAX];
};

struct blame *
blame_new(enum crash_subject subject, double spread)
{
    struct blame *b = mem_calloc(1, sizeof(*b));
    b->limits = &limits[subject];
    b->spread = spread;
    b->answers =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    return b;
}

void
blame_free(struct blame *b)
{
    if (b) {
        g_hash_table_destroy(b->answers);
        free(b);
    }
}

static bool
contains(const uint64_t *parts, int count, uint64_t part)
{
    for (int i = 0; i < count; i++) {
        if (parts[i] == part) {
            return true;
        }
    }
    return false;
}

/* Returns whether all parts of the first list are in the second one. */
static bool
is_subset(const uint64_t *parts, int count, const uint64_t *of, int of_count)
{
    for (int i = 0; i < count; i++) {
        if (!contains(of, of_count, parts[i])) {
            return false;
        }
    }
    return true;
}

static int64_t
last_answer_us(const struct blame *b, uint64_t part)
{
    const int64_t *at = g_hash_table_lookup(b->answers, &part);
    return at ? *at : INT64_MIN;
}

static const struct part_block *
find_block(const struct blame *b, const uint64_t *parts, int count)
{
    for (int i = 0; i < b->block_count; i++) {
        const struct part_block *k = &b->blocks[i];
        if (is_subset(k->parts, k->part_count, parts, count)) {
            return k;
        }
    }
    return NULL;
}

struct part_block *
blame_find_block(struct blame *b, const uint64_t *parts, int count)
{
    return (struct part_block *)find_block(b, parts, count);
}

void
blame_expire_blocks(struct blame *b, int64_t now_us)
{
    for (int i = 0; i < b->block_count;) {
        if (now_us - b->blocks[i].last_us >= BLOCK_EXPIRY_US) {
            b->blocks[i] = b->blocks[--b->block_count];
        }
        else {
            i++;
        }
    }
}

/* Returns whether a call of a crash has parts that are blocked by now. */
static bool
is_explained(const struct blame *b, const struct crash *c)
{
    for (int i = 0; i < c->call_count; i++) {
        if (find_block(b, c->calls[i].parts, c->calls[i].part_count)) {
            return true;
        }
    }
    return false;
}

/* Returns whether a call of a crash is one of those that count as its cause:
 * the calls that a block explains, or else those with a response head, or else
 * all. */
static bool
is_cause(const struct blame *b, const struct crash *c,
         const struct broken_call *call)
{
    bool head = false;
    if (is_explained(b, c)) {
        return find_block(b, call->parts, call->part_count) != NULL;
    }
    for (int i = 0; i < c->call_count; i++) {
        head = head || c->calls[i].head_sent;
    }
    return call->head_sent == head;
}

static int
crash_weight(const struct blame *b, const struct crash *c, uint64_t part)
{
    int weight = 0;
    for (int i = 0; i < c->call_count; i++) {
        const struct broken_call *call = &c->calls[i];
        if (contains(call->parts, call->part_count, part) &&
            is_cause(b, c, call)) {
            weight =
                MAX(weight, call->head_sent ? WEIGHT_HEAD : WEIGHT_NO_HEAD);
        }
    }
    return weight;
}

/* Sum of the weights of the crashes since the last answer.
 * @param explained whether crashes that a block explains count */
static int
part_weight(const struct blame *b, int64_t now_us, uint64_t part,
            bool explained)
{
    int64_t since_us =
        MAX(last_answer_us(b, part), now_us - b->limits->window_us);
    int64_t group_us = INT64_MIN / 2;
    int group = 0;
    int sum = 0;
    for (int i = 0; i < b->crash_count; i++) {
        const struct crash *c = &b->crashes[i];
        if (c->at_us <= since_us || (!explained && is_explained(b, c))) {
            continue;
        }
        int weight = crash_weight(b, c, part);
        if (weight == 0) {
            continue;
        }
        if (c->at_us - group_us > COMMON_CAUSE_US) {
            sum += group;
            group = 0;
            group_us = c->at_us;
        }
        group = MAX(group, weight);
    }
    return sum + group;
}

/* Returns the record of a crash, and adds it if it is new. */
static struct crash *
get_crash(struct blame *b, uint64_t endpoint, int64_t at_us)
{
    for (int i = 0; i < b->crash_count; i++) {
        if (b->crashes[i].endpoint == endpoint &&
            ABS(b->crashes[i].at_us - at_us) < SAME_CRASH_US) {
            return &b->crashes[i];
        }
    }
    if (b->crash_count == CRASHES_MAX) {
        memmove(b->crashes, b->crashes + 1,
                (CRASHES_MAX - 1) * sizeof(*b->crashes));
        b->crash_count--;
    }
    int at = b->crash_count;
    while (at > 0 && b->crashes[at - 1].at_us > at_us) {
        b->crashes[at] = b->crashes[at - 1];
        at--;
    }
    b->crash_count++;
    b->crashes[at] = (struct crash){.endpoint = endpoint, .at_us = at_us};
    return &b->crashes[at];
}

static bool
has_call(const struct crash *c, const struct part_notice *n)
{
    for (int i = 0; i < c->call_count; i++) {
        const struct broken_call *call = &c->calls[i];
        if (call->head_sent == n->head_sent &&
            call->part_count == n->part_count &&
            is_subset(n->parts, n->part_count, call->parts,
                      call->part_count)) {
            return true;
        }
    }
    return false;
}

/* Adds a block in place of those that it contains. */
static struct part_block *
put_block(struct blame *b, const struct part_block *block)
{
    for (int i = 0; i < b->block_count;) {
        const struct part_block *k = &b->blocks[i];
        if (is_subset(block->parts, block->part_count, k->parts,
                      k->part_count)) {
            b->blocks[i] = b->blocks[--b->block_count];
        }
        else {
            i++;
        }
    }
    int at = b->block_count;
    if (at == BLOCKS_MAX) {
        at = 0;
        for (int i = 1; i < BLOCKS_MAX; i++) {
            at = b->blocks[i].last_us < b->blocks[at].last_us ? i : at;
        }
    }
    else {
        b->block_count++;
    }
    b->blocks[at] = *block;
    return &b->blocks[at];
}

/* Determines the parts that occur in all causes of crashes that have a part,
 * without those that have been answered since the first of these crashes. */
static void
common_parts(const struct blame *b, int64_t now_us, uint64_t part,
             const struct broken_call *call, struct part_block *out)
{
    int64_t since_us =
        MAX(last_answer_us(b, part), now_us - b->limits->window_us);
    int64_t first_us = INT64_MAX;
    out->part_count = call->part_count;
    memcpy(out->parts, call->parts, sizeof(out->parts));
    for (int i = 0; i < b->crash_count; i++) {
        const struct crash *c = &b->crashes[i];
        for (int k = 0; c->at_us > since_us && k < c->call_count; k++) {
            const struct broken_call *other = &c->calls[k];
            if (!contains(other->parts, other->part_count, part) ||
                !is_cause(b, c, other)) {
                continue;
            }
            int kept = 0;
            first_us = MIN(first_us, c->at_us);
            for (int p = 0; p < out->part_count; p++) {
                if (contains(other->parts, other->part_count, out->parts[p]) &&
                    last_answer_us(b, out->parts[p]) < first_us) {
                    out->parts[kept++] = out->parts[p];
                }
            }
            out->part_count = kept;
        }
    }
}

/* Blocks parts of a call if the crashes that no block explains weigh enough
 * against one of them: a crash of which the cause is not known must not add to
 * those that have one. The part with the most weight in all is taken, and of
 * several the set with the most parts, which refuses the fewest requests. */
static const struct part_block *
block_call(struct blame *b, int64_t now_us, const struct crash *c,
           const struct broken_call *call)
{
    struct part_block best = {.part_count = 0};
    int best_weight = 0;
    if (!is_cause(b, c, call) ||
        find_block(b, call->parts, call->part_count)) {
        return NULL;
    }
    for (int i = 0; i < call->part_count; i++) {
        struct part_block next = {.last_us = c->at_us};
        int weight = part_weight(b, now_us, call->parts[i], true);
        if (part_weight(b, now_us, call->parts[i], false) <
                b->limits->blocked_weight ||
            weight < best_weight) {
            continue;
        }
        common_parts(b, now_us, call->parts[i], call, &next);
        if (weight > best_weight || next.part_count > best.part_count) {
            best = next;
            best_weight = weight;
        }
    }
    return best.part_count > 0 ? put_block(b, &best) : NULL;
}

bool
blame_add_crash(struct blame *b, int64_t now_us,
                const struct part_notice *crash,
                const struct part_block **blocked)
{
    *blocked = NULL;
    if (crash->part_count == 0 || crash->age_us >= b->limits->window_us) {
        return false;
    }
    int64_t at_us = now_us - crash->age_us;
    struct crash *c = get_crash(b, crash->endpoint, at_us);
    if (c->call_count == CALLS_MAX || has_call(c, crash)) {
        return false;
    }
    struct broken_call *call = &c->calls[c->call_count++];
    call->head_sent = crash->head_sent;
    call->part_count = crash->part_count;
    memcpy(call->parts, crash->parts,
           (size_t)crash->part_count * sizeof(*crash->parts));
    struct part_block *known =
        blame_find_block(b, call->parts, call->part_count);
    if (known) {
        known->last_us = MAX(known->last_us, at_us);
    }
    *blocked = block_call(b, now_us, c, call);
    return true;
}

/* Forgets the older half of the answers. */
static void
trim_answers(struct blame *b)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, b->answers);
    int64_t oldest = INT64_MAX;
    int64_t newest = INT64_MIN;
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        oldest = MIN(oldest, *(int64_t *)v);
        newest = MAX(newest, *(int64_t *)v);
    }
    g_hash_table_iter_init(&it, b->answers);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        if (*(int64_t *)v <= oldest + (newest - oldest) / 2) {
            g_hash_table_iter_remove(&it);
        }
    }
}

bool
blame_add_answer(struct blame *b, int64_t now_us, int64_t answered_us,
                 uint64_t part)
{
    bool suspected = part_weight(b, now_us, part, true) > 0;
    int64_t *at = g_hash_table_lookup(b->answers, &part);
    if (at && *at >= answered_us) {
        return false;
    }
    if (at) {
        *at = answered_us;
    }
    else {
        if (g_hash_table_size(b->answers) >= ANSWERS_MAX) {
            trim_answers(b);
        }
        g_hash_table_insert(b->answers, g_memdup2(&part, sizeof(part)),
                            g_memdup2(&answered_us, sizeof(answered_us)));
    }
    for (int i = 0; i < b->block_count;) {
        struct part_block *k = &b->blocks[i];
        int kept = 0;
        if (!contains(k->parts, k->part_count, part) ||
            answered_us <= k->last_us) {
            i++;
            continue;
        }
        suspected = true;
        for (int p = 0; p < k->part_count; p++) {
            if (k->parts[p] != part) {
                k->parts[kept++] = k->parts[p];
            }
        }
        k->part_count = kept;
        if (kept == 0) {
            *k = b->blocks[--b->block_count];
        }
        else {
            i++;
        }
    }
    return suspected && part_weight(b, now_us, part, true) == 0;
}

bool
blame_add_block(struct blame *b, int64_t now_us,
                const struct part_notice *notice)
{
    struct part_block block = {.part_count = 0,
                               .last_us = now_us - notice->age_us,
                               .trials = notice->trials};
    if (notice->age_us >= BLOCK_EXPIRY_US) {
        return false;
    }
    for (int i = 0; i < notice->part_count; i++) {
        if (last_answer_us(b, notice->parts[i]) <= block.last_us) {
            block.parts[block.part_count++] = notice->parts[i];
        }
    }
    if (block.part_count == 0) {
        return false;
    }
    struct part_block *known =
        blame_find_block(b, block.parts, block.part_count);
    if (known && known->part_count <= block.part_count) {
        bool newer = block.trials > known->trials;
        known->trials = MAX(known->trials, block.trials);
        /* The time a message takes is not in its age; small differences are
         * ignored, so that they do not add up. */
        if (block.last_us - known->last_us > SAME_CRASH_US) {
            known->last_us = block.last_us;
        }
        return newer;
    }
    put_block(b, &block);
    return true;
}

bool
blame_is_trial_due(const struct blame *b, int64_t now_us,
                   const struct part_block *block)
{
    int64_t wait_us = TRIAL_MIN_US;
    for (int i = 0; i < block->trials && wait_us < TRIAL_MAX_US; i++) {
        wait_us *= 2;
    }
    wait_us = MIN(wait_us, TRIAL_MAX_US);
    return now_us - block->last_us >=
           wait_us + (int64_t)(b->spread * (double)wait_us);
}

void
blame_start_trial(struct part_block *block, int64_t now_us)
{
    block->trials++;
    block->last_us = now_us;
}

int
blame_block_count(const struct blame *b)
{
    return b->block_count;
}

const struct part_block *
blame_block(const struct blame *b, int index)
{
    return &b->blocks[index];
}
