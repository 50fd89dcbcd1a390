#include "settings/settings.h"

#include <arpa/inet.h>
#include <glib.h>
#include <inttypes.h>
#include <stddef.h>
#include <string.h>
#include <zmq.h>

#include "base/clean.h"
#include "settings/toml.h"

enum field_kind { TEXT, INT, BOOL, SEED };

struct field {
    const char *table;
    const char *key;
    enum field_kind kind;
    size_t offset;
    int64_t lo;
    int64_t hi;
    int64_t number;   /* default of INT, BOOL, SEED */
    const char *text; /* default of TEXT; NULL: must be given */
};

#define AT(member) offsetof(struct settings, member)

/* Callers come through a load balancer, so that one address stands for many
 * of them: the limit per caller is off (0) unless asked for. */
static const struct field fields[] = {
    {"node", "name", TEXT, AT(name), 1, 63, 0, NULL},
    {"node", "zone", TEXT, AT(zone), 1, 63, 0, NULL},
    {"node", "region", TEXT, AT(region), 1, 63, 0, NULL},
    {"node", "seed", SEED, AT(seed), 0, INT64_MAX, 0, NULL},
    {"http", "address", TEXT, AT(listen_address), 1, 63, 0, "0.0.0.0"},
    {"http", "port", INT, AT(listen_port), 0, 65535, 8080, NULL},
    {"http", "tls_cert", TEXT, AT(tls_cert), 0, 4095, 0, ""},
    {"http", "tls_key", TEXT, AT(tls_key), 0, 4095, 0, ""},
    {"http", "plain", BOOL, AT(plain_http), 0, 1, 0, NULL},
    {"http", "max_connections", INT, AT(max_connections), 1, 100000, 1024,
     NULL},
    {"http", "max_connections_per_caller", INT, AT(max_connections_per_caller),
     0, 100000, 0, NULL},
    {"http", "receive_timeout_ms", INT, AT(receive_timeout_ms), 100, 600000,
     10000, NULL},
    {"http", "max_header_bytes", INT, AT(max_header_bytes), 1024, 1048576,
     16384, NULL},
    {"traffic", "threads", INT, AT(traffic_threads), 1, 64, 1, NULL},
    {"link", "address", TEXT, AT(link_address), 1, 127, 0, NULL},
    {"link", "public_key", TEXT, AT(link_public), 0, 127, 0, ""},
    {"link", "secret_key", TEXT, AT(link_secret), 0, 127, 0, ""},
    {"store", "writes_per_s", INT, AT(store_writes_per_s), 1, 100000, 300,
     NULL},
    {"store", "reads_per_s", INT, AT(store_reads_per_s), 1, 100000, 1500,
     NULL},
    {"claims", "buckets", INT, AT(claim_buckets), 1, 4096, 256, NULL},
    {"drain", "balancer_wait_ms", INT, AT(balancer_wait_ms), 0, 600000, 5000,
     NULL},
    {"drain", "limit_ms", INT, AT(drain_limit_ms), 0, 3600000, 30000, NULL},
    {"log", "level", TEXT, AT(log_level), 0, 15, 0, "info"},
};

/* Keys that are not single values; read by functions of their own. */
static const char *const other_keys[] = {"link.peer", "store.urls"};

struct check {
    const char *path;
    struct buf *errors;
    int faults;
};

static void fault(struct check *c, const char *key, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

static void
fault(struct check *c, const char *key, const char *fmt, ...)
{
    char why[256];
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(why, sizeof(why), fmt, ap);
    va_end(ap);
    buf_printf(c->errors, "%s: %s: %s\n", c->path, key, why);
    c->faults++;
}

static struct str
text_of(const json_t *v)
{
    return str_of(json_string_value(v), json_string_length(v));
}

static bool
known_table(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        if (strcmp(fields[i].table, name) == 0) {
            return true;
        }
    }
    return false;
}

static bool
known_key(const char *table, const char *key)
{
    char name[256];
    snprintf(name, sizeof(name), "%s.%s", table, key);
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        if (strcmp(fields[i].table, table) == 0 &&
            strcmp(fields[i].key, key) == 0) {
            return true;
        }
    }
    for (size_t i = 0; i < G_N_ELEMENTS(other_keys); i++) {
        if (strcmp(other_keys[i], name) == 0) {
            return true;
        }
    }
    return false;
}

static void
check_names(struct check *c, json_t *doc)
{
    const char *table;
    const char *key;
    json_t *obj;
    json_t *v;
    json_object_foreach(doc, table, obj)
    {
        if (!known_table(table)) {
            fault(c, table, "unknown table");
            continue;
        }
        if (!json_is_object(obj)) {
            fault(c, table, "must be a table");
            continue;
        }
        json_object_foreach(obj, key, v)
        {
            if (!known_key(table, key)) {
                char name[256];
                snprintf(name, sizeof(name), "%s.%s", table, key);
                fault(c, name, "unknown key");
            }
        }
    }
}

static void
read_text(struct check *c, const struct field *f, const char *name,
          const json_t *v, struct str *out)
{
    struct str s = str_from(f->text);
    if (!v && !f->text) {
        fault(c, name, "must be given");
    }
    else if (v && !json_is_string(v)) {
        fault(c, name, "must be a string");
    }
    else if (v) {
        s = text_of(v);
        if ((int64_t)s.len < f->lo || (int64_t)s.len > f->hi ||
            memchr(s.ptr, 0, s.len)) {
            fault(c, name,
                  "must have %" PRId64 " to %" PRId64 " bytes, without NUL",
                  f->lo, f->hi);
            s = str_from(f->text);
        }
    }
    *out = str_dup(s);
}

static int64_t
read_int(struct check *c, const struct field *f, const char *name,
         const json_t *v)
{
    if (!v) {
        return f->number;
    }
    if (!json_is_integer(v)) {
        fault(c, name, "must be an integer");
        return f->number;
    }
    int64_t n = json_integer_value(v);
    if (n < f->lo || n > f->hi) {
        fault(c, name, "must be from %" PRId64 " to %" PRId64, f->lo, f->hi);
        return f->number;
    }
    return n;
}

static void
read_field(struct check *c, const struct field *f, json_t *doc,
           struct settings *out)
{
    char name[128];
    snprintf(name, sizeof(name), "%s.%s", f->table, f->key);
    json_t *v = json_object_get(json_object_get(doc, f->table), f->key);
    void *at = (char *)out + f->offset;
    switch (f->kind) {
    case TEXT:
        read_text(c, f, name, v, at);
        break;
    case INT:
        *(int *)at = (int)read_int(c, f, name, v);
        break;
    case SEED:
        *(uint64_t *)at = (uint64_t)read_int(c, f, name, v);
        break;
    case BOOL:
        if (v && !json_is_boolean(v)) {
            fault(c, name, "must be true or false");
        }
        *(bool *)at = v ? json_is_true(v) : f->number;
        break;
    }
}

/* An IP number as text, IPv6 with or without brackets. */
static bool
is_ip(struct str s)
{
    unsigned char raw[16];
    char tmp[64];
    if (s.len > 2 && s.ptr[0] == '[' && s.ptr[s.len - 1] == ']') {
        s = str_of(s.ptr + 1, s.len - 2);
    }
    if (s.len == 0 || s.len >= sizeof(tmp)) {
        return false;
    }
    memcpy(tmp, s.ptr, s.len);
    tmp[s.len] = 0;
    return inet_pton(AF_INET, tmp, raw) == 1 ||
           inet_pton(AF_INET6, tmp, raw) == 1;
}

/* Splits "SCHEME://IP:PORT". */
static bool
split_address(struct str s, const char *scheme, struct str *ip, int *port)
{
    struct str prefix = str_from(scheme);
    if (!str_starts(s, prefix)) {
        return false;
    }
    struct str rest = str_of(s.ptr + prefix.len, s.len - prefix.len);
    size_t colon = rest.len;
    while (colon > 0 && rest.ptr[colon - 1] != ':') {
        colon--;
    }
    if (colon == 0) {
        return false;
    }
    int64_t n;
    *ip = str_of(rest.ptr, colon - 1);
    if (!is_ip(*ip) ||
        !str_to_i64(str_of(rest.ptr + colon, rest.len - colon), &n) || n < 1 ||
        n > 65535) {
        return false;
    }
    *port = (int)n;
    return true;
}

static bool
is_any(struct str ip)
{
    return str_eq_c(ip, "0.0.0.0") || str_eq_c(ip, "::") ||
           str_eq_c(ip, "[::]");
}

static bool
is_loopback(struct str ip)
{
    return str_starts(ip, STR_LIT("127.")) || str_eq_c(ip, "::1") ||
           str_eq_c(ip, "[::1]");
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
read_peer(struct check *c, size_t i, json_t *v, struct settings *s)
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
            fault(c, name, "unknown key");
        }
    }
    for (int k = 0; k < 3; k++) {
        json_t *t = json_object_get(v, keys[k]);
        snprintf(at, sizeof(at), "link.peer[%zu].%s", i, keys[k]);
        if (t && !json_is_string(t)) {
            fault(c, at, "must be a string");
        }
        else if (!t && k < 2) {
            fault(c, at, "must be given");
        }
        *to[k] = str_dup(json_is_string(t) ? text_of(t) : STR_LIT(""));
    }
}

static void
read_peers(struct check *c, json_t *list, struct settings *s)
{
    if (list && !json_is_array(list)) {
        fault(c, "link.peer", "must be an array of tables");
        return;
    }
    if (json_array_size(list) > SETTINGS_MAX_PEERS) {
        fault(c, "link.peer", "must have at most %d entries",
              SETTINGS_MAX_PEERS);
        return;
    }
    size_t i;
    json_t *v;
    s->peers = mem_zero(json_array_size(list), sizeof(struct settings_peer));
    json_array_foreach(list, i, v)
    {
        read_peer(c, i, v, s);
    }
}

static void
read_urls(struct check *c, json_t *list, struct settings *s)
{
    size_t n = json_array_size(list);
    if (n < 1 || n > 16) {
        fault(c, "store.urls", "must be a list of 1 to 16 URLs");
        return;
    }
    s->store_urls = mem_zero(n, sizeof(struct str));
    for (size_t i = 0; i < n; i++) {
        struct str url = text_of(json_array_get(list, i));
        struct str ip;
        int port;
        if (!split_address(url, "http://", &ip, &port) &&
            !split_address(url, "https://", &ip, &port)) {
            char at[64];
            snprintf(at, sizeof(at), "store.urls[%zu]", i);
            fault(c, at, "must be http://IP:PORT or https://IP:PORT");
        }
        s->store_urls[s->store_url_count++] = str_dup(url);
    }
}

static void
check_http(struct check *c, const struct settings *s)
{
    if (!is_ip(s->listen_address)) {
        fault(c, "http.address", "must be an IP number");
    }
    bool tls = s->tls_cert.len || s->tls_key.len;
    if (s->tls_key.len && !s->tls_cert.len) {
        fault(c, "http.tls_key", "needs http.tls_cert");
    }
    if (s->tls_cert.len && !s->tls_key.len) {
        fault(c, "http.tls_cert", "needs http.tls_key");
    }
    if (!tls && !s->plain_http) {
        fault(c, "http.plain",
              "needs tls_cert and tls_key, or plain = true for plain HTTP");
    }
    if (tls && s->plain_http) {
        fault(c, "http.plain", "contradicts tls_cert and tls_key");
    }
    if (s->max_connections_per_caller > s->max_connections) {
        fault(c, "http.max_connections_per_caller",
              "must not exceed http.max_connections");
    }
}

static void
check_keys(struct check *c, const struct settings *s)
{
    struct str public = s->link_public;
    struct str secret = s->link_secret;
    char derived[41];
    if (public.len && !is_z85_key(public)) {
        fault(c, "link.public_key", "must be 40 Z85 characters");
    }
    if (secret.len && !is_z85_key(secret)) {
        fault(c, "link.secret_key", "must be 40 Z85 characters");
    }
    if (!public.len != !secret.len) {
        fault(c, "link.public_key",
              "public_key and secret_key need each other");
    }
    else if (is_z85_key(public) && is_z85_key(secret) &&
             zmq_curve_public(derived, secret.ptr) == 0 &&
             !str_eq_c(public, derived)) {
        fault(c, "link.public_key", "does not belong to link.secret_key");
    }
}

static void
check_peer(struct check *c, const struct settings *s, int i)
{
    const struct settings_peer *p = &s->peers[i];
    struct str ip;
    int port;
    char at[64];
    snprintf(at, sizeof(at), "link.peer[%d].name", i);
    if (p->name.len && str_eq(p->name, s->name)) {
        fault(c, at, "is the node's own name");
    }
    for (int k = 0; k < i; k++) {
        if (p->name.len && str_eq(p->name, s->peers[k].name)) {
            fault(c, at, "is the name of link.peer[%d] too", k);
        }
    }
    snprintf(at, sizeof(at), "link.peer[%d].address", i);
    if (p->address.len && !split_address(p->address, "tcp://", &ip, &port)) {
        fault(c, at, "must be tcp://IP:PORT");
    }
    else if (p->address.len && str_eq(p->address, s->link_address)) {
        fault(c, at, "is the node's own address");
    }
    snprintf(at, sizeof(at), "link.peer[%d].public_key", i);
    if (p->public_key.len && !is_z85_key(p->public_key)) {
        fault(c, at, "must be 40 Z85 characters");
    }
    if (s->link_secret.len && !p->public_key.len) {
        fault(c, at, "must be given, since the node has a key pair");
    }
    if (!s->link_secret.len && p->public_key.len) {
        fault(c, at, "needs link.public_key and link.secret_key");
    }
}

static void
check_link(struct check *c, const struct settings *s)
{
    struct str ip;
    int port;
    if (s->link_address.len) {
        if (!split_address(s->link_address, "tcp://", &ip, &port)) {
            fault(c, "link.address", "must be tcp://IP:PORT");
        }
        else {
            if (is_any(ip)) {
                fault(c, "link.address",
                      "must be an address at which other nodes reach this "
                      "one");
            }
            if (port == s->listen_port &&
                (str_eq(ip, s->listen_address) || is_any(s->listen_address))) {
                fault(c, "link.address", "is the address and port of [http]");
            }
            if (!s->link_secret.len && !is_loopback(ip)) {
                fault(c, "link.secret_key",
                      "must be given unless link.address is loopback");
            }
        }
    }
    check_keys(c, s);
    for (int i = 0; i < s->peer_count; i++) {
        check_peer(c, s, i);
    }
}

static void
check_level(struct check *c, const struct settings *s)
{
    static const char *const levels[] = {"debug", "info", "warn", "error"};
    for (size_t i = 0; i < G_N_ELEMENTS(levels); i++) {
        if (str_eq_c(s->log_level, levels[i])) {
            return;
        }
    }
    fault(c, "log.level", "must be debug, info, warn or error");
}

static void
decref(json_t **v)
{
    json_decref(*v);
}

enum status
settings_parse(struct str toml, const char *path, struct settings *out,
               struct buf *errors)
{
    struct check c = {path, errors, 0};
    struct toml_fault tf = {0};
    *out = (struct settings){0};
    CLEAN(decref) json_t *doc = toml_to_json(toml.ptr, toml.len, &tf);
    if (!doc) {
        buf_printf(errors, "%s: line %d, column %d: %s\n", path, tf.line,
                   tf.column, tf.message);
        return err_set(ST_INVALID, "%s is not TOML", path);
    }
    check_names(&c, doc);
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        read_field(&c, &fields[i], doc, out);
    }
    read_peers(&c, json_object_get(json_object_get(doc, "link"), "peer"), out);
    read_urls(&c, json_object_get(json_object_get(doc, "store"), "urls"), out);
    check_http(&c, out);
    check_link(&c, out);
    check_level(&c, out);
    if (c.faults) {
        settings_free(out);
        return err_set(ST_INVALID, "%s has %d faults", path, c.faults);
    }
    return ST_OK;
}

enum status
settings_load(const char *path, struct settings *out, struct buf *errors)
{
    gchar *text = NULL;
    gsize len = 0;
    GError *e = NULL;
    *out = (struct settings){0};
    if (!g_file_get_contents(path, &text, &len, &e)) {
        buf_printf(errors, "%s: cannot be read: %s\n", path, e->message);
        g_error_free(e);
        return err_set(ST_IO, "%s cannot be read", path);
    }
    enum status st = settings_parse(str_of(text, len), path, out, errors);
    g_free(text);
    return st;
}

void
settings_free(struct settings *s)
{
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        if (fields[i].kind == TEXT) {
            str_free((struct str *)((char *)s + fields[i].offset));
        }
    }
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
