#include "tests/byte_targets.h"

#include <stdlib.h>
#include <string.h>

#include "base/clean.h"
#include "control/claim_record.h"
#include "control/roster.h"
#include "edge/sse.h"
#include "model/cluster_view.h"
#include "model/edit.h"
#include "model/fleet.h"
#include "model/vmlist.h"
#include "platform/platform.h"
#include "settings/settings.h"
#include "wire/msg.h"

const char *
byte_target_name(enum byte_target t)
{
    static const char *const names[] = {
#define X(name) [BYTE_##name] = #name,
        BYTE_TARGET_LIST(X)
#undef X
    };
    return names[t];
}

/* A message that decodes must decode to the same type after encoding. */
static void
run_msg(struct str in)
{
    struct msg m;
    struct msg back;
    CLEANUP(buf_free) struct buf out = {0};
    if (msg_decode(in, &m) != ST_OK) {
        return;
    }
    msg_encode(&m, &out);
    if (msg_decode(buf_str(&out), &back) != ST_OK || back.type != m.type) {
        abort();
    }
}

static void
run_claim_record(struct str in)
{
    struct claim_header h;
    struct claim_entry e;
    size_t offset;
    if (claim_header_decode(in, &h, &offset) != ST_OK) {
        return;
    }
    while (claim_entry_decode(in, &offset, &e) == ST_OK) {
        if (offset > in.len) {
            abort();
        }
    }
}

static void
run_settings(struct str in, struct buf *errors)
{
    struct settings s;
    if (settings_parse(in, "input", &s, errors) == ST_OK) {
        settings_free(&s);
    }
}

static void
run_fleet(struct str in, struct buf *errors)
{
    struct fleet *f = NULL;
    if (fleet_parse(in, &f, errors) == ST_OK) {
        fleet_free(f);
    }
}

static void
run_vmlist(struct str in, struct buf *errors)
{
    struct vmlist *v = NULL;
    if (vmlist_parse(in, &v, errors) == ST_OK) {
        vmlist_free(v);
    }
}

static void
run_roster(struct str in)
{
    struct roster *r = NULL;
    if (roster_parse(in, &r) == ST_OK) {
        roster_free(r);
    }
}

static void
run_edit(struct str in, struct buf *errors)
{
    struct edit *e = NULL;
    CLEANUP(buf_free) struct buf out = {0};
    if (edit_parse(in, false, &e, errors) == ST_OK) {
        edit_apply(e, STR_LIT("{\"defaults\":{},\"pools\":{}}"), 3, &out,
                   errors);
        edit_free(e);
    }
}

static bool
on_event(void *ctx, struct str data)
{
    struct sse_token t;
    (void)ctx;
    if (sse_token(data, &t)) {
        str_free(&t.text);
    }
    return true;
}

static void
run_sse(struct str in)
{
    struct sse s = {0};
    size_t half = in.len / 2;
    if (sse_parse(&s, in.ptr, half, on_event, NULL)) {
        sse_parse(&s, in.ptr + half, in.len - half, on_event, NULL);
    }
    sse_free(&s);
}

static void
run_platform_endpoint(struct str in)
{
    struct endpoint_record e = {0};
    if (platform_codec.endpoint(in, &e) == ST_OK) {
        endpoint_record_free(&e);
    }
    cluster_view_is_registration(in);
}

static void
run_platform_routing(struct str in)
{
    struct routing *r = NULL;
    if (platform_codec.routing(in, &r) == ST_OK) {
        routing_find_route(r, in, in);
        routing_unref(r);
    }
}

static void
run_platform_reply(struct str in)
{
    struct piece_result results[4];
    int n = platform_read_piece_results(in, results, 4);
    if (n > 4 || platform_read_free_memory(in) < -1) {
        abort();
    }
    platform_free_piece_results(results, n);
}

/* Reads lines "Name: value" as the headers of a request and of a response. */
static void
run_platform_headers(struct str in)
{
    struct http_header headers[PLATFORM_MAX_HEADERS];
    struct http_in_request request = {.headers = headers};
    struct forward_request r;
    struct response_meta meta;
    int n = 0;
    while (in.len > 0 && n < PLATFORM_MAX_HEADERS) {
        const char *end = memchr(in.ptr, '\n', in.len);
        size_t len = end ? (size_t)(end - in.ptr) : in.len;
        const char *colon = memchr(in.ptr, ':', len);
        size_t name = colon ? (size_t)(colon - in.ptr) : len;
        headers[n].name = str_from_bytes(in.ptr, name);
        headers[n++].value = str_trim(str_from_bytes(
            in.ptr + name + (colon != NULL), len - name - (colon != NULL)));
        in = str_from_bytes(in.ptr + len + (end != NULL),
                            in.len - len - (end != NULL));
    }
    request.header_count = n;
    platform_read_request(&request, &r);
    platform_read_response_headers(503, headers, n, r.request_id, &meta);
}

void
byte_target_run(enum byte_target t, struct str in)
{
    CLEANUP(buf_free) struct buf errors = {0};
    switch (t) {
    case BYTE_msg:
        run_msg(in);
        break;
    case BYTE_claim_record:
        run_claim_record(in);
        break;
    case BYTE_settings:
        run_settings(in, &errors);
        break;
    case BYTE_fleet:
        run_fleet(in, &errors);
        break;
    case BYTE_vmlist:
        run_vmlist(in, &errors);
        break;
    case BYTE_roster:
        run_roster(in);
        break;
    case BYTE_edit:
        run_edit(in, &errors);
        break;
    case BYTE_sse:
        run_sse(in);
        break;
    case BYTE_platform_endpoint:
        run_platform_endpoint(in);
        break;
    case BYTE_platform_routing:
        run_platform_routing(in);
        break;
    case BYTE_platform_reply:
        run_platform_reply(in);
        break;
    case BYTE_platform_headers:
        run_platform_headers(in);
        break;
    case BYTE_TARGET_COUNT:
        break;
    }
}
