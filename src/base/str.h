/**
 * @file str.h
 * Length-counted strings. struct str is a view or an owned copy, as the
 * comment at its declaration says; struct buf is an owned, growing buffer. The
 * process aborts when memory runs out.
 */
#ifndef BASE_STR_H
#define BASE_STR_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Bytes with a length; only owned strings are always NUL-terminated. */
struct str {
    const char *ptr;
    size_t len;
};

/** A growing byte buffer; ptr[len] is NUL as soon as ptr is not NULL. */
struct buf {
    char *ptr;
    size_t len;
    size_t cap;
};

/** printf arguments for "%.*s". */
#define STR_FMT(s) (int)(s).len, (s).ptr ? (s).ptr : ""

/** A view of a string literal. */
#define STR_LIT(lit) ((struct str){"" lit, sizeof(lit) - 1})

/** Returns a view of a NUL-terminated string; NULL gives the empty string. */
struct str str_from_cstr(const char *s);

/** Returns a view of @p len bytes. */
struct str str_from_bytes(const char *s, size_t len);

/** Returns an owned, NUL-terminated copy; free with str_free. */
struct str str_dup(struct str s);

/** Frees an owned string and empties it. Usable with CLEANUP. */
void str_free(struct str *s);

/** Returns a view without leading blanks, and without trailing blanks and line
 * ends. */
struct str str_trim(struct str s);

/** Decodes base64 into an owned string; empty if @p text is NULL. */
struct str str_from_base64(const char *text);

bool str_eq(struct str a, struct str b);
bool str_eq_cstr(struct str a, const char *b);
int str_cmp(struct str a, struct str b);
bool str_starts_with(struct str s, struct str prefix);

/** Parses a decimal integer that fills the whole string. */
bool str_to_i64(struct str s, int64_t *out);

void buf_append(struct buf *b, const void *p, size_t len);
void buf_append_str(struct buf *b, struct str s);
void buf_printf(struct buf *b, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/** Empties the buffer and keeps its memory. */
void buf_clear(struct buf *b);

/** Frees the buffer's memory. Usable with CLEANUP. */
void buf_free(struct buf *b);

/** Returns a view of the buffer's bytes, valid until the buffer changes. */
struct str buf_str(const struct buf *b);

/** Returns the bytes as an owned string and empties the buffer. */
struct str buf_take_str(struct buf *b);

/** calloc and reallocarray that abort the process when memory runs out. */
void *mem_calloc(size_t count, size_t size);
void *mem_realloc(void *p, size_t count, size_t size);

#endif
