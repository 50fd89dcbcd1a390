/* Guards against fields that change when a message is encoded and decoded, and
 * against malformed bytes that are accepted or cause out-of-bounds reads. */
#include <glib.h>
#include <string.h>

#include "base/clean.h"
#include "wire/msg.h"

#define LARGE_U64 0xfedcba9876543210ULL

static const struct msg rows[] = {
    {MSG_PING, LARGE_U64, 2, .probe = {.seq = 1}},
    {MSG_PING_REQ, 1, 2, .probe = {.seq = 1, .target = LARGE_U64}},
    {MSG_ACK, 1, 2,
     .probe = {7,
               0,
               {1, 2, INT64_MAX},
               9,
               {"\0\1\377", 3},
               3,
               {{GOSSIP_MEMBER, .member = {LARGE_U64, 4, MEMBER_LEFT}},
                {GOSSIP_ENDPOINT, .endpoint = {{"e1", 2}, {"s", 1}, 12, true}},
                {GOSSIP_SUSPECT, .suspect = {{LARGE_U64, 1}, 2, 300000000}}}}},
    {MSG_LEAVE, 1, 2, .probe = {.seq = 1}},
    {MSG_DOC_GET, 1, 2, .doc = {.doc = DOC_VMS}},
    {MSG_DOC, 1, 2, .doc = {DOC_CONFIG, 5, {"{}", 2}}},
    {MSG_DOC_ACK, 1, 2, .doc = {.doc = DOC_ROSTER, .revision = 8}},
    {MSG_CLAIM, 1, 2,
     .claim = {CLAIM_VERB_DONE,
               {LARGE_U64, 2},
               {3, LARGE_U64},
               {1, 2, LARGE_U64},
               8000000,
               201,
               {"a\0b", 3}}},
    {MSG_CLAIM_REPLY, 1, 2,
     .claim_reply = {CLAIM_VERB_ABANDON,
                     CLAIM_CLOSED,
                     {1, 2},
                     {1, 2, 3},
                     200,
                     true,
                     {"x", 1},
                     true}},
    {MSG_CREDIT, 1, 2,
     .credit = {LARGE_U64, {"e", 1}, CREDIT_MAX_LIFETIME_US, true, LARGE_U64}},
    {MSG_CREDIT_REPLY, 1, 2,
     .credit_reply = {1, {"e", 1}, false, 70, LARGE_U64, 7}},
    {MSG_CREDIT_RELEASE, 1, 2,
     .credit_release = {1, {"e", 1}, true, false, true, LARGE_U64}},
    {MSG_CREDIT_QUERY, 1, 2, .credit_query = {{"e", 1}, LARGE_U64}},
    {MSG_CREDIT_STATE, 1, 2,
     .credit_state = {{"e", 1}, LARGE_U64, 4, 5, 3, 2, {LARGE_U64, 9}}},
    {MSG_COLD, 1, 2, .cold = {{"e", 1}, {"", 0}, 4, true, LARGE_U64}},
    {MSG_STAGE_ASK, 1, 2,
     .stage_work_request = {.correlation_id = LARGE_U64,
                            .service = 7,
                            .request_id = {"r", 1},
                            .zone = {"z", 1},
                            .zone_bytes = 9,
                            .keyed = true,
                            .key = {"k", 1},
                            .piece_count = 2,
                            .pieces = {0, 3},
                            .input_count = 1,
                            .inputs = {{"h", 1}}}},
    {MSG_STAGE_ACK, 1, 2, .stage_ack = {LARGE_U64, 5}},
    {MSG_STAGE_RESULT, 1, 2,
     .stage_result = {LARGE_U64, 3, PIECE_INPUT_GONE, {"h", 1}, 9, 10}},
    {MSG_STAGE_DROP, 1, 2, .stage_drop = {LARGE_U64, true}},
    {MSG_STAGE_ASK, 1, 2,
     .stage_work_request = {.correlation_id = 1,
                            .team = LARGE_U64,
                            .waited_before_us = 5}},
    {MSG_STAGE_RESULTS, 1, 2, .stage_results = {.correlation_id = 1}},
    {MSG_STAGE_RESULTS, 1, 2,
     .stage_results = {LARGE_U64, 9, 10, 2, {{0, {"h", 1}}, {7, {"i", 1}}}}},
    {MSG_PREFILL, 1, 2, .prefill = {9, 5000, 2, {LARGE_U64, 3}, {4000, 1000}}},
    {MSG_PARTS, 1, 2,
     .part_notice = {PART_BLOCKED, 7, LARGE_U64, true, 3, 2, {LARGE_U64, 3}}},
    {MSG_PARTS, 1, 2,
     .part_notice = {.subject = CRASH_OF_CONTENT,
                     .kind = PART_ANSWERED,
                     .part_count = 1,
                     .parts = {LARGE_U64}}},
    {MSG_RETURNS, 1, 2, .return_notice = {2, {{LARGE_U64, 5, 6}, {3, 0, 9}}}},
    {MSG_ENGINES, 1, 2,
     .engine_notice = {2, {{LARGE_U64, 120000, 5000, 3}, {7, 30000, 9, 0}}}},
    {MSG_ROLLOUT, 1, 2,
     .rollout_report = {.service = LARGE_U64,
                        .order = 9,
                        .step = 4,
                        .stop = true,
                        .longest_us = 100,
                        .counts = {{3, 1},
                                   1,
                                   {{.route = LARGE_U64,
                                     .sides = {{5, 1, {0, 2, 0, 3}},
                                               {.sent = 2}}}}}}},
    {MSG_FEED_ASK, 1, 2, .feed_query = {LARGE_U64, 1, 5, true}},
    {MSG_FEED_ANSWER, 1, 2,
     .feed_reply = {.correlation_id = LARGE_U64,
                    .known = true,
                    .revision = 4,
                    .era = 3,
                    .version = 12}},
    {MSG_FEED_ANSWER, 1, 2,
     .feed_reply = {.correlation_id = LARGE_U64,
                    .known = true,
                    .age_us = FEED_AGE_UNKNOWN,
                    .revision = 4,
                    .item_count = 1,
                    .items = {{{"k", 1}, {"v", 1}, 3, false}}}},
};

static void
test_round_trip(void)
{
    bool seen[MSG_TYPE_COUNT] = {false};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        CLEANUP(buf_free) struct buf a = {0};
        CLEANUP(buf_free) struct buf b = {0};
        struct msg m;
        msg_encode(&rows[i], &a);
        g_assert_cmpint(msg_decode(buf_str(&a), &m), ==, ST_OK);
        g_assert_cmpint(m.type, ==, rows[i].type);
        seen[m.type] = true;
        msg_encode(&m, &b);
        g_assert_cmpmem(a.ptr, a.len, b.ptr, b.len);
    }
    for (int t = 0; t < MSG_TYPE_COUNT; t++) {
        g_assert_true(seen[t]);
    }
    /* A watcher that never had contact with the store must not seem to have
     * had a recent one. */
    CLEANUP(buf_free) struct buf a = {0};
    struct msg m;
    msg_encode(&rows[G_N_ELEMENTS(rows) - 1], &a);
    msg_decode(buf_str(&a), &m);
    g_assert_cmpint(m.feed_reply.age_us, ==, FEED_AGE_UNKNOWN);
    buf_clear(&a);
    msg_encode(&rows[7], &a);
    msg_decode(buf_str(&a), &m);
    g_assert_cmpuint(m.claim.key.hi, ==, LARGE_U64);
    g_assert_cmpuint(m.claim.body.lo, ==, LARGE_U64);
    g_assert_cmpuint(m.claim.attempt.seq, ==, LARGE_U64);
    g_assert_cmpint(m.claim.http_status, ==, 201);
    g_assert_cmpmem(m.claim.answer.ptr, m.claim.answer.len, "a\0b", 3);
}

/* Every prefix must be refused, and so must an appended byte. Every message
 * with one changed byte must be refused or decode to a message that can be
 * encoded. Bytes are copied to the heap so that the address sanitizer detects
 * reads past the end. */
static void
test_damage(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        CLEANUP(buf_free) struct buf a = {0};
        struct msg m;
        msg_encode(&rows[i], &a);
        for (size_t n = 0; n < a.len; n++) {
            char *p = g_memdup2(a.ptr, n + 1);
            char *truncated = g_memdup2(a.ptr, n ? n : 1);
            g_assert_cmpint(msg_decode(str_from_bytes(truncated, n), &m), ==,
                            ST_INVALID);
            g_free(p);
            g_free(truncated);
            for (int c = 0; c < 256; c++) {
                char *q = g_memdup2(a.ptr, a.len);
                CLEANUP(buf_free) struct buf reencoded = {0};
                q[n] = (char)c;
                if (msg_decode(str_from_bytes(q, a.len), &m) == ST_OK) {
                    g_assert_cmpint(m.type, <, MSG_TYPE_COUNT);
                    msg_encode(&m, &reencoded);
                }
                g_free(q);
            }
        }
        buf_append(&a, "\0", 1);
        g_assert_cmpint(msg_decode(buf_str(&a), &m), ==, ST_INVALID);
    }
}

static void
test_refused(void)
{
    /* Columns: bytes, reason why they are refused. */
    static const struct {
        struct str in;
        const char *why;
    } malformed[] = {
        {STR_LIT("\x94\x02\x00\x01\x01"), "unknown version"},
        {STR_LIT("\x94\x01\x7f\x01\x01"), "unknown type"},
        {STR_LIT("\x94\x01\xff\x01\x01"), "negative type"},
        {STR_LIT("\x96\x01\x04\x01\x01\x00\x00"), "too few fields"},
        {STR_LIT("\x97\x01\x04\x01\x01\x07\x00\xc4\x00"), "unknown document"},
        {STR_LIT("\x97\x01\x04\x01\x01\x00\x00\xa0"), "text for bytes"},
        {STR_LIT("\x97\x01\x04\x01\x01\x00\x00\xdd\xff\xff\xff\xff"),
         "nested container of huge count"},
        {STR_LIT("\xdd\xff\xff\xff\xff\x01\x04"), "array of huge count"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++) {
        struct msg m;
        if (msg_decode(malformed[i].in, &m) != ST_INVALID) {
            g_error("accepted: %s", malformed[i].why);
        }
    }
    struct msg m = rows[3];
    CLEANUP(buf_free) struct buf a = {0};
    m.probe.gossip_count = 0;
    m.type = MSG_CREDIT;
    m.credit =
        (struct credit_request){1, {"e", 1}, CREDIT_MAX_LIFETIME_US + 1, 0, 0};
    msg_encode(&m, &a);
    g_assert_cmpint(msg_decode(buf_str(&a), &m), ==, ST_INVALID);
}

/* Guards against times and sizes of another node with which the sums of the
 * receiver overflow. */
static void
test_large_numbers(void)
{
    const struct msg large[] = {
        {MSG_STAGE_ASK, 1, 2,
         .stage_work_request = {.target_left_us = INT64_MAX}},
        {MSG_STAGE_ASK, 1, 2,
         .stage_work_request = {.expiry_left_us = INT64_MAX}},
        {MSG_STAGE_ASK, 1, 2,
         .stage_work_request = {.end_left_us = INT64_MAX}},
        {MSG_STAGE_ASK, 1, 2, .stage_work_request = {.bytes = INT64_MAX}},
        {MSG_STAGE_ASK, 1, 2, .stage_work_request = {.zone_bytes = INT64_MAX}},
        {MSG_STAGE_ASK, 1, 2, .stage_work_request = {.held_bytes = INT64_MAX}},
        {MSG_STAGE_ASK, 1, 2,
         .stage_work_request = {.waited_before_us = INT64_MAX}},
        {MSG_STAGE_RESULTS, 1, 2, .stage_results = {.waited_us = INT64_MAX}},
        {MSG_STAGE_ACK, 1, 2, .stage_ack = {1, INT64_MAX}},
        {MSG_STAGE_RESULT, 1, 2, .stage_result = {.waited_us = INT64_MAX}},
        {MSG_PREFILL, 1, 2, .prefill = {.tokens = INT64_MAX}},
        {MSG_PARTS, 1, 2, .part_notice = {.age_us = INT64_MAX}},
        {MSG_RETURNS, 1, 2, .return_notice = {1, {{1, INT64_MAX, 0}}}},
        {MSG_RETURNS, 1, 2, .return_notice = {1, {{1, 0, INT64_MAX}}}},
        {MSG_ENGINES, 1, 2, .engine_notice = {1, {{1, INT64_MAX, 1, 1}}}},
        {MSG_ENGINES, 1, 2, .engine_notice = {1, {{1, 1, INT64_MAX, 1}}}},
        {MSG_ROLLOUT, 1, 2, .rollout_report = {.longest_us = INT64_MAX}},
        {MSG_CREDIT_REPLY, 1, 2,
         .credit_reply = {.endpoint = {"e", 1}, .retry_us = INT64_MAX}},
        {MSG_PING, 1, 2,
         .probe = {.gossip_count = 1,
                   .gossip = {{GOSSIP_SUSPECT,
                               .suspect = {.hold_us = INT64_MAX}}}}},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(large); i++) {
        CLEANUP(buf_free) struct buf a = {0};
        struct msg m;
        msg_encode(&large[i], &a);
        g_test_message("row %zu", i);
        g_assert_cmpint(msg_decode(buf_str(&a), &m), ==, ST_INVALID);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/msg/round-trip", test_round_trip);
    g_test_add_func("/msg/damage", test_damage);
    g_test_add_func("/msg/refused", test_refused);
    g_test_add_func("/msg/large-numbers", test_large_numbers);
    return g_test_run();
}
