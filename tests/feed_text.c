#include "tests/feed_text.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define MS 1000LL
#define SECOND 1000000LL

static enum feed_key_kind
classify_key(struct str key, struct str *name)
{
    static const struct {
        const char *prefix;
        enum feed_key_kind kind;
    } rows[] = {
        {"e/", FEED_KEY_ENDPOINT},          {"o/zone/", FEED_KEY_ZONE_OUT},
        {"n/capacity/", FEED_KEY_CAPACITY}, {"n/rollout/", FEED_KEY_ROLLOUT},
        {"o/rollout/", FEED_KEY_ORDER},     {"n/", FEED_KEY_NODE}};
    if (str_eq_cstr(key, "o/config")) {
        return FEED_KEY_CONFIGURATION;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        size_t len = strlen(rows[i].prefix);
        if (str_starts_with(key, str_from_cstr(rows[i].prefix))) {
            *name = str_from_bytes(key.ptr + len, key.len - len);
            return rows[i].kind;
        }
    }
    return FEED_KEY_OTHER;
}

static enum status
parse_routing(struct str bytes, struct routing **out)
{
    int64_t version;
    if (!str_to_i64(bytes, &version)) {
        return err_set(ST_INVALID, "not a version");
    }
    struct service s = {.name = str_dup(STR_LIT("pool")),
                        .cold_us = 3 * SECOND};
    *out = routing_new(version);
    routing_add_service(*out, &s);
    return ST_OK;
}

static enum status
parse_endpoint(struct str bytes, struct endpoint_record *out)
{
    char service[32];
    char state[32];
    char text[128];
    long long cold = 0;
    long long born = 0;
    g_snprintf(text, sizeof(text), "%.*s", STR_FMT(bytes));
    if (sscanf(text, "%31s %31s %lld %lld", service, state, &cold, &born) !=
        4) {
        return err_set(ST_INVALID, "unreadable");
    }
    out->service = str_dup(str_from_cstr(service));
    out->address = str_dup(STR_LIT("127.0.0.1:1"));
    out->zone = str_dup(STR_LIT("a"));
    out->draining = strcmp(state, "draining") == 0;
    out->cold_us = cold * MS;
    out->started_ms = born;
    return ST_OK;
}

static void
append_node_key(struct buf *out, struct str name)
{
    buf_printf(out, "n/%.*s", STR_FMT(name));
}

static void
append_capacity_key(struct buf *out, struct str name)
{
    buf_printf(out, "n/capacity/%.*s", STR_FMT(name));
}

/* The text is the target. */
static enum status
parse_order(struct str bytes, struct rollout_order *out)
{
    rollout_copy_name(out->target, bytes);
    out->duration_us = 12 * SECOND;
    return out->target[0] ? ST_OK : err_set(ST_INVALID, "no target");
}

const struct feed_codec feed_text_codec = {
    {STR_LIT("o/"), STR_LIT("e/"), STR_LIT("n/")},
    classify_key,
    parse_routing,
    parse_endpoint,
    append_node_key,
    append_capacity_key,
    parse_order};
