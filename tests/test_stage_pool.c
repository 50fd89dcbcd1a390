/* The owner's pool of stage endpoints, driven without a network. */
#include <glib.h>
#include <string.h>

#include "forward/stage_pool.h"

#define MS 1000LL
#define SECOND 1000000LL
#define RESULT_BYTES 1000000
#define RESULT_TTL_US (4 * SECOND)
#define PIECES 3

struct fixture {
    struct stage_pool *pool;
    struct endpoint *endpoint;
    uint64_t last_call;
    uint64_t open_call; /* 0: none */
    int open_items;
    int calls;
    int results; /* sent to nodes */
};

static void
on_send_pieces(void *ctx, const struct pieces_call *call)
{
    struct fixture *x = ctx;
    x->open_call = call->id;
    x->open_items = call->item_count;
    x->calls++;
}

static void
on_release(void *ctx, const struct release_call *call)
{
    (void)ctx;
    (void)call;
}

static void
on_query(void *ctx, const struct report_call *call)
{
    (void)ctx;
    (void)call;
}

static void
on_message(void *ctx, uint64_t node, const struct stage_msg *m)
{
    struct fixture *x = ctx;
    (void)node;
    x->results += m->kind == STAGE_MSG_RESULT    ? 1
                  : m->kind == STAGE_MSG_RESULTS ? m->results.count
                                                 : 0;
}

static uint64_t
on_next_call(void *ctx)
{
    struct fixture *x = ctx;
    return ++x->last_call;
}

/* One endpoint with memory for the results of one request, not of two. */
static void
fixture_init(struct fixture *x)
{
    static const struct piece_limits limits = {.slots = 1,
                                               .queue = 2,
                                               .batch = 10,
                                               .call_us = 150 * MS,
                                               .item_us = 10 * MS,
                                               .result_memory_bytes =
                                                   6LL * RESULT_BYTES,
                                               .result_ttl_us = RESULT_TTL_US};
    const struct cluster_endpoint record = {
        .id = STR_LIT("e"), .address = STR_LIT("a:1"), .zone = STR_LIT("z")};
    memset(x, 0, sizeof(*x));
    const struct stage_pool_io io = {x,        on_send_pieces, on_release,
                                     on_query, on_message,     on_next_call};
    x->pool = stage_pool_new(&io);
    x->endpoint = endpoint_new(&record);
    x->endpoint->usable = true;
    stage_pool_configure(x->pool, SECOND, &limits, &x->endpoint, 1);
}

static void
fixture_free(struct fixture *x)
{
    stage_pool_free(x->pool);
    endpoint_free(x->endpoint);
}

static void
add_request(struct fixture *x, int64_t now_us, uint64_t node)
{
    struct stage_work_request r = {.correlation_id = 1,
                                   .request_id = STR_LIT("r"),
                                   .target_left_us = 20 * SECOND,
                                   .expiry_left_us = 20 * SECOND,
                                   .end_left_us = 20 * SECOND,
                                   .bytes = RESULT_BYTES,
                                   .keyed = true,
                                   .key = STR_LIT("k"),
                                   .piece_count = PIECES,
                                   .pieces = {0, 1, 2}};
    stage_pool_add_request(x->pool, now_us, node, &r);
    stage_pool_run(x->pool, now_us);
}

static void
end_call(struct fixture *x, int64_t now_us)
{
    struct piece_result results[PIECES];
    const struct response_meta meta = {.same_request = true};
    uint64_t call = x->open_call;
    for (int i = 0; i < PIECES; i++) {
        results[i] = (struct piece_result){PIECE_DONE, STR_LIT("h")};
    }
    x->open_call = 0;
    g_assert_cmpint(x->open_items, ==, PIECES);
    g_assert_true(stage_pool_call_ended(x->pool, now_us, call,
                                        CALL_END_COMPLETE, 200, &meta, PIECES,
                                        results));
    stage_pool_run(x->pool, now_us);
}

/* Guards against memory that counts as used after the endpoint has dropped the
 * results: the results of nodes that had ended with their zone blocked the
 * endpoints of other zones until their callers' deadlines. */
static void
test_expired_results(void)
{
    struct fixture x;
    int64_t now = 2 * SECOND;
    fixture_init(&x);
    add_request(&x, now, 1);
    now += 200 * MS;
    end_call(&x, now);
    int64_t expired = now + RESULT_TTL_US;
    add_request(&x, now, 2);
    g_assert_cmpint(x.calls, ==, 1);
    for (; now < expired; now += 100 * MS) {
        stage_pool_run(x.pool, now);
        g_assert_cmpint(x.calls, ==, 1);
    }
    stage_pool_run(x.pool, expired + 20 * MS);
    g_assert_cmpint(x.calls, ==, 2);
    fixture_free(&x);
}

/* Guards against a node that waits until its deadline for a result that was
 * lost on its way and has expired since. */
static void
test_repeated_after_expiry(void)
{
    struct fixture x;
    int64_t now = 2 * SECOND;
    fixture_init(&x);
    add_request(&x, now, 1);
    now += 200 * MS;
    end_call(&x, now);
    g_assert_cmpint(x.results, ==, PIECES);
    add_request(&x, now + SECOND, 1);
    g_assert_cmpint(x.results, ==, 2 * PIECES);
    now += RESULT_TTL_US + 20 * MS;
    stage_pool_run(x.pool, now);
    add_request(&x, now + 20 * MS, 1);
    g_assert_cmpint(x.results, ==, 2 * PIECES);
    g_assert_cmpint(x.calls, ==, 2);
    fixture_free(&x);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/stage_pool/expired-results", test_expired_results);
    g_test_add_func("/stage_pool/repeated-after-expiry",
                    test_repeated_after_expiry);
    return g_test_run();
}
