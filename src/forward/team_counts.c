#include "forward/team_counts.h"

#include <ctype.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stdlib.h>

#include "flow/map.h"

#define MAX_NAME_BYTES 64

struct counted_team {
    struct str name; /* owned; a label value */
    uint64_t counts[TEAM_COUNT_COUNT];
};

struct team_counts {
    struct map teams; /* hash of the name -> struct counted_team */
    struct counted_team others;
};

static const char *const count_names[TEAM_COUNT_COUNT] = {"sends", "refusals"};

struct team_counts *
team_counts_new(void)
{
    struct team_counts *t = mem_calloc(1, sizeof(*t));
    t->others.name = str_dup(STR_LIT("(others)"));
    return t;
}

void
team_counts_free(struct team_counts *t)
{
    size_t at = 0;
    struct counted_team *c;
    if (!t) {
        return;
    }
    while ((c = map_next(&t->teams, &at))) {
        str_free(&c->name);
        free(c);
    }
    map_free(&t->teams);
    str_free(&t->others.name);
    free(t);
}

/* Returns a name without the characters that a label value has to escape. */
static struct str
label_value(struct str name)
{
    struct buf b = {0};
    buf_append(&b, name.ptr,
               name.len < MAX_NAME_BYTES ? name.len : MAX_NAME_BYTES);
    for (size_t i = 0; i < b.len; i++) {
        if (!isgraph((unsigned char)b.ptr[i]) || b.ptr[i] == '"' ||
            b.ptr[i] == '\\') {
            b.ptr[i] = '_';
        }
    }
    return buf_take_str(&b);
}

void
team_counts_add(struct team_counts *t, uint64_t team, struct str name,
                enum team_count what)
{
    if (team == 0) {
        return;
    }
    struct counted_team *c = map_get(&t->teams, team);
    if (!c && t->teams.count >= TEAM_COUNTS_MAX_TEAMS) {
        c = &t->others;
    }
    if (!c) {
        c = mem_calloc(1, sizeof(*c));
        c->name = label_value(name);
        map_put(&t->teams, team, c);
    }
    c->counts[what]++;
}

static bool
is_before(const struct counted_team *a, const struct counted_team *b)
{
    return a->counts[TEAM_REFUSED] != b->counts[TEAM_REFUSED]
               ? a->counts[TEAM_REFUSED] > b->counts[TEAM_REFUSED]
               : a->counts[TEAM_SENT] > b->counts[TEAM_SENT];
}

void
team_counts_metrics(const struct team_counts *t, struct buf *out)
{
    const struct counted_team *shown[TEAM_COUNTS_MAX_SHOWN + 1];
    const struct counted_team *c;
    int n = 0;
    size_t at = 0;
    while ((c = map_next(&t->teams, &at))) {
        int i = n < TEAM_COUNTS_MAX_SHOWN ? n++ : n;
        for (; i > 0 && is_before(c, shown[i - 1]); i--) {
            if (i < TEAM_COUNTS_MAX_SHOWN) {
                shown[i] = shown[i - 1];
            }
        }
        if (i < TEAM_COUNTS_MAX_SHOWN) {
            shown[i] = c;
        }
    }
    if (t->others.counts[TEAM_SENT] + t->others.counts[TEAM_REFUSED] > 0) {
        shown[n++] = &t->others;
    }
    for (int k = 0; k < TEAM_COUNT_COUNT && n > 0; k++) {
        buf_printf(out,
                   "# HELP cf_forward_team_%s_total requests by team, those "
                   "with most refusals\n",
                   count_names[k]);
        for (int i = 0; i < n; i++) {
            buf_printf(
                out, "cf_forward_team_%s_total{team=\"%.*s\"} %" PRIu64 "\n",
                count_names[k], STR_FMT(shown[i]->name), shown[i]->counts[k]);
        }
    }
}
