/* Guards against prompt parts that are blamed for crashes which another part
 * caused, and against parts that crash endpoints and are not blamed. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/str.h"
#include "forward/blame.h"

#define MS 1000LL
#define SECOND 1000000LL

/* Steps are separated by spaces. "@2.5" sets the time in seconds. "e1!s,d" and
 * "e1?s,d" report a call with parts s and d that broke as endpoint e1 crashed,
 * with and without a response head. "+s" is an answer with part s. "b:s,d"
 * is a block from another node, "x" removes unused blocks. The expected blocks
 * are sorted. */
static const struct {
    const char *title;
    const char *steps;
    const char *blocks;
} rows[] = {
    {"one crash blames nobody", "@1 e1!s,d", ""},
    {"two crashes with a head block", "@1 e1!s,d @2 e2!s,d", "d+s"},
    {"a part that was answered between them is not blamed",
     "@1 e1!s,d @1.5 +s @2 e2!s,d", "d"},
    {"an answer before the first crash proves nothing",
     "@0.5 +d @1 e1!s,d @2 e2!s,d", "d+s"},
    {"the part that is in all of them is blamed alone", "@1 e1!s,d @2 e2!t,d",
     "d"},
    {"a crash with another first part does not change a block",
     "@1 e1!s,d @2 e2!s,d @3 e3!t,d", "d+s"},
    {"a second one narrows it to the common part",
     "@1 e1!s,d @2 e2!s,d @3 e3!t,d @4 e4!u,d", "d"},
    {"a second one with the same parts, too",
     "@1 e1!s,d @2 e2!s,d @3 e3!t,d @4 e4!t,d", "d"},
    {"a call with a sound part of a block beside a crash of unknown cause",
     "@1 e1!s,d @2 e2!s,d @2.03 e3?s,x", "d+s"},
    {"such a call with a head", "@1 e1!s,d @2 e2!s,d @2.03 e3!s,x", "d+s"},
    {"a call beside it that has a part in common is not blamed",
     "@1 e1!s,d @1 e1?s @2 e2!s,d @2 e2?s", "d+s"},
    {"a call beside it without a head is not blamed",
     "@1 e1!d @1 e1?t @2 e2!d @2 e2?t @3 e3?t @4 e4?t @5 e5!d", "d"},
    {"calls without a head are blamed after four crashes",
     "@1 e1?d @2 e2?d @3 e3?d", ""},
    {"calls without a head, fourth crash", "@1 e1?d @2 e2?d @3 e3?d @4 e4?d",
     "d"},
    {"crashes at the same moment have a common cause",
     "@1 e1!s e2!s e3!s e4!s", ""},
    {"reports of one crash count once", "@1 e1!s @1.02 e1?s @1.04 e1!s,t", ""},
    {"an old crash no longer counts", "@1 e1!d @70 e2!d", ""},
    {"an answer ends a block", "@1 e1!d @2 e2!d @3 +d", ""},
    {"an answer to one of two parts leaves the other",
     "@1 e1!s,d @2 e2!s,d @3 +s", "d"},
    {"two deadly parts", "@1 e1!s,d @2 e2!t,c @3 e3!s,d @4 e4!t,c", "c+t d+s"},
    {"a block of another node", "@1 b:s,d", "d+s"},
    {"a block of another node without the part answered since", "@1 +s b:s,d",
     "d"},
    {"a smaller block replaces a larger one", "@1 b:s,d @2 b:d", "d"},
    {"a larger block is contained in a smaller one", "@1 b:d @2 b:s,d", "d"},
    {"a block that no request meets ends", "@1 b:d @43300 x", ""},
    {"a block ends no sooner", "@1 b:d @43000 x", "d"},
    {"no part", "@1 e1! @2 e2!", ""},
};

static int
read_parts(const char *text, uint64_t out[PART_NOTICE_MAX_PARTS])
{
    int n = 0;
    for (; *text; text++) {
        if (*text != ',') {
            out[n++] = (uint64_t)*text;
        }
    }
    return n;
}

static void
run_step(struct blame *b, int64_t *now_us, const char *step)
{
    struct part_notice n = {.age_us = 0};
    const struct part_block *block;
    switch (*step) {
    case '@':
        *now_us = (int64_t)(g_ascii_strtod(step + 1, NULL) * SECOND);
        break;
    case 'e':
        n.kind = PART_CRASHED;
        n.endpoint = (uint64_t)step[1];
        n.head_sent = step[2] == '!';
        n.part_count = read_parts(step + 3, n.parts);
        blame_add_crash(b, *now_us, &n, &block);
        break;
    case '+':
        blame_add_answer(b, *now_us, *now_us, (uint64_t)step[1]);
        break;
    case 'b':
        n.kind = PART_BLOCKED;
        n.age_us = 100 * MS;
        n.part_count = read_parts(step + 2, n.parts);
        blame_add_block(b, *now_us, &n);
        break;
    case 'x':
        blame_expire_blocks(b, *now_us);
        break;
    default:
        g_assert_not_reached();
    }
}

static int
compare_text(gconstpointer a, gconstpointer b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static char *
format_blocks(const struct blame *b)
{
    GPtrArray *texts = g_ptr_array_new_with_free_func(g_free);
    for (int i = 0; i < blame_block_count(b); i++) {
        const struct part_block *k = blame_block(b, i);
        char text[2 * PART_NOTICE_MAX_PARTS + 1] = "";
        size_t n = 0;
        for (int part = 'a'; part <= 'z'; part++) {
            for (int p = 0; p < k->part_count; p++) {
                if (k->parts[p] == (uint64_t)part) {
                    n += (size_t)snprintf(text + n, sizeof(text) - n, "%s%c",
                                          n > 0 ? "+" : "", part);
                }
            }
        }
        g_ptr_array_add(texts, g_strdup(text));
    }
    g_ptr_array_sort(texts, compare_text);
    g_ptr_array_add(texts, NULL);
    char *all = g_strjoinv(" ", (char **)texts->pdata);
    g_ptr_array_free(texts, TRUE);
    return all;
}

static void
test_blocks(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct blame *b = blame_new(CRASH_OF_PARTS, 0);
        int64_t now_us = 0;
        char **steps = g_strsplit(rows[i].steps, " ", 0);
        for (char **s = steps; *s; s++) {
            run_step(b, &now_us, *s);
        }
        char *blocks = format_blocks(b);
        g_test_message("%s", rows[i].title);
        g_assert_cmpstr(blocks, ==, rows[i].blocks);
        g_free(blocks);
        g_strfreev(steps);
        blame_free(b);
    }
}

/* Evidence without end, as from a faulty node, keeps its bounds. */
static void
test_bounds(void)
{
    struct blame *b = blame_new(CRASH_OF_PARTS, 0.5);
    const struct part_block *block;
    for (int i = 0; i < 20000; i++) {
        int64_t now_us = i * 10 * MS;
        struct part_notice n = {
            .kind = PART_CRASHED,
            .endpoint = (uint64_t)i % 300,
            .head_sent = i % 2,
            .age_us = i % 7 ? i % 7 * SECOND : INT64_MAX,
            .part_count = 3,
            .parts = {(uint64_t)i % 97, (uint64_t)i % 101, (uint64_t)i}};
        blame_add_crash(b, now_us, &n, &block);
        blame_add_answer(b, now_us, now_us, (uint64_t)i + 1000);
        n.parts[0] = (uint64_t)i + 50000;
        blame_add_block(b, now_us, &n);
        g_assert_cmpint(blame_block_count(b), <=, 32);
    }
    blame_free(b);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/blame/blocks", test_blocks);
    g_test_add_func("/blame/bounds", test_bounds);
    return g_test_run();
}
