#include "forward/wait_list.h"

#include <limits.h>
#include <stdlib.h>

#include "base/str.h"

void
wait_list_free(struct wait_list *list)
{
    free(list->entries);
    *list = (struct wait_list){0};
}

void
wait_list_add(struct wait_list *list, struct wait_entry *e)
{
    if (list->count == list->cap) {
        list->cap = list->cap ? list->cap * 2 : 16;
        list->entries = mem_realloc(list->entries, (size_t)list->cap,
                                    sizeof(struct wait_entry *));
    }
    if (e->order == 0) {
        e->order = ++list->last_order;
    }
    list->entries[list->count++] = e;
}

void
wait_list_remove(struct wait_list *list, const struct wait_entry *e)
{
    for (int i = 0; i < list->count; i++) {
        if (list->entries[i] != e) {
            continue;
        }
        for (int k = i + 1; k < list->count; k++) {
            list->entries[k - 1] = list->entries[k];
        }
        list->count--;
        return;
    }
}

#define COMPARE(a, b) (((a) > (b)) - ((a) < (b)))

static int
compare_within_team(const struct wait_entry *a, const struct wait_entry *b)
{
    int order = COMPARE(b->returning, a->returning);
    order = order ? order : COMPARE(a->by_us, b->by_us);
    return order ? order : COMPARE(a->order, b->order);
}

static int
compare_by_team(const void *pa, const void *pb)
{
    const struct wait_entry *a = *(struct wait_entry *const *)pa;
    const struct wait_entry *b = *(struct wait_entry *const *)pb;
    int order = COMPARE(a->team, b->team);
    order = order ? order : COMPARE(a->rank, b->rank);
    return order ? order : compare_within_team(a, b);
}

static int
compare_in_list(const void *pa, const void *pb)
{
    const struct wait_entry *a = *(struct wait_entry *const *)pa;
    const struct wait_entry *b = *(struct wait_entry *const *)pb;
    int order = COMPARE(a->rank, b->rank);
    order = order ? order : COMPARE(a->excess, b->excess);
    return order ? order : compare_within_team(a, b);
}

/* Sets the excess that the team of each entry has once its entries before are
 * served. */
static void
project_excess(struct wait_list *list, struct team_share *share,
               int64_t now_us)
{
    int teams = 0;
    /* All teams that wait share the capacity. */
    for (int i = 0; i < list->count; i++) {
        team_share_charge(share, list->entries[i]->team, 0, now_us);
    }
    for (int i = 0; i < list->count; i++) {
        struct wait_entry *e = list->entries[i];
        if (i == 0 || list->entries[i - 1]->team != e->team) {
            e->excess = team_share_excess(share, e->team, now_us);
            teams++;
        }
        else {
            e->excess = list->entries[i - 1]->excess + 1;
        }
    }
    /* With a single team, the excess orders nothing. */
    for (int i = 0; teams == 1 && i < list->count; i++) {
        list->entries[i]->excess = 0;
    }
}

void
wait_list_sort(struct wait_list *list, struct team_share *share,
               int64_t now_us)
{
    if (list->count == 0) {
        return;
    }
    if (share) {
        qsort(list->entries, (size_t)list->count, sizeof(struct wait_entry *),
              compare_by_team);
        project_excess(list, share, now_us);
    }
    else {
        for (int i = 0; i < list->count; i++) {
            list->entries[i]->excess = 0;
        }
    }
    qsort(list->entries, (size_t)list->count, sizeof(struct wait_entry *),
          compare_in_list);
}

int
wait_list_ahead(struct wait_list *list, struct wait_entry *e,
                struct team_share *share, int64_t now_us)
{
    int ahead = 0;
    bool in_list = false;
    for (int i = 0; i < list->count && !in_list; i++) {
        in_list = list->entries[i] == e;
    }
    if (!in_list) {
        wait_list_add(list, e);
    }
    wait_list_sort(list, share, now_us);
    while (list->entries[ahead] != e) {
        ahead++;
    }
    if (!in_list) {
        wait_list_remove(list, e);
    }
    return ahead;
}

int
wait_openings_until(const struct wait_opening *openings, int count,
                    int64_t until_us)
{
    int64_t sum = 0;
    for (int i = 0; i < count; i++) {
        const struct wait_opening *o = &openings[i];
        if (o->at_us > until_us) {
            continue;
        }
        if (o->interval_us <= 0) {
            return INT_MAX;
        }
        sum += (until_us - o->at_us) / o->interval_us + 1;
    }
    return sum < INT_MAX ? (int)sum : INT_MAX;
}

int64_t
wait_openings_expected_us(const struct wait_opening *openings, int count,
                          int ahead)
{
    int64_t first = INT64_MAX;
    int64_t unlimited = INT64_MAX;
    double per_us = 0;
    for (int i = 0; i < count; i++) {
        const struct wait_opening *o = &openings[i];
        first = o->at_us < first ? o->at_us : first;
        if (o->interval_us > 0) {
            per_us += 1 / (double)o->interval_us;
        }
        else if (o->at_us < unlimited) {
            unlimited = o->at_us;
        }
    }
    if (first == INT64_MAX || per_us == 0) {
        return first;
    }
    int64_t limited = first + (int64_t)(ahead / per_us);
    return limited < unlimited ? limited : unlimited;
}
