#include "settings/settings.h"

#include <glib.h>
#include <stddef.h>
#include <string.h>
#include <zmq.h>

#include "base/address.h"
#include "base/clean.h"
#include "settings/fields.h"

#define OFFSET(member) offsetof(struct settings, member)

/* Callers connect through a load balancer, so that many callers share one
 * address: the limit per caller is off (0) by default. */
static const struct settings_field fields[] = {
    {"node", "name", FIELD_TEXT, OFFSET(name), 1, 63, 0, NULL},
    {"node", "zone", FIELD_TEXT, OFFSET(zone), 1, 63, 0, NULL},
    {"node", "region", FIELD_TEXT, OFFSET(region), 1, 63, 0, NULL},
    {"node", "seed", FIELD_SEED, OFFSET(seed), 0, INT64_MAX, 0, NULL},
    {"http", "address", FIELD_TEXT, OFFSET(listen_address), 1, 63, 0,
     "0.0.0.0"},
    {"http", "port", FIELD_INT, OFFSET(listen_port), 0, 65535, 8080, NULL},
    {"http", "tls_cert", FIELD_TEXT, OFFSET(tls_cert), 0, 4095, 0, ""},
    {"http", "tls_key", FIELD_TEXT, OFFSET(tls_key), 0, 4095, 0, ""},
    {"http", "plain", FIELD_BOOL, OFFSET(plain_http), 0, 1, 0, NULL},
    {"http", "max_connections", FIELD_INT, OFFSET(max_connections), 1, 100000,
     1024, NULL},
    {"http", "max_connections_per_caller", FIELD_INT,
     OFFSET(max_connections_per_caller), 0, 100000, 0, NULL},
    {"http", "receive_timeout_ms", FIELD_INT, OFFSET(receive_timeout_ms), 100,
     600000, 10000, NULL},
    {"http", "max_header_bytes", FIELD_INT, OFFSET(max_header_bytes), 1024,
     1048576, 16384, NULL},
    {"traffic", "threads", FIELD_INT, OFFSET(traffic_threads), 1, 64, 1, NULL},
    {"link", "address", FIELD_TEXT, OFFSET(link_bound_address), 1, 127, 0,
     NULL},
    {"link", "public_key", FIELD_TEXT, OFFSET(link_public_key), 0, 127, 0, ""},
    {"link", "secret_key", FIELD_TEXT, OFFSET(link_secret_key), 0, 127, 0, ""},
    {"store", "writes_per_s", FIELD_INT, OFFSET(store_writes_per_s), 1, 100000,
     300, NULL},
    {"store", "reads_per_s", FIELD_INT, OFFSET(store_reads_per_s), 1, 100000,
     1500, NULL},
    {"claims", "buckets", FIELD_INT, OFFSET(claim_buckets), 1, 4096, 256,
     NULL},
    {"drain", "balancer_wait_ms", FIELD_INT, OFFSET(balancer_wait_ms), 0,
     600000, 5000, NULL},
    {"drain", "limit_ms", FIELD_INT, OFFSET(drain_limit_ms), 0, 3600000, 30000,
     NULL},
    {"limits", "memory_mb", FIELD_ROUNDED_INT, OFFSET(memory_mb), 0, 1048576,
     0, NULL},
    {"limits", "files", FIELD_ROUNDED_INT, OFFSET(files), 0, 1048576, 0, NULL},
    {"log", "level", FIELD_TEXT, OFFSET(log_level), 0, 15, 0, "info"},
};

/* Keys with arrays as values, which read_peers and read_store_urls read. */
static const char *const other_keys[] = {"link.peer", "store.urls", NULL};

static bool
is_wildcard_ip(struct str ip)
{
    return str_eq_cstr(ip, "0.0.0.0") || str_eq_cstr(ip, "::") ||
           str_eq_cstr(ip, "[::]");
}

static bool
is_loopback(struct str ip)
{
    return str_starts_with(ip, STR_LIT("127.")) || str_eq_cstr(ip, "::1") ||
           str_eq_cstr(ip, "[::1]");
}

static bool
is_z85_key(struct str s)
{
    uint8_t raw[32];
    char tmp[41];
    if (s.len != 40) {
        return false;
    }
    memcpy(tmp, s.ptr, 40);
    tmp[40] = 0;
    return zmq_z85_decode(raw, tmp) != NULL;
}

static void
read_peer(struct settings_report *c, size_t i, json_t *v, struct settings *s)
{
    char at[64];
    struct settings_peer *p = &s->peers[s->peer_count++];
    static const char *const keys[] = {"name", "address", "public_key"};
    struct str *const to[] = {&p->name, &p->address, &p->public_key};
    const char *key;
    json_t *unused;
    json_object_foreach(v, key, unused)
    {
        if (strcmp(key, "name") != 0 && strcmp(key, "address") != 0 &&
            strcmp(key, "public_key") != 0) {
            char name[256];
            snprintf(name, sizeof(name), "link.peer[%zu].%s", i, key);
            settings_report_error(c, name, "unknown key");
        }
    }
    for (int k = 0; k < 3; k++) {
        json_t *t = json_object_get(v, keys[k]);
        snprintf(at, sizeof(at), "link.peer[%zu].%s", i, keys[k]);
        if (t && !json_is_string(t)) {
            settings_report_error(c, at, "must be a string");
        }
        else if (!t && k < 2) {
            settings_report_error(c, at, "must be given");
        }
        *to[k] =
            str_dup(json_is_string(t) ? settings_json_text(t) : STR_LIT(""));
    }
}

static void
read_peers(struct settings_report *c, json_t *list, struct settings *s)
{
    if (list && !json_is_array(list)) {
        settings_report_error(c, "link.peer", "must be an array of tables");
        return;
    }
    if (json_array_size(list) > SETTINGS_MAX_PEERS) {
        settings_report_error(c, "link.peer", "must have at most %d entries",
                              SETTINGS_MAX_PEERS);
        return;
    }
    size_t i;
    json_t *v;
    s->peers = mem_calloc(json_array_size(list), sizeof(struct settings_peer));
    json_array_foreach(list, i, v)
    {
        read_peer(c, i, v, s);
    }
}

static void
read_store_urls(struct settings_report *c, json_t *list, struct settings *s)
{
    size_t n = json_array_size(list);
    if (n < 1 || n > 16) {
        settings_report_error(c, "store.urls",
                              "must be a list of 1 to 16 URLs");
        return;
    }
    s->store_urls = mem_calloc(n, sizeof(struct str));
    for (size_t i = 0; i < n; i++) {
        struct str url = settings_json_text(json_array_get(list, i));
        struct str ip;
        int port;
        if (!address_split_url(url, "http://", &ip, &port) &&
            !address_split_url(url, "https://", &ip, &port)) {
            char at[64];
            snprintf(at, sizeof(at), "store.urls[%zu]", i);
            settings_report_error(c, at,
                                  "must be http://IP:PORT or https://IP:PORT");
        }
        s->store_urls[s->store_url_count++] = str_dup(url);
    }
}

static void
validate_http(struct settings_report *c, const struct settings *s)
{
    if (!address_is_ip(s->listen_address)) {
        settings_report_error(c, "http.address", "must be an IP number");
    }
    bool tls = s->tls_cert.len || s->tls_key.len;
    if (s->tls_key.len && !s->tls_cert.len) {
        settings_report_error(c, "http.tls_key", "needs http.tls_cert");
    }
    if (s->tls_cert.len && !s->tls_key.len) {
        settings_report_error(c, "http.tls_cert", "needs http.tls_key");
    }
    if (!tls && !s->plain_http) {
        settings_report_error(
            c, "http.plain",
            "needs tls_cert and tls_key, or plain = true for plain HTTP");
    }
    if (tls && s->plain_http) {
        settings_report_error(c, "http.plain",
                              "contradicts tls_cert and tls_key");
    }
    if (s->max_connections_per_caller > s->max_connections) {
        settings_report_error(c, "http.max_connections_per_caller",
                              "must not exceed http.max_connections");
    }
}

static void
validate_link_keys(struct settings_report *c, const struct settings *s)
{
    struct str public = s->link_public_key;
    struct str secret = s->link_secret_key;
    char derived[41];
    if (public.len && !is_z85_key(public)) {
        settings_report_error(c, "link.public_key",
                              "must be 40 Z85 characters");
    }
    if (secret.len && !is_z85_key(secret)) {
        settings_report_error(c, "link.secret_key",
                              "must be 40 Z85 characters");
    }
    if (!public.len != !secret.len) {
        settings_report_error(c, "link.public_key",
                              "public_key and secret_key need each other");
    }
    else if (is_z85_key(public) && is_z85_key(secret) &&
             zmq_curve_public(derived, secret.ptr) == 0 &&
             !str_eq_cstr(public, derived)) {
        settings_report_error(c, "link.public_key",
                              "does not belong to link.secret_key");
    }
}

static void
validate_peer(struct settings_report *c, const struct settings *s, int i)
{
    const struct settings_peer *p = &s->peers[i];
    struct str ip;
    int port;
    char at[64];
    snprintf(at, sizeof(at), "link.peer[%d].name", i);
    if (p->name.len && str_eq(p->name, s->name)) {
        settings_report_error(c, at, "is the node's own name");
    }
    for (int k = 0; k < i; k++) {
        if (p->name.len && str_eq(p->name, s->peers[k].name)) {
            settings_report_error(c, at, "is the name of link.peer[%d] too",
                                  k);
        }
    }
    snprintf(at, sizeof(at), "link.peer[%d].address", i);
    if (p->address.len &&
        !address_split_url(p->address, "tcp://", &ip, &port)) {
        settings_report_error(c, at, "must be tcp://IP:PORT");
    }
    else if (p->address.len && str_eq(p->address, s->link_bound_address)) {
        settings_report_error(c, at, "is the node's own address");
    }
    snprintf(at, sizeof(at), "link.peer[%d].public_key", i);
    if (p->public_key.len && !is_z85_key(p->public_key)) {
        settings_report_error(c, at, "must be 40 Z85 characters");
    }
    if (s->link_secret_key.len && !p->public_key.len) {
        settings_report_error(c, at,
                              "must be given, since the node has a key pair");
    }
    if (!s->link_secret_key.len && p->public_key.len) {
        settings_report_error(c, at,
                              "needs link.public_key and link.secret_key");
    }
}

static void
validate_link(struct settings_report *c, const struct settings *s)
{
    struct str ip;
    int port;
    if (s->link_bound_address.len) {
        if (!address_split_url(s->link_bound_address, "tcp://", &ip, &port)) {
            settings_report_error(c, "link.address", "must be tcp://IP:PORT");
        }
        else {
            if (is_wildcard_ip(ip)) {
                settings_report_error(
                    c, "link.address",
                    "must be an address at which other nodes reach this "
                    "one");
            }
            if (port == s->listen_port &&
                (str_eq(ip, s->listen_address) ||
                 is_wildcard_ip(s->listen_address))) {
                settings_report_error(c, "link.address",
                                      "is the address and port of [http]");
            }
            if (!s->link_secret_key.len && !is_loopback(ip)) {
                settings_report_error(
                    c, "link.secret_key",
                    "must be given unless link.address is loopback");
            }
        }
    }
    validate_link_keys(c, s);
    for (int i = 0; i < s->peer_count; i++) {
        validate_peer(c, s, i);
    }
}

static void
json_cleanup(json_t **v)
{
    json_decref(*v);
}

enum status
settings_parse(struct str toml, const char *path, struct settings *out,
               struct buf *errors)
{
    struct settings_report c = {path, errors, 0};
    *out = (struct settings){0};
    CLEANUP(json_cleanup) json_t *doc = settings_read_toml(&c, toml);
    if (!doc) {
        return ST_INVALID;
    }
    settings_read_fields(&c, fields, G_N_ELEMENTS(fields), other_keys, doc,
                         out);
    read_peers(&c, json_object_get(json_object_get(doc, "link"), "peer"), out);
    read_store_urls(&c, json_object_get(json_object_get(doc, "store"), "urls"),
                    out);
    validate_http(&c, out);
    validate_link(&c, out);
    settings_check_log_level(&c, out->log_level);
    if (c.error_count) {
        settings_free(out);
        return err_set(ST_INVALID, "%s has %d faults", path, c.error_count);
    }
    return ST_OK;
}

enum status
settings_load(const char *path, struct settings *out, struct buf *errors)
{
    gchar *text = NULL;
    gsize len = 0;
    *out = (struct settings){0};
    if (settings_read_file(path, &text, &len, errors) != ST_OK) {
        return ST_IO;
    }
    enum status st =
        settings_parse(str_from_bytes(text, len), path, out, errors);
    g_free(text);
    return st;
}

void
settings_free(struct settings *s)
{
    settings_free_fields(fields, G_N_ELEMENTS(fields), s);
    for (int i = 0; i < s->peer_count; i++) {
        str_free(&s->peers[i].name);
        str_free(&s->peers[i].address);
        str_free(&s->peers[i].public_key);
    }
    for (int i = 0; i < s->store_url_count; i++) {
        str_free(&s->store_urls[i]);
    }
    free(s->peers);
    free(s->store_urls);
    *s = (struct settings){0};
}
