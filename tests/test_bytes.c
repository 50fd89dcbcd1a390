/* Feeds the committed corpus and seeded mutations of it to every decoder.
 * Guards against crashes, leaks and reads out of bounds on hostile bytes;
 * the sanitizer builds detect the leaks and reads. */
#include <glib.h>
#include <string.h>

#include "base/clean.h"
#include "base/rng.h"
#include "tests/byte_targets.h"

#define MUTATIONS_PER_FILE 400

/* Makes up to four edits: each flips a bit, replaces a byte, removes up to 8
 * bytes or appends a copy of up to 8 bytes. */
static void
mutate(struct rng *rng, struct str in, struct buf *out)
{
    buf_clear(out);
    buf_append_str(out, in);
    int edits = 1 + (int)rng_below(rng, 4);
    for (int i = 0; i < edits && out->len > 1; i++) {
        size_t offset = rng_below(rng, out->len);
        size_t n = 1 + rng_below(rng, 8);
        n = offset + n > out->len ? out->len - offset : n;
        switch (rng_below(rng, 4)) {
        case 0:
            out->ptr[offset] ^= (char)(1 << rng_below(rng, 8));
            break;
        case 1:
            out->ptr[offset] = (char)rng_next(rng);
            break;
        case 2:
            memmove(out->ptr + offset, out->ptr + offset + n,
                    out->len - offset - n);
            out->len -= n;
            break;
        default: {
            char copy[8];
            memcpy(copy, out->ptr + offset, n);
            buf_append(out, copy, n);
            break;
        }
        }
    }
}

static void
run_file(enum byte_target t, const char *path, struct rng *rng)
{
    char *text;
    gsize len;
    CLEANUP(buf_free) struct buf b = {0};
    g_assert_true(g_file_get_contents(path, &text, &len, NULL));
    struct str in = str_from_bytes(text, len);
    byte_target_run(t, in);
    for (int i = 0; i < MUTATIONS_PER_FILE; i++) {
        mutate(rng, in, &b);
        /* The copy has the exact length, so that the sanitizer detects reads
         * past its end. */
        char *exact = g_memdup2(b.ptr, b.len);
        byte_target_run(t, str_from_bytes(exact, b.len));
        g_free(exact);
    }
    g_free(text);
}

static void
test_target(gconstpointer data)
{
    enum byte_target t = (enum byte_target)GPOINTER_TO_INT(data);
    struct rng rng;
    int files = 0;
    CLEANUP(buf_free) struct buf dir = {0};
    buf_printf(&dir, "tests/corpus/%s", byte_target_name(t));
    GDir *d = g_dir_open(dir.ptr, 0, NULL);
    const char *name;
    g_assert_nonnull(d);
    rng_seed(&rng, 42);
    while ((name = g_dir_read_name(d))) {
        CLEANUP(buf_free) struct buf path = {0};
        buf_printf(&path, "%s/%s", dir.ptr, name);
        run_file(t, path.ptr, &rng);
        files++;
    }
    g_dir_close(d);
    g_assert_cmpint(files, >, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (int t = 0; t < BYTE_TARGET_COUNT; t++) {
        char path[64];
        g_snprintf(path, sizeof(path), "/bytes/%s", byte_target_name(t));
        g_test_add_data_func(path, GINT_TO_POINTER(t), test_target);
    }
    return g_test_run();
}
