/* Guards against claims that change when a bucket moves to another owner, and
 * against a damaged record that is taken for one with fewer claims. */
#include <glib.h>

#include "base/clean.h"
#include "control/claim_record.h"

#define BIG 0xfedcba9876543210ULL

static const struct claim_entry rows[] = {
    {{BIG, 1}, {2, BIG}, {BIG, BIG, BIG}, false, 0, false, {"", 0}, 0, 8000},
    {{1, 2}, {3, 4}, {5, 6, 7}, true, 201, true, {"a\0b", 3}, 600000, 1000},
    {{1, 3}, {3, 4}, {5, 6, 8}, true, 500, false, {"", 0}, 1000, 86400000000},
};

static void
encode(struct buf *b)
{
    struct claim_header h = {BIG, 2, 3, BIG, G_N_ELEMENTS(rows)};
    claim_header_encode(&h, b);
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        size_t before = b->len;
        claim_entry_encode(&rows[i], b);
        g_assert_cmpuint(b->len - before, <=,
                         CLAIM_ENTRY_BYTES + rows[i].answer.len);
    }
}

/* The number of whole entries, -1 if the record is refused. */
static int
decode(struct str bytes, struct claim_entry *out)
{
    struct claim_header h;
    size_t at;
    if (claim_header_decode(bytes, &h, &at) != ST_OK) {
        return -1;
    }
    for (uint32_t i = 0; i < h.count; i++) {
        struct claim_entry e;
        if (claim_entry_decode(bytes, &at, &e) != ST_OK) {
            return -1;
        }
        if (i < G_N_ELEMENTS(rows)) {
            out[i] = e;
        }
    }
    return at == bytes.len ? (int)h.count : -1;
}

static void
test_round_trip(void)
{
    CLEANUP(buf_free) struct buf b = {0};
    struct claim_entry e[G_N_ELEMENTS(rows)];
    struct claim_header h;
    size_t at;
    encode(&b);
    g_assert_cmpint(decode(buf_str(&b), e), ==, G_N_ELEMENTS(rows));
    g_assert_cmpint(claim_header_decode(buf_str(&b), &h, &at), ==, ST_OK);
    g_assert_cmpuint(h.owner, ==, BIG);
    g_assert_cmpuint(h.write_id, ==, BIG);
    g_assert_cmpuint(h.epoch, ==, 3);
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        CLEANUP(buf_free) struct buf x = {0};
        CLEANUP(buf_free) struct buf y = {0};
        claim_entry_encode(&rows[i], &x);
        claim_entry_encode(&e[i], &y);
        g_assert_cmpmem(x.ptr, x.len, y.ptr, y.len);
        g_assert_true(digest_eq(e[i].body, rows[i].body));
        g_assert_cmpuint(e[i].attempt.seq, ==, rows[i].attempt.seq);
        g_assert_cmpint(e[i].done, ==, rows[i].done);
        g_assert_cmpint(e[i].answer_stored, ==, rows[i].answer_stored);
        g_assert_cmpint(e[i].age_us, ==, rows[i].age_us);
        g_assert_cmpint(e[i].valid_us, ==, rows[i].valid_us);
        g_assert_true(str_eq(e[i].answer, rows[i].answer));
    }
}

static void
test_damage(void)
{
    CLEANUP(buf_free) struct buf b = {0};
    struct claim_entry e[G_N_ELEMENTS(rows)];
    encode(&b);
    for (size_t n = 0; n < b.len; n++) {
        char *cut = g_memdup2(b.ptr, n ? n : 1);
        g_assert_cmpint(decode(str_from_bytes(cut, n), e), ==, -1);
        g_free(cut);
        for (int c = 0; c < 256; c++) {
            char *p = g_memdup2(b.ptr, b.len);
            p[n] = (char)c;
            int count = decode(str_from_bytes(p, b.len), e);
            g_assert_true(count == -1 || count == G_N_ELEMENTS(rows));
            g_free(p);
        }
    }
    buf_append(&b, "\0", 1);
    g_assert_cmpint(decode(buf_str(&b), e), ==, -1);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/claim-record/round-trip", test_round_trip);
    g_test_add_func("/claim-record/damage", test_damage);
    return g_test_run();
}
