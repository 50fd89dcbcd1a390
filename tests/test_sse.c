/* Guards against events that are lost or merged when a stream arrives in
 * pieces, and against unlimited memory use by an event that never ends. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "edge/sse.h"

static bool
collect(void *ctx, struct str data)
{
    buf_printf(ctx, "[%.*s]", STR_FMT(data));
    return true;
}

static void
test_split(void)
{
    static const struct {
        const char *in, *out;
    } rows[] = {
        {"data: a\n\ndata: b\n\n", "[a][b]"},
        {"data:a\r\n\r\ndata: [DONE]\r\n\r\n", "[a][[DONE]]"},
        {"data: a\ndata: b\n\n", "[a\nb]"},
        {": comment\nevent: x\nid: 4\ndata: a\n\n", "[a]"},
        {"\n\n\ndata: a\r\rdata: b", "[a]"},
        {"data\n\ndata: \n\n", "[]"},
        {"data:  a\n\n", "[ a]"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        size_t len = strlen(rows[i].in);
        for (size_t piece_len = 1; piece_len <= len; piece_len++) {
            struct sse s = {0};
            struct buf out = {0};
            for (size_t at = 0; at < len; at += piece_len) {
                size_t n = len - at < piece_len ? len - at : piece_len;
                g_assert_true(
                    sse_parse(&s, rows[i].in + at, n, collect, &out));
            }
            g_assert_cmpstr(out.ptr, ==, rows[i].out);
            buf_free(&out);
            sse_free(&s);
        }
    }
}

static void
test_endless(void)
{
    static const char *const lines[] = {"data: aaaaaaaaaaaaaaaaaaaaaaaaa",
                                        "data: aaaaaaaaaaaaaaaaaaaaaaaaa\n"};
    for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
        struct sse s = {0};
        struct buf out = {0};
        int n = 0;
        while (sse_parse(&s, lines[i], strlen(lines[i]), collect, &out)) {
            g_assert_cmpint(++n, <, SSE_MAX_EVENT_BYTES);
        }
        g_assert_cmpint(out.len, ==, 0);
        sse_free(&s);
    }
}

static void
test_tokens(void)
{
    static const struct {
        const char *in;
        bool ok;
        const char *text; /* NULL: none */
        int index;
    } rows[] = {
        {"{\"choices\":[{\"text\":\"hi\"}],\"token_index\":7}", true, "hi", 7},
        {"{\"choices\":[{\"text\":\"\"}],\"token_index\":0}", true, "", 0},
        {"{\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}", true,
         NULL, -1},
        {"{\"choices\":[{\"finish_reason\":\"stop\"}]}", true, NULL, -1},
        /* An index that no response reaches would overflow or wrap to that
         * of another token. */
        {"{\"choices\":[{\"text\":\"hi\"}],\"token_index\":4294967296}", false,
         NULL, -1},
        {"{\"choices\":[{\"text\":\"hi\"}],\"token_index\":2147483647}", false,
         NULL, -1},
        {"{\"choices\":[{\"text\":\"hi\"}],\"token_index\":-1}", false, NULL,
         -1},
        {"{\"choices\":[]}", false, NULL, -1},
        {"{\"error\":\"x\"}", false, NULL, -1},
        {"{\"choices\":[{\"te", false, NULL, -1},
        {"", false, NULL, -1},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct sse_token t;
        g_assert_cmpint(sse_token(str_from_cstr(rows[i].in), &t), ==,
                        rows[i].ok);
        g_assert_cmpint(t.has_text, ==, rows[i].text != NULL);
        g_assert_cmpint(t.index, ==, rows[i].index);
        g_assert_cmpstr(t.text.ptr, ==, rows[i].text);
        str_free(&t.text);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/sse/split", test_split);
    g_test_add_func("/sse/endless", test_endless);
    g_test_add_func("/sse/tokens", test_tokens);
    return g_test_run();
}
