#include "base/str.h"

#include <glib.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void *
mem_calloc(size_t count, size_t size)
{
    void *p = calloc(count ? count : 1, size ? size : 1);
    if (!p) {
        abort();
    }
    return p;
}

void *
mem_realloc(void *p, size_t count, size_t size)
{
    void *q = reallocarray(p, count ? count : 1, size ? size : 1);
    if (!q) {
        abort();
    }
    return q;
}

struct str
str_from_cstr(const char *s)
{
    return (struct str){s ? s : "", s ? strlen(s) : 0};
}

struct str
str_from_bytes(const char *s, size_t len)
{
    return (struct str){s, len};
}

struct str
str_dup(struct str s)
{
    char *p = mem_calloc(s.len + 1, 1);
    if (s.len) {
        memcpy(p, s.ptr, s.len);
    }
    return (struct str){p, s.len};
}

void
str_free(struct str *s)
{
    free((char *)s->ptr);
    *s = (struct str){0};
}

bool
str_eq(struct str a, struct str b)
{
    return a.len == b.len && (a.len == 0 || memcmp(a.ptr, b.ptr, a.len) == 0);
}

bool
str_eq_cstr(struct str a, const char *b)
{
    return str_eq(a, str_from_cstr(b));
}

int
str_cmp(struct str a, struct str b)
{
    size_t n = a.len < b.len ? a.len : b.len;
    int c = n ? memcmp(a.ptr, b.ptr, n) : 0;
    if (c) {
        return c;
    }
    return (a.len > b.len) - (a.len < b.len);
}

bool
str_starts_with(struct str s, struct str prefix)
{
    return s.len >= prefix.len &&
           str_eq((struct str){s.ptr, prefix.len}, prefix);
}

bool
str_to_i64(struct str s, int64_t *out)
{
    char tmp[24];
    if (s.len == 0 || s.len >= sizeof(tmp)) {
        return false;
    }
    memcpy(tmp, s.ptr, s.len);
    tmp[s.len] = 0;
    if (tmp[0] != '-' && (tmp[0] < '0' || tmp[0] > '9')) {
        return false;
    }
    char *end;
    errno = 0;
    long long v = strtoll(tmp, &end, 10);
    if (errno || *end || end == tmp) {
        return false;
    }
    *out = v;
    return true;
}

static void
buf_reserve(struct buf *b, size_t extra)
{
    size_t need = b->len + extra + 1;
    if (need <= b->cap) {
        return;
    }
    size_t cap = b->cap ? b->cap : 64;
    while (cap < need) {
        cap *= 2;
    }
    b->ptr = mem_realloc(b->ptr, cap, 1);
    b->cap = cap;
}

void
buf_append(struct buf *b, const void *p, size_t len)
{
    buf_reserve(b, len);
    if (len) {
        memcpy(b->ptr + b->len, p, len);
    }
    b->len += len;
    b->ptr[b->len] = 0;
}

void
buf_append_str(struct buf *b, struct str s)
{
    buf_append(b, s.ptr, s.len);
}

void
buf_printf(struct buf *b, const char *fmt, ...)
{
    va_list ap;
    va_start(ap, fmt);
    int n = vsnprintf(NULL, 0, fmt, ap);
    va_end(ap);
    if (n < 0) {
        return;
    }
    buf_reserve(b, (size_t)n);
    va_start(ap, fmt);
    vsnprintf(b->ptr + b->len, (size_t)n + 1, fmt, ap);
    va_end(ap);
    b->len += (size_t)n;
}

void
buf_clear(struct buf *b)
{
    b->len = 0;
    if (b->ptr) {
        b->ptr[0] = 0;
    }
}

void
buf_free(struct buf *b)
{
    free(b->ptr);
    *b = (struct buf){0};
}

struct str
buf_str(const struct buf *b)
{
    return (struct str){b->ptr ? b->ptr : "", b->len};
}

struct str
buf_take_str(struct buf *b)
{
    if (!b->ptr) {
        return str_dup(STR_LIT(""));
    }
    struct str s = {b->ptr, b->len};
    *b = (struct buf){0};
    return s;
}

struct str
str_trim(struct str s)
{
    while (s.len && (*s.ptr == ' ' || *s.ptr == '\t')) {
        s.ptr++;
        s.len--;
    }
    while (s.len && strchr("\r\n\t ", s.ptr[s.len - 1])) {
        s.len--;
    }
    return s;
}

struct str
str_from_base64(const char *text)
{
    gsize n = 0;
    guchar *raw = g_base64_decode(text ? text : "", &n);
    struct str s = str_dup(str_from_bytes((char *)raw, n));
    g_free(raw);
    return s;
}
