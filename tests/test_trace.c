/* Guards against traces that are visible to other teams, grow without limit or
 * do not continue the trace of the caller. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "base/clean.h"
#include "edge/trace.h"

#define ID "0123456789abcdef0123456789abcd00"
#define TRACE_ID "4bf92f3577b34da6a3ce929d0e0e4736"

static struct trace_ref
begin(struct trace_ring *r, const char *id, const char *parent)
{
    struct trace_start s = {str_from_cstr(id),
                            str_from_cstr(parent),
                            STR_LIT("board"),
                            STR_LIT("permits"),
                            1000,
                            5};
    return trace_begin(r, &s);
}

static void
test_parent(void)
{
    static const struct {
        const char *in, *prefix;
    } rows[] = {
        {"00-" TRACE_ID "-00f067aa0ba902b7-01", "00-" TRACE_ID "-"},
        {"01-" TRACE_ID "-00f067aa0ba902b7-01-more", "00-" TRACE_ID "-"},
        {"", "00-" ID "-"},
        {"00-" TRACE_ID "-00f067aa0ba902b7-01-more", "00-" ID "-"},
        {"ff-" TRACE_ID "-00f067aa0ba902b7-01", "00-" ID "-"},
        {"00-00000000000000000000000000000000-00f067aa0ba902b7-01",
         "00-" ID "-"},
        {"00-" TRACE_ID "-0000000000000000-01", "00-" ID "-"},
        {"00-4BF92F3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
         "00-" ID "-"},
        {"00-" TRACE_ID, "00-" ID "-"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct trace_ring *r = trace_ring_new(2);
        char a[TRACEPARENT_BYTES];
        char b[TRACEPARENT_BYTES];
        struct trace_ref ref = begin(r, ID, rows[i].in);
        trace_format_traceparent(r, ref, 1, a);
        trace_format_traceparent(r, ref, 2, b);
        g_assert_cmpint(strlen(a), ==, 55);
        g_assert_true(g_str_has_prefix(a, rows[i].prefix));
        g_assert_null(strstr(a, "00f067aa0ba902b7"));
        g_assert_cmpstr(a, !=, b);
        trace_ring_free(r);
    }
}

static void
test_owner_and_spans(void)
{
    struct trace_ring *r = trace_ring_new(2);
    struct trace_ref ref = begin(r, ID, "00-" TRACE_ID "-00f067aa0ba902b7-01");
    struct flow_span s = {.name = "call",
                          .stage = 1,
                          .attempt = 9,
                          .endpoint = STR_LIT("gen-1"),
                          .start_us = 1500,
                          .end_us = 2500,
                          .outcome = "ok"};
    for (int i = 0; i < TRACE_MAX_SPANS + 3; i++) {
        trace_add_span(r, ref, &s);
    }
    trace_end(r, ref, 4000, "ok");
    CLEANUP(buf_free) struct buf out = {0};
    struct str id = STR_LIT(ID);
    g_assert_cmpint(trace_append_json(r, id, STR_LIT("utility"), false, &out),
                    ==, ST_NOT_FOUND);
    g_assert_cmpint(trace_append_json(r, id, STR_LIT(""), false, &out), ==,
                    ST_NOT_FOUND);
    g_assert_cmpint(out.len, ==, 0);
    g_assert_cmpint(trace_append_json(r, id, STR_LIT(""), true, &out), ==,
                    ST_OK);
    buf_clear(&out);
    g_assert_cmpint(trace_append_json(r, id, STR_LIT("board"), false, &out),
                    ==, ST_OK);
    static const char *const parts[] = {
        ("\"trace_id\":\"" TRACE_ID "\""),
        "\"parent_id\":\"00f067aa0ba902b7\"",
        "\"duration_us\":3000",
        "\"dropped_spans\":3",
        "\"start_us\":500,\"duration_us\":1000",
        "\"endpoint\":\"gen-1\"",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
        g_assert_nonnull(strstr(out.ptr, parts[i]));
    }
    /* The span of the call has the id that was sent to the endpoint. */
    char parent[TRACEPARENT_BYTES];
    char span[32];
    trace_format_traceparent(r, ref, 9, parent);
    snprintf(span, sizeof(span), "\"span_id\":\"%.16s\"", parent + 36);
    g_assert_nonnull(strstr(out.ptr, span));
    trace_ring_free(r);
}

static void
test_wraps(void)
{
    struct trace_ring *r = trace_ring_new(2);
    CLEANUP(buf_free) struct buf out = {0};
    struct trace_ref old = begin(r, ID, "");
    begin(r, "a", "");
    begin(r, "b", "");
    struct flow_span s = {.name = "call", .stage = -1};
    trace_add_span(r, old, &s);
    trace_end(r, old, 9, "ok");
    g_assert_cmpint(trace_append_json(r, STR_LIT(ID), STR_LIT(""), true, &out),
                    ==, ST_NOT_FOUND);
    g_assert_cmpint(
        trace_append_json(r, STR_LIT("b"), STR_LIT(""), true, &out), ==,
        ST_OK);
    g_assert_nonnull(strstr(out.ptr, "\"spans\":[]"));
    trace_ring_free(r);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/trace/parent", test_parent);
    g_test_add_func("/trace/owner-and-spans", test_owner_and_spans);
    g_test_add_func("/trace/wraps", test_wraps);
    return g_test_run();
}
